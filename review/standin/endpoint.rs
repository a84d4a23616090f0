//! An application endpoint beside a node.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Message, response},
    record::Record,
};

/// A request that has reached an endpoint.
#[derive(Clone)]
pub struct Arrival {
    pub at: Duration,
    pub id: String,
    /// Length of the body that was read.
    pub body_bytes: usize,
}

struct State {
    id: String,
    service: String,
    zone: String,
    born_ms: u128,
    addr: SocketAddr,
    control: SocketAddr,
    seq: AtomicU64,
    running: AtomicU32,
    work_ms: AtomicU64,
    /// Length of the body of each answer; zero for a short text.
    answer_bytes: AtomicU64,
    /// Share of the requests that are shed, in percent.
    shed_percent: AtomicU64,
    request_count: AtomicU64,
    is_leaving: AtomicBool,
    beats: AtomicBool,
    has_ended: AtomicBool,
    arrivals: Mutex<Vec<Arrival>>,
    record: Record,
}

/// A running endpoint.
#[derive(Clone)]
pub struct Endpoint(Arc<State>);

/// Requests that an endpoint runs at the same time.
const SLOTS: u32 = 12;

/// Interval between heartbeats (`heartbeatMs`).
const BEAT_INTERVAL: Duration = Duration::from_millis(1_500);

