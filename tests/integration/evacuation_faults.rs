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
        Places, ROUTES, TWO_DATA_CENTRES, admin, metric, publish_routes, set_evacuated, set_place,
        start_nodes, usage, wait_evacuated,
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

/// Starts nodes and a proxy between node 0 and the store.
fn start_with_proxy(places: &Places) -> (PlatformFleet, Proxy) {
    let mut proxy = None;
    let address_of = |i, store| match i {
        0 => {
            let proxy = proxy.insert(Proxy::start(store).expect("the proxy starts"));
            proxy.address()
        }
        _ => store,
    };
    let platform = PlatformFleet::start_with_settings(places.len(), address_of, |i, text| {
        set_place(text, places[i]);
        // Nodes with a retry budget of the fleet send no hedges.
        *text = text.replace("[retry]\nfleet_slack = 50\n", "");
    });
    publish_routes(&platform, 1, ROUTES);
    (platform, proxy.expect("node 0"))
}

/// Cuts a node off from the store. Otherwise the news may wait in a connection to the store while the node
/// is suspended, which is sometimes read before requests.
fn cut_off(proxy: &Proxy) {
    proxy.set_faults(ProxyFaults {
        close_new_connections: true,
        ..Default::default()
    });
    proxy.cut_connections();
}

/// Waits until requests are queued at the guard of node 0.
fn wait_queued(platform: &PlatformFleet, count: usize) {
    wait_until("queued requests", WAIT_TIMEOUT, || {
        admin(platform, 0, "/v1/status")["guard"]["queued"] == count
    })
    .expect("requests are queued");
}

/// Returns a request of a scripted entry to the target beside a node.
fn scripted_request(id: u128) -> PeerMessage {
    let public_id = format!("p{id}");
    PeerMessage::Request(PeerRequestHead {
        service: ServiceName::from("shelf"),
        deadline: now().saturating_add_millis(7_500),
        ..post_head(
            request_key(id),
            "a",
            &[("plantainpost-request-id", &public_id)],
        )
    })
}

