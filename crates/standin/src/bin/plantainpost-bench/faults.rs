//! Runs the fault soak with the platform interface for a range of seeds.

use plantainpost_standin::soak::{self, SoakSettings};

use crate::{BenchResult, args::Faults};

/// Runs each seed on a fleet of its own. Fails at the end if any of them failed.
pub(crate) fn run(args: &Faults) -> BenchResult {
    let mut failed_seeds = Vec::new();
    for seed in args.seed..args.seed + args.seeds {
        let cfg = SoakSettings {
            binary: args.binary()?,
            seed,
            nodes: args.nodes,
            first_round: args.first_round,
            rounds: args.rounds,
            evacuations: args.evacuations,
            restarts: args.restarts,
            withdrawals: args.withdrawals,
            restores: args.restores,
            rate: args.rate,
            ..Default::default()
        };
        match soak::run(&cfg) {
            Ok(report) => println!("seed {seed}: passed; {report:?}"),
            Err(e) => {
                println!("seed {seed}: {e}");
                failed_seeds.push(seed);
            }
        }
    }
    match failed_seeds.is_empty() {
        true => Ok(()),
        false => Err(format!("failed seeds: {failed_seeds:?}").into()),
    }
}
