//! Kinds of settings values: how they are written, what is allowed, how they are shown.

use std::{
    fmt,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

/// Kind of a settings value, with its range.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Kind {
    /// Lower-case name that other nodes see.
    Name,
    /// IP number of the host, as other nodes reach it.
    HostIp,
    /// IP number and port.
    Address,
    /// Comma-separated list of IP numbers and ports.
    Addresses,
    /// Host name or IP number, and port.
    HostPort,
    /// File name.
    Path,
    /// Length of time, at least and at most this many milliseconds.
    Time(u64, u64),
    /// Number of bytes, at least and at most.
    Size(u64, u64),
    /// Whole number, at least and at most.
    Count(u64, u64),
    /// Bound, at least and at most. A fraction is rounded down.
    Bound(u64, u64),
    /// One of these words.
    Choice(&'static [&'static str]),
}

/// Value of a setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Value {
    Text(String),
    Ip(IpAddr),
    Address(SocketAddr),
    Addresses(Vec<SocketAddr>),
    Time(Duration),
    Size(u64),
    Count(u64),
}

const TIME_UNITS: &[(&str, u64)] = &[("ms", 1), ("s", 1_000), ("min", 60_000)];
const SIZE_UNITS: &[(&str, u64)] = &[("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20)];

/// Longest name, as in the Domain Name System.
const MAX_NAME: usize = 63;

impl Kind {
    /// Parses a value, or returns `None` if it is not allowed.
    pub(crate) fn parse(self, text: &str) -> Option<Value> {
        match self {
            Kind::Name => is_name(text).then(|| Value::Text(text.to_owned())),
            Kind::HostIp => text.parse().ok().filter(is_host_ip).map(Value::Ip),
            Kind::Address => parse_address(text).map(Value::Address),
            Kind::Addresses => parse_addresses(text).map(Value::Addresses),
            Kind::HostPort => is_host_port(text).then(|| Value::Text(text.to_owned())),
            Kind::Path => (!text.is_empty()).then(|| Value::Text(text.to_owned())),
            Kind::Time(min, max) => {
                let millis = parse_with_unit(text, TIME_UNITS)?;
                let is_allowed = (min..=max).contains(&millis);
                is_allowed.then(|| Value::Time(Duration::from_millis(millis)))
            }
            Kind::Size(min, max) => {
                let bytes = parse_with_unit(text, SIZE_UNITS)?;
                (min..=max).contains(&bytes).then_some(Value::Size(bytes))
            }
            Kind::Count(min, max) => {
                let count = text.parse().ok()?;
                (min..=max).contains(&count).then_some(Value::Count(count))
            }
            Kind::Bound(min, max) => {
                let bound = parse_number(text)? as u64;
                (min..=max).contains(&bound).then_some(Value::Count(bound))
            }
            Kind::Choice(words) => words.contains(&text).then(|| Value::Text(text.to_owned())),
        }
    }

    /// Returns what is allowed, as an error message or a comment says it.
    pub(crate) fn allowed(self) -> String {
        match self {
            Kind::Name => format!("1 to {MAX_NAME} of a-z, 0-9, '-' and '.'"),
            Kind::HostIp => "IP number of this host, such as 10.0.0.7".to_owned(),
            Kind::Address => "IP number and port, such as 10.0.0.7:8082".to_owned(),
            Kind::Addresses => "IP numbers with ports, separated by commas".to_owned(),
            Kind::HostPort => "host and port, such as 10.0.0.9:9000".to_owned(),
            Kind::Path => "file name".to_owned(),
            Kind::Time(min, max) => format!(
                "{} to {}, unit ms, s or min",
                with_unit(min, TIME_UNITS),
                with_unit(max, TIME_UNITS)
            ),
            Kind::Size(min, max) => format!(
                "{} to {}, unit B, KiB or MiB",
                with_unit(min, SIZE_UNITS),
                with_unit(max, SIZE_UNITS)
            ),
            Kind::Count(min, max) => format!("{min} to {max}, no unit"),
            Kind::Bound(min, max) => format!("{min} to {max}, fractions are rounded down"),
            Kind::Choice(words) => format!("one of {}", words.join(", ")),
        }
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Text(text) => f.write_str(text),
            Value::Ip(ip) => ip.fmt(f),
            Value::Address(address) => address.fmt(f),
            Value::Addresses(addresses) => {
                let addresses: Vec<_> = addresses.iter().map(SocketAddr::to_string).collect();
                f.write_str(&addresses.join(", "))
            }
            Value::Time(time) => f.write_str(&with_unit(time.as_millis() as u64, TIME_UNITS)),
            Value::Size(bytes) => f.write_str(&with_unit(*bytes, SIZE_UNITS)),
            Value::Count(count) => count.fmt(f),
        }
    }
}

fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-.".contains(c);
    (1..=MAX_NAME).contains(&text.len()) && text.chars().all(is_allowed)
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

/// Parses a number with a unit, with or without a space between them. A fraction of the
/// smallest unit is dropped.
fn parse_with_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let end = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, unit) = text.split_at(end);
    let (_, factor) = units.iter().find(|(name, _)| *name == unit.trim_start())?;
    match number.contains('.') {
        true => Some((parse_number(number)? * *factor as f64) as u64),
        false => number.parse::<u64>().ok()?.checked_mul(*factor),
    }
}

/// Parses a decimal number without sign and exponent.
fn parse_number(text: &str) -> Option<f64> {
    let is_plain = text.chars().all(|c| c.is_ascii_digit() || c == '.');
    is_plain.then(|| text.parse().ok()).flatten()
}

/// Writes a number in the largest unit that needs no fraction.
fn with_unit(number: u64, units: &[(&str, u64)]) -> String {
    let fits = |(_, factor): &&(&str, u64)| number >= *factor && number.is_multiple_of(*factor);
    let (unit, factor) = units.iter().rev().find(fits).unwrap_or(&units[0]);
    format!("{} {unit}", number / factor)
}
