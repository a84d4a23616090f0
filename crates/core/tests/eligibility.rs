//! Tests of which targets may get a request.

use googletest::prelude::*;
use plantainpost_core::{
    balance::{
        Balancer, BalancerSettings, ChoiceError, RequestObservation, RequestOutcome, TargetQuery,
        TargetUsage, TargetView, policy_by_name,
    },
    eligibility::{
        Absence, AllowedRegions, Ineligibility, RequestScope, TargetFacts, explain_absence,
    },
    ids::{DataCentre, NodeName, Region},
    load::LoadSample,
    time::Instant,
};
use rand::{SeedableRng, rngs::StdRng};

const SERVICE: &str = "stock";
/// Long after the slow start of targets that were announced at time zero.
const LATER: Instant = Instant::from_millis(60_000);

const FACTS: TargetFacts<'_> = TargetFacts {
    node: "n1",
    region: "tt",
    weight: 1,
    is_leaving: false,
    is_evacuated: false,
};

fn regions(names: &[&str]) -> Vec<Region> {
    names.iter().map(|name| Region::from(*name)).collect()
}

/// Guards against a reason that is ignored or named wrongly, and against allowed regions of the route
/// that replace those of the workspace.
#[gtest]
fn first_reason_is_named() {
    let (none, own, other) = (regions(&[]), regions(&["gh", "tt"]), regions(&["gh"]));
    let facts = |is_leaving, is_evacuated, weight| TargetFacts {
        is_leaving,
        is_evacuated,
        weight,
        ..FACTS
    };
    // Target, regions of the route and the workspace, tried node, expected.
    let rows = [
        (FACTS, &none, &none, "n2", Ok(())),
        (FACTS, &own, &none, "n2", Ok(())),
        (FACTS, &own, &own, "n2", Ok(())),
        (
            FACTS,
            &other,
            &none,
            "n2",
            Err(Ineligibility::RegionNotAllowed),
        ),
        (
            FACTS,
            &none,
            &other,
            "n2",
            Err(Ineligibility::RegionNotAllowed),
        ),
        (
            FACTS,
            &own,
            &other,
            "n2",
            Err(Ineligibility::RegionNotAllowed),
        ),
        (FACTS, &none, &none, "n1", Err(Ineligibility::Tried)),
        (
            facts(true, true, 0),
            &none,
            &none,
            "",
            Err(Ineligibility::Leaving),
        ),
        (
            facts(false, true, 0),
            &none,
            &none,
            "",
            Err(Ineligibility::Evacuated),
        ),
        (
            facts(false, false, 0),
            &other,
            &none,
            "",
            Err(Ineligibility::ZeroWeight),
        ),
    ];
    for (facts, route, workspace, tried, expected) in rows {
        let tried = [NodeName::from(tried)];
        let scope = RequestScope {
            regions: AllowedRegions { route, workspace },
            tried: &tried,
        };
        expect_that!(facts.check_for(&scope), eq(expected), "{facts:?} {scope:?}");
    }
}

/// Guards against callers that are told another reason than the one that keeps their request out.
#[gtest]
fn absence_of_targets_is_explained() {
    let away = TargetFacts {
        region: "gh",
        ..FACTS
    };
    let evacuated = TargetFacts {
        is_evacuated: true,
        ..FACTS
    };
    let evacuated_away = TargetFacts {
        region: "gh",
        ..evacuated
    };
    let leaving = TargetFacts {
        is_leaving: true,
        ..FACTS
    };
    let no_weight = TargetFacts { weight: 0, ..FACTS };
    let rows = [
        (vec![], Absence::NoTarget),
        (vec![no_weight], Absence::NoTarget),
        (vec![no_weight, away], Absence::NoRegion),
        (vec![evacuated_away], Absence::NoRegion),
        (vec![away, evacuated], Absence::Evacuated),
        (vec![leaving, evacuated], Absence::Evacuated),
        (vec![leaving, away], Absence::Leaving),
    ];
    let allowed = regions(&["tt"]);
    for (targets, expected) in rows {
        let allowed = AllowedRegions {
            route: &allowed,
            workspace: &[],
        };
        let absence = explain_absence(targets.iter().copied(), allowed);
        expect_that!(absence, eq(expected), "{targets:?}");
    }
}

