//! Outcomes that callers get for single requests whose target or guard fails.

use std::{cell::RefCell, thread, time::Duration};

use googletest::prelude::*;
use plantainpost_standin::{
    proxy::ProxyFaults,
    target::{RequestFailure, TargetFaults},
};

use crate::{
    fault_cases::Link,
    fleet_fixture::{Fleet, host_specs},
    http_client::{outcome_header, request_with_timeout, request_with_timeout_bytes},
};

/// Guards against "not-run" for a request of which an earlier attempt may have run: the
/// target of one guard closes after the work, and the other guard is unreachable.
#[gtest]
fn one_unknown_attempt_makes_the_outcome_unknown() {
    let links: RefCell<Vec<Link>> = RefCell::default();
    let fleet = Fleet::start_with_settings(&host_specs("stock", 2), |i, text| {
        links.borrow_mut().push(Link::start(text, i as u64));
    });
    fleet.targets[0].set_faults(TargetFaults {
        fail: RequestFailure::CloseAfterWork,
        ..Default::default()
    });
    links.borrow()[1].tcp.set_faults(ProxyFaults {
        close_new_connections: true,
        ..Default::default()
    });
    let mut unknown_attempts = 0;
    for number in 0..20 {
        let nonce = format!("unknown-{number}");
        let answer = request_with_timeout(
            fleet.nodes[0].callers,
            ("GET", "stock"),
            (&nonce, 2_000),
            "",
        );
        if fleet.targets[0].execution_count(&nonce) > 0 {
            unknown_attempts += 1;
            expect_that!(outcome_header(&answer), eq("unknown"), "{answer}");
        }
        thread::sleep(Duration::from_millis(50));
    }
    expect_that!(unknown_attempts, ge(1), "no attempt reached the target");
}

/// Guards against a second run of a non-idempotent request, and against an outcome other
/// than "unknown" when every target fails after it has received the request.
#[gtest]
fn non_idempotent_request_runs_at_most_once() {
    let rows = [
        ("closes", RequestFailure::Close),
        ("closes after the work", RequestFailure::CloseAfterWork),
        ("never answers", RequestFailure::Never),
        ("unframed answer", RequestFailure::Unframed),
        (
            "unframed answer without connection: close",
            RequestFailure::UnframedSilent,
        ),
    ];
    let fleet = Fleet::start(&host_specs("stock", 3));
    for (number, (name, fail)) in rows.into_iter().enumerate() {
        for target in &fleet.targets {
            target.set_faults(TargetFaults {
                fail,
                ..Default::default()
            });
        }
        for round in 0..5 {
            let nonce = format!("once-{number}-{round}");
            let callers = fleet.nodes[0].callers;
            let answer = request_with_timeout(callers, ("POST", "stock"), (&nonce, 400), "");
            let runs: u64 = fleet
                .targets
                .iter()
                .map(|t| t.execution_count(&nonce))
                .sum();
            expect_that!(runs, le(1), "{name}");
            let wanted = if runs == 1 { "unknown" } else { "not-run" };
            expect_that!(outcome_header(&answer), eq(wanted), "{name}: {answer}");
        }
    }
}

/// Guards against a truncated answer that looks complete to the caller, when the target or
/// the connection between the nodes closes too early.
#[gtest]
fn truncated_answer_of_a_target_is_never_terminated_cleanly() {
    let links: RefCell<Vec<Link>> = RefCell::default();
    // The entry is on another host than the target, because a request to a target on the
    // same host uses no connection between nodes.
    let mut specs = host_specs("desk", 1);
    specs.extend(host_specs("stock", 1));
    let fleet = Fleet::start_with_settings(&specs, |i, text| {
        links.borrow_mut().push(Link::start(text, i as u64));
    });
    let target = |fail| TargetFaults {
        fail,
        ..Default::default()
    };
    let cut_after = |bytes| ProxyFaults {
        cut_after_bytes_to_client: Some(bytes),
        ..Default::default()
    };
    let (no_target, no_link) = (TargetFaults::default(), ProxyFaults::default());
    let rows = [
        (
            "target, after the head",
            target(RequestFailure::CutAfterHead),
            no_link.clone(),
        ),
        (
            "target, in the body",
            target(RequestFailure::CutInBody),
            no_link,
        ),
        ("connection, early", no_target.clone(), cut_after(1_000)),
        ("connection, late", no_target, cut_after(180_000)),
    ];
    for (name, target, link) in rows {
        fleet.targets[1].set_faults(target);
        links.borrow()[1].tcp.set_faults(link);
        for headers in ["", "x-answer-chunked: 1\r\n"] {
            links.borrow()[1].tcp.cut_connections();
            let headers = format!("x-answer-bytes: 200000\r\n{headers}");
            let callers = fleet.nodes[0].callers;
            let answer =
                request_with_timeout_bytes(callers, ("POST", "stock"), ("cut", 3_000), &headers);
            let head = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
            let body = head.map_or(&answer[..0], |at| &answer[at + 4..]);
            let complete = match headers.contains("chunked") {
                true => body.ends_with(b"0\r\n\r\n"),
                false => body.len() >= 200_000,
            };
            expect_that!(
                complete,
                eq(false),
                "{name}, {headers}: {} bytes",
                body.len()
            );
        }
    }
}

/// Guards against a wrong outcome when a guard is killed while one request is at its target
/// and one is in its queue. Neither may be reported as "not-run", because a restarted guard
/// has lost its request table and cannot fence.
#[gtest]
fn killed_guard_makes_the_outcome_unknown() {
    let mut specs = host_specs("desk", 1);
    specs.extend(host_specs("stock", 1));
    specs[1].target.slots = 1;
    let mut fleet = Fleet::start(&specs);
    let callers = fleet.nodes[0].callers;
    let post = |nonce: &'static str| {
        let work = "x-work-us: 3000000\r\n";
        thread::spawn(move || {
            request_with_timeout(callers, ("POST", "stock"), (nonce, 8_000), work)
        })
    };
    let first = post("started");
    thread::sleep(Duration::from_millis(300));
    let second = post("queued");
    thread::sleep(Duration::from_millis(300));
    expect_that!(fleet.targets[1].execution_count("started"), eq(1));
    fleet.nodes[1].kill_and_restart();
    for (name, runs, answer) in [("started", 1, first), ("queued", 0, second)] {
        let answer = answer.join().expect("no panic");
        expect_that!(outcome_header(&answer), eq("unknown"), "{name}: {answer}");
        expect_that!(fleet.targets[1].execution_count(name), eq(runs), "{name}");
    }
}
