//! Request bodies around the length that an entry keeps, at guards that fall silent or are lost.

use std::{
    future,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    task::Poll,
    thread,
    time::Duration,
};

use actix_rt::{net::TcpListener, time::timeout};
use googletest::prelude::*;
use plantainpost_standin::{body, process};
use plantainpost_wire::message::PeerMessage;

use crate::{
    body_claims::{
        GuardWithRequest, Upload, answer, bind_guards, join, receive_body, receive_with_all,
        send_body,
    },
    fleet_fixture::{Fleet, WAIT_TIMEOUT, host_specs},
    http_client::{get_admin, outcome_header},
    scripted_guard::ScriptedGuardFleet,
    scripted_peer::run_script,
};

/// Length of the part of a body that an entry keeps, in bytes.
const KEPT_BYTES: usize = 64 * 1024;

/// Length of a body that only one attempt can send, in bytes.
const LONG_BYTES: usize = 200_000;

const NAMES: [&str; 3] = ["stock-0", "stock-1", "stock-2"];

/// The guard that received the first request, and the listeners of all guards.
struct FirstGuard {
    guard: GuardWithRequest,
    index: usize,
    listeners: Vec<TcpListener>,
}

impl FirstGuard {
    async fn receive(listeners: Vec<TcpListener>) -> Self {
        let accept = |(listener, name)| Box::pin(GuardWithRequest::accept(listener, name));
        let mut accepting: Vec<_> = listeners.iter().zip(NAMES).map(accept).collect();
        let (index, guard) =
            future::poll_fn(|cx| {
                let ready = accepting.iter_mut().enumerate().find_map(|(i, fut)| {
                    match fut.as_mut().poll(cx) {
                        Poll::Ready(guard) => Some((i, guard)),
                        Poll::Pending => None,
                    }
                });
                ready.map_or(Poll::Pending, Poll::Ready)
            })
            .await;
        drop(accepting);
        FirstGuard {
            guard,
            index,
            listeners,
        }
    }

    /// Returns the listener of the other one of two guards, and its name.
    fn other(&self) -> (&TcpListener, &'static str) {
        let other = 1 - self.index;
        (&self.listeners[other], NAMES[other])
    }

    /// Ends the guard: its connection is closed, and it accepts none.
    fn lose(self) -> (TcpListener, &'static str) {
        let FirstGuard {
            index,
            mut listeners,
            ..
        } = self;
        let other = 1 - index;
        (listeners.swap_remove(other), NAMES[other])
    }
}

/// Answers a short request, which earns the budget for another retry. Returns the listeners of the
/// guards.
async fn answer_short_request(scripted: &ScriptedGuardFleet) -> Vec<TcpListener> {
    let callers = scripted.fleet.nodes[0].callers;
    let listeners = bind_guards(scripted).await;
    let caller = thread::spawn(move || send_body(callers, Upload::Sized, 10));
    let mut first = FirstGuard::receive(listeners).await;
    let received = receive_body(&mut first.guard.peer).await;
    expect_that!(received, some(eq(10)));
    answer(&mut first.guard.peer, first.guard.key).await;
    let text = join(caller).await;
    expect_that!(outcome_header(&text), eq("answered"), "{text}");
    first.listeners
}

/// Returns whether a connection waits to be accepted.
async fn has_connection(listener: &TcpListener) -> bool {
    let accepted = timeout(Duration::from_millis(100), listener.accept()).await;
    accepted.is_ok()
}

fn wait_for_counter(scripted: &ScriptedGuardFleet, name: &str) {
    let admin = scripted.fleet.nodes[0].admin;
    let text = format!("\"{name}\":");
    process::wait_until(name, WAIT_TIMEOUT, || {
        get_admin(admin, "/v1/metrics").contains(&text)
    })
    .expect("the entry counts it");
}

/// Guards against a second guard that is given a request whose body the first one has received, when
/// that one is frozen afterwards. Its answer has to reach the caller.
#[gtest]
fn request_is_not_sent_again_after_a_frozen_guard_got_its_body() {
    for upload in [Upload::Chunked, Upload::Sized] {
        let scripted = ScriptedGuardFleet::start_with_guards(2, |_| ());
        let callers = scripted.fleet.nodes[0].callers;
        run_script(async {
            let listeners = bind_guards(&scripted).await;
            let caller = thread::spawn(move || send_body(callers, upload, LONG_BYTES));
            let mut first = FirstGuard::receive(listeners).await;
            let guard = &mut first.guard;
            guard.ask_for_body().await;
            let received = receive_body(&mut guard.peer).await;
            expect_that!(received, some(eq(LONG_BYTES as u64)), "{upload:?}");
            // The entry would now send the request to the other guard.
            wait_for_counter(&scripted, "entry.retry_denied");
            answer(&mut guard.peer, guard.key).await;
            let text = join(caller).await;
            expect_that!(outcome_header(&text), eq("answered"), "{upload:?}: {text}");
            expect_false!(has_connection(first.other().0).await, "{upload:?}");
        });
    }
}

