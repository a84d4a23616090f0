//! Measures the policies against each other in a seeded queueing model.
//!
//! Usage: `compare goals|table [SEEDS]`. `goals` prints the ratios of the product's
//! policy to the best baseline; `table` prints every policy in every row.

use std::{env, thread};

use plantainpost_core::time::Instant;
use rand::{SeedableRng, rngs::StdRng};

use model::{COLD, FAILURE, LATE, Model, NODES, SERVICE, SLOW, STUCK, Topology};

#[path = "compare/model.rs"]
mod model;

/// The product's policy first, then the baselines.
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
const ROWS: [(&str, u32); 12] = [
    ("quiet", 0),
    ("slow phases", SLOW),
    ("fast failure", FAILURE),
    ("report stuck at zero", STUCK),
    ("reports 500 ms late", LATE),
    ("cold start", COLD),
    ("slow + stuck", SLOW | STUCK),
    ("slow + late", SLOW | LATE),
    ("slow + cold", SLOW | COLD),
    ("slow + failure", SLOW | FAILURE),
    ("failure + late", FAILURE | LATE),
    ("cold + stuck", COLD | STUCK),
];
const LOADS: [f64; 4] = [0.5, 0.8, 0.95, 1.5];
/// Measuring share unless the row compares shares: 2 %.
const SHARE_PERMILLE: u32 = 20;
/// Seeds that run at the same time.
const THREADS: usize = 3;
/// Entries that choose at once.
const HERD_ENTRIES: usize = 50;

fn main() {
    let args: Vec<String> = env::args().collect();
    let seeds = args
        .get(2)
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(5);
    match args.get(1).map(String::as_str) {
        Some("table") => table(seeds),
        _ => goals(seeds),
    }
}

/// Runs `seeds` seeds and returns the median of each figure.
fn medians<const N: usize>(seeds: u64, figures: impl Fn(u64) -> [f64; N] + Sync) -> [f64; N] {
    let figures = &figures;
    let seeds: Vec<u64> = (1..=seeds).collect();
    let mut runs: Vec<[f64; N]> = Vec::new();
    for batch in seeds.chunks(THREADS) {
        thread::scope(|scope| {
            let threads: Vec<_> = batch
                .iter()
                .map(|seed| scope.spawn(|| figures(*seed)))
                .collect();
            runs.extend(threads.into_iter().map(|t| t.join().expect("the run ends")));
        });
    }
    std::array::from_fn(|index| {
        let mut column: Vec<f64> = runs.iter().map(|run| run[index]).collect();
        column.sort_by(f64::total_cmp);
        column[column.len() / 2]
    })
}

fn figures(model: &Model) -> [f64; 3] {
    [model.ms(0.99), model.ms(0.999), model.failed_percent()]
}

fn table(seeds: u64) {
    for topology in TOPOLOGIES {
        for (title, row) in ROWS {
            for load in LOADS {
                println!("\n{}, {title}, load {:.0} %\n", topology.0, load * 100.0);
                println!("| policy | p99 ms | p99.9 ms | failed % |\n| --- | --- | --- | --- |");
                for policy in POLICIES {
                    let run = |seed| {
                        figures(&Model::run(
                            topology,
                            row,
                            load,
                            policy,
                            SHARE_PERMILLE,
                            seed,
                        ))
                    };
                    let [p99, p999, failed] = medians(seeds, run);
                    println!("| {policy} | {p99:.1} | {p999:.1} | {failed:.2} |");
                }
            }
        }
    }
}

/// Returns p99, the ratios of p99 and p99.9 to the best baseline, and the failed shares of
/// the product's policy and of that baseline.
fn against_best(topology: Topology, row: u32, load: f64, seed: u64) -> [f64; 5] {
    let run = |policy| {
        figures(&Model::run(
            topology,
            row,
            load,
            policy,
            SHARE_PERMILLE,
            seed,
        ))
    };
    let [product, baselines @ ..] = POLICIES.map(run);
    let best = |index: usize| {
        baselines
            .map(|f| f[index])
            .into_iter()
            .fold(f64::MAX, f64::min)
    };
    [
        product[0],
        product[0] / best(0),
        product[1] / best(1),
        product[2],
        best(2),
    ]
}

fn goals(seeds: u64) {
    println!("Medians of {seeds} seeds.\n");
    println!(
        "| topology | row | load % | p99 ms | p99 ratio | p99.9 ratio | failed % | least failed % of a baseline |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let rows = [
        ("slow phases", SLOW, 0.8),
        ("quiet", 0, 0.5),
        ("fast failure", FAILURE, 0.5),
    ];
    for topology in TOPOLOGIES {
        for (title, row, load) in rows {
            let [ms, p99, p999, failed, least] =
                medians(seeds, |seed| against_best(topology, row, load, seed));
            print!("| {} | {title} | {:.0} ", topology.0, load * 100.0);
            println!("| {ms:.1} | {p99:.2} | {p999:.2} | {failed:.2} | {least:.2} |");
        }
    }
    println!("\n| topology | row | p99 at a share of 0.5 % / 5 % |\n| --- | --- | --- |");
    for topology in TOPOLOGIES {
        for (title, row) in [("quiet", 0), ("slow phases", SLOW)] {
            let p99 =
                |share, seed| Model::run(topology, row, 0.8, POLICIES[0], share, seed).ms(0.99);
            let [ratio] = medians(seeds, |seed| [p99(5, seed) / p99(50, seed)]);
            println!("| {} | {title} | {ratio:.2} |", topology.0);
        }
    }
    println!("\n| topology | policy | most loaded / mean, 1 request each | 10 requests each |");
    println!("| --- | --- | --- | --- |");
    for topology in TOPOLOGIES {
        for policy in POLICIES {
            let herd = |seed| {
                [
                    herd(topology, policy, 1, seed),
                    herd(topology, policy, 10, seed),
                ]
            };
            let [one, ten] = medians(seeds, herd);
            println!("| {} | {policy} | {one:.2} | {ten:.2} |", topology.0);
        }
    }
}

/// Returns the requests of the most loaded target against the mean, when all entries
/// send `batch` requests at the same instant without any answer.
fn herd(topology: Topology, policy: &str, batch: usize, seed: u64) -> f64 {
    let now = Instant::from_millis(60_000);
    let mut rng = StdRng::seed_from_u64(seed);
    let mut counts = vec![0_usize; topology.1];
    for index in 0..HERD_ENTRIES {
        let mut balancer = model::entry(topology, index, policy).balancer;
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
    most as f64 * topology.1 as f64 / (batch * HERD_ENTRIES) as f64
}
