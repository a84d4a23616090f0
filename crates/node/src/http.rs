//! Listeners for operators and the target. They go on until the process exits.

use std::{convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{HttpService, Request, Response, body::BoxBody};
use actix_rt::net::{TcpListener, TcpStream};
use actix_service::{Service, ServiceFactory};
use slog::warn;

use crate::node::Node;

/// Connections of one listener at once.
const MAX_CONNECTIONS: usize = 64;

/// Pause after a failed accept, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections and answers their requests with `handler`.
pub(crate) async fn serve<H, F>(
    node: Rc<Node>,
    listener: TcpListener,
    name: &'static str,
    handler: H,
) where
    H: Fn(Rc<Node>, Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let open = Rc::new(());
    let for_handler = Rc::clone(&node);
    let limits = &node.settings.limits;
    let factory = HttpService::build()
        .client_request_timeout(Duration::from_millis(limits.head_timeout_ms))
        .keep_alive(Duration::from_millis(limits.idle_timeout_ms))
        .h1_allow_half_closed(false)
        .h1(move |req: Request| {
            let answer = handler(Rc::clone(&for_handler), req);
            async move { Ok::<_, Infallible>(answer.await) }
        });
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    loop {
        match listener.accept().await {
            Ok(_) if Rc::strong_count(&open) > MAX_CONNECTIONS => {
                node.metrics.count("http.connection_refused");
            }
            Ok((io, peer)) => start(&node, &open, &service, io, peer),
            Err(e) => {
                node.metrics.count("http.accept_error");
                warn!(node.logger, "can't accept a connection"; "listener" => name, "error" => %e);
                actix_rt::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn start<S>(node: &Rc<Node>, open: &Rc<()>, service: &S, io: TcpStream, peer: SocketAddr)
where
    S: Service<(TcpStream, Option<SocketAddr>), Response = ()>,
    S::Future: 'static,
{
    // Without it the end of an answer waits up to 40 ms for the caller's
    // acknowledgement of its head.
    let _ = io.set_nodelay(true);
    let conn = Rc::clone(open);
    let fut = service.call((io, Some(peer)));
    let node = Rc::clone(node);
    actix_rt::spawn(async move {
        let _open = conn;
        if fut.await.is_err() {
            node.metrics.count("http.connection_error");
        }
    });
}
