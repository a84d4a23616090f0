//! HTTP/1.1 connections of callers.
//!
//! Each request runs in its own task. Pipelined requests run concurrently, and their responses
//! are written in the order of the requests. When the connection ends, its tasks are aborted,
//! which cancels the requests.

use std::{collections::VecDeque, rc::Rc};

use actix_http::StatusCode;
use actix_rt::{net::TcpStream, task::JoinHandle};
use bytes::{Bytes, BytesMut};
use plantainpost_core::{routing::CallerLimits, time::Instant};
use plantainpost_http1::{
    BodyDecoder, Decoded, Framing, HeadError, RequestHead, parse_request_head,
};
use plantainpost_wire::{frame, message::BodyLength};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    sync::mpsc,
};

use super::{
    caller_close::wait_until_closed,
    caller_write::write_to_caller,
    listener::is_from_own_host,
    response,
    response_writer::{
        CallerGone, CallerResponseHead, PendingResponse, ResponsePart, ResponseWriter,
        response_channel,
    },
};
use crate::node::Node;

/// Requests of one connection that run at the same time. Further ones are not read.
const MAX_PIPELINED_REQUESTS: usize = 16;

/// Pieces of a request body that are queued for the task of the request.
const MAX_QUEUED_BODY_PIECES: usize = 4;

/// Bytes of a response that are collected before they are written to the socket.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

/// Time for which a stopping node still reads from idle connections and accepts new ones when it
/// begins to close them, in milliseconds. Requests that have arrived by then are refused instead of
/// reset.
pub(super) const CLOSE_DELAY_MS: u64 = 100;

/// Time for which input is still read and discarded after the write side is closed, in
/// milliseconds. Closing the socket with unread bytes would reset the connection, and the caller
/// could lose the last response.
const LINGERING_CLOSE_MS: u64 = 1_000;

/// A request received on a connection, whose body may still be arriving.
pub(crate) struct IncomingRequest {
    pub(crate) head: RequestHead,
    pub(crate) body: RequestBody,
    /// When the head was completely received.
    pub(crate) received_at: Instant,
    pub(crate) is_from_own_host: bool,
    pub(crate) writer: ResponseWriter,
}

/// Why a body can't be read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The connection ended, or the framing is broken.
    Incomplete,
    /// The body exceeds the limit.
    TooLong,
}

/// The receiving end of a request body.
pub(crate) struct RequestBody {
    /// `None` after the end of the body, or if the request has none.
    rx: Option<mpsc::Receiver<Result<Option<Bytes>, BodyError>>>,
}

impl RequestBody {
    /// Returns the next piece, or `None` at the end of a complete body.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        let Some(rx) = &mut self.rx else {
            return Ok(None);
        };
        let part = rx.recv().await.unwrap_or(Err(BodyError::Incomplete));
        if matches!(part, Ok(None)) {
            self.rx = None;
        }
        part
    }
}

/// Spawns the task that responds to one request.
pub(crate) type RequestHandler = fn(Rc<Node>, IncomingRequest) -> JoinHandle<()>;

/// A request body that is being received.
struct IncomingBody {
    decoder: BodyDecoder,
    /// `None` if the task of the request no longer reads the body, which is then discarded.
    tx: Option<mpsc::Sender<Result<Option<Bytes>, BodyError>>>,
    /// Bytes left until the size limit of the body.
    remaining_bytes: u64,
}

/// What the connection waits for before it can parse more input.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReadWait {
    /// More bytes from the socket.
    SocketBytes,
    /// Room in the queue to the task that reads the body, or the end of the connection.
    BodyReader,
    /// Responses, because no further request may start before one ends, or the end of the connection.
    Responses,
    /// Nothing: no further request is accepted, and input is discarded.
    Closed,
}

struct CallerConn {
    node: Rc<Node>,
    is_from_own_host: bool,
    rx: OwnedReadHalf,
    tx: OwnedWriteHalf,
    read_buf: BytesMut,
    write_buf: Vec<u8>,
    handler: RequestHandler,
    incoming_body: Option<IncomingBody>,
    responses: VecDeque<PendingResponse>,
    /// Set when no further request is accepted on the connection.
    no_more_requests: bool,
    /// When the first bytes of a still incomplete head were received.
    head_started_at: Option<Instant>,
    /// When the last response was completed, or the connection opened.
    last_active_at: Instant,
    /// When the connection is closed if it stays idle, because the node stops.
    close_at: Option<Instant>,
}

