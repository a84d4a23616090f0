//! Budgets for retries and hedged requests.
//!
//! Retries and hedges are *extra requests*. Each entry has a token bucket per service: by
//! default a successful request adds a credit of a tenth of an extra request, every retry or
//! hedge costs one, and the bucket holds at most [`DEFAULT_MAX_SAVED_EXTRAS`]. In any period the
//! extra requests are therefore at most 10 % of the requests, plus those saved at its
//! beginning, plus the minimum rate of one in [`MIN_RATE_INTERVAL_MS`].

mod recent_latencies;
mod service_budget;

use crate::{collections::HashMap, ids::ServiceName, time::Instant};
use service_budget::ServiceBudget;

pub use service_budget::{DEFAULT_MAX_SAVED_EXTRAS, MIN_RATE_INTERVAL_MS};

/// Maximum number of retries of one request.
pub const MAX_RETRIES: u32 = 2;

/// Maximum number of attempts of one request, including those that reached no target.
///
/// Each attempt costs a round trip between nodes. While all guards are full, further attempts
/// only delay the refusal.
pub const MAX_ATTEMPTS: u32 = 5;

/// Maximum number of services with a budget.
///
/// Service names come from callers, so their number must not determine the size of the table.
/// A service beyond the limit gets no extra requests. The design size is 49 services.
const MAX_SERVICES: usize = 1_024;

/// What is known about an attempt that yielded no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The request was not run and will not be.
    NotRun,
    /// The request may have been run, or may still be.
    Unknown,
}

/// State of a request on which the decision to retry it depends.
#[derive(Clone, Copy, Debug)]
pub struct RetryQuery<'a> {
    /// Service that the request is for.
    pub service: &'a str,
    /// Outcome of the last attempt.
    pub outcome: AttemptOutcome,
    /// Whether the request may be run more than once.
    pub idempotent: bool,
    /// Whether part of an answer has been passed on to the caller.
    pub answer_started: bool,
    /// Attempts made so far, including the first.
    pub attempts: u32,
    /// Attempts that reached a target, whether it ran the request or not.
    pub targets_reached: u32,
    /// Whether the last attempt reached a target. An attempt that a guard refused put no load
    /// on a target, so retrying it costs nothing.
    pub last_reached_target: bool,
    /// Maximum number of attempts that may reach a target.
    pub max_targets_reached: u32,
    /// Deadline of the request.
    pub deadline: Instant,
}

/// Answer to a [`RetryQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The request may be sent once more. The budget has been charged, if the last attempt
    /// reached a target.
    Retry,
    /// The caller has received part of an answer.
    AnswerStarted,
    /// The request may have been run, and must not be run twice.
    NotRepeatable,
    /// The request has been retried as often as allowed.
    AttemptsExhausted,
    /// The deadline has passed.
    DeadlinePassed,
    /// The budget of the service is exhausted.
    BudgetExhausted,
}

impl RetryDecision {
    /// Returns whether the request may be sent once more.
    pub fn is_allowed(self) -> bool {
        self == RetryDecision::Retry
    }
}

/// Retry and hedge budgets of all services at one entry.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    cfg: RetryBudgetSettings,
    by_service: HashMap<ServiceName, ServiceBudget>,
}

/// Settings of the retry and hedge budgets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudgetSettings {
    /// Credit that a request adds, in percent of an extra request.
    pub credit_percent: u64,
    /// Whether a request adds its credit when it arrives instead of when it succeeds. A bound
    /// for the whole fleet counts all requests, so that retries remain possible during a fault
    /// that makes most requests fail.
    pub credits_on_request: bool,
    /// Maximum credit that a service saves, in percent of an extra request. The saved credit
    /// lets a few requests be retried at once when a target fails, and its maximum bounds the
    /// burst of retries that an outage can cause.
    pub max_saved_percent: u64,
    /// Whether a service with less than one saved extra request may retry once in
    /// [`MIN_RATE_INTERVAL_MS`].
    pub has_min_rate: bool,
    /// Whether slow requests may be hedged: sent a second time before the first attempt has
    /// ended.
    pub hedging_enabled: bool,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        RetryBudgetSettings {
            credit_percent: 10,
            credits_on_request: false,
            max_saved_percent: DEFAULT_MAX_SAVED_EXTRAS * 100,
            has_min_rate: true,
            hedging_enabled: true,
        }
    }
}

