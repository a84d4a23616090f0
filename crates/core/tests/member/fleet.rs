//! Simulated fleets under loss, delay, duplication, reordering, partitions and freezes.
//!
//! The bounds are the goals of the design page where it gives one. The others follow from
//! the settings: a member is probed at least once per round of `n` probe intervals, has 5 s
//! to refute a suspicion, and a change known to one node reaches all nodes within 3 s.

use std::time::Instant;

use crate::sim::{
    Network, Sim,
    scenario::{self, Report},
};
use googletest::prelude::*;

/// Limit of control traffic per node, sent and received together.
const MAX_BYTES_PER_SECOND: u64 = 21_000;

/// Longest time until all members know that a target is leaving.
const MAX_PROPAGATION_MS: u64 = 3_000;

/// Longest time until reconnected halves agree: each node probes a dead member or a contact
/// every 10 s, and one minute covers several such probes and the syncs that follow.
const MAX_CONVERGENCE_MS: u64 = 60_000;

/// Returns the longest time until a death is known to all: a round of probes, the suspicion
/// timeout, and the dissemination.
const fn max_death_ms(n: u64) -> u64 {
    n * 1_000 + 1_000 + 5_000 + MAX_PROPAGATION_MS
}

/// One run of a scenario, and its time limit.
struct Row {
    name: &'static str,
    n: usize,
    network: Network,
    seed: u64,
    run: fn(&mut Sim) -> Report,
    max_ms: u64,
}

fn lossy() -> Network {
    Network::default()
}

/// Returns a network with duplicates, and with delays that reorder most datagrams, as
/// between regions.
fn reordering() -> Network {
    Network {
        loss_permille: 20,
        duplicate_permille: 100,
        delay_us: 300..=150_000,
    }
}

fn check(rows: &[Row]) -> Result<()> {
    for row in rows {
        let started = Instant::now();
        let (mut sim, _) = scenario::cold_start(row.n, row.network.clone(), row.seed);
        let report = (row.run)(&mut sim);
        let wall = started.elapsed().as_secs_f32();
        println!(
            "{} n={} seed={}: {report} ({wall:.1} s)",
            row.name, row.n, row.seed
        );
        let at = || format!("{} n={} seed={}", row.name, row.n, row.seed);
        verify_that!(report.reached_ms, some(le(row.max_ms))).with_failure_message(at)?;
        verify_that!(report.false_deaths, eq(0)).with_failure_message(at)?;
        verify_that!(report.mean_bytes_per_second, le(MAX_BYTES_PER_SECOND))
            .with_failure_message(at)?;
    }
    Ok(())
}

/// Guards against traffic above the limit, and against members that are declared dead only
/// because datagrams were lost.
#[gtest]
fn steady_fleet_stays_within_its_traffic_limit() -> Result<()> {
    let run = |sim: &mut Sim| scenario::steady(sim, 300);
    let row = |n, network, seed| Row {
        name: "steady",
        n,
        network,
        seed,
        run,
        max_ms: 300_000,
    };
    check(&[
        row(10, lossy(), 11),
        row(10, reordering(), 12),
        row(60, reordering(), 13),
    ])
}

/// Guards against killed members that other members keep using.
#[gtest]
fn killed_member_is_declared_dead() -> Result<()> {
    let row = |n: usize, network, seed| Row {
        name: "kill",
        n,
        network,
        seed,
        run: |sim| scenario::kill(sim, &[1]),
        max_ms: max_death_ms(n as u64),
    };
    check(&[
        row(2, lossy(), 21),
        row(10, lossy(), 22),
        row(10, reordering(), 23),
        row(100, lossy(), 24),
    ])
}

/// Guards against a suspicion of a killed member that is not disseminated.
#[gtest]
fn suspicion_reaches_all_members() -> Result<()> {
    let row = |n: usize, network, seed| Row {
        name: "suspected",
        n,
        network,
        seed,
        run: |sim| scenario::suspect(sim, 2),
        max_ms: max_death_ms(n as u64) - 5_000,
    };
    check(&[row(10, reordering(), 31), row(100, lossy(), 32)])
}

