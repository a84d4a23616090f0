//! The limits on the rate at which a guard starts requests: the one that the target states and the
//! one of a cold target. A request starts when both allow it.

use super::{ColdReport, Guard, RefuseReason, Urgency};
use crate::{
    routing::WarmUp,
    time::{Instant, MICROS_PER_MILLI},
};

/// Longest time between the health checks before the starts of requests at a target that can become
/// cold, in microseconds. Ordinary answers need not tell that it is cold. The starts between two checks
/// must stay within the slack of the bound on a cold target: at 50 ms and 100 requests a second there
/// are five.
const COLD_CHECK_INTERVAL_US: u64 = 50 * MICROS_PER_MILLI;

impl Guard {
    /// Sets the limit on cold targets of the target's service; `None` if its targets are never cold.
    pub fn set_warm_up(&mut self, now: Instant, rule: Option<WarmUp>) {
        self.warm_up.set_rule(now, rule);
        self.schedule_wakeups(now);
    }

    /// Records what the target says about its cold period. `generation` is the value of
    /// [`Guard::target_generation`] when the request was sent. Returns whether this changes
    /// [`Guard::is_cold`].
    pub fn record_cold(&mut self, now: Instant, generation: u64, report: ColdReport) -> bool {
        if generation != self.target_generation {
            return false;
        }
        let was_cold = self.is_cold(now);
        self.warm_up.record(now, report);
        self.schedule_wakeups(now);
        self.is_cold(now) != was_cold
    }

    /// Returns whether there is a limit on cold targets of the target's service.
    pub fn may_become_cold(&self) -> bool {
        self.warm_up.has_rule()
    }

    /// Returns whether the target is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.target(now).is_some() && self.warm_up.is_cold(now)
    }

    /// Records the rate limit in an answer, in requests per second; `None` if the answer states
    /// none. `generation` is the value of [`Guard::target_generation`] when the request was sent.
    /// Returns whether the answer came from the present target.
    pub fn record_rate_limit(
        &mut self,
        now: Instant,
        generation: u64,
        per_second: Option<f64>,
    ) -> bool {
        if generation != self.target_generation {
            return false;
        }
        self.rate_limit.set(now, per_second);
        self.schedule_wakeups(now);
        true
    }

    /// Returns whether a request that was dispatched to the target of this generation may be sent once
    /// more, and counts it against the rate limits and the budget for such sends.
    pub fn try_resend(&mut self, now: Instant, target_generation: u64) -> bool {
        let is_allowed = self.next_limited_start() <= now
            && self.is_open_for_resend(target_generation)
            && !self.have_starts_ended(now)
            && self.resends.try_take();
        if is_allowed {
            self.record_limited_start(now);
        }
        is_allowed
    }

    /// Returns whether a request that was dispatched to the target of this generation may still be sent
    /// there. Another target, even of another service, may have its address by now.
    pub fn is_open_for_resend(&self, target_generation: u64) -> bool {
        self.closed.is_none() && self.target_generation == target_generation
    }

    /// Returns whether the health of the target must be checked periodically although no request
    /// arrives, because queued requests wait for a slow host or will start at a target that may become
    /// cold meanwhile.
    pub fn needs_checks_while_queued(&self, now: Instant) -> bool {
        let may_become_cold = self.warm_up.has_rule() && self.queue.len() > 0;
        may_become_cold || self.is_delayed_by_slow_host(now)
    }

    /// Returns whether the target can become cold and was not asked recently.
    pub(super) fn is_cold_check_due(&self, now: Instant) -> bool {
        self.warm_up.has_rule() && self.pace.is_check_older_than(now, COLD_CHECK_INTERVAL_US)
    }

    /// Counts the start of a request against both limits.
    pub(super) fn record_limited_start(&mut self, now: Instant) {
        self.rate_limit.record_start(now);
        self.warm_up.record_start(now);
    }

    /// Returns when the limits let the next request start.
    pub(super) fn next_limited_start(&self) -> Instant {
        self.rate_limit.next_start().max(self.warm_up.next_start(0))
    }

    /// Returns the time between two starts under the lower limit, in microseconds; zero without a
    /// limit.
    pub(super) fn start_interval_us(&self, now: Instant) -> u64 {
        let warm_up_us = self.warm_up.interval_us(now);
        self.rate_limit
            .interval_us()
            .max(warm_up_us)
            .unwrap_or_default()
    }

    /// Returns how long the limits delay a request if `ahead` others start before it, in
    /// microseconds.
    pub(super) fn start_wait_us(&self, now: Instant, ahead: usize) -> u64 {
        self.stated_wait_us(now, ahead)
            .max(self.warm_up.wait_us(now, ahead))
    }

    /// Returns how long the limits delay a request that is queued now, in microseconds.
    pub(super) fn rate_wait_us(&self, now: Instant, urgency: &Urgency) -> u64 {
        match self.is_rate_limited(now) {
            true => self.start_wait_us(now, self.count_ahead(now, urgency)),
            false => 0,
        }
    }

    /// Returns the number of queued requests that would start before a new one.
    pub(super) fn count_ahead(&self, now: Instant, urgency: &Urgency) -> usize {
        let (ahead, _) = self.queue.work_ahead(now, urgency, &self.service_times);
        ahead
    }

    /// Returns why a request is refused that a limit would delay for too long if `ahead` others start
    /// before it.
    pub(super) fn rate_refusal(&self, now: Instant, ahead: usize) -> RefuseReason {
        let warm_up_us = self.warm_up.wait_us(now, ahead);
        match warm_up_us > 0 && warm_up_us >= self.stated_wait_us(now, ahead) {
            true => RefuseReason::Cold,
            false => RefuseReason::RateLimited,
        }
    }

    /// Returns why a request is refused when the queue is full. The requests of a cold target's
    /// queue wait for the limit, not for slots.
    pub(super) fn full_queue_reason(&self, now: Instant) -> RefuseReason {
        match self.rate_refusal(now, self.queue.len()) {
            RefuseReason::Cold => RefuseReason::Cold,
            _ => RefuseReason::Overloaded,
        }
    }

    /// Refuses queued requests whose turn under the limits comes too late for their deadline, so that
    /// they do not wait in vain after a limit was stated or lowered, or the target has become cold.
    pub(super) fn refuse_beyond_rate_limit(&mut self, now: Instant) {
        if !self.is_rate_limited(now) {
            return;
        }
        let start_after = |ahead: usize| now.saturating_add_micros(self.start_wait_us(now, ahead));
        let tickets = self
            .queue
            .unservable_at_rate(now, start_after, &self.service_times);
        let reason = self.rate_refusal(now, self.queue.len());
        for ticket in tickets {
            if let Some(queued) = self.queue.remove(ticket) {
                self.refuse_queued(queued.key, reason);
            }
        }
    }

    /// Notes whether the queue waits for a limit although a slot is free.
    pub(super) fn update_limit_reason(&mut self, now: Instant) {
        let has_slot = self.in_flight < self.limit.effective_limit();
        let is_delayed = has_slot && self.next_limited_start() > now;
        self.queue.limit_reason = is_delayed.then(|| self.rate_refusal(now, 0));
    }

    fn is_rate_limited(&self, now: Instant) -> bool {
        self.rate_limit.interval_us().is_some() || self.warm_up.is_in_effect(now)
    }

    fn stated_wait_us(&self, now: Instant, ahead: usize) -> u64 {
        let interval_us = self.rate_limit.interval_us().unwrap_or_default();
        self.rate_limit
            .wait_us(now)
            .saturating_add(interval_us.saturating_mul(ahead as u64))
    }
}
