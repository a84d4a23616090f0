//! The end of a request: its response, metrics, log line and trace.

use bytes::Bytes;
use plantainpost_core::{ids::RequestId, time::Instant};
use plantainpost_wire::message::FailReason;
use slog::info;

use super::{
    CallerOutcome, RequestExecution,
    attempt::{Attempt, AttemptEnd},
    decisions,
    response::LocalResponse,
    response_writer::{CallerGone, ResponseWriter},
};
use crate::{
    node::Node,
    trace::{AttemptTrace, RequestTrace},
    workspace_usage,
};

/// A request that is refused on receipt: because of its head, key or body, the lack of routes, or the stop of
/// the node.
pub(super) struct RefusedRequest<'a> {
    pub(super) id: RequestId,
    pub(super) public_id: &'a Bytes,
    pub(super) received_at: Instant,
    /// Version of the routes by which the request is refused, if there are any.
    pub(super) version: Option<u64>,
}

impl RefusedRequest<'_> {
    /// Records the refusal and sends the response.
    pub(super) async fn finish(
        self,
        node: &Node,
        response: LocalResponse,
        writer: ResponseWriter,
    ) -> Result<(), CallerGone> {
        info!(node.logger, "request refused"; "request" => %String::from_utf8_lossy(self.public_id),
            "status" => response.status.as_u16(), "reason" => response.reason,
            "version" => self.version);
        node.traces.borrow_mut().push(RequestTrace {
            id: self.id,
            service: None,
            method: None,
            idempotent: None,
            version: self.version,
            outcome: response.outcome.as_str(),
            reason: Some(response.reason),
            micros: node.now().micros_since(self.received_at),
            attempts: Vec::new(),
        });
        response
            .send(&node.settings.headers, self.public_id, writer)
            .await
    }
}

impl RequestExecution<'_> {
    pub(super) fn record_attempt(&mut self, attempt: &Attempt, end: &AttemptEnd) {
        self.traces.push(AttemptTrace {
            node: attempt.peer.clone(),
            cause: attempt.cause.as_str(),
            result: end.describe(),
            micros: self.node.now().micros_since(attempt.started_at),
        });
    }

    /// Records how the request ended and sends the response.
    pub(super) async fn finish_request(
        self,
        end: AttemptEnd,
        writer: ResponseWriter,
    ) -> Result<(), CallerGone> {
        let (node, request) = (self.node, self.request);
        self.record_trace(&end);
        let names = &node.settings.headers;
        let response = match end {
            AttemptEnd::Response(response) => return response.forward(request, writer).await,
            AttemptEnd::NotRun { .. } if request.check_key(node).is_err() => {
                node.metrics.count("entry.unauthorized");
                LocalResponse::key_withdrawn()
            }
            AttemptEnd::NotRun { reason, .. } => {
                let balancer = node.balancer.borrow();
                let rng = &mut *node.rng.borrow_mut();
                decisions::not_run_response(node, &balancer, &request.policy, reason, rng)
            }
            AttemptEnd::OverQuota(refusal) => LocalResponse::over_quota(refusal.wait_us),
            AttemptEnd::Unknown(reason) => {
                // The guard may report the deadline slightly before the local clock reaches it.
                let is_past_deadline = reason == FailReason::Deadline.as_str();
                LocalResponse::unknown(reason, is_past_deadline || node.now() >= request.deadline)
            }
            AttemptEnd::BadRequest(reason) => {
                LocalResponse::bad_request(reason, CallerOutcome::Unknown)
            }
        };
        response.send(names, &request.public_id, writer).await
    }

    fn record_trace(self, end: &AttemptEnd) {
        let (node, request) = (self.node, self.request);
        let outcome = end.outcome();
        let micros = node.now().micros_since(request.received_at);
        node.metrics.count(match outcome {
            CallerOutcome::Answered => "entry.answered",
            CallerOutcome::NotRun => "entry.not_run",
            CallerOutcome::Unknown => "entry.unknown",
        });
        node.metrics.latency("entry.head_us", micros);
        if let Some(workspace) = &request.policy.workspace {
            workspace_usage::record(node, &workspace.name, outcome);
        }
        let attempts: Vec<String> = self.traces.iter().map(AttemptTrace::describe).collect();
        info!(node.logger, "request ended"; "request" => %request.public_id_text(),
            "service" => request.policy.service.as_str(),
            "route" => request.policy.route.as_ref().map(|route| route.name.to_string()),
            "workspace" => request.policy.workspace.as_ref().map(|w| w.name.to_string()),
            "version" => request.policy.version, "outcome" => outcome.as_str(),
            "result" => end.describe(), "attempts" => attempts.join(", "), "us" => micros);
        node.traces.borrow_mut().push(RequestTrace {
            id: request.id,
            service: Some(request.policy.service.as_str().to_owned()),
            method: Some(request.method.clone()),
            idempotent: Some(request.policy.idempotent),
            version: request.policy.routes_version(),
            outcome: outcome.as_str(),
            reason: None,
            micros,
            attempts: self.traces,
        });
    }
}
