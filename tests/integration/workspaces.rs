//! Workspaces and their keys at the entry: which requests are refused, and what targets and operators
//! get to see.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
};

use googletest::prelude::*;
use plantainpost_core::workspace::KeyHash;

use crate::{
    fleet_fixture::WAIT_TIMEOUT,
    platform_fixture::{
        PlatformFleet, ScriptedReply, ScriptedTarget, answer, body, exchange, header, read_head,
        request_head,
    },
};

/// Publishes a configuration with a private and a public route to the service `shelf`, and with
/// workspaces, each with its keys, unless there are none.
pub(crate) fn publish_workspaces(
    platform: &PlatformFleet,
    version: u64,
    workspaces: &[(&str, &[&str])],
) {
    let route = |prefix: &str, public: bool| {
        format!(
            r#""r{prefix}":{{"host":"shop.example","pathPrefix":"{prefix}","kind":"safe",
            "timeoutMs":5000,"latencyTargetMs":5000,"priority":1,"attempts":2,"service":"shelf",
            "public":{public}}}"#
        )
    };
    let tenants = workspaces
        .iter()
        .map(|(name, keys)| format!(r#""{name}":{{"apiKeys":{keys:?}}}"#));
    let tenants = match workspaces {
        [] => String::new(),
        _ => format!(
            r#""tenants":{{{}}},"#,
            tenants.collect::<Vec<_>>().join(",")
        ),
    };
    let text = format!(
        r#"{{"version":{version},{tenants}"routes":{{{},{}}},"services":{{"shelf":
        {{"healthPath":"/healthz","maxConns":260}}}},"limits":{{"maxHeaderBytes":16384,
        "maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        route("/safe/", false),
        route("/open/", true),
    );
    platform
        .store
        .append_keyed("keyed.op", "config", text.as_bytes());
}

/// Starts a node with a target and the workspaces `acme` with the keys `k1` and `k2` and `zeta` with
/// `k3`.
fn start(target: &ScriptedTarget) -> PlatformFleet {
    let platform = PlatformFleet::start(1);
    publish_workspaces(
        &platform,
        4,
        &[("acme", &["k1-secret", "k2-secret"]), ("zeta", &["k3"])],
    );
    platform.announce(0, target, "i-1", 1, "ready");
    platform.wait_readyz(0, "200");
    platform
}

fn stock_target() -> ScriptedTarget {
    ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "stock")))
}

/// Expected result of a request: the workspace that the target sees, or the reason of a 401.
type Expected = std::result::Result<&'static str, &'static str>;