impl RetryBudgets {
    /// Creates the budgets with default settings and no saved credit.
    pub fn new() -> Self {
        RetryBudgets::default()
    }

    /// Creates the budgets with the given settings and no saved credit.
    pub fn with_settings(cfg: RetryBudgetSettings) -> Self {
        RetryBudgets {
            cfg,
            ..Default::default()
        }
    }

    /// Sets the maximum saved credit of all services, after the fleet has grown or shrunk.
    pub fn set_max_saved_percent(&mut self, max_saved_percent: u64) {
        self.cfg.max_saved_percent = max_saved_percent;
    }

    /// Records the arrival of a caller's request.
    ///
    /// Call it once per request, not per attempt, and only for services that have targets.
    /// Otherwise names that callers invent would fill the table of services.
    pub fn on_request(&mut self, _now: Instant, service: &str) {
        if let Some(service_budget) = self.by_service.get_mut(service) {
            service_budget.on_request(&self.cfg);
        } else if self.by_service.len() < MAX_SERVICES {
            let service_budget = self
                .by_service
                .entry(ServiceName::from(service))
                .or_default();
            service_budget.on_request(&self.cfg);
        }
    }

    /// Records a successful request and the latency of its successful attempt.
    pub fn on_success(&mut self, _now: Instant, service: &str, latency_us: u64) {
        if let Some(service_budget) = self.by_service.get_mut(service) {
            service_budget.on_success(latency_us, &self.cfg);
        }
    }

    /// Decides whether a request may be sent again, and charges the budget if the retry costs
    /// something.
    pub fn try_retry(&mut self, now: Instant, query: &RetryQuery<'_>) -> RetryDecision {
        if let Some(permanent_refusal) = permanent_refusal(now, query) {
            return permanent_refusal;
        }
        if !query.last_reached_target {
            return RetryDecision::Retry;
        }
        let cfg = self.cfg;
        let service_budget = self.by_service.get_mut(query.service);
        if service_budget.is_some_and(|service_budget| service_budget.try_take_retry(now, &cfg)) {
            RetryDecision::Retry
        } else {
            RetryDecision::BudgetExhausted
        }
    }

    /// Returns the instant at which a request sent at `now` should be hedged; `None` if it
    /// should not be hedged.
    ///
    /// `is_hedge` says that the request is itself a hedge, sent by this entry or earlier in the
    /// chain of calls. [`RetryBudgets::try_hedge`] charges the budget.
    pub fn hedge_at(
        &mut self,
        now: Instant,
        service: &str,
        idempotent: bool,
        is_hedge: bool,
        deadline: Instant,
    ) -> Option<Instant> {
        if !idempotent || is_hedge || !self.cfg.hedging_enabled {
            return None;
        }
        let p95_us = self.by_service.get_mut(service)?.p95_us()?;
        let at = now.saturating_add_micros(p95_us);
        (at < deadline).then_some(at)
    }

    /// Returns the interval at which to check whether the target of a request that may be
    /// hedged is slow, in microseconds: half of the 95th percentile of the service's latency.
    /// `None` if that is not known yet.
    pub fn hedge_check_interval_us(&mut self, service: &str) -> Option<u64> {
        Some(self.by_service.get_mut(service)?.p95_us()? / 2)
    }

    /// Returns whether a hedge may be sent, and charges the budget for it if so.
    pub fn try_hedge(&mut self, _now: Instant, service: &str) -> bool {
        self.by_service
            .get_mut(service)
            .is_some_and(|service_budget| service_budget.try_take_hedge(&self.cfg))
    }
}

/// Returns why a request must not be sent again, regardless of the budget; `None` if it may be.
pub fn permanent_refusal(now: Instant, query: &RetryQuery<'_>) -> Option<RetryDecision> {
    let unknown = query.outcome == AttemptOutcome::Unknown;
    if query.answer_started {
        Some(RetryDecision::AnswerStarted)
    } else if unknown && !query.idempotent {
        Some(RetryDecision::NotRepeatable)
    } else if query.targets_reached >= query.max_targets_reached || query.attempts >= MAX_ATTEMPTS {
        Some(RetryDecision::AttemptsExhausted)
    } else if now >= query.deadline {
        Some(RetryDecision::DeadlinePassed)
    } else {
        None
    }
}
