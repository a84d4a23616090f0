//! Requests that pass through an entry and a guard to a target.

use std::{io::Write, net::TcpStream, time::Duration};

use googletest::prelude::*;
use plantainpost_standin::{load::LoadSettings, process};

use crate::{
    fleet_fixture::{Fleet, WAIT_TIMEOUT, host_specs, request_mix},
    http_client::{get_admin, send_request},
};

/// Guards against answers that are truncated, belong to another request or come from a
/// target of another service, with 1,000 requests of mixed size on up to 32 connections per
/// entry.
#[gtest]
fn every_caller_gets_its_complete_answer() {
    let mut specs = host_specs("stock", 3);
    specs.extend(host_specs("ledger", 2));
    let fleet = Fleet::start(&specs);
    let mut kinds = request_mix("stock");
    kinds.extend(request_mix("ledger"));
    let settings = LoadSettings {
        rate: 250.0,
        duration_ms: 4_000,
        connections_per_route: 32,
        kinds,
        ..Default::default()
    };
    let report = fleet
        .start_load(&[0, 3], settings)
        .wait()
        .expect("load runs");
    let row = report.row("node").expect("there is a row");
    expect_that!(row.sent, ge(900));
    expect_that!(row.wrong, eq(0));
    expect_that!(row.cut, eq(0));
    expect_that!(row.correct, eq(row.sent), "{row:#?}");
    fleet.check_histories(&[&report], Vec::new());
}

/// Guards against an outcome header that is missing or contradicts the status.
#[gtest]
fn outcome_header_matches_the_status() {
    let fleet = Fleet::start(&host_specs("stock", 1));
    let callers = fleet.nodes[0].callers;
    let rows = [
        ("known service", "stock", "", "200", "answered"),
        ("port in the host", "stock:8080", "", "200", "answered"),
        ("upper case", "STOCK", "", "200", "answered"),
        ("unknown service", "nobody", "", "503", "not-run"),
        (
            "deadline too short",
            "stock",
            "plantainpost-timeout-ms: 50\r\nx-work-us: 400000\r\n",
            "504",
            "unknown",
        ),
    ];
    for (name, service, headers, status, outcome) in rows {
        let answer = send_request(callers, "GET", service, headers);
        let head = answer.split("\r\n\r\n").next().unwrap_or_default();
        expect_that!(
            head,
            starts_with(format!("HTTP/1.1 {status} ").as_str()),
            "{name}"
        );
        let line = format!("plantainpost-outcome: {outcome}");
        expect_that!(head, contains_substring(line.as_str()), "{name}");
        let retry_after = head.contains("retry-after: ");
        expect_that!(retry_after, eq(outcome == "not-run"), "{name}");
    }
}

/// Guards against `explain` output that lacks the result of a request or the usage of a
/// target.
#[gtest]
fn explain_shows_requests_and_targets() {
    let fleet = Fleet::start(&host_specs("stock", 2));
    let answer = send_request(fleet.nodes[1].callers, "GET", "stock", "");
    let id = answer
        .lines()
        .find_map(|line| line.strip_prefix("plantainpost-request-id: "))
        .expect("the answer has a request id");
    let output = fleet.run_command(1, &["explain", "--request", id, "--json"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    expect_that!(text, contains_substring("answered, status 200"));
    // Requests that are addressed to services by name have no routes.
    expect_that!(text, contains_substring("\"version\": null"));
    let output = fleet.run_command(1, &["explain", "--target", "stock-0", "--json"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    expect_that!(text, contains_substring("in use"));
}

/// Guards against answers without a body that are not recorded as samples: their targets
/// would look unused, and a target that fails fast with empty answers would keep its share.
#[gtest]
fn empty_answers_are_recorded() {
    let fleet = Fleet::start(&host_specs("stock", 2));
    let entry = &fleet.nodes[0];
    for _ in 0..20 {
        let answer = send_request(entry.callers, "GET", "stock", "x-answer-bytes: 0\r\n");
        expect_that!(answer, contains_substring("content-length: 0"));
    }
    let metrics = get_admin(entry.admin, "/v1/metrics");
    let body = metrics.split("\r\n\r\n").nth(1).unwrap_or_default();
    let metrics: serde_json::Value = serde_json::from_str(body).expect("metrics are JSON");
    let counted = &metrics["latencies"]["entry.total_us"]["count"];
    expect_that!(counted.as_u64(), some(eq(20)));
}

/// Guards against a target that keeps working for a caller that has disconnected.
#[gtest]
fn closed_connection_cancels_the_request() {
    let fleet = Fleet::start(&host_specs("stock", 2));
    let in_flight = || {
        let targets = fleet.targets.iter();
        targets.map(|target| target.in_flight()).sum::<u32>()
    };
    let mut io = TcpStream::connect(fleet.nodes[0].callers).expect("the node accepts");
    let text = "GET / HTTP/1.1\r\nhost: stock\r\nx-nonce: gone\r\nx-work-us: 8000000\r\n\r\n";
    io.write_all(text.as_bytes()).expect("the request is sent");
    let started = process::wait_until("the request is at a target", WAIT_TIMEOUT, || {
        in_flight() == 1
    });
    expect_true!(started.is_ok());
    drop(io);
    // The work takes 8 s, so an earlier end is a cancellation.
    let limit = Duration::from_secs(2);
    let ended = process::wait_until("the request is cancelled", limit, || in_flight() == 0);
    expect_true!(ended.is_ok());
}