/// Guards against keys that reach targets, names of workspaces that callers forge, requests that run
/// without a valid key, and refused ones on public routes.
#[gtest]
fn targets_see_the_workspace_and_never_the_key() {
    let target = stock_target();
    let platform = start(&target);
    let forged = "Plantainpost-Tenant: evil\r\nPLANTAINPOST-TENANT: evil\r\n\
                  Plantainpost_Tenant: evil\r\nplantainpost-tenant:evil\r\n";
    let forged_and_key = format!("{forged}Plantainpost-Key: k3\r\n{forged}");
    let rows: [(&str, &str, Expected); 17] = [
        ("/safe/1", "Plantainpost-Key: k1-secret\r\n", Ok("acme")),
        ("/safe/2", "pLANTAINPOST-kEY:   k2-secret  \r\n", Ok("acme")),
        ("/safe/3", &forged_and_key, Ok("zeta")),
        (
            "/safe/4",
            "Plantainpost-Key: k3\r\nPlantainpost-Key: k3\r\n",
            Ok("zeta"),
        ),
        (
            "/safe/5",
            "Connection: plantainpost-key\r\nPlantainpost-Key: k3\r\n",
            Ok("zeta"),
        ),
        (
            "/safe/6",
            "Plantainpost-Key: k3\r\nPlantainpost_Key: k1-secret\r\n",
            Ok("zeta"),
        ),
        ("/safe/7", "", Err("key-missing")),
        ("/safe/8", "Plantainpost-Key: \r\n", Err("key-missing")),
        ("/safe/9", "Plantainpost_Key: k3\r\n", Err("key-missing")),
        ("/safe/10", forged, Err("key-missing")),
        ("/safe/11", "Plantainpost-Key: K3\r\n", Err("key-unknown")),
        (
            "/safe/12",
            "Plantainpost-Key: k3, k3\r\n",
            Err("key-unknown"),
        ),
        (
            "/safe/13",
            "Plantainpost-Key: k3\r\nPlantainpost-Key: k1-secret\r\n",
            Err("key-unknown"),
        ),
        ("/open/1", "", Ok("")),
        ("/open/2", "Plantainpost-Key: k1-secret\r\n", Ok("")),
        ("/open/3", "Plantainpost-Key: unknown-secret\r\n", Ok("")),
        ("/open/4", &forged_and_key, Ok("")),
    ];
    for (path, headers, expected) in rows {
        let head = request_head("GET", path, "w1", headers);
        let close = request_head("GET", "/none/1", "w2", "Connection: close\r\n");
        let text = exchange(platform.hosts[0].callers, &[head, close].concat());
        let text = text.to_lowercase();
        let heads = target.received_heads();
        let received = heads
            .iter()
            .find(|head| head.contains(&format!("get {path} ")));
        match expected {
            Ok(workspace) => {
                expect_that!(text, starts_with("http/1.1 200"), "{path}: {text}");
                let head = received.expect("the target gets the request");
                expect_that!(header(head, "plantainpost-tenant"), eq(workspace), "{path}");
                for hidden in ["evil", "secret", "-key", "_key", "k3", "_tenant"] {
                    expect_that!(head, not(contains_substring(hidden)), "{path}");
                }
                let count = head.matches("plantainpost-tenant").count();
                expect_that!(count, eq(usize::from(!workspace.is_empty())), "{path}");
            }
            Err(reason) => {
                expect_that!(text, starts_with("http/1.1 401"), "{path}: {text}");
                expect_that!(header(&text, "plantainpost-reason"), eq(reason), "{path}");
                expect_that!(
                    header(&text, "plantainpost-outcome"),
                    eq("not-run"),
                    "{path}"
                );
                let challenge = header(&text, "www-authenticate");
                expect_that!(challenge, contains_substring("plantainpost-key"), "{path}");
                expect_that!(received, none(), "{path}");
            }
        }
        // The connection stays open for the next request.
        expect_that!(text, contains_substring("http/1.1 404"), "{path}");
    }
    expect_no_secrets(&platform);
}

