//! Generates the fault schedule of a round from a seed.

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};

use crate::{
    log::{DownMode, LogFaults},
    target::RequestFailure,
};

/// Range of the duration of a fault, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..3_000;

/// Probability in percent that a fault is repeated as a series.
const SERIES_PERCENT: u32 = 25;

/// Number of faults in a series.
const SERIES_LENGTH: usize = 3;

/// Time in milliseconds from the beginning of one fault of a series to the next.
const SERIES_INTERVAL_MS: u64 = 700;

/// Range of the start of an evacuation within a round, in milliseconds.
const EVACUATION_START_MS: std::ops::Range<u64> = 0..2_000;

/// Range of the duration of an evacuation, in milliseconds. It is longer than the 5 s after which no
/// request may start, and with [`EVACUATION_START_MS`] leaves time for requests after that.
const EVACUATION_DURATION_MS: std::ops::Range<u64> = 7_000..9_000;

/// Separates the random numbers of the evacuations from those of the other faults, so that the
/// faults of a seed are the same with and without evacuations.
const EVACUATION_SEED: u64 = 0xe7ac_0000_0000_0000;

/// Range of the start of a restart of a target within a round, in milliseconds.
const RESTART_START_MS: std::ops::Range<u64> = 0..6_000;

/// Range of the start of a withdrawal of a key within a round, in milliseconds.
const WITHDRAWAL_START_MS: std::ops::Range<u64> = 0..3_000;

/// Range of the duration of a withdrawal, in milliseconds. It leaves time for requests after the
/// 2.5 s within which they may still start.
const WITHDRAWAL_DURATION_MS: std::ops::Range<u64> = 4_500..6_500;

/// Range of the time within a round at which the store fails before it is restored, in milliseconds.
const RESTORE_START_MS: std::ops::Range<u64> = 1_000..5_000;

/// Range of the age of the copy when the store fails, in milliseconds.
const COPY_AGE_MS: std::ops::Range<u64> = 500..5_000;

/// Range of the time for which the store fails before it is restored, in milliseconds.
const RESTORE_DURATION_MS: std::ops::Range<u64> = 200..1_500;

/// Range of the time after a restore at which the operator writes the lost records again, in
/// milliseconds.
const REWRITE_DELAY_MS: std::ops::Range<u64> = 100..3_000;

/// Probability in percent that a second restore follows.
const SECOND_RESTORE_PERCENT: u32 = 35;

/// Range of the time from a restore to the next failure of the store, in milliseconds.
const SECOND_RESTORE_DELAY_MS: std::ops::Range<u64> = 300..2_000;

/// Separate the random numbers of restarts, withdrawals and restores, like [`EVACUATION_SEED`].
const RESTART_SEED: u64 = 0xc01d_0000_0000_0000;
const RESTORE_SEED: u64 = 0x0c0f_0000_0000_0000;
const WITHDRAWAL_SEED: u64 = 0x6e1d_0000_0000_0000;

/// Time in milliseconds within which a node must exit after SIGTERM: the limit `graceS` of the
/// users' sites.
pub(super) const STOP_DEADLINE_MS: u64 = 6_000;

/// A fault of the connections between a node and the store or its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes are delayed in both directions.
    Delayed,
    /// Bytes from the node are held back until the fault ends.
    StallToServer,
    /// Bytes to the node are held back until the fault ends.
    StallToClient,
    /// Bytes are held back in both directions until the fault ends; no connection is closed.
    Stall,
    /// Open connections are reset.
    Reset,
    /// New connections are closed immediately.
    Refused,
    /// Connections are cut in the middle of an answer.
    Truncated,
}

