//! Targets that answer an upload before they have read it.

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

use googletest::prelude::*;
use plantainpost_standin::process::wait_until;

use crate::{
    fleet_fixture::WAIT_TIMEOUT,
    platform_fixture::{
        PlatformFleet, ScriptedReply, ScriptedTarget, answer, body, header, request_head,
    },
};

/// Length of the body of each answer, in bytes.
const ANSWER_BYTES: usize = 20_000;

/// Number of uploads of each length. When the reset arrives differs from one to the next.
const TRIES: usize = 10;

/// Starts two nodes, the first of them beside the target, and waits until both know it.
fn start_fleet(target: &ScriptedTarget) -> PlatformFleet {
    let platform = PlatformFleet::start(2);
    let routes = [("/safe/", "safe", 10_000), ("/once/", "unsafe", 10_000)];
    platform.publish_route_list_with_limit(4, &routes, 10_000_000);
    platform.announce(0, target, "i-1", 1, "ready");
    for i in [0, 1] {
        platform.wait_readyz(i, "200");
        wait_until("the node knows the target", WAIT_TIMEOUT, || {
            platform
                .get(i, "/safe/a", "first")
                .starts_with("HTTP/1.1 200")
        })
        .expect("the target answers");
    }
    platform
}

/// Announces the target again, which would count as gone after some seconds.
fn announce_again(platform: &PlatformFleet, target: &ScriptedTarget, seq: &mut u64) {
    *seq += 1;
    platform.announce(0, target, "i-1", *seq, "ready");
}

/// Sends an upload to a node and returns the answer, which is read while the upload is being sent.
fn upload(platform: &PlatformFleet, i: usize, id: &str, length: usize) -> String {
    let headers = format!("Connection: close\r\nContent-Length: {length}\r\n");
    let head = request_head("POST", "/once/a", id, &headers);
    let mut io = TcpStream::connect(platform.hosts[i].callers).expect("the node accepts");
    io.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a timeout");
    let mut tx = io.try_clone().expect("a second handle");
    thread::spawn(move || {
        // The node may close before it has read everything.
        let _ = tx.write_all(&[head, vec![b'u'; length]].concat());
    });
    let mut text = Vec::new();
    // A reset also ends the answer; what was received before it counts.
    let _ = io.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

/// Returns the start of an answer that ends with its connection.
fn close_delimited_answer(head: &str) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nPlantainpost-Request-Id: {}\r\nPlantainpost-Server-Stamp: s1\r\n\r\n",
        header(head, "plantainpost-request-id")
    );
    [head.as_bytes(), &[b'x'; ANSWER_BYTES]].concat()
}

/// Returns a complete answer with a length.
fn sized_answer(head: &str) -> Vec<u8> {
    answer(head, "200 OK", &"x".repeat(ANSWER_BYTES))
}

/// Guards against a request that is discarded together with the rest of the body before it on the
/// connection between the nodes, after the target has answered early.
#[gtest]
fn request_after_an_early_answer_is_served() {
    let target = ScriptedTarget::start(|head| match head.starts_with("post /once/") {
        true => ScriptedReply::Early(sized_answer(head)),
        false => ScriptedReply::Keep(answer(head, "200 OK", "stock")),
    });
    let platform = start_fleet(&target);
    for i in [0, 1] {
        for length in [100_000, 300_000] {
            for attempt in 0..TRIES {
                let id = format!("e{i}-{length}-{attempt}");
                let text = upload(&platform, i, &id, length);
                let status = text.lines().next().unwrap_or_default();
                expect_that!(status, starts_with("HTTP/1.1 200"), "{id}");
                expect_that!(body(&text).len(), eq(ANSWER_BYTES), "{id}");
            }
        }
    }
}

/// Guards against a caller that waits for its deadline, although the target has broken off its answer to
/// the upload.
#[gtest]
fn answer_that_is_cut_during_the_upload_ends_the_request_at_once() {
    let target = ScriptedTarget::start(|head| match head.starts_with("post /once/") {
        true => {
            let mut answer = sized_answer(head);
            answer.truncate(answer.len() - ANSWER_BYTES / 2);
            ScriptedReply::Close(answer)
        }
        false => ScriptedReply::Keep(answer(head, "200 OK", "stock")),
    });
    let platform = start_fleet(&target);
    let mut seq = 1;
    for i in [0, 1] {
        for length in [100_000, 1_000_000] {
            announce_again(&platform, &target, &mut seq);
            for attempt in 0..TRIES {
                let id = format!("c{i}-{length}-{attempt}");
                let text = upload(&platform, i, &id, length);
                let status = text.lines().next().unwrap_or_default();
                // At the deadline it would be 504.
                expect_that!(status, starts_with("HTTP/1.1 502"), "{id}");
            }
        }
    }
}

