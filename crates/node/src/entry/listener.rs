//! The listener for callers.

use std::{cell::Cell, rc::Rc, time::Duration};

use slog::warn;
use tokio::net::TcpListener;

use super::conn::{Handler, serve_conn};
use crate::node::Node;

/// Pause after a failed accept, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Counts an open connection.
struct OpenConn(Rc<Cell<usize>>);

impl OpenConn {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        OpenConn(Rc::clone(open))
    }
}

impl Drop for OpenConn {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Accepts connections until the node closes them for a stop.
pub(crate) async fn serve(
    node: Rc<Node>,
    listener: TcpListener,
    open: Rc<Cell<usize>>,
    handler: Handler,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = node.stop.wait_for_closing() => return,
        };
        match accepted {
            Ok(_) if open.get() >= node.settings.limits.caller_connections => {
                node.metrics.count("http.connection_refused");
            }
            Ok((io, _)) => {
                node.metrics.count("http.connection");
                // Without it the end of an answer waits up to 40 ms for the caller's
                // acknowledgement of its head.
                let _ = io.set_nodelay(true);
                let conn = OpenConn::new(&open);
                let node = Rc::clone(&node);
                actix_rt::spawn(async move {
                    let _conn = conn;
                    serve_conn(node, io, handler).await;
                });
            }
            Err(e) => {
                node.metrics.count("http.accept_error");
                warn!(node.logger, "can't accept a connection"; "listener" => "callers", "error" => %e);
                actix_rt::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
