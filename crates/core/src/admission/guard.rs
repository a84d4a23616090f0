//! The guard, which controls admission to one target.

use super::{
    Admission, AnnouncedTarget, Announcement, AnnouncementEffect, ClosedReason, Counters,
    DispatchDecision, ExchangeOutcome, FenceState, GuardSettings, Offer, RefuseReason, RequestKey,
    TargetLeave, Wakeup,
    class_service_times::ClassServiceTimes,
    limit::ConcurrencyLimit,
    pace::{HostPace, PaceSettings},
    queue::Queue,
    rate_limit::RateLimit,
    records::{RecordTable, RequestState},
    resend::ResendBudget,
    target::NewestAnnouncement,
    transitions::Placement,
    wait_correction::WaitCorrection,
    warm_up::WarmUpLimit,
};
use crate::{load::LoadSample, time::Instant};

/// Decides which requests reach the target on the node's host. Offers can be tried on a copy.
#[derive(Clone, Debug)]
pub struct Guard {
    pub(super) cfg: GuardSettings,
    /// May have expired; see [`AnnouncedTarget::is_in_force`].
    pub(super) target: Option<AnnouncedTarget>,
    pub(super) newest_announcement: NewestAnnouncement,
    /// Incremented whenever the announcement ends or the target is replaced.
    pub(super) target_generation: u64,
    /// Instant from which on no request starts, because the target in `target` is leaving; `None`
    /// unless it is.
    pub(super) starts_end_at: Option<Instant>,
    /// Whether the target in `target` may have left before this process started, as its health check
    /// failed before [`GuardSettings::announcements_settle_at`].
    pub(super) may_have_left: bool,
    /// Set by the configuration or before a planned stop.
    pub(super) draining: bool,
    /// See [`Guard::set_closed`]. Nothing is queued while it is set.
    pub(super) closed: Option<ClosedReason>,
    /// Instant until which nothing starts; see [`Guard::hold_starts`].
    pub(super) held_until: Instant,
    /// Instant at which the node stops and cuts the requests still in progress; `None` unless
    /// it is stopping.
    pub(super) stop_deadline: Option<Instant>,
    pub(super) limit: ConcurrencyLimit,
    /// Limit that the target in `target` has stated.
    pub(super) rate_limit: RateLimit,
    /// Limit while the target in `target` is cold, and shortly afterwards.
    pub(super) warm_up: WarmUpLimit,
    pub(super) resends: ResendBudget,
    pub(super) pace: HostPace,
    pub(super) service_times: ClassServiceTimes,
    pub(super) wait_correction: WaitCorrection,
    /// Holds exactly the requests with a record in state `Queued`.
    pub(super) queue: Queue,
    pub(super) records: RecordTable,
    /// Number of records in state `Admitted` or `Started`. Exceeds the limit only if the limit
    /// was lowered after the requests were admitted.
    pub(super) in_flight: u32,
    /// Refusals of queued requests that no call has returned yet.
    pub(super) pending_refusals: Vec<Wakeup>,
    /// Instant at which a slot became free or `pending_refusals` grew; `None` if no wakeups are
    /// due.
    pub(super) wakeups_due_at: Option<Instant>,
    pub(super) counters: Counters,
}

impl Guard {
    /// Creates a guard without a target.
    pub fn new(cfg: GuardSettings) -> Self {
        Guard {
            target: None,
            newest_announcement: NewestAnnouncement::default(),
            target_generation: 0,
            starts_end_at: None,
            may_have_left: false,
            draining: false,
            closed: None,
            held_until: Instant::default(),
            stop_deadline: None,
            limit: ConcurrencyLimit::new(cfg.limit, 0),
            rate_limit: RateLimit::default(),
            warm_up: WarmUpLimit::default(),
            resends: ResendBudget::new(cfg.resends),
            pace: HostPace::default(),
            service_times: ClassServiceTimes::default(),
            wait_correction: WaitCorrection::default(),
            queue: Queue::default(),
            records: RecordTable::new(cfg.max_records),
            in_flight: 0,
            pending_refusals: Vec::new(),
            wakeups_due_at: None,
            counters: Counters::default(),
            cfg,
        }
    }

