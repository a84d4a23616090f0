//! Evacuations of data centres, with real nodes on the platform.

use std::{
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use plantainpost_standin::{
    log::{DownMode, LogFaults},
    process::{Signal, wait_until},
    proxy::{Proxy, ProxyFaults},
};

use crate::{
    evacuation_fixture::{
        EvacuationFleet, ROUTES, TWO_DATA_CENTRES, admin, data_centre, metric, publish_routes,
        set_evacuated, start_nodes, usage, wait_evacuated,
    },
    fleet_fixture::WAIT_TIMEOUT,
    platform_fixture::{
        ScriptedReply, ScriptedTarget, answer, body, exchange, request_head, start_process,
    },
};

/// Time within which an evacuation is in force at all nodes. The requirement is 5 s.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);

/// Guards against requests that reach a target in an evacuated data centre, against failed requests
/// while the load shifts, and against a data centre that gets no requests after its return.
#[gtest]
fn evacuation_is_in_force_while_callers_send() {
    let fleet = EvacuationFleet::start(TWO_DATA_CENTRES, ROUTES);
    let (stop, sent) = (AtomicBool::new(false), AtomicUsize::new(0));
    let send = |i: usize| {
        let mut failed = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let number = sent.fetch_add(1, Ordering::Relaxed);
            let (method, path) = [("GET", "/safe/a"), ("POST", "/once/a")][number % 2];
            let text = fleet.platform.send(i, method, path, &format!("r-{number}"));
            if !text.starts_with("HTTP/1.1 200") {
                failed.push(text);
            }
        }
        failed
    };
    thread::scope(|scope| {
        let callers: Vec<_> = (0..16).map(|i| scope.spawn(move || send(i % 4))).collect();
        thread::sleep(Duration::from_millis(500));
        fleet.evacuate("pos");
        thread::sleep(IN_FORCE_LIMIT);
        let before = fleet.received();
        for i in 0..4 {
            fleet.announce(i, 2);
        }
        thread::sleep(Duration::from_secs(1));
        let after = fleet.received();
        expect_that!((after[0], after[2]), eq((before[0], before[2])));
        expect_that!(after[1], gt(before[1]));
        expect_that!(after[3], gt(before[3]));
        for i in 0..4 {
            expect_that!(
                metric(&fleet.platform, i, "plantainpost_fleet_evacuated"),
                eq(1)
            );
            let pos = data_centre(&fleet.platform, i, "pos");
            expect_true!(pos["evacuated"] == true, "{pos}");
            expect_true!(pos["offset"] == 1 && pos["members"] == 2, "{pos}");
            let usage = usage(&fleet.platform, i, 0);
            expect_true!(usage == "its data centre is evacuated", "{usage}");
        }
        let process = &fleet.platform.hosts[1].process;
        let line = process.wait_line("evacuation of a data centre", WAIT_TIMEOUT);
        expect_that!(line, ok(contains_substring("offset: 1,")));
        fleet.end_evacuation("pos");
        fleet.wait_for_requests_at(&[0, 2]);
        expect_that!(
            metric(&fleet.platform, 0, "plantainpost_fleet_evacuated"),
            eq(0)
        );
        let returned = fleet.received();
        expect_that!(returned[0], gt(after[0]));
        expect_that!(returned[2], gt(after[2]));
        stop.store(true, Ordering::Relaxed);
        for caller in callers {
            expect_that!(caller.join().expect("no panic"), is_empty());
        }
    });
}

/// Guards against an evacuation that a node does not learn of because the store refuses it, or because
/// it restarts at the same time.
#[gtest]
fn evacuation_reaches_refused_and_restarting_nodes() {
    let mut proxies = Vec::new();
    let mut fleet =
        EvacuationFleet::start_with_store_addresses(TWO_DATA_CENTRES, ROUTES, |_, store| {
            proxies.push(Proxy::start(store).expect("the proxy starts"));
            proxies.last().expect("a proxy").address()
        });
    proxies[0].set_faults(ProxyFaults {
        close_new_connections: true,
        ..Default::default()
    });
    proxies[0].cut_connections();
    let host = &mut fleet.platform.hosts[2];
    host.process.signal(Signal::Kill).expect("the node runs");
    host.process.wait_exit(WAIT_TIMEOUT).expect("an end");
    fleet.evacuate("pos");
    let start = Instant::now();
    // Before the restart, because a node that restarts announces its configuration to all peers.
    wait_evacuated(&fleet.platform, 0, "pos", true);
    expect_that!(start.elapsed(), lt(IN_FORCE_LIMIT));
    let host = &mut fleet.platform.hosts[2];
    host.process = start_process(&host.settings);
    fleet.platform.wait_readyz(2, "200");
    wait_evacuated(&fleet.platform, 2, "pos", true);
    fleet.announce(2, 2);
    fleet.wait_until_ready(2);
    let before = fleet.received();
    for number in 0..40 {
        let text = fleet
            .platform
            .get(number % 4, "/safe/a", &format!("r-{number}"));
        expect_that!(text, starts_with("HTTP/1.1 200"));
    }
    let after = fleet.received();
    expect_that!((after[0], after[2]), eq((before[0], before[2])));
}

