//! The stand-ins as separate processes, for the demonstration script.

mod args;
mod call;

use std::{process::ExitCode, time::Duration};

use actix_rt::{
    System, SystemRunner,
    signal::unix::{Signal, SignalKind, signal},
};
use plantainpost_standin::{error::Error, history, load, log, target};

use args::{Args, Command};

/// Longest wait for requests in flight when a target is stopped.
const DRAIN_LIMIT: Duration = Duration::from_secs(20);

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let done = match args.command {
        Command::Log(args) => run_log(&args),
        Command::Target(args) => run_target(&args),
        Command::Load(args) => run_load(&args),
        Command::Check(args) => run_check(&args),
        Command::Call(args) => call::run(&args),
    };
    match done {
        Ok(code) => code,
        Err(err) => {
            eprintln!("error: {err}");
            ExitCode::FAILURE
        }
    }
}

/// What a subcommand returns; an error is printed.
type Done = Result<ExitCode, Box<dyn std::error::Error>>;

fn run_log(args: &args::Log) -> Done {
    let stop = Stop::listen()?;
    let handle = log::start(&args.settings())?;
    println!(
        "log listening on {} control {}",
        handle.address(),
        handle.control()
    );
    stop.wait();
    Ok(ExitCode::SUCCESS)
}

fn run_target(args: &args::Target) -> Done {
    let stop = Stop::listen()?;
    let handle = target::start(&args.settings())?;
    println!(
        "target {} listening on {} control {}",
        handle.name(),
        handle.address(),
        handle.control()
    );
    stop.wait();
    let started = handle.started_count();
    handle.drain(DRAIN_LIMIT);
    println!("target stopped, {started} requests started before the signal");
    Ok(ExitCode::SUCCESS)
}

fn run_load(args: &args::Load) -> Done {
    let settings = args.settings()?;
    let report = load::start(&settings)?.wait()?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    Ok(ExitCode::SUCCESS)
}

fn run_check(args: &args::Check) -> Done {
    let records = history::read_files(&args.files)?;
    let settings = history::CheckSettings {
        leaving_grace_us: args.leaving_grace_ms.saturating_mul(1000),
    };
    match history::check(&records, &settings) {
        Ok(summary) => {
            println!("no rule broken: {}", serde_json::to_string(&summary)?);
            Ok(ExitCode::SUCCESS)
        }
        Err(violation) => {
            println!("{violation}");
            Ok(ExitCode::FAILURE)
        }
    }
}

/// Waits for SIGTERM or SIGINT. It listens before the addresses are printed, because a
/// script may send the signal as soon as it has read them.
struct Stop {
    system: SystemRunner,
    term: Signal,
    int: Signal,
}

impl Stop {
    fn listen() -> Result<Self, Error> {
        let system = System::new();
        let listen = |kind| {
            system
                .block_on(async move { signal(kind) })
                .map_err(|source| Error::Process {
                    name: "signal handler".to_owned(),
                    source,
                })
        };
        let (term, int) = (
            listen(SignalKind::terminate())?,
            listen(SignalKind::interrupt())?,
        );
        Ok(Self { system, term, int })
    }

    fn wait(self) {
        let Self {
            system,
            mut term,
            mut int,
        } = self;
        system.block_on(async move {
            let term = std::pin::pin!(term.recv());
            let int = std::pin::pin!(int.recv());
            futures_util::future::select(term, int).await;
        });
    }
}
