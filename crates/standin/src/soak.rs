//! A randomized soak of real node processes on the users' platform.
//!
//! A run consists of rounds on one fleet. In each round callers send requests while faults
//! come from outside the nodes: signals to their processes, proxies on their links, and the
//! switches of store and targets. Faults come alone, in series and overlapping, by a seeded
//! schedule. After each round the faults end, and the promises to callers, targets and
//! operators are checked.

mod checks;
mod driver;
mod schedule;

use std::{path::PathBuf, time::Duration};

use snafu::Snafu;

use crate::{
    error::Error,
    fleet::{Fleet, FleetSettings, Host},
    history::{self, Summary, Violation},
    load::{self, LoadSettings, RequestKind, Route},
    process,
    target::{ServiceTime, TargetSettings},
};

use driver::Driver;
pub use schedule::{Fault, LinkFault, Step, schedule};

/// Longest time until a new fleet is ready.
const READY: Duration = Duration::from_secs(30);

/// Longest time for which targets work on after the last answer to a caller.
const SETTLE: Duration = Duration::from_secs(10);

/// Time of each request in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 2_000;

/// Services of the fleet, in turn over its hosts.
pub(crate) const SERVICES: [&str; 2] = ["stock", "ledger"];

/// Settings of a soak.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// The binary `plantainpost`.
    pub binary: PathBuf,
    /// Seed of faults and load.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of the first round, to play a round of another run again.
    pub first_round: u64,
    /// Number of rounds.
    pub rounds: u64,
    /// Time in which faults begin in a round, in milliseconds.
    pub round_ms: u64,
    /// Faults of a round, before series are counted.
    pub faults: usize,
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
            rate: 120.0,
        }
    }
}

/// What a soak has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SoakReport {
    /// Requests of the last round. Starts at targets are counted over all rounds.
    pub requests: Summary,
    /// Faults brought about.
    pub faults: u64,
}

/// Why a soak ended early.
#[derive(Debug, Snafu)]
pub enum SoakError {
    /// The soak itself failed.
    #[snafu(display("{source}"), context(false))]
    Run {
        /// The cause.
        source: Error,
    },
    /// A history breaks a rule.
    #[snafu(display("round {round}: {violation}; requests: {lines}"))]
    History {
        /// Round from 0.
        round: u64,
        /// The record and the rule.
        violation: Box<Violation>,
        /// Log lines of the nodes about the request.
        lines: String,
    },
    /// A promise was not kept.
    #[snafu(display("round {round}: {what}"))]
    Promise {
        /// Round from 0.
        round: u64,
        /// What was seen.
        what: String,
    },
}

/// Runs a soak.
///
/// # Errors
///
/// Fails at the first promise that is not kept, or when the soak itself fails.
pub fn run(cfg: &SoakSettings) -> Result<SoakReport, SoakError> {
    let fleet = Fleet::start(
        &FleetSettings {
            binary: cfg.binary.clone(),
            hosts: hosts(cfg.nodes),
            on_platform: true,
            ..Default::default()
        },
        READY,
    )?;
    let mut driver = Driver::new(fleet);
    driver.publish();
    let broken = |round| move |what| SoakError::Promise { round, what };
    checks::recovery(&mut driver).map_err(broken(cfg.first_round))?;
    let mut report = SoakReport::default();
    for round in cfg.first_round..cfg.first_round + cfg.rounds {
        let seed = cfg.seed.wrapping_mul(1_000).wrapping_add(round);
        let steps = schedule(seed, cfg.nodes, cfg.round_ms, cfg.faults);
        report.faults += steps.iter().filter(|step| step.begins).count() as u64;
        let load = load::start(&load_settings(cfg, seed, &driver.fleet))?;
        let played = driver.play(&steps);
        let records = load.wait()?.records;
        played.map_err(broken(round))?;
        report.requests = check_history(&driver, round, records)?;
        checks::recovery(&mut driver).map_err(broken(round))?;
        checks::configuration(&mut driver).map_err(broken(round))?;
    }
    Ok(report)
}

fn hosts(count: usize) -> Vec<Host> {
    let host = |i: usize| Host {
        name: format!("host-{i}"),
        data_centre: ["pos", "arima", "chaguanas"][i % 3].to_owned(),
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
    let nodes = fleet.nodes.iter();
    LoadSettings {
        routes: nodes.map(|n| Route::new("node", n.callers)).collect(),
        rate: cfg.rate,
        duration_ms: cfg.round_ms,
        timeout_ms: REQUEST_TIMEOUT_MS,
        use_platform_headers: true,
        seed,
        kinds: vec![
            kind("stock", "GET", "/safe/1", 0, 50),
            kind("ledger", "POST", "/once/1", 300, 35),
            kind("stock", "POST", "/once/2", 150_000, 5),
            RequestKind {
                answer_bytes: Some(150_000),
                answer_chunked: true,
                ..kind("ledger", "GET", "/safe/2", 0, 10)
            },
        ],
        ..Default::default()
    }
}

/// Checks the requests of a round against what targets have seen so far.
fn check_history(
    driver: &Driver,
    round: u64,
    mut records: Vec<history::Record>,
) -> Result<Summary, SoakError> {
    // Targets note the end of an answer after its last byte was sent.
    process::wait_until("the end of all requests at targets", SETTLE, || {
        driver.fleet.targets.iter().all(|t| t.in_flight() == 0)
    })?;
    for target in &driver.fleet.targets {
        records.extend(target.history());
    }
    let cfg = history::CheckSettings {
        // The bound of the users' sites, `drainMs`.
        leaving_grace_us: 2_000_000,
    };
    history::check(&records, &cfg).map_err(|violation| {
        let nonce = violation.record.nonce().unwrap_or_default();
        SoakError::History {
            round,
            lines: driver.lines_about(nonce),
            violation: Box::new(violation),
        }
    })
}