/// Names and regions of targets: one in three in each of the regions `a`, `b` and `c`.
fn fleet(count: usize) -> Vec<(String, &'static str)> {
    let region = |i| ["a", "b", "c"][i % 3];
    (0..count).map(|i| (format!("n{i}"), region(i))).collect()
}

/// Returns views of targets whose data centres have the names of their regions.
fn views<'a>(fleet: &'a [(String, &'static str)], evacuated: &str) -> Vec<TargetView<'a>> {
    let views = fleet.iter().map(|(node, region)| TargetView {
        node,
        data_centre: region,
        region,
        slots: 12,
        weight: 1,
        draining: false,
        evacuated: *region == evacuated,
        stopping: false,
    });
    views.collect()
}

fn balancer() -> Balancer {
    let cfg = BalancerSettings {
        entry: NodeName::from("entry"),
        data_centre: DataCentre::from("a"),
        ..BalancerSettings::default()
    };
    Balancer::new(cfg, policy_by_name("random").expect("the policy is known"))
}

fn choose(
    balancer: &mut Balancer,
    now: Instant,
    (route, workspace): (&[Region], &[Region]),
    seed: u64,
) -> std::result::Result<NodeName, ChoiceError> {
    let query = TargetQuery {
        service: SERVICE,
        scope: RequestScope {
            regions: AllowedRegions { route, workspace },
            tried: &[],
        },
        ..TargetQuery::default()
    };
    balancer.choose_target_for(now, &query, &mut StdRng::seed_from_u64(seed))
}

/// Returns the nodes that get requests with these allowed regions, in the order of their names.
fn used(balancer: &mut Balancer, route: &[Region], workspace: &[Region]) -> Vec<NodeName> {
    let chosen = (0..2_000).map(|seed| choose(balancer, LATER, (route, workspace), seed));
    let mut used: Vec<NodeName> = chosen.map(|node| node.expect("a target")).collect();
    used.sort_unstable();
    used.dedup();
    used
}

/// Guards against targets of an evacuated data centre, or of a region that is not allowed, that get
/// requests or take places in the subset, which would leave fewer targets for the requests.
#[gtest]
fn ineligible_targets_take_no_place_in_the_subset() {
    let fleet = fleet(90);
    let region_of = |node: &NodeName| {
        let found = fleet.iter().find(|(name, _)| name == node.as_str());
        found.expect("a known node").1
    };
    let mut balancer = balancer();
    balancer.set_targets(Instant::default(), SERVICE, &views(&fleet, "b"));
    let unrestricted = used(&mut balancer, &[], &[]);
    expect_that!(unrestricted.len(), eq(20));
    expect_true!(unrestricted.iter().all(|node| region_of(node) != "b"));
    let (only_c, b_or_c) = (regions(&["c"]), regions(&["b", "c"]));
    for (route, workspace) in [(&only_c, &vec![]), (&b_or_c, &vec![]), (&b_or_c, &only_c)] {
        let restricted = used(&mut balancer, route, workspace);
        expect_that!(restricted.len(), eq(20));
        expect_true!(restricted.iter().all(|node| region_of(node) == "c"));
        // The order of preference is the same, so that connections are shared.
        let in_both = unrestricted.iter().filter(|node| region_of(node) == "c");
        expect_true!(in_both.into_iter().all(|node| restricted.contains(node)));
    }
    expect_that!(
        choose(&mut balancer, LATER, (&regions(&["b"]), &[]), 0),
        err(eq(&ChoiceError::Evacuated))
    );
    expect_that!(
        choose(&mut balancer, LATER, (&regions(&["d"]), &[]), 0),
        err(eq(&ChoiceError::NoRegion))
    );
    balancer.set_targets(LATER, SERVICE, &views(&fleet, ""));
    expect_that!(used(&mut balancer, &regions(&["b"]), &[]).len(), eq(20));
}

/// Ends five requests at each target with a failure, and returns those that are ejected then.
fn fail_all(balancer: &mut Balancer, targets: &[NodeName]) -> Vec<NodeName> {
    let failure = RequestObservation {
        outcome: RequestOutcome::Failed,
        latency_us: 0,
        load: None,
    };
    for node in targets.iter().cycle().take(5 * targets.len()) {
        balancer.on_request_sent(LATER, node.as_str());
        balancer.on_request_ended(LATER, node.as_str(), &failure);
    }
    let usages = balancer.explain(LATER, SERVICE).into_iter();
    let usages = usages.filter(|e| targets.contains(&e.node));
    let ejected = usages.filter(|e| matches!(e.usage, TargetUsage::Ejected { .. }));
    ejected.map(|e| e.node).collect()
}

/// Guards against targets that only requests with allowed regions use, and that get no probes, or are
/// ejected without a bound, against probes of them after the last such request, and against failing targets
/// of the subset that stay in use because such targets of their region are ejected.
#[gtest]
fn targets_of_allowed_regions_are_probed_and_ejected_like_others() {
    let fleet = fleet(90);
    let mut balancer = balancer();
    balancer.set_targets(Instant::default(), SERVICE, &views(&fleet, ""));
    let subset = used(&mut balancer, &[], &[]);
    let only_c = regions(&["c"]);
    let restricted = used(&mut balancer, &only_c, &[]);
    let mut rng = StdRng::seed_from_u64(0);
    let next = || balancer.next_probe_target(LATER, &mut rng);
    let probed: Vec<NodeName> = std::iter::from_fn(next).collect();
    expect_that!(probed.len(), gt(20));
    expect_true!(restricted.iter().all(|node| probed.contains(node)));

    let (inside, outside): (Vec<_>, Vec<_>) = restricted
        .into_iter()
        .partition(|node| subset.contains(node));
    expect_that!(inside.len(), all![ge(1), le(10)]);
    let ejected = fail_all(&mut balancer, &outside);
    expect_that!(ejected.len(), eq(outside.len() / 2));
    expect_that!(fail_all(&mut balancer, &inside).len(), eq(inside.len()));

    let much_later = LATER.saturating_add_millis(6_000);
    let unrestricted = choose(&mut balancer, much_later, (&[], &[]), 0);
    expect_that!(unrestricted, ok(anything()));
    let next = || balancer.next_probe_target(much_later, &mut rng);
    expect_that!(std::iter::from_fn(next).count(), le(20));
}

/// Guards against a failing target that is never ejected because it is the only one of its region.
#[gtest]
fn only_target_of_a_region_is_ejected_while_others_are_allowed() {
    let mut fleet = fleet(45);
    fleet.push(("m".to_owned(), "d"));
    let mut balancer = balancer();
    balancer.set_targets(Instant::default(), SERVICE, &views(&fleet, ""));
    let only = vec![NodeName::from("m")];
    expect_that!(used(&mut balancer, &[], &[]), not(contains(eq(&only[0]))));
    let restricted = used(&mut balancer, &regions(&["b", "d"]), &[]);
    expect_that!(restricted, contains(eq(&only[0])));
    expect_that!(fail_all(&mut balancer, &only), eq(&only));
}

/// Guards against reasons in the answer to the caller that differ from those of the guards.
#[gtest]
fn choice_errors_have_the_reasons_of_refusals() {
    expect_that!(ChoiceError::Evacuated.reason(), eq("evacuated"));
    expect_that!(ChoiceError::NoRegion.reason(), eq("no-region"));
    expect_that!(ChoiceError::UnknownService.reason(), eq("no-target"));
}

/// Guards against an entry that sends request after request to guards that refuse them, because it does
/// not know of an evacuation yet, and against a target that it avoids for long after the evacuation.
#[gtest]
fn target_is_avoided_after_a_refusal_for_an_evacuation() {
    let fleet = fleet(2);
    let mut balancer = balancer();
    balancer.set_targets(Instant::default(), SERVICE, &views(&fleet, ""));
    balancer.on_evacuated_refusal(LATER, "n0");
    let at = |millis| LATER.saturating_add_millis(millis);
    let only_a = regions(&["a"]);
    expect_that!(
        choose(&mut balancer, at(999), (&only_a, &[]), 0),
        err(eq(&ChoiceError::Evacuated))
    );
    for seed in 0..100 {
        let chosen = choose(&mut balancer, at(999), (&[], &[]), seed);
        expect_that!(chosen, ok(eq(&NodeName::from("n1"))));
    }
    let nodes = (0..100).map(|seed| choose(&mut balancer, at(1_000), (&[], &[]), seed));
    let is_used = nodes
        .into_iter()
        .any(|node| node == Ok(NodeName::from("n0")));
    expect_true!(is_used, "after the time");
}

/// Guards against entries that all send their requests to the targets of a data centre that returns,
/// whose last estimates are from before its evacuation.
#[gtest]
fn targets_start_slowly_after_an_evacuation() {
    let fleet = fleet(2);
    let mut balancer = balancer();
    let penalty_us = |balancer: &Balancer, node: &str| {
        let all = balancer.explain(LATER, SERVICE);
        let explanation = all.iter().find(|e| e.node.as_str() == node);
        explanation.map(|e| (e.usage, e.score.cold_us > 0.0))
    };
    balancer.set_targets(Instant::default(), SERVICE, &views(&fleet, "a"));
    let evacuated = TargetUsage::Ineligible(Ineligibility::Evacuated);
    expect_that!(penalty_us(&balancer, "n0"), some(eq((evacuated, false))));
    balancer.set_targets(LATER, SERVICE, &views(&fleet, ""));
    expect_that!(
        penalty_us(&balancer, "n0"),
        some(eq((TargetUsage::InUse, true)))
    );
    expect_that!(
        penalty_us(&balancer, "n1"),
        some(eq((TargetUsage::InUse, false)))
    );
}

/// Guards against a request that waits for, or is hedged because of, a target in a region that it must
/// not be sent to.
#[gtest]
fn targets_in_other_regions_are_no_alternative() {
    let fleet = fleet(2);
    let mut balancer = balancer();
    balancer.set_targets(Instant::default(), SERVICE, &views(&fleet, ""));
    let sample = |in_flight, start_wait_us| LoadSample {
        in_flight,
        slots: 12,
        service_time_us: 10_000,
        start_wait_us,
        ..LoadSample::default()
    };
    balancer.on_probe_reply(LATER, "n0", 200, sample(36, 50_000));
    balancer.on_probe_reply(LATER, "n1", 200, sample(0, 0));
    let only_a = regions(&["a"]);
    let rows = [
        (AllowedRegions::default(), true, 0, 1),
        (
            AllowedRegions {
                route: &only_a,
                workspace: &[],
            },
            false,
            50_000,
            0,
        ),
        (
            AllowedRegions {
                route: &[],
                workspace: &only_a,
            },
            false,
            50_000,
            0,
        ),
    ];
    for (allowed, is_slow, wait_us, startable) in rows {
        expect_that!(balancer.is_slow(LATER, "n0", allowed), eq(is_slow));
        expect_that!(balancer.start_wait_us(LATER, SERVICE, allowed), eq(wait_us));
        let targets = balancer.startable_targets(LATER, SERVICE, allowed);
        expect_that!(targets.count(), eq(startable), "{allowed:?}");
    }
}