/// How a connection ended.
enum ConnEnd {
    /// After a response or while idle.
    Graceful,
    /// The caller closed the connection, or a response was truncated.
    Abrupt,
}

/// Serves a connection until it ends.
pub(super) async fn serve_caller_conn(node: Rc<Node>, io: TcpStream, handler: RequestHandler) {
    let is_from_own_host = is_from_own_host(&io);
    let (rx, tx) = io.into_split();
    let now = node.now();
    let mut conn = CallerConn {
        node,
        is_from_own_host,
        rx,
        tx,
        read_buf: BytesMut::new(),
        write_buf: Vec::new(),
        handler,
        incoming_body: None,
        responses: VecDeque::new(),
        no_more_requests: false,
        head_started_at: None,
        last_active_at: now,
        close_at: None,
    };
    match conn.run().await {
        ConnEnd::Graceful => conn.drain_and_close().await,
        ConnEnd::Abrupt => (),
    }
}

enum ConnEvent {
    Read(std::io::Result<usize>),
    BodyReaderReady,
    ResponsePart(Option<ResponsePart>),
    Timeout,
    Closing,
}

impl CallerConn {
    async fn run(&mut self) -> ConnEnd {
        loop {
            let read_wait = self.parse_input();
            if self.responses.is_empty() && self.incoming_body.is_none() {
                if self.no_more_requests {
                    return ConnEnd::Graceful;
                }
                if self.node.stop.is_closing() && self.read_buf.is_empty() {
                    let now = self.node.now();
                    let close_at = now.saturating_add_millis(CLOSE_DELAY_MS);
                    if now >= *self.close_at.get_or_insert(close_at) {
                        return ConnEnd::Graceful;
                    }
                }
            }
            match self.next_event(read_wait).await {
                ConnEvent::Read(Ok(0) | Err(_)) => {
                    if !self.responses.is_empty() {
                        self.node.metrics.count("http.caller_gone");
                    }
                    return ConnEnd::Abrupt;
                }
                ConnEvent::Read(Ok(_)) => {
                    if read_wait == ReadWait::Closed {
                        self.read_buf.clear();
                    }
                }
                ConnEvent::BodyReaderReady | ConnEvent::Closing => (),
                ConnEvent::ResponsePart(part) => {
                    if let Some(end) = self.write_ready_parts(part).await {
                        return end;
                    }
                }
                ConnEvent::Timeout if self.head_started_at.is_some() => {
                    self.refuse_and_close(StatusCode::REQUEST_TIMEOUT, "head-timeout");
                }
                ConnEvent::Timeout => return ConnEnd::Graceful,
            }
        }
    }

