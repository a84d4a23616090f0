//! Calls to the admin listener, against a stand-in.

use std::{
    fs,
    io::{Read, Write},
    net::TcpListener,
    thread,
    time::Duration,
};

use googletest::prelude::*;
use serde_json::{Value, json};

use crate::{Dir, TOKEN, message, stdout};

/// What the stand-in for the admin listener does with its one request.
#[derive(Clone, Copy)]
enum Answer {
    Json(u16, &'static str),
    /// Announces more bytes than it sends.
    Cut,
    /// Closes the connection after reading the request.
    Close,
}

/// Stand-in for the admin listener: takes one request and returns it.
fn serve(answer: Answer) -> (String, thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    let address = listener.local_addr().expect("address").to_string();
    let handle = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("connection");
        let timeout = Some(Duration::from_secs(10));
        stream.set_read_timeout(timeout).expect("timeout");
        let (mut request, mut buf) = (String::new(), [0; 4096]);
        while !is_complete(&request) {
            let len = stream.read(&mut buf).expect("request");
            assert!(len > 0, "the request is cut: {request}");
            request.push_str(&String::from_utf8_lossy(&buf[..len]));
        }
        let (status, len, body) = match answer {
            Answer::Json(status, body) => (status, body.len(), body),
            Answer::Cut => (200, 100, "{\"outcome\":"),
            Answer::Close => return request,
        };
        let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {len}\r\n\r\n");
        stream.write_all((head + body).as_bytes()).expect("answer");
        request
    });
    (address, handle)
}

fn is_complete(request: &str) -> bool {
    let Some((head, body)) = request.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    body.len() >= length.map_or(0, |length| length.parse().expect("length"))
}

const PLAN: &str = r#"{"base":7,"author":"ama","digest":"d1","content":{"leaving":["a"]},
    "changes":["target a leaves"],"stays":["service stock"]}"#;

/// The failure that a row guards against, arguments, answer of the node, first line of
/// the request, exit code, and a part of the output.
type Call = (
    &'static str,
    &'static [&'static str],
    Answer,
    &'static str,
    i32,
    &'static str,
);

