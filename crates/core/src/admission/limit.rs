//! Concurrency limit of the target.
//!
//! The announced slots are an upper bound. Two kinds of evidence lower the limit: the
//! target refuses a request, or its service time at high concurrency is a multiple of
//! its service time at low concurrency, which means that it works on fewer requests at
//! once than it announced. The limit rises by one slot at a time.

use super::service_time::{CompareSettings, Comparison, Level, Verdict};
use crate::time::Instant;

/// Settings of the concurrency limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSettings {
    /// Settings of the comparison of service times.
    pub compare: CompareSettings,
    /// Factor of a reduction, other than the first one after a refusal.
    pub lower_factor: f64,
    /// Least time between a reduction and the next rise, in microseconds.
    pub min_hold_us: u64,
    /// Greatest time between a reduction and the next rise, in microseconds.
    pub max_hold_us: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        LimitSettings {
            compare: CompareSettings::default(),
            lower_factor: 0.75,
            min_hold_us: 1_000_000,
            max_hold_us: 30_000_000,
        }
    }
}

/// Announced capacity below which service times are not compared: low and high
/// concurrency would be too close to tell apart.
const MIN_COMPARED: u32 = 4;

/// What became of the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Change {
    None,
    Lowered,
    Raised,
}

/// Request that the target completed without a server error.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    /// Instant of the dispatch.
    pub(super) started: Instant,
    /// Requests that held a slot at the dispatch, this one included.
    pub(super) level: u32,
    /// Time from dispatch to the end of the answer, in microseconds.
    pub(super) service_time_us: u64,
}

/// Adaptive concurrency limit of one target.
#[derive(Debug)]
pub(super) struct Limit {
    cfg: LimitSettings,
    /// Announced capacity.
    ceiling: u32,
    /// At most `ceiling`; at least one unless `ceiling` is zero.
    current: u32,
    comparison: Comparison,
    /// Completed requests at high concurrency since the last change, counted where
    /// service times can't be compared.
    successes: u32,
    /// Instant of the last change. Requests dispatched earlier are no evidence for a
    /// further change.
    changed: Instant,
    /// The limit doesn't rise before this instant.
    hold_until: Instant,
    /// Hold of the next reduction. It doubles with each reduction and halves with each
    /// rise that follows another, so that a target at its true limit is seldom tried
    /// above it.
    next_hold_us: u64,
    /// The last change was a rise.
    has_risen: bool,
}

impl Limit {
    /// Creates a limit for a target that announced `ceiling` requests at once.
    pub(super) fn new(cfg: LimitSettings, ceiling: u32) -> Self {
        Limit {
            ceiling,
            current: ceiling,
            comparison: Comparison::new(cfg.compare),
            successes: 0,
            changed: Instant::default(),
            hold_until: Instant::default(),
            next_hold_us: cfg.min_hold_us,
            has_risen: false,
            cfg,
        }
    }

    /// Returns the number of requests that the target is taken to work on at once.
    pub(super) fn slots(&self) -> u32 {
        self.current
    }

    /// Returns the number of requests that may hold a slot now. It is below
    /// [`Limit::slots`] while the service time at low concurrency is sampled.
    pub(super) fn current(&self) -> u32 {
        if self.comparison.is_sampling() {
            self.current.min(self.low())
        } else {
            self.current
        }
    }

    /// Takes over a renewed announcement. A lowered limit stays lowered.
    pub(super) fn set_ceiling(&mut self, ceiling: u32) {
        if ceiling == self.ceiling {
            return;
        }
        let was_lowered = self.current < self.ceiling;
        self.ceiling = ceiling;
        self.current = if was_lowered {
            self.current.max(1).min(ceiling)
        } else {
            ceiling
        };
        // Low concurrency means another number now.
        self.comparison = Comparison::new(self.cfg.compare);
    }

    /// Learns that the target refused a request dispatched at `started`.
    ///
    /// The first refusal after a quiet time tells the level that was one too high.
    /// Refusals that go on lower the limit by a factor.
    pub(super) fn on_refusal(&mut self, now: Instant, started: Instant, level: u32) -> Change {
        self.on_failure(level);
        if started < self.changed {
            return Change::None;
        }
        let from = self.current.min(level);
        let limit = if now < self.hold_until {
            self.reduced(from)
        } else {
            from.saturating_sub(1)
        };
        self.lower(now, limit.max(self.refusal_floor()))
    }

    /// Learns that a request ended with an error or without an answer.
    pub(super) fn on_failure(&mut self, level: u32) {
        if level <= self.low() {
            self.comparison.skip();
        }
    }

    /// Learns the service time of a completed request.
    pub(super) fn on_sample(&mut self, now: Instant, sample: Sample) -> Change {
        let is_full = self.is_full(sample.level);
        if is_full && sample.started < self.changed {
            return Change::None;
        }
        let level = match sample.level {
            level if level <= self.low() => Level::Low,
            _ if is_full => Level::High,
            _ => Level::Medium,
        };
        let verdict = self.comparison.add(level, sample.service_time_us);
        if self.ceiling < MIN_COMPARED || self.current <= self.low() {
            return self.count_success(now, is_full);
        }
        match verdict {
            Some(Verdict::Misled) => self.lower(now, self.reduced(self.current)),
            Some(Verdict::Copes) => self.raise(now),
            _ => Change::None,
        }
    }

    /// Counts a success where service times can't be compared.
    fn count_success(&mut self, now: Instant, is_full: bool) -> Change {
        self.successes += u32::from(is_full);
        if self.successes < self.cfg.compare.window {
            return Change::None;
        }
        self.successes = 0;
        self.raise(now)
    }

    /// Returns the limit below which refusals don't lower it.
    ///
    /// A target that refuses requests at half its capacity does not refuse them for want of
    /// slots, so that fewer requests would only be served by it, and not more of them.
    fn refusal_floor(&self) -> u32 {
        self.current.min(self.ceiling.div_ceil(2))
    }

    /// Returns the greatest number of requests at once that counts as low concurrency.
    fn low(&self) -> u32 {
        self.ceiling.div_ceil(4)
    }

    /// Returns whether a request was dispatched at high concurrency.
    fn is_full(&self, level: u32) -> bool {
        u64::from(level) * 4 > u64::from(self.current) * 3
    }

    fn reduced(&self, from: u32) -> u32 {
        (f64::from(from) * self.cfg.lower_factor) as u32
    }

    fn lower(&mut self, now: Instant, limit: u32) -> Change {
        let limit = limit.max(1).min(self.current);
        let is_lower = limit < self.current;
        self.current = limit;
        self.note_change(now);
        self.hold_until = now.saturating_add_micros(self.next_hold_us);
        self.next_hold_us = (self.next_hold_us * 2).min(self.cfg.max_hold_us);
        self.has_risen = false;
        if is_lower {
            Change::Lowered
        } else {
            Change::None
        }
    }

    fn raise(&mut self, now: Instant) -> Change {
        if now < self.hold_until || self.current >= self.ceiling {
            return Change::None;
        }
        self.current += 1;
        self.note_change(now);
        if self.has_risen {
            self.next_hold_us = (self.next_hold_us / 2).max(self.cfg.min_hold_us);
        }
        self.has_risen = true;
        Change::Raised
    }

    fn note_change(&mut self, now: Instant) {
        self.changed = now;
        self.successes = 0;
        self.comparison.restart_window();
    }
}
