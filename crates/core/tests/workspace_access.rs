//! Workspaces of requests, and claims that are checked again.

use std::rc::Rc;

use googletest::prelude::*;
use plantainpost_core::{
    admission::RefuseReason,
    ids::ServiceName,
    routing::{CallerLimits, Repeat, Route, RouteTable, Share},
    workspace::{
        KeyClaim, KeyError, KeyHash, RequestCounts, SentKey, Workspace, WorkspaceError,
        WorkspaceTable, WorkspaceUsage, capacity_share, identify,
    },
};

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    Workspace {
        name: Rc::from(name),
        keys: keys.iter().map(|key| KeyHash::of(key.as_bytes())).collect(),
        priority: None,
        quota: None,
        allowed_regions: Vec::new(),
    }
}

fn route(public: bool) -> Route {
    let service = ServiceName::from("shelf");
    Route {
        name: Rc::from("r"),
        host: Rc::from("h"),
        prefix: Rc::from("/"),
        shares: vec![Share { service, weight: 1 }],
        repeat: Repeat::Allowed,
        timeout_ms: 1_000,
        latency_target_ms: 500,
        attempts: 2,
        priority: 0,
        public,
        allowed_regions: Vec::new(),
    }
}

fn table(version: u64, workspaces: Option<Vec<Workspace>>) -> RouteTable {
    let limits = CallerLimits {
        header_bytes: 1,
        body_bytes: 1,
        head_timeout_ms: 1,
        idle_timeout_ms: 1,
    };
    let table = RouteTable::new(version, vec![route(false)], Vec::new(), limits);
    match workspaces {
        Some(list) => table.with_workspaces(WorkspaceTable::new(list).expect("a valid table")),
        None => table,
    }
}

/// Guards against a request that runs without a valid key, or for another workspace, and against one
/// that is refused although it needs no key.
#[gtest]
fn requests_are_identified_by_their_keys() {
    let with = table(
        3,
        Some(vec![workspace("a", &["k1"]), workspace("b", &["k2"])]),
    );
    let empty = table(3, Some(Vec::new()));
    let without = table(3, None);
    let (none, one, ambiguous) = (SentKey::None, SentKey::One(b"k1"), SentKey::Ambiguous);
    let other = SentKey::One(b"K1");
    let rows = [
        ("a key", &with, false, one, Ok(Some("a"))),
        (
            "another key",
            &with,
            false,
            SentKey::One(b"k2"),
            Ok(Some("b")),
        ),
        ("other case", &with, false, other, Err(KeyError::Unknown)),
        (
            "prefix",
            &with,
            false,
            SentKey::One(b"k"),
            Err(KeyError::Unknown),
        ),
        ("no key", &with, false, none, Err(KeyError::Missing)),
        ("two keys", &with, false, ambiguous, Err(KeyError::Unknown)),
        ("public, no key", &with, true, none, Ok(None)),
        ("public, a key", &with, true, one, Ok(None)),
        ("public, unknown", &with, true, other, Ok(None)),
        ("no workspace", &empty, false, one, Err(KeyError::Unknown)),
        (
            "no workspace, no key",
            &empty,
            false,
            none,
            Err(KeyError::Missing),
        ),
        ("no table, no key", &without, false, none, Ok(None)),
        ("no table, a key", &without, false, one, Ok(None)),
    ];
    for (name, table, public, key, expected) in rows {
        let found = identify(table, &route(public), key);
        let found = found.map(|identity| identity.map(|i| (i.workspace.name.clone(), i.claim)));
        let names = found
            .as_ref()
            .map(|found| found.as_ref().map(|(name, _)| &**name));
        expect_that!(names, eq(expected.as_ref().map(|name| *name)), "{name}");
        if let Ok(Some((workspace, claim))) = found {
            expect_that!(claim.workspace, eq(&workspace), "{name}");
            expect_that!(claim.version, eq(3), "{name}");
        }
    }
}

