//! One request of an entry: admission, dispatch and refusal.

use std::{collections::VecDeque, rc::Rc};

use bytes::Bytes;
use plantainpost_core::{
    admission::{Admission, DispatchDecision, Offer, RefuseReason, Urgency},
    time::Instant,
};
use plantainpost_http1::{self as http1, Connection};
use plantainpost_wire::{
    frame::FrameError,
    message::{BodyLength, FailReason, MAX_BODY_FRAME_BYTES, PeerMessage, PeerRequestHead},
};
use slog::info;
use tokio::sync::oneshot;

use super::{
    Conn, Exchange, local_deadline, relay, sent,
    slot::{Admitted, Slot},
};
use crate::{node::Node, pace};

/// Time that an entry has to send the rest of the body of a refused request, in
/// milliseconds.
pub(super) const DRAIN_TIMEOUT_MS: u64 = 5_000;

/// The body of a request as far as it was received.
pub(super) struct Received {
    /// Pieces that the target has not got yet, at most [`MAX_BODY_FRAME_BYTES`] bytes
    /// before the request is dispatched.
    pub(super) pieces: VecDeque<Bytes>,
    /// Bytes received in all.
    pub(super) length: u64,
    /// Whether the end of the body was received.
    pub(super) ended: bool,
}

impl Received {
    fn new(length: BodyLength) -> Self {
        Received {
            pieces: VecDeque::new(),
            length: 0,
            ended: matches!(length, BodyLength::None | BodyLength::Sized(0)),
        }
    }

    /// Takes a frame of the body. Fails on any other frame, and on an end that does
    /// not fit the bytes.
    pub(super) fn take(&mut self, stated: BodyLength, msg: PeerMessage) -> Result<(), ()> {
        match msg {
            PeerMessage::Body(piece) if !self.ended && piece.len() <= MAX_BODY_FRAME_BYTES => {
                self.length += piece.len() as u64;
                self.pieces.push_back(piece);
                Ok(())
            }
            PeerMessage::BodyEnd { length, .. } if !self.ended && length == self.length => {
                self.ended = true;
                match stated {
                    BodyLength::Sized(stated) if stated != length => Err(()),
                    _ => Ok(()),
                }
            }
            _ => Err(()),
        }
    }
}

/// A request on its way to the target.
pub(super) struct Pending {
    pub(super) head: PeerRequestHead,
    /// Deadline on the own clock.
    pub(super) deadline: Instant,
    /// Whether the entry was asked for a body that it does not send at once.
    pub(super) is_continued: bool,
    /// Urgency with instants of the own clock.
    pub(super) urgency: Urgency,
    pub(super) body: Received,
}

impl Pending {
    /// Reports whether the entry sends the body, or has been asked to.
    fn is_body_due(&self) -> bool {
        self.is_continued || !relay::takes_more(self.head.body)
    }

    /// Returns the id of the request for logs.
    pub(super) fn public_id(&self, node: &Node) -> String {
        let name = node.settings.headers.request_id;
        let id = http1::header_value(&self.head.headers, name).unwrap_or_default();
        String::from_utf8_lossy(id).into_owned()
    }
}

/// What the wait for a slot led to.
enum Wait {
    Start,
    Refused(RefuseReason),
    /// The entry has gone or does not follow the protocol.
    Broken,
}

/// Serves one request.
pub(super) async fn serve(node: &Rc<Node>, conn: &mut Conn, head: PeerRequestHead) -> Exchange {
    node.metrics.count("guard.request");
    let deadline = local_deadline(conn, head.deadline);
    let body = Received::new(head.body);
    let urgency = Urgency {
        due: head.urgency.due.map(|due| local_deadline(conn, due)),
        ..head.urgency
    };
    let mut req = Pending {
        head,
        deadline,
        is_continued: false,
        urgency,
        body,
    };
    let key = req.head.key;
    pace::refresh_pace(node).await;
    let admission = offer(node, &req);
    let admitted = match admission {
        Admission::Refused(reason) => return refuse(node, conn, req, reason).await,
        Admission::Start | Admission::Queued => Admitted::new(node, key),
    };
    let wait = match admission {
        Admission::Queued => wait_for_slot(node, conn, &mut req).await,
        _ => Wait::Start,
    };
    match wait {
        Wait::Start => dispatch(node, conn, req, admitted).await,
        Wait::Refused(reason) => {
            admitted.done();
            refuse(node, conn, req, reason).await
        }
        Wait::Broken => Exchange::Broken,
    }
}

