//! Answers that wait until the caller's connection has carried an earlier one.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, mpsc},
    thread,
    time::Duration,
};

use googletest::prelude::*;
use plantainpost_standin::process::{self, Signal};

use crate::{
    fleet_fixture::{Fleet, WAIT_TIMEOUT, host_specs},
    http_client::{announce_listener, get_admin, outcome_header},
    platform_fixture::{header, read_head},
};

/// Length of an answer that fits neither into the buffers of the nodes nor into those of their
/// sockets.
const LONG_BYTES: usize = 16_000_000;

/// Length of an answer that an entry can keep while it waits, but not the channels of a node when it
/// comes in small pieces.
const SHORT_BYTES: usize = 300_000;

/// Time for the second request of a caller.
const SECOND_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for requests that no deadline is to end during a test.
const NO_DEADLINE: Duration = Duration::from_secs(100);

/// What the target does after it has written its answer or a part of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Then {
    Close,
    /// Keeps the connection open until the node closes it.
    Stay,
}

/// How the target answers the second request.
#[derive(Clone, Debug)]
struct Plan {
    is_chunked: bool,
    body_bytes: usize,
    /// Bytes of the answer that are written, its head included; all if it is shorter.
    written_bytes: usize,
    /// Bytes of one write, and the pause after it.
    write_bytes: usize,
    pause: Duration,
    then: Then,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            is_chunked: false,
            body_bytes: LONG_BYTES,
            written_bytes: usize::MAX,
            write_bytes: usize::MAX,
            pause: Duration::ZERO,
            then: Then::Stay,
        }
    }
}

impl Plan {
    fn bytes(&self) -> Vec<u8> {
        let body = body_bytes(self.body_bytes);
        let mut bytes = match self.is_chunked {
            true => chunked(&body),
            false => sized(&body),
        };
        bytes.truncate(self.written_bytes);
        bytes
    }
}

/// Returns a body in which lost or repeated bytes are noticed.
fn body_bytes(length: usize) -> Vec<u8> {
    (0..length).map(|i| b'a' + (i % 23) as u8).collect()
}

