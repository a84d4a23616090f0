//! The seeded schedule of a round.

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};

use crate::{
    log::{DownMode, LogFaults},
    target::RequestFailure,
};

/// Shortest and longest time of a fault, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 200..3_000;

/// Chance in percent that a fault comes as a series.
const SERIES_PERCENT: u32 = 25;

/// Faults of a series, and the time between their beginnings in milliseconds.
const SERIES: usize = 3;
const SERIES_GAP_MS: u64 = 700;

/// Time that a stopping node has until it must have ended, in milliseconds: the bound of the
/// users' sites, `graceS`.
pub(super) const STOP_MS: u64 = 6_000;

/// A disturbance of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes arrive late.
    Delayed,
    /// Nothing arrives at the far side.
    CutUp,
    /// Nothing comes back.
    CutDown,
    /// Nothing passes, and no connection ends.
    Silent,
    /// Open connections are reset.
    Reset,
    /// New connections are closed at once.
    Refused,
    /// Answers break off.
    BrokenOff,
}

/// A disturbance; numbers are those of hosts.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The link from a node to the store.
    StoreLink(usize, LinkFault),
    /// The link from a node to its target.
    TargetLink(usize, LinkFault),
    /// The store as a whole.
    Store(LogFaults),
    /// The store drops its old records.
    StoreExpires,
    /// A node stands still.
    Freeze(usize),
    /// A node is killed, and starts again at the end.
    Kill(usize),
    /// A node is asked to stop, and starts again at the end.
    Stop(usize),
    /// A node is asked to read its settings again.
    Reload(usize),
    /// A target works slowly.
    Slow(usize),
    /// A share of a target's requests fail.
    Failing(usize, RequestFailure),
    /// A target leaves; at the end a new life of it serves.
    Leave(usize),
    /// A target's announcements stop.
    Mute(usize),
    /// Operators publish a configuration.
    Publish,
}

/// The beginning or the end of a fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Time since the start of the round, in milliseconds.
    pub at_ms: u64,
    /// Whether the fault begins here.
    pub begins: bool,
    /// The fault.
    pub fault: Fault,
}

/// Returns the steps of a round in their order. Each fault ends within the round or shortly
/// after it.
pub fn schedule(seed: u64, nodes: usize, round_ms: u64, faults: usize) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    for _ in 0..faults {
        let fault = draw(&mut rng, nodes);
        let first_ms = rng.random_range(0..round_ms);
        let is_series = rng.random_range(0..100) < SERIES_PERCENT;
        let repeats = if is_series { SERIES } else { 1 };
        for i in 0..repeats as u64 {
            let length_ms = match fault {
                Fault::Stop(_) => STOP_MS,
                _ => rng.random_range(LENGTH_MS),
            };
            let at_ms = first_ms + i * SERIES_GAP_MS;
            for (at_ms, begins) in [(at_ms, true), (at_ms + length_ms, false)] {
                let fault = fault.clone();
                steps.push(Step {
                    at_ms,
                    begins,
                    fault,
                });
            }
        }
    }
    steps.sort_by_key(|step| step.at_ms);
    steps
}

fn draw(rng: &mut StdRng, nodes: usize) -> Fault {
    let host = rng.random_range(0..nodes);
    match rng.random_range(0..14) {
        0 | 1 => Fault::StoreLink(host, draw_link(rng)),
        2 | 3 => Fault::TargetLink(host, draw_link(rng)),
        4 => Fault::Store(draw_store(rng)),
        5 => Fault::StoreExpires,
        6 => Fault::Freeze(host),
        7 => Fault::Kill(host),
        8 => Fault::Stop(host),
        9 => Fault::Reload(host),
        10 => Fault::Slow(host),
        11 => Fault::Failing(host, draw_failure(rng)),
        12 => Fault::Leave(host),
        _ => match rng.random_range(0..2) {
            0 => Fault::Mute(host),
            _ => Fault::Publish,
        },
    }
}

fn draw_link(rng: &mut StdRng) -> LinkFault {
    use LinkFault::{BrokenOff, CutDown, CutUp, Delayed, Refused, Reset, Silent};
    let all = [Delayed, CutUp, CutDown, Silent, Reset, Refused, BrokenOff];
    all.choose(rng).copied().unwrap_or(Silent)
}

fn draw_failure(rng: &mut StdRng) -> RequestFailure {
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

fn draw_store(rng: &mut StdRng) -> LogFaults {
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
