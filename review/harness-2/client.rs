//! Clients on a machine, which send their requests to its node.

use std::{
    net::SocketAddr,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{http::Conn, record::Record};

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub host: &'static str,
    pub path: String,
    pub deadline_ms: u64,
    pub body: Vec<u8>,
}

/// How a request ended for its client.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Zero if there was no complete answer.
    pub status: u16,
    pub ended: Instant,
}

fn head(req: &Request) -> String {
    let length = match req.body.is_empty() {
        true => String::new(),
        false => format!("Content-Length: {}\r\n", req.body.len()),
    };
    format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nPlantainpost-Request-Id: {}\r\n\
         Plantainpost-Deadline-Ms: {}\r\n{length}\r\n",
        req.method, req.path, req.host, req.id, req.deadline_ms
    )
}

/// Sends a request on a new connection and waits for its answer.
pub fn send(addr: SocketAddr, req: Request, record: &Record) -> JoinHandle<Outcome> {
    let record = record.clone();
    thread::spawn(move || {
        record.line(&format!("client: request {} sent: {} {}", req.id, req.method, req.path));
        let exchange = || -> std::io::Result<(u16, String)> {
            let mut conn = Conn::open(addr)?;
            let timeout = Duration::from_millis(req.deadline_ms + 2_000);
            conn.io.set_read_timeout(Some(timeout))?;
            conn.write(head(&req).as_bytes())?;
            conn.write(&req.body)?;
            let Some(head) = conn.read_head()? else {
                return Ok((0, "connection closed".to_owned()));
            };
            let body = conn.read_body(&head)?;
            Ok((head.status(), String::from_utf8_lossy(&body).into_owned()))
        };
        let (status, body) = exchange().unwrap_or_else(|e| (0, e.to_string()));
        record.line(&format!("client: request {} answered {status}: {}", req.id, body.trim()));
        Outcome {
            status,
            ended: Instant::now(),
        }
    })
}

/// Sends a request on a new connection and closes that after `leave_after`. Returns when it was closed.
pub fn send_and_leave(
    addr: SocketAddr,
    req: Request,
    leave_after: Duration,
    record: &Record,
) -> JoinHandle<Instant> {
    let record = record.clone();
    thread::spawn(move || {
        record.line(&format!("client: request {} sent: {} {}", req.id, req.method, req.path));
        let leave_at = Instant::now() + leave_after;
        if let Ok(mut conn) = Conn::open(addr) {
            let _ = conn.write(head(&req).as_bytes()).and_then(|()| conn.write(&req.body));
            thread::sleep(leave_at.saturating_duration_since(Instant::now()));
        }
        let left = Instant::now();
        record.line_at(left, &format!("client: request {}: the client has left", req.id));
        left
    })
}
