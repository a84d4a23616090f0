//! Steps that the operations of the guard share.

use super::{
    Admission, Dispatch, FenceState, Finish, Guard, Offer, RefuseReason, RequestKey, Urgency,
    Wakeup,
    limit::{Change, Sample},
    queue::{Ticket, Waiting},
    records::{Record, State},
};
use crate::time::Instant;

/// Where an admitted request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Place {
    Slot,
    Queue,
}

impl Guard {
    /// Decides on an offer and writes the fence of a refused one.
    pub(super) fn decide(
        &mut self,
        now: Instant,
        offer: &Offer<'_>,
    ) -> Result<Place, RefuseReason> {
        if let Some(record) = self.records.get(offer.key) {
            return Err(match record.state {
                State::Fenced => RefuseReason::Fenced,
                _ => RefuseReason::Duplicate,
            });
        }
        // No copy can have a deadline that is still open, so no fence is needed.
        let spread = self.cfg.deadline_spread_us;
        if offer.deadline.saturating_add_micros(spread) <= now {
            return Err(RefuseReason::Deadline);
        }
        if !self.records.has_room(now) {
            return Err(RefuseReason::TableFull);
        }
        let decision = self.judge(now, offer);
        if decision.is_err() {
            self.put(offer.key, State::Fenced, offer.deadline);
        }
        decision
    }

    /// Decides on an offer of a request that is not known yet.
    fn judge(&self, now: Instant, offer: &Offer<'_>) -> Result<Place, RefuseReason> {
        if offer.deadline <= now {
            return Err(RefuseReason::Deadline);
        }
        let target = self.target(now).ok_or(RefuseReason::NoTarget)?;
        if target.service.as_str() != offer.service {
            return Err(RefuseReason::WrongService);
        }
        if self.is_draining() || self.would_be_cut(now, offer.urgency.class) {
            return Err(RefuseReason::Draining);
        }
        let is_slow = self.pace.is_slow(now, &self.cfg.pace);
        if is_slow && offer.may_decline {
            return Err(RefuseReason::Slow);
        }
        if self.is_hopeless(now, offer) {
            return Err(RefuseReason::Deadline);
        }
        if !is_slow && self.queue.len() == 0 && self.in_flight < self.limit.current() {
            return Ok(Place::Slot);
        }
        let max_queued = u64::from(target.slots) * u64::from(self.cfg.queue_factor);
        if self.queue.len() as u64 >= max_queued {
            return Err(RefuseReason::Overloaded);
        }
        let end = now.saturating_add_micros(self.predicted_time_us(now, &offer.urgency));
        if self.ends_at.is_some_and(|at| end > at) {
            return Err(RefuseReason::Draining);
        }
        if end > offer.deadline {
            return Err(RefuseReason::Overloaded);
        }
        if offer.urgency.due.is_none_or(|due| end <= due) {
            return Ok(Place::Queue);
        }
        // A late answer is worth little. It may use what on-time requests leave, but a long
        // queue of late requests would only be refused later.
        let has_room = self.queue.late(now, &self.work) < self.limit.current() as usize;
        match has_room && !offer.may_decline {
            true => Ok(Place::Queue),
            false => Err(RefuseReason::Overloaded),
        }
    }

    /// Returns whether a request that started now would probably be cut by the end of the node.
    fn would_be_cut(&self, now: Instant, class: u32) -> bool {
        let usual_us = self.work.usual_us(class);
        self.ends_at
            .is_some_and(|at| now.saturating_add_micros(usual_us) > at)
    }

    /// Returns whether the target could hardly answer before the deadline if it started now.
    fn is_hopeless(&self, now: Instant, offer: &Offer<'_>) -> bool {
        let least_us = self.work.least_us(offer.urgency.class);
        now.saturating_add_micros(least_us) >= offer.deadline
    }

    /// Returns the instant until which a request waits for the end of a slow moment.
    pub(super) fn hold_until(&self, waiting: &Waiting) -> Instant {
        let service_us = self.work.mean_us(waiting.urgency.class);
        self.pace
            .hold_until(waiting.queued_at, service_us, &self.cfg.pace)
    }

