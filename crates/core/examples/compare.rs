//! Compares the load-balancing policies in a queueing model with fixed seeds.
//!
//! Usage: `compare goals|table [SEEDS]`. `goals` prints the ratios of the default policy to the
//! best baseline; `table` prints the results of every policy under every disturbance.

use std::{env, thread};

use plantainpost_core::time::Instant;
use rand::{SeedableRng, rngs::StdRng};

use model::{
    COLD_START, FAST_FAILURE, LATE_REPORTS, Model, NODES, SERVICE, SLOW_PHASES, STUCK_REPORT,
    Topology,
};

#[path = "compare/model.rs"]
mod model;

/// The default policy first, then the baselines.
const POLICIES: [&str; 5] = [
    "predicted-completion",
    "random",
    "round-robin",
    "least-in-flight",
    "two-choices-reported",
];
const TOPOLOGIES: [Topology; 3] = [
    ("4 targets, 1 ms", 4, 4, 1_000),
    ("6 targets, 0.5 ms", 6, 3, 500),
    ("3 targets, 0.5 ms", 3, 3, 500),
];
const DISTURBANCES: [(&str, u32); 12] = [
    ("quiet", 0),
    ("slow phases", SLOW_PHASES),
    ("fast failure", FAST_FAILURE),
    ("report stuck at zero", STUCK_REPORT),
    ("reports 500 ms late", LATE_REPORTS),
    ("cold start", COLD_START),
    ("slow + stuck", SLOW_PHASES | STUCK_REPORT),
    ("slow + late", SLOW_PHASES | LATE_REPORTS),
    ("slow + cold", SLOW_PHASES | COLD_START),
    ("slow + failure", SLOW_PHASES | FAST_FAILURE),
    ("failure + late", FAST_FAILURE | LATE_REPORTS),
    ("cold + stuck", COLD_START | STUCK_REPORT),
];
const LOAD_FACTORS: [f64; 4] = [0.5, 0.8, 0.95, 1.5];
/// Measuring share, 2 %, except where shares are compared.
const MEASURING_SHARE_PERMILLE: u32 = 20;
/// Number of seeds that run concurrently.
const MAX_THREADS: usize = 3;
/// Number of entries that send at the same instant.
const CONCURRENT_ENTRIES: usize = 50;

fn main() {
    let args: Vec<String> = env::args().collect();
    let seeds = args
        .get(2)
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(5);
    match args.get(1).map(String::as_str) {
        Some("table") => print_table(seeds),
        _ => print_goals(seeds),
    }
}

/// Calls `run` with each seed from 1 to `seeds` and returns the median of each figure.
fn median_figures<const N: usize>(seeds: u64, run: impl Fn(u64) -> [f64; N] + Sync) -> [f64; N] {
    let run = &run;
    let seeds: Vec<u64> = (1..=seeds).collect();
    let mut runs: Vec<[f64; N]> = Vec::new();
    for batch in seeds.chunks(MAX_THREADS) {
        thread::scope(|scope| {
            let threads: Vec<_> = batch
                .iter()
                .map(|seed| scope.spawn(|| run(*seed)))
                .collect();
            runs.extend(threads.into_iter().map(|t| t.join().expect("the run ends")));
        });
    }
    std::array::from_fn(|index| {
        let mut values: Vec<f64> = runs.iter().map(|run| run[index]).collect();
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    })
}

/// Returns p99 and p99.9 in milliseconds and the share of failed requests in percent.
fn result_figures(model: &Model) -> [f64; 3] {
    [
        model.latency_ms(0.99),
        model.latency_ms(0.999),
        model.failed_percent(),
    ]
}

fn print_table(seeds: u64) {
    for topology in TOPOLOGIES {
        for (title, disturbances) in DISTURBANCES {
            for load in LOAD_FACTORS {
                println!("\n{}, {title}, load {:.0} %\n", topology.0, load * 100.0);
                println!("| policy | p99 ms | p99.9 ms | failed % |\n| --- | --- | --- | --- |");
                for policy in POLICIES {
                    let run = |seed| {
                        result_figures(&Model::run(
                            topology,
                            disturbances,
                            load,
                            policy,
                            MEASURING_SHARE_PERMILLE,
                            seed,
                        ))
                    };
                    let [p99, p999, failed] = median_figures(seeds, run);
                    println!("| {policy} | {p99:.1} | {p999:.1} | {failed:.2} |");
                }
            }
        }
    }
}

