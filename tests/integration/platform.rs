//! Nodes with `interface = platform`: routes from the store, announcements of targets, and
//! requests as callers and targets see them.

use std::{
    io::Write,
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use plantainpost_standin::{
    log::LogFaults,
    process::{self, Signal},
};
use serde_json::Value;

use crate::{
    acknowledged_leave::unix_ms,
    evacuation_fixture::admin,
    fleet_fixture::WAIT_TIMEOUT,
    platform_fixture::{
        FIRST_BORN_MS, PlatformFleet, ScriptedReply, ScriptedTarget, answer, body, exchange,
        exchange_on, header, request_head, start_process,
    },
};

/// Guards against requests that reach a target before the node has a configuration or
/// without a matching route, and against headers missing at the target or the caller.
#[gtest]
fn request_is_routed_and_its_answer_is_passed_on() {
    let target = ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "stock")));
    let platform = PlatformFleet::start(1);
    let early = platform.get(0, "/safe/1", "a1");
    expect_that!(early, starts_with("HTTP/1.1 503"));
    expect_that!(
        early.to_lowercase(),
        contains_substring("\r\nretry-after: ")
    );
    platform.publish_routes(4);
    platform.announce(0, &target, "i-1", 1, "ready");
    platform.wait_readyz(0, "200");
    let text = platform.get(0, "/safe/1?q=2", "a2");
    expect_that!(text, starts_with("HTTP/1.1 200"));
    expect_that!(body(&text), eq("stock"));
    expect_that!(
        text.to_lowercase(),
        contains_substring("plantainpost-server-stamp: s1")
    );
    let received = target.received_heads();
    let head = received.last().expect("a request");
    expect_that!(head, starts_with("get /safe/1?q=2 http/1.1"));
    expect_that!(header(head, "plantainpost-request-id"), eq("a2"));
    expect_that!(header(head, "plantainpost-expect-instance"), eq("i-1"));
    expect_that!(header(head, "plantainpost-caller"), eq("counter"));
    expect_that!(head.matches("plantainpost-caller").count(), eq(1));
    let left: u64 = header(head, "plantainpost-deadline-ms")
        .parse()
        .expect("a number");
    expect_that!(left, all![gt(2_000), le(3_000)]);
    expect_that!(
        platform.get(0, "/none/1", "a3"),
        starts_with("HTTP/1.1 404")
    );
    expect_that!(target.received_heads().len(), eq(1));
    let metrics_request = b"GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n";
    let metrics = exchange(platform.hosts[0].metrics, metrics_request);
    expect_that!(
        metrics,
        contains_substring("plantainpost_entry_answered 1\n")
    );
    expect_that!(
        metrics,
        contains_substring("plantainpost_entry_total_us{quantile=\"0.99\"}")
    );
}

/// Guards against requests to a target whose leaving has been acknowledged, against a late
/// announcement that puts it back into use, and against a new incarnation under the same id
/// that gets no requests.
#[gtest]
fn target_gets_no_requests_after_an_acknowledged_leave() {
    let target = ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "stock")));
    let platform = PlatformFleet::start_with_target(&target);
    expect_that!(
        platform.get(0, "/safe/1", "b1"),
        starts_with("HTTP/1.1 200")
    );
    let acknowledged = platform.announce(0, &target, "i-1", 2, "draining");
    expect_that!(acknowledged, starts_with("HTTP/1.1 200"));
    expect_that!(
        platform.get(0, "/safe/1", "b2"),
        starts_with("HTTP/1.1 503")
    );
    platform.announce(0, &target, "i-1", 1, "ready");
    expect_that!(
        platform.get(0, "/safe/1", "b3"),
        starts_with("HTTP/1.1 503")
    );
    platform.send_control(0, "DELETE", "/-/instances/i-1", "");
    platform.announce(0, &target, "i-1", 3, "ready");
    expect_that!(
        platform.get(0, "/safe/1", "b4"),
        starts_with("HTTP/1.1 503")
    );
    let born = unix_ms() + 1;
    platform.announce_incarnation(0, &target, "i-1", born, 1, "ready");
    expect_that!(
        platform.get(0, "/safe/1", "b5"),
        starts_with("HTTP/1.1 200")
    );
    platform.announce_incarnation(0, &target, "i-0", FIRST_BORN_MS, 9, "ready");
    let text = platform.get(0, "/safe/1", "b6");
    expect_that!(text, starts_with("HTTP/1.1 200"));
    expect_that!(target.received_heads().len(), eq(3));
}

