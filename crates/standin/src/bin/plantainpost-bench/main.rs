//! Benchmarks and soak tests of node processes, for the figures in the documentation.

mod args;
mod capacity;
mod connections;
mod faults;
mod latency;
mod policies;
mod probes;
mod soak;
mod stats;

use std::process::ExitCode;

use args::{Args, Command};

/// The result of a subcommand; an error is printed.
type BenchResult = Result<(), Box<dyn std::error::Error>>;

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = match args.command {
        Command::Latency(args) => latency::run(&args),
        Command::Capacity(args) => capacity::run(&args),
        Command::Connections(args) => connections::run(&args),
        Command::Policies(args) => policies::run(&args),
        Command::Probes(args) => probes::run(&args),
        Command::Soak(args) => soak::run(&args),
        Command::Faults(args) => faults::run(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e}");
            ExitCode::FAILURE
        }
    }
}
