//! Whether a target is in use, set aside or on trial.

use std::fmt;

use super::{BalancerSettings, Outcome};
use crate::time::{Instant, MICROS_PER_MILLI};

/// Time between trial requests when the last one was refused. A guard that is full
/// would otherwise be tried with each request.
const TRIAL_PAUSE_US: u64 = 100 * MICROS_PER_MILLI;

/// Time in use after which earlier times aside no longer lengthen the next one.
const FORGIVEN_AFTER_US: u64 = 60_000 * MICROS_PER_MILLI;

/// Why a target was set aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AsideReason {
    /// This many requests failed in a row.
    FailuresInRow(u32),
    /// A trial request failed.
    TrialFailed,
}

impl fmt::Display for AsideReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AsideReason::FailuresInRow(count) => write!(f, "{count} failures in a row"),
            AsideReason::TrialFailed => f.write_str("a trial request failed"),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    InUse,
    /// Trial requests begin at `until`.
    SetAside {
        until: Instant,
        reason: AsideReason,
        successes: u32,
    },
}

/// A change that an outcome brought about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    SetAside { until: Instant, reason: AsideReason },
    Returned,
}

/// Standing of one target at one entry.
#[derive(Debug)]
pub(super) struct Standing {
    state: State,
    failures_in_row: u32,
    /// Times set aside without a long time in use between them.
    times: u32,
    returned_at: Option<Instant>,
}

impl Standing {
    pub(super) fn new() -> Self {
        Standing {
            state: State::InUse,
            failures_in_row: 0,
            times: 0,
            returned_at: None,
        }
    }

    pub(super) fn state(&self) -> State {
        self.state
    }

    pub(super) fn is_in_use(&self) -> bool {
        self.state == State::InUse
    }

    pub(super) fn trial_due(&self, now: Instant) -> bool {
        matches!(self.state, State::SetAside { until, .. } if now >= until)
    }

    /// Puts the target back in use without a trial.
    pub(super) fn release(&mut self, now: Instant) {
        self.state = State::InUse;
        self.failures_in_row = 0;
        self.returned_at = Some(now);
    }

    /// Takes an outcome into account. `room` says whether one more target of the
    /// service may be set aside.
    pub(super) fn on_outcome(
        &mut self,
        now: Instant,
        outcome: Outcome,
        room: bool,
        cfg: &BalancerSettings,
    ) -> Option<Step> {
        match self.state {
            State::InUse => self.in_use(now, outcome, room, cfg),
            // An answer to a request that was sent before the target was set aside.
            State::SetAside { until, .. } if now < until => None,
            State::SetAside {
                reason, successes, ..
            } => self.on_trial(now, outcome, reason, successes, cfg),
        }
    }

    fn in_use(
        &mut self,
        now: Instant,
        outcome: Outcome,
        room: bool,
        cfg: &BalancerSettings,
    ) -> Option<Step> {
        if outcome == Outcome::Answered {
            self.failures_in_row = 0;
        }
        if !outcome.is_failure() {
            return None;
        }
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        if self.failures_in_row < cfg.failures_to_set_aside || !room {
            return None;
        }
        if self
            .returned_at
            .is_some_and(|at| now.micros_since(at) > FORGIVEN_AFTER_US)
        {
            self.times = 0;
        }
        Some(self.set_aside(now, AsideReason::FailuresInRow(self.failures_in_row), cfg))
    }

    fn on_trial(
        &mut self,
        now: Instant,
        outcome: Outcome,
        reason: AsideReason,
        successes: u32,
        cfg: &BalancerSettings,
    ) -> Option<Step> {
        match outcome {
            Outcome::ServerError | Outcome::Failed => {
                Some(self.set_aside(now, AsideReason::TrialFailed, cfg))
            }
            Outcome::Answered if successes + 1 >= cfg.trials_to_return => {
                self.release(now);
                Some(Step::Returned)
            }
            Outcome::Answered => {
                self.state = State::SetAside {
                    until: now,
                    reason,
                    successes: successes + 1,
                };
                None
            }
            Outcome::Refused | Outcome::Cancelled => {
                let until = now.saturating_add_micros(TRIAL_PAUSE_US);
                self.state = State::SetAside {
                    until,
                    reason,
                    successes,
                };
                None
            }
        }
    }

    fn set_aside(&mut self, now: Instant, reason: AsideReason, cfg: &BalancerSettings) -> Step {
        let doubled = 1_u64 << self.times.min(16);
        let aside_ms = cfg
            .first_aside_ms
            .saturating_mul(doubled)
            .min(cfg.longest_aside_ms);
        let until = now.saturating_add_millis(aside_ms);
        self.times = self.times.saturating_add(1);
        self.failures_in_row = 0;
        self.state = State::SetAside {
            until,
            reason,
            successes: 0,
        };
        Step::SetAside { until, reason }
    }
}
