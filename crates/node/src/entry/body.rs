//! The body of an answer on its way from a guard to the caller.

use std::rc::Rc;

use bytes::Bytes;
use plantainpost_core::{balance::RequestOutcome, ids::NodeName, load::LoadSample};
use plantainpost_wire::message::{BodyLength, PeerMessage, PeerResponseHead};
use snafu::Snafu;

use crate::{
    entry::reply::{Gone, Reply},
    entry::{answer, call::Call, flight::Flight},
    node::Node,
    peer_pool::PeerConn,
};

/// Bytes of an answer that are gathered before its head is passed on. An answer that is cut
/// before that was not seen by the caller, so that an idempotent request can be repeated.
const GATHER_BYTES: u64 = 64 * 1024;

/// The answer was cut.
#[derive(Debug, Snafu)]
#[snafu(display("the answer of the target was cut"))]
pub(crate) struct AnswerCut;

/// An answer, and the connection on which the rest of its body follows.
pub(crate) struct Answer {
    pub(crate) node: Rc<Node>,
    pub(crate) peer: NodeName,
    pub(crate) head: PeerResponseHead,
    pub(crate) conn: PeerConn,
    pub(crate) flight: Flight,
    /// Whether the connection may be used again after a complete answer. It may
    /// not while part of the request is unsent.
    pub(crate) reusable: bool,
    /// Pieces of the body that were received and not passed on.
    pub(crate) gathered: Vec<Bytes>,
    /// Bytes of the body that were received.
    pub(crate) received: u64,
    /// Load of the target at the end of the answer, once the body is complete.
    pub(crate) end: Option<LoadSample>,
}

impl Answer {
    /// Reads the beginning of the body, or all of a short one.
    pub(crate) async fn gather(&mut self, call: &Call) -> Result<(), AnswerCut> {
        if self.head.body == BodyLength::None {
            self.end = Some(self.head.load);
        }
        while self.end.is_none() && self.received < GATHER_BYTES {
            if let Some(piece) = self.next(call).await? {
                self.gathered.push(piece);
            }
        }
        Ok(())
    }

    /// Passes the answer on to the caller.
    ///
    /// A cut answer ends without its end, so that the caller can't take the part for the
    /// whole.
    pub(crate) async fn pass_on(mut self, call: &Call, reply: Reply) -> Result<(), Gone> {
        let mut head = self.head.clone();
        if self.end.is_some() && head.body == BodyLength::Chunked {
            head.body = BodyLength::Sized(self.received);
        }
        let names = &self.node.settings.headers;
        reply.head(answer::answered(names, call, head)).await?;
        for piece in std::mem::take(&mut self.gathered) {
            reply.data(piece).await?;
        }
        while self.end.is_none() {
            match self.next(call).await {
                Ok(Some(piece)) => reply.data(piece).await?,
                Ok(None) => (),
                Err(AnswerCut) => {
                    self.node.metrics.count("entry.answer_cut");
                    self.fail();
                    return Ok(());
                }
            }
        }
        self.complete(call);
        reply.end().await
    }

    /// Reads a piece of the body, or its end.
    async fn next(&mut self, call: &Call) -> Result<Option<Bytes>, AnswerCut> {
        let clock = self.node.clock;
        match clock.timeout_at(call.deadline, self.conn.rx.read()).await {
            Some(Ok(PeerMessage::Body(piece))) => {
                self.received += piece.len() as u64;
                Ok(Some(piece))
            }
            Some(Ok(PeerMessage::BodyEnd { length, load })) if self.is_whole(length) => {
                self.end = Some(load.unwrap_or(self.head.load));
                Ok(None)
            }
            _ => Err(AnswerCut),
        }
    }

    fn is_whole(&self, length: u64) -> bool {
        let stated = match self.head.body {
            BodyLength::Sized(stated) => stated,
            BodyLength::None | BodyLength::Chunked => length,
        };
        length == self.received && stated == length
    }

    fn complete(mut self, call: &Call) {
        let outcome = match self.head.status {
            500.. => RequestOutcome::ServerError,
            _ => RequestOutcome::Answered,
        };
        let micros = self.flight.micros();
        self.flight.report(outcome, self.end);
        let now = self.node.now();
        if outcome == RequestOutcome::Answered {
            let mut retries = self.node.retry_budgets.borrow_mut();
            retries.on_success(now, call.rule.service.as_str(), micros);
        }
        let total = now.micros_since(call.received);
        self.node.metrics.latency("entry.total_us", total);
        if self.reusable {
            self.node.peer_pool.release(&self.peer, self.conn);
        }
    }

    /// Reports that no whole answer came.
    pub(crate) fn fail(&mut self) {
        self.flight.report(RequestOutcome::Failed, None);
    }
}
