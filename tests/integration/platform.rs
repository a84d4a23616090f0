//! Nodes on the platform: routes from its store, announcements of targets, and requests, as
//! callers and targets see them. The targets are scripted byte by byte.

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use plantainpost_standin::{
    fleet::{self, TempDir},
    process::{self, Process, ProcessSettings, Signal},
    topics::{self, TopicFaults, TopicsHandle},
};

use crate::util::{FLEET_KEY, PATIENCE};

const BINARY: &str = env!("CARGO_BIN_EXE_plantainpost");

/// Start of a life of a target, in milliseconds since the Unix epoch.
const BORN: u64 = 1_770_140_801_833;

/// Addresses of one node.
const ADDRESSES: usize = 5;

/// What a scripted target does with one request.
enum Reply {
    /// Writes these bytes and keeps the connection.
    Keep(Vec<u8>),
    /// Writes these bytes and closes the connection.
    Close(Vec<u8>),
    /// Waits and then writes these bytes.
    After(Duration, Vec<u8>),
}

type Script = dyn Fn(&str) -> Reply + Send + Sync;

/// A target that answers by a script, and what it has received.
struct Target {
    addr: SocketAddr,
    received: Arc<Mutex<Vec<String>>>,
    /// Connections that the node has closed.
    closed: Arc<Mutex<usize>>,
}

impl Target {
    fn start(script: impl Fn(&str) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let addr = listener.local_addr().expect("an address");
        let received = Arc::default();
        let closed = Arc::default();
        let target = Target {
            addr,
            received: Arc::clone(&received),
            closed: Arc::clone(&closed),
        };
        let script: Arc<Script> = Arc::new(script);
        thread::spawn(move || {
            for io in listener.incoming().map_while(std::result::Result::ok) {
                let (script, received) = (Arc::clone(&script), Arc::clone(&received));
                let closed = Arc::clone(&closed);
                thread::spawn(move || {
                    serve(io, &*script, &received);
                    *closed.lock().expect("no panic") += 1;
                });
            }
        });
        target
    }

    fn received(&self) -> Vec<String> {
        self.received.lock().expect("no panic").clone()
    }
}

fn serve(mut io: TcpStream, script: &Script, received: &Mutex<Vec<String>>) {
    while let Some(head) = read_head(&mut io) {
        received.lock().expect("no panic").push(head.clone());
        let (bytes, keep) = match script(&head) {
            Reply::Keep(bytes) => (bytes, true),
            Reply::Close(bytes) => (bytes, false),
            Reply::After(pause, bytes) => {
                io.set_read_timeout(Some(pause)).expect("a timeout");
                // The node sends nothing more, so a read that ends is the close.
                if matches!(io.read(&mut [0; 1]), Ok(0)) {
                    return;
                }
                io.set_read_timeout(None).expect("a timeout");
                (bytes, true)
            }
        };
        if io.write_all(&bytes).is_err() || !keep {
            return;
        }
    }
}

fn read_head(io: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") {
        match io.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
    }
    Some(String::from_utf8_lossy(&head).to_ascii_lowercase())
}

/// Returns the value of a header of a head in lower case.
fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let line = head.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|line| line.strip_prefix(": "))
        .unwrap_or_default()
}

/// A whole answer to the request with this head.
fn answer(head: &str, status: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status}\r\nPlantainpost-Request-Id: {}\r\nPlantainpost-Server-Stamp: s1\r\n\
         Content-Length: {}\r\n\r\n{body}",
        header(head, "plantainpost-request-id"),
        body.len()
    )
    .into_bytes()
}

struct Host {
    callers: SocketAddr,
    control: SocketAddr,
    metrics: SocketAddr,
    settings: std::path::PathBuf,
    process: Process,
}

struct Platform {
    store: TopicsHandle,
    hosts: Vec<Host>,
    _dir: TempDir,
}

fn start_process(settings: &std::path::Path) -> Process {
    Process::start(&ProcessSettings {
        program: BINARY.into(),
        args: vec!["run".into(), settings.into()],
        ..Default::default()
    })
    .expect("the binary starts")
}

