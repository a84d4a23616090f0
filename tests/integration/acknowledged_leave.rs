//! Leaves that a node has acknowledged, and heartbeats of the target that arrive after them.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{SystemTime, UNIX_EPOCH},
};

use googletest::prelude::*;
use plantainpost_standin::process::{self, Signal};

use crate::{
    fleet_fixture::WAIT_TIMEOUT,
    platform_fixture::{
        FIRST_BORN_MS, PlatformFleet, ScriptedReply, ScriptedTarget, answer, start_process,
    },
};

/// Returns the present time in milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.expect("a time after 1970").as_millis() as u64
}

/// Returns the status line of the answer to a request to the node with index 0.
fn status_of_request(platform: &PlatformFleet, id: &str) -> String {
    let text = platform.get(0, "/safe/1", id);
    text.lines().next().unwrap_or_default().to_owned()
}

/// Stops the node with index 0 and starts it again.
fn restart_node(platform: &mut PlatformFleet) {
    let host = &mut platform.hosts[0];
    host.process.signal(Signal::Term).expect("the process runs");
    host.process.wait_exit(WAIT_TIMEOUT).expect("an end");
    host.process = start_process(&host.settings);
    platform.wait_readyz(0, "200");
}

/// Returns an answer to a request, or to a health check, which has no request id.
fn answer_or_health(head: &str, status: &str) -> Vec<u8> {
    match head.starts_with("get /healthz ") {
        true => format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").into_bytes(),
        false => answer(head, status, "stock"),
    }
}

/// Guards against a leave that a node acknowledges after a restart, before the target has announced
/// itself again, and forgets when a heartbeat that was sent before it arrives.
#[gtest]
fn leave_acknowledged_after_a_restart_outlasts_a_late_heartbeat() {
    let target = ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "stock")));
    let mut platform = PlatformFleet::start_with_target(&target);
    expect_that!(
        status_of_request(&platform, "n1"),
        starts_with("HTTP/1.1 200")
    );
    restart_node(&mut platform);
    let acknowledged = platform.send_control(0, "DELETE", "/-/instances/i-1", "");
    expect_that!(acknowledged, starts_with("HTTP/1.1 200"));
    platform.announce(0, &target, "i-1", 2, "ready");
    expect_that!(
        status_of_request(&platform, "n2"),
        starts_with("HTTP/1.1 503")
    );
    platform.announce(0, &target, "i-1", 3, "ready");
    expect_that!(
        status_of_request(&platform, "n3"),
        starts_with("HTTP/1.1 503")
    );
    platform.announce_incarnation(0, &target, "i-1", unix_ms() + 1, 1, "ready");
    expect_that!(
        status_of_request(&platform, "n4"),
        starts_with("HTTP/1.1 200")
    );
}

/// Guards against a leave that the process before a restart acknowledged, and that the new one can't
/// know, when a heartbeat that was sent before it arrives: the health check of the target tells.
#[gtest]
fn leave_acknowledged_before_a_restart_outlasts_a_late_heartbeat() {
    let is_leaving = Arc::new(AtomicBool::new(false));
    let leaving = Arc::clone(&is_leaving);
    let target = ScriptedTarget::start(move |head| {
        let status = match leaving.load(Ordering::SeqCst) && head.starts_with("get /healthz ") {
            true => "503 Service Unavailable",
            false => "200 OK",
        };
        ScriptedReply::Keep(answer_or_health(head, status))
    });
    let mut platform = PlatformFleet::start_with_target(&target);
    expect_that!(
        status_of_request(&platform, "p1"),
        starts_with("HTTP/1.1 200")
    );
    is_leaving.store(true, Ordering::SeqCst);
    let acknowledged = platform.send_control(0, "DELETE", "/-/instances/i-1", "");
    expect_that!(acknowledged, starts_with("HTTP/1.1 200"));
    restart_node(&mut platform);
    platform.announce(0, &target, "i-1", 2, "ready");
    for id in ["p2", "p3"] {
        expect_that!(
            status_of_request(&platform, id),
            starts_with("HTTP/1.1 503")
        );
    }
    expect_that!(target.received_heads().len(), eq(1));
    // The target is well, as its health check says; it has not left.
    is_leaving.store(false, Ordering::SeqCst);
    let mut seq = 2;
    process::wait_until("an answer of the target", WAIT_TIMEOUT, || {
        seq += 1;
        platform.announce(0, &target, "i-1", seq, "ready");
        status_of_request(&platform, "p4").starts_with("HTTP/1.1 200")
    })
    .expect("an answer");
}

/// Guards against a leave that is put down to the known instance of a target, while the one that
/// sent it had started again under the same id and its first heartbeat was still on the way.
#[gtest]
fn leave_outlasts_a_late_heartbeat_of_an_instance_that_was_not_known() {
    let target = ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "stock")));
    let platform = PlatformFleet::start_with_target(&target);
    platform.send_control(0, "DELETE", "/-/instances/i-1", "");
    platform.announce_incarnation(0, &target, "i-1", FIRST_BORN_MS + 5_000, 1, "ready");
    expect_that!(
        status_of_request(&platform, "o1"),
        starts_with("HTTP/1.1 503")
    );
}
