//! Pace of the target's host.
//!
//! Hosts are shared. A target may tell how long work takes on its host at the moment, and
//! that changes many times per second. Work that starts in a slow moment takes several times
//! as long, even when the moment passes, so a start is worth delaying or moving elsewhere.

use crate::time::Instant;

/// Settings for the pace of the target's host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceSettings {
    /// Pace from which a moment counts as slow, in percent of the best recent pace. A target
    /// that has just started is slow for seconds, and waiting for its end would serve nobody.
    pub slow_percent: u32,
    /// Time for which the best pace is remembered, in microseconds; it is known for up to
    /// twice this time.
    pub best_us: u64,
    /// Age up to which the last pace is believed, in microseconds.
    pub fresh_us: u64,
    /// Least time between two measurements, in microseconds; none if nothing is measured.
    pub interval_us: Option<u64>,
    /// Age from which the last pace says nothing at all, in microseconds.
    pub forget_us: u64,
}

impl Default for PaceSettings {
    fn default() -> Self {
        PaceSettings {
            slow_percent: 150,
            best_us: 500_000,
            fresh_us: 20_000,
            interval_us: Some(20_000),
            forget_us: 500_000,
        }
    }
}

/// Pace at which work takes the usual time.
const USUAL_PERCENT: u32 = 100;

/// Time over which the share of slow moments is averaged, in microseconds.
const SHARE_MEMORY_US: u64 = 3_000_000;

/// Largest share of slow moments that predictions use. On a host that is always slow,
/// requests start after they were held.
const MAX_SHARE: f64 = 0.75;

impl PaceSettings {
    /// Returns settings that measure at most `per_second` times a second. A sixth of that is
    /// left for health checks of others.
    pub fn with_rate(per_second: u64) -> Self {
        PaceSettings {
            interval_us: 1_200_000_u64.checked_div(per_second),
            ..Default::default()
        }
    }
}

/// What is known of the pace.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    /// When the target last told the pace, and what it was in percent of the usual time.
    told: Option<(Instant, u32)>,
    /// Best pace of the present period and of the one before it, in percent.
    best: [Option<u32>; 2],
    /// End of the present period.
    best_until: Instant,
    /// Share of the recent time that was slow, from 0 to 1.
    slow_share: f64,
    /// When the present slow moment was first noticed; none outside of one.
    slow_since: Option<Instant>,
    /// When it was last asked.
    asked: Option<Instant>,
}

impl Pace {
    pub(super) fn note(&mut self, now: Instant, percent: u32, cfg: &PaceSettings) {
        if let Some((at, last)) = self.told {
            let passed_us = now.micros_since(at).min(cfg.forget_us);
            let weight = passed_us as f64 / (SHARE_MEMORY_US + passed_us) as f64;
            let was_slow = f64::from(u8::from(self.is_slow_percent(last, cfg)));
            self.slow_share += (was_slow - self.slow_share) * weight;
        }
        self.told = Some((now, percent));
        if now >= self.best_until {
            let is_gap = now >= self.best_until.saturating_add_micros(cfg.best_us);
            self.best = [None, self.best[0].filter(|_| !is_gap)];
            self.best_until = now.saturating_add_micros(cfg.best_us);
        }
        self.best[0] = Some(self.best[0].map_or(percent, |best| best.min(percent)));
        self.slow_since = self
            .is_slow_percent(percent, cfg)
            .then(|| self.slow_since.unwrap_or(now));
    }

    /// Returns the share of the recent time that was slow, from 0 to [`MAX_SHARE`].
    pub(super) fn slow_share(&self) -> f64 {
        self.slow_share.min(MAX_SHARE)
    }

    /// Returns the last pace in percent; zero if the target does not tell it.
    pub(super) fn percent(&self) -> u32 {
        self.told.map_or(0, |(_, percent)| percent)
    }

    /// Reports whether work that starts now would probably take much longer than usual.
    pub(super) fn is_slow(&self, now: Instant, cfg: &PaceSettings) -> bool {
        self.told.is_some_and(|(at, percent)| {
            self.is_slow_percent(percent, cfg) && now.micros_since(at) < cfg.forget_us
        })
    }

    fn is_slow_percent(&self, percent: u32, cfg: &PaceSettings) -> bool {
        let best = self.best.iter().flatten().min().copied().unwrap_or(percent);
        u64::from(percent) * 100 >= u64::from(best.max(USUAL_PERCENT)) * u64::from(cfg.slow_percent)
    }

    /// Reports whether the pace should be measured before the next start, and notes that
    /// this is done.
    pub(super) fn ask(&mut self, now: Instant, cfg: &PaceSettings) -> bool {
        let (Some((at, _)), Some(interval_us)) = (self.told, cfg.interval_us) else {
            return false;
        };
        let is_asked = self
            .asked
            .is_some_and(|asked| now.micros_since(asked) < interval_us);
        if is_asked || now.micros_since(at) < cfg.fresh_us {
            return false;
        }
        self.asked = Some(now);
        true
    }

    /// Returns until when a start is worth delaying for a request that waits since
    /// `queued_at`: as long as the slow moment would lengthen the work, and no longer than the
    /// moment is believed in. Waiting so long and starting then costs at most twice the time of
    /// the better choice.
    ///
    /// The delay counts from the beginning of the moment. Requests that were queued before it
    /// would otherwise start in it, and under load these are most of them.
    pub(super) fn hold_until(
        &self,
        queued_at: Instant,
        service_us: u64,
        cfg: &PaceSettings,
    ) -> Instant {
        let (Some(since), Some((told_at, percent))) = (self.slow_since, self.told) else {
            return queued_at;
        };
        let extra_percent = u64::from(percent.saturating_sub(USUAL_PERCENT));
        let worthwhile = since
            .max(queued_at)
            .saturating_add_micros(service_us * extra_percent / 100);
        worthwhile.min(told_at.saturating_add_micros(cfg.forget_us))
    }
}
