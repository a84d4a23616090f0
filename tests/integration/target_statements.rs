//! What targets say about themselves in their answers: a rate limit.

use std::{
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;

use crate::platform_fixture::{
    PlatformFleet, ScriptedReply, ScriptedTarget, answer, exchange, header, request_head,
};

/// Rate limit that the scripted targets state, in requests per second.
const LIMIT_PER_S: usize = 4;

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
        expect_that!(text, starts_with("http/1.1 503"));
        expect_that!(header(text, "plantainpost-outcome"), eq("not-run"));
        let retry_after_s: u64 = header(text, "retry-after").parse().expect("a number");
        expect_that!(retry_after_s, ge(1));
    }
}
