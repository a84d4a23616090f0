//! The way of a request through the logs of several nodes.

use std::{fmt::Write, fs, path::Path};

use serde_json::{Map, Value};
use snafu::{ResultExt, Snafu, ensure};

/// Fields that stand at the beginning of a printed line.
const LEADING: [&str; 4] = ["ts", "msg", "level", "request"];

/// Reason why a request can't be traced.
#[derive(Debug, Snafu)]
pub(crate) enum TraceError {
    #[snafu(display("{file}: can't read log: {source}; check the file name"))]
    Read {
        file: String,
        source: std::io::Error,
    },

    #[snafu(display("trace: give at least one log file"))]
    NoFile,

    #[snafu(display("trace: {lines} lines, none about request {id}; see the logs of other nodes"))]
    NotFound { id: String, lines: usize },
}

/// A log line about the request.
struct Entry {
    /// Time in RFC 3339 form, which sorts as text without the sign of the time zone at its end.
    time: String,
    /// Node that wrote the line.
    node: String,
    fields: Map<String, Value>,
}

/// Returns the lines about a request and the calls made for it, in order of time.
///
/// The node of a line is the word before its JSON, or the name of the file. Lines that are no
/// JSON objects are passed over: logs may hold output from before the logger was set up.
///
/// # Errors
///
/// Fails if a file can't be read or no line is about the request.
pub(crate) fn trace(id: &str, files: &[String]) -> Result<String, TraceError> {
    ensure!(!files.is_empty(), NoFileSnafu);
    let mut entries = Vec::new();
    let mut lines = 0;
    for file in files {
        let text = fs::read(file).context(ReadSnafu { file })?;
        let text = String::from_utf8_lossy(&text);
        let name = Path::new(file).file_stem();
        let name = name.map_or_else(String::new, |name| name.to_string_lossy().into_owned());
        lines += text.lines().count();
        entries.extend(text.lines().filter_map(|line| entry(line, &name, id)));
    }
    ensure!(!entries.is_empty(), NotFoundSnafu { id, lines });
    // The order of lines of one node with the same time is kept.
    entries.sort_by(|a, b| a.time.cmp(&b.time));
    Ok(entries.iter().map(render).collect())
}

fn entry(line: &str, file: &str, id: &str) -> Option<Entry> {
    let (before, json) = line.split_at(line.find('{')?);
    let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
    let request = fields.get("request")?.as_str()?;
    if !is_about(request, id) {
        return None;
    }
    let node = before.split_whitespace().next_back().unwrap_or(file);
    Some(Entry {
        time: fields.get("ts")?.as_str()?.trim_end_matches('Z').to_owned(),
        node: node.to_owned(),
        fields,
    })
}

/// The id of a call that a target makes begins with that of the request that it runs.
fn is_about(request: &str, id: &str) -> bool {
    let rest = request.strip_prefix(id);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}

fn render(entry: &Entry) -> String {
    let text = |name: &str| entry.fields.get(name).and_then(Value::as_str);
    let (msg, request) = (text("msg"), text("request"));
    let mut line = format!(
        "{}Z {} {} ({})",
        entry.time,
        entry.node,
        msg.unwrap_or_default(),
        request.unwrap_or_default()
    );
    for (name, value) in &entry.fields {
        if LEADING.contains(&name.as_str()) || value.is_null() {
            continue;
        }
        let value = value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned);
        // Writing to a string does not fail.
        let _ = write!(line, "\n    {name}: {value}");
    }
    line.push('\n');
    line
}
