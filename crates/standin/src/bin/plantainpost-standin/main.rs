//! Runs the stand-ins as separate processes, for the demonstration script.

mod args;
mod call;

use std::{process::ExitCode, time::Duration};

use actix_rt::{
    System, SystemRunner,
    signal::unix::{Signal, SignalKind, signal},
};
use plantainpost_standin::{error::Error, history, load, log, target};

use args::{Args, Command};

/// Maximum wait for requests in flight when a target is stopped.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = match args.command {
        Command::Log(args) => run_log(&args),
        Command::Target(args) => run_target(&args),
        Command::Load(args) => run_load(&args),
        Command::Check(args) => run_check(&args),
        Command::Call(args) => call::run(&args),
    };
    match result {
        Ok(code) => code,
        Err(err) => {
            eprintln!("error: {err}");
            ExitCode::FAILURE
        }
    }
}

/// The exit code of a subcommand; an error is printed.
type CommandResult = Result<ExitCode, Box<dyn std::error::Error>>;

fn run_log(args: &args::Log) -> CommandResult {
    let stop = StopSignals::install()?;
    let handle = log::start(&args.settings())?;
    println!(
        "log listening on {} control {}",
        handle.address(),
        handle.control()
    );
    stop.wait();
    Ok(ExitCode::SUCCESS)
}

fn run_target(args: &args::Target) -> CommandResult {
    let stop = StopSignals::install()?;
    let handle = target::start(&args.settings())?;
    println!(
        "target {} listening on {} control {}",
        handle.name(),
        handle.address(),
        handle.control()
    );
    stop.wait();
    let started = handle.started_count();
    handle.drain(DRAIN_TIMEOUT);
    println!("target stopped, {started} requests started before the signal");
    Ok(ExitCode::SUCCESS)
}

fn run_load(args: &args::Load) -> CommandResult {
    let settings = args.settings()?;
    let report = load::start(&settings)?.wait()?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    Ok(ExitCode::SUCCESS)
}

fn run_check(args: &args::Check) -> CommandResult {
    let records = history::read_files(&args.files)?;
    let settings = history::CheckSettings {
        leaving_grace_us: args.leaving_grace_ms.saturating_mul(1000),
        ..Default::default()
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

/// Handlers of SIGTERM and SIGINT. They are installed before the addresses are printed, because a
/// script may send a signal as soon as it has read them.
struct StopSignals {
    system: SystemRunner,
    term: Signal,
    int: Signal,
}

impl StopSignals {
    fn install() -> Result<Self, Error> {
        let system = System::new();
        let install = |kind| {
            system
                .block_on(async move { signal(kind) })
                .map_err(|source| Error::Process {
                    name: "signal handler".to_owned(),
                    source,
                })
        };
        let (term, int) = (
            install(SignalKind::terminate())?,
            install(SignalKind::interrupt())?,
        );
        Ok(Self { system, term, int })
    }

    /// Waits for one of the signals.
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
