//! Stand-in of an application endpoint: slots, health check, heartbeats and a record of arrivals.

use std::{
    io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Conn, Head, response},
    record::Record,
};

/// Slots of an endpoint.
const SLOTS: u32 = 12;

/// Requests that may wait for a slot.
const QUEUE: u32 = 24;

/// Interval of the heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// A request, but no health check, that reached an endpoint.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub head: Head,
    /// Whether the endpoint began to work on it.
    pub has_run: bool,
}

pub struct Shared {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// Where it listens. Equals `addr` without a proxy.
    listen: SocketAddr,
    pub addr: SocketAddr,
    pub control: SocketAddr,
    born: u64,
    seq: AtomicU64,
    is_draining: AtomicBool,
    has_ended: AtomicBool,
    running: Mutex<u32>,
    slot_freed: Condvar,
    waiting: AtomicU32,
    arrivals: Mutex<Vec<Arrival>>,
    open: Mutex<Vec<TcpStream>>,
    record: Record,
}

/// A running endpoint.
#[derive(Clone)]
pub struct Endpoint(pub Arc<Shared>);

impl Endpoint {
    pub fn start(
        id: &str,
        (service, zone): (&str, &str),
        (addr, control): (SocketAddr, SocketAddr),
        record: &Record,
    ) -> io::Result<Self> {
        Self::start_behind(id, (service, zone), (addr, addr, control), record)
    }

