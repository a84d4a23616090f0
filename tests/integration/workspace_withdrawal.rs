//! Keys that are withdrawn while requests with them are on the way.

use std::{
    io::Write,
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use plantainpost_core::{
    ids::ServiceName,
    workspace::{KeyClaim, KeyHash},
};
use plantainpost_standin::{
    process::{self, Signal},
    proxy::{Proxy, ProxyFaults},
};
use plantainpost_wire::message::{PeerMessage, PeerRequestHead};

use crate::{
    fleet_fixture::WAIT_TIMEOUT,
    platform_fixture::{
        PlatformFleet, ScriptedReply, ScriptedTarget, answer, exchange, header, read_head,
        request_head, start_process,
    },
    scripted_peer::{ScriptedPeer, describe, now, post_head, request_key, run_script},
    workspaces::publish_workspaces,
};

/// Time within which a withdrawn key is refused everywhere, from the acknowledgement of the store on.
const WITHDRAWAL_LIMIT: Duration = Duration::from_millis(2_500);

const BOTH_KEYS: &[(&str, &[&str])] = &[("acme", &["k1", "k2"])];
const ONE_KEY: &[(&str, &[&str])] = &[("acme", &["k2"])];

/// A connection of a caller that stays open.
struct CallerConn(TcpStream);

impl CallerConn {
    fn open(platform: &PlatformFleet, i: usize) -> Self {
        let io = TcpStream::connect(platform.hosts[i].callers).expect("the node accepts");
        io.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a timeout");
        CallerConn(io)
    }

    /// Sends a request and returns the status of the answer.
    fn get(&mut self, path: &str, key: &str) -> String {
        let headers = format!("Plantainpost-Key: {key}\r\n");
        let request = request_head("GET", path, "o1", &headers);
        self.0.write_all(&request).expect("the node reads");
        let head = read_head(&mut self.0).expect("an answer");
        let mut rest = vec![0; header(&head, "content-length").parse().expect("a length")];
        std::io::Read::read_exact(&mut self.0, &mut rest).expect("a body");
        head["http/1.1 ".len()..][..3].to_owned()
    }
}

fn get_with_key(platform: &PlatformFleet, i: usize, path: &str, key: &str) -> String {
    let headers = format!("Connection: close\r\nPlantainpost-Key: {key}\r\n");
    let request = request_head("GET", path, "g1", &headers);
    exchange(platform.hosts[i].callers, &request)
}

/// Kills a node and starts it again. Returns the status of the first answers to a key, until one is 401.
fn restart_and_try(platform: &mut PlatformFleet, i: usize, key: &str) -> Vec<String> {
    let host = &mut platform.hosts[i];
    host.process.signal(Signal::Kill).expect("the node runs");
    host.process.wait_exit(WAIT_TIMEOUT).expect("an end");
    host.process = start_process(&host.settings);
    let mut statuses = Vec::new();
    process::wait_until("a refusal", WAIT_TIMEOUT, || {
        let text = get_with_key(platform, i, "/safe/1", key);
        let status = text.get("HTTP/1.1 ".len()..).and_then(|text| text.get(..3));
        statuses.extend(status.map(str::to_owned));
        status == Some("401")
    })
    .expect("the key is refused");
    statuses
}

/// Guards against a withdrawn key that still works on a connection that is open, at a node that the
/// store refuses, or after a restart of a node.
#[gtest]
fn withdrawn_key_is_refused_on_open_connections_and_after_restarts() {
    let target = ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "stock")));
    let mut proxies = Vec::new();
    let mut platform = PlatformFleet::start_with_store_addresses(3, |_, store| {
        proxies.push(Proxy::start(store).expect("the proxy starts"));
        proxies.last().expect("a proxy").address()
    });
    publish_workspaces(&platform, 4, BOTH_KEYS);
    platform.announce(0, &target, "i-1", 1, "ready");
    let mut conns: Vec<CallerConn> = (0..3).map(|i| CallerConn::open(&platform, i)).collect();
    for conn in &mut conns {
        process::wait_until("an answer", WAIT_TIMEOUT, || {
            conn.get("/safe/1", "k1") == "200"
        })
        .expect("the key is valid");
    }
    proxies[2].set_faults(ProxyFaults {
        close_new_connections: true,
        ..Default::default()
    });
    proxies[2].cut_connections();

    publish_workspaces(&platform, 5, ONE_KEY);
    thread::sleep(WITHDRAWAL_LIMIT);
    for (i, conn) in conns.iter_mut().enumerate() {
        expect_that!(conn.get("/safe/1", "k1"), eq("401"), "node {i}");
        expect_that!(conn.get("/safe/1", "k2"), eq("200"), "node {i}");
    }
    // An older configuration that arrives late must not bring the key back, neither at running nodes nor
    // at those that read it when they start.
    publish_workspaces(&platform, 4, BOTH_KEYS);
    for i in [1, 2] {
        let statuses = restart_and_try(&mut platform, i, "k1");
        expect_that!(statuses, each(any![eq("401"), eq("503")]), "node {i}");
    }
    expect_that!(conns[0].get("/safe/1", "k1"), eq("401"));
}

