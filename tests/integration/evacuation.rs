//! Evacuations of data centres and allowed regions, with real nodes on the platform.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use plantainpost_standin::{
    log::{DownMode, LogFaults},
    process::{Signal, wait_until},
    proxy::{Proxy, ProxyFaults},
};
use serde_json::Value;

use crate::{
    fleet_fixture::WAIT_TIMEOUT,
    platform_fixture::{
        PlatformFleet, ScriptedReply, ScriptedTarget, answer, body, exchange, header, request_head,
        start_process,
    },
};

/// Time within which an evacuation is in force at all nodes. The requirement is 5 s.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);

/// Service time of the targets, which makes several requests at once spread over them.
const SERVICE_TIME: Duration = Duration::from_millis(10);

/// Data centre and region of each node.
type Places = [(&'static str, &'static str)];

/// Two nodes in each of two data centres.
const TWO_DATA_CENTRES: &Places = &[
    ("pos", "tt"),
    ("arima", "tt"),
    ("pos", "tt"),
    ("arima", "tt"),
];

/// A route to the service `shelf`: its path prefix, kind and allowed regions as a JSON list.
type RouteRow = (&'static str, &'static str, &'static str);

const ROUTES: &[RouteRow] = &[("/safe/", "safe", "[]"), ("/once/", "unsafe", "[]")];

/// A fleet whose nodes all have a target.
struct EvacuationFleet {
    platform: PlatformFleet,
    targets: Vec<ScriptedTarget>,
}

fn publish_routes(platform: &PlatformFleet, version: u64, routes: &[RouteRow]) {
    let routes = routes.iter().map(|(prefix, kind, regions)| {
        format!(
            r#""r{prefix}":{{"host":"shop.example","pathPrefix":"{prefix}","kind":"{kind}",
            "timeoutMs":8000,"latencyTargetMs":8000,"priority":1,"attempts":2,"service":"shelf",
            "allowedRegions":{regions}}}"#
        )
    });
    let routes = routes.collect::<Vec<_>>().join(",");
    let text = format!(
        r#"{{"version":{version},"routes":{{{routes}}},"services":{{"shelf":
        {{"healthPath":"/healthz","maxConns":260}}}},"limits":{{"maxHeaderBytes":16384,
        "maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
    );
    let store = &platform.store;
    store.append_keyed("keyed.op", "config", text.as_bytes());
}

fn start_nodes(
    places: &Places,
    address_of: impl FnMut(usize, SocketAddr) -> SocketAddr,
) -> PlatformFleet {
    PlatformFleet::start_with_settings(places.len(), address_of, |i, text| {
        let (data_centre, region) = places[i];
        let place = format!("data_centre = {data_centre}\nregion = {region}\n");
        *text = text.replace("data_centre = pos\nregion = tt\n", &place);
    })
}

impl EvacuationFleet {
    /// Starts nodes, each with a target that answers at once, and waits until each has routes and knows
    /// all targets.
    fn start(places: &Places, routes: &[RouteRow]) -> Self {
        Self::start_with_store_addresses(places, routes, |_, store| store)
    }

    fn start_with_store_addresses(
        places: &Places,
        routes: &[RouteRow],
        address_of: impl FnMut(usize, SocketAddr) -> SocketAddr,
    ) -> Self {
        let platform = start_nodes(places, address_of);
        publish_routes(&platform, 1, routes);
        let script =
            |head: &str| ScriptedReply::After(SERVICE_TIME, answer(head, "200 OK", "stock"));
        let targets = (0..places.len()).map(|_| ScriptedTarget::start(script));
        let fleet = EvacuationFleet {
            targets: targets.collect(),
            platform,
        };
        for i in 0..places.len() {
            fleet.announce(i, 1);
        }
        for i in 0..places.len() {
            fleet.wait_until_ready(i);
        }
        fleet
    }