impl Platform {
    /// Starts nodes without routes and targets.
    fn start(count: usize) -> Self {
        let store = topics::start().expect("the store starts");
        let dir = TempDir::new().expect("a temporary directory");
        let key = dir.path().join("fleet.key");
        fs::write(&key, FLEET_KEY).expect("the key can be written");
        let addresses = fleet::free_addresses(count * ADDRESSES);
        let hosts = addresses.chunks(ADDRESSES).enumerate().map(|(i, at)| {
            let [callers, admin, peers, control] = [at[0], at[1], at[2], at[3]];
            let metrics = at[4];
            let text = format!(
                "[node]\nname = host-{i}\ndata_centre = pos\nregion = tt\nip = 127.0.0.1\n\
                 service = counter\n[listen]\ncallers = {callers}\nadmin = {admin}\n\
                 peer_tcp = {peers}\npeer_udp = {peers}\ncontrol = {control}\nmetrics = {metrics}\n\
                 [log]\naddress = {}\ninterface = topics\n[platform]\ngrace = 6 s\n\
                 [retry]\nfleet_slack = 50\n[security]\nkey_file = {}\n",
                store.address(),
                key.display()
            );
            let settings = dir.path().join(format!("host-{i}.ini"));
            fs::write(&settings, text).expect("settings can be written");
            Host {
                callers,
                control,
                metrics,
                process: start_process(&settings),
                settings,
            }
        });
        let hosts = hosts.collect();
        let platform = Platform {
            store,
            hosts,
            _dir: dir,
        };
        for i in 0..count {
            platform.wait_ready(i, "503");
        }
        platform
    }

    /// Starts one node with a target and routes to it.
    fn with_target(target: &Target) -> Self {
        let platform = Platform::start(1);
        platform.publish(4);
        platform.announce(0, target, "i-1", 1, "ready");
        platform.wait_ready(0, "200");
        platform
    }

    /// Publishes routes to the service `shelf`: safe ones below `/safe/`, others below
    /// `/once/`, and short ones below `/short/`.
    fn publish(&self, version: u64) {
        let route = |prefix: &str, kind: &str, timeout: u64| {
            format!(
                r#""r{prefix}":{{"host":"shop.example","pathPrefix":"{prefix}","kind":"{kind}",
                "timeoutMs":{timeout},"latencyTargetMs":{timeout},"priority":1,"attempts":2,
                "service":"shelf"}}"#
            )
        };
        let text = format!(
            r#"{{"version":{version},"routes":{{{},{},{}}},"services":{{"shelf":
            {{"healthPath":"/healthz","maxConns":260}}}},"limits":{{"maxHeaderBytes":16384,
            "maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
            route("/safe/", "safe", 5_000),
            route("/once/", "unsafe", 5_000),
            route("/short/", "safe", 400),
        );
        self.store.write("keyed.op", "config", text.as_bytes());
    }

    fn announce(&self, i: usize, target: &Target, id: &str, seq: u64, state: &str) -> String {
        self.announce_life(i, target, id, BORN, seq, state)
    }

    fn announce_life(
        &self,
        i: usize,
        target: &Target,
        id: &str,
        born: u64,
        seq: u64,
        state: &str,
    ) -> String {
        let body = format!(
            r#"{{"address":"{}","info":{{"service":"shelf","version":"v1","zone":"pos",
            "maxConcurrency":12}},"status":{{"state":"{state}","seq":{seq},"warmupMs":0}},
            "born":{born}}}"#,
            target.addr
        );
        self.control(i, "PUT", &format!("/-/instances/{id}"), &body)
    }

    fn control(&self, i: usize, method: &str, path: &str, body: &str) -> String {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Length: {}\r\n\
             \r\n{body}",
            body.len()
        );
        exchange(self.hosts[i].control, request.as_bytes())
    }

    fn wait_ready(&self, i: usize, status: &str) {
        let wanted = format!("HTTP/1.1 {status}");
        process::wait_until("readiness", PATIENCE, || {
            self.control(i, "GET", "/-/readyz", "").starts_with(&wanted)
        })
        .expect("the node becomes ready");
    }

    fn get(&self, i: usize, path: &str, id: &str) -> String {
        exchange(
            self.hosts[i].callers,
            &request("GET", path, id, "Connection: close\r\n"),
        )
    }
}

fn request(method: &str, path: &str, id: &str, more: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nPlantainpost-Request-Id: {id}\r\n\
         Plantainpost-Deadline-Ms: 3000\r\nPlantainpost-Caller: forged\r\n{more}\r\n"
    )
    .into_bytes()
}