/// A fault to inject. The `usize` is the index of the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A fault of the link from a node to the store.
    StoreLink(usize, LinkFault),
    /// A fault of the link from a node to its target.
    TargetLink(usize, LinkFault),
    /// A fault of the store.
    Store(LogFaults),
    /// The store drops its old records.
    ExpireRecords,
    /// A node is frozen with SIGSTOP and continues at the end.
    FreezeNode(usize),
    /// A node is killed with SIGKILL, and restarted at the end.
    KillNode(usize),
    /// A node is stopped with SIGTERM, and restarted at the end.
    StopNode(usize),
    /// A node reloads its settings on SIGHUP.
    ReloadNode(usize),
    /// The service time of a target is longer.
    SlowTarget(usize),
    /// A share of the requests of a target fails.
    FailingTarget(usize, RequestFailure),
    /// A target leaves, and serves under a new incarnation at the end.
    LeavingTarget(usize),
    /// A target sends no announcements.
    SilentTarget(usize),
    /// An operator publishes a configuration.
    PublishConfiguration,
    /// An operator evacuates a data centre, and takes it back at the end.
    Evacuation(&'static str),
    /// An operator withdraws a key, and adds it again at the end.
    WithdrawnKey,
    /// A copy of the store with the given number is taken.
    CopiedStore(usize),
    /// The store fails, and is restored from the copy with the given number at the end.
    RestoredStore(usize, LogFaults),
    /// Records that an operator wrote are lost, and are written again at the end.
    LostRecords(usize),
}

/// The beginning or the end of a fault.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultStep {
    /// Time since the start of the round, in milliseconds.
    pub at_ms: u64,
    /// Whether the fault begins; otherwise it ends.
    pub begins: bool,
    /// The fault.
    pub fault: Fault,
}

/// Returns the steps of a round, ordered by time. Each fault that begins also ends, within the round
/// or shortly after it.
pub fn fault_schedule(seed: u64, nodes: usize, round_ms: u64, faults: usize) -> Vec<FaultStep> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    for _ in 0..faults {
        let fault = random_fault(&mut rng, nodes);
        let first_ms = rng.random_range(0..round_ms);
        let is_series = rng.random_range(0..100) < SERIES_PERCENT;
        let repeats = if is_series { SERIES_LENGTH } else { 1 };
        for i in 0..repeats as u64 {
            let duration_ms = match fault {
                Fault::StopNode(_) => STOP_DEADLINE_MS,
                _ => rng.random_range(FAULT_DURATION_MS),
            };
            let at_ms = first_ms + i * SERIES_INTERVAL_MS;
            push_fault(&mut steps, at_ms, duration_ms, fault.clone());
        }
    }
    steps.sort_by_key(|step| step.at_ms);
    steps
}

