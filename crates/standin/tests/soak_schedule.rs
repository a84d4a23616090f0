//! Fault schedules of the soak.

use googletest::prelude::*;
use plantainpost_standin::soak::{
    Fault, FaultStep, add_evacuations, add_restarts, add_restores, add_withdrawals, fault_schedule,
};

const DATA_CENTRES: [&str; 2] = ["pos", "arima"];

/// Guards against additional faults that change the other faults of a seed, so that rounds that have
/// failed before are no longer repeated, and against some that end before their bound applies.
#[gtest]
fn additional_faults_leave_the_faults_of_a_seed_unchanged() {
    type Add = fn(&mut Vec<FaultStep>, u64, usize);
    type IsAdded = fn(&Fault) -> bool;
    let rows: [(&str, Add, IsAdded, u64); 3] = [
        (
            "evacuation",
            |steps, seed, count| add_evacuations(steps, seed, &DATA_CENTRES, count),
            |fault| matches!(fault, Fault::Evacuation(_)),
            7_000,
        ),
        (
            "restart",
            |steps, seed, count| add_restarts(steps, seed, 6, count),
            |fault| matches!(fault, Fault::LeavingTarget(_)),
            200,
        ),
        (
            "withdrawal",
            add_withdrawals,
            |fault| *fault == Fault::WithdrawnKey,
            4_500,
        ),
    ];
    for (name, add, is_added, min_duration_ms) in rows {
        for seed in 0..100 {
            let plain = fault_schedule(seed, 6, 10_000, 8);
            let mut steps = plain.clone();
            add(&mut steps, seed, 0);
            expect_that!(steps, eq(&plain), "{name}");
            add(&mut steps, seed, 1);
            expect_true!(steps.is_sorted_by_key(|step| step.at_ms), "{name}");
            // The steps of the seed, in their order; what remains was added.
            let mut kept = plain.iter().peekable();
            steps.retain(|step| kept.next_if_eq(&step).is_none());
            expect_that!(kept.next(), none(), "{name}");
            let [start, end] = &steps[..] else {
                panic!("one start and one end: {steps:?}");
            };
            expect_true!(is_added(&start.fault) && start.fault == end.fault, "{name}");
            expect_that!((start.begins, end.begins), eq((true, false)), "{name}");
            expect_that!(end.at_ms - start.at_ms, ge(min_duration_ms), "{name}");
        }
    }
}

/// Guards against restores that change the other faults of a seed, that lose no configuration, or that
/// never follow on each other within seconds.
#[gtest]
fn restores_lose_configurations_and_leave_the_faults_of_a_seed_unchanged() {
    let mut repeated = 0;
    for seed in 0..100 {
        let plain = fault_schedule(seed, 6, 10_000, 8);
        let mut steps = plain.clone();
        add_restores(&mut steps, seed, 0);
        expect_that!(steps, eq(&plain));
        add_restores(&mut steps, seed, 1);
        expect_true!(steps.is_sorted_by_key(|step| step.at_ms));
        let mut kept = plain.iter().peekable();
        steps.retain(|step| kept.next_if_eq(&step).is_none());
        expect_that!(kept.next(), none());
        let time = |begins: bool, is_fault: &dyn Fn(&Fault) -> bool| {
            let step = |step: &&FaultStep| step.begins == begins && is_fault(&step.fault);
            steps.iter().find(step).map(|step| step.at_ms)
        };
        for number in 0..2 {
            let is_copy = |fault: &Fault| *fault == Fault::CopiedStore(number);
            let is_restore =
                |fault: &Fault| matches!(fault, Fault::RestoredStore(n, _) if *n == number);
            let is_loss = |fault: &Fault| *fault == Fault::LostRecords(number);
            let Some(copied_ms) = time(true, &is_copy) else {
                expect_that!(number, eq(1));
                continue;
            };
            repeated += number;
            let [Some(failed_ms), Some(restored_ms), Some(written_ms)] = [
                time(true, &is_restore),
                time(false, &is_restore),
                time(false, &is_loss),
            ] else {
                panic!("a restore and its losses begin and end: {steps:?}");
            };
            expect_that!(failed_ms - copied_ms, ge(500).and(le(5_000)));
            expect_that!(restored_ms - failed_ms, ge(200).and(le(1_500)));
            expect_that!(written_ms - restored_ms, ge(100).and(le(3_000)));
            let is_lost = steps.iter().any(|step| {
                step.fault == Fault::PublishConfiguration
                    && (copied_ms..=failed_ms).contains(&step.at_ms)
            });
            expect_true!(is_lost);
        }
    }
    expect_that!(repeated, ge(20).and(le(50)));
}
