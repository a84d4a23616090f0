//! A small HTTP/1.1 server over the codec of `actix-http`, with full control over how
//! each answer ends.

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

/// Pause after a failed system call, so that a lasting failure does not take a whole core.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Length of the queue of connections that are not accepted yet.
const BACKLOG: u32 = 1024;

/// Longest request body, so that a faulty sender cannot use up the memory.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// What the main listener does with connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Gate {
    /// Connections are served.
    #[default]
    Open,
    /// Connections are refused, and those that exist are closed.
    Refuse,
    /// Connections are accepted and closed at once, and those that exist are closed.
    Close,
}

/// How an answer ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Ending {
    /// The whole answer is written and the connection stays open.
    #[default]
    Whole,
    /// The whole answer is written; then the connection is closed without notice.
    CloseAfter,
    /// Only the head is written.
    CutAfterHead,
    /// The head and half of the body are written.
    CutInBody,
    /// The connection is closed without an answer.
    Close,
    /// Nothing is written until the peer closes the connection.
    Never,
}

/// How the length of an answer is told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By content length.
    #[default]
    Sized,
    /// By chunks.
    Chunked,
    /// By the end of the connection, with `Connection: close`.
    Unframed,
    /// By the end of the connection, without notice.
    UnframedSilent,
}

/// An answer and the way in which it is written.
pub(crate) struct Reply {
    /// The head.
    pub(crate) head: Response<()>,
    /// The body.
    pub(crate) body: Bytes,
    /// How the length of the body is told.
    pub(crate) framing: Framing,
    /// How the answer ends.
    pub(crate) ending: Ending,
}

impl Reply {
    /// A whole answer with a content length.
    pub(crate) fn new(head: Response<()>, body: impl Into<Bytes>) -> Self {
        Self {
            head,
            body: body.into(),
            framing: Framing::default(),
            ending: Ending::default(),
        }
    }
}

/// The server's side of one kind of stand-in.
pub(crate) trait Handler: 'static {
    /// Notes the head of a request before its body is read.
    fn begin(&self, _req: &Request) {}

    /// Answers a request whose body was read.
    fn answer<'a>(&'a self, req: &'a Request, body: Bytes) -> LocalBoxFuture<'a, Reply>;

    /// Notes the end of a request; `ok` says whether the whole answer was written.
    fn end(&self, _req: &Request, _ok: bool) {}
}

/// A running server thread, stopped on drop.
#[derive(Debug)]
pub(crate) struct Thread {
    stop: Option<oneshot::Sender<()>>,
    join: Option<JoinHandle<()>>,
}

impl Thread {
    /// Runs `body` on its own thread and actix `System`. The receiver resolves when the
    /// thread shall stop.
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

    /// Stops the thread and waits for it.
    pub(crate) fn stop(&mut self) {
        // Either side may be gone already; both mean that the thread ends.
        drop(self.stop.take());
        if let Some(join) = self.join.take() {
            drop(join.join());
        }
    }
}

impl Drop for Thread {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Opens a listener, so that its address is known before the server thread runs.
pub(crate) fn bind(address: SocketAddr) -> Result<(StdListener, SocketAddr)> {
    let listener = StdListener::bind(address).context(ListenSnafu { address })?;
    listener
        .set_nonblocking(true)
        .context(ListenSnafu { address })?;
    let address = listener.local_addr().context(ListenSnafu { address })?;
    Ok((listener, address))
}

/// Serves connections until the gate's sender is dropped.
pub(crate) async fn serve(
    listener: StdListener,
    handler: Rc<dyn Handler>,
    mut gate: watch::Receiver<Gate>,
) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let mut listener = TcpListener::from_std(listener).ok();
    loop {
        let mode = *gate.borrow_and_update();
        if mode == Gate::Refuse {
            listener = None;
            if gate.changed().await.is_err() {
                return;
            }
            continue;
        }
        let Some(open) = &listener else {
            listener = reopen(address).ok();
            if listener.is_none() {
                actix_rt::time::sleep(RETRY_PAUSE).await;
            }
            continue;
        };
        let accepted = {
            let accept = open.accept().boxed_local();
            let changed = gate.changed().boxed_local();
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
        if mode == Gate::Close {
            continue;
        }
        actix_rt::spawn(guarded(io, Rc::clone(&handler), gate.clone()));
    }
}

/// Opens the listener again on the address that it had before.
fn reopen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves one connection for as long as the gate is open.
async fn guarded(io: TcpStream, handler: Rc<dyn Handler>, mut gate: watch::Receiver<Gate>) {
    let closed = gate.wait_for(|mode| *mode != Gate::Open).boxed_local();
    let served = connection(io, handler).boxed_local();
    select(served, closed).await;
}

/// Serves one connection until it ends.
async fn connection(io: TcpStream, handler: Rc<dyn Handler>) {
    drop(io.set_nodelay(true));
    let mut framed = Framed::new(io, Codec::new(Default::default()));
    while let Some(Ok(Message::Item(req))) = framed.next().await {
        handler.begin(&req);
        let mut open = Open {
            handler: &*handler,
            req: &req,
            ok: false,
        };
        let ending = exchange(&mut framed, &*handler, &req).await;
        open.ok = ending.is_some();
        drop(open);
        if ending != Some(Ending::Whole) || !framed.codec_ref().keep_alive() {
            return;
        }
    }
}

/// Tells the handler that a request ended, also when the connection is dropped.
struct Open<'a> {
    handler: &'a dyn Handler,
    req: &'a Request,
    ok: bool,
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.handler.end(self.req, self.ok);
    }
}