    /// Starts an endpoint that listens at `listen`, and announces the address `addr` of a proxy.
    pub fn start_behind(
        id: &str,
        (service, zone): (&str, &str),
        (listen, addr, control): (SocketAddr, SocketAddr, SocketAddr),
        record: &Record,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            listen,
            addr,
            control,
            born: born.as_millis() as u64,
            seq: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            running: Mutex::new(0),
            slot_freed: Condvar::new(),
            waiting: AtomicU32::new(0),
            arrivals: Mutex::default(),
            open: Mutex::default(),
            record: record.clone(),
        });
        let endpoint = Endpoint(shared);
        let served = endpoint.clone();
        thread::spawn(move || {
            for io in listener.incoming().flatten() {
                if served.0.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let endpoint = served.clone();
                if let Ok(copy) = io.try_clone() {
                    endpoint.0.open.lock().unwrap().push(copy);
                }
                thread::spawn(move || endpoint.serve(Conn::new(io)));
            }
        });
        let beating = endpoint.clone();
        thread::spawn(move || {
            while !beating.0.has_ended.load(Ordering::SeqCst) {
                beating.heartbeat();
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(endpoint)
    }

    /// Sends a heartbeat and returns the status of the answer.
    pub fn heartbeat(&self) -> u16 {
        let shared = &*self.0;
        let state = match shared.is_draining.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        let seq = shared.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            r#"{{"address":"{}","born":{},"info":{{"service":"{}","version":"v1","zone":"{}","maxConcurrency":{SLOTS}}},"status":{{"state":"{state}","seq":{seq},"warmupMs":0}}}}"#,
            shared.addr, shared.born, shared.service, shared.zone
        );
        let path = format!("/-/instances/{}", shared.id);
        http::call(shared.control, "PUT", &path, &body)
    }

    /// Waits until a heartbeat is acknowledged, which the node of a machine that has just started may not
    /// do yet.
    pub fn wait_registered(&self) -> io::Result<()> {
        for _ in 0..100 {
            if self.heartbeat() == 200 {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(io::Error::other(format!("the heartbeats of {} are not acknowledged", self.0.id)))
    }

    /// Reports that the endpoint drains, until that is acknowledged. Returns when it was.
    pub fn drain(&self) -> Option<Instant> {
        self.0.is_draining.store(true, Ordering::SeqCst);
        let tries = 10;
        (0..tries)
            .any(|_| self.heartbeat() == 200)
            .then(Instant::now)
    }

    /// Ends the endpoint like a process that exits: its port and its connections close.
    pub fn end(&self) {
        let path = format!("/-/instances/{}", self.0.id);
        http::call(self.0.control, "DELETE", &path, "");
        self.0.has_ended.store(true, Ordering::SeqCst);
        // Wakes the listener, which is closed then.
        let _ = TcpStream::connect_timeout(&self.0.listen, Duration::from_secs(1));
        for io in self.0.open.lock().unwrap().drain(..) {
            let _ = io.shutdown(Shutdown::Both);
        }
    }

    /// Sends no further heartbeats.
    pub fn fall_silent(&self) {
        self.0.has_ended.store(true, Ordering::SeqCst);
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.0.arrivals.lock().unwrap().clone()
    }

    fn serve(&self, mut conn: Conn) {
        let shared = &*self.0;
        while let Ok(Some(head)) = conn.read_head() {
            if head.path() == "/healthz" {
                let leaves = shared.is_draining.load(Ordering::SeqCst);
                let status = if leaves { "503 Service Unavailable" } else { "200 OK" };
                let load = self.load();
                let headers = [("Plantainpost-Instance", &*shared.id), ("Plantainpost-Load", &load)];
                if conn.write(&response(status, &headers, b"")).is_err() {
                    return;
                }
                continue;
            }
            if !self.serve_request(&mut conn, head) {
                return;
            }
        }
    }

    fn load(&self) -> String {
        let running = *self.0.running.lock().unwrap();
        format!("{running},{},{SLOTS},100", self.0.waiting.load(Ordering::SeqCst))
    }

    /// Serves one request. Returns whether the connection stays open.
    fn serve_request(&self, conn: &mut Conn, head: Head) -> bool {
        let shared = &*self.0;
        let id = head.get("plantainpost-request-id").unwrap_or_default().to_owned();
        let expected = head.get("plantainpost-expect-instance");
        let is_other = expected.is_some_and(|expected| expected != shared.id);
        let index = {
            let mut arrivals = shared.arrivals.lock().unwrap();
            arrivals.push(Arrival {
                at: Instant::now(),
                head: head.clone(),
                has_run: false,
            });
            arrivals.len() - 1
        };
        shared.record.line(&format!(
            "endpoint {} ({}): request {id} arrives: {}{}",
            shared.id,
            shared.service,
            head.start,
            if is_other { "; it is for another instance" } else { "" }
        ));
        let Ok(body) = conn.read_body(&head) else {
            shared.record.line(&format!("endpoint {}: request {id} breaks off", shared.id));
            return false;
        };
        let echo = ("Plantainpost-Request-Id", &*id);
        if is_other {
            let headers = [echo, ("Plantainpost-Instance", &*shared.id)];
            return conn.write(&response("421 Misdirected Request", &headers, b"")).is_ok();
        }
        if !self.take_slot() {
            let headers = [echo, ("Plantainpost-Not-Run", "1")];
            return conn.write(&response("503 Service Unavailable", &headers, b"")).is_ok();
        }
        shared.arrivals.lock().unwrap()[index].has_run = true;
        let work_ms = work_ms(head.path());
        shared.record.line(&format!(
            "endpoint {}: runs request {id} with a body of {} bytes",
            shared.id,
            body.len()
        ));
        thread::sleep(Duration::from_millis(work_ms));
        self.free_slot();
        let text = format!("{} {} {} bytes", shared.service, id, body.len());
        let load = self.load();
        let headers = [
            echo,
            ("Plantainpost-Server-Stamp", &*shared.id),
            ("Plantainpost-Load", &load),
        ];
        conn.write(&response("200 OK", &headers, text.as_bytes())).is_ok()
    }

    fn take_slot(&self) -> bool {
        let shared = &*self.0;
        let mut running = shared.running.lock().unwrap();
        if *running >= SLOTS && shared.waiting.load(Ordering::SeqCst) >= QUEUE {
            return false;
        }
        shared.waiting.fetch_add(1, Ordering::SeqCst);
        while *running >= SLOTS {
            running = shared.slot_freed.wait(running).unwrap();
        }
        shared.waiting.fetch_sub(1, Ordering::SeqCst);
        *running += 1;
        true
    }

    fn free_slot(&self) {
        *self.0.running.lock().unwrap() -= 1;
        self.0.slot_freed.notify_one();
    }
}

/// Returns the work of a request in milliseconds, which its path names after `/w`.
fn work_ms(path: &str) -> u64 {
    let mut parts = path.split('/').filter_map(|part| part.strip_prefix('w'));
    parts.find_map(|text| text.parse().ok()).unwrap_or(50)
}