fn sized(body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

fn chunked(body: &[u8]) -> Vec<u8> {
    let mut bytes = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    for piece in body.chunks(50_000) {
        bytes.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
        bytes.extend_from_slice(piece);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

/// Returns the content of a complete chunked body, or `None` if it is not complete.
fn decode_chunked(mut text: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let end = text.windows(2).position(|pair| pair == b"\r\n")?;
        let line = std::str::from_utf8(&text[..end]).ok()?;
        let size = usize::from_str_radix(line, 16).ok()?;
        text = text.get(end + 2..)?;
        if size == 0 {
            return (text == b"\r\n").then_some(body);
        }
        body.extend_from_slice(text.get(..size)?);
        text = text.get(size + 2..)?;
    }
}

/// A target of the test. Answers the request with the nonce `first` once it is told to, and the one
/// with the nonce `second` at once.
struct Target {
    is_released: Arc<(Mutex<bool>, Condvar)>,
    /// Nonces of the requests that the target has received.
    received: mpsc::Receiver<String>,
    /// Nonces of the requests whose connections the node has closed.
    closed: mpsc::Receiver<String>,
}

impl Target {
    fn start(listener: TcpListener, plan: &Plan) -> Self {
        let is_released = Arc::<(Mutex<bool>, Condvar)>::default();
        let (received_tx, received) = mpsc::channel();
        let (closed_tx, closed) = mpsc::channel();
        let (released, plan) = (Arc::clone(&is_released), plan.clone());
        thread::spawn(move || {
            for io in listener.incoming().map_while(std::result::Result::ok) {
                let (released, plan) = (Arc::clone(&released), plan.clone());
                let (received, closed) = (received_tx.clone(), closed_tx.clone());
                thread::spawn(move || serve(io, &released, &plan, &received, &closed));
            }
        });
        Target {
            is_released,
            received,
            closed,
        }
    }

    /// Waits until the target has received all requests with these nonces.
    fn wait_received(&self, nonces: &[&str]) {
        let mut missing = nonces.to_vec();
        while !missing.is_empty() {
            let nonce = self.received.recv_timeout(WAIT_TIMEOUT);
            let nonce = nonce.expect("the target receives the requests");
            missing.retain(|wanted| **wanted != nonce);
        }
    }

    fn release(&self) {
        *self.is_released.0.lock().expect("no panic") = true;
        self.is_released.1.notify_all();
    }
}

fn serve(
    mut io: TcpStream,
    (is_released, changed): &(Mutex<bool>, Condvar),
    plan: &Plan,
    received: &mpsc::Sender<String>,
    closed: &mpsc::Sender<String>,
) {
    while let Some(head) = read_head(&mut io) {
        let nonce = header(&head, "x-nonce").to_owned();
        let _ = received.send(nonce.clone());
        let is_second = nonce == "second";
        let bytes = match is_second {
            true => plan.bytes(),
            false => {
                let is_released = is_released.lock().expect("no panic");
                drop(changed.wait_while(is_released, |is_released| !*is_released));
                sized(b"first")
            }
        };
        for piece in bytes.chunks(plan.write_bytes) {
            if io.write_all(piece).is_err() {
                let _ = closed.send(nonce);
                return;
            }
            thread::sleep(plan.pause);
        }
        if is_second && plan.then == Then::Close {
            return;
        }
        if is_second {
            // An end or an error of the connection; the node sends nothing else on it here.
            let _ = io.read(&mut [0; 1]);
            let _ = closed.send(nonce);
            return;
        }
    }
}

fn request(nonce: &str, timeout: Duration, extra_headers: &str) -> String {
    format!(
        "GET / HTTP/1.1\r\nhost: stock\r\nx-nonce: {nonce}\r\nplantainpost-timeout-ms: {}\r\n\
         {extra_headers}\r\n",
        timeout.as_millis()
    )
}

/// Sends both requests on one connection.
fn send_both(callers: SocketAddr) -> TcpStream {
    let mut io = TcpStream::connect(callers).expect("the entry accepts");
    io.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a timeout");
    let both = request("first", NO_DEADLINE, "")
        + &request("second", SECOND_TIMEOUT, "connection: close\r\n");
    io.write_all(both.as_bytes()).expect("the entry reads");
    io
}

/// Reads both answers. Returns the second one, as far as it was received.
fn read_second(mut io: TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    // A reset also ends the answers; what was received before it counts.
    let _ = io.read_to_end(&mut bytes);
    let (head, body) = split_head(&bytes).expect("the head of the first answer");
    let text = String::from_utf8_lossy(head);
    assert!(text.starts_with("HTTP/1.1 200"), "first answer: {text}");
    let second = body.strip_prefix(b"first").expect("the first body");
    second.to_vec()
}

fn split_head(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = bytes.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
    Some(bytes.split_at(end))
}

/// Returns the body of a complete answer of the target, or `None`.
fn complete_body(bytes: &[u8]) -> Option<Vec<u8>> {
    let (head, body) = split_head(bytes)?;
    let head = String::from_utf8_lossy(head).to_ascii_lowercase();
    if !head.starts_with("http/1.1 200") {
        return None;
    }
    match header(&head, "content-length").parse::<usize>() {
        Ok(length) => (body.len() == length).then(|| body.to_vec()),
        Err(_) => decode_chunked(body),
    }
}

/// Starts a fleet whose only target is a listener of the test. The entry is on the same host or on
/// another one.
fn start_fleet(is_remote: bool, edit: impl Fn(&mut String)) -> (Fleet, TcpListener) {
    let mut specs = host_specs("stock", 1);
    if is_remote {
        specs.splice(..0, host_specs("desk", 1));
    }
    let fleet = Fleet::start_with_settings(&specs, |_, text| edit(text));
    let listener = announce_listener(&fleet, specs.len() - 1);
    if is_remote {
        // The entry has to learn of the listener.
        thread::sleep(Duration::from_secs(1));
    }
    (fleet, listener)
}

/// Guards against an answer that is given in time and cut at the deadline of its request, because an
/// earlier answer is not complete by then: wherever most of it waits, in the entry, in the guard or in
/// the sockets between them and the target.
#[gtest]
fn answer_given_in_time_is_delivered_after_its_deadline() {
    let small_pieces = Plan {
        body_bytes: SHORT_BYTES,
        write_bytes: 4_000,
        pause: Duration::from_millis(2),
        ..Default::default()
    };
    let chunked = Plan {
        is_chunked: true,
        ..Default::default()
    };
    let rows = [
        ("long", false, Plan::default()),
        ("long", true, Plan::default()),
        ("chunked", false, chunked.clone()),
        ("chunked", true, chunked),
        ("small pieces", false, small_pieces.clone()),
        ("small pieces", true, small_pieces),
    ];
    for (name, is_remote, plan) in rows {
        let name = format!("{name}, entry on another host: {is_remote}");
        let (fleet, listener) = start_fleet(is_remote, |_| ());
        let target = Target::start(listener, &plan);
        let io = send_both(fleet.nodes[0].callers);
        target.wait_received(&["first", "second"]);
        thread::sleep(SECOND_TIMEOUT);
        target.release();
        let second = read_second(io);
        let body = complete_body(&second);
        // The bytes are not printed.
        let is_whole = body.is_some_and(|body| body == body_bytes(plan.body_bytes));
        expect_true!(is_whole, "{name}: {} bytes", second.len());
    }
}

/// Guards against a target that is late itself and keeps its slot and its connection after the
/// deadline, because its answer waits for an earlier one.
#[gtest]
fn late_target_is_cut_off_at_the_deadline_while_its_answer_waits() {
    for is_remote in [false, true] {
        let (fleet, listener) = start_fleet(is_remote, |_| ());
        let plan = Plan {
            body_bytes: 2 * SHORT_BYTES,
            written_bytes: SHORT_BYTES,
            ..Default::default()
        };
        let target = Target::start(listener, &plan);
        let io = send_both(fleet.nodes[0].callers);
        target.wait_received(&["first", "second"]);
        // The first request is released only afterwards.
        let closed = target.closed.recv_timeout(WAIT_TIMEOUT);
        expect_that!(closed.as_deref(), ok(eq("second")), "remote: {is_remote}");
        target.release();
        expect_that!(complete_body(&read_second(io)), none());
    }
}

/// Waits until the entry holds, or no longer holds, parts of answers.
fn wait_for_held_bytes(fleet: &Fleet, is_held: bool) {
    process::wait_until("the held bytes of answers", WAIT_TIMEOUT, || {
        let metrics = get_admin(fleet.nodes[0].admin, "/v1/metrics");
        let gauge = metrics.split(r#""entry.held_bytes":"#).nth(1);
        let bytes = gauge.and_then(|rest| rest.split([',', '}']).next());
        let bytes = bytes.and_then(|text| text.parse::<u64>().ok());
        bytes.is_some_and(|bytes| (bytes > 0) == is_held)
    })
    .expect("the gauge changes");
}

/// Guards against memory that stays counted as held after the answer was delivered, or after its
/// caller has gone: the entry would soon hold nothing any more.
#[gtest]
fn held_bytes_are_given_back() {
    let (fleet, listener) = start_fleet(false, |_| ());
    let target = Target::start(listener, &Plan::default());
    let gone = send_both(fleet.nodes[0].callers);
    target.wait_received(&["first", "second"]);
    wait_for_held_bytes(&fleet, true);
    drop(gone);
    wait_for_held_bytes(&fleet, false);
    let io = send_both(fleet.nodes[0].callers);
    target.wait_received(&["first", "second"]);
    wait_for_held_bytes(&fleet, true);
    target.release();
    expect_true!(complete_body(&read_second(io)).is_some());
    wait_for_held_bytes(&fleet, false);
}

/// Guards against a caller that never reads and holds its connection, memory and a slot of the target
/// for as long as it likes, or until a far deadline.
#[gtest]
fn caller_that_never_reads_is_closed_after_the_idle_timeout() {
    for is_remote in [false, true] {
        let (fleet, listener) = start_fleet(is_remote, |text| {
            text.push_str("[limits]\nidle_timeout = 1 s\n");
        });
        let target = Target::start(listener, &Plan::default());
        let mut io = TcpStream::connect(fleet.nodes[0].callers).expect("the entry accepts");
        let head = request("second", NO_DEADLINE, "");
        io.write_all(head.as_bytes()).expect("the entry reads");
        target.wait_received(&["second"]);
        let closed = target.closed.recv_timeout(WAIT_TIMEOUT);
        expect_that!(closed.as_deref(), ok(eq("second")), "remote: {is_remote}");
        let metrics = get_admin(fleet.nodes[0].admin, "/v1/metrics");
        expect_that!(metrics, contains_substring(r#""http.write_stalled":1"#));
    }
}

/// Guards against a planned stop that waits beyond its deadline for answers that wait for an earlier
/// one.
#[gtest]
fn stop_holds_no_waiting_answer_beyond_its_deadline() {
    for is_remote in [false, true] {
        let (mut fleet, listener) = start_fleet(is_remote, |text| {
            text.push_str(
                "[limits]\ndefault_timeout = 4 s\nmax_timeout = 4 s\nstop_timeout = 4 s\n",
            );
        });
        let target = Target::start(listener, &Plan::default());
        let _io = send_both(fleet.nodes[0].callers);
        target.wait_received(&["first", "second"]);
        for node in fleet.nodes.iter_mut().rev() {
            node.process.signal(Signal::Term).expect("the node runs");
            let status = node.process.wait_exit(WAIT_TIMEOUT);
            expect_true!(status.is_ok_and(|status| status.success()));
        }
    }
}

/// Guards against an answer that is cut while it waits for an earlier one, and looks complete to the
/// caller.
#[gtest]
fn answer_cut_while_it_waits_is_never_complete() {
    let head_bytes = Plan {
        body_bytes: 0,
        ..Default::default()
    };
    let head_bytes = head_bytes.bytes().len();
    let whole = |is_chunked, body_bytes| {
        let plan = Plan {
            is_chunked,
            body_bytes,
            ..Default::default()
        };
        plan.bytes().len()
    };
    let long_bytes = 3_000_000;
    let rows = [
        ("before the answer", false, SHORT_BYTES, 0),
        ("within the head", false, SHORT_BYTES, 20),
        ("after the head", false, SHORT_BYTES, head_bytes + 5),
        ("within the retry buffer", false, SHORT_BYTES, 40_000),
        ("behind the retry buffer", false, SHORT_BYTES, 70_000),
        (
            "before the last byte",
            false,
            SHORT_BYTES,
            whole(false, SHORT_BYTES) - 1,
        ),
        ("within a chunk", true, SHORT_BYTES, 120_000),
        (
            "before the last chunk",
            true,
            SHORT_BYTES,
            whole(true, SHORT_BYTES) - 5,
        ),
        (
            "within the end",
            true,
            SHORT_BYTES,
            whole(true, SHORT_BYTES) - 1,
        ),
        (
            "beyond what an entry keeps",
            false,
            long_bytes,
            long_bytes - 10,
        ),
        (
            "beyond what an entry keeps, chunked",
            true,
            long_bytes,
            long_bytes,
        ),
    ];
    for is_remote in [false, true] {
        for (name, is_chunked, body_bytes, written_bytes) in &rows {
            let name = format!("{name}, entry on another host: {is_remote}");
            // The failed requests of one row are not to change the choice of targets in the next.
            let (fleet, listener) = start_fleet(is_remote, |_| ());
            let plan = Plan {
                is_chunked: *is_chunked,
                body_bytes: *body_bytes,
                written_bytes: *written_bytes,
                then: Then::Close,
                ..Default::default()
            };
            let target = Target::start(listener, &plan);
            let io = send_both(fleet.nodes[0].callers);
            target.wait_received(&["first", "second"]);
            target.release();
            let second = read_second(io);
            expect_true!(complete_body(&second).is_none(), "{name}");
            let text = String::from_utf8_lossy(&second);
            if text.starts_with("HTTP/1.1 5") {
                expect_that!(outcome_header(&text), eq("unknown"), "{name}: {text}");
            }
        }
    }
}
