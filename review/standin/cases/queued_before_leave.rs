//! Endpoints of a service become slow while many users come. Requests queue beside an endpoint,
//! which then says that it leaves.

use std::time::Duration;

use super::{Clients, DRAIN, Route, configuration};
use crate::{
    endpoint::Endpoint,
    node::{Node, NodeSettings, TempDir},
    record::Record,
    store::Store,
};

const SERVICE: &str = "field-office";
const ZONES: [&str; 3] = ["kumasi-a", "kumasi-b", "obuasi"];

/// Usual time of the endpoints for a request.
const WORK_MS: u64 = 880;
/// Factor of `srv_slow`.
const SLOW_FACTOR: u64 = 12;
/// Requests a second, usually and in the burst of 1.7 times that.
const USUAL_RATE: f64 = 9.29;
const BURST_RATE: f64 = USUAL_RATE * 1.7;

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
    let nodes: Vec<Node> = ZONES
        .iter()
        .map(|zone| {
            let cfg = NodeSettings {
                name: format!("sidecar-{zone}-1"),
                zone: (*zone).to_owned(),
                service: SERVICE.to_owned(),
                store: store.addr,
            };
            Node::start(&dir, &cfg, record)
        })
        .collect();
    let endpoints: Vec<Endpoint> = nodes
        .iter()
        .zip(ZONES)
        .map(|(node, zone)| {
            let id = format!("i-{zone}");
            let endpoint = Endpoint::start(&id, SERVICE, zone, node.control, WORK_MS, record);
            endpoint.start_beats();
            endpoint
        })
        .collect();
    let clients = Clients::new(record);
    for node in &nodes {
        node.wait_ready()?;
        clients.wait_until_served("/field/1", node.outbound)?;
    }
    // The nodes must know each other's endpoints, and be in touch for a while.
    std::thread::sleep(Duration::from_secs(3));

    let mut sent = 0;
    let mut send_until = |until: Duration, rate: f64| {
        while record.now() < until {
            let node = &nodes[sent % nodes.len()];
            clients.send(
                &format!("c-{sent}"),
                "GET",
                "/field/1",
                node.outbound,
                10_000,
            );
            sent += 1;
            std::thread::sleep(Duration::from_secs_f64(1.0 / rate));
        }
    };
    let slow_at = record.now() + Duration::from_secs(5);
    send_until(slow_at, USUAL_RATE);
    if has_trouble {
        for endpoint in &endpoints {
            endpoint.set_work_ms(WORK_MS * SLOW_FACTOR);
        }
    }
    let rate = if has_trouble { BURST_RATE } else { USUAL_RATE };
    send_until(slow_at + Duration::from_millis(2_900), rate);
    let leaving = &endpoints[2];
    if leaving.say_draining() != 200 {
        return Err("the leave was not acknowledged".to_owned());
    }
    let acknowledged_at = record.now();
    // The endpoint serves for a few seconds more than `drainMs`.
    send_until(acknowledged_at + Duration::from_secs(4), USUAL_RATE);
    leaving.stop_beats();
    clients.finish();

    let bound = acknowledged_at + DRAIN;
    let arrivals = leaving.arrivals();
    let late: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.at > bound)
        .collect();
    for arrival in &late {
        let after = arrival.at - acknowledged_at;
        record.write(&format!(
            "DRAIN broken: request {} reached the endpoint {} ms after the acknowledgement of its leaving",
            arrival.id,
            after.as_millis()
        ));
    }
    record.write(&format!(
        "{} requests reached it later than {} ms",
        late.len(),
        DRAIN.as_millis()
    ));
    Ok(!late.is_empty())
}
