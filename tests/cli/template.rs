//! The settings that the users' platform fills in from `deploy/node.ini`.

use googletest::prelude::*;
use serde_json::Value;

use crate::{Dir, stdout};

const TEMPLATE: &str = include_str!("../../deploy/node.ini");

/// Fields of the platform in the order in which the template may name them.
const FIELDS: &[(&str, &str)] = &[
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

/// Fills in the template with fields of which some are replaced. A section is kept if its
/// field has a value other than `false`.
fn filled(replaced: &[(&str, &str)]) -> String {
    let mut text = TEMPLATE.to_owned();
    for (name, default) in FIELDS {
        let value = replaced.iter().find(|(other, _)| other == name);
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

/// Guards against a node that does not start on a site whose figures are fractions, or that
/// states no figure.
#[gtest]
fn the_template_serves_other_sites() {
    let dir = Dir::new();
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
        let text = filled(row);
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
