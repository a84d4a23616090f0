//! Simulates the membership protocol of a whole fleet in virtual time and prints a table
//! of the results.
//!
//! Usage: `membership [members] [seed] [scenario…]`; without scenarios all are run.
//! The scenario `cost` prints processor time per message and memory per member.

mod cost;
mod sim;

use sim::{
    Network, Sim,
    scenario::{self, Report},
};

/// Time from the start of the fleet to the start of a scenario. At 860 members, it takes
/// about 400 s until the initial records have left the piggyback queue.
const WARM_UP_MS: u64 = 420_000;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number = |at: usize, default| args.get(at).and_then(|a| a.parse().ok()).unwrap_or(default);
    let (members, seed) = (number(0, 860) as usize, number(1, 1));
    if args.get(2).is_some_and(|a| a == "cost") {
        return cost::print(members);
    }
    println!(
        "{:<26} {:>5} {:>5} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}",
        "scenario",
        "n",
        "seed",
        "max ms",
        "mean ms",
        "raised",
        "f.susp",
        "f.dead",
        "B/s",
        "max B/s",
        "remote"
    );
    for (name, run) in SCENARIOS {
        if args.len() > 2 && !args[2..].iter().any(|a| a == name) {
            continue;
        }
        let started = std::time::Instant::now();
        let (mut sim, start) = scenario::cold_start(members, Network::default(), seed);
        if *name != "cold-start" {
            sim.run_ms(WARM_UP_MS);
            sim.observed.clear();
        }
        let report = run(&mut sim, &start);
        let wall = started.elapsed().as_secs_f32();
        println!("{name:<26} {members:>5} {seed:>5} {report}  ({wall:.0} s)");
    }
}

type ScenarioFn = fn(&mut Sim, &Report) -> Report;

const SCENARIOS: &[(&str, ScenarioFn)] = &[
    ("cold-start", |_, start| start.clone()),
    ("late-contacts-half", |sim, _| {
        scenario::start_with_late_contacts(sim.nodes.len(), sim.nodes.len() / 2, 1)
    }),
    ("late-contacts-all", |sim, _| {
        scenario::start_with_late_contacts(sim.nodes.len(), sim.nodes.len(), 1)
    }),
    ("steady-300s", |sim, _| scenario::steady(sim, 300)),
    ("suspected", |sim, _| scenario::suspect(sim, 7)),
    ("dead", |sim, _| scenario::kill(sim, &[7])),
    ("drain", |sim, _| {
        scenario::drain(sim, &(0..sim.nodes.len().min(30)).collect::<Vec<_>>())
    }),
    ("data-centre-lost", |sim, _| {
        scenario::kill(sim, &one_data_centre(sim))
    }),
    ("data-centre-back", |sim, _| {
        let lost = one_data_centre(sim);
        scenario::kill(sim, &lost);
        sim.run_ms(60_000);
        scenario::restart_all(sim, &lost)
    }),
    ("new-version", |sim, _| scenario::new_version(sim)),
    ("frozen-30s", |sim, _| scenario::freeze(sim, 9, 30)),
    ("replace-130", |sim, _| scenario::replace(sim, 130, 5_000)),
    ("cut-60s", |sim, _| {
        scenario::partition(sim, sim.nodes.len() / 2, 60)
    }),
    ("cut-1h", |sim, _| {
        scenario::partition(sim, sim.nodes.len() / 2, 3_600)
    }),
];

/// Returns the nodes of one data centre, which is a quarter of the fleet, without the
/// contacts.
fn one_data_centre(sim: &Sim) -> Vec<usize> {
    (4..sim.nodes.len()).filter(|i| i % 4 == 1).collect()
}
