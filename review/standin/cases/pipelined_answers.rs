//! Clients send two safe requests on a kept connection, the second before the first is answered. The
//! endpoint of the first is slow. The answer to the second is ready at once, but comes after the
//! first one.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use super::{Clients, HOST, Route, STABILITY_WINDOW, configuration};
use crate::{
    endpoint::Endpoint,
    http,
    node::{Node, NodeSettings, TempDir},
    record::Record,
    store::Store,
};

/// Zone, service, time for a request, and bytes of an answer of each endpoint.
const ENDPOINTS: [(&str, &str, u64, u64); 3] = [
    ("kumasi-a", "rota-board", 220, 300_000),
    ("kumasi-b", "field-office", 880, 0),
    ("obuasi", "pay-desk", 290, 0),
];

/// Factor of `srv_slow`.
const SLOW_FACTOR: u64 = 4;

const CONNECTIONS: usize = 8;

/// "More than three times" breaks the rule.
const ALLOWED: usize = 3;

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let dir = TempDir::new();
    let store = Store::start();
    let routes = [
        Route {
            prefix: "/field/",
            kind: "safe",
            service: "field-office",
            timeout_ms: 5_000,
            latency_target_ms: 2_000,
        },
        Route {
            prefix: "/shift/",
            kind: "safe",
            service: "rota-board",
            timeout_ms: 1_200,
            latency_target_ms: 600,
        },
    ];
    store.put("keyed.op", "config", configuration(4, &routes).as_bytes());
    let nodes = ENDPOINTS.map(|(zone, service, ..)| {
        let cfg = NodeSettings {
            name: format!("sidecar-{zone}-1"),
            zone: zone.to_owned(),
            service: service.to_owned(),
            store: store.addr,
        };
        Node::start(&dir, &cfg, record)
    });
    let endpoints: Vec<Endpoint> = nodes
        .iter()
        .zip(ENDPOINTS)
        .map(|(node, (zone, service, work_ms, answer_bytes))| {
            let id = format!("i-{zone}");
            let endpoint = Endpoint::start(&id, service, zone, node.control, work_ms, record);
            endpoint.set_answer_bytes(answer_bytes);
            endpoint.start_beats();
            endpoint
        })
        .collect();
    let clients = Clients::new(record);
    for node in &nodes {
        node.wait_ready()?;
    }
    let entry = nodes[0].outbound;
    clients.wait_until_served("/field/1", entry)?;
    clients.wait_until_served("/shift/1", entry)?;
    thread::sleep(STABILITY_WINDOW);

    if has_trouble {
        endpoints[1].set_work_ms(ENDPOINTS[1].2 * SLOW_FACTOR);
    }
    let threads: Vec<_> = (0..CONNECTIONS)
        .map(|i| {
            let record = record.clone();
            thread::spawn(move || use_connection(&record, i, entry))
        })
        .collect();
    let mut lost = 0;
    for thread in threads {
        let is_lost = thread.join().map_err(|_| "a client failed".to_owned())?;
        lost += usize::from(is_lost.map_err(|e| e.to_string())?);
    }
    let arrivals = endpoints[0].arrivals();
    let passed_on = arrivals.iter().filter(|a| a.id.starts_with("second-"));
    record.write(&format!(
        "{} second requests were passed on; {lost} connections were closed without a whole answer",
        passed_on.count()
    ));
    if lost > ALLOWED {
        record.write("LOST broken: more than three times");
    }
    Ok(lost > ALLOWED)
}

/// Sends both requests, and returns whether the connection ends without the second answer.
fn use_connection(record: &Record, i: usize, to: SocketAddr) -> std::io::Result<bool> {
    let mut io = TcpStream::connect(to)?;
    let request = |path: &str, id: &str| {
        format!(
            "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nPlantainpost-Request-Id: {id}\r\n\
             Plantainpost-Deadline-Ms: 10000\r\n\r\n"
        )
    };
    let ids = [format!("first-{i}"), format!("second-{i}")];
    let both = request("/field/1", &ids[0]) + &request("/shift/1", &ids[1]);
    record.write(&format!("requests {} and {} sent", ids[0], ids[1]));
    io.write_all(both.as_bytes())?;
    let deadline = Instant::now() + Duration::from_secs(10);
    for id in &ids {
        match http::read_response(&mut io, deadline) {
            Ok(answer) => {
                let length = answer.body.len();
                record.write(&format!(
                    "request {id} answered: {}, {length} bytes",
                    answer.start
                ));
            }
            Err(e) => {
                record.write(&format!(
                    "request {id}: the connection ends without its answer: {e}"
                ));
                return Ok(true);
            }
        }
    }
    Ok(false)
}