/// Sends a request whose id the node chooses, as `explain` finds requests by that id. Returns the status
/// and what `explain` says about the request: an error if it is not known.
fn send_and_explain(platform: &PlatformFleet, path: &str) -> (String, Value) {
    let head = format!("GET {path} HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n\r\n");
    let text = exchange(platform.hosts[0].callers, head.as_bytes()).to_lowercase();
    let id = header(&text, "plantainpost-request-id");
    let trace = admin(platform, 0, &format!("/v1/explain?request={id}"));
    let status = text.split_whitespace().nth(1).unwrap_or_default();
    (status.to_owned(), trace)
}

/// Guards against requests of which nothing tells by which version of the routes the node has handled
/// them: one that was run by the service of older routes, or refused because of them, looks the same as
/// one that arrived before the change (issue 49).
#[gtest]
fn explain_states_the_version_of_the_routes() {
    let target = ScriptedTarget::start(|head| {
        let answer = answer(head, "200 OK", "stock");
        match head.starts_with("get /safe/slow ") {
            true => ScriptedReply::After(Duration::from_secs(2), answer),
            false => ScriptedReply::Keep(answer),
        }
    });
    let set_grace = |_, text: &mut String| *text = text.replace("grace = 6 s", "grace = 4 s");
    let platform = PlatformFleet::start_with_settings(1, |_, store| store, set_grace);
    let (status, trace) = send_and_explain(&platform, "/safe/1");
    expect_that!(status, eq("503"));
    expect_that!(trace["reason"], eq("no-configuration"), "{trace}");
    expect_that!(trace["version"], eq(&Value::Null), "{trace}");
    let publish = |version: u64| {
        platform.publish_routes(version);
        process::wait_until("routes in force", WAIT_TIMEOUT, || {
            admin(&platform, 0, "/v1/status")["routes"]["version"] == version
        })
        .expect("the routes are in force");
    };
    publish(4);
    // No target is known.
    let (status, trace) = send_and_explain(&platform, "/safe/1");
    expect_that!(status, eq("503"));
    expect_that!(trace["outcome"], eq("not-run"));
    expect_that!(trace["version"], eq(4), "{trace}");
    platform.announce(0, &target, "i-1", 1, "ready");
    platform.wait_readyz(0, "200");
    // The first request is at the target when the routes change.
    let (status, trace) = thread::scope(|scope| {
        let early = scope.spawn(|| send_and_explain(&platform, "/safe/slow"));
        process::wait_until("the request reaches the target", WAIT_TIMEOUT, || {
            target.received_heads().len() == 1
        })
        .expect("a request");
        publish(5);
        early.join().expect("no panic")
    });
    expect_that!(status, eq("200"));
    expect_that!(trace["version"], eq(4), "{trace}");
    let rows = [("/safe/2", "200", ""), ("/none/1", "404", "no-route")];
    for (path, wanted, reason) in rows {
        let (status, trace) = send_and_explain(&platform, path);
        expect_that!(status, eq(wanted), "{path}");
        expect_that!(trace["version"], eq(5), "{path}: {trace}");
        let stated = trace["reason"].as_str().unwrap_or_default();
        expect_that!(stated, eq(reason), "{path}: {trace}");
    }
    // A connection with an incomplete head stays open when the node closes the others. The node stops
    // accepting requests 1.8 s after the signal, and waits 3 s for the rest of a head.
    let host = &platform.hosts[0];
    let mut io = TcpStream::connect(host.callers).expect("the node accepts");
    io.write_all(b"GET /safe/4 HTTP/1.1\r\n")
        .expect("the node reads");
    host.process.signal(Signal::Term).expect("the process runs");
    process::wait_until("the end of acceptance", WAIT_TIMEOUT, || {
        admin(&platform, 0, "/v1/status")["guard"]["draining"] == true
    })
    .expect("the node closes its connections");
    let text = exchange_on(io, b"Host: shop.example\r\n\r\n").to_lowercase();
    expect_that!(header(&text, "plantainpost-reason"), eq("stopping"));
    for (reason, version) in [
        ("no-configuration", "None"),
        ("no-route", "5"),
        ("stopping", "5"),
    ] {
        let text = format!("reason: {reason}, ");
        let line = host.process.wait_line(&text, WAIT_TIMEOUT).expect("a line");
        expect_that!(line, contains_substring("request refused, version"));
        let stated = format!("version: {version}, ");
        expect_that!(line, contains_substring(stated.as_str()), "{reason}");
    }
}

