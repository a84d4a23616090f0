//! Evidence that an answer gives about its target.

use crate::load::LoadSample;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The target answered without a server error.
    Answered,
    /// The target answered with a server error.
    ServerError,
    /// The guard refused the request; it was not run.
    Refused,
    /// No whole answer came: connection lost, not opened, or deadline passed.
    Failed,
    /// The entry cancelled the attempt; this says nothing about the target.
    Cancelled,
}

impl RequestOutcome {
    /// Returns whether the outcome speaks against the target.
    pub fn is_failure(self) -> bool {
        matches!(self, RequestOutcome::ServerError | RequestOutcome::Failed)
    }
}

/// Evidence from the end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct RequestObservation {
    /// How the attempt ended.
    pub outcome: RequestOutcome,
    /// Time since the attempt was sent, in microseconds.
    pub latency_us: u64,
    /// Load of the target, if the guard sent it along.
    pub load: Option<LoadSample>,
}
