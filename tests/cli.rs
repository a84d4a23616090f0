//! Tests of the command line that run the `plantainpost` binary.

#[path = "cli/admin_calls.rs"]
mod admin_calls;
#[path = "cli/settings.rs"]
mod settings;
#[path = "cli/template.rs"]
mod template;
#[path = "cli/trace.rs"]
mod trace;

use std::{
    fs,
    path::PathBuf,
    process::{Command, Output},
};

use googletest::prelude::*;

const FLEET_KEY: &str = "fleet-key-of-the-tests-0123456789abcdef";
const TOKEN: &str = "token-of-the-tests-0123456789";

/// Temporary directory with the secret files that the example settings name. The program runs in
/// this directory.
struct TestDir(PathBuf);

impl TestDir {
    fn new() -> Self {
        let name = format!("cli-{}", uuid::Uuid::new_v4());
        let dir = TestDir(PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name));
        fs::create_dir(&dir.0).expect("directory");
        dir.write("fleet.key", FLEET_KEY);
        dir.write("next-fleet.key", FLEET_KEY);
        dir.write("admin.token", TOKEN);
        dir.write("short", "short-secret");
        dir
    }

    fn write(&self, name: &str, content: &str) {
        fs::write(self.0.join(name), content).expect("file");
    }

    fn command(&self, args: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_plantainpost"));
        command
            .args(args)
            .current_dir(&self.0)
            .env_remove("PLANTAINPOST_TOKEN");
        command
    }

    fn run(&self, args: &[&str]) -> Output {
        self.command(args).output().expect("program")
    }
}

impl Drop for TestDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Returns the error message on standard error after checking that it is one line.
fn error_message(output: &Output) -> String {
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    expect_that!(text.lines().count(), eq(1), "{text}");
    text.trim_end()
        .trim_start_matches("plantainpost: ")
        .to_owned()
}

/// Guards against an invalid command line that does not exit with the code for usage errors, and
/// against error messages of several lines.
#[gtest]
fn invalid_command_lines_are_usage_errors() {
    let dir = TestDir::new();
    let rows: &[&[&str]] = &[
        &[],
        &["bogus"],
        &["check"],
        &["status", "--bogus"],
        &["plan", "measure", "5"],
        &["plan", "--author", "a"],
        &["plan", "--author", "a", "leave"],
        &["plan", "--author", "a", "measure", "1001"],
        &["plan", "--author", "a", "measure", "5 %"],
        &["plan", "--author", "a", "share", "stock"],
        &["plan", "--author", "a", "share", "stock", "--target", "a"],
        &[
            "plan", "--author", "a", "share", "stock", "--target", "a=-1",
        ],
        &[
            "plan", "--author", "a", "share", "stock", "--target", "a=1", "--target", "a=2",
        ],
        &["plan", "--author", "a", "restore", "last"],
        &["confirm", "--author", "a"],
        &["explain"],
        &["explain", "--request", "1", "--target", "a"],
        &["route"],
        &["route", "a", "--workspace", "w", "--key-file", "f"],
        &["route", "a", "--key", "secret"],
    ];
    for args in rows {
        let output = dir.run(args);
        expect_that!(output.status.code(), some(eq(2)), "{args:?}");
        error_message(&output);
    }
    let help = dir.run(&["--help"]);
    expect_that!(help.status.code(), some(eq(0)));
    expect_that!(stdout(&help), contains_substring("Exit codes:"));
}
