//! Tests of the retry and hedge budgets.

use googletest::prelude::*;
use plantainpost_core::{
    retry::{
        AttemptOutcome::{self, NotRun, Unknown},
        BudgetSettings, Budgets, FLOOR_INTERVAL_MS, MAX_RETRIES, MAX_SAVED_EXTRAS,
        RetryDecision::{
            self, AnswerStarted, AttemptsSpent, BudgetSpent, DeadlinePassed, NotRepeatable, Retry,
        },
        RetryQuery,
    },
    time::Instant,
};
use proptest::prelude::*;

const SERVICE: &str = "stock";
const DEADLINE: Instant = Instant::from_millis(1_000);

fn query(outcome: AttemptOutcome, idempotent: bool, attempts: u32) -> RetryQuery<'static> {
    RetryQuery {
        service: SERVICE,
        outcome,
        idempotent,
        answer_started: false,
        attempts,
        reached: attempts,
        last_reached: true,
        max_reached: MAX_RETRIES + 1,
        deadline: DEADLINE,
    }
}

/// Returns accounts with `successes` successful requests.
fn budgets(successes: u64) -> Budgets {
    let mut budgets = Budgets::new();
    for _ in 0..successes {
        budgets.on_request(Instant::default(), SERVICE);
        budgets.on_success(Instant::default(), SERVICE, 1_000);
    }
    budgets
}

/// Guards against a second run of a request that is not idempotent, an answer made of
/// two parts, and retries without end, after the deadline or above the budget.
#[gtest]
fn every_combination() {
    // Outcome, idempotent, answer started: decision if nothing else forbids a retry.
    let rows = [
        (NotRun, false, false, Retry),
        (NotRun, false, true, AnswerStarted),
        (NotRun, true, false, Retry),
        (NotRun, true, true, AnswerStarted),
        (Unknown, false, false, NotRepeatable),
        (Unknown, false, true, AnswerStarted),
        (Unknown, true, false, Retry),
        (Unknown, true, true, AnswerStarted),
    ];
    // Attempts, past the deadline, budget: decision if the row above allows a retry.
    let limits = [
        (1, false, true, Retry),
        (2, false, true, Retry),
        (3, false, true, AttemptsSpent),
        (4, false, true, AttemptsSpent),
        (1, true, true, DeadlinePassed),
        (2, true, true, DeadlinePassed),
        (3, true, true, AttemptsSpent),
        (1, false, false, BudgetSpent),
        (2, false, false, BudgetSpent),
        (3, false, false, AttemptsSpent),
        (1, true, false, DeadlinePassed),
        (3, true, false, AttemptsSpent),
    ];
    for (outcome, idempotent, answer_started, allowed) in rows {
        for (attempts, late, budget, limited) in limits {
            let mut budgets = budgets(if budget { 100 } else { 0 });
            if !budget {
                let floor = budgets_use_floor(&mut budgets);
                expect_that!(floor, eq(Retry));
            }
            let now = if late { DEADLINE } else { Instant::default() };
            let query = RetryQuery {
                answer_started,
                ..query(outcome, idempotent, attempts)
            };
            let expected = if allowed == Retry { limited } else { allowed };
            let decision = budgets.may_retry(now, &query);
            expect_that!(
                decision,
                eq(expected),
                "{query:?} late {late} budget {budget}"
            );
        }
    }
}

fn budgets_use_floor(budgets: &mut Budgets) -> RetryDecision {
    budgets.on_request(Instant::default(), SERVICE);
    budgets.may_retry(Instant::default(), &query(NotRun, false, 1))
}

/// Guards against hedges of requests that must not run twice, of hedges, and of
/// requests that end before the hedge would be sent.
#[gtest]
fn hedges_only_where_allowed() {
    // Idempotent, hedged, known latencies, deadline in ms: hedged at 1 ms or not.
    let rows = [
        (true, false, 100, 1_000, true),
        (true, true, 100, 1_000, false),
        (false, false, 100, 1_000, false),
        (false, true, 100, 1_000, false),
        (true, false, 3, 1_000, false),
        (true, false, 100, 1, false),
    ];
    for (idempotent, hedged, known, deadline_ms, expected) in rows {
        let mut budgets = budgets(known);
        let deadline = Instant::from_millis(deadline_ms);
        let at = budgets.hedge_at(Instant::default(), SERVICE, idempotent, hedged, deadline);
        let expected = expected.then_some(Instant::from_millis(1));
        expect_that!(
            at,
            eq(expected),
            "{idempotent} {hedged} {known} {deadline_ms}"
        );
    }
}

