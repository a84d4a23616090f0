//! Plans and confirmations, also while the log service fails.

use std::{net::TcpStream, thread, time::Duration};

use googletest::prelude::*;
use plantainpost_standin::{
    load::{LoadSettings, RequestKind},
    log::{DownMode, LogFaults},
    process::wait_until,
};
use serde_json::Value;

use crate::fleet_fixture::{Fleet, WAIT_TIMEOUT, host_specs};

/// Time limit for a confirmed configuration to be in force on all nodes.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);

fn config_version(status: &Value) -> Option<u64> {
    status["configuration"]["version"].as_u64()
}

/// Waits until a version is in force on all nodes and returns how long that took.
fn wait_for_version(fleet: &Fleet, wanted: u64) -> Duration {
    let start = std::time::Instant::now();
    for i in 0..fleet.nodes.len() {
        fleet.wait_status(i, "the version is in force", |status| {
            config_version(status) == Some(wanted)
        });
    }
    start.elapsed()
}

/// Guards against a plan that takes effect before it is confirmed, against a confirmation
/// that does not reach all nodes in time, and against a leaving target that gets new work.
#[gtest]
fn confirmed_plan_is_in_force_everywhere() {
    let fleet = Fleet::start(&host_specs("stock", 3));
    let plan = fleet.plan(0, "leave.json", &["leave", "--target", "stock-1"]);
    expect_true!(plan.status.success(), "{plan:?}");
    let text = String::from_utf8_lossy(&plan.stdout).into_owned();
    expect_that!(text, contains_substring("stock-1"));
    expect_that!(config_version(&fleet.status(2)), none());
    let confirm = fleet.confirm(2, "leave.json");
    expect_true!(confirm.status.success(), "{confirm:?}");
    let wanted = config_version(&fleet.status(2)).expect("the version is in force");
    expect_that!(wait_for_version(&fleet, wanted), le(IN_FORCE_LIMIT));
    let before = fleet.targets[1].started_count();
    let settings = LoadSettings {
        rate: 200.0,
        duration_ms: 1_500,
        kinds: vec![RequestKind::default()],
        ..Default::default()
    };
    let report = fleet
        .start_load(&[0, 1, 2], settings)
        .wait()
        .expect("load runs");
    let row = report.row("node").expect("there is a row");
    expect_that!(row.correct, eq(row.sent));
    expect_that!(fleet.targets[1].started_count(), eq(before));
    // The operators undo the change.
    fleet.plan_and_confirm(1, &["return", "--target", "stock-1"]);
    fleet.wait_status(0, "the target returns", |status| {
        status["configuration"]["content"]["leaving"] == Value::Array(Vec::new())
    });
    let audit = fleet.run_command(0, &["audit", "--json"]);
    expect_true!(audit.status.success());
}

/// Guards against two conflicting confirmations that are both reported as in force.
#[gtest]
fn racing_operators_get_one_winner() {
    let fleet = Fleet::start(&host_specs("stock", 2));
    for round in 0..5 {
        let (a, b) = (format!("a{round}.json"), format!("b{round}.json"));
        let permille = (10 + round).to_string();
        fleet.plan(0, &a, &["measure", &permille]);
        let permille = (20 + round).to_string();
        fleet.plan(1, &b, &["measure", &permille]);
        let codes = thread::scope(|scope| {
            let a = scope.spawn(|| fleet.confirm(0, &a).status.code());
            let b = scope.spawn(|| fleet.confirm(1, &b).status.code());
            [a.join().expect("no panic"), b.join().expect("no panic")]
        });
        // 0 is "in force", 3 is "void".
        expect_that!(codes, unordered_elements_are![some(eq(0)), some(eq(3))]);
        let first = fleet.status(0);
        let wanted = config_version(&first).expect("a version is in force");
        wait_for_version(&fleet, wanted);
        let content = |status: &Value| status["configuration"]["content"].clone();
        expect_that!(content(&first), eq(&content(&fleet.status(1))));
    }
}

