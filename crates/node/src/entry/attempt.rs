//! One attempt to run a request through one guard.

use std::{net::SocketAddr, rc::Rc};

use bytes::BytesMut;
use plantainpost_core::{
    admission::{RefuseReason, RequestKey},
    balance,
    delivery::ArrivalTime,
    ids::{Incarnation, NodeName},
    load::LoadSample,
    time::Instant,
    workspace::KeyClaim,
};
use plantainpost_wire::{
    frame::FrameError,
    message::{MAX_EAGER_BODY_BYTES, PeerMessage, PeerRequestHead, PeerResponseHead},
};

use tokio::sync::Notify;

use crate::{
    entry::{
        body_remainder::BodyRemainder,
        caller_request::{BadRequest, BodyRestClaim, CallerRequest},
        decisions,
        exchange::{Exchange, ExchangeLoss},
        in_flight::InFlightAttempt,
        response::CallerOutcome,
        target_response::{PARTS_PER_TURN, ResponseTruncated, TargetResponse},
    },
    guard,
    node::Node,
    peer_pool::{ConnectError, PeerConn},
    quota::OverQuota,
};

/// Time after the deadline during which a refusal of the guard is still accepted, in
/// milliseconds. Without it, a request that waited in the queue until its deadline would get
/// the outcome "unknown" instead of "not-run".
const REFUSAL_GRACE_MS: u64 = 20;

/// Why an attempt was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptCause {
    /// First attempt of the request.
    First,
    /// An earlier attempt ended without a response.
    Retry,
    /// An earlier attempt is still in flight and slow.
    Hedge,
}

impl AttemptCause {
    /// Returns the name used in logs and traces.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            AttemptCause::First => "first",
            AttemptCause::Retry => "retry",
            AttemptCause::Hedge => "hedge",
        }
    }
}

/// An attempt to run a request through the guard on `peer`.
pub(crate) struct Attempt {
    pub(crate) peer: NodeName,
    /// Number of the attempt within its request, from zero.
    pub(crate) number: u32,
    pub(crate) cause: AttemptCause,
    /// Whether the guard may refuse the request because the target's host is temporarily slow.
    pub(crate) may_refuse_if_slow: bool,
    /// Workspace and key of the request, as checked when the attempt started; `None` if it needs no
    /// key.
    pub(crate) claim: Option<KeyClaim>,
    pub(crate) started_at: Instant,
    /// Notified when the guard gives no sign of life, so that the request may be sent to another
    /// one while this attempt goes on.
    pub(crate) unresponsive: Rc<Notify>,
}

/// How an attempt ended.
pub(crate) enum AttemptEnd {
    /// The head of the response was received.
    Response(Box<TargetResponse>),
    /// The request was not run and will not be.
    NotRun {
        reason: &'static str,
        /// Whether the request reached the target, which refused it.
        reached_target: bool,
    },
    /// The workspace is at its limit, so no attempt was made.
    OverQuota(OverQuota),
    /// The request may have run.
    Unknown(&'static str),
    /// The caller did not send the whole request, which may have run all the same.
    BadRequest(BadRequest),
}

impl AttemptEnd {
    /// Returns the outcome that is reported to the caller.
    pub(crate) fn outcome(&self) -> CallerOutcome {
        match self {
            AttemptEnd::Response(_) => CallerOutcome::Answered,
            AttemptEnd::NotRun { .. } | AttemptEnd::OverQuota(_) => CallerOutcome::NotRun,
            AttemptEnd::Unknown(_) | AttemptEnd::BadRequest(_) => CallerOutcome::Unknown,
        }
    }

    /// Returns `true` if the target may have received the request.
    pub(crate) fn has_reached_target(&self) -> bool {
        match self {
            AttemptEnd::NotRun { reached_target, .. } => *reached_target,
            AttemptEnd::OverQuota(_) => false,
            AttemptEnd::Response(_) | AttemptEnd::Unknown(_) | AttemptEnd::BadRequest(_) => true,
        }
    }

    /// Returns whether the guard refused the request because of an evacuation.
    pub(crate) fn is_evacuated(&self) -> bool {
        let evacuated = RefuseReason::Evacuated.as_str();
        matches!(self, AttemptEnd::NotRun { reason, .. } if *reason == evacuated)
    }