/// Checks that neither logs nor pages for operators show a key or its hash.
fn expect_no_secrets(platform: &PlatformFleet) {
    let get = |addr: SocketAddr, path: &str| {
        let head = format!("GET {path} HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n");
        exchange(addr, head.as_bytes())
    };
    let host = &platform.hosts[0];
    let status = get(host.admin, "/v1/status");
    expect_that!(status, contains_substring(r#""workspaces":2"#));
    expect_that!(status, contains_substring(r#""keys":3"#));
    let metrics = get(host.metrics, "/metrics");
    let line = r#"plantainpost_workspace_request{workspace="zeta",outcome="answered"} 4"#;
    expect_that!(metrics, contains_substring(line));
    expect_that!(
        metrics,
        contains_substring("plantainpost_entry_unauthorized 7\n")
    );
    let json = get(host.admin, "/v1/metrics");
    let logs = host.process.lines().join("\n");
    expect_that!(logs, contains_substring("workspace: zeta"));
    let hash = serde_json::to_value(KeyHash::of(b"k1-secret")).expect("a value");
    let bytes: Vec<u8> = serde_json::from_value(hash.clone()).expect("bytes");
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    for (name, text) in [
        ("status", status),
        ("metrics", metrics),
        ("json", json),
        ("logs", logs),
    ] {
        for secret in ["secret", &hash.to_string(), &hex] {
            expect_that!(
                text.to_lowercase(),
                not(contains_substring(secret)),
                "{name}"
            );
        }
    }
}

/// Guards against requests behind a refused one that are lost with its body or its connection.
#[gtest]
fn refusal_leaves_the_connection_usable() {
    let target = stock_target();
    let platform = start(&target);
    let chunked = "4\r\nabcd\r\n0\r\nPlantainpost-Key: k3\r\n\r\n";
    let rows = [
        ("Content-Length: 4\r\n", "abcd"),
        ("Transfer-Encoding: chunked\r\n", chunked),
    ];
    for (headers, payload) in rows {
        let first = request_head("POST", "/safe/refused", "c1", headers);
        let second = "Plantainpost-Key: k3\r\nConnection: close\r\n";
        let second = request_head("GET", "/safe/1", "c2", second);
        let bytes = [first, payload.into(), second].concat();
        let text = exchange(platform.hosts[0].callers, &bytes);
        expect_that!(text, starts_with("HTTP/1.1 401"), "{headers}");
        expect_that!(text.matches("HTTP/1.1 200").count(), eq(1), "{text}");
        expect_that!(text, ends_with("\r\n\r\nstock"), "{headers}");
    }
    let heads = target.received_heads();
    expect_that!(heads.iter().any(|head| head.contains("refused")), eq(false));
}

/// Starts a target that records whole requests with a body of 4 bytes in any framing.
fn start_recording_target() -> (ScriptedTarget, Arc<Mutex<Vec<u8>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let addr = listener.local_addr().expect("an address");
    let received = Arc::new(Mutex::new(Vec::new()));
    let all = Arc::clone(&received);
    let serve = move |mut io: TcpStream, all: &Mutex<Vec<u8>>| {
        while let Some(head) = read_head(&mut io) {
            let mut piece = vec![0; 4 * 1024];
            let mut bytes = head.clone().into_bytes();
            // What follows the end of the body would arrive with it, as nodes write both at once.
            while head.starts_with("post") && !bytes.windows(4).any(|part| part == b"abcd") {
                match io.read(&mut piece) {
                    Ok(count) if count > 0 => bytes.extend_from_slice(&piece[..count]),
                    _ => break,
                }
            }
            all.lock().expect("no panic").extend_from_slice(&bytes);
            if io.write_all(&answer(&head, "200 OK", "stock")).is_err() {
                return;
            }
        }
    };
    thread::spawn(move || {
        for io in listener.incoming().map_while(std::result::Result::ok) {
            let all = Arc::clone(&all);
            thread::spawn(move || serve(io, &all));
        }
    });
    let target = ScriptedTarget {
        addr,
        received_heads: Arc::default(),
        closed_connections: Arc::default(),
    };
    (target, received)
}

/// Guards against names of workspaces that callers forge where the configuration has none, and against
/// ones in trailers, which some targets treat like headers.
#[gtest]
fn forged_headers_and_trailers_are_removed_without_workspaces() {
    let (target, received) = start_recording_target();
    let platform = PlatformFleet::start(1);
    publish_workspaces(&platform, 4, &[]);
    platform.announce(0, &target, "i-1", 1, "ready");
    platform.wait_readyz(0, "200");
    let forged = "Plantainpost-Key: k9\r\nPLANTAINPOST-TENANT: evil\r\n";
    let headers = format!(
        "Connection: close\r\n{forged}Trailer: Plantainpost-Tenant\r\nX-Kept: yes\r\n\
         Transfer-Encoding: chunked\r\n"
    );
    let head = request_head("POST", "/safe/1", "t1", &headers);
    let chunked = format!("4\r\nabcd\r\n0\r\n{forged}\r\n");
    let text = exchange(platform.hosts[0].callers, &[head, chunked.into()].concat());
    expect_that!(text, starts_with("HTTP/1.1 200"));
    expect_that!(body(&text), eq("stock"));
    let bytes = received.lock().expect("no panic").clone();
    let text = String::from_utf8_lossy(&bytes).to_lowercase();
    expect_that!(text, contains_substring("x-kept: yes"));
    expect_that!(text, contains_substring("abcd"));
    for hidden in [
        "evil",
        "k9",
        "plantainpost-key",
        "plantainpost-tenant",
        "trailer",
    ] {
        expect_that!(text, not(contains_substring(hidden)), "{text}");
    }
    let mut io = TcpStream::connect(platform.hosts[0].callers).expect("a connection");
    io.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a timeout");
    io.write_all(&request_head("GET", "/safe/2", "t2", ""))
        .expect("the node reads");
    let head = read_head(&mut io).expect("an answer");
    expect_that!(head, starts_with("http/1.1 200"));
}