/// Guards against requests that start although their key was withdrawn while they waited for a slot of
/// the target, and against other requests that are refused with them.
#[gtest]
fn queued_requests_with_a_withdrawn_key_do_not_start() {
    let target = ScriptedTarget::start(|head| {
        let text = answer(head, "200 OK", "stock");
        match head.contains("/safe/slow") {
            true => ScriptedReply::After(Duration::from_millis(2_500), text),
            false => ScriptedReply::Keep(text),
        }
    });
    let platform = PlatformFleet::start(2);
    publish_workspaces(&platform, 4, BOTH_KEYS);
    platform.announce(1, &target, "i-1", 1, "ready");
    process::wait_until("an answer", WAIT_TIMEOUT, || {
        get_with_key(&platform, 0, "/safe/1", "k1").starts_with("HTTP/1.1 200")
    })
    .expect("the target is known");
    let started_at = Instant::now();
    thread::scope(|scope| {
        let send = |i: usize, path: &'static str, key: &'static str| {
            let platform = &platform;
            scope.spawn(move || (get_with_key(platform, i, path, key), Instant::now()))
        };
        let running: Vec<_> = (0..12).map(|_| send(0, "/safe/slow", "k2")).collect();
        process::wait_until("full slots", WAIT_TIMEOUT, || {
            let heads = target.received_heads();
            heads.iter().filter(|head| head.contains("slow")).count() == 12
        })
        .expect("all slots are used");
        let withdrawn = [0, 1].map(|i| send(i, "/safe/withdrawn", "k1"));
        let valid = send(0, "/safe/valid", "k2");
        thread::sleep(Duration::from_millis(300));
        publish_workspaces(&platform, 5, ONE_KEY);
        for (i, withdrawn) in withdrawn.into_iter().enumerate() {
            let (text, ended_at) = withdrawn.join().expect("no panic");
            // Node 0 may hear of the withdrawal after the guard on node 1.
            let statuses = match i {
                0 => ["HTTP/1.1 401", "HTTP/1.1 503"],
                _ => ["HTTP/1.1 401"; 2],
            };
            let is_expected = statuses.iter().any(|status| text.starts_with(status));
            expect_that!(is_expected, eq(true), "node {i}: {text}");
            let reason = header(&text, "plantainpost-reason");
            expect_that!(reason, eq("key-withdrawn"), "node {i}: {text}");
            // The refusal does not wait for a slot.
            let waited = ended_at.duration_since(started_at);
            expect_that!(waited, lt(Duration::from_millis(2_300)), "node {i}");
        }
        for answered in running.into_iter().chain([valid]) {
            let (text, _) = answered.join().expect("no panic");
            expect_that!(text, starts_with("HTTP/1.1 200"));
        }
    });
    let heads = target.received_heads();
    expect_that!(
        heads.iter().any(|head| head.contains("withdrawn")),
        eq(false)
    );
    expect_that!(heads.iter().any(|head| head.contains("valid")), eq(true));
}

/// Guards against an attempt for a request whose key was withdrawn while its body was on the way.
#[gtest]
fn request_is_checked_again_when_its_body_has_arrived() {
    let target = ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "stock")));
    let platform = PlatformFleet::start(1);
    publish_workspaces(&platform, 4, BOTH_KEYS);
    platform.announce(0, &target, "i-1", 1, "ready");
    platform.wait_readyz(0, "200");
    let mut conn = CallerConn::open(&platform, 0);
    let headers = "Plantainpost-Key: k1\r\nContent-Length: 4\r\n";
    let request = request_head("POST", "/safe/body", "b1", headers);
    conn.0.write_all(&request).expect("the node reads");
    thread::sleep(Duration::from_millis(300));
    publish_workspaces(&platform, 5, ONE_KEY);
    let metrics = || {
        let request = b"GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n";
        exchange(platform.hosts[0].metrics, request)
    };
    process::wait_until("the withdrawal", WAIT_TIMEOUT, || {
        metrics().contains("plantainpost_routes_version 5\n")
    })
    .expect("the configuration is in force");
    conn.0.write_all(b"abcd").expect("the node reads");
    let head = read_head(&mut conn.0).expect("an answer");
    expect_that!(head, starts_with("http/1.1 401"));
    let reason = header(&head, "plantainpost-reason");
    expect_that!(reason, eq("key-withdrawn"));
    expect_that!(metrics(), not(contains_substring("guard_request")));
    expect_that!(target.received_heads().is_empty(), eq(true));
}