    /// Returns the result and its reason for logs and traces.
    pub(crate) fn describe(&self) -> String {
        match self {
            AttemptEnd::Response(response) => format!("answered, status {}", response.head.status),
            AttemptEnd::NotRun { reason, .. } => format!("not run: {reason}"),
            AttemptEnd::OverQuota(_) => "not run: quota".to_owned(),
            AttemptEnd::Unknown(reason) => format!("unknown: {reason}"),
            AttemptEnd::BadRequest(reason) => format!("bad request: {}", reason.as_str()),
        }
    }
}

/// Result of sending the request to a guard.
enum GuardReply {
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

/// Runs one attempt until it fails or the head of the response and the first part of its body
/// are received.
pub(crate) async fn run_attempt(
    node: &Rc<Node>,
    request: &Rc<CallerRequest>,
    attempt: &Attempt,
) -> AttemptEnd {
    let mut in_flight = InFlightAttempt::start(node, &attempt.peer);
    let Some(addr) = peer_address(node, &attempt.peer) else {
        in_flight.report(balance::RequestOutcome::Failed, None);
        return not_run_unreached("no-target");
    };
    let conn = match connect_to_guard(node, request, &attempt.peer, addr).await {
        Ok(conn) => conn,
        Err(_) => {
            node.metrics.count("entry.connect_error");
            in_flight.report(balance::RequestOutcome::Failed, None);
            return not_run_unreached("connect");
        }
    };
    let key = RequestKey {
        id: request.id,
        attempt: attempt.number,
    };
    let reply_deadline = request.deadline.saturating_add_millis(REFUSAL_GRACE_MS);
    let mut exchange = Exchange::start(node, request, attempt, &mut in_flight, (addr, key, conn));
    let reply = exchange_with_guard(request, attempt, key, &mut exchange);
    match node.clock.timeout_at(reply_deadline, reply).await {
        Some(Ok(reply)) => {
            // Otherwise the guard may still wait for the rest of the body.
            let reusable = request.is_buffered() || exchange.is_body_rest_sent;
            let conn = (exchange.conn, reusable);
            finish_attempt(node, request, attempt, conn, in_flight, reply).await
        }
        Some(Err(loss)) => {
            in_flight.report(balance::RequestOutcome::Failed, None);
            match loss {
                ExchangeLoss::Fenced => not_run_unreached("connection-lost"),
                ExchangeLoss::Unknown => AttemptEnd::Unknown("connection-lost"),
                ExchangeLoss::BodyUnavailable => AttemptEnd::Unknown("body-sent-elsewhere"),
            }
        }
        None => {
            in_flight.report(balance::RequestOutcome::Failed, None);
            AttemptEnd::Unknown("deadline")
        }
    }
}

/// Returns the end of an attempt that was not run and did not reach a target.
fn not_run_unreached(reason: &'static str) -> AttemptEnd {
    AttemptEnd::NotRun {
        reason,
        reached_target: false,
    }
}

async fn connect_to_guard(
    node: &Rc<Node>,
    request: &CallerRequest,
    peer: &NodeName,
    addr: SocketAddr,
) -> Result<PeerConn, ConnectError> {
    if *peer != *node.name() {
        return node.peer_pool.acquire(peer, addr, request.deadline).await;
    }
    let idle = node.peer_pool.take_idle(peer, addr);
    Ok(idle.unwrap_or_else(|| guard::open_local(node, addr)))
}

async fn finish_attempt(
    node: &Rc<Node>,
    request: &Rc<CallerRequest>,
    attempt: &Attempt,
    (conn, reusable): (PeerConn, bool),
    mut in_flight: InFlightAttempt,
    reply: GuardReply,
) -> AttemptEnd {
    match reply {
        GuardReply::Response(head) => {
            let max_delay_ms = node.settings.limits.max_timeout_ms;
            let mut response = TargetResponse {
                node: Rc::clone(node),
                peer: attempt.peer.clone(),
                head,
                conn,
                in_flight,
                reusable,
                buffered: BytesMut::new(),
                received_bytes: 0,
                time: ArrivalTime::new(node.now(), request.deadline, max_delay_ms),
                parts_left: PARTS_PER_TURN,
                end_load: None,
            };
            match response.fill_retry_buffer().await {
                Ok(()) => AttemptEnd::Response(Box::new(response)),
                Err(ResponseTruncated) => {
                    response.report_failure();
                    AttemptEnd::Unknown("answer-cut")
                }
            }
        }
        GuardReply::Refused { refusal, load } => {
            in_flight.report(balance::RequestOutcome::Refused, Some(load));
            decisions::record_refusal(
                &mut node.balancer.borrow_mut(),
                node.now(),
                &attempt.peer,
                request,
                refusal,
            );
            if reusable {
                node.peer_pool.release(&attempt.peer, conn);
            }
            match refusal.is_not_run() {
                true => AttemptEnd::NotRun {
                    reason: refusal.as_str(),
                    reached_target: refusal == RefuseReason::TargetRefused,
                },
                false => AttemptEnd::Unknown(refusal.as_str()),
            }
        }
        GuardReply::Failed {
            started,
            reason,
            load,
        } => {
            in_flight.report(balance::RequestOutcome::Failed, Some(load));
            match started {
                true => AttemptEnd::Unknown(reason),
                false => not_run_unreached(reason),
            }
        }
        GuardReply::BadRequest(reason) => AttemptEnd::BadRequest(reason),
    }
}

/// Sends the request and waits for the guard's response, refusal or failure message.
async fn exchange_with_guard(
    request: &CallerRequest,
    attempt: &Attempt,
    key: RequestKey,
    exchange: &mut Exchange<'_>,
) -> Result<GuardReply, ExchangeLoss> {
    let mut prefix_sent = request.body_prefix.len() <= MAX_EAGER_BODY_BYTES;
    let head = PeerRequestHead {
        answer_by: exchange.node.stop.deadline(),
        ..request_head(request, attempt, key, exchange.conn.incarnation)
    };
    let mut msg = match send_head(request, head, prefix_sent, &mut exchange.conn).await {
        Ok(()) => exchange.next_message().await?,
        Err(_) => exchange.next_message_after_loss().await?,
    };
    loop {
        if let Some(reply) = guard_reply(key, msg) {
            return Ok(reply);
        }
        // The guard has started the request and asks for the part of its body that it lacks.
        let is_prefix_due = !std::mem::replace(&mut prefix_sent, true);
        let claim = match exchange.is_body_rest_sent {
            true => BodyRestClaim::Empty,
            false => request.claim_body_rest(),
        };
        let mut body_rest = match claim {
            BodyRestClaim::Empty => None,
            BodyRestClaim::Granted(body_rest) => Some(body_rest),
            // Closing the connection without the end of the body tells the guard, and through it
            // the target, that the body is not complete.
            BodyRestClaim::AlreadyClaimed => return Err(ExchangeLoss::BodyUnavailable),
        };
        let sent = send_body(
            request,
            key,
            is_prefix_due,
            body_rest.as_mut(),
            &mut exchange.conn,
        );
        msg = match sent.await {
            Ok(Some(reply)) => return Ok(reply),
            Ok(None) => {
                exchange.is_body_rest_sent |= body_rest.is_some();
                exchange.on_sent();
                exchange.next_message().await?
            }
            Err(_) => exchange.next_message_after_loss().await?,
        };
    }
}

async fn send_head(
    request: &CallerRequest,
    head: PeerRequestHead,
    with_prefix: bool,
    conn: &mut PeerConn,
) -> Result<(), FrameError> {
    conn.tx.queue(&PeerMessage::Request(head))?;
    if with_prefix {
        queue_body_prefix(request, conn)?;
    }
    conn.tx.flush().await
}

/// Sends the part of the body that the guard has not received. Returns early if the guard replies
/// before the end of the body or the caller does not send all of it.
async fn send_body(
    request: &CallerRequest,
    key: RequestKey,
    is_prefix_due: bool,
    body_rest: Option<&mut BodyRemainder>,
    conn: &mut PeerConn,
) -> Result<Option<GuardReply>, FrameError> {
    if is_prefix_due {
        queue_body_prefix(request, conn)?;
        conn.tx.flush().await?;
    }
    match body_rest {
        Some(body_rest) => send_body_rest(key, conn, body_rest).await,
        None => Ok(None),
    }
}

fn queue_body_prefix(request: &CallerRequest, conn: &mut PeerConn) -> Result<(), FrameError> {
    if request.body_prefix.is_empty() {
        return Ok(());
    }
    conn.tx
        .queue(&PeerMessage::Body(request.body_prefix.clone()))?;
    if request.is_buffered() {
        conn.tx.queue(&body_end(request.body_prefix.len() as u64))?;
    }
    Ok(())
}

/// Sends the rest of the body. Returns early if the guard replies before the end of the body
/// or the caller does not send all of it.
async fn send_body_rest(
    key: RequestKey,
    conn: &mut PeerConn,
    body_rest: &mut BodyRemainder,
) -> Result<Option<GuardReply>, FrameError> {
    loop {
        let piece = tokio::select! {
            piece = body_rest.next() => piece,
            msg = conn.rx.read() => match guard_reply(key, msg?) {
                Some(reply) => return Ok(Some(reply)),
                None => continue,
            },
        };
        let msg = match piece {
            Ok(Some(piece)) => PeerMessage::Body(piece),
            Ok(None) => body_end(body_rest.forwarded_bytes()),
            Err(reason) => return Ok(Some(GuardReply::BadRequest(reason))),
        };
        let reply = write_unless_answered(key, conn, &msg).await?;
        if reply.is_some() || matches!(msg, PeerMessage::BodyEnd { .. }) {
            return Ok(reply);
        }
    }
}

/// Sends a message, or gives it up if the guard replies before it is sent. A guard that has begun a
/// response reads on only when the response is taken.
async fn write_unless_answered(
    key: RequestKey,
    conn: &mut PeerConn,
    msg: &PeerMessage,
) -> Result<Option<GuardReply>, FrameError> {
    let (rx, tx) = (&mut conn.rx, &mut conn.tx);
    let mut write = std::pin::pin!(tx.write(msg));
    loop {
        let received = tokio::select! {
            biased;
            written = &mut write => return written.map(|()| None),
            received = rx.read() => received?,
        };
        if let Some(reply) = guard_reply(key, received) {
            return Ok(Some(reply));
        }
    }
}

fn body_end(length: u64) -> PeerMessage {
    PeerMessage::BodyEnd { length, load: None }
}

/// Returns the guard's reply, or `None` if the guard has only started the request.
fn guard_reply(wanted: RequestKey, msg: PeerMessage) -> Option<GuardReply> {
    match msg {
        PeerMessage::Continue { key } | PeerMessage::Progress { key } if key == wanted => None,
        PeerMessage::Response(head) if head.key == wanted => Some(GuardReply::Response(head)),
        PeerMessage::Refused { key, reason, load } if key == wanted => Some(GuardReply::Refused {
            refusal: reason,
            load,
        }),
        PeerMessage::Failed {
            key,
            started,
            reason,
            load,
        } if key == wanted => Some(GuardReply::Failed {
            started,
            reason: reason.as_str(),
            load,
        }),
        // A message of another type or about another request violates the protocol. The guard may
        // have started the request, so it is treated as started.
        _ => Some(GuardReply::Failed {
            started: true,
            reason: "protocol",
            load: LoadSample::default(),
        }),
    }
}

fn request_head(
    request: &CallerRequest,
    attempt: &Attempt,
    key: RequestKey,
    incarnation: Incarnation,
) -> PeerRequestHead {
    PeerRequestHead {
        key,
        incarnation,
        service: request.policy.service.clone(),
        claim: attempt.claim.clone().map(Box::new),
        method: request.method.clone(),
        path: request.path.clone(),
        headers: request.headers.clone(),
        deadline: request.deadline,
        answer_by: None,
        idempotent: request.policy.idempotent,
        urgency: request.urgency(),
        may_refuse_if_slow: attempt.may_refuse_if_slow,
        hedged: request.hedged || attempt.cause == AttemptCause::Hedge,
        body: request.body_length,
    }
}

fn peer_address(node: &Node, peer: &NodeName) -> Option<SocketAddr> {
    let members = node.members.borrow();
    let record = members.get(peer.as_str())?;
    Some(SocketAddr::new(record.ip, record.tcp_port))
}
