//! A minimal HTTP client over plain sockets, for single and for malformed requests.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use plantainpost_standin::target::TargetFaults;

use crate::fleet_fixture::Fleet;

/// Sends bytes to an address and returns what it receives until the peer closes the
/// connection or sends nothing for 1 s. Bytes that are not UTF-8 are replaced.
pub(crate) fn send_raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let received = send_raw_with_idle_timeout(addr, bytes, Duration::from_secs(1));
    String::from_utf8_lossy(&received).into_owned()
}

/// Like [`send_raw`], with the given idle timeout; returns the unchanged bytes.
pub(crate) fn send_raw_with_idle_timeout(
    addr: SocketAddr,
    bytes: &[u8],
    idle_timeout: Duration,
) -> Vec<u8> {
    let mut io = TcpStream::connect(addr).expect("the listener accepts");
    io.set_read_timeout(Some(idle_timeout))
        .expect("a timeout can be set");
    // The peer may answer and close the connection before it has read everything.
    let _ = io.write_all(bytes);
    let mut received = Vec::new();
    let mut buf = [0; 4096];
    while let Ok(count @ 1..) = io.read(&mut buf) {
        received.extend_from_slice(&buf[..count]);
    }
    received
}

/// Sends a request without a body on a new connection and returns the answer.
pub(crate) fn send_request(addr: SocketAddr, method: &str, service: &str, headers: &str) -> String {
    let text =
        format!("{method} / HTTP/1.1\r\nhost: {service}\r\nconnection: close\r\n{headers}\r\n");
    send_raw(addr, text.as_bytes())
}

/// Sends a request without a body and with a timeout in milliseconds, and returns the
/// answer. The target counts its executions under the nonce.
pub(crate) fn request_with_timeout(
    addr: SocketAddr,
    (method, service): (&str, &str),
    (nonce, timeout_ms): (&str, u64),
    headers: &str,
) -> String {
    let received =
        request_with_timeout_bytes(addr, (method, service), (nonce, timeout_ms), headers);
    String::from_utf8_lossy(&received).into_owned()
}

/// Like [`request_with_timeout`]; returns the unchanged bytes.
pub(crate) fn request_with_timeout_bytes(
    addr: SocketAddr,
    (method, service): (&str, &str),
    (nonce, timeout_ms): (&str, u64),
    headers: &str,
) -> Vec<u8> {
    let text = format!(
        "{method} / HTTP/1.1\r\nhost: {service}\r\nconnection: close\r\nx-nonce: {nonce}\r\n\
         plantainpost-timeout-ms: {timeout_ms}\r\n{headers}\r\n"
    );
    send_raw_with_idle_timeout(
        addr,
        text.as_bytes(),
        Duration::from_millis(timeout_ms) + ANSWER_GRACE,
    )
}

/// Time that the client waits for an answer beyond the timeout of the request.
pub(crate) const ANSWER_GRACE: Duration = Duration::from_secs(3);

/// Returns the value of `plantainpost-outcome`, or an empty string if it is missing.
pub(crate) fn outcome_header(answer: &str) -> &str {
    let mut lines = answer.lines();
    let line = lines.find_map(|line| line.strip_prefix("plantainpost-outcome: "));
    line.unwrap_or_default()
}

/// Replaces the target of a node by a listener of the test: silences the stand-in and
/// announces the listener for the service `stock`.
pub(crate) fn announce_listener(fleet: &Fleet, i: usize) -> TcpListener {
    fleet.targets[i].set_faults(TargetFaults {
        silent: true,
        ..Default::default()
    });
    // An announcement of the stand-in may still be in flight.
    thread::sleep(Duration::from_millis(200));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("the listener has an address");
    let body = format!(
        "{{\"service\":\"stock\",\"address\":\"{address}\",\"slots\":4,\"connections\":9,\
         \"ttl_ms\":60000,\"leaving\":false}}"
    );
    let request = format!(
        "PUT /v1/target HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let answer = send_raw(fleet.nodes[i].admin, request.as_bytes());
    assert!(answer.starts_with("HTTP/1.1 2"), "{answer}");
    listener
}

/// Sends a `GET` request to an admin listener and returns the answer.
pub(crate) fn get_admin(addr: SocketAddr, path: &str) -> String {
    let text = format!("GET {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n");
    send_raw(addr, text.as_bytes())
}
