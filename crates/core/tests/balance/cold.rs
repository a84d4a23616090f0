//! Tests of cold targets.

use googletest::prelude::*;
use plantainpost_core::{
    balance::{Balancer, RequestOutcome, TargetUsage, WaitingRequest},
    eligibility::{AllowedRegions, RequestScope},
    ids::NodeName,
    load::LoadSample,
    time::Instant,
};

use super::{
    DEFAULT_POLICY, LATER, NODES, SERVICE, complete_request, count_choices, four_targets,
    load_sample, target_usage,
};

/// Returns the sample of a cold target that could start a request after `wait_ms`.
fn cold_sample(wait_ms: u32) -> LoadSample {
    LoadSample {
        start_wait_us: wait_ms * 1_000,
        start_interval_us: 200_000,
        cold: true,
        ..load_sample(0, 0)
    }
}

fn request(now: Instant, left_ms: u64, priority: u32) -> WaitingRequest {
    WaitingRequest {
        deadline: now.saturating_add_millis(left_ms),
        priority,
    }
}

/// Returns the scope of a request that was already sent to `tried`.
fn after(tried: &[NodeName]) -> RequestScope<'_> {
    RequestScope {
        tried,
        ..RequestScope::default()
    }
}

/// Returns an entry with targets that can start a request after `wait_ms`.
fn all_cold(wait_ms: u32) -> Balancer {
    let mut balancer = four_targets(DEFAULT_POLICY);
    for node in NODES {
        balancer.on_probe_reply(LATER, node, 100, cold_sample(wait_ms));
    }
    balancer
}

/// Guards against messages to targets that cannot start a request in time, and against requests that
/// are refused although a target can.
#[gtest]
fn request_that_no_target_can_start_in_time_is_not_sent() {
    let balancer = all_cold(1_500);
    let is_too_cold = |now, left_ms, exclude: &[NodeName]| {
        balancer.is_too_cold(now, SERVICE, &after(exclude), &request(now, left_ms, 0))
    };
    expect_that!(is_too_cold(LATER, 1_400, &[]), eq(true));
    expect_that!(is_too_cold(LATER, 1_600, &[]), eq(false));
    expect_that!(
        balancer.start_wait_us(LATER, SERVICE, AllowedRegions::default()),
        eq(1_500_000)
    );
    // 200 ms of the wait have passed.
    let now = LATER.saturating_add_millis(200);
    expect_that!(is_too_cold(now, 1_400, &[]), eq(false));

    let mut balancer = all_cold(1_500);
    balancer.on_probe_reply(LATER, "n3", 100, load_sample(0, 0));
    let waiting = request(LATER, 1_000, 0);
    let n3 = [NodeName::from("n3")];
    expect_that!(
        balancer.is_too_cold(LATER, SERVICE, &after(&[]), &waiting),
        eq(false)
    );
    expect_that!(
        balancer.is_too_cold(LATER, SERVICE, &after(&n3), &waiting),
        eq(true)
    );
    expect_that!(count_choices(&mut balancer, LATER, 50), eq([0, 0, 0, 50]));
}

/// Guards against requests that are sent to a cold target again and again after it has refused one,
/// and against urgent or patient requests that suffer for the others.
#[gtest]
fn entry_backs_off_from_a_cold_target_that_refused() {
    let mut balancer = all_cold(100);
    for node in NODES {
        balancer.on_cold_refusal(LATER, node, &request(LATER, 1_000, 1));
    }
    let is_too_cold = |balancer: &Balancer, after_ms, left_ms, priority| {
        let now = LATER.saturating_add_millis(after_ms);
        balancer.is_too_cold(now, SERVICE, &after(&[]), &request(now, left_ms, priority))
    };
    expect_that!(is_too_cold(&balancer, 0, 1_000, 1), eq(true));
    expect_that!(is_too_cold(&balancer, 0, 1_100, 2), eq(true));
    expect_that!(is_too_cold(&balancer, 0, 1_000, 0), eq(false));
    expect_that!(is_too_cold(&balancer, 0, 3_000, 1), eq(false));
    // Four entries that each wait 400 ms offer ten requests a second, twice the rate.
    expect_that!(is_too_cold(&balancer, 399, 1_000, 1), eq(true));
    expect_that!(is_too_cold(&balancer, 400, 1_000, 1), eq(false));
    balancer.on_probe_reply(LATER, "n1", 100, load_sample(0, 0));
    expect_that!(is_too_cold(&balancer, 0, 1_000, 1), eq(false));
    expect_that!(count_choices(&mut balancer, LATER, 50), eq([0, 50, 0, 0]));
}