    /// Applies an announcement of a target or its renewal, unless it is late.
    pub fn announce(&mut self, now: Instant, announcement: Announcement<'_>) -> AnnouncementEffect {
        self.withdraw_expired_target(now);
        let newest = &mut self.newest_announcement;
        let is_same_instance = newest.is_of(&announcement.instance);
        if !newest.record_if_newer(now, &announcement.instance) {
            return AnnouncementEffect::Late;
        }
        let target = AnnouncedTarget::new(&announcement);
        let effect = match &self.target {
            None => AnnouncementEffect::New,
            Some(old) if old.is_renewed_by(&target) => AnnouncementEffect::Renewed,
            Some(_) => AnnouncementEffect::Replaced,
        };
        if effect == AnnouncementEffect::Replaced {
            self.withdraw_target(now);
        }
        // A target that has left sends no announcements, so those that are still on the way end.
        self.may_have_left &=
            effect == AnnouncementEffect::Renewed && now < self.cfg.announcements_settle_at;
        if effect == AnnouncementEffect::Renewed {
            self.limit.set_announced_capacity(target.capacity());
        } else {
            self.limit = ConcurrencyLimit::new(self.cfg.limit, target.capacity());
            self.pace = HostPace::default();
            self.rate_limit = RateLimit::default();
            if !is_same_instance {
                self.warm_up.on_new_target();
            }
        }
        self.target = Some(target);
        self.update_end_of_starts(now);
        self.schedule_wakeups(now);
        effect
    }

    /// Records that a target instance is leaving: it still answers the requests that it has, and
    /// gets no others, even if its announcement arrives only after the leave. Returns whether it is
    /// the announced one or the newest one.
    pub fn mark_leaving(&mut self, now: Instant, leave: &TargetLeave<'_>) -> bool {
        let is_newest = self.newest_announcement.record_leave(now, leave);
        match &mut self.target {
            Some(target) if *target.id == *leave.id => {
                target.leaving = true;
                self.update_end_of_starts(now);
                true
            }
            _ => is_newest,
        }
    }

    /// Records that an answer of the target says that it is leaving, like
    /// [`Guard::mark_leaving`]. `generation` is the value of [`Guard::target_generation`] when the
    /// request was sent. Returns whether this was not known.
    pub fn mark_leaving_by_answer(&mut self, now: Instant, generation: u64) -> bool {
        if generation != self.target_generation {
            return false;
        }
        match &mut self.target {
            Some(target) if !target.leaving => {
                target.leaving = true;
                self.newest_announcement.mark_leaving(&target.id);
                self.update_end_of_starts(now);
                true
            }
            _ => false,
        }
    }

    /// Records whether a health check of the target has passed. `generation` is the value of
    /// [`Guard::target_generation`] when it was sent. Returns whether this changes
    /// [`Guard::is_draining`].
    ///
    /// After a restart this tells a target that has left from one that is ready. Later, a failed
    /// check has no effect, because a target can serve requests while its health check fails.
    pub fn record_health(&mut self, now: Instant, generation: u64, has_passed: bool) -> bool {
        if generation != self.target_generation {
            return false;
        }
        self.pace.record_check(now);
        let was_draining = self.is_draining();
        let is_early = now < self.cfg.announcements_settle_at;
        self.may_have_left = !has_passed && (self.may_have_left || is_early);
        self.is_draining() != was_draining
    }

    /// Returns whether the target gets no requests because of a failed health check.
    pub fn may_have_left(&self) -> bool {
        self.may_have_left
    }

    /// Ends the announcement and refuses the queued requests.
    pub fn withdraw_target(&mut self, now: Instant) {
        if self.target.take().is_none() {
            return;
        }
        self.target_generation += 1;
        self.may_have_left = false;
        self.starts_end_at = None;
        while let Some(key) = self.queue.pop_any() {
            self.refuse_queued(key, RefuseReason::NoTarget);
        }
        self.schedule_wakeups(now);
    }

    /// Starts or ends draining by configuration or for a planned stop.
    ///
    /// A draining guard refuses new requests and serves those that it has queued or admitted.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Changes how often the speed of the target's host is measured.
    pub fn set_pace_settings(&mut self, pace: PaceSettings) {
        self.cfg.pace = pace;
    }

    /// Sets the instant at which requests still in progress will be cut. From now on, requests
    /// that would probably take longer are not started.
    pub fn set_stop_deadline(&mut self, stop_deadline: Instant) {
        self.stop_deadline = Some(stop_deadline);
    }

