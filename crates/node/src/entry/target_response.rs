//! Forwarding of a target's response from the guard to the caller.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use plantainpost_core::{
    balance::RequestOutcome, delivery::ArrivalTime, ids::NodeName, load::LoadSample,
};
use plantainpost_wire::message::{BodyLength, PeerMessage, PeerResponseHead};
use slog::info;
use snafu::Snafu;

use crate::{
    entry::{
        caller_request::CallerRequest,
        held_body::{HeldBody, SendFailure},
        in_flight::InFlightAttempt,
        response,
        response_writer::{CallerGone, ResponseWriter},
    },
    node::Node,
    peer_pool::PeerConn,
};

/// Bytes of a response body that are buffered before the head is sent to the caller. If the
/// response is truncated within these bytes, the caller has seen none of it, so an idempotent
/// request can be retried.
const RETRY_BUFFER_BYTES: u64 = 64 * 1024;

/// Parts of a response that are taken before other tasks get a turn. Many short ones can be in the
/// buffers of a connection, and each takes about a microsecond.
pub(super) const PARTS_PER_TURN: u32 = 256;

/// The response ended before its body was complete.
#[derive(Debug, Snafu)]
#[snafu(display("the target's response was truncated"))]
pub(crate) struct ResponseTruncated;

/// How the relaying of a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayEnd {
    /// All of it was received.
    Complete,
    /// It ended too early, or the target was late.
    Truncated,
    /// The caller's connection had no room for it by the time at which it is given up.
    Late,
}

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
    /// The time for the rest of the body.
    pub(crate) time: ArrivalTime,
    /// Parts that may be taken before other tasks get a turn, at most [`PARTS_PER_TURN`].
    pub(crate) parts_left: u32,
    /// Load of the target at the end of the response. `None` until the body is complete.
    pub(crate) end_load: Option<LoadSample>,
}

impl TargetResponse {
    /// Reads at least [`RETRY_BUFFER_BYTES`] of the body, or all of a shorter one.
    pub(crate) async fn fill_retry_buffer(&mut self) -> Result<(), ResponseTruncated> {
        if self.head.body == BodyLength::None {
            self.end_load = Some(self.head.load);
        }
        while self.end_load.is_none() && self.received_bytes < RETRY_BUFFER_BYTES {
            if let Some(piece) = self.read_part().await? {
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
        let mut held = HeldBody::new(&self.node);
        let buffered = std::mem::take(&mut self.buffered);
        if !buffered.is_empty() {
            held.send_or_hold(buffered.freeze(), &writer)?;
        }
        let node = Rc::clone(&self.node);
        let end = self.relay_body(&mut held, &writer).await?;
        self.in_flight.exclude_us(self.time.blocked_us());
        let give_up_at = self.time.give_up_at();
        match end {
            RelayEnd::Complete => self.report_completion(request),
            RelayEnd::Truncated => self.report_failure(),
            // Its caller was too slow, which says nothing about the target.
            RelayEnd::Late => drop(self),
        }
        let end = match held.send_rest(&writer, give_up_at).await {
            Ok(()) => end,
            Err(SendFailure::CallerGone) => return Err(CallerGone),
            Err(SendFailure::Late) => RelayEnd::Late,
        };
        match end {
            RelayEnd::Complete => return writer.finish().await,
            RelayEnd::Truncated => node.metrics.count("entry.answer_cut"),
            RelayEnd::Late => {
                node.metrics.count("entry.answer_given_up");
                info!(node.logger, "answer given up, its caller was too slow";
                    "request" => %request.public_id_text());
            }
        }
        Ok(())
    }

    /// Takes the body from the guard and passes it on.
    ///
    /// Reads ahead of the caller's connection as far as the memory for it allows, so that the
    /// target is not kept waiting, and a target that is late is noticed.
    async fn relay_body(
        &mut self,
        held: &mut HeldBody,
        writer: &ResponseWriter,
    ) -> Result<RelayEnd, CallerGone> {
        let clock = self.node.clock;
        while self.end_load.is_none() {
            if !held.has_room() {
                self.time.block(self.node.now());
                let give_up_at = self.time.give_up_at();
                let waited = clock.timeout_at(give_up_at, held.wait_for_room(writer));
                let waited = waited.await;
                self.time.unblock(self.node.now());
                match waited {
                    Some(result) => result?,
                    None => return Ok(RelayEnd::Late),
                }
                continue;
            }
            let has_held = !held.is_empty();
            let part = tokio::select! {
                biased;
                sent = held.send_block(writer), if has_held => {
                    sent?;
                    continue;
                }
                part = self.read_part() => part,
            };
            match part {
                Ok(Some(piece)) => held.send_or_hold(piece, writer)?,
                Ok(None) => (),
                Err(ResponseTruncated) => return Ok(RelayEnd::Truncated),
            }
        }
        Ok(RelayEnd::Complete)
    }

    /// Reads the next piece of the body. Returns `None` at the end, after setting `end_load`. Fails if
    /// it is late, or if too much of the body comes after the deadline.
    async fn read_part(&mut self) -> Result<Option<Bytes>, ResponseTruncated> {
        if self.parts_left == 0 {
            actix_rt::task::yield_now().await;
            self.parts_left = PARTS_PER_TURN;
        }
        let clock = self.node.clock;
        let part = clock
            .timeout_at(self.time.deadline(), self.conn.rx.read())
            .await;
        self.parts_left -= 1;
        let now = self.node.now();
        match part {
            Some(Ok(PeerMessage::Body(piece))) if self.time.on_part(now, piece.len()) => {
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
