//! The guard aggregate.

use super::{
    Admission, Announced, AnnouncedTarget, Announcement, Counters, Dispatch, FenceState, Finish,
    LimitSettings, Offer, RefuseReason, RequestKey, Wakeup,
    limit::Limit,
    pace::{Pace, PaceSettings},
    queue::{Queue, Waiting},
    records::{Records, State},
    steps::Place,
    target::Newest,
    waits::Waits,
    work::WorkTimes,
};
use crate::{load::LoadSample, time::Instant};

/// Settings of a guard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GuardSettings {
    /// Requests that may wait, as a multiple of the announced slots.
    pub queue_factor: u32,
    /// Bound on the number of request records.
    pub max_records: usize,
    /// Bound on the difference between two conversions of one deadline, in
    /// microseconds. Records outlive the deadline of their request by twice this time.
    ///
    /// Two connections convert the same deadline differently: each value is early by
    /// up to one handshake, which is bounded to 1 s, and off by up to 6 ms of clock
    /// drift either way. A record dropped at its own deadline could miss a copy or a
    /// fence that came over another connection. Twice the bound also covers copies
    /// that are refused, and fenced, after the deadline.
    pub deadline_spread_us: u64,
    /// Settings for the pace of the target's host.
    pub pace: PaceSettings,
    /// Settings of the concurrency limit.
    pub limit: LimitSettings,
}

impl Default for GuardSettings {
    fn default() -> Self {
        GuardSettings {
            queue_factor: 2,
            max_records: 65_536,
            deadline_spread_us: 1_100_000,
            pace: PaceSettings::default(),
            limit: LimitSettings::default(),
        }
    }
}

/// Decides which requests reach the target beside the node.
#[derive(Debug)]
pub struct Guard {
    pub(super) cfg: GuardSettings,
    /// May have lapsed; [`AnnouncedTarget::is_live`] tells.
    pub(super) target: Option<AnnouncedTarget>,
    pub(super) newest: Newest,
    /// Rises whenever the announcement ends or the target is replaced.
    pub(super) generation: u64,
    /// Set by configuration or a planned stop.
    pub(super) draining: bool,
    /// Instant at which work that is still in progress is cut, because the node stops.
    pub(super) ends_at: Option<Instant>,
    pub(super) limit: Limit,
    pub(super) pace: Pace,
    pub(super) work: WorkTimes,
    pub(super) waits: Waits,
    /// Holds exactly the keys of the records in state `Queued`.
    pub(super) queue: Queue,
    pub(super) records: Records,
    /// Number of records in state `Admitted` or `Started`. No admission raises it
    /// above the limit; it can exceed a limit that was lowered afterwards.
    pub(super) in_flight: u32,
    /// Refusals of queued requests that have not been handed out.
    pub(super) pending: Vec<Wakeup>,
    /// Set while wakeups may be due: when a slot came free or `pending` grew.
    pub(super) due: Option<Instant>,
    pub(super) counters: Counters,
}

impl Guard {
    /// Creates a guard without a target.
    pub fn new(cfg: GuardSettings) -> Self {
        Guard {
            target: None,
            newest: Newest::default(),
            generation: 0,
            draining: false,
            ends_at: None,
            limit: Limit::new(cfg.limit, 0),
            pace: Pace::default(),
            work: WorkTimes::default(),
            waits: Waits::default(),
            queue: Queue::default(),
            records: Records::new(cfg.max_records),
            in_flight: 0,
            pending: Vec::new(),
            due: None,
            counters: Counters::default(),
            cfg,
        }
    }

    /// Takes over an announcement or its renewal.
    pub fn announce(&mut self, now: Instant, announcement: Announcement<'_>) -> Announced {
        self.end_lapsed(now);
        if !self.newest.note(&announcement.life) {
            return Announced::Late;
        }
        let target = AnnouncedTarget::new(&announcement);
        let effect = match &self.target {
            None => Announced::New,
            Some(old) if old.is_renewed_by(&target) => Announced::Renewed,
            Some(_) => Announced::Replaced,
        };
        if effect == Announced::Replaced {
            self.withdraw(now);
        }
        if effect == Announced::Renewed {
            self.limit.set_ceiling(target.capacity());
        } else {
            self.limit = Limit::new(self.cfg.limit, target.capacity());
            self.pace = Pace::default();
        }
        self.target = Some(target);
        self.note_due(now);
        effect
    }