/// Guards against a refusal that arrives with little or no time left and ends the back-off of requests
/// that have more.
#[gtest]
fn late_refusal_does_not_shorten_a_back_off() {
    // Time left and priority of the second refusal, which comes 100 ms after the first.
    for (left_ms, priority) in [(0, 1), (0, 0), (50, 1), (0, 2), (50, 2)] {
        let mut balancer = all_cold(100);
        let now = LATER.saturating_add_millis(100);
        for node in NODES {
            balancer.on_cold_refusal(LATER, node, &request(LATER, 1_000, 1));
            balancer.on_cold_refusal(now, node, &request(now, left_ms, priority));
        }
        let is_too_cold = |left_ms, priority| {
            balancer.is_too_cold(now, SERVICE, &after(&[]), &request(now, left_ms, priority))
        };
        expect_that!(is_too_cold(900, 1), eq(true), "{left_ms}, {priority}");
        expect_that!(is_too_cold(900, 0), eq(false), "{left_ms}, {priority}");
    }
    // A back-off that has ended is not taken up again.
    let mut balancer = all_cold(100);
    let now = LATER.saturating_add_millis(400);
    for node in NODES {
        balancer.on_cold_refusal(LATER, node, &request(LATER, 1_000, 1));
        balancer.on_cold_refusal(now, node, &request(now, 300, 1));
    }
    let waiting = request(now, 900, 1);
    expect_that!(
        balancer.is_too_cold(now, SERVICE, &after(&[]), &waiting),
        eq(false)
    );
}

/// Guards against a burst of an entry to a target of which only the member record says that it is
/// cold, also after it was warm.
#[gtest]
fn member_record_counts_until_a_newer_sample() {
    let mut balancer = four_targets(DEFAULT_POLICY);
    for node in &NODES[..2] {
        balancer.on_probe_reply(LATER, node, 100, load_sample(0, 0));
    }
    let now = LATER.saturating_add_millis(10);
    let cold = ["n0", "n2", "n3"].map(NodeName::from);
    balancer.set_cold_nodes(now, &cold);
    expect_that!(count_choices(&mut balancer, now, 50), eq([0, 50, 0, 0]));
    balancer.on_probe_reply(now, "n0", 100, load_sample(0, 0));
    expect_that!(count_choices(&mut balancer, now, 50)[0], gt(0));
    balancer.set_cold_nodes(now, &[]);
    expect_that!(
        balancer
            .startable_targets(now, SERVICE, AllowedRegions::default())
            .count(),
        eq(4)
    );
}

/// Guards against the ejection of a target that fails while it is cold, and against one that is never
/// ejected because it was cold long ago.
#[gtest]
fn failures_of_a_cold_target_do_not_eject_it() {
    for by_sample in [true, false] {
        let mut balancer = four_targets(DEFAULT_POLICY);
        match by_sample {
            true => balancer.on_probe_reply(LATER, "n0", 100, cold_sample(0)),
            false => balancer.set_cold_nodes(LATER, &[NodeName::from("n0")]),
        }
        for _ in 0..10 {
            complete_request(&mut balancer, LATER, "n0", RequestOutcome::ServerError);
        }
        expect_that!(target_usage(&balancer, LATER, "n0"), eq(TargetUsage::InUse));
        balancer.set_cold_nodes(LATER, &[]);
        let much_later = LATER.saturating_add_millis(5_001);
        for _ in 0..3 {
            complete_request(&mut balancer, much_later, "n0", RequestOutcome::Failed);
        }
        let usage = target_usage(&balancer, much_later, "n0");
        expect_that!(usage, not(eq(TargetUsage::InUse)));
    }
}
