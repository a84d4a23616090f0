//! Tests of route lookup and of weighted splits.

use std::{collections::BTreeMap, rc::Rc};

use googletest::prelude::*;
use plantainpost_core::{
    ids::ServiceName,
    routing::{CallerLimits, Repeat, Route, RouteTable, Share},
    workspace::WorkspaceTable,
};
use rand::{SeedableRng, rngs::StdRng};

fn route(host: &str, prefix: &str, shares: &[(&str, u32)]) -> Route {
    let shares = shares.iter().map(|(service, weight)| Share {
        service: ServiceName::from(*service),
        weight: *weight,
    });
    Route {
        name: Rc::from(format!("{host}{prefix}")),
        host: Rc::from(host),
        prefix: Rc::from(prefix),
        shares: shares.collect(),
        repeat: Repeat::Allowed,
        timeout_ms: 1_000,
        latency_target_ms: 500,
        attempts: 2,
        priority: 0,
        public: false,
        allowed_regions: Vec::new(),
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    let limits = CallerLimits {
        header_bytes: 1,
        body_bytes: 1,
        head_timeout_ms: 1,
        idle_timeout_ms: 1,
    };
    RouteTable::new(1, routes, Vec::new(), limits)
}

/// Guards against a route lookup that ignores the host or prefers a shorter prefix, which would
/// send the request to the wrong service.
#[gtest]
fn longest_matching_prefix_of_the_host_wins() {
    let table = table(vec![
        route("a", "/x/", &[("short", 1)]),
        route("a", "/x/y/", &[("long", 1)]),
        route("b", "/x/", &[("other", 1)]),
    ]);
    let rows = [
        ("a", "/x/1", Some("short")),
        ("a", "/x/y/1", Some("long")),
        ("a", "/x/y", Some("short")),
        ("a", "/x", None),
        ("a", "/", None),
        ("b", "/x/y/1", Some("other")),
        ("c", "/x/1", None),
    ];
    for (host, path, expected) in rows {
        let found = table.find_route(host, path);
        let service = found.map(|route| route.shares[0].service.as_str());
        expect_that!(service, eq(expected), "{host}{path}");
    }
}

/// Guards against a weighted split in which a service gets more or less than its share, or any
/// request at weight zero.
#[gtest]
fn split_follows_the_weights() {
    let route = route("a", "/", &[("most", 90_000), ("few", 10_000), ("none", 0)]);
    let mut rng = StdRng::seed_from_u64(1);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..10_000 {
        let service = route.choose_service(&mut rng).as_str().to_owned();
        *counts.entry(service).or_default() += 1;
    }
    expect_that!(counts.get("none"), none());
    expect_that!(counts["few"], all![gt(850), lt(1_150)]);
}

/// Guards against shedding by value where nothing asks for it, and against its absence where
/// requests differ in their claims.
#[gtest]
fn requests_compete_by_priority_or_workspace() {
    let with_priorities = |rows: &[(&str, u32)]| {
        let routes = rows
            .iter()
            .enumerate()
            .map(|(index, (service, priority))| Route {
                priority: *priority,
                ..route(&format!("host-{index}"), "/", &[(service, 1)])
            });
        table(routes.collect())
    };
    let same = with_priorities(&[("a", 1), ("a", 1), ("b", 2)]);
    expect_that!(same.has_competing_requests(), eq(false));
    let different = with_priorities(&[("b", 2), ("a", 1), ("a", 0)]);
    expect_that!(different.has_competing_requests(), eq(true));
    let workspaces = same.with_workspaces(WorkspaceTable::default());
    expect_that!(workspaces.has_competing_requests(), eq(true));
}
