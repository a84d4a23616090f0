//! Decisions and state transitions shared by the public methods of [`Guard`].

use super::{
    Admission, DispatchDecision, ExchangeOutcome, FenceState, Guard, Offer, RefuseReason,
    RequestKey, Urgency, Wakeup,
    limit::{LimitChange, ServiceTimeSample},
    queue::{QueuedRequest, Ticket},
    records::{RequestRecord, RequestState},
};
use crate::time::Instant;

/// Where an accepted request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Placement {
    Slot,
    Queue,
    /// In the queue, in place of the request with the ticket.
    QueueInsteadOf(Ticket),
}

impl Guard {
    /// Decides on an offer, and fences a refused request of which a copy could still be admitted.
    pub(super) fn decide_and_fence(
        &mut self,
        now: Instant,
        offer: &Offer<'_>,
    ) -> Result<Placement, RefuseReason> {
        if let Some(record) = self.records.get(offer.key) {
            return Err(match record.state {
                RequestState::Fenced => RefuseReason::Fenced,
                _ => RefuseReason::Duplicate,
            });
        }
        // The deadline of every copy has passed, so no fence is needed.
        let max_skew_us = self.cfg.max_deadline_skew_us;
        if offer.deadline.saturating_add_micros(max_skew_us) <= now {
            return Err(RefuseReason::Deadline);
        }
        if !self.records.has_room(now) {
            return Err(RefuseReason::TableFull);
        }
        let decision = match self.check_target(now, offer) {
            Ok(()) => {
                self.queue.record_offer(now, &offer.urgency);
                let decision = self.check_admission(now, offer);
                if decision.is_err() {
                    self.queue.record_refusal(&offer.urgency);
                }
                decision
            }
            Err(reason) => Err(reason),
        };
        if decision.is_err() {
            self.put_record(offer.key, RequestState::Fenced, offer.deadline);
        }
        decision
    }

    /// Checks whether the target could serve a request if it had nothing else to do.
    fn check_target(&self, now: Instant, offer: &Offer<'_>) -> Result<(), RefuseReason> {
        if offer.deadline <= now {
            return Err(RefuseReason::Deadline);
        }
        let target = self.target(now).ok_or(RefuseReason::NoTarget)?;
        if target.service.as_str() != offer.service {
            return Err(RefuseReason::WrongService);
        }
        if let Some(closed) = self.closed {
            return Err(closed.refuse_reason());
        }
        let stop_at = self.earliest_stop(offer.answer_by);
        if self.is_draining() || self.would_outlast(now, offer.urgency.class, stop_at) {
            return Err(RefuseReason::Draining);
        }
        let is_slow = self.pace.is_slow(now, &self.cfg.pace);
        if is_slow && offer.has_alternative {
            return Err(RefuseReason::Slow);
        }
        match self.would_miss_deadline(now, offer) {
            true => Err(RefuseReason::Deadline),
            false => Ok(()),
        }
    }

    /// Decides on an offer of a request without a record, which the target could serve.
    fn check_admission(&self, now: Instant, offer: &Offer<'_>) -> Result<Placement, RefuseReason> {
        let is_slow = self.pace.is_slow(now, &self.cfg.pace);
        if !is_slow && self.queue.len() == 0 && self.can_start(now) {
            return Ok(Placement::Slot);
        }
        let slots = self.target.as_ref().map_or(0, |target| target.slots);
        let max_queued = u64::from(slots) * u64::from(self.cfg.queue_factor);
        let placement = match (self.queue.len() as u64) < max_queued {
            true => Placement::Queue,
            false => self.placement_by_displacing(now, &offer.urgency)?,
        };
        let stop_at = self.earliest_stop(offer.answer_by);
        let end = now.saturating_add_micros(self.predicted_time_us(now, &offer.urgency));
        if stop_at.is_some_and(|at| end > at) {
            return Err(RefuseReason::Draining);
        }
        if end > offer.deadline {
            return Err(self.overload_reason(now, &offer.urgency));
        }
        if offer.urgency.due.is_none_or(|due| end <= due) {
            return Ok(placement);
        }
        // A request that misses its latency target may use capacity that other requests leave,
        // but a long queue of such requests would only be refused later.
        let has_room =
            self.queue.late_count(now, &self.service_times) < self.limit.effective_limit() as usize;
        let late_placement = match has_room {
            true => Some(placement),
            false => self.placement_by_displacing_late(now, &offer.urgency),
        };
        late_placement
            .filter(|_| !offer.has_alternative)
            .ok_or_else(|| self.overload_reason(now, &offer.urgency))
    }

