//! Types of settings values: parsing, allowed ranges and display.

use std::{
    fmt,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

/// Type of a setting, with its allowed range.
#[derive(Clone, Copy, Debug)]
pub(crate) enum SettingKind {
    /// Lower-case name, such as that of a node or a service.
    Name,
    /// IP address of this host, neither unspecified nor multicast.
    HostIp,
    /// IP address and port. The port is not zero.
    Address,
    /// Comma-separated list of IP addresses with ports, possibly empty.
    Addresses,
    /// Host name or IP address, and port.
    HostPort,
    /// File name.
    Path,
    /// Duration with a unit; minimum and maximum in milliseconds.
    Duration(u64, u64),
    /// Size with a unit; minimum and maximum in bytes.
    Size(u64, u64),
    /// Whole number; minimum and maximum.
    Count(u64, u64),
    /// Decimal number that is rounded down to a whole number; minimum and maximum.
    RoundedCount(u64, u64),
    /// One of the given words.
    Choice(&'static [&'static str]),
}

/// Parsed value of a setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SettingValue {
    Text(String),
    Ip(IpAddr),
    Address(SocketAddr),
    Addresses(Vec<SocketAddr>),
    Duration(Duration),
    Size(u64),
    Count(u64),
}

const TIME_UNITS: &[(&str, u64)] = &[("ms", 1), ("s", 1_000), ("min", 60_000)];
const SIZE_UNITS: &[(&str, u64)] = &[("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20)];

/// Maximum length of a name, that of a DNS label.
const MAX_NAME_BYTES: usize = 63;

impl SettingKind {
    /// Parses a value. Returns `None` if it is malformed or out of range.
    pub(crate) fn parse(self, text: &str) -> Option<SettingValue> {
        match self {
            SettingKind::Name => is_name(text).then(|| SettingValue::Text(text.to_owned())),
            SettingKind::HostIp => text.parse().ok().filter(is_host_ip).map(SettingValue::Ip),
            SettingKind::Address => parse_address(text).map(SettingValue::Address),
            SettingKind::Addresses => parse_addresses(text).map(SettingValue::Addresses),
            SettingKind::HostPort => {
                is_host_port(text).then(|| SettingValue::Text(text.to_owned()))
            }
            SettingKind::Path => (!text.is_empty()).then(|| SettingValue::Text(text.to_owned())),
            SettingKind::Duration(min, max) => {
                let millis = parse_with_unit(text, TIME_UNITS)?;
                let is_allowed = (min..=max).contains(&millis);
                is_allowed.then(|| SettingValue::Duration(Duration::from_millis(millis)))
            }
            SettingKind::Size(min, max) => {
                let bytes = parse_with_unit(text, SIZE_UNITS)?;
                (min..=max)
                    .contains(&bytes)
                    .then_some(SettingValue::Size(bytes))
            }
            SettingKind::Count(min, max) => {
                let count = text.parse().ok()?;
                (min..=max)
                    .contains(&count)
                    .then_some(SettingValue::Count(count))
            }
            SettingKind::RoundedCount(min, max) => {
                let count = parse_decimal(text)? as u64;
                (min..=max)
                    .contains(&count)
                    .then_some(SettingValue::Count(count))
            }
            SettingKind::Choice(words) => words
                .contains(&text)
                .then(|| SettingValue::Text(text.to_owned())),
        }
    }

    /// Describes the allowed values, for error messages and the example file.
    pub(crate) fn describe_allowed(self) -> String {
        match self {
            SettingKind::Name => format!("1 to {MAX_NAME_BYTES} of a-z, 0-9, '-' and '.'"),
            SettingKind::HostIp => "IP address of this host, such as 10.0.0.7".to_owned(),
            SettingKind::Address => "IP address and port, such as 10.0.0.7:8082".to_owned(),
            SettingKind::Addresses => "IP addresses with ports, separated by commas".to_owned(),
            SettingKind::HostPort => "host and port, such as 10.0.0.9:9000".to_owned(),
            SettingKind::Path => "file name".to_owned(),
            SettingKind::Duration(min, max) => format!(
                "{} to {}, unit ms, s or min",
                format_with_unit(min, TIME_UNITS),
                format_with_unit(max, TIME_UNITS)
            ),
            SettingKind::Size(min, max) => format!(
                "{} to {}, unit B, KiB or MiB",
                format_with_unit(min, SIZE_UNITS),
                format_with_unit(max, SIZE_UNITS)
            ),
            SettingKind::Count(min, max) => format!("{min} to {max}, no unit"),
            SettingKind::RoundedCount(min, max) => {
                format!("{min} to {max}, fractions are rounded down")
            }
            SettingKind::Choice(words) => format!("one of {}", words.join(", ")),
        }
    }
}

impl fmt::Display for SettingValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingValue::Text(text) => f.write_str(text),
            SettingValue::Ip(ip) => ip.fmt(f),
            SettingValue::Address(address) => address.fmt(f),
            SettingValue::Addresses(addresses) => {
                let addresses: Vec<_> = addresses.iter().map(SocketAddr::to_string).collect();
                f.write_str(&addresses.join(", "))
            }
            SettingValue::Duration(time) => {
                f.write_str(&format_with_unit(time.as_millis() as u64, TIME_UNITS))
            }
            SettingValue::Size(bytes) => f.write_str(&format_with_unit(*bytes, SIZE_UNITS)),
            SettingValue::Count(count) => count.fmt(f),
        }
    }
}

fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-.".contains(c);
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.chars().all(is_allowed)
}

fn is_host_ip(ip: &IpAddr) -> bool {
    !ip.is_unspecified() && !ip.is_multicast()
}

fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse()
        .ok()
        .filter(|address: &SocketAddr| address.port() > 0)
}

fn parse_addresses(text: &str) -> Option<Vec<SocketAddr>> {
    if text.is_empty() {
        return Some(Vec::new());
    }
    text.split(',')
        .map(|part| parse_address(part.trim()))
        .collect()
}

fn is_host_port(text: &str) -> bool {
    if parse_address(text).is_some() {
        return true;
    }
    text.rsplit_once(':').is_some_and(|(host, port)| {
        is_name(&host.to_ascii_lowercase()) && port.parse::<u16>().is_ok_and(|port| port > 0)
    })
}

/// Parses a number with a unit, with or without a space between them. The result is in the
/// smallest unit, rounded down.
fn parse_with_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let end = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, unit) = text.split_at(end);
    let (_, factor) = units.iter().find(|(name, _)| *name == unit.trim_start())?;
    match number.contains('.') {
        true => Some((parse_decimal(number)? * *factor as f64) as u64),
        false => number.parse::<u64>().ok()?.checked_mul(*factor),
    }
}

/// Parses a decimal number that has neither sign nor exponent.
fn parse_decimal(text: &str) -> Option<f64> {
    let is_plain = text.chars().all(|c| c.is_ascii_digit() || c == '.');
    is_plain.then(|| text.parse().ok()).flatten()
}

/// Formats a number in the largest unit that needs no fraction.
fn format_with_unit(number: u64, units: &[(&str, u64)]) -> String {
    let fits = |(_, factor): &&(&str, u64)| number >= *factor && number.is_multiple_of(*factor);
    let (unit, factor) = units.iter().rev().find(fits).unwrap_or(&units[0]);
    format!("{} {unit}", number / factor)
}
