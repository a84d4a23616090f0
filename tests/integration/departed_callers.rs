//! Callers that close their connection while the entry does not read from it.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
};

use actix_rt::net::TcpListener;
use googletest::prelude::*;
use plantainpost_standin::process::Signal;

use crate::{
    fleet_fixture::WAIT_TIMEOUT,
    scripted_guard::ScriptedGuardFleet,
    scripted_peer::{ScriptedPeer, run_script},
};

/// Requests of one connection that an entry runs at the same time.
const MAX_PIPELINED_REQUESTS: usize = 16;

/// Sends bytes on a new connection, which must fit into the socket buffers where the entry does not
/// read them.
fn send(callers: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut io = TcpStream::connect(callers).expect("the entry accepts");
    io.write_all(bytes).expect("the socket takes the bytes");
    io
}

fn head(framing: &str) -> String {
    format!("POST / HTTP/1.1\r\nhost: stock\r\nplantainpost-timeout-ms: 60000\r\n{framing}\r\n\r\n")
}

/// Waits until the entry gives up the exchange of a request, which it would continue for 60 s.
async fn wait_until_given_up(peer: &mut ScriptedPeer, name: &str) {
    while let Ok(msg) = peer.next_message().await {
        println!("{name}: {msg:?}");
    }
}

/// Guards against an upload that is sent to the target after its caller has closed the connection. The
/// entry reads no more of such a body until the guard asks for the rest.
#[gtest]
fn unread_upload_ends_with_the_connection_of_its_caller() {
    let scripted = ScriptedGuardFleet::start();
    let callers = scripted.fleet.nodes[0].callers;
    let sized = |length: usize| {
        let head = head(&format!("content-length: {length}"));
        [head.into_bytes(), vec![b'x'; length]].concat()
    };
    let chunked = || {
        let head = head("transfer-encoding: chunked");
        let mut bytes = head.into_bytes();
        for _ in 0..160 {
            bytes.extend_from_slice(b"3e8\r\n");
            bytes.extend_from_slice(&[b'x'; 1_000]);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        bytes
    };
    let rows = [
        ("130,000 bytes", sized(130_000)),
        ("160,000 bytes", sized(160_000)),
        ("160,000 bytes in chunks", chunked()),
    ];
    run_script(async {
        let listener = TcpListener::bind(scripted.guard_addresses[0]).await;
        let listener = listener.expect("a listener");
        for (name, bytes) in rows {
            let caller = send(callers, &bytes);
            let mut peer = ScriptedPeer::accept(&listener, "stock-0").await;
            peer.next_request().await;
            drop(caller);
            wait_until_given_up(&mut peer, name).await;
        }
    });
}

/// Guards against requests that run on after their caller has closed the connection, because as many
/// are in progress as one connection may have, and the bytes behind them are not read.
#[gtest]
fn pipelined_requests_end_with_the_connection_of_their_caller() {
    let scripted = ScriptedGuardFleet::start();
    let callers = scripted.fleet.nodes[0].callers;
    let requests = head("content-length: 0").repeat(MAX_PIPELINED_REQUESTS + 2);
    run_script(async {
        let listener = TcpListener::bind(scripted.guard_addresses[0]).await;
        let listener = listener.expect("a listener");
        let caller = send(callers, requests.as_bytes());
        let mut peers = Vec::new();
        for _ in 0..MAX_PIPELINED_REQUESTS {
            let mut peer = ScriptedPeer::accept(&listener, "stock-0").await;
            peer.next_request().await;
            peers.push(peer);
        }
        drop(caller);
        for peer in &mut peers {
            wait_until_given_up(peer, "pipelined").await;
        }
    });
}

/// Guards against a stopping entry that finishes a request although its caller has closed the
/// connection. It starts no request behind one in progress, and reads no further.
#[gtest]
fn request_ends_with_the_connection_of_its_caller_during_a_stop() {
    let scripted = ScriptedGuardFleet::start();
    let node = &scripted.fleet.nodes[0];
    run_script(async {
        let listener = TcpListener::bind(scripted.guard_addresses[0]).await;
        let listener = listener.expect("a listener");
        let request = head("content-length: 0");
        let mut caller = send(node.callers, request.as_bytes());
        let mut peer = ScriptedPeer::accept(&listener, "stock-0").await;
        peer.next_request().await;
        node.process.signal(Signal::Term).expect("the node runs");
        node.process
            .wait_line("stopping", WAIT_TIMEOUT)
            .expect("the stop starts");
        let behind = caller.write_all(request.as_bytes());
        behind.expect("the entry reads");
        drop(caller);
        wait_until_given_up(&mut peer, "stop").await;
    });
}
