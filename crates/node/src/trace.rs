//! Recent requests, for the `explain` call of operators.

use std::collections::VecDeque;

use plantainpost_core::ids::{NodeName, RequestId};
use serde::Serialize;

/// Requests that are remembered.
///
/// At 128 calls per second this covers the last 16 seconds in about 600 KB.
const CAPACITY: usize = 2_048;

/// What happened to one attempt.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct AttemptTrace {
    /// Node that got the attempt.
    pub(crate) node: NodeName,
    /// Why this node was chosen: the first attempt, a retry or a hedge.
    pub(crate) cause: &'static str,
    /// Outcome and its reason.
    pub(crate) result: String,
    /// Time from the choice to the result, in microseconds.
    pub(crate) micros: u64,
}

impl AttemptTrace {
    /// Returns the attempt as text for logs.
    pub(crate) fn describe(&self) -> String {
        let AttemptTrace {
            node,
            cause,
            result,
            micros,
        } = self;
        format!("{cause} at {node}: {result} after {micros} us")
    }
}

/// What happened to one request.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RequestTrace {
    #[serde(skip)]
    pub(crate) id: RequestId,
    /// Service that was asked for.
    pub(crate) service: String,
    /// HTTP method.
    pub(crate) method: String,
    /// Whether the request could run more than once.
    pub(crate) idempotent: bool,
    /// Outcome that the caller was told.
    pub(crate) outcome: &'static str,
    /// Time until the head of the answer, in microseconds.
    pub(crate) micros: u64,
    /// Attempts in the order in which they ended.
    pub(crate) attempts: Vec<AttemptTrace>,
}

/// The most recent requests.
#[derive(Default)]
pub(crate) struct TraceRing {
    /// At most [`CAPACITY`] entries, the oldest first.
    traces: VecDeque<RequestTrace>,
}

impl TraceRing {
    /// Remembers a request.
    pub(crate) fn push(&mut self, trace: RequestTrace) {
        if self.traces.len() == CAPACITY {
            self.traces.pop_front();
        }
        self.traces.push_back(trace);
    }

    /// Finds a request by its id.
    pub(crate) fn find(&self, id: RequestId) -> Option<&RequestTrace> {
        self.traces.iter().rev().find(|t| t.id == id)
    }
}