    async fn next_event(&mut self, read_wait: ReadWait) -> ConnEvent {
        let timeout_at = self.timeout_at();
        let clock = self.node.clock;
        let (rx, read_buf) = (&mut self.rx, &mut self.read_buf);
        let read = async {
            match read_wait {
                ReadWait::SocketBytes | ReadWait::Closed => {
                    frame::read_when_ready(rx, read_buf).await
                }
                ReadWait::BodyReader | ReadWait::Responses => {
                    wait_until_closed(clock, rx).await;
                    Ok(0)
                }
            }
        };
        let body_tx = self
            .incoming_body
            .as_ref()
            .and_then(|body| body.tx.as_ref());
        let body_reader_ready = async {
            match (read_wait, body_tx) {
                // A closed channel is ready too; the body is then discarded.
                (ReadWait::BodyReader, Some(tx)) => drop(tx.reserve().await),
                _ => std::future::pending().await,
            }
        };
        let responses = &mut self.responses;
        let next_part = async {
            match responses.front_mut() {
                Some(pending) => pending.rx.recv().await,
                None => std::future::pending().await,
            }
        };
        let timeout = async {
            match timeout_at {
                Some(at) => clock.sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        let stop = &self.node.stop;
        let closing = async {
            match stop.is_closing() {
                true => std::future::pending().await,
                false => stop.wait_for_closing().await,
            }
        };
        tokio::select! {
            part = next_part => ConnEvent::ResponsePart(part),
            read = read => ConnEvent::Read(read),
            () = body_reader_ready => ConnEvent::BodyReaderReady,
            () = timeout => ConnEvent::Timeout,
            () = closing => ConnEvent::Closing,
        }
    }

    fn timeout_at(&self) -> Option<Instant> {
        let limits = self.node.caller_limits();
        if let Some(since) = self.head_started_at {
            return Some(since.saturating_add_millis(limits.head_timeout_ms));
        }
        let is_idle = self.responses.is_empty() && self.incoming_body.is_none();
        is_idle.then(|| {
            let idle_until = self
                .last_active_at
                .saturating_add_millis(limits.idle_timeout_ms);
            self.close_at.map_or(idle_until, |at| at.min(idle_until))
        })
    }

    /// Parses the buffered input: request heads, and pieces of bodies.
    fn parse_input(&mut self) -> ReadWait {
        loop {
            if self.incoming_body.is_some() {
                match self.decode_body() {
                    Some(read_wait) => return read_wait,
                    None => continue,
                }
            }
            if self.no_more_requests {
                self.read_buf.clear();
                return ReadWait::Closed;
            }
            // While the node stops, the response in progress closes the connection. Requests
            // behind it stay unread, so that callers can send them to another node.
            let is_stopping = self.node.stop.has_started() && !self.responses.is_empty();
            if is_stopping || self.responses.len() >= MAX_PIPELINED_REQUESTS {
                return ReadWait::Responses;
            }
            let limits = self.node.caller_limits();
            let max_bytes = usize::try_from(limits.header_bytes).unwrap_or(usize::MAX);
            match parse_request_head(&mut self.read_buf, max_bytes) {
                Ok(Some(head)) => self.start_request(head, &limits),
                Ok(None) => {
                    if !self.read_buf.is_empty() {
                        let now = self.node.now();
                        self.head_started_at.get_or_insert(now);
                    }
                    return ReadWait::SocketBytes;
                }
                Err(HeadError::TooLong) => {
                    self.refuse_and_close(
                        StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                        "head-too-long",
                    );
                }
                Err(HeadError::Malformed) => {
                    self.refuse_and_close(StatusCode::BAD_REQUEST, "malformed");
                }
            }
        }
    }

    /// Spawns the task of a request.
    fn start_request(&mut self, head: RequestHead, limits: &CallerLimits) {
        self.head_started_at = None;
        let body = match head.framing {
            Framing::None => None,
            framing => {
                let (tx, rx) = mpsc::channel(MAX_QUEUED_BODY_PIECES);
                self.incoming_body = Some(IncomingBody {
                    decoder: BodyDecoder::new(framing),
                    tx: Some(tx),
                    remaining_bytes: limits.body_bytes,
                });
                Some(rx)
            }
        };
        let (writer, mut pending) = response_channel();
        pending.is_head_request = head.method == "HEAD";
        pending.is_http10 = head.is_http10;
        pending.close = !head.keep_alive;
        self.no_more_requests |= pending.close;
        if head.expects_continue && self.read_buf.is_empty() && self.responses.is_empty() {
            // The send buffer of an idle connection has room for these few bytes. If the write
            // failed, the caller would send the body after its own timeout.
            let _ = self.tx.try_write(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        let incoming = IncomingRequest {
            body: RequestBody { rx: body },
            received_at: self.node.now(),
            is_from_own_host: self.is_from_own_host,
            head,
            writer,
        };
        pending.task = Some((self.handler)(Rc::clone(&self.node), incoming));
        self.responses.push_back(pending);
    }

    /// Decodes buffered input as body. Returns what to wait for, or `None` when the body has
    /// ended.
    fn decode_body(&mut self) -> Option<ReadWait> {
        let body = self.incoming_body.as_mut()?;
        loop {
            if body.tx.as_ref().is_some_and(mpsc::Sender::is_closed) {
                body.tx = None;
            }
            if body.tx.as_ref().is_some_and(|tx| tx.capacity() == 0) {
                return Some(ReadWait::BodyReader);
            }
            let part = match body.decoder.decode(&mut self.read_buf) {
                Ok(Decoded::NeedMore) => return Some(ReadWait::SocketBytes),
                Ok(Decoded::Data(piece)) if piece.len() as u64 <= body.remaining_bytes => {
                    body.remaining_bytes -= piece.len() as u64;
                    Ok(Some(piece))
                }
                Ok(Decoded::Data(_)) => Err(BodyError::TooLong),
                Ok(Decoded::End) => Ok(None),
                Err(_) => Err(BodyError::Incomplete),
            };
            let is_last = !matches!(part, Ok(Some(_)));
            self.no_more_requests |= part.is_err();
            if let Some(tx) = &body.tx {
                // There is room in the channel, and if the task has ended the piece is not needed.
                let _ = tx.try_send(part);
            }
            if is_last {
                self.incoming_body = None;
                return None;
            }
        }
    }

    /// Queues an error response to input without a valid request head, and closes the connection
    /// after it.
    fn refuse_and_close(&mut self, status: StatusCode, reason: &'static str) {
        self.node.metrics.count("entry.bad_request");
        self.no_more_requests = true;
        self.head_started_at = None;
        self.read_buf.clear();
        let (writer, pending) = response_channel();
        let headers = response::malformed_request_headers(reason);
        let head = CallerResponseHead {
            status: status.as_u16(),
            headers,
            length: BodyLength::None,
            close: true,
        };
        writer.queue_empty(head);
        self.responses.push_back(pending);
    }

    /// Writes `part` of the first response and all parts of it that are ready.
    async fn write_ready_parts(&mut self, part: Option<ResponsePart>) -> Option<ConnEnd> {
        let mut part = part;
        loop {
            let is_last = self.responses.len() == 1;
            let close_for_stop =
                self.node.stop.has_started() && is_last && self.incoming_body.is_none();
            let pending = self.responses.front_mut()?;
            let Some(next) = part else {
                // The task ended before the response was complete.
                let _ = self.write_out().await;
                return Some(ConnEnd::Abrupt);
            };
            let is_end = matches!(next, ResponsePart::End);
            if pending
                .encode(&mut self.write_buf, next, close_for_stop)
                .is_err()
            {
                self.node.metrics.count("entry.answer_cut");
                return Some(ConnEnd::Abrupt);
            }
            let is_due = is_end || self.write_buf.len() >= WRITE_BATCH_BYTES;
            if is_due && self.write_out().await.is_err() {
                return Some(ConnEnd::Abrupt);
            }
            if is_end {
                return self.finish_first_response();
            }
            part = match self.responses.front_mut()?.rx.try_recv() {
                Ok(part) => Some(part),
                Err(mpsc::error::TryRecvError::Empty) => break,
                Err(mpsc::error::TryRecvError::Disconnected) => None,
            };
        }
        self.write_out()
            .await
            .err()
            .map(|CallerGone| ConnEnd::Abrupt)
    }

    /// Writes the buffer to the socket and clears it.
    async fn write_out(&mut self) -> Result<(), CallerGone> {
        write_to_caller(&self.node, &mut self.tx, &self.write_buf).await?;
        self.write_buf.clear();
        Ok(())
    }

    /// Removes the first response, which is complete. Returns [`ConnEnd::Graceful`] if the
    /// connection closes after it.
    fn finish_first_response(&mut self) -> Option<ConnEnd> {
        let mut pending = self.responses.pop_front()?;
        // The task has nothing left to do, so it is not aborted.
        pending.task = None;
        self.last_active_at = self.node.now();
        // Requests behind a response that closes the connection count as unread: their tasks
        // are aborted, and no outcome is reported for those that have reached a target.
        pending.close.then_some(ConnEnd::Graceful)
    }

    async fn drain_and_close(&mut self) {
        self.responses.clear();
        if self.tx.shutdown().await.is_err() {
            return;
        }
        let drain_deadline = self.node.now().saturating_add_millis(LINGERING_CLOSE_MS);
        let clock = self.node.clock;
        let drain = async {
            loop {
                self.read_buf.clear();
                match self.rx.read_buf(&mut self.read_buf).await {
                    Ok(count) if count > 0 => (),
                    _ => return,
                }
            }
        };
        // After this time closing may reset the connection, which callers treat as its end.
        let _ = clock.timeout_at(drain_deadline, drain).await;
    }
}
