//! Concurrency limit of the target.
//!
//! The announced slots are an upper bound. Two kinds of evidence lower the limit: the
//! target refuses a request, or its service time at high concurrency is a multiple of
//! its service time at low concurrency, which means that it works on fewer requests at
//! once than it announced. The limit rises by one slot at a time.

use crate::time::Instant;

/// Settings of the concurrency limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSettings {
    /// Completed requests at high concurrency that make up one comparison.
    pub window: u32,
    /// Ratio of service times, high to low concurrency, that lowers the limit.
    ///
    /// The mean of 32 samples of an exponential distribution has a standard deviation
    /// of 18 %, so chance alone doesn't reach a ratio of 2.
    pub lower_ratio: f64,
    /// Ratio up to which the limit may rise.
    pub raise_ratio: f64,
    /// Factor of one reduction.
    pub lower_factor: f64,
    /// Time after a reduction during which the limit doesn't rise, in microseconds.
    pub hold_us: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        LimitSettings {
            window: 32,
            lower_ratio: 2.0,
            raise_ratio: 1.5,
            lower_factor: 0.75,
            hold_us: 1_000_000,
        }
    }
}

/// Completed requests for the first estimate of the service time at low concurrency.
const MIN_BASE_SAMPLES: u32 = 16;

/// Weight of a sample in the running means is at least one in this many.
const MEAN_SAMPLES: u32 = 32;

/// A sample counts at most this many times the mean at low concurrency, so that a
/// few stalled requests don't pass for overload.
const SAMPLE_CAP: f64 = 4.0;

/// What a change of the limit amounted to.
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

/// Mean that weighs recent samples more once it has seen enough of them.
#[derive(Clone, Copy, Debug, Default)]
struct RunningMean {
    samples: u32,
    value: f64,
}

impl RunningMean {
    fn add(&mut self, sample: f64) {
        self.samples = (self.samples + 1).min(MEAN_SAMPLES);
        self.value += (sample - self.value) / f64::from(self.samples);
    }
}

/// Samples at high concurrency since the last comparison.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    samples: u32,
    sum: f64,
}

/// Adaptive concurrency limit of one target.
#[derive(Debug)]
pub(super) struct Limit {
    cfg: LimitSettings,
    /// Announced capacity.
    ceiling: u32,
    /// At most `ceiling`; at least one unless `ceiling` is zero.
    current: u32,
    /// Service time of all samples.
    mean: RunningMean,
    /// Service time of samples at low concurrency.
    base: RunningMean,
    window: Window,
    /// Instant of the last change. Requests dispatched earlier are no evidence for a
    /// further change.
    changed: Instant,
    /// The limit doesn't rise before this instant.
    hold_until: Instant,
}

impl Limit {
    /// Creates a limit for a target that announced `ceiling` requests at once.
    pub(super) fn new(cfg: LimitSettings, ceiling: u32) -> Self {
        Limit {
            cfg,
            ceiling,
            current: ceiling,
            mean: RunningMean::default(),
            base: RunningMean::default(),
            window: Window::default(),
            changed: Instant::default(),
            hold_until: Instant::default(),
        }
    }

    /// Returns the limit.
    pub(super) fn current(&self) -> u32 {
        self.current
    }

    /// Returns the recent service time in microseconds, zero if unknown.
    pub(super) fn service_time_us(&self) -> u64 {
        self.mean.value as u64
    }

    /// Takes over a renewed announcement. A lowered limit stays lowered.
    pub(super) fn set_ceiling(&mut self, ceiling: u32) {
        let was_lowered = self.current < self.ceiling;
        self.ceiling = ceiling;
        self.current = if was_lowered {
            self.current.max(1).min(ceiling)
        } else {
            ceiling
        };
    }

    /// Learns that the target refused a request dispatched at `started`.
    pub(super) fn on_refusal(&mut self, now: Instant, started: Instant, level: u32) -> Change {
        if started < self.changed {
            return Change::None;
        }
        self.lower(now, self.current.min(level))
    }

    /// Learns the service time of a completed request.
    pub(super) fn on_sample(&mut self, now: Instant, sample: Sample) -> Change {
        let service_time = sample.service_time_us as f64;
        self.mean.add(service_time);
        if sample.level <= self.ceiling.div_ceil(2) {
            self.base.add(service_time);
        }
        let is_high = u64::from(sample.level) * 4 > u64::from(self.current) * 3;
        if !is_high || sample.started < self.changed {
            return Change::None;
        }
        let cap = if self.has_base() {
            self.base.value * SAMPLE_CAP
        } else {
            f64::MAX
        };
        self.window.samples += 1;
        self.window.sum += service_time.min(cap);
        if self.window.samples < self.cfg.window {
            return Change::None;
        }
        self.compare(now)
    }

    fn has_base(&self) -> bool {
        self.base.samples >= MIN_BASE_SAMPLES
    }

    /// Compares the service time at high concurrency with that at low concurrency.
    fn compare(&mut self, now: Instant) -> Change {
        let window = std::mem::take(&mut self.window);
        if !self.has_base() {
            // A limit lowered by refusals must be able to rise without a base.
            return self.raise(now);
        }
        let ratio = window.sum / f64::from(window.samples) / self.base.value.max(1.0);
        if ratio >= self.cfg.lower_ratio && self.current > self.floor() {
            self.lower(now, self.current)
        } else if ratio <= self.cfg.raise_ratio {
            self.raise(now)
        } else {
            Change::None
        }
    }

    /// Returns the limit below which service times no longer lower it: samples at up
    /// to half the ceiling are the base of the comparison.
    fn floor(&self) -> u32 {
        self.ceiling.div_ceil(2)
    }

    fn lower(&mut self, now: Instant, from: u32) -> Change {
        let target = (f64::from(from) * self.cfg.lower_factor) as u32;
        let target = target.max(1).min(self.current);
        self.changed = now;
        self.hold_until = now.saturating_add_micros(self.cfg.hold_us);
        self.window = Window::default();
        if target == self.current {
            return Change::None;
        }
        self.current = target;
        Change::Lowered
    }

    fn raise(&mut self, now: Instant) -> Change {
        if now < self.hold_until || self.current >= self.ceiling {
            return Change::None;
        }
        self.current += 1;
        self.changed = now;
        Change::Raised
    }
}
