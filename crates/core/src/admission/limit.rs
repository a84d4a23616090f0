//! Concurrency limit of the target.
//!
//! The announced slots are an upper bound. The limit is lowered when the target refuses
//! a request, or when its service time at high concurrency is a multiple of its service
//! time at low concurrency: the target then works on fewer requests at once than it
//! announced. The limit is raised by one slot at a time.

use super::service_time::{
    ComparisonSettings, ComparisonVerdict, ConcurrencyLevel, ServiceTimeComparison,
};
use crate::time::Instant;

/// Settings of the adaptive concurrency limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSettings {
    /// Settings of the comparison of service times.
    pub comparison: ComparisonSettings,
    /// Factor by which a reduction multiplies the limit. A refusal at a time when
    /// increases are allowed again lowers the limit by one slot instead.
    pub reduction_factor: f64,
    /// Minimum time between a reduction and the next increase, in microseconds.
    pub min_raise_delay_us: u64,
    /// Maximum time between a reduction and the next increase, in microseconds.
    pub max_raise_delay_us: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        LimitSettings {
            comparison: ComparisonSettings::default(),
            reduction_factor: 0.75,
            min_raise_delay_us: 1_000_000,
            max_raise_delay_us: 30_000_000,
        }
    }
}

/// Announced capacity below which service times are not compared, because low and high
/// concurrency would be too close to tell apart.
const MIN_COMPARED_CAPACITY: u32 = 4;

/// Effect of an event on the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LimitChange {
    None,
    Lowered,
    Raised,
}

/// Service time of a request that the target completed without a server error.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceTimeSample {
    /// Instant of the dispatch.
    pub(super) started: Instant,
    /// Number of requests that held a slot at the dispatch, this one included.
    pub(super) concurrency: u32,
    /// Time from dispatch to the end of the answer, in microseconds.
    pub(super) service_time_us: u64,
}

/// Adaptive concurrency limit of one target.
#[derive(Clone, Debug)]
pub(super) struct ConcurrencyLimit {
    cfg: LimitSettings,
    /// Number of requests that the target announced to work on at once.
    announced_capacity: u32,
    /// Present limit: at most `announced_capacity`, and at least one unless that is zero.
    limit: u32,
    comparison: ServiceTimeComparison,
    /// Completed requests at high concurrency since the last change. Counted only where
    /// service times can't be compared.
    high_concurrency_successes: u32,
    /// Instant of the last change. Requests dispatched earlier don't change the limit again.
    last_change: Instant,
    /// The limit is not raised before this instant.
    no_raise_before: Instant,
    /// Time without an increase after the next reduction. It doubles with each reduction and
    /// halves with each increase that follows another, so that a target at its true capacity
    /// is seldom probed above it.
    next_raise_delay_us: u64,
    /// Whether the last change was an increase.
    was_raised: bool,
}

impl ConcurrencyLimit {
    /// Creates the limit of a target that announced to work on `announced_capacity` requests
    /// at once.
    pub(super) fn new(cfg: LimitSettings, announced_capacity: u32) -> Self {
        ConcurrencyLimit {
            announced_capacity,
            limit: announced_capacity,
            comparison: ServiceTimeComparison::new(cfg.comparison),
            high_concurrency_successes: 0,
            last_change: Instant::default(),
            no_raise_before: Instant::default(),
            next_raise_delay_us: cfg.min_raise_delay_us,
            was_raised: false,
            cfg,
        }
    }

    /// Returns the number of requests that the target is assumed to work on at once.
    pub(super) fn slots(&self) -> u32 {
        self.limit
    }

    /// Returns the number of requests that may hold a slot now. It is below
    /// [`ConcurrencyLimit::slots`] while the service time at low concurrency is sampled.
    pub(super) fn effective_limit(&self) -> u32 {
        if self.comparison.is_sampling() {
            self.limit.min(self.max_low_concurrency())
        } else {
            self.limit
        }
    }

    /// Updates the announced capacity. A lowered limit stays lowered.
    pub(super) fn set_announced_capacity(&mut self, announced_capacity: u32) {
        if announced_capacity == self.announced_capacity {
            return;
        }
        let was_lowered = self.limit < self.announced_capacity;
        self.announced_capacity = announced_capacity;
        self.limit = if was_lowered {
            self.limit.max(1).min(announced_capacity)
        } else {
            announced_capacity
        };
        // The bound of low concurrency depends on the announced capacity.
        self.comparison = ServiceTimeComparison::new(self.cfg.comparison);
    }