    /// Waits until a node has routes and knows all targets.
    fn wait_until_ready(&self, i: usize) {
        self.platform.wait_readyz(i, "200");
        wait_until("the node knows all targets", WAIT_TIMEOUT, || {
            (0..self.targets.len()).all(|j| !usage(&self.platform, i, j).is_null())
        })
        .expect("all targets are known");
    }

    fn announce(&self, i: usize, seq: u64) {
        let (target, id) = (&self.targets[i], format!("i-{i}"));
        self.platform.announce(i, target, &id, seq, "ready");
    }

    fn evacuate(&self, data_centre: &str) {
        set_evacuated(&self.platform, data_centre, true);
    }

    fn end_evacuation(&self, data_centre: &str) {
        set_evacuated(&self.platform, data_centre, false);
    }

    /// Returns the number of requests that each target has received.
    fn received(&self) -> Vec<usize> {
        let targets = self.targets.iter();
        targets
            .map(|target| target.received_heads().len())
            .collect()
    }

    /// Sends requests to all nodes at once until each target in `wanted` has received one.
    fn wait_for_requests_at(&self, wanted: &[usize]) {
        let before = self.received();
        wait_until("requests at targets", WAIT_TIMEOUT, || {
            thread::scope(|scope| {
                for number in 0..32 {
                    let i = number % self.platform.hosts.len();
                    scope.spawn(move || self.platform.get(i, "/safe/a", "w"));
                }
            });
            let now = self.received();
            wanted.iter().all(|i| now[*i] > before[*i])
        })
        .expect("the targets get requests");
    }
}

/// Writes the record of an evacuation to the store, or its tombstone.
fn set_evacuated(platform: &PlatformFleet, data_centre: &str, is_evacuated: bool) {
    let key = format!("evacuate/{data_centre}");
    let value: &[u8] = if is_evacuated { b"{}" } else { b"" };
    platform.store.append_keyed("keyed.op", &key, value);
}

/// Returns the answer of the admin listener of a node.
fn admin(platform: &PlatformFleet, i: usize, path: &str) -> Value {
    let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    let text = exchange(platform.hosts[i].admin, request.as_bytes());
    serde_json::from_str(body(&text)).unwrap_or(Value::Null)
}

/// Returns how node `i` uses the target of node `j`; null until it knows it.
fn usage(platform: &PlatformFleet, i: usize, j: usize) -> Value {
    let explanation = admin(platform, i, &format!("/v1/explain?target=host-{j}"));
    explanation["service"]
        .as_str()
        .map_or(Value::Null, |_| explanation["usage"].clone())
}

/// Returns what node `i` says about a data centre.
fn data_centre(platform: &PlatformFleet, i: usize, name: &str) -> Value {
    let status = admin(platform, i, "/v1/status");
    let all = status["data_centres"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    let found = all.into_iter().find(|entry| entry["name"] == name);
    found.unwrap_or(Value::Null)
}

/// Waits until the evacuation of a data centre is in force, or ended, at a node.
fn wait_evacuated(platform: &PlatformFleet, i: usize, name: &str, is_evacuated: bool) {
    wait_until("state of the evacuation", WAIT_TIMEOUT, || {
        data_centre(platform, i, name)["evacuated"] == is_evacuated
    })
    .expect("the evacuation has this state");
}

fn metric(platform: &PlatformFleet, i: usize, name: &str) -> u64 {
    let request = b"GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n";
    let text = exchange(platform.hosts[i].metrics, request);
    let value = text
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok());
    value.unwrap_or_default()
}

