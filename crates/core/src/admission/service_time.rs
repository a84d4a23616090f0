//! Service time of the target, and what it says at different concurrency.

/// Mean that weighs recent samples more once it has seen enough of them.
#[derive(Clone, Copy, Debug, Default)]
struct RunningMean {
    samples: u32,
    value: f64,
}

/// Weight of a sample in a running mean is at least one in this many.
const MEAN_SAMPLES: u32 = 64;

impl RunningMean {
    fn add(&mut self, sample: f64) {
        self.samples = (self.samples + 1).min(MEAN_SAMPLES);
        self.value += (sample - self.value) / f64::from(self.samples);
    }
}

/// Mean and spread of the service time, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceTime {
    mean: RunningMean,
    /// Mean absolute deviation from the mean.
    deviation: RunningMean,
}

impl ServiceTime {
    /// Adds the time of a completed request.
    pub(super) fn add(&mut self, micros: u64) {
        let sample = micros as f64;
        if self.mean.samples > 0 {
            self.deviation.add((sample - self.mean.value).abs());
        }
        self.mean.add(sample);
    }

    /// Adds the time of a request that was cancelled after `micros`.
    ///
    /// It would have taken longer. Leaving it out would make the mean too low when
    /// many requests reach their deadline.
    pub(super) fn add_cancelled(&mut self, micros: u64) {
        if micros as f64 > self.mean.value {
            self.add(micros);
        }
    }

    /// Returns the mean.
    pub(super) fn mean_us(&self) -> u64 {
        self.mean.value as u64
    }

    /// Returns the number of samples, as far as they count.
    pub(super) fn samples(&self) -> u32 {
        self.mean.samples
    }

    /// Returns a time in which few requests are served: the mean less one mean deviation, and
    /// at most four fifths of the mean, because predictions are not exact.
    pub(super) fn least_us(&self) -> u64 {
        let less_deviation = (self.mean.value - self.deviation.value).max(0.0);
        less_deviation.min(self.mean.value * 0.8) as u64
    }

    /// Returns a time in which most requests are served: the mean and two mean
    /// deviations.
    ///
    /// Predictions from the mean alone admitted requests that ended late: goodput at
    /// 1.5 times the capacity was 0.77 with service times of 10 to 30 ms and deadlines
    /// of 60 ms.
    pub(super) fn usual_us(&self) -> u64 {
        (self.mean.value + 2.0 * self.deviation.value) as u64
    }
}

/// Settings of the comparison.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompareSettings {
    /// Requests at high concurrency that make up one comparison. The mean of 128
    /// samples of an exponential distribution has a standard deviation of 9 %.
    pub window: u32,
    /// Ratio of service times, high to low concurrency, from which on the announced
    /// slots are taken to mislead.
    pub misled_ratio: f64,
    /// Ratio up to which the target is taken to cope.
    pub cope_ratio: f64,
    /// Requests at low concurrency that a comparison needs.
    pub base_samples: u32,
    /// Requests at low concurrency that confirm a suspicion. With 24 of them, and 64 in
    /// a window, chance lowered the limit of a truthful target in 1 of 60 runs.
    pub confirm_samples: u32,
    /// Requests at high concurrency after which the base is sampled again. With 12
    /// slots, a sampling costs the work of about 60 requests, less than 1 % of this
    /// number.
    pub base_interval: u32,
}

impl Default for CompareSettings {
    fn default() -> Self {
        CompareSettings {
            window: 128,
            misled_ratio: 2.0,
            cope_ratio: 1.5,
            base_samples: 16,
            confirm_samples: 48,
            base_interval: 8_192,
        }
    }
}

/// A sample counts at most this many times the mean at low concurrency, so that a
/// few stalled requests don't pass for overload.
const SAMPLE_CAP: f64 = 4.0;

/// Result of a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// The service time at high concurrency is about that at low concurrency, or nothing
    /// is known of the latter.
    Copes,
    /// It is neither.
    Unclear,
    /// It is a multiple, found twice in a row with a fresh base.
    Misled,
}

