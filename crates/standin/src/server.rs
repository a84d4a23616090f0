//! A small HTTP/1.1 server built on the codec of `actix-http`. Handlers decide how each
//! response is framed and whether it is truncated, delayed or never sent.

use std::{
    io,
    net::{SocketAddr, TcpListener as StdListener},
    rc::Rc,
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use actix_codec::Framed;
use actix_http::{
    ConnectionType, Request, Response,
    body::BodySize,
    h1::{Codec, Message, MessageType},
};
use actix_rt::net::{TcpListener, TcpSocket, TcpStream};
use bytes::{Bytes, BytesMut};
use futures_util::{
    FutureExt, SinkExt, StreamExt,
    future::{Either, LocalBoxFuture, select},
};
use snafu::ResultExt;
use tokio::sync::{oneshot, watch};

use crate::error::{ListenSnafu, Result, ThreadSnafu};

/// Pause after a failed system call, so that a persistent failure does not become a busy
/// loop.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Backlog of a listener: connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Longest request body, so that a faulty client cannot exhaust the memory.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// What a listener does with connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum AcceptMode {
    /// Connections are served.
    #[default]
    Serve,
    /// The listener is closed, so connections are refused; existing connections are closed.
    Refuse,
    /// Connections are accepted and closed at once; existing connections are closed.
    CloseAtOnce,
}

/// How the writing of a response ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ReplyEnd {
    /// The whole response is written and the connection stays open.
    #[default]
    Complete,
    /// The whole response is written; then the connection is closed without a
    /// `Connection: close` header.
    CompleteThenClose,
    /// Only the head is written.
    CutAfterHead,
    /// The head and half of the body are written.
    CutInBody,
    /// The connection is closed without a response.
    CloseUnanswered,
    /// Nothing is written; the connection stays open until the client closes it.
    NeverSent,
}

/// How the end of a response body is signalled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ReplyFraming {
    /// By `Content-Length`.
    #[default]
    ContentLength,
    /// By chunked transfer coding.
    Chunked,
    /// By the end of the connection, with `Connection: close`.
    Unframed,
    /// By the end of the connection, without `Connection: close`.
    UnframedSilent,
}

/// A response and how to write it.
pub(crate) struct Reply {
    /// The head.
    pub(crate) head: Response<()>,
    /// The body.
    pub(crate) body: Bytes,
    /// How the end of the body is signalled.
    pub(crate) framing: ReplyFraming,
    /// How the writing of the response ends.
    pub(crate) end: ReplyEnd,
}

impl Reply {
    /// Creates a complete response with a content length.
    pub(crate) fn new(head: Response<()>, body: impl Into<Bytes>) -> Self {
        Self {
            head,
            body: body.into(),
            framing: ReplyFraming::default(),
            end: ReplyEnd::default(),
        }
    }
}

/// The request handler of one listener.
pub(crate) trait Handler: 'static {
    /// Called with the head of a request before its body is read.
    fn request_started(&self, _req: &Request) {}

    /// Returns the response to a request whose body was read.
    fn respond<'a>(&'a self, req: &'a Request, body: Bytes) -> LocalBoxFuture<'a, Reply>;

    /// Called when a request has ended; `complete` says whether the whole response was
    /// written.
    fn request_ended(&self, _req: &Request, _complete: bool) {}
}

/// A running server thread, stopped on drop.
#[derive(Debug)]
pub(crate) struct ServerThread {
    stop: Option<oneshot::Sender<()>>,
    join: Option<JoinHandle<()>>,
}

impl ServerThread {
    /// Runs `body` on its own thread and actix `System`. The receiver resolves when the
    /// thread must stop.
    pub(crate) fn start<F>(
        name: &str,
        body: impl FnOnce(oneshot::Receiver<()>) -> F + Send + 'static,
    ) -> Result<Self>
    where
        F: Future<Output = ()>,
    {
        let (stop, stopped) = oneshot::channel();
        let join = thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || actix_rt::System::new().block_on(body(stopped)))
            .context(ThreadSnafu)?;
        Ok(Self {
            stop: Some(stop),
            join: Some(join),
        })
    }

    /// Stops the thread and waits until it has ended.
    pub(crate) fn stop(&mut self) {
        // Dropping the sender resolves the receiver. The thread may have ended already.
        drop(self.stop.take());
        if let Some(join) = self.join.take() {
            drop(join.join());
        }
    }
}

