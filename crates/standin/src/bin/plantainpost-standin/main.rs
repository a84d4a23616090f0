//! The stand-ins as separate processes, for the demonstration script.

mod args;
mod call;

use std::{process::ExitCode, time::Duration};

use actix_rt::signal::unix::{SignalKind, signal};
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
    let handle = log::start(&args.settings())?;
    println!(
        "log listening on {} control {}",
        handle.address(),
        handle.control()
    );
    wait_for_stop()?;
    Ok(ExitCode::SUCCESS)
}

fn run_target(args: &args::Target) -> Done {
    let handle = target::start(&args.settings())?;
    println!(
        "target {} listening on {} control {}",
        handle.name(),
        handle.address(),
        handle.control()
    );
    wait_for_stop()?;
    let started = handle.started();
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

/// Waits for SIGTERM or SIGINT.
fn wait_for_stop() -> Result<(), Error> {
    actix_rt::System::new()
        .block_on(async {
            let mut term = signal(SignalKind::terminate())?;
            let mut int = signal(SignalKind::interrupt())?;
            let stop = std::pin::pin!(term.recv());
            let interrupt = std::pin::pin!(int.recv());
            futures_util::future::select(stop, interrupt).await;
            Ok(())
        })
        .map_err(|source| Error::Process {
            name: "signal handler".to_owned(),
            source,
        })
}
