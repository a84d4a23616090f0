//! History files: one record per line, in JSON.

use std::{fs, fs::File, path::Path};

use snafu::ResultExt;

use super::Record;
use crate::error::{FileSnafu, RecordSnafu, Result};

/// Parses records from JSON lines; empty lines are skipped.
///
/// # Errors
///
/// Fails if a line is not a record.
pub fn parse_lines(text: &str) -> Result<Vec<Record>> {
    let mut records = Vec::new();
    for (index, line) in text.lines().enumerate() {
        if !line.trim().is_empty() {
            let line_number = index + 1;
            let record = serde_json::from_str(line).context(RecordSnafu { line: line_number })?;
            records.push(record);
        }
    }
    Ok(records)
}

/// Reads history files and concatenates their records.
///
/// # Errors
///
/// Fails if a file cannot be read or a line is not a record.
pub fn read_files<P: AsRef<Path>>(paths: impl IntoIterator<Item = P>) -> Result<Vec<Record>> {
    let mut records = Vec::new();
    for path in paths {
        let path = path.as_ref();
        let text = fs::read_to_string(path).with_context(|_| FileSnafu {
            path: path.display().to_string(),
        })?;
        records.extend(parse_lines(&text)?);
    }
    Ok(records)
}

/// Formats records as JSON lines.
pub fn to_lines<'a>(records: impl IntoIterator<Item = &'a Record>) -> String {
    let mut text = String::new();
    for record in records {
        // Records hold only string keys and integers, so serialization cannot fail.
        text.push_str(&serde_json::to_string(record).expect("a record serializes to JSON"));
        text.push('\n');
    }
    text
}

/// Writes records to a history file, replacing its content.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn write_file(path: &Path, records: &[Record]) -> Result<()> {
    fs::write(path, to_lines(records)).with_context(|_| FileSnafu {
        path: path.display().to_string(),
    })
}

/// Creates an empty history file, or truncates an existing one.
pub(crate) fn create_file(path: &Path) -> Result<File> {
    File::create(path).with_context(|_| FileSnafu {
        path: path.display().to_string(),
    })
}
