//! Cost of the decisions of an entry on one request, by the number of nodes. To print the figures of
//! a release build:
//! `cargo test --release -p plantainpost-core --test balance decision_cost -- --nocapture`.

use std::{hint::black_box, time::Instant as Clock};

use googletest::prelude::*;
use plantainpost_core::{
    balance::{Balancer, RequestOutcome, TargetQuery, TargetView, WaitingRequest},
    eligibility::{AllowedRegions, RequestScope},
    ids::Region,
};
use rand::rngs::StdRng;

use super::{
    DATA_CENTRES, DEFAULT_POLICY, LATER, SERVICE, complete_request, load_sample, new_balancer,
    seeded_rng,
};

const NODE_COUNTS: [usize; 2] = [30, 300];
/// Largest ratio of the time with more nodes to that with fewer.
const MAX_TIME_RATIO: f64 = 1.2;
/// Largest ratio of the memory for each node. Other tests in the process use memory too.
const MAX_MEMORY_RATIO: f64 = 1.5;
/// Batches of each size, in alternation. The median of the ratios counts: other processes slow down
/// single batches, or both sizes alike.
const BATCHES: usize = 400;
const DECISIONS: u32 = 20;
/// Targets of all balancers that are built to determine the memory of one.
const TARGETS_IN_MEMORY: usize = 30_000;

/// Returns an entry with samples of all targets of one service.
fn balancer_of(nodes: usize) -> Balancer {
    let names: Vec<String> = (0..nodes)
        .map(|index| format!("n-{index:03}.fleet"))
        .collect();
    let views = names.iter().enumerate().map(|(index, node)| TargetView {
        node,
        data_centre: DATA_CENTRES[index % DATA_CENTRES.len()],
        // 22 of 30 targets are in the south, more than an entry uses.
        region: match index / DATA_CENTRES.len() % 4 {
            0 => "north",
            _ => "south",
        },
        slots: 12,
        weight: 1,
        draining: false,
        evacuated: false,
        stopping: false,
    });
    let mut balancer = new_balancer("e-1", DATA_CENTRES[0], DEFAULT_POLICY);
    balancer.set_targets(LATER, SERVICE, &views.collect::<Vec<_>>());
    for node in &names {
        balancer.on_probe_reply(LATER, node, 400, load_sample(2, 0));
    }
    balancer
}

/// Makes the decisions on one request that may be hedged, and records its end.
fn decide(balancer: &mut Balancer, regions: AllowedRegions<'_>, rng: &mut StdRng) {
    let now = LATER.saturating_add_millis(10);
    let scope = RequestScope {
        regions,
        ..RequestScope::default()
    };
    let query = TargetQuery {
        service: SERVICE,
        bytes: 500,
        due: Some(now.saturating_add_millis(600)),
        scope,
    };
    let request = WaitingRequest {
        deadline: now.saturating_add_millis(1_000),
        priority: 0,
    };
    black_box(balancer.is_too_cold(now, SERVICE, &scope, &request));
    let node = balancer.choose_target_for(now, &query, rng);
    let node = node.expect("there are targets");
    black_box(balancer.startable_targets(now, SERVICE, regions).count());
    black_box(balancer.is_slow(now, node.as_str(), regions));
    complete_request(balancer, now, node.as_str(), RequestOutcome::Answered);
}

/// Guards against decisions that look at all nodes of a large service, of which an entry uses 20.
#[gtest]
fn decision_cost_does_not_grow_with_the_nodes() {
    let south = [Region::from("south")];
    let in_south = AllowedRegions {
        route: &south,
        ..AllowedRegions::default()
    };
    let mut rng = seeded_rng();
    for (name, regions) in [
        ("all regions", AllowedRegions::default()),
        ("one region", in_south),
    ] {
        let mut balancers = NODE_COUNTS.map(balancer_of);
        let mut nanos = [f64::INFINITY; 2];
        let mut ratios: Vec<f64> = Vec::new();
        for _ in 0..BATCHES {
            let pair = balancers.each_mut().map(|balancer| {
                let start = Clock::now();
                for _ in 0..DECISIONS {
                    decide(balancer, regions, &mut rng);
                }
                start.elapsed().as_nanos() as f64 / f64::from(DECISIONS)
            });
            ratios.push(pair[1] / pair[0]);
            nanos = [nanos[0].min(pair[0]), nanos[1].min(pair[1])];
        }
        ratios.sort_by(f64::total_cmp);
        let ratio = ratios[BATCHES / 2];
        println!("{name}: {nanos:.0?} ns per decision at {NODE_COUNTS:?} nodes, ratio {ratio:.2}");
        expect_that!(ratio, le(MAX_TIME_RATIO), "{name}");
    }
}

/// Guards against decisions that keep memory, and against state of an entry that grows faster than the
/// number of nodes.
#[gtest]
fn decision_memory_is_bounded() {
    let mut rng = seeded_rng();
    // All are kept, so that freed memory does not serve those built later.
    let mut all: Vec<Vec<Balancer>> = Vec::new();
    let per_node = NODE_COUNTS.map(|nodes| {
        let count = TARGETS_IN_MEMORY / nodes;
        let before = resident_bytes();
        let mut balancers: Vec<Balancer> = (0..count).map(|_| balancer_of(nodes)).collect();
        let built = resident_bytes();
        for balancer in &mut balancers {
            for _ in 0..DECISIONS {
                decide(balancer, AllowedRegions::default(), &mut rng);
            }
        }
        let kept = (resident_bytes() - built) / count as f64;
        let bytes = (built - before) / count as f64;
        println!("{nodes} nodes: {bytes:.0} bytes, and {kept:.0} more after the decisions");
        expect_that!(kept / bytes, le(MAX_MEMORY_RATIO - 1.0), "{nodes}");
        all.push(balancers);
        bytes / nodes as f64
    });
    expect_that!(per_node[1] / per_node[0], le(MAX_MEMORY_RATIO));
}

/// Returns the resident set size of this process, with pages of 4 KiB.
fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("the file of the kernel");
    let pages = statm.split(' ').nth(1).and_then(|n| n.parse::<f64>().ok());
    pages.expect("a number of pages") * 4_096.0
}
