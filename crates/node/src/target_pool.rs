//! Connection pool for the target on this host.

use std::{cell::RefCell, io, net::SocketAddr};

use plantainpost_core::time::Instant;
use plantainpost_http1::Connection;

/// Time after which an idle connection is closed, in milliseconds.
///
/// It is shorter than the usual keep-alive timeouts of servers (5 s or more), so that the node
/// closes the connection before the target does.
const IDLE_TIMEOUT_MS: u64 = 3_000;

struct IdleTargetConn {
    conn: Connection,
    closes_at: Instant,
}

/// Pool of idle connections to the target.
#[derive(Default)]
pub(crate) struct TargetPool {
    /// Ordered by `closes_at`, most recently used last.
    idle: RefCell<Vec<IdleTargetConn>>,
}

impl TargetPool {
    /// Returns an idle connection, or opens a new one.
    pub(crate) async fn acquire(&self, addr: SocketAddr, now: Instant) -> io::Result<Connection> {
        if let Some(conn) = self.take_idle(addr, now) {
            return Ok(conn);
        }
        Connection::open(addr).await
    }

    /// Puts back a connection whose last response was complete.
    pub(crate) fn release(&self, conn: Connection, now: Instant) {
        let closes_at = now.saturating_add_millis(IDLE_TIMEOUT_MS);
        self.idle
            .borrow_mut()
            .push(IdleTargetConn { conn, closes_at });
    }

    /// Closes idle connections that have expired.
    pub(crate) fn close_expired(&self, now: Instant) {
        self.idle.borrow_mut().retain(|idle| idle.closes_at > now);
    }

    /// Closes all idle connections. Called when another target has replaced this one, or when the
    /// target has answered with status 421.
    pub(crate) fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    fn take_idle(&self, addr: SocketAddr, now: Instant) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(IdleTargetConn {
            mut conn,
            closes_at,
        }) = idle.pop()
        {
            if closes_at > now && conn.addr() == addr && conn.is_open_and_idle() {
                conn.reused = true;
                return Some(conn);
            }
        }
        None
    }
}
