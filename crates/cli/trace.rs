//! Finds the log lines of a request in the logs of several nodes.

use std::{fmt::Write, fs, path::Path};

use serde_json::{Map, Value};
use snafu::{ResultExt, Snafu, ensure};

/// Fields that are printed in the first line of an entry, or not at all.
const HEADLINE_FIELDS: [&str; 4] = ["ts", "msg", "level", "request"];

/// Error of the `trace` command.
#[derive(Debug, Snafu)]
pub(crate) enum TraceError {
    #[snafu(display("{file}: can't read log: {source}; check the file name"))]
    ReadLog {
        file: String,
        source: std::io::Error,
    },

    #[snafu(display("trace: give at least one log file"))]
    NoFile,

    #[snafu(display(
        "trace: none of {lines} lines is about request {id}; see the logs of other nodes"
    ))]
    NotFound { id: String, lines: usize },
}

/// Log line about the request.
struct LogLine {
    /// Time in RFC 3339 format without the trailing `Z`. Without it, times sort as text, also when
    /// they differ in the number of decimals.
    timestamp: String,
    /// Node that wrote the line.
    node: String,
    fields: Map<String, Value>,
}

/// Returns the log lines about a request and the calls made for it, in order of time.
///
/// The node of a line is the word before its JSON object, or else the name of the file. Lines
/// without a JSON object are skipped: a log may contain output from before the logger was set up.
///
/// # Errors
///
/// Fails if a file can't be read or no line is about the request.
pub(crate) fn trace_request(id: &str, files: &[String]) -> Result<String, TraceError> {
    ensure!(!files.is_empty(), NoFileSnafu);
    let mut log_lines = Vec::new();
    let mut lines = 0;
    for file in files {
        let text = fs::read(file).context(ReadLogSnafu { file })?;
        let text = String::from_utf8_lossy(&text);
        let node = Path::new(file).file_stem();
        let node = node.map_or_else(String::new, |name| name.to_string_lossy().into_owned());
        lines += text.lines().count();
        log_lines.extend(text.lines().filter_map(|line| parse_line(line, &node, id)));
    }
    ensure!(!log_lines.is_empty(), NotFoundSnafu { id, lines });
    // The sort is stable, so lines of one node with the same time stay in order.
    log_lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    Ok(log_lines.iter().map(format_line).collect())
}

fn parse_line(line: &str, default_node: &str, id: &str) -> Option<LogLine> {
    let (before, json) = line.split_at(line.find('{')?);
    let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
    let request = fields.get("request")?.as_str()?;
    if !belongs_to(request, id) {
        return None;
    }
    let node = before
        .split_whitespace()
        .next_back()
        .unwrap_or(default_node);
    Some(LogLine {
        timestamp: fields.get("ts")?.as_str()?.trim_end_matches('Z').to_owned(),
        node: node.to_owned(),
        fields,
    })
}

/// Returns whether an id is that of the request or of a call that a target made while serving it:
/// the id of such a call is that of the request followed by a dot and a suffix.
fn belongs_to(request: &str, id: &str) -> bool {
    let rest = request.strip_prefix(id);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}

fn format_line(line: &LogLine) -> String {
    let text = |name: &str| line.fields.get(name).and_then(Value::as_str);
    let (msg, request) = (text("msg"), text("request"));
    let mut output = format!(
        "{}Z {} {} ({})",
        line.timestamp,
        line.node,
        msg.unwrap_or_default(),
        request.unwrap_or_default()
    );
    for (name, value) in &line.fields {
        if HEADLINE_FIELDS.contains(&name.as_str()) || value.is_null() {
            continue;
        }
        let value = value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned);
        // Writing to a string does not fail.
        let _ = write!(output, "\n    {name}: {value}");
    }
    output.push('\n');
    output
}
