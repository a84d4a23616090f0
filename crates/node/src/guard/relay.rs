//! Relaying of a dispatched request to the target, and of the response to the entry.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use plantainpost_core::admission::{ExchangeOutcome, RefuseReason, RequestKey};
use plantainpost_http1::{
    BodyPart, Connection, Framing, ResponseBody, ResponseError, ResponseHead as TargetResponseHead,
};
use plantainpost_wire::message::{
    BodyLength, FailReason, MAX_BODY_FRAME_BYTES, PeerMessage, PeerResponseHead,
};
use slog::{info, warn};

use super::{
    ConnState,
    framing::{has_body, needs_continue, request_framing, response_length, target_headers},
    link::{ExchangeLink, LinkEvent},
    relay_time::RelayTime,
    request::{PendingRequest, discard_body_rest, handle_link_event, send_refusal},
    response_owner::{MISDIRECTED_REQUEST, ResponseOwner, response_owner, says_not_run},
    slot::Slot,
    target_headers::record_target_headers,
};
use crate::{config_recheck, node::Node};

/// Status with which a target sheds load, and of a health check that fails.
pub(super) const SERVICE_UNAVAILABLE: u16 = 503;

/// Responses to earlier requests that are discarded on one connection.
const MAX_STRAY_RESPONSES: usize = 4;

/// Longest body of a response to an earlier request that is discarded, in bytes. The connection is
/// closed if it is longer.
const MAX_STRAY_BODY_BYTES: usize = 1024 * 1024;

/// Pieces of a body that are taken before other tasks get a turn. A target can send a body without
/// end in pieces of one byte, each of which takes about a microsecond.
const PIECES_PER_TURN: u32 = 256;

/// Result of sending a request to the target and waiting for the head of its response.
enum ExchangeEnd {
    Response {
        head: TargetResponseHead,
        body: Box<ResponseBody>,
        /// Whether the connection can take another request after the response.
        is_conn_reusable: bool,
    },
    /// The response ends with the connection, but the target can't have read the whole request, so that
    /// the end may come too early.
    Unframed,
    /// The target closed the connection without a response.
    Closed,
    /// The response is not valid HTTP, or too many belonged to other requests.
    Malformed,
    /// The entry closed the connection or violated the protocol.
    EntryGone,
}

/// Sends a request that was just dispatched to the target, and the response to the entry.
pub(super) async fn relay_request(
    node: &Rc<Node>,
    link: &mut ExchangeLink,
    mut req: PendingRequest,
    slot: Slot,
    target_conn: Connection,
) -> ConnState {
    let end = node
        .clock
        .timeout_at(
            req.deadline,
            exchange_with_target(node, link, &mut req, target_conn, slot.target_generation()),
        )
        .await;
    let reason = match end {
        Some(ExchangeEnd::Response {
            head,
            body,
            is_conn_reusable,
        }) => {
            // A misdirected request was answered by another target.
            if head.status != MISDIRECTED_REQUEST {
                record_target_headers(node, &head, slot.target_generation());
            }
            if says_not_run(node, &head) {
                return handle_target_refusal(node, link, req, slot, &head).await;
            }
            let response = (head, *body, is_conn_reusable);
            return match send_response(node, link, &mut req, slot, response).await {
                ConnState::Reusable => discard_body_rest(node, &mut link.conn, &mut req).await,
                // The entry notices only by the end of the connection that the response is cut.
                state => state,
            };
        }
        Some(ExchangeEnd::EntryGone) => {
            node.metrics.count("guard.cancelled");
            return ConnState::MustClose;
        }
        Some(ExchangeEnd::Unframed) => FailReason::Unframed,
        Some(ExchangeEnd::Closed) => FailReason::Closed,
        Some(ExchangeEnd::Malformed) => FailReason::Malformed,
        None => FailReason::Deadline,
    };
    warn!(node.logger, "no answer of the target"; "request" => %req.public_id(node),
        "reason" => reason.as_str(), "after_us" => slot.elapsed_us());
    drop(slot);
    fail_exchange(node, link, &mut req, reason).await
}

