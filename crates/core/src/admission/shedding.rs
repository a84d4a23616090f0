//! The rule by which requests wait or are refused while capacity is insufficient.
//!
//! The functions here decide on the requests that compete for slots, with the [`FairOrder`] that
//! tells what was started before. `docs/design/shedding.md` gives the reasons for the rule.

use std::{cmp::Reverse, collections::VecDeque};

use super::{
    fair_order::{FairOrder, Passes},
    queue::Ticket,
};
use crate::{collections::HashMap, time::Instant};

/// Number of priority levels that are told apart. Less urgent priorities share the last level.
pub(super) const LEVELS: usize = 16;

/// Ratio of the value of a request that can meet its latency target to that of a late one.
const ON_TIME_FACTOR: u32 = 10;

/// Returns the level of a priority.
pub(super) fn level_of(priority: u32) -> usize {
    (priority as usize).min(LEVELS - 1)
}

/// A request that competes for slots: one of the queue, or one that arrives.
#[derive(Clone, Copy, Debug)]
pub(super) struct Contender {
    /// [`Ticket::MAX`] for a request that arrives.
    pub(super) ticket: Ticket,
    /// See [`level_of`]; below [`LEVELS`].
    pub(super) level: usize,
    /// See `Urgency::workspace`.
    pub(super) workspace: u32,
    /// Whether the latency target would probably be missed if the request started now.
    pub(super) is_late: bool,
    /// [`Instant::MAX`] without a latency target.
    pub(super) due: Instant,
    /// Mean time for which requests of the class hold a slot, in microseconds.
    pub(super) slot_time_us: u64,
}

impl Contender {
    /// Returns what callers lose by a refusal of the request. Each level is worth half as much as
    /// the one before it.
    fn value(&self) -> u32 {
        let on_time_factor = if self.is_late { 1 } else { ON_TIME_FACTOR };
        on_time_factor << (LEVELS - 1 - self.level)
    }

    /// Returns the order of values, in which levels that are served better than more urgent ones come
    /// after all others.
    fn rank(&self, fair: &FairOrder) -> (bool, u32) {
        (!fair.is_level_ahead(self.level), self.value())
    }

    /// Returns the workspace's share that the request is charged to.
    pub(super) fn share(&self) -> (usize, u32) {
        (self.level, self.workspace)
    }

    /// Returns the cost of the request in steps of a factor of 1.4, so that the errors of estimates
    /// don't decide between classes of similar service times.
    fn slot_time_step(&self) -> u32 {
        let micros = u128::from(self.slot_time_us.max(1));
        (micros * micros).ilog2()
    }

    /// Returns the sort key of the order of starts; the smallest starts first.
    fn start_key(&self, virtual_time: u64, fair: &FairOrder) -> impl Ord + use<> {
        let is_served_enough = !fair.is_underserved(self.workspace);
        let is_in_workspace = self.workspace != 0;
        let by_share = (is_in_workspace, virtual_time, self.due, self.ticket);
        (is_served_enough, Reverse(self.rank(fair)), by_share)
    }
}

/// Returns the ticket of the request that starts next; `None` without requests.
pub(super) fn next_to_start(
    contenders: impl Iterator<Item = Contender> + Clone,
    fair: &FairOrder,
) -> Option<Ticket> {
    let key =
        |contender: &Contender| contender.start_key(fair.virtual_time_us(contender.share()), fair);
    let overdue_level = fair.overdue_level();
    let of_level = contenders
        .clone()
        .filter(|contender| Some(contender.level) == overdue_level);
    let next = of_level
        .min_by_key(key)
        .or_else(|| contenders.min_by_key(key));
    next.map(|contender| contender.ticket)
}

/// Sorts requests in the order in which they would start if no others arrived.
pub(super) fn sort_by_start(contenders: &mut Vec<Contender>, fair: &FairOrder) {
    contenders.sort_by_key(|contender| {
        let rank = Reverse(contender.rank(fair));
        (rank, contender.share(), contender.due, contender.ticket)
    });
    let mut virtual_times: HashMap<(usize, u32), u64> = HashMap::default();
    let mut keyed: Vec<_> = contenders
        .iter()
        .map(|contender| {
            let share = contender.share();
            let time = virtual_times
                .entry(share)
                .or_insert_with(|| fair.virtual_time_us(share));
            let key = contender.start_key(*time, fair);
            *time += contender.slot_time_us.max(1);
            (key, *contender)
        })
        .collect();
    keyed.sort_by(|(a, _), (b, _)| a.cmp(b));
    contenders.clear();
    contenders.extend(keyed.into_iter().map(|(_, contender)| contender));
    let passes = fair.passes(contenders);
    if passes.has_several_levels() {
        move_overdue_forward(contenders, passes);
    }
}

/// Moves requests forward whose level would be overdue when their turn in the given order has not yet
/// come.
fn move_overdue_forward(contenders: &mut Vec<Contender>, mut passes: Passes) {
    let mut by_level: [VecDeque<(usize, Contender)>; LEVELS] = Default::default();
    for (position, contender) in contenders.drain(..).enumerate() {
        by_level[contender.level].push_back((position, contender));
    }
    loop {
        let first_of = |level: &usize| by_level[*level].front().map(|(position, _)| *position);
        let waiting_levels = (0..LEVELS).filter(|level| !by_level[*level].is_empty());
        let first_level = waiting_levels.min_by_key(first_of);
        let Some(level) = passes.overdue_level().or(first_level) else {
            return;
        };
        let Some((_, contender)) = by_level[level].pop_front() else {
            return;
        };
        passes.on_start(contender.level, contender.slot_time_us);
        contenders.push(contender);
    }
}

/// Returns the request whose refusal costs least; `None` if every request is protected.
pub(super) fn least_valuable(contenders: &[Contender], fair: &FairOrder) -> Option<Ticket> {
    let mut per_level = [0_usize; LEVELS];
    for contender in contenders {
        per_level[contender.level] += 1;
    }
    let is_protected = |contender: &&Contender| {
        let is_last_of_level = per_level[contender.level] == 1;
        (is_last_of_level && fair.is_level_behind(contender.level))
            || fair.is_underserved(contender.workspace)
    };
    let candidates = contenders.iter().filter(|c| !is_protected(c));
    let lowest_rank = candidates.clone().map(|c| c.rank(fair)).min()?;
    let candidates = candidates.filter(|c| c.rank(fair) == lowest_rank);
    // End of the virtual time that each share would reach.
    let mut ends: HashMap<(usize, u32), u64> = HashMap::default();
    for contender in candidates.clone() {
        let share = contender.share();
        let end = ends
            .entry(share)
            .or_insert_with(|| fair.virtual_time_us(share));
        *end += contender.slot_time_us.max(1);
    }
    let (_, _, loser) = ends
        .into_iter()
        .map(|(share, end)| (share.1 != 0, end, share))
        .max()?;
    candidates
        .filter(|contender| contender.share() == loser)
        .max_by_key(|contender| (contender.slot_time_step(), contender.due, contender.ticket))
        .map(|contender| contender.ticket)
}
