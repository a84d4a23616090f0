//! The guard: admits requests that entries of other nodes and of this one send, queues or
//! refuses them, and relays them to the target on this host.

pub(crate) mod cold;
mod framing;
mod key_check;
mod link;
mod relay;
mod relay_time;
mod request;
mod response_owner;
mod slot;
mod target_headers;

pub(crate) use self::{link::ExchangeLinks, target_headers::record_health};

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::net::{TcpListener, TcpStream};
use bytes::Bytes;
use plantainpost_core::{admission::RequestKey, config::Progress, time::Instant};
use plantainpost_wire::{
    frame::{self, FrameError, FrameReader, FrameWriter},
    handshake::{self, AcceptedPeer, ClockOffset},
    message::{MAX_BODY_FRAME_BYTES, PeerMessage},
};
use slog::warn;

use crate::{node::Node, peer_pool::PeerConn};

/// Timeout for the handshake of an accepted connection, in milliseconds.
const HANDSHAKE_TIMEOUT_MS: u64 = 2_000;

/// Time added to the idle timeout of the connection pool for accepted connections, in
/// milliseconds, so that the side that opened the connection closes it first.
const PEER_IDLE_MARGIN_MS: u64 = 15_000;

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A connection that a peer, or the entry of this node, has opened.
pub(crate) struct InboundConn {
    rx: FrameReader,
    tx: FrameWriter,
    peer: AcceptedPeer,
}

/// Whether a connection can take another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnState {
    /// The last exchange was completed.
    Reusable,
    /// The connection failed, the peer violated the protocol, or the exchange is incomplete.
    MustClose,
    /// The exchange of this request is continued on the connection.
    Resumes(RequestKey),
}

/// Accepts connections of peers until the process exits.
pub(crate) async fn accept_peers(node: Rc<Node>, listener: TcpListener) {
    let max_connections = node.settings.limits.peer_connections;
    let open = Rc::new(());
    loop {
        match listener.accept().await {
            Ok(_) if Rc::strong_count(&open) > max_connections => {
                node.metrics.count("guard.conn_refused")
            }
            Ok((io, _)) => {
                let (node, open) = (Rc::clone(&node), Rc::clone(&open));
                actix_rt::spawn(async move {
                    let _open = open;
                    serve_peer_conn(node, io).await;
                });
            }
            Err(e) => {
                node.metrics.count("guard.accept_error");
                warn!(node.logger, "can't accept a connection"; "listener" => "peers", "error" => %e);
                actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Opens an in-process connection for the entry of this node.
pub(crate) fn open_local(node: &Rc<Node>, addr: SocketAddr) -> PeerConn {
    let [(rx, tx), (peer_rx, peer_tx)] = frame::in_process_pair();
    let now = node.now();
    let peer = AcceptedPeer {
        identity: node.identity.clone(),
        clock_offset: ClockOffset::new(now, now),
    };
    let node = Rc::clone(node);
    let conn = node.peer_pool.new_loopback(peer_rx, peer_tx, addr);
    actix_rt::spawn(async move { serve_requests(&node, InboundConn { rx, tx, peer }).await });
    conn
}

async fn serve_peer_conn(node: Rc<Node>, io: TcpStream) {
    let (mut rx, mut tx) = frame::split(io);
    let clock = node.clock;
    let now = || clock.now();
    let handshake_deadline = clock.now().saturating_add_millis(HANDSHAKE_TIMEOUT_MS);
    let accept_handshake = handshake::accept(&mut rx, &mut tx, &node.identity, &node.keys, &now);
    let Some(Ok(peer)) = clock.timeout_at(handshake_deadline, accept_handshake).await else {
        node.metrics.count("guard.handshake_failed");
        return;
    };
    serve_requests(&node, InboundConn { rx, tx, peer }).await;
}

async fn serve_requests(node: &Rc<Node>, mut conn: InboundConn) {
    let clock = node.clock;
    let idle_ms = node.settings.limits.idle_timeout_ms + PEER_IDLE_MARGIN_MS;
    loop {
        let idle_until = clock.now().saturating_add_millis(idle_ms);
        let Some(msg) = clock.timeout_at(idle_until, conn.rx.read()).await else {
            return;
        };
        let state = match msg {
            Ok(PeerMessage::Request(head)) => {
                let _exchange = Rc::clone(&node.exchanges);
                let state;
                (state, conn) = request::serve_request(node, conn, head).await;
                state
            }
            Ok(msg) => handle_message(node, &mut conn, msg).await,
            Err(FrameError::Closed | FrameError::Io { .. }) => return,
            Err(_) => ConnState::MustClose,
        };
        match state {
            ConnState::Reusable => (),
            ConnState::MustClose => {
                node.metrics.count("guard.conn_broken");
                return;
            }
            ConnState::Resumes(key) => return link::hand_over(node, key, conn),
        }
    }
}

async fn handle_message(node: &Rc<Node>, conn: &mut InboundConn, msg: PeerMessage) -> ConnState {
    match msg {
        PeerMessage::Fence { key, deadline } => fence(node, conn, key, deadline).await,
        PeerMessage::Resume { key, deadline } => {
            if link::can_resume(node, key) {
                return ConnState::Resumes(key);
            }
            match link::send_kept_answer(node, conn, key).await {
                Some(state) => state,
                None => fence(node, conn, key, deadline).await,
            }
        }
        PeerMessage::FetchConfig { progress } => send_config(node, conn, progress).await,
        _ => ConnState::MustClose,
    }
}

/// Fences a request and tells the entry its state.
async fn fence(
    node: &Node,
    conn: &mut InboundConn,
    key: RequestKey,
    deadline: Instant,
) -> ConnState {
    let deadline = to_local_clock(conn, deadline);
    let state = node.guard.borrow_mut().fence(node.now(), key, deadline);
    // Fencing may have removed a queued request, whose task has to be woken.
    let wakeups = node.guard.borrow_mut().expire(node.now());
    node.wake_waiters(wakeups);
    let reply = PeerMessage::FenceResult { key, state };
    state_after_write(conn.tx.write(&reply).await)
}

fn state_after_write(outcome: Result<(), FrameError>) -> ConnState {
    match outcome {
        Ok(()) => ConnState::Reusable,
        Err(_) => ConnState::MustClose,
    }
}

/// Sends the configuration state, or an empty body if this node is not ahead of the peer.
async fn send_config(node: &Node, conn: &mut InboundConn, peer: Progress) -> ConnState {
    let config = {
        let register = node.config.borrow();
        register
            .progress()
            .is_ahead_of(peer)
            .then(|| register.snapshot())
    };
    let bytes = config.and_then(|config| postcard::to_allocvec(&config).ok());
    let bytes = Bytes::from(bytes.unwrap_or_default());
    for piece in bytes.chunks(MAX_BODY_FRAME_BYTES) {
        let piece = bytes.slice_ref(piece);
        if conn.tx.write(&PeerMessage::Body(piece)).await.is_err() {
            return ConnState::MustClose;
        }
    }
    let end = PeerMessage::BodyEnd {
        length: bytes.len() as u64,
        load: None,
    };
    state_after_write(conn.tx.write(&end).await)
}

/// Converts an instant of the peer's clock to the local clock.
fn to_local_clock(conn: &InboundConn, instant: Instant) -> Instant {
    conn.peer.clock_offset.to_local(instant)
}