    /// Returns the announcement in force; `None` if there is none or it has expired.
    pub fn target(&self, now: Instant) -> Option<&AnnouncedTarget> {
        self.target
            .as_ref()
            .filter(|target| target.is_in_force(now))
    }

    /// Returns whether new requests are refused because the guard is draining or the target is
    /// leaving, or may have left.
    pub fn is_draining(&self) -> bool {
        let is_leaving = self.target.as_ref().is_some_and(|target| target.leaving);
        self.draining || is_leaving || self.may_have_left
    }

    /// Admits, queues or refuses a new request.
    pub fn offer(&mut self, now: Instant, offer: &Offer<'_>) -> Admission {
        self.withdraw_expired_target(now);
        self.counters.offered += 1;
        match self.decide_and_fence(now, offer) {
            Ok(Placement::Slot) => {
                self.queue.record_direct_start(&offer.urgency);
                self.record_limited_start(now);
                self.in_flight += 1;
                self.counters.started += 1;
                self.put_record(offer.key, RequestState::Admitted, offer.deadline);
                self.records
                    .set_terms(offer.key, offer.urgency.class, offer.answer_by);
                Admission::Start
            }
            Ok(Placement::Queue) => {
                self.enqueue(now, offer);
                Admission::Queued
            }
            Ok(Placement::QueueInsteadOf(ticket)) => {
                self.displace(now, ticket);
                self.enqueue(now, offer);
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
    /// A refusal fences the request and frees its slot. A key that is not admitted is refused
    /// as `Fenced` or `Duplicate` without effect. A fenced request whose record has been
    /// removed, long after its deadline, is refused as `Duplicate` too, because without the
    /// record an unknown outcome is the safe one.
    pub fn dispatch(&mut self, now: Instant, key: RequestKey) -> DispatchDecision {
        self.withdraw_expired_target(now);
        let Some(record) = self.records.get(key).copied() else {
            return DispatchDecision::Refused(RefuseReason::Duplicate);
        };
        match record.state {
            RequestState::Admitted => self.dispatch_admitted(now, key, record),
            RequestState::Fenced => DispatchDecision::Refused(RefuseReason::Fenced),
            RequestState::Queued(_) | RequestState::Started | RequestState::Finished => {
                DispatchDecision::Refused(RefuseReason::Duplicate)
            }
        }
    }

    /// Ends a request that held a slot. Has no effect for a key that holds none.
    ///
    /// `service_time_us` is the time from dispatch to the end of the answer.
    pub fn finish(
        &mut self,
        now: Instant,
        key: RequestKey,
        outcome: ExchangeOutcome,
        service_time_us: u64,
    ) -> Vec<Wakeup> {
        self.withdraw_expired_target(now);
        let record = self.records.get(key).copied();
        match record.map(|record| (record.state, record)) {
            Some((RequestState::Admitted, record)) => {
                self.counters.not_started += 1;
                self.release_slot(now, key, RequestState::Fenced, record.deadline);
            }
            Some((RequestState::Started, record)) => {
                self.record_outcome(now, &record, outcome, service_time_us);
                let state = match outcome {
                    ExchangeOutcome::NotStarted => RequestState::Fenced,
                    _ => RequestState::Finished,
                };
                self.release_slot(now, key, state, record.deadline);
            }
            _ => {}
        }
        self.take_wakeups(now)
    }

    /// Ends a request whose entry no longer waits for the answer.
    ///
    /// A request that has not been dispatched is fenced. The returned wakeups don't include
    /// the cancelled request.
    pub fn cancel(&mut self, now: Instant, key: RequestKey) -> Vec<Wakeup> {
        self.withdraw_expired_target(now);
        self.pending_refusals.retain(|wakeup| wakeup.key != key);
        if let Some(record) = self.records.get(key).copied() {
            self.cancel_recorded(now, key, record);
        }
        self.take_wakeups(now)
    }

    /// Prevents the request from being run, unless it was already started.
    ///
    /// A fenced request that was queued gets a wakeup; one that held a slot is refused by
    /// [`Guard::dispatch`].
    pub fn fence(&mut self, now: Instant, key: RequestKey, deadline: Instant) -> FenceState {
        self.withdraw_expired_target(now);
        let Some(record) = self.records.get(key).copied() else {
            return self.fence_unrecorded(now, key, deadline);
        };
        let deadline = deadline.max(record.deadline);
        match record.state {
            RequestState::Queued(ticket) => {
                self.queue.cancel(ticket);
                self.counters.fenced += 1;
                self.put_record(key, RequestState::Fenced, deadline);
                self.push_refusal(key, RefuseReason::Fenced);
                self.schedule_wakeups(now);
                FenceState::Fenced
            }
            RequestState::Admitted => {
                self.counters.fenced += 1;
                self.release_slot(now, key, RequestState::Fenced, deadline);
                FenceState::Fenced
            }
            RequestState::Fenced => {
                if record.deadline < deadline {
                    self.put_record(key, RequestState::Fenced, deadline);
                }
                FenceState::Fenced
            }
            RequestState::Started => FenceState::Started,
            RequestState::Finished => FenceState::Finished,
        }
    }

    /// Refuses queued requests that can't meet their deadline any more, removes expired records
    /// and returns the wakeups that are due.
    pub fn expire(&mut self, now: Instant) -> Vec<Wakeup> {
        self.withdraw_expired_target(now);
        self.records.remove_expired(now);
        self.take_wakeups(now)
    }

    /// Returns the next instant at which [`Guard::expire`] must be called; `None` if there is
    /// none. It is not in the future while wakeups are due.
    pub fn next_expiry(&self) -> Option<Instant> {
        let delayed_start = match self.in_flight < self.limit.effective_limit() {
            true => {
                let first = self
                    .queue
                    .next_to_start(Instant::default(), &self.service_times);
                let earliest = self.next_limited_start().max(self.held_until);
                first.map(|(_, queued)| self.delay_start_until(queued).max(earliest))
            }
            false => None,
        };
        let target_expiry = self.target.as_ref().map(|target| target.expires);
        [
            self.wakeups_due_at,
            target_expiry,
            delayed_start,
            self.queue.first_deadline(),
            self.starts_end_at.filter(|_| self.queue.len() > 0),
            self.records.next_removal(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Records a report of the target on how long work takes on its host, in percent of the
    /// usual time.
    pub fn record_pace(&mut self, now: Instant, pace_percent: u32) {
        self.pace.record_report(now, pace_percent, &self.cfg.pace);
        self.schedule_wakeups(now);
    }

    /// Returns a number that changes whenever the target is replaced or its announcement ends.
    pub fn target_generation(&self) -> u64 {
        self.target_generation
    }

    /// Returns whether the pace of the target's host should be measured now, before the next
    /// request starts, and records that a measurement was started.
    pub fn start_pace_measurement(&mut self, now: Instant) -> bool {
        let must_check = self.may_have_left || self.is_cold_check_due(now);
        self.pace.start_measurement(now, &self.cfg.pace, must_check)
    }

    /// Returns whether requests are queued only because the target's host is slow.
    pub fn is_delayed_by_slow_host(&self, now: Instant) -> bool {
        self.queue.len() > 0
            && self.in_flight < self.limit.effective_limit()
            && self.pace.is_slow(now, &self.cfg.pace)
    }

    /// Returns the load sample that is sent to other nodes.
    pub fn load_sample(&self, now: Instant) -> LoadSample {
        let is_in_force = self.target(now).is_some();
        let service_time_us = self.service_times.overall_mean_us();
        let start_interval_us = self.start_interval_us(now);
        let start_wait_us = self.start_wait_us(now, self.queue.len());
        LoadSample {
            start_wait_us: start_wait_us.try_into().unwrap_or(u32::MAX),
            start_interval_us: start_interval_us.try_into().unwrap_or(u32::MAX),
            in_flight: self.in_flight,
            queued: self.queued() as u32,
            slots: if is_in_force { self.limit.slots() } else { 0 },
            service_time_us: service_time_us.try_into().unwrap_or(u32::MAX),
            pace_percent: self.pace.percent(),
            draining: self.is_draining() || !is_in_force,
            cold: is_in_force && self.warm_up.is_in_effect(now),
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

    /// Returns the number of requests that may hold a slot now. It is lower than the slots in
    /// [`Guard::load_sample`] while the service time at low concurrency is sampled, which takes a
    /// short time.
    pub fn concurrency_limit(&self) -> u32 {
        self.limit.effective_limit()
    }

    /// Returns the number of request records.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }
}
