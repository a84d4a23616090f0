//! The kinds of requests in the mix.

use std::str::FromStr;

use actix_http::Method;
use snafu::OptionExt;

use crate::error::{Error, Result, SettingSnafu};

/// One kind of request in the mix.
///
/// It can be parsed from `name=value` pairs separated by commas, with the names `service`,
/// `method`, `path`, `body`, `answer`, `chunked`, `work-us`, `repeatable` and `weight`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Kind {
    /// The service, sent in `Host`.
    pub service: String,
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// Bytes of request body.
    pub body_bytes: usize,
    /// Bytes of answer body; none for the short JSON answer.
    pub answer_bytes: Option<usize>,
    /// Whether the answer shall be chunked.
    pub answer_chunked: bool,
    /// Overrides the target's service time, in µs.
    pub work_us: Option<u64>,
    /// Whether the configuration lists the method as repeatable.
    pub repeatable: bool,
    /// Its weight in the mix.
    pub weight: u32,
}

impl Default for Kind {
    fn default() -> Self {
        Self {
            service: "stock".to_owned(),
            method: "GET".to_owned(),
            path: "/".to_owned(),
            body_bytes: 0,
            answer_bytes: None,
            answer_chunked: false,
            work_us: None,
            repeatable: false,
            weight: 1,
        }
    }
}

impl Kind {
    /// Whether the request may run more than once.
    pub fn idempotent(&self) -> bool {
        self.repeatable || matches!(self.method.as_str(), "GET" | "HEAD" | "OPTIONS")
    }

    /// Whether the method is a token and the path is absolute.
    pub(super) fn is_valid(&self) -> bool {
        Method::from_bytes(self.method.as_bytes()).is_ok() && self.path.starts_with('/')
    }

    fn set(&mut self, name: &str, value: &str) -> Result<()> {
        match name {
            "service" => self.service = value.to_owned(),
            "method" => self.method = value.to_owned(),
            "path" => self.path = value.to_owned(),
            "body" => self.body_bytes = number(value)?,
            "answer" => self.answer_bytes = Some(number(value)?),
            "chunked" => self.answer_chunked = number(value)?,
            "work-us" => self.work_us = Some(number(value)?),
            "repeatable" => self.repeatable = number(value)?,
            "weight" => self.weight = number(value)?,
            _ => {
                let reason = format!("unknown name {name} in a kind");
                return SettingSnafu { reason }.fail();
            }
        }
        Ok(())
    }
}

impl FromStr for Kind {
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

fn number<T: FromStr>(value: &str) -> Result<T> {
    value.parse().ok().with_context(|| SettingSnafu {
        reason: format!("the value {value} has the wrong form"),
    })
}
