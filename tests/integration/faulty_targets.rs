//! Targets that send bytes which are no answer to the request in progress.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use plantainpost_standin::{process, usage::Usage};

use crate::{
    fleet_fixture::WAIT_TIMEOUT,
    platform_fixture::{PlatformFleet, ScriptedReply, ScriptedTarget, answer, body, header},
};

/// A refusal without a request id.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nPlantainpost-Not-Run: 1\r\n\
                         Content-Length: 0\r\n\r\n";

/// Guards against a copy of an earlier refusal that is taken for the answer to a request which the
/// target runs: the caller would be told to send it again.
#[gtest]
fn copy_of_an_earlier_refusal_is_no_answer_to_a_later_request() {
    let target = ScriptedTarget::start(|head| {
        let own = answer(head, "200 OK", "stock");
        ScriptedReply::Keep(match head.starts_with("post /once/refused") {
            true => [REFUSAL, &own[..]].concat(),
            false => own,
        })
    });
    let platform = PlatformFleet::start_with_target(&target);
    expect_that!(
        platform.get(0, "/safe/1", "c1"),
        starts_with("HTTP/1.1 200")
    );
    let text = platform.send(0, "POST", "/once/refused", "c2");
    expect_that!(text, starts_with("HTTP/1.1 200"));
    expect_that!(body(&text), eq("stock"));
}

/// Guards against a refusal on a new connection that is taken for no answer, so that the caller
/// waits until the deadline.
#[gtest]
fn refusal_without_an_id_counts_on_a_new_connection() {
    let target = ScriptedTarget::start(|head| match head.starts_with("get /healthz") {
        true => ScriptedReply::Close(answer(head, "200 OK", "")),
        false => ScriptedReply::Keep(REFUSAL.to_vec()),
    });
    let platform = PlatformFleet::start_with_target(&target);
    let text = platform.send(0, "POST", "/once/1", "d1");
    expect_that!(text, starts_with("HTTP/1.1 503"));
    expect_that!(text, contains_substring("target-refused"));
}

/// Guards against bytes without end that hold a request past its timeout, keep the connection to
/// the target open, fill the memory of the node, or keep it from serving others.
#[gtest]
fn bytes_without_end_are_given_up() {
    let rows: [(&str, &[u8], &'static [u8]); 7] = [
        ("header", b"HTTP/1.1 200 OK\r\nX-Long: ", &[b'x'; 4096]),
        ("headers", b"HTTP/1.1 200 OK\r\n", b"X-More: 1\r\n"),
        ("informational", b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        ("newlines", b"", b"\r\n\r\n\r\n"),
        (
            "body of another answer",
            b"HTTP/1.1 200 OK\r\nPlantainpost-Request-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"4\r\nmore\r\n",
        ),
        (
            "trailer",
            b"HTTP/1.1 200 OK\r\nPlantainpost-Request-Id: e\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            b"x: 1\r\n",
        ),
        (
            "body",
            b"HTTP/1.1 200 OK\r\nPlantainpost-Request-Id: e\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"4\r\nmore\r\n",
        ),
    ];
    for (name, first, repeated) in rows {
        let target = ScriptedTarget::start(move |head| match head.starts_with("post /short/") {
            true => ScriptedReply::Endless(first.to_vec(), repeated),
            false => ScriptedReply::Keep(answer(head, "200 OK", "stock")),
        });
        let platform = PlatformFleet::start_with_target(&target);
        // The connection is kept, and the endless bytes come on it.
        expect_that!(
            platform.get(0, "/safe/1", "f"),
            starts_with("HTTP/1.1 200"),
            "{name}"
        );
        let closed_before = *target.closed_connections.lock().expect("no panic");
        let start = Instant::now();
        let text = platform.send(0, "POST", "/short/1", "e");
        // The route allows 400 ms.
        expect_that!(start.elapsed(), lt(Duration::from_millis(1_400)), "{name}");
        let is_complete = text.contains("\r\n0\r\n\r\n");
        expect_that!(
            is_complete && text.starts_with("HTTP/1.1 200"),
            eq(false),
            "{name}"
        );
        process::wait_until("the connection is closed", WAIT_TIMEOUT, || {
            *target.closed_connections.lock().expect("no panic") > closed_before
        })
        .expect(name);
        expect_that!(
            platform.get(0, "/safe/1", "g"),
            starts_with("HTTP/1.1 200"),
            "{name}"
        );
        let usage = Usage::of(platform.hosts[0].process.id());
        expect_that!(usage.resident_kib, lt(128 * 1024), "{name}");
    }
}

/// Guards against an answer whose head ends early, at any byte, and that is passed on as a complete
/// one with an empty or short body; also after an informational response and on a reused connection.
#[gtest]
fn answer_cut_within_its_head_is_never_passed_on_as_success() {
    const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\n";
    let cut_answer = |head: &str| {
        let id = header(head, "plantainpost-request-id");
        let (kind, length) = id.split_once('-')?;
        let whole = answer(head, "200 OK", "");
        let bytes = match kind {
            "interim" => [INTERIM.as_bytes(), &whole[..]].concat(),
            _ => whole,
        };
        let length: usize = length.parse().ok()?;
        (length < bytes.len()).then(|| bytes[..length].to_vec())
    };
    let target = ScriptedTarget::start(move |head| match cut_answer(head) {
        Some(bytes) => ScriptedReply::Close(bytes),
        None => ScriptedReply::Keep(answer(head, "200 OK", "whole")),
    });
    let platform = PlatformFleet::start_with_target(&target);
    let head_bytes = answer("plantainpost-request-id: plain-100", "200 OK", "").len();
    let plain = (0..head_bytes).map(|length| format!("plain-{length:03}"));
    let interim = (0..head_bytes + INTERIM.len()).map(|length| format!("interim-{length:03}"));
    for id in plain.chain(interim) {
        // A complete answer, after which the connection is used again.
        let text = platform.get(0, "/safe/1", "reused");
        expect_that!(text, starts_with("HTTP/1.1 200"));
        let text = platform.send(0, "POST", "/once/1", &id);
        expect_that!(text, starts_with("HTTP/1.1 502"), "{id}: {text}");
        let heads = target.received_heads();
        let runs = heads.iter().filter(|head| head.contains(&id)).count();
        expect_that!(runs, eq(1), "{id}");
    }
}

/// Guards against an answer with an invalid status that reaches the caller, or is skipped like an
/// informational one, so that bytes of its body reach the caller as an answer.
#[gtest]
fn answer_with_an_invalid_status_is_never_passed_on() {
    let target = ScriptedTarget::start(|head| {
        let id = header(head, "plantainpost-request-id");
        ScriptedReply::Keep(match id.strip_prefix("status-") {
            Some(status) => {
                let hidden = answer(head, "200 OK", "hidden");
                answer(head, status, &String::from_utf8_lossy(&hidden))
            }
            None => answer(head, "200 OK", "whole"),
        })
    });
    let platform = PlatformFleet::start_with_target(&target);
    for status in ["000", "099", "101", "600", "999"] {
        let text = platform.send(0, "POST", "/once/1", &format!("status-{status}"));
        expect_that!(text, starts_with("HTTP/1.1 502"), "{status}");
        expect_that!(text, not(contains_substring("hidden")), "{status}");
        // The connection is not used again.
        let text = platform.get(0, "/safe/1", "next");
        expect_that!(body(&text), eq("whole"), "{status}");
    }
}
