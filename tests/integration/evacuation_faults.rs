//! Evacuations of data centres while nodes are suspended or connections fail.

use std::{
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use plantainpost_core::ids::ServiceName;
use plantainpost_standin::{
    process::{Signal, wait_until},
    proxy::{Proxy, ProxyFaults},
};
use plantainpost_wire::message::{PeerMessage, PeerRequestHead};

use crate::{
    evacuation_fixture::{
        ROUTES, admin, publish_routes, set_evacuated, start_nodes, usage, wait_evacuated,
    },
    fleet_fixture::WAIT_TIMEOUT,
    platform_fixture::{
        PlatformFleet, ScriptedReply, ScriptedTarget, answer, body, exchange, request_head,
    },
    scripted_peer::{ScriptedPeer, describe, now, post_head, request_key, run_script},
};

/// Slots of a target that [`PlatformFleet::announce`] announces.
const SLOTS: usize = 12;

/// Sends a request with the longest deadline that the routes allow, and returns the answer.
fn send_patient(platform: &PlatformFleet, i: usize, method: &str, path: &str, id: &str) -> String {
    let head = request_head(method, path, id, "Connection: close\r\n");
    let head = String::from_utf8_lossy(&head).replace("Deadline-Ms: 3000", "Deadline-Ms: 7500");
    exchange(platform.hosts[i].callers, head.as_bytes())
}

/// Announces a target of node `i` and waits until the nodes in `readers` know it.
fn announce(platform: &PlatformFleet, i: usize, target: &ScriptedTarget, readers: &[usize]) {
    platform.announce(i, target, &format!("i-{i}"), 1, "ready");
    for reader in readers {
        platform.wait_readyz(*reader, "200");
        wait_until("the target is known", WAIT_TIMEOUT, || {
            !usage(platform, *reader, i).is_null()
        })
        .expect("the target is known");
    }
}

/// Guards against a guard that was suspended while its data centre was evacuated, and then starts the
/// requests of its queue, of its sockets and of the entry beside it before it reads the news, and against
/// one that delays or loses them once it knows the news.
#[gtest]
fn suspended_guard_starts_nothing_in_an_evacuated_data_centre() {
    const QUEUED: usize = 5;
    const LATE: usize = 3;
    let mut proxies = Vec::new();
    let platform = start_nodes(&[("pos", "tt"), ("arima", "tt")], |_, store| {
        proxies.push(Proxy::start(store).expect("the proxy starts"));
        proxies.last().expect("a proxy").address()
    });
    publish_routes(&platform, 1, ROUTES);
    let slow = ScriptedTarget::start(|head| {
        ScriptedReply::After(Duration::from_millis(2_500), answer(head, "200 OK", "pos"))
    });
    let fast = ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "arima")));
    announce(&platform, 0, &slow, &[0, 1]);
    // Otherwise the news may wait in a connection to the store, which is sometimes read first.
    proxies[0].set_faults(ProxyFaults {
        close_new_connections: true,
        ..Default::default()
    });
    proxies[0].cut_connections();
    let (platform, process) = (&platform, &platform.hosts[0].process);
    thread::scope(|scope| {
        let send = |number: usize| {
            let id = format!("r-{number}");
            scope.spawn(move || send_patient(platform, 0, "POST", "/once/a", &id))
        };
        let mut requests: Vec<_> = (0..SLOTS + QUEUED).map(send).collect();
        wait_until("queued requests", WAIT_TIMEOUT, || {
            admin(platform, 0, "/v1/status")["guard"]["queued"] == QUEUED
        })
        .expect("requests are queued");
        announce(platform, 1, &fast, &[0, 1]);
        let resumed_at = run_script(async {
            let mut peer = ScriptedPeer::connect(platform.hosts[0].peers).await;
            process.signal(Signal::Stop).expect("the node runs");
            set_evacuated(platform, "pos", true);
            wait_evacuated(platform, 1, "pos", true);
            requests.extend((0..LATE).map(|number| send(100 + number)));
            peer.send(PeerMessage::Request(PeerRequestHead {
                service: ServiceName::from("shelf"),
                deadline: now().saturating_add_millis(7_500),
                ..post_head(request_key(1), "a", &[("plantainpost-request-id", "p1")])
            }))
            .await;
            // By the end of this time the target has answered all requests that it has.
            thread::sleep(Duration::from_millis(2_700));
            let resumed_at = Instant::now();
            process.signal(Signal::Cont).expect("the node runs");
            let reply = describe(&peer.next_reply().await);
            expect_that!(&*reply, eq("refused evacuated"));
            resumed_at
        });
        let answers = requests
            .into_iter()
            .map(|request| request.join().expect("no panic"));
        let answers: Vec<_> = answers.collect();
        // Much less than the bound on the wait, which is 1 s.
        expect_that!(resumed_at.elapsed(), lt(Duration::from_millis(900)));
        let count = |wanted| answers.iter().filter(|text| body(text) == wanted).count();
        expect_that!(
            (count("pos"), count("arima")),
            eq((SLOTS, QUEUED + LATE)),
            "{answers:?}"
        );
    });
    expect_that!(slow.received_heads().len(), eq(SLOTS));
}

/// Guards against a guard that starts nothing any more after a suspension because no peer answers, and
/// against one that starts requests without having waited for an answer.
#[gtest]
fn resumed_guard_goes_on_if_no_peer_answers() {
    let platform = start_nodes(&[("pos", "tt"), ("pos", "tt")], |_, store| store);
    publish_routes(&platform, 1, ROUTES);
    let target = ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "pos")));
    announce(&platform, 0, &target, &[0, 1]);
    for host in &platform.hosts {
        host.process.signal(Signal::Stop).expect("the node runs");
    }
    thread::sleep(Duration::from_millis(1_200));
    let process = &platform.hosts[0].process;
    let resumed_at = Instant::now();
    process.signal(Signal::Cont).expect("the node runs");
    let text = send_patient(&platform, 0, "POST", "/once/a", "r-1");
    expect_that!(text, starts_with("HTTP/1.1 200"));
    expect_that!(resumed_at.elapsed(), ge(Duration::from_secs(1)));
    expect_that!(resumed_at.elapsed(), lt(Duration::from_secs(3)));
    let line = process.wait_line("configuration checked after a suspension", WAIT_TIMEOUT);
    expect_that!(line, ok(contains_substring("confirmed: false")));
}
