//! `plantainpost route` compared with what real requests get.

use std::{
    io::Write,
    process::{Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use googletest::prelude::*;
use plantainpost_standin::process::wait_until;
use serde_json::Value;

use crate::{
    evacuation_fixture::{admin, set_evacuated, start_nodes, usage, wait_evacuated},
    fleet_fixture::WAIT_TIMEOUT,
    platform_fixture::{
        BINARY, PlatformFleet, ScriptedReply, ScriptedTarget, answer, exchange, header,
        request_head,
    },
};

/// Requests that the workspace `tight` may start at once.
const CREDIT: usize = 8;

/// Time that requests for `/slow/` take, long enough to look at a full guard.
const SLOW: Duration = Duration::from_secs(4);

/// Slots of each target, and requests that its guard queues.
const SLOTS: usize = 12;
const QUEUE: usize = 24;

/// Tries to find the same outcome before and after a dry run, as credit and room return with time.
const TRIES: usize = 20;

const KEY: &str = "key-of-the-dry-run";
const TIGHT_KEY: &str = "key-of-the-tight-quota";
/// Key that no workspace holds.
const NO_KEY: &str = "key-of-nobody";

/// Two nodes in regions of their own, each with a target.
struct DryRunFleet {
    platform: PlatformFleet,
    targets: Vec<ScriptedTarget>,
    /// Whether the target of node 1 is cold.
    is_cold: Arc<AtomicBool>,
    next_seq: AtomicU64,
}

impl DryRunFleet {
    fn start() -> Self {
        let platform = start_nodes(&[("pos", "tt"), ("kumasi", "gh")], |_, store| store);
        let route = |prefix: &str, timeout_ms: u64, regions: &str| {
            format!(
                r#""r{prefix}":{{"host":"shop.example","pathPrefix":"{prefix}","kind":"safe",
                "timeoutMs":{timeout_ms},"latencyTargetMs":{timeout_ms},"priority":1,"attempts":2,
                "service":"shelf","allowedRegions":{regions}}}"#
            )
        };
        let routes = [
            route("/tt/", 2_000, r#"["tt"]"#),
            route("/gh/", 2_000, r#"["gh"]"#),
            route("/none/", 2_000, r#"["xx"]"#),
            route("/slow/", 20_000, r#"["tt"]"#),
            route("/short/", 400, r#"["gh"]"#),
        ];
        let text = format!(
            r#"{{"version":1,"tenants":{{"main":{{"apiKeys":["{KEY}"]}},
            "tight":{{"apiKeys":["{TIGHT_KEY}"],"ratePerS":2,"burst":8}}}},
            "routes":{{{}}},"services":{{"shelf":{{"healthPath":"/healthz","maxConns":260,
            "warmupS":60,"warmupPerS":1}}}},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1000,
            "headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
            routes.join(",")
        );
        let store = &platform.store;
        store.append_keyed("keyed.op", "config", text.as_bytes());
        let is_cold = Arc::new(AtomicBool::new(false));
        let targets = (0..2).map(|i| {
            let is_cold = Arc::clone(&is_cold);
            ScriptedTarget::start(move |head| {
                if head.starts_with("get /healthz ") {
                    let cold_ms = 60_000 * u64::from(i == 1 && is_cold.load(Ordering::Relaxed));
                    let text = format!(
                        "HTTP/1.1 200 OK\r\nPlantainpost-Cold-Ms: {cold_ms}\r\nContent-Length: 0\r\n\r\n"
                    );
                    return ScriptedReply::Keep(text.into_bytes());
                }
                let answer = answer(head, "200 OK", "stock");
                match head.starts_with("get /slow/") {
                    true => ScriptedReply::After(SLOW, answer),
                    false => ScriptedReply::Keep(answer),
                }
            })
        });
        let fleet = DryRunFleet {
            targets: targets.collect(),
            platform,
            is_cold,
            next_seq: AtomicU64::new(1),
        };
        fleet.announce();
        for i in 0..2 {
            fleet.platform.wait_readyz(i, "200");
            wait_until("known targets", WAIT_TIMEOUT, || {
                (0..2).all(|j| usage(&fleet.platform, i, j) == "in use")
            })
            .expect("the node knows the targets");
        }
        fleet
    }

    /// Renews the announcements, which lapse after 6 s.
    fn announce(&self) {
        let seq = self.next_seq.fetch_add(1, Ordering::Relaxed);
        for (i, target) in self.targets.iter().enumerate() {
            let id = format!("i-{i}");
            self.platform.announce(i, target, &id, seq, "ready");
        }
    }

    /// Runs the command for a request with a key to a node. Returns the JSON value and the exit code.
    fn route(&self, i: usize, path: &str, key: &str) -> (Value, i32) {
        self.route_with(i, path, &["--key-file", "-"], key)
    }

    /// Like [`DryRunFleet::route`], with other arguments and standard input, which must not be printed.
    fn route_with(&self, i: usize, path: &str, args: &[&str], input: &str) -> (Value, i32) {
        let address = self.platform.hosts[i].admin.to_string();
        let mut command = Command::new(BINARY);
        command
            .args(["route", "shop.example", "--json", "--admin", &address])
            .args(["--path", path, "--timeout", "20000"])
            .args(args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped());
        let mut child = command.spawn().expect("the program starts");
        let mut stdin = child.stdin.take().expect("standard input");
        writeln!(stdin, "{input}").expect("the program reads");
        drop(stdin);
        let output = child.wait_with_output().expect("the program ends");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        expect_that!(
            input.is_empty() || !text.contains(input),
            eq(true),
            "{text}"
        );
        let report = serde_json::from_str(&text).unwrap_or(Value::Null);
        (report, output.status.code().expect("an exit code"))
    }

    /// Sends a request and returns the answer in lower case.
    fn send(&self, i: usize, path: &str, key: &str) -> String {
        let head = real_request(path, key);
        exchange(self.platform.hosts[i].callers, &head).to_lowercase()
    }

    /// Sends requests for `/slow/` to node 0 and waits until its guard has them all.
    fn fill(
        &self,
        count: usize,
        in_flight: usize,
        queued: usize,
    ) -> Vec<thread::JoinHandle<String>> {
        let callers = self.platform.hosts[0].callers;
        let threads = (0..count).map(|_| {
            let head = real_request("/slow/1", KEY);
            thread::spawn(move || exchange(callers, &head).to_lowercase())
        });
        let threads = threads.collect();
        wait_until("requests at the guard", WAIT_TIMEOUT, || {
            self.announce();
            let guard = &admin(&self.platform, 0, "/v1/status")["guard"];
            guard["in_flight"] == in_flight && guard["queued"] == queued
        })
        .expect("the guard has the requests");
        threads
    }

    /// Compares a dry run with the requests before and after it, of which both must end alike. Returns
    /// the report.
    fn compare(&self, i: usize, path: &str, key: &str, reason: &str) -> Value {
        for _ in 0..TRIES {
            self.announce();
            let counts = self.received();
            let before = self.send(i, path, key);
            let (report, code) = self.route(i, path, key);
            let after = self.send(i, path, key);
            if result(&before) != result(&after) || result(&after).1 != reason {
                continue;
            }
            let (status, reason) = result(&after);
            if status == "200" {
                expect_that!((report["outcome"].as_str(), code), eq((Some("start"), 0)));
                let used = (0..2).find(|j| self.received()[*j] == counts[*j] + 2);
                let used = used.map(|j| format!("host-{j}"));
                expect_that!(report["target"].as_str().map(str::to_owned), eq(&used));
            } else {
                expect_that!((report["outcome"].as_str(), code), eq((Some("refused"), 6)));
                expect_that!(report["status"].to_string(), eq(status), "{path}: {report}");
                expect_that!(
                    report["reason"].as_str(),
                    some(eq(reason)),
                    "{path}: {report}"
                );
                let has_time = !header(&after, "retry-after").is_empty();
                expect_that!(
                    report["retry_after"].is_null(),
                    eq(!has_time),
                    "{path}: {report}"
                );
            }
            return report;
        }
        panic!("no two requests for {path} ended as {reason:?}");
    }

    /// Returns the number of requests that each target has received.
    fn received(&self) -> Vec<usize> {
        let count = |target: &ScriptedTarget| {
            let heads = target.received_heads();
            heads
                .iter()
                .filter(|head| !head.starts_with("get /healthz "))
                .count()
        };
        self.targets.iter().map(count).collect()
    }

    /// Waits until the quota has its whole credit and returns its owner.
    fn wait_for_credit(&self) -> usize {
        let mut owner = 0;
        wait_until("credit", WAIT_TIMEOUT, || {
            self.announce();
            let quota =
                |i| admin(&self.platform, i, "/v1/status")["quotas"]["workspaces"][0].clone();
            owner = usize::from(quota(0)["owner"] == "host-1");
            quota(owner)["level"].as_f64() >= Some(CREDIT as f64)
        })
        .expect("the whole credit");
        owner
    }

    /// Returns what dry runs at a node must not change.
    fn counters(&self, i: usize) -> (String, Vec<usize>, String) {
        let metrics = admin(&self.platform, i, "/v1/metrics");
        let totals = metrics["counters"].as_object().expect("counters");
        let is_of_requests = |name: &str| {
            ["entry.", "guard.", "quota."]
                .iter()
                .any(|prefix| name.starts_with(prefix))
        };
        // Records of earlier requests expire meanwhile.
        let is_checked = |name: &str| is_of_requests(name) && name != "guard.records";
        let totals = totals.iter().filter(|(name, _)| is_checked(name));
        let totals: Vec<String> = totals
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        (
            totals.join(" "),
            self.received(),
            metrics["guard"].to_string(),
        )
    }
}

fn real_request(path: &str, key: &str) -> Vec<u8> {
    let headers = format!("Plantainpost-Key: {key}\r\nConnection: close\r\n");
    let head = request_head("GET", path, "d1", &headers);
    let head = String::from_utf8(head).expect("text");
    head.replace("Deadline-Ms: 3000", "Deadline-Ms: 20000")
        .into_bytes()
}

/// Returns the status and the reason of an answer, which is empty for the answer of a target.
fn result(text: &str) -> (&str, &str) {
    let status = text.split_whitespace().nth(1).unwrap_or_default();
    (status, header(text, "plantainpost-reason"))
}

/// Guards against a dry run that says something else than what the next request gets, that changes
/// what later requests get, or that shows a key.
#[gtest]
fn dry_run_says_what_requests_get() {
    let fleet = DryRunFleet::start();
    let platform = &fleet.platform;
    let report = fleet.compare(0, "/tt/1", KEY, "");
    expect_that!(report["workspace"], eq("main"));
    expect_that!(report["leaves_data_centre"], eq(false));
    let report = fleet.compare(0, "/gh/1", KEY, "");
    expect_that!(report["leaves_data_centre"], eq(true));
    expect_that!(
        report["knowledge"].to_string(),
        contains_substring("last load sample")
    );
    let targets = report["targets"].as_array().expect("targets");
    let excluded = targets.iter().find(|target| target["candidate"] == false);
    let excluded = excluded.map(|target| (target["node"].clone(), target["usage"].clone()));
    let wanted = ("host-0".into(), "its region is not allowed".into());
    expect_that!(excluded, some(eq(&wanted)));
    fleet.compare(0, "/tt/1", NO_KEY, "key-unknown");
    fleet.compare(0, "/other/1", KEY, "no-route");
    fleet.compare(0, "/none/1", KEY, "no-region");
    let owner = fleet.wait_for_credit();
    let by_name = ["--workspace", "tight", "--body", "1000"];
    let (report, code) = fleet.route_with(0, "/tt/1", &by_name, "");
    expect_that!((report["workspace"].as_str(), code), eq((Some("tight"), 0)));
    let (report, _) = fleet.route_with(0, "/tt/1", &["--workspace", "tight", "--body", "1001"], "");
    expect_that!(report["reason"], eq("body-too-long"));
    let (report, code) = fleet.route_with(0, "/tt/1", &["--workspace", "nobody"], "");
    expect_that!((report, code), eq(&(Value::Null, 1)));

    // The message about an invalid key must not contain it.
    let body = r#"{"host":"shop.example","path":"/tt/1","method":"GET","key":5550123}"#;
    let length = body.len();
    let request = format!(
        "POST /v1/route HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    );
    let text = exchange(platform.hosts[0].admin, request.as_bytes());
    expect_that!(text, starts_with("HTTP/1.1 400"));
    expect_that!(text, not(contains_substring("5550123")));

    let before = [fleet.counters(0), fleet.counters(1)];
    for (path, key) in [
        ("/tt/1", KEY),
        ("/gh/1", TIGHT_KEY),
        ("/none/1", KEY),
        ("/tt/1", NO_KEY),
    ] {
        for i in 0..2 {
            (0..6).for_each(|_| drop(fleet.route(i, path, key)));
        }
    }
    expect_that!([fleet.counters(0), fleet.counters(1)], eq(&before));
    // The dry runs have taken no credit.
    for _ in 0..CREDIT {
        expect_that!(result(&fleet.send(owner, "/tt/1", TIGHT_KEY)).0, eq("200"));
    }
    let report = fleet.compare(owner, "/tt/1", TIGHT_KEY, "quota");
    expect_that!(report["quota"].as_str(), some(starts_with("exhausted")));
    let (report, _) = fleet.route(1 - owner, "/tt/1", TIGHT_KEY);
    let decides = format!("host-{owner} decides");
    let known = report["reason"] == "quota" || report["quota"] == decides.as_str();
    expect_that!(known, eq(true), "{report}");

    let mut threads = fleet.fill(SLOTS, SLOTS, 0);
    let (report, code) = fleet.route(0, "/slow/1", KEY);
    expect_that!(
        (report["outcome"].as_str(), code),
        eq((Some("wait"), 5)),
        "{report}"
    );
    threads.extend(fleet.fill(QUEUE, SLOTS, QUEUE));
    let report = fleet.compare(0, "/slow/1", KEY, "overloaded");
    expect_that!(
        report["attempts"][0]["decided_by"],
        eq("the guard of this node")
    );
    let report = fleet.compare(1, "/slow/1", KEY, "overloaded");
    expect_that!(
        report["attempts"][0]["decided_by"],
        eq("the last load sample")
    );
    wait_until("answers", WAIT_TIMEOUT, || {
        fleet.announce();
        threads.iter().all(|thread| thread.is_finished())
    })
    .expect("all requests end");
    for thread in threads {
        expect_that!(
            thread.join().expect("no panic"),
            starts_with("http/1.1 200")
        );
    }

    set_evacuated(platform, "pos", true);
    wait_evacuated(platform, 0, "pos", true);
    fleet.compare(0, "/tt/1", KEY, "evacuated");
    set_evacuated(platform, "pos", false);
    wait_evacuated(platform, 0, "pos", false);

    fleet.is_cold.store(true, Ordering::Relaxed);
    fleet.compare(1, "/short/1", KEY, "cold");
    let report = fleet.compare(0, "/short/1", KEY, "cold");
    expect_that!(report["attempts"].as_array(), some(is_empty()));
    let line = platform.hosts[0].process.wait_line(KEY, Duration::ZERO);
    expect_that!(line, err(anything()));
}
