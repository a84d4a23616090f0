//! One attempt to have a request run by one guard.

use std::{net::SocketAddr, rc::Rc};

use plantainpost_core::{
    admission::{FenceState, RefuseReason, RequestKey},
    balance,
    ids::{Incarnation, NodeName},
    load::LoadSample,
    time::Instant,
};
use plantainpost_wire::{
    frame::FrameError,
    message::{MAX_EAGER_BODY_BYTES, PeerMessage, PeerRequestHead, PeerResponseHead},
};

use crate::{
    entry::{
        answer::Outcome,
        body::{Answer, AnswerCut},
        call::{BadRequest, Call, Upload},
        flight::Flight,
    },
    guard,
    node::Node,
    peer_pool::{ConnectError, PeerConn},
};

/// Time after the deadline during which the guard may still say that the request
/// was not run, in milliseconds. It spares a caller the answer "unknown" when the
/// request waited in the queue until its deadline.
const REFUSAL_GRACE_MS: u64 = 20;

/// Longest time to ask a guard for the fence of a request, in milliseconds.
const FENCE_TIMEOUT_MS: u64 = 500;

/// Why an attempt was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// It is the first one.
    First,
    /// The one before did not give an answer.
    Retry,
    /// The one before is slow.
    Hedge,
}

impl Cause {
    /// Returns a word for people.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Cause::First => "first",
            Cause::Retry => "retry",
            Cause::Hedge => "hedge",
        }
    }
}

/// An attempt to have a request run by one guard.
pub(crate) struct Attempt {
    pub(crate) peer: NodeName,
    pub(crate) number: u32,
    pub(crate) cause: Cause,
    /// Whether the guard may refuse because of a slow moment.
    pub(crate) may_decline: bool,
    pub(crate) started: Instant,
}

/// How an attempt ended.
pub(crate) enum AttemptEnd {
    /// The head of the answer is here.
    Response(Box<Answer>),
    /// The request was not run and won't be.
    NotRun {
        reason: &'static str,
        /// Whether it reached the target, which refused it.
        reached: bool,
    },
    /// The request may have run.
    Unknown(&'static str),
    /// The caller did not send its whole request. It may have run.
    BadRequest(BadRequest),
}

impl AttemptEnd {
    /// Returns what the caller is told.
    pub(crate) fn outcome(&self) -> Outcome {
        match self {
            AttemptEnd::Response(_) => Outcome::Answered,
            AttemptEnd::NotRun { .. } => Outcome::NotRun,
            AttemptEnd::Unknown(_) | AttemptEnd::BadRequest(_) => Outcome::Unknown,
        }
    }

    /// Reports whether the target has received the request.
    pub(crate) fn has_reached_target(&self) -> bool {
        match self {
            AttemptEnd::NotRun { reached, .. } => *reached,
            AttemptEnd::Response(_) | AttemptEnd::Unknown(_) | AttemptEnd::BadRequest(_) => true,
        }
    }