/// Guards against requests that reach a target in an evacuated data centre, against failed requests
/// while the load shifts, and against a data centre that gets no requests after its return.
#[gtest]
fn evacuation_is_in_force_while_callers_send() {
    let fleet = EvacuationFleet::start(TWO_DATA_CENTRES, ROUTES);
    let (stop, sent) = (AtomicBool::new(false), AtomicUsize::new(0));
    let send = |i: usize| {
        let mut failed = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let number = sent.fetch_add(1, Ordering::Relaxed);
            let (method, path) = [("GET", "/safe/a"), ("POST", "/once/a")][number % 2];
            let text = fleet.platform.send(i, method, path, &format!("r-{number}"));
            if !text.starts_with("HTTP/1.1 200") {
                failed.push(text);
            }
        }
        failed
    };
    thread::scope(|scope| {
        let callers: Vec<_> = (0..16).map(|i| scope.spawn(move || send(i % 4))).collect();
        thread::sleep(Duration::from_millis(500));
        fleet.evacuate("pos");
        thread::sleep(IN_FORCE_LIMIT);
        let before = fleet.received();
        for i in 0..4 {
            fleet.announce(i, 2);
        }
        thread::sleep(Duration::from_secs(1));
        let after = fleet.received();
        expect_that!((after[0], after[2]), eq((before[0], before[2])));
        expect_that!(after[1], gt(before[1]));
        expect_that!(after[3], gt(before[3]));
        for i in 0..4 {
            expect_that!(
                metric(&fleet.platform, i, "plantainpost_fleet_evacuated"),
                eq(1)
            );
            let pos = data_centre(&fleet.platform, i, "pos");
            expect_true!(pos["evacuated"] == true, "{pos}");
            expect_true!(pos["offset"] == 1 && pos["members"] == 2, "{pos}");
            let usage = usage(&fleet.platform, i, 0);
            expect_true!(usage == "its data centre is evacuated", "{usage}");
        }
        fleet.end_evacuation("pos");
        fleet.wait_for_requests_at(&[0, 2]);
        expect_that!(
            metric(&fleet.platform, 0, "plantainpost_fleet_evacuated"),
            eq(0)
        );
        let returned = fleet.received();
        expect_that!(returned[0], gt(after[0]));
        expect_that!(returned[2], gt(after[2]));
        stop.store(true, Ordering::Relaxed);
        for caller in callers {
            expect_that!(caller.join().expect("no panic"), is_empty());
        }
    });
}

/// Guards against an evacuation that a node does not learn of because the store refuses it, or because
/// it restarts at the same time.
#[gtest]
fn evacuation_reaches_refused_and_restarting_nodes() {
    let mut proxies = Vec::new();
    let mut fleet =
        EvacuationFleet::start_with_store_addresses(TWO_DATA_CENTRES, ROUTES, |_, store| {
            proxies.push(Proxy::start(store).expect("the proxy starts"));
            proxies.last().expect("a proxy").address()
        });
    proxies[0].set_faults(ProxyFaults {
        close_new_connections: true,
        ..Default::default()
    });
    proxies[0].cut_connections();
    let host = &mut fleet.platform.hosts[2];
    host.process.signal(Signal::Kill).expect("the node runs");
    host.process.wait_exit(WAIT_TIMEOUT).expect("an end");
    fleet.evacuate("pos");
    let start = Instant::now();
    let host = &mut fleet.platform.hosts[2];
    host.process = start_process(&host.settings);
    wait_evacuated(&fleet.platform, 0, "pos", true);
    expect_that!(start.elapsed(), lt(IN_FORCE_LIMIT));
    fleet.platform.wait_readyz(2, "200");
    wait_evacuated(&fleet.platform, 2, "pos", true);
    fleet.announce(2, 2);
    fleet.wait_until_ready(2);
    let before = fleet.received();
    for number in 0..40 {
        let text = fleet
            .platform
            .get(number % 4, "/safe/a", &format!("r-{number}"));
        expect_that!(text, starts_with("HTTP/1.1 200"));
    }
    let after = fleet.received();
    expect_that!((after[0], after[2]), eq((before[0], before[2])));
}

