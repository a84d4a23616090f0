//! Service time of the target, and its comparison at low and high concurrency.

/// Arithmetic mean of the first samples, and an exponentially weighted moving average from
/// `MEAN_WINDOW_SAMPLES` samples on.
#[derive(Clone, Copy, Debug, Default)]
struct RunningMean {
    samples: u32,
    value: f64,
}

/// Number of samples after which the weight of a new sample stays constant, at the inverse of
/// this number.
const MEAN_WINDOW_SAMPLES: u32 = 64;

impl RunningMean {
    fn add(&mut self, sample: f64) {
        self.samples = (self.samples + 1).min(MEAN_WINDOW_SAMPLES);
        self.value += (sample - self.value) / f64::from(self.samples);
    }
}

/// Mean and mean deviation of the service time, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceTimeStats {
    mean: RunningMean,
    /// Mean absolute deviation from the mean.
    deviation: RunningMean,
}

impl ServiceTimeStats {
    /// Adds the service time of a completed request.
    pub(super) fn add(&mut self, micros: u64) {
        let sample = micros as f64;
        if self.mean.samples > 0 {
            self.deviation.add((sample - self.mean.value).abs());
        }
        self.mean.add(sample);
    }

    /// Adds the service time of a request that was cancelled after `micros`, if that is above
    /// the mean.
    ///
    /// The request would have taken longer. Without it the mean would be too low when many
    /// requests reach their deadline.
    pub(super) fn add_cancelled(&mut self, micros: u64) {
        if micros as f64 > self.mean.value {
            self.add(micros);
        }
    }

    /// Returns the mean service time; zero before the first sample.
    pub(super) fn mean_us(&self) -> u64 {
        self.mean.value as u64
    }

    /// Returns the number of samples, at most `MEAN_WINDOW_SAMPLES`.
    pub(super) fn samples(&self) -> u32 {
        self.mean.samples
    }

    /// Returns a service time that few requests undercut: the mean minus one mean deviation,
    /// and at most four fifths of the mean, because predictions are not exact.
    pub(super) fn low_estimate_us(&self) -> u64 {
        let mean_minus_deviation = (self.mean.value - self.deviation.value).max(0.0);
        mean_minus_deviation.min(self.mean.value * 0.8) as u64
    }

    /// Returns a service time that about one in five requests exceeds: the mean plus one mean
    /// deviation.
    ///
    /// Shedding tells by it which requests can meet their latency target. In the replay of three levels
    /// at 90 % usual load, 4,289 instead of 3,713 requests were lost with the mean alone; with
    /// [`Self::high_estimate_us`] and exponential service times more were lost than without shedding
    /// (6,948 against 6,508).
    pub(super) fn usual_maximum_us(&self) -> u64 {
        (self.mean.value + self.deviation.value) as u64
    }

    /// Returns a service time that few requests exceed: the mean plus two mean deviations.
    ///
    /// Predictions from the mean alone admit requests that end late: at 1.5 times the
    /// capacity, with service times of 10 to 30 ms and deadlines of 60 ms, goodput falls to
    /// 0.77 of the capacity.
    pub(super) fn high_estimate_us(&self) -> u64 {
        (self.mean.value + 2.0 * self.deviation.value) as u64
    }
}

/// Settings of the comparison of service times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ComparisonSettings {
    /// Requests at high concurrency in one comparison. The mean of 128 samples of an
    /// exponential distribution has a standard deviation of 9 %.
    pub window_samples: u32,
    /// Minimum ratio of the service time at high concurrency to that at low concurrency at
    /// which the announced slots count as overstated.
    pub overstated_ratio: f64,
    /// Maximum ratio at which the target counts as able to work on the present number of slots.
    pub confirmed_ratio: f64,
    /// Minimum number of requests at low concurrency for a comparison.
    pub baseline_samples: u32,
    /// Requests at low concurrency that are sampled to confirm that slots are overstated.
    /// With 24 of them, and 64 in a window, chance lowers the limit of a target with correct
    /// slots in 1 of 60 runs.
    pub confirm_samples: u32,
    /// Requests at high concurrency after which the baseline is sampled again. With 12
    /// slots, sampling costs the target about 60 requests, less than 1 % of this number.
    pub baseline_interval_samples: u32,
}

impl Default for ComparisonSettings {
    fn default() -> Self {
        ComparisonSettings {
            window_samples: 128,
            overstated_ratio: 2.0,
            confirmed_ratio: 1.5,
            baseline_samples: 16,
            confirm_samples: 48,
            baseline_interval_samples: 8_192,
        }
    }
}

/// Cap of a sample at high concurrency, as a multiple of the baseline. Without it a few
/// stalled requests would look like overload.
const MAX_SAMPLE_RATIO: f64 = 4.0;

/// Result of a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ComparisonVerdict {
    /// The service time at high concurrency is about that at low concurrency, or the
    /// latter is unknown.
    SlotsConfirmed,
    /// The ratio lies between the two thresholds, or the baseline must be sampled first.
    Inconclusive,
    /// The service time at high concurrency is a multiple of that at low concurrency, twice
    /// in a row with a newly sampled baseline.
    SlotsOverstated,
}

