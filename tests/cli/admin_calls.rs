//! Commands that call the admin listener, tested against a stub of it.

use std::{
    fs,
    io::{Read, Write},
    net::TcpListener,
    thread,
    time::Duration,
};

use googletest::prelude::*;
use serde_json::{Value, json};

use crate::{TOKEN, TestDir, error_message, stdout};

/// Response of the stub to its one request.
#[derive(Clone, Copy)]
enum StubResponse {
    /// Status and body.
    Json(u16, &'static str),
    /// The body is shorter than `Content-Length` says.
    Truncated,
    /// The connection is closed after the request without a response.
    Close,
}

/// Starts a stub of the admin listener that serves one request. Returns its address and the handle
/// of its thread, which returns the request.
fn serve_one_request(response: StubResponse) -> (String, thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    let address = listener.local_addr().expect("address").to_string();
    let handle = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("connection");
        let timeout = Some(Duration::from_secs(10));
        stream.set_read_timeout(timeout).expect("timeout");
        let (mut request, mut buf) = (String::new(), [0; 4096]);
        while !is_complete(&request) {
            let len = stream.read(&mut buf).expect("request");
            assert!(len > 0, "the request is truncated: {request}");
            request.push_str(&String::from_utf8_lossy(&buf[..len]));
        }
        let (status, len, body) = match response {
            StubResponse::Json(status, body) => (status, body.len(), body),
            StubResponse::Truncated => (200, 100, "{\"outcome\":"),
            StubResponse::Close => return request,
        };
        let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {len}\r\n\r\n");
        stream
            .write_all((head + body).as_bytes())
            .expect("response");
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

/// Failure that the row guards against, arguments, response of the stub, start of the request line,
/// exit code, and part of the output.
type AdminCall = (
    &'static str,
    &'static [&'static str],
    StubResponse,
    &'static str,
    i32,
    &'static str,
);

#[rustfmt::skip]
const ADMIN_CALLS: &[AdminCall] = &[
    ("changes are hidden", &["plan", "--author", "ama", "leave", "--target", "a"],
     StubResponse::Json(200, PLAN), "POST /v1/plan", 0, "changes:\n  - target a leaves\n\nstays:\n  - service stock\n"),
    ("a refused plan is reported as a plan", &["plan", "--author", "ama", "restore", "9"],
     StubResponse::Json(404, r#"{"error":"version 9 is not kept"}"#), "POST /v1/plan", 1, "version 9 is not kept"),
    ("a confirmation in force is reported as an error", &["confirm", "--author", "ama", "saved.json"],
     StubResponse::Json(200, r#"{"outcome":"in-force","version":8}"#), "POST /v1/confirm", 0, "in-force"),
    ("the winner is not named", &["confirm", "--author", "ama", "saved.json"],
     StubResponse::Json(200, r#"{"outcome":"void","winner":{"author":"kofi"}}"#), "POST /v1/confirm", 3, "kofi"),
    ("a void confirmation with an error status is reported as an error", &["confirm", "--author", "ama", "saved.json"],
     StubResponse::Json(409, r#"{"outcome":"void","winner":{"author":"kofi"}}"#), "POST /v1/confirm", 3, "kofi"),
    ("an unknown outcome is reported as success", &["confirm", "--author", "ama", "saved.json"],
     StubResponse::Json(200, r#"{"outcome":"unknown"}"#), "POST /v1/confirm", 4, "unknown"),
    ("an unknown outcome with an error status is reported as an error", &["confirm", "--author", "ama", "saved.json"],
     StubResponse::Json(504, r#"{"outcome":"unknown"}"#), "POST /v1/confirm", 4, "unknown"),
    ("an unavailable log is reported as an unknown outcome", &["confirm", "--author", "ama", "saved.json"],
     StubResponse::Json(503, r#"{"outcome":"unavailable"}"#), "POST /v1/confirm", 1, "unavailable"),
    ("a connection closed without a response is reported as an error", &["confirm", "--author", "ama", "saved.json"],
     StubResponse::Close, "POST /v1/confirm", 4, "the outcome is unknown"),
    ("a truncated response is reported as an error", &["confirm", "--author", "ama", "saved.json"],
     StubResponse::Truncated, "POST /v1/confirm", 4, "the outcome is unknown"),
    ("status 500 is reported as an error, not as an unknown outcome", &["confirm", "--author", "ama", "saved.json"],
     StubResponse::Json(500, "{}"), "POST /v1/confirm", 4, "the outcome is unknown"),
    ("a response without outcome is reported as success", &["confirm", "--author", "ama", "saved.json"],
     StubResponse::Json(200, "{}"), "POST /v1/confirm", 4, "response without outcome"),
    ("a refused token is reported as an unknown outcome", &["confirm", "--author", "ama", "saved.json"],
     StubResponse::Json(401, "{}"), "POST /v1/confirm", 1, "refused the token"),
    ("a table loses columns", &["status"],
     StubResponse::Json(200, r#"{"version":7,"members":[{"name":"a"},{"name":"b","state":"dead"}]}"#),
     "GET /v1/status", 0, "name  state\n  a\n  b     dead\n"),
    ("JSON output is not JSON", &["status", "--json"],
     StubResponse::Json(200, r#"{"version":7}"#), "GET /v1/status", 0, "{\n  \"version\": 7\n}\n"),
    ("a truncated response is shown", &["status"], StubResponse::Truncated, "GET /v1/status", 1, "no complete response"),
    ("the audit starts at another offset", &["audit", "--from", "12"],
     StubResponse::Json(200, "[]"), "GET /v1/audit?from=12", 0, "(none)"),
    ("a request id changes the query", &["explain", "--request", "a&b=c"],
     StubResponse::Json(200, r#"{"target":"stock-1"}"#), "GET /v1/explain?request=a%26b%3Dc", 0, "stock-1"),
    ("a target is not named", &["explain", "--target", "stock-1"],
     StubResponse::Json(200, r#"{"why":"set aside"}"#), "GET /v1/explain?target=stock-1", 0, "set aside"),
    ("a request that would start has another exit code", &["route", "shop"],
     StubResponse::Json(200, r#"{"outcome":"start","target":"stock-1"}"#), "POST /v1/route", 0, "stock-1"),
    ("a request that would wait is reported as one that starts", &["route", "shop", "--workspace", "w"],
     StubResponse::Json(200, r#"{"outcome":"wait","target":"stock-1"}"#), "POST /v1/route", 5, "stock-1"),
    ("a request that would be refused is reported as an error", &["route", "shop", "--json"],
     StubResponse::Json(200, r#"{"outcome":"refused","reason":"quota"}"#), "POST /v1/route", 6, "\"reason\": \"quota\""),
    ("an invalid request is reported as one that would be refused", &["route", "shop", "--workspace", "x"],
     StubResponse::Json(400, r#"{"error":"workspace: x is not configured"}"#), "POST /v1/route", 1, "x is not configured"),
    ("a response without outcome is reported as an outcome", &["route", "shop"],
     StubResponse::Json(200, "{}"), "POST /v1/route", 1, "response without outcome"),
];

/// Guards against the failure named in each row.
#[gtest]
fn admin_commands_send_the_request_and_report_the_outcome() {
    let dir = TestDir::new();
    dir.write("saved.json", PLAN);
    for (failure, args, response, line, code, part) in ADMIN_CALLS {
        let (address, handle) = serve_one_request(*response);
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
            error_message(&output)
        } else {
            stdout(&output)
        };
        expect_that!(text, contains_substring(*part), "{failure}");
    }
}

/// Guards against a saved plan that differs from the plan in the response, and against a
/// confirmation that omits part of it.
#[gtest]
fn plan_is_saved_and_confirmed_unchanged() {
    let dir = TestDir::new();
    let plan: Value = serde_json::from_str(PLAN).expect("JSON");
    let (address, handle) = serve_one_request(StubResponse::Json(200, PLAN));
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
    let expected = json!({ "author": "ama", "intent": share });
    expect_that!(json_body(&handle.join().expect("request")), eq(&expected));
    let saved = fs::read(dir.0.join("p.json")).expect("plan");
    expect_that!(
        serde_json::from_slice::<Value>(&saved).expect("JSON"),
        eq(&plan)
    );

    let (address, handle) = serve_one_request(StubResponse::Json(200, r#"{"outcome":"in-force"}"#));
    dir.run(&["confirm", "--admin", &address, "--author", "kofi", "p.json"]);
    let confirmed = json!({ "author": "kofi", "plan": plan });
    expect_that!(json_body(&handle.join().expect("request")), eq(&confirmed));
}

/// Guards against a key that is read with its line end, or that is printed.
#[gtest]
fn key_of_a_dry_run_is_sent_and_not_printed() {
    let dir = TestDir::new();
    dir.write("k", "secret-key\n");
    for file in ["k", "-"] {
        let refused = r#"{"outcome":"refused","reason":"key-unknown"}"#;
        let (address, handle) = serve_one_request(StubResponse::Json(200, refused));
        let args = ["route", "shop", "--admin", &address, "--key-file", file];
        let key = fs::File::open(dir.0.join("k")).expect("key");
        let output = dir.command(&args).stdin(key).output().expect("program");
        let sent = json_body(&handle.join().expect("request"));
        expect_that!(sent["key"], eq("secret-key"));
        let printed = format!("{output:?}");
        expect_that!(printed, not(contains_substring("secret-key")));
    }
}

fn json_body(request: &str) -> Value {
    let (_, body) = request.split_once("\r\n\r\n").expect("body");
    serde_json::from_str(body).expect("JSON")
}

/// Guards against an unknown outcome reported after a refused connection or for an invalid plan or
/// address, although no request was sent.
#[gtest]
fn failure_before_sending_is_an_error() {
    let dir = TestDir::new();
    dir.write("saved.json", PLAN);
    dir.write("cut.json", &PLAN[..20]);
    let unused = TcpListener::bind("127.0.0.1:0").expect("listener");
    let address = unused.local_addr().expect("address").to_string();
    drop(unused);
    let rows = [
        ("saved.json", address.as_str(), "can't connect"),
        ("cut.json", address.as_str(), "not a plan"),
        ("none.json", address.as_str(), "can't read plan"),
        ("saved.json", "localhost:1", "not an address"),
    ];
    let output = dir.run(&["route", "shop", "--admin", &address]);
    expect_that!(output.status.code(), some(eq(1)));
    expect_that!(error_message(&output), contains_substring("can't connect"));
    for (file, address, want) in rows {
        let output = dir.run(&["confirm", "--admin", address, "--author", "ama", file]);
        expect_that!(output.status.code(), some(eq(1)), "{want}");
        expect_that!(error_message(&output), contains_substring(want));
    }
}
