//! Latency and goodput of the policies under disturbances.

use std::{
    collections::BTreeMap,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use plantainpost_standin::{
    fleet::{Fleet, FleetSettings, Host},
    load::{self, Kind, LoadSettings, Report, Route},
    target::{LoadReportFault, RequestFailure, ServiceTime, TargetFaults, TargetSettings},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::json;

use crate::{Done, args::Policies, stats};

const READY: Duration = Duration::from_secs(20);

/// The product's policy first, then the baselines.
const POLICIES: [&str; 5] = [
    "predicted-completion",
    "random",
    "round-robin",
    "least-in-flight",
    "two-choices-reported",
];

const DISTURBANCES: [&str; 5] = [
    "quiet",
    "slow-phases",
    "fast-failure",
    "stuck-report",
    "late-report",
];

/// Targets of the measured service, as at Caroni.
const TARGETS: usize = 4;

/// Slots of a target.
const SLOTS: u32 = 12;

/// Mean service time. Longer ones make the load tool and the machine matter less.
const WORK_US: u64 = 20_000;

/// Confirmed share of a core for measuring, in permille.
const MEASURING_PERMILLE: u32 = 5;

const DATA_CENTRES: [&str; TARGETS] = ["pos", "arima", "chaguanas", "sando"];

fn hosts() -> Vec<Host> {
    let host = |i: usize| Host {
        name: format!("stock-{i}"),
        data_centre: DATA_CENTRES[i].to_owned(),
        target: TargetSettings {
            service: "stock".to_owned(),
            slots: SLOTS,
            service_time: ServiceTime::Exponential(WORK_US),
            seed: i as u64,
            ..Default::default()
        },
    };
    (0..TARGETS).map(host).collect()
}

/// Returns the arrivals per second at a load in percent of the capacity.
fn rate(percent: u32) -> f64 {
    let capacity = TARGETS as f64 * f64::from(SLOTS) * 1e6 / WORK_US as f64;
    capacity * f64::from(percent) / 100.0
}

/// Runs the comparison.
pub(crate) fn run(args: &Policies) -> Done {
    let policies = given(&args.policy, &POLICIES);
    let loads = match args.load.is_empty() {
        true => vec![50, 80],
        false => args.load.clone(),
    };
    println!(
        "disturbance load% policy: runs, median of p50 p99 p99.9 ms, correct share, goodput/s"
    );
    for disturbance in given(&args.disturbance, &DISTURBANCES) {
        for load in &loads {
            compare(args, &disturbance, *load, &policies)?;
        }
    }
    Ok(())
}

fn given(chosen: &[String], all: &[&str]) -> Vec<String> {
    match chosen.is_empty() {
        true => all.iter().map(|name| (*name).to_owned()).collect(),
        false => chosen.to_vec(),
    }
}

/// Runs the policies in turn, so that a change of the machine meets all of them.
fn compare(args: &Policies, disturbance: &str, load: u32, policies: &[String]) -> Done {
    let mut reports: Vec<Vec<Report>> = policies.iter().map(|_| Vec::new()).collect();
    for run in 0..args.runs {
        for (policy, reports) in policies.iter().zip(&mut reports) {
            reports.push(measure(args, disturbance, load, policy, run)?);
        }
    }
    for (policy, reports) in policies.iter().zip(&reports) {
        print_row(args, disturbance, load, policy, reports);
    }
    Ok(())
}

fn print_row(args: &Policies, disturbance: &str, load: u32, policy: &str, reports: &[Report]) {
    let rows: Vec<_> = reports.iter().filter_map(|r| r.row("node")).collect();
    let of = |pick: fn(&load::Row) -> f64| stats::median(rows.iter().map(|r| pick(r)).collect());
    println!(
        "{disturbance} {load} {policy}: {}, {:.1} {:.1} {:.1}, {:.4}, {:.0}",
        rows.len(),
        of(|row| row.p50 as f64 / 1e3),
        of(|row| row.p99 as f64 / 1e3),
        of(|row| row.p999 as f64 / 1e3),
        of(|row| row.correct_share),
        of(|row| row.correct as f64) / args.seconds as f64,
    );
}

fn measure(
    args: &Policies,
    disturbance: &str,
    load: u32,
    policy: &str,
    seed: u64,
) -> Result<Report, Box<dyn std::error::Error>> {
    let settings = FleetSettings {
        binary: args.binary()?,
        hosts: hosts(),
        policy: policy.to_owned(),
        ..Default::default()
    };
    let fleet = Fleet::start(&settings, READY)?;
    let share = json!({ "kind": "measure", "permille": MEASURING_PERMILLE });
    fleet.plan_and_confirm(0, 0, &share)?;
    thread::sleep(Duration::from_secs(2));
    let routes = fleet.nodes.iter();
    let settings = LoadSettings {
        // All routes share a label, so that they make one row.
        routes: routes.map(|n| Route::new("node", n.callers)).collect(),
        rate: rate(load),
        duration_ms: args.seconds * 1_000,
        timeout_ms: 1_000,
        seed,
        kinds: vec![Kind::default()],
        ..Default::default()
    };
    let done = AtomicBool::new(false);
    let report = thread::scope(|scope| {
        let disturb = scope.spawn(|| disturb(&fleet, disturbance, seed, &done));
        let report = load::start(&settings).and_then(load::LoadHandle::wait);
        done.store(true, Ordering::Relaxed);
        drop(disturb.join());
        report
    })?;
    if args.counters {
        print_counters(&fleet, &report);
    }
    Ok(report)
}

/// Prints counters that explain a run, summed over all nodes.
fn print_counters(fleet: &Fleet, report: &Report) {
    let names = [
        "entry.retry",
        "entry.retry_denied",
        "entry.hedge",
        "guard.refused",
        "probe.sent",
        "measure.refused",
    ];
    let mut totals = BTreeMap::new();
    for i in 0..fleet.nodes.len() {
        let metrics = fleet.get_admin(i, "/v1/metrics").unwrap_or_default();
        for name in names {
            let value = metrics["counters"][name].as_i64().unwrap_or(0);
            *totals.entry(name).or_insert(0) += value;
        }
    }
    let targets = report.row("node").map(|row| &row.targets);
    println!("  counters {totals:?}, answers {targets:?}");
}

/// Disturbs the targets until the load has ended.
fn disturb(fleet: &Fleet, disturbance: &str, seed: u64, done: &AtomicBool) {
    let constant = match disturbance {
        "slow-phases" => return slow_phases(fleet, seed, done),
        "fast-failure" => TargetFaults {
            fail: RequestFailure::Status500,
            fail_permille: 1_000,
            ..Default::default()
        },
        "stuck-report" => TargetFaults {
            load: LoadReportFault::Zero,
            ..Default::default()
        },
        "late-report" => TargetFaults {
            load: LoadReportFault::Delayed,
            load_delay_ms: 500,
            ..Default::default()
        },
        _ => return,
    };
    fleet.targets[0].set_faults(constant);
}

/// Makes a random target ten times slower for 50 to 500 ms, with pauses of the same
/// length.
fn slow_phases(fleet: &Fleet, seed: u64, done: &AtomicBool) {
    let mut rng = StdRng::seed_from_u64(seed);
    while !done.load(Ordering::Relaxed) {
        let target = &fleet.targets[rng.random_range(0..TARGETS)];
        let slow_ms = rng.random_range(50..=500);
        target.set_faults(TargetFaults {
            slow_factor: 10.0,
            slow_ms,
            ..Default::default()
        });
        thread::sleep(Duration::from_millis(slow_ms));
        target.set_faults(TargetFaults::default());
        thread::sleep(Duration::from_millis(rng.random_range(50..=500)));
    }
}
