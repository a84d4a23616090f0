//! Connections between nodes that stay open and carry nothing.

use std::{thread, time::Duration};

use googletest::prelude::*;
use plantainpost_standin::proxy::ProxyFaults;

use crate::{
    fault_cases::{Fault, LONG_FAULT_MS, LinkedFleet, SHORT_FAULT_MS, case, run_cases, step},
    http_client::{outcome_header, request_with_timeout},
};

fn silence_after(to_server: Option<u64>, to_client: Option<u64>) -> Fault {
    Fault::Connections(ProxyFaults {
        silence_after_bytes_to_server: to_server,
        silence_after_bytes_to_client: to_client,
        ..Default::default()
    })
}

/// Guards against violated guarantees when connections fall silent in the handshake, or in the
/// head or body of a request or an answer, once or again while exchanges are continued.
#[gtest]
fn guarantees_hold_when_connections_fall_silent() {
    let all_open = || step(SHORT_FAULT_MS, [Fault::SilenceConnections]);
    let at = |to_server, to_client| [step(LONG_FAULT_MS, [silence_after(to_server, to_client)])];
    let cases = [
        case("all open connections", [all_open()]),
        case(
            "all open connections five times",
            Vec::from_iter((0..5).map(|_| all_open())),
        ),
        case("handshake, to the server", at(Some(40), None)),
        case("head, to the server", at(Some(300), None)),
        case("body, to the server", at(Some(20_000), None)),
        case("handshake, to the client", at(None, Some(30))),
        case("head, to the client", at(None, Some(200))),
        case("body, to the client", at(None, Some(20_000))),
        case("both directions", at(Some(700), Some(700))),
        case(
            "silent while the guard is suspended",
            [step(
                SHORT_FAULT_MS,
                [Fault::SilenceConnections, Fault::FreezeGuard],
            )],
        ),
    ];
    expect_that!(run_cases(&cases), is_empty());
}

/// Guards against requests that wait for their deadline on a connection that carries nothing any
/// more: idle connections of the pool, and those of requests in flight. No answer of a target is
/// lost, also of requests that may not be repeated.
#[gtest]
fn silent_connections_do_not_cost_the_deadline() {
    let linked = LinkedFleet::start(1);
    let callers = linked.fleet.nodes[0].callers;
    let send = |method: &'static str, nonce: String| {
        thread::spawn(move || {
            // Longer than a few intervals between signs of life.
            let work = "x-work-us: 900000\r\n";
            request_with_timeout(callers, (method, "stock"), (&nonce, 8_000), work)
        })
    };
    for round in 0..3 {
        let methods = ["GET", "POST"].into_iter().cycle().take(12);
        let start = |phase: &str| {
            let methods = methods.clone().enumerate();
            Vec::from_iter(methods.map(|(i, method)| send(method, format!("{round}-{phase}-{i}"))))
        };
        let mut in_flight = start("before");
        thread::sleep(Duration::from_millis(300));
        for link in &linked.links {
            link.tcp.silence_connections();
        }
        in_flight.extend(start("after"));
        for request in in_flight {
            let text = request.join().expect("no panic");
            expect_that!(
                outcome_header(&text),
                eq("answered"),
                "round {round}: {text}"
            );
        }
    }
    for (round, phase, i) in (0..3).flat_map(|round| {
        ["before", "after"]
            .into_iter()
            .flat_map(move |phase| (1..12).step_by(2).map(move |i| (round, phase, i)))
    }) {
        let nonce = format!("{round}-{phase}-{i}");
        let targets = linked.fleet.targets.iter();
        let runs: u64 = targets.map(|target| target.execution_count(&nonce)).sum();
        expect_that!(runs, eq(1), "{nonce}");
    }
}
