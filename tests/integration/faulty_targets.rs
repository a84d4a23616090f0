//! Targets that send bytes which are no answer to the request in progress.

use googletest::prelude::*;

use crate::platform_fixture::{PlatformFleet, ScriptedReply, ScriptedTarget, answer, body};

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
