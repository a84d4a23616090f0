//! Pooled connections to other nodes.

use std::{cell::RefCell, net::SocketAddr};

use actix_rt::net::TcpStream;
use plantainpost_core::{
    collections::HashMap,
    ids::{Incarnation, NodeName},
    time::Instant,
};
use plantainpost_wire::{
    auth::FleetKeys,
    frame::{self, FrameReader, FrameWriter},
    handshake::{self, HandshakeError, NodeIdentity},
};
use snafu::{ResultExt, Snafu, ensure};

use crate::{clock::Clock, settings::Limits};

/// Age at which a connection is closed, in milliseconds.
///
/// Deadlines are converted with the clocks as compared in the handshake, and
/// clocks that differ by 100 ppm part by 6 ms in this time.
const MAX_AGE_MS: u64 = 60_000;

/// Idle connections that are kept for a peer.
const MAX_IDLE_PER_PEER: usize = 64;

/// A connection to a peer could not be opened.
#[derive(Debug, Snafu)]
pub(crate) enum ConnectError {
    /// The socket failed.
    #[snafu(display("{source}"))]
    Socket {
        /// Error of the socket.
        source: std::io::Error,
    },
    /// The handshake failed.
    #[snafu(display("{source}"))]
    Handshake {
        /// Error of the handshake.
        source: HandshakeError,
    },
    /// Another node answered at this address.
    #[snafu(display("{found} answers at the address of {wanted}"))]
    WrongNode {
        /// The node that was expected.
        wanted: NodeName,
        /// The node that answered.
        found: NodeName,
    },
    /// It took too long.
    #[snafu(display("timeout"))]
    Timeout,
}

/// An authenticated connection without a request on it.
pub(crate) struct PeerConn {
    pub(crate) rx: FrameReader,
    pub(crate) tx: FrameWriter,
    /// Incarnation of the peer, from its handshake.
    pub(crate) incarnation: Incarnation,
    addr: SocketAddr,
    /// The connection takes no request after this instant.
    retires_at: Instant,
}

struct Idle {
    conn: PeerConn,
    closes_at: Instant,
}

/// Connections to other nodes.
pub(crate) struct PeerPool {
    me: NodeIdentity,
    keys: FleetKeys,
    clock: Clock,
    /// Time to open a connection and finish the handshake, in milliseconds.
    connect_timeout_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds.
    idle_timeout_ms: u64,
    /// Connections on which the last exchange ended cleanly. The last one of a
    /// peer was used most recently.
    idle: RefCell<HashMap<NodeName, Vec<Idle>>>,
}

impl PeerPool {
    /// Makes an empty pool.
    pub(crate) fn new(me: NodeIdentity, keys: FleetKeys, clock: Clock, limits: &Limits) -> Self {
        PeerPool {
            me,
            keys,
            clock,
            connect_timeout_ms: limits.connect_timeout_ms,
            idle_timeout_ms: limits.idle_timeout_ms,
            idle: RefCell::default(),
        }
    }

    /// Takes an idle connection or opens one.
    pub(crate) async fn acquire(
        &self,
        node: &NodeName,
        addr: SocketAddr,
        deadline: Instant,
    ) -> Result<PeerConn, ConnectError> {
        if let Some(conn) = self.take_idle(node, addr) {
            return Ok(conn);
        }
        self.connect(node, addr, deadline).await
    }

    /// Opens a new connection.
    pub(crate) async fn connect(
        &self,
        node: &NodeName,
        addr: SocketAddr,
        deadline: Instant,
    ) -> Result<PeerConn, ConnectError> {
        let now = self.clock.now();
        let limit = now.saturating_add_millis(self.connect_timeout_ms);
        self.clock
            .before(limit.min(deadline), self.handshake(node, addr))
            .await
            .unwrap_or(Err(ConnectError::Timeout))
    }

    async fn handshake(&self, node: &NodeName, addr: SocketAddr) -> Result<PeerConn, ConnectError> {
        let io = TcpStream::connect(addr).await.context(SocketSnafu)?;
        let (mut rx, mut tx) = frame::split(io);
        let now = || self.clock.now();
        let peer = handshake::open(&mut rx, &mut tx, &self.me, &self.keys, &now)
            .await
            .context(HandshakeSnafu)?;
        ensure!(
            peer.node == *node,
            WrongNodeSnafu {
                wanted: node.clone(),
                found: peer.node,
            }
        );
        Ok(PeerConn {
            rx,
            tx,
            incarnation: peer.incarnation,
            addr,
            retires_at: self.clock.now().saturating_add_millis(MAX_AGE_MS),
        })
    }

    /// Keeps a connection whose exchange ended cleanly.
    pub(crate) fn release(&self, node: &NodeName, conn: PeerConn) {
        let now = self.clock.now();
        let idle_until = now.saturating_add_millis(self.idle_timeout_ms);
        let closes_at = idle_until.min(conn.retires_at);
        let mut idle = self.idle.borrow_mut();
        let conns = idle.entry(node.clone()).or_default();
        if conns.len() < MAX_IDLE_PER_PEER {
            conns.push(Idle { conn, closes_at });
        }
    }

    /// Closes connections that were idle for too long.
    pub(crate) fn expire(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, conns| {
            conns.retain(|idle| idle.closes_at > now);
            !conns.is_empty()
        });
    }

    /// Returns the number of idle connections.
    pub(crate) fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Makes a connection to this node itself.
    pub(crate) fn local(&self, rx: FrameReader, tx: FrameWriter, addr: SocketAddr) -> PeerConn {
        PeerConn {
            rx,
            tx,
            incarnation: self.me.incarnation,
            addr,
            retires_at: self.clock.now().saturating_add_millis(MAX_AGE_MS),
        }
    }

    /// Takes an idle connection.
    pub(crate) fn take_idle(&self, node: &NodeName, addr: SocketAddr) -> Option<PeerConn> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(node)?;
        while let Some(Idle { conn, closes_at }) = conns.pop() {
            if closes_at > now && conn.addr == addr && !conn.rx.is_stale() {
                return Some(conn);
            }
        }
        None
    }
}
