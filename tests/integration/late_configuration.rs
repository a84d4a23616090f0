//! Configurations that are published while connections or calls to the store fail.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use plantainpost_standin::{log::LogFaults, process};

use crate::{
    fleet_fixture::WAIT_TIMEOUT,
    platform_fixture::{PlatformFleet, ScriptedReply, ScriptedTarget, answer},
};

/// Longest time until a configuration is in force after the end of a fault of the store.
const MAX_DELAY_AFTER_FAULT: Duration = Duration::from_secs(3);

/// Guards against a reader that waits for the answer to a read which the store has lost, while
/// newer configurations are published.
#[gtest]
fn lost_read_of_the_store_does_not_delay_a_configuration() {
    let target = ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "stock")));
    let platform = PlatformFleet::start_with_target(&target);
    platform.store.set_faults(LogFaults {
        silent: true,
        ..Default::default()
    });
    let calls_before = platform.store.call_count();
    platform.publish_routes(5);
    process::wait_until("a read without an answer", WAIT_TIMEOUT, || {
        platform.store.call_count() > calls_before
    })
    .expect("a read");
    platform.store.set_faults(LogFaults::default());
    platform.publish_route_list(6, &[("/added/", "safe", 5_000)]);
    let start = Instant::now();
    process::wait_until("an answer on the added route", WAIT_TIMEOUT, || {
        platform
            .get(0, "/added/1", "a1")
            .starts_with("HTTP/1.1 200")
    })
    .expect("an answer");
    expect_that!(start.elapsed(), lt(MAX_DELAY_AFTER_FAULT));
}
