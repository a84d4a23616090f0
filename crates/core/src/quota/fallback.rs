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
    /// When the next credit is there; `None` before the first use.
    ready_at: Option<Instant>,
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
        let interval_us = interval_us.max(1).saturating_mul(slowness);
        let idle_us = MAX_IDLE_CREDITS * RATE_PERIOD_US / rate;
        let life_us = (BASE_LIFE_US + idle_us).min(interval_us);
        let ready_at = match self.ready_at {
            // A higher rate or fewer members shorten the wait.
            Some(at) => at.min(now.saturating_add_micros(interval_us)),
            None => now.saturating_add_micros(rng.random_range(0..interval_us)),
        };
        // Skips the credits that have lapsed.
        let late_us = now.micros_since(ready_at.saturating_add_micros(life_us));
        let lapsed = late_us.div_ceil(interval_us);
        let ready_at = ready_at.saturating_add_micros(lapsed.saturating_mul(interval_us));
        if now < ready_at {
            self.ready_at = Some(ready_at);
            return Err(ready_at.micros_since(now));
        }
        self.ready_at = Some(ready_at.saturating_add_micros(interval_us));
        Ok(())
    }
}
