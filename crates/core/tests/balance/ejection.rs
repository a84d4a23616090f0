//! Tests of ejection, of leaving targets and of the detection of slow targets.

use googletest::prelude::*;
use plantainpost_core::{
    balance::{
        Balancer, EjectionChange, RequestObservation, RequestOutcome, TargetUsage, TargetView,
    },
    eligibility::{AllowedRegions, Ineligibility},
    ids::NodeName,
    load::LoadSample,
    time::Instant,
};

use super::{
    DEFAULT_POLICY, LATER, NODES, SERVICE, complete_request, count_choices, four_targets,
    load_sample, new_balancer, seeded_rng, target_usage, target_view,
};

/// Guards against a failing target that still receives requests, that regains its full share
/// without trial requests, or whose restoration is missing from the audit trail.
#[gtest]
fn failing_target_is_ejected_and_restored_after_trials() {
    for failure in [RequestOutcome::ServerError, RequestOutcome::Failed] {
        let mut balancer = four_targets(DEFAULT_POLICY);
        for _ in 0..3 {
            expect_that!(target_usage(&balancer, LATER, "n0"), eq(TargetUsage::InUse));
            complete_request(&mut balancer, LATER, "n0", failure);
        }
        let take_changes = |balancer: &mut Balancer| -> Vec<EjectionChange> {
            balancer
                .take_events()
                .into_iter()
                .map(|event| event.change)
                .collect()
        };
        let ejections = take_changes(&mut balancer);
        let Some(EjectionChange::Ejected { until, .. }) = ejections.first().copied() else {
            panic!("the target was not ejected");
        };
        expect_that!(count_choices(&mut balancer, LATER, 200)[0], eq(0));
        // One trial request at a time: while it is in flight, other requests avoid n0.
        let mut rng = seeded_rng();
        for _ in 0..3 {
            let trial = balancer.choose_target(until, SERVICE, &[], &mut rng);
            expect_that!(trial, ok(eq(&NodeName::from("n0"))));
            balancer.on_request_sent(until, "n0");
            expect_that!(count_choices(&mut balancer, until, 200)[0], eq(0));
            let outcome = RequestOutcome::Answered;
            let observation = RequestObservation {
                outcome,
                latency_us: 0,
                load: None,
            };
            balancer.on_request_ended(until, "n0", &observation);
        }
        expect_that!(
            take_changes(&mut balancer),
            eq(&vec![EjectionChange::Restored])
        );
        expect_that!(target_usage(&balancer, until, "n0"), eq(TargetUsage::InUse));
    }
}

/// Guards against a constant ejection time for a target that fails each trial request.
#[gtest]
fn ejection_time_doubles_up_to_a_limit() {
    let mut balancer = four_targets(DEFAULT_POLICY);
    (0..3).for_each(|_| complete_request(&mut balancer, LATER, "n0", RequestOutcome::ServerError));
    let mut ejection_ms = Vec::new();
    for _ in 0..8 {
        let events = balancer.take_events();
        let Some(EjectionChange::Ejected { until, .. }) = events.first().map(|event| event.change)
        else {
            panic!("the target was not ejected");
        };
        ejection_ms.push(until.micros_since(events[0].at) / 1_000);
        complete_request(&mut balancer, until, "n0", RequestOutcome::Failed);
    }
    let expected = vec![1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000, 30_000];
    expect_that!(ejection_ms, eq(&expected));
}

/// Guards against ejection by outcomes that say nothing about the health of a target.
#[gtest]
fn refusals_and_cancellations_eject_no_target() {
    for outcome in [
        RequestOutcome::Refused,
        RequestOutcome::Cancelled,
        RequestOutcome::Answered,
    ] {
        let mut balancer = four_targets(DEFAULT_POLICY);
        (0..100).for_each(|_| complete_request(&mut balancer, LATER, "n0", outcome));
        expect_that!(balancer.take_events().len(), eq(0), "{outcome:?}");
    }
}

/// Guards against an outage that ejects more than half of the targets, also after targets in use
/// have left.
#[gtest]
fn at_most_half_of_the_targets_are_ejected() {
    for count in 1..=4 {
        let mut balancer = new_balancer("entry", "pos", DEFAULT_POLICY);
        let views: Vec<TargetView<'_>> = NODES[..count]
            .iter()
            .map(|node| target_view(node))
            .collect();
        balancer.set_targets(Instant::default(), SERVICE, &views);
        let ejected = |balancer: &Balancer| {
            let all = balancer.explain(LATER, SERVICE);
            all.iter().filter(|e| e.usage != TargetUsage::InUse).count()
        };
        for node in NODES.repeat(5) {
            complete_request(&mut balancer, LATER, node, RequestOutcome::Failed);
        }
        expect_that!(ejected(&balancer), eq(count / 2));
        for left in (1..count).rev() {
            balancer.set_targets(LATER, SERVICE, &views[..left]);
            expect_that!(ejected(&balancer), le(left / 2), "{left} of {count} left");
        }
    }
}

/// Guards against fast errors that give their target a better score.
#[gtest]
fn fast_errors_worsen_the_score() {
    let mut balancer = four_targets(DEFAULT_POLICY);
    let total_us = |balancer: &Balancer| balancer.explain(LATER, SERVICE)[0].score.total_us();
    let before_us = total_us(&balancer);
    complete_request(&mut balancer, LATER, "n0", RequestOutcome::ServerError);
    expect_that!(total_us(&balancer), gt(before_us));
    expect_that!(count_choices(&mut balancer, LATER, 200)[0], eq(0));
}

/// Guards against `draining` in a load sample that is ignored until membership spreads it, or that
/// excludes a target forever although it did not leave.
#[gtest]
fn draining_sample_excludes_a_target_for_a_limited_time() {
    let mut balancer = four_targets(DEFAULT_POLICY);
    let draining = LoadSample {
        draining: true,
        ..load_sample(1, 0)
    };
    balancer.on_probe_reply(LATER, "n0", 200, draining);
    expect_that!(count_choices(&mut balancer, LATER, 200)[0], eq(0));
    expect_that!(
        target_usage(&balancer, LATER, "n0"),
        eq(TargetUsage::Ineligible(Ineligibility::Leaving))
    );
    let later = LATER.saturating_add_millis(6_000);
    expect_that!(target_usage(&balancer, later, "n0"), eq(TargetUsage::InUse));
}

/// Guards against hedged requests at healthy targets, and against a slow target that is not
/// detected before its first answer.
#[gtest]
fn slow_targets_are_detected_before_they_answer() {
    // Age of the oldest request at n0 in ms, and whether n0 then counts as slow. The other
    // targets answer in 10 ms.
    let rows = [(0, false), (10, false), (100, true)];
    for (age_ms, slow) in rows {
        let mut balancer = four_targets(DEFAULT_POLICY);
        for node in NODES {
            balancer.on_probe_reply(LATER, node, 200, load_sample(1, 0));
        }
        balancer.on_request_sent(LATER, "n0");
        let now = LATER.saturating_add_millis(age_ms);
        expect_that!(
            balancer.is_slow(now, "n0", AllowedRegions::default()),
            eq(slow),
            "{age_ms} ms"
        );
        expect_false!(
            balancer.is_slow(now, "n1", AllowedRegions::default()),
            "{age_ms} ms"
        );
    }
    expect_false!(four_targets(DEFAULT_POLICY).is_slow(
        LATER,
        "unknown",
        AllowedRegions::default()
    ));
}
