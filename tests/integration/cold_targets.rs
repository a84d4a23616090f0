//! Cold targets, of which only the answers to health checks tell that they are cold.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;

use crate::{
    fleet_fixture::WAIT_TIMEOUT,
    platform_fixture::{
        PlatformFleet, ScriptedReply, ScriptedTarget, answer, exchange, header, request_head,
    },
    platform_reload::metric,
};
use plantainpost_standin::process;

const WARM_UP_PER_S: usize = 4;
const COLD: Duration = Duration::from_secs(3);

/// A target that is cold from `cold_since` on for [`COLD`].
struct ColdTarget {
    target: ScriptedTarget,
    cold_since: Arc<Mutex<Option<Instant>>>,
    /// When requests other than health checks arrived.
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl ColdTarget {
    fn start() -> Self {
        let cold_since: Arc<Mutex<Option<Instant>>> = Arc::default();
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let (since, arrived) = (Arc::clone(&cold_since), Arc::clone(&arrivals));
        let target = ScriptedTarget::start(move |head| {
            if !head.starts_with("get /healthz ") {
                arrived.lock().expect("no panic").push(Instant::now());
                return ScriptedReply::Keep(answer(head, "200 OK", "stock"));
            }
            let since = *since.lock().expect("no panic");
            let left = since.map_or(Duration::ZERO, |at| COLD.saturating_sub(at.elapsed()));
            let text = format!(
                "HTTP/1.1 200 OK\r\nPlantainpost-Cold-Ms: {}\r\nContent-Length: 0\r\n\r\n",
                left.as_millis()
            );
            ScriptedReply::Keep(text.into_bytes())
        });
        ColdTarget {
            target,
            cold_since,
            arrivals,
        }
    }

    fn become_cold(&self) {
        *self.cold_since.lock().expect("no panic") = Some(Instant::now());
    }

    /// Returns the largest number of requests in any second.
    fn most_in_a_second(&self) -> usize {
        let arrivals = self.arrivals.lock().expect("no panic");
        let in_second = |(index, first): (usize, &Instant)| {
            let later = arrivals[index..].iter();
            let end = *first + Duration::from_secs(1);
            later.take_while(|at| **at <= end).count()
        };
        arrivals
            .iter()
            .enumerate()
            .map(in_second)
            .max()
            .unwrap_or(0)
    }
}

/// Starts two nodes, one with the target, whose service has a warm-up rate or not.
fn start_fleet(target: &ColdTarget, warm_up_per_s: usize) -> PlatformFleet {
    let platform = PlatformFleet::start(2);
    let configuration = format!(
        r#"{{"version":4,"routes":{{"r":{{"host":"shop.example","pathPrefix":"/short/",
        "kind":"safe","timeoutMs":400,"latencyTargetMs":400,"attempts":2,"service":"shelf"}}}},
        "services":{{"shelf":{{"healthPath":"/healthz","maxConns":260,"warmupS":3,
        "warmupPerS":{warm_up_per_s}}}}},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1000,
        "headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    );
    let store = &platform.store;
    store.append_keyed("keyed.op", "config", configuration.as_bytes());
    platform.announce(0, &target.target, "i-1", 1, "ready");
    for i in 0..2 {
        platform.wait_readyz(i, "200");
        process::wait_until("answer of the target", WAIT_TIMEOUT, || {
            let text = platform.get(i, "/short/first", &format!("first-{i}"));
            text.starts_with("HTTP/1.1 200")
        })
        .expect("the node knows the target");
    }
    platform
}

/// Sends `count` requests to the nodes at the same moment, and returns the answers in lower case.
fn send_at_once(platform: &PlatformFleet, round: usize, count: usize) -> Vec<String> {
    let threads = (0..count).map(|i| {
        let callers = platform.hosts[i % 2].callers;
        let id = format!("r{round}-{i}");
        thread::spawn(move || {
            let head = request_head("GET", "/short/1", &id, "Connection: close\r\n");
            exchange(callers, &head).to_lowercase()
        })
    });
    let threads: Vec<_> = threads.collect();
    let answers = threads.into_iter().map(|thread| thread.join());
    answers.map(|text| text.expect("no panic")).collect()
}

/// Guards against a target that was without traffic when it became cold and gets a burst that it
/// does not survive, against refusals without reason or time, and against a limit that stays.
#[gtest]
fn burst_after_a_pause_keeps_to_the_warm_up_rate() {
    let target = ColdTarget::start();
    let platform = start_fleet(&target, WARM_UP_PER_S);
    thread::sleep(Duration::from_millis(1_100));
    target.arrivals.lock().expect("no panic").clear();
    target.become_cold();
    let mut refused = Vec::new();
    for round in 0..8 {
        let answers = send_at_once(&platform, round, 40);
        refused.extend(
            answers
                .into_iter()
                .filter(|text| !text.starts_with("http/1.1 200")),
        );
        if round == 0 {
            expect_that!(metric(&platform, 0, "plantainpost_guard_cold"), eq(1));
        }
        thread::sleep(Duration::from_millis(250));
    }
    let bound = WARM_UP_PER_S * 3 / 2 + 8;
    expect_that!(target.most_in_a_second(), le(bound));
    let arrived = target.arrivals.lock().expect("no panic").len();
    expect_that!(arrived, ge(WARM_UP_PER_S));
    expect_that!(refused.len(), eq(8 * 40 - arrived));
    for text in refused {
        expect_that!(text, starts_with("http/1.1 503"));
        expect_that!(text, contains_substring("plantainpost-reason: cold"));
        // An entry counts requests on the way to the guard as if they were started.
        let seconds: Option<u64> = header(&text, "retry-after").parse().ok();
        expect_that!(seconds, some(all![ge(1), le(3)]));
    }
    let total = |name| -> u64 { (0..2).map(|i| metric(&platform, i, name)).sum() };
    let refused_by_entries = total("plantainpost_entry_refused_cold");
    let refused_by_guard = total("plantainpost_guard_refused_cold");
    expect_that!(refused_by_entries, ge(1));
    expect_that!(refused_by_guard, all![ge(1), lt(8 * 40)]);
    // The cold period and the time in which the rate rises end after 6 s.
    process::wait_until("a burst without refusals", WAIT_TIMEOUT, || {
        let answers = send_at_once(&platform, 8, 10);
        answers.iter().all(|text| text.starts_with("http/1.1 200"))
    })
    .expect("the limit ends");
}

/// Guards against a limit on targets of a service without a warm-up rate.
#[gtest]
fn service_without_a_warm_up_rate_has_no_cold_targets() {
    let target = ColdTarget::start();
    let platform = start_fleet(&target, 0);
    target.become_cold();
    let answers = send_at_once(&platform, 0, 30);
    expect_that!(answers, each(starts_with("http/1.1 200")));
}
