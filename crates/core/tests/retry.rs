//! Tests of the retry and hedge budgets.

use googletest::prelude::*;
use plantainpost_core::{
    retry::{
        AttemptOutcome::{self, NotRun, Unknown},
        DEFAULT_MAX_SAVED_EXTRAS, MAX_RETRIES, MIN_RATE_INTERVAL_MS, RetryBudgetSettings,
        RetryBudgets,
        RetryDecision::{
            self, AnswerStarted, AttemptsExhausted, BudgetExhausted, DeadlinePassed, NotRepeatable,
            Retry,
        },
        RetryQuery,
    },
    time::Instant,
};
use proptest::prelude::*;

const SERVICE: &str = "stock";
const DEADLINE: Instant = Instant::from_millis(1_000);

fn retry_query(outcome: AttemptOutcome, idempotent: bool, attempts: u32) -> RetryQuery<'static> {
    RetryQuery {
        service: SERVICE,
        outcome,
        idempotent,
        answer_started: false,
        attempts,
        targets_reached: attempts,
        last_reached_target: true,
        max_targets_reached: MAX_RETRIES + 1,
        deadline: DEADLINE,
    }
}

/// Returns budgets after `successes` successful requests.
fn budgets_after_successes(successes: u64) -> RetryBudgets {
    let mut budgets = RetryBudgets::new();
    for _ in 0..successes {
        budgets.on_request(Instant::default(), SERVICE);
        budgets.on_success(Instant::default(), SERVICE, 1_000);
    }
    budgets
}

/// Guards against a second run of a request that is not idempotent, an answer composed of parts
/// of two attempts, and retries without bound, after the deadline or above the budget.
#[gtest]
fn retries_are_allowed_only_where_safe_and_within_limits() {
    // Outcome, idempotent, answer started; decision if no row of `limits` forbids a retry.
    let outcomes = [
        (NotRun, false, false, Retry),
        (NotRun, false, true, AnswerStarted),
        (NotRun, true, false, Retry),
        (NotRun, true, true, AnswerStarted),
        (Unknown, false, false, NotRepeatable),
        (Unknown, false, true, AnswerStarted),
        (Unknown, true, false, Retry),
        (Unknown, true, true, AnswerStarted),
    ];
    // Attempts, past the deadline, has budget; decision if the outcome allows a retry.
    let limits = [
        (1, false, true, Retry),
        (2, false, true, Retry),
        (3, false, true, AttemptsExhausted),
        (4, false, true, AttemptsExhausted),
        (1, true, true, DeadlinePassed),
        (2, true, true, DeadlinePassed),
        (3, true, true, AttemptsExhausted),
        (1, false, false, BudgetExhausted),
        (2, false, false, BudgetExhausted),
        (3, false, false, AttemptsExhausted),
        (1, true, false, DeadlinePassed),
        (3, true, false, AttemptsExhausted),
    ];
    for (outcome, idempotent, answer_started, allowed) in outcomes {
        for (attempts, late, has_budget, otherwise_expected) in limits {
            let mut budgets = budgets_after_successes(if has_budget { 100 } else { 0 });
            if !has_budget {
                let min_rate_retry = retry_at_min_rate(&mut budgets);
                expect_that!(min_rate_retry, eq(Retry));
            }
            let now = if late { DEADLINE } else { Instant::default() };
            let query = RetryQuery {
                answer_started,
                ..retry_query(outcome, idempotent, attempts)
            };
            let expected = if allowed == Retry {
                otherwise_expected
            } else {
                allowed
            };
            let decision = budgets.try_retry(now, &query);
            expect_that!(
                decision,
                eq(expected),
                "{query:?} late {late} budget {has_budget}"
            );
        }
    }
}

fn retry_at_min_rate(budgets: &mut RetryBudgets) -> RetryDecision {
    budgets.on_request(Instant::default(), SERVICE);
    budgets.try_retry(Instant::default(), &retry_query(NotRun, false, 1))
}

/// Guards against hedges of requests that must not run twice, of requests that are themselves
/// hedges, and of requests whose deadline passes before the hedge would be sent.
#[gtest]
fn hedges_are_sent_only_where_allowed() {
    // Idempotent, is itself a hedge, known latencies, deadline in ms; hedged at 1 ms or not.
    let rows = [
        (true, false, 100, 1_000, true),
        (true, true, 100, 1_000, false),
        (false, false, 100, 1_000, false),
        (false, true, 100, 1_000, false),
        (true, false, 3, 1_000, false),
        (true, false, 100, 1, false),
    ];
    for (idempotent, is_hedge, known_latencies, deadline_ms, expected) in rows {
        let mut budgets = budgets_after_successes(known_latencies);
        let deadline = Instant::from_millis(deadline_ms);
        let at = budgets.hedge_at(Instant::default(), SERVICE, idempotent, is_hedge, deadline);
        let expected = expected.then_some(Instant::from_millis(1));
        expect_that!(
            at,
            eq(expected),
            "{idempotent} {is_hedge} {known_latencies} {deadline_ms}"
        );
    }
}

