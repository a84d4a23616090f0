//! Settings files, tested with `check`.

use googletest::prelude::*;
use serde_json::Value;

use crate::{FLEET_KEY, TOKEN, TestDir, error_message, stdout};

const EXAMPLE_FILE: &str = include_str!("../../docs/plantainpost.ini");

/// Returns the example file with every commented-out key uncommented.
fn with_all_keys() -> String {
    let uncomment = |line: &str| match line.strip_prefix("# ") {
        Some(rest) if rest.contains(" = ") => format!("{rest}\n"),
        Some("contacts =") => "contacts =\n".to_owned(),
        _ => format!("{line}\n"),
    };
    EXAMPLE_FILE.lines().map(uncomment).collect()
}

/// Guards against an example file that does not match the table of keys, and against defaults that
/// differ from the documented ones.
#[gtest]
fn example_file_is_complete_and_accepted() {
    let dir = TestDir::new();
    expect_that!(stdout(&dir.run(&["check", "--example"])), eq(EXAMPLE_FILE));
    dir.write("short.ini", EXAMPLE_FILE);
    dir.write("all.ini", &with_all_keys());
    let short = dir.run(&["check", "--json", "short.ini"]);
    let all = dir.run(&["check", "--json", "all.ini"]);
    expect_that!(all.status.code(), some(eq(0)), "{all:?}");
    let short: Value = serde_json::from_slice(&short.stdout).expect("JSON");
    let mut all: Value = serde_json::from_slice(&all.stdout).expect("JSON");
    let security = all["security"].as_object_mut().expect("section");
    expect_true!(security.remove("second_key_file").is_some());
    expect_true!(security.remove("token_file").is_some());
    for (section, key) in [
        ("output", "statsd"),
        ("node", "service"),
        ("listen", "metrics"),
        ("platform", "grace"),
        ("retry", "fleet_slack"),
    ] {
        let section = all[section].as_object_mut().expect("section");
        expect_true!(section.remove(key).is_some(), "{key}");
    }
    expect_that!(all, eq(&short));
}

/// Rows that each change one line of the example file with all keys: the failure that the row
/// guards against, the line, its replacement, and the end of the error message.
#[rustfmt::skip]
const INVALID_SETTINGS: &[(&str, &str, &str, &str)] = &[
    ("a misspelt key is ignored", "poll = 1 s", "pol = 1 s",
     "unknown key `pol` in [log]; did you mean `poll` in [log]?"),
    ("a key in the wrong section is ignored", "poll = 1 s", "policy = random",
     "unknown key `policy` in [log]; did you mean `policy` in [balance]?"),
    ("a misspelt section is ignored", "[log]", "[logs]",
     "unknown section [logs]; did you mean [log]?"),
    ("a key without section is ignored", "[node]", "name = x",
     "`name` precedes any section; move it below [section]"),
    ("the first of two values wins silently", "poll = 1 s", "poll = 1 s\npoll = 2 s",
     "`poll` in [log] is given twice; remove one"),
    ("a line without value is ignored", "poll = 1 s", "poll",
     "; write [section] and key = value lines"),
    ("a time without unit is taken for seconds", "poll = 1 s", "poll = 1",
     "`poll` in [log] can't be `1`; allowed: 100 ms to 1 min, unit ms, s or min"),
    ("an unknown unit is ignored", "poll = 1 s", "poll = 1 h",
     "`poll` in [log] can't be `1 h`; allowed: 100 ms to 1 min, unit ms, s or min"),
    ("a size is given in units of time", "body = 32 MiB", "body = 32 s",
     "`body` in [limits] can't be `32 s`; allowed: 1 KiB to 1024 MiB, unit B, KiB or MiB"),
    ("a size of powers of ten is read as powers of two", "body = 32 MiB", "body = 32 MB",
     "`body` in [limits] can't be `32 MB`; allowed: 1 KiB to 1024 MiB, unit B, KiB or MiB"),
    ("a size overflows", "body = 32 MiB", "body = 18446744073709551615 MiB",
     "`body` in [limits] can't be `18446744073709551615 MiB`; allowed: 1 KiB to 1024 MiB, unit B, KiB or MiB"),
    ("a time below its range is accepted", "poll = 1 s", "poll = 99 ms",
     "`poll` in [log] can't be `99 ms`; allowed: 100 ms to 1 min, unit ms, s or min"),
    ("a time above its range is accepted", "max_timeout = 120 s", "max_timeout = 120001 ms",
     "`max_timeout` in [limits] can't be `120001 ms`; allowed: 1 ms to 2 min, unit ms, s or min"),
    ("a negative number is accepted", "queue = 2", "queue = -1",
     "`queue` in [limits] can't be `-1`; allowed: 0 to 2, no unit"),
    ("a queue above its range is accepted", "queue = 2", "queue = 3",
     "`queue` in [limits] can't be `3`; allowed: 0 to 2, no unit"),
    ("a count with unit is accepted", "connections = 1024", "connections = 1 KiB",
     "`connections` in [limits] can't be `1 KiB`; allowed: 1 to 65536, no unit"),
    ("a comment after a value becomes part of it", "queue = 2", "queue = 2 # two",
     "`queue` in [limits] can't be `2 # two`; allowed: 0 to 2, no unit"),
    ("a listener address is resolved by name", "callers = 0.0.0.0:8080", "callers = localhost:80",
     "`callers` in [listen] can't be `localhost:80`; allowed: IP address and port, such as 10.0.0.7:8082"),
    ("an address without port is accepted", "callers = 0.0.0.0:8080", "callers = 10.0.0.7",
     "`callers` in [listen] can't be `10.0.0.7`; allowed: IP address and port, such as 10.0.0.7:8082"),
    ("a random port is chosen silently", "callers = 0.0.0.0:8080", "callers = 0.0.0.0:0",
     "`callers` in [listen] can't be `0.0.0.0:0`; allowed: IP address and port, such as 10.0.0.7:8082"),
    ("peers are told an address that reaches no host", "ip = 10.0.0.7", "ip = 0.0.0.0",
     "`ip` in [node] can't be `0.0.0.0`; allowed: IP address of this host, such as 10.0.0.7"),
    ("one bad contact is skipped", "contacts =", "contacts = 10.0.0.1:8082, 10.0.0.2",
     "`contacts` in [peers] can't be `10.0.0.1:8082, 10.0.0.2`; allowed: IP addresses with ports, separated by commas"),
    ("a log address with a scheme is accepted", "address = 10.0.0.9:9000", "address = http://log",
     "`address` in [log] can't be `http://log`; allowed: host and port, such as 10.0.0.9:9000"),
    ("two names differ only in case", "name = stock-1", "name = Stock-1",
     "`name` in [node] can't be `Stock-1`; allowed: 1 to 63 of a-z, 0-9, '-' and '.'"),
    ("an unknown policy falls back to the default", "policy = predicted-completion", "policy = best",
     "`policy` in [balance] can't be `best`; allowed: one of predicted-completion, random, round-robin, least-in-flight, two-choices-reported"),
    ("a settings file without a required key is accepted", "name = stock-1", "",
     "`name` in [node] is missing; allowed: 1 to 63 of a-z, 0-9, '-' and '.'"),
    ("a key file that can't be read is ignored", "key_file = fleet.key", "key_file = none",
     "can't read key file none: No such file or directory (os error 2); check name and permissions"),
    ("a weak key is accepted, or shown", "second_key_file = next-fleet.key", "second_key_file = short",
     "second key has 12 bytes; allowed: at least 32 bytes"),
    ("a weak token is accepted, or shown", "token_file = admin.token", "token_file = short",
     "token has 12 bytes; allowed: at least 16 bytes"),
    ("a default above the maximum is accepted", "max_timeout = 120 s", "max_timeout = 5 s",
     "`default_timeout` in [limits] is 10 s; allowed: at most max_timeout, which is 5 s"),
    ("a graceful stop aborts requests", "stop_timeout = 130 s", "stop_timeout = 119 s",
     "`max_timeout` in [limits] is 2 min; allowed: at most stop_timeout, which is 119 s"),
];

