//! Long request bodies: planned stops during uploads, truncated uploads, and memory use.

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use googletest::prelude::*;
use plantainpost_standin::{body, process::Signal};

use crate::{
    fleet_fixture::{Fleet, HostSpec, WAIT_TIMEOUT, host_specs},
    http_client::{ANSWER_GRACE, announce_listener, outcome_header},
};

/// Length of the body of an upload.
const UPLOAD_BYTES: usize = 20_000_000;

/// Number of bytes that a caller writes at once; a chunk if the upload is chunked.
const PIECE_BYTES: usize = 100_000;

/// An upload of [`UPLOAD_BYTES`], with pauses between the writes.
#[derive(Clone)]
struct Upload {
    nonce: String,
    chunked: bool,
    /// Pause after each [`PIECE_BYTES`].
    pause: Duration,
}

impl Upload {
    fn new(nonce: impl Into<String>, chunked: bool) -> Self {
        Upload {
            nonce: nonce.into(),
            chunked,
            pause: Duration::ZERO,
        }
    }

    fn head(&self) -> String {
        let framing = match self.chunked {
            true => "transfer-encoding: chunked".to_owned(),
            false => format!("content-length: {UPLOAD_BYTES}"),
        };
        format!(
            "POST / HTTP/1.1\r\nhost: stock\r\nconnection: close\r\nx-nonce: {}\r\n\
             plantainpost-timeout-ms: 60000\r\n{framing}\r\n\r\n",
            self.nonce
        )
    }

    /// Sends the upload and returns the answer.
    fn send(&self, addr: SocketAddr) -> std::io::Result<String> {
        let mut io = TcpStream::connect(addr)?;
        io.set_read_timeout(Some(WAIT_TIMEOUT + ANSWER_GRACE))?;
        io.write_all(self.head().as_bytes())?;
        let body = body::body_for_nonce(&self.nonce, UPLOAD_BYTES);
        for piece in body.chunks(PIECE_BYTES) {
            if self.chunked {
                write!(io, "{:x}\r\n", piece.len())?;
            }
            io.write_all(piece)?;
            if self.chunked {
                io.write_all(b"\r\n")?;
            }
            thread::sleep(self.pause);
        }
        if self.chunked {
            io.write_all(b"0\r\n\r\n")?;
        }
        let mut answer = String::new();
        io.read_to_string(&mut answer)?;
        Ok(answer)
    }
}

/// Returns whether an answer states that the target received the complete body.
fn is_complete_upload(nonce: &str, answer: &str) -> bool {
    let digest = body::sha256_hex(&body::body_for_nonce(nonce, UPLOAD_BYTES));
    outcome_header(answer) == "answered" && answer.contains(&format!("x-body-sha256: {digest}"))
}

/// Returns a host that is only an entry, and `count` hosts of the service. Announcements are
/// valid for 9 s, which is longer than a target needs for the digest of an upload.
fn upload_host_specs(count: usize) -> Vec<HostSpec> {
    let mut specs = host_specs("desk", 1);
    specs.extend(host_specs("stock", count));
    for spec in &mut specs {
        spec.target.ttl_ms = 9_000;
    }
    specs
}

/// Guards against a planned stop of the entry or the guard that cuts off an upload.
#[gtest]
fn stop_finishes_uploads() {
    for (name, stopped) in [("entry", 0), ("guard", 1)] {
        let mut fleet = Fleet::start(&upload_host_specs(1));
        let addr = fleet.nodes[0].callers;
        let uploads = [false, true].map(|chunked| Upload {
            pause: Duration::from_millis(15),
            ..Upload::new(format!("{name}-{chunked}"), chunked)
        });
        let senders = uploads
            .clone()
            .map(|upload| thread::spawn(move || upload.send(addr)));
        thread::sleep(Duration::from_millis(700));
        expect_that!(fleet.targets[1].in_flight(), eq(2), "{name}");
        let node = &mut fleet.nodes[stopped];
        node.process.signal(Signal::Term).expect("the node runs");
        for (upload, sender) in uploads.iter().zip(senders) {
            let answer = sender.join().expect("no panic");
            let answer = answer.unwrap_or_else(|err| err.to_string());
            expect_true!(
                is_complete_upload(&upload.nonce, &answer),
                "{}: {answer}",
                upload.nonce
            );
        }
        let status = node
            .process
            .wait_exit(WAIT_TIMEOUT)
            .expect("the node stops");
        expect_true!(status.success());
        let lines = node.process.lines();
        let summary = lines.iter().find(|line| line.contains("stopped: "));
        expect_that!(summary, some(contains_substring(" 0 cut")), "{name}");
    }
}

