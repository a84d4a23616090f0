//! Reads a settings file into values by the table of keys.

use std::collections::BTreeMap;

use ini::{Ini, ParseOption};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::{
    keys::{self, Absent, KEYS},
    value::Value,
};

/// Reason why a settings file was not accepted.
#[derive(Debug, Snafu)]
pub(crate) enum IniError {
    #[snafu(display("{file}: can't read settings: {source}; check the file name"))]
    Read {
        file: String,
        source: std::io::Error,
    },

    #[snafu(display("{place}: {message}; write [section] and key = value lines"))]
    Syntax { place: String, message: String },

    #[snafu(display("{place}: unknown section [{section}]; did you mean [{nearest}]?"))]
    UnknownSection {
        place: String,
        section: String,
        nearest: &'static str,
    },

    #[snafu(display("{place}: unknown key {key}; did you mean {nearest}?"))]
    UnknownKey {
        place: String,
        key: String,
        nearest: String,
    },

    #[snafu(display("{place}: `{key}` stands before any section; move it below [section]"))]
    NoSection { place: String, key: String },

    #[snafu(display("{place}: {key} is given twice; remove one"))]
    Repeated { place: String, key: String },

    #[snafu(display("{place}: {key} can't be `{text}`; allowed: {allowed}"))]
    BadValue {
        place: String,
        key: String,
        text: String,
        allowed: String,
    },

    #[snafu(display("{file}: {key} is missing; allowed: {allowed}"))]
    Missing {
        file: String,
        key: String,
        allowed: String,
    },
}

/// Values in force, by section and key.
#[derive(Debug, Default)]
pub(crate) struct Values {
    values: BTreeMap<(&'static str, &'static str), Value>,
    /// Lines of the keys that the file gives.
    lines: BTreeMap<(&'static str, &'static str), usize>,
}

impl Values {
    /// Reads the file and fills in defaults.
    ///
    /// # Errors
    ///
    /// Fails on the first line that is not accepted, and on a missing required key.
    pub(crate) fn read(file: &str) -> Result<Self, IniError> {
        let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
        check_lines(file, &text)?;
        let ini = parse(file, &text)?;
        let mut values = Values::default();
        for (section, properties) in &ini {
            let section = section.unwrap_or("");
            check_section(file, &text, section)?;
            for (name, value) in properties.iter() {
                let nth = values.lines.contains_key(&(section, name));
                let line = line_of(&text, section, Some(name), usize::from(nth));
                values.add(format!("{file}:{line}"), line, section, name, value.trim())?;
            }
        }
        values.fill_in(file)?;
        Ok(values)
    }

    /// Returns the value of a key, if it has one.
    ///
    /// # Panics
    ///
    /// Panics if the table holds no such key.
    pub(crate) fn get(&self, section: &'static str, name: &'static str) -> Option<&Value> {
        assert!(
            keys::find(section, name).is_some(),
            "no key {section}.{name}"
        );
        self.values.get(&(section, name))
    }

    /// Returns the line that gives a key, or zero if a default is in force.
    pub(crate) fn line(&self, section: &'static str, name: &'static str) -> usize {
        self.lines.get(&(section, name)).copied().unwrap_or(0)
    }

    fn add(
        &mut self,
        place: String,
        line: usize,
        section: &str,
        name: &str,
        text: &str,
    ) -> Result<(), IniError> {
        ensure!(!section.is_empty(), NoSectionSnafu { place, key: name });
        let Some(key) = keys::find(section, name) else {
            let nearest = nearest_key(section, name);
            let key = show_key(section, name);
            return UnknownKeySnafu {
                place,
                key,
                nearest,
            }
            .fail();
        };
        let id = (key.section, key.name);
        let is_repeated = self.lines.contains_key(&id);
        ensure!(
            !is_repeated,
            RepeatedSnafu {
                place,
                key: show_key(section, name)
            }
        );
        let value = key.kind.parse(text).with_context(|| BadValueSnafu {
            place,
            key: show_key(section, name),
            text,
            allowed: key.kind.allowed(),
        })?;
        self.values.insert(id, value);
        self.lines.insert(id, line);
        Ok(())
    }

    fn fill_in(&mut self, file: &str) -> Result<(), IniError> {
        for key in KEYS {
            if self.lines.contains_key(&(key.section, key.name)) {
                continue;
            }
            match key.absent {
                Absent::Optional(_) | Absent::RequiredUnless(..) => {}
                Absent::Default(text) => {
                    let value = key.kind.parse(text).expect("defaults are allowed values");
                    self.values.insert((key.section, key.name), value);
                }
                Absent::Required(_) => {
                    return MissingSnafu {
                        file,
                        key: show_key(key.section, key.name),
                        allowed: key.kind.allowed(),
                    }
                    .fail();
                }
            }
        }
        Ok(())
    }
}

/// Checks that every line is a section, a key with a value, a comment or empty.
///
/// The INI library takes a line without `=` and the lines after it for one key.
fn check_lines(file: &str, text: &str) -> Result<(), IniError> {
    for (index, line) in text.lines().map(str::trim).enumerate() {
        let is_section = line.starts_with('[') && line.ends_with(']');
        let is_comment = line.is_empty() || line.starts_with(['#', ';']);
        ensure!(
            is_section || is_comment || line.contains('='),
            SyntaxSnafu {
                place: format!("{file}:{}", index + 1),
                message: format!("`{line}` is no setting"),
            }
        );
    }
    Ok(())
}

fn parse(file: &str, text: &str) -> Result<Ini, IniError> {
    let option = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    Ini::load_from_str_opt(text, option).map_err(|error| IniError::Syntax {
        place: format!("{file}:{}", error.line + 1),
        message: error.msg.into_owned(),
    })
}

fn check_section(file: &str, text: &str, section: &str) -> Result<(), IniError> {
    let is_known = section.is_empty() || KEYS.iter().any(|key| key.section == section);
    ensure!(
        is_known,
        UnknownSectionSnafu {
            place: format!("{file}:{}", line_of(text, section, None, 0)),
            section,
            nearest: keys::nearest(section, KEYS.iter().map(|key| key.section)),
        }
    );
    Ok(())
}

fn show_key(section: &str, name: &str) -> String {
    format!("`{name}` in [{section}]")
}

/// Names the known key that is nearest: one of the same name in another section, or one
/// of a similar name in this section.
fn nearest_key(section: &str, name: &str) -> String {
    if let Some(key) = KEYS.iter().find(|key| key.name == name) {
        return show_key(key.section, key.name);
    }
    let in_section = KEYS.iter().filter(|key| key.section == section);
    show_key(section, keys::nearest(name, in_section.map(|key| key.name)))
}

/// Returns the line of a section, or of the key with this name in it, after skipping
/// `skip` of them. The INI library reports no lines for what it has parsed.
fn line_of(text: &str, section: &str, key: Option<&str>, skip: usize) -> usize {
    let mut present = String::new();
    let matches = |line: &str| {
        let line = line.trim();
        let is_header = line.starts_with('[');
        if is_header {
            present = line.trim_matches(['[', ']']).trim().to_owned();
        }
        let name = line.split(['=', ':']).next().map(str::trim);
        present == section
            && if key.is_some() {
                !is_header && name == key
            } else {
                is_header
            }
    };
    let numbers = text.lines().map(matches).enumerate();
    numbers
        .filter(|(_, is_match)| *is_match)
        .nth(skip)
        .map_or(0, |(index, _)| index + 1)
}
