//! HTTP/1.1 connections to the target beside this node.
//!
//! The connections are driven through the codec of `actix-http`, because the body
//! stream of `awc` ends in the same way for a complete and for a cut body.

use std::{cell::RefCell, io, net::SocketAddr};

use actix_codec::Framed;
use actix_http::{
    RequestHead, RequestHeadType, ResponseHead, StatusCode,
    body::BodySize,
    h1::{ClientCodec, ClientPayloadCodec, Message, MessageType},
    header,
};
use actix_rt::net::TcpStream;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use plantainpost_core::time::Instant;
use plantainpost_wire::message::BodyLength;

/// Time after which an idle connection is closed, in milliseconds.
///
/// It is below the usual keep-alive times of servers (5 s and more), so that the
/// node and not the target closes first.
const IDLE_MS: u64 = 3_000;

/// An open connection without a request on it.
pub(crate) struct TargetConn {
    framed: Framed<TcpStream, ClientCodec>,
    addr: SocketAddr,
    /// Whether an earlier request used the connection.
    pub(crate) reused: bool,
}

struct Idle {
    conn: TargetConn,
    closes_at: Instant,
}

/// Idle connections to the target.
#[derive(Default)]
pub(crate) struct TargetPool {
    /// Ordered by `closes_at`; the last one was used most recently.
    idle: RefCell<Vec<Idle>>,
}

/// Head of a target's answer.
pub(crate) struct TargetAnswer {
    /// Status and headers.
    pub(crate) head: ResponseHead,
    /// Length of the body, or `None` when the answer is not framed.
    pub(crate) length: Option<BodyLength>,
    /// Rest of the answer.
    pub(crate) body: TargetBody,
}

/// Body of a target's answer.
pub(crate) struct TargetBody {
    framed: Framed<TcpStream, ClientPayloadCodec>,
    addr: SocketAddr,
    /// Set when nothing is left to read. The codec must not be asked then.
    ended: bool,
}

/// Part of a target's body.
pub(crate) enum BodyPart {
    /// More bytes.
    Piece(Bytes),
    /// The body is complete.
    End,
    /// The target closed the connection before the end.
    Cut,
}

impl TargetPool {
    /// Takes an idle connection or opens one.
    pub(crate) async fn acquire(&self, addr: SocketAddr, now: Instant) -> io::Result<TargetConn> {
        if let Some(conn) = self.take_idle(addr, now) {
            return Ok(conn);
        }
        TargetConn::open(addr).await
    }

    /// Keeps a connection whose last answer was complete.
    pub(crate) fn release(&self, conn: TargetConn, now: Instant) {
        let closes_at = now.saturating_add_millis(IDLE_MS);
        self.idle.borrow_mut().push(Idle { conn, closes_at });
    }

    /// Closes connections that were idle for too long.
    pub(crate) fn expire(&self, now: Instant) {
        self.idle.borrow_mut().retain(|idle| idle.closes_at > now);
    }

    fn take_idle(&self, addr: SocketAddr, now: Instant) -> Option<TargetConn> {
        let mut idle = self.idle.borrow_mut();
        while let Some(Idle {
            mut conn,
            closes_at,
        }) = idle.pop()
        {
            if closes_at > now && conn.addr == addr && conn.is_quiet() {
                conn.reused = true;
                return Some(conn);
            }
        }
        None
    }
}

impl TargetConn {
    /// Opens a connection.
    pub(crate) async fn open(addr: SocketAddr) -> io::Result<Self> {
        let io = TcpStream::connect(addr).await?;
        io.set_nodelay(true)?;
        Ok(TargetConn {
            framed: Framed::new(io, ClientCodec::default()),
            addr,
            reused: false,
        })
    }

    /// Returns the address of the target.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Reports whether the target has neither closed the connection nor sent
    /// anything since the last answer.
    fn is_quiet(&self) -> bool {
        let mut probe = [0; 1];
        match self.framed.io_ref().try_read(&mut probe) {
            Err(e) => e.kind() == io::ErrorKind::WouldBlock && self.framed.is_read_buf_empty(),
            Ok(_) => false,
        }
    }

    /// Sends the head of a request.
    pub(crate) async fn send_head(
        &mut self,
        head: RequestHead,
        length: BodyLength,
    ) -> io::Result<()> {
        let size = match length {
            BodyLength::None => BodySize::None,
            BodyLength::Sized(length) => BodySize::Sized(length),
            BodyLength::Chunked => BodySize::Stream,
        };
        let head = RequestHeadType::from(head);
        self.framed.send(Message::Item((head, size))).await
    }

    /// Sends a piece of the body, or its end.
    pub(crate) async fn send_body(&mut self, piece: Option<Bytes>) -> io::Result<()> {
        self.framed.send(Message::Chunk(piece)).await
    }

    /// Waits for the head of the answer; `None` means that the target closed the
    /// connection. Informational answers are skipped.
    pub(crate) async fn read_head(&mut self) -> Option<Result<ResponseHead, ()>> {
        loop {
            match self.framed.next().await? {
                Ok(head) if head.status.is_informational() => (),
                Ok(head) => return Some(Ok(head)),
                Err(_) => return Some(Err(())),
            }
        }
    }

    /// Continues with the body of the answer.
    pub(crate) fn into_answer(self, head: ResponseHead, is_head: bool) -> TargetAnswer {
        let length = answer_length(&head, is_head);
        let ended = self.framed.codec_ref().message_type() == MessageType::None;
        let body = TargetBody {
            framed: self.framed.into_map_codec(ClientCodec::into_payload_codec),
            addr: self.addr,
            ended,
        };
        TargetAnswer { head, length, body }
    }
}

/// Returns the length of an answer, or `None` when only the end of the connection
/// would mark its end, so that a cut could not be seen.
fn answer_length(head: &ResponseHead, is_head: bool) -> Option<BodyLength> {
    let bodyless = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    if is_head || bodyless {
        return Some(BodyLength::None);
    }
    if head.headers.contains_key(header::TRANSFER_ENCODING) {
        return Some(BodyLength::Chunked);
    }
    let length = head.headers.get(header::CONTENT_LENGTH)?;
    let length = length.to_str().ok()?.trim().parse().ok()?;
    Some(match length {
        // The caller's side of the entry never polls an empty body, so its end must come
        // with the head.
        0 => BodyLength::None,
        length => BodyLength::Sized(length),
    })
}

impl TargetBody {
    /// Waits for the next part.
    pub(crate) async fn next(&mut self) -> BodyPart {
        if self.ended {
            return BodyPart::End;
        }
        match self.framed.next().await {
            Some(Ok(Some(piece))) => BodyPart::Piece(piece),
            Some(Ok(None)) => {
                self.ended = true;
                BodyPart::End
            }
            Some(Err(_)) | None => BodyPart::Cut,
        }
    }

    /// Returns the connection for reuse after a complete answer, if the target
    /// keeps it open.
    pub(crate) fn into_conn(self) -> Option<TargetConn> {
        let framed = self
            .framed
            .into_map_codec(ClientPayloadCodec::into_message_codec);
        let reusable = framed.codec_ref().keep_alive() && framed.is_read_buf_empty();
        let addr = self.addr;
        reusable.then_some(TargetConn {
            framed,
            addr,
            reused: true,
        })
    }
}