    /// Returns whether a slot is free, and neither a hold nor a rate limit delays the start of a request.
    pub(super) fn can_start(&self, now: Instant) -> bool {
        let earliest = self.next_limited_start().max(self.held_until);
        self.in_flight < self.limit.effective_limit() && earliest <= now
    }

    /// Returns the refusal of a request that would wait too long, for a slot or for a rate limit.
    fn overload_reason(&self, now: Instant, urgency: &Urgency) -> RefuseReason {
        let rate_wait_us = self.rate_wait_us(now, urgency);
        match rate_wait_us > 0 && rate_wait_us >= self.slot_wait_us(now, urgency) {
            true => self.rate_refusal(now, self.count_ahead(now, urgency)),
            false => RefuseReason::Overloaded,
        }
    }

    /// Returns when a request is cut because this node or its entry stops; `None` if neither does.
    fn earliest_stop(&self, answer_by: Option<Instant>) -> Option<Instant> {
        [self.stop_deadline, answer_by].into_iter().flatten().min()
    }

    /// Returns whether a request that started now would probably be cut at `stop_at`.
    fn would_outlast(&self, now: Instant, class: u32, stop_at: Option<Instant>) -> bool {
        let high_estimate_us = self.service_times.high_estimate_us(class);
        stop_at.is_some_and(|at| now.saturating_add_micros(high_estimate_us) > at)
    }

    /// Returns whether the target could hardly answer before the deadline if the request started
    /// now.
    fn would_miss_deadline(&self, now: Instant, offer: &Offer<'_>) -> bool {
        let low_estimate_us = self.service_times.low_estimate_us(offer.urgency.class);
        now.saturating_add_micros(low_estimate_us) >= offer.deadline
    }

    /// Returns the instant until which the start of a request is delayed because the target's
    /// host is slow.
    pub(super) fn delay_start_until(&self, queued: &QueuedRequest) -> Instant {
        let service_us = self.service_times.mean_us(queued.urgency.class);
        self.pace
            .delay_start_until(queued.queued_at, service_us, &self.cfg.pace)
    }

    /// Predicts the time from now until a request that is queued now is answered, in
    /// microseconds. It is `u64::MAX` if there are no slots.
    ///
    /// The prediction includes the service time of the request itself, because a request that
    /// is answered after its deadline occupies a slot in vain.
    fn predicted_time_us(&self, now: Instant, urgency: &Urgency) -> u64 {
        let slots = u64::from(self.limit.effective_limit());
        if slots == 0 {
            return u64::MAX;
        }
        let wait_us = self.expected_wait_us(now, urgency);
        wait_us.saturating_add(self.service_times.high_estimate_us(urgency.class))
    }

    /// Predicts the wait of a request that is queued now, in microseconds.
    pub fn expected_wait_us(&self, now: Instant, urgency: &Urgency) -> u64 {
        self.wait_correction
            .correct(self.predicted_wait_us(now, urgency))
    }

    /// Predicts the wait of a request that is queued now, in microseconds, without the
    /// correction by observed waits.
    pub(super) fn predicted_wait_us(&self, now: Instant, urgency: &Urgency) -> u64 {
        self.slot_wait_us(now, urgency)
            .max(self.rate_wait_us(now, urgency))
    }

    /// Predicts how long a request that is queued now waits for a slot, in microseconds.
    ///
    /// The slots must work off the requests ahead, and then one slot must become free for the
    /// request itself. Nothing starts in slow periods of the target's host, so the wait is
    /// longer according to their share of the time.
    fn slot_wait_us(&self, now: Instant, urgency: &Urgency) -> u64 {
        let slots = u64::from(self.limit.effective_limit()).max(1);
        let (_, work_ahead_us) = self.queue.work_ahead(now, urgency, &self.service_times);
        let wait_us = (work_ahead_us + self.service_times.overall_mean_us()) / slots;
        (wait_us as f64 / (1.0 - self.pace.slow_share())) as u64
    }

    /// Checks an admitted request directly before it is written to the target.
    pub(super) fn dispatch_admitted(
        &mut self,
        now: Instant,
        key: RequestKey,
        record: RequestRecord,
    ) -> DispatchDecision {
        let refusal = if record.deadline <= now {
            Some(RefuseReason::Deadline)
        } else if self.target(now).is_none() || record.generation != self.target_generation {
            Some(RefuseReason::NoTarget)
        } else if let Some(closed) = self.closed {
            Some(closed.refuse_reason())
        } else if self.have_starts_ended(now)
            || self.would_outlast(now, record.class, self.earliest_stop(record.answer_by))
        {
            Some(RefuseReason::Draining)
        } else {
            None
        };
        if let Some(reason) = refusal {
            self.counters.count_refusal(reason);
            self.release_slot(now, key, RequestState::Fenced, record.deadline);
            return DispatchDecision::Refused(reason);
        }
        self.counters.dispatched += 1;
        self.resends.on_dispatch();
        let started = RequestRecord {
            dispatched_while_slow: self.pace.is_slow(now, &self.cfg.pace),
            state: RequestState::Started,
            started: now,
            concurrency: self.in_flight,
            ..record
        };
        self.records.put(key, started);
        DispatchDecision::Proceed
    }

