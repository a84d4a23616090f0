//! The listener for callers.

use std::{cell::Cell, rc::Rc, time::Duration};

use slog::warn;
use tokio::net::{TcpListener, TcpStream};

use super::conn::{CLOSE_DELAY_MS, RequestHandler, serve_caller_conn};
use crate::node::Node;

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Counts a connection as open until dropped.
struct OpenConnCount(Rc<Cell<usize>>);

impl OpenConnCount {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        OpenConnCount(Rc::clone(open))
    }
}

impl Drop for OpenConnCount {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Returns whether a connection comes from this host, as those of its target do. A connection that has
/// already failed counts as one from another host.
pub(super) fn is_from_own_host(io: &TcpStream) -> bool {
    match (io.peer_addr(), io.local_addr()) {
        (Ok(peer), Ok(local)) => peer.ip() == local.ip(),
        _ => false,
    }
}

/// Accepts connections of callers until the node closes its caller connections to stop, and for
/// [`CLOSE_DELAY_MS`] longer.
pub(crate) async fn accept_callers(
    node: Rc<Node>,
    listener: TcpListener,
    open: Rc<Cell<usize>>,
    handler: RequestHandler,
) {
    let clock = node.clock;
    let stopping_node = Rc::clone(&node);
    let mut closed = std::pin::pin!(async move {
        stopping_node.stop.wait_for_closing().await;
        let close_at = clock.now().saturating_add_millis(CLOSE_DELAY_MS);
        clock.sleep_until(close_at).await;
    });
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut closed => return,
        };
        match accepted {
            Ok(_) if open.get() >= node.settings.limits.caller_connections => {
                node.metrics.count("http.connection_refused");
            }
            Ok((io, _)) => {
                node.metrics.count("http.connection");
                // With Nagle's algorithm the end of a response waits up to 40 ms for the
                // caller's delayed acknowledgement of the head.
                let _ = io.set_nodelay(true);
                let conn = OpenConnCount::new(&open);
                let node = Rc::clone(&node);
                actix_rt::spawn(async move {
                    let _conn = conn;
                    serve_caller_conn(node, io, handler).await;
                });
            }
            Err(e) => {
                node.metrics.count("http.accept_error");
                warn!(node.logger, "can't accept a connection"; "listener" => "callers", "error" => %e);
                actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
