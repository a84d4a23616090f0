//! A node freezes and wakes again. Requests that it had not read are sent to another node as well,
//! and their bodies are longer than what the node of the clients keeps of a body.

use std::time::Duration;

use super::{Clients, Route, STABILITY_WINDOW, configuration};
use crate::{
    endpoint::Endpoint,
    node::{Node, NodeSettings, TempDir},
    record::Record,
    store::Store,
};

const SERVICE: &str = "field-office";

/// Length of the bodies, in bytes.
const BODY_BYTES: usize = 200_000;

/// Times of the two endpoints for a request. Endpoints of one service differ in speed.
const WORK_MS: u64 = 880;
const SLOWER_WORK_MS: u64 = 1_760;

/// Time for which the node is frozen.
const FREEZE: Duration = Duration::from_millis(1_100);

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let dir = TempDir::new();
    let store = Store::start();
    let route = Route {
        prefix: "/field/",
        kind: "safe",
        service: SERVICE,
        timeout_ms: 5_000,
        latency_target_ms: 2_000,
    };
    store.put("keyed.op", "config", configuration(4, &[route]).as_bytes());
    let start = |name: &str, zone: &str, service: &str| {
        let cfg = NodeSettings {
            name: name.to_owned(),
            zone: zone.to_owned(),
            service: service.to_owned(),
            store: store.addr,
        };
        Node::start(&dir, &cfg, record)
    };
    let entry = start("sidecar-kumasi-a-1", "kumasi-a", "rota-board");
    let frozen = start("sidecar-kumasi-b-1", "kumasi-b", SERVICE);
    let other = start("sidecar-obuasi-1", "obuasi", SERVICE);
    let at = |id: &str, zone: &str, node: &Node, work_ms: u64| {
        let endpoint = Endpoint::start(id, SERVICE, zone, node.control, work_ms, record);
        endpoint.start_beats();
        endpoint
    };
    let endpoints = [
        at("i-kumasi-b", "kumasi-b", &frozen, WORK_MS),
        at("i-obuasi", "obuasi", &other, SLOWER_WORK_MS),
    ];
    let clients = Clients::new(record);
    for node in [&entry, &frozen, &other] {
        node.wait_ready()?;
    }
    clients.wait_until_served("/field/1", entry.outbound)?;
    std::thread::sleep(STABILITY_WINDOW);
    // Usual requests open the connections between the nodes.
    for i in 0..60 {
        clients.send(
            &format!("usual-{i}"),
            "GET",
            "/field/1",
            entry.outbound,
            10_000,
        );
        std::thread::sleep(Duration::from_millis(100));
    }
    clients.finish();

    let body = vec![b'x'; BODY_BYTES];
    if has_trouble {
        frozen.signal("STOP");
    }
    for i in 0..6 {
        clients.send_chunked(
            &format!("long-{i}"),
            "/field/1",
            &body,
            entry.outbound,
            10_000,
        );
    }
    std::thread::sleep(FREEZE);
    if has_trouble {
        frozen.signal("CONT");
    }
    let answers = clients.finish();
    std::thread::sleep(Duration::from_secs(2));

    let mut is_broken = false;
    for endpoint in &endpoints {
        let arrivals = endpoint.arrivals();
        let changed = |id: &str, bytes: usize| id.starts_with("long-") && bytes != BODY_BYTES;
        for arrival in arrivals.iter().filter(|a| changed(&a.id, a.body_bytes)) {
            is_broken = true;
            record.write(&format!(
                "UNASKED broken: an endpoint ran request {} with a body of {} bytes, and the client \
                 sent {BODY_BYTES}",
                arrival.id, arrival.body_bytes
            ));
        }
    }
    let whole = format!("worked on {BODY_BYTES} bytes");
    let wrong = answers.iter().filter(|answer| {
        answer.id.starts_with("long-") && answer.status == 200 && answer.body != whole
    });
    for answer in wrong {
        record.write(&format!("request {} got 200: {}", answer.id, answer.body));
    }
    Ok(is_broken)
}
