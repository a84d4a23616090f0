//! Quotas of workspaces over three nodes: who is refused, and how many requests run at the target.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use plantainpost_standin::process::{Signal, wait_until};
use serde_json::Value;

use crate::{
    evacuation_fixture::admin,
    fleet_fixture::WAIT_TIMEOUT,
    platform_fixture::{
        PlatformFleet, ScriptedReply, ScriptedTarget, answer, exchange, header, request_head,
    },
};

/// Window in which the requests of a workspace are counted (`quotaWindowS`).
const WINDOW: Duration = Duration::from_secs(5);

/// Time between two announcements of a target, well below the grace of 6 s.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

const NODES: usize = 3;

/// A workspace whose key is its name.
struct Limited {
    name: &'static str,
    rate_per_s: u64,
    burst: u64,
}

impl Limited {
    /// Returns the largest number of requests that may run in a window.
    fn bound(&self) -> usize {
        let limit = self.rate_per_s * WINDOW.as_secs() + self.burst;
        (limit * 11 / 10 + 20) as usize
    }
}

const HOT: Limited = Limited {
    name: "hot",
    rate_per_s: 10,
    burst: 20,
};

const STEADY: Limited = Limited {
    name: "steady",
    rate_per_s: 50,
    burst: 10,
};

/// Has so low a rate that its bucket hardly fills during a test.
const SLOW: Limited = Limited {
    name: "slow",
    rate_per_s: 1,
    burst: 10,
};

const UNLIMITED: Limited = Limited {
    name: "unlimited",
    rate_per_s: 0,
    burst: 0,
};

const WORKSPACES: [Limited; 4] = [HOT, STEADY, SLOW, UNLIMITED];

/// Three nodes with a target each, all at one address, which notes the start of every request.
struct QuotaFleet {
    platform: PlatformFleet,
    target: ScriptedTarget,
    /// Workspace and start of each request at the target, in order.
    starts: Arc<Mutex<Vec<(String, Instant)>>>,
    next_seq: AtomicU64,
}

/// Requests of one workspace that are sent to one node.
struct Stream {
    node: usize,
    workspace: &'static str,
    interval: Duration,
}

/// Answer to one request of a stream, in lower case.
struct Answer {
    node: usize,
    workspace: &'static str,
    text: String,
}

impl Answer {
    fn has_status(&self, status: &str) -> bool {
        self.text.starts_with(&format!("http/1.1 {status} "))
    }
}

impl QuotaFleet {
    /// Starts the fleet and waits until all nodes agree on the owners and the buckets are full.
    fn start() -> Self {
        let starts = Arc::new(Mutex::new(Vec::new()));
        let log = Arc::clone(&starts);
        let target = ScriptedTarget::start(move |head| {
            if !head.starts_with("get /healthz ") {
                let workspace = header(head, "plantainpost-tenant").to_owned();
                let mut log = log.lock().expect("no panic");
                log.push((workspace, Instant::now()));
            }
            ScriptedReply::Keep(answer(head, "200 OK", "stock"))
        });
        let fleet = QuotaFleet {
            platform: PlatformFleet::start(NODES),
            target,
            starts,
            next_seq: AtomicU64::new(1),
        };
        publish(&fleet.platform);
        let all: Vec<usize> = (0..NODES).collect();
        wait_until("full buckets", WAIT_TIMEOUT, || {
            fleet.announce(&all);
            let is_full = |limited: &Limited| {
                let owner = fleet.agreed_owner(&all, limited.name);
                let level = owner.map(|i| fleet.quota(i, limited.name)["level"].as_f64());
                level.flatten() >= Some(limited.burst as f64)
            };
            [HOT, STEADY, SLOW].iter().all(is_full)
        })
        .expect("the owners grant the whole limits");
        for i in all {
            fleet.platform.wait_readyz(i, "200");
        }
        fleet
    }

    fn announce(&self, nodes: &[usize]) {
        for &i in nodes {
            let seq = self.next_seq.fetch_add(1, Ordering::Relaxed);
            let id = format!("i-{i}");
            self.platform.announce(i, &self.target, &id, seq, "ready");
        }
    }

    /// Returns what a node says about the quota of a workspace.
    fn quota(&self, i: usize, workspace: &str) -> Value {
        let status = admin(&self.platform, i, "/v1/status");
        let list = status["quotas"]["workspaces"].as_array();
        let mut entries = list.into_iter().flatten();
        let entry = entries.find(|entry| entry["workspace"] == workspace);
        entry.cloned().unwrap_or(Value::Null)
    }

