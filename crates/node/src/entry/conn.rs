//! Connections of callers.
//!
//! Each request runs as a task of its own. Pipelined requests run at the same time, and
//! their answers are written in the order of the requests. The end of the connection aborts
//! its tasks, which cancels the requests.

use std::{collections::VecDeque, rc::Rc};

use actix_http::StatusCode;
use actix_rt::{net::TcpStream, task::JoinHandle};
use bytes::{Bytes, BytesMut};
use plantainpost_core::{routing::CallerLimits, time::Instant};
use plantainpost_http1::{
    BodyDecoder, Decoded, Framing, HeadError, RequestHead, parse_request_head,
};
use plantainpost_wire::message::BodyLength;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    sync::mpsc,
};

use super::{
    answer,
    reply::{Pending, Reply, ReplyHead, ReplyPart, pending_reply},
};
use crate::node::Node;

/// Requests of one connection that are worked on at once. Further ones are not read.
const MAX_PIPELINED: usize = 16;

/// Pieces of a body that wait for their request's task.
const BODY_PIECES: usize = 4;

/// Bytes asked of the socket in one read.
const READ_BYTES: usize = 16 * 1024;

/// Bytes of an answer that are gathered for one write.
const WRITE_BYTES: usize = 64 * 1024;

/// Time for which a closed connection is still read, in milliseconds. Closing it with
/// unread bytes would reset it, and the caller could lose the last answer.
const LINGER_MS: u64 = 1_000;

/// A request as it comes from a connection.
pub(crate) struct Incoming {
    pub(crate) head: RequestHead,
    pub(crate) body: RequestBody,
    /// When the head was complete.
    pub(crate) received: Instant,
    pub(crate) reply: Reply,
}

/// Why a body can't be read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The connection ended, or the framing is broken.
    Incomplete,
    /// The body is longer than allowed.
    TooLong,
}

/// Reads the body of a request.
pub(crate) struct RequestBody {
    /// `None` after the end of the body.
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

/// Answers one request.
pub(crate) type Handler = fn(Rc<Node>, Incoming) -> JoinHandle<()>;

/// Body of a request that is being received.
struct Upload {
    decoder: BodyDecoder,
    /// `None` when the request's task does not read the body; it is then discarded.
    tx: Option<mpsc::Sender<Result<Option<Bytes>, BodyError>>>,
    /// Bytes that may still come.
    left: u64,
}

/// What the connection waits for before it can read on.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Input {
    /// More bytes.
    Bytes,
    /// The task that reads the body.
    Task,
    /// Answers, because enough requests are in progress.
    Answers,
    /// Nothing: no further request is taken. Bytes are discarded.
    Closed,
}

struct Conn {
    node: Rc<Node>,
    rx: OwnedReadHalf,
    tx: OwnedWriteHalf,
    buf: BytesMut,
    out: Vec<u8>,
    handler: Handler,
    upload: Option<Upload>,
    replies: VecDeque<Pending>,
    /// No request is taken any more.
    is_closed: bool,
    /// When the first bytes of an incomplete head were received.
    head_since: Option<Instant>,
    /// When the connection was last in use.
    idle_since: Instant,
}

/// How a connection ended.
enum End {
    /// After an answer, or idle.
    Close,
    /// The caller has gone, or an answer was cut.
    Drop,
}

/// Serves a connection until it ends.
pub(super) async fn serve_conn(node: Rc<Node>, io: TcpStream, handler: Handler) {
    let (rx, tx) = io.into_split();
    let now = node.now();
    let mut conn = Conn {
        node,
        rx,
        tx,
        buf: BytesMut::new(),
        out: Vec::new(),
        handler,
        upload: None,
        replies: VecDeque::new(),
        is_closed: false,
        head_since: None,
        idle_since: now,
    };
    match conn.run().await {
        End::Close => conn.linger().await,
        End::Drop => (),
    }
}

enum Event {
    Read(std::io::Result<usize>),
    TaskReady,
    Reply(Option<ReplyPart>),
    Timeout,
    Closing,
}

