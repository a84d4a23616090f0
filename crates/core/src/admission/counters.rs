//! Counters of the guard.

use super::RefuseReason;

/// Counts of the guard's decisions since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests passed to [`Guard::offer`](super::Guard::offer).
    pub offered: u64,
    /// Requests that got a slot at once.
    pub started: u64,
    /// Requests that entered the queue.
    pub queued: u64,
    /// Requests that were given a slot after waiting in the queue.
    pub promoted: u64,
    /// Requests that passed the last check and could be written to the target.
    pub dispatched: u64,
    /// Answers of the target without a server error.
    pub completed: u64,
    /// Answers of the target with a server error.
    pub server_errors: u64,
    /// Requests that got a slot but were not written to the target.
    pub not_started: u64,
    /// Exchanges with the target that failed.
    pub failed: u64,
    /// Refusals by the target.
    pub target_refused: u64,
    /// Cancelled requests that were queued or held a slot.
    pub cancelled: u64,
    /// Requests fenced at the request of an entry, and known ones that were refused by
    /// [`Guard::refuse`](super::Guard::refuse).
    pub fenced: u64,
    /// Reductions of the concurrency limit.
    pub limit_lowered: u64,
    /// Increases of the concurrency limit.
    pub limit_raised: u64,
    /// Refusals, indexed in the order of [`RefuseReason::ALL`].
    refused: [u64; RefuseReason::ALL.len()],
}

impl Counters {
    /// Returns the number of refusals for `reason`.
    pub fn refused(&self, reason: RefuseReason) -> u64 {
        self.refused[reason as usize]
    }

    /// Returns the number of all refusals.
    pub fn refused_total(&self) -> u64 {
        self.refused.iter().sum()
    }

    /// Counts a refusal.
    pub(super) fn count_refusal(&mut self, reason: RefuseReason) {
        self.refused[reason as usize] += 1;
    }
}