    /// Returns the owner of a workspace if it is one of these nodes and all of them name it.
    fn agreed_owner(&self, nodes: &[usize], workspace: &str) -> Option<usize> {
        let owner_at = |i| self.quota(i, workspace)["owner"].clone();
        let first = owner_at(nodes[0]);
        let is_agreed = nodes.iter().all(|&i| owner_at(i) == first);
        let owner = nodes.iter().find(|i| first == format!("host-{i}"));
        owner.copied().filter(|_| is_agreed)
    }

    fn send(&self, i: usize, path: &str, workspace: &str) -> String {
        let headers = format!("Plantainpost-Key: {workspace}\r\nConnection: close\r\n");
        let head = request_head("GET", path, "q1", &headers);
        exchange(self.platform.hosts[i].callers, &head).to_lowercase()
    }

    /// Sends streams of requests until `end` returns, with heartbeats of the targets at `nodes`.
    fn run_load<T>(
        &self,
        nodes: &[usize],
        streams: &[Stream],
        end: impl FnOnce() -> T,
    ) -> (Vec<Answer>, T) {
        let is_running = AtomicBool::new(true);
        let answers = Mutex::new(Vec::new());
        let result = thread::scope(|scope| {
            scope.spawn(|| {
                while is_running.load(Ordering::Relaxed) {
                    self.announce(nodes);
                    thread::sleep(HEARTBEAT_INTERVAL);
                }
            });
            for stream in streams {
                let (is_running, answers) = (&is_running, &answers);
                scope.spawn(move || self.run_stream(stream, is_running, answers));
            }
            let result = end();
            is_running.store(false, Ordering::Relaxed);
            result
        });
        (answers.into_inner().expect("no panic"), result)
    }

    fn run_stream(&self, stream: &Stream, is_running: &AtomicBool, answers: &Mutex<Vec<Answer>>) {
        while is_running.load(Ordering::Relaxed) {
            let text = self.send(stream.node, "/safe/1", stream.workspace);
            answers.lock().expect("no panic").push(Answer {
                node: stream.node,
                workspace: stream.workspace,
                text,
            });
            thread::sleep(stream.interval);
        }
    }

    /// Returns the largest number of requests of a workspace that started in any window.
    fn most_in_window(&self, workspace: &str) -> usize {
        let starts = self.starts.lock().expect("no panic");
        let own = starts.iter().filter(|(name, _)| name == workspace);
        let times: Vec<Instant> = own.map(|(_, at)| *at).collect();
        let counts = times.iter().enumerate().map(|(first, at)| {
            let rest = &times[first..];
            rest.partition_point(|other| other.duration_since(*at) <= WINDOW)
        });
        counts.max().unwrap_or(0)
    }
}

/// Publishes a private and a public route, and the workspaces.
fn publish(platform: &PlatformFleet) {
    let route = |prefix: &str, public: bool| {
        format!(
            r#""r{prefix}":{{"host":"shop.example","pathPrefix":"{prefix}","kind":"safe",
            "timeoutMs":5000,"latencyTargetMs":5000,"priority":1,"attempts":2,"service":"shelf",
            "public":{public}}}"#
        )
    };
    let workspaces = WORKSPACES.iter().map(|limited| {
        let (name, rate, burst) = (limited.name, limited.rate_per_s, limited.burst);
        format!(r#""{name}":{{"apiKeys":["{name}"],"ratePerS":{rate},"burst":{burst}}}"#)
    });
    let workspaces = workspaces.collect::<Vec<_>>().join(",");
    let text = format!(
        r#"{{"version":4,"tenants":{{{workspaces}}},"routes":{{{},{}}},"services":{{"shelf":
        {{"healthPath":"/healthz","maxConns":260}}}},"limits":{{"maxHeaderBytes":16384,
        "maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        route("/safe/", false),
        route("/open/", true),
    );
    let store = &platform.store;
    store.append_keyed("keyed.op", "config", text.as_bytes());
}

/// Returns streams of many times the limit of `HOT` and slow ones of the other workspaces.
fn streams_at(nodes: &[usize]) -> Vec<Stream> {
    let stream = |node, workspace: &Limited, interval_ms| Stream {
        node,
        workspace: workspace.name,
        interval: Duration::from_millis(interval_ms),
    };
    let rows = nodes.iter().flat_map(|&node| {
        [
            stream(node, &HOT, 20),
            stream(node, &STEADY, 200),
            stream(node, &UNLIMITED, 200),
        ]
    });
    rows.collect()
}

