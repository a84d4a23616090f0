//! Tests of setting targets aside and of leaving targets.

use googletest::prelude::*;
use plantainpost_core::{
    balance::{
        Balancer, EjectionChange, RequestObservation, RequestOutcome, TargetUsage, TargetView,
    },
    ids::NodeName,
    load::LoadSample,
    time::Instant,
};

use super::{
    LATER, NODES, PRODUCT, SERVICE, answer, counts, entry, four_targets, rng, sample, usage, view,
};

/// Guards against a failing target that keeps its traffic, that returns at full load,
/// or whose return is not recorded for the audit trail.
#[gtest]
fn failing_target_is_set_aside_and_returns_by_trials() {
    for failure in [RequestOutcome::ServerError, RequestOutcome::Failed] {
        let mut balancer = four_targets(PRODUCT);
        for _ in 0..3 {
            expect_that!(usage(&balancer, LATER, "n0"), eq(TargetUsage::InUse));
            answer(&mut balancer, LATER, "n0", failure);
        }
        let changes = |balancer: &mut Balancer| -> Vec<EjectionChange> {
            balancer
                .take_events()
                .into_iter()
                .map(|event| event.change)
                .collect()
        };
        let events = changes(&mut balancer);
        let Some(EjectionChange::Ejected { until, .. }) = events.first().copied() else {
            panic!("the target was not set aside");
        };
        expect_that!(counts(&mut balancer, LATER, 200)[0], eq(0));
        // One trial at a time: the second request goes elsewhere.
        let mut rng = rng();
        for _ in 0..3 {
            let trial = balancer.choose_target(until, SERVICE, &[], &mut rng);
            expect_that!(trial, ok(eq(&NodeName::from("n0"))));
            balancer.on_request_sent(until, "n0");
            expect_that!(counts(&mut balancer, until, 200)[0], eq(0));
            let outcome = RequestOutcome::Answered;
            let observation = RequestObservation {
                outcome,
                latency_us: 0,
                load: None,
            };
            balancer.on_request_ended(until, "n0", &observation);
        }
        expect_that!(changes(&mut balancer), eq(&vec![EjectionChange::Restored]));
        expect_that!(usage(&balancer, until, "n0"), eq(TargetUsage::InUse));
    }
}

/// Guards against a target that fails each trial and yet is tried at the same pace.
#[gtest]
fn time_aside_grows_up_to_a_limit() {
    let mut balancer = four_targets(PRODUCT);
    (0..3).for_each(|_| answer(&mut balancer, LATER, "n0", RequestOutcome::ServerError));
    let mut ejection_ms = Vec::new();
    for _ in 0..8 {
        let events = balancer.take_events();
        let Some(EjectionChange::Ejected { until, .. }) = events.first().map(|event| event.change)
        else {
            panic!("the target was not set aside");
        };
        ejection_ms.push(until.micros_since(events[0].at) / 1_000);
        answer(&mut balancer, until, "n0", RequestOutcome::Failed);
    }
    let expected = vec![1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000, 30_000];
    expect_that!(ejection_ms, eq(&expected));
}

/// Guards against outcomes that say nothing about a target's health but set it aside.
#[gtest]
fn refusals_and_cancellations_set_nothing_aside() {
    for outcome in [
        RequestOutcome::Refused,
        RequestOutcome::Cancelled,
        RequestOutcome::Answered,
    ] {
        let mut balancer = four_targets(PRODUCT);
        (0..100).for_each(|_| answer(&mut balancer, LATER, "n0", outcome));
        expect_that!(balancer.take_events().len(), eq(0), "{outcome:?}");
    }
}

/// Guards against an outage that sets aside more than half of the targets, also after
/// other targets left.
#[gtest]
fn at_most_half_are_set_aside() {
    for count in 1..=4 {
        let mut balancer = entry("entry", "pos", PRODUCT);
        let views: Vec<TargetView<'_>> = NODES[..count].iter().map(|node| view(node)).collect();
        balancer.set_targets(Instant::default(), SERVICE, &views);
        let ejected = |balancer: &Balancer| {
            let all = balancer.explain(LATER, SERVICE);
            all.iter().filter(|e| e.usage != TargetUsage::InUse).count()
        };
        for node in NODES.repeat(5) {
            answer(&mut balancer, LATER, node, RequestOutcome::Failed);
        }
        expect_that!(ejected(&balancer), eq(count / 2));
        for left in (1..count).rev() {
            balancer.set_targets(LATER, SERVICE, &views[..left]);
            expect_that!(ejected(&balancer), le(left / 2), "{left} of {count} left");
        }
    }
}

/// Guards against an error that returns fast and makes its target look good.
#[gtest]
fn fast_errors_make_a_target_look_worse() {
    let mut balancer = four_targets(PRODUCT);
    let total = |balancer: &Balancer| balancer.explain(LATER, SERVICE)[0].score.total_us();
    let before = total(&balancer);
    answer(&mut balancer, LATER, "n0", RequestOutcome::ServerError);
    expect_that!(total(&balancer), gt(before));
    expect_that!(counts(&mut balancer, LATER, 200)[0], eq(0));
}

/// Guards against a guard's draining mark that is ignored until membership repeats it,
/// or that excludes a target for good after it stayed.
#[gtest]
fn draining_sample_excludes_a_target_for_a_while() {
    let mut balancer = four_targets(PRODUCT);
    let draining = LoadSample {
        draining: true,
        ..sample(1, 0)
    };
    balancer.on_probe_reply(LATER, "n0", 200, draining);
    expect_that!(counts(&mut balancer, LATER, 200)[0], eq(0));
    expect_that!(usage(&balancer, LATER, "n0"), eq(TargetUsage::Draining));
    let later = LATER.saturating_add_millis(6_000);
    expect_that!(usage(&balancer, later, "n0"), eq(TargetUsage::InUse));
}

/// Guards against hedges that are spent on healthy targets, and against a target that has
/// become slow and is not recognised before its first answer.
#[gtest]
fn slow_targets_are_recognised() {
    // Age of the oldest request at n0 in ms, and whether n0 then counts as slow. The other
    // targets answer in 10 ms.
    let rows = [(0, false), (10, false), (100, true)];
    for (age_ms, slow) in rows {
        let mut balancer = four_targets(PRODUCT);
        for node in NODES {
            balancer.on_probe_reply(LATER, node, 200, sample(1, 0));
        }
        balancer.on_request_sent(LATER, "n0");
        let now = LATER.saturating_add_millis(age_ms);
        expect_that!(balancer.is_slow(now, "n0"), eq(slow), "{age_ms} ms");
        expect_false!(balancer.is_slow(now, "n1"), "{age_ms} ms");
    }
    expect_false!(four_targets(PRODUCT).is_slow(LATER, "unknown"));
}
