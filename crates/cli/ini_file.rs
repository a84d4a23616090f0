//! Parses a settings file according to the table of keys.

use std::collections::BTreeMap;

use ini::{Ini, ParseOption};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::{
    keys::{self, KEYS, Presence},
    value::SettingValue,
};

/// Error in a settings file.
#[derive(Debug, Snafu)]
pub(crate) enum IniError {
    #[snafu(display("{file}: can't read settings: {source}; check the file name"))]
    ReadFile {
        file: String,
        source: std::io::Error,
    },

    #[snafu(display("{location}: {message}; write [section] and key = value lines"))]
    Syntax { location: String, message: String },

    #[snafu(display("{location}: unknown section [{section}]; did you mean [{nearest}]?"))]
    UnknownSection {
        location: String,
        section: String,
        nearest: &'static str,
    },

    #[snafu(display("{location}: unknown key {key}; did you mean {nearest}?"))]
    UnknownKey {
        location: String,
        key: String,
        nearest: String,
    },

    #[snafu(display("{location}: `{key}` precedes any section; move it below [section]"))]
    KeyOutsideSection { location: String, key: String },

    #[snafu(display("{location}: {key} is given twice; remove one"))]
    DuplicateKey { location: String, key: String },

    #[snafu(display("{location}: {key} can't be `{text}`; allowed: {allowed}"))]
    InvalidValue {
        location: String,
        key: String,
        text: String,
        allowed: String,
    },

    #[snafu(display("{file}: {key} is missing; allowed: {allowed}"))]
    MissingKey {
        file: String,
        key: String,
        allowed: String,
    },
}

/// Effective values by section and key, including defaults.
#[derive(Debug, Default)]
pub(crate) struct SettingValues {
    values: BTreeMap<(&'static str, &'static str), SettingValue>,
    /// Line numbers, from 1, of the keys that are present in the file.
    line_numbers: BTreeMap<(&'static str, &'static str), usize>,
}

impl SettingValues {
    /// Parses the file and applies defaults to absent keys.
    ///
    /// # Errors
    ///
    /// Fails on the first invalid line and on a missing required key.
    pub(crate) fn read(file: &str) -> Result<Self, IniError> {
        let text = std::fs::read_to_string(file).context(ReadFileSnafu { file })?;
        check_lines(file, &text)?;
        let ini = parse(file, &text)?;
        let mut values = SettingValues::default();
        for (section, properties) in &ini {
            let section = section.unwrap_or("");
            check_section(file, &text, section)?;
            for (name, value) in properties.iter() {
                let is_duplicate = values.line_numbers.contains_key(&(section, name));
                let line_number =
                    line_number_of(&text, section, Some(name), usize::from(is_duplicate));
                values.insert(
                    format!("{file}:{line_number}"),
                    line_number,
                    section,
                    name,
                    value.trim(),
                )?;
            }
        }
        values.apply_defaults(file)?;
        Ok(values)
    }

    /// Returns the value of a key, or `None` if it is absent and has no default.
    ///
    /// # Panics
    ///
    /// Panics if the table of keys has no such key.
    pub(crate) fn get(&self, section: &'static str, name: &'static str) -> Option<&SettingValue> {
        assert!(
            keys::find(section, name).is_some(),
            "no key {section}.{name}"
        );
        self.values.get(&(section, name))
    }

    /// Returns the line number of a key, or zero if the key is absent from the file.
    pub(crate) fn line_number(&self, section: &'static str, name: &'static str) -> usize {
        self.line_numbers
            .get(&(section, name))
            .copied()
            .unwrap_or(0)
    }

