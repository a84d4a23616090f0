//! Placement of requests on near and far targets.

use googletest::prelude::*;
use plantainpost_core::{
    balance::{
        Balancer, BalancerSettings, TargetQuery, TargetUsage, TargetView, policy_by_name,
        rendezvous_subset,
    },
    ids::{DataCentre, NodeName},
    load::LoadSample,
    time::Instant,
};
use rand::{SeedableRng, rngs::StdRng};

const SERVICE: &str = "stock";
const SLOTS: u32 = 9;
const SERVICE_US: u32 = 190_000;
const LATENCY_TARGET_MS: u64 = 600;
/// Long after the slow start of targets that were announced at time zero.
const LATER: Instant = Instant::from_millis(60_000);
const REQUESTS: usize = 400;

/// Targets of a service: their number in each data centre, of which the first is that of the entry.
struct Fleet {
    names: Vec<(String, String)>,
    balancer: Balancer,
}

impl Fleet {
    fn new(entry: &str, counts: &[usize]) -> Self {
        let in_centre = |(centre, count): (usize, &usize)| -> Vec<(String, String)> {
            let name = |index| (format!("n-{centre}-{index}"), format!("dc-{centre}"));
            (0..*count).map(name).collect()
        };
        let names: Vec<_> = counts.iter().enumerate().flat_map(in_centre).collect();
        let cfg = BalancerSettings {
            entry: NodeName::from(entry),
            data_centre: DataCentre::from("dc-0"),
            transfer_cost_us_per_kib: 80_000,
            ..BalancerSettings::default()
        };
        let policy = policy_by_name("predicted-completion").expect("the policy is known");
        let mut balancer = Balancer::new(cfg, policy);
        let views = names.iter().map(|(node, data_centre)| TargetView {
            node,
            data_centre,
            region: "west",
            slots: SLOTS,
            weight: 1,
            draining: false,
            evacuated: false,
            stopping: false,
        });
        let views: Vec<_> = views.collect();
        balancer.set_targets(Instant::default(), SERVICE, &views);
        drop(views);
        Fleet { names, balancer }
    }

    /// Records samples of all targets with this many requests in flight and queued per target in
    /// the data centre of the entry, and none elsewhere.
    fn set_near_load(&mut self, now: Instant, requests: u32) {
        for (node, data_centre) in &self.names {
            let load = if data_centre == "dc-0" { requests } else { 0 };
            let sample = LoadSample {
                in_flight: load.min(SLOTS),
                queued: load.saturating_sub(SLOTS),
                slots: SLOTS,
                service_time_us: SERVICE_US,
                ..LoadSample::default()
            };
            let rtt_us = if data_centre == "dc-0" { 400 } else { 7_800 };
            self.balancer.on_probe_reply(now, node, rtt_us, sample);
        }
    }

    /// Returns the share of choices in the data centre of the entry.
    fn near_share(&mut self, now: Instant, due: Option<Instant>) -> f64 {
        let mut rng = StdRng::seed_from_u64(7);
        let query = TargetQuery {
            service: SERVICE,
            bytes: 500,
            due,
            ..TargetQuery::default()
        };
        let mut is_near = || {
            let chosen = self.balancer.choose_target_for(now, &query, &mut rng);
            chosen.expect("a target").as_str().starts_with("n-0-")
        };
        let near = (0..REQUESTS).filter(|_| is_near()).count();
        near as f64 / REQUESTS as f64
    }
}

/// Guards against an entry that sees few targets of its own data centre, so that most requests cross
/// to another one, and against one that cannot spill over.
#[gtest]
fn subset_has_a_near_and_a_far_part() {
    // Targets in each data centre; expected near and far targets in the subset of 20.
    let rows: [(&str, &[usize], [usize; 2]); 5] = [
        ("four data centres", &[15, 11, 13, 14], [12, 8]),
        ("few near targets", &[3, 20, 20], [3, 17]),
        ("no near target", &[0, 30], [0, 20]),
        ("few far targets", &[30, 4], [16, 4]),
        ("all fit", &[6, 7, 6], [6, 13]),
    ];
    for (name, counts, expected) in rows {
        for entry in ["e-1", "e-2", "e-3"] {
            let fleet = Fleet::new(entry, counts);
            let used = fleet.balancer.explain(LATER, SERVICE);
            let used = used
                .iter()
                .filter(|target| target.usage == TargetUsage::InUse);
            let (near, far): (Vec<_>, Vec<_>) =
                used.partition(|target| target.data_centre.as_str() == "dc-0");
            expect_that!([near.len(), far.len()], eq(expected), "{name}, {entry}");
        }
    }
}

/// Guards against near targets that get uneven numbers of entries, and against a subset that changes
/// as a whole when one target is added.
#[gtest]
fn near_part_is_spread_and_stable() {
    let mut uses = [0usize; 30];
    for entry in 0..60 {
        let names: Vec<String> = (0..30).map(|index| format!("n-0-{index}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        for index in rendezvous_subset(&format!("e-{entry}"), &names, 12) {
            uses[index] += 1;
        }
    }
    // 60 entries choose 12 of 30 targets each: 24 on average.
    expect_that!(uses.iter().min(), some(ge(&12)));
    expect_that!(uses.iter().max(), some(le(&36)));
}

/// Replays a load that the near targets can bear, one that they cannot, and its end. Guards against
/// requests that cross to other data centres while near targets would answer in time, against near targets that
/// are overrun while others are idle, and against a choice that does not return.
#[gtest]
fn requests_spill_over_by_need() {
    let mut fleet = Fleet::new("e-1", &[15, 11, 13, 14]);
    let steps = [
        ("idle", 0, 1.0..=1.0),
        ("borne", 2, 1.0..=1.0),
        ("overload", 24, 0.0..=0.1),
        ("over", 1, 1.0..=1.0),
    ];
    let mut now = LATER;
    for (name, requests, expected) in steps {
        now = now.saturating_add_millis(1_000);
        fleet.set_near_load(now, requests);
        let due = now.saturating_add_millis(LATENCY_TARGET_MS);
        let share = fleet.near_share(now, Some(due));
        expect_that!(expected.contains(&share), eq(true), "{name}: {share}");
    }
}

/// Guards against a data centre with few targets and many callers whose targets get all requests.
#[gtest]
fn few_near_targets_are_not_preferred() {
    for near in [1, 3] {
        let mut fleet = Fleet::new("e-1", &[near, 4, 4]);
        fleet.set_near_load(LATER, 8);
        let due = LATER.saturating_add_millis(10_000);
        let with_due = fleet.near_share(LATER, Some(due));
        let without = fleet.near_share(LATER, None);
        expect_that!(with_due, eq(without), "{near}");
    }
}

/// Guards against large responses that are taken for small ones, so that they cross between data
/// centres as if that cost nothing.
#[gtest]
fn response_sizes_are_learnt_by_class() {
    let mut balancer = Fleet::new("e-1", &[1]).balancer;
    let assumed = balancer.expected_response_bytes(1);
    for _ in 0..100 {
        balancer.record_response_size(1, 9_000);
        balancer.record_response_size(2, 100);
    }
    expect_that!(balancer.expected_response_bytes(1), ge(8_900));
    expect_that!(balancer.expected_response_bytes(2), le(150));
    expect_that!(balancer.expected_response_bytes(3), eq(assumed));
}
