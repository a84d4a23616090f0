//! Planned stops of entries and guards.

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

use googletest::prelude::*;
use plantainpost_standin::{load::LoadSettings, process::Signal};

use crate::fleet_fixture::{Fleet, WAIT_TIMEOUT, host_specs, request_mix};

/// Guards against a planned stop that cuts requests: under load, all nodes but the one that
/// callers use are stopped and restarted in turn.
#[gtest]
fn rolling_replacement_cuts_no_request() {
    let mut fleet = Fleet::start(&host_specs("stock", 4));
    let settings = LoadSettings {
        rate: 150.0,
        duration_ms: 12_000,
        kinds: request_mix("stock"),
        ..Default::default()
    };
    let load = fleet.start_load(&[0], settings);
    for i in 1..4 {
        let status = fleet.nodes[i].process.terminate(WAIT_TIMEOUT);
        expect_true!(status.expect("the node stops").success());
        let lines = fleet.nodes[i].process.lines();
        let summary = lines.iter().find(|line| line.contains("stopped: "));
        expect_that!(summary, some(contains_substring(" 0 cut")));
        fleet.nodes[i].restart();
        thread::sleep(Duration::from_millis(1_500));
    }
    let report = load.wait().expect("load runs");
    let row = report.row("node").expect("there is a row");
    expect_that!(row.cut, eq(0));
    expect_that!(row.correct, eq(row.sent), "{row:#?}");
    fleet.check_histories(&[&report], Vec::new());
}

/// Guards against a planned stop of the entry that cuts requests of its callers, and against
/// a second SIGTERM that does.
#[gtest]
fn stopping_entry_finishes_its_requests() {
    let mut fleet = Fleet::start(&host_specs("stock", 2));
    let mut kinds = request_mix("stock");
    for kind in &mut kinds {
        kind.work_us = Some(300_000);
    }
    let settings = LoadSettings {
        rate: 30.0,
        duration_ms: 1_500,
        kinds,
        ..Default::default()
    };
    let load = fleet.start_load(&[0], settings);
    thread::sleep(Duration::from_millis(1_000));
    let node = &mut fleet.nodes[0];
    node.process.signal(Signal::Term).expect("the node runs");
    thread::sleep(Duration::from_millis(50));
    node.process.signal(Signal::Term).expect("the node runs");
    let status = node
        .process
        .wait_exit(WAIT_TIMEOUT)
        .expect("the node stops");
    expect_true!(status.success());
    let lines = node.process.lines();
    let summary = lines.iter().find(|line| line.contains("stopped: "));
    expect_that!(summary, some(contains_substring(" 0 cut")));
    let report = load.wait().expect("load runs");
    let row = report.row("node").expect("there is a row");
    // New connections are refused after the signal, so not every request is answered; but no
    // answer may be cut or wrong.
    expect_that!(row.cut, eq(0));
    expect_that!(row.wrong, eq(0));
    expect_that!(row.correct, ge(20), "{row:#?}");
    fleet.check_histories(&[&report], Vec::new());
}

/// Connections of each kind in [`stop_answers_requests_that_have_arrived`].
const WAITING_CONNECTIONS: usize = 20;

fn send_get(io: &mut TcpStream) {
    io.write_all(b"GET / HTTP/1.1\r\nhost: stock\r\n\r\n")
        .expect("the request is sent");
}

