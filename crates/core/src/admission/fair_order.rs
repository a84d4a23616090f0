//! What the order of starts depends on besides the waiting requests: the shares of the capacity that
//! workspaces and priority levels have received.

use super::{
    capacity_share::is_of_workspace,
    shedding::{Contender, LEVELS},
};
use crate::{collections::HashMap, time::Instant};

/// Slot time that a level's next request waits for, as a multiple of its own. A waiting level then
/// gets a tenth of the capacity, which is one start in ten where service times are alike. One start
/// in ten regardless of the service times gave uploads of 310 ms a third of the capacity beside calls
/// of 64 ms.
const MAX_PASSED_FACTOR: u64 = 9;

/// Time after which the counts of offers and starts are halved, in microseconds. Bursts last a few
/// seconds.
const HALVING_INTERVAL_US: u64 = 1_000_000;

/// Least share of starts to offers of a workspace, relative to that of all requests. A quarter is
/// required of what callers see over several guards. With 0.4 and counts halved every 2 s, workspaces
/// beside a surplus of requests without one got 0.21.
const WORKSPACE_FLOOR: f32 = 0.5;

/// Difference of the shares of starts to offers by which a level has to be behind each more urgent
/// one to be given starts out of turn. Without it, uploads, which can wait for longer, were answered
/// more often than more urgent orders by 6 in 100.
const MIN_LAG: f32 = 0.05;

/// Minimum number of offers of a workspace before it counts as underserved.
const MIN_OFFERS: f32 = 2.0;

/// Maximum number of workspaces that are remembered without a waiting request.
const MAX_WORKSPACES: usize = 1_024;

/// Offers and starts of the last seconds, halved every [`HALVING_INTERVAL_US`].
#[derive(Clone, Copy, Debug, Default)]
struct Service {
    offers: f32,
    starts: f32,
}

/// Halvings after which all counts are forgotten: 2^32 offers are below one.
const MAX_HALVINGS: u64 = 34;

/// Offers below which the counts of a level or a workspace are forgotten. Without it, the share of
/// one lost request would hold until the counts are zero, long after it.
const FORGOTTEN_OFFERS: f32 = 0.5;

impl Service {
    fn halve(&mut self) {
        self.offers /= 2.0;
        self.starts /= 2.0;
        if self.offers < FORGOTTEN_OFFERS {
            *self = Service::default();
        }
    }

    /// Returns the share of starts to offers, and 1 without offers. Requests that were offered
    /// before the last halving can start after it, so the quotient can exceed 1.
    fn share(&self) -> f32 {
        match self.offers > 0.0 {
            true => (self.starts / self.offers).min(1.0),
            false => 1.0,
        }
    }
}

/// Share of the capacity that a workspace has received in one level.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    /// Slot time of the started requests, in microseconds, from the virtual time of the level on.
    virtual_time_us: u64,
    /// Number of waiting requests.
    waiting: u32,
}

/// By how much each level with waiting requests was passed over.
#[derive(Clone, Debug, Default)]
pub(super) struct Passes {
    waiting: [u32; LEVELS],
    /// Slot time of the starts of other levels since the level's last start, in microseconds; not
    /// counted while none of its requests waits.
    passed_us: [u64; LEVELS],
    /// Mean slot time of the request of the level that was queued last, in microseconds; at least 1
    /// for a level with waiting requests.
    slot_time_us: [u64; LEVELS],
    /// Whether the level is served worse than each more urgent one by more than [`MIN_LAG`].
    is_behind: [bool; LEVELS],
    /// Whether the level is served better than a more urgent one.
    is_ahead: [bool; LEVELS],
}

impl Passes {
    /// Returns the level that gets the next start because it was passed over for too long.
    pub(super) fn overdue_level(&self) -> Option<usize> {
        (0..LEVELS)
            .filter(|&level| self.waiting[level] > 0 && self.is_behind[level])
            .filter(|&level| self.passed_us[level] >= MAX_PASSED_FACTOR * self.slot_time_us[level])
            .max_by_key(|&level| self.passed_us[level])
    }