/// Concurrency at which a request was dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Level {
    Low,
    Medium,
    High,
}

/// Compares service times at high and low concurrency.
///
/// Under steady load no request runs at low concurrency. The comparison then asks for
/// a short time at low concurrency, a *sampling*.
#[derive(Debug)]
pub(super) struct Comparison {
    cfg: CompareSettings,
    /// Service time at low concurrency.
    base: RunningMean,
    /// Samples at low concurrency that are still wanted; not zero during a sampling.
    wanted: u32,
    /// Number and sum of the samples at high concurrency.
    window: (u32, f64),
    /// Samples at high concurrency since the base was last sampled; samples at low
    /// concurrency reduce it. A sampling is due from `base_interval` on.
    since_base: u32,
    /// The last comparison exceeded the ratio, and the base was sampled afresh.
    is_suspect: bool,
}

impl Comparison {
    /// Creates a comparison without samples.
    pub(super) fn new(cfg: CompareSettings) -> Self {
        Comparison {
            cfg,
            base: RunningMean::default(),
            wanted: 0,
            window: (0, 0.0),
            since_base: cfg.base_interval,
            is_suspect: false,
        }
    }

    /// Returns whether the comparison asks for requests at low concurrency.
    pub(super) fn is_sampling(&self) -> bool {
        self.wanted > 0
    }

    /// Drops the samples at high concurrency, which belong to another limit.
    pub(super) fn restart_window(&mut self) {
        self.window = (0, 0.0);
    }

    /// Counts a request at low concurrency that ended without a service time.
    ///
    /// A sampling ends even if the target completes nothing; otherwise the low limit
    /// would last as long as the target's errors.
    pub(super) fn skip(&mut self) {
        self.wanted = self.wanted.saturating_sub(1);
    }

    /// Adds a sample and returns the verdict if it completes a comparison.
    pub(super) fn add(&mut self, level: Level, micros: u64) -> Option<Verdict> {
        match level {
            Level::Low => self.add_low(micros as f64),
            Level::Medium => {}
            Level::High => return self.add_high(micros as f64),
        }
        None
    }

    fn add_low(&mut self, sample: f64) {
        self.base.add(sample);
        self.wanted = self.wanted.saturating_sub(1);
        self.since_base = self
            .since_base
            .saturating_sub(self.cfg.base_interval / self.cfg.base_samples);
    }

    fn add_high(&mut self, sample: f64) -> Option<Verdict> {
        self.since_base = self.since_base.saturating_add(1);
        let cap = if self.has_base() {
            self.base.value * SAMPLE_CAP
        } else {
            f64::MAX
        };
        self.window.0 += 1;
        self.window.1 += sample.min(cap);
        if self.window.0 < self.cfg.window || self.is_sampling() {
            return None;
        }
        let (samples, sum) = std::mem::take(&mut self.window);
        Some(self.compare(sum / f64::from(samples)))
    }

    fn has_base(&self) -> bool {
        self.base.samples >= self.cfg.base_samples
    }

    fn compare(&mut self, high: f64) -> Verdict {
        if self.since_base >= self.cfg.base_interval {
            self.sample_base(self.cfg.base_samples);
            return Verdict::Unclear;
        }
        if !self.has_base() {
            // The sampling gave too little. Sampling again at once would cost the
            // target's work for as long as its requests fail.
            self.is_suspect = false;
            return Verdict::Copes;
        }
        let ratio = high / self.base.value.max(1.0);
        let was_suspect = std::mem::replace(&mut self.is_suspect, ratio >= self.cfg.misled_ratio);
        match (was_suspect, self.is_suspect) {
            (true, true) => {
                self.is_suspect = false;
                Verdict::Misled
            }
            (false, true) => {
                self.base = RunningMean::default();
                self.sample_base(self.cfg.confirm_samples);
                Verdict::Unclear
            }
            _ if ratio <= self.cfg.cope_ratio => Verdict::Copes,
            _ => Verdict::Unclear,
        }
    }

    fn sample_base(&mut self, samples: u32) {
        self.wanted = samples;
        self.since_base = 0;
        self.restart_window();
    }
}
