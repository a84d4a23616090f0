//! Traces of recent requests, for the `explain` call of operators.

use std::collections::VecDeque;

use plantainpost_core::ids::{NodeName, RequestId};
use serde::Serialize;

/// Largest number of traces that are kept. At 128 requests per second, they cover the last 16 s and
/// take about 600 KB.
const MAX_TRACES: usize = 2_048;

/// Trace of one attempt.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct AttemptTrace {
    /// Node that the attempt was sent to.
    pub(crate) node: NodeName,
    /// Cause of the attempt: `first`, `retry` or `hedge`.
    pub(crate) cause: &'static str,
    /// Outcome and its reason.
    pub(crate) result: String,
    /// Time from the choice of the node to the result, in microseconds.
    pub(crate) micros: u64,
}

impl AttemptTrace {
    /// Formats the attempt for logs.
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

/// Trace of one request.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RequestTrace {
    #[serde(skip)]
    pub(crate) id: RequestId,
    /// Requested service; `None` if the request was refused on receipt.
    pub(crate) service: Option<String>,
    /// HTTP method; `None` like `service`.
    pub(crate) method: Option<String>,
    /// Whether the request may run more than once; `None` like `service`.
    pub(crate) idempotent: Option<bool>,
    /// Version of the routes by which the request was routed or refused. `None` if services are
    /// addressed by name, and before the first routes.
    pub(crate) version: Option<u64>,
    /// Outcome as reported to the caller.
    pub(crate) outcome: &'static str,
    /// Why the request was refused on receipt; `None` for other requests.
    pub(crate) reason: Option<&'static str>,
    /// Time until the head of the response, in microseconds.
    pub(crate) micros: u64,
    /// Attempts, in the order in which they ended.
    pub(crate) attempts: Vec<AttemptTrace>,
}

/// Ring buffer with the traces of the most recent requests.
#[derive(Default)]
pub(crate) struct TraceRing {
    /// At most [`MAX_TRACES`] traces, oldest first.
    traces: VecDeque<RequestTrace>,
}

impl TraceRing {
    /// Adds a trace. Removes the oldest one if the buffer is full.
    pub(crate) fn push(&mut self, trace: RequestTrace) {
        if self.traces.len() == MAX_TRACES {
            self.traces.pop_front();
        }
        self.traces.push_back(trace);
    }

    /// Returns the newest trace of a request, if there is one.
    pub(crate) fn find(&self, id: RequestId) -> Option<&RequestTrace> {
        self.traces.iter().rev().find(|t| t.id == id)
    }
}
