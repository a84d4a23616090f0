//! Scenarios and their reports.

use std::{fmt, net::SocketAddr};

use plantainpost_core::{
    config::{Position, Progress},
    member::{MemberEvent, MemberSettings, MemberState, TargetInfo},
    time::{Instant, MICROS_PER_SECOND},
};

use super::{Network, Sim, addr};

/// Longest time that a scenario waits for the awaited state.
const MAX_WAIT_MS: u64 = 10 * 60 * 1_000;

/// Results of one run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    /// Time until the awaited state, in milliseconds; `None` if not reached.
    pub(crate) reached_ms: Option<u64>,
    /// Mean time of several changes until the awaited state, in milliseconds.
    pub(crate) mean_ms: u64,
    /// Suspicions, true or false, that nodes raised after their own probes.
    pub(crate) suspicions_raised: u64,
    /// Suspicions of members that were running and reachable, at all nodes.
    pub(crate) false_suspicions: usize,
    /// Deaths of members that were running and reachable, at all nodes.
    pub(crate) false_deaths: usize,
    /// Mean over the nodes, sent and received together.
    pub(crate) mean_bytes_per_second: u64,
    /// Maximum over the nodes, sent and received together.
    pub(crate) max_bytes_per_second: u64,
    /// Mean over the nodes, sent to other data centres.
    pub(crate) remote_bytes_per_second: u64,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let reached = match self.reached_ms {
            Some(ms) => format!("{ms}"),
            None => "never".to_string(),
        };
        write!(
            f,
            "{reached:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}",
            self.mean_ms,
            self.suspicions_raised,
            self.false_suspicions,
            self.false_deaths,
            self.mean_bytes_per_second,
            self.max_bytes_per_second,
            self.remote_bytes_per_second
        )
    }
}

/// Counts at the start of a measured run.
struct Measurement {
    start: Instant,
    /// Deaths before this instant are not counted as false.
    deaths_from: Instant,
    bytes: Vec<(u64, u64)>,
    remote_bytes: u64,
    suspicions: u64,
}

impl Measurement {
    fn start(sim: &Sim) -> Self {
        Measurement {
            start: sim.now,
            deaths_from: sim.now,
            bytes: sim.bytes(),
            remote_bytes: sim.remote_bytes,
            suspicions: total_suspicions(sim),
        }
    }

    fn report(&self, sim: &Sim, reached_ms: Option<u64>) -> Report {
        let rates = sim.rates(&self.bytes, self.start);
        let both: Vec<u64> = rates
            .iter()
            .map(|(sent, received)| sent + received)
            .collect();
        let suspected = |e: &MemberEvent| matches!(e, MemberEvent::Suspected { .. });
        let died = |e: &MemberEvent| matches!(e, MemberEvent::Died { .. });
        Report {
            reached_ms,
            mean_ms: reached_ms.unwrap_or_default(),
            suspicions_raised: total_suspicions(sim) - self.suspicions,
            false_suspicions: sim.count(self.start, |s| s.subject_reachable && suspected(&s.event)),
            false_deaths: sim.count(self.deaths_from, |s| s.subject_reachable && died(&s.event)),
            mean_bytes_per_second: both.iter().sum::<u64>() / both.len().max(1) as u64,
            max_bytes_per_second: both.iter().copied().max().unwrap_or_default(),
            remote_bytes_per_second: (sim.remote_bytes - self.remote_bytes) * MICROS_PER_SECOND
                / (sim.now.micros_since(self.start).max(1) * both.len().max(1) as u64),
        }
    }
}

fn total_suspicions(sim: &Sim) -> u64 {
    let of = |i: usize| sim.nodes[i].member.counters().suspicions;
    sim.running().map(of).sum()
}

