//! Nodes that get a new configuration late.

use std::{
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use plantainpost_standin::{
    process::Signal,
    proxy::{Proxy, ProxyFaults},
};

use crate::{
    fleet_fixture::{Fleet, host_specs},
    http_client::request_with_timeout,
};

/// Time limit for a confirmed configuration to be in force on all nodes.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);

/// Guards against a guard that keeps accepting work for its leaving target because it cannot
/// reach the log service, although it can reach its peers.
#[gtest]
fn guard_without_log_gets_the_configuration_from_peers() {
    let proxy = Mutex::new(None);
    let fleet = Fleet::start_with_settings(&host_specs("stock", 3), |i, text| {
        if i == 1 {
            let line = text.lines().find(|line| line.starts_with("address = "));
            let address = line.expect("the log has an address")["address = ".len()..].to_owned();
            let log = Proxy::start(address.parse().expect("a socket address"));
            let log = log.expect("the proxy starts");
            *text = text.replace(&address, &log.address().to_string());
            *proxy.lock().expect("no panic") = Some(log);
        }
    });
    let proxy = proxy
        .into_inner()
        .expect("no panic")
        .expect("the proxy was started");
    proxy.set_faults(ProxyFaults {
        close_new_connections: true,
        ..Default::default()
    });
    proxy.cut_connections();
    fleet.plan_and_confirm(0, &["leave", "--target", "stock-1"]);
    let start = Instant::now();
    let wanted = fleet.status(0)["configuration"]["version"].clone();
    fleet.wait_status(1, "the version is in force", |status| {
        status["configuration"]["version"] == wanted
    });
    expect_that!(start.elapsed(), le(IN_FORCE_LIMIT));
}

/// Guards against work for a leaving target from an entry that was suspended while the
/// configuration changed. Its requests must run on other targets.
#[gtest]
fn entry_with_old_configuration_starts_nothing_on_a_leaving_target() {
    let fleet = Fleet::start(&host_specs("stock", 3));
    let callers = fleet.nodes[0].callers;
    let post = move |number: usize| {
        let nonce = format!("old-{number}");
        request_with_timeout(callers, ("POST", "stock"), (&nonce, 10_000), "")
    };
    for number in 0..20 {
        expect_that!(post(number), starts_with("HTTP/1.1 200 "));
    }
    let process = &fleet.nodes[0].process;
    process.signal(Signal::Stop).expect("the node runs");
    fleet.plan_and_confirm(2, &["leave", "--target", "stock-1"]);
    let wanted = fleet.status(2)["configuration"]["version"].clone();
    fleet.wait_status(1, "the version is in force", |status| {
        status["configuration"]["version"] == wanted
    });
    let before = fleet.targets[1].started_count();
    let waiting: Vec<_> = (20..40).map(|n| thread::spawn(move || post(n))).collect();
    thread::sleep(Duration::from_millis(300));
    process.signal(Signal::Cont).expect("the node runs");
    for answer in waiting {
        let answer = answer.join().expect("no panic");
        expect_that!(answer, starts_with("HTTP/1.1 200 "));
    }
    expect_that!(fleet.targets[1].started_count(), eq(before));
}
