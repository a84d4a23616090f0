//! Forwarding of a target's response from the guard to the caller.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use plantainpost_core::{balance::RequestOutcome, ids::NodeName, load::LoadSample};
use plantainpost_wire::message::{BodyLength, PeerMessage, PeerResponseHead};
use snafu::Snafu;

use crate::{
    entry::response_writer::{CallerGone, ResponseWriter},
    entry::{caller_request::CallerRequest, in_flight::InFlightAttempt, response},
    node::Node,
    peer_pool::PeerConn,
};

/// Bytes of a response body that are buffered before the head is sent to the caller. If the
/// response is truncated within these bytes, the caller has seen none of it, so an idempotent
/// request can be retried.
const RETRY_BUFFER_BYTES: u64 = 64 * 1024;

/// The response ended before its body was complete.
#[derive(Debug, Snafu)]
#[snafu(display("the target's response was truncated"))]
pub(crate) struct ResponseTruncated;

/// A response, and the connection on which the rest of its body follows.
pub(crate) struct TargetResponse {
    pub(crate) node: Rc<Node>,
    pub(crate) peer: NodeName,
    pub(crate) head: PeerResponseHead,
    pub(crate) conn: PeerConn,
    pub(crate) in_flight: InFlightAttempt,
    /// Whether the connection may be reused after a complete response. `false` if part of the
    /// request was not sent.
    pub(crate) reusable: bool,
    /// Part of the body that was received but not forwarded. It is copied into one buffer, because a
    /// target can send any number of small pieces.
    pub(crate) buffered: BytesMut,
    /// Bytes of the body received so far.
    pub(crate) received_bytes: u64,
    /// Load of the target at the end of the response. `None` until the body is complete.
    pub(crate) end_load: Option<LoadSample>,
}

impl TargetResponse {
    /// Reads at least [`RETRY_BUFFER_BYTES`] of the body, or all of a shorter one.
    pub(crate) async fn fill_retry_buffer(
        &mut self,
        request: &CallerRequest,
    ) -> Result<(), ResponseTruncated> {
        if self.head.body == BodyLength::None {
            self.end_load = Some(self.head.load);
        }
        while self.end_load.is_none() && self.received_bytes < RETRY_BUFFER_BYTES {
            if let Some(piece) = self.read_part(request).await? {
                self.buffered.extend_from_slice(&piece);
            }
        }
        Ok(())
    }

    /// Forwards the response to the caller.
    ///
    /// A truncated response is not terminated, so that the caller can't mistake it for a
    /// complete one.
    pub(crate) async fn forward(
        mut self,
        request: &CallerRequest,
        writer: ResponseWriter,
    ) -> Result<(), CallerGone> {
        let mut head = self.head.clone();
        if self.end_load.is_some() && head.body == BodyLength::Chunked {
            head.body = BodyLength::Sized(self.received_bytes);
        }
        let names = &self.node.settings.headers;
        writer
            .send_head(response::target_response_head(names, request, head))
            .await?;
        if !self.buffered.is_empty() {
            let buffered = std::mem::take(&mut self.buffered);
            writer.send_data(buffered.freeze()).await?;
        }
        while self.end_load.is_none() {
            match self.read_part(request).await {
                Ok(Some(piece)) => writer.send_data(piece).await?,
                Ok(None) => (),
                Err(ResponseTruncated) => {
                    self.node.metrics.count("entry.answer_cut");
                    self.report_failure();
                    return Ok(());
                }
            }
        }
        self.report_completion(request);
        writer.finish().await
    }

    /// Reads the next piece of the body. Returns `None` at the end, after setting `end_load`.
    async fn read_part(
        &mut self,
        request: &CallerRequest,
    ) -> Result<Option<Bytes>, ResponseTruncated> {
        let clock = self.node.clock;
        match clock
            .timeout_at(request.deadline, self.conn.rx.read())
            .await
        {
            Some(Ok(PeerMessage::Body(piece))) => {
                self.received_bytes += piece.len() as u64;
                Ok(Some(piece))
            }
            Some(Ok(PeerMessage::BodyEnd { length, load })) if self.is_expected_length(length) => {
                self.end_load = Some(load.unwrap_or(self.head.load));
                Ok(None)
            }
            _ => Err(ResponseTruncated),
        }
    }

    fn is_expected_length(&self, length: u64) -> bool {
        let expected = match self.head.body {
            BodyLength::Sized(expected) => expected,
            BodyLength::None | BodyLength::Chunked => length,
        };
        length == self.received_bytes && expected == length
    }

    fn report_completion(mut self, request: &CallerRequest) {
        let outcome = match self.head.status {
            500.. => RequestOutcome::ServerError,
            _ => RequestOutcome::Answered,
        };
        let latency_us = self.in_flight.elapsed_us();
        self.in_flight.report(outcome, self.end_load);
        let now = self.node.now();
        self.node
            .balancer
            .borrow_mut()
            .record_response_size(request.class(), self.received_bytes);
        if outcome == RequestOutcome::Answered {
            let mut retries = self.node.retry_budgets.borrow_mut();
            retries.on_success(now, request.policy.service.as_str(), latency_us);
        }
        let total_us = now.micros_since(request.received_at);
        self.node.metrics.latency("entry.total_us", total_us);
        if self.reusable {
            self.node.peer_pool.release(&self.peer, self.conn);
        }
    }

    /// Reports to the balancer that no complete response was received.
    pub(crate) fn report_failure(&mut self) {
        self.in_flight.report(RequestOutcome::Failed, None);
    }
}
