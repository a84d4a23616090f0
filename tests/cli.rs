//! The command line, started as operators start it.

use std::{
    fs,
    io::{Read, Write},
    net::TcpListener,
    path::PathBuf,
    process::{Command, Output},
    thread,
    time::Duration,
};

use googletest::prelude::*;
use serde_json::{Value, json};

const EXAMPLE: &str = include_str!("../docs/plantainpost.ini");
const FLEET_KEY: &str = "fleet-key-of-the-tests-0123456789abcdef";
const TOKEN: &str = "token-of-the-tests-0123456789";

/// Directory with the files that the example settings name.
struct Dir(PathBuf);

impl Dir {
    fn new() -> Self {
        let name = format!("cli-{}", uuid::Uuid::new_v4());
        let dir = Dir(PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name));
        fs::create_dir(&dir.0).expect("directory");
        dir.write("fleet.key", FLEET_KEY);
        dir.write("next-fleet.key", FLEET_KEY);
        dir.write("admin.token", TOKEN);
        dir.write("short", "short-secret");
        dir
    }

    fn write(&self, name: &str, content: &str) {
        fs::write(self.0.join(name), content).expect("file");
    }

    fn command(&self, args: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_plantainpost"));
        command
            .args(args)
            .current_dir(&self.0)
            .env_remove("PLANTAINPOST_TOKEN");
        command
    }

    fn run(&self, args: &[&str]) -> Output {
        self.command(args).output().expect("program")
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Returns the message on standard error after checking that it is one line.
fn message(output: &Output) -> String {
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    expect_that!(text.lines().count(), eq(1), "{text}");
    text.trim_end()
        .trim_start_matches("plantainpost: ")
        .to_owned()
}

/// Returns the settings in which every default and example is given.
fn with_all_keys() -> String {
    let uncomment = |line: &str| match line.strip_prefix("# ") {
        Some(rest) if rest.contains(" = ") => format!("{rest}\n"),
        Some("contacts =") => "contacts =\n".to_owned(),
        _ => format!("{line}\n"),
    };
    EXAMPLE.lines().map(uncomment).collect()
}

/// Guards against an example file that lags behind the keys, and against defaults that
/// differ from the documented ones.
#[gtest]
fn example_file_is_complete_and_accepted() {
    let dir = Dir::new();
    expect_that!(stdout(&dir.run(&["check", "--example"])), eq(EXAMPLE));
    dir.write("short.ini", EXAMPLE);
    dir.write("all.ini", &with_all_keys());
    let short = dir.run(&["check", "--json", "short.ini"]);
    let all = dir.run(&["check", "--json", "all.ini"]);
    expect_that!(all.status.code(), some(eq(0)), "{all:?}");
    let short: Value = serde_json::from_slice(&short.stdout).expect("JSON");
    let mut all: Value = serde_json::from_slice(&all.stdout).expect("JSON");
    let security = all["security"].as_object_mut().expect("section");
    expect_true!(security.remove("second_key_file").is_some());
    expect_true!(security.remove("token_file").is_some());
    expect_that!(all, eq(&short));
}

/// Each row changes one line of the full example: the failure that it guards against,
/// the line, what replaces it, and the message after file and line.
#[rustfmt::skip]
const SETTINGS: &[(&str, &str, &str, &str)] = &[
    ("a misspelt key is ignored", "poll = 1 s", "pol = 1 s",
     "unknown key `pol` in [log]; did you mean `poll` in [log]?"),
    ("a key in the wrong section is ignored", "poll = 1 s", "policy = random",
     "unknown key `policy` in [log]; did you mean `policy` in [balance]?"),
    ("a misspelt section is ignored", "[log]", "[logs]",
     "unknown section [logs]; did you mean [log]?"),
    ("a key without section is ignored", "[node]", "name = x",
     "`name` stands before any section; move it below [section]"),
    ("the first of two values wins silently", "poll = 1 s", "poll = 1 s\npoll = 2 s",
     "`poll` in [log] is given twice; remove one"),
    ("a line without value is ignored", "poll = 1 s", "poll",
     "; write [section] and key = value lines"),
    ("a time without unit is taken for seconds", "poll = 1 s", "poll = 1",
     "`poll` in [log] can't be `1`; allowed: 100 ms to 1 min, unit ms, s or min"),
    ("an unknown unit is ignored", "poll = 1 s", "poll = 1 h",
     "`poll` in [log] can't be `1 h`; allowed: 100 ms to 1 min, unit ms, s or min"),
    ("a size is given in units of time", "body = 32 MiB", "body = 32 s",
     "`body` in [limits] can't be `32 s`; allowed: 1 KiB to 1024 MiB, unit B, KiB or MiB"),
    ("a size of powers of ten is read as powers of two", "body = 32 MiB", "body = 32 MB",
     "`body` in [limits] can't be `32 MB`; allowed: 1 KiB to 1024 MiB, unit B, KiB or MiB"),
    ("a size overflows", "body = 32 MiB", "body = 18446744073709551615 MiB",
     "`body` in [limits] can't be `18446744073709551615 MiB`; allowed: 1 KiB to 1024 MiB, unit B, KiB or MiB"),
    ("a time below its range is accepted", "poll = 1 s", "poll = 99 ms",
     "`poll` in [log] can't be `99 ms`; allowed: 100 ms to 1 min, unit ms, s or min"),
    ("a time above its range is accepted", "max_timeout = 120 s", "max_timeout = 120001 ms",
     "`max_timeout` in [limits] can't be `120001 ms`; allowed: 1 ms to 2 min, unit ms, s or min"),
    ("a negative number is accepted", "queue = 2", "queue = -1",
     "`queue` in [limits] can't be `-1`; allowed: 0 to 2, no unit"),
    ("a queue above the design's bound is accepted", "queue = 2", "queue = 3",
     "`queue` in [limits] can't be `3`; allowed: 0 to 2, no unit"),
    ("a count with unit is accepted", "connections = 1024", "connections = 1 KiB",
     "`connections` in [limits] can't be `1 KiB`; allowed: 1 to 65536, no unit"),
    ("a comment after a value becomes part of it", "queue = 2", "queue = 2 # two",
     "`queue` in [limits] can't be `2 # two`; allowed: 0 to 2, no unit"),
    ("a listener address is resolved by name", "callers = 0.0.0.0:8080", "callers = localhost:80",
     "`callers` in [listen] can't be `localhost:80`; allowed: IP number and port, such as 10.0.0.7:8082"),
    ("an address without port is accepted", "callers = 0.0.0.0:8080", "callers = 10.0.0.7",
     "`callers` in [listen] can't be `10.0.0.7`; allowed: IP number and port, such as 10.0.0.7:8082"),
    ("a random port is chosen silently", "callers = 0.0.0.0:8080", "callers = 0.0.0.0:0",
     "`callers` in [listen] can't be `0.0.0.0:0`; allowed: IP number and port, such as 10.0.0.7:8082"),
    ("peers are told an address that reaches no host", "ip = 10.0.0.7", "ip = 0.0.0.0",
     "`ip` in [node] can't be `0.0.0.0`; allowed: IP number of this host, such as 10.0.0.7"),
    ("one bad contact is skipped", "contacts =", "contacts = 10.0.0.1:8082, 10.0.0.2",
     "`contacts` in [peers] can't be `10.0.0.1:8082, 10.0.0.2`; allowed: IP numbers with ports, separated by commas"),
    ("a log address with a scheme is accepted", "address = 10.0.0.9:9000", "address = http://log",
     "`address` in [log] can't be `http://log`; allowed: host and port, such as 10.0.0.9:9000"),
    ("two names differ only in case", "name = stock-1", "name = Stock-1",
     "`name` in [node] can't be `Stock-1`; allowed: 1 to 63 of a-z, 0-9, '-' and '.'"),
    ("an unknown policy falls back to the default", "policy = predicted-completion", "policy = best",
     "`policy` in [balance] can't be `best`; allowed: one of predicted-completion, random, round-robin, least-in-flight, two-choices-reported"),
    ("a missing key is started with", "name = stock-1", "",
     "`name` in [node] is missing; allowed: 1 to 63 of a-z, 0-9, '-' and '.'"),
    ("a key file that can't be read is ignored", "key_file = fleet.key", "key_file = none",
     "can't read key file none: No such file or directory (os error 2); check name and permissions"),
    ("a weak key is accepted, or shown", "second_key_file = next-fleet.key", "second_key_file = short",
     "second key holds 12 bytes; allowed: at least 32 bytes"),
    ("a weak token is accepted, or shown", "token_file = admin.token", "token_file = short",
     "token holds 12 bytes; allowed: at least 16 bytes"),
    ("a default above the maximum is accepted", "max_timeout = 120 s", "max_timeout = 5 s",
     "`default_timeout` in [limits] is 10 s; allowed: at most max_timeout, which is 5 s"),
    ("a planned stop cuts off requests", "stop_timeout = 130 s", "stop_timeout = 119 s",
     "`max_timeout` in [limits] is 2 min; allowed: at most stop_timeout, which is 119 s"),
];

/// Guards against the failure that each row names.
#[gtest]
fn settings_faults() {
    let dir = Dir::new();
    let all = with_all_keys();
    for (failure, line, replacement, want) in SETTINGS {
        let number = all
            .lines()
            .position(|l| l == *line)
            .expect("line of the example")
            + 1;
        let changed = all.replacen(&format!("\n{line}\n"), &format!("\n{replacement}\n"), 1);
        dir.write("node.ini", &changed);
        let output = dir.run(&["check", "node.ini"]);
        let message = message(&output);
        expect_that!(output.status.code(), some(eq(1)), "{failure}");
        expect_that!(message, ends_with(*want), "{failure}");
        expect_that!(
            message,
            not(contains_substring("short-secret")),
            "{failure}"
        );
        if !want.contains("is missing") && !want.contains(" in [limits] is ") {
            let near =
                (number..=number + 2).any(|n| message.starts_with(&format!("node.ini:{n}: ")));
            expect_true!(near, "{failure}: line {number}, not `{message}`");
        }
    }
}

/// Guards against an open admin listener without a token, and against a token that
/// the environment can't give.
#[gtest]
fn admin_listener_off_loopback_needs_a_token() {
    let dir = Dir::new();
    let open = EXAMPLE.replace("# admin = 127.0.0.1:8081", "admin = 0.0.0.0:8081");
    dir.write("node.ini", &open);
    let refused = dir.run(&["check", "node.ini"]);
    expect_that!(refused.status.code(), some(eq(1)));
    expect_that!(message(&refused), contains_substring("needs a token"));
    let mut command = dir.command(&["check", "node.ini"]);
    let accepted = command
        .env("PLANTAINPOST_TOKEN", TOKEN)
        .output()
        .expect("program");
    expect_that!(accepted.status.code(), some(eq(0)));
}

/// Guards against keys and tokens in the output, in both forms.
#[gtest]
fn check_shows_no_secret() {
    let dir = Dir::new();
    dir.write("node.ini", &with_all_keys());
    for args in [&["check", "node.ini"][..], &["check", "--json", "node.ini"]] {
        let output = dir.run(args);
        let text = format!(
            "{}{}",
            stdout(&output),
            String::from_utf8_lossy(&output.stderr)
        );
        expect_that!(text, contains_substring("fleet.key"));
        expect_that!(text, not(contains_substring(FLEET_KEY)));
        expect_that!(text, not(contains_substring(TOKEN)));
    }
}

/// Guards against wrong command lines that are taken for another error, and against
/// messages of several lines.
#[gtest]
fn usage_faults() {
    let dir = Dir::new();
    let rows: &[&[&str]] = &[
        &[],
        &["bogus"],
        &["check"],
        &["status", "--bogus"],
        &["plan", "measure", "5"],
        &["plan", "--author", "a"],
        &["plan", "--author", "a", "leave"],
        &["plan", "--author", "a", "measure", "1001"],
        &["plan", "--author", "a", "measure", "5 %"],
        &["plan", "--author", "a", "share", "stock"],
        &["plan", "--author", "a", "share", "stock", "--target", "a"],
        &[
            "plan", "--author", "a", "share", "stock", "--target", "a=-1",
        ],
        &[
            "plan", "--author", "a", "share", "stock", "--target", "a=1", "--target", "a=2",
        ],
        &["plan", "--author", "a", "restore", "last"],
        &["confirm", "--author", "a"],
        &["explain"],
        &["explain", "--request", "1", "--target", "a"],
    ];
    for args in rows {
        let output = dir.run(args);
        expect_that!(output.status.code(), some(eq(2)), "{args:?}");
        message(&output);
    }
    let help = dir.run(&["--help"]);
    expect_that!(help.status.code(), some(eq(0)));
    expect_that!(stdout(&help), contains_substring("Exit codes:"));
}

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
     Answer::Json(200, "{}"), "POST /v1/confirm", 4, "answer without outcome"),
    ("a refused token passes for an unknown outcome", &["confirm", "--author", "ama", "saved.json"],
     Answer::Json(401, "{}"), "POST /v1/confirm", 1, "refused the token"),
    ("a table loses columns", &["status"],
     Answer::Json(200, r#"{"version":7,"members":[{"name":"a"},{"name":"b","state":"dead"}]}"#),
     "GET /v1/status", 0, "name  state\n  a\n  b     dead\n"),
    ("JSON output is not JSON", &["status", "--json"],
     Answer::Json(200, r#"{"version":7}"#), "GET /v1/status", 0, "{\n  \"version\": 7\n}\n"),
    ("a cut answer is shown", &["status"], Answer::Cut, "GET /v1/status", 1, "no complete answer"),
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