    /// Notes that the target with this id leaves: it still answers the requests that it
    /// has, and gets no others. Returns whether it is the announced one.
    pub fn leave(&mut self, id: &str) -> bool {
        let is_newest = self.newest.note_left(id);
        match &mut self.target {
            Some(target) if *target.id == *id => {
                target.leaving = true;
                true
            }
            _ => is_newest,
        }
    }

    /// Ends the announcement. Queued requests are refused.
    pub fn withdraw(&mut self, now: Instant) {
        if self.target.take().is_none() {
            return;
        }
        self.generation += 1;
        while let Some(key) = self.queue.pop() {
            self.refuse_waiting(key, RefuseReason::NoTarget);
        }
        self.note_due(now);
    }

    /// Starts or ends draining by configuration or for a planned stop.
    ///
    /// A draining guard refuses new requests and serves those that it has admitted.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Notes when work that is still in progress will be cut. No request is started any more
    /// that would usually take longer.
    pub fn set_end(&mut self, ends_at: Instant) {
        self.ends_at = Some(ends_at);
    }

    /// Returns the announcement in force.
    pub fn target(&self, now: Instant) -> Option<&AnnouncedTarget> {
        self.target.as_ref().filter(|target| target.is_live(now))
    }

    /// Returns whether new requests are refused because the target is leaving.
    pub fn is_draining(&self) -> bool {
        self.draining || self.target.as_ref().is_some_and(|target| target.leaving)
    }

    /// Decides on a new request.
    pub fn offer(&mut self, now: Instant, offer: &Offer<'_>) -> Admission {
        self.end_lapsed(now);
        self.counters.offered += 1;
        match self.decide(now, offer) {
            Ok(Place::Slot) => {
                self.in_flight += 1;
                self.counters.started += 1;
                self.put(offer.key, State::Admitted, offer.deadline);
                self.records.set_class(offer.key, offer.urgency.class);
                Admission::Start
            }
            Ok(Place::Queue) => {
                self.counters.queued += 1;
                let ticket = self.queue.push(Waiting {
                    key: offer.key,
                    deadline: offer.deadline,
                    urgency: offer.urgency,
                    queued_at: now,
                    predicted_us: self.predicted_wait_us(now, &offer.urgency),
                });
                self.put(offer.key, State::Queued(ticket), offer.deadline);
                self.records.set_class(offer.key, offer.urgency.class);
                Admission::Queued
            }
            Err(reason) => {
                self.counters.count_refusal(reason);
                Admission::Refused(reason)
            }
        }
    }

    /// Makes the last check before the request is written to the target.
    ///
    /// A refusal fences the request and frees its slot. A key that holds no admission
    /// is refused as `Fenced` or `Duplicate` without effect. `Duplicate` is also the
    /// answer for a fenced request whose record has been dropped since, long after its
    /// deadline: an unknown outcome is the safe one.
    pub fn dispatch(&mut self, now: Instant, key: RequestKey) -> Dispatch {
        self.end_lapsed(now);
        let Some(record) = self.records.get(key).copied() else {
            return Dispatch::Refused(RefuseReason::Duplicate);
        };
        match record.state {
            State::Admitted => self.dispatch_admitted(now, key, record),
            State::Fenced => Dispatch::Refused(RefuseReason::Fenced),
            State::Queued(_) | State::Started | State::Finished => {
                Dispatch::Refused(RefuseReason::Duplicate)
            }
        }
    }

    /// Ends a request that held a slot. A key that holds none has no effect.
    ///
    /// `service_time_us` is the time from dispatch to the end of the answer.
    pub fn finish(
        &mut self,
        now: Instant,
        key: RequestKey,
        finish: Finish,
        service_time_us: u64,
    ) -> Vec<Wakeup> {
        self.end_lapsed(now);
        let record = self.records.get(key).copied();
        match record.map(|record| (record.state, record)) {
            Some((State::Admitted, record)) => {
                self.counters.not_started += 1;
                self.release(now, key, State::Fenced, record.deadline);
            }
            Some((State::Started, record)) => {
                self.learn(now, &record, finish, service_time_us);
                let state = match finish {
                    Finish::NotStarted => State::Fenced,
                    _ => State::Finished,
                };
                self.release(now, key, state, record.deadline);
            }
            _ => {}
        }
        self.wake(now)
    }

