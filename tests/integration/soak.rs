//! Short runs of the fault soak test. `plantainpost-bench faults` runs longer ones.

use std::thread;

use googletest::prelude::*;
use plantainpost_standin::soak::{self, SoakSettings};

use crate::platform_fixture::BINARY;

/// Number of fleets that run at the same time.
const CONCURRENT_FLEETS: usize = 4;

/// Rounds that have failed before: seed, round and cause.
const REGRESSIONS: &[(u64, u64, &str)] = &[
    (108, 2, NODE_NOT_RESTARTED),
    (109, 2, NODE_NOT_RESTARTED),
    (120, 2, NODE_NOT_RESTARTED),
    (131, 1, NODE_NOT_RESTARTED),
    (142, 2, NODE_NOT_RESTARTED),
    (146, 0, NODE_NOT_RESTARTED),
    (
        401,
        1,
        "the stand-in target did not record the end of requests that outlived its incarnation",
    ),
    (
        149,
        1,
        "the soak applied the time limit of a stop to a node that was suspended",
    ),
];

const NODE_NOT_RESTARTED: &str = "the soak did not restart a node after its stop";

/// Guards against requests that start in an evacuated data centre, and against the other violated
/// guarantees, while an operator evacuates a data centre during random faults.
#[gtest]
fn evacuations_hold_under_random_faults() {
    let cfg = SoakSettings {
        binary: BINARY.into(),
        seed: 1_001,
        rounds: 1,
        evacuations: 1,
        ..Default::default()
    };
    match soak::run(&cfg) {
        Ok(report) => expect_that!(report.checked_evacuations, eq(1)),
        Err(e) => add_failure!("seed {}: {e}", cfg.seed),
    }
}

/// Guards against too many requests at targets that come back cold, requests with a key that is
/// withdrawn, and a workspace beyond its quota, during random faults.
#[gtest]
fn limits_of_targets_and_workspaces_hold_under_random_faults() {
    let cfg = SoakSettings {
        binary: BINARY.into(),
        seed: 2_001,
        rounds: 1,
        evacuations: 1,
        restarts: 2,
        withdrawals: 1,
        ..Default::default()
    };
    match soak::run(&cfg) {
        Ok(report) => {
            expect_that!(report.checked_cold_periods, ge(1));
            expect_that!(report.checked_withdrawals, eq(1));
            expect_that!(report.requests.not_run, ge(1));
        }
        Err(e) => add_failure!("seed {}: {e}", cfg.seed),
    }
}

/// Guards against configurations, evacuations and withdrawn keys that are not in force after the store
/// was restored from an older copy and the lost records were written again, during random faults.
#[gtest]
fn operator_records_hold_when_the_store_is_restored() {
    let cfg = SoakSettings {
        binary: BINARY.into(),
        seed: 4_801,
        rounds: 1,
        evacuations: 1,
        withdrawals: 1,
        restores: 1,
        ..Default::default()
    };
    match soak::run(&cfg) {
        Ok(report) => expect_that!(report.lossy_restores, ge(1)),
        Err(e) => add_failure!("seed {}: {e}", cfg.seed),
    }
}

/// Guards against violated guarantees to callers, targets and operators while links, the
/// store, targets and nodes fail one after the other and at the same time.
#[gtest]
fn guarantees_hold_under_random_faults() {
    let short = SoakSettings {
        binary: BINARY.into(),
        seed: 1,
        rounds: 1,
        ..Default::default()
    };
    let rows: Vec<_> = std::iter::once(&(1, 0, "no earlier failure"))
        .chain(REGRESSIONS)
        .collect();
    for batch in rows.chunks(CONCURRENT_FLEETS) {
        let runs = batch.iter().map(|(seed, first_round, _)| {
            let cfg = SoakSettings {
                seed: *seed,
                first_round: *first_round,
                ..short.clone()
            };
            thread::spawn(move || soak::run(&cfg))
        });
        let runs: Vec<_> = runs.collect();
        for ((seed, round, cause), run) in batch.iter().zip(runs) {
            match run.join().expect("the soak does not panic") {
                Ok(report) => expect_that!(report.faults, gt(0)),
                Err(e) => add_failure!("seed {seed}, round {round} ({cause}): {e}"),
            }
        }
    }
}
