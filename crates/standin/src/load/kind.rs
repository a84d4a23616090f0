//! The kinds of requests in the request mix.

use std::str::FromStr;

use actix_http::Method;
use snafu::OptionExt;

use crate::error::{Error, Result, SettingSnafu};

/// One kind of request in the request mix.
///
/// It can be parsed from `name=value` pairs separated by commas, with the names `service`,
/// `method`, `path`, `body`, `answer`, `chunked`, `work-us`, `repeatable` and `weight`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestKind {
    /// The service, sent in the `Host` header.
    pub service: String,
    /// The HTTP method.
    pub method: String,
    /// The path of the URL; must be absolute.
    pub path: String,
    /// Length of the request body in bytes.
    pub body_bytes: usize,
    /// Length of the answer body in bytes; `None` for the short JSON answer.
    pub answer_bytes: Option<usize>,
    /// Whether the target is asked for a chunked answer.
    pub answer_chunked: bool,
    /// Service time in µs, overriding the target's own; `None` for the target's own.
    pub work_us: Option<u64>,
    /// Key of a workspace, sent in a header of the platform; `None` for no key.
    pub key: Option<&'static str>,
    /// Whether the configuration lists the method as repeatable for the service.
    pub repeatable: bool,
    /// Relative frequency in the mix; 0 for never.
    pub weight: u32,
}

impl Default for RequestKind {
    fn default() -> Self {
        Self {
            service: "stock".to_owned(),
            method: "GET".to_owned(),
            path: "/".to_owned(),
            body_bytes: 0,
            answer_bytes: None,
            answer_chunked: false,
            work_us: None,
            key: None,
            repeatable: false,
            weight: 1,
        }
    }
}

impl RequestKind {
    /// Returns whether the request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.repeatable || matches!(self.method.as_str(), "GET" | "HEAD" | "OPTIONS")
    }

    /// Returns whether the method is an HTTP token and the path is absolute.
    pub(super) fn is_valid(&self) -> bool {
        Method::from_bytes(self.method.as_bytes()).is_ok() && self.path.starts_with('/')
    }

    fn set(&mut self, name: &str, value: &str) -> Result<()> {
        match name {
            "service" => self.service = value.to_owned(),
            "method" => self.method = value.to_owned(),
            "path" => self.path = value.to_owned(),
            "body" => self.body_bytes = parse_value(value)?,
            "answer" => self.answer_bytes = Some(parse_value(value)?),
            "chunked" => self.answer_chunked = parse_value(value)?,
            "work-us" => self.work_us = Some(parse_value(value)?),
            "repeatable" => self.repeatable = parse_value(value)?,
            "weight" => self.weight = parse_value(value)?,
            _ => {
                let reason = format!("unknown name {name} in a request kind");
                return SettingSnafu { reason }.fail();
            }
        }
        Ok(())
    }
}

impl FromStr for RequestKind {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let mut kind = Self::default();
        for pair in text.split(',') {
            let (name, value) = pair.split_once('=').with_context(|| SettingSnafu {
                reason: format!("expected NAME=VALUE, not {pair}"),
            })?;
            kind.set(name, value)?;
        }
        Ok(kind)
    }
}

fn parse_value<T: FromStr>(value: &str) -> Result<T> {
    value.parse().ok().with_context(|| SettingSnafu {
        reason: format!("cannot parse the value {value}"),
    })
}