    fn insert(
        &mut self,
        location: String,
        line_number: usize,
        section: &str,
        name: &str,
        text: &str,
    ) -> Result<(), IniError> {
        ensure!(
            !section.is_empty(),
            KeyOutsideSectionSnafu {
                location,
                key: name
            }
        );
        let Some(key) = keys::find(section, name) else {
            let nearest = nearest_key(section, name);
            let key = format_key(section, name);
            return UnknownKeySnafu {
                location,
                key,
                nearest,
            }
            .fail();
        };
        let id = (key.section, key.name);
        let is_duplicate = self.line_numbers.contains_key(&id);
        ensure!(
            !is_duplicate,
            DuplicateKeySnafu {
                location,
                key: format_key(section, name)
            }
        );
        let value = key.kind.parse(text).with_context(|| InvalidValueSnafu {
            location,
            key: format_key(section, name),
            text,
            allowed: key.kind.describe_allowed(),
        })?;
        self.values.insert(id, value);
        self.line_numbers.insert(id, line_number);
        Ok(())
    }

    fn apply_defaults(&mut self, file: &str) -> Result<(), IniError> {
        for key in KEYS {
            if self.line_numbers.contains_key(&(key.section, key.name)) {
                continue;
            }
            match key.presence {
                Presence::Optional(_) | Presence::RequiredUnlessEnv(..) => {}
                Presence::Default(text) => {
                    let value = key
                        .kind
                        .parse(text)
                        .expect("every default is an allowed value");
                    self.values.insert((key.section, key.name), value);
                }
                Presence::Required(_) => {
                    return MissingKeySnafu {
                        file,
                        key: format_key(key.section, key.name),
                        allowed: key.kind.describe_allowed(),
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
/// The INI library joins a line without `=` and the lines after it into one key.
fn check_lines(file: &str, text: &str) -> Result<(), IniError> {
    for (index, line) in text.lines().map(str::trim).enumerate() {
        let is_section = line.starts_with('[') && line.ends_with(']');
        let is_comment = line.is_empty() || line.starts_with(['#', ';']);
        ensure!(
            is_section || is_comment || line.contains('='),
            SyntaxSnafu {
                location: format!("{file}:{}", index + 1),
                message: format!("`{line}` is not a setting"),
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
        location: format!("{file}:{}", error.line + 1),
        message: error.msg.into_owned(),
    })
}

fn check_section(file: &str, text: &str, section: &str) -> Result<(), IniError> {
    let is_known = section.is_empty() || KEYS.iter().any(|key| key.section == section);
    ensure!(
        is_known,
        UnknownSectionSnafu {
            location: format!("{file}:{}", line_number_of(text, section, None, 0)),
            section,
            nearest: keys::nearest_name(section, KEYS.iter().map(|key| key.section)),
        }
    );
    Ok(())
}

fn format_key(section: &str, name: &str) -> String {
    format!("`{name}` in [{section}]")
}

/// Returns the known key to suggest for an unknown one: a key of the same name in another section,
/// or else the key of this section with the most similar name.
fn nearest_key(section: &str, name: &str) -> String {
    if let Some(key) = KEYS.iter().find(|key| key.name == name) {
        return format_key(key.section, key.name);
    }
    let in_section = KEYS.iter().filter(|key| key.section == section);
    format_key(
        section,
        keys::nearest_name(name, in_section.map(|key| key.name)),
    )
}

/// Returns the line number of a section header or, if `key` is given, of that key in the section.
///
/// The first `skip` matches are skipped. Returns zero if there is no match. The INI library does
/// not report line numbers.
fn line_number_of(text: &str, section: &str, key: Option<&str>, skip: usize) -> usize {
    let mut current_section = String::new();
    let matches = |line: &str| {
        let line = line.trim();
        let is_header = line.starts_with('[');
        if is_header {
            current_section = line.trim_matches(['[', ']']).trim().to_owned();
        }
        let name = line.split(['=', ':']).next().map(str::trim);
        current_section == section
            && if key.is_some() {
                !is_header && name == key
            } else {
                is_header
            }
    };
    let matching_lines = text.lines().map(matches).enumerate();
    matching_lines
        .filter(|(_, is_match)| *is_match)
        .nth(skip)
        .map_or(0, |(index, _)| index + 1)
}
