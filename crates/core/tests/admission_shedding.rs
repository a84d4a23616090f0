//! Replays of heavy loads at one target, under the order of shedding and under others.

mod shedding_model;

use std::ops::Range;

use googletest::prelude::*;
use shedding_model::{Load, Order, Outcome, Simulation, Stream};

const SEEDS: Range<u64> = 0..4;

/// Seeds for the comparison of levels with few requests, whose shares vary by 5 in 100 in 4 seeds.
const MANY_SEEDS: Range<u64> = 0..40;

const BASE: Stream = Stream {
    class: 1,
    priority: 0,
    workspace: 0,
    per_second: 1.0,
    service_us: 250_000,
    due_us: 700_000,
    timeout_us: 1_500_000,
    burst: (1.7, 3_500_000),
};

/// Reads and orders at the targets of 18 slots, at half of their number.
fn reads_and_orders() -> Load {
    let reads = Stream {
        per_second: 419.0,
        service_us: 260_000,
        ..BASE
    };
    let orders = Stream {
        class: 2,
        priority: 1,
        per_second: 180.0,
        service_us: 330_000,
        due_us: 900_000,
        timeout_us: 2_000_000,
        ..BASE
    };
    Load {
        name: "reads and orders",
        slots: 18,
        is_exponential: false,
        streams: vec![reads, orders],
    }
}

/// The calls of the reads and the uploads.
fn calls_and_uploads() -> Load {
    let calls = Stream {
        class: 3,
        per_second: 419.0 * 0.7 * 2.0,
        service_us: 64_000,
        due_us: 250_000,
        timeout_us: 700_000,
        ..BASE
    };
    let uploads = Stream {
        class: 4,
        priority: 2,
        per_second: 40.0,
        service_us: 310_000,
        due_us: 1_000_000,
        timeout_us: 3_000_000,
        burst: (2.1, 5_600_000),
        ..BASE
    };
    Load {
        name: "calls and uploads",
        slots: 18,
        is_exponential: false,
        streams: vec![calls, uploads],
    }
}

/// Index of the calls in [`three_levels`].
const CALLS: usize = 2;

/// All of the above at the same targets: three levels.
fn three_levels() -> Load {
    let mut streams = reads_and_orders().streams;
    streams.extend(calls_and_uploads().streams);
    Load {
        name: "three levels",
        slots: 18,
        is_exponential: false,
        streams,
    }
}

/// Targets of 9 slots with their calls, less urgent ones among them.
fn small_targets() -> Load {
    let shifts = Stream {
        per_second: 60.0,
        ..BASE
    };
    let advances = Stream {
        class: 2,
        priority: 1,
        per_second: 29.0,
        ..BASE
    };
    let calls = Stream {
        class: 3,
        per_second: 89.0,
        service_us: 55_000,
        due_us: 200_000,
        timeout_us: 600_000,
        ..BASE
    };
    Load {
        name: "small targets",
        slots: 9,
        is_exponential: false,
        streams: vec![shifts, advances, calls],
    }
}

/// Returns the outcomes of the streams over all seeds.
fn run(load: &Load, order: Order, seeds: Range<u64>) -> Vec<Outcome> {
    let mut sums = vec![Outcome::default(); load.streams.len()];
    for seed in seeds {
        let outcomes = Simulation::new(load, order, seed).run();
        for (sum, outcome) in sums.iter_mut().zip(&outcomes) {
            sum.add(outcome);
        }
    }
    sums
}

fn lost_value(load: &Load, outcomes: &[Outcome]) -> f64 {
    let streams = load.streams.iter().zip(outcomes);
    streams
        .map(|(stream, outcome)| outcome.lost_value(stream.priority))
        .sum()
}

/// Returns the outcome of each priority level that has requests.
fn by_level(load: &Load, outcomes: &[Outcome]) -> Vec<Outcome> {
    let mut levels = vec![Outcome::default(); 3];
    for (stream, outcome) in load.streams.iter().zip(outcomes) {
        levels[stream.priority as usize].add(outcome);
    }
    levels.retain(|level| level.offered > 0.0);
    levels
}

fn heavy_loads() -> Vec<Load> {
    let loads = [
        reads_and_orders(),
        calls_and_uploads(),
        three_levels(),
        small_targets(),
    ];
    let shares = [0.7, 0.9];
    let at_shares = |load: &Load| shares.map(|share| load.clone().at_usual_load(share));
    loads.iter().flat_map(at_shares).collect()
}

/// Returns a load of many workspaces, whose priorities differ.
fn workspaces_of_three_levels() -> Load {
    let stream = |index: u32| Stream {
        workspace: index + 1,
        priority: index % 3,
        per_second: 1.0 / f64::from(index + 1),
        ..BASE
    };
    Load {
        name: "workspaces of three levels",
        slots: 18,
        is_exponential: false,
        streams: (0..48).map(stream).collect(),
    }
}

/// Guards against less urgent requests that are served better than more urgent ones, and against
/// levels that get nothing.
#[gtest]
fn urgent_levels_are_served_best_and_none_starves() {
    let mut loads = heavy_loads();
    // The most urgent level alone exceeds the capacity.
    loads.push(reads_and_orders().at_usual_load(1.2));
    loads.push(three_levels().at_usual_load(1.2));
    loads.push(workspaces_of_three_levels().at_usual_load(0.8));
    loads.push(workspaces_of_three_levels().at_usual_load(1.2));
    for load in loads {
        let seeds = match load.streams.len() {
            4 => MANY_SEEDS,
            _ => SEEDS,
        };
        let levels = by_level(&load, &run(&load, Order::Shedding, seeds));
        println!("{}: {levels:?}", load.name);
        for pair in levels.windows(2) {
            let lead = pair[1].served() - pair[0].served();
            expect_that!(lead, le(0.05), "{}: {levels:?}", load.name);
        }
        for level in &levels {
            expect_that!(level.served(), ge(0.1), "{}: {levels:?}", load.name);
        }
    }
}

