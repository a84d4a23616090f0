//! Event histories of callers, targets and nodes, and the checker of their consistency rules.

mod check;
mod file;
mod rates;

use serde::{Deserialize, Serialize};

pub use check::{CheckSettings, Rule, Summary, Violation, check};
pub(crate) use file::create_file;
pub use file::{parse_lines, read_files, to_lines, write_file};

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
        /// The service that the request was addressed to.
        service: String,
        /// The HTTP method.
        method: String,
        /// Whether the request may run more than once.
        idempotent: bool,
    },
    /// A caller's request ended, with or without an answer.
    Answered {
        /// The nonce of the request.
        nonce: String,
        /// Time in µs since the Unix epoch.
        at: u64,
        /// The outcome that the caller was told.
        outcome: Outcome,
        /// The HTTP status code; 0 if no answer head arrived.
        status: u16,
        /// Whether the connection ended before the answer was complete.
        cut: bool,
        /// Whether the answer is complete and every byte matches the expected answer.
        whole: bool,
        /// Whether some byte of the answer differs from the expected one. Also set for answers that
        /// were cut.
        foreign: bool,
        /// The nonce in the answer; `None` if it carried none.
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
        /// The workspace that the target was told; `None` if it was told none.
        #[serde(default)]
        workspace: Option<String>,
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
    /// A target was started, or accepts requests again after it was told to leave.
    Serving {
        /// Time in µs since the Unix epoch.
        at: u64,
        /// The target's name.
        target: String,
    },
    /// The evacuation of a target's data centre was acknowledged.
    Evacuated {
        /// Time in µs since the Unix epoch.
        at: u64,
        /// The target's name.
        target: String,
    },
    /// The evacuation of a target's data centre ends.
    Returned {
        /// Time in µs since the Unix epoch.
        at: u64,
        /// The target's name.
        target: String,
    },
    /// A target has become cold.
    Cold {
        /// Time in µs since the Unix epoch.
        at: u64,
        /// The target's name.
        target: String,
        /// Time up to which the limit of cold targets applies, in µs since the Unix epoch. It
        /// replaces that of an earlier record.
        until: u64,
    },
    /// The withdrawal of the only key of a workspace was acknowledged.
    KeyWithdrawn {
        /// Time in µs since the Unix epoch.
        at: u64,
        /// The name of the workspace.
        workspace: String,
    },
    /// The withdrawal of the key ends.
    KeyRestored {
        /// Time in µs since the Unix epoch.
        at: u64,
        /// The name of the workspace.
        workspace: String,
    },
    /// A node reported the configuration that it has in force.
    Config {
        /// Time in µs since the Unix epoch.
        at: u64,
        /// The node's name. It must differ after each restart, for example by the incarnation,
        /// because a restarted node begins without a configuration and its version may go back.
        node: String,
        /// The version in force.
        version: u64,
        /// A digest of the configuration content in force.
        digest: String,
    },
}

/// The outcome of a request as the caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A target's answer was forwarded to the caller.
    Answered,
    /// No target ran the request.
    NotRun,
    /// It is not known whether a target ran the request.
    Unknown,
    /// The connection failed without an answer head.
    Failed,
    /// The answer has no header `plantainpost-outcome`, as when the request goes to a target
    /// directly.
    Direct,
}

impl Outcome {
    /// Returns the text used in the header `plantainpost-outcome` and in history files.
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
    /// Returns the time of the record in µs since the Unix epoch.
    pub fn timestamp_us(&self) -> u64 {
        match self {
            Self::Sent { at, .. }
            | Self::Answered { at, .. }
            | Self::Started { at, .. }
            | Self::Ended { at, .. }
            | Self::Leaving { at, .. }
            | Self::Serving { at, .. }
            | Self::Cold { at, .. }
            | Self::KeyWithdrawn { at, .. }
            | Self::KeyRestored { at, .. }
            | Self::Evacuated { at, .. }
            | Self::Returned { at, .. }
            | Self::Config { at, .. } => *at,
        }
    }

    /// Returns the nonce of the request; `None` for records that are not about a request.
    pub fn nonce(&self) -> Option<&str> {
        match self {
            Self::Sent { nonce, .. }
            | Self::Answered { nonce, .. }
            | Self::Started { nonce, .. }
            | Self::Ended { nonce, .. } => Some(nonce),
            Self::Leaving { .. }
            | Self::Serving { .. }
            | Self::Evacuated { .. }
            | Self::Returned { .. }
            | Self::Cold { .. }
            | Self::KeyWithdrawn { .. }
            | Self::KeyRestored { .. }
            | Self::Config { .. } => None,
        }
    }
}
