//! The account of one service.

use super::{BudgetSettings, latency::Latencies};
use crate::time::{Instant, MICROS_PER_MILLI};

/// Extra requests that an account saves by default.
pub const MAX_SAVED_EXTRAS: u64 = 10;

/// An account that holds less than one extra request allows one in this interval.
///
/// Without the floor, a service with fewer than ten requests so far could not
/// retry at all. Its load on a target is 0.1 requests per second and entry.
pub const FLOOR_INTERVAL_MS: u64 = 10_000;

/// Parts into which an extra request is divided in the account.
const PARTS: u64 = 100;

/// Parts of the hedge allowance earned by any request: 5 % of a request.
const HEDGE_EARNED_BY_REQUEST: u64 = 5;

/// Largest number of hedges saved, half of `MAX_SAVED_EXTRAS` as hedges may take
/// half of the extra requests.
const MAX_SAVED_HEDGES: u64 = MAX_SAVED_EXTRAS / 2;

/// Retry and hedge account of one service.
#[derive(Debug, Default)]
pub(super) struct Account {
    /// Requests that have not earned yet. A success earns only with a request, so
    /// that the bound holds even if successes were reported twice.
    unpaid_requests: u64,
    /// At most [`BudgetSettings::saved_percent`] when it was earned.
    extra_parts: u64,
    /// At most `MAX_SAVED_HEDGES * PARTS`.
    hedge_parts: u64,
    floor_used: Option<Instant>,
    latencies: Latencies,
}

impl Account {
    pub(super) fn on_request(&mut self, cfg: &BudgetSettings) {
        if cfg.earns_at_once {
            self.earn(cfg);
        } else {
            self.unpaid_requests += 1;
        }
        let hedge_parts = self.hedge_parts + HEDGE_EARNED_BY_REQUEST;
        self.hedge_parts = hedge_parts.min(MAX_SAVED_HEDGES * PARTS);
    }

    pub(super) fn on_success(&mut self, latency_us: u64, cfg: &BudgetSettings) {
        self.latencies.add(latency_us);
        if self.unpaid_requests > 0 {
            self.unpaid_requests -= 1;
            self.earn(cfg);
        }
    }

    fn earn(&mut self, cfg: &BudgetSettings) {
        let extra_parts = self.extra_parts + cfg.earned_percent;
        self.extra_parts = extra_parts.min(cfg.saved_percent);
    }

    pub(super) fn take_retry(&mut self, now: Instant, cfg: &BudgetSettings) -> bool {
        self.take_saved(cfg) || (cfg.has_floor && self.take_floor(now))
    }

    /// Hedges never use the floor, because a hedge only shortens a wait.
    pub(super) fn take_hedge(&mut self, cfg: &BudgetSettings) -> bool {
        let allowed = self.hedge_parts >= PARTS && self.take_saved(cfg);
        if allowed {
            self.hedge_parts -= PARTS;
        }
        allowed
    }

    pub(super) fn p95_us(&mut self) -> Option<u64> {
        self.latencies.p95_us()
    }

    fn take_saved(&mut self, cfg: &BudgetSettings) -> bool {
        self.extra_parts = self.extra_parts.min(cfg.saved_percent);
        let allowed = self.extra_parts >= PARTS;
        if allowed {
            self.extra_parts -= PARTS;
        }
        allowed
    }

    fn take_floor(&mut self, now: Instant) -> bool {
        let interval_us = FLOOR_INTERVAL_MS * MICROS_PER_MILLI;
        let allowed = self
            .floor_used
            .is_none_or(|used| now.micros_since(used) >= interval_us);
        if allowed {
            self.floor_used = Some(now);
        }
        allowed
    }
}