/// Guards against an evacuation that stays in force because its removal was written while no node could
/// read the store, or because the record of the removal has expired by then.
#[gtest]
fn removal_during_an_outage_of_the_store_ends_the_evacuation() {
    let fleet = EvacuationFleet::start(TWO_DATA_CENTRES, ROUTES);
    for (version, is_expired) in [(2, false), (3, true)] {
        fleet.evacuate("pos");
        for i in 0..4 {
            wait_evacuated(&fleet.platform, i, "pos", true);
            fleet.announce(i, version);
        }
        fleet.platform.store.set_faults(LogFaults {
            down: DownMode::Close,
            ..Default::default()
        });
        thread::sleep(Duration::from_millis(1_500));
        fleet.end_evacuation("pos");
        if is_expired {
            publish_routes(&fleet.platform, version, ROUTES);
            fleet.platform.store.expire_all_but_newest("keyed.op");
        }
        expect_true!(data_centre(&fleet.platform, 1, "pos")["evacuated"] == true);
        fleet.platform.store.set_faults(LogFaults::default());
        let start = Instant::now();
        for i in 0..4 {
            wait_evacuated(&fleet.platform, i, "pos", false);
        }
        expect_that!(start.elapsed(), lt(Duration::from_secs(4)), "{is_expired}");
        fleet.wait_for_requests_at(&[0, 2]);
    }
}

/// Guards against requests that wait at a guard of an evacuated data centre, or run there, although
/// another data centre could take them, and against requests in flight there that are cut.
#[gtest]
fn queued_requests_are_moved() {
    const SLOTS: usize = 12;
    const QUEUED: usize = 6;
    let platform = start_nodes(&[("pos", "tt"), ("arima", "tt")], |_, store| store);
    publish_routes(&platform, 1, ROUTES);
    let slow = ScriptedTarget::start(|head| {
        ScriptedReply::After(Duration::from_millis(2_500), answer(head, "200 OK", "pos"))
    });
    let fast = ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "arima")));
    platform.announce(0, &slow, "i-0", 1, "ready");
    for i in 0..2 {
        platform.wait_readyz(i, "200");
        wait_until("the target is known", WAIT_TIMEOUT, || {
            !usage(&platform, i, 0).is_null()
        })
        .expect("the target is known");
    }
    let (callers, start) = (platform.hosts[1].callers, Instant::now());
    let requests: Vec<_> = (0..SLOTS + QUEUED)
        .map(|number| {
            let head = request_head(
                "POST",
                "/once/a",
                &format!("r-{number}"),
                "Connection: close\r\n",
            );
            let head =
                String::from_utf8_lossy(&head).replace("Deadline-Ms: 3000", "Deadline-Ms: 7500");
            thread::spawn(move || (exchange(callers, head.as_bytes()), start.elapsed()))
        })
        .collect();
    wait_until("queued requests", WAIT_TIMEOUT, || {
        admin(&platform, 0, "/v1/status")["guard"]["queued"] == QUEUED
    })
    .expect("requests are queued");
    platform.announce(1, &fast, "i-1", 1, "ready");
    wait_until("the target is known", WAIT_TIMEOUT, || {
        !usage(&platform, 1, 1).is_null()
    })
    .expect("the target is known");
    set_evacuated(&platform, "pos", true);
    let answers: Vec<_> = requests
        .into_iter()
        .map(|r| r.join().expect("no panic"))
        .collect();
    let count = |wanted: &str| {
        answers
            .iter()
            .filter(|(text, _)| body(text) == wanted)
            .count()
    };
    expect_that!(
        (count("pos"), count("arima")),
        eq((SLOTS, QUEUED)),
        "{answers:?}"
    );
    for (text, delay) in answers.iter().filter(|(text, _)| body(text) == "arima") {
        expect_that!(*delay, lt(Duration::from_millis(2_400)), "{text}");
    }
    expect_that!(slow.received_heads().len(), eq(SLOTS));
    expect_that!(
        metric(&platform, 0, "plantainpost_guard_refused_evacuated"),
        eq(QUEUED as u64)
    );
}

/// Guards against requests that run in an evacuated data centre, or fail although another one could take
/// them, because their entry was suspended while the data centre was evacuated.
#[gtest]
fn suspended_entry_runs_nothing_in_an_evacuated_data_centre() {
    let places = [("sando", "tt"), ("pos", "tt"), ("arima", "tt")];
    let fleet = EvacuationFleet::start(&places, ROUTES);
    let entry = &fleet.platform.hosts[0];
    entry.process.signal(Signal::Stop).expect("the node runs");
    for data_centre in ["sando", "pos"] {
        fleet.evacuate(data_centre);
        for i in [1, 2] {
            wait_evacuated(&fleet.platform, i, data_centre, true);
        }
    }
    let before = fleet.received();
    thread::scope(|scope| {
        let waiting: Vec<_> = (0..20)
            .map(|number| {
                let platform = &fleet.platform;
                scope.spawn(move || platform.send(0, "POST", "/once/a", &format!("r-{number}")))
            })
            .collect();
        // After less than 1 s, the node would rely on its configuration.
        thread::sleep(Duration::from_millis(1_200));
        entry.process.signal(Signal::Cont).expect("the node runs");
        for request in waiting {
            let text = request.join().expect("no panic");
            expect_that!(text, starts_with("HTTP/1.1 200"));
        }
    });
    let after = fleet.received();
    expect_that!((after[0], after[1]), eq((before[0], before[1])));
    expect_that!(after[2], eq(before[2] + 20));
}
