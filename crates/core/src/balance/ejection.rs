//! Ejection of failing targets: a target is in use, ejected for an exponentially growing time, or
//! half-open, that is, receiving one trial request at a time.

use std::fmt;

use super::{BalancerSettings, RequestOutcome};
use crate::time::{Instant, MICROS_PER_MILLI};

/// Delay of the next trial request after one that was refused or cancelled. Without it, each
/// request would be tried at a guard whose queue is full.
const TRIAL_RETRY_DELAY_US: u64 = 100 * MICROS_PER_MILLI;

/// Time in use after which the next ejection starts again at the first ejection time.
const BACKOFF_RESET_US: u64 = 60_000 * MICROS_PER_MILLI;

/// Why a target was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionReason {
    /// This many requests failed in a row.
    ConsecutiveFailures(u32),
    /// A trial request failed.
    TrialFailed,
}

impl fmt::Display for EjectionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EjectionReason::ConsecutiveFailures(count) => write!(f, "{count} failures in a row"),
            EjectionReason::TrialFailed => f.write_str("a trial request failed"),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EjectionState {
    InUse,
    /// The target takes no requests until `until`, and trial requests from then on.
    Ejected {
        until: Instant,
        reason: EjectionReason,
        /// Number of trial requests answered so far.
        successes: u32,
    },
}

/// State change caused by the outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EjectionTransition {
    Ejected {
        until: Instant,
        reason: EjectionReason,
    },
    Restored,
}

/// Ejection state of one target at one entry.
#[derive(Clone, Debug)]
pub(super) struct EjectionTracker {
    state: EjectionState,
    consecutive_failures: u32,
    /// Number of ejections without a time in use of [`BACKOFF_RESET_US`] between them; the
    /// ejection time doubles with each.
    ejection_count: u32,
    restored_at: Option<Instant>,
}

impl EjectionTracker {
    pub(super) fn new() -> Self {
        EjectionTracker {
            state: EjectionState::InUse,
            consecutive_failures: 0,
            ejection_count: 0,
            restored_at: None,
        }
    }

    pub(super) fn state(&self) -> EjectionState {
        self.state
    }

    pub(super) fn is_in_use(&self) -> bool {
        self.state == EjectionState::InUse
    }

    pub(super) fn is_trial_due(&self, now: Instant) -> bool {
        matches!(self.state, EjectionState::Ejected { until, .. } if now >= until)
    }

    /// Puts the target back in use.
    pub(super) fn restore(&mut self, now: Instant) {
        self.state = EjectionState::InUse;
        self.consecutive_failures = 0;
        self.restored_at = Some(now);
    }

    /// Updates the state after a request ended. `may_eject` says whether one more target of the
    /// service may be ejected.
    pub(super) fn on_outcome(
        &mut self,
        now: Instant,
        outcome: RequestOutcome,
        may_eject: bool,
        cfg: &BalancerSettings,
    ) -> Option<EjectionTransition> {
        match self.state {
            EjectionState::InUse => self.on_in_use_outcome(now, outcome, may_eject, cfg),
            // The request was sent before the target was ejected.
            EjectionState::Ejected { until, .. } if now < until => None,
            EjectionState::Ejected {
                reason, successes, ..
            } => self.on_half_open_outcome(now, outcome, reason, successes, cfg),
        }
    }

    fn on_in_use_outcome(
        &mut self,
        now: Instant,
        outcome: RequestOutcome,
        may_eject: bool,
        cfg: &BalancerSettings,
    ) -> Option<EjectionTransition> {
        if outcome == RequestOutcome::Answered {
            self.consecutive_failures = 0;
        }
        if !outcome.is_failure() {
            return None;
        }
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.consecutive_failures < cfg.failures_to_eject || !may_eject {
            return None;
        }
        if self
            .restored_at
            .is_some_and(|at| now.micros_since(at) > BACKOFF_RESET_US)
        {
            self.ejection_count = 0;
        }
        Some(self.eject(
            now,
            EjectionReason::ConsecutiveFailures(self.consecutive_failures),
            cfg,
        ))
    }

    fn on_half_open_outcome(
        &mut self,
        now: Instant,
        outcome: RequestOutcome,
        reason: EjectionReason,
        successes: u32,
        cfg: &BalancerSettings,
    ) -> Option<EjectionTransition> {
        match outcome {
            RequestOutcome::ServerError | RequestOutcome::Failed => {
                Some(self.eject(now, EjectionReason::TrialFailed, cfg))
            }
            RequestOutcome::Answered if successes + 1 >= cfg.trials_to_restore => {
                self.restore(now);
                Some(EjectionTransition::Restored)
            }
            RequestOutcome::Answered => {
                self.state = EjectionState::Ejected {
                    until: now,
                    reason,
                    successes: successes + 1,
                };
                None
            }
            RequestOutcome::Refused | RequestOutcome::Cancelled => {
                let until = now.saturating_add_micros(TRIAL_RETRY_DELAY_US);
                self.state = EjectionState::Ejected {
                    until,
                    reason,
                    successes,
                };
                None
            }
        }
    }

    fn eject(
        &mut self,
        now: Instant,
        reason: EjectionReason,
        cfg: &BalancerSettings,
    ) -> EjectionTransition {
        let multiplier = 1_u64 << self.ejection_count.min(16);
        let ejection_ms = cfg
            .first_ejection_ms
            .saturating_mul(multiplier)
            .min(cfg.max_ejection_ms);
        let until = now.saturating_add_millis(ejection_ms);
        self.ejection_count = self.ejection_count.saturating_add(1);
        self.consecutive_failures = 0;
        self.state = EjectionState::Ejected {
            until,
            reason,
            successes: 0,
        };
        EjectionTransition::Ejected { until, reason }
    }
}