    /// Ends a request whose entry has gone away.
    ///
    /// A request that is not with the target yet is fenced. The canceller gets no
    /// wakeup for the request itself.
    pub fn cancel(&mut self, now: Instant, key: RequestKey) -> Vec<Wakeup> {
        self.end_lapsed(now);
        self.pending.retain(|wakeup| wakeup.key != key);
        if let Some(record) = self.records.get(key).copied() {
            self.cancel_known(now, key, record);
        }
        self.wake(now)
    }

    /// Makes sure that the request is not run, unless it was already started.
    ///
    /// A fenced request that was queued gets a wakeup; one that held a slot learns of
    /// the fence from [`Guard::dispatch`].
    pub fn fence(&mut self, now: Instant, key: RequestKey, deadline: Instant) -> FenceState {
        self.end_lapsed(now);
        let Some(record) = self.records.get(key).copied() else {
            return self.fence_unknown(now, key, deadline);
        };
        let deadline = deadline.max(record.deadline);
        match record.state {
            State::Queued(ticket) => {
                self.queue.remove(ticket);
                self.counters.fenced += 1;
                self.put(key, State::Fenced, deadline);
                self.push_refusal(key, RefuseReason::Fenced);
                self.note_due(now);
                FenceState::Fenced
            }
            State::Admitted => {
                self.counters.fenced += 1;
                self.release(now, key, State::Fenced, deadline);
                FenceState::Fenced
            }
            State::Fenced => {
                if record.deadline < deadline {
                    self.put(key, State::Fenced, deadline);
                }
                FenceState::Fenced
            }
            State::Started => FenceState::Started,
            State::Finished => FenceState::Finished,
        }
    }

    /// Refuses queued requests whose deadline has passed, drops old records and hands
    /// out the wakeups that are due.
    pub fn expire(&mut self, now: Instant) -> Vec<Wakeup> {
        self.end_lapsed(now);
        self.records.drop_old(now);
        self.wake(now)
    }

    /// Returns the instant at which [`Guard::expire`] has something to do. It is not
    /// in the future while wakeups are due.
    pub fn next_expiry(&self) -> Option<Instant> {
        let held = match self.in_flight < self.limit.current() {
            true => {
                let first = self.queue.first(Instant::default(), &self.work);
                first.map(|(_, waiting)| self.hold_until(waiting))
            }
            false => None,
        };
        let lapse = self.target.as_ref().map(|target| target.expires);
        [
            self.due,
            lapse,
            held,
            self.queue.first_deadline(),
            self.records.next_drop(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Notes how long work takes at the target's host, in percent of the usual time, as the
    /// target has just told.
    pub fn note_pace(&mut self, now: Instant, pace_percent: u32) {
        self.pace.note(now, pace_percent, &self.cfg.pace);
        self.note_due(now);
    }

    /// Reports whether the pace of the target's host should be measured now, before the next
    /// request starts, and notes that this is done.
    pub fn ask_pace(&mut self, now: Instant) -> bool {
        self.pace.ask(now, &self.cfg.pace)
    }

    /// Reports whether requests wait only for the end of a slow moment.
    pub fn is_holding(&self, now: Instant) -> bool {
        self.queue.len() > 0
            && self.in_flight < self.limit.current()
            && self.pace.is_slow(now, &self.cfg.pace)
    }

    /// Returns the load for peers.
    pub fn load(&self, now: Instant) -> LoadSample {
        let is_live = self.target(now).is_some();
        let service_time_us = self.work.mean_of_all_us();
        LoadSample {
            in_flight: self.in_flight,
            queued: self.queued() as u32,
            slots: if is_live { self.limit.slots() } else { 0 },
            service_time_us: service_time_us.try_into().unwrap_or(u32::MAX),
            pace_percent: self.pace.percent(),
            draining: self.is_draining() || !is_live,
        }
    }

    /// Returns the counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the number of requests that hold a slot.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of requests that wait for a slot.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of requests that may hold a slot now. It is lower than the
    /// slots in [`Guard::load`] for the short times in which the service time at low
    /// concurrency is sampled.
    pub fn limit(&self) -> u32 {
        self.limit.current()
    }

    /// Returns the number of request records.
    pub fn records(&self) -> usize {
        self.records.len()
    }
}
