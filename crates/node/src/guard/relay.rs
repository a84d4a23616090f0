//! A dispatched request: its way to the target and the answer's way back.

use std::rc::Rc;

use bytes::Bytes;
use futures_util::FutureExt;
use plantainpost_core::admission::{ExchangeOutcome, RefuseReason, RequestKey};
use plantainpost_http1::{
    self as http1, BodyPart, Connection, Framing, ResponseBody, ResponseError,
    ResponseHead as TargetHead,
};
use plantainpost_wire::{
    frame::FrameError,
    message::{
        BodyLength, FailReason, Header, MAX_BODY_FRAME_BYTES, MAX_EAGER_BODY_BYTES, PeerMessage,
        PeerResponseHead,
    },
};
use slog::{info, warn};

use super::{
    Conn, Exchange,
    request::{DRAIN_TIMEOUT_MS, Pending, refuse},
    sent,
    slot::Slot,
};
use crate::{headers, node::Node};

/// Status with which a target sheds load.
const SERVICE_UNAVAILABLE: u16 = 503;

/// Status with which a target refuses a request that is meant for another one.
const MISDIRECTED: u16 = 421;

/// Answers to earlier requests that are passed over on one connection.
const MAX_EXTRA_ANSWERS: usize = 4;

/// How the exchange with the target went until the head of its answer.
enum End {
    Answer {
        head: TargetHead,
        body: Box<ResponseBody>,
        /// Whether the target has the whole body of the request, so that the connection can
        /// take another one.
        is_sent: bool,
    },
    /// The target closed the connection without a word.
    Closed,
    /// The answer is not HTTP, or belongs to no request.
    Malformed,
    /// The entry has gone or does not follow the protocol.
    EntryGone,
}

/// Runs a request for which the guard has just said "go".
pub(super) async fn run(
    node: &Rc<Node>,
    conn: &mut Conn,
    mut req: Pending,
    slot: Slot,
    target_conn: Connection,
) -> Exchange {
    let (key, deadline) = (req.head.key, req.deadline);
    let end = node
        .clock
        .timeout_at(deadline, exchange(node, conn, &mut req, target_conn))
        .await;
    let reason = match end {
        Some(End::Answer {
            head,
            body,
            is_sent,
        }) => {
            learn_load(node, &head);
            if is_not_run(node, &head) {
                return target_refused(node, conn, req, slot, &head).await;
            }
            let answer = send_answer(node, conn, &req, slot, head, *body, is_sent);
            let exchange = node.clock.timeout_at(deadline, answer).await;
            return finish(node, conn, &req, exchange).await;
        }
        Some(End::EntryGone) => {
            node.metrics.count("guard.cancelled");
            return Exchange::Broken;
        }
        Some(End::Closed) => FailReason::Closed,
        Some(End::Malformed) => FailReason::Malformed,
        None => FailReason::Deadline,
    };
    warn!(node.logger, "no answer of the target"; "request" => %req.public_id(node),
        "reason" => reason.as_str(), "after_us" => slot.micros());
    drop(slot);
    let exchange = fail(node, conn, key, true, reason).await;
    finish(node, conn, &req, Some(exchange)).await
}

/// Reports whether the target says that it did not run the request.
fn is_not_run(node: &Node, head: &TargetHead) -> bool {
    let names = &node.settings.headers;
    let says_so = names.not_run;
    says_so.is_some_and(|name| http1::header_value(&head.headers, name).is_some())
        || (names.expected_target.is_some() && head.status == MISDIRECTED)
}

/// Takes over the load that an answer tells.
pub(crate) fn learn_load(node: &Node, head: &TargetHead) {
    let Some(name) = node.settings.headers.load else {
        return;
    };
    let fields = http1::header_text(&head.headers, name).map(|text| {
        text.split(',')
            .map(|field| field.trim().parse::<u32>())
            .collect::<Result<Vec<_>, _>>()
    });
    match fields {
        None => (),
        Some(Ok(fields)) if fields.len() >= 3 => {
            let pace_percent = fields.get(3).copied();
            let mut guard = node.guard.borrow_mut();
            guard.record_pace(node.now(), pace_percent.unwrap_or_default());
        }
        Some(_) => node.metrics.count("guard.bad_load_header"),
    }
}