impl Drop for ServerThread {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Opens a listener and returns it with its address. The caller does this before it starts
/// the server thread, so that the address is known by then.
pub(crate) fn bind_listener(address: SocketAddr) -> Result<(StdListener, SocketAddr)> {
    let listener = StdListener::bind(address).context(ListenSnafu { address })?;
    listener
        .set_nonblocking(true)
        .context(ListenSnafu { address })?;
    let address = listener.local_addr().context(ListenSnafu { address })?;
    Ok((listener, address))
}

/// Serves connections until the sender of `accept_mode` is dropped.
pub(crate) async fn serve_listener(
    listener: StdListener,
    handler: Rc<dyn Handler>,
    mut accept_mode: watch::Receiver<AcceptMode>,
) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let mut listener = TcpListener::from_std(listener).ok();
    loop {
        let mode = *accept_mode.borrow_and_update();
        if mode == AcceptMode::Refuse {
            listener = None;
            if accept_mode.changed().await.is_err() {
                return;
            }
            continue;
        }
        let Some(active_listener) = &listener else {
            listener = reopen_listener(address).ok();
            if listener.is_none() {
                actix_rt::time::sleep(RETRY_PAUSE).await;
            }
            continue;
        };
        let accepted = {
            let accept = active_listener.accept().boxed_local();
            let changed = accept_mode.changed().boxed_local();
            match select(accept, changed).await {
                Either::Left((accepted, _)) => accepted,
                Either::Right((Ok(()), _)) => continue,
                Either::Right((Err(_), _)) => return,
            }
        };
        let Ok((io, _)) = accepted else {
            actix_rt::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        if mode == AcceptMode::CloseAtOnce {
            continue;
        }
        actix_rt::spawn(serve_connection_until_closed(
            io,
            Rc::clone(&handler),
            accept_mode.clone(),
        ));
    }
}

/// Opens a listener again on its previous address.
fn reopen_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves one connection until it ends or the listener no longer serves connections.
async fn serve_connection_until_closed(
    io: TcpStream,
    handler: Rc<dyn Handler>,
    mut accept_mode: watch::Receiver<AcceptMode>,
) {
    let closed = accept_mode
        .wait_for(|mode| *mode != AcceptMode::Serve)
        .boxed_local();
    let served = serve_connection(io, handler).boxed_local();
    select(served, closed).await;
}

/// Serves one connection until it ends.
async fn serve_connection(io: TcpStream, handler: Rc<dyn Handler>) {
    drop(io.set_nodelay(true));
    let mut framed = Framed::new(io, Codec::new(Default::default()));
    while let Some(Ok(Message::Item(req))) = framed.next().await {
        handler.request_started(&req);
        let mut notifier = EndNotifier {
            handler: &*handler,
            req: &req,
            complete: false,
        };
        let reply_end = serve_request(&mut framed, &*handler, &req).await;
        notifier.complete = reply_end.is_some();
        drop(notifier);
        if reply_end != Some(ReplyEnd::Complete) || !framed.codec_ref().keep_alive() {
            return;
        }
    }
}

/// Calls [`Handler::request_ended`] on drop, so that the handler also learns of requests whose
/// connection is dropped.
struct EndNotifier<'a> {
    handler: &'a dyn Handler,
    req: &'a Request,
    complete: bool,
}

impl Drop for EndNotifier<'_> {
    fn drop(&mut self) {
        self.handler.request_ended(self.req, self.complete);
    }
}

/// Reads the body of a request, waits for the response and writes it. Returns how the response
/// ended, or `None` when it was not written completely.
async fn serve_request(
    framed: &mut Framed<TcpStream, Codec>,
    handler: &dyn Handler,
    req: &Request,
) -> Option<ReplyEnd> {
    let body = read_body(framed).await?;
    let reply = {
        let response = handler.respond(req, body);
        // A read that completes while the handler is still running means that the client
        // cancelled the request.
        match select(response, framed.next()).await {
            Either::Left((reply, _)) => reply,
            Either::Right(_) => return None,
        }
    };
    write_reply(framed, reply).await
}

/// Reads a whole request body; `None` when it is truncated or too long.
async fn read_body(framed: &mut Framed<TcpStream, Codec>) -> Option<Bytes> {
    let mut body = BytesMut::new();
    if framed.codec_ref().message_type() == MessageType::None {
        return Some(body.freeze());
    }
    loop {
        match framed.next().await {
            Some(Ok(Message::Chunk(Some(chunk)))) if body.len() < MAX_BODY_BYTES => {
                body.extend_from_slice(&chunk);
            }
            Some(Ok(Message::Chunk(None))) => return Some(body.freeze()),
            _ => return None,
        }
    }
}

/// Writes a response; `None` when it was not written completely.
async fn write_reply(framed: &mut Framed<TcpStream, Codec>, mut reply: Reply) -> Option<ReplyEnd> {
    match reply.end {
        ReplyEnd::CloseUnanswered => return None,
        ReplyEnd::NeverSent => {
            framed.next().await;
            return None;
        }
        _ => {}
    }
    let size = match reply.framing {
        ReplyFraming::ContentLength => BodySize::Sized(reply.body.len() as u64),
        ReplyFraming::Chunked => BodySize::Stream,
        ReplyFraming::Unframed | ReplyFraming::UnframedSilent => {
            reply.head.head_mut().no_chunking(true);
            if reply.framing == ReplyFraming::Unframed {
                let kind = ConnectionType::Close;
                reply.head.head_mut().set_connection_type(kind);
            }
            BodySize::Stream
        }
    };
    framed.send(Message::Item((reply.head, size))).await.ok()?;
    match reply.end {
        ReplyEnd::CutAfterHead => return None,
        ReplyEnd::CutInBody => {
            let half = reply.body.slice(..reply.body.len() / 2);
            framed.send(Message::Chunk(Some(half))).await.ok()?;
            return None;
        }
        _ => {}
    }
    if !reply.body.is_empty() {
        framed.send(Message::Chunk(Some(reply.body))).await.ok()?;
    }
    framed.send(Message::Chunk(None)).await.ok()?;
    match reply.framing {
        ReplyFraming::Unframed | ReplyFraming::UnframedSilent => Some(ReplyEnd::CompleteThenClose),
        ReplyFraming::ContentLength | ReplyFraming::Chunked => Some(reply.end),
    }
}

/// Runs a main and a control listener until `stopped` resolves.
pub(crate) async fn serve_main_and_control(
    main: StdListener,
    handler: Rc<dyn Handler>,
    control: StdListener,
    control_handler: Rc<dyn Handler>,
    accept_mode: Arc<watch::Sender<AcceptMode>>,
    stopped: oneshot::Receiver<()>,
) {
    let (_control_mode, always_serve) = watch::channel(AcceptMode::Serve);
    actix_rt::spawn(serve_listener(main, handler, accept_mode.subscribe()));
    actix_rt::spawn(serve_listener(control, control_handler, always_serve));
    // An error means that the handle was dropped, which also stops the server.
    drop(stopped.await);
}
