//! Requests that reach a node right after its start.

use std::net::TcpStream;

use googletest::prelude::*;
use plantainpost_standin::process::{self, Signal};

use crate::{
    fleet_fixture::WAIT_TIMEOUT,
    platform_fixture::{PlatformFleet, ScriptedReply, ScriptedTarget, answer, start_process},
};

/// Guards against a node that refuses requests with 503 after a restart, because it knows neither the
/// configuration nor the targets of the other nodes yet. Without the wait, this request was refused as
/// `no-configuration` or `no-target`.
#[gtest]
fn node_serves_requests_that_arrive_right_after_its_start() {
    let target = ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "stock")));
    let mut platform = PlatformFleet::start(2);
    platform.publish_routes(4);
    platform.announce(1, &target, "i-1", 1, "ready");
    platform.wait_readyz(0, "200");
    platform.wait_readyz(1, "200");
    for attempt in 0..3 {
        let host = &mut platform.hosts[0];
        host.process.signal(Signal::Kill).expect("the process runs");
        host.process.wait_exit(WAIT_TIMEOUT).expect("an end");
        host.process = start_process(&host.settings);
        let callers = host.callers;
        process::wait_until("listener of callers", WAIT_TIMEOUT, || {
            TcpStream::connect(callers).is_ok()
        })
        .expect("the node accepts connections");
        let text = platform.get(0, "/safe/1", &format!("s{attempt}"));
        expect_that!(text, starts_with("HTTP/1.1 200"));
    }
}
