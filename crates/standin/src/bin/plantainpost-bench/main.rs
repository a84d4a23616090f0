//! Measurements of real node processes, for the figures in the documentation.

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

/// What a measurement returns; an error is printed.
type Done = Result<(), Box<dyn std::error::Error>>;

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let done = match args.command {
        Command::Latency(args) => latency::run(&args),
        Command::Capacity(args) => capacity::run(&args),
        Command::Connections(args) => connections::run(&args),
        Command::Policies(args) => policies::run(&args),
        Command::Probes(args) => probes::run(&args),
        Command::Soak(args) => soak::run(&args),
        Command::Faults(args) => faults::run(&args),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e}");
            ExitCode::FAILURE
        }
    }
}
