//! Randomised runs of a fleet with a faulty network, against the bounds on the use of a quota.

use googletest::prelude::*;
use plantainpost_core::workspace::QuotaLimit;
use rand::RngExt;

use crate::sim::{Load, Sim, limit};

/// Length of a window of the bound, in milliseconds.
const WINDOW_MS: u64 = 5_000;

/// Returns the largest number of requests that ran in a window from `from` on, and the bound.
fn worst_window(sim: &Sim, from: u64) -> (u64, f64) {
    let runs: Vec<u64> = sim.runs.iter().copied().filter(|at| *at >= from).collect();
    let mut worst = 0;
    let mut first = 0;
    for (last, at) in runs.iter().enumerate() {
        while runs[first] + WINDOW_MS < *at {
            first += 1;
        }
        worst = worst.max(last + 1 - first);
    }
    (worst as u64, bound(sim.limit))
}

/// The bound on requests that run in a window: the limit, a tenth, and 20 requests.
fn bound(limit: QuotaLimit) -> f64 {
    let rate = limit.per_1000_s as f64 / 1_000.0;
    (rate * WINDOW_MS as f64 / 1_000.0 + limit.burst as f64) * 1.1 + 20.0
}

/// Rates and bursts of workspaces: the smallest, usual ones and a large one.
const LIMITS: [(f64, u64); 5] = [(1.0, 2), (8.0, 10), (30.0, 0), (60.0, 120), (400.0, 300)];

/// Guards against refusals below the limit while all nodes are connected.
#[gtest]
fn steady_load_below_the_limit_is_not_refused() {
    for (rate, burst) in [(1.0, 2), (8.0, 10), (30.0, 20), (60.0, 120), (400.0, 300)] {
        let mut sim = Sim::new(7, 64, limit(rate, burst));
        (sim.loss, sim.duplicates) = (0.01, 0.01);
        sim.run_until(6_000);
        sim.load = Load {
            requests_per_s: rate * 0.6,
            not_run: 0.0,
        };
        let seconds = if rate < 10.0 { 300 } else { 30 };
        sim.run_until(6_000 + seconds * 1_000);
        let (ran, refused) = (sim.runs.len(), sim.refused.len());
        println!(
            "{rate}/s: ran {ran}, refused {refused}, alone {}, messages {}",
            sim.alone, sim.messages
        );
        expect_that!(
            refused * 200,
            lt(ran + refused),
            "{rate}/s: {refused} of {ran}"
        );
    }
}

/// Guards against a network or a fault that lets more requests run than the limit.
#[gtest]
fn faults_never_break_the_bound() {
    for seed in 0..8 {
        for (rate, burst) in LIMITS {
            let mut sim = Sim::new(seed, 24, limit(rate, burst));
            (sim.loss, sim.duplicates) = (0.05, 0.05);
            sim.run_until(5_000);
            let mut events = String::new();
            for _ in 0..8 {
                let factor = [0.6, 2.0, 5.0][sim.rng.random_range(0..3)];
                let not_run = [0.0, 0.3][sim.rng.random_range(0..2)];
                sim.load = Load {
                    requests_per_s: rate * factor,
                    not_run,
                };
                let event = sim.random_fault();
                events.push_str(&format!("{} {event} x{factor}; ", sim.now));
                let until = sim.now + sim.rng.random_range(500..9_000);
                sim.run_until(until);
            }
            let (worst, bound) = worst_window(&sim, 0);
            expect_that!(
                worst as f64,
                le(bound),
                "seed {seed}, {rate}/s + {burst}: {events}"
            );
        }
    }
}

/// Guards against a lowered limit that is not binding after one window, partitioned or not.
#[gtest]
fn a_lowered_limit_binds_after_one_window() {
    for is_partitioned in [false, true] {
        let mut sim = Sim::new(3, 24, limit(60.0, 120));
        sim.run_until(5_000);
        sim.connected = !is_partitioned;
        sim.load = Load {
            requests_per_s: 200.0,
            not_run: 0.0,
        };
        sim.run_until(20_000);
        sim.limit = limit(6.0, 5);
        sim.run_until(40_000);
        let (worst, bound) = worst_window(&sim, 20_000 + WINDOW_MS);
        expect_that!(worst as f64, le(bound), "partitioned: {is_partitioned}");
        expect_that!(worst, ge(15), "partitioned: {is_partitioned}");
    }
}

/// Guards against a limit that is not used fully while a workspace asks for more than it.
#[gtest]
fn a_workspace_above_its_limit_gets_all_of_it() {
    for (rate, burst) in [(8.0, 10), (30.0, 20), (78.0, 78), (400.0, 300)] {
        for factor in [1.2, 1.5, 4.0] {
            let mut sim = Sim::new(11, 64, limit(rate, burst));
            (sim.loss, sim.duplicates) = (0.01, 0.01);
            sim.run_until(6_000);
            sim.load = Load {
                requests_per_s: rate * factor,
                not_run: 0.0,
            };
            sim.run_until(26_000);
            let ran = sim.runs.len() as f64;
            println!("{rate}/s x {factor}: ran {ran} of {}", rate * 20.0);
            expect_that!(ran, ge(rate * 20.0 * 0.95), "{rate}/s x {factor}");
        }
    }
}