/// Level of concurrency at which a request was dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConcurrencyLevel {
    Low,
    Medium,
    High,
}

/// Compares service times at high and low concurrency.
///
/// Under steady load no request runs at low concurrency. The comparison then asks the
/// limit to reduce the concurrency for a short time, which is called *sampling*.
#[derive(Clone, Debug)]
pub(super) struct ServiceTimeComparison {
    cfg: ComparisonSettings,
    /// Mean service time at low concurrency.
    baseline: RunningMean,
    /// Samples at low concurrency that are still to be taken; zero while not sampling.
    remaining_samples: u32,
    /// Number and sum of the samples at high concurrency in the present window.
    window: (u32, f64),
    /// Samples at high concurrency since the baseline was last sampled; samples at low
    /// concurrency reduce it. Sampling is due from `baseline_interval_samples` on.
    samples_since_baseline: u32,
    /// The last comparison exceeded `overstated_ratio`, and the baseline is sampled again.
    overstatement_suspected: bool,
}

impl ServiceTimeComparison {
    /// Creates a comparison without samples.
    pub(super) fn new(cfg: ComparisonSettings) -> Self {
        ServiceTimeComparison {
            cfg,
            baseline: RunningMean::default(),
            remaining_samples: 0,
            window: (0, 0.0),
            samples_since_baseline: cfg.baseline_interval_samples,
            overstatement_suspected: false,
        }
    }

    /// Returns whether requests should run at low concurrency.
    pub(super) fn is_sampling(&self) -> bool {
        self.remaining_samples > 0
    }

    /// Drops the samples at high concurrency, because they were taken under another limit.
    pub(super) fn restart_window(&mut self) {
        self.window = (0, 0.0);
    }

    /// Counts a request at low concurrency that ended without a service time.
    ///
    /// Sampling must end even if the target completes nothing; otherwise the low limit would
    /// last as long as the target's errors.
    pub(super) fn skip_sample(&mut self) {
        self.remaining_samples = self.remaining_samples.saturating_sub(1);
    }

    /// Adds a sample. Returns the verdict if the sample completes a comparison.
    pub(super) fn add(
        &mut self,
        level: ConcurrencyLevel,
        micros: u64,
    ) -> Option<ComparisonVerdict> {
        match level {
            ConcurrencyLevel::Low => self.add_low(micros as f64),
            ConcurrencyLevel::Medium => {}
            ConcurrencyLevel::High => return self.add_high(micros as f64),
        }
        None
    }

    fn add_low(&mut self, sample: f64) {
        self.baseline.add(sample);
        self.remaining_samples = self.remaining_samples.saturating_sub(1);
        self.samples_since_baseline = self
            .samples_since_baseline
            .saturating_sub(self.cfg.baseline_interval_samples / self.cfg.baseline_samples);
    }

    fn add_high(&mut self, sample: f64) -> Option<ComparisonVerdict> {
        self.samples_since_baseline = self.samples_since_baseline.saturating_add(1);
        let cap = if self.has_baseline() {
            self.baseline.value * MAX_SAMPLE_RATIO
        } else {
            f64::MAX
        };
        self.window.0 += 1;
        self.window.1 += sample.min(cap);
        if self.window.0 < self.cfg.window_samples || self.is_sampling() {
            return None;
        }
        let (samples, sum) = std::mem::take(&mut self.window);
        Some(self.compare(sum / f64::from(samples)))
    }

    fn has_baseline(&self) -> bool {
        self.baseline.samples >= self.cfg.baseline_samples
    }

    fn compare(&mut self, high_mean: f64) -> ComparisonVerdict {
        if self.samples_since_baseline >= self.cfg.baseline_interval_samples {
            self.start_sampling(self.cfg.baseline_samples);
            return ComparisonVerdict::Inconclusive;
        }
        if !self.has_baseline() {
            // Sampling yielded too few samples. Repeating it at once would keep the
            // concurrency low for as long as the target's requests fail.
            self.overstatement_suspected = false;
            return ComparisonVerdict::SlotsConfirmed;
        }
        let ratio = high_mean / self.baseline.value.max(1.0);
        let was_suspected = std::mem::replace(
            &mut self.overstatement_suspected,
            ratio >= self.cfg.overstated_ratio,
        );
        match (was_suspected, self.overstatement_suspected) {
            (true, true) => {
                self.overstatement_suspected = false;
                ComparisonVerdict::SlotsOverstated
            }
            (false, true) => {
                self.baseline = RunningMean::default();
                self.start_sampling(self.cfg.confirm_samples);
                ComparisonVerdict::Inconclusive
            }
            _ if ratio <= self.cfg.confirmed_ratio => ComparisonVerdict::SlotsConfirmed,
            _ => ComparisonVerdict::Inconclusive,
        }
    }

    fn start_sampling(&mut self, samples: u32) {
        self.remaining_samples = samples;
        self.samples_since_baseline = 0;
        self.restart_window();
    }
}
