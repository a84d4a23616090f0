//! Short runs of the fault soak: `plantainpost-bench faults` plays longer ones.

use googletest::prelude::*;
use plantainpost_standin::soak::{self, SoakSettings};

use crate::platform_fixture::BINARY;

/// Rounds that failed once, as seed and round, with the cause.
const REGRESSIONS: &[(u64, u64, &str)] = &[(
    120,
    2,
    "the soak did not start a node again after a series of stops",
)];

/// Guards against promises to callers, targets and operators that are broken while links, the
/// store, targets and nodes fail in series and at the same time.
#[gtest]
fn promises_hold_under_random_faults() {
    let short = SoakSettings {
        binary: BINARY.into(),
        seed: 1,
        rounds: 1,
        ..Default::default()
    };
    let runs = REGRESSIONS.iter().map(|(seed, first_round, cause)| {
        let cfg = SoakSettings {
            seed: *seed,
            first_round: *first_round,
            ..short.clone()
        };
        (cfg, *cause)
    });
    for (cfg, cause) in std::iter::once((short.clone(), "no earlier failure")).chain(runs) {
        let run = soak::run(&cfg);
        let (seed, round) = (cfg.seed, cfg.first_round);
        match run {
            Ok(report) => expect_that!(report.faults, gt(0)),
            Err(e) => add_failure!("seed {seed}, round {round} ({cause}): {e}"),
        }
    }
}