/// Faults of the log service while an operator confirms a plan.
struct LogFaultCase {
    name: &'static str,
    faults: LogFaults,
    /// Exit codes of `confirm` that report the result correctly.
    exit_codes: &'static [i32],
}

/// Guards against a confirmation that is reported wrongly, lost or reverted when the log
/// service fails during the append.
#[gtest]
fn confirmations_are_reported_correctly_under_log_faults() {
    let cases = [
        LogFaultCase {
            name: "down",
            faults: LogFaults {
                down: DownMode::Refuse,
                ..Default::default()
            },
            exit_codes: &[1],
        },
        LogFaultCase {
            name: "refusing",
            faults: LogFaults {
                refuse: true,
                ..Default::default()
            },
            exit_codes: &[1],
        },
        LogFaultCase {
            name: "losing answers",
            faults: LogFaults {
                lose_answers: true,
                ..Default::default()
            },
            exit_codes: &[0, 4],
        },
        LogFaultCase {
            name: "slow",
            faults: LogFaults {
                delay_ms: 700,
                ..Default::default()
            },
            exit_codes: &[0],
        },
    ];
    for case in cases {
        let fleet = Fleet::start(&host_specs("stock", 2));
        fleet.plan_and_confirm(0, &["measure", "7"]);
        let earlier = config_version(&fleet.status(0)).expect("a version is in force");
        wait_for_version(&fleet, earlier);
        fleet.plan(0, "next.json", &["measure", "9"]);
        let refuses = case.faults.down == DownMode::Refuse;
        fleet.log.set_faults(case.faults);
        if refuses {
            // Until the listener is closed, a connection may be accepted and then reset, and an
            // append on it has an unknown outcome.
            let address = fleet.log.address();
            let closed = || TcpStream::connect(address).is_err();
            wait_until("the log service refuses connections", WAIT_TIMEOUT, closed)
                .expect("the listener is closed");
        }
        let confirm = fleet.confirm(0, "next.json");
        let code = confirm.status.code().unwrap_or(-1);
        expect_true!(
            case.exit_codes.contains(&code),
            "{}: {confirm:?}",
            case.name
        );
        for i in 0..2 {
            expect_that!(
                config_version(&fleet.status(i)),
                some(ge(earlier)),
                "{}",
                case.name
            );
        }
        fleet.log.set_faults(LogFaults::default());
        // Confirming the same plan again is safe, whether the first append succeeded or not.
        let code = fleet.confirm(1, "next.json").status.code();
        expect_that!(code, some(eq(0)), "{}", case.name);
        let wanted = config_version(&fleet.status(1)).expect("a version is in force");
        expect_that!(wanted, gt(earlier), "{}", case.name);
        expect_that!(wait_for_version(&fleet, wanted), le(IN_FORCE_LIMIT));
        let content = &fleet.status(0)["configuration"]["content"];
        expect_that!(content["measuring_permille"].as_u64(), some(eq(9)));
    }
}

/// Guards against a restarted node that serves without the configuration while the log
/// service is down, and against one that reverts when the log service restarts empty.
#[gtest]
fn restarted_node_takes_the_configuration_from_peers() {
    let mut fleet = Fleet::start(&host_specs("stock", 3));
    fleet.plan_and_confirm(0, &["leave", "--target", "stock-1"]);
    let earlier = config_version(&fleet.status(0)).expect("a version is in force");
    wait_for_version(&fleet, earlier);
    fleet.log.set_faults(LogFaults {
        down: DownMode::Refuse,
        ..Default::default()
    });
    fleet.nodes[2].kill_and_restart();
    fleet.wait_status(2, "the version comes from a peer", |status| {
        config_version(status) == Some(earlier)
    });
    fleet.log.restart_without_data();
    fleet.log.set_faults(LogFaults::default());
    thread::sleep(Duration::from_secs(3));
    for i in 0..3 {
        expect_that!(config_version(&fleet.status(i)), some(eq(earlier)));
    }
}