/// Ends a request that the target refused to run, and tells the entry so.
async fn handle_target_refusal(
    node: &Rc<Node>,
    link: &mut ExchangeLink,
    req: PendingRequest,
    slot: Slot,
    head: &TargetResponseHead,
) -> ConnState {
    node.metrics.count("guard.target_refused");
    info!(node.logger, "refused by the target"; "request" => %req.public_id(node),
        "status" => head.status);
    slot.finish(match head.status {
        MISDIRECTED_REQUEST => ExchangeOutcome::Failed,
        _ => ExchangeOutcome::TargetRefused,
    });
    if head.status == MISDIRECTED_REQUEST {
        node.target_pool.close_idle();
    }
    send_refusal(node, link, req, RefuseReason::TargetRefused).await
}

/// Sends the request to the target and waits for the head of the response, on a new connection
/// if the target closes a reused one.
async fn exchange_with_target(
    node: &Rc<Node>,
    link: &mut ExchangeLink,
    req: &mut PendingRequest,
    target_conn: Connection,
    target_generation: u64,
) -> ExchangeEnd {
    let may_resend = req.head.idempotent && target_conn.reused && is_replayable(req);
    let target_addr = target_conn.addr();
    let pieces = req.body.pieces.clone();
    let end = exchange_once(node, link, req, target_conn).await;
    if !may_resend || !matches!(end, ExchangeEnd::Closed) {
        return end;
    }
    let now = node.now();
    if !node.guard.borrow_mut().try_resend(now, target_generation) {
        return end;
    }
    // The target may close an idle connection while a request is being sent on it. An
    // idempotent request is sent once more (RFC 9110, section 9.2.2).
    let Ok(target_conn) = Connection::open(target_addr).await else {
        return end;
    };
    config_recheck::wait_after_suspension(node).await;
    if !node.guard.borrow().is_open_for_resend(target_generation) {
        return end;
    }
    node.metrics.count("guard.reopened");
    req.body.pieces = pieces;
    exchange_once(node, link, req, target_conn).await
}

fn is_replayable(req: &PendingRequest) -> bool {
    req.body.is_complete && req.body.received_bytes <= MAX_BODY_FRAME_BYTES as u64
}

async fn exchange_once(
    node: &Node,
    link: &mut ExchangeLink,
    req: &mut PendingRequest,
    mut target_conn: Connection,
) -> ExchangeEnd {
    let headers = target_headers(node, req);
    let length = request_framing(req.head.body);
    let method = req.head.method.clone();
    let path = req.head.path.clone();
    let initial_pieces: Vec<Bytes> = req.body.pieces.drain(..).collect();
    let head = target_conn.send_head(&method, &path, &headers, length, &initial_pieces);
    if head.await.is_err() {
        return ExchangeEnd::Closed;
    }
    drop(initial_pieces);
    if needs_continue(req.head.body) {
        let key = req.head.key;
        req.continue_sent = true;
        if link
            .conn
            .tx
            .write(&PeerMessage::Continue { key })
            .await
            .is_err()
        {
            return ExchangeEnd::EntryGone;
        }
    }
    // The target may respond before it has read the whole body, or stop reading; the response
    // is read in both cases.
    let mut target_accepts_body = true;
    let mut request_sent = !has_body(req.head.body);
    let mut stray_responses = 0;
    let is_reused = target_conn.reused;
    loop {
        let mut early_head = None;
        while let Some(piece) = req.body.pieces.pop_front() {
            if target_accepts_body {
                let sent = target_conn.send_body_data(&method, &piece, length).await;
                target_accepts_body = matches!(sent, Ok(None));
                early_head = sent.unwrap_or_default();
            }
        }
        if req.body.is_complete && target_accepts_body && !request_sent {
            target_accepts_body = target_conn.finish_body(length).await.is_ok();
            request_sent = target_accepts_body;
        }
        let event = match early_head {
            Some(head) => RelayEvent::ResponseHead(Ok(head)),
            None => next_relay_event(link, req, &mut target_conn, &method).await,
        };
        match event {
            RelayEvent::Continues => (),
            RelayEvent::EntryGone => return ExchangeEnd::EntryGone,
            RelayEvent::ResponseHead(Ok(head)) => match response_owner(node, req, &head, is_reused)
            {
                ResponseOwner::ThisRequest
                    if head.framing == Framing::UntilClose
                        && !(request_sent || target_accepts_body && has_stated_length(req))
                        && !says_not_run(node, &head) =>
                {
                    return ExchangeEnd::Unframed;
                }
                ResponseOwner::ThisRequest => {
                    let body = Box::new(target_conn.into_body(&head));
                    return ExchangeEnd::Response {
                        head,
                        body,
                        // A later response can't be trusted to be the only one to its request.
                        is_conn_reusable: request_sent && stray_responses == 0,
                    };
                }
                ResponseOwner::OtherRequest if stray_responses < MAX_STRAY_RESPONSES => {
                    stray_responses += 1;
                    node.metrics.count("guard.extra_answer");
                    warn!(node.logger, "answer to another request passed over";
                        "request" => %req.public_id(node), "status" => head.status);
                    match discard_body(target_conn, &head).await {
                        Some(conn) => target_conn = conn,
                        None => return ExchangeEnd::Closed,
                    }
                    // The connection is not reused and gets no more of the body.
                    target_accepts_body = false;
                }
                ResponseOwner::OtherRequest => return ExchangeEnd::Malformed,
            },
            RelayEvent::ResponseHead(Err(ResponseError::Malformed)) => {
                return ExchangeEnd::Malformed;
            }
            RelayEvent::ResponseHead(Err(ResponseError::Closed)) => return ExchangeEnd::Closed,
        }
    }
}

