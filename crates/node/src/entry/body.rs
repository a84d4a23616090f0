//! The body of an answer on its way from a guard to the caller.

use std::rc::Rc;

use actix_http::{Response, body::BoxBody};
use bytes::Bytes;
use futures_util::{Stream, stream};
use plantainpost_core::{balance::Outcome, ids::NodeName, load::LoadSample};
use plantainpost_wire::message::{BodyLength, PeerMessage, ResponseHead};
use snafu::Snafu;

use crate::{
    entry::{answer, call::Call, flight::Flight},
    node::Node,
    peers::PeerConn,
};

/// The answer was cut. The caller's connection is closed before the end of the
/// body, so that the caller can't take the part for the whole.
#[derive(Debug, Snafu)]
#[snafu(display("the answer of the target was cut"))]
pub(crate) struct AnswerCut;

/// Head of an answer, and the connection on which its body follows.
pub(crate) struct Answer {
    pub(crate) node: Rc<Node>,
    pub(crate) peer: NodeName,
    pub(crate) head: ResponseHead,
    pub(crate) conn: PeerConn,
    pub(crate) flight: Flight,
    /// Whether the connection may be used again after a complete answer. It may
    /// not while part of the request is unsent.
    pub(crate) reusable: bool,
}

impl Answer {
    /// Passes the answer on to the caller.
    pub(crate) fn into_response(self, call: &Rc<Call>) -> Response<BoxBody> {
        let (id, length) = (call.id, self.head.body);
        let head = self.head.clone();
        if length == BodyLength::None {
            self.complete(call, head.load);
            return answer::answered(id, &head, stream::empty::<Result<Bytes, AnswerCut>>());
        }
        answer::answered(id, &head, self.into_stream(Rc::clone(call)))
    }

    fn into_stream(self, call: Rc<Call>) -> impl Stream<Item = Result<Bytes, AnswerCut>> {
        let reading = Reading {
            answer: self,
            call,
            received: 0,
        };
        stream::unfold(Some(reading), |reading| async {
            let mut reading = reading?;
            match reading.next().await {
                Part::Piece(piece) => Some((Ok(piece), Some(reading))),
                Part::End(load) => {
                    let Reading { answer, call, .. } = reading;
                    answer.complete(&call, load);
                    None
                }
                Part::Cut => {
                    reading.fail();
                    Some((Err(AnswerCut), None))
                }
            }
        })
    }

    fn complete(mut self, call: &Call, load: LoadSample) {
        let outcome = match self.head.status {
            500.. => Outcome::ServerError,
            _ => Outcome::Answered,
        };
        let micros = self.flight.micros();
        self.flight.report(outcome, Some(load));
        let now = self.node.now();
        if outcome == Outcome::Answered {
            let mut retries = self.node.retries.borrow_mut();
            retries.on_success(now, call.service.as_str(), micros);
        }
        let total = now.micros_since(call.received);
        self.node.metrics.latency("entry.total_us", total);
        if self.reusable {
            self.node.peers.release(&self.peer, self.conn);
        }
    }
}

enum Part {
    Piece(Bytes),
    End(LoadSample),
    Cut,
}

struct Reading {
    answer: Answer,
    call: Rc<Call>,
    /// Bytes of the body that were passed on.
    received: u64,
}

impl Reading {
    async fn next(&mut self) -> Part {
        let clock = self.answer.node.clock;
        let frame = self.answer.conn.rx.read();
        match clock.before(self.call.deadline, frame).await {
            Some(Ok(PeerMessage::Body(piece))) => {
                self.received += piece.len() as u64;
                Part::Piece(piece)
            }
            Some(Ok(PeerMessage::BodyEnd { length, load })) if self.is_whole(length) => {
                Part::End(load.unwrap_or(self.answer.head.load))
            }
            _ => Part::Cut,
        }
    }

    fn is_whole(&self, length: u64) -> bool {
        let stated = match self.answer.head.body {
            BodyLength::Sized(stated) => stated,
            BodyLength::None | BodyLength::Chunked => length,
        };
        length == self.received && stated == length
    }

    fn fail(mut self) {
        self.answer.node.metrics.count("entry.answer_cut");
        self.answer.flight.report(Outcome::Failed, None);
    }
}
