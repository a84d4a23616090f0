//! Tests of `trace`, which follows a request through the logs of several nodes.

use googletest::prelude::*;

use crate::{TestDir, error_message, stdout};

/// Log of the node that received the request, starting with a line that is not a log line.
const ENTRY_NODE_LOG: &str = r#"starting
{"msg":"routes in force","level":"INFO","ts":"2026-07-28T03:39:36.100Z","version":6}
{"msg":"request ended","level":"INFO","ts":"2026-07-28T03:39:36.988Z","us":76112,"attempts":"first at stock-2: not run: slow after 900 us, retry at stock-3: answered, status 200 after 75000 us","route":null,"request":"28657553b15aa696"}
{"msg":"request ended","level":"INFO","ts":"2026-07-28T03:39:36.989Z","us":5,"request":"28657553b15aa6967"}
"#;

/// Log of other nodes in the format of a log collector: with the node's name before each line.
const COLLECTED_LOG: &str = r#"
0.91 stock-2 {"msg":"request refused","level":"INFO","ts":"2026-07-28T03:39:36.9Z","reason":"slow","pace":500,"request":"28657553b15aa696"}
0.95 stock-3 {"msg":"request ended","level":"INFO","ts":"2026-07-28T03:39:36.950Z","outcome":"answered","request":"28657553b15aa696.a351f7b9a204b50f"}
0.98 stock-3 {"msg":"request served","level":"INFO","ts":"2026-07-28T03:39:36.987Z","status":200,"request":"28657553b15aa696"}
0.99 stock-3 {"msg":"request served","level":"INFO","ts":"2026-07-28T03:39:36.990Z","status":200,"request":"1"}
"#;

/// Guards against lines of other requests, lines in the wrong order, and missing lines of the calls
/// that the target made.
#[gtest]
fn trace_prints_the_lines_of_a_request_in_order_of_time() {
    let dir = TestDir::new();
    dir.write("stock-1.log", ENTRY_NODE_LOG);
    dir.write("others.log", COLLECTED_LOG);
    let output = dir.run(&["trace", "28657553b15aa696", "stock-1.log", "others.log"]);
    expect_that!(output.status.code(), some(eq(0)));
    let text = stdout(&output);
    let headlines: Vec<&str> = text.lines().filter(|l| !l.starts_with(' ')).collect();
    expect_that!(
        headlines,
        elements_are![
            eq(&"2026-07-28T03:39:36.9Z stock-2 request refused (28657553b15aa696)"),
            eq(
                &"2026-07-28T03:39:36.950Z stock-3 request ended (28657553b15aa696.a351f7b9a204b50f)"
            ),
            eq(&"2026-07-28T03:39:36.987Z stock-3 request served (28657553b15aa696)"),
            eq(&"2026-07-28T03:39:36.988Z stock-1 request ended (28657553b15aa696)"),
        ]
    );
    expect_that!(text, contains_substring("\n    reason: slow\n"));
    expect_that!(text, contains_substring("\n    pace: 500\n"));
    expect_that!(text, not(contains_substring("route")));
}

/// Guards against success with empty output when no line is about the request.
#[gtest]
fn trace_of_an_unknown_request_is_an_error() {
    let dir = TestDir::new();
    dir.write("stock-1.log", ENTRY_NODE_LOG);
    let rows: [(&[&str], i32, &str); 3] = [
        (
            &["trace", "0", "stock-1.log"],
            1,
            "none of 4 lines is about request 0",
        ),
        (&["trace", "1", "none.log"], 1, "can't read log"),
        (&["trace", "1"], 2, "give at least one log file"),
    ];
    for (args, code, text) in rows {
        let output = dir.run(args);
        expect_that!(output.status.code(), some(eq(code)), "{args:?}");
        expect_that!(error_message(&output), contains_substring(text), "{args:?}");
    }
}