#[rustfmt::skip]
const CALLS: &[Call] = &[
    ("changes are hidden", &["plan", "--author", "ama", "leave", "--target", "a"],
     Answer::Json(200, PLAN), "POST /v1/plan", 0, "changes:\n  - target a leaves\n\nstays:\n  - service stock\n"),
    ("a refused plan passes for a plan", &["plan", "--author", "ama", "restore", "9"],
     Answer::Json(404, r#"{"error":"version 9 is not kept"}"#), "POST /v1/plan", 1, "version 9 is not kept"),
    ("a confirmation in force fails", &["confirm", "--author", "ama", "saved.json"],
     Answer::Json(200, r#"{"outcome":"in-force","version":8}"#), "POST /v1/confirm", 0, "in-force"),
    ("the winner is not named", &["confirm", "--author", "ama", "saved.json"],
     Answer::Json(200, r#"{"outcome":"void","winner":{"author":"kofi"}}"#), "POST /v1/confirm", 3, "kofi"),
    ("a lost race passes for an error", &["confirm", "--author", "ama", "saved.json"],
     Answer::Json(409, r#"{"outcome":"void","winner":{"author":"kofi"}}"#), "POST /v1/confirm", 3, "kofi"),
    ("an unknown outcome passes for done", &["confirm", "--author", "ama", "saved.json"],
     Answer::Json(200, r#"{"outcome":"unknown"}"#), "POST /v1/confirm", 4, "unknown"),
    ("an unknown outcome with an error status passes for an error", &["confirm", "--author", "ama", "saved.json"],
     Answer::Json(504, r#"{"outcome":"unknown"}"#), "POST /v1/confirm", 4, "unknown"),
    ("an unavailable log passes for unknown", &["confirm", "--author", "ama", "saved.json"],
     Answer::Json(503, r#"{"outcome":"unavailable"}"#), "POST /v1/confirm", 1, "unavailable"),
    ("a lost answer passes for an error", &["confirm", "--author", "ama", "saved.json"],
     Answer::Close, "POST /v1/confirm", 4, "the outcome is unknown"),
    ("a cut answer passes for an error", &["confirm", "--author", "ama", "saved.json"],
     Answer::Cut, "POST /v1/confirm", 4, "the outcome is unknown"),
    ("a failed node passes for an error", &["confirm", "--author", "ama", "saved.json"],
     Answer::Json(500, "{}"), "POST /v1/confirm", 4, "the outcome is unknown"),
    ("an answer without outcome passes for done", &["confirm", "--author", "ama", "saved.json"],
     Answer::Json(200, "{}"), "POST /v1/confirm", 4, "response without outcome"),
    ("a refused token passes for an unknown outcome", &["confirm", "--author", "ama", "saved.json"],
     Answer::Json(401, "{}"), "POST /v1/confirm", 1, "refused the token"),
    ("a table loses columns", &["status"],
     Answer::Json(200, r#"{"version":7,"members":[{"name":"a"},{"name":"b","state":"dead"}]}"#),
     "GET /v1/status", 0, "name  state\n  a\n  b     dead\n"),
    ("JSON output is not JSON", &["status", "--json"],
     Answer::Json(200, r#"{"version":7}"#), "GET /v1/status", 0, "{\n  \"version\": 7\n}\n"),
    ("a cut answer is shown", &["status"], Answer::Cut, "GET /v1/status", 1, "no complete response"),
    ("the audit starts at another offset", &["audit", "--from", "12"],
     Answer::Json(200, "[]"), "GET /v1/audit?from=12", 0, "(none)"),
    ("a request id changes the query", &["explain", "--request", "a&b=c"],
     Answer::Json(200, r#"{"target":"stock-1"}"#), "GET /v1/explain?request=a%26b%3Dc", 0, "stock-1"),
    ("a target is not named", &["explain", "--target", "stock-1"],
     Answer::Json(200, r#"{"why":"set aside"}"#), "GET /v1/explain?target=stock-1", 0, "set aside"),
];

/// Guards against the failure that each row names.
#[gtest]
fn calls() {
    let dir = Dir::new();
    dir.write("saved.json", PLAN);
    for (failure, args, answer, line, code, part) in CALLS {
        let (address, handle) = serve(*answer);
        let (command, rest) = args.split_first().expect("command");
        let access = ["--admin", &address, "--token-file", "admin.token"];
        let output = dir.run(&[&[*command], &access[..], rest].concat());
        let request = handle.join().expect("request");
        expect_that!(
            output.status.code(),
            some(eq(*code)),
            "{failure}: {output:?}"
        );
        expect_that!(request, starts_with(format!("{line} ")), "{failure}");
        expect_that!(
            request,
            contains_substring(format!("Bearer {TOKEN}")),
            "{failure}"
        );
        let text = if output.stdout.is_empty() {
            message(&output)
        } else {
            stdout(&output)
        };
        expect_that!(text, contains_substring(*part), "{failure}");
    }
}

/// Guards against a saved plan that differs from the one that the node made, and
/// against a confirmation that leaves out a part of it.
#[gtest]
fn plan_is_saved_and_confirmed_whole() {
    let dir = Dir::new();
    let plan: Value = serde_json::from_str(PLAN).expect("JSON");
    let (address, handle) = serve(Answer::Json(200, PLAN));
    let args = [
        "plan", "--admin", &address, "--author", "ama", "--out", "p.json",
    ];
    let intent = [
        "share",
        "Stock",
        "--data-centre",
        "pos=3",
        "--target",
        "a=1",
    ];
    dir.run(&[&args[..], &intent].concat());
    let share = json!({
        "kind": "share",
        "service": "stock",
        "shares": { "data_centre:pos": 3, "node:a": 1 },
    });
    let asked = json!({ "author": "ama", "intent": share });
    expect_that!(body(&handle.join().expect("request")), eq(&asked));
    let saved = fs::read(dir.0.join("p.json")).expect("plan");
    expect_that!(
        serde_json::from_slice::<Value>(&saved).expect("JSON"),
        eq(&plan)
    );

    let (address, handle) = serve(Answer::Json(200, r#"{"outcome":"in-force"}"#));
    dir.run(&["confirm", "--admin", &address, "--author", "kofi", "p.json"]);
    let confirmed = json!({ "author": "kofi", "plan": plan });
    expect_that!(body(&handle.join().expect("request")), eq(&confirmed));
}

fn body(request: &str) -> Value {
    let (_, body) = request.split_once("\r\n\r\n").expect("body");
    serde_json::from_str(body).expect("JSON")
}

/// Guards against a refused connection or a damaged plan that counts as an unknown
/// outcome: nothing was sent.
#[gtest]
fn nothing_sent_is_an_error() {
    let dir = Dir::new();
    dir.write("saved.json", PLAN);
    dir.write("cut.json", &PLAN[..20]);
    let free = TcpListener::bind("127.0.0.1:0").expect("listener");
    let address = free.local_addr().expect("address").to_string();
    drop(free);
    let rows = [
        ("saved.json", address.as_str(), "can't connect"),
        ("cut.json", address.as_str(), "not a plan"),
        ("none.json", address.as_str(), "can't read plan"),
        ("saved.json", "localhost:1", "not an address"),
    ];
    for (file, address, want) in rows {
        let output = dir.run(&["confirm", "--admin", address, "--author", "ama", file]);
        expect_that!(output.status.code(), some(eq(1)), "{want}");
        expect_that!(message(&output), contains_substring(want));
    }
}
