//! Rate limit that a target states in its answers.

use crate::time::Instant;

/// Lowest rate at which a target gets requests, per second. Their answers tell whether a limit,
/// even one of zero, still holds.
const MIN_RATE_PER_S: f64 = 0.25;

/// How far starts may be ahead of the stated rate, in microseconds. An unused allowance lets
/// requests that arrive together start together.
const MAX_AHEAD_US: u64 = 500_000;

const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Spaces the starts of requests so that they keep to the rate that a target states.
///
/// In any period of `t` seconds at most `(t + 0.5) * rate + 1` requests start, whichever entries
/// they come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct RateLimit {
    /// Time between two starts at the stated rate, in microseconds; `None` without a limit.
    interval_us: Option<u64>,
    /// Instant at which the next request would start if all starts kept the interval. At most
    /// [`MAX_AHEAD_US`] and one interval after the last start.
    next_due: Instant,
}

impl RateLimit {
    /// Sets the stated rate in requests per second; `None` ends the limit.
    pub(super) fn set(&mut self, now: Instant, per_second: Option<f64>) {
        let interval_us =
            per_second.map(|rate| (MICROS_PER_SECOND / rate.max(MIN_RATE_PER_S)) as u64);
        if self.interval_us.is_none() {
            self.next_due = now;
        }
        self.interval_us = interval_us;
        let latest = now.saturating_add_micros(MAX_AHEAD_US + interval_us.unwrap_or_default());
        self.next_due = self.next_due.min(latest);
    }

    /// Returns the time between two starts in microseconds; `None` without a limit.
    pub(super) fn interval_us(&self) -> Option<u64> {
        self.interval_us
    }

    /// Returns when the next request may start.
    pub(super) fn next_start(&self) -> Instant {
        match self.interval_us {
            Some(_) => self.next_due.saturating_sub_micros(MAX_AHEAD_US),
            None => Instant::default(),
        }
    }

    /// Returns the time until the next request may start, in microseconds.
    pub(super) fn wait_us(&self, now: Instant) -> u64 {
        self.next_start().micros_since(now)
    }

    /// Records that a request starts.
    pub(super) fn record_start(&mut self, now: Instant) {
        if let Some(interval_us) = self.interval_us {
            let due = self.next_due.max(now);
            self.next_due = due.saturating_add_micros(interval_us);
        }
    }
}