    /// Cancels a request with a record in any state.
    pub(super) fn cancel_recorded(&mut self, now: Instant, key: RequestKey, record: RequestRecord) {
        match record.state {
            RequestState::Queued(ticket) => {
                self.queue.cancel(ticket);
                self.put_record(key, RequestState::Fenced, record.deadline);
            }
            RequestState::Admitted => {
                self.release_slot(now, key, RequestState::Fenced, record.deadline)
            }
            RequestState::Started => {
                if record.generation == self.target_generation {
                    let elapsed = now.micros_since(record.started);
                    if !record.dispatched_while_slow {
                        self.service_times.add_cancelled(record.class, elapsed);
                    }
                    self.limit.on_failure(record.concurrency);
                }
                self.release_slot(now, key, RequestState::Finished, record.deadline);
            }
            RequestState::Finished | RequestState::Fenced => return,
        }
        self.counters.cancelled += 1;
    }

    /// Fences a request without a record.
    pub(super) fn fence_unrecorded(
        &mut self,
        now: Instant,
        key: RequestKey,
        deadline: Instant,
    ) -> FenceState {
        if deadline <= now || !self.records.has_room(now) {
            return FenceState::Expired;
        }
        self.counters.fenced += 1;
        self.put_record(key, RequestState::Fenced, deadline);
        FenceState::Fenced
    }

    /// Updates the counters, the service times and the limit with the end of a started request.
    pub(super) fn record_outcome(
        &mut self,
        now: Instant,
        record: &RequestRecord,
        outcome: ExchangeOutcome,
        service_time_us: u64,
    ) {
        match outcome {
            ExchangeOutcome::Completed { server_error } if server_error => {
                self.counters.server_errors += 1
            }
            ExchangeOutcome::Completed { .. } => self.counters.completed += 1,
            ExchangeOutcome::NotStarted => self.counters.not_started += 1,
            ExchangeOutcome::Failed => self.counters.failed += 1,
            ExchangeOutcome::TargetRefused => self.counters.target_refused += 1,
        }
        // The answer of a replaced target says nothing about the present target.
        if record.generation != self.target_generation {
            return;
        }
        let is_complete = matches!(
            outcome,
            ExchangeOutcome::Completed {
                server_error: false
            }
        );
        if is_complete && !record.dispatched_while_slow {
            self.service_times.add(record.class, service_time_us);
        }
        let change = match outcome {
            // A long service time in a slow period is no evidence of too high a concurrency.
            ExchangeOutcome::Completed { .. } if record.dispatched_while_slow => LimitChange::None,
            ExchangeOutcome::Completed {
                server_error: false,
            } => self.limit.on_sample(
                now,
                ServiceTimeSample {
                    started: record.started,
                    concurrency: record.concurrency,
                    service_time_us,
                },
            ),
            ExchangeOutcome::TargetRefused => {
                self.limit
                    .on_refusal(now, record.started, record.concurrency)
            }
            _ => {
                self.limit.on_failure(record.concurrency);
                LimitChange::None
            }
        };
        self.counters.limit_lowered += u64::from(change == LimitChange::Lowered);
        self.counters.limit_raised += u64::from(change == LimitChange::Raised);
    }

    /// Frees the slot of a request and puts it into a final state.
    pub(super) fn release_slot(
        &mut self,
        now: Instant,
        key: RequestKey,
        state: RequestState,
        deadline: Instant,
    ) {
        self.in_flight -= 1;
        self.put_record(key, state, deadline);
        self.schedule_wakeups(now);
    }

    /// Writes the record of a request in any state but `Started`.
    pub(super) fn put_record(&mut self, key: RequestKey, state: RequestState, deadline: Instant) {
        let record = RequestRecord {
            class: 0,
            answer_by: None,
            dispatched_while_slow: false,
            state,
            deadline,
            keep_until: self.keep_until(deadline),
            generation: self.target_generation,
            started: Instant::default(),
            concurrency: 0,
        };
        self.records.put(key, record);
    }

    fn keep_until(&self, deadline: Instant) -> Instant {
        deadline.saturating_add_micros(2 * self.cfg.max_deadline_skew_us)
    }