impl Conn {
    async fn run(&mut self) -> End {
        loop {
            let input = self.parse();
            if self.replies.is_empty() && self.upload.is_none() {
                let is_idle = self.buf.is_empty();
                if self.is_closed || (is_idle && self.node.stop.is_closing()) {
                    return End::Close;
                }
            }
            match self.next_event(input).await {
                Event::Read(Ok(0) | Err(_)) => {
                    if !self.replies.is_empty() {
                        self.node.metrics.count("http.caller_gone");
                    }
                    return End::Drop;
                }
                Event::Read(Ok(_)) => {
                    if input == Input::Closed {
                        self.buf.clear();
                    }
                }
                Event::TaskReady | Event::Closing => (),
                Event::Reply(part) => {
                    if let Some(end) = self.write(part).await {
                        return end;
                    }
                }
                Event::Timeout if self.head_since.is_some() => {
                    self.refuse(StatusCode::REQUEST_TIMEOUT, "head-timeout");
                }
                Event::Timeout => return End::Close,
            }
        }
    }

    async fn next_event(&mut self, input: Input) -> Event {
        let timeout_at = self.timeout_at();
        let clock = self.node.clock;
        let (rx, buf) = (&mut self.rx, &mut self.buf);
        let read = async {
            match input {
                Input::Bytes | Input::Closed => {
                    buf.reserve(READ_BYTES);
                    rx.read_buf(buf).await
                }
                Input::Task | Input::Answers => std::future::pending().await,
            }
        };
        let upload = self.upload.as_ref().and_then(|upload| upload.tx.as_ref());
        let task_ready = async {
            match (input, upload) {
                // A closed channel is ready as well: the body is then discarded.
                (Input::Task, Some(tx)) => drop(tx.reserve().await),
                _ => std::future::pending().await,
            }
        };
        let replies = &mut self.replies;
        let reply = async {
            match replies.front_mut() {
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
            part = reply => Event::Reply(part),
            read = read => Event::Read(read),
            () = task_ready => Event::TaskReady,
            () = timeout => Event::Timeout,
            () = closing => Event::Closing,
        }
    }

    fn timeout_at(&self) -> Option<Instant> {
        let limits = self.node.caller_limits();
        if let Some(since) = self.head_since {
            return Some(since.saturating_add_millis(limits.head_timeout_ms));
        }
        let is_idle = self.replies.is_empty() && self.upload.is_none();
        is_idle.then(|| {
            self.idle_since
                .saturating_add_millis(limits.idle_timeout_ms)
        })
    }

    /// Takes what the buffer holds: pieces of a body and heads of requests.
    fn parse(&mut self) -> Input {
        loop {
            if self.upload.is_some() {
                match self.take_body() {
                    Some(input) => return input,
                    None => continue,
                }
            }
            if self.is_closed {
                self.buf.clear();
                return Input::Closed;
            }
            // The answer to the request in progress closes the connection at a stop. What
            // follows stays unread, so that callers can send it elsewhere.
            let is_stopping = self.node.stop.has_started() && !self.replies.is_empty();
            if is_stopping || self.replies.len() >= MAX_PIPELINED {
                return Input::Answers;
            }
            let limits = self.node.caller_limits();
            let max_bytes = usize::try_from(limits.header_bytes).unwrap_or(usize::MAX);
            match parse_request_head(&mut self.buf, max_bytes) {
                Ok(Some(head)) => self.start(head, &limits),
                Ok(None) => {
                    if !self.buf.is_empty() {
                        let now = self.node.now();
                        self.head_since.get_or_insert(now);
                    }
                    return Input::Bytes;
                }
                Err(HeadError::TooLong) => {
                    self.refuse(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head-too-long");
                }
                Err(HeadError::Malformed) => {
                    self.refuse(StatusCode::BAD_REQUEST, "malformed");
                }
            }
        }
    }

    /// Starts the task of a request.
    fn start(&mut self, head: RequestHead, limits: &CallerLimits) {
        self.head_since = None;
        let body = match head.framing {
            Framing::None => None,
            framing => {
                let (tx, rx) = mpsc::channel(BODY_PIECES);
                self.upload = Some(Upload {
                    decoder: BodyDecoder::new(framing),
                    tx: Some(tx),
                    left: limits.body_bytes,
                });
                Some(rx)
            }
        };
        let (reply, mut pending) = pending_reply();
        pending.is_head = head.method == "HEAD";
        pending.is_http10 = head.is_http10;
        pending.close = !head.keep_alive;
        self.is_closed |= pending.close;
        if head.expects_continue && self.buf.is_empty() && self.replies.is_empty() {
            // The socket buffer of an idle connection takes these few bytes. If it did not,
            // the caller would send the body after its own timeout.
            let _ = self.tx.try_write(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        let incoming = Incoming {
            body: RequestBody { rx: body },
            received: self.node.now(),
            head,
            reply,
        };
        pending.task = Some((self.handler)(Rc::clone(&self.node), incoming));
        self.replies.push_back(pending);
    }

    /// Takes parts of a body. Returns what to wait for, or `None` after its end.
    fn take_body(&mut self) -> Option<Input> {
        let upload = self.upload.as_mut()?;
        loop {
            if upload.tx.as_ref().is_some_and(mpsc::Sender::is_closed) {
                upload.tx = None;
            }
            if upload.tx.as_ref().is_some_and(|tx| tx.capacity() == 0) {
                return Some(Input::Task);
            }
            let part = match upload.decoder.decode(&mut self.buf) {
                Ok(Decoded::NeedMore) => return Some(Input::Bytes),
                Ok(Decoded::Data(piece)) if piece.len() as u64 <= upload.left => {
                    upload.left -= piece.len() as u64;
                    Ok(Some(piece))
                }
                Ok(Decoded::Data(_)) => Err(BodyError::TooLong),
                Ok(Decoded::End) => Ok(None),
                Err(_) => Err(BodyError::Incomplete),
            };
            let is_last = !matches!(part, Ok(Some(_)));
            self.is_closed |= part.is_err();
            if let Some(tx) = &upload.tx {
                // There is room, and a task that has gone does not want the piece.
                let _ = tx.try_send(part);
            }
            if is_last {
                self.upload = None;
                return None;
            }
        }
    }

    /// Queues an answer of this connection itself, after which it is closed.
    fn refuse(&mut self, status: StatusCode, reason: &'static str) {
        self.node.metrics.count("entry.bad_request");
        self.is_closed = true;
        self.head_since = None;
        self.buf.clear();
        let (reply, pending) = pending_reply();
        let headers = answer::refusal_headers(reason);
        let head = ReplyHead {
            status: status.as_u16(),
            headers,
            length: BodyLength::None,
            close: true,
        };
        reply.queue_empty(head);
        self.replies.push_back(pending);
    }

    /// Writes a part of the first answer, with what else is ready of it.
    async fn write(&mut self, part: Option<ReplyPart>) -> Option<End> {
        let mut part = part;
        loop {
            let is_last = self.replies.len() == 1;
            let stopping = self.node.stop.has_started() && is_last && self.upload.is_none();
            let pending = self.replies.front_mut()?;
            let Some(next) = part else {
                // The task ended before the end of the answer.
                let _ = self.tx.write_all(&self.out).await;
                return Some(End::Drop);
            };
            let is_end = matches!(next, ReplyPart::End);
            if pending.encode(&mut self.out, next, stopping).is_err() {
                self.node.metrics.count("entry.answer_cut");
                return Some(End::Drop);
            }
            if is_end || self.out.len() >= WRITE_BYTES {
                if self.tx.write_all(&self.out).await.is_err() {
                    return Some(End::Drop);
                }
                self.out.clear();
            }
            if is_end {
                return self.finish_first();
            }
            part = match self.replies.front_mut()?.rx.try_recv() {
                Ok(part) => Some(part),
                Err(mpsc::error::TryRecvError::Empty) => break,
                Err(mpsc::error::TryRecvError::Disconnected) => None,
            };
        }
        if self.tx.write_all(&self.out).await.is_err() {
            return Some(End::Drop);
        }
        self.out.clear();
        None
    }

    /// Removes the first answer, which is complete.
    fn finish_first(&mut self) -> Option<End> {
        let mut pending = self.replies.pop_front()?;
        // The task has nothing left to do but to end.
        pending.task = None;
        self.idle_since = self.node.now();
        // Requests behind a closing answer count as not read, so their tasks are aborted
        // before they reach a target, or their outcome is not reported.
        pending.close.then_some(End::Close)
    }

    async fn linger(&mut self) {
        self.replies.clear();
        if self.tx.shutdown().await.is_err() {
            return;
        }
        let until = self.node.now().saturating_add_millis(LINGER_MS);
        let clock = self.node.clock;
        let drain = async {
            loop {
                self.buf.clear();
                match self.rx.read_buf(&mut self.buf).await {
                    Ok(count) if count > 0 => (),
                    _ => return,
                }
            }
        };
        // Past this time the connection is reset, which callers take for its end.
        let _ = clock.timeout_at(until, drain).await;
    }
}