    /// Predicts when a request that is queued now is answered, in microseconds.
    ///
    /// One slot has to come free for the work ahead, and one for the request itself. The
    /// prediction includes its own service time, because an answer after the deadline
    /// occupies a slot for nothing. Nothing starts in slow moments, so that waits are longer
    /// by their share of the time.
    fn predicted_time_us(&self, now: Instant, urgency: &Urgency) -> u64 {
        let slots = u64::from(self.limit.current());
        if slots == 0 {
            return u64::MAX;
        }
        let wait_us = self.waits.correct(self.predicted_wait_us(now, urgency));
        wait_us.saturating_add(self.work.usual_us(urgency.class))
    }

    /// Predicts the wait of a request that is queued now, in microseconds.
    pub(super) fn predicted_wait_us(&self, now: Instant, urgency: &Urgency) -> u64 {
        let slots = u64::from(self.limit.current()).max(1);
        let ahead_us = self.queue.work_ahead_us(now, urgency, &self.work);
        let wait_us = (ahead_us + self.work.mean_of_all_us()) / slots;
        (wait_us as f64 / (1.0 - self.pace.slow_share())) as u64
    }

    /// Checks an admitted request at the moment of dispatch.
    pub(super) fn dispatch_admitted(
        &mut self,
        now: Instant,
        key: RequestKey,
        record: Record,
    ) -> Dispatch {
        let refusal = if record.deadline <= now {
            Some(RefuseReason::Deadline)
        } else if self.target(now).is_none() || record.generation != self.generation {
            Some(RefuseReason::NoTarget)
        } else if self.would_be_cut(now, record.class) {
            Some(RefuseReason::Draining)
        } else {
            None
        };
        if let Some(reason) = refusal {
            self.counters.count_refusal(reason);
            self.release(now, key, State::Fenced, record.deadline);
            return Dispatch::Refused(reason);
        }
        self.counters.dispatched += 1;
        let started = Record {
            is_slow: self.pace.is_slow(now, &self.cfg.pace),
            state: State::Started,
            started: now,
            level: self.in_flight,
            ..record
        };
        self.records.put(key, started);
        Dispatch::Go
    }

    /// Cancels a request in any state.
    pub(super) fn cancel_known(&mut self, now: Instant, key: RequestKey, record: Record) {
        match record.state {
            State::Queued(ticket) => {
                self.queue.remove(ticket);
                self.put(key, State::Fenced, record.deadline);
            }
            State::Admitted => self.release(now, key, State::Fenced, record.deadline),
            State::Started => {
                if record.generation == self.generation {
                    let elapsed = now.micros_since(record.started);
                    if !record.is_slow {
                        self.work.add_cancelled(record.class, elapsed);
                    }
                    self.limit.on_failure(record.level);
                }
                self.release(now, key, State::Finished, record.deadline);
            }
            State::Finished | State::Fenced => return,
        }
        self.counters.cancelled += 1;
    }

    /// Fences a request without a record.
    pub(super) fn fence_unknown(
        &mut self,
        now: Instant,
        key: RequestKey,
        deadline: Instant,
    ) -> FenceState {
        if deadline <= now || !self.records.has_room(now) {
            return FenceState::Expired;
        }
        self.counters.fenced += 1;
        self.put(key, State::Fenced, deadline);
        FenceState::Fenced
    }

    /// Lets the limit and the counters learn from the end of a started request.
    pub(super) fn learn(&mut self, now: Instant, record: &Record, finish: Finish, time_us: u64) {
        match finish {
            Finish::Completed { server_error } if server_error => self.counters.server_errors += 1,
            Finish::Completed { .. } => self.counters.completed += 1,
            Finish::NotStarted => self.counters.not_started += 1,
            Finish::Failed => self.counters.failed += 1,
            Finish::TargetRefused => self.counters.target_refused += 1,
        }
        // An answer of a replaced target says nothing about the present one.
        if record.generation != self.generation {
            return;
        }
        let is_complete = matches!(
            finish,
            Finish::Completed {
                server_error: false
            }
        );
        if is_complete && !record.is_slow {
            self.work.add(record.class, time_us);
        }
        let change = match finish {
            // Work that started in a slow moment says nothing about the concurrency.
            Finish::Completed { .. } if record.is_slow => Change::None,
            Finish::Completed {
                server_error: false,
            } => self.limit.on_sample(
                now,
                Sample {
                    started: record.started,
                    level: record.level,
                    service_time_us: time_us,
                },
            ),
            Finish::TargetRefused => self.limit.on_refusal(now, record.started, record.level),
            _ => {
                self.limit.on_failure(record.level);
                Change::None
            }
        };
        self.counters.limit_lowered += u64::from(change == Change::Lowered);
        self.counters.limit_raised += u64::from(change == Change::Raised);
    }

