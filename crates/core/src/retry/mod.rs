//! Budgets for retries and hedges.
//!
//! Each service has an account per entry. A successful request earns a tenth of an
//! extra request, and every retry or hedge costs one. The account holds at most
//! [`MAX_SAVED_EXTRAS`]. In any period the extra requests are therefore at most
//! 10 % of the requests, plus the savings at its beginning, plus the floor of one
//! in [`FLOOR_INTERVAL_MS`].

mod account;
mod latency;

use crate::{collections::HashMap, ids::ServiceName, time::Instant};
use account::Account;

pub use account::{FLOOR_INTERVAL_MS, MAX_SAVED_EXTRAS};

/// Largest number of retries of one request.
pub const MAX_RETRIES: u32 = 2;

/// Largest number of attempts of one request, those that reached no target included.
///
/// Each costs a round trip between nodes; with all guards full, more of them only delay the
/// refusal.
pub const MAX_ATTEMPTS: u32 = 5;

/// Largest number of services with an account.
///
/// Service names come from callers, so the table must not grow with them. A service
/// beyond the limit gets no extra requests. The design size is 49 services.
const MAX_SERVICES: usize = 1_024;

/// What is known about an attempt that brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The request was not run and will not be.
    NotRun,
    /// The request may have been run, or may still be.
    Unknown,
}

/// Facts that decide whether a request may be sent again.
#[derive(Clone, Copy, Debug)]
pub struct RetryQuery<'a> {
    /// Service that the request is for.
    pub service: &'a str,
    /// Outcome of the last attempt.
    pub outcome: AttemptOutcome,
    /// Whether running the request twice does no harm.
    pub idempotent: bool,
    /// Whether part of an answer has been passed on to the caller.
    pub answer_started: bool,
    /// Attempts made so far, including the first.
    pub attempts: u32,
    /// Attempts that reached a target, whether it ran the request or not.
    pub reached: u32,
    /// Whether the last attempt is one of them. An attempt that a guard refused put no load
    /// on a target, so that repeating it is free.
    pub last_reached: bool,
    /// Largest number of targets that the request may reach.
    pub max_reached: u32,
    /// Deadline of the request.
    pub deadline: Instant,
}

/// Answer to a [`RetryQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The request may be sent once more; the budget has been charged.
    Retry,
    /// The caller has received part of an answer.
    AnswerStarted,
    /// The request may have been run and must not run twice.
    NotRepeatable,
    /// The request has been retried as often as allowed.
    AttemptsSpent,
    /// The deadline has passed.
    DeadlinePassed,
    /// The budget of the service is spent.
    BudgetSpent,
}

impl RetryDecision {
    /// Returns whether the request may be sent once more.
    pub fn is_allowed(self) -> bool {
        self == RetryDecision::Retry
    }
}

/// Retry and hedge accounts of all services at one entry.
#[derive(Debug, Default)]
pub struct Budgets {
    cfg: BudgetSettings,
    accounts: HashMap<ServiceName, Account>,
}

/// Settings of the accounts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetSettings {
    /// Extra requests that a request earns, in percent.
    pub earned_percent: u64,
    /// Whether a request earns when it is taken, and not only when it succeeds. A bound on the
    /// whole fleet counts requests; with it a fault that fails most of them leaves retries
    /// for the others.
    pub earns_at_once: bool,
    /// Extra requests that an account saves, in percent of one. Savings let a few requests
    /// be retried at once when a target fails; they also bound the burst that an outage can
    /// cause.
    pub saved_percent: u64,
    /// Whether an account that holds less than one extra request allows one in
    /// [`FLOOR_INTERVAL_MS`].
    pub has_floor: bool,
    /// Whether slow requests are sent a second time before the first has ended.
    pub hedges: bool,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        BudgetSettings {
            earned_percent: 10,
            earns_at_once: false,
            saved_percent: MAX_SAVED_EXTRAS * 100,
            has_floor: true,
            hedges: true,
        }
    }
}

