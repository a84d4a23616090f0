//! Endpoints shed part of their requests. Clients send a `HEAD` request and then one that may run
//! once only, on the same kept connection.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use super::{Clients, HOST, Route, STABILITY_WINDOW, configuration};
use crate::{
    endpoint::Endpoint,
    http,
    node::{Node, NodeSettings, TempDir},
    record::Record,
    store::Store,
};

const SERVICE: &str = "pay-desk";
const ZONES: [&str; 3] = ["kumasi-a", "kumasi-b", "obuasi"];

/// Time of the endpoints for a request.
const WORK_MS: u64 = 55;

/// Connections of clients to each node, and rounds on each.
const CONNECTIONS: usize = 4;
const ROUNDS: usize = 15;

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let dir = TempDir::new();
    let store = Store::start();
    let route = |prefix, kind| Route {
        prefix,
        kind,
        service: SERVICE,
        timeout_ms: 1_500,
        latency_target_ms: 800,
    };
    let routes = [route("/look/", "safe"), route("/swap/", "unsafe")];
    store.put("keyed.op", "config", configuration(4, &routes).as_bytes());
    let nodes = ZONES.map(|zone| {
        let cfg = NodeSettings {
            name: format!("sidecar-{zone}-1"),
            zone: zone.to_owned(),
            service: SERVICE.to_owned(),
            store: store.addr,
        };
        Node::start(&dir, &cfg, record)
    });
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
        clients.wait_until_served("/look/1", node.outbound)?;
    }
    thread::sleep(STABILITY_WINDOW);

    if has_trouble {
        for endpoint in &endpoints {
            endpoint.set_shed_percent(55);
        }
    }
    let mut threads = Vec::new();
    for (i, node) in nodes.iter().enumerate() {
        for j in 0..CONNECTIONS {
            let (record, to) = (record.clone(), node.outbound);
            let name = format!("{i}-{j}");
            threads.push(thread::spawn(move || use_connection(&record, &name, to)));
        }
    }
    let mut broken = 0;
    for thread in threads {
        let seen = thread.join().map_err(|_| "a client failed".to_owned())?;
        broken += usize::from(seen.map_err(|e| e.to_string())?);
    }
    record.write(&format!("MIXED broken on {broken} connections"));
    Ok(broken > 0)
}

/// Sends pairs of requests on one connection. Returns whether bytes arrived that are no answer.
fn use_connection(record: &Record, name: &str, to: SocketAddr) -> std::io::Result<bool> {
    let mut io = TcpStream::connect(to)?;
    io.set_read_timeout(Some(Duration::from_secs(5)))?;
    for round in 0..ROUNDS {
        let id = format!("head-{name}-{round}");
        send(record, &mut io, "HEAD /look/1", &id)?;
        // The answer to HEAD has no body, whatever its headers say.
        let Some(head) = read_head(&mut io)? else {
            record.write(&format!("request {id}: the connection is closed"));
            return Ok(false);
        };
        let start = head.lines().next().unwrap_or_default().to_owned();
        record.write(&format!("request {id} answered: {start}"));
        let id = format!("swap-{name}-{round}");
        send(record, &mut io, "POST /swap/1", &id)?;
        let mut first = [0; 9];
        if io.read_exact(&mut first).is_err() {
            record.write(&format!("request {id}: the connection is closed"));
            return Ok(false);
        }
        if first != *b"HTTP/1.1 " {
            let text = String::from_utf8_lossy(&first).into_owned();
            record.write(&format!(
                "MIXED broken: the answer to {id} begins with {text:?}"
            ));
            return Ok(true);
        }
        let Some(answer) = http::read_message(&mut first.chain(&mut io))? else {
            return Ok(false);
        };
        record.write(&format!("request {id} answered: {}", answer.start));
    }
    Ok(false)
}

fn send(record: &Record, io: &mut TcpStream, start: &str, id: &str) -> std::io::Result<()> {
    record.write(&format!("request {id} sent"));
    let request = format!(
        "{start} HTTP/1.1\r\nHost: {HOST}\r\nPlantainpost-Request-Id: {id}\r\n\
         Plantainpost-Deadline-Ms: 3000\r\n\r\n"
    );
    io.write_all(request.as_bytes())
}

/// Reads up to the empty line after the headers. Returns `None` at the end of the connection.
fn read_head(io: &mut TcpStream) -> std::io::Result<Option<String>> {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") {
        match io.read(&mut byte)? {
            0 => return Ok(None),
            _ => head.push(byte[0]),
        }
    }
    Ok(Some(String::from_utf8_lossy(&head).into_owned()))
}