/// Sends bytes and returns what comes back until the end of the connection.
fn exchange(addr: SocketAddr, bytes: &[u8]) -> String {
    let Ok(mut io) = TcpStream::connect(addr) else {
        return String::new();
    };
    io.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    io.write_all(bytes).expect("the node reads");
    let mut text = Vec::new();
    // A reset ends the text as well.
    let _ = io.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

fn body(text: &str) -> &str {
    text.split_once("\r\n\r\n").map_or("", |(_, body)| body)
}

/// Guards against requests that are served before a configuration is known, or without a
/// route, and against headers that the target or the caller misses.
#[gtest]
fn a_request_is_routed_and_its_answer_is_passed_on() {
    let target = Target::start(|head| Reply::Keep(answer(head, "200 OK", "stock")));
    let platform = Platform::start(1);
    let early = platform.get(0, "/safe/1", "a1");
    expect_that!(early, starts_with("HTTP/1.1 503"));
    expect_that!(
        early.to_lowercase(),
        contains_substring("\r\nretry-after: ")
    );
    platform.publish(4);
    platform.announce(0, &target, "i-1", 1, "ready");
    platform.wait_ready(0, "200");
    let text = platform.get(0, "/safe/1?q=2", "a2");
    expect_that!(text, starts_with("HTTP/1.1 200"));
    expect_that!(body(&text), eq("stock"));
    expect_that!(
        text.to_lowercase(),
        contains_substring("plantainpost-server-stamp: s1")
    );
    let received = target.received();
    let head = received.last().expect("a request");
    expect_that!(head, starts_with("get /safe/1?q=2 http/1.1"));
    expect_that!(header(head, "plantainpost-request-id"), eq("a2"));
    expect_that!(header(head, "plantainpost-expect-instance"), eq("i-1"));
    expect_that!(header(head, "plantainpost-caller"), eq("counter"));
    expect_that!(head.matches("plantainpost-caller").count(), eq(1));
    let left: u64 = header(head, "plantainpost-deadline-ms")
        .parse()
        .expect("a number");
    expect_that!(left, all![gt(2_000), le(3_000)]);
    expect_that!(
        platform.get(0, "/none/1", "a3"),
        starts_with("HTTP/1.1 404")
    );
    expect_that!(target.received().len(), eq(1));
    let ask = b"GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n";
    let metrics = exchange(platform.hosts[0].metrics, ask);
    expect_that!(
        metrics,
        contains_substring("plantainpost_entry_answered 1\n")
    );
    expect_that!(
        metrics,
        contains_substring("plantainpost_entry_total_us{quantile=\"0.99\"}")
    );
}

/// Guards against requests that reach a target after it was told that its leaving is known,
/// against a late announcement that brings it back, and against a new life under the old id
/// that stays shut out.
#[gtest]
fn an_acknowledged_leave_holds() {
    let target = Target::start(|head| Reply::Keep(answer(head, "200 OK", "stock")));
    let platform = Platform::with_target(&target);
    expect_that!(
        platform.get(0, "/safe/1", "b1"),
        starts_with("HTTP/1.1 200")
    );
    let known = platform.announce(0, &target, "i-1", 2, "draining");
    expect_that!(known, starts_with("HTTP/1.1 200"));
    expect_that!(
        platform.get(0, "/safe/1", "b2"),
        starts_with("HTTP/1.1 503")
    );
    platform.announce(0, &target, "i-1", 1, "ready");
    expect_that!(
        platform.get(0, "/safe/1", "b3"),
        starts_with("HTTP/1.1 503")
    );
    platform.control(0, "DELETE", "/-/instances/i-1", "");
    platform.announce(0, &target, "i-1", 3, "ready");
    expect_that!(
        platform.get(0, "/safe/1", "b4"),
        starts_with("HTTP/1.1 503")
    );
    platform.announce_life(0, &target, "i-1", BORN + 5_000, 1, "ready");
    expect_that!(
        platform.get(0, "/safe/1", "b5"),
        starts_with("HTTP/1.1 200")
    );
    platform.announce_life(0, &target, "i-0", BORN, 9, "ready");
    let text = platform.get(0, "/safe/1", "b6");
    expect_that!(text, starts_with("HTTP/1.1 200"));
    expect_that!(target.received().len(), eq(3));
}

/// Guards against answers in another order than the requests of a connection, and against
/// requests that wait for the ones before them.
#[gtest]
fn pipelined_requests_run_together_and_answer_in_order() {
    let target = Target::start(|head| {
        let text = answer(head, "200 OK", header(head, "plantainpost-request-id"));
        let pause = match head.contains("/slow") {
            true => 600,
            false => 500,
        };
        Reply::After(Duration::from_millis(pause), text)
    });
    let platform = Platform::with_target(&target);
    let mut bytes = request("GET", "/safe/slow", "c1", "");
    bytes.extend(request("GET", "/safe/2", "c2", ""));
    bytes.extend(request("GET", "/safe/3", "c3", "Connection: close\r\n"));
    let started = Instant::now();
    let text = exchange(platform.hosts[0].callers, &bytes);
    let took = started.elapsed();
    let order: Vec<usize> = ["\r\n\r\nc1", "\r\n\r\nc2", "\r\n\r\nc3"]
        .iter()
        .filter_map(|body| text.find(body))
        .collect();
    expect_that!(order.len(), eq(3), "{text}");
    expect_true!(order.is_sorted());
    // One after the other they would take 1.6 s.
    expect_that!(took, lt(Duration::from_millis(1_400)));
}

/// Guards against an answer that belongs to another request, is not whole, or is none.
#[gtest]
fn faulty_answers_are_never_passed_on_as_success() {
    let target = Target::start(|head| {
        let own = answer(head, "200 OK", "whole");
        let cut = own[..own.len() - 2].to_vec();
        let other = answer("plantainpost-request-id: zz", "200 OK", "other");
        match header(head, "plantainpost-request-id") {
            "extra" => Reply::Keep([&own[..], &own[..]].concat()),
            "cut" => Reply::Close(cut),
            "foreign" => Reply::Close(other),
            "late" => Reply::Keep([other, own].concat()),
            "garbage" => Reply::Close(b"\x01\x02 no answer\r\n\r\n".to_vec()),
            "silent" => Reply::Close(Vec::new()),
            _ => Reply::Keep(own),
        }
    });
    let platform = Platform::with_target(&target);
    let rows = [
        ("extra", "200", "whole"),
        ("after-extra", "200", "whole"),
        ("cut", "502", ""),
        ("foreign", "502", ""),
        ("late", "200", "whole"),
        ("garbage", "502", ""),
        ("silent", "502", ""),
        ("last", "200", "whole"),
    ];
    for (id, status, wanted) in rows {
        let bytes = request(
            "POST",
            "/once/1",
            id,
            "Content-Length: 0\r\nConnection: close\r\n",
        );
        let text = exchange(platform.hosts[0].callers, &bytes);
        expect_that!(
            text,
            starts_with(format!("HTTP/1.1 {status}")),
            "{id}: {text}"
        );
        if status == "200" {
            expect_that!(body(&text), eq(wanted), "{id}");
        }
        let runs = target.received();
        let runs = runs
            .iter()
            .filter(|head| header(head, "plantainpost-request-id") == id);
        expect_that!(runs.count(), eq(1), "{id} ran more than once");
    }
}

/// Guards against an answer that ends with its connection and is refused, and against a
/// promise of "not run" for a request that the target did not refuse.
#[gtest]
fn answers_without_length_and_refusals_are_told_as_they_are() {
    let target = Target::start(|head| match header(head, "plantainpost-request-id") {
        "unframed" => {
            let text = "HTTP/1.1 200 OK\r\nPlantainpost-Request-Id: unframed\r\n\r\nto the end";
            Reply::Close(text.as_bytes().to_vec())
        }
        "shed" => {
            let text = "HTTP/1.1 503 No\r\nPlantainpost-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
            Reply::Keep(text.as_bytes().to_vec())
        }
        _ => Reply::Keep(answer(head, "503 Failed", "failed")),
    });
    let platform = Platform::with_target(&target);
    let text = platform.get(0, "/safe/1", "unframed");
    expect_that!(text, starts_with("HTTP/1.1 200"));
    expect_that!(body(&text), contains_substring("to the end"));
    let post = |id| {
        request(
            "POST",
            "/once/1",
            id,
            "Content-Length: 0\r\nConnection: close\r\n",
        )
    };
    let shed = exchange(platform.hosts[0].callers, &post("shed"));
    expect_that!(shed, starts_with("HTTP/1.1 503"));
    expect_that!(
        shed.to_lowercase(),
        contains_substring("plantainpost-outcome: not-run")
    );
}

/// Guards against requests that are held past the time of their route, and against work for a
/// caller that has gone.
#[gtest]
fn a_request_ends_with_its_time_or_its_caller() {
    let target =
        Target::start(|head| Reply::After(Duration::from_secs(4), answer(head, "200 OK", "late")));
    let platform = Platform::with_target(&target);
    let started = Instant::now();
    let text = platform.get(0, "/short/1", "d1");
    expect_that!(text, starts_with("HTTP/1.1 504"));
    expect_that!(started.elapsed(), lt(Duration::from_millis(900)));
    let closed = || *target.closed.lock().expect("no panic");
    let before = closed();
    let mut io = TcpStream::connect(platform.hosts[0].callers).expect("a connection");
    io.write_all(&request("GET", "/safe/1", "d2", ""))
        .expect("the node reads");
    process::wait_until("the request reaches the target", PATIENCE, || {
        target.received().len() == 2
    })
    .expect("a request");
    drop(io);
    let gone = Instant::now();
    process::wait_until("the target's connection is closed", PATIENCE, || {
        closed() > before
    })
    .expect("a close");
    expect_that!(gone.elapsed(), lt(Duration::from_millis(500)));
}

/// Guards against bodies longer than the configuration allows, and malformed requests, that
/// reach a target or end the process.
#[gtest]
fn bad_input_is_refused() {
    let target = Target::start(|head| Reply::Keep(answer(head, "200 OK", "stock")));
    let platform = Platform::with_target(&target);
    let long = "Content-Length: 1001\r\n";
    let rows = [
        ("too long", request("POST", "/once/1", "e1", long), "413"),
        ("no request", b"\x01\x02\r\n\r\n".to_vec(), "400"),
        (
            "two hosts",
            request("GET", "/safe/1", "e2", "Host: b\r\n"),
            "400",
        ),
        (
            "a long head",
            request(
                "GET",
                "/safe/1",
                "e3",
                &format!("x: {}\r\n", "y".repeat(20_000)),
            ),
            "431",
        ),
    ];
    for (name, bytes, status) in rows {
        let text = exchange(platform.hosts[0].callers, &bytes);
        expect_that!(
            text,
            starts_with(format!("HTTP/1.1 {status}")),
            "{name}: {text}"
        );
    }
    for body in ["", "{", "[]", r#"{"address":"x"}"#] {
        let text = platform.control(0, "PUT", "/-/instances/i-9", body);
        expect_that!(text, starts_with("HTTP/1.1 400"), "{body}");
    }
    expect_that!(target.received().len(), eq(0));
    expect_that!(
        platform.get(0, "/safe/1", "e4"),
        starts_with("HTTP/1.1 200")
    );
}

/// Guards against a node that stays without routes because the store refuses it, although its
/// peers know them, and against a change that does not reach a node the store refuses.
#[gtest]
fn a_node_that_the_store_refuses_learns_from_its_peers() {
    let target = Target::start(|head| Reply::Keep(answer(head, "200 OK", "stock")));
    let mut platform = Platform::start(2);
    platform.publish(4);
    platform.announce(0, &target, "i-1", 1, "ready");
    platform.wait_ready(0, "200");
    platform.wait_ready(1, "200");
    process::wait_until("the other node's target", PATIENCE, || {
        platform.get(1, "/safe/1", "f1").starts_with("HTTP/1.1 200")
    })
    .expect("an answer from the other host");
    platform.store.set_faults(TopicFaults {
        refuse: true,
        ..Default::default()
    });
    let host = &mut platform.hosts[1];
    host.process.signal(Signal::Kill).expect("the process runs");
    host.process.wait_exit(PATIENCE).expect("an end");
    host.process = start_process(&host.settings);
    platform.wait_ready(1, "200");
    process::wait_until("an answer after the restart", PATIENCE, || {
        platform.get(1, "/safe/1", "f2").starts_with("HTTP/1.1 200")
    })
    .expect("an answer from the other host");
}

/// Guards against a stop that cuts a request in progress, tells that it is ready, or takes
/// longer than the platform waits; and against a reload that ends the process.
#[gtest]
fn a_stop_finishes_requests_and_a_reload_goes_on() {
    let target = Target::start(|head| {
        Reply::After(Duration::from_millis(1_500), answer(head, "200 OK", "done"))
    });
    let mut platform = Platform::with_target(&target);
    let hangup = platform.hosts[0].process.signal(Signal::Hangup);
    hangup.expect("the process runs");
    let callers = platform.hosts[0].callers;
    let caller = thread::spawn(move || exchange(callers, &request("GET", "/safe/1", "g1", "")));
    process::wait_until("the request reaches the target", PATIENCE, || {
        target.received().len() == 1
    })
    .expect("a request");
    let started = Instant::now();
    platform.hosts[0]
        .process
        .signal(Signal::Term)
        .expect("the process runs");
    platform.wait_ready(0, "503");
    let text = caller.join().expect("no panic");
    expect_that!(text, starts_with("HTTP/1.1 200"), "{text}");
    expect_that!(body(&text), eq("done"));
    expect_that!(text.to_lowercase(), contains_substring("connection: close"));
    platform.hosts[0]
        .process
        .wait_exit(PATIENCE)
        .expect("an end");
    expect_that!(started.elapsed(), lt(Duration::from_secs(6)));
}