/// Guards against new work that is sent to a leaving target after 3 s.
#[gtest]
fn draining_target_is_known_to_all_in_time() -> Result<()> {
    let run = |sim: &mut Sim| scenario::drain(sim, &[0, 1, 2, 3, 4]);
    let row = |n, network, seed| Row {
        name: "drain",
        n,
        network,
        seed,
        run,
        max_ms: MAX_PROPAGATION_MS,
    };
    check(&[
        row(10, lossy(), 41),
        row(10, reordering(), 42),
        row(100, reordering(), 43),
    ])
}

/// Guards against a fleet that stays partitioned after the network recovers, or whose
/// halves then declare live members dead.
#[gtest]
fn partitioned_halves_converge_after_reconnection() -> Result<()> {
    let row = |n, seconds, network, seed| Row {
        name: "cut",
        n,
        network,
        seed,
        run: match seconds {
            3_600 => |sim| scenario::partition(sim, sim.nodes.len() / 2, 3_600),
            _ => |sim| scenario::partition(sim, sim.nodes.len() / 2, 40),
        },
        max_ms: MAX_CONVERGENCE_MS,
    };
    check(&[
        row(10, 3_600, lossy(), 51),
        row(10, 40, reordering(), 52),
        row(60, 40, lossy(), 53),
    ])
}

/// Guards against a frozen process that declares other members dead when it resumes, or
/// that does not refute its own death.
#[gtest]
fn frozen_member_rejoins() -> Result<()> {
    let row = |n, seconds, network, seed| Row {
        name: "frozen",
        n,
        network,
        seed,
        run: match seconds {
            3 => |sim| scenario::freeze(sim, 5, 3),
            _ => |sim| scenario::freeze(sim, 5, 40),
        },
        max_ms: MAX_CONVERGENCE_MS,
    };
    check(&[
        row(10, 3, lossy(), 61),
        row(10, 40, reordering(), 62),
        row(60, 40, lossy(), 63),
    ])
}

/// Guards against replaced hosts whose old addresses stay in use.
#[gtest]
fn replacement_hosts_take_over_the_names() -> Result<()> {
    let row = |n, network, seed| Row {
        name: "replace",
        n,
        network,
        seed,
        run: |sim| scenario::replace(sim, 130, 3_000),
        max_ms: max_death_ms(0),
    };
    check(&[row(12, lossy(), 71), row(12, reordering(), 72)])
}

/// Guards against members that restart together and stay unknown to each other.
#[gtest]
fn members_that_restart_together_are_known() -> Result<()> {
    let run = |sim: &mut Sim| {
        let lost: Vec<usize> = (4..sim.nodes.len()).step_by(4).collect();
        scenario::kill(sim, &lost);
        scenario::restart_all(sim, &lost)
    };
    let row = |n, network, seed| Row {
        name: "return",
        n,
        network,
        seed,
        run,
        max_ms: MAX_CONVERGENCE_MS,
    };
    check(&[row(12, reordering(), 81), row(60, lossy(), 82)])
}

/// Guards against members that start together, get their contacts from the store, and know no target for a
/// second, because they probe one contact per probe interval. Requests wait for a target until 500 ms after
/// the start of a node.
#[gtest]
fn members_that_start_together_find_each_other_through_late_contacts() {
    let report = scenario::start_with_late_contacts(80, 40, 71);
    expect_that!(report.reached_ms, some(le(500)));
}

/// Guards against configuration versions of members that never reach all members: they are
/// not disseminated as changes, but spread only with unchanged records. The bound is the
/// longest time that a scenario waits, because the design gives none.
#[gtest]
fn configuration_versions_reach_all_members() -> Result<()> {
    check(&[Row {
        name: "new version",
        n: 10,
        network: reordering(),
        seed: 101,
        run: scenario::new_version,
        max_ms: 600_000,
    }])
}
