//! The cases, by name.

mod body_of_second_send;
mod head_request;
mod pipelined_answers;
mod queued_before_leave;
mod restart_beside_leaving;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{http, record::Record};

/// Runs a case. Returns whether the rule was broken.
pub fn run(case: &str, file: &str, has_trouble: bool) -> Result<bool, String> {
    let record = Record::create(file)?;
    record.write(&format!("case {case}, disruption: {has_trouble}"));
    match case {
        "queued-before-leave" => queued_before_leave::run(&record, has_trouble),
        "body-of-second-send" => body_of_second_send::run(&record, has_trouble),
        "head-request" => head_request::run(&record, has_trouble),
        "pipelined-answers" => pipelined_answers::run(&record, has_trouble),
        "restart-beside-leaving" => restart_beside_leaving::run(&record, has_trouble),
        _ => Err(format!("there is no case {case}")),
    }
}

/// The bound `drainMs` of a small deployment.
const DRAIN: Duration = Duration::from_millis(2_000);

/// The bound `stabilityWindowMs` of a small deployment.
const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);

/// A route of the operator's configuration.
struct Route {
    prefix: &'static str,
    kind: &'static str,
    service: &'static str,
    timeout_ms: u64,
    latency_target_ms: u64,
}

/// Host name of all routes.
const HOST: &str = "shop.example";

/// Returns the operator's configuration.
fn configuration(version: u64, routes: &[Route]) -> String {
    let route = |route: &Route| {
        format!(
            "\"r{}\":{{\"host\":\"{HOST}\",\"pathPrefix\":\"{}\",\"kind\":\"{}\",\
             \"timeoutMs\":{},\"latencyTargetMs\":{},\"priority\":2,\"attempts\":2,\
             \"service\":\"{}\"}}",
            route.prefix,
            route.prefix,
            route.kind,
            route.timeout_ms,
            route.latency_target_ms,
            route.service
        )
    };
    let services = routes.iter().map(|route| route.service);
    let services: std::collections::BTreeSet<&str> = services.collect();
    let service = |name: &&str| {
        format!(
            "\"{name}\":{{\"healthPath\":\"/healthz\",\"maxConns\":260,\"protocol\":\"h1\",\
             \"tls\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":{{{}}},\"services\":{{{}}},\"limits\":\
         {{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        routes.iter().map(route).collect::<Vec<_>>().join(","),
        services.iter().map(service).collect::<Vec<_>>().join(",")
    )
}

/// What a client has seen.
#[derive(Clone)]
struct Answer {
    id: String,
    /// Zero without a complete answer.
    status: u16,
    /// The body, or the error that ended the exchange.
    body: String,
}

/// Clients that send each request on a connection of its own.
#[derive(Clone)]
struct Clients {
    record: Record,
    answers: Arc<Mutex<Vec<Answer>>>,
    threads: Arc<Mutex<Vec<thread::JoinHandle<()>>>>,
}

impl Clients {
    fn new(record: &Record) -> Clients {
        Clients {
            record: record.clone(),
            answers: Arc::default(),
            threads: Arc::default(),
        }
    }

    /// Sends a request without a body, and does not wait for its answer.
    fn send(&self, id: &str, method: &str, path: &str, to: SocketAddr, deadline_ms: u64) {
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nPlantainpost-Request-Id: {id}\r\n\
             Plantainpost-Deadline-Ms: {deadline_ms}\r\nConnection: close\r\n\r\n"
        );
        self.send_bytes(id, head.into_bytes(), to, deadline_ms);
    }

    /// Sends a request with a body in chunks, and does not wait for its answer.
    fn send_chunked(&self, id: &str, path: &str, body: &[u8], to: SocketAddr, deadline_ms: u64) {
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nPlantainpost-Request-Id: {id}\r\n\
             Plantainpost-Deadline-Ms: {deadline_ms}\r\nConnection: close\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        let mut bytes = head.into_bytes();
        for chunk in body.chunks(8 * 1024) {
            bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        self.send_bytes(id, bytes, to, deadline_ms);
    }

    fn send_bytes(&self, id: &str, bytes: Vec<u8>, to: SocketAddr, deadline_ms: u64) {
        let (clients, id) = (self.clone(), id.to_owned());
        self.record.write(&format!("request {id} sent"));
        let thread = thread::spawn(move || {
            let timeout = Duration::from_millis(deadline_ms);
            let answer = http::exchange(to, &bytes, timeout);
            let status = answer.as_ref().map_or(0, http::Message::status);
            let body = answer.map_or_else(
                |e| e.to_string(),
                |answer| String::from_utf8_lossy(&answer.body).trim().to_owned(),
            );
            clients
                .record
                .write(&format!("request {id} answered: {status} ({body})"));
            let answer = Answer { id, status, body };
            clients.answers.lock().expect("no panic").push(answer);
        });
        self.threads.lock().expect("no panic").push(thread);
    }

    /// Waits for all answers, and returns them.
    fn finish(&self) -> Vec<Answer> {
        let threads = std::mem::take(&mut *self.threads.lock().expect("no panic"));
        for thread in threads {
            let _ = thread.join();
        }
        self.answers.lock().expect("no panic").clone()
    }

    /// Sends requests until one gets a 200.
    fn wait_until_served(&self, path: &str, to: SocketAddr) -> Result<(), String> {
        for i in 0..100 {
            let id = format!("wait-{}-{i}", to.port());
            self.send(&id, "GET", path, to, 1_000);
            let answers = self.finish();
            if answers
                .iter()
                .any(|answer| answer.id == id && answer.status == 200)
            {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(format!("no request to {path} is served"))
    }
}
