//! Operators who race while the log service fails.

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
    log::{Down, LogFaults},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::Value;

use crate::fleet_fixture::{Fleet, host_specs};

/// Time for which operators race.
const RACE: Duration = Duration::from_secs(12);

/// Time within which a configuration is in force everywhere after the log's return.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);

/// Records of the log that a trim leaves.
const KEPT_RECORDS: u64 = 3;

/// Exit code of a confirmation that came into force.
const IN_FORCE: i32 = 0;

/// States intents one after the other until the race is over, and returns the versions
/// that the operator was told are in force.
fn operate(fleet: &Fleet, node: usize, base: u32, done: &AtomicBool) -> Vec<u64> {
    let file = format!("race-{node}.json");
    let mut told = Vec::new();
    for round in 0.. {
        if done.load(Ordering::Relaxed) {
            break;
        }
        let permille = (base + round % 400).to_string();
        if !fleet
            .plan(node, &file, &["measure", &permille])
            .status
            .success()
        {
            continue;
        }
        let confirm = fleet.run_command(node, &["confirm", "--author", "esi", "--json", &file]);
        if confirm.status.code() == Some(IN_FORCE) {
            let answer: Value = serde_json::from_slice(&confirm.stdout).expect("JSON");
            told.push(answer["version"].as_u64().expect("a version is told"));
        }
    }
    told
}

/// Records the configuration in force at each node, again and again.
fn watch(fleet: &Fleet, done: &AtomicBool) -> Vec<Record> {
    let mut records = Vec::new();
    while !done.load(Ordering::Relaxed) {
        for i in 0..fleet.nodes.len() {
            records.extend(seen(fleet, i));
        }
    }
    records
}

fn seen(fleet: &Fleet, i: usize) -> Option<Record> {
    let status = fleet.status(i);
    let configuration = &status["configuration"];
    Some(Record::Config {
        at: clock::now_us(),
        node: status["node"].as_str()?.to_owned(),
        version: configuration["version"].as_u64()?,
        digest: configuration["content"].to_string(),
    })
}

/// Disturbs the log service until the race is over, then mends it.
fn disturb(fleet: &Fleet, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let end = Instant::now() + RACE;
    while Instant::now() < end {
        let faults = match rng.random_range(0..5) {
            0 => LogFaults {
                down: Down::Refuse,
                ..Default::default()
            },
            1 => LogFaults {
                down: Down::Close,
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
        trim(fleet);
        thread::sleep(Duration::from_millis(rng.random_range(200..900)));
    }
    fleet.log.set_faults(LogFaults::default());
}

fn trim(fleet: &Fleet) {
    let last = fleet.log.records("config").last().map_or(0, |r| r.offset);
    fleet.log.trim("config", last.saturating_sub(KEPT_RECORDS));
}

/// Guards against a decision that is told to be in force and is not, that reverts, or that
/// differs between nodes, while two operators race and the log service is down, slow, loses
/// answers and trims.
#[gtest]
fn decisions_hold_while_operators_race_and_the_log_fails() {
    let seeds = std::env::var("PLANTAINPOST_SEEDS").map_or(1, |s| s.parse().unwrap_or(1));
    for seed in 0..seeds {
        println!("seed {seed}");
        race(seed);
    }
}

fn race(seed: u64) {
    let fleet = Fleet::start(&host_specs("stock", 3));
    let done = AtomicBool::new(false);
    let (mut told, records) = thread::scope(|scope| {
        let a = scope.spawn(|| operate(&fleet, 0, 10, &done));
        let b = scope.spawn(|| operate(&fleet, 1, 500, &done));
        let watcher = scope.spawn(|| watch(&fleet, &done));
        disturb(&fleet, seed);
        done.store(true, Ordering::Relaxed);
        let mut told = a.join().expect("no panic");
        told.extend(b.join().expect("no panic"));
        (told, watcher.join().expect("no panic"))
    });
    told.sort_unstable();
    println!("{} decisions in force", told.len());
    let distinct: BTreeSet<u64> = told.iter().copied().collect();
    expect_that!(distinct.len(), eq(told.len()), "one version, one decision");
    expect_that!(told.len(), ge(3), "the operators get something done");

    // The log is back: all nodes agree within the limit, on nothing older than was told.
    let start = Instant::now();
    let newest = told.last().copied().unwrap_or(0);
    let first = fleet.wait_status(0, "the newest decision is in force", |status| {
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