/// Guards against hedges that are sent before the 95th percentile.
#[gtest]
fn hedge_waits_for_the_95th_percentile() {
    let mut budgets = Budgets::new();
    for latency_us in 1..=200 {
        budgets.on_request(Instant::default(), SERVICE);
        budgets.on_success(Instant::default(), SERVICE, latency_us);
    }
    let at = budgets.hedge_at(Instant::default(), SERVICE, true, false, Instant::MAX);
    expect_that!(at.map(Instant::as_micros), some(all!(ge(190), le(192))));
}

/// Guards against accounts for names that callers make up.
#[gtest]
fn table_of_services_is_bounded() {
    let mut budgets = Budgets::new();
    let mut allowed = 0;
    for number in 0..5_000 {
        let service = format!("made-up-{number}");
        budgets.on_request(Instant::default(), &service);
        let query = RetryQuery {
            service: &service,
            ..query(NotRun, true, 1)
        };
        allowed += u32::from(budgets.may_retry(Instant::default(), &query).is_allowed());
    }
    expect_that!(allowed, eq(1_024));
}

#[derive(Clone, Copy, Debug)]
enum Call {
    Request,
    Success,
    Retry,
    Hedge,
}

fn scenario() -> impl Strategy<Value = Vec<(u64, Call)>> {
    // Some scenarios succeed often and some hardly ever, some are quiet.
    (0..20_u32, 0..20_u32, 1..100_000_u64).prop_flat_map(|(success, extra, gap_us)| {
        let call = prop_oneof![
            10 => Just(Call::Request),
            1 + success => Just(Call::Success),
            1 + extra => Just(Call::Retry),
            1 + extra => Just(Call::Hedge),
        ];
        proptest::collection::vec((0..gap_us, call), 1..600)
    })
}

/// Counts what lies between two indices of a scenario.
fn count(calls: &[(u64, Call, bool)], wanted: fn(Call) -> bool) -> u64 {
    calls
        .iter()
        .filter(|(_, call, done)| *done && wanted(*call))
        .count() as u64
}

proptest! {
    /// Guards against retries and hedges that add more than 10 % to the load, in the
    /// whole scenario and, with the savings at its beginning, in any part of it.
    #[test]
    fn extra_requests_are_bounded(scenario in scenario(), cut in 0..600_usize) {
        let mut budgets = Budgets::new();
        let mut now = Instant::default();
        let mut calls = Vec::new();
        for (gap_us, call) in scenario {
            now = now.saturating_add_micros(gap_us);
            let query = RetryQuery { deadline: Instant::MAX, ..query(NotRun, true, 1) };
            let done = match call {
                Call::Request => { budgets.on_request(now, SERVICE); true }
                Call::Success => { budgets.on_success(now, SERVICE, 1_000); true }
                Call::Retry => budgets.may_retry(now, &query).is_allowed(),
                Call::Hedge => budgets.try_hedge(now, SERVICE),
            };
            calls.push((now.as_micros(), call, done));
        }
        let floor = |part: &[(u64, Call, bool)]| {
            let length_us = part.last().map_or(0, |l| l.0) - part.first().map_or(0, |f| f.0);
            1 + length_us / (FLOOR_INTERVAL_MS * 1_000)
        };
        let requests = |part: &_| count(part, |call| matches!(call, Call::Request));
        let extras = |part: &_| count(part, |call| matches!(call, Call::Retry | Call::Hedge));
        let hedges = |part: &_| count(part, |call| matches!(call, Call::Hedge));
        prop_assert!(extras(&calls) <= requests(&calls) / 10 + floor(&calls));
        prop_assert!(hedges(&calls) <= requests(&calls) / 20);
        let part = &calls[cut.min(calls.len())..];
        // A request before the cut can succeed after it, so successes are counted.
        let successes = count(part, |call| matches!(call, Call::Success));
        prop_assert!(extras(part) <= successes / 10 + 1 + MAX_SAVED_EXTRAS + floor(part));
    }
}

/// Guards against a fleet that sends more extra requests than its bound, also when all
/// requests fail, and against one that sends none then.
#[gtest]
fn a_fleet_keeps_its_bound_while_all_requests_fail() {
    const NODES: u64 = 12;
    let cfg = BudgetSettings {
        earns_at_once: true,
        saved_percent: 300,
        has_floor: false,
        ..Default::default()
    };
    let mut extra = 0;
    for _ in 0..NODES {
        let mut budgets = Budgets::with_settings(cfg);
        for _ in 0..100 {
            budgets.on_request(Instant::default(), SERVICE);
            let decision = budgets.may_retry(Instant::default(), &query(Unknown, true, 1));
            extra += u64::from(decision.is_allowed());
        }
    }
    expect_that!(extra, all![ge(100), le(NODES * 100 / 10 + NODES * 3)]);
}