/// Starts `n` nodes at once and waits until their tables converge.
pub(crate) fn cold_start(n: usize, network: Network, seed: u64) -> (Sim, Report) {
    let mut sim = Sim::new(seed, network, MemberSettings::default());
    sim.start_fleet(n);
    let measurement = Measurement::start(&sim);
    let reached = sim.run_until(MAX_WAIT_MS, Sim::converged);
    let report = measurement.report(&sim, reached);
    sim.run_ms(30_000);
    sim.observed.clear();
    (sim, report)
}

/// Starts `n` nodes at once that get the addresses of all others 100 ms later, as from a store, and waits
/// until each knows `wanted` members.
pub(crate) fn start_with_late_contacts(n: usize, wanted: usize, seed: u64) -> Report {
    let mut sim = Sim::new(seed, Network::default(), MemberSettings::default());
    sim.contacts = Vec::new();
    sim.start_fleet(n);
    let measurement = Measurement::start(&sim);
    sim.run_ms(100);
    let contacts: Vec<SocketAddr> = (0..n).map(addr).collect();
    for node in &mut sim.nodes {
        node.member.add_contacts(&contacts);
    }
    let knows_enough = |sim: &Sim| {
        let known = |i: usize| sim.nodes[i].member.members().count();
        (0..n).all(|i| known(i) >= wanted)
    };
    let reached = sim.run_until(MAX_WAIT_MS, knows_enough);
    measurement.report(&sim, reached.map(|ms| ms + 100))
}

/// Runs a converged fleet without disturbance.
pub(crate) fn steady(sim: &mut Sim, seconds: u64) -> Report {
    let measurement = Measurement::start(sim);
    sim.run_ms(seconds * 1_000);
    measurement.report(sim, Some(seconds * 1_000))
}

/// Kills nodes at once; waits until all others have declared them dead.
pub(crate) fn kill(sim: &mut Sim, victims: &[usize]) -> Report {
    let measurement = Measurement::start(sim);
    victims.iter().for_each(|&i| sim.kill(i));
    let reached = sim.run_until(MAX_WAIT_MS, |sim| all_declared_dead(sim, victims));
    measurement.report(sim, reached)
}

fn all_declared_dead(sim: &Sim, victims: &[usize]) -> bool {
    let dead = |name: &str| sim.all_see(name, |r| r.is_some_and(|r| r.state.is_terminal()));
    victims
        .iter()
        .all(|&i| dead(sim.nodes[i].member.local().name.as_str()))
}

/// Kills a node; waits until all others at least suspect it.
pub(crate) fn suspect(sim: &mut Sim, victim: usize) -> Report {
    let measurement = Measurement::start(sim);
    sim.kill(victim);
    let name = sim.nodes[victim].member.local().name.clone();
    let reached = sim.run_until(MAX_WAIT_MS, |sim| {
        sim.all_see(name.as_str(), |r| {
            r.is_some_and(|r| r.state >= MemberState::Suspect)
        })
    });
    measurement.report(sim, reached)
}

/// Drains the targets of nodes one after the other; `reached_ms` is the longest time until
/// all nodes know of one.
pub(crate) fn drain(sim: &mut Sim, nodes: &[usize]) -> Report {
    let measurement = Measurement::start(sim);
    let mut times = Vec::new();
    for &i in nodes {
        let drained = sim.nodes[i].member.local().target.clone();
        let drained = drained.map(|t| TargetInfo {
            draining: true,
            ..t
        });
        sim.call_member(i, |member, _, _| {
            member.set_target(drained.clone());
            Vec::new()
        });
        let name = sim.nodes[i].member.local().name.clone();
        times.push(sim.run_until(MAX_WAIT_MS, |sim| {
            sim.all_see(name.as_str(), |r| r.is_some_and(|r| r.target == drained))
        }));
        sim.run_ms(2_000);
    }
    let reached = times.iter().copied().collect::<Option<Vec<u64>>>();
    let mean = times.iter().flatten().sum::<u64>() / times.len().max(1) as u64;
    Report {
        mean_ms: mean,
        ..measurement.report(sim, reached.and_then(|t| t.into_iter().max()))
    }
}