    /// Returns the result and its reason for people.
    pub(crate) fn describe(&self) -> String {
        match self {
            AttemptEnd::Response(answer) => format!("answered, status {}", answer.head.status),
            AttemptEnd::NotRun { reason, .. } => format!("not run: {reason}"),
            AttemptEnd::Unknown(reason) => format!("unknown: {reason}"),
            AttemptEnd::BadRequest(reason) => format!("bad request: {}", reason.as_str()),
        }
    }
}

/// What a guard said.
enum Reply {
    Response(PeerResponseHead),
    Refused {
        refusal: RefuseReason,
        load: LoadSample,
    },
    Failed {
        started: bool,
        reason: &'static str,
        load: LoadSample,
    },
    BadRequest(BadRequest),
}

/// Runs one attempt until the head of the answer or its failure is known.
pub(crate) async fn run(node: &Rc<Node>, call: &Rc<Call>, attempt: &Attempt) -> AttemptEnd {
    let mut flight = Flight::start(node, &attempt.peer);
    let Some(addr) = address(node, &attempt.peer) else {
        flight.report(balance::RequestOutcome::Failed, None);
        return not_reached("no-target");
    };
    let mut conn = match connect(node, call, &attempt.peer, addr).await {
        Ok(conn) => conn,
        Err(_) => {
            node.metrics.count("entry.connect_error");
            flight.report(balance::RequestOutcome::Failed, None);
            return not_reached("connect");
        }
    };
    let key = RequestKey {
        id: call.id,
        attempt: attempt.number,
    };
    let limit = call.deadline.saturating_add_millis(REFUSAL_GRACE_MS);
    let reply = exchange(call, attempt, key, &mut conn);
    match node.clock.timeout_at(limit, reply).await {
        Some(Ok(reply)) => finish(node, call, attempt, conn, flight, reply).await,
        Some(Err(_)) => {
            node.metrics.count("entry.connection_lost");
            flight.report(balance::RequestOutcome::Failed, None);
            let incarnation = conn.incarnation;
            drop(conn);
            ask_fence(node, call, &attempt.peer, addr, incarnation, key).await
        }
        None => {
            flight.report(balance::RequestOutcome::Failed, None);
            AttemptEnd::Unknown("deadline")
        }
    }
}

/// Says that the request was not run and put no load on a target.
fn not_reached(reason: &'static str) -> AttemptEnd {
    AttemptEnd::NotRun {
        reason,
        reached: false,
    }
}

async fn connect(
    node: &Rc<Node>,
    call: &Call,
    peer: &NodeName,
    addr: SocketAddr,
) -> Result<PeerConn, ConnectError> {
    if *peer != *node.name() {
        return node.peer_pool.acquire(peer, addr, call.deadline).await;
    }
    let idle = node.peer_pool.take_idle(peer, addr);
    Ok(idle.unwrap_or_else(|| guard::open_local(node, addr)))
}

async fn finish(
    node: &Rc<Node>,
    call: &Rc<Call>,
    attempt: &Attempt,
    conn: PeerConn,
    mut flight: Flight,
    reply: Reply,
) -> AttemptEnd {
    match reply {
        Reply::Response(head) => {
            let mut answer = Answer {
                node: Rc::clone(node),
                peer: attempt.peer.clone(),
                head,
                conn,
                flight,
                reusable: call.is_buffered(),
                gathered: Vec::new(),
                received: 0,
                end: None,
            };
            match answer.gather(call).await {
                Ok(()) => AttemptEnd::Response(Box::new(answer)),
                Err(AnswerCut) => {
                    answer.fail();
                    AttemptEnd::Unknown("answer-cut")
                }
            }
        }
        Reply::Refused { refusal, load } => {
            flight.report(balance::RequestOutcome::Refused, Some(load));
            if call.is_buffered() {
                node.peer_pool.release(&attempt.peer, conn);
            }
            match refusal.is_not_run() {
                true => AttemptEnd::NotRun {
                    reason: refusal.as_str(),
                    reached: refusal == RefuseReason::TargetRefused,
                },
                false => AttemptEnd::Unknown(refusal.as_str()),
            }
        }
        Reply::Failed {
            started,
            reason,
            load,
        } => {
            flight.report(balance::RequestOutcome::Failed, Some(load));
            match started {
                true => AttemptEnd::Unknown(reason),
                false => not_reached(reason),
            }
        }
        Reply::BadRequest(reason) => AttemptEnd::BadRequest(reason),
    }
}

/// Sends the request and waits for the guard's first word on it.
async fn exchange(
    call: &Call,
    attempt: &Attempt,
    key: RequestKey,
    conn: &mut PeerConn,
) -> Result<Reply, FrameError> {
    let head = request_head(call, attempt, key, conn.incarnation);
    conn.tx.queue(&PeerMessage::Request(head))?;
    let mut first_sent = call.first.len() <= MAX_EAGER_BODY_BYTES;
    if first_sent {
        queue_first(call, conn)?;
    }
    conn.tx.flush().await?;
    loop {
        match reply_of(key, conn.rx.read().await?) {
            Some(reply) => return Ok(reply),
            None => {
                // The guard has started the request and takes its body.
                if !std::mem::replace(&mut first_sent, true) {
                    queue_first(call, conn)?;
                    conn.tx.flush().await?;
                }
                let Some(mut upload) = call.rest.borrow_mut().take() else {
                    continue;
                };
                call.set_upload_started();
                if let Some(reply) = send_rest(key, conn, &mut upload).await? {
                    // The unsent rest stays with the call, so that its connection
                    // is known not to be reusable.
                    call.rest.borrow_mut().replace(upload);
                    return Ok(reply);
                }
            }
        }
    }
}

fn queue_first(call: &Call, conn: &mut PeerConn) -> Result<(), FrameError> {
    if call.first.is_empty() {
        return Ok(());
    }
    conn.tx.queue(&PeerMessage::Body(call.first.clone()))?;
    if call.is_buffered() {
        conn.tx.queue(&body_end(call.first.len() as u64))?;
    }
    Ok(())
}

/// Sends the rest of the body. Returns early when the guard answers before its
/// end, or when the caller does not send it.
async fn send_rest(
    key: RequestKey,
    conn: &mut PeerConn,
    upload: &mut Upload,
) -> Result<Option<Reply>, FrameError> {
    loop {
        let piece = tokio::select! {
            piece = upload.next() => piece,
            msg = conn.rx.read() => match reply_of(key, msg?) {
                Some(reply) => return Ok(Some(reply)),
                None => continue,
            },
        };
        match piece {
            Ok(Some(piece)) => conn.tx.write(&PeerMessage::Body(piece)).await?,
            Ok(None) => {
                conn.tx.write(&body_end(upload.length())).await?;
                return Ok(None);
            }
            Err(reason) => return Ok(Some(Reply::BadRequest(reason))),
        }
    }
}

fn body_end(length: u64) -> PeerMessage {
    PeerMessage::BodyEnd { length, load: None }
}

/// Returns the guard's word on the request, or `None` when it only started it.
fn reply_of(wanted: RequestKey, msg: PeerMessage) -> Option<Reply> {
    match msg {
        PeerMessage::Continue { key } if key == wanted => None,
        PeerMessage::Response(head) if head.key == wanted => Some(Reply::Response(head)),
        PeerMessage::Refused { key, reason, load } if key == wanted => Some(Reply::Refused {
            refusal: reason,
            load,
        }),
        PeerMessage::Failed {
            key,
            started,
            reason,
            load,
        } if key == wanted => Some(Reply::Failed {
            started,
            reason: reason.as_str(),
            load,
        }),
        // Another message, or one about another request: nothing that this
        // connection says can be trusted.
        _ => Some(Reply::Failed {
            started: true,
            reason: "protocol",
            load: LoadSample::default(),
        }),
    }
}

fn request_head(
    call: &Call,
    attempt: &Attempt,
    key: RequestKey,
    incarnation: Incarnation,
) -> PeerRequestHead {
    PeerRequestHead {
        key,
        incarnation,
        service: call.rule.service.clone(),
        method: call.method.clone(),
        path: call.path.clone(),
        headers: call.headers.clone(),
        deadline: call.deadline,
        idempotent: call.rule.idempotent,
        urgency: call.urgency(),
        may_decline: attempt.may_decline,
        hedged: call.hedged || attempt.cause == Cause::Hedge,
        body: call.length,
    }
}

fn address(node: &Node, peer: &NodeName) -> Option<SocketAddr> {
    let members = node.members.borrow();
    let record = members.get(peer.as_str())?;
    Some(SocketAddr::new(record.ip, record.tcp_port))
}

/// Asks a guard whether it started a request whose connection was lost. Unless it
/// did, it won't start it afterwards.
async fn ask_fence(
    node: &Node,
    call: &Call,
    peer: &NodeName,
    addr: SocketAddr,
    incarnation: Incarnation,
    key: RequestKey,
) -> AttemptEnd {
    let limit = node.now().saturating_add_millis(FENCE_TIMEOUT_MS);
    let deadline = limit.min(call.deadline);
    let answer = async {
        let mut conn = node.peer_pool.connect(peer, addr, deadline).await.ok()?;
        if conn.incarnation != incarnation {
            return None;
        }
        let deadline = call.deadline;
        let question = PeerMessage::Fence { key, deadline };
        conn.tx.write(&question).await.ok()?;
        let answer = conn.rx.read().await.ok()?;
        node.peer_pool.release(peer, conn);
        Some(answer)
    };
    let answer = node.clock.timeout_at(deadline, answer).await.flatten();
    match answer {
        Some(PeerMessage::FenceResult {
            key: asked,
            state: FenceState::Fenced,
        }) if asked == key => {
            node.metrics.count("entry.fenced");
            not_reached("connection-lost")
        }
        _ => AttemptEnd::Unknown("connection-lost"),
    }
}
