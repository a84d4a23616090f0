//! Compares latency and goodput of the balancing policies under disturbances.

use std::{
    collections::BTreeMap,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use plantainpost_standin::{
    fleet::{Fleet, FleetSettings, Host},
    load::{self, LoadReport, LoadRoute, LoadSettings, RequestKind},
    target::{LoadReportFault, RequestFailure, ServiceTime, TargetFaults, TargetSettings},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::json;

use crate::{BenchResult, args::Policies, stats};

const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The default policy first, then the baselines.
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

/// Number of targets of the measured service, the same as at Caroni, one of the users.
const TARGET_COUNT: usize = 4;

/// Slots of each target.
const SLOTS: u32 = 12;

/// Mean service time in µs. With a shorter one, delays of the load generator and of the machine would
/// have more weight in the results.
const WORK_US: u64 = 20_000;

/// Confirmed budget for load probes and polls, in permille of a CPU core.
const MEASURING_PERMILLE: u32 = 5;

const DATA_CENTRES: [&str; TARGET_COUNT] = ["pos", "arima", "chaguanas", "sando"];

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
    (0..TARGET_COUNT).map(host).collect()
}

/// Returns the requests per second at a load in percent of the targets' capacity.
fn requests_per_second(percent: u32) -> f64 {
    let capacity = TARGET_COUNT as f64 * f64::from(SLOTS) * 1e6 / WORK_US as f64;
    capacity * f64::from(percent) / 100.0
}

/// Runs the benchmark for each disturbance and load.
pub(crate) fn run(args: &Policies) -> BenchResult {
    let policies = chosen_or_all(&args.policy, &POLICIES);
    let loads = match args.load.is_empty() {
        true => vec![50, 80],
        false => args.load.clone(),
    };
    println!(
        "disturbance load% policy: runs, median of p50 p99 p99.9 ms, correct share, goodput/s"
    );
    for disturbance in chosen_or_all(&args.disturbance, &DISTURBANCES) {
        for load in &loads {
            compare(args, &disturbance, *load, &policies)?;
        }
    }
    Ok(())
}

/// Returns the chosen names, or all if none were chosen.
fn chosen_or_all(chosen: &[String], all: &[&str]) -> Vec<String> {
    match chosen.is_empty() {
        true => all.iter().map(|name| (*name).to_owned()).collect(),
        false => chosen.to_vec(),
    }
}

/// Runs the policies in alternation, so that a change in the load of the machine affects all of them.
fn compare(args: &Policies, disturbance: &str, load: u32, policies: &[String]) -> BenchResult {
    let mut reports: Vec<Vec<LoadReport>> = policies.iter().map(|_| Vec::new()).collect();
    for run in 0..args.runs {
        for (policy, reports) in policies.iter().zip(&mut reports) {
            reports.push(run_policy(args, disturbance, load, policy, run)?);
        }
    }
    for (policy, reports) in policies.iter().zip(&reports) {
        print_row(args, disturbance, load, policy, reports);
    }
    Ok(())
}

fn print_row(args: &Policies, disturbance: &str, load: u32, policy: &str, reports: &[LoadReport]) {
    let rows: Vec<_> = reports.iter().filter_map(|r| r.row("node")).collect();
    let median_of =
        |value: fn(&load::ReportRow) -> f64| stats::median(rows.iter().map(|r| value(r)).collect());
    println!(
        "{disturbance} {load} {policy}: {}, {:.1} {:.1} {:.1}, {:.4}, {:.0}",
        rows.len(),
        median_of(|row| row.p50 as f64 / 1e3),
        median_of(|row| row.p99 as f64 / 1e3),
        median_of(|row| row.p999 as f64 / 1e3),
        median_of(|row| row.correct_share),
        median_of(|row| row.correct as f64) / args.seconds as f64,
    );
}

fn run_policy(
    args: &Policies,
    disturbance: &str,
    load: u32,
    policy: &str,
    seed: u64,
) -> Result<LoadReport, Box<dyn std::error::Error>> {
    let settings = FleetSettings {
        binary: args.binary()?,
        hosts: hosts(),
        policy: policy.to_owned(),
        ..Default::default()
    };
    let fleet = Fleet::start(&settings, READY_TIMEOUT)?;
    let intent = json!({ "kind": "measure", "permille": MEASURING_PERMILLE });
    fleet.plan_and_confirm(0, 0, &intent)?;
    thread::sleep(Duration::from_secs(2));
    let routes = fleet.nodes.iter();
    let settings = LoadSettings {
        // All routes have the same label, so that the report has one row.
        routes: routes.map(|n| LoadRoute::new("node", n.callers)).collect(),
        rate: requests_per_second(load),
        duration_ms: args.seconds * 1_000,
        timeout_ms: 1_000,
        seed,
        kinds: vec![RequestKind::default()],
        ..Default::default()
    };
    let load_ended = AtomicBool::new(false);
    let report = thread::scope(|scope| {
        let disturbing = scope.spawn(|| disturb_targets(&fleet, disturbance, seed, &load_ended));
        let report = load::start(&settings).and_then(load::LoadHandle::wait);
        load_ended.store(true, Ordering::Relaxed);
        drop(disturbing.join());
        report
    })?;
    if args.counters {
        print_counters(&fleet, &report);
    }
    Ok(report)
}

/// Prints counters of a run, summed over all nodes, and the number of answers by target.
fn print_counters(fleet: &Fleet, report: &LoadReport) {
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

/// Applies a disturbance to the targets. One that varies ends when `load_ended` is set.
fn disturb_targets(fleet: &Fleet, disturbance: &str, seed: u64, load_ended: &AtomicBool) {
    let constant_faults = match disturbance {
        "slow-phases" => return slow_random_targets(fleet, seed, load_ended),
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
    fleet.targets[0].set_faults(constant_faults);
}

/// Makes a random target ten times slower for 50 to 500 ms, then pauses for 50 to 500 ms, until
/// `load_ended` is set.
fn slow_random_targets(fleet: &Fleet, seed: u64, load_ended: &AtomicBool) {
    let mut rng = StdRng::seed_from_u64(seed);
    while !load_ended.load(Ordering::Relaxed) {
        let target = &fleet.targets[rng.random_range(0..TARGET_COUNT)];
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