/// Returns a request of a scripted entry with a claim.
fn claim_request(id: u128, timeout_ms: u64, claim: Option<KeyClaim>) -> PeerMessage {
    let public_id = format!("p{id}");
    let headers = [("plantainpost-request-id", &*public_id)];
    PeerMessage::Request(PeerRequestHead {
        service: ServiceName::from("shelf"),
        claim: claim.map(Box::new),
        deadline: now().saturating_add_millis(timeout_ms),
        ..post_head(request_key(id), "claim", &headers)
    })
}

/// Sends a request with a claim to the guard of node 0 and returns its reply.
async fn guard_reply(platform: &PlatformFleet, id: u128, claim: Option<KeyClaim>) -> String {
    let mut peer = ScriptedPeer::connect(platform.hosts[0].peers).await;
    peer.send(claim_request(id, 5_000, claim)).await;
    describe(&peer.next_reply().await).to_string()
}

fn key_claim(workspace: &str, key: &str, version: u64) -> Option<KeyClaim> {
    Some(KeyClaim {
        workspace: workspace.into(),
        key: KeyHash::of(key.as_bytes()),
        version,
    })
}

/// Guards against a request that waits for the configuration of its guard after a suspension and is still
/// written to the target after its entry has gone, or is refused long after its deadline.
#[gtest]
fn request_that_waits_after_a_suspension_ends_with_its_entry_and_deadline() {
    let target = ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "stock")));
    let platform = PlatformFleet::start(2);
    publish_workspaces(&platform, 4, BOTH_KEYS);
    platform.announce(0, &target, "i-1", 1, "ready");
    process::wait_until("an answer", WAIT_TIMEOUT, || {
        get_with_key(&platform, 1, "/safe/1", "k1").starts_with("HTTP/1.1 200")
    })
    .expect("the nodes know each other");
    run_script(async {
        let mut patient = ScriptedPeer::connect(platform.hosts[0].peers).await;
        let mut hasty = ScriptedPeer::connect(platform.hosts[0].peers).await;
        for host in &platform.hosts {
            host.process.signal(Signal::Stop).expect("the node runs");
        }
        thread::sleep(Duration::from_millis(1_200));
        let claim = || key_claim("acme", "k1", 4);
        patient.send(claim_request(1, 5_000, claim())).await;
        hasty.send(claim_request(2, 300, claim())).await;
        let resumed_at = Instant::now();
        let process = &platform.hosts[0].process;
        process.signal(Signal::Cont).expect("the node runs");
        let reply = describe(&hasty.next_reply().await);
        expect_that!(&*reply, eq("refused deadline"));
        // The node waits for 1 s, because the other one stays suspended.
        expect_that!(resumed_at.elapsed(), lt(Duration::from_secs(1)));
    });
    let answer = get_with_key(&platform, 0, "/safe/1", "k1");
    expect_that!(answer, starts_with("HTTP/1.1 200"));
    let heads = target.received_heads();
    expect_that!(heads.iter().any(|head| head.contains("claim")), eq(false));
}

/// Guards against a guard that runs requests of an entry with an old configuration by a withdrawn key,
/// that runs them before it has a configuration itself, or that refuses keys which only the entry's
/// newer configuration has.
#[gtest]
fn guard_checks_the_keys_that_entries_have_admitted() {
    let target = ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "stock")));
    let platform = PlatformFleet::start(1);
    platform.announce(0, &target, "i-1", 1, "ready");
    run_script(async {
        let early = guard_reply(&platform, 1, key_claim("acme", "k2", 4)).await;
        expect_that!(early, eq("refused no-configuration"));
        publish_workspaces(&platform, 5, ONE_KEY);
        platform.wait_readyz(0, "200");
        let rows = [
            (2, key_claim("acme", "k1", 4), "refused key-withdrawn"),
            (3, key_claim("zeta", "k2", 4), "refused key-withdrawn"),
            (4, key_claim("acme", "k2", 4), "response 200"),
            (5, key_claim("acme", "k3", 6), "response 200"),
            (6, None, "response 200"),
            // The refusals of the first attempts hold for copies as well.
            (1, key_claim("acme", "k2", 5), "refused fenced"),
            (2, key_claim("acme", "k2", 5), "refused fenced"),
        ];
        for (id, claim, expected) in rows {
            let reply = guard_reply(&platform, id, claim).await;
            expect_that!(reply, eq(expected), "request {id}");
        }
    });
    expect_that!(target.received_heads().len(), eq(3));
}