/// Guards against a request that starts after its key was withdrawn, and against one that is refused
/// because the guard has an older configuration than the entry.
#[gtest]
fn claims_are_checked_against_newer_configurations() {
    let of_a = |version, keys: &[&str]| Some(table(version, Some(vec![workspace("a", keys)])));
    let withdrawn = Err(RefuseReason::KeyWithdrawn);
    let moved = vec![workspace("a", &["k2"]), workspace("b", &["k1"])];
    let rows = [
        ("none", None, Err(RefuseReason::NoConfiguration)),
        ("same", of_a(5, &["k1"]), Ok(())),
        ("older, without the key", of_a(4, &["k2"]), Ok(())),
        ("newer, with the key", of_a(6, &["k2", "k1"]), Ok(())),
        ("newer, without the key", of_a(6, &["k2"]), withdrawn),
        ("newer, of another", Some(table(6, Some(moved))), withdrawn),
        (
            "newer, no workspace",
            Some(table(6, Some(Vec::new()))),
            withdrawn,
        ),
        ("newer, no table", Some(table(6, None)), Ok(())),
    ];
    let claim = KeyClaim {
        workspace: Rc::from("a"),
        key: KeyHash::of(b"k1"),
        version: 5,
    };
    for (name, table, expected) in rows {
        expect_that!(claim.check(table.as_ref()), eq(expected), "{name}");
    }
    let newer = claim.with_version_of(&table(7, None));
    expect_that!(newer.version, eq(7));
    expect_that!(newer.with_version_of(&table(6, None)).version, eq(7));
}

/// Guards against names that would begin another header or end differently at the target.
#[gtest]
fn names_that_do_not_fit_into_a_header_are_invalid() {
    for name in ["", "a\r\nx: y", "a\u{7f}", " a", "a\t"] {
        let table = WorkspaceTable::new(vec![workspace(name, &["k1"])]);
        let name = name.to_owned();
        expect_that!(table, err(eq(&WorkspaceError::InvalidName { name })));
    }
    let table = WorkspaceTable::new(vec![workspace("Kofi & Söhne 2", &["k1"])]);
    expect_that!(table.is_ok(), eq(true));
}

/// Guards against metrics that grow with the number of workspaces, and against requests that they lose.
#[gtest]
fn usage_names_the_busiest_workspaces_and_adds_up_the_others() {
    let mut usage = WorkspaceUsage::default();
    let counts = |answered| RequestCounts {
        answered,
        ..RequestCounts::default()
    };
    let total = 10_000_u64;
    for i in 0..total {
        usage.add(&Rc::from(format!("w{i}")), counts(1));
        usage.add(&Rc::from("busy"), counts(1));
    }
    usage.add(&Rc::from("late"), counts(7));
    let (named, others) = usage.busiest(2);
    let names: Vec<(&str, u64)> = named.iter().map(|(n, c)| (&**n, c.answered)).collect();
    expect_that!(names, elements_are![eq(&("busy", total)), eq(&("late", 7))]);
    expect_that!(others, eq(counts(total)));
    let (all, _) = usage.busiest(usize::MAX);
    expect_that!(all.len(), le(4_096));
}

/// Guards against calls of targets that compete with new requests as equals, and against requests of
/// callers that are taken for calls.
#[gtest]
fn calls_of_targets_have_no_share() {
    let kola = workspace("kola", &["k"]);
    let with = table(1, Some(vec![kola.clone()]));
    let without = table(1, None);
    for is_from_own_host in [false, true] {
        let of_kola = capacity_share(&with, Some(&kola), is_from_own_host);
        expect_that!(of_kola, eq(kola.share_id()));
        expect_that!(capacity_share(&with, None, is_from_own_host), eq(0));
    }
    expect_that!(capacity_share(&without, None, true), eq(0));
    expect_that!(capacity_share(&without, None, false), ne(0));
}