/// Tells the entry that the target did not run the request.
async fn target_refused(
    node: &Rc<Node>,
    conn: &mut Conn,
    req: Pending,
    slot: Slot,
    head: &TargetHead,
) -> Exchange {
    node.metrics.count("guard.target_refused");
    info!(node.logger, "refused by the target"; "request" => %req.public_id(node),
        "status" => head.status);
    slot.finish(match head.status {
        MISDIRECTED => ExchangeOutcome::Failed,
        _ => ExchangeOutcome::TargetRefused,
    });
    if head.status == MISDIRECTED {
        node.target_pool.close_idle();
    }
    refuse(node, conn, req, RefuseReason::TargetRefused).await
}

/// Sends the request to the target and waits for the head of its answer.
async fn exchange(node: &Node, conn: &mut Conn, req: &mut Pending, target_conn: Connection) -> End {
    let may_repeat = req.head.idempotent && target_conn.reused && is_replayable(req);
    let target = target_conn.addr();
    let pieces = req.body.pieces.clone();
    let end = exchange_once(node, conn, req, target_conn).await;
    if !may_repeat || !matches!(end, End::Closed) {
        return end;
    }
    // The target may close an idle connection while the request is on its way. An
    // idempotent request is sent once more (RFC 9110, section 9.2.2).
    let Ok(target_conn) = Connection::open(target).await else {
        return end;
    };
    node.metrics.count("guard.reopened");
    req.body.pieces = pieces;
    exchange_once(node, conn, req, target_conn).await
}

fn is_replayable(req: &Pending) -> bool {
    req.body.ended && req.body.length <= MAX_BODY_FRAME_BYTES as u64
}

async fn exchange_once(
    node: &Node,
    conn: &mut Conn,
    req: &mut Pending,
    mut target_conn: Connection,
) -> End {
    let list = target_headers(node, req);
    let length = request_framing(req.head.body);
    let method = req.head.method.clone();
    let path = req.head.path.clone();
    let first: Vec<Bytes> = req.body.pieces.drain(..).collect();
    let head = target_conn.send_head(&method, &path, &list, length, &first);
    if head.await.is_err() {
        return End::Closed;
    }
    drop(first);
    if takes_more(req.head.body) {
        let key = req.head.key;
        req.is_continued = true;
        if conn.tx.write(&PeerMessage::Continue { key }).await.is_err() {
            return End::EntryGone;
        }
    }
    // The target may answer before it has read the whole body, or close its side
    // for reading; what it says is read in both cases.
    let mut target_reads = true;
    let mut is_sent = !has_body(req.head.body);
    let mut extra = 0;
    loop {
        while let Some(piece) = req.body.pieces.pop_front() {
            if target_reads && target_conn.send_body_data(&piece, length).await.is_err() {
                target_reads = false;
            }
        }
        if req.body.ended && target_reads && !is_sent {
            target_reads = target_conn.finish_body(length).await.is_ok();
            is_sent = target_reads;
        }
        match next_event(conn, req, &mut target_conn, &method).await {
            Event::Body => (),
            Event::EntryGone => return End::EntryGone,
            Event::Head(Ok(head)) => match ownership(node, req, &head) {
                Ownership::Own => {
                    let body = Box::new(target_conn.into_body(&head));
                    return End::Answer {
                        head,
                        body,
                        is_sent,
                    };
                }
                Ownership::Other if extra < MAX_EXTRA_ANSWERS => {
                    extra += 1;
                    node.metrics.count("guard.extra_answer");
                    warn!(node.logger, "answer to another request passed over";
                        "request" => %req.public_id(node), "status" => head.status);
                    match skip_body(target_conn, &head).await {
                        Some(conn) => target_conn = conn,
                        None => return End::Closed,
                    }
                    // What follows is not trusted to be a request's only answer.
                    is_sent = false;
                    target_reads = false;
                }
                Ownership::Other => return End::Malformed,
            },
            Event::Head(Err(ResponseError::Malformed)) => return End::Malformed,
            Event::Head(Err(ResponseError::Closed)) => return End::Closed,
        }
    }
}

/// Whose answer was received.
enum Ownership {
    Own,
    Other,
}

