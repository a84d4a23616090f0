//! Idle connections to the target beside this node.

use std::{cell::RefCell, io, net::SocketAddr};

use plantainpost_core::time::Instant;
use plantainpost_http1::Connection;

/// Time after which an idle connection is closed, in milliseconds.
///
/// It is below the usual keep-alive times of servers (5 s and more), so that the
/// node and not the target closes first.
const IDLE_MS: u64 = 3_000;

struct Idle {
    conn: Connection,
    closes_at: Instant,
}

/// Idle connections to the target.
#[derive(Default)]
pub(crate) struct TargetPool {
    /// Ordered by `closes_at`; the last one was used most recently.
    idle: RefCell<Vec<Idle>>,
}

impl TargetPool {
    /// Takes an idle connection or opens one.
    pub(crate) async fn acquire(&self, addr: SocketAddr, now: Instant) -> io::Result<Connection> {
        if let Some(conn) = self.take_idle(addr, now) {
            return Ok(conn);
        }
        Connection::open(addr).await
    }

    /// Keeps a connection whose last answer was complete.
    pub(crate) fn release(&self, conn: Connection, now: Instant) {
        let closes_at = now.saturating_add_millis(IDLE_MS);
        self.idle.borrow_mut().push(Idle { conn, closes_at });
    }

    /// Closes connections that were idle for too long.
    pub(crate) fn expire(&self, now: Instant) {
        self.idle.borrow_mut().retain(|idle| idle.closes_at > now);
    }

    /// Closes all idle connections, for another target has taken the address.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    fn take_idle(&self, addr: SocketAddr, now: Instant) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(Idle {
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