/// Returns whether as many bytes of the body were received as its head states. The target can answer
/// them before the entry's message about the end of the body arrives.
fn has_stated_length(req: &PendingRequest) -> bool {
    req.head.body == BodyLength::Sized(req.body.received_bytes)
}

async fn discard_body(target_conn: Connection, head: &TargetResponseHead) -> Option<Connection> {
    let mut body = target_conn.into_body(head);
    let mut remaining = MAX_STRAY_BODY_BYTES;
    loop {
        match body.next().await {
            BodyPart::Data(piece) if piece.len() <= remaining => remaining -= piece.len(),
            BodyPart::End => return body.into_reusable_conn(),
            BodyPart::Data(_) | BodyPart::Truncated => return None,
        }
    }
}

enum RelayEvent {
    /// The exchange goes on: a frame of the request body was received, or the link was kept alive.
    Continues,
    EntryGone,
    ResponseHead(Result<TargetResponseHead, ResponseError>),
}

async fn next_relay_event(
    link: &mut ExchangeLink,
    req: &mut PendingRequest,
    target_conn: &mut Connection,
    method: &str,
) -> RelayEvent {
    let event = tokio::select! {
        head = target_conn.read_head(method) => return RelayEvent::ResponseHead(head),
        event = link.next_event() => event,
    };
    match handle_link_event(link, req, event).await {
        Ok(()) => RelayEvent::Continues,
        Err(()) => RelayEvent::EntryGone,
    }
}

/// Sends the response to the entry.
async fn send_response(
    node: &Rc<Node>,
    link: &mut ExchangeLink,
    req: &mut PendingRequest,
    mut slot: Slot,
    (target_head, mut body, is_conn_reusable): (TargetResponseHead, ResponseBody, bool),
) -> ConnState {
    let key = req.head.key;
    let status = target_head.status;
    if target_head.framing == Framing::UntilClose && !node.settings.allow_close_delimited_responses
    {
        slot.finish(ExchangeOutcome::Failed);
        return fail_exchange(node, link, req, FailReason::Unframed).await;
    }
    let length = response_length(target_head.framing);
    let head = PeerResponseHead {
        key,
        status,
        headers: node
            .settings
            .headers
            .forwarded_response_headers(&target_head.headers),
        body: length,
        load: node.guard.borrow().load_sample(node.now()),
    };
    if link.queue_answer(&PeerMessage::Response(head)).is_err() {
        slot.finish(ExchangeOutcome::Failed);
        return fail_exchange(node, link, req, FailReason::Malformed).await;
    }
    let mut time = RelayTime::new(node, req.deadline);
    let sent = send_body_pieces(link, req, &mut body, &mut time).await;
    slot.exclude_us(time.blocked_us());
    let Ok(bytes) = sent else {
        // The entry detects the truncated response by the missing end of the body.
        node.metrics.count("guard.answer_cut");
        warn!(node.logger, "answer of the target cut"; "request" => %req.public_id(node));
        return ConnState::MustClose;
    };
    let load = node.guard.borrow().load_sample(node.now());
    info!(node.logger, "request served"; "request" => %req.public_id(node), "status" => status,
        "workspace" => req.workspace(), "service_us" => slot.elapsed_us(), "bytes" => bytes, "in_flight" => load.in_flight,
        "queued" => load.queued, "slots" => load.slots, "pace" => load.pace_percent,
        "pace_at_start" => slot.pace_percent());
    slot.finish(match status {
        SERVICE_UNAVAILABLE => ExchangeOutcome::TargetRefused,
        _ => ExchangeOutcome::Completed {
            server_error: status >= 500,
        },
    });
    let target_conn = body
        .into_reusable_conn()
        .filter(|conn| is_conn_reusable && conn.has_no_unread_data());
    if let Some(target_conn) = target_conn {
        node.target_pool.release(target_conn, node.now());
    }
    if length != BodyLength::None {
        let load = Some(node.guard.borrow().load_sample(node.now()));
        let end = PeerMessage::BodyEnd {
            length: bytes,
            load,
        };
        if link.queue_answer(&end).is_err() {
            return ConnState::MustClose;
        }
    }
    time.finish_answer(link).await
}

