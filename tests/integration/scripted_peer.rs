//! Scripted peers, with which a test speaks the protocol between nodes itself.

use std::{future::Future, net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::{
    System,
    net::{TcpListener, TcpStream},
    time::timeout,
};
use plantainpost_core::{
    admission::RequestKey,
    ids::{Incarnation, NodeName, RequestId, ServiceName},
    time::Instant,
};
use plantainpost_wire::{
    auth::{FleetKeys, Key},
    frame::{self, FrameError, FrameReader, FrameWriter},
    handshake::{self, MAX_HANDSHAKE_US, NodeIdentity},
    message::{BodyLength, PeerMessage, PeerRequestHead},
};

use crate::fleet_fixture::{FLEET_KEY, WAIT_TIMEOUT};

/// Runs a future to completion on a new actix system.
pub(crate) fn run_script<F: Future>(future: F) -> F::Output {
    System::new().block_on(future)
}

/// Clock of the scripted peers. It starts at 0 with its first use.
pub(crate) fn now() -> Instant {
    use std::{sync::LazyLock, time};
    static ORIGIN: LazyLock<time::Instant> = LazyLock::new(time::Instant::now);
    Instant::from_micros(ORIGIN.elapsed().as_micros() as u64)
}

fn keys() -> FleetKeys {
    FleetKeys::new(Key::new(&FLEET_KEY).expect("the key is long enough"), None)
}

fn identity(name: &str) -> NodeIdentity {
    NodeIdentity {
        node: NodeName::from(name),
        incarnation: Incarnation(1),
    }
}

/// A connection between a scripted peer and a node.
pub(crate) struct ScriptedPeer {
    pub(crate) rx: FrameReader,
    pub(crate) tx: FrameWriter,
}

impl ScriptedPeer {
    /// Connects to a node as an entry and completes the handshake. Tries again if it took so long
    /// that the node had to refuse it, since a busy machine may stop this process meanwhile.
    pub(crate) async fn connect(addr: SocketAddr) -> Self {
        loop {
            let started_at = now();
            let io = TcpStream::connect(addr).await.expect("the node accepts");
            let (mut rx, mut tx) = frame::split(io);
            match handshake::open(&mut rx, &mut tx, &identity("script"), &keys(), &now).await {
                Ok(_) => return ScriptedPeer { rx, tx },
                Err(e) => {
                    let elapsed_us = now().micros_since(started_at);
                    assert!(elapsed_us > MAX_HANDSHAKE_US, "{e} after {elapsed_us} us");
                }
            }
        }
    }

    /// Returns whether a node completes the handshake with an entry that holds this key.
    pub(crate) async fn is_accepted(addr: SocketAddr, key: &[u8]) -> bool {
        let io = TcpStream::connect(addr).await.expect("the node accepts");
        let (mut rx, mut tx) = frame::split(io);
        let keys = FleetKeys::new(Key::new(key).expect("the key is long enough"), None);
        handshake::open(&mut rx, &mut tx, &identity("script"), &keys, &now)
            .await
            .is_ok()
    }

    /// Accepts a connection and completes the handshake as the guard with this name.
    pub(crate) async fn accept(listener: &TcpListener, name: &str) -> Self {
        Self::accept_as(listener, identity(name)).await
    }

    /// Like [`ScriptedPeer::accept`], with a higher incarnation, as after a restart.
    pub(crate) async fn accept_restarted(listener: &TcpListener, name: &str) -> Self {
        let identity = NodeIdentity {
            incarnation: Incarnation(2),
            ..identity(name)
        };
        Self::accept_as(listener, identity).await
    }

    async fn accept_as(listener: &TcpListener, identity: NodeIdentity) -> Self {
        let accepted = timeout(WAIT_TIMEOUT, listener.accept()).await;
        let (io, _) = accepted.expect("a node connects").expect("it is accepted");
        let (mut rx, mut tx) = frame::split(io);
        handshake::accept(&mut rx, &mut tx, &identity, &keys(), &now)
            .await
            .expect("the handshake succeeds");
        ScriptedPeer { rx, tx }
    }

    /// Accepts a connection as the guard with this name; `None` if the node gives it up before the end
    /// of the handshake, as it does when its caller has gone.
    pub(crate) async fn try_accept(listener: &TcpListener, name: &str) -> Option<Self> {
        let (io, _) = listener.accept().await.expect("it is accepted");
        let (mut rx, mut tx) = frame::split(io);
        handshake::accept(&mut rx, &mut tx, &identity(name), &keys(), &now)
            .await
            .ok()?;
        Some(ScriptedPeer { rx, tx })
    }

    pub(crate) async fn send(&mut self, msg: PeerMessage) {
        self.tx.write(&msg).await.expect("the message is sent");
    }

    /// Waits for the next message. The end of the connection is an error.
    pub(crate) async fn next_message(&mut self) -> Result<PeerMessage, FrameError> {
        let read = timeout(WAIT_TIMEOUT, self.rx.read()).await;
        read.expect("the node sends something or closes the connection")
    }

    /// Waits for the next message that is no sign of life of a guard, which a busy machine delays.
    pub(crate) async fn next_reply(&mut self) -> Result<PeerMessage, FrameError> {
        loop {
            match self.next_message().await {
                Ok(PeerMessage::Progress { .. }) => (),
                reply => return reply,
            }
        }
    }

    /// Waits for a request and returns its head. Panics on any other message.
    pub(crate) async fn next_request(&mut self) -> PeerRequestHead {
        match self.next_message().await {
            Ok(PeerMessage::Request(head)) => head,
            other => panic!("expected a request, not {other:?}"),
        }
    }

    /// Reads and discards the body of an answer up to its end.
    pub(crate) async fn read_body(&mut self) {
        loop {
            match self.next_message().await {
                Ok(PeerMessage::Body(_)) => (),
                Ok(PeerMessage::BodyEnd { .. }) => return,
                other => panic!("expected a body, not {other:?}"),
            }
        }
    }

    /// Returns whether the node closes the connection within 1 s without sending a message.
    pub(crate) async fn is_closed(&mut self) -> bool {
        let read = timeout(Duration::from_secs(1), self.rx.read()).await;
        matches!(read, Ok(Err(FrameError::Closed | FrameError::Io { .. })))
    }
}

/// Returns the key of the first attempt of the request with this id.
pub(crate) fn request_key(id: u128) -> RequestKey {
    RequestKey {
        id: RequestId(id),
        attempt: 0,
    }
}

/// Returns the head of a non-idempotent request for the service `stock`, with a deadline
/// in 5 s.
pub(crate) fn post_head(key: RequestKey, nonce: &str, headers: &[(&str, &str)]) -> PeerRequestHead {
    let header = |(name, value): &(&str, &str)| ((*name).to_owned(), value.to_string().into());
    let nonce = [("host", "stock"), ("x-nonce", nonce)];
    PeerRequestHead {
        key,
        incarnation: Incarnation(0),
        service: ServiceName::from("stock"),
        claim: None,
        method: "POST".to_owned(),
        path: "/".to_owned(),
        headers: nonce.iter().chain(headers).map(header).collect(),
        deadline: now().saturating_add_millis(5_000),
        answer_by: None,
        idempotent: false,
        urgency: Default::default(),
        may_refuse_if_slow: false,
        hedged: false,
        body: BodyLength::None,
    }
}

/// Returns a short text for a received message, for comparisons in tests.
pub(crate) fn describe(msg: &Result<PeerMessage, FrameError>) -> Rc<str> {
    match msg {
        Ok(PeerMessage::Refused { reason, .. }) => format!("refused {}", reason.as_str()),
        Ok(PeerMessage::Response(head)) => format!("response {}", head.status),
        Ok(PeerMessage::FenceResult { state, .. }) => format!("fence {state:?}"),
        Ok(PeerMessage::Failed { started, .. }) => format!("failed, started {started}"),
        other => format!("{other:?}"),
    }
    .into()
}
