//! Tests of choices that are tried without effect.

use googletest::prelude::*;
use plantainpost_core::{
    admission::Admission,
    balance::{RequestOutcome, TargetQuery},
    eligibility::RequestScope,
    ids::NodeName,
    load::LoadSample,
};

use super::{
    LATER, NODES, POLICIES, SERVICE, complete_request, four_targets, load_sample, new_balancer,
    seeded_rng, target_view,
};

/// Guards against choices on a copy that differ from those of the balancer, or that change later ones.
#[gtest]
fn choices_on_a_copy_agree_and_have_no_effect() {
    for policy in POLICIES {
        let mut balancer = four_targets(policy);
        let choose_all = |balancer: &mut plantainpost_core::balance::Balancer| {
            let mut rng = seeded_rng();
            let choose = |_| balancer.choose_target(LATER, SERVICE, &[], &mut rng);
            (0..20).map(choose).collect::<Vec<_>>()
        };
        let tried = choose_all(&mut balancer.clone());
        expect_that!(choose_all(&mut balancer), eq(&tried), "{policy}");
    }
}

/// Guards against an explanation that lists other targets than those that get requests.
#[gtest]
fn explained_candidates_are_those_that_get_requests() {
    let mut balancer = new_balancer("entry", "pos", "random");
    let mut views = NODES.map(target_view);
    views[1].stopping = true;
    balancer.set_targets(LATER, SERVICE, &views);
    let limited = LoadSample {
        start_wait_us: 5_000,
        ..load_sample(0, 0)
    };
    balancer.on_probe_reply(LATER, "n2", 100, limited);
    for _ in 0..3 {
        complete_request(&mut balancer, LATER, "n3", RequestOutcome::Failed);
    }
    let rows: [(&[&str], [&str; 4]); 3] = [
        (
            &[],
            [
                "in use",
                "its node is stopping",
                "others can start a request earlier than in 5000 us",
                "set aside: ",
            ],
        ),
        (
            &["n0"],
            [
                "already tried",
                "its node is stopping",
                "in use",
                "set aside: ",
            ],
        ),
        (
            &["n0", "n2", "n3"],
            ["already tried", "in use", "already tried", "already tried"],
        ),
    ];
    for (tried, usages) in rows {
        let tried: Vec<NodeName> = tried.iter().map(|name| NodeName::from(*name)).collect();
        let query = TargetQuery {
            service: SERVICE,
            scope: RequestScope {
                tried: &tried,
                ..RequestScope::default()
            },
            ..TargetQuery::default()
        };
        let mut rng = seeded_rng();
        let mut copy = balancer.clone();
        let chosen: Vec<NodeName> = (0..100)
            .map(|_| copy.choose_target_for(LATER, &query, &mut rng))
            .map(|node| node.expect("a target"))
            .collect();
        for (option, usage) in balancer.explain_for(LATER, &query).iter().zip(usages) {
            let explanation = &option.explanation;
            let is_chosen = chosen.contains(&explanation.node);
            expect_that!(option.is_candidate, eq(is_chosen), "{option:?}");
            expect_that!(explanation.usage.to_string(), starts_with(usage));
        }
    }
}

/// Guards against expectations that contradict the load sample they come from.
#[gtest]
fn load_samples_say_what_a_guard_will_decide() {
    let waiting = |start_wait_us: u32, cold: bool| LoadSample {
        start_wait_us,
        cold,
        ..load_sample(0, 0)
    };
    // Sample, its age and the time until the deadline in milliseconds, class of the request, expected
    // admission. The mean service time is 10 ms.
    let rows = [
        (load_sample(0, 0), 0, 100, 1, "start"),
        (load_sample(11, 0), 0, 9, 1, "start"),
        (load_sample(11, 0), 0, 8, 1, "deadline"),
        (load_sample(11, 0), 0, 8, 0, "start"),
        (load_sample(11, 0), 0, 0, 0, "deadline"),
        (load_sample(12, 24), 0, 8, 1, "deadline"),
        (load_sample(12, 0), 0, 100, 1, "wait"),
        (load_sample(12, 0), 2_000, 100, 1, "start"),
        (load_sample(12, 20), 0, 20, 1, "overloaded"),
        (load_sample(12, 24), 0, 1_000, 1, "overloaded"),
        (waiting(60_000, false), 0, 100, 1, "wait"),
        (waiting(60_000, false), 0, 50, 1, "rate-limited"),
        (waiting(60_000, true), 0, 50, 1, "cold"),
    ];
    for (sample, age_ms, left_ms, class, wanted) in rows {
        let mut balancer = four_targets("random");
        expect_that!(balancer.outlook(LATER, "n0"), none());
        balancer.on_probe_reply(LATER, "n0", 100, sample);
        let now = LATER.saturating_add_millis(age_ms);
        let outlook = balancer.outlook(now, "n0").expect("a sample");
        expect_that!(outlook.age_us, eq(age_ms * 1_000));
        let deadline = now.saturating_add_millis(left_ms);
        let admission = outlook.expected_admission(now, deadline, class);
        let text = match admission {
            Admission::Start => "start",
            Admission::Queued => "wait",
            Admission::Refused(reason) => reason.as_str(),
        };
        expect_that!(text, eq(wanted), "{sample:?}, {left_ms} ms, class {class}");
    }
}