impl Budgets {
    /// Creates the accounts, all empty.
    pub fn new() -> Self {
        Budgets::default()
    }

    /// Creates the accounts with other settings.
    pub fn with_settings(cfg: BudgetSettings) -> Self {
        Budgets {
            cfg,
            ..Default::default()
        }
    }

    /// Changes the savings of all accounts, for the fleet has grown or shrunk.
    pub fn set_saved_percent(&mut self, saved_percent: u64) {
        self.cfg.saved_percent = saved_percent;
    }

    /// Records that a caller's request was taken.
    ///
    /// Call it once per request, not per attempt, and only for services that have
    /// targets: names that callers make up would use up the accounts.
    pub fn on_request(&mut self, _now: Instant, service: &str) {
        if let Some(account) = self.accounts.get_mut(service) {
            account.on_request(&self.cfg);
        } else if self.accounts.len() < MAX_SERVICES {
            let account = self.accounts.entry(ServiceName::from(service)).or_default();
            account.on_request(&self.cfg);
        }
    }

    /// Records a successful request and how long its successful attempt took.
    pub fn on_success(&mut self, _now: Instant, service: &str, latency_us: u64) {
        if let Some(account) = self.accounts.get_mut(service) {
            account.on_success(latency_us, &self.cfg);
        }
    }

    /// Decides whether a request may be sent again, and charges the budget if so.
    pub fn may_retry(&mut self, now: Instant, query: &RetryQuery<'_>) -> RetryDecision {
        if let Some(refusal) = refusal(now, query) {
            return refusal;
        }
        if !query.last_reached {
            return RetryDecision::Retry;
        }
        let cfg = self.cfg;
        let account = self.accounts.get_mut(query.service);
        if account.is_some_and(|account| account.take_retry(now, &cfg)) {
            RetryDecision::Retry
        } else {
            RetryDecision::BudgetSpent
        }
    }

    /// Returns when a request sent at `now` should be hedged, if at all.
    ///
    /// `hedged` says that the request is itself a hedge, here or earlier in the
    /// chain of calls. The budget is charged by [`Budgets::try_hedge`].
    pub fn hedge_at(
        &mut self,
        now: Instant,
        service: &str,
        idempotent: bool,
        hedged: bool,
        deadline: Instant,
    ) -> Option<Instant> {
        if !idempotent || hedged || !self.cfg.hedges {
            return None;
        }
        let p95_us = self.accounts.get_mut(service)?.p95_us()?;
        let at = now.saturating_add_micros(p95_us);
        (at < deadline).then_some(at)
    }

    /// Returns when to look whether the target of a request is slow, and between further
    /// looks, if the request may be hedged: half of the service's p95 latency.
    pub fn hedge_look_us(&mut self, service: &str) -> Option<u64> {
        Some(self.accounts.get_mut(service)?.p95_us()? / 2)
    }

    /// Charges the budget for one hedge and returns whether it may be sent.
    pub fn try_hedge(&mut self, _now: Instant, service: &str) -> bool {
        self.accounts
            .get_mut(service)
            .is_some_and(|account| account.take_hedge(&self.cfg))
    }
}

/// Returns why a request must not be sent again whatever the budget.
fn refusal(now: Instant, query: &RetryQuery<'_>) -> Option<RetryDecision> {
    let unknown = query.outcome == AttemptOutcome::Unknown;
    if query.answer_started {
        Some(RetryDecision::AnswerStarted)
    } else if unknown && !query.idempotent {
        Some(RetryDecision::NotRepeatable)
    } else if query.reached >= query.max_reached || query.attempts >= MAX_ATTEMPTS {
        Some(RetryDecision::AttemptsSpent)
    } else if now >= query.deadline {
        Some(RetryDecision::DeadlinePassed)
    } else {
        None
    }
}
