//! Failures of nodes, targets and connections under load.
//!
//! Each row disturbs a fleet while callers send requests. Afterwards the histories of
//! callers and targets are checked: whole answers to the right caller, "not run" is
//! true, and no non-idempotent request ran twice.

use std::{thread, time::Duration};

use googletest::prelude::*;
use plantainpost_standin::{
    load::{LoadSettings, Report},
    process::Signal,
    target::{Fail, TargetFaults},
};

use crate::util::{Fleet, hosts, mix};

/// Time for which a process is frozen: longer than the deadlines of requests.
const FREEZE: Duration = Duration::from_millis(2_500);

/// Time after which one disturbance follows another.
const PAUSE: Duration = Duration::from_millis(700);

type Disturbance = fn(&mut Fleet);

/// Returns the host whose target has started most requests, so that a fault meets
/// traffic. Host 0, the first entry, is left out.
fn busiest(fleet: &Fleet) -> usize {
    let hosts = 1..fleet.targets.len();
    let busiest = hosts.max_by_key(|i| fleet.targets[*i].started());
    busiest.expect("there are hosts")
}

fn kill_guard(fleet: &mut Fleet) {
    let i = busiest(fleet);
    fleet.nodes[i].replace();
}

fn freeze_guard(fleet: &mut Fleet) {
    freeze(fleet, busiest(fleet));
}

fn freeze_entry(fleet: &mut Fleet) {
    freeze(fleet, 0);
}

fn freeze(fleet: &Fleet, i: usize) {
    let process = &fleet.nodes[i].process;
    process.signal(Signal::Stop).expect("the node runs");
    thread::sleep(FREEZE);
    process.signal(Signal::Cont).expect("the node runs");
}

fn set_target(fleet: &Fleet, faults: TargetFaults) {
    let i = busiest(fleet);
    fleet.targets[i].set_faults(faults);
    thread::sleep(PAUSE);
    fleet.targets[i].set_faults(TargetFaults::default());
}

fn fail(fleet: &Fleet, fail: Fail) {
    let faults = TargetFaults {
        fail,
        fail_permille: 500,
        ..Default::default()
    };
    set_target(fleet, faults);
}

fn close_idle(fleet: &mut Fleet) {
    let faults = TargetFaults {
        close_idle: true,
        ..Default::default()
    };
    set_target(fleet, faults);
}

fn late(fleet: &mut Fleet) {
    let faults = TargetFaults {
        late_ms: 2_500,
        ..Default::default()
    };
    set_target(fleet, faults);
}

fn leave(fleet: &mut Fleet) {
    let i = busiest(fleet);
    fleet.targets[i].set_leaving(true);
    thread::sleep(Duration::from_secs(2));
    fleet.targets[i].set_leaving(false);
}

/// Guards against broken promises under one failure, and under two that follow or
/// overlap each other.
#[gtest]
fn promises_hold_under_failure() {
    let rows: [(&str, &[Disturbance]); 14] = [
        ("guard killed", &[kill_guard]),
        ("guard frozen", &[freeze_guard]),
        ("entry frozen", &[freeze_entry]),
        ("target fails fast", &[|f| fail(f, Fail::Status500)]),
        ("target closes", &[|f| fail(f, Fail::Close)]),
        (
            "answer cut after the head",
            &[|f| fail(f, Fail::CutAfterHead)],
        ),
        ("answer cut in the body", &[|f| fail(f, Fail::CutInBody)]),
        ("answer never comes", &[|f| fail(f, Fail::Never)]),
        ("answer unframed", &[|f| fail(f, Fail::Unframed)]),
        ("idle connections closed", &[close_idle]),
        ("answers past their deadline", &[late]),
        ("target leaves and returns", &[leave]),
        ("guard killed twice", &[kill_guard, kill_guard]),
        (
            "guard frozen, then killed, with late answers",
            &[freeze_guard, late, kill_guard],
        ),
    ];
    for (seed, (name, disturbances)) in rows.into_iter().enumerate() {
        println!("{name}, seed {seed}");
        let mut fleet = Fleet::start(&hosts("stock", 3));
        let settings = LoadSettings {
            rate: 120.0,
            duration_ms: 6_000,
            timeout_ms: 1_500,
            seed: seed as u64,
            kinds: mix("stock"),
            ..Default::default()
        };
        let load = fleet.load(&[0, 2], settings);
        thread::sleep(PAUSE);
        for disturb in disturbances {
            disturb(&mut fleet);
        }
        let report = load.wait().expect("load runs");
        expect_served(name, &report);
        let summary = fleet.check(&[&report], Vec::new());
        expect_that!(summary.sent, ge(500), "{name}");
    }
}

/// Most requests must be answered: a fleet that refuses everything keeps its promises,
/// too.
fn expect_served(name: &str, report: &Report) {
    let row = report.row("node").expect("there is a row");
    println!("{name}: {row:?}");
    expect_that!(row.correct_share, ge(0.5), "{name}: {row:#?}");
    expect_that!(row.wrong, eq(0), "{name}");
}
