//! Requests that reach a node right after its start.

use std::net::TcpStream;

use googletest::prelude::*;
use plantainpost_standin::process::{self, Signal};

use crate::{
    fleet_fixture::WAIT_TIMEOUT,
    platform_fixture::{PlatformFleet, ScriptedReply, ScriptedTarget, answer, start_process},
};

/// Guards against nodes that refuse requests with 503 after a restart of the whole fleet, because they know
/// neither the configuration nor the targets of the other nodes yet. Without the wait, these requests were
/// refused as `no-configuration` or `no-target`.
#[gtest]
fn nodes_serve_requests_that_arrive_right_after_their_start() {
    let target = ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "stock")));
    let mut platform = PlatformFleet::start(2);
    platform.publish_routes(4);
    platform.announce(1, &target, "i-1", 1, "ready");
    platform.wait_readyz(0, "200");
    platform.wait_readyz(1, "200");
    for attempt in 0..3 {
        for i in [1, 0] {
            let host = &mut platform.hosts[i];
            host.process.signal(Signal::Kill).expect("the process runs");
            host.process.wait_exit(WAIT_TIMEOUT).expect("an end");
            host.process = start_process(&host.settings);
        }
        for addr in [platform.hosts[1].control, platform.hosts[0].callers] {
            let accepts = || TcpStream::connect(addr).is_ok();
            process::wait_until("listener", WAIT_TIMEOUT, accepts).expect("the node listens");
        }
        platform.announce(1, &target, "i-1", 2 + attempt, "ready");
        let text = platform.get(0, "/safe/1", &format!("s{attempt}"));
        expect_that!(text, starts_with("HTTP/1.1 200"));
    }
}