/// Guards against a withdrawn key that works at an entry which was suspended during the withdrawal.
#[gtest]
fn suspended_entry_starts_no_request_with_a_withdrawn_key() {
    let target = ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "stock")));
    let platform = PlatformFleet::start(2);
    publish_workspaces(&platform, 4, BOTH_KEYS);
    platform.announce(1, &target, "i-1", 1, "ready");
    process::wait_until("an answer", WAIT_TIMEOUT, || {
        get_with_key(&platform, 0, "/safe/1", "k1").starts_with("HTTP/1.1 200")
    })
    .expect("the target is known");
    let process = &platform.hosts[0].process;
    process.signal(Signal::Stop).expect("the node runs");
    publish_workspaces(&platform, 5, ONE_KEY);
    process::wait_until("the version at the guard", WAIT_TIMEOUT, || {
        get_with_key(&platform, 1, "/safe/1", "k1").starts_with("HTTP/1.1 401")
    })
    .expect("the guard knows of the withdrawal");
    thread::scope(|scope| {
        let platform = &platform;
        let send = |_| scope.spawn(move || get_with_key(platform, 0, "/safe/late", "k1"));
        let waiting: Vec<_> = (0..5).map(send).collect();
        thread::sleep(Duration::from_millis(300));
        process.signal(Signal::Cont).expect("the node runs");
        for waiting in waiting {
            let text = waiting.join().expect("no panic");
            expect_that!(
                text,
                any![starts_with("HTTP/1.1 401"), starts_with("HTTP/1.1 503")]
            );
        }
    });
    let heads = target.received_heads();
    expect_that!(heads.iter().any(|head| head.contains("late")), eq(false));
}

/// Guards against a withdrawn key that works at a node which was suspended during the withdrawal and has
/// the target beside it, so that no other node checks the request, and against a key that it refuses
/// although it was added meanwhile.
#[gtest]
fn resumed_node_asks_for_the_configuration_before_it_accepts_keys() {
    let target = ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "stock")));
    let mut proxies = Vec::new();
    let platform = PlatformFleet::start_with_store_addresses(2, |_, store| {
        proxies.push(Proxy::start(store).expect("the proxy starts"));
        proxies.last().expect("a proxy").address()
    });
    publish_workspaces(&platform, 4, BOTH_KEYS);
    platform.announce(0, &target, "i-1", 1, "ready");
    for i in 0..2 {
        process::wait_until("an answer", WAIT_TIMEOUT, || {
            get_with_key(&platform, i, "/safe/1", "k1").starts_with("HTTP/1.1 200")
        })
        .expect("the target is known");
    }
    // Otherwise the news may wait in a connection to the store, which is sometimes read first.
    proxies[0].set_faults(ProxyFaults {
        close_new_connections: true,
        ..Default::default()
    });
    proxies[0].cut_connections();
    let mut conns: Vec<CallerConn> = (0..5).map(|_| CallerConn::open(&platform, 0)).collect();
    let process = &platform.hosts[0].process;
    process.signal(Signal::Stop).expect("the node runs");
    publish_workspaces(&platform, 5, &[("acme", &["k2", "k4"])]);
    process::wait_until("the version at the other node", WAIT_TIMEOUT, || {
        get_with_key(&platform, 1, "/safe/1", "k1").starts_with("HTTP/1.1 401")
    })
    .expect("the other node knows of the withdrawal");
    thread::scope(|scope| {
        let mut send = |path, key| {
            let mut conn = conns.pop().expect("a connection");
            scope.spawn(move || conn.get(path, key))
        };
        let withdrawn = [0; 3].map(|_| send("/safe/late", "k1"));
        let added = [0; 2].map(|_| send("/safe/added", "k4"));
        thread::sleep(WITHDRAWAL_LIMIT);
        process.signal(Signal::Cont).expect("the node runs");
        for withdrawn in withdrawn {
            expect_that!(
                withdrawn.join().expect("no panic"),
                any![eq("401"), eq("503")]
            );
        }
        for added in added {
            expect_that!(added.join().expect("no panic"), eq("200"));
        }
    });
    process::wait_until("an answer to a valid key", WAIT_TIMEOUT, || {
        get_with_key(&platform, 0, "/safe/1", "k2").starts_with("HTTP/1.1 200")
    })
    .expect("the node serves valid keys");
    let heads = target.received_heads();
    expect_that!(heads.iter().any(|head| head.contains("late")), eq(false));
}