/// Decides by the id on an answer whether it belongs to the request. A target that repeats
/// the ids of requests leaves it out only where it refuses one.
fn ownership(node: &Node, req: &Pending, head: &TargetHead) -> Ownership {
    let names = &node.settings.headers;
    if !names.callers_choose_id {
        return Ownership::Own;
    }
    let sent = http1::header_value(&req.head.headers, names.request_id);
    match http1::header_value(&head.headers, names.request_id) {
        Some(echoed) if Some(echoed) == sent => Ownership::Own,
        None if is_not_run(node, head) => Ownership::Own,
        _ => Ownership::Other,
    }
}

async fn skip_body(target_conn: Connection, head: &TargetHead) -> Option<Connection> {
    let mut body = target_conn.into_body(head);
    loop {
        match body.next().await {
            BodyPart::Data(_) => (),
            BodyPart::End => return body.into_reusable_conn(),
            BodyPart::Truncated => return None,
        }
    }
}

enum Event {
    /// More of the body was received.
    Body,
    EntryGone,
    Head(Result<TargetHead, ResponseError>),
}

async fn next_event(
    conn: &mut Conn,
    req: &mut Pending,
    target_conn: &mut Connection,
    method: &str,
) -> Event {
    if req.body.ended {
        return tokio::select! {
            head = target_conn.read_head(method) => Event::Head(head),
            // Nothing may follow the body, so this is the end of the connection or
            // a breach of the protocol.
            _ = conn.rx.wait_readable() => Event::EntryGone,
        };
    }
    tokio::select! {
        head = target_conn.read_head(method) => Event::Head(head),
        msg = conn.rx.read() => match msg.map(|msg| req.body.take(req.head.body, msg)) {
            Ok(Ok(())) => Event::Body,
            Ok(Err(())) | Err(_) => Event::EntryGone,
        },
    }
}

/// Reports whether the entry keeps part of the body until the request is started.
pub(super) fn takes_more(length: BodyLength) -> bool {
    match length {
        BodyLength::None => false,
        BodyLength::Sized(length) => length > MAX_EAGER_BODY_BYTES as u64,
        BodyLength::Chunked => true,
    }
}

fn request_framing(length: BodyLength) -> Framing {
    match length {
        BodyLength::None => Framing::None,
        BodyLength::Sized(length) => Framing::Sized(length),
        BodyLength::Chunked => Framing::Chunked,
    }
}

/// Returns the length of an answer as it is stated to the entry.
fn answer_length(framing: Framing) -> BodyLength {
    match framing {
        Framing::None => BodyLength::None,
        Framing::Sized(length) => BodyLength::Sized(length),
        Framing::Chunked | Framing::UntilClose => BodyLength::Chunked,
    }
}

fn has_body(length: BodyLength) -> bool {
    !matches!(length, BodyLength::None | BodyLength::Sized(0))
}

/// Returns the headers of a request as the target gets them.
fn target_headers(node: &Node, req: &Pending) -> Vec<Header> {
    let names = &node.settings.headers;
    let mut list: Vec<Header> = req.head.headers.clone();
    list.retain(headers::is_valid_header);
    let remaining_ms = req.deadline.micros_since(node.now()) / 1_000;
    let remaining_ms = remaining_ms.max(1).to_string();
    list.push(headers::header(names.timeout_ms, remaining_ms));
    let target = node.guard.borrow().target(node.now()).cloned();
    if let (Some(name), Some(target)) = (names.expected_target, target) {
        let id = Bytes::copy_from_slice(target.id.as_bytes());
        list.push(headers::header(name, id));
    }
    if req.head.hedged {
        list.push(headers::header(headers::HEDGED, "1"));
    }
    list
}

