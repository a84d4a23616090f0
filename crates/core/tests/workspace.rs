//! Tables of workspaces.

use std::rc::Rc;

use googletest::prelude::*;
use plantainpost_core::workspace::{
    KeyHash, QuotaLimit, Workspace, WorkspaceError, WorkspaceTable,
};

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    Workspace {
        name: Rc::from(name),
        keys: keys.iter().map(|key| KeyHash::of(key.as_bytes())).collect(),
        priority: None,
        quota: Some(QuotaLimit {
            per_1000_s: 1_000,
            burst: 1,
        }),
        allowed_regions: Vec::new(),
    }
}

/// Guards against a request that is taken for one of another workspace.
#[gtest]
fn key_identifies_its_workspace() {
    let workspaces = vec![workspace("b", &["k3"]), workspace("a", &["k1", "k2", "k1"])];
    let table = WorkspaceTable::new(workspaces).expect("a valid table");
    let rows = [
        ("k1", Some("a")),
        ("k2", Some("a")),
        ("k3", Some("b")),
        ("k4", None),
        ("", None),
    ];
    for (key, expected) in rows {
        let found = table.find_by_key(&KeyHash::of(key.as_bytes()));
        expect_that!(
            found.map(|workspace| &*workspace.name),
            eq(expected),
            "{key}"
        );
    }
    expect_that!(
        table.get("b").map(|workspace| workspace.keys.len()),
        some(eq(1))
    );
    expect_that!(table.get("c").is_none(), eq(true));
}

/// Guards against a configuration in which the owner of a key is ambiguous.
#[gtest]
fn tables_with_shared_keys_or_names_are_invalid() {
    let shared_key =
        WorkspaceTable::new(vec![workspace("a", &["k1"]), workspace("b", &["k2", "k1"])]);
    let expected = WorkspaceError::SharedKey {
        first: "a".to_owned(),
        second: "b".to_owned(),
    };
    expect_that!(shared_key, err(eq(&expected)));
    let shared_name = WorkspaceTable::new(vec![workspace("a", &["k1"]), workspace("a", &["k2"])]);
    let expected = WorkspaceError::SharedName {
        name: "a".to_owned(),
    };
    expect_that!(shared_name, err(eq(&expected)));
}

/// Guards against keys in logs, which print values by their debug format.
#[gtest]
fn hashes_of_keys_are_not_printed() {
    let table = WorkspaceTable::new(vec![workspace("a", &["k1"])]).expect("a valid table");
    expect_that!(format!("{table:?}"), contains_substring("KeyHash(..)"));
}