/// Adds evacuations to the steps of a round. The other steps stay as they are.
pub fn add_evacuations(
    steps: &mut Vec<FaultStep>,
    seed: u64,
    data_centres: &[&'static str],
    evacuations: usize,
) {
    let mut rng = StdRng::seed_from_u64(seed ^ EVACUATION_SEED);
    for _ in 0..evacuations {
        let Some(data_centre) = data_centres.choose(&mut rng) else {
            return;
        };
        let start_ms = rng.random_range(EVACUATION_START_MS);
        let duration_ms = rng.random_range(EVACUATION_DURATION_MS);
        push_fault(steps, start_ms, duration_ms, Fault::Evacuation(data_centre));
    }
    steps.sort_by_key(|step| step.at_ms);
}

/// Adds restarts of targets, which leave and come back, to the steps of a round. The other steps stay
/// as they are.
pub fn add_restarts(steps: &mut Vec<FaultStep>, seed: u64, nodes: usize, restarts: usize) {
    let mut rng = StdRng::seed_from_u64(seed ^ RESTART_SEED);
    for _ in 0..restarts {
        let fault = Fault::LeavingTarget(rng.random_range(0..nodes));
        let start_ms = rng.random_range(RESTART_START_MS);
        push_fault(steps, start_ms, rng.random_range(FAULT_DURATION_MS), fault);
    }
    steps.sort_by_key(|step| step.at_ms);
}

/// Adds withdrawals of a key to the steps of a round. The other steps stay as they are.
pub fn add_withdrawals(steps: &mut Vec<FaultStep>, seed: u64, withdrawals: usize) {
    let mut rng = StdRng::seed_from_u64(seed ^ WITHDRAWAL_SEED);
    for _ in 0..withdrawals {
        let start_ms = rng.random_range(WITHDRAWAL_START_MS);
        let duration_ms = rng.random_range(WITHDRAWAL_DURATION_MS);
        push_fault(steps, start_ms, duration_ms, Fault::WithdrawnKey);
    }
    steps.sort_by_key(|step| step.at_ms);
}

/// Adds restores of the store from a copy to the steps of a round, some of them twice within seconds,
/// and configurations that are lost by them or published before the lost records are written again.
/// The other steps stay as they are.
pub fn add_restores(steps: &mut Vec<FaultStep>, seed: u64, restores: usize) {
    let mut rng = StdRng::seed_from_u64(seed ^ RESTORE_SEED);
    let mut number = 0;
    for _ in 0..restores {
        let mut failed_ms = rng.random_range(RESTORE_START_MS);
        let is_repeated = rng.random_range(0..100) < SECOND_RESTORE_PERCENT;
        for _ in 0..=usize::from(is_repeated) {
            let age_ms = rng.random_range(COPY_AGE_MS).min(failed_ms);
            let outage_ms = rng.random_range(RESTORE_DURATION_MS);
            let lost_ms = rng.random_range(REWRITE_DELAY_MS);
            let copied_ms = failed_ms - age_ms;
            let restored_ms = failed_ms + outage_ms;
            let outage = random_outage(&mut rng);
            push_fault(steps, copied_ms, age_ms, Fault::CopiedStore(number));
            let fault = Fault::RestoredStore(number, outage);
            push_fault(steps, failed_ms, outage_ms, fault);
            push_fault(steps, restored_ms, lost_ms, Fault::LostRecords(number));
            let published_ms = copied_ms + rng.random_range(1..age_ms);
            push_fault(steps, published_ms, 0, Fault::PublishConfiguration);
            let published_ms = restored_ms + rng.random_range(1..lost_ms);
            if rng.random_bool(0.5) {
                push_fault(steps, published_ms, 0, Fault::PublishConfiguration);
            }
            failed_ms = restored_ms + rng.random_range(SECOND_RESTORE_DELAY_MS);
            number += 1;
        }
    }
    steps.sort_by_key(|step| step.at_ms);
}

fn push_fault(steps: &mut Vec<FaultStep>, start_ms: u64, duration_ms: u64, fault: Fault) {
    for (at_ms, begins) in [(start_ms, true), (start_ms + duration_ms, false)] {
        let fault = fault.clone();
        steps.push(FaultStep {
            at_ms,
            begins,
            fault,
        });
    }
}

fn random_fault(rng: &mut StdRng, nodes: usize) -> Fault {
    let host = rng.random_range(0..nodes);
    match rng.random_range(0..14) {
        0 | 1 => Fault::StoreLink(host, random_link_fault(rng)),
        2 | 3 => Fault::TargetLink(host, random_link_fault(rng)),
        4 => Fault::Store(random_store_fault(rng)),
        5 => Fault::ExpireRecords,
        6 => Fault::FreezeNode(host),
        7 => Fault::KillNode(host),
        8 => Fault::StopNode(host),
        9 => Fault::ReloadNode(host),
        10 => Fault::SlowTarget(host),
        11 => Fault::FailingTarget(host, random_target_failure(rng)),
        12 => Fault::LeavingTarget(host),
        _ => match rng.random_range(0..2) {
            0 => Fault::SilentTarget(host),
            _ => Fault::PublishConfiguration,
        },
    }
}

fn random_link_fault(rng: &mut StdRng) -> LinkFault {
    use LinkFault::{Delayed, Refused, Reset, Stall, StallToClient, StallToServer, Truncated};
    let all = [
        Delayed,
        StallToServer,
        StallToClient,
        Stall,
        Reset,
        Refused,
        Truncated,
    ];
    all.choose(rng).copied().unwrap_or(Stall)
}

fn random_target_failure(rng: &mut StdRng) -> RequestFailure {
    use RequestFailure::{Close, CloseAfterWork, CutAfterHead, CutInBody, Never, Status500};
    let all = [
        Status500,
        Close,
        CloseAfterWork,
        CutAfterHead,
        CutInBody,
        Never,
    ];
    all.choose(rng).copied().unwrap_or(Never)
}

fn random_outage(rng: &mut StdRng) -> LogFaults {
    let mut faults = LogFaults::default();
    match rng.random_range(0..3) {
        0 => faults.down = DownMode::Refuse,
        1 => faults.down = DownMode::Close,
        _ => faults.refuse = true,
    }
    faults
}

fn random_store_fault(rng: &mut StdRng) -> LogFaults {
    let mut faults = LogFaults::default();
    match rng.random_range(0..6) {
        0 => faults.down = DownMode::Refuse,
        1 => faults.down = DownMode::Close,
        2 => faults.silent = true,
        3 => faults.refuse = true,
        4 => faults.lose_answers = true,
        _ => faults.delay_ms = 300,
    }
    faults
}
