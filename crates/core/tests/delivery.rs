//! Tests of the time and the memory of responses that are delivered late.

use googletest::prelude::*;
use plantainpost_core::{
    delivery::{ArrivalTime, HoldBudget, HoldSettings, MAX_LATE_BYTES, TargetTime},
    time::Instant,
};

fn at_ms(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// Blocked periods, the deadline after them, and their total, all in milliseconds.
type DeadlineRow = (&'static [(u64, u64)], u64, u64);

/// Guards against a deadline that counts the time in which the target was not read, and against one
/// that is moved by anything else.
#[gtest]
fn only_time_without_reading_moves_the_deadline() {
    let rows: [DeadlineRow; 6] = [
        (&[], 1_200, 0),
        (&[(200, 200)], 1_200, 0),
        (&[(200, 3_500)], 4_500, 3_300),
        (&[(200, 300), (400, 450)], 1_350, 150),
        // The clock went back, as it does for no monotonic one.
        (&[(500, 400)], 1_200, 0),
        (&[(1_000, 60_000)], 11_200, 59_000),
    ];
    for (periods, deadline, blocked) in rows {
        let mut time = TargetTime::new(at_ms(1_200), 10_000);
        for (from, to) in periods {
            time.block(at_ms(*from));
            time.unblock(at_ms(*to));
        }
        expect_that!(time.deadline(), eq(at_ms(deadline)), "{periods:?}");
        expect_that!(time.give_up_at(), eq(at_ms(11_200)), "{periods:?}");
        expect_that!(time.blocked_us(), eq(blocked * 1_000), "{periods:?}");
    }
}

/// Guards against a period that is counted twice, or from its last call on.
#[gtest]
fn repeated_calls_do_not_change_a_period() {
    let mut time = TargetTime::new(at_ms(1_000), 10_000);
    time.block(at_ms(100));
    time.block(at_ms(300));
    time.unblock(at_ms(500));
    time.unblock(at_ms(900));
    expect_that!(time.deadline(), eq(at_ms(1_400)));
}

/// Guards against a far deadline that overflows.
#[gtest]
fn deadline_saturates() {
    let mut time = TargetTime::new(Instant::MAX, u64::MAX);
    time.block(at_ms(0));
    time.unblock(Instant::MAX);
    expect_that!(time.deadline(), eq(Instant::MAX));
}

/// Guards against a busy node that cuts what has arrived in time, and against a target that sends
/// without end and is never waited for.
#[gtest]
fn late_bytes_are_limited() {
    let mut time = TargetTime::new(at_ms(1_000), 10_000);
    expect_true!(time.on_bytes(at_ms(999), 100 * MAX_LATE_BYTES));
    expect_true!(time.on_bytes(at_ms(1_000), MAX_LATE_BYTES));
    expect_false!(time.on_bytes(at_ms(1_000), 1));
    expect_false!(time.on_bytes(at_ms(1_001), 0));
}

/// Guards against an entry that cuts a response in transit, and against one that waits for ever for a
/// guard that is silent.
#[gtest]
fn entry_waits_for_parts_in_transit() {
    // Arrivals, and when the next part must have arrived, in milliseconds.
    let rows: [(&[u64], u64); 4] = [
        (&[], 2_200),
        (&[100, 1_100], 2_200),
        (&[100, 2_100, 2_900], 3_900),
        (&[11_000], 11_200),
    ];
    for (arrivals, deadline) in rows {
        let mut time = ArrivalTime::new(at_ms(0), at_ms(1_200), 10_000);
        for ms in arrivals {
            expect_true!(time.on_part(at_ms(*ms), 1), "{arrivals:?}");
        }
        expect_that!(time.deadline(), eq(at_ms(deadline)), "{arrivals:?}");
    }
    let mut time = ArrivalTime::new(at_ms(0), at_ms(1_200), 10_000);
    time.block(at_ms(1_000));
    time.unblock(at_ms(4_000));
    expect_that!(time.deadline(), eq(at_ms(5_200)));
    expect_that!(time.give_up_at(), eq(at_ms(11_200)));
}

/// Guards against a response without end that keeps its slot until it is given up, since its guard is
/// blocked for most of the time and so has a later deadline than the entry.
#[gtest]
fn parts_after_the_deadline_are_limited() {
    const PART_BYTES: usize = 64 * 1024;
    // Time without reading, and the arrival of the first part that is not taken, in milliseconds. Parts
    // arrive every 50 ms.
    for (blocked_ms, end_ms) in [(0, 1_200 + 32 * 50), (3_000, 4_200 + 32 * 50)] {
        let mut time = ArrivalTime::new(at_ms(0), at_ms(1_200), 100_000);
        time.block(at_ms(0));
        time.unblock(at_ms(blocked_ms));
        let mut arrivals = (blocked_ms..60_000).step_by(50);
        let end = arrivals.find(|ms| !time.on_part(at_ms(*ms), PART_BYTES));
        expect_that!(end, some(eq(end_ms)));
    }
}

/// Guards against responses that together hold more than the budget and one piece each, and against
/// bytes that stay counted.
#[gtest]
fn budget_bounds_one_response_and_all_together() {
    let mut budget = HoldBudget::new(HoldSettings {
        response_bytes: 100,
        total_bytes: 250,
    });
    let mut held = [0; 5];
    for _ in 0..20 {
        for own in &mut held {
            if budget.has_room(*own) {
                budget.add(30);
                *own += 30;
            }
        }
    }
    expect_that!(budget.held_bytes(), eq(held.iter().sum::<usize>()));
    expect_that!(budget.held_bytes(), all![ge(250), lt(250 + 30)]);
    expect_that!(held, each(lt(100 + 30)));
    // Only the removal that makes room again wakes those that wait for it.
    let freed: Vec<bool> = held.iter().map(|own| budget.remove(*own)).collect();
    expect_that!(
        freed,
        elements_are![eq(&true), eq(&false), eq(&false), eq(&false), eq(&false)]
    );
    expect_that!(budget.held_bytes(), eq(0));
    expect_true!(budget.has_room(99));
    expect_false!(budget.has_room(100));
    expect_true!(budget.is_own_limit_reached(100));
}

/// Guards against a budget that wakes all waiting responses for each block that leaves it, and against
/// one that has room and has woken nobody.
#[gtest]
fn budget_in_steady_use_wakes_few() {
    let mut budget = HoldBudget::new(HoldSettings {
        response_bytes: 1_600,
        total_bytes: 1_600,
    });
    budget.add(1_600);
    for _ in 0..20 {
        expect_false!(budget.remove(100));
        expect_false!(budget.has_room(0));
        budget.add(100);
    }
    expect_false!(budget.remove(100));
    expect_true!(budget.remove(1));
    expect_true!(budget.has_room(0));
    expect_false!(budget.remove(1));
    expect_true!(budget.has_room(0));
}