fn offer(node: &Node, req: &Pending) -> Admission {
    let offer = Offer {
        key: req.head.key,
        service: req.head.service.as_str(),
        deadline: req.deadline,
        has_alternative: req.head.may_decline,
        urgency: req.urgency,
    };
    node.guard.borrow_mut().offer(node.now(), &offer)
}

/// Waits until the guard starts or refuses a queued request. Meanwhile takes what
/// the entry sends of the body, and notices when the entry closes the connection.
async fn wait_for_slot(node: &Node, conn: &mut Conn, req: &mut Pending) -> Wait {
    let (tx, mut rx) = oneshot::channel();
    node.waiters.borrow_mut().insert(req.head.key, tx);
    node.pace.notify_request_queued();
    loop {
        tokio::select! {
            woken = &mut rx => return match woken {
                Ok(Admission::Start) => Wait::Start,
                Ok(Admission::Refused(reason)) => Wait::Refused(reason),
                Ok(Admission::Queued) | Err(_) => Wait::Broken,
            },
            msg = conn.rx.read() => {
                if take_body(req, msg).is_err() {
                    return Wait::Broken;
                }
            }
        }
    }
}

fn take_body(req: &mut Pending, msg: Result<PeerMessage, FrameError>) -> Result<(), ()> {
    let stated = req.head.body;
    req.body.take(stated, msg.map_err(|_| ())?)
}

/// Opens the way to the target, makes the last checks and runs the request.
async fn dispatch(node: &Rc<Node>, conn: &mut Conn, req: Pending, admitted: Admitted) -> Exchange {
    let key = req.head.key;
    // The connection comes first, so that the check of the deadline is the last step
    // before the request is written.
    let target_conn = match connect(node, req.deadline).await {
        Ok(target_conn) => target_conn,
        Err(Unreachable::NoTarget) => {
            drop(admitted);
            return refuse(node, conn, req, RefuseReason::NoTarget).await;
        }
        Err(Unreachable::Connect) => {
            drop(admitted);
            return relay::fail(node, conn, key, false, FailReason::Connect).await;
        }
    };
    let decision = node.guard.borrow_mut().dispatch(node.now(), key);
    admitted.done();
    if let DispatchDecision::Refused(reason) = decision {
        node.target_pool.release(target_conn, node.now());
        let wakeups = node.guard.borrow_mut().expire(node.now());
        node.wake_waiters(wakeups);
        return refuse(node, conn, req, reason).await;
    }
    let slot = Slot::new(node, key);
    relay::run(node, conn, req, slot, target_conn).await
}

/// Why no connection to the target could be had.
enum Unreachable {
    NoTarget,
    Connect,
}

async fn connect(node: &Node, deadline: Instant) -> Result<Connection, Unreachable> {
    let now = node.now();
    let target = node.guard.borrow().target(now).map(|target| target.address);
    let target = target.ok_or(Unreachable::NoTarget)?;
    let timeout_ms = node.settings.limits.connect_timeout_ms;
    let limit = now.saturating_add_millis(timeout_ms).min(deadline);
    match node
        .clock
        .timeout_at(limit, node.target_pool.acquire(target, now))
        .await
    {
        Some(Ok(target_conn)) => Ok(target_conn),
        Some(Err(_)) | None => {
            node.metrics.count("guard.target_connect_error");
            Err(Unreachable::Connect)
        }
    }
}

/// Tells the entry that the request was refused, and reads the rest of its body, so
/// that the connection can be used again. An entry that was not asked for its body sends none.
pub(super) async fn refuse(
    node: &Node,
    conn: &mut Conn,
    mut req: Pending,
    reason: RefuseReason,
) -> Exchange {
    node.metrics.count("guard.refused");
    let load = node.guard.borrow().load_sample(node.now());
    info!(node.logger, "request refused"; "request" => %req.public_id(node),
        "reason" => reason.as_str(), "in_flight" => load.in_flight, "queued" => load.queued,
        "slots" => load.slots, "pace" => load.pace_percent, "draining" => load.draining,
        "left_us" => req.deadline.micros_since(node.now()));
    let key = req.head.key;
    let msg = PeerMessage::Refused { key, reason, load };
    if sent(conn.tx.write(&msg).await) == Exchange::Broken {
        return Exchange::Broken;
    }
    let limit = node.now().saturating_add_millis(DRAIN_TIMEOUT_MS);
    let drain = async {
        while !req.body.ended && req.is_body_due() {
            let msg = conn.rx.read().await;
            take_body(&mut req, msg)?;
            req.body.pieces.clear();
        }
        Ok::<(), ()>(())
    };
    match node.clock.timeout_at(limit, drain).await {
        Some(Ok(())) => Exchange::Clean,
        _ => Exchange::Broken,
    }
}
