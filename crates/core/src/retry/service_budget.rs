//! Retry and hedge budget of one service.

use super::{RetryBudgetSettings, recent_latencies::RecentLatencies};
use crate::time::{Instant, MICROS_PER_MILLI};

/// Default maximum number of extra requests that a service can save.
pub const DEFAULT_MAX_SAVED_EXTRAS: u64 = 10;

/// A service with less than one saved extra request may still retry once in this interval.
///
/// Without this minimum rate, a service with fewer than ten requests so far could not retry
/// at all. It adds a load of 0.1 requests per second and entry to a target.
pub const MIN_RATE_INTERVAL_MS: u64 = 10_000;

/// Credit that an extra request costs. Credit is counted in percent of an extra request.
const PERCENT_PER_REQUEST: u64 = 100;

/// Hedge credit that every request adds: 5 % of a hedge.
const HEDGE_CREDIT_PERCENT: u64 = 5;

/// Maximum number of saved hedges: half of `DEFAULT_MAX_SAVED_EXTRAS`, because at most half of
/// the extra requests may be hedges.
const MAX_SAVED_HEDGES: u64 = DEFAULT_MAX_SAVED_EXTRAS / 2;

/// Token buckets for the retries and hedges of one service, and its recent latencies.
#[derive(Debug, Default)]
pub(super) struct ServiceBudget {
    /// Requests that have not added a credit yet. Every success uses up one of them, so that
    /// the bound holds even if a success is reported twice.
    uncredited_requests: u64,
    /// Saved credit for retries and hedges. Exceeds [`RetryBudgetSettings::max_saved_percent`]
    /// only if that was lowered since the last call.
    saved_extra_percent: u64,
    /// Saved credit for hedges, at most `MAX_SAVED_HEDGES * PERCENT_PER_REQUEST`.
    saved_hedge_percent: u64,
    /// Instant of the last retry that used the minimum rate.
    min_rate_used_at: Option<Instant>,
    latencies: RecentLatencies,
}

impl ServiceBudget {
    pub(super) fn on_request(&mut self, cfg: &RetryBudgetSettings) {
        if cfg.credits_on_request {
            self.add_credit(cfg);
        } else {
            self.uncredited_requests += 1;
        }
        let saved_hedge_percent = self.saved_hedge_percent + HEDGE_CREDIT_PERCENT;
        self.saved_hedge_percent = saved_hedge_percent.min(MAX_SAVED_HEDGES * PERCENT_PER_REQUEST);
    }

    pub(super) fn on_success(&mut self, latency_us: u64, cfg: &RetryBudgetSettings) {
        self.latencies.add(latency_us);
        if self.uncredited_requests > 0 {
            self.uncredited_requests -= 1;
            self.add_credit(cfg);
        }
    }

    fn add_credit(&mut self, cfg: &RetryBudgetSettings) {
        let saved_extra_percent = self.saved_extra_percent + cfg.credit_percent;
        self.saved_extra_percent = saved_extra_percent.min(cfg.max_saved_percent);
    }

    pub(super) fn try_take_retry(&mut self, now: Instant, cfg: &RetryBudgetSettings) -> bool {
        self.try_take_extra(cfg) || (cfg.has_min_rate && self.try_take_min_rate(now))
    }

    /// Hedges never use the minimum rate, because a hedge only shortens a wait.
    pub(super) fn try_take_hedge(&mut self, cfg: &RetryBudgetSettings) -> bool {
        let allowed = self.saved_hedge_percent >= PERCENT_PER_REQUEST && self.try_take_extra(cfg);
        if allowed {
            self.saved_hedge_percent -= PERCENT_PER_REQUEST;
        }
        allowed
    }

    pub(super) fn p95_us(&mut self) -> Option<u64> {
        self.latencies.p95_us()
    }

    fn try_take_extra(&mut self, cfg: &RetryBudgetSettings) -> bool {
        self.saved_extra_percent = self.saved_extra_percent.min(cfg.max_saved_percent);
        let allowed = self.saved_extra_percent >= PERCENT_PER_REQUEST;
        if allowed {
            self.saved_extra_percent -= PERCENT_PER_REQUEST;
        }
        allowed
    }

    fn try_take_min_rate(&mut self, now: Instant) -> bool {
        let interval_us = MIN_RATE_INTERVAL_MS * MICROS_PER_MILLI;
        let allowed = self
            .min_rate_used_at
            .is_none_or(|used_at| now.micros_since(used_at) >= interval_us);
        if allowed {
            self.min_rate_used_at = Some(now);
        }
        allowed
    }
}