impl Endpoint {
    /// Starts an endpoint that works on each request for `work_ms`.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        control: SocketAddr,
        work_ms: u64,
        record: &Record,
    ) -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let endpoint = Endpoint(Arc::new(State {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            born_ms: born.expect("a clock after 1970").as_millis(),
            addr: listener.local_addr().expect("an address"),
            control,
            seq: AtomicU64::new(0),
            running: AtomicU32::new(0),
            work_ms: AtomicU64::new(work_ms),
            answer_bytes: AtomicU64::new(0),
            shed_percent: AtomicU64::new(0),
            request_count: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
            beats: AtomicBool::new(true),
            has_ended: AtomicBool::new(false),
            arrivals: Mutex::default(),
            record: record.clone(),
        }));
        let served = endpoint.clone();
        http::serve(listener, move |io| served.serve_conn(io));
        endpoint
    }

    /// Sends heartbeats until [`Endpoint::stop_beats`] is called.
    pub fn start_beats(&self) {
        let endpoint = self.clone();
        thread::spawn(move || {
            while endpoint.0.beats.load(Ordering::SeqCst) {
                endpoint.send_beat();
                thread::sleep(BEAT_INTERVAL);
            }
        });
    }

    pub fn stop_beats(&self) {
        self.0.beats.store(false, Ordering::SeqCst);
    }

    /// Returns the next heartbeat. It can be sent later, as one that the network has delayed.
    pub fn next_beat(&self) -> Vec<u8> {
        let endpoint = &self.0;
        let seq = endpoint.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let state = match endpoint.is_leaving.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        let body = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
             \"zone\":\"{}\",\"maxConcurrency\":{SLOTS}}},\"status\":{{\"state\":\"{state}\",\
             \"seq\":{seq},\"warmupMs\":0}}}}",
            endpoint.addr, endpoint.born_ms, endpoint.service, endpoint.zone
        );
        format!(
            "PUT /-/instances/{} HTTP/1.1\r\nHost: c\r\nContent-Type: application/json\r\n\
             Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
            endpoint.id,
            body.len()
        )
        .into_bytes()
    }

    /// Sends a heartbeat. Returns the status of the answer; 0 without one.
    pub fn send_beat(&self) -> u16 {
        let beat = self.next_beat();
        self.deliver(&beat, "heartbeat")
    }

    /// Sends the bytes of a call to the node and records the answer.
    pub fn deliver(&self, call: &[u8], what: &str) -> u16 {
        let answer = http::exchange(self.0.control, call, Duration::from_secs(1));
        let status = answer.map_or(0, |answer| answer.status());
        let text = String::from_utf8_lossy(call);
        let seq = text
            .split("\"seq\":")
            .nth(1)
            .and_then(|rest| rest.split(',').next());
        let seq = seq.map_or(String::new(), |seq| format!(" seq {seq}"));
        let state = if text.contains("draining") {
            " (draining)"
        } else {
            ""
        };
        self.0
            .record
            .write(&format!("{} {what}{seq}{state}: {status}", self.0.id));
        status
    }

    /// Says that the endpoint leaves, with a heartbeat in state `draining`.
    pub fn say_draining(&self) -> u16 {
        self.0.is_leaving.store(true, Ordering::SeqCst);
        self.send_beat()
    }

    /// Says that the endpoint leaves, with `DELETE`. It goes on serving.
    pub fn say_gone(&self) -> u16 {
        self.0.is_leaving.store(true, Ordering::SeqCst);
        self.stop_beats();
        let call = format!(
            "DELETE /-/instances/{} HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\
             Content-Length: 0\r\n\r\n",
            self.0.id
        );
        self.deliver(call.as_bytes(), "DELETE")
    }

    /// Ends the endpoint: it closes its connections and answers nothing more.
    pub fn end(&self) {
        self.0.has_ended.store(true, Ordering::SeqCst);
        self.0.record.write(&format!("{} ends", self.0.id));
    }

    /// Sets how long work takes that starts from now on.
    pub fn set_work_ms(&self, work_ms: u64) {
        self.0.work_ms.store(work_ms, Ordering::SeqCst);
        let id = &self.0.id;
        self.0
            .record
            .write(&format!("{id} now works {work_ms} ms on a request"));
    }

    /// Sets the share of the requests that the endpoint sheds, in percent. It says that it has not
    /// run them.
    pub fn set_shed_percent(&self, percent: u64) {
        self.0.shed_percent.store(percent, Ordering::SeqCst);
        let id = &self.0.id;
        self.0
            .record
            .write(&format!("{id} now sheds {percent} of a hundred requests"));
    }

    /// Sets the length of the body of each answer.
    pub fn set_answer_bytes(&self, bytes: u64) {
        self.0.answer_bytes.store(bytes, Ordering::SeqCst);
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.0.arrivals.lock().expect("no panic").clone()
    }

    fn serve_conn(&self, mut io: TcpStream) {
        let _ = io.set_nodelay(true);
        while let Ok(Some(req)) = http::read_message(&mut io) {
            if self.0.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let answer = match req.path() {
                "/healthz" => Some(self.health()),
                _ => self.run(&mut io, &req),
            };
            let Some(answer) = answer else { return };
            if io.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn load_header(&self) -> String {
        let running = self.0.running.load(Ordering::SeqCst);
        format!("Plantainpost-Load: {running},0,{SLOTS}\r\n")
    }

    fn health(&self) -> Vec<u8> {
        let headers = format!(
            "Plantainpost-Instance: {}\r\n{}",
            self.0.id,
            self.load_header()
        );
        match self.0.is_leaving.load(Ordering::SeqCst) {
            true => response("503 Service Unavailable", &headers, b""),
            false => response("200 OK", &headers, b""),
        }
    }

    /// Runs a request. Returns `None` if the caller has gone meanwhile.
    fn run(&self, io: &mut TcpStream, req: &Message) -> Option<Vec<u8>> {
        let endpoint = &self.0;
        let id = req.header("plantainpost-request-id").to_owned();
        let expected = req.header("plantainpost-expect-instance");
        if !expected.is_empty() && expected != endpoint.id {
            let headers = format!("Plantainpost-Instance: {}\r\n", endpoint.id);
            return Some(response("421 Misdirected Request", &headers, b""));
        }
        // The requests that are shed are spread evenly.
        let number = endpoint.request_count.fetch_add(1, Ordering::SeqCst);
        let percent = endpoint.shed_percent.load(Ordering::SeqCst);
        if (number + 1) * percent / 100 > number * percent / 100 {
            endpoint
                .record
                .write(&format!("request {id} is shed by {}", endpoint.id));
            let headers = format!("Plantainpost-Request-Id: {id}\r\nPlantainpost-Not-Run: 1\r\n");
            return Some(response("503 Service Unavailable", &headers, b""));
        }
        let body_bytes = req.body.len();
        let at = endpoint.record.write(&format!(
            "request {id} with a body of {body_bytes} bytes reaches {}",
            endpoint.id
        ));
        endpoint.arrivals.lock().expect("no panic").push(Arrival {
            at,
            id: id.clone(),
            body_bytes,
        });
        endpoint.running.fetch_add(1, Ordering::SeqCst);
        let left_ms = req
            .header("plantainpost-deadline-ms")
            .parse()
            .unwrap_or(u64::MAX);
        let work_ms = endpoint.work_ms.load(Ordering::SeqCst);
        let is_gone = wait_or_gone(io, Duration::from_millis(work_ms.min(left_ms)));
        endpoint.running.fetch_sub(1, Ordering::SeqCst);
        if is_gone {
            endpoint
                .record
                .write(&format!("request {id} dropped, its caller has gone"));
            return None;
        }
        if endpoint.has_ended.load(Ordering::SeqCst) {
            endpoint.record.write(&format!(
                "request {id} is cut by the end of {}",
                endpoint.id
            ));
            return None;
        }
        let mut headers = format!(
            "Plantainpost-Request-Id: {id}\r\nPlantainpost-Server-Stamp: {}.{id}\r\n{}",
            endpoint.id,
            self.load_header()
        );
        if endpoint.is_leaving.load(Ordering::SeqCst) {
            headers.push_str("Connection: close\r\n");
        }
        let status = match work_ms <= left_ms {
            true => "200 OK",
            false => "504 Gateway Timeout",
        };
        endpoint
            .record
            .write(&format!("request {id} ends at {}: {status}", endpoint.id));
        let answer_bytes = endpoint.answer_bytes.load(Ordering::SeqCst);
        let body = match answer_bytes {
            0 => format!("worked on {body_bytes} bytes"),
            bytes => "x".repeat(bytes as usize),
        };
        let mut answer = response(status, &headers, body.as_bytes());
        if req.start.starts_with("HEAD ") {
            answer.truncate(answer.len() - body.len());
        }
        Some(answer)
    }
}

/// Waits, and returns whether the other side has closed the connection meanwhile.
fn wait_or_gone(io: &mut TcpStream, wait: Duration) -> bool {
    let _ = io.set_read_timeout(Some(wait.max(Duration::from_millis(1))));
    let result = io.read(&mut [0; 1]);
    let _ = io.set_read_timeout(None);
    // Nothing may follow a request before its answer, so a byte counts as the end as well.
    result.is_ok() || result.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset)
}
