//! ROUTE: an endpoint falls silent and its address goes to another service. A node whose connection to
//! it breaks sends the request again to that address, and the endpoint of the other service runs it.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Case,
    client::{self, Request},
    endpoint::Endpoint,
    fleet::{Machine, TempDir, free_ports},
    proxy::Proxy,
    store::Store,
};

/// Time from the end of an endpoint to the reuse of its address, in milliseconds; `reuseAfterS` is 2.
const REUSE_AFTER_MS: u64 = 2_100;

/// Time after which the keep-alive of a node ends a silent connection, in milliseconds: the first probe
/// after 1 s, and two probes that are not answered within 1 s each.
const KEEP_ALIVE_MS: u64 = 3_000;

const CONFIG: &str = r#"{"version":7,"routes":{"r-field":{"host":"fields.example","pathPrefix":"/field/","kind":"safe","timeoutMs":5000,"latencyTargetMs":2000,"priority":2,"service":"field-office","attempts":2},"r-shift":{"host":"shifts.example","pathPrefix":"/shift/","kind":"safe","timeoutMs":1200,"latencyTargetMs":600,"priority":2,"service":"rota-board","attempts":2}},"services":{"field-office":{"healthPath":"/healthz","maxConns":260,"protocol":"h1","tls":false},"rota-board":{"healthPath":"/healthz","maxConns":260,"protocol":"h1","tls":false}},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

fn lookup(id: String, work_ms: u64) -> Request {
    Request {
        id,
        method: "GET",
        host: "fields.example",
        path: format!("/field/w{work_ms}/2f"),
        deadline_ms: 10_000,
        body: Vec::new(),
    }
}

pub fn run(case: &Case) -> io::Result<Vec<String>> {
    let record = &case.record;
    let dir = TempDir::new()?;
    let local = IpAddr::from([127, 0, 0, 1]);
    let store_addr = SocketAddr::new(local, free_ports(local, 1)?[0]);
    let store = Store::start(store_addr)?;
    store.put("keyed.op", "config", CONFIG);
    let mut machines = Vec::new();
    for (index, zone) in [(1, "kumasi-a"), (2, "kumasi-b"), (3, "obuasi")] {
        machines.push(Machine::start(&dir.0, (index, zone, "field-office"), store_addr, &[])?);
    }
    // The first endpoint is reached through a proxy, at the address that it announces.
    let ports = free_ports(machines[0].app.ip(), 2)?;
    let ip = machines[0].app.ip();
    let behind = |i: usize| SocketAddr::new(ip, ports[i]);
    let proxy = Proxy::start(machines[0].app, behind(0))?;
    let mut endpoints = Vec::new();
    for (i, machine) in machines.iter().enumerate() {
        let (id, place) = (format!("i-{i}"), ("field-office", machine.zone.as_str()));
        let listen = if i == 0 { behind(0) } else { machine.app };
        let addrs = (listen, machine.app, machine.control);
        endpoints.push(Endpoint::start_behind(&id, place, addrs, record)?);
    }
    for machine in &machines {
        machine.wait_ready()?;
    }
    for endpoint in &endpoints {
        endpoint.wait_registered()?;
    }
    thread::sleep(Duration::from_millis(3_500));
    let outbound = machines[1].outbound;
    let send = |id: String| client::send(outbound, lookup(id, 900), record);
    for round in 0..3 {
        let requests: Vec<_> = (0..18).map(|i| send(format!("usual{round}-{i:02}"))).collect();
        for request in requests {
            let _ = request.join();
        }
    }
    let silent = Instant::now();
    if case.trouble {
        proxy.silence_owner();
        endpoints[0].fall_silent();
        record.line("endpoint i-0 falls silent");
    }
    let requests: Vec<_> = (0..18).map(|i| send(format!("during-{i:02}"))).collect();
    let sleep_until = |ms| {
        let at = silent + Duration::from_millis(ms);
        thread::sleep(at.saturating_duration_since(Instant::now()));
    };
    let mut successor = None;
    if case.trouble {
        sleep_until(REUSE_AFTER_MS);
        machines[0].change_settings("service", "rota-board")?;
        machines[0].signal("-HUP");
        let place = ("rota-board", machines[0].zone.as_str());
        let addrs = (behind(1), machines[0].app, machines[0].control);
        proxy.give_to(behind(1));
        let endpoint = Endpoint::start_behind("i-new", place, addrs, record)?;
        endpoint.wait_registered()?;
        record.line("endpoint i-new of rota-board has the address, and is registered");
        successor = Some(endpoint);
        sleep_until(KEEP_ALIVE_MS);
        proxy.reset_silent();
        record.line("the silent connections break");
    }
    for request in requests {
        let _ = request.join();
    }
    let mut breaches = Vec::new();
    for arrival in successor.iter().flat_map(Endpoint::arrivals) {
        let id = arrival.head.get("plantainpost-request-id").unwrap_or_default();
        if arrival.has_run && arrival.head.path().starts_with("/field/") {
            breaches.push(format!(
                "request {id} for field-office was run by an endpoint of rota-board; it named {} as the \
                 expected endpoint",
                arrival.head.get("plantainpost-expect-instance").unwrap_or("none")
            ));
        }
    }
    Ok(breaches)
}
