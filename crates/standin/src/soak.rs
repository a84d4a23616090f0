//! A randomized soak test of node processes with the interface of the users' platform.
//!
//! A run consists of rounds on one fleet. In each round callers send requests while faults are
//! injected from outside the nodes: signals to their processes, proxies on their connections, and
//! the fault switches of store and targets. A seeded schedule starts faults singly, in series and
//! overlapping. After each round all faults are removed, and the guarantees to callers, targets and
//! operators are checked.

mod checks;
mod cold;
mod evacuations;
mod injector;
mod operator;
mod schedule;
mod versions;
mod workspaces;

use std::{
    path::PathBuf,
    time::{Duration, Instant},
};

use snafu::Snafu;

use crate::{
    error::Error,
    fleet::{Fleet, FleetSettings, Host},
    history::{self, Summary, Violation},
    load::{self, LoadRoute, LoadSettings, RequestKind},
    log::LogSettings,
    process,
    target::{ServiceTime, TargetSettings},
};

use cold::{ColdTargets, MAX_COLD_STARTS};
use evacuations::EVACUATION_GRACE_US;
use injector::FaultInjector;
pub use schedule::{
    Fault, FaultStep, LinkFault, add_evacuations, add_restarts, add_restores, add_withdrawals,
    fault_schedule,
};
use versions::VersionObservers;
use workspaces::{KEYS, WITHDRAWAL_GRACE_US, Workspaces};

/// Maximum time until a new fleet is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum time until targets have finished all requests after the last answer to a caller.
const TARGETS_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of each request in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 2_000;

/// Services of the fleet, assigned to its hosts in turn.
pub(crate) const SERVICES: [&str; 2] = ["stock", "ledger"];

/// Data centres of the fleet, assigned to its hosts in turn.
const DATA_CENTRES: [&str; 3] = ["pos", "arima", "chaguanas"];

/// Settings of a soak run.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// Path of the binary `plantainpost`.
    pub binary: PathBuf,
    /// Seed of the fault schedule and the load.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of the first round. The number enters the seed of the round, so this repeats a round
    /// of an earlier run.
    pub first_round: u64,
    /// Number of rounds.
    pub rounds: u64,
    /// Length of a round in milliseconds. Requests are sent and faults begin within it, except for
    /// the later faults of a series.
    pub round_ms: u64,
    /// Number of faults in a round, where a series counts as one.
    pub faults: usize,
    /// Number of evacuations of data centres in a round, in addition to the faults.
    pub evacuations: usize,
    /// Number of restarts of targets in a round, in addition to the faults. If there are any, targets
    /// come back cold from all restarts and evacuations.
    pub restarts: usize,
    /// Number of withdrawals of a key in a round, in addition to the faults. If there are any, requests
    /// need keys, and one workspace has a quota.
    pub withdrawals: usize,
    /// Number of restores of the store from an older copy in a round, in addition to the faults. Some
    /// are followed by a second one.
    pub restores: usize,
    /// Requests per second.
    pub rate: f64,
}

impl Default for SoakSettings {
    fn default() -> Self {
        SoakSettings {
            binary: PathBuf::new(),
            seed: 1,
            nodes: 6,
            first_round: 0,
            rounds: 3,
            round_ms: 10_000,
            faults: 8,
            evacuations: 0,
            restarts: 0,
            withdrawals: 0,
            restores: 0,
            rate: 120.0,
        }
    }
}

/// The result of a soak run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SoakReport {
    /// Counts for the last round, except for the starts at targets, which are of all rounds.
    pub requests: Summary,
    /// Number of faults injected.
    pub faults: u64,
    /// Number of evacuations that lasted long enough to be checked, in all rounds.
    pub checked_evacuations: u64,
    /// Number of cold periods of targets that were checked, in all rounds.
    pub checked_cold_periods: u64,
    /// Number of withdrawals that lasted long enough to be checked, in all rounds.
    pub checked_withdrawals: u64,
    /// Number of times that an observer of a node has seen which version of the configuration it serves,
    /// in all rounds.
    pub observed_versions: u64,
    /// Calls to the store a second and node in the round with the most.
    pub max_store_calls_per_s: f64,
    /// Number of restores of the store that lost a record of an operator, in all rounds.
    pub lossy_restores: u64,
}

/// Why a soak run ended early.
#[derive(Debug, Snafu)]
pub enum SoakError {
    /// The fleet, the load generator or a target failed.
    #[snafu(display("{source}"), context(false))]
    Run {
        /// The cause.
        source: Error,
    },
    /// A history breaks a rule.
    #[snafu(display("round {round}: {violation}; requests: {log_lines}"))]
    History {
        /// Number of the round, from 0.
        round: u64,
        /// The broken rule and the record that breaks it.
        violation: Box<Violation>,
        /// Log lines of the nodes about the request.
        log_lines: String,
    },
    /// A guarantee was violated.
    #[snafu(display("round {round}: {detail}"))]
    Guarantee {
        /// Number of the round, from 0.
        round: u64,
        /// The observation that violates the guarantee.
        detail: String,
    },
}