/// Guards against the failure named in each row.
#[gtest]
fn invalid_settings_are_rejected_with_their_line() {
    let dir = TestDir::new();
    let all = with_all_keys();
    for (failure, line, replacement, want) in INVALID_SETTINGS {
        let line_number = all
            .lines()
            .position(|l| l == *line)
            .expect("line of the example")
            + 1;
        let changed = all.replacen(&format!("\n{line}\n"), &format!("\n{replacement}\n"), 1);
        dir.write("node.ini", &changed);
        let output = dir.run(&["check", "node.ini"]);
        let message = error_message(&output);
        expect_that!(output.status.code(), some(eq(1)), "{failure}");
        expect_that!(message, ends_with(*want), "{failure}");
        expect_that!(
            message,
            not(contains_substring("short-secret")),
            "{failure}"
        );
        if !want.contains("is missing") && !want.contains(" in [limits] is ") {
            let is_near = (line_number..=line_number + 2)
                .any(|n| message.starts_with(&format!("node.ini:{n}: ")));
            expect_true!(is_near, "{failure}: line {line_number}, not `{message}`");
        }
    }
}

/// Guards against an admin listener that other hosts can reach without a token, and against
/// ignoring a token in the environment.
#[gtest]
fn admin_listener_off_loopback_needs_a_token() {
    let dir = TestDir::new();
    let open = EXAMPLE_FILE.replace("# admin = 127.0.0.1:8081", "admin = 0.0.0.0:8081");
    dir.write("node.ini", &open);
    let refused = dir.run(&["check", "node.ini"]);
    expect_that!(refused.status.code(), some(eq(1)));
    expect_that!(error_message(&refused), contains_substring("needs a token"));
    let mut command = dir.command(&["check", "node.ini"]);
    let accepted = command
        .env("PLANTAINPOST_TOKEN", TOKEN)
        .output()
        .expect("program");
    expect_that!(accepted.status.code(), some(eq(0)));
}

/// Guards against fleet keys and tokens in the output, as a table and as JSON.
#[gtest]
fn check_shows_no_secret() {
    let dir = TestDir::new();
    dir.write("node.ini", &with_all_keys());
    for args in [&["check", "node.ini"][..], &["check", "--json", "node.ini"]] {
        let output = dir.run(args);
        let text = format!(
            "{}{}",
            stdout(&output),
            String::from_utf8_lossy(&output.stderr)
        );
        expect_that!(text, contains_substring("fleet.key"));
        expect_that!(text, not(contains_substring(FLEET_KEY)));
        expect_that!(text, not(contains_substring(TOKEN)));
    }
}