/// Puts a new configuration version in force at all nodes at once; waits until every node
/// knows the new version of every other node.
pub(crate) fn new_version(sim: &mut Sim) -> Report {
    let measurement = Measurement::start(sim);
    let version = 200_000;
    for i in 0..sim.nodes.len() {
        let progress = Progress {
            read_to: Position::from(version),
            routes: None,
        };
        sim.nodes[i].member.set_config(version, progress);
    }
    let reached = sim.run_until(MAX_WAIT_MS, |sim| {
        sim.running().all(|i| {
            let mut members = sim.nodes[i].member.members();
            members.all(|r| r.config_version == version)
        })
    });
    measurement.report(sim, reached)
}

/// Restarts stopped nodes at once; waits until all tables converge.
pub(crate) fn restart_all(sim: &mut Sim, nodes: &[usize]) -> Report {
    let measurement = Measurement::start(sim);
    nodes.iter().for_each(|&i| sim.restart(i));
    let reached = sim.run_until(MAX_WAIT_MS, Sim::converged);
    measurement.report(sim, reached)
}

/// Partitions the nodes below `partition_at` from the others. The report covers the time
/// from the reconnection until all tables converge.
pub(crate) fn partition(sim: &mut Sim, partition_at: usize, seconds: u64) -> Report {
    sim.partition_at = Some(partition_at);
    sim.run_ms(seconds * 1_000);
    sim.partition_at = None;
    let mut measurement = Measurement::start(sim);
    // A member gets the last probe 1 s before it is declared dead. For deaths in the first
    // second, that probe was sent during the partition.
    measurement.deaths_from = sim.now.saturating_add_millis(1_000);
    let reached = sim.run_until(MAX_WAIT_MS, Sim::converged);
    measurement.report(sim, reached)
}

/// Freezes a node. The report covers the time from its resumption until all tables
/// converge.
pub(crate) fn freeze(sim: &mut Sim, node: usize, seconds: u64) -> Report {
    sim.freeze(node);
    sim.run_ms(seconds * 1_000);
    let measurement = Measurement::start(sim);
    sim.resume(node);
    let reached = sim.run_until(MAX_WAIT_MS, Sim::converged);
    sim.run_ms(20_000);
    measurement.report(sim, reached)
}

/// Replaces `count` nodes by others of the same name at new addresses, one every
/// `every_ms`; `reached_ms` is the longest time until all nodes know a replacement. Every
/// second replaced node leaves gracefully; the others stop without notice.
pub(crate) fn replace(sim: &mut Sim, count: usize, every_ms: u64) -> Report {
    let measurement = Measurement::start(sim);
    let mut times = Vec::new();
    for turn in 0..count {
        let old = sim
            .running()
            .filter(|&i| i > 3)
            .nth(turn % 5)
            .expect("a node");
        if turn % 2 == 0 {
            sim.call_member(old, |member, now, rng| member.leave(now, rng));
            sim.run_ms(1_000);
            sim.call_member(old, |member, now, rng| member.depart(now, rng));
        }
        sim.kill(old);
        let name = sim.nodes[old].member.local().name.clone();
        let new = sim.start(name.as_str());
        let ip = sim.nodes[new].member.local().ip;
        let known = |sim: &Sim| sim.all_see(name.as_str(), |r| r.is_some_and(|r| r.ip == ip));
        let took = sim.run_until(MAX_WAIT_MS, known);
        times.push(took);
        sim.run_ms(every_ms.saturating_sub(took.unwrap_or(0)));
    }
    let longest = times.iter().copied().collect::<Option<Vec<u64>>>();
    let mean = times.iter().flatten().sum::<u64>() / times.len().max(1) as u64;
    Report {
        mean_ms: mean,
        ..measurement.report(sim, longest.and_then(|t| t.into_iter().max()))
    }
}
