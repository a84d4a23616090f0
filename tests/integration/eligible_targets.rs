//! Guards and entries that decide which targets may get a request, on the platform and without it.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::net::TcpListener;
use googletest::prelude::*;
use plantainpost_core::{admission::RefuseReason, ids::ServiceName};
use plantainpost_wire::message::{BodyLength, PeerMessage, PeerRequestHead};

use crate::{
    evacuation_fixture::{
        EvacuationFleet, ROUTES, admin, publish_routes, set_evacuated, start_nodes, wait_evacuated,
    },
    fleet_fixture::WAIT_TIMEOUT,
    http_client::outcome_header,
    platform_fixture::{ScriptedReply, ScriptedTarget, answer, header},
    scripted_guard::{ScriptedGuardFleet, refused_message, response_message},
    scripted_peer::{ScriptedPeer, describe, post_head, request_key, run_script},
};

/// Sends a request for the service `shelf` to a guard, as an entry that knows nothing of the
/// configuration. Returns the guard's first message as text.
async fn guard_reply(guard: SocketAddr, id: u128) -> String {
    let mut peer = ScriptedPeer::connect(guard).await;
    let id_header = [("plantainpost-request-id", "r")];
    let head = PeerRequestHead {
        service: ServiceName::from("shelf"),
        ..post_head(request_key(id), "n", &id_header)
    };
    peer.send(PeerMessage::Request(head)).await;
    describe(&peer.next_reply().await).to_string()
}

/// Guards against a guard that relies on the entries to respect an evacuation, and against one that lets
/// requests through after its restart, before it has a configuration that may contain an evacuation.
#[gtest]
fn guards_decide_on_their_own() {
    let platform = start_nodes(&[("pos", "tt"), ("arima", "tt")], |_, store| store);
    let target = ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "stock")));
    platform.announce(0, &target, "i-0", 1, "ready");
    let guard = platform.hosts[0].peers;
    run_script(async {
        expect_that!(guard_reply(guard, 1).await, eq("refused no-target"));
        publish_routes(&platform, 1, ROUTES);
        platform.wait_readyz(0, "200");
        expect_that!(guard_reply(guard, 2).await, eq("response 200"));
        set_evacuated(&platform, "pos", true);
        wait_evacuated(&platform, 0, "pos", true);
        expect_that!(guard_reply(guard, 3).await, eq("refused evacuated"));
        set_evacuated(&platform, "pos", false);
        wait_evacuated(&platform, 0, "pos", false);
        expect_that!(guard_reply(guard, 4).await, eq("response 200"));
    });
    expect_that!(target.received_heads().len(), eq(2));
}

/// Guards against an entry that gives up after its usual number of attempts, or waits for its retry
/// budget, while guards that know of an evacuation before it refuse its request.
#[gtest]
fn refusals_for_an_evacuation_are_no_attempts() {
    const GUARDS: usize = 8;
    let scripted = ScriptedGuardFleet::start_with_guards(GUARDS, |_| ());
    let requests = Rc::new(Cell::new(0));
    let caller = run_script(async {
        let mut guards = Vec::new();
        for (i, addr) in scripted.guard_addresses.iter().enumerate() {
            let listener = TcpListener::bind(addr).await.expect("a listener");
            let requests = Rc::clone(&requests);
            guards.push(actix_rt::spawn(async move {
                let mut peer = ScriptedPeer::accept(&listener, &format!("stock-{i}")).await;
                let key = peer.next_request().await.key;
                requests.set(requests.get() + 1);
                let is_last = requests.get() == GUARDS;
                peer.send(match is_last {
                    true => response_message(key, BodyLength::None),
                    false => refused_message(key, RefuseReason::Evacuated),
                })
                .await;
                peer
            }));
        }
        let caller = scripted.send_post(4_000);
        for guard in guards {
            guard.await.expect("a request");
        }
        caller
    });
    let text = caller.join().expect("no panic");
    expect_that!(outcome_header(&text), eq("answered"), "{text}");
    expect_that!(requests.get(), eq(GUARDS));
}

/// Guards against requests that reach a region which their route does not allow, also when the allowed
/// region is evacuated, and against requests without an eligible target that wait. Operators learn of
/// evacuations that leave no data centre, or name none.
#[gtest]
fn requests_stay_in_allowed_regions() {
    let routes = &[
        ("/safe/", "safe", "[]"),
        ("/gh/", "safe", r#"["gh"]"#),
        ("/none/", "safe", r#"["xx"]"#),
    ];
    let fleet = EvacuationFleet::start(
        &[
            ("pos", "tt"),
            ("kumasi", "gh"),
            ("obuasi", "gh"),
            ("arima", "tt"),
        ],
        routes,
    );
    let send = |path: &str| -> Vec<String> {
        let all =
            (0..40).map(|number| fleet.platform.get(number % 4, path, &format!("r-{number}")));
        all.collect()
    };
    let expect_reason = |path: &str, reason: &str| {
        let start = Instant::now();
        for text in send(path) {
            expect_that!(text, starts_with("HTTP/1.1 503"));
            let head = text.to_ascii_lowercase();
            expect_that!(header(&head, "plantainpost-reason"), eq(reason));
            expect_that!(header(&head, "retry-after"), eq("1"));
        }
        expect_that!(start.elapsed(), lt(Duration::from_secs(2)));
    };
    fleet.evacuate("nowhere");
    let before = fleet.received();
    for text in send("/gh/a") {
        expect_that!(text, starts_with("HTTP/1.1 200"));
    }
    let after = fleet.received();
    expect_that!((after[0], after[3]), eq((before[0], before[3])));
    expect_that!(after[1], gt(before[1]));
    expect_that!(after[2], gt(before[2]));
    expect_reason("/none/a", "no-region");
    let explanation = admin(&fleet.platform, 0, "/v1/explain?target=host-0");
    let excluding = explanation["not_allowed_for"].to_string();
    expect_that!(excluding, eq(r#"["route r/none/","route r/gh/"]"#));
    for data_centre in ["kumasi", "obuasi"] {
        fleet.evacuate(data_centre);
        for i in 0..4 {
            wait_evacuated(&fleet.platform, i, data_centre, true);
            fleet.announce(i, 2);
        }
    }
    let before = fleet.received();
    expect_reason("/gh/a", "evacuated");
    expect_that!(fleet.received(), eq(&before));
    for text in send("/safe/a") {
        expect_that!(text, starts_with("HTTP/1.1 200"));
    }
    for data_centre in ["pos", "arima"] {
        fleet.evacuate(data_centre);
        for i in 0..4 {
            wait_evacuated(&fleet.platform, i, data_centre, true);
            fleet.announce(i, 3);
        }
    }
    let before = fleet.received();
    expect_reason("/safe/a", "evacuated");
    expect_that!(fleet.received(), eq(&before));
    let process = &fleet.platform.hosts[0].process;
    for text in [
        "evacuation of all data centres",
        "evacuation of an unknown data centre",
    ] {
        let line = process.wait_line(text, WAIT_TIMEOUT).expect("a log line");
        let is_unknown = line.contains("nowhere");
        expect_that!(is_unknown, eq(text.contains("unknown")), "{line}");
    }
    fleet.end_evacuation("pos");
    let line = process.wait_line("data centres, in_force: false", WAIT_TIMEOUT);
    expect_that!(line, ok(anything()));
}