/// Guards against a body in an answer of the node itself to a `HEAD` request: on a kept connection its
/// bytes would be taken for the beginning of the next answer.
#[gtest]
fn own_answers_to_head_requests_have_no_body() {
    let target = ScriptedTarget::start(|head| {
        ScriptedReply::Keep(match head.starts_with("head /safe/refused") {
            true => answer(head, "503 Shed\r\nPlantainpost-Not-Run: 1", ""),
            false => answer(head, "200 OK", "stock"),
        })
    });
    let platform = PlatformFleet::start_with_target(&target);
    for (path, status) in [("/none/1", "404"), ("/safe/refused", "503")] {
        let first = request_head("HEAD", path, "h1", "");
        let second = request_head("GET", "/safe/1", "h2", "Connection: close\r\n");
        let text = exchange(platform.hosts[0].callers, &[first, second].concat());
        expect_that!(text, starts_with(format!("HTTP/1.1 {status}")), "{path}");
        expect_that!(body(&text), starts_with("HTTP/1.1 200"), "{path}: {text}");
        expect_that!(text, ends_with("\r\n\r\nstock"), "{path}");
    }
}

/// Guards against answers to pipelined requests that come out of order, and against
/// pipelined requests that run one after the other.
#[gtest]
fn pipelined_requests_run_concurrently_and_answer_in_order() {
    let target = ScriptedTarget::start(|head| {
        let text = answer(head, "200 OK", header(head, "plantainpost-request-id"));
        let pause = match head.contains("/slow") {
            true => 600,
            false => 500,
        };
        ScriptedReply::After(Duration::from_millis(pause), text)
    });
    let platform = PlatformFleet::start_with_target(&target);
    let mut bytes = request_head("GET", "/safe/slow", "c1", "");
    bytes.extend(request_head("GET", "/safe/2", "c2", ""));
    bytes.extend(request_head(
        "GET",
        "/safe/3",
        "c3",
        "Connection: close\r\n",
    ));
    let started = Instant::now();
    let text = exchange(platform.hosts[0].callers, &bytes);
    let elapsed = started.elapsed();
    let order: Vec<usize> = ["\r\n\r\nc1", "\r\n\r\nc2", "\r\n\r\nc3"]
        .iter()
        .filter_map(|body| text.find(body))
        .collect();
    expect_that!(order.len(), eq(3), "{text}");
    expect_true!(order.is_sorted());
    // Sequential execution would take 1.6 s.
    expect_that!(elapsed, lt(Duration::from_millis(1_400)));
}

