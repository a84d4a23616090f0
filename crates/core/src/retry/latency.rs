//! Recent latencies of one service.

/// Latencies kept per service.
///
/// The 95th percentile of 256 samples rests on the 13 largest, and at the design
/// size of 128 calls per second they cover a few seconds.
const KEPT: usize = 256;

/// Fewest latencies from which a percentile is taken.
const FEWEST: usize = 40;

/// New latencies after which the percentile is taken again.
const REFRESH_EVERY: usize = 16;

/// The last latencies and their 95th percentile.
#[derive(Debug, Default)]
pub(super) struct Latencies {
    /// A ring of at most `KEPT` latencies; `next` is overwritten first.
    ring_us: Vec<u64>,
    next: usize,
    p95_us: Option<u64>,
    /// Latencies added since `p95_us` was taken.
    added: usize,
}

impl Latencies {
    pub(super) fn add(&mut self, latency_us: u64) {
        if self.ring_us.len() < KEPT {
            self.ring_us.push(latency_us);
        } else {
            self.ring_us[self.next] = latency_us;
            self.next = (self.next + 1) % KEPT;
        }
        self.added += 1;
    }

    pub(super) fn p95_us(&mut self) -> Option<u64> {
        if self.ring_us.len() < FEWEST {
            return None;
        }
        if self.p95_us.is_none() || self.added >= REFRESH_EVERY {
            self.added = 0;
            let mut sorted = self.ring_us.clone();
            let index = sorted.len() * 95 / 100;
            let (_, p95, _) = sorted.select_nth_unstable(index);
            self.p95_us = Some(*p95);
        }
        self.p95_us
    }
}