/// Guards against a guard that was suspended while its data centre was evacuated, and then starts the
/// requests of its queue, of its sockets and of the entry beside it before it reads the news, and against
/// one that delays or loses them once it knows the news.
#[gtest]
fn suspended_guard_starts_nothing_in_an_evacuated_data_centre() {
    const QUEUED: usize = 5;
    const LATE: usize = 3;
    let (platform, store) = start_with_proxy(&TWO_DATA_CENTRES[..2]);
    let slow = ScriptedTarget::start(|head| {
        ScriptedReply::After(Duration::from_millis(2_500), answer(head, "200 OK", "pos"))
    });
    let fast = ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "arima")));
    announce(&platform, 0, &slow, &[0, 1]);
    cut_off(&store);
    let (platform, process) = (&platform, &platform.hosts[0].process);
    thread::scope(|scope| {
        let send = |number: usize| {
            let id = format!("r-{number}");
            scope.spawn(move || send_patient(platform, number % 2, "POST", "/once/a", &id))
        };
        let mut requests: Vec<_> = (0..SLOTS + QUEUED).map(send).collect();
        wait_queued(platform, QUEUED);
        announce(platform, 1, &fast, &[0, 1]);
        let resumed_at = run_script(async {
            let mut peer = ScriptedPeer::connect(platform.hosts[0].peers).await;
            process.signal(Signal::Stop).expect("the node runs");
            set_evacuated(platform, "pos", true);
            wait_evacuated(platform, 1, "pos", true);
            requests.extend((0..LATE).map(|number| send(100 + 2 * number)));
            peer.send(scripted_request(1)).await;
            // By the end of this time the target has answered all requests that it has.
            thread::sleep(Duration::from_millis(2_700));
            let resumed_at = Instant::now();
            process.signal(Signal::Cont).expect("the node runs");
            let reply = describe(&peer.next_reply().await);
            expect_that!(&*reply, eq("refused evacuated"));
            // Without a reply of the other node, the guard waits for 1 s.
            expect_that!(resumed_at.elapsed(), lt(Duration::from_secs(1)));
            resumed_at
        });
        let answers = requests
            .into_iter()
            .map(|request| request.join().expect("no panic"));
        let answers: Vec<_> = answers.collect();
        // The answers of the second node take longer on a busy machine than the refusals.
        expect_that!(resumed_at.elapsed(), lt(Duration::from_secs(3)));
        let line = process.wait_line("configuration checked after a suspension", WAIT_TIMEOUT);
        expect_that!(line, ok(contains_substring("confirmed: true")));
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

/// Guards against a request that runs in an evacuated data centre because its entry continues the exchange
/// on another connection, and against one in flight there whose answer is lost with its first connection.
#[gtest]
fn continued_exchange_starts_nothing_in_an_evacuated_data_centre() {
    for is_suspended in [false, true] {
        let (platform, store) = start_with_proxy(&TWO_DATA_CENTRES[..2]);
        let slow = ScriptedTarget::start(|head| {
            ScriptedReply::After(Duration::from_millis(3_000), answer(head, "200 OK", "pos"))
        });
        announce(&platform, 0, &slow, &[0, 1]);
        cut_off(&store);
        let process = &platform.hosts[0].process;
        run_script(async {
            let mut conns = Vec::new();
            for _ in 0..=SLOTS + 2 {
                conns.push(ScriptedPeer::connect(platform.hosts[0].peers).await);
            }
            let mut second_of_queued = conns.pop().expect("a connection");
            let mut second_of_started = conns.pop().expect("a connection");
            for (id, conn) in (0..).zip(&mut conns) {
                conn.send(scripted_request(id)).await;
            }
            wait_queued(&platform, 1);
            // The guard counts a request as started before the target has read it.
            wait_until("the started requests at the target", WAIT_TIMEOUT, || {
                slow.received_heads().len() == SLOTS
            })
            .expect("the started requests");
            // The scripted entry sends the requests in order, but the node may read them in another.
            let started: Vec<usize> = (0..=SLOTS)
                .filter(|id| {
                    let is_this = |head: &String| head.contains(&format!("request-id: p{id}\r"));
                    slow.received_heads().iter().any(is_this)
                })
                .collect();
            let queued = (0..=SLOTS).find(|id| !started.contains(id));
            let queued = queued.expect("a queued request");
            if is_suspended {
                process.signal(Signal::Stop).expect("the node runs");
            }
            set_evacuated(&platform, "pos", true);
            wait_evacuated(&platform, 1, "pos", true);
            thread::sleep(Duration::from_millis(1_200));
            let resume = |id: usize| PeerMessage::Resume {
                key: request_key(id as u128),
                deadline: now().saturating_add_millis(6_000),
            };
            second_of_queued.send(resume(queued)).await;
            second_of_started.send(resume(started[0])).await;
            if is_suspended {
                thread::sleep(Duration::from_millis(2_000));
                process.signal(Signal::Cont).expect("the node runs");
            }
            let reply = describe(&second_of_queued.next_reply().await);
            expect_that!(
                &*reply,
                any![eq("refused evacuated"), eq("fence Fenced")],
                "{is_suspended}"
            );
            let reply = describe(&second_of_started.next_reply().await);
            expect_that!(&*reply, eq("response 200"), "{is_suspended}");
        });
        expect_that!(slow.received_heads().len(), eq(SLOTS), "{is_suspended}");
    }
}

/// Guards against a hedge that runs in an evacuated data centre because it became due while its entry was
/// suspended, and against one that fails its request.
#[gtest]
fn hedges_run_nothing_in_an_evacuated_data_centre() {
    // No more than the slots of a target, so that no latency includes a wait.
    const CALLERS: usize = SLOTS;
    const REQUESTS_PER_CALLER: usize = 10;
    const SLOW_REQUESTS: usize = 8;
    let (platform, store) = start_with_proxy(&TWO_DATA_CENTRES[..3]);
    let targets: Vec<_> = (0..3)
        .map(|_| {
            ScriptedTarget::start(|head| {
                let is_slow = head.contains(" /safe/slow ");
                let delay_ms = if is_slow { 4_000 } else { 300 };
                ScriptedReply::After(
                    Duration::from_millis(delay_ms),
                    answer(head, "200 OK", "stock"),
                )
            })
        })
        .collect();
    for (i, target) in targets.iter().enumerate() {
        announce(&platform, i, target, &[0, 1, 2]);
    }
    cut_off(&store);
    let received = |path: &str| -> Vec<usize> {
        let count = |target: &ScriptedTarget| {
            let heads = target.received_heads();
            heads.iter().filter(|head| head.contains(path)).count()
        };
        targets.iter().map(count).collect()
    };
    let send =
        |path: &str, number: usize| send_patient(&platform, 0, "GET", path, &format!("r-{number}"));
    thread::scope(|scope| {
        // Without known latencies and saved hedges, nothing is hedged.
        for number in 0..CALLERS {
            scope.spawn(move || {
                for round in 0..REQUESTS_PER_CALLER {
                    send("/safe/a", number * REQUESTS_PER_CALLER + round);
                }
            });
        }
    });
    thread::scope(|scope| {
        let slow = (0..SLOW_REQUESTS).map(|i| scope.spawn(move || send("/safe/slow", 1_000 + i)));
        let slow: Vec<_> = slow.collect();
        wait_until("slow requests", WAIT_TIMEOUT, || {
            received("/safe/slow").iter().sum::<usize>() >= SLOW_REQUESTS
        })
        .expect("the targets have the requests");
        let process = &platform.hosts[0].process;
        process.signal(Signal::Stop).expect("the node runs");
        let before = received("/safe/slow");
        set_evacuated(&platform, "pos", true);
        for i in 1..3 {
            wait_evacuated(&platform, i, "pos", true);
        }
        // Twice the 95th percentile of the latencies has passed by then.
        thread::sleep(Duration::from_millis(1_500));
        process.signal(Signal::Cont).expect("the node runs");
        for request in slow {
            let text = request.join().expect("no panic");
            expect_that!(text, starts_with("HTTP/1.1 200"));
        }
        let after = received("/safe/slow");
        expect_that!((after[0], after[2]), eq((before[0], before[2])));
        expect_that!(after[1], gt(before[1]));
        expect_that!(metric(&platform, 0, "plantainpost_entry_hedge"), gt(0));
    });
}
