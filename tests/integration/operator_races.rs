//! Operators who confirm conflicting plans while the log service fails.

use std::{
    collections::BTreeSet,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use plantainpost_standin::{
    clock,
    history::{self, CheckSettings, Record},
    log::{DownMode, LogFaults},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::Value;

use crate::fleet_fixture::{Fleet, host_specs};

/// Time for which operators confirm plans and the log service fails.
const RACE_TIME: Duration = Duration::from_secs(12);

/// Time limit for a configuration to be in force on all nodes once the log service is back.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);

/// Number of newest log records that a trim keeps.
const KEPT_RECORDS: u64 = 3;

/// Exit code of `confirm` for a confirmation in force.
const EXIT_IN_FORCE: i32 = 0;

/// Plans and confirms changes until `finished` is set. Returns the versions that were reported
/// as in force to this operator.
fn run_operator(
    fleet: &Fleet,
    node: usize,
    first_permille: u32,
    finished: &AtomicBool,
) -> Vec<u64> {
    let file = format!("race-{node}.json");
    let mut reported = Vec::new();
    for round in 0.. {
        if finished.load(Ordering::Relaxed) {
            break;
        }
        let permille = (first_permille + round % 400).to_string();
        if !fleet
            .plan(node, &file, &["measure", &permille])
            .status
            .success()
        {
            continue;
        }
        let confirm = fleet.run_command(node, &["confirm", "--author", "esi", "--json", &file]);
        if confirm.status.code() == Some(EXIT_IN_FORCE) {
            let answer: Value = serde_json::from_slice(&confirm.stdout).expect("JSON");
            reported.push(
                answer["version"]
                    .as_u64()
                    .expect("the answer has a version"),
            );
        }
    }
    reported
}

/// Records the configuration in force at each node repeatedly until `finished` is set.
fn record_configurations(fleet: &Fleet, finished: &AtomicBool) -> Vec<Record> {
    let mut records = Vec::new();
    while !finished.load(Ordering::Relaxed) {
        for i in 0..fleet.nodes.len() {
            records.extend(config_record(fleet, i));
        }
    }
    records
}

fn config_record(fleet: &Fleet, i: usize) -> Option<Record> {
    let status = fleet.status(i);
    let configuration = &status["configuration"];
    Some(Record::Config {
        at: clock::now_us(),
        node: status["node"].as_str()?.to_owned(),
        version: configuration["version"].as_u64()?,
        digest: configuration["content"].to_string(),
    })
}

/// Sets random faults of the log service and trims it for [`RACE_TIME`], then clears them.
fn inject_log_faults(fleet: &Fleet, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let end = Instant::now() + RACE_TIME;
    while Instant::now() < end {
        let faults = match rng.random_range(0..5) {
            0 => LogFaults {
                down: DownMode::Refuse,
                ..Default::default()
            },
            1 => LogFaults {
                down: DownMode::Close,
                ..Default::default()
            },
            2 => LogFaults {
                delay_ms: 400,
                ..Default::default()
            },
            3 => LogFaults {
                lose_answers: true,
                ..Default::default()
            },
            _ => LogFaults::default(),
        };
        fleet.log.set_faults(faults);
        trim_log(fleet);
        thread::sleep(Duration::from_millis(rng.random_range(200..900)));
    }
    fleet.log.set_faults(LogFaults::default());
}

fn trim_log(fleet: &Fleet) {
    let last = fleet.log.records("config").last().map_or(0, |r| r.offset);
    fleet
        .log
        .trim_before("config", last.saturating_sub(KEPT_RECORDS));
}

/// Guards against a confirmation that is reported as in force and is not, that reverts, or
/// that differs between nodes, while two operators confirm conflicting plans and the log
/// service is down, is slow, loses answers and trims records.
#[gtest]
fn confirmations_hold_while_operators_race_and_the_log_fails() {
    let seeds = std::env::var("PLANTAINPOST_SEEDS").map_or(1, |s| s.parse().unwrap_or(1));
    for seed in 0..seeds {
        println!("seed {seed}");
        run_race(seed);
    }
}

fn run_race(seed: u64) {
    let fleet = Fleet::start(&host_specs("stock", 3));
    let finished = AtomicBool::new(false);
    let (mut reported, records) = thread::scope(|scope| {
        let a = scope.spawn(|| run_operator(&fleet, 0, 10, &finished));
        let b = scope.spawn(|| run_operator(&fleet, 1, 500, &finished));
        let watcher = scope.spawn(|| record_configurations(&fleet, &finished));
        inject_log_faults(&fleet, seed);
        finished.store(true, Ordering::Relaxed);
        let mut reported = a.join().expect("no panic");
        reported.extend(b.join().expect("no panic"));
        (reported, watcher.join().expect("no panic"))
    });
    reported.sort_unstable();
    println!("{} confirmations in force", reported.len());
    let distinct: BTreeSet<u64> = reported.iter().copied().collect();
    expect_that!(
        distinct.len(),
        eq(reported.len()),
        "a version was reported twice"
    );
    expect_that!(reported.len(), ge(3), "too few confirmed plans");

    // With the log service back, all nodes must agree within the limit on a version that is
    // not older than the newest reported one.
    let start = Instant::now();
    let newest = reported.last().copied().unwrap_or(0);
    let first = fleet.wait_status(0, "the newest reported version is in force", |status| {
        status["configuration"]["version"].as_u64() >= Some(newest)
    });
    let wanted = &first["configuration"]["version"];
    for i in 1..3 {
        fleet.wait_status(i, "all nodes have the same version", |status| {
            &status["configuration"]["version"] == wanted
        });
    }
    expect_that!(start.elapsed(), le(IN_FORCE_LIMIT));
    if let Err(violation) = history::check(&records, &CheckSettings::default()) {
        panic!("seed {seed}: {violation}");
    }
}
