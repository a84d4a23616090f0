//! Displacement of waiting requests by more urgent ones, and the time after which callers come back.

use std::{
    net::{IpAddr, Ipv4Addr},
    thread,
    time::Duration,
};

use googletest::prelude::*;
use plantainpost_standin::process;

use crate::{
    fleet_fixture::WAIT_TIMEOUT,
    platform_fixture::{
        PlatformFleet, ScriptedReply, ScriptedTarget, answer, exchange_from, header, request_head,
    },
};

/// Time that each request takes at the target.
const WORK: Duration = Duration::from_millis(900);

/// Address of the host of the target and its node.
const OWN_HOST: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Address of callers on another host.
const OTHER_HOST: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2));

/// Requests that fill the 12 slots of the target and the queue of 24.
const CAPACITY: usize = 36;

/// Writes two routes of one service to the store, of which `/urgent/` may be more urgent.
fn publish_routes(platform: &PlatformFleet, urgent_priority: u32) {
    let route = |prefix: &str, priority: u32| {
        format!(
            r#""r{prefix}":{{"host":"shop.example","pathPrefix":"{prefix}","kind":"safe",
            "timeoutMs":9000,"latencyTargetMs":9000,"priority":{priority},"attempts":2,
            "service":"shelf"}}"#
        )
    };
    let (usual, urgent) = (route("/usual/", 2), route("/urgent/", urgent_priority));
    let text = format!(
        r#"{{"version":4,"routes":{{{usual},{urgent}}},"services":{{"shelf":
        {{"healthPath":"/healthz","maxConns":260}}}},"limits":{{"maxHeaderBytes":16384,
        "maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
    );
    platform
        .store
        .append_keyed("keyed.op", "config", text.as_bytes());
}

/// Sends requests at the same time and returns the threads that wait for their answers.
fn send(
    platform: &PlatformFleet,
    from: IpAddr,
    path: &str,
    count: usize,
) -> Vec<thread::JoinHandle<String>> {
    let callers = platform.hosts[0].callers;
    let spawn = |i| {
        let head = request_head(
            "GET",
            &format!("{path}{i}"),
            &format!("s{i}"),
            "Connection: close\r\n",
        );
        thread::spawn(move || exchange_from(from, callers, &head).to_lowercase())
    };
    (0..count).map(spawn).collect()
}

fn join(threads: Vec<thread::JoinHandle<String>>) -> Vec<String> {
    let answers = threads.into_iter().map(|thread| thread.join());
    answers.map(|answer| answer.expect("no panic")).collect()
}

/// Returns the answers to requests that fill the target and its queue, and to eight on `path` that
/// arrive from an address while they do, with the heads that the target received.
fn overload(
    urgent_priority: u32,
    from: IpAddr,
    path: &str,
) -> (Vec<String>, Vec<String>, Vec<String>) {
    let target = ScriptedTarget::start(|head| match head.starts_with("get /healthz") {
        true => ScriptedReply::Keep(answer(head, "200 OK", "")),
        false => ScriptedReply::After(WORK, answer(head, "200 OK", "stock")),
    });
    let platform = PlatformFleet::start(1);
    publish_routes(&platform, urgent_priority);
    platform.announce(0, &target, "i-1", 1, "ready");
    platform.wait_readyz(0, "200");
    let usual = send(&platform, OTHER_HOST, "/usual/", CAPACITY);
    process::wait_until("a full queue", WAIT_TIMEOUT, || {
        target.received_heads().len() >= 12
    })
    .expect("requests at the target");
    // The others arrive within this time, and none of the first ends.
    thread::sleep(Duration::from_millis(200));
    let last = send(&platform, from, path, 8);
    let answers = (join(usual), join(last));
    (answers.0, answers.1, target.received_heads())
}

/// Guards against urgent requests that are refused while less urgent ones wait, against displaced
/// ones that run, and against a `Retry-After` in whole seconds.
#[gtest]
fn urgent_requests_displace_waiting_ones() {
    let (usual, urgent, heads) = overload(0, OTHER_HOST, "/urgent/");
    for text in &urgent {
        expect_that!(text, starts_with("http/1.1 200"));
    }
    let is_displaced = |text: &&String| header(text, "plantainpost-reason") == "displaced";
    let displaced: Vec<_> = usual.iter().filter(is_displaced).collect();
    expect_that!(displaced.len(), ge(6));
    for text in displaced {
        expect_that!(text, starts_with("http/1.1 503"));
        expect_that!(header(text, "plantainpost-outcome"), eq("not-run"));
        let retry_after = header(text, "retry-after");
        expect_that!(retry_after, contains_substring("."));
        let seconds: f64 = retry_after.parse().expect("a number");
        expect_that!(seconds, all![ge(0.05), le(10.0)]);
        let id = header(text, "plantainpost-request-id");
        let is_its = |head: &&String| {
            head.starts_with("get /usual/") && header(head, "plantainpost-request-id") == id
        };
        expect_that!(heads.iter().filter(is_its).count(), eq(0));
    }
}

/// Guards against another order or another `Retry-After` where all routes have the same priority.
#[gtest]
fn requests_of_the_same_priority_wait_as_before() {
    let (usual, urgent, _) = overload(2, OTHER_HOST, "/urgent/");
    let all = usual.iter().chain(&urgent);
    let refused: Vec<_> = all
        .filter(|text| text.starts_with("http/1.1 503"))
        .collect();
    expect_that!(refused.is_empty(), eq(false));
    for text in refused {
        expect_that!(header(text, "plantainpost-reason"), not(eq("displaced")));
        expect_that!(header(text, "retry-after"), eq("1"));
    }
}

/// Guards against calls of a target for requests that are running, which are refused in favour of new
/// requests where the configuration has no workspaces.
#[gtest]
fn calls_of_running_work_displace_new_requests() {
    let (usual, calls, _) = overload(0, OWN_HOST, "/usual/");
    for text in &calls {
        expect_that!(text, starts_with("http/1.1 200"));
    }
    let is_displaced = |text: &&String| header(text, "plantainpost-reason") == "displaced";
    expect_that!(usual.iter().filter(is_displaced).count(), ge(6));
}