/// Reads the body, waits for the answer and writes it. Returns how the answer ended when
/// all of it was written.
async fn exchange(
    framed: &mut Framed<TcpStream, Codec>,
    handler: &dyn Handler,
    req: &Request,
) -> Option<Ending> {
    let body = read_body(framed).await?;
    let reply = {
        let answer = handler.answer(req, body);
        // A read that ends while the answer is awaited means that the peer cancelled the
        // request.
        match select(answer, framed.next()).await {
            Either::Left((reply, _)) => reply,
            Either::Right(_) => return None,
        }
    };
    write(framed, reply).await
}

/// Reads a whole request body; `None` when it was cut or is too long.
async fn read_body(framed: &mut Framed<TcpStream, Codec>) -> Option<Bytes> {
    let mut body = BytesMut::new();
    if framed.codec_ref().message_type() == MessageType::None {
        return Some(body.freeze());
    }
    loop {
        match framed.next().await {
            Some(Ok(Message::Chunk(Some(part)))) if body.len() < MAX_BODY_BYTES => {
                body.extend_from_slice(&part);
            }
            Some(Ok(Message::Chunk(None))) => return Some(body.freeze()),
            _ => return None,
        }
    }
}

/// Writes an answer; `None` when not all of it was written.
async fn write(framed: &mut Framed<TcpStream, Codec>, mut reply: Reply) -> Option<Ending> {
    match reply.ending {
        Ending::Close => return None,
        Ending::Never => {
            framed.next().await;
            return None;
        }
        _ => {}
    }
    let size = match reply.framing {
        Framing::Sized => BodySize::Sized(reply.body.len() as u64),
        Framing::Chunked => BodySize::Stream,
        Framing::Unframed | Framing::UnframedSilent => {
            reply.head.head_mut().no_chunking(true);
            if reply.framing == Framing::Unframed {
                let kind = ConnectionType::Close;
                reply.head.head_mut().set_connection_type(kind);
            }
            BodySize::Stream
        }
    };
    framed.send(Message::Item((reply.head, size))).await.ok()?;
    match reply.ending {
        Ending::CutAfterHead => return None,
        Ending::CutInBody => {
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
        Framing::Unframed | Framing::UnframedSilent => Some(Ending::CloseAfter),
        Framing::Sized | Framing::Chunked => Some(reply.ending),
    }
}

/// Runs a main and a control listener until `stopped` resolves.
pub(crate) async fn run(
    main: StdListener,
    handler: Rc<dyn Handler>,
    control: StdListener,
    control_handler: Rc<dyn Handler>,
    gate: Arc<watch::Sender<Gate>>,
    stopped: oneshot::Receiver<()>,
) {
    let (_control_gate, always_open) = watch::channel(Gate::Open);
    actix_rt::spawn(serve(main, handler, gate.subscribe()));
    actix_rt::spawn(serve(control, control_handler, always_open));
    // An error means that the handle was dropped, which also stops the server.
    drop(stopped.await);
}
