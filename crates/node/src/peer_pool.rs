//! Connection pool for peers.

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
/// Deadlines are converted with the clock offset from the handshake. Clocks that differ by 100 ppm
/// drift apart by 6 ms in this time.
const MAX_CONNECTION_AGE_MS: u64 = 60_000;

/// Largest number of idle connections to one peer.
const MAX_IDLE_PER_PEER: usize = 64;

/// Error when opening a connection to a peer.
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
    /// Another node responded at the address of the peer.
    #[snafu(display("{found} answers at the address of {expected}"))]
    WrongNode {
        /// The node that was expected.
        expected: NodeName,
        /// The node that responded.
        found: NodeName,
    },
    /// The connection was not open in time.
    #[snafu(display("timeout"))]
    Timeout,
}

/// An authenticated connection without a request in flight.
pub(crate) struct PeerConn {
    pub(crate) rx: FrameReader,
    pub(crate) tx: FrameWriter,
    /// Incarnation of the peer, from its handshake.
    pub(crate) incarnation: Incarnation,
    /// Duration of the handshake, which takes two round trips, in microseconds.
    pub(crate) handshake_us: u64,
    addr: SocketAddr,
    /// The connection is not used for new requests after this instant.
    expires_at: Instant,
}

struct IdlePeerConn {
    conn: PeerConn,
    /// Instant at which the last exchange ended.
    used_at: Instant,
    closes_at: Instant,
}

/// Pool of idle connections to peers.
pub(crate) struct PeerPool {
    identity: NodeIdentity,
    keys: FleetKeys,
    clock: Clock,
    /// Timeout to open a connection and complete the handshake, in milliseconds.
    connect_timeout_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds.
    idle_timeout_ms: u64,
    /// Connections whose last exchange ended cleanly, most recently used last.
    idle: RefCell<HashMap<NodeName, Vec<IdlePeerConn>>>,
}

impl PeerPool {
    /// Creates an empty pool.
    pub(crate) fn new(
        identity: NodeIdentity,
        keys: FleetKeys,
        clock: Clock,
        limits: &Limits,
    ) -> Self {
        PeerPool {
            identity,
            keys,
            clock,
            connect_timeout_ms: limits.connect_timeout_ms,
            idle_timeout_ms: limits.idle_timeout_ms,
            idle: RefCell::default(),
        }
    }

    /// Returns an idle connection, or opens a new one.
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
        let connect_deadline = now.saturating_add_millis(self.connect_timeout_ms);
        self.clock
            .timeout_at(connect_deadline.min(deadline), self.handshake(node, addr))
            .await
            .unwrap_or(Err(ConnectError::Timeout))
    }

    async fn handshake(&self, node: &NodeName, addr: SocketAddr) -> Result<PeerConn, ConnectError> {
        let started_at = self.clock.now();
        let io = TcpStream::connect(addr).await.context(SocketSnafu)?;
        let (mut rx, mut tx) = frame::split(io);
        let now = || self.clock.now();
        let peer = handshake::open(&mut rx, &mut tx, &self.identity, &self.keys, &now)
            .await
            .context(HandshakeSnafu)?;
        ensure!(
            peer.node == *node,
            WrongNodeSnafu {
                expected: node.clone(),
                found: peer.node,
            }
        );
        Ok(PeerConn {
            rx,
            tx,
            incarnation: peer.incarnation,
            handshake_us: self.clock.now().micros_since(started_at),
            addr,
            expires_at: self
                .clock
                .now()
                .saturating_add_millis(MAX_CONNECTION_AGE_MS),
        })
    }

    /// Puts back a connection whose exchange ended cleanly.
    pub(crate) fn release(&self, node: &NodeName, conn: PeerConn) {
        let now = self.clock.now();
        let idle_until = now.saturating_add_millis(self.idle_timeout_ms);
        let closes_at = idle_until.min(conn.expires_at);
        let mut idle = self.idle.borrow_mut();
        let conns = idle.entry(node.clone()).or_default();
        if conns.len() < MAX_IDLE_PER_PEER {
            conns.push(IdlePeerConn {
                conn,
                used_at: now,
                closes_at,
            });
        }
    }

    /// Closes the idle connections to all peers whose last exchange ended before `at`. Called when
    /// a connection turns out to carry no data any more, since others may have failed with it.
    pub(crate) fn close_unused_since(&self, at: Instant) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, conns| {
            conns.retain(|idle| idle.used_at >= at || idle.conn.rx.is_in_process());
            !conns.is_empty()
        });
    }

    /// Closes idle connections that have expired.
    pub(crate) fn close_expired(&self) {
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

    /// Creates a connection from this node to itself.
    pub(crate) fn new_loopback(
        &self,
        rx: FrameReader,
        tx: FrameWriter,
        addr: SocketAddr,
    ) -> PeerConn {
        PeerConn {
            rx,
            tx,
            incarnation: self.identity.incarnation,
            handshake_us: 0,
            addr,
            expires_at: self
                .clock
                .now()
                .saturating_add_millis(MAX_CONNECTION_AGE_MS),
        }
    }

    /// Returns an idle connection that is still usable, if there is one.
    pub(crate) fn take_idle(&self, node: &NodeName, addr: SocketAddr) -> Option<PeerConn> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(node)?;
        while let Some(IdlePeerConn {
            conn, closes_at, ..
        }) = conns.pop()
        {
            if closes_at > now && conn.addr == addr && !conn.rx.is_stale() {
                return Some(conn);
            }
        }
        None
    }
}