/// Guards against a planned stop that closes connections whose requests have arrived and were not
/// read: those that wait to be accepted, and those that are kept alive. The node is suspended, so that
/// they arrive just when it begins to close its connections.
#[gtest]
fn stop_answers_requests_that_have_arrived() {
    let fleet = Fleet::start(&host_specs("stock", 1));
    let callers = fleet.nodes[0].callers;
    let connect = || {
        let io = TcpStream::connect(callers).expect("the node accepts");
        io.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a timeout");
        io
    };
    let mut buf = [0; 4_096];
    let mut connections = Vec::new();
    for _ in 0..WAITING_CONNECTIONS {
        let mut io = connect();
        send_get(&mut io);
        let count = io.read(&mut buf).expect("an answer");
        expect_that!(count, gt(0));
        connections.push(("kept", io));
    }
    let process = &fleet.nodes[0].process;
    process.signal(Signal::Term).expect("the node runs");
    thread::sleep(Duration::from_millis(500));
    process.signal(Signal::Stop).expect("the node runs");
    // By default a stopping node closes its connections after 1 s.
    thread::sleep(Duration::from_millis(1_000));
    for (_, io) in &mut connections {
        send_get(io);
    }
    for _ in 0..WAITING_CONNECTIONS {
        let mut io = connect();
        send_get(&mut io);
        connections.push(("new", io));
    }
    process.signal(Signal::Cont).expect("the node runs");
    let mut unanswered = Vec::new();
    for (kind, mut io) in connections {
        let mut answer = Vec::new();
        let _ = io.read_to_end(&mut answer);
        if !answer.starts_with(b"HTTP/1.1 ") {
            unanswered.push(kind);
        }
    }
    expect_that!(unanswered, is_empty());
}

/// Length of a long answer.
const ANSWER_BYTES: usize = 20_000_000;

/// Guards against a planned stop that cuts an answer to a slowly reading caller, after the
/// target has finished it.
#[gtest]
fn stop_finishes_answers_to_slow_callers() {
    for (name, stopped) in [("entry", 0), ("guard", 1)] {
        let mut specs = host_specs("desk", 1);
        specs.extend(host_specs("stock", 1));
        let mut fleet = Fleet::start(&specs);
        let mut io = TcpStream::connect(fleet.nodes[0].callers).expect("the entry accepts");
        let head = format!(
            "GET / HTTP/1.1\r\nhost: stock\r\nconnection: close\r\nx-nonce: slow\r\n\
             x-answer-bytes: {ANSWER_BYTES}\r\nplantainpost-timeout-ms: 30000\r\n\r\n"
        );
        io.write_all(head.as_bytes()).expect("the request is sent");
        let mut received = 0;
        let mut buf = vec![0; 200_000];
        let mut stopping = false;
        loop {
            let count = io.read(&mut buf).unwrap_or_default();
            received += count;
            if count == 0 {
                break;
            }
            thread::sleep(Duration::from_millis(25));
            if received > 1_000_000 && !stopping {
                stopping = true;
                let process = &fleet.nodes[stopped].process;
                process.signal(Signal::Term).expect("the node runs");
            }
        }
        expect_that!(received, gt(ANSWER_BYTES), "{name}");
        let node = &mut fleet.nodes[stopped];
        let status = node
            .process
            .wait_exit(WAIT_TIMEOUT)
            .expect("the node stops");
        expect_true!(status.success());
        let lines = node.process.lines();
        let summary = lines.iter().find(|line| line.contains("stopped: "));
        expect_that!(summary, some(contains_substring(" 0 cut")), "{name}");
    }
}

/// Guards against a stop that waits for idle connections of callers, and against one that
/// resets them instead of closing them cleanly.
#[gtest]
fn stop_closes_idle_connections() {
    let rows = [
        ("nothing sent", ""),
        ("half a head sent", "GET / HTTP/1.1\r\nhost: sto"),
        ("answered", "GET / HTTP/1.1\r\nhost: stock\r\n\r\n"),
    ];
    for (name, bytes) in rows {
        let mut fleet = Fleet::start(&host_specs("stock", 1));
        let mut io = TcpStream::connect(fleet.nodes[0].callers).expect("the entry accepts");
        io.write_all(bytes.as_bytes()).expect("the bytes are sent");
        thread::sleep(Duration::from_millis(500));
        let node = &mut fleet.nodes[0];
        let status = node
            .process
            .terminate(WAIT_TIMEOUT)
            .expect("the node stops");
        expect_true!(status.success(), "{name}");
        let lines = node.process.lines();
        let summary = lines.iter().find(|line| line.contains("stopped: "));
        expect_that!(summary, some(contains_substring(" 0 cut")), "{name}");
        let mut received = String::new();
        // A reset would make the read fail.
        let end = io.read_to_string(&mut received);
        expect_true!(end.is_ok(), "{name}: {end:?}");
        let answered = received.starts_with("HTTP/1.1 200 ");
        expect_that!(answered, eq(name == "answered"), "{name}: {received}");
    }
}
