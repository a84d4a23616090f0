//! HTTP listeners for operators and the target, open until the process exits.

use std::{convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{HttpService, Request, Response, body::BoxBody};
use actix_rt::net::{TcpListener, TcpStream};
use actix_service::{Service, ServiceFactory};
use slog::warn;

use crate::node::Node;

/// Largest number of open connections of one listener.
const MAX_CONNECTIONS: usize = 64;

/// Delay after a failed accept, for example if the process has no file descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections and passes their requests to `handler`.
pub(crate) async fn serve_http<H, F>(
    node: Rc<Node>,
    listener: TcpListener,
    name: &'static str,
    handler: H,
) where
    H: Fn(Rc<Node>, Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    // Each connection holds a clone, so that the strong count gives the open connections.
    let open_connections = Rc::new(());
    let node_for_handler = Rc::clone(&node);
    let limits = &node.settings.limits;
    let factory = HttpService::build()
        .client_request_timeout(Duration::from_millis(limits.head_timeout_ms))
        .keep_alive(Duration::from_millis(limits.idle_timeout_ms))
        .h1_allow_half_closed(false)
        .h1(move |req: Request| {
            let response = handler(Rc::clone(&node_for_handler), req);
            async move { Ok::<_, Infallible>(response.await) }
        });
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    loop {
        match listener.accept().await {
            Ok(_) if Rc::strong_count(&open_connections) > MAX_CONNECTIONS => {
                node.metrics.count("http.connection_refused");
            }
            Ok((io, peer)) => spawn_connection(&node, &open_connections, &service, io, peer),
            Err(e) => {
                node.metrics.count("http.accept_error");
                warn!(node.logger, "can't accept a connection"; "listener" => name, "error" => %e);
                actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn spawn_connection<S>(
    node: &Rc<Node>,
    open_connections: &Rc<()>,
    service: &S,
    io: TcpStream,
    peer: SocketAddr,
) where
    S: Service<(TcpStream, Option<SocketAddr>), Response = ()>,
    S::Future: 'static,
{
    // With Nagle's algorithm, the end of a response is delayed by up to 40 ms, until the caller
    // acknowledges its head.
    let _ = io.set_nodelay(true);
    let counted = Rc::clone(open_connections);
    let fut = service.call((io, Some(peer)));
    let node = Rc::clone(node);
    actix_rt::spawn(async move {
        let _counted = counted;
        if fut.await.is_err() {
            node.metrics.count("http.connection_error");
        }
    });
}
