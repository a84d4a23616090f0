//! Byte budget for messages that are not probes.

use crate::time::{Instant, MICROS_PER_SECOND};

/// Rate limit that allows a burst after a quiet time.
pub(super) struct ByteBudget {
    bytes_per_second: u64,
    burst_bytes: u64,
    /// When all that was spent will have been earned. Nothing is owed if it has
    /// passed; it is at most a burst ahead unless the budget was overdrawn.
    replenished_at: Instant,
}

impl ByteBudget {
    /// Creates a budget of which nothing is spent.
    pub(super) fn new(bytes_per_second: u64, burst_bytes: u64, now: Instant) -> Self {
        ByteBudget {
            bytes_per_second: bytes_per_second.max(1),
            burst_bytes,
            replenished_at: now,
        }
    }

    /// Returns whether `bytes` may be spent.
    pub(super) fn allows(&self, now: Instant, bytes: usize) -> bool {
        let ahead = now.saturating_add_micros(self.refill_micros(self.burst_bytes));
        self.replenished_after(now, bytes) <= ahead
    }

    /// Spends `bytes`, allowed or not.
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
