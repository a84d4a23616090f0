//! Requests that are sent to two guards, and whose body is longer than what the entry keeps.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
};

use actix_rt::net::TcpListener;
use googletest::prelude::*;
use plantainpost_core::{
    admission::{RefuseReason, RequestKey},
    load::LoadSample,
    time::Instant,
};
use plantainpost_wire::message::{BodyLength, PeerMessage};

use crate::{
    fleet_fixture::WAIT_TIMEOUT,
    http_client::outcome_header,
    scripted_guard::{ScriptedGuardFleet, response_message},
    scripted_peer::{ScriptedPeer, now, run_script},
};

/// Length of the request bodies, in bytes. The entry keeps the first 65,536 bytes.
const BODY_BYTES: usize = 200_000;

/// How the caller delimits its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Upload {
    Sized,
    Chunked,
}

/// Sends an idempotent request with a body of [`BODY_BYTES`] and returns the answer.
fn send_with_body(callers: SocketAddr, upload: Upload) -> String {
    send_body(callers, upload, BODY_BYTES)
}

/// Sends an idempotent request with a body of this length, in pieces of 50,000 bytes, and returns the
/// answer.
pub(crate) fn send_body(callers: SocketAddr, upload: Upload, length: usize) -> String {
    let framing = match upload {
        Upload::Sized => format!("content-length: {length}"),
        Upload::Chunked => "transfer-encoding: chunked".to_owned(),
    };
    let head = format!(
        "GET / HTTP/1.1\r\nhost: stock\r\nconnection: close\r\nplantainpost-timeout-ms: 12000\r\n\
         {framing}\r\n\r\n"
    );
    let mut io = TcpStream::connect(callers).expect("the entry accepts");
    io.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a timeout");
    io.write_all(head.as_bytes()).expect("the entry reads");
    let body = vec![b'x'; length];
    for piece in body.chunks(50_000) {
        // The entry may answer before it has read the whole body.
        let _ = match upload {
            Upload::Sized => io.write_all(piece),
            Upload::Chunked => {
                let size = format!("{:x}\r\n", piece.len());
                io.write_all(&[size.as_bytes(), piece, b"\r\n"].concat())
            }
        };
    }
    if upload == Upload::Chunked {
        let _ = io.write_all(b"0\r\n\r\n");
    }
    let mut text = Vec::new();
    // A reset also ends the answer; what was received before it counts.
    let _ = io.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

/// Receives a request body. Returns its length if it was marked as complete, or `None` if the entry
/// closed the connection before.
pub(crate) async fn receive_body(peer: &mut ScriptedPeer) -> Option<u64> {
    let mut received = 0;
    loop {
        match peer.next_message().await {
            Ok(PeerMessage::Body(piece)) => received += piece.len() as u64,
            Ok(PeerMessage::BodyEnd { length, .. }) if length == received => return Some(length),
            Ok(other) => panic!("expected a body, not {other:?}"),
            Err(_) => return None,
        }
    }
}

pub(crate) async fn answer(peer: &mut ScriptedPeer, key: RequestKey) {
    peer.send(response_message(key, BodyLength::Sized(4))).await;
    peer.send(PeerMessage::Body(b"part"[..].into())).await;
    let length = 4;
    peer.send(PeerMessage::BodyEnd { length, load: None }).await;
}

/// Waits for the answer to a caller.
pub(crate) async fn join(caller: thread::JoinHandle<String>) -> String {
    let joined = actix_rt::task::spawn_blocking(move || caller.join()).await;
    joined.expect("no panic").expect("no panic")
}

/// A guard that has received the head of a request.
pub(crate) struct GuardWithRequest {
    pub(crate) peer: ScriptedPeer,
    pub(crate) key: RequestKey,
    received_at: Instant,
}

impl GuardWithRequest {
    /// Accepts a connection and receives a request on it.
    pub(crate) async fn accept(listener: &TcpListener, name: &str) -> Self {
        let mut peer = ScriptedPeer::accept(listener, name).await;
        let key = peer.next_request().await.key;
        GuardWithRequest {
            peer,
            key,
            received_at: now(),
        }
    }

    pub(crate) async fn ask_for_body(&mut self) {
        let key = self.key;
        self.peer.send(PeerMessage::Continue { key }).await;
    }
}

/// Returns a listener for each guard. To be called before a request is sent: an entry that can't
/// connect to any guard answers it as not run, and no guard gets it.
pub(crate) async fn bind_guards(scripted: &ScriptedGuardFleet) -> Vec<TcpListener> {
    let mut listeners = Vec::new();
    for addr in &scripted.guard_addresses {
        listeners.push(TcpListener::bind(addr).await.expect("a listener"));
    }
    listeners
}

/// Receives a request with the guards `stock-0`, `stock-1` and so on. They give no sign of life, so
/// that the entry sends the request to one after the other. Returns them in that order.
pub(crate) async fn receive_with_all<const N: usize>(
    listeners: Vec<TcpListener>,
) -> [GuardWithRequest; N] {
    let receive = |(i, listener): (usize, TcpListener)| {
        let name = format!("stock-{i}");
        actix_rt::spawn(async move { GuardWithRequest::accept(&listener, &name).await })
    };
    let tasks: Vec<_> = listeners.into_iter().enumerate().map(receive).collect();
    let mut guards = Vec::new();
    for task in tasks {
        guards.push(task.await.expect("no panic"));
    }
    guards.sort_by_key(|guard| guard.received_at);
    guards.try_into().ok().expect("each guard has the request")
}

/// Guards against a body that ends at the bytes that the entry keeps, marked as complete, because
/// another guard was given the rest: whichever of the two guards asks for it first, and however the
/// caller delimits it.
#[gtest]
fn only_the_guard_that_gets_the_whole_body_is_told_its_end() {
    let rows = [
        ("second guard asks first", Upload::Chunked, 1),
        ("second guard asks first", Upload::Sized, 1),
        ("silent guard asks first", Upload::Chunked, 0),
    ];
    for (name, upload, first_to_ask) in rows {
        let name = format!("{name}, {upload:?}");
        let scripted = ScriptedGuardFleet::start_with_guards(2, |_| ());
        let callers = scripted.fleet.nodes[0].callers;
        let text = run_script(async {
            let listeners = bind_guards(&scripted).await;
            let caller = thread::spawn(move || send_with_body(callers, upload));
            let mut guards = receive_with_all::<2>(listeners).await;
            guards[first_to_ask].ask_for_body().await;
            let whole = receive_body(&mut guards[first_to_ask].peer).await;
            expect_that!(whole, some(eq(BODY_BYTES as u64)), "{name}");
            let late = &mut guards[1 - first_to_ask];
            late.ask_for_body().await;
            expect_that!(receive_body(&mut late.peer).await, none(), "{name}");
            let winner = &mut guards[first_to_ask];
            answer(&mut winner.peer, winner.key).await;
            join(caller).await
        });
        expect_that!(outcome_header(&text), eq("answered"), "{name}: {text}");
    }
}

/// Guards against a request that is sent on with a gap in its body, after the guard that got its rest
/// has refused it half-way.
#[gtest]
fn rest_of_a_body_is_not_sent_to_a_second_guard() {
    let scripted = ScriptedGuardFleet::start_with_guards(2, |_| ());
    let callers = scripted.fleet.nodes[0].callers;
    let text = run_script(async {
        let listeners = bind_guards(&scripted).await;
        let caller = thread::spawn(move || send_with_body(callers, Upload::Chunked));
        let [mut silent, mut other] = receive_with_all::<2>(listeners).await;
        other.ask_for_body().await;
        let first_piece = other.peer.next_message().await;
        expect_true!(matches!(first_piece, Ok(PeerMessage::Body(_))));
        let refusal = PeerMessage::Refused {
            key: other.key,
            reason: RefuseReason::NoTarget,
            load: LoadSample::default(),
        };
        other.peer.send(refusal).await;
        silent.ask_for_body().await;
        expect_that!(receive_body(&mut silent.peer).await, none());
        join(caller).await
    });
    expect_that!(outcome_header(&text), eq("unknown"), "{text}");
}