    /// Returns whether requests of more than one level wait.
    pub(super) fn has_several_levels(&self) -> bool {
        self.waiting.iter().filter(|waiting| **waiting > 0).count() > 1
    }

    /// Records that a waiting request starts, which no longer waits then.
    pub(super) fn on_start(&mut self, started: usize, slot_time_us: u64) {
        let slot_time_us = slot_time_us.max(1);
        self.waiting[started] = self.waiting[started].saturating_sub(1);
        for level in 0..LEVELS {
            if level == started {
                self.passed_us[level] = 0;
            } else if self.waiting[level] > 0 {
                self.passed_us[level] += slot_time_us;
            }
        }
    }
}

/// State of the order of starts while load is shed.
#[derive(Clone, Debug, Default)]
pub(super) struct FairOrder {
    /// By level and workspace. Holds every share with a waiting request; a share without one is only
    /// kept while its virtual time is after that of its level.
    shares: HashMap<(usize, u32), Share>,
    /// Virtual time of the share that started last, by level; never decreases while requests wait.
    level_times_us: [u64; LEVELS],
    passes: Passes,
    /// Offers include waiting requests, so that a level is known to be behind before they are lost.
    by_level: [Service; LEVELS],
    /// Offers that have started or were lost, of all requests. Waiting ones do not count, or the
    /// first waiting requests of a small workspace would make it underserved.
    all: Service,
    /// Like `all`, by workspace. At most [`MAX_WORKSPACES`].
    by_workspace: HashMap<u32, Service>,
    /// When the counts are halved next.
    halve_at: Instant,
}

impl FairOrder {
    /// Counts a request that the target could serve.
    pub(super) fn record_offer(&mut self, now: Instant, level: usize) {
        self.halve_if_due(now);
        self.by_level[level].offers += 1.0;
        self.compare_levels();
    }

    /// Counts a request that was refused on arrival.
    pub(super) fn record_refusal(&mut self, workspace: u32) {
        self.count_decision(workspace, 0.0);
    }

    /// Counts a request that starts without waiting. Then there is no competition, so the shares end.
    pub(super) fn record_direct_start(&mut self, level: usize, workspace: u32) {
        self.shares.clear();
        self.level_times_us = [0; LEVELS];
        self.count_start(level, workspace);
    }

    /// Counts a request that enters the queue and will hold its slot for about `slot_time_us`.
    pub(super) fn record_push(&mut self, level: usize, workspace: u32, slot_time_us: u64) {
        let level_time_us = self.level_times_us[level];
        let share = self.shares.entry((level, workspace)).or_default();
        if share.waiting == 0 {
            share.virtual_time_us = share.virtual_time_us.max(level_time_us);
        }
        share.waiting += 1;
        self.passes.waiting[level] += 1;
        self.passes.slot_time_us[level] = slot_time_us.max(1);
    }

    /// Counts a request that leaves the queue without a start.
    pub(super) fn record_removal(&mut self, level: usize, workspace: u32) {
        if let Some(share) = self.shares.get_mut(&(level, workspace)) {
            share.waiting = share.waiting.saturating_sub(1);
        }
        self.passes.waiting[level] = self.passes.waiting[level].saturating_sub(1);
        self.count_decision(workspace, 0.0);
        self.forget_idle_shares();
    }

    /// Counts a request that leaves the queue because it was cancelled. The capacity was not what it
    /// lacked, so that it counts neither as offered nor as lost.
    pub(super) fn record_cancellation(&mut self, level: usize, workspace: u32) {
        if let Some(share) = self.shares.get_mut(&(level, workspace)) {
            share.waiting = share.waiting.saturating_sub(1);
        }
        self.passes.waiting[level] = self.passes.waiting[level].saturating_sub(1);
        let service = &mut self.by_level[level];
        service.offers = (service.offers - 1.0).max(0.0);
        self.forget_idle_shares();
    }

    /// Counts a waiting request that starts and will hold its slot for about `slot_time_us`.
    pub(super) fn record_start(&mut self, level: usize, workspace: u32, slot_time_us: u64) {
        let share = self.shares.entry((level, workspace)).or_default();
        let level_time_us = &mut self.level_times_us[level];
        *level_time_us = share.virtual_time_us.max(*level_time_us);
        share.virtual_time_us += slot_time_us.max(1);
        share.waiting = share.waiting.saturating_sub(1);
        self.passes.on_start(level, slot_time_us);
        self.count_start(level, workspace);
        self.forget_idle_shares();
    }

