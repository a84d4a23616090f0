//! Fault schedules of the soak.

use googletest::prelude::*;
use plantainpost_standin::soak::{Fault, add_evacuations, fault_schedule};

const DATA_CENTRES: [&str; 2] = ["pos", "arima"];

/// Guards against evacuations that change the other faults of a seed, so that rounds that have failed
/// before are no longer repeated, and against evacuations that end before their bound applies.
#[gtest]
fn evacuations_leave_the_faults_of_a_seed_unchanged() {
    for seed in 0..100 {
        let plain = fault_schedule(seed, 6, 10_000, 8);
        let mut steps = plain.clone();
        add_evacuations(&mut steps, seed, &DATA_CENTRES, 0);
        expect_that!(steps, eq(&plain));
        add_evacuations(&mut steps, seed, &DATA_CENTRES, 1);
        expect_true!(steps.is_sorted_by_key(|step| step.at_ms));
        let (evacuations, others): (Vec<_>, Vec<_>) = steps
            .into_iter()
            .partition(|step| matches!(step.fault, Fault::Evacuation(_)));
        expect_that!(others, eq(&plain));
        let [start, end] = &evacuations[..] else {
            panic!("one start and one end: {evacuations:?}");
        };
        expect_that!((start.begins, end.begins), eq((true, false)));
        expect_that!(end.at_ms - start.at_ms, ge(7_000));
    }
}
