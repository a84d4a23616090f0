//! Readable form of JSON answers.

use std::fmt::Write;

use serde_json::{Map, Value};

/// Writes a table with aligned columns.
pub(crate) fn table(headers: &[&str], rows: &[Vec<String>]) -> String {
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

/// Writes a JSON value as names with values, lists and tables.
pub(crate) fn readable(value: &Value) -> String {
    match value {
        Value::Object(object) => readable_object(object),
        Value::Array(items) => readable_list(items),
        scalar => format!("{}\n", cell(scalar)),
    }
}

fn readable_object(object: &Map<String, Value>) -> String {
    let is_flat = |value: &Value| !value.is_array() && !value.is_object();
    let flat: Vec<_> = object.iter().filter(|(_, value)| is_flat(value)).collect();
    let width = flat.iter().map(|(name, _)| name.len()).max().unwrap_or(0);
    let mut text = String::new();
    for (name, value) in flat {
        let _ = writeln!(text, "{name:width$}  {}", cell(value));
    }
    for (name, value) in object.iter().filter(|(_, value)| !is_flat(value)) {
        if !text.is_empty() {
            text.push('\n');
        }
        let _ = writeln!(text, "{name}:");
        for line in readable(value).lines() {
            let _ = writeln!(text, "  {line}");
        }
    }
    text
}

fn readable_list(items: &[Value]) -> String {
    let objects: Option<Vec<_>> = items.iter().map(Value::as_object).collect();
    match objects {
        _ if items.is_empty() => "(none)\n".to_owned(),
        Some(objects) => objects_table(&objects),
        None => items
            .iter()
            .map(|item| format!("- {}\n", cell(item)))
            .collect(),
    }
}

/// Writes objects as rows. The columns are the names in the order of their appearance.
fn objects_table(objects: &[&Map<String, Value>]) -> String {
    let mut headers: Vec<&str> = Vec::new();
    for name in objects.iter().flat_map(|object| object.keys()) {
        if !headers.contains(&name.as_str()) {
            headers.push(name);
        }
    }
    let row = |object: &&Map<String, Value>| {
        let value = |name: &&str| object.get(*name).map(cell).unwrap_or_default();
        headers.iter().map(value).collect()
    };
    let rows: Vec<Vec<String>> = objects.iter().map(row).collect();
    table(&headers, &rows)
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(", "),
        Value::Object(object) => {
            let entry = |(name, value)| format!("{name}={}", cell(value));
            object.iter().map(entry).collect::<Vec<_>>().join(" ")
        }
        value => value.to_string(),
    }
}
