//! Configurations that are published while connections or calls to the store fail.

use std::time::{Duration, Instant};

use actix_rt::{net::TcpListener, time::timeout};
use googletest::prelude::*;
use plantainpost_standin::{
    log::LogFaults,
    process::{self, Signal},
    proxy::{Proxy, ProxyFaults},
};
use plantainpost_wire::message::{BodyLength, PeerMessage};

use crate::{
    fleet_fixture::WAIT_TIMEOUT,
    http_client::outcome_header,
    platform_fixture::{
        PlatformFleet, ScriptedReply, ScriptedTarget, answer, exchange, start_process,
    },
    scripted_guard::{ScriptedGuardFleet, response_message},
    scripted_peer::{ScriptedPeer, run_script},
};

/// Longest time until a configuration is in force after the end of a fault of the store.
const MAX_DELAY_AFTER_FAULT: Duration = Duration::from_secs(3);

/// Guards against a reader that waits for the answer to a read which the store has lost, while
/// newer configurations are published.
#[gtest]
fn lost_read_of_the_store_does_not_delay_a_configuration() {
    let target = ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "stock")));
    let platform = PlatformFleet::start_with_target(&target);
    platform.store.set_faults(LogFaults {
        silent: true,
        ..Default::default()
    });
    let calls_before = platform.store.call_count();
    platform.publish_routes(5);
    process::wait_until("a read without an answer", WAIT_TIMEOUT, || {
        platform.store.call_count() > calls_before
    })
    .expect("a read");
    platform.store.set_faults(LogFaults::default());
    platform.publish_route_list(6, &[("/added/", "safe", 5_000)]);
    let start = Instant::now();
    process::wait_until("an answer on the added route", WAIT_TIMEOUT, || {
        platform
            .get(0, "/added/1", "a1")
            .starts_with("HTTP/1.1 200")
    })
    .expect("an answer");
    expect_that!(start.elapsed(), lt(MAX_DELAY_AFTER_FAULT));
}

/// Accepts a connection on which a node asks the guard `stock-0` for its configuration.
async fn accept_configuration_fetch(listener: &TcpListener) -> ScriptedPeer {
    let mut peer = ScriptedPeer::accept(listener, "stock-0").await;
    match peer.next_message().await {
        Ok(PeerMessage::FetchConfig { .. }) => peer,
        other => panic!("expected FetchConfig, not {other:?}"),
    }
}

/// Guards against a fleet that learns of no configuration because the store refuses exactly the
/// nodes that read it, while it serves the others.
#[gtest]
fn refused_readers_do_not_delay_a_configuration() {
    let target = ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "stock")));
    let mut proxies = Vec::new();
    let platform = PlatformFleet::start_with_store_addresses(5, |_, store| {
        proxies.push(Proxy::start(store).expect("the proxy starts"));
        proxies.last().expect("a proxy").address()
    });
    platform.publish_routes(4);
    platform.announce(0, &target, "i-1", 1, "ready");
    let metrics_request = b"GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n";
    let is_no_reader = |i: usize| {
        exchange(platform.hosts[i].metrics, metrics_request)
            .contains("plantainpost_store_reader 0\n")
    };
    process::wait_until(
        "two nodes that leave reading to others",
        WAIT_TIMEOUT,
        || (0..5).filter(|i| is_no_reader(*i)).count() == 2,
    )
    .expect("three readers");
    for (i, proxy) in proxies.iter().enumerate() {
        if !is_no_reader(i) {
            proxy.set_faults(ProxyFaults {
                close_new_connections: true,
                ..Default::default()
            });
            proxy.cut_connections();
        }
    }
    platform.publish_route_list(6, &[("/added/", "safe", 5_000)]);
    let start = Instant::now();
    for i in 0..5 {
        process::wait_until("an answer on the added route", WAIT_TIMEOUT, || {
            platform
                .get(i, "/added/1", "a1")
                .starts_with("HTTP/1.1 200")
        })
        .expect("an answer");
    }
    expect_that!(start.elapsed(), lt(MAX_DELAY_AFTER_FAULT));
}

/// Guards against calls of all nodes to the store when a fleet starts: a node that knows no other yet
/// would take itself for a reader.
#[gtest]
fn nodes_that_start_together_leave_reading_to_the_readers() {
    const NODES: usize = 20;
    const READERS: usize = 3;
    let start = Instant::now();
    let platform = PlatformFleet::start(NODES);
    let metrics_request = b"GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n";
    let is_no_reader = |i: &usize| {
        exchange(platform.hosts[*i].metrics, metrics_request)
            .contains("plantainpost_store_reader 0\n")
    };
    process::wait_until("nodes that leave reading to others", WAIT_TIMEOUT, || {
        (0..NODES).filter(is_no_reader).count() == NODES - READERS
    })
    .expect("three readers");
    let calls = platform.store.call_count();
    // At its start each node writes its contact and reads the contacts and the routes. Each reader
    // then reads at most once a second.
    let reads = READERS as u64 * (2 + start.elapsed().as_secs());
    expect_that!(calls, le(3 * NODES as u64 + reads));
}

