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
    accounts: HashMap<ServiceName, Account>,
}

impl Budgets {
    /// Creates the accounts, all empty.
    pub fn new() -> Self {
        Budgets::default()
    }

    /// Records that a caller's request was taken.
    ///
    /// Call it once per request, not per attempt, and only for services that have
    /// targets: names that callers make up would use up the accounts.
    pub fn on_request(&mut self, _now: Instant, service: &str) {
        if let Some(account) = self.accounts.get_mut(service) {
            account.on_request();
        } else if self.accounts.len() < MAX_SERVICES {
            let account = self.accounts.entry(ServiceName::from(service)).or_default();
            account.on_request();
        }
    }

    /// Records a successful request and how long its successful attempt took.
    pub fn on_success(&mut self, _now: Instant, service: &str, latency_us: u64) {
        if let Some(account) = self.accounts.get_mut(service) {
            account.on_success(latency_us);
        }
    }

    /// Decides whether a request may be sent again, and charges the budget if so.
    pub fn may_retry(&mut self, now: Instant, query: &RetryQuery<'_>) -> RetryDecision {
        if let Some(refusal) = refusal(now, query) {
            return refusal;
        }
        let account = self.accounts.get_mut(query.service);
        if account.is_some_and(|account| account.take_retry(now)) {
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
        if !idempotent || hedged {
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
            .is_some_and(Account::take_hedge)
    }
}

/// Returns why a request must not be sent again whatever the budget.
fn refusal(now: Instant, query: &RetryQuery<'_>) -> Option<RetryDecision> {
    let unknown = query.outcome == AttemptOutcome::Unknown;
    if query.answer_started {
        Some(RetryDecision::AnswerStarted)
    } else if unknown && !query.idempotent {
        Some(RetryDecision::NotRepeatable)
    } else if query.attempts > MAX_RETRIES {
        Some(RetryDecision::AttemptsSpent)
    } else if now >= query.deadline {
        Some(RetryDecision::DeadlinePassed)
    } else {
        None
    }
}
