//! Histories of callers, targets and nodes, and the checker that reads them.

mod check;
mod file;

use serde::{Deserialize, Serialize};

pub use check::{CheckSettings, Rule, Summary, Violation, check};
pub(crate) use file::create;
pub use file::{parse, read_files, to_lines, write_file};

/// One line of a history file (JSON lines).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Record {
    /// A caller sent a request.
    Sent {
        /// The nonce of the request.
        nonce: String,
        /// Time in µs since the Unix epoch.
        at: u64,
        /// The service asked for.
        service: String,
        /// The method.
        method: String,
        /// Whether the request may run more than once.
        idempotent: bool,
    },
    /// A caller's request came to an end.
    Answered {
        /// The nonce of the request.
        nonce: String,
        /// Time in µs since the Unix epoch.
        at: u64,
        /// What the caller was told.
        outcome: Outcome,
        /// The status; 0 when there was no answer head.
        status: u16,
        /// Whether the connection showed that the answer was cut.
        cut: bool,
        /// Whether the answer is complete and every byte is as expected.
        whole: bool,
        /// Whether some byte of the answer is not as expected, also when it was cut.
        foreign: bool,
        /// The nonce that the answer carried.
        answer_nonce: Option<String>,
    },
    /// A target read the head of a request.
    Started {
        /// The nonce of the request.
        nonce: String,
        /// Time in µs since the Unix epoch.
        at: u64,
        /// The target's name.
        target: String,
    },
    /// A target finished a request.
    Ended {
        /// The nonce of the request.
        nonce: String,
        /// Time in µs since the Unix epoch.
        at: u64,
        /// The target's name.
        target: String,
        /// Whether the whole answer was written.
        ok: bool,
    },
    /// A target was told to leave.
    Leaving {
        /// Time in µs since the Unix epoch.
        at: u64,
        /// The target's name.
        target: String,
    },
    /// A target was started, or takes work again after it was told to leave.
    Serving {
        /// Time in µs since the Unix epoch.
        at: u64,
        /// The target's name.
        target: String,
    },
    /// A node was seen with a configuration.
    Config {
        /// Time in µs since the Unix epoch.
        at: u64,
        /// The node's name. A node that restarts begins without a configuration, so its name
        /// has to be told apart from the earlier one, for example by the incarnation.
        node: String,
        /// The version in force.
        version: u64,
        /// A digest of the content in force.
        digest: String,
    },
}

/// What a caller was told about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The target's answer was passed on.
    Answered,
    /// The request was not run.
    NotRun,
    /// It is not known whether the request was run.
    Unknown,
    /// The connection failed without an answer head.
    Failed,
    /// An answer without the header `plantainpost-outcome`, as when a target is asked directly.
    Direct,
}

impl Outcome {
    /// The outcome as the header `plantainpost-outcome` and the histories write it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Failed => "failed",
            Self::Direct => "direct",
        }
    }
}

impl Record {
    /// The instant of the record in µs since the Unix epoch.
    pub fn at(&self) -> u64 {
        match self {
            Self::Sent { at, .. }
            | Self::Answered { at, .. }
            | Self::Started { at, .. }
            | Self::Ended { at, .. }
            | Self::Leaving { at, .. }
            | Self::Serving { at, .. }
            | Self::Config { at, .. } => *at,
        }
    }

    /// The nonce of the request, for records of requests.
    pub fn nonce(&self) -> Option<&str> {
        match self {
            Self::Sent { nonce, .. }
            | Self::Answered { nonce, .. }
            | Self::Started { nonce, .. }
            | Self::Ended { nonce, .. } => Some(nonce),
            Self::Leaving { .. } | Self::Serving { .. } | Self::Config { .. } => None,
        }
    }
}