    /// Returns the virtual time at which the next request of a share starts.
    pub(super) fn virtual_time_us(&self, share: (usize, u32)) -> u64 {
        let level_time_us = self.level_times_us[share.0];
        match self.shares.get(&share) {
            Some(known) if known.waiting > 0 => known.virtual_time_us,
            Some(known) => known.virtual_time_us.max(level_time_us),
            None => level_time_us,
        }
    }

    /// Returns whether the requests of a workspace are started much less often than all requests.
    pub(super) fn is_underserved(&self, workspace: u32) -> bool {
        let service = self.by_workspace.get(&workspace);
        service.is_some_and(|service| {
            service.offers >= MIN_OFFERS && service.share() < WORKSPACE_FLOOR * self.all.share()
        })
    }

    /// Returns whether a level is served worse than each more urgent one.
    pub(super) fn is_level_behind(&self, level: usize) -> bool {
        self.passes.is_behind[level]
    }

    /// Returns whether a level is served better than a more urgent one and has to give way.
    pub(super) fn is_level_ahead(&self, level: usize) -> bool {
        self.passes.is_ahead[level]
    }

    /// See [`Passes::overdue_level`].
    pub(super) fn overdue_level(&self) -> Option<usize> {
        self.passes.overdue_level()
    }

    /// Returns the passes with `contenders` as the waiting requests.
    pub(super) fn passes(&self, contenders: &[Contender]) -> Passes {
        let mut passes = self.passes.clone();
        passes.waiting = [0; LEVELS];
        for contender in contenders {
            passes.waiting[contender.level] += 1;
            passes.slot_time_us[contender.level] = contender.slot_time_us.max(1);
        }
        passes
    }

    fn count_start(&mut self, level: usize, workspace: u32) {
        self.by_level[level].starts += 1.0;
        self.count_decision(workspace, 1.0);
        self.compare_levels();
    }

    /// Counts a request that has started, if `starts` is 1, or never will.
    fn count_decision(&mut self, workspace: u32, starts: f32) {
        self.all.offers += 1.0;
        self.all.starts += starts;
        let has_room = self.by_workspace.len() < MAX_WORKSPACES;
        if is_of_workspace(workspace) && (has_room || self.by_workspace.contains_key(&workspace)) {
            let service = self.by_workspace.entry(workspace).or_default();
            service.offers += 1.0;
            service.starts += starts;
        }
    }

    fn compare_levels(&mut self) {
        let mut least_share = f32::INFINITY;
        for (level, service) in self.by_level.iter().enumerate() {
            let share = service.share();
            self.passes.is_behind[level] = share < least_share - MIN_LAG;
            self.passes.is_ahead[level] = share > least_share;
            if service.offers > 0.0 {
                least_share = least_share.min(share);
            }
        }
    }

    fn halve_if_due(&mut self, now: Instant) {
        if now < self.halve_at {
            return;
        }
        let intervals = 1 + now.micros_since(self.halve_at) / HALVING_INTERVAL_US;
        self.halve_at = now.saturating_add_micros(HALVING_INTERVAL_US);
        for _ in 0..intervals.min(MAX_HALVINGS) {
            self.all.halve();
            self.by_level.iter_mut().for_each(Service::halve);
            self.by_workspace.retain(|_, service| {
                service.halve();
                service.offers > 0.0
            });
        }
    }

    /// Drops shares that are equal to an unknown one, and if there are still too many, all without a
    /// waiting request.
    fn forget_idle_shares(&mut self) {
        if self.shares.len() <= MAX_WORKSPACES {
            return;
        }
        let level_times_us = &self.level_times_us;
        self.shares.retain(|share, known| {
            known.waiting > 0 || known.virtual_time_us > level_times_us[share.0]
        });
        if self.shares.len() > MAX_WORKSPACES {
            self.shares.retain(|_, known| known.waiting > 0);
        }
    }
}
