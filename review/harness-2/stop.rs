//! LOST: a node that gets SIGTERM breaks off requests at which an endpoint is at work, although the
//! grace period leaves time for them.

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
    store::Store,
};

/// Grace period of the deployment, in seconds, as in the site file of the large deployment.
const GRACE_S: u64 = 10;

/// Timeout of the route, in milliseconds.
const TIMEOUT_MS: u64 = 5_000;

/// Work of the requests, in milliseconds. The site file allows 6.9 s.
const WORK_MS: u64 = 4_600;

/// Number of requests.
const REQUESTS: usize = 8;

const CONFIG: &str = r#"{"version":7,"routes":{"r-field":{"host":"fields.example","pathPrefix":"/field/","kind":"safe","timeoutMs":5000,"latencyTargetMs":2500,"priority":2,"service":"field-office","attempts":2}},"services":{"field-office":{"healthPath":"/healthz","maxConns":3600,"protocol":"h1","tls":false}},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

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

/// Two machines with an endpoint each.
struct Fleet {
    machines: Vec<Machine>,
    endpoints: Vec<Endpoint>,
    _store: Store,
    _dir: TempDir,
}

impl Fleet {
    /// Starts the fleet and sends ordinary traffic, until all machines are in touch.
    fn start(case: &Case, grace_s: &str) -> io::Result<Self> {
        let record = &case.record;
        let dir = TempDir::new()?;
        let local = IpAddr::from([127, 0, 0, 1]);
        let store_addr = SocketAddr::new(local, free_ports(local, 1)?[0]);
        let store = Store::start(store_addr)?;
        store.put("keyed.op", "config", CONFIG);
        let (mut machines, mut endpoints) = (Vec::new(), Vec::new());
        for (index, zone) in [(1, "kumasi-a"), (2, "kumasi-b")] {
            let changes = [("bounds.graceS", grace_s), ("bounds.budgetSlack", "630")];
            let name = (index, zone, "field-office");
            machines.push(Machine::start(&dir.0, name, store_addr, &changes)?);
        }
        for (i, machine) in machines.iter().enumerate() {
            let (id, place) = (format!("i-{i}"), ("field-office", machine.zone.as_str()));
            let addrs = (machine.app, machine.control);
            endpoints.push(Endpoint::start(&id, place, addrs, record)?);
        }
        for machine in &machines {
            machine.wait_ready()?;
        }
        for endpoint in &endpoints {
            endpoint.wait_registered()?;
        }
        let fleet = Fleet {
            machines,
            endpoints,
            _store: store,
            _dir: dir,
        };
        for round in 0..5 {
            let send = |i: usize| {
                let req = lookup(format!("usual{round}-{i:02}"), 900);
                client::send(fleet.machines[i % 2].outbound, req, record)
            };
            let requests: Vec<_> = (0..8).map(send).collect();
            for request in requests {
                let _ = request.join();
            }
        }
        Ok(fleet)
    }

    /// Sends the requests from machine 1, `delay` after its SIGTERM at `stop`, and returns the breaches.
    fn send_and_check(&self, case: &Case, stop: Instant, delay: Duration) -> Vec<String> {
        let record = &case.record;
        let mut sent = Vec::new();
        for i in 0..REQUESTS {
            let at = stop + delay + Duration::from_millis(30 * i as u64);
            thread::sleep(at.saturating_duration_since(Instant::now()));
            let id = format!("long-{i:02}");
            let request = lookup(id.clone(), WORK_MS);
            let outbound = self.machines[0].outbound;
            sent.push((id, Instant::now(), client::send(outbound, request, record)));
        }
        let mut breaches = Vec::new();
        for (id, sent_at, request) in sent {
            let Ok(outcome) = request.join() else { continue };
            let has_run = self.endpoints.iter().flat_map(Endpoint::arrivals).any(|arrival| {
                arrival.has_run && arrival.head.get("plantainpost-request-id") == Some(&*id)
            });
            let took = outcome.ended.duration_since(sent_at);
            let is_in_time = took < Duration::from_millis(TIMEOUT_MS);
            if outcome.status != 200 && has_run && is_in_time {
                breaches.push(format!(
                    "request {id}, sent {:.2} s after the SIGTERM, got {} {:.2} s after it, while its \
                     endpoint was at work; the grace period is {GRACE_S} s and the timeout {TIMEOUT_MS} ms",
                    sent_at.duration_since(stop).as_secs_f64(),
                    outcome.status,
                    outcome.ended.duration_since(stop).as_secs_f64(),
                ));
            }
        }
        breaches
    }
}

/// Sends SIGTERM to machine 1. All requests end before the grace period does.
fn stop_machine(case: &Case, fleet: &Fleet) -> Instant {
    fleet.machines[0].signal("-TERM");
    case.record.line("SIGTERM for machine 1");
    Instant::now()
}

/// Requests that come more than 3 s after the SIGTERM. The machine is the only one of its zone, so the
/// platform goes on to give work to its clients although the node is not ready.
pub fn run_late(case: &Case) -> io::Result<Vec<String>> {
    let fleet = Fleet::start(case, &GRACE_S.to_string())?;
    let stop = match case.trouble {
        true => stop_machine(case, &fleet),
        false => Instant::now(),
    };
    Ok(fleet.send_and_check(case, stop, Duration::from_millis(4_100)))
}

/// The settings file names a longer grace period, and the node gets SIGHUP, before the SIGTERM. Without
/// the disruption the settings have named it from the start.
pub fn run_reloaded(case: &Case) -> io::Result<Vec<String>> {
    let grace_s = GRACE_S.to_string();
    let mut fleet = Fleet::start(case, if case.trouble { "6" } else { &grace_s })?;
    if case.trouble {
        let machine = &mut fleet.machines[0];
        machine.change_settings("bounds.graceS", &grace_s)?;
        machine.signal("-HUP");
        case.record.line("the settings file of machine 1 names a grace period of 10 s; SIGHUP");
        thread::sleep(Duration::from_millis(5_000));
        let log = machine.log();
        let reload = log.lines().find(|line| line.contains("settings reloaded"));
        case.record.line(&format!("log of node 1: {}", reload.unwrap_or("no reload")));
    }
    let stop = stop_machine(case, &fleet);
    Ok(fleet.send_and_check(case, stop, Duration::from_millis(1_000)))
}