    /// Frees the slot of a request and puts it into a final state.
    pub(super) fn release(
        &mut self,
        now: Instant,
        key: RequestKey,
        state: State,
        deadline: Instant,
    ) {
        self.in_flight -= 1;
        self.put(key, state, deadline);
        self.note_due(now);
    }

    /// Writes the record of a request that is not with the target.
    pub(super) fn put(&mut self, key: RequestKey, state: State, deadline: Instant) {
        let record = Record {
            class: 0,
            is_slow: false,
            state,
            deadline,
            keep_until: self.keep_until(deadline),
            generation: self.generation,
            started: Instant::default(),
            level: 0,
        };
        self.records.put(key, record);
    }

    fn keep_until(&self, deadline: Instant) -> Instant {
        deadline.saturating_add_micros(2 * self.cfg.deadline_spread_us)
    }

    /// Ends an announcement that has lapsed.
    pub(super) fn end_lapsed(&mut self, now: Instant) {
        if self.target.is_some() && self.target(now).is_none() {
            self.withdraw(now);
        }
    }

    /// Fences a request that was just taken out of the queue, and tells it.
    pub(super) fn refuse_waiting(&mut self, key: RequestKey, reason: RefuseReason) {
        if let Some(record) = self.records.get(key).copied() {
            self.put(key, State::Fenced, record.deadline);
        }
        self.counters.count_refusal(reason);
        self.push_refusal(key, reason);
    }

    pub(super) fn push_refusal(&mut self, key: RequestKey, reason: RefuseReason) {
        self.pending.push(Wakeup {
            key,
            admission: Admission::Refused(reason),
        });
    }

    /// Notes that wakeups may be due.
    pub(super) fn note_due(&mut self, now: Instant) {
        let has_room = self.in_flight < self.limit.current();
        let can_promote = has_room && self.first_to_start(now).is_some();
        if can_promote || !self.pending.is_empty() {
            self.due.get_or_insert(now);
        }
    }

    /// Hands out the wakeups that are due: refusals first, then admissions in the
    /// order of arrival.
    pub(super) fn wake(&mut self, now: Instant) -> Vec<Wakeup> {
        while let Some(waiting) = self.queue.pop_hopeless(now, &self.work) {
            // It would have waited even longer.
            self.waits.learn(now, &waiting);
            self.refuse_waiting(waiting.key, RefuseReason::Deadline);
        }
        let mut wakeups = std::mem::take(&mut self.pending);
        while self.in_flight < self.limit.current() {
            let Some(ticket) = self.first_to_start(now) else {
                break;
            };
            let Some(waiting) = self.queue.remove(ticket) else {
                break;
            };
            self.waits.learn(now, &waiting);
            wakeups.push(self.promote(waiting.key));
        }
        self.due = None;
        wakeups
    }

    /// Returns the request that starts next, unless it waits for the end of a slow moment.
    fn first_to_start(&self, now: Instant) -> Option<Ticket> {
        let (ticket, waiting) = self.queue.first(now, &self.work)?;
        (self.hold_until(waiting) <= now).then_some(ticket)
    }

    fn promote(&mut self, key: RequestKey) -> Wakeup {
        let record = self.records.get(key).copied();
        let deadline = record.map(|record| record.deadline);
        self.put(key, State::Admitted, deadline.unwrap_or_default());
        self.records
            .set_class(key, record.map_or(0, |record| record.class));
        self.in_flight += 1;
        self.counters.promoted += 1;
        Wakeup {
            key,
            admission: Admission::Start,
        }
    }
}