/// Guards against an evacuation that stays in force because its removal was written while no node could
/// read the store, or because the record of the removal has expired by then.
#[gtest]
fn removal_during_an_outage_of_the_store_ends_the_evacuation() {
    let fleet = EvacuationFleet::start(TWO_DATA_CENTRES, ROUTES);
    for (version, is_expired) in [(2, false), (3, true)] {
        fleet.evacuate("pos");
        for i in 0..4 {
            wait_evacuated(&fleet.platform, i, "pos", true);
            fleet.announce(i, version);
        }
        fleet.platform.store.set_faults(LogFaults {
            down: DownMode::Close,
            ..Default::default()
        });
        thread::sleep(Duration::from_millis(1_500));
        fleet.end_evacuation("pos");
        if is_expired {
            publish_routes(&fleet.platform, version, ROUTES);
            fleet.platform.store.expire_all_but_newest("keyed.op");
        }
        expect_true!(data_centre(&fleet.platform, 1, "pos")["evacuated"] == true);
        fleet.platform.store.set_faults(LogFaults::default());
        let start = Instant::now();
        for i in 0..4 {
            wait_evacuated(&fleet.platform, i, "pos", false);
        }
        expect_that!(start.elapsed(), lt(Duration::from_secs(4)), "{is_expired}");
        fleet.wait_for_requests_at(&[0, 2]);
    }
}

/// Guards against requests that wait at a guard of an evacuated data centre, or run there, although
/// another data centre could take them, and against requests in flight there that are cut.
#[gtest]
fn queued_requests_are_moved() {
    const SLOTS: usize = 12;
    const QUEUED: usize = 6;
    let platform = start_nodes(&[("pos", "tt"), ("arima", "tt")], |_, store| store);
    publish_routes(&platform, 1, ROUTES);
    let slow = ScriptedTarget::start(|head| {
        ScriptedReply::After(Duration::from_millis(2_500), answer(head, "200 OK", "pos"))
    });
    let fast = ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "arima")));
    platform.announce(0, &slow, "i-0", 1, "ready");
    for i in 0..2 {
        platform.wait_readyz(i, "200");
        wait_until("the target is known", WAIT_TIMEOUT, || {
            !usage(&platform, i, 0).is_null()
        })
        .expect("the target is known");
    }
    let (callers, start) = (platform.hosts[1].callers, Instant::now());
    let requests: Vec<_> = (0..SLOTS + QUEUED)
        .map(|number| {
            let head = request_head(
                "POST",
                "/once/a",
                &format!("r-{number}"),
                "Connection: close\r\n",
            );
            let head =
                String::from_utf8_lossy(&head).replace("Deadline-Ms: 3000", "Deadline-Ms: 7500");
            thread::spawn(move || (exchange(callers, head.as_bytes()), start.elapsed()))
        })
        .collect();
    wait_until("queued requests", WAIT_TIMEOUT, || {
        admin(&platform, 0, "/v1/status")["guard"]["queued"] == QUEUED
    })
    .expect("requests are queued");
    platform.announce(1, &fast, "i-1", 1, "ready");
    wait_until("the target is known", WAIT_TIMEOUT, || {
        !usage(&platform, 1, 1).is_null()
    })
    .expect("the target is known");
    set_evacuated(&platform, "pos", true);
    let answers: Vec<_> = requests
        .into_iter()
        .map(|r| r.join().expect("no panic"))
        .collect();
    let count = |wanted: &str| {
        answers
            .iter()
            .filter(|(text, _)| body(text) == wanted)
            .count()
    };
    expect_that!(
        (count("pos"), count("arima")),
        eq((SLOTS, QUEUED)),
        "{answers:?}"
    );
    for (text, delay) in answers.iter().filter(|(text, _)| body(text) == "arima") {
        expect_that!(*delay, lt(Duration::from_millis(2_400)), "{text}");
    }
    expect_that!(slow.received_heads().len(), eq(SLOTS));
    expect_that!(
        metric(&platform, 0, "plantainpost_guard_refused_evacuated"),
        eq(QUEUED as u64)
    );
}

