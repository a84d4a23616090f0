//! Counts of the requests that this node has taken, by workspace.

use std::rc::Rc;

use plantainpost_core::workspace::RequestCounts;
use serde_json::{Map, Value, json};

use crate::{entry::CallerOutcome, node::Node};

/// Workspaces that metrics name. The others are added up.
const NAMED_WORKSPACES: usize = 20;

/// Counts a request of a workspace.
pub(crate) fn record(node: &Node, name: &Rc<str>, outcome: CallerOutcome) {
    let mut counts = RequestCounts::default();
    match outcome {
        CallerOutcome::Answered => counts.answered = 1,
        CallerOutcome::NotRun => counts.not_run = 1,
        CallerOutcome::Unknown => counts.unknown = 1,
    }
    node.workspace_usage.borrow_mut().add(name, counts);
}

/// Returns the counts by workspace for the admin listener; empty without workspaces.
pub(crate) fn usage_json(node: &Node) -> Value {
    let (named, others) = node.workspace_usage.borrow().busiest(NAMED_WORKSPACES);
    let to_json = |counts: RequestCounts| {
        json!({
            "answered": counts.answered,
            "not_run": counts.not_run,
            "unknown": counts.unknown,
        })
    };
    let by_name: Map<String, Value> = named
        .iter()
        .map(|(name, counts)| (name.to_string(), to_json(*counts)))
        .collect();
    match by_name.is_empty() {
        true => json!({}),
        false => json!({ "by_name": by_name, "others": to_json(others) }),
    }
}

/// Returns the counts by workspace as lines of the Prometheus text format. The workspaces that are not
/// named have an empty name.
pub(crate) fn usage_text(node: &Node, metric: &str) -> String {
    let (named, others) = node.workspace_usage.borrow().busiest(NAMED_WORKSPACES);
    if named.is_empty() {
        return String::new();
    }
    let others = (Rc::from(""), others);
    let mut text = String::new();
    for (name, counts) in named.into_iter().chain([others]) {
        let label = escape_label(&name);
        let outcomes = [
            ("answered", counts.answered),
            ("not-run", counts.not_run),
            ("unknown", counts.unknown),
        ];
        for (outcome, value) in outcomes {
            text.push_str(&format!(
                "{metric}{{workspace=\"{label}\",outcome=\"{outcome}\"}} {value}\n"
            ));
        }
    }
    text
}

/// Escapes a label value. Names have no line breaks.
fn escape_label(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"")
}