/// Passes the answer on to the entry.
async fn send_answer(
    node: &Rc<Node>,
    conn: &mut Conn,
    req: &Pending,
    slot: Slot,
    answer: TargetHead,
    mut body: ResponseBody,
    is_sent: bool,
) -> Exchange {
    let key = req.head.key;
    let status = answer.status;
    if answer.framing == Framing::UntilClose && !node.settings.allow_close_delimited_responses {
        slot.finish(ExchangeOutcome::Failed);
        return fail(node, conn, key, true, FailReason::Unframed).await;
    }
    let length = answer_length(answer.framing);
    let head = PeerResponseHead {
        key,
        status,
        headers: node
            .settings
            .headers
            .forwarded_response_headers(&answer.headers),
        body: length,
        load: node.guard.borrow().load_sample(node.now()),
    };
    if conn.tx.queue(&PeerMessage::Response(head)).is_err() {
        slot.finish(ExchangeOutcome::Failed);
        return fail(node, conn, key, true, FailReason::Malformed).await;
    }
    let Ok(bytes) = send_pieces(conn, req, &mut body).await else {
        // Without the end of the body the entry knows that the answer was cut.
        node.metrics.count("guard.answer_cut");
        warn!(node.logger, "answer of the target cut"; "request" => %req.public_id(node));
        return Exchange::Broken;
    };
    let load = node.guard.borrow().load_sample(node.now());
    info!(node.logger, "request served"; "request" => %req.public_id(node), "status" => status,
        "service_us" => slot.micros(), "bytes" => bytes, "in_flight" => load.in_flight,
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
        .filter(|conn| is_sent && conn.has_no_unread_data());
    if let Some(target_conn) = target_conn {
        node.target_pool.release(target_conn, node.now());
    }
    if length != BodyLength::None {
        let load = Some(node.guard.borrow().load_sample(node.now()));
        let end = PeerMessage::BodyEnd {
            length: bytes,
            load,
        };
        if conn.tx.queue(&end).is_err() {
            return Exchange::Broken;
        }
    }
    sent(conn.tx.flush().await)
}

/// Sends the pieces of a body and returns their length, once it is complete. The
/// last pieces may still be in the buffer of the connection.
async fn send_pieces(conn: &mut Conn, req: &Pending, body: &mut ResponseBody) -> Result<u64, ()> {
    let mut bytes = 0;
    loop {
        let part = match body.next().now_or_never() {
            Some(part) => part,
            None => {
                conn.tx.flush().await.map_err(|_| ())?;
                next_part(conn, req, body).await?
            }
        };
        match part {
            BodyPart::Data(piece) => {
                bytes += piece.len() as u64;
                queue_piece(conn, piece).await.map_err(|_| ())?;
            }
            BodyPart::End => return Ok(bytes),
            BodyPart::Truncated => return Err(()),
        }
    }
}

async fn next_part(
    conn: &mut Conn,
    req: &Pending,
    body: &mut ResponseBody,
) -> Result<BodyPart, ()> {
    if !req.body.ended {
        return Ok(body.next().await);
    }
    tokio::select! {
        part = body.next() => Ok(part),
        _ = conn.rx.wait_readable() => Err(()),
    }
}

async fn queue_piece(conn: &mut Conn, mut piece: Bytes) -> Result<(), FrameError> {
    while !piece.is_empty() {
        let part = piece.split_to(piece.len().min(MAX_BODY_FRAME_BYTES));
        conn.tx.queue(&PeerMessage::Body(part))?;
        if conn.tx.queued_bytes() >= MAX_BODY_FRAME_BYTES {
            conn.tx.flush().await?;
        }
    }
    Ok(())
}

/// Tells the entry that there is no answer.
pub(super) async fn fail(
    node: &Node,
    conn: &mut Conn,
    key: RequestKey,
    started: bool,
    reason: FailReason,
) -> Exchange {
    node.metrics.count("guard.failed");
    let load = node.guard.borrow().load_sample(node.now());
    let msg = PeerMessage::Failed {
        key,
        started,
        reason,
        load,
    };
    // The connection is not used again: the entry discards it as well.
    let _ = conn.tx.write(&msg).await;
    Exchange::Broken
}

/// Ends the exchange with the entry.
///
/// When part of the body is unread, closing at once would reset the connection and
/// could take the answer with it, so the rest is read first.
async fn finish(
    node: &Node,
    conn: &mut Conn,
    req: &Pending,
    exchange: Option<Exchange>,
) -> Exchange {
    let exchange = exchange.unwrap_or(Exchange::Broken);
    if req.body.ended {
        return exchange;
    }
    let limit = node.now().saturating_add_millis(DRAIN_TIMEOUT_MS);
    let drain = async { while conn.rx.read().await.is_ok() {} };
    let _ = node.clock.timeout_at(limit, drain).await;
    Exchange::Broken
}
