//! GONE: clients leave while their uploads wait for an endpoint, which gets the uploads all the same.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    thread,
    time::Duration,
};

use crate::{
    Case,
    client::{self, Request},
    endpoint::Endpoint,
    fleet::{Machine, TempDir, free_ports},
    store::Store,
};

const CONFIG: &str = r#"{"version":7,"routes":{"r-video":{"host":"videos.example","pathPrefix":"/video/","kind":"upload","timeoutMs":8000,"latencyTargetMs":2500,"priority":1,"service":"bodega","attempts":2}},"services":{"bodega":{"healthPath":"/healthz","maxConns":880,"protocol":"h1","tls":false}},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// Uploads that wait, and how many of their clients leave: less than 0.3 of all clients.
const WAITING: usize = 28;
const LEAVING: usize = 15;

/// Time from the start of an upload to the leave of its client. The site files have up to 1.5 s.
const LEAVE_AFTER: Duration = Duration::from_millis(600);

/// Length of the uploads that wait. In the site files the mean is 60,000 bytes, and the maximum is
/// 360,000.
const UPLOAD_BYTES: usize = 160_000;

/// "More than a few" is taken as more than this.
const A_FEW: usize = 5;

fn upload(id: String, work_ms: u64, bytes: usize) -> Request {
    Request {
        id,
        method: "POST",
        host: "videos.example",
        path: format!("/video/w{work_ms}/2f"),
        deadline_ms: 8_000,
        body: vec![b'x'; bytes],
    }
}

pub fn run(case: &Case) -> io::Result<Vec<String>> {
    let record = &case.record;
    let dir = TempDir::new()?;
    let local = IpAddr::from([127, 0, 0, 1]);
    let store_addr = SocketAddr::new(local, free_ports(local, 1)?[0]);
    let store = Store::start(store_addr)?;
    store.put("keyed.op", "config", CONFIG);
    let (mut machines, mut endpoints) = (Vec::new(), Vec::new());
    for (index, zone) in [(1, "gt-central-a"), (2, "gt-central-b")] {
        machines.push(Machine::start(&dir.0, (index, zone, "bodega"), store_addr, &[])?);
    }
    for (i, machine) in machines.iter().enumerate() {
        let (id, place) = (format!("i-{i}"), ("bodega", machine.zone.as_str()));
        let addrs = (machine.app, machine.control);
        endpoints.push(Endpoint::start(&id, place, addrs, record)?);
    }
    for machine in &machines {
        machine.wait_ready()?;
    }
    for endpoint in &endpoints {
        endpoint.wait_registered()?;
    }
    // The machines are in touch after 3 s without a disruption.
    thread::sleep(Duration::from_millis(3_500));
    let outbound = |i: usize| machines[i % 2].outbound;
    // Ordinary traffic, from which the guards learn how long the work takes.
    for round in 0..4 {
        let send = |i| {
            let req = upload(format!("usual{round}-{i:02}"), 500, 20_000);
            client::send(outbound(i), req, record)
        };
        let requests: Vec<_> = (0..16).map(send).collect();
        for request in requests {
            let _ = request.join();
        }
    }
    record.line("uploads that take all slots");
    let send = |i| client::send(outbound(i), upload(format!("first-{i:02}"), 2_300, 20_000), record);
    let first: Vec<_> = (0..24).map(send).collect();
    thread::sleep(Duration::from_millis(200));
    record.line("uploads that wait");
    let (mut waiting, mut leaving) = (Vec::new(), Vec::new());
    for i in 0..WAITING {
        let req = upload(format!("wait-{i:02}"), 500, UPLOAD_BYTES);
        if case.trouble && i < LEAVING {
            let id = req.id.clone();
            leaving.push((id, client::send_and_leave(outbound(i), req, LEAVE_AFTER, record)));
        } else {
            waiting.push(client::send(outbound(i), req, record));
        }
    }
    for request in first.into_iter().chain(waiting) {
        let _ = request.join();
    }
    thread::sleep(Duration::from_millis(1_500));
    let mut late = Vec::new();
    for (id, left) in leaving {
        let left = left.join().map_err(|_| io::Error::other("a client failed"))?;
        for arrival in endpoints.iter().flat_map(Endpoint::arrivals) {
            let is_same = arrival.head.get("plantainpost-request-id") == Some(&*id);
            let after_ms = arrival.at.saturating_duration_since(left).as_millis();
            if is_same && after_ms > 500 {
                late.push(format!(
                    "request {id} reached an endpoint {after_ms} ms after its client had left"
                ));
            }
        }
    }
    for line in &late {
        record.line(line);
    }
    Ok(if late.len() > A_FEW { late } else { Vec::new() })
}