/// Returns p99 of the default policy in milliseconds, the ratios of its p99 and p99.9 to the lowest
/// of a baseline, its share of failed requests and the lowest of a baseline in percent.
fn compare_to_best_baseline(
    topology: Topology,
    disturbances: u32,
    load: f64,
    seed: u64,
) -> [f64; 5] {
    let run = |policy| {
        result_figures(&Model::run(
            topology,
            disturbances,
            load,
            policy,
            MEASURING_SHARE_PERMILLE,
            seed,
        ))
    };
    let [default_policy, baselines @ ..] = POLICIES.map(run);
    let lowest = |index: usize| {
        baselines
            .map(|figures| figures[index])
            .into_iter()
            .fold(f64::MAX, f64::min)
    };
    [
        default_policy[0],
        default_policy[0] / lowest(0),
        default_policy[1] / lowest(1),
        default_policy[2],
        lowest(2),
    ]
}

fn print_goals(seeds: u64) {
    println!("Medians of {seeds} seeds.\n");
    println!(
        "| topology | row | load % | p99 ms | p99 ratio | p99.9 ratio | failed % | least failed % of a baseline |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let rows = [
        ("slow phases", SLOW_PHASES, 0.8),
        ("quiet", 0, 0.5),
        ("fast failure", FAST_FAILURE, 0.5),
    ];
    for topology in TOPOLOGIES {
        for (title, disturbances, load) in rows {
            let [ms, p99, p999, failed, least] = median_figures(seeds, |seed| {
                compare_to_best_baseline(topology, disturbances, load, seed)
            });
            print!("| {} | {title} | {:.0} ", topology.0, load * 100.0);
            println!("| {ms:.1} | {p99:.2} | {p999:.2} | {failed:.2} | {least:.2} |");
        }
    }
    println!("\n| topology | row | p99 at a share of 0.5 % / 5 % |\n| --- | --- | --- |");
    for topology in TOPOLOGIES {
        for (title, disturbances) in [("quiet", 0), ("slow phases", SLOW_PHASES)] {
            let p99 = |share, seed| {
                Model::run(topology, disturbances, 0.8, POLICIES[0], share, seed).latency_ms(0.99)
            };
            let [ratio] = median_figures(seeds, |seed| [p99(5, seed) / p99(50, seed)]);
            println!("| {} | {title} | {ratio:.2} |", topology.0);
        }
    }
    println!("\n| topology | policy | most loaded / mean, 1 request each | 10 requests each |");
    println!("| --- | --- | --- | --- |");
    for topology in TOPOLOGIES {
        for policy in POLICIES {
            let ratios = |seed| {
                [
                    max_to_mean_load(topology, policy, 1, seed),
                    max_to_mean_load(topology, policy, 10, seed),
                ]
            };
            let [one, ten] = median_figures(seeds, ratios);
            println!("| {} | {policy} | {one:.2} | {ten:.2} |", topology.0);
        }
    }
}

/// Returns the ratio of requests at the most loaded target to the mean of all targets when all
/// entries send `batch` requests at the same instant and no answer arrives.
fn max_to_mean_load(topology: Topology, policy: &str, batch: usize, seed: u64) -> f64 {
    let now = Instant::from_millis(60_000);
    let mut rng = StdRng::seed_from_u64(seed);
    let mut counts = vec![0_usize; topology.1];
    for index in 0..CONCURRENT_ENTRIES {
        let mut balancer = model::new_entry(topology, index, policy).balancer;
        for _ in 0..batch {
            let node = balancer
                .choose_target(now, SERVICE, &[], &mut rng)
                .expect("a target");
            balancer.on_request_sent(now, node.as_str());
            let target = NODES.iter().position(|name| *name == node.as_str());
            counts[target.expect("the target is known")] += 1;
        }
    }
    let most = counts.into_iter().max().unwrap_or(0);
    most as f64 * topology.1 as f64 / (batch * CONCURRENT_ENTRIES) as f64
}