/// Checks that some requests of `HOT` were refused for its quota and none of the workspaces in `others`.
fn expect_only_hot_refused(answers: &[Answer], others: &[Limited]) {
    let refused = |answer: &&Answer| answer.workspace == HOT.name && answer.has_status("429");
    expect_that!(answers.iter().filter(refused).count(), gt(0));
    for answer in answers.iter().filter(refused) {
        let text = &answer.text;
        expect_that!(header(text, "plantainpost-reason"), eq("quota"), "{text}");
        expect_that!(header(text, "plantainpost-outcome"), eq("not-run"));
        let retry_after_s = header(text, "retry-after").parse().unwrap_or(0);
        expect_that!(retry_after_s, ge(1), "{text}");
    }
    for other in others {
        let own = |answer: &&Answer| answer.workspace == other.name;
        expect_that!(answers.iter().filter(own).count(), gt(0), "{}", other.name);
        for Answer { node, text, .. } in answers.iter().filter(own) {
            let name = other.name;
            expect_that!(text, starts_with("http/1.1 200 "), "{name} at node {node}");
        }
    }
}

/// Guards against limits that are divided among the nodes, which refuse a workspace whose callers all
/// use the same node.
#[gtest]
fn workspace_below_its_limit_is_not_refused() {
    let fleet = QuotaFleet::start();
    // At most 60 % of the rate, nearly all of it at one node.
    let intervals_ms = [(0, 40), (1, 500), (2, 500)];
    let streams = intervals_ms.map(|(node, interval_ms)| Stream {
        node,
        workspace: STEADY.name,
        interval: Duration::from_millis(interval_ms),
    });
    let (answers, ()) = fleet.run_load(&[0, 1, 2], &streams, || thread::sleep(WINDOW));
    for answer in &answers {
        expect_that!(answer.has_status("200"), eq(true), "{}", answer.text);
    }
    // More than the part of one node, so that a divided limit would refuse some.
    let part = (STEADY.rate_per_s * WINDOW.as_secs()) as usize / NODES;
    let at_first = answers.iter().filter(|answer| answer.node == 0).count();
    expect_that!(at_first, gt(part), "the load was too low");
}

/// Guards against a limit that holds at each node but not over all of them, one that ends with its owner,
/// and one that affects other workspaces.
#[gtest]
fn limit_holds_over_all_nodes_and_after_the_loss_of_its_owner() {
    let fleet = QuotaFleet::start();
    let all = [0, 1, 2];
    let owner = fleet.agreed_owner(&all, HOT.name).expect("an owner");
    let (answers, ()) = fleet.run_load(&all, &streams_at(&all), || thread::sleep(WINDOW));
    expect_only_hot_refused(&answers, &[STEADY, UNLIMITED]);
    for answer in &answers {
        let is_expected = answer.has_status("200") || answer.has_status("429");
        expect_that!(is_expected, eq(true), "{}", answer.text);
    }

    let owner_process = &fleet.platform.hosts[owner].process;
    owner_process.signal(Signal::Kill).expect("the node runs");
    let rest: Vec<usize> = all.into_iter().filter(|i| *i != owner).collect();
    let (answers, has_owner) = fleet.run_load(&rest, &streams_at(&rest), || {
        wait_until("a new owner", WAIT_TIMEOUT, || {
            fleet.agreed_owner(&rest, HOT.name).is_some()
        })
    });
    has_owner.expect("the nodes agree on a new owner");
    // `STEADY` may be refused here: owners deduct what the lost node may have used of each limit
    // before they noticed its loss.
    expect_only_hot_refused(&answers, &[UNLIMITED]);

    let (answers, ()) = fleet.run_load(&rest, &streams_at(&rest), || thread::sleep(WINDOW));
    expect_only_hot_refused(&answers, &[STEADY, UNLIMITED]);
    for &i in &rest {
        let own = |answer: &&Answer| answer.node == i && answer.workspace == HOT.name;
        let ran = answers.iter().filter(own);
        let ran = ran.filter(|answer| answer.has_status("200")).count();
        expect_that!(ran, gt(0), "node {i}");
    }
    // All windows count, those around the loss included.
    expect_that!(fleet.most_in_window(HOT.name), le(HOT.bound()));
}

/// Guards against requests on public routes that use the credit of the key that they carry.
#[gtest]
fn public_route_takes_no_credit() {
    let fleet = QuotaFleet::start();
    let started_at = Instant::now();
    for _ in 0..2 * SLOW.bound() {
        let text = fleet.send(0, "/open/1", SLOW.name);
        expect_that!(text, starts_with("http/1.1 200"));
    }
    for number in 0..SLOW.burst {
        let text = fleet.send(0, "/safe/1", SLOW.name);
        expect_that!(text, starts_with("http/1.1 200"), "request {number}");
    }
    // In a longer time the bucket would fill again, which would hide credit that was taken.
    expect_that!(started_at.elapsed(), lt(WINDOW), "the machine is too slow");
}