/// Guards against requests that an entry sends to an evacuated data centre, because it was suspended
/// meanwhile, and that run there or are refused although others can take them.
#[gtest]
fn entry_that_does_not_know_the_evacuation_runs_nothing_there() {
    let fleet = EvacuationFleet::start(
        &[
            ("sando", "tt"),
            ("pos", "tt"),
            ("pos", "tt"),
            ("pos", "tt"),
            ("pos", "tt"),
            ("pos", "tt"),
            ("pos", "tt"),
            ("arima", "tt"),
        ],
        ROUTES,
    );
    // Only one target remains, and there are more guards that refuse than attempts of a request.
    let entry = &fleet.platform.hosts[0];
    fleet.evacuate("sando");
    for i in 0..8 {
        wait_evacuated(&fleet.platform, i, "sando", true);
    }
    entry.process.signal(Signal::Stop).expect("the node runs");
    fleet.evacuate("pos");
    for i in 1..8 {
        wait_evacuated(&fleet.platform, i, "pos", true);
    }
    let before = fleet.received();
    thread::scope(|scope| {
        let waiting: Vec<_> = (0..20)
            .map(|number| {
                let platform = &fleet.platform;
                scope.spawn(move || platform.send(0, "POST", "/once/a", &format!("r-{number}")))
            })
            .collect();
        thread::sleep(Duration::from_millis(300));
        entry.process.signal(Signal::Cont).expect("the node runs");
        for request in waiting {
            let text = request.join().expect("no panic");
            expect_that!(text, starts_with("HTTP/1.1 200"));
        }
    });
    let after = fleet.received();
    expect_that!(after[..7], eq(&before[..7]));
    expect_that!(after[7], eq(before[7] + 20));
}

/// Guards against requests that reach a region which their route does not allow, also when the allowed
/// region is evacuated, and against requests without an eligible target that wait.
#[gtest]
fn requests_stay_in_allowed_regions() {
    let routes = &[
        ("/safe/", "safe", "[]"),
        ("/gh/", "safe", r#"["gh"]"#),
        ("/none/", "safe", r#"["xx"]"#),
    ];
    let fleet = EvacuationFleet::start(
        &[
            ("pos", "tt"),
            ("kumasi", "gh"),
            ("obuasi", "gh"),
            ("arima", "tt"),
        ],
        routes,
    );
    let send = |path: &str| -> Vec<String> {
        let all =
            (0..40).map(|number| fleet.platform.get(number % 4, path, &format!("r-{number}")));
        all.collect()
    };
    let expect_reason = |path: &str, reason: &str| {
        let start = Instant::now();
        for text in send(path) {
            expect_that!(text, starts_with("HTTP/1.1 503"));
            let head = text.to_ascii_lowercase();
            expect_that!(header(&head, "plantainpost-reason"), eq(reason));
            expect_that!(header(&head, "retry-after"), eq("1"));
        }
        expect_that!(start.elapsed(), lt(Duration::from_secs(2)));
    };
    let before = fleet.received();
    for text in send("/gh/a") {
        expect_that!(text, starts_with("HTTP/1.1 200"));
    }
    let after = fleet.received();
    expect_that!((after[0], after[3]), eq((before[0], before[3])));
    expect_that!(after[1], gt(before[1]));
    expect_that!(after[2], gt(before[2]));
    expect_reason("/none/a", "no-region");
    let explanation = admin(&fleet.platform, 0, "/v1/explain?target=host-0");
    let excluding = explanation["not_allowed_for"].to_string();
    expect_that!(excluding, eq(r#"["route r/none/","route r/gh/"]"#));
    for data_centre in ["kumasi", "obuasi"] {
        fleet.evacuate(data_centre);
        for i in 0..4 {
            wait_evacuated(&fleet.platform, i, data_centre, true);
            fleet.announce(i, 2);
        }
    }
    let before = fleet.received();
    expect_reason("/gh/a", "evacuated");
    expect_that!(fleet.received(), eq(&before));
    for text in send("/safe/a") {
        expect_that!(text, starts_with("HTTP/1.1 200"));
    }
    for data_centre in ["pos", "arima"] {
        fleet.evacuate(data_centre);
        for i in 0..4 {
            wait_evacuated(&fleet.platform, i, data_centre, true);
            fleet.announce(i, 3);
        }
    }
    let before = fleet.received();
    expect_reason("/safe/a", "evacuated");
    expect_that!(fleet.received(), eq(&before));
}
