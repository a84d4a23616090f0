//! Tests of the budget for load measurements.

use googletest::prelude::*;
use plantainpost_core::{
    measure::{MeasurementBudget, WINDOW_US},
    time::Instant,
};
use proptest::prelude::*;

#[derive(Clone, Copy, Debug)]
enum Operation {
    Spend(u64),
    SetShare(u32),
}

fn operation() -> impl Strategy<Value = (u64, Operation)> {
    let advance = prop_oneof![Just(0), 1..2_000_u64, 1..400_000_u64, Just(WINDOW_US)];
    let operation = prop_oneof![
        4 => (0..8_000_u64).prop_map(Operation::Spend),
        1 => (0..50_u32).prop_map(Operation::SetShare),
    ];
    (advance, operation)
}

/// Returns the sum of the charges in the window of one second that ends at `end`, both ends
/// included.
fn window_sum_us(charges: &[(u64, u64)], end: u64) -> u64 {
    let inside = charges.iter().filter(|(at, _)| at + WINDOW_US >= end);
    inside.map(|(_, cost)| cost).sum()
}

proptest! {
    /// Guards against a window of one second in which more than the share is spent, and
    /// against a budget that refuses what the share allows.
    #[test]
    fn no_window_exceeds_the_share(operations in proptest::collection::vec(operation(), 1..400)) {
        let mut budget = MeasurementBudget::new();
        let (mut now, mut share, mut refused) = (7, 0_u32, 0);
        let mut first_call_at = None;
        let mut charges: Vec<(u64, u64)> = Vec::new();
        for (advance, operation) in operations {
            now += advance;
            let first_call = *first_call_at.get_or_insert(now);
            let at = Instant::from_micros(now);
            match operation {
                Operation::SetShare(permille) => {
                    budget.set_share_permille(at, permille);
                    share = permille;
                }
                Operation::Spend(cost) => {
                    let limit = u64::from(share) * WINDOW_US / 1_000;
                    let fits_share = window_sum_us(&charges, now) + cost <= limit;
                    let allowed = fits_share && limit > 0 && now - first_call >= WINDOW_US;
                    prop_assert_eq!(budget.try_spend(at, cost), allowed);
                    if allowed {
                        charges.push((now, cost));
                    } else {
                        refused += 1;
                    }
                }
            }
            prop_assert_eq!(budget.spent_us(at), window_sum_us(&charges, now));
            prop_assert_eq!(budget.refused_charges(), refused);
        }
    }
}

/// Guards against charges that are lost when there are more of them than the budget keeps.
#[gtest]
fn many_small_charges_stay_within_the_share() {
    const SHARE_PERMILLE: u32 = 10;
    const COST_US: u64 = 1;
    const GAP_US: u64 = 50;
    // Step one second after the list of charges is full. All charges since then must count,
    // also those that were merged because the list was full.
    const BURST_STEP: u64 = 24_110;
    let mut budget = MeasurementBudget::new();
    budget.set_share_permille(Instant::default(), SHARE_PERMILLE);
    let mut charges: Vec<u64> = Vec::new();
    for step in 0..100_000 {
        let now = WINDOW_US + step * GAP_US;
        let attempts = if step == BURST_STEP { 10_000 } else { 1 };
        for _ in 0..attempts {
            if budget.try_spend(Instant::from_micros(now), COST_US) {
                charges.push(now);
            }
        }
    }
    let limit = u64::from(SHARE_PERMILLE) * 1_000 / COST_US;
    // Charges that are `limit` places apart in the list must be more than a window apart.
    let are_apart = charges
        .iter()
        .zip(charges.iter().skip(limit as usize))
        .all(|(first, later)| later - first > WINDOW_US);
    expect_that!(are_apart, eq(true));
    expect_that!(charges.len() as u64, gt(limit));
}

/// Guards against charges that are allowed too early, too long, or above a reduced share.
#[gtest]
fn charges_are_allowed_exactly_within_the_share() {
    // Title, operations as (instant in us, share to set or cost to charge, expected result).
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
    for (title, operations) in rows {
        let mut budget = MeasurementBudget::new();
        for (at, (permille, cost), expected) in operations {
            let now = Instant::from_micros(at);
            match permille {
                Some(permille) => budget.set_share_permille(now, permille),
                None => expect_that!(budget.try_spend(now, cost), eq(expected), "{title}"),
            }
        }
    }
}