    /// Ends the announcement if it has expired.
    pub(super) fn withdraw_expired_target(&mut self, now: Instant) {
        if self.target.is_some() && self.target(now).is_none() {
            self.withdraw_target(now);
        }
    }

    /// Fences a request that was just taken out of the queue, and adds the wakeup that refuses
    /// it.
    pub(super) fn refuse_queued(&mut self, key: RequestKey, reason: RefuseReason) {
        if let Some(record) = self.records.get(key).copied() {
            self.put_record(key, RequestState::Fenced, record.deadline);
        }
        self.counters.count_refusal(reason);
        self.push_refusal(key, reason);
    }

    pub(super) fn push_refusal(&mut self, key: RequestKey, reason: RefuseReason) {
        self.pending_refusals.push(Wakeup {
            key,
            admission: Admission::Refused(reason),
        });
    }

    /// Sets `wakeups_due_at` if there are wakeups to return.
    pub(super) fn schedule_wakeups(&mut self, now: Instant) {
        let can_promote = self.can_start(now) && self.next_startable(now).is_some();
        if can_promote || !self.pending_refusals.is_empty() {
            self.wakeups_due_at.get_or_insert(now);
        }
    }

    /// Returns the wakeups that are due: refusals first, then admissions in the order in which
    /// they start.
    pub(super) fn take_wakeups(&mut self, now: Instant) -> Vec<Wakeup> {
        // A late call finds requests past their deadline that a limit had delayed. Entries treat them
        // like other refusals because of the limit.
        let late_reason = self.queue.limit_reason.unwrap_or(RefuseReason::Deadline);
        while let Some(queued) = self.queue.pop_unservable(now, &self.service_times) {
            // The true wait would have been even longer.
            self.wait_correction.record_wait(now, &queued);
            self.refuse_queued(queued.key, late_reason);
        }
        self.refuse_beyond_rate_limit(now);
        self.refuse_beyond_leave(now);
        let mut wakeups = std::mem::take(&mut self.pending_refusals);
        while self.can_start(now) {
            let Some(ticket) = self.next_startable(now) else {
                break;
            };
            let Some(queued) = self.queue.start(ticket, &self.service_times) else {
                break;
            };
            self.wait_correction.record_wait(now, &queued);
            self.record_limited_start(now);
            wakeups.push(self.promote(queued.key));
        }
        self.update_limit_reason(now);
        self.wakeups_due_at = None;
        wakeups
    }

    /// Starts, or ends, the time in which queued requests still start at a target that is leaving.
    pub(super) fn update_end_of_starts(&mut self, now: Instant) {
        let is_leaving = self.target.as_ref().is_some_and(|target| target.leaving);
        let starts_end_at = now.saturating_add_micros(self.cfg.start_after_leave_us);
        // The time begins with the first message that says so.
        self.starts_end_at = is_leaving.then(|| self.starts_end_at.unwrap_or(starts_end_at));
    }

    /// Returns whether the target has been leaving for so long that no request starts any more.
    pub(super) fn have_starts_ended(&self, now: Instant) -> bool {
        self.starts_end_at.is_some_and(|at| at <= now)
    }

    /// Refuses queued requests whose turn probably comes too late at a target that is leaving, so that
    /// their entries can send them to other targets at once.
    fn refuse_beyond_leave(&mut self, now: Instant) {
        let Some(starts_end_at) = self.starts_end_at else {
            return;
        };
        let slots = u64::from(self.limit.effective_limit()).max(1);
        let interval_us = self.service_times.overall_mean_us() / slots;
        let mut start = now;
        for ticket in self.queue.tickets_in_start_order(now, &self.service_times) {
            // A slot that is free now takes the first request.
            if start < starts_end_at {
                start = start.saturating_add_micros(interval_us);
            } else if let Some(queued) = self.queue.remove(ticket) {
                self.refuse_queued(queued.key, RefuseReason::Draining);
            }
        }
    }

    /// Returns the ticket of the request that starts next; `None` if the queue is empty or the
    /// start is delayed because the target's host is slow.
    fn next_startable(&self, now: Instant) -> Option<Ticket> {
        let (ticket, queued) = self.queue.next_to_start(now, &self.service_times)?;
        (self.delay_start_until(queued) <= now).then_some(ticket)
    }

    fn promote(&mut self, key: RequestKey) -> Wakeup {
        let record = self.records.get(key).copied();
        let deadline = record.map(|record| record.deadline);
        self.put_record(key, RequestState::Admitted, deadline.unwrap_or_default());
        if let Some(record) = record {
            self.records.set_terms(key, record.class, record.answer_by);
        }
        self.in_flight += 1;
        self.counters.promoted += 1;
        Wakeup {
            key,
            admission: Admission::Start,
        }
    }
}