/// Guards against hedges that are sent before the 95th percentile.
#[gtest]
fn hedge_waits_for_the_95th_percentile() {
    let mut budgets = RetryBudgets::new();
    for latency_us in 1..=200 {
        budgets.on_request(Instant::default(), SERVICE);
        budgets.on_success(Instant::default(), SERVICE, latency_us);
    }
    let at = budgets.hedge_at(Instant::default(), SERVICE, true, false, Instant::MAX);
    expect_that!(at.map(Instant::as_micros), some(all!(ge(190), le(192))));
}

/// Guards against a table of budgets that grows with service names invented by callers.
#[gtest]
fn number_of_services_is_bounded() {
    let mut budgets = RetryBudgets::new();
    let mut allowed = 0;
    for number in 0..5_000 {
        let service = format!("made-up-{number}");
        budgets.on_request(Instant::default(), &service);
        let query = RetryQuery {
            service: &service,
            ..retry_query(NotRun, true, 1)
        };
        allowed += u32::from(budgets.try_retry(Instant::default(), &query).is_allowed());
    }
    expect_that!(allowed, eq(1_024));
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Request,
    Success,
    Retry,
    Hedge,
}

fn scenario() -> impl Strategy<Value = Vec<(u64, Event)>> {
    // The share of successes, the share of extra requests and the rate differ by scenario.
    (0..20_u32, 0..20_u32, 1..100_000_u64).prop_flat_map(|(success, extra, gap_us)| {
        let event = prop_oneof![
            10 => Just(Event::Request),
            1 + success => Just(Event::Success),
            1 + extra => Just(Event::Retry),
            1 + extra => Just(Event::Hedge),
        ];
        proptest::collection::vec((0..gap_us, event), 1..600)
    })
}

/// Counts the events of the wanted kind that happened.
fn count(events: &[(u64, Event, bool)], wanted: fn(Event) -> bool) -> u64 {
    events
        .iter()
        .filter(|(_, event, happened)| *happened && wanted(*event))
        .count() as u64
}

proptest! {
    /// Guards against retries and hedges that add more than 10 % to the load, in the whole
    /// scenario and, in addition to the extra requests saved at its beginning, in any part of it.
    #[test]
    fn extra_requests_are_bounded(scenario in scenario(), part_start in 0..600_usize) {
        let mut budgets = RetryBudgets::new();
        let mut now = Instant::default();
        let mut events = Vec::new();
        for (gap_us, event) in scenario {
            now = now.saturating_add_micros(gap_us);
            let query = RetryQuery { deadline: Instant::MAX, ..retry_query(NotRun, true, 1) };
            let happened = match event {
                Event::Request => { budgets.on_request(now, SERVICE); true }
                Event::Success => { budgets.on_success(now, SERVICE, 1_000); true }
                Event::Retry => budgets.try_retry(now, &query).is_allowed(),
                Event::Hedge => budgets.try_hedge(now, SERVICE),
            };
            events.push((now.as_micros(), event, happened));
        }
        let min_rate_retries = |part: &[(u64, Event, bool)]| {
            let length_us = part.last().map_or(0, |last| last.0)
                - part.first().map_or(0, |first| first.0);
            1 + length_us / (MIN_RATE_INTERVAL_MS * 1_000)
        };
        let requests = |part: &_| count(part, |event| matches!(event, Event::Request));
        let extras = |part: &_| count(part, |event| matches!(event, Event::Retry | Event::Hedge));
        let hedges = |part: &_| count(part, |event| matches!(event, Event::Hedge));
        prop_assert!(extras(&events) <= requests(&events) / 10 + min_rate_retries(&events));
        prop_assert!(hedges(&events) <= requests(&events) / 20);
        let part = &events[part_start.min(events.len())..];
        // A request before the part can succeed in it, so successes are counted.
        let successes = count(part, |event| matches!(event, Event::Success));
        prop_assert!(
            extras(part) <= successes / 10 + 1 + DEFAULT_MAX_SAVED_EXTRAS + min_rate_retries(part)
        );
    }
}

/// Guards against a fleet that sends more extra requests than its bound, or none at all, when
/// all requests fail.
#[gtest]
fn fleet_keeps_its_bound_while_all_requests_fail() {
    const NODES: u64 = 12;
    let cfg = RetryBudgetSettings {
        credits_on_request: true,
        max_saved_percent: 300,
        has_min_rate: false,
        ..Default::default()
    };
    let mut extra = 0;
    for _ in 0..NODES {
        let mut budgets = RetryBudgets::with_settings(cfg);
        for _ in 0..100 {
            budgets.on_request(Instant::default(), SERVICE);
            let decision = budgets.try_retry(Instant::default(), &retry_query(Unknown, true, 1));
            extra += u64::from(decision.is_allowed());
        }
    }
    expect_that!(extra, all![ge(100), le(NODES * 100 / 10 + NODES * 3)]);
}
