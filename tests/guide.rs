//! Checks the pages for operators against the program.

#[path = "guide/page.rs"]
mod page;
#[path = "guide/shell.rs"]
mod shell;

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
    process::Command,
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;

use page::Block;
use shell::Shell;

/// Longest time for which a block is repeated. Changes are in force within 4 s and audit
/// entries are written within 10 s; the rest is for a busy machine.
const RETRY_LIMIT: Duration = Duration::from_secs(45);

/// Pause between two runs of a block.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Methods of the node's metrics that take a name.
const METRIC_CALLS: [&str; 4] = [".count(", ".add(", ".gauge(", ".latency("];

fn repository() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read(name: &str) -> String {
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
    let text = read("METRICS.md");
    let rows = text.lines().filter_map(|line| line.strip_prefix("| `"));
    let documented: BTreeSet<String> = rows
        .filter_map(|row| row.split('`').next())
        .map(str::to_owned)
        .collect();
    // An empty set would mean that the calls are no longer found.
    expect_that!(used.len(), ge(50));
    expect_that!(documented, eq(&used));
}

/// Builds the stand-ins beside the program under test and returns their directory.
fn programs() -> PathBuf {
    let program = Path::new(env!("CARGO_BIN_EXE_plantainpost"));
    let dir = program.parent().expect("directory").to_owned();
    let mut build = Command::new(env!("CARGO"));
    build
        .args(["build", "--locked", "--quiet", "--package"])
        .arg("plantainpost-standin")
        .arg("--target-dir")
        .arg(dir.parent().expect("target directory"))
        .current_dir(repository());
    if dir.ends_with("release") {
        build.arg("--release");
    }
    let status = build.status().expect("cargo");
    assert!(status.success(), "the stand-ins don't build");
    dir
}

/// Returns a loopback network that no other run of this test uses at the same time, so
/// that the ports of the page are free.
fn network() -> String {
    let id = std::process::id();
    format!("127.{}.{}.", 1 + (id >> 8) % 254, id & 0xff)
}

fn run(shell: &mut Shell, block: &Block) {
    let deadline = Instant::now() + RETRY_LIMIT;
    loop {
        let output = shell.run(&block.commands);
        let Some(missing) = block.missing(&output) else {
            return;
        };
        if !block.retry || Instant::now() >= deadline {
            let output = output.join("\n");
            let (line, logs) = (block.line, shell.logs());
            panic!("GUIDE.md, line {line}: `{missing}` is not in\n{output}\n\n{logs}");
        }
        thread::sleep(RETRY_PAUSE);
    }
}

/// Guards against a guide whose commands no longer work or print something else.
#[gtest]
fn guide_works() {
    let page = read("GUIDE.md").replace("127.0.0.", &network());
    let blocks = page::blocks(&page);
    // Too few blocks would mean that they are no longer found.
    expect_that!(blocks.len(), ge(30));
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("guide-{}", std::process::id()));
    let mut shell = Shell::start(&programs(), dir);
    for block in &blocks {
        let started = Instant::now();
        run(&mut shell, block);
        let ms = started.elapsed().as_millis();
        println!("line {}: {ms} ms", block.line);
    }
}
