//! The settings template `deploy/node.ini`, filled in as the users' platform does.

use googletest::prelude::*;
use serde_json::Value;

use crate::{TestDir, stdout};

const TEMPLATE: &str = include_str!("../../deploy/node.ini");

/// Names and default values of the template's placeholders.
const PLACEHOLDERS: &[(&str, &str)] = &[
    ("nodeId", "sidecar-pos-1"),
    ("zone", "pos"),
    ("region", "tt-main"),
    ("ip", "10.1.0.8"),
    ("service", "huvo11a"),
    ("listen.outbound", "10.1.0.8:8304"),
    ("listen.control", "10.1.0.8:8306"),
    ("listen.ready", "10.1.0.8:8302"),
    ("portRange.0", "7620"),
    ("portRange.1", "7635"),
    ("platform.address", "10.200.1.7:8309"),
    ("heartbeatMs", "1500"),
    ("bounds.graceS", "6"),
    ("bounds.probesPerS", "60"),
    ("bounds.budgetSlack", "56"),
];

/// Fills in the template with the default values, except those in `overrides`. A section is kept if
/// its value is neither empty nor `false`.
fn fill_template(overrides: &[(&str, &str)]) -> String {
    let mut text = TEMPLATE.to_owned();
    for (name, default) in PLACEHOLDERS {
        let value = overrides.iter().find(|(other, _)| other == name);
        let value = value.map_or(*default, |(_, value)| value);
        let (open, close) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
        if let (Some(from), Some(to)) = (text.find(&open), text.find(&close)) {
            let inside = text[from + open.len()..to].to_owned();
            let inside = match value {
                "" | "false" => String::new(),
                _ => inside,
            };
            text.replace_range(from..to + close.len(), &inside);
        }
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

/// Guards against a node that does not start because a value that the platform fills in is a
/// fraction, zero or absent.
#[gtest]
fn template_accepts_fractions_and_absent_values() {
    let dir = TestDir::new();
    let rows: &[&[(&str, &str)]] = &[
        &[],
        &[("bounds.budgetSlack", "35.84905660377358")],
        &[("bounds.probesPerS", "0.5")],
        &[("bounds.probesPerS", "12.5")],
        &[("bounds.graceS", "6.25"), ("heartbeatMs", "1500.5")],
        &[("bounds.budgetSlack", "0"), ("bounds.probesPerS", "0")],
        &[
            ("bounds.graceS", ""),
            ("bounds.probesPerS", ""),
            ("bounds.budgetSlack", ""),
            ("heartbeatMs", ""),
        ],
        &[("bounds.graceS", "false"), ("bounds.probesPerS", "false")],
    ];
    for row in rows {
        let text = fill_template(row);
        expect_that!(text, not(contains_substring("{{")), "{row:?}");
        dir.write("node.ini", &text);
        let mut command = dir.command(&["check", "--json", "node.ini"]);
        let output = command
            .env(
                "PLANTAINPOST_KEY",
                "fleet-key-of-the-tests-0123456789abcdef",
            )
            .output()
            .expect("program");
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        expect_that!(output.status.code(), some(eq(0)), "{row:?}: {errors}");
        let read: Value = serde_json::from_str(&stdout(&output)).expect("JSON");
        expect_that!(read["node"]["interface"], eq("platform"), "{row:?}");
    }
}
