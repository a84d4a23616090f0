//! Runs load on a fleet while faults are injected into nodes and the log service.

use std::{
    thread,
    time::{Duration, Instant},
};

use plantainpost_standin::{
    fleet::{Fleet, FleetSettings, Host},
    history::{self, CheckSettings},
    load::{self, LoadRoute, LoadSettings, RequestKind},
    log::{DownMode, LogFaults},
    process::Signal,
    target::TargetSettings,
    usage::Usage,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{BenchResult, args::Soak};

const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of nodes that get no faults: callers send to them, and their memory is compared.
const ENTRY_NODES: usize = 2;

/// Pause after each fault.
const FAULT_PAUSE: Duration = Duration::from_secs(6);

/// Time after which the first memory usage is taken, for comparison with that at the end.
const WARM_UP: Duration = Duration::from_secs(60);

fn hosts(count: usize) -> Vec<Host> {
    let host = |i: usize| Host {
        name: format!("host-{i:02}"),
        data_centre: ["pos", "arima", "chaguanas"][i % 3].to_owned(),
        target: TargetSettings {
            service: ["stock", "ledger"][i / 3 % 2].to_owned(),
            ..Default::default()
        },
    };
    (0..count).map(host).collect()
}

fn request_kinds() -> Vec<RequestKind> {
    let kind = |service: &str, method: &str, body_bytes, weight| RequestKind {
        service: service.to_owned(),
        method: method.to_owned(),
        body_bytes,
        weight,
        ..Default::default()
    };
    vec![
        kind("stock", "GET", 0, 60),
        kind("ledger", "POST", 300, 30),
        kind("stock", "POST", 200_000, 5),
        RequestKind {
            answer_bytes: Some(200_000),
            answer_chunked: true,
            ..kind("ledger", "GET", 0, 5)
        },
    ]
}

/// Runs the soak.
pub(crate) fn run(args: &Soak) -> BenchResult {
    let settings = FleetSettings {
        binary: args.binary()?,
        hosts: hosts(args.nodes),
        ..Default::default()
    };
    let mut fleet = Fleet::start(&settings, READY_TIMEOUT)?;
    let entries = &fleet.nodes[..ENTRY_NODES];
    let load_settings = LoadSettings {
        routes: entries
            .iter()
            .map(|n| LoadRoute::new("node", n.callers))
            .collect(),
        rate: args.rate,
        duration_ms: args.seconds * 1_000,
        timeout_ms: 2_000,
        seed: args.seed,
        kinds: request_kinds(),
        ..Default::default()
    };
    let load = load::start(&load_settings)?;
    let end = Instant::now() + Duration::from_secs(args.seconds);
    let warm_at = Instant::now() + WARM_UP.min(Duration::from_secs(args.seconds / 2));
    let mut warm_usage = None;
    let mut rng = StdRng::seed_from_u64(args.seed);
    let mut faults = 0;
    while Instant::now() + FAULT_PAUSE < end {
        if warm_usage.is_none() && Instant::now() >= warm_at {
            warm_usage = Some(entry_usage(&fleet));
        }
        inject_fault(&mut fleet, &mut rng)?;
        faults += 1;
        thread::sleep(FAULT_PAUSE);
    }
    fleet.log.set_faults(LogFaults::default());
    let report = load.wait()?;
    let end_usage = entry_usage(&fleet);
    println!("{report}");
    println!("faults: {faults}");
    for (warm, end) in warm_usage.iter().flatten().zip(&end_usage) {
        println!("entry: warm {warm:?}, end {end:?}");
    }
    let mut records = report.records;
    for target in fleet.targets {
        records.extend(target.drain(Duration::from_secs(5)));
    }
    let summary = history::check(&records, &CheckSettings::default())?;
    println!("no rule broken: {summary:?}");
    Ok(())
}

fn entry_usage(fleet: &Fleet) -> Vec<Usage> {
    let entries = fleet.nodes[..ENTRY_NODES].iter();
    entries.map(|n| Usage::of(n.process.id())).collect()
}

/// Injects a random fault: a node is replaced, killed or frozen, or the log service is down, is slow
/// and loses answers, or has no fault, until the next change of its faults.
fn inject_fault(fleet: &mut Fleet, rng: &mut StdRng) -> BenchResult {
    let victim = rng.random_range(ENTRY_NODES..fleet.nodes.len());
    match rng.random_range(0..6) {
        0 => {
            let status = fleet.nodes[victim]
                .process
                .terminate(Duration::from_secs(20))?;
            if !status.success() {
                return Err(format!("node {victim} stopped with {status}").into());
            }
            fleet.restart(victim)?;
        }
        1 => fleet.restart(victim)?,
        2 => {
            fleet.nodes[victim].process.signal(Signal::Stop)?;
            thread::sleep(Duration::from_millis(rng.random_range(200..4_000)));
            fleet.nodes[victim].process.signal(Signal::Cont)?;
        }
        3 => fleet.log.set_faults(LogFaults {
            down: DownMode::Refuse,
            ..Default::default()
        }),
        4 => fleet.log.set_faults(LogFaults {
            lose_answers: true,
            delay_ms: 300,
            ..Default::default()
        }),
        _ => fleet.log.set_faults(LogFaults::default()),
    }
    Ok(())
}
