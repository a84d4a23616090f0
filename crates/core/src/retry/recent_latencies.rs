//! Recent latencies of one service.

/// Number of latencies kept per service.
///
/// The 13 largest of 256 samples determine the 95th percentile. At the design size of 128
/// calls per second, the samples cover a few seconds.
const MAX_SAMPLES: usize = 256;

/// Minimum number of latencies from which the percentile is computed.
const MIN_SAMPLES: usize = 40;

/// Number of new latencies after which the percentile is computed again.
const REFRESH_INTERVAL_SAMPLES: usize = 16;

/// Most recent latencies of a service and their 95th percentile.
#[derive(Debug, Default)]
pub(super) struct RecentLatencies {
    /// Ring buffer of at most `MAX_SAMPLES` latencies.
    ring_us: Vec<u64>,
    /// Index of the latency that is overwritten next, once the buffer is full.
    oldest: usize,
    p95_us: Option<u64>,
    /// Number of latencies added since `p95_us` was computed.
    added_since_refresh: usize,
}

impl RecentLatencies {
    pub(super) fn add(&mut self, latency_us: u64) {
        if self.ring_us.len() < MAX_SAMPLES {
            self.ring_us.push(latency_us);
        } else {
            self.ring_us[self.oldest] = latency_us;
            self.oldest = (self.oldest + 1) % MAX_SAMPLES;
        }
        self.added_since_refresh += 1;
    }

    /// Returns the 95th percentile; `None` with fewer than `MIN_SAMPLES` latencies.
    pub(super) fn p95_us(&mut self) -> Option<u64> {
        if self.ring_us.len() < MIN_SAMPLES {
            return None;
        }
        if self.p95_us.is_none() || self.added_since_refresh >= REFRESH_INTERVAL_SAMPLES {
            self.added_since_refresh = 0;
            let mut sorted = self.ring_us.clone();
            let index = sorted.len() * 95 / 100;
            let (_, p95, _) = sorted.select_nth_unstable(index);
            self.p95_us = Some(*p95);
        }
        self.p95_us
    }
}
