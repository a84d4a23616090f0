//! An entry that takes the parts of responses from scripted guards.

use std::{
    cell::RefCell,
    collections::HashMap,
    io::Write,
    iter,
    net::{SocketAddr, TcpStream},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use actix_rt::net::TcpListener;
use googletest::prelude::*;
use plantainpost_core::admission::RequestKey;
use plantainpost_standin::process;
use plantainpost_wire::message::{BodyLength, MAX_BODY_FRAME_BYTES, PeerMessage};

use crate::{
    fleet_fixture::WAIT_TIMEOUT,
    http_client::{get_admin, outcome_header},
    scripted_guard::{ScriptedGuardFleet, response_message},
    scripted_peer::{ScriptedPeer, run_script},
};

/// Number of parts of a response, of one byte each.
const PARTS: usize = 600_000;

/// Guards against an entry that has no time for other callers while it takes the parts of one response,
/// before it passes on the head and afterwards.
#[gtest]
fn entry_answers_others_while_it_takes_small_parts() {
    let scripted = ScriptedGuardFleet::start();
    let admin = scripted.fleet.nodes[0].admin;
    let is_done = Arc::new(AtomicBool::new(false));
    let done = Arc::clone(&is_done);
    let asker = thread::spawn(move || {
        let mut longest = Duration::ZERO;
        while !done.load(Ordering::Relaxed) {
            let asked = Instant::now();
            get_admin(admin, "/v1/metrics");
            longest = longest.max(asked.elapsed());
        }
        longest
    });
    let (text, total) = run_script(async {
        let listener = TcpListener::bind(scripted.guard_addresses[0])
            .await
            .expect("a listener");
        let caller = scripted.send_post(20_000);
        let mut peer = ScriptedPeer::accept(&listener, "stock-0").await;
        let key = peer.next_request().await.key;
        peer.send(response_message(key, BodyLength::Sized(PARTS as u64)))
            .await;
        let part = PeerMessage::Body(b"x"[..].into());
        for _ in 0..PARTS {
            peer.tx.queue(&part).expect("a short message");
        }
        let length = PARTS as u64;
        let sent = Instant::now();
        peer.send(PeerMessage::BodyEnd { length, load: None }).await;
        (caller.join().expect("no panic"), sent.elapsed())
    });
    is_done.store(true, Ordering::Relaxed);
    let longest = asker.join().expect("no panic");
    println!("others were answered within {longest:?}, the response took {total:?}");
    expect_that!(outcome_header(&text), eq("answered"));
    // An entry that takes all parts in one turn keeps others waiting for four fifths of this time.
    expect_that!(longest, lt(total / 4));
}

/// Number of callers whose answers fill the memory of an entry for answers that wait.
const FULL_CALLERS: usize = 8;

/// Lengths of the answers by request; `None` for requests that are not answered.
type AnswerLengths = Rc<RefCell<HashMap<RequestKey, Option<usize>>>>;

/// Answers a request with a body of as many bytes as its nonce says, and never if that is no number.
/// On a busy machine, the entry may continue the exchange on a second connection.
async fn serve(mut peer: ScriptedPeer, lengths: AnswerLengths) {
    let key = match peer.next_message().await {
        Ok(PeerMessage::Request(head)) => {
            let nonce = head.headers.iter().find(|(name, _)| name == "x-nonce");
            let length = nonce.and_then(|(_, value)| str::from_utf8(value).ok()?.parse().ok());
            lengths.borrow_mut().insert(head.key, length);
            head.key
        }
        Ok(PeerMessage::Resume { key, .. }) => key,
        _ => return,
    };
    let length = lengths.borrow().get(&key).copied().flatten();
    let Some(length) = length else {
        while peer.tx.write(&PeerMessage::Progress { key }).await.is_ok() {
            actix_rt::time::sleep(Duration::from_millis(100)).await;
        }
        return;
    };
    let parts = vec![b'x'; length];
    let parts = parts.chunks(MAX_BODY_FRAME_BYTES);
    let parts = parts.map(|part| PeerMessage::Body(part.to_vec().into()));
    let head = response_message(key, BodyLength::Sized(length as u64));
    let length = length as u64;
    let end = PeerMessage::BodyEnd { length, load: None };
    for msg in iter::once(head).chain(parts).chain([end]) {
        // The entry closes the connection when its caller has gone.
        if peer.tx.write(&msg).await.is_err() {
            return;
        }
    }
    actix_rt::time::sleep(WAIT_TIMEOUT).await;
}

/// Sends a request that is not answered, and one behind it for an answer of `length` bytes.
fn send_both(callers: SocketAddr, length: usize) -> TcpStream {
    let mut io = TcpStream::connect(callers).expect("the entry accepts");
    for nonce in ["first", &length.to_string()] {
        let text = format!(
            "POST / HTTP/1.1\r\nhost: stock\r\nx-nonce: {nonce}\r\n\
             plantainpost-timeout-ms: 100000\r\ncontent-length: 0\r\n\r\n"
        );
        io.write_all(text.as_bytes()).expect("the entry reads");
    }
    io
}

/// Waits until the metrics of a node meet a condition.
fn wait_for_metrics(admin: SocketAddr, what: &str, is_met: fn(&str) -> bool) {
    let met = process::wait_until(what, WAIT_TIMEOUT, || {
        is_met(&get_admin(admin, "/v1/metrics"))
    });
    met.unwrap_or_else(|e| panic!("{e}"));
}

fn is_memory_used_up(metrics: &str) -> bool {
    let gauge = metrics.split(r#""entry.held_bytes":"#).nth(1);
    let bytes = gauge.and_then(|rest| rest.split([',', '}']).next());
    bytes.is_some_and(|text| text.parse::<usize>().is_ok_and(|bytes| bytes >= 8 << 20))
}

/// Returns whether an answer was taken completely, whether its caller has received it or not.
fn is_answer_taken(metrics: &str) -> bool {
    metrics.contains(r#""entry.total_us":"#)
}

/// Guards against an answer that keeps its target waiting although the memory for answers that wait
/// has become free.
#[gtest]
fn answer_is_taken_when_memory_becomes_free() {
    let scripted = ScriptedGuardFleet::start();
    let node = &scripted.fleet.nodes[0];
    let (callers, admin) = (node.callers, node.admin);
    let steps = move || {
        let others = [(); FULL_CALLERS].map(|()| send_both(callers, 4 << 20));
        wait_for_metrics(admin, "no memory", is_memory_used_up);
        let _waiting = send_both(callers, 600_000);
        thread::sleep(Duration::from_millis(500));
        let metrics = get_admin(admin, "/v1/metrics");
        assert!(!is_answer_taken(&metrics), "the memory was not used up");
        drop(others);
        wait_for_metrics(admin, "the whole answer", is_answer_taken);
    };
    run_script(async {
        let listener = TcpListener::bind(scripted.guard_addresses[0])
            .await
            .expect("a listener");
        actix_rt::spawn(async move {
            let lengths = AnswerLengths::default();
            loop {
                if let Some(peer) = ScriptedPeer::try_accept(&listener, "stock-0").await {
                    actix_rt::spawn(serve(peer, Rc::clone(&lengths)));
                }
            }
        });
        let done = actix_rt::task::spawn_blocking(steps).await;
        done.expect("the answer is taken");
    });
}
