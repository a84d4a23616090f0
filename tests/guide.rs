//! Checks the pages for operators against the program.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

use googletest::prelude::*;

/// Methods of the node's metrics that take a name.
const METRIC_CALLS: [&str; 4] = [".count(", ".add(", ".gauge(", ".latency("];

fn repository() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn page(name: &str) -> String {
    fs::read_to_string(repository().join("docs").join(name)).expect("page")
}

fn sources(dir: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(dir).expect("directory") {
        let path = entry.expect("entry").path();
        if path.is_dir() {
            sources(&path, files);
        } else {
            files.push(path);
        }
    }
}

/// Returns the text literals in the arguments of calls on `metrics`, up to the end of the
/// statement, so that names chosen by a `match` are found, too.
fn metric_names(source: &str) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for call in METRIC_CALLS {
        for (at, _) in source.match_indices(call) {
            if !source[..at].trim_end().ends_with("metrics") {
                continue;
            }
            let arguments = &source[at + call.len()..];
            let end = closing(arguments);
            let literals = arguments[..end].split('"').skip(1).step_by(2);
            names.extend(literals.map(str::to_owned));
        }
    }
    names
}

/// Returns the position of the parenthesis that closes a list of arguments.
fn closing(arguments: &str) -> usize {
    let mut depth = 1;
    let position = arguments.find(|c| {
        match c {
            '(' => depth += 1,
            ')' => depth -= 1,
            _ => (),
        }
        depth == 0
    });
    position.expect("the call is closed")
}

/// Guards against metrics that the page doesn't explain, and against rows for metrics that
/// no longer exist.
#[gtest]
fn metrics_page_is_complete() {
    let mut files = Vec::new();
    sources(&repository().join("crates/node/src"), &mut files);
    let used: BTreeSet<String> = files
        .iter()
        .flat_map(|file| metric_names(&fs::read_to_string(file).expect("source")))
        .collect();
    let text = page("METRICS.md");
    let rows = text.lines().filter_map(|line| line.strip_prefix("| `"));
    let documented: BTreeSet<String> = rows
        .filter_map(|row| row.split('`').next())
        .map(str::to_owned)
        .collect();
    // An empty set would mean that the calls are no longer found.
    expect_that!(used.len(), ge(50));
    expect_that!(documented, eq(&used));
}
