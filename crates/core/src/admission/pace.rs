//! Pace of the target's host: how long work takes there at the moment, in percent of the
//! usual time. At 500 percent it takes five times as long.
//!
//! Hosts are shared, and a target may report the pace of its host, which changes many times
//! per second. Work that starts in a slow period takes several times as long, even when the
//! period ends meanwhile. It is therefore worth delaying the start or using another target.

use crate::time::Instant;

/// Settings for the detection of slow periods of the target's host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceSettings {
    /// Minimum pace at which the host counts as slow, in percent of the best recent pace. A target
    /// that has just started is slow for seconds; delaying requests until it is as fast as
    /// usual would help nobody.
    pub slow_threshold_percent: u32,
    /// Length of the windows over which the best pace is taken, in microseconds. The best pace
    /// covers the present window and the previous one.
    pub best_window_us: u64,
    /// Minimum age of the last report at which the pace is measured again, in microseconds.
    pub remeasure_after_us: u64,
    /// Minimum time between two measurements, in microseconds; `None` disables them.
    pub min_interval_us: Option<u64>,
    /// Age at which the last report becomes stale and is ignored, in microseconds.
    pub stale_after_us: u64,
}

impl Default for PaceSettings {
    fn default() -> Self {
        PaceSettings {
            slow_threshold_percent: 150,
            best_window_us: 500_000,
            remeasure_after_us: 20_000,
            min_interval_us: Some(20_000),
            stale_after_us: 500_000,
        }
    }
}

/// Pace at which work takes the usual time.
const USUAL_PERCENT: u32 = 100;

/// Time over which the share of slow periods is averaged, in microseconds.
const SLOW_SHARE_WINDOW_US: u64 = 3_000_000;

/// Maximum share of slow periods that predictions use. On a host that is always slow, requests
/// still start, after a delay; a share of 1 would predict that they wait forever.
const MAX_SLOW_SHARE: f64 = 0.75;

impl PaceSettings {
    /// Returns settings for a target that allows `per_second` health checks per second. A
    /// sixth of them is left for health checks by others; zero disables the measurements.
    pub fn with_max_rate(per_second: u64) -> Self {
        PaceSettings {
            min_interval_us: 1_200_000_u64.checked_div(per_second),
            ..Default::default()
        }
    }
}

/// Pace of the target's host as reported by the target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HostPace {
    /// Instant of the last report and the pace that it gave, in percent of the usual time.
    last_report: Option<(Instant, u32)>,
    /// Best pace in the present window and in the previous one, in percent.
    best: [Option<u32>; 2],
    /// End of the present window of `best`.
    best_window_end: Instant,
    /// Share of the recent time in which the host was slow, from 0 to 1.
    slow_share: f64,
    /// Instant of the first report of the present slow period; `None` outside of one.
    slow_since: Option<Instant>,
    /// Instant at which the last measurement was started.
    last_measured: Option<Instant>,
    /// Instant of the last response to a measurement.
    last_checked: Option<Instant>,
}

impl HostPace {
    /// Records a pace that the target has reported.
    pub(super) fn record_report(&mut self, now: Instant, percent: u32, cfg: &PaceSettings) {
        if let Some((at, last_percent)) = self.last_report {
            let elapsed_us = now.micros_since(at).min(cfg.stale_after_us);
            let weight = elapsed_us as f64 / (SLOW_SHARE_WINDOW_US + elapsed_us) as f64;
            let was_slow = f64::from(u8::from(self.is_slow_percent(last_percent, cfg)));
            self.slow_share += (was_slow - self.slow_share) * weight;
        }
        self.last_report = Some((now, percent));
        if now >= self.best_window_end {
            let is_gap = now
                >= self
                    .best_window_end
                    .saturating_add_micros(cfg.best_window_us);
            self.best = [None, self.best[0].filter(|_| !is_gap)];
            self.best_window_end = now.saturating_add_micros(cfg.best_window_us);
        }
        self.best[0] = Some(self.best[0].map_or(percent, |best| best.min(percent)));
        self.slow_since = self
            .is_slow_percent(percent, cfg)
            .then(|| self.slow_since.unwrap_or(now));
    }

    /// Returns the share of the recent time in which the host was slow, from 0 to
    /// [`MAX_SLOW_SHARE`].
    pub(super) fn slow_share(&self) -> f64 {
        self.slow_share.min(MAX_SLOW_SHARE)
    }

    /// Returns the last reported pace in percent; zero if the target does not report it.
    pub(super) fn percent(&self) -> u32 {
        self.last_report.map_or(0, |(_, percent)| percent)
    }

    /// Returns whether work that starts now would probably take much longer than usual.
    pub(super) fn is_slow(&self, now: Instant, cfg: &PaceSettings) -> bool {
        self.last_report.is_some_and(|(at, percent)| {
            self.is_slow_percent(percent, cfg) && now.micros_since(at) < cfg.stale_after_us
        })
    }

    fn is_slow_percent(&self, percent: u32, cfg: &PaceSettings) -> bool {
        let best = self.best.iter().flatten().min().copied().unwrap_or(percent);
        u64::from(percent) * 100
            >= u64::from(best.max(USUAL_PERCENT)) * u64::from(cfg.slow_threshold_percent)
    }

    /// Returns whether the pace should be measured before the next request starts, and
    /// records that a measurement was started. A target that reports no pace is measured once, or
    /// again and again while `must_check` is true, because its health check also tells whether it
    /// has left or is cold.
    pub(super) fn start_measurement(
        &mut self,
        now: Instant,
        cfg: &PaceSettings,
        must_check: bool,
    ) -> bool {
        let Some(min_interval_us) = cfg.min_interval_us else {
            return false;
        };
        let is_too_soon = self
            .last_measured
            .is_some_and(|last_measured| now.micros_since(last_measured) < min_interval_us);
        let is_due = match (self.last_measured, self.last_report) {
            _ if is_too_soon => false,
            _ if must_check => true,
            (None, None) => true,
            (Some(_), None) => false,
            (_, Some((at, _))) => now.micros_since(at) >= cfg.remeasure_after_us,
        };
        if !is_due {
            return false;
        }
        self.last_measured = Some(now);
        true
    }

    /// Records the response to a measurement.
    pub(super) fn record_check(&mut self, now: Instant) {
        self.last_checked = Some(now);
    }

    /// Returns whether no measurement had a response in the last `interval_us` microseconds.
    pub(super) fn is_check_older_than(&self, now: Instant, interval_us: u64) -> bool {
        self.last_checked
            .is_none_or(|last_checked| now.micros_since(last_checked) >= interval_us)
    }

    /// Returns the instant until which it is worth delaying the start of a request that was
    /// queued at `queued_at`.
    ///
    /// The delay is the time by which the slow period would lengthen the work, but it ends when
    /// the last report becomes stale. A request that starts after the whole delay takes at most
    /// twice the time that it would have taken if it had started at once.
    ///
    /// The delay is counted from the beginning of the slow period. Otherwise requests that were
    /// queued before it, which are most of them under load, would start in it.
    pub(super) fn delay_start_until(
        &self,
        queued_at: Instant,
        service_us: u64,
        cfg: &PaceSettings,
    ) -> Instant {
        let (Some(since), Some((reported_at, percent))) = (self.slow_since, self.last_report)
        else {
            return queued_at;
        };
        let extra_percent = u64::from(percent.saturating_sub(USUAL_PERCENT));
        let worthwhile_until = since
            .max(queued_at)
            .saturating_add_micros(service_us * extra_percent / 100);
        worthwhile_until.min(reported_at.saturating_add_micros(cfg.stale_after_us))
    }
}