/// Guards against passing on an answer to another request, an incomplete answer or bytes
/// that are not HTTP, and against a second run of the request after such an answer.
#[gtest]
fn faulty_answers_are_never_passed_on_as_success() {
    let target = ScriptedTarget::start(|head| {
        let own = answer(head, "200 OK", "whole");
        let cut = own[..own.len() - 2].to_vec();
        let other = answer("plantainpost-request-id: zz", "200 OK", "other");
        match header(head, "plantainpost-request-id") {
            "extra" => ScriptedReply::Keep([&own[..], &own[..]].concat()),
            "cut" => ScriptedReply::Close(cut),
            "foreign" => ScriptedReply::Close(other),
            "late" => ScriptedReply::Keep([other, own].concat()),
            "garbage" => ScriptedReply::Close(b"\x01\x02 no answer\r\n\r\n".to_vec()),
            "silent" => ScriptedReply::Close(Vec::new()),
            _ => ScriptedReply::Keep(own),
        }
    });
    let platform = PlatformFleet::start_with_target(&target);
    let rows = [
        ("extra", "200", "whole"),
        ("after-extra", "200", "whole"),
        ("cut", "502", ""),
        ("foreign", "502", ""),
        ("late", "200", "whole"),
        ("garbage", "502", ""),
        ("silent", "502", ""),
        ("last", "200", "whole"),
    ];
    for (id, status, wanted) in rows {
        let bytes = request_head(
            "POST",
            "/once/1",
            id,
            "Content-Length: 0\r\nConnection: close\r\n",
        );
        let text = exchange(platform.hosts[0].callers, &bytes);
        expect_that!(
            text,
            starts_with(format!("HTTP/1.1 {status}")),
            "{id}: {text}"
        );
        if status == "200" {
            expect_that!(body(&text), eq(wanted), "{id}");
        }
        let runs = target.received_heads();
        let runs = runs
            .iter()
            .filter(|head| header(head, "plantainpost-request-id") == id);
        expect_that!(runs.count(), eq(1), "{id} ran more than once");
    }
}

/// Guards against rejecting an answer whose body ends with its connection, and against the
/// outcome "not-run" for a request that the target did not refuse.
#[gtest]
fn unframed_answers_and_refusals_are_passed_on() {
    let target = ScriptedTarget::start(|head| match header(head, "plantainpost-request-id") {
        "unframed" => {
            let text = "HTTP/1.1 200 OK\r\nPlantainpost-Request-Id: unframed\r\n\r\nto the end";
            ScriptedReply::Close(text.as_bytes().to_vec())
        }
        "shed" => {
            let text = "HTTP/1.1 503 No\r\nPlantainpost-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
            ScriptedReply::Keep(text.as_bytes().to_vec())
        }
        _ => ScriptedReply::Keep(answer(head, "503 Failed", "failed")),
    });
    let platform = PlatformFleet::start_with_target(&target);
    let text = platform.get(0, "/safe/1", "unframed");
    expect_that!(text, starts_with("HTTP/1.1 200"));
    expect_that!(body(&text), contains_substring("to the end"));
    let post = |id| {
        request_head(
            "POST",
            "/once/1",
            id,
            "Content-Length: 0\r\nConnection: close\r\n",
        )
    };
    let shed = exchange(platform.hosts[0].callers, &post("shed"));
    expect_that!(shed, starts_with("HTTP/1.1 503"));
    expect_that!(
        shed.to_lowercase(),
        contains_substring("plantainpost-outcome: not-run")
    );
}

/// Guards against requests that outlast the timeout of their route, and against work for a
/// caller that has disconnected.
#[gtest]
fn request_ends_at_its_timeout_or_when_its_caller_disconnects() {
    let target = ScriptedTarget::start(|head| {
        ScriptedReply::After(Duration::from_secs(4), answer(head, "200 OK", "late"))
    });
    let platform = PlatformFleet::start_with_target(&target);
    let started = Instant::now();
    let text = platform.get(0, "/short/1", "d1");
    expect_that!(text, starts_with("HTTP/1.1 504"));
    expect_that!(started.elapsed(), lt(Duration::from_millis(900)));
    let closed = || *target.closed_connections.lock().expect("no panic");
    let before = closed();
    let mut io = TcpStream::connect(platform.hosts[0].callers).expect("a connection");
    io.write_all(&request_head("GET", "/safe/1", "d2", ""))
        .expect("the node reads");
    process::wait_until("the request reaches the target", WAIT_TIMEOUT, || {
        target.received_heads().len() == 2
    })
    .expect("a request");
    drop(io);
    let disconnected = Instant::now();
    process::wait_until("the target's connection is closed", WAIT_TIMEOUT, || {
        closed() > before
    })
    .expect("a close");
    expect_that!(disconnected.elapsed(), lt(Duration::from_millis(500)));
}

