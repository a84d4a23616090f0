//! A dispatched request: its way to the target and the answer's way back.

use std::rc::Rc;

use actix_http::{Method, RequestHead as HttpHead, Uri, Version, header::HeaderMap};
use bytes::Bytes;
use futures_util::FutureExt;
use plantainpost_core::admission::{Finish, RequestKey};
use plantainpost_wire::{
    frame::FrameError,
    message::{BodyLength, FailReason, MAX_BODY_PIECE, PeerMessage, ResponseHead},
};

use super::{
    Conn, Exchange,
    request::{DRAIN_TIMEOUT_MS, Pending},
    sent,
    slot::Slot,
};
use crate::{
    headers,
    node::Node,
    target::{BodyPart, TargetAnswer, TargetConn},
};

/// Status with which a target sheds load.
const SERVICE_UNAVAILABLE: u16 = 503;

/// How the exchange with the target went until the head of its answer.
enum End {
    Answer(Box<TargetAnswer>),
    /// The target closed the connection without a word.
    Closed,
    /// The answer is not HTTP.
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
    target_conn: TargetConn,
) -> Exchange {
    let (key, deadline) = (req.head.key, req.deadline);
    let end = node
        .clock
        .before(deadline, exchange(node, conn, &mut req, target_conn))
        .await;
    let reason = match end {
        Some(End::Answer(answer)) => {
            let answer = send_answer(node, conn, &req, slot, *answer);
            let exchange = node.clock.before(deadline, answer).await;
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
    drop(slot);
    let exchange = fail(node, conn, key, true, reason).await;
    finish(node, conn, &req, Some(exchange)).await
}

/// Sends the request to the target and waits for the head of its answer.
async fn exchange(node: &Node, conn: &mut Conn, req: &mut Pending, target_conn: TargetConn) -> End {
    let may_repeat = req.head.idempotent && target_conn.reused && is_replayable(req);
    let target = target_conn.addr();
    let pieces = req.body.pieces.clone();
    let end = exchange_once(node, conn, req, target_conn).await;
    if !may_repeat || !matches!(end, End::Closed) {
        return end;
    }
    // The target may close an idle connection while the request is on its way. An
    // idempotent request is sent once more (RFC 9110, section 9.2.2).
    let Ok(target_conn) = TargetConn::open(target).await else {
        return end;
    };
    node.metrics.count("guard.reopened");
    req.body.pieces = pieces;
    exchange_once(node, conn, req, target_conn).await
}

fn is_replayable(req: &Pending) -> bool {
    req.body.ended && req.body.length <= MAX_BODY_PIECE as u64
}

async fn exchange_once(
    node: &Node,
    conn: &mut Conn,
    req: &mut Pending,
    mut target_conn: TargetConn,
) -> End {
    let head = http_head(node, req);
    let is_head = head.method == Method::HEAD;
    if target_conn.send_head(head, req.head.body).await.is_err() {
        return End::Closed;
    }
    if takes_more(req.head.body) {
        let key = req.head.key;
        if conn.tx.write(&PeerMessage::Continue { key }).await.is_err() {
            return End::EntryGone;
        }
    }
    // The target may answer before it has read the whole body, or close its side
    // for reading; what it says is read in both cases.
    let mut target_reads = true;
    loop {
        while let Some(piece) = req.body.pieces.pop_front() {
            if target_reads && target_conn.send_body(Some(piece)).await.is_err() {
                target_reads = false;
            }
        }
        if req.body.ended && target_reads && has_body(req.head.body) {
            target_reads = target_conn.send_body(None).await.is_ok();
        }
        match next_event(conn, req, &mut target_conn).await {
            Event::Body => (),
            Event::EntryGone => return End::EntryGone,
            Event::Head(Some(Ok(head))) => {
                return End::Answer(Box::new(target_conn.into_answer(head, is_head)));
            }
            Event::Head(Some(Err(()))) => return End::Malformed,
            Event::Head(None) => return End::Closed,
        }
    }
}

enum Event {
    /// More of the body was received.
    Body,
    EntryGone,
    Head(Option<Result<actix_http::ResponseHead, ()>>),
}

async fn next_event(conn: &mut Conn, req: &mut Pending, target_conn: &mut TargetConn) -> Event {
    if req.body.ended {
        return tokio::select! {
            head = target_conn.read_head() => Event::Head(head),
            // Nothing may follow the body, so this is the end of the connection or
            // a breach of the protocol.
            _ = conn.rx.wait_readable() => Event::EntryGone,
        };
    }
    tokio::select! {
        head = target_conn.read_head() => Event::Head(head),
        msg = conn.rx.read() => match msg.map(|msg| req.body.take(req.head.body, msg)) {
            Ok(Ok(())) => Event::Body,
            Ok(Err(())) | Err(_) => Event::EntryGone,
        },
    }
}

/// Reports whether the entry keeps part of the body until the request is started.
fn takes_more(length: BodyLength) -> bool {
    match length {
        BodyLength::None => false,
        BodyLength::Sized(length) => length > MAX_BODY_PIECE as u64,
        BodyLength::Chunked => true,
    }
}

fn has_body(length: BodyLength) -> bool {
    !matches!(length, BodyLength::None | BodyLength::Sized(0))
}

fn http_head(node: &Node, req: &Pending) -> HttpHead {
    let mut map = HeaderMap::with_capacity(req.head.headers.len() + 3);
    headers::extend(&mut map, &req.head.headers);
    let remaining_ms = req.deadline.micros_since(node.now()).div_ceil(1_000);
    map.insert(
        headers::TIMEOUT_MS,
        headers::value(&remaining_ms.to_string()),
    );
    let id = req.head.key.id.to_string();
    map.insert(headers::REQUEST_ID, headers::value(&id));
    if req.head.hedged {
        map.insert(headers::HEDGED, headers::value("1"));
    }
    let mut head = HttpHead::default();
    head.method = Method::from_bytes(req.head.method.as_bytes()).unwrap_or(Method::GET);
    head.uri = Uri::try_from(req.head.path.as_str()).unwrap_or_default();
    head.version = Version::HTTP_11;
    head.headers = map;
    head
}

/// Passes the answer on to the entry.
async fn send_answer(
    node: &Rc<Node>,
    conn: &mut Conn,
    req: &Pending,
    slot: Slot,
    answer: TargetAnswer,
) -> Exchange {
    let key = req.head.key;
    let Some(length) = answer.length else {
        slot.finish(Finish::Failed);
        return fail(node, conn, key, true, FailReason::Unframed).await;
    };
    let status = answer.head.status.as_u16();
    let head = ResponseHead {
        key,
        status,
        headers: headers::end_to_end(&answer.head.headers),
        body: length,
        load: node.guard.borrow().load(node.now()),
    };
    if conn.tx.queue(&PeerMessage::Response(head)).is_err() {
        slot.finish(Finish::Failed);
        return fail(node, conn, key, true, FailReason::Malformed).await;
    }
    let mut body = answer.body;
    let Ok(bytes) = send_pieces(conn, req, &mut body).await else {
        // Without the end of the body the entry knows that the answer was cut.
        node.metrics.count("guard.answer_cut");
        return Exchange::Broken;
    };
    slot.finish(match status {
        SERVICE_UNAVAILABLE => Finish::TargetRefused,
        _ => Finish::Completed {
            server_error: status >= 500,
        },
    });
    if let Some(target_conn) = body.into_conn().filter(|_| req.body.ended) {
        node.targets.release(target_conn, node.now());
    }
    if length != BodyLength::None {
        let load = Some(node.guard.borrow().load(node.now()));
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
async fn send_pieces(
    conn: &mut Conn,
    req: &Pending,
    body: &mut crate::target::TargetBody,
) -> Result<u64, ()> {
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
            BodyPart::Piece(piece) => {
                bytes += piece.len() as u64;
                queue_piece(conn, piece).await.map_err(|_| ())?;
            }
            BodyPart::End => return Ok(bytes),
            BodyPart::Cut => return Err(()),
        }
    }
}

async fn next_part(
    conn: &mut Conn,
    req: &Pending,
    body: &mut crate::target::TargetBody,
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
        let part = piece.split_to(piece.len().min(MAX_BODY_PIECE));
        conn.tx.queue(&PeerMessage::Body(part))?;
        if conn.tx.queued() >= MAX_BODY_PIECE {
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
    let load = node.guard.borrow().load(node.now());
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
    let _ = node.clock.before(limit, drain).await;
    Exchange::Broken
}