/// Guards against a body that two guards get in parts, or that ends too early, when two guards have
/// been frozen one after the other.
#[gtest]
fn one_of_three_guards_gets_the_whole_body() {
    for first_to_ask in 0..3 {
        let name = format!("guard {first_to_ask} asks first");
        let scripted = ScriptedGuardFleet::start_with_guards(3, |text| {
            // A new entry may send one request again; an answered one earns another retry.
            text.push_str("[retry]\nearned = 100\n");
        });
        let callers = scripted.fleet.nodes[0].callers;
        let text = run_script(async {
            let listeners = answer_short_request(&scripted).await;
            let caller = thread::spawn(move || send_body(callers, Upload::Chunked, LONG_BYTES));
            let mut guards = receive_with_all::<3>(listeners).await;
            guards[first_to_ask].ask_for_body().await;
            let whole = receive_body(&mut guards[first_to_ask].peer).await;
            expect_that!(whole, some(eq(LONG_BYTES as u64)), "{name}");
            for late in (0..3).filter(|i| *i != first_to_ask) {
                guards[late].ask_for_body().await;
                let received = receive_body(&mut guards[late].peer).await;
                expect_that!(received, none(), "{name}, guard {late}");
            }
            let winner = &mut guards[first_to_ask];
            answer(&mut winner.peer, winner.key).await;
            join(caller).await
        });
        expect_that!(outcome_header(&text), eq("answered"), "{name}: {text}");
    }
}

/// Guards against a guard that is lost while it receives the first 64 KiB of a body, and another one
/// that is given a part of the body only, or that is not given a body which the entry has kept whole.
#[gtest]
fn request_is_sent_again_only_with_its_whole_body() {
    for upload in [Upload::Chunked, Upload::Sized] {
        for length in [KEPT_BYTES - 1, KEPT_BYTES, KEPT_BYTES + 1, LONG_BYTES] {
            let name = format!("{upload:?}, {length} bytes");
            let scripted = ScriptedGuardFleet::start_with_guards(2, |_| ());
            let callers = scripted.fleet.nodes[0].callers;
            let is_kept = length <= KEPT_BYTES;
            run_script(async {
                let listeners = bind_guards(&scripted).await;
                let caller = thread::spawn(move || send_body(callers, upload, length));
                let mut first = FirstGuard::receive(listeners).await;
                first.guard.ask_for_body().await;
                let first_piece = first.guard.peer.next_message().await;
                expect_true!(matches!(first_piece, Ok(PeerMessage::Body(_))), "{name}");
                // The entry can't continue the exchange, as nothing accepts its connection.
                let (other, other_name) = first.lose();
                if is_kept {
                    let mut second = GuardWithRequest::accept(&other, other_name).await;
                    second.ask_for_body().await;
                    let received = receive_body(&mut second.peer).await;
                    expect_that!(received, some(eq(length as u64)), "{name}");
                    answer(&mut second.peer, second.key).await;
                }
                let text = join(caller).await;
                let wanted = ["unknown", "answered"][usize::from(is_kept)];
                expect_that!(outcome_header(&text), eq(wanted), "{name}: {text}");
                expect_false!(has_connection(&other).await, "{name}");
            });
        }
    }
}

/// Sends a request with a chunked body and trailers, and one without a body behind it. Returns both
/// answers.
fn send_with_trailers(callers: SocketAddr, length: usize, nonce: &str, trailers: &str) -> String {
    let body = body::body_for_nonce(nonce, length);
    let mut io = TcpStream::connect(callers).expect("the entry accepts");
    io.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a timeout");
    let head = |method: &str, nonce: &str, rest: &str| {
        format!("{method} / HTTP/1.1\r\nhost: stock\r\nx-nonce: {nonce}\r\n{rest}\r\n")
    };
    let mut bytes = head("POST", nonce, "transfer-encoding: chunked\r\n").into_bytes();
    for piece in body.chunks(50_000) {
        bytes.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
        bytes.extend_from_slice(piece);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(format!("0\r\n{trailers}\r\n").as_bytes());
    let behind = head("GET", &format!("{nonce}-behind"), "connection: close\r\n");
    bytes.extend_from_slice(behind.as_bytes());
    io.write_all(&bytes).expect("the entry reads");
    let mut text = Vec::new();
    // A reset also ends the answers; what was received before it counts.
    let _ = io.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

/// Guards against trailers that are taken for a part of the body or for the next request, whatever
/// part of the body the entry keeps.
#[gtest]
fn trailers_end_a_body_and_nothing_else() {
    let mut specs = host_specs("desk", 1);
    specs.extend(host_specs("stock", 1));
    let fleet = Fleet::start(&specs);
    let trailer_rows = ["", "x-sum: 1\r\n", "x-sum: 1\r\ncontent-length: 7\r\n"];
    for length in [
        0,
        10,
        KEPT_BYTES - 1,
        KEPT_BYTES,
        KEPT_BYTES + 1,
        LONG_BYTES,
    ] {
        for (i, trailers) in trailer_rows.iter().enumerate() {
            let nonce = format!("trailers-{length}-{i}");
            let text = send_with_trailers(fleet.nodes[0].callers, length, &nonce, trailers);
            let digest = body::sha256_hex(&body::body_for_nonce(&nonce, length));
            let digest = format!("x-body-sha256: {digest}");
            expect_that!(text, contains_substring(digest.as_str()), "{nonce}");
            let answered = text.matches("HTTP/1.1 200 ").count();
            expect_that!(answered, eq(2), "{nonce}: {text}");
            for (nonce, runs) in [(nonce.clone(), 1), (format!("{nonce}-behind"), 1)] {
                expect_that!(
                    fleet.targets[1].execution_count(&nonce),
                    eq(runs),
                    "{nonce}"
                );
            }
        }
    }
}