/// Guards against malformed requests and bodies above the configured limit that reach a
/// target or crash the process.
#[gtest]
fn bad_input_is_refused() {
    let target = ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "stock")));
    let platform = PlatformFleet::start_with_target(&target);
    let over_limit = "Content-Length: 1001\r\n";
    let rows = [
        (
            "too long",
            request_head("POST", "/once/1", "e1", over_limit),
            "413",
        ),
        ("no request", b"\x01\x02\r\n\r\n".to_vec(), "400"),
        (
            "two hosts",
            request_head("GET", "/safe/1", "e2", "Host: b\r\n"),
            "400",
        ),
        (
            "a long head",
            request_head(
                "GET",
                "/safe/1",
                "e3",
                &format!("x: {}\r\n", "y".repeat(20_000)),
            ),
            "431",
        ),
    ];
    for (name, bytes, status) in rows {
        let text = exchange(platform.hosts[0].callers, &bytes);
        expect_that!(
            text,
            starts_with(format!("HTTP/1.1 {status}")),
            "{name}: {text}"
        );
    }
    for body in ["", "{", "[]", r#"{"address":"x"}"#] {
        let text = platform.send_control(0, "PUT", "/-/instances/i-9", body);
        expect_that!(text, starts_with("HTTP/1.1 400"), "{body}");
    }
    expect_that!(target.received_heads().len(), eq(0));
    expect_that!(
        platform.get(0, "/safe/1", "e4"),
        starts_with("HTTP/1.1 200")
    );
}

/// Guards against a node that stays without routes because the store refuses its requests,
/// although its peers have the routes, and against a change that does not reach such a node.
#[gtest]
fn node_refused_by_the_store_gets_routes_from_its_peers() {
    let target = ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "stock")));
    let mut platform = PlatformFleet::start(2);
    platform.publish_routes(4);
    platform.announce(0, &target, "i-1", 1, "ready");
    platform.wait_readyz(0, "200");
    platform.wait_readyz(1, "200");
    process::wait_until(
        "an answer from the target of the other node",
        WAIT_TIMEOUT,
        || platform.get(1, "/safe/1", "f1").starts_with("HTTP/1.1 200"),
    )
    .expect("an answer from the other host");
    platform.store.set_faults(LogFaults {
        refuse: true,
        ..Default::default()
    });
    let host = &mut platform.hosts[1];
    host.process.signal(Signal::Kill).expect("the process runs");
    host.process.wait_exit(WAIT_TIMEOUT).expect("an end");
    host.process = start_process(&host.settings);
    platform.wait_readyz(1, "200");
    process::wait_until("an answer after the restart", WAIT_TIMEOUT, || {
        platform.get(1, "/safe/1", "f2").starts_with("HTTP/1.1 200")
    })
    .expect("an answer from the other host");
}

/// Guards against a planned stop that cuts a request in flight, still reports readiness or
/// takes longer than the platform waits, and against a SIGHUP that ends the process.
#[gtest]
fn stop_finishes_requests_and_reload_keeps_serving() {
    let target = ScriptedTarget::start(|head| {
        ScriptedReply::After(Duration::from_millis(1_500), answer(head, "200 OK", "done"))
    });
    let mut platform = PlatformFleet::start_with_target(&target);
    let hangup = platform.hosts[0].process.signal(Signal::Hangup);
    hangup.expect("the process runs");
    let callers = platform.hosts[0].callers;
    let caller =
        thread::spawn(move || exchange(callers, &request_head("GET", "/safe/1", "g1", "")));
    process::wait_until("the request reaches the target", WAIT_TIMEOUT, || {
        target.received_heads().len() == 1
    })
    .expect("a request");
    let started = Instant::now();
    platform.hosts[0]
        .process
        .signal(Signal::Term)
        .expect("the process runs");
    platform.wait_readyz(0, "503");
    let text = caller.join().expect("no panic");
    expect_that!(text, starts_with("HTTP/1.1 200"), "{text}");
    expect_that!(body(&text), eq("done"));
    expect_that!(text.to_lowercase(), contains_substring("connection: close"));
    platform.hosts[0]
        .process
        .wait_exit(WAIT_TIMEOUT)
        .expect("an end");
    expect_that!(started.elapsed(), lt(Duration::from_secs(6)));
}
