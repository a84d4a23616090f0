//! The fault soak on the platform, seed by seed.

use plantainpost_standin::soak::{self, SoakSettings};

use crate::{Done, args::Faults};

/// Runs each seed with a fleet of its own, and fails if one of them did.
pub(crate) fn run(args: &Faults) -> Done {
    let mut failed = Vec::new();
    for seed in args.seed..args.seed + args.seeds {
        let cfg = SoakSettings {
            binary: args.binary()?,
            seed,
            nodes: args.nodes,
            first_round: args.first_round,
            rounds: args.rounds,
            rate: args.rate,
            ..Default::default()
        };
        match soak::run(&cfg) {
            Ok(report) => println!("seed {seed}: kept; {report:?}"),
            Err(e) => {
                println!("seed {seed}: {e}");
                failed.push(seed);
            }
        }
    }
    match failed.is_empty() {
        true => Ok(()),
        false => Err(format!("failed seeds: {failed:?}").into()),
    }
}