/// Sends the body of a response and returns its length in bytes. The last pieces may still be
/// in the write buffer of the connection.
async fn send_body_pieces(
    link: &mut ExchangeLink,
    req: &PendingRequest,
    body: &mut ResponseBody,
    time: &mut RelayTime<'_>,
) -> Result<u64, ()> {
    let mut bytes = 0;
    // Small pieces that arrive together are sent in one frame.
    let mut batch = BytesMut::new();
    let mut pieces_left = PIECES_PER_TURN;
    loop {
        if pieces_left == 0 {
            pieces_left = PIECES_PER_TURN;
            actix_rt::task::yield_now().await;
        }
        pieces_left -= 1;
        let part = match body.next().now_or_never() {
            Some(part) => part,
            None => {
                time.queue_body(link, &mut batch).await?;
                time.flush(link).await?;
                time.wait_for_target(next_body_part(link, req, body))
                    .await??
            }
        };
        match part {
            BodyPart::Data(piece) => {
                bytes += piece.len() as u64;
                batch.extend_from_slice(&piece);
                if batch.len() >= MAX_BODY_FRAME_BYTES {
                    time.queue_body(link, &mut batch).await?;
                }
            }
            BodyPart::End => {
                time.queue_body(link, &mut batch).await?;
                return Ok(bytes);
            }
            BodyPart::Truncated => return Err(()),
        }
    }
}

async fn next_body_part(
    link: &mut ExchangeLink,
    req: &PendingRequest,
    body: &mut ResponseBody,
) -> Result<BodyPart, ()> {
    if !req.body.is_complete {
        return Ok(body.next().await);
    }
    loop {
        let event = tokio::select! {
            part = body.next() => return Ok(part),
            event = link.next_event() => event,
        };
        match event {
            LinkEvent::Message(_) => return Err(()),
            LinkEvent::ProgressDue => (),
            LinkEvent::Replaced(conn) => {
                link.replace_conn(*conn).await.map_err(|_| ())?;
                link.flush().await.map_err(|_| ())?;
            }
        }
    }
}

/// Tells the entry that there is no response from the target.
pub(super) async fn send_failure(
    node: &Node,
    link: &mut ExchangeLink,
    key: RequestKey,
    started: bool,
    reason: FailReason,
) -> ConnState {
    node.metrics.count("guard.failed");
    let load = node.guard.borrow().load_sample(node.now());
    let msg = PeerMessage::Failed {
        key,
        started,
        reason,
        load,
    };
    link.adopt_new_conn();
    // The connection is not reused, since the entry discards it too.
    let _ = link.conn.tx.write(&msg).await;
    ConnState::MustClose
}

/// Ends the exchange of a request that was started and has no response.
///
/// If part of the body is unread, closing at once would reset the connection and the entry
/// could lose the message, so the rest is read first.
async fn fail_exchange(
    node: &Node,
    link: &mut ExchangeLink,
    req: &mut PendingRequest,
    reason: FailReason,
) -> ConnState {
    let state = send_failure(node, link, req.head.key, true, reason).await;
    discard_body_rest(node, &mut link.conn, req).await;
    state
}
