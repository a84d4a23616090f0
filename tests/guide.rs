//! Checks the operator documentation in `docs/` against the program.

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

/// Time limit for repeating a block. A change takes up to 4 s to come into force and an
/// audit entry up to 10 s to be written; the rest is a margin for a busy machine.
const BLOCK_RETRY_LIMIT: Duration = Duration::from_secs(45);

/// Pause between two runs of a repeated block.
const BLOCK_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Methods on the node's `metrics` whose argument is a metric name.
const METRIC_METHODS: [&str; 4] = [".count(", ".add(", ".gauge(", ".latency("];

fn repository_root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read_page(name: &str) -> String {
    fs::read_to_string(repository_root().join("docs").join(name)).expect("page")
}

fn collect_source_files(dir: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(dir).expect("directory") {
        let path = entry.expect("entry").path();
        if path.is_dir() {
            collect_source_files(&path, files);
        } else {
            files.push(path);
        }
    }
}

/// Returns the string literals in the arguments of calls on `metrics`. All literals up to
/// the closing parenthesis count, so that names chosen by a `match` are found, too.
fn metric_names(source: &str) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for call in METRIC_METHODS {
        for (at, _) in source.match_indices(call) {
            if !source[..at].trim_end().ends_with("metrics") {
                continue;
            }
            let arguments = &source[at + call.len()..];
            let end = closing_parenthesis(arguments);
            let literals = arguments[..end].split('"').skip(1).step_by(2);
            names.extend(literals.map(str::to_owned));
        }
    }
    names
}

/// Returns the position of the parenthesis that closes an argument list.
fn closing_parenthesis(arguments: &str) -> usize {
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

/// Guards against metrics that METRICS.md does not document, and against rows for metrics
/// that no longer exist.
#[gtest]
fn metrics_page_matches_the_code() {
    let mut files = Vec::new();
    collect_source_files(&repository_root().join("crates/node/src"), &mut files);
    let used: BTreeSet<String> = files
        .iter()
        .flat_map(|file| metric_names(&fs::read_to_string(file).expect("source")))
        .collect();
    let text = read_page("METRICS.md");
    let rows = text.lines().filter_map(|line| line.strip_prefix("| `"));
    let documented: BTreeSet<String> = rows
        .filter_map(|row| row.split('`').next())
        .map(str::to_owned)
        .collect();
    // Fewer names mean that `metric_names` no longer finds the calls.
    expect_that!(used.len(), ge(50));
    expect_that!(documented, eq(&used));
}

/// Builds the stand-ins into the directory of the binary under test and returns it.
fn build_stand_ins() -> PathBuf {
    let program = Path::new(env!("CARGO_BIN_EXE_plantainpost"));
    let dir = program.parent().expect("directory").to_owned();
    let mut build = Command::new(env!("CARGO"));
    build
        .args(["build", "--locked", "--quiet", "--package"])
        .arg("plantainpost-standin")
        .arg("--target-dir")
        .arg(dir.parent().expect("target directory"))
        .current_dir(repository_root());
    if dir.ends_with("release") {
        build.arg("--release");
    }
    let status = build.status().expect("cargo");
    assert!(status.success(), "building the stand-ins failed");
    dir
}

/// Returns the first three octets of a loopback network. They are derived from the process
/// id, so that parallel runs do not compete for the ports of the page.
fn loopback_prefix() -> String {
    let id = std::process::id();
    format!("127.{}.{}.", 1 + (id >> 8) % 254, id & 0xff)
}

/// Runs a block, repeatedly if it is marked so, until it prints its expected lines.
fn run_block(shell: &mut Shell, block: &Block) {
    let deadline = Instant::now() + BLOCK_RETRY_LIMIT;
    loop {
        let output = shell.run(&block.commands);
        let Some(missing) = block.first_missing_line(&output) else {
            return;
        };
        if !block.retry || Instant::now() >= deadline {
            let output = output.join("\n");
            let (line, logs) = (block.line, shell.logs());
            panic!(
                "GUIDE.md, line {line}: expected line `{missing}` is missing in\n{output}\n\n{logs}"
            );
        }
        thread::sleep(BLOCK_RETRY_PAUSE);
    }
}

/// Guards against commands in GUIDE.md that fail or print other lines than the page shows.
#[gtest]
fn guide_commands_print_the_documented_lines() {
    let page = read_page("GUIDE.md").replace("127.0.0.", &loopback_prefix());
    let blocks = page::blocks(&page);
    // Fewer blocks mean that the parser no longer finds them.
    expect_that!(blocks.len(), ge(30));
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("guide-{}", std::process::id()));
    let mut shell = Shell::start(&build_stand_ins(), dir);
    for block in &blocks {
        let started = Instant::now();
        run_block(&mut shell, block);
        let ms = started.elapsed().as_millis();
        println!("line {}: {ms} ms", block.line);
    }
}
