//! What the end of a request shows about its target.

use crate::load::LoadSample;

/// How a request to a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The target answered without a server error.
    Answered,
    /// The target answered with a server error.
    ServerError,
    /// The guard refused the request; it did not run.
    Refused,
    /// No complete answer arrived: the connection failed or was lost, or the deadline passed.
    Failed,
    /// The entry cancelled the request, which says nothing about the target.
    Cancelled,
}

impl RequestOutcome {
    /// Returns whether the outcome counts as a failure of the target.
    pub fn is_failure(self) -> bool {
        matches!(self, RequestOutcome::ServerError | RequestOutcome::Failed)
    }
}

/// Observation at the end of a request to a target.
#[derive(Clone, Copy, Debug)]
pub struct RequestObservation {
    /// How the request ended.
    pub outcome: RequestOutcome,
    /// Time since the request was sent, in microseconds.
    pub latency_us: u64,
    /// Load sample in the answer, or `None` if the answer had none.
    pub load: Option<LoadSample>,
}
