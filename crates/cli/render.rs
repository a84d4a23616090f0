//! Formats JSON responses as text for the terminal.

use std::fmt::Write;

use serde_json::{Map, Value};

/// Formats a table with aligned columns.
pub(crate) fn format_table(headers: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = headers.iter().map(|header| header.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let headers = headers.iter().map(|header| header.to_string()).collect();
    let mut text = String::new();
    for row in std::iter::once(&headers).chain(rows) {
        let mut line = String::new();
        for (cell, &width) in row.iter().zip(&widths) {
            let _ = write!(line, "{cell:width$}  ");
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

/// Formats a JSON value. Objects become lines of names and values, arrays of objects become
/// tables, and other arrays become lists.
pub(crate) fn format_value(value: &Value) -> String {
    match value {
        Value::Object(object) => format_object(object),
        Value::Array(items) => format_array(items),
        scalar => format!("{}\n", format_cell(scalar)),
    }
}

fn format_object(object: &Map<String, Value>) -> String {
    let is_scalar = |value: &Value| !value.is_array() && !value.is_object();
    let scalars: Vec<_> = object
        .iter()
        .filter(|(_, value)| is_scalar(value))
        .collect();
    let width = scalars
        .iter()
        .map(|(name, _)| name.len())
        .max()
        .unwrap_or(0);
    let mut text = String::new();
    for (name, value) in scalars {
        let _ = writeln!(text, "{name:width$}  {}", format_cell(value));
    }
    for (name, value) in object.iter().filter(|(_, value)| !is_scalar(value)) {
        if !text.is_empty() {
            text.push('\n');
        }
        let _ = writeln!(text, "{name}:");
        for line in format_value(value).lines() {
            let _ = writeln!(text, "  {line}");
        }
    }
    text
}

fn format_array(items: &[Value]) -> String {
    let objects: Option<Vec<_>> = items.iter().map(Value::as_object).collect();
    match objects {
        _ if items.is_empty() => "(none)\n".to_owned(),
        Some(objects) => format_objects(&objects),
        None => items
            .iter()
            .map(|item| format!("- {}\n", format_cell(item)))
            .collect(),
    }
}

/// Formats objects as the rows of a table. The columns are the names of all objects, in the order
/// in which they first appear.
fn format_objects(objects: &[&Map<String, Value>]) -> String {
    let mut headers: Vec<&str> = Vec::new();
    for name in objects.iter().flat_map(|object| object.keys()) {
        if !headers.contains(&name.as_str()) {
            headers.push(name);
        }
    }
    let row = |object: &&Map<String, Value>| {
        let value = |name: &&str| object.get(*name).map(format_cell).unwrap_or_default();
        headers.iter().map(value).collect()
    };
    let rows: Vec<Vec<String>> = objects.iter().map(row).collect();
    format_table(&headers, &rows)
}

fn format_cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(format_cell).collect::<Vec<_>>().join(", "),
        Value::Object(object) => {
            let entry = |(name, value)| format!("{name}={}", format_cell(value));
            object.iter().map(entry).collect::<Vec<_>>().join(" ")
        }
        value => value.to_string(),
    }
}