/// Starts an entry that gets configurations from its peer only.
fn start_without_log() -> ScriptedGuardFleet {
    ScriptedGuardFleet::start_with_entry_settings(|text| {
        *text = text.replace("[log]\naddress = ", "[log]\naddress = 127.0.0.1:1\n; ");
    })
}

/// Guards against a node that gets a configuration too late because it waits for a peer that
/// does not answer, for example over a dead connection or from a frozen host.
#[gtest]
fn silent_peer_does_not_delay_a_configuration() {
    let scripted = start_without_log();
    scripted.fleet.plan_and_confirm(1, &["measure", "3"]);
    let delay = run_script(async {
        let listener = TcpListener::bind(scripted.guard_addresses[0])
            .await
            .expect("a listener");
        let _silent = accept_configuration_fetch(&listener).await;
        let start = Instant::now();
        let _next = accept_configuration_fetch(&listener).await;
        start.elapsed()
    });
    // A configuration must be in force on all nodes within 2 s.
    expect_that!(delay, le(Duration::from_secs(1)));
}

/// Guards against time limits that grow with each peer that does not answer, so that the last nodes
/// get a configuration seconds after the others.
#[gtest]
fn several_silent_peers_do_not_delay_a_configuration() {
    let scripted = start_without_log();
    scripted.fleet.plan_and_confirm(1, &["measure", "3"]);
    let delay = run_script(async {
        let listener = TcpListener::bind(scripted.guard_addresses[0])
            .await
            .expect("a listener");
        let start = Instant::now();
        let mut silent = Vec::new();
        for _ in 0..4 {
            silent.push(accept_configuration_fetch(&listener).await);
        }
        start.elapsed()
    });
    // A configuration must be in force on all nodes within 2 s.
    expect_that!(delay, le(Duration::from_secs(2)));
}

/// Guards against a peer that stops in the middle of its state and delays the fetch from the next one.
#[gtest]
fn peer_that_stops_within_its_state_does_not_delay_a_configuration() {
    let scripted = start_without_log();
    scripted.fleet.plan_and_confirm(1, &["measure", "3"]);
    let delay = run_script(async {
        let listener = TcpListener::bind(scripted.guard_addresses[0])
            .await
            .expect("a listener");
        let mut stalled = accept_configuration_fetch(&listener).await;
        stalled.send(PeerMessage::Body(vec![0; 100].into())).await;
        let start = Instant::now();
        let _next = accept_configuration_fetch(&listener).await;
        start.elapsed()
    });
    // A configuration must be in force on all nodes within 2 s.
    expect_that!(delay, le(Duration::from_secs(2)));
}

/// Guards against a restarted node that takes an older version for the newest one, because it is the last
/// record of the store. Running nodes have ignored it.
#[gtest]
fn restarted_node_gets_the_newest_version_of_its_peers() {
    let target = ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "stock")));
    let mut platform = PlatformFleet::start(3);
    platform.publish_routes(4);
    platform.announce(0, &target, "i-1", 1, "ready");
    platform.publish_route_list(6, &[("/safe/", "safe", 5_000), ("/added/", "safe", 5_000)]);
    let is_added = |platform: &PlatformFleet, i: usize| {
        let text = platform.get(i, "/added/1", "a1");
        text.starts_with("HTTP/1.1 200")
    };
    for i in 0..platform.hosts.len() {
        process::wait_until("the added route", WAIT_TIMEOUT, || is_added(&platform, i))
            .expect("version 6 is in force");
    }
    platform.publish_route_list(5, &[("/safe/", "safe", 5_000)]);
    // The target is beside node 0.
    let host = &mut platform.hosts[1];
    host.process.signal(Signal::Kill).expect("the node runs");
    host.process.wait_exit(WAIT_TIMEOUT).expect("an end");
    host.process = start_process(&host.settings);
    platform.wait_readyz(1, "200");
    let start = Instant::now();
    process::wait_until("the added route", WAIT_TIMEOUT, || is_added(&platform, 1))
        .expect("version 6 is in force");
    // A configuration must be in force on all nodes within 2 s.
    expect_that!(start.elapsed(), le(Duration::from_secs(2)));
}

/// Guards against a fetch over an idle connection that a network fault has made dead, although the
/// peer accepts new ones.
#[gtest]
fn configuration_is_fetched_over_a_new_connection() {
    let scripted = start_without_log();
    run_script(async {
        let listener = TcpListener::bind(scripted.guard_addresses[0])
            .await
            .expect("a listener");
        let caller = scripted.send_post(2_000);
        let mut dead = ScriptedPeer::accept(&listener, "stock-0").await;
        let key = dead.next_request().await.key;
        dead.send(response_message(key, BodyLength::None)).await;
        let text = caller.join().expect("no panic");
        expect_that!(outcome_header(&text), eq("answered"), "{text}");
        scripted.fleet.plan_and_confirm(1, &["measure", "3"]);
        let _fetch = accept_configuration_fetch(&listener).await;
        // Without a message the read is still waiting.
        let read = timeout(Duration::from_millis(100), dead.rx.read()).await;
        let is_fetch = matches!(read, Ok(Ok(PeerMessage::FetchConfig { .. })));
        expect_false!(is_fetch, "a fetch on the idle connection");
    });
}