/// Runs the rounds of a soak and checks the guarantees after each.
///
/// # Errors
///
/// Fails at the first violation of a guarantee, or if the fleet, the load generator or a target
/// fails.
pub fn run(cfg: &SoakSettings) -> Result<SoakReport, SoakError> {
    let fleet = Fleet::start(
        &FleetSettings {
            binary: cfg.binary.clone(),
            hosts: hosts(cfg.nodes),
            log: LogSettings {
                era: Some(0),
                ..Default::default()
            },
            on_platform: true,
            ..Default::default()
        },
        READY_TIMEOUT,
    )?;
    let cold = (cfg.restarts > 0).then(ColdTargets::default);
    let workspaces = (cfg.withdrawals > 0).then(Workspaces::default);
    let mut injector = FaultInjector::new(fleet, cold, workspaces);
    injector.publish_configuration();
    let guarantee_error = |round| move |detail| SoakError::Guarantee { round, detail };
    checks::check_recovery(&mut injector).map_err(guarantee_error(cfg.first_round))?;
    let mut report = SoakReport::default();
    for round in cfg.first_round..cfg.first_round + cfg.rounds {
        let seed = cfg.seed.wrapping_mul(1_000).wrapping_add(round);
        let mut steps = fault_schedule(seed, cfg.nodes, cfg.round_ms, cfg.faults);
        add_evacuations(&mut steps, seed, &DATA_CENTRES, cfg.evacuations);
        add_restarts(&mut steps, seed, cfg.nodes, cfg.restarts);
        add_withdrawals(&mut steps, seed, cfg.withdrawals);
        add_restores(&mut steps, seed, cfg.restores);
        report.faults += steps.iter().filter(|step| step.begins).count() as u64;
        let start = Instant::now();
        let calls_at_start = injector.fleet.log.call_count();
        let load = load::start(&load_settings(cfg, seed, &injector.fleet))?;
        let addresses: Vec<_> = injector.fleet.nodes.iter().map(|n| n.callers).collect();
        let observers = VersionObservers::start(&injector.published, &addresses);
        let injected = injector.run_schedule(&steps);
        let loaded = load.wait();
        let observed = observers.stop();
        let records = loaded?.records;
        injected.map_err(guarantee_error(round))?;
        report.observed_versions += observed.map_err(guarantee_error(round))?;
        report.checked_evacuations = injector.evacuations.checkable;
        report.checked_cold_periods = injector.cold.as_ref().map_or(0, |cold| cold.checkable);
        let workspaces = injector.workspaces.as_ref();
        report.checked_withdrawals = workspaces.map_or(0, |w| w.checkable);
        report.lossy_restores = injector.operator.lossy_restores;
        report.requests = check_history(&injector, round, records)?;
        checks::check_recovery(&mut injector).map_err(guarantee_error(round))?;
        checks::check_newest_configuration(&injector).map_err(guarantee_error(round))?;
        let calls = checks::check_store_calls(&injector, start, calls_at_start);
        let calls = calls.map_err(guarantee_error(round))?;
        report.max_store_calls_per_s = report.max_store_calls_per_s.max(calls);
        checks::check_configuration_update(&mut injector).map_err(guarantee_error(round))?;
    }
    Ok(report)
}

fn hosts(count: usize) -> Vec<Host> {
    let host = |i: usize| Host {
        name: format!("host-{i}"),
        data_centre: DATA_CENTRES[i % DATA_CENTRES.len()].to_owned(),
        target: TargetSettings {
            service: SERVICES[i % SERVICES.len()].to_owned(),
            service_time: ServiceTime::Exponential(20_000),
            seed: i as u64,
            ..Default::default()
        },
    };
    (0..count).map(host).collect()
}

fn load_settings(cfg: &SoakSettings, seed: u64, fleet: &Fleet) -> LoadSettings {
    let kind = |service: &str, method: &str, path: &str, body_bytes, weight| RequestKind {
        service: service.to_owned(),
        method: method.to_owned(),
        path: path.to_owned(),
        body_bytes,
        weight,
        ..Default::default()
    };
    let mut kinds = vec![
        kind("stock", "GET", "/safe/1", 0, 50),
        kind("ledger", "POST", "/once/1", 300, 35),
        kind("stock", "POST", "/once/2", 150_000, 5),
        RequestKind {
            answer_bytes: Some(150_000),
            answer_chunked: true,
            ..kind("ledger", "GET", "/safe/2", 0, 10)
        },
    ];
    if cfg.withdrawals > 0 {
        for (kind, key) in kinds.iter_mut().zip(KEYS) {
            kind.key = Some(key);
        }
    }
    let nodes = fleet.nodes.iter();
    LoadSettings {
        routes: nodes.map(|n| LoadRoute::new("node", n.callers)).collect(),
        rate: cfg.rate,
        duration_ms: cfg.round_ms,
        timeout_ms: REQUEST_TIMEOUT_MS,
        use_platform_headers: true,
        seed,
        kinds,
        ..Default::default()
    }
}

/// Checks the callers' history of a round against the histories of the targets so far.
fn check_history(
    injector: &FaultInjector,
    round: u64,
    mut records: Vec<history::Record>,
) -> Result<Summary, SoakError> {
    // Targets record the end of a request after they have sent the last byte of its answer.
    process::wait_until(
        "the end of all requests at targets",
        TARGETS_IDLE_TIMEOUT,
        || injector.fleet.targets.iter().all(|t| t.in_flight() == 0),
    )?;
    for target in &injector.fleet.targets {
        records.extend(target.history());
    }
    records.extend_from_slice(&injector.evacuations.records);
    let cold = injector.cold.iter().flat_map(|cold| &cold.records);
    let withdrawals = injector.workspaces.iter().flat_map(|w| &w.records);
    records.extend(cold.chain(withdrawals).cloned());
    let cfg = history::CheckSettings {
        // The limit `drainMs` of the users' sites.
        leaving_grace_us: 2_000_000,
        evacuation_grace_us: EVACUATION_GRACE_US,
        withdrawal_grace_us: WITHDRAWAL_GRACE_US,
        max_cold_starts: MAX_COLD_STARTS,
        max_workspace_starts: workspaces::max_starts(),
    };
    history::check(&records, &cfg).map_err(|violation| {
        let nonce = violation.record.nonce().unwrap_or_default();
        SoakError::History {
            round,
            log_lines: injector.log_lines_about(nonce),
            violation: Box::new(violation),
        }
    })
}
