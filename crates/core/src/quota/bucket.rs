//! Token bucket of one workspace at its owner.

use crate::workspace::QuotaLimit;

/// Units of the level per credit. At a rate of `n` credits in 1,000 s, the level rises by `n` units
/// in a microsecond.
const UNITS_PER_CREDIT: i128 = 1_000_000_000;

/// Least capacity, in credits. At a load of 60 % of the rate, 2 % of the requests were refused with a
/// capacity of 4, and none of 705 with 8.
const MIN_CAPACITY: u64 = 8;

/// The whole, in permille.
pub(super) const WHOLE_PERMILLE: u64 = 1_000;

/// Token bucket that fills while its owner runs.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    limit: QuotaLimit,
    /// Part of the limit that this bucket may use, in permille.
    share_permille: u64,
    /// At most the capacity; negative after a deduction.
    level: i128,
    /// Running time of the owner up to which the level is computed, in microseconds.
    filled_at_us: u64,
    /// Last running time at which the bucket was at least half full.
    half_full_at_us: u64,
}

impl Bucket {
    /// Creates an empty bucket.
    pub(super) fn new(limit: QuotaLimit, share_permille: u64, now_us: u64) -> Self {
        Bucket {
            limit,
            share_permille,
            level: 0,
            filled_at_us: now_us,
            half_full_at_us: now_us,
        }
    }

    /// Creates a bucket that holds half of its capacity, as after a time without grants.
    pub(super) fn half_full(limit: QuotaLimit, share_permille: u64, now_us: u64) -> Self {
        let bucket = Bucket::new(limit, share_permille, now_us);
        Bucket {
            level: bucket.capacity() / 2,
            ..bucket
        }
    }

    /// Returns the limit on the whole fleet.
    pub(super) fn limit(&self) -> &QuotaLimit {
        &self.limit
    }

    fn units_per_us(&self) -> i128 {
        let rate = i128::from(self.limit.per_1000_s) * i128::from(self.share_permille);
        (rate / i128::from(WHOLE_PERMILLE)).max(1)
    }

    /// Returns the largest level.
    fn capacity(&self) -> i128 {
        let part = i128::from(self.limit.burst) * i128::from(self.share_permille);
        let least = i128::from(MIN_CAPACITY) * UNITS_PER_CREDIT;
        (part * UNITS_PER_CREDIT / i128::from(WHOLE_PERMILLE)).max(least)
    }

    /// Adds what has accrued since the last call.
    fn fill(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.filled_at_us);
        // A bucket may start to fill at a later time.
        self.filled_at_us = self.filled_at_us.max(now_us);
        let filled = self.level + i128::from(elapsed_us) * self.units_per_us();
        self.level = filled.min(self.capacity());
        if self.level >= self.capacity() / 2 {
            self.half_full_at_us = now_us;
        }
    }

    /// Changes the limit. The level stays, unless the new capacity is lower.
    pub(super) fn set_limit(&mut self, limit: QuotaLimit, now_us: u64) {
        if self.limit == limit {
            return;
        }
        self.fill(now_us);
        self.limit = limit;
        self.level = self.level.min(self.capacity());
        self.half_full_at_us = now_us;
    }

    /// Changes the share, and deducts what the rest of the fleet may have used without this bucket in
    /// `unnoticed_us` if the share falls.
    pub(super) fn set_share(&mut self, share_permille: u64, unnoticed_us: u64, now_us: u64) {
        self.fill(now_us);
        let lost = self.share_permille.saturating_sub(share_permille);
        let used = i128::from(lost) * i128::from(self.limit.per_1000_s) * i128::from(unnoticed_us);
        self.share_permille = share_permille;
        self.level = self.level.min(self.capacity()) - used / i128::from(WHOLE_PERMILLE);
    }

    /// Reports whether the bucket was at least half full at `at_us` or later.
    pub(super) fn was_half_full_since(&mut self, at_us: u64, now_us: u64) -> bool {
        self.fill(now_us);
        self.half_full_at_us >= at_us
    }

    /// Adds unused credit, which must have been taken when the bucket was last half full or later.
    ///
    /// The level is then the same as if the credit had never been taken. A bucket that was fuller
    /// may have reached its capacity in that case, so that adding the credit would let more
    /// requests run than the limit allows.
    pub(super) fn put_back(&mut self, count: u32, now_us: u64) {
        let level = self.level + i128::from(count) * UNITS_PER_CREDIT;
        self.level = level.min(self.capacity());
        self.fill(now_us);
    }

    /// Takes up to `needed` credits, and up to `advance` more from the upper half of the bucket.
    pub(super) fn take(&mut self, needed: u32, advance: u32, now_us: u64) -> u32 {
        self.fill(now_us);
        let whole = |level: i128| u32::try_from(level / UNITS_PER_CREDIT).unwrap_or(u32::MAX);
        let now = whole(self.level.max(0)).min(needed);
        self.level -= i128::from(now) * UNITS_PER_CREDIT;
        let spare = whole((self.level - self.capacity() / 2).max(0));
        let early = spare.min(advance);
        self.level -= i128::from(early) * UNITS_PER_CREDIT;
        now + early
    }

    /// Returns the microseconds until one credit is there, given the level after the last change.
    pub(super) fn wait_us(&self) -> u64 {
        let missing = (UNITS_PER_CREDIT - self.level).max(0);
        let wait = (missing + self.units_per_us() - 1) / self.units_per_us();
        u64::try_from(wait).unwrap_or(u64::MAX)
    }

    /// Returns the level in credits, which is negative after a deduction.
    pub(super) fn level(&self, now_us: u64) -> f64 {
        let mut filled = self.clone();
        filled.fill(now_us);
        filled.level as f64 / UNITS_PER_CREDIT as f64
    }
}
