//! Tests of the measuring budget.

use googletest::prelude::*;
use plantainpost_core::{
    measure::{Budget, WINDOW_US},
    time::Instant,
};
use proptest::prelude::*;

#[derive(Clone, Copy, Debug)]
enum Call {
    Spend(u64),
    Share(u32),
}

fn call() -> impl Strategy<Value = (u64, Call)> {
    let advance = prop_oneof![Just(0), 1..2_000_u64, 1..400_000_u64, Just(WINDOW_US)];
    let call = prop_oneof![
        4 => (0..8_000_u64).prop_map(Call::Spend),
        1 => (0..50_u32).prop_map(Call::Share),
    ];
    (advance, call)
}

/// Sum of the spendings in the closed window of one second that ends at `end`.
fn window_sum(spendings: &[(u64, u64)], end: u64) -> u64 {
    let inside = spendings.iter().filter(|(at, _)| at + WINDOW_US >= end);
    inside.map(|(_, cost)| cost).sum()
}

proptest! {
    /// Guards against a window of one second that holds more than the share, and
    /// against a budget that refuses what the share allows.
    #[test]
    fn no_window_exceeds_the_share(calls in proptest::collection::vec(call(), 1..400)) {
        let mut budget = Budget::new();
        let (mut now, mut share, mut refused) = (7, 0_u32, 0);
        let mut started = None;
        let mut spendings: Vec<(u64, u64)> = Vec::new();
        for (advance, call) in calls {
            now += advance;
            let start = *started.get_or_insert(now);
            let at = Instant::from_micros(now);
            match call {
                Call::Share(permille) => {
                    budget.set_share_permille(at, permille);
                    share = permille;
                }
                Call::Spend(cost) => {
                    let limit = u64::from(share) * WINDOW_US / 1_000;
                    let fits = window_sum(&spendings, now) + cost <= limit;
                    let allowed = fits && limit > 0 && now - start >= WINDOW_US;
                    prop_assert_eq!(budget.try_spend(at, cost), allowed);
                    if allowed {
                        spendings.push((now, cost));
                    } else {
                        refused += 1;
                    }
                }
            }
            prop_assert_eq!(budget.spent_us(at), window_sum(&spendings, now));
            prop_assert_eq!(budget.refused(), refused);
        }
    }
}

/// Guards against lost spendings when there are more of them than the budget records.
#[gtest]
fn many_small_spendings_stay_within_the_share() {
    const SHARE_PERMILLE: u32 = 10;
    const COST_US: u64 = 1;
    const GAP_US: u64 = 50;
    // A second after the record is full: whatever was spent since then still counts.
    const BURST_STEP: u64 = 24_110;
    let mut budget = Budget::new();
    budget.set_share_permille(Instant::default(), SHARE_PERMILLE);
    let mut spendings: Vec<u64> = Vec::new();
    for step in 0..100_000 {
        let now = WINDOW_US + step * GAP_US;
        let attempts = if step == BURST_STEP { 10_000 } else { 1 };
        for _ in 0..attempts {
            if budget.try_spend(Instant::from_micros(now), COST_US) {
                spendings.push(now);
            }
        }
    }
    let limit = u64::from(SHARE_PERMILLE) * 1_000 / COST_US;
    // Spending number `limit` after any other must lie in a later window.
    let apart = spendings
        .iter()
        .zip(spendings.iter().skip(limit as usize))
        .all(|(first, later)| later - first > WINDOW_US);
    expect_that!(apart, eq(true));
    expect_that!(spendings.len() as u64, gt(limit));
}

/// Guards against an allowance that is open too early, too long, or after a reduction.
#[gtest]
fn allowance_at_its_edges() {
    // Each row: title, calls as (instant, share to set or cost to spend, expected).
    let share = |permille| (Some(permille), 0);
    let spend = |cost| (None, cost);
    let rows = [
        (
            "first window",
            vec![(0, share(1_000), true), (WINDOW_US - 1, spend(1), false)],
        ),
        (
            "after it",
            vec![(0, share(1_000), true), (WINDOW_US, spend(1), true)],
        ),
        (
            "first call spends",
            vec![
                (5, spend(1), false),
                (6, share(9), true),
                (WINDOW_US + 5, spend(1), true),
            ],
        ),
        (
            "zero share",
            vec![(0, share(0), true), (2 * WINDOW_US, spend(0), false)],
        ),
        (
            "whole share",
            vec![
                (0, share(5), true),
                (WINDOW_US, spend(5_000), true),
                (WINDOW_US, spend(1), false),
            ],
        ),
        (
            "closed window",
            vec![
                (0, share(5), true),
                (WINDOW_US, spend(5_000), true),
                (2 * WINDOW_US, spend(1), false),
            ],
        ),
        (
            "next window",
            vec![
                (0, share(5), true),
                (WINDOW_US, spend(5_000), true),
                (2 * WINDOW_US + 1, spend(1), true),
            ],
        ),
        (
            "reduction",
            vec![
                (0, share(9), true),
                (WINDOW_US, spend(9_000), true),
                (WINDOW_US, share(5), true),
                (WINDOW_US + 9, spend(1), false),
            ],
        ),
        (
            "clock goes back",
            vec![
                (0, share(5), true),
                (3 * WINDOW_US, spend(5_000), true),
                (WINDOW_US, spend(1), false),
            ],
        ),
        (
            "huge cost",
            vec![
                (0, share(5), true),
                (WINDOW_US, spend(1), true),
                (WINDOW_US, spend(u64::MAX), false),
            ],
        ),
    ];
    for (title, calls) in rows {
        let mut budget = Budget::new();
        for (at, (permille, cost), expected) in calls {
            let now = Instant::from_micros(at);
            match permille {
                Some(permille) => budget.set_share_permille(now, permille),
                None => expect_that!(budget.try_spend(now, cost), eq(expected), "{title}"),
            }
        }
    }
}