/// Guards against a truncated upload that looks complete to the target, when the caller
/// closes the connection or sends an invalid chunk. A listener of the test records the bytes
/// as the target.
#[gtest]
fn truncated_upload_is_never_terminated_cleanly() {
    let fleet = Fleet::start(&upload_host_specs(1));
    let target = announce_listener(&fleet, 1);
    let rows = [
        ("sized, closed", "content-length: 300000", ""),
        ("chunked, closed", "transfer-encoding: chunked", ""),
        (
            "chunked, no chunk",
            "transfer-encoding: chunked",
            "no chunk\r\n",
        ),
    ];
    for (name, framing, rest) in rows {
        let mut caller = TcpStream::connect(fleet.nodes[0].callers).expect("the entry accepts");
        let head = format!("POST / HTTP/1.1\r\nhost: stock\r\n{framing}\r\n\r\n");
        caller.write_all(head.as_bytes()).expect("the entry reads");
        let part = vec![b'x'; 200_000];
        if framing.contains("chunked") {
            write!(caller, "{:x}\r\n", part.len()).expect("the entry reads");
        }
        caller.write_all(&part).expect("the entry reads");
        if framing.contains("chunked") {
            caller.write_all(b"\r\n").expect("the entry reads");
        }
        let (mut io, _) = target.accept().expect("the guard connects");
        io.set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("a timeout can be set");
        let mut first = [0; 1_000];
        io.read_exact(&mut first).expect("the body has begun");
        caller.write_all(rest.as_bytes()).expect("the entry reads");
        if rest.is_empty() {
            drop(caller);
        }
        let mut received = Vec::new();
        // The guard may reset the connection instead of closing it.
        let _ = io.read_to_end(&mut received);
        expect_that!(received.len(), lt(250_000), "{name}");
        expect_that!(received.ends_with(b"0\r\n\r\n"), eq(false), "{name}");
    }
}

/// Returns the value of a line of `/proc/ID/status` in bytes, such as `VmRSS:` or `VmHWM:`.
pub(crate) fn process_memory_bytes(id: u32, name: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.expect("the line is in the status of the process") * 1_024
}

/// Guards against nodes that buffer whole bodies: ten concurrent uploads of 20 MB must not
/// take 64 MiB of memory.
#[gtest]
fn memory_is_bounded_during_uploads() {
    let fleet = Fleet::start(&upload_host_specs(1));
    let addr = fleet.nodes[0].callers;
    let first = Upload::new("first", false).send(addr).expect("an answer");
    expect_true!(is_complete_upload("first", &first), "{first}");
    let ids = [0, 1].map(|i| fleet.nodes[i].process.id());
    let before = ids.map(|id| process_memory_bytes(id, "VmRSS:"));
    let send = |number: usize| {
        let upload = Upload::new(format!("photo-{number}"), number.is_multiple_of(2));
        thread::spawn(move || (upload.nonce.clone(), upload.send(addr)))
    };
    let senders: Vec<_> = (0..10).map(send).collect();
    for sender in senders {
        let (nonce, answer) = sender.join().expect("no panic");
        let answer = answer.unwrap_or_else(|err| err.to_string());
        expect_true!(is_complete_upload(&nonce, &answer), "{nonce}: {answer}");
    }
    for (i, id) in ids.into_iter().enumerate() {
        let growth = process_memory_bytes(id, "VmHWM:").saturating_sub(before[i]);
        println!(
            "node {i}: {} KiB before, {} KiB growth",
            before[i] / 1_024,
            growth / 1_024
        );
        expect_that!(growth, lt(64 * 1024 * 1024), "node {i}");
    }
}

/// Guards against a connection between nodes that is unusable after a refused upload: the
/// guard waited for a body that the entry sends only when the guard asks for it.
#[gtest]
fn refused_upload_leaves_the_connection_usable() {
    let mut specs = host_specs("desk", 1);
    specs.extend(host_specs("stock", 1));
    specs[1].target.slots = 1;
    let fleet =
        Fleet::start_with_settings(&specs, |_, text| text.push_str("[limits]\nqueue = 1\n"));
    let addr = fleet.nodes[0].callers;
    let post = move |nonce: &str, work_us: u32| {
        let head = format!(
            "POST / HTTP/1.1\r\nhost: stock\r\nconnection: close\r\nx-nonce: {nonce}\r\n\
             x-work-us: {work_us}\r\ncontent-length: 30000\r\n\r\n"
        );
        let mut io = TcpStream::connect(addr).expect("a connection");
        io.write_all(head.as_bytes()).expect("the node reads");
        let body = body::body_for_nonce(nonce, 30_000);
        io.write_all(&body).expect("the node reads");
        let mut answer = String::new();
        io.read_to_string(&mut answer).expect("an answer");
        answer
    };
    // One request runs, one is queued, and the third is refused. The second round reuses all
    // three connections of the entry.
    for round in 0..2 {
        let accepted = ["a", "b"].map(|name| {
            let sender = thread::spawn(move || post(&format!("{name}{round}"), 400_000));
            thread::sleep(Duration::from_millis(150));
            sender
        });
        let refused = post(&format!("c{round}"), 0);
        expect_that!(outcome_header(&refused), eq("not-run"), "{refused}");
        for sender in accepted {
            let answer = sender.join().expect("no panic");
            expect_that!(outcome_header(&answer), eq("answered"), "{answer}");
        }
    }
    let mut io = TcpStream::connect(fleet.nodes[0].admin).expect("a connection");
    io.write_all(b"GET /v1/metrics HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .expect("the node reads");
    let mut text = String::new();
    io.read_to_string(&mut text).expect("an answer");
    expect_that!(text, not(contains_substring("entry.connection_lost")));
}
