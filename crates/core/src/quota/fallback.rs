//! Credit of a node that gets no answer from an owner.

use rand::{Rng, RngExt};

use crate::{time::Instant, workspace::QuotaLimit};

/// Credit of all nodes together that may lie unused beyond half a second's worth, in credits. It is
/// half of the 20 requests by which a workspace may exceed its limit.
const MAX_IDLE_CREDITS: u64 = 10;

/// Time for which credit may lie unused at any rate, in microseconds.
const BASE_LIFE_US: u64 = 500_000;

/// Time from the first claim without an answer for which a node uses half of its part, in
/// milliseconds. The owner may still grant the whole rate, because it does not know yet which members
/// it is cut off from.
const CAUTION_MS: u64 = 4_000;

/// Microseconds in 1,000 s, the period that rates refer to.
const RATE_PERIOD_US: u64 = 1_000_000_000;

/// Schedule of single credits: the node's part of the rate.
///
/// A credit that is not used lapses. Otherwise each of many nodes would end up with one, which is
/// more than small workspaces may use at a time. The first credit comes at a random moment of the
/// interval, so that the nodes of a fleet get theirs evenly spread over time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Fallback {
    /// When the next credit is there. Meaningless while `interval_us` is zero.
    ready_at: Instant,
    /// Time between two credits; zero before the first use.
    interval_us: u64,
    /// When the node's full part of the rate is used.
    full_at: Instant,
}

impl Fallback {
    /// Notes that an owner did not answer.
    pub(super) fn enter(&mut self, now: Instant) {
        self.full_at = now.saturating_add_millis(CAUTION_MS);
    }

    /// Takes a credit, or returns the microseconds until there is one.
    pub(super) fn take(
        &mut self,
        now: Instant,
        limit: &QuotaLimit,
        members: usize,
        rng: &mut dyn Rng,
    ) -> Result<(), u64> {
        let rate = limit.per_1000_s.max(1);
        let interval_us = (members.max(1) as u64).saturating_mul(RATE_PERIOD_US) / rate;
        let slowness = if now < self.full_at { 2 } else { 1 };
        self.set_interval(now, interval_us.max(1).saturating_mul(slowness), rng);
        let idle_us = MAX_IDLE_CREDITS * RATE_PERIOD_US / rate;
        let life_us = (BASE_LIFE_US + idle_us).min(self.interval_us);
        // Skips the credits that have lapsed.
        let late_us = now.micros_since(self.ready_at.saturating_add_micros(life_us));
        let lapsed = late_us.div_ceil(self.interval_us);
        self.wait_for_next(lapsed);
        if now < self.ready_at {
            return Err(self.ready_at.micros_since(now));
        }
        self.wait_for_next(1);
        Ok(())
    }

    fn wait_for_next(&mut self, credits: u64) {
        let us = credits.saturating_mul(self.interval_us);
        self.ready_at = self.ready_at.saturating_add_micros(us);
    }

    /// Changes the interval. The next credit comes after the same part of the interval, so that the
    /// credits of the nodes of a fleet stay evenly spread.
    fn set_interval(&mut self, now: Instant, interval_us: u64, rng: &mut dyn Rng) {
        if self.interval_us == interval_us {
            return;
        }
        let left_us = match self.ready_at.micros_since(now) {
            0 => rng.random_range(0..interval_us),
            left => {
                (u128::from(left) * u128::from(interval_us) / u128::from(self.interval_us)) as u64
            }
        };
        self.ready_at = now.saturating_add_micros(left_us);
        self.interval_us = interval_us;
    }
}
