//! Planned stops of nodes on the platform, which kills a node at the end of its grace period.

use std::{
    fs, thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use plantainpost_standin::process::{Signal, wait_until};

use crate::{
    fleet_fixture::WAIT_TIMEOUT,
    platform_fixture::{PlatformFleet, ScriptedReply, ScriptedTarget, answer, exchange, header},
    platform_reload::reload,
};

/// Routes that allow a request 10 s.
const ROUTES: &[(&str, &str, u64)] = &[("/safe/", "safe", 10_000), ("/once/", "unsafe", 10_000)];

/// Service time of the target. With the grace period of 6 s, a node cuts requests 5.1 s after the
/// signal.
const SERVICE_TIME: Duration = Duration::from_millis(2_800);

/// Sends a request to the first node that leaves the target much more time than it needs.
fn post(platform: &PlatformFleet, id: &str) -> String {
    let head = format!(
        "POST /once/a HTTP/1.1\r\nHost: shop.example\r\nPlantainpost-Request-Id: {id}\r\n\
         Plantainpost-Deadline-Ms: 10000\r\nConnection: close\r\n\r\n"
    );
    exchange(platform.hosts[0].callers, head.as_bytes())
}

/// Guards against a stopping entry that passes on a request late, and cuts it at the end of its grace
/// period while the target works on it. The guard on another host knows how long such requests take.
#[gtest]
fn stopping_entry_takes_no_request_that_it_would_cut() {
    let target = ScriptedTarget::start(|head| {
        ScriptedReply::After(SERVICE_TIME, answer(head, "200 OK", "done"))
    });
    let platform = PlatformFleet::start(2);
    platform.publish_route_list(4, ROUTES);
    platform.announce(1, &target, "i-1", 1, "ready");
    platform.wait_readyz(0, "200");
    platform.wait_readyz(1, "200");
    wait_until("the entry knows the target", WAIT_TIMEOUT, || {
        platform
            .get(0, "/safe/a", "first")
            .starts_with("HTTP/1.1 200")
    })
    .expect("the target answers");
    thread::scope(|scope| {
        let send = |i: u32| {
            let platform = &platform;
            scope.spawn(move || post(platform, &format!("early-{i}")))
        };
        for request in [1, 2, 3, 4].map(send) {
            let text = request.join().expect("no panic");
            expect_that!(text, starts_with("HTTP/1.1 200"));
        }
    });
    platform.hosts[0]
        .process
        .signal(Signal::Term)
        .expect("the node runs");
    // The node still takes requests, but this one would end after 5.2 s.
    thread::sleep(Duration::from_millis(2_400));
    let text = post(&platform, "late");
    expect_that!(text, starts_with("HTTP/1.1 503"));
    let heads = target.received_heads();
    let late = heads.iter().filter(|head| head.contains("late")).count();
    expect_that!(late, eq(0));
}

/// Service time of the request `late`. With a grace period of 10 s, a node cuts requests 8.5 s after the
/// signal.
const LATE_SERVICE_TIME: Duration = Duration::from_millis(5_800);

/// Returns a target that needs [`LATE_SERVICE_TIME`] for the request `late`.
fn start_target() -> ScriptedTarget {
    ScriptedTarget::start(|head| {
        let answer = answer(head, "200 OK", "done");
        match header(head, "plantainpost-request-id") {
            "late" => ScriptedReply::After(LATE_SERVICE_TIME, answer),
            _ => ScriptedReply::Keep(answer),
        }
    })
}

/// Guards against a stopping node that accepts requests for longer the longer its grace period is, and
/// cuts those that take unusually long. From 3 s after the signal on, no accepted request may be cut.
#[gtest]
fn long_grace_period_does_not_delay_the_end_of_acceptance() {
    let target = start_target();
    let set_grace = |_, text: &mut String| *text = text.replace("grace = 6 s", "grace = 10 s");
    let platform = PlatformFleet::start_with_settings(1, |_, store| store, set_grace);
    platform.publish_route_list(4, ROUTES);
    platform.announce(0, &target, "i-1", 1, "ready");
    platform.wait_readyz(0, "200");
    expect_that!(post(&platform, "usual"), starts_with("HTTP/1.1 200"));
    let signalled_at = Instant::now();
    let term = platform.hosts[0].process.signal(Signal::Term);
    term.expect("the node runs");
    // The platform sends callers to another node only after two failed readiness checks, 1 s apart.
    thread::sleep(Duration::from_millis(2_100));
    expect_that!(post(&platform, "early"), starts_with("HTTP/1.1 200"));
    thread::sleep(Duration::from_millis(3_100).saturating_sub(signalled_at.elapsed()));
    let text = post(&platform, "late");
    let heads = target.received_heads();
    let late = heads.iter().filter(|head| head.contains("late")).count();
    expect_that!(late, eq(0), "{text}");
}

/// Guards against a reload that keeps the old grace period, so that a stop cuts requests long before the
/// node would be killed.
#[gtest]
fn reload_changes_the_grace_period() {
    let target = start_target();
    let platform = PlatformFleet::start(1);
    platform.publish_route_list(4, ROUTES);
    platform.announce(0, &target, "i-1", 1, "ready");
    platform.wait_readyz(0, "200");
    expect_that!(post(&platform, "usual"), starts_with("HTTP/1.1 200"));
    let file = &platform.hosts[0].settings;
    let text = fs::read_to_string(file).expect("a settings file");
    fs::write(file, text.replace("grace = 6 s", "grace = 10 s")).expect("the file can be written");
    reload(&platform, 0);
    let term = platform.hosts[0].process.signal(Signal::Term);
    term.expect("the node runs");
    expect_that!(post(&platform, "late"), starts_with("HTTP/1.1 200"));
}
