//! What targets say about themselves in their answers: a rate limit, and that they are leaving.

use std::{
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use plantainpost_standin::process::{self, Signal};

use crate::{
    fleet_fixture::WAIT_TIMEOUT,
    platform_fixture::{
        FIRST_BORN_MS, PlatformFleet, ScriptedReply, ScriptedTarget, answer, exchange, header,
        request_head, start_process,
    },
};

/// Rate limit that the scripted targets state, in requests per second.
const LIMIT_PER_S: usize = 4;

/// Answer to a health check of a target that is leaving.
const HEALTH_ANSWER_WHILE_LEAVING: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n";

/// Returns an answer with an additional header.
fn answer_with(head: &str, extra_header: &str) -> Vec<u8> {
    let text = answer(head, "200 OK", "stock");
    let end_of_status = text.windows(2).position(|pair| pair == b"\r\n");
    let (status, rest) = text.split_at(end_of_status.expect("a status line") + 2);
    [status, extra_header.as_bytes(), b"\r\n", rest].concat()
}

/// Guards against a target that gets more requests than the limit that it states allows, from
/// several entries together, and against a refusal without the time after which to try again.
#[gtest]
fn target_gets_no_more_requests_than_it_states() {
    let stated = format!("Server-Limit: {LIMIT_PER_S}.0");
    let target = ScriptedTarget::start(move |head| ScriptedReply::Keep(answer_with(head, &stated)));
    let platform = PlatformFleet::start(2);
    platform.publish_routes(4);
    platform.announce(0, &target, "i-1", 1, "ready");
    for i in 0..2 {
        platform.wait_readyz(i, "200");
    }
    platform.get(0, "/safe/1", "first");
    let until = Instant::now() + Duration::from_secs(4);
    let threads = [0, 1].map(|entry| {
        let callers = platform.hosts[entry].callers;
        thread::spawn(move || {
            let mut refused = Vec::new();
            for i in 0.. {
                if Instant::now() >= until {
                    break;
                }
                let id = format!("r{entry}-{i}");
                let text = exchange(
                    callers,
                    &request_head("GET", "/short/1", &id, "Connection: close\r\n"),
                );
                if !text.starts_with("HTTP/1.1 200") {
                    refused.push(text.to_lowercase());
                }
                thread::sleep(Duration::from_millis(20));
            }
            refused
        })
    });
    let refused = threads.map(|thread| thread.join().expect("no panic"));
    let refused = refused.concat();
    let requests = target.received_heads();
    let counted = requests
        .iter()
        .filter(|head| head.starts_with("get /short/"));
    let allowed = LIMIT_PER_S * 4 * 3 / 2 + 5;
    expect_that!(counted.count(), all![ge(LIMIT_PER_S * 3), le(allowed)]);
    expect_that!(refused.is_empty(), eq(false));
    for text in &refused {
        // A busy machine may delay the answer of the target past the deadline.
        let id = header(text, "plantainpost-request-id");
        let has_id = |head: &&String| header(head, "plantainpost-request-id") == id;
        if requests.iter().any(|head| has_id(&head)) {
            expect_that!(header(text, "plantainpost-outcome"), eq("unknown"));
            continue;
        }
        expect_that!(text, starts_with("http/1.1 503"));
        expect_that!(header(text, "plantainpost-outcome"), eq("not-run"));
        let retry_after_s: u64 = header(text, "retry-after").parse().expect("a number");
        expect_that!(retry_after_s, ge(1));
    }
}

/// Guards against requests to a target whose answers say that it is leaving, through any entry,
/// after a heartbeat that does not say so, and after a restart of the node beside it; and against
/// a new incarnation that gets none.
#[gtest]
fn target_gets_no_requests_after_an_answer_that_says_it_leaves() {
    let target = ScriptedTarget::start(|head| {
        ScriptedReply::Keep(match head.starts_with("get /healthz") {
            true => HEALTH_ANSWER_WHILE_LEAVING.to_vec(),
            false => answer_with(head, "Server-Leaving: 1"),
        })
    });
    let mut platform = PlatformFleet::start(2);
    platform.publish_routes(4);
    platform.announce(0, &target, "i-1", 1, "ready");
    for i in 0..2 {
        platform.wait_readyz(i, "200");
    }
    // The health check before the first request already says that the target is leaving.
    expect_that!(
        platform.get(0, "/safe/1", "l1"),
        starts_with("HTTP/1.1 503")
    );
    platform.announce(0, &target, "i-1", 2, "ready");
    for entry in [0, 1] {
        expect_that!(
            platform.get(entry, "/safe/1", "l2"),
            starts_with("HTTP/1.1 503")
        );
    }
    let host = &mut platform.hosts[0];
    host.process.signal(Signal::Kill).expect("the process runs");
    host.process.wait_exit(WAIT_TIMEOUT).expect("an end");
    host.process = start_process(&host.settings);
    platform.wait_readyz(0, "200");
    platform.announce(0, &target, "i-1", 3, "ready");
    expect_that!(
        platform.get(0, "/safe/1", "l3"),
        starts_with("HTTP/1.1 503")
    );
    let heads = target.received_heads();
    let runs = heads.iter().filter(|head| head.starts_with("get /safe/"));
    expect_that!(runs.count(), eq(0));
    let successor =
        ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "new")));
    platform.announce_incarnation(0, &successor, "i-1", FIRST_BORN_MS + 1, 1, "ready");
    process::wait_until("an answer of the new incarnation", WAIT_TIMEOUT, || {
        platform.get(0, "/safe/1", "l4").starts_with("HTTP/1.1 200")
    })
    .expect("an answer");
}

/// Guards against an answer to a request that does not end the use of its target.
#[gtest]
fn answer_to_a_request_says_that_the_target_leaves() {
    let target = ScriptedTarget::start(|head| {
        ScriptedReply::Keep(match head.starts_with("get /healthz") {
            true => answer(head, "200 OK", ""),
            false => answer_with(head, "Server-Leaving: 1"),
        })
    });
    let platform = PlatformFleet::start_with_target(&target);
    let first = platform.get(0, "/safe/1", "m1");
    expect_that!(first, starts_with("HTTP/1.1 200"));
    expect_that!(
        first.to_lowercase(),
        contains_substring("server-leaving: 1")
    );
    expect_that!(
        platform.get(0, "/safe/1", "m2"),
        starts_with("HTTP/1.1 503")
    );
}
