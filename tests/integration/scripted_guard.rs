//! A real entry and a scripted guard: which frames the entry trusts, and which connections
//! it reuses.

use std::{
    future::Future,
    net::{IpAddr, SocketAddr},
    pin::Pin,
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use actix_rt::net::TcpListener;
use googletest::prelude::*;
use plantainpost_core::{
    admission::{FenceState, RefuseReason, RequestKey},
    ids::RequestId,
    load::LoadSample,
};
use plantainpost_standin::proxy::{Relay, RelaySettings};
use plantainpost_wire::message::{BodyLength, FailReason, PeerMessage, PeerResponseHead};

use crate::{
    fleet_fixture::{Fleet, host_specs},
    http_client::{outcome_header, request_with_timeout},
    scripted_peer::{ScriptedPeer, run_script},
};

/// A fleet of an entry `desk-0` and of nodes `stock-0`, `stock-1` and so on, whose peer addresses
/// the test listens on, so that scripts act as their guards.
pub(crate) struct ScriptedGuardFleet {
    pub(crate) fleet: Fleet,
    /// Addresses on which the scripts accept connections as the guards `stock-0`, `stock-1` and so
    /// on.
    pub(crate) guard_addresses: Vec<SocketAddr>,
    _relays: Vec<Relay>,
}

impl ScriptedGuardFleet {
    pub(crate) fn start() -> Self {
        Self::start_with_entry_settings(|_| ())
    }

    /// Starts a fleet with one guard and changed settings of the entry.
    pub(crate) fn start_with_entry_settings(edit_entry: impl Fn(&mut String)) -> Self {
        Self::start_with_guards(1, edit_entry)
    }

    /// Starts a fleet with this number of guards and changed settings of the entry.
    pub(crate) fn start_with_guards(count: usize, edit_entry: impl Fn(&mut String)) -> Self {
        let mut specs = host_specs("desk", 1);
        specs.extend(host_specs("stock", count));
        let relays = Mutex::new(Vec::new());
        let fleet = Fleet::start_with_settings(&specs, |i, text| {
            // The default of 250 ms is sometimes too short on a busy machine.
            text.push_str("[limits]\nconnect_timeout = 5 s\n");
            if i == 0 {
                edit_entry(text);
                return;
            }
            let ip = [127, 0, 0, 1 + i as u8];
            *text = text.replace("\nip = 127.0.0.1", &format!("\nip = {}", IpAddr::from(ip)));
            let peer_tcp = text
                .lines()
                .find_map(|line| line.strip_prefix("peer_tcp = "));
            let server: SocketAddr = peer_tcp.and_then(|p| p.parse().ok()).expect("an address");
            let listen = SocketAddr::from((ip, server.port()));
            let settings = RelaySettings {
                listen,
                server,
                ..Default::default()
            };
            let relay = Relay::start(&settings).expect("the relay starts");
            relays.lock().expect("no panic").push((listen, relay));
        });
        let relays = relays.into_inner().expect("no panic");
        let (guard_addresses, _relays) = relays.into_iter().unzip();
        ScriptedGuardFleet {
            fleet,
            guard_addresses,
            _relays,
        }
    }

    /// Sends a non-idempotent request in a new thread, which returns the answer.
    pub(crate) fn send_post(&self, timeout_ms: u64) -> thread::JoinHandle<String> {
        let callers = self.fleet.nodes[0].callers;
        thread::spawn(move || {
            request_with_timeout(callers, ("POST", "stock"), ("n", timeout_ms), "")
        })
    }
}

fn with_other_id(key: RequestKey) -> RequestKey {
    RequestKey {
        id: RequestId(key.id.0 ^ 1),
        ..key
    }
}

fn with_next_attempt(key: RequestKey) -> RequestKey {
    RequestKey {
        attempt: key.attempt + 1,
        ..key
    }
}

pub(crate) fn response_message(key: RequestKey, body: BodyLength) -> PeerMessage {
    PeerMessage::Response(PeerResponseHead {
        key,
        status: 200,
        headers: Vec::new(),
        body,
        load: LoadSample::default(),
    })
}

pub(crate) fn refused_message(key: RequestKey, reason: RefuseReason) -> PeerMessage {
    let load = LoadSample::default();
    PeerMessage::Refused { key, reason, load }
}

fn failed_message(key: RequestKey, started: bool) -> PeerMessage {
    PeerMessage::Failed {
        key,
        started,
        reason: FailReason::Connect,
        load: LoadSample::default(),
    }
}

fn body_message(text: &'static str) -> PeerMessage {
    PeerMessage::Body(text.as_bytes().into())
}

fn end_message(length: u64) -> PeerMessage {
    PeerMessage::BodyEnd { length, load: None }
}

/// Returns the messages with which the scripted guard answers a request.
type ScriptedAnswer = fn(RequestKey) -> Vec<PeerMessage>;

/// Guards against an outcome or an answer taken from a frame about another request, and
/// against reuse of a connection after an exchange that did not end cleanly. The entry must
/// close it, so that a late frame cannot be taken for the answer to a later request.
#[gtest]
fn frames_about_other_requests_are_not_trusted() {
    let rows: [(&str, ScriptedAnswer, &str, bool); 12] = [
        (
            "answer",
            |k| {
                vec![
                    response_message(k, BodyLength::Sized(4)),
                    body_message("part"),
                    end_message(4),
                ]
            },
            "answered",
            false,
        ),
        (
            "answer of another",
            |k| {
                vec![
                    response_message(with_other_id(k), BodyLength::Sized(4)),
                    body_message("part"),
                    end_message(4),
                ]
            },
            "unknown",
            true,
        ),
        (
            "answer of another attempt",
            |k| {
                vec![
                    response_message(with_next_attempt(k), BodyLength::Sized(4)),
                    body_message("part"),
                    end_message(4),
                ]
            },
            "unknown",
            true,
        ),
        (
            "refusal",
            |k| vec![refused_message(k, RefuseReason::NoTarget)],
            "not-run",
            false,
        ),
        (
            "refusal of another",
            |k| vec![refused_message(with_other_id(k), RefuseReason::NoTarget)],
            "unknown",
            true,
        ),
        (
            "refusal of a duplicate",
            |k| vec![refused_message(k, RefuseReason::Duplicate)],
            "unknown",
            false,
        ),
        (
            "refusal without a fence",
            |k| vec![refused_message(k, RefuseReason::TableFull)],
            "unknown",
            false,
        ),
        (
            "failure before the start",
            |k| vec![failed_message(k, false)],
            "not-run",
            true,
        ),
        (
            "failure after the start",
            |k| vec![failed_message(k, true)],
            "unknown",
            true,
        ),
        (
            "failure of another",
            |k| vec![failed_message(with_other_id(k), false)],
            "unknown",
            true,
        ),
        (
            "fence of the request",
            |key| {
                vec![PeerMessage::FenceResult {
                    key,
                    state: FenceState::Fenced,
                }]
            },
            "unknown",
            true,
        ),
        ("nothing until the deadline", |_| vec![], "unknown", true),
    ];
    let scripted = ScriptedGuardFleet::start();
    run_script(async {
        let listener = TcpListener::bind(scripted.guard_addresses[0])
            .await
            .expect("a listener");
        for (name, answer, wanted, closes) in rows {
            let caller = scripted.send_post(1_000);
            let mut peer = ScriptedPeer::accept(&listener, "stock-0").await;
            let key = peer.next_request().await.key;
            for (i, msg) in answer(key).into_iter().enumerate() {
                let sent = peer.tx.write(&msg).await;
                // After a wrong first frame the node may already have closed the connection.
                expect_that!(sent.is_ok() || (closes && i > 0), eq(true), "{name}");
            }
            let text = caller.join().expect("no panic");
            expect_that!(outcome_header(&text), eq(wanted), "{name}: {text}");
            expect_that!(peer.is_closed().await, eq(closes), "{name}");
            drop(peer);
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    });
}

/// Guards against a truncated answer that looks complete to the caller.
#[gtest]
fn truncated_answer_is_never_terminated_cleanly() {
    let sized = BodyLength::Sized(8);
    let chunked = BodyLength::Chunked;
    let rows: [(&str, BodyLength, Vec<PeerMessage>); 7] = [
        ("sized, closed", sized, vec![body_message("part")]),
        ("chunked, closed", chunked, vec![body_message("part")]),
        (
            "sized, too short",
            sized,
            vec![body_message("part"), end_message(4)],
        ),
        (
            "sized, wrong end",
            sized,
            vec![body_message("part"), end_message(8)],
        ),
        (
            "chunked, wrong end",
            chunked,
            vec![body_message("part"), end_message(5)],
        ),
        (
            "chunked, another message",
            chunked,
            vec![
                body_message("part"),
                failed_message(crate::scripted_peer::request_key(1), true),
                end_message(4),
            ],
        ),
        (
            "sized, too long",
            sized,
            vec![
                body_message("part"),
                body_message("too long"),
                end_message(12),
            ],
        ),
    ];
    let scripted = ScriptedGuardFleet::start();
    run_script(async {
        let listener = TcpListener::bind(scripted.guard_addresses[0])
            .await
            .expect("a listener");
        for (name, length, rest) in rows {
            let caller = scripted.send_post(2_000);
            let mut peer = ScriptedPeer::accept(&listener, "stock-0").await;
            let key = peer.next_request().await.key;
            peer.send(response_message(key, length)).await;
            for msg in rest {
                peer.send(msg).await;
            }
            drop(peer);
            let text = caller.join().expect("no panic");
            // The entry buffers a short answer before it passes on the head. It replaces a
            // truncated one by an error answer, which must not contain the received part.
            if text.starts_with("HTTP/1.1 502") {
                expect_that!(outcome_header(&text), eq("unknown"), "{name}: {text}");
                expect_that!(text, not(contains_substring("part")), "{name}");
                continue;
            }
            // The head may be lost together with the body.
            let received = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
            let complete = match length {
                BodyLength::Chunked => received.ends_with("0\r\n\r\n"),
                _ => received.len() >= 8,
            };
            expect_that!(complete, eq(false), "{name}: {text}");
        }
    });
}

/// Guards against an answer that is cut at the deadline of its request while its last bytes are in
/// transit between the nodes, and against an entry that waits for them for ever.
#[gtest]
fn answer_in_transit_is_delivered_after_its_deadline() {
    const TIMEOUT_MS: u64 = 500;
    const DELAY: Duration = Duration::from_millis(TIMEOUT_MS + 300);
    let rows = [
        ("within what the entry keeps", 8, true),
        ("beyond what the entry keeps", 200_000, true),
        ("lost within what the entry keeps", 8, false),
        ("lost beyond what the entry keeps", 200_000, false),
    ];
    let scripted = ScriptedGuardFleet::start();
    run_script(async {
        let listener = TcpListener::bind(scripted.guard_addresses[0])
            .await
            .expect("a listener");
        for (name, length, arrives) in rows {
            let caller = scripted.send_post(TIMEOUT_MS);
            let mut peer = ScriptedPeer::accept(&listener, "stock-0").await;
            let key = peer.next_request().await.key;
            let body = vec![b'x'; length];
            let mut parts = body.chunks(50_000.min(length / 2));
            let last = parts.next_back().expect("two parts or more");
            peer.send(response_message(key, BodyLength::Sized(length as u64)))
                .await;
            for part in parts {
                peer.send(PeerMessage::Body(part.to_vec().into())).await;
            }
            actix_rt::time::sleep(DELAY).await;
            if arrives {
                peer.send(PeerMessage::Body(last.to_vec().into())).await;
                peer.send(end_message(length as u64)).await;
            } else {
                let waits_since = Instant::now();
                expect_true!(peer.next_message().await.is_err(), "{name}");
                // The entry ends the wait 0.7 s from here, and the caller would 2.7 s from here.
                let waited = waits_since.elapsed();
                expect_that!(waited, lt(Duration::from_millis(2_500)), "{name}");
            }
            let text = caller.join().expect("no panic");
            let received = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
            expect_that!(received.len() == length, eq(arrives), "{name}");
            let is_answered = outcome_header(&text) == "answered";
            expect_that!(is_answered, eq(arrives || length > 8), "{name}");
        }
    });
}

/// Runs the guard's side of the connection that the entry opens after a lost one.
type ReconnectScript =
    for<'a> fn(&'a TcpListener, RequestKey) -> Pin<Box<dyn Future<Output = ()> + 'a>>;

/// Guards against a wrong outcome for a request whose connection is lost. The outcome is
/// "not-run" only if the same incarnation of the guard has fenced the same request.
#[gtest]
fn lost_connection_is_reported_as_not_run_only_after_a_fence() {
    async fn answer_fence(mut peer: ScriptedPeer, key: RequestKey, state: FenceState) {
        // An entry that does not trust the guard closes the connection without a message.
        if let Ok(PeerMessage::Resume { .. }) = peer.next_message().await {
            peer.send(PeerMessage::FenceResult { key, state }).await;
            actix_rt::time::sleep(Duration::from_millis(200)).await;
        }
    }
    async fn reconnect_and_answer_fence(
        listener: &TcpListener,
        key: RequestKey,
        state: FenceState,
    ) {
        answer_fence(ScriptedPeer::accept(listener, "stock-0").await, key, state).await;
    }
    async fn reconnect_after_restart(listener: &TcpListener, key: RequestKey) {
        let peer = ScriptedPeer::accept_restarted(listener, "stock-0").await;
        answer_fence(peer, key, FenceState::Fenced).await;
    }
    let rows: [(&str, ReconnectScript, &str); 8] = [
        (
            "fenced",
            |l, k| Box::pin(reconnect_and_answer_fence(l, k, FenceState::Fenced)),
            "not-run",
        ),
        (
            "started",
            |l, k| Box::pin(reconnect_and_answer_fence(l, k, FenceState::Started)),
            "unknown",
        ),
        (
            "finished",
            |l, k| Box::pin(reconnect_and_answer_fence(l, k, FenceState::Finished)),
            "unknown",
        ),
        (
            "expired",
            |l, k| Box::pin(reconnect_and_answer_fence(l, k, FenceState::Expired)),
            "unknown",
        ),
        (
            "another is fenced",
            |l, k| {
                Box::pin(reconnect_and_answer_fence(
                    l,
                    with_other_id(k),
                    FenceState::Fenced,
                ))
            },
            "unknown",
        ),
        (
            "restarted",
            |l, k| Box::pin(reconnect_after_restart(l, k)),
            "unknown",
        ),
        (
            "another guard",
            |l, _| Box::pin(async { drop(ScriptedPeer::accept(l, "other").await) }),
            "unknown",
        ),
        ("no answer", |_, _| Box::pin(async {}), "unknown"),
    ];
    let scripted = ScriptedGuardFleet::start();
    run_script(async {
        let listener = TcpListener::bind(scripted.guard_addresses[0])
            .await
            .expect("a listener");
        for (name, reconnect, wanted) in rows {
            let caller = scripted.send_post(2_000);
            let mut peer = ScriptedPeer::accept(&listener, "stock-0").await;
            let key = peer.next_request().await.key;
            drop(peer);
            reconnect(&listener, key).await;
            let text = caller.join().expect("no panic");
            expect_that!(outcome_header(&text), eq(wanted), "{name}: {text}");
        }
    });
}