/// Returns a load of workspaces of the given usual rates, the first of which sends 7 times its usual.
fn hot_workspace(name: &'static str, rates: &[f64]) -> Load {
    let stream = |(index, rate): (usize, &f64)| Stream {
        workspace: index as u32 + 1,
        per_second: *rate,
        burst: (if index == 0 { 7.0 } else { 1.0 }, 6_000_000),
        ..BASE
    };
    let streams = rates.iter().enumerate().map(stream).collect();
    Load {
        name,
        slots: 18,
        is_exponential: false,
        streams,
    }
    .at_usual_load(0.7)
}

/// Returns a load of two workspaces of different priority, each of which could use the whole capacity.
fn unequal_workspaces() -> Load {
    let streams = [(0, 1.3), (2, 1.2)].map(|(priority, per_second)| Stream {
        workspace: priority + 1,
        priority,
        per_second,
        burst: (1.0, 6_000_000),
        ..BASE
    });
    Load {
        name: "unequal",
        slots: 18,
        is_exponential: false,
        streams: streams.to_vec(),
    }
    .at_usual_load(2.5)
}

/// Returns a load in which the requests without a workspace, which go first, exceed the capacity.
fn hot_requests_without_workspace() -> Load {
    let mut load = hot_workspace("without workspace", &[1.0; 4]);
    load.streams[0].workspace = 0;
    load
}

/// Guards against a workspace that takes the capacity of others in a burst, and against equal shares
/// under which large workspaces get too little.
#[gtest]
fn no_workspace_is_served_a_quarter_as_often_as_all() {
    let mut many = vec![8.0; 1];
    many.extend((0..40).map(|index| 8.0 / f64::from(index + 1)));
    for load in [
        hot_workspace("equal", &[1.0; 8]),
        hot_workspace(
            "large one among small ones",
            &[1.0, 8.0, 0.5, 0.5, 0.5, 0.5],
        ),
        hot_workspace("hot one is the largest", &[6.0, 1.0, 1.0, 1.0, 1.0]),
        hot_workspace("many", &many),
        unequal_workspaces(),
        hot_requests_without_workspace(),
    ] {
        let outcomes = run(&load, Order::Shedding, SEEDS);
        let mut all = Outcome::default();
        outcomes.iter().for_each(|outcome| all.add(outcome));
        println!("{}: all {:.2}", load.name, all.served());
        for (index, outcome) in outcomes.iter().enumerate() {
            let relative = outcome.served() / all.served();
            println!("    {:.2} {outcome:?}", relative);
            expect_that!(relative, ge(0.25), "{} {index}", load.name);
            // The others lose nothing to a hot workspace if their usual rate is within their share.
            let [hot, stream] = [&load.streams[0], &load.streams[index]];
            let is_small = stream.per_second <= hot.per_second;
            if index > 0 && is_small && hot.burst.0 > 1.0 && hot.workspace != 0 {
                expect_that!(relative, ge(1.0), "{} {index}", load.name);
            }
        }
    }
}

/// Guards against a rule that refuses the requests that callers need most.
#[gtest]
fn shedding_loses_least_value() {
    let loads = heavy_loads();
    let exponential = loads.clone().into_iter().map(|load| Load {
        is_exponential: true,
        ..load
    });
    for load in loads.iter().cloned().chain(exponential) {
        let lost = |order| {
            let outcomes = run(&load, order, SEEDS);
            println!(
                "{} {order:?}: lost {:.1}",
                load.name,
                lost_value(&load, &outcomes)
            );
            for level in by_level(&load, &outcomes) {
                println!("    {:.2} served, {level:?}", level.served());
            }
            lost_value(&load, &outcomes)
        };
        let shedding = lost(Order::Shedding);
        for order in [Order::EarliestDeadline, Order::ShortestJob, Order::Present] {
            expect_that!(shedding, le(lost(order)), "{} {order:?}", load.name);
        }
    }
}

/// Guards against calls for running reads that are lost in favour of new reads of the same priority. A
/// read whose calls are lost has run in vain.
#[gtest]
fn calls_of_running_work_are_served_first() {
    // Calls whose latency target is shorter than that of reads go first in any case.
    for due_us in [250_000, 2_000_000] {
        for usual in [0.9, 1.1] {
            // Without the distinction, all requests are charged to the share of the calls.
            let [mixed, calls_first] = [0, 1].map(|share| {
                let mut load = three_levels().at_usual_load(usual);
                for (index, stream) in load.streams.iter_mut().enumerate() {
                    stream.workspace = if index == CALLS { 0 } else { share };
                }
                load.streams[CALLS].due_us = due_us;
                load.streams[CALLS].timeout_us = due_us + 1_000_000;
                let outcomes = run(&load, Order::Shedding, SEEDS);
                let served: Vec<f64> = outcomes.iter().map(Outcome::served).collect();
                let lost = lost_value(&load, &outcomes);
                println!("calls due after {due_us} us, {usual}: {served:.3?}, lost {lost:.0}");
                served
            });
            expect_that!(calls_first[CALLS], ge(0.99), "{due_us} {usual}");
            expect_that!(calls_first[CALLS], ge(mixed[CALLS]), "{due_us} {usual}");
            // The less urgent levels pay nothing for it.
            for index in [1, 3] {
                expect_that!(calls_first[index], ge(mixed[index] - 0.01), "{index}");
            }
        }
    }
}