    /// Records that the target refused a request dispatched at `started`.
    ///
    /// The first refusal after `no_raise_before` shows that the concurrency was one too high.
    /// Earlier refusals lower the limit by a factor.
    pub(super) fn on_refusal(
        &mut self,
        now: Instant,
        started: Instant,
        concurrency: u32,
    ) -> LimitChange {
        self.on_failure(concurrency);
        if started < self.last_change {
            return LimitChange::None;
        }
        let from = self.limit.min(concurrency);
        let limit = if now < self.no_raise_before {
            self.reduced_limit(from)
        } else {
            from.saturating_sub(1)
        };
        self.lower_limit(now, limit.max(self.refusal_floor()))
    }

    /// Records that a request ended with an error or without an answer.
    pub(super) fn on_failure(&mut self, concurrency: u32) {
        if concurrency <= self.max_low_concurrency() {
            self.comparison.skip_sample();
        }
    }

    /// Records the service time of a completed request.
    pub(super) fn on_sample(&mut self, now: Instant, sample: ServiceTimeSample) -> LimitChange {
        let is_high_concurrency = self.is_high_concurrency(sample.concurrency);
        if is_high_concurrency && sample.started < self.last_change {
            return LimitChange::None;
        }
        let level = match sample.concurrency {
            concurrency if concurrency <= self.max_low_concurrency() => ConcurrencyLevel::Low,
            _ if is_high_concurrency => ConcurrencyLevel::High,
            _ => ConcurrencyLevel::Medium,
        };
        let verdict = self.comparison.add(level, sample.service_time_us);
        if self.announced_capacity < MIN_COMPARED_CAPACITY
            || self.limit <= self.max_low_concurrency()
        {
            return self.count_success(now, is_high_concurrency);
        }
        match verdict {
            Some(ComparisonVerdict::SlotsOverstated) => {
                self.lower_limit(now, self.reduced_limit(self.limit))
            }
            Some(ComparisonVerdict::SlotsConfirmed) => self.raise_limit(now),
            _ => LimitChange::None,
        }
    }

    /// Counts a success where service times can't be compared.
    fn count_success(&mut self, now: Instant, is_high_concurrency: bool) -> LimitChange {
        self.high_concurrency_successes += u32::from(is_high_concurrency);
        if self.high_concurrency_successes < self.cfg.comparison.window_samples {
            return LimitChange::None;
        }
        self.high_concurrency_successes = 0;
        self.raise_limit(now)
    }

    /// Returns the lowest limit that refusals can cause.
    ///
    /// A target that refuses requests at half its capacity does not refuse them for lack of
    /// slots. A lower limit would reduce the requests that it serves without preventing the
    /// refusals.
    fn refusal_floor(&self) -> u32 {
        self.limit.min(self.announced_capacity.div_ceil(2))
    }

    /// Returns the highest concurrency that counts as low.
    fn max_low_concurrency(&self) -> u32 {
        self.announced_capacity.div_ceil(4)
    }

    /// Returns whether a request was dispatched at high concurrency.
    fn is_high_concurrency(&self, concurrency: u32) -> bool {
        u64::from(concurrency) * 4 > u64::from(self.limit) * 3
    }

    fn reduced_limit(&self, from: u32) -> u32 {
        (f64::from(from) * self.cfg.reduction_factor) as u32
    }

    fn lower_limit(&mut self, now: Instant, limit: u32) -> LimitChange {
        let limit = limit.max(1).min(self.limit);
        let is_lower = limit < self.limit;
        self.limit = limit;
        self.record_change(now);
        self.no_raise_before = now.saturating_add_micros(self.next_raise_delay_us);
        self.next_raise_delay_us = (self.next_raise_delay_us * 2).min(self.cfg.max_raise_delay_us);
        self.was_raised = false;
        if is_lower {
            LimitChange::Lowered
        } else {
            LimitChange::None
        }
    }

    fn raise_limit(&mut self, now: Instant) -> LimitChange {
        if now < self.no_raise_before || self.limit >= self.announced_capacity {
            return LimitChange::None;
        }
        self.limit += 1;
        self.record_change(now);
        if self.was_raised {
            self.next_raise_delay_us =
                (self.next_raise_delay_us / 2).max(self.cfg.min_raise_delay_us);
        }
        self.was_raised = true;
        LimitChange::Raised
    }

    fn record_change(&mut self, now: Instant) {
        self.last_change = now;
        self.high_concurrency_successes = 0;
        self.comparison.restart_window();
    }
}
