//! Byte rate limit for messages that are not probes.

use crate::time::{Instant, MICROS_PER_SECOND};

/// Token bucket, measured in bytes, which allows a burst after an idle period.
pub(super) struct ByteBudget {
    bytes_per_second: u64,
    burst_bytes: u64,
    /// When the bucket is full again. It is full if this instant has passed. At most
    /// the refill time of one burst ahead, unless the budget was overdrawn.
    replenished_at: Instant,
}

impl ByteBudget {
    /// Creates a budget with a full bucket.
    pub(super) fn new(bytes_per_second: u64, burst_bytes: u64, now: Instant) -> Self {
        ByteBudget {
            bytes_per_second: bytes_per_second.max(1),
            burst_bytes,
            replenished_at: now,
        }
    }

    /// Returns whether `bytes` can be spent without overdrawing the budget.
    pub(super) fn allows(&self, now: Instant, bytes: usize) -> bool {
        let ahead = now.saturating_add_micros(self.refill_micros(self.burst_bytes));
        self.replenished_after(now, bytes) <= ahead
    }

    /// Spends `bytes`, even if that overdraws the budget.
    pub(super) fn spend(&mut self, now: Instant, bytes: usize) {
        self.replenished_at = self.replenished_after(now, bytes);
    }

    fn replenished_after(&self, now: Instant, bytes: usize) -> Instant {
        let start = self.replenished_at.max(now);
        start.saturating_add_micros(self.refill_micros(bytes as u64))
    }

    fn refill_micros(&self, bytes: u64) -> u64 {
        bytes.saturating_mul(MICROS_PER_SECOND) / self.bytes_per_second
    }
}
