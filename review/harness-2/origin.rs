//! UNASKED: the settings file names another service without a signal, and requests that originate on
//! the machine still name the old one as their caller.

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

const CONFIG: &str = r#"{"version":7,"routes":{"r-read":{"host":"ledger.example","pathPrefix":"/read/","kind":"safe","timeoutMs":1500,"latencyTargetMs":600,"priority":2,"service":"pay-desk","attempts":2}},"services":{"pay-desk":{"healthPath":"/healthz","maxConns":260,"protocol":"h1","tls":false},"rota-board":{"healthPath":"/healthz","maxConns":260,"protocol":"h1","tls":false},"field-office":{"healthPath":"/healthz","maxConns":260,"protocol":"h1","tls":false}},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

const REUSE_AFTER_MS: u64 = 2_000;

pub fn run(case: &Case) -> io::Result<Vec<String>> {
    let record = &case.record;
    let dir = TempDir::new()?;
    let local = IpAddr::from([127, 0, 0, 1]);
    let store_addr = SocketAddr::new(local, free_ports(local, 1)?[0]);
    let store = Store::start(store_addr)?;
    store.put("keyed.op", "config", CONFIG);
    let desk_machine = Machine::start(&dir.0, (1, "kumasi-a", "pay-desk"), store_addr, &[])?;
    let mut machine = Machine::start(&dir.0, (2, "kumasi-b", "rota-board"), store_addr, &[])?;
    let start = |id, service, zone, on: &Machine| {
        Endpoint::start(id, (service, zone), (on.app, on.control), record)
    };
    let desk = start("i-desk", "pay-desk", "kumasi-a", &desk_machine)?;
    let old = start("i-old", "rota-board", "kumasi-b", &machine)?;
    desk_machine.wait_ready()?;
    machine.wait_ready()?;
    desk.wait_registered()?;
    old.wait_registered()?;
    thread::sleep(Duration::from_millis(3_500));
    let read = |id: String| {
        let req = Request {
            id,
            method: "GET",
            host: "ledger.example",
            path: "/read/w30/2f".to_owned(),
            deadline_ms: 2_500,
            body: Vec::new(),
        };
        let _ = client::send(machine.outbound, req, record).join();
    };
    (0..5).for_each(|i| read(format!("before-{i}")));
    let mut service = "rota-board";
    if case.trouble {
        old.drain();
        thread::sleep(Duration::from_millis(2_500));
        old.end();
        thread::sleep(Duration::from_millis(REUSE_AFTER_MS));
        service = "field-office";
        machine.change_settings("service", service)?;
        record.line("the settings file of machine 2 names the service field-office");
        start("i-new", service, "kumasi-b", &machine)?;
    }
    thread::sleep(Duration::from_millis(6_000));
    let read = |id: String| {
        let req = Request {
            id,
            method: "GET",
            host: "ledger.example",
            path: "/read/w30/2f".to_owned(),
            deadline_ms: 2_500,
            body: Vec::new(),
        };
        let _ = client::send(machine.outbound, req, record).join();
    };
    (0..10).for_each(|i| read(format!("after-{i}")));
    let mut breaches = Vec::new();
    for arrival in desk.arrivals() {
        let id = arrival.head.get("plantainpost-request-id").unwrap_or_default();
        let caller = arrival.head.get("plantainpost-caller").unwrap_or_default();
        if id.starts_with("after-") && arrival.has_run && caller != service {
            breaches.push(format!(
                "request {id} ran with the caller {caller}, but it originated beside {service}"
            ));
        }
    }
    Ok(breaches)
}
