//! A node is stopped and started again. The endpoint beside it leaves with `DELETE`, which the node
//! acknowledges. A heartbeat that the endpoint sent before that arrives afterwards.

use std::time::Duration;

use super::{Clients, DRAIN, Route, STABILITY_WINDOW, configuration};
use crate::{
    endpoint::Endpoint,
    node::{Node, NodeSettings, TempDir},
    record::Record,
    store::Store,
};

const SERVICE: &str = "pay-desk";

/// Time by which the heartbeat is late.
const BEAT_DELAY: Duration = Duration::from_millis(3_000);

/// Time for which the endpoint goes on serving after the acknowledgement.
const SERVES_AFTER: Duration = Duration::from_millis(7_000);

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let dir = TempDir::new();
    let store = Store::start();
    let route = Route {
        prefix: "/swap/",
        kind: "unsafe",
        service: SERVICE,
        timeout_ms: 1_500,
        latency_target_ms: 800,
    };
    store.put("keyed.op", "config", configuration(4, &[route]).as_bytes());
    let start = |name: &str, zone: &str| {
        let cfg = NodeSettings {
            name: name.to_owned(),
            zone: zone.to_owned(),
            service: SERVICE.to_owned(),
            store: store.addr,
        };
        Node::start(&dir, &cfg, record)
    };
    let mut node = start("sidecar-kumasi-a-1", "kumasi-a");
    let other = start("sidecar-kumasi-b-1", "kumasi-b");
    let leaving = Endpoint::start("i-leaving", SERVICE, "kumasi-a", node.control, 290, record);
    let staying = Endpoint::start("i-staying", SERVICE, "kumasi-b", other.control, 290, record);
    leaving.start_beats();
    staying.start_beats();
    let clients = Clients::new(record);
    for node in [&node, &other] {
        node.wait_ready()?;
        clients.wait_until_served("/swap/1", node.outbound)?;
    }
    std::thread::sleep(STABILITY_WINDOW);

    // Clients use the other node from here on.
    let mut sent = 0;
    let mut send_until = |until: Duration| {
        while record.now() < until {
            clients.send(
                &format!("c-{sent}"),
                "POST",
                "/swap/1",
                other.outbound,
                3_000,
            );
            sent += 1;
            std::thread::sleep(Duration::from_millis(50));
        }
    };
    send_until(record.now() + Duration::from_secs(2));
    // Heartbeats of the endpoint are sent one by one from here on.
    leaving.stop_beats();
    std::thread::sleep(Duration::from_millis(1_500));
    if has_trouble {
        node.signal("TERM");
        node.wait_for_end(Duration::from_secs(6));
        node.start_again();
        node.wait_ready()?;
    } else {
        leaving.send_beat();
    }
    let started_at = record.now();
    let late_beat = leaving.next_beat();
    let beat_sent_at = record.write("i-leaving sends a heartbeat, which the network delays");
    send_until(started_at + Duration::from_millis(200));
    if leaving.say_gone() != 200 {
        return Err("the leave was not acknowledged".to_owned());
    }
    let acknowledged_at = record.now();
    send_until(beat_sent_at + BEAT_DELAY);
    leaving.deliver(&late_beat, "delayed heartbeat arrives,");
    send_until(acknowledged_at + SERVES_AFTER);
    leaving.end();
    let ended_at = record.now();
    send_until(ended_at + Duration::from_secs(1));
    let answers = clients.finish();

    // The node that was started again is in touch after the stability window.
    let from = (acknowledged_at + DRAIN).max(started_at + STABILITY_WINDOW);
    let arrivals = leaving.arrivals();
    let late: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.at > from)
        .collect();
    for arrival in &late {
        let after = arrival.at - acknowledged_at;
        record.write(&format!(
            "DRAIN broken: request {} reached the endpoint {} ms after the acknowledgement of its leaving",
            arrival.id,
            after.as_millis()
        ));
    }
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    record.write(&format!(
        "{} of {} requests answered with 200; {} reached the leaving endpoint later than 2000 ms",
        served,
        answers.len(),
        late.len()
    ));
    Ok(!late.is_empty())
}