/// Guards against an answer without a length that is passed on as complete although its connection was
/// reset, because the reset was reported to a write of the request, and against a caller that waits for
/// its deadline after the reset.
#[gtest]
fn answer_without_length_that_is_reset_during_the_upload_is_not_complete() {
    let target = ScriptedTarget::start(|head| match head.starts_with("post /once/") {
        // The target closes with unread bytes of the upload, which resets the connection.
        true => ScriptedReply::Close(close_delimited_answer(head)),
        false => ScriptedReply::Keep(answer(head, "200 OK", "stock")),
    });
    let platform = start_fleet(&target);
    let mut seq = 1;
    for i in [0, 1] {
        for length in [60_000, 100_000, 300_000, 1_000_000] {
            announce_again(&platform, &target, &mut seq);
            for attempt in 0..TRIES {
                let id = format!("u{i}-{length}-{attempt}");
                let text = upload(&platform, i, &id, length);
                let status = text.lines().next().unwrap_or_default();
                expect_that!(status, starts_with("HTTP/1.1 502"), "{id}");
            }
        }
    }
}

/// Guards against a complete answer without a length that is given up as truncated.
#[gtest]
fn answer_without_length_that_ends_with_its_connection_is_complete() {
    let target = ScriptedTarget::start(|head| match head.starts_with("post /once/") {
        true => ScriptedReply::CloseAfterBody(close_delimited_answer(head)),
        false => ScriptedReply::Keep(answer(head, "200 OK", "stock")),
    });
    let platform = start_fleet(&target);
    for i in [0, 1] {
        for length in [0, 100, 1_000_000] {
            let text = upload(&platform, i, &format!("w{i}-{length}"), length);
            expect_that!(text, starts_with("HTTP/1.1 200"), "{length}");
            expect_that!(body(&text).len(), eq(ANSWER_BYTES), "{length}");
        }
    }
}

/// Length of an upload and of an answer that do not fit into the buffers between two nodes, in bytes.
const LONG_BYTES: usize = 9_000_000;

/// Guards against an early answer and an upload that wait for each other, as the entry does not read the
/// answer while the guard does not read the upload.
#[gtest]
fn long_early_answer_to_a_long_upload_is_delivered() {
    let target = ScriptedTarget::start(|head| match head.starts_with("post /once/") {
        true => ScriptedReply::Early(answer(head, "200 OK", &"x".repeat(LONG_BYTES))),
        false => ScriptedReply::Keep(answer(head, "200 OK", "stock")),
    });
    let platform = start_fleet(&target);
    for i in [0, 1] {
        let text = upload(&platform, i, &format!("l{i}"), LONG_BYTES);
        expect_that!(text, starts_with("HTTP/1.1 200"), "{i}");
        expect_that!(body(&text).len(), eq(LONG_BYTES), "{i}");
    }
}

/// Guards against a caller that waits for its deadline because the target has stopped reading the upload
/// before it answers.
#[gtest]
fn answer_of_a_target_that_reads_no_more_of_the_upload_is_delivered() {
    let target = ScriptedTarget::start(|head| match head.starts_with("post /once/") {
        true => ScriptedReply::Unread(Duration::from_millis(300), sized_answer(head)),
        false => ScriptedReply::Keep(answer(head, "200 OK", "stock")),
    });
    let platform = start_fleet(&target);
    for i in [0, 1] {
        let text = upload(&platform, i, &format!("n{i}"), LONG_BYTES);
        expect_that!(text, starts_with("HTTP/1.1 200"), "{i}");
        expect_that!(body(&text).len(), eq(ANSWER_BYTES), "{i}");
    }
}

/// Guards against an early refusal without a length that is reported as an unknown outcome. Its head
/// says that the request was not run, and its body is not passed on.
#[gtest]
fn early_refusal_without_a_length_is_passed_on() {
    let target = ScriptedTarget::start(|head| match head.starts_with("post /once/") {
        true => {
            let id = header(head, "plantainpost-request-id");
            let refusal = format!(
                "HTTP/1.1 503 Service Unavailable\r\nPlantainpost-Request-Id: {id}\r\n\
                 Plantainpost-Not-Run: 1\r\n\r\n"
            );
            ScriptedReply::Unread(Duration::ZERO, refusal.into_bytes())
        }
        false => ScriptedReply::Keep(answer(head, "200 OK", "stock")),
    });
    let platform = start_fleet(&target);
    for i in [0, 1] {
        let text = upload(&platform, i, &format!("r{i}"), LONG_BYTES);
        expect_that!(text, starts_with("HTTP/1.1 503"), "{i}");
        expect_that!(text, contains_substring("target-refused"), "{i}");
    }
}
