//! HTTP/1.1 listeners.

use std::{cell::Cell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{HttpService, Request, Response, body::BoxBody};
use actix_rt::net::{TcpListener, TcpStream};
use actix_service::{Service, ServiceFactory};
use slog::warn;

use crate::node::Node;

/// Pause after a failed accept, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What to do with connections when the node stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OnStop {
    /// Accept nothing more, finish requests in flight, close idle connections.
    Drain,
    /// Go on until the process exits.
    Continue,
}

/// Settings of a listener.
pub(crate) struct HttpSettings {
    /// Name for counters.
    pub(crate) name: &'static str,
    /// Connections at once.
    pub(crate) limit: usize,
    /// What to do when the node stops.
    pub(crate) on_stop: OnStop,
    /// Connections that are open.
    pub(crate) open: Rc<Cell<usize>>,
}

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

/// Accepts connections and answers their requests with `handler`.
pub(crate) async fn serve<H, F>(
    node: Rc<Node>,
    listener: TcpListener,
    settings: HttpSettings,
    handler: H,
) where
    H: Fn(Rc<Node>, Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let drain = settings.on_stop == OnStop::Drain;
    let (for_signal, for_handler) = (Rc::clone(&node), Rc::clone(&node));
    let limits = &node.settings.limits;
    let factory = HttpService::build()
        .client_request_timeout(Duration::from_millis(limits.head_timeout_ms))
        .keep_alive(Duration::from_millis(limits.idle_timeout_ms))
        // The end of the caller's connection cancels its request.
        .h1_allow_half_closed(false)
        .graceful_shutdown_signal(move || stop_signal(Rc::clone(&for_signal), drain))
        .h1(move |req: Request| {
            let answer = handler(Rc::clone(&for_handler), req);
            async move { Ok::<_, Infallible>(answer.await) }
        });
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop_signal(Rc::clone(&node), drain) => return,
        };
        match accepted {
            Ok((io, peer)) => start(&node, &settings, &service, io, peer),
            Err(e) => {
                node.metrics.count("http.accept_error");
                warn!(node.logger, "can't accept a connection"; "listener" => settings.name, "error" => %e);
                actix_rt::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn stop_signal(node: Rc<Node>, drain: bool) {
    match drain {
        true => node.stop.wait().await,
        false => std::future::pending().await,
    }
}

fn start<S>(node: &Rc<Node>, settings: &HttpSettings, service: &S, io: TcpStream, peer: SocketAddr)
where
    S: Service<(TcpStream, Option<SocketAddr>), Response = ()>,
    S::Future: 'static,
{
    if settings.open.get() >= settings.limit {
        node.metrics.count("http.connection_refused");
        return;
    }
    node.metrics.count("http.connection");
    // Without it the end of an answer waits up to 40 ms for the caller's
    // acknowledgement of its head.
    let _ = io.set_nodelay(true);
    let conn = OpenConn::new(&settings.open);
    let fut = service.call((io, Some(peer)));
    let node = Rc::clone(node);
    actix_rt::spawn(async move {
        let _conn = conn;
        if fut.await.is_err() {
            node.metrics.count("http.connection_error");
        }
    });
}
