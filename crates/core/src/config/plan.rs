//! Plans: the effect of an intent, which an operator reads and confirms.

use std::{fmt::Write, net::IpAddr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::{Snafu, ensure};
use uuid::Uuid;

use super::content::{Content, ContentError};

/// A target that the planning node knows, used by the warnings and checks of a plan.
#[derive(Clone, Copy, Debug)]
pub struct KnownTarget<'a> {
    /// Service of the target.
    pub service: &'a str,
    /// Node of the target.
    pub node: &'a str,
    /// Address of the host.
    pub host_ip: IpAddr,
    /// Data centre of the host.
    pub data_centre: &'a str,
}

/// A change of the configuration that an operator may confirm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Identifies the plan and its confirmation, even if that is appended more than once.
    pub id: Uuid,
    /// Version in force when the plan was made.
    pub base: Option<u64>,
    /// Offset up to which the planning node had seen the log, if the plan is an override.
    pub overrides: Option<u64>,
    /// Content that comes into force.
    pub content: Content,
    /// Texts of the changes, one line each.
    pub changes: Vec<String>,
    /// Texts of what stays as it is, one line each.
    pub stays: Vec<String>,
    /// Texts of effects that are allowed but may be unintended, one line each.
    pub warnings: Vec<String>,
    /// Operator who asked for the plan.
    pub author: String,
    /// SHA-256 of all other fields, in hexadecimal. It detects that a plan was edited or
    /// truncated; it does not authenticate the author.
    pub digest: String,
    /// Time from which the plan may no longer be confirmed, in milliseconds since the Unix
    /// epoch.
    pub expires_at_unix_ms: u64,
}

/// Why an intent can't be planned.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
#[expect(missing_docs, reason = "The messages name the fields.")]
pub enum PlanError {
    /// Records of the log are missing, so the node may not know the configuration in force.
    #[snafu(display(
        "records of the log are missing from offset {read_to}; wait until a peer or a \
         checkpoint closes the gap, or state the whole content with an override"
    ))]
    Gap { read_to: u64 },
    /// The version to restore is not among the recent ones.
    #[snafu(display("version {version} is not among the recent versions"))]
    UnknownVersion { version: u64 },
    /// The intent leaves the content as it is.
    #[snafu(display("the intent changes nothing"))]
    NoChange,
    /// The content or the author's name is out of bounds.
    #[snafu(display("{source}"), context(false))]
    Content { source: ContentError },
}

/// Why a plan may not be confirmed.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[expect(missing_docs, reason = "The messages name the fields.")]
pub enum VerifyError {
    /// The digest does not match.
    #[snafu(display("the digest does not match the plan"))]
    Digest,
    /// The plan has expired.
    #[snafu(display("the plan expired at {expires_at_unix_ms} ms"))]
    Expired { expires_at_unix_ms: u64 },
    /// The content is out of bounds.
    #[snafu(display("{source}"), context(false))]
    Invalid { source: ContentError },
}

impl Plan {
    /// Checks that the plan is unchanged, has not expired, and has a valid content.
    ///
    /// # Errors
    ///
    /// Returns the first check that failed.
    pub fn verify(&self, now_unix_ms: u64) -> Result<(), VerifyError> {
        ensure!(self.digest == self.compute_digest(), DigestSnafu);
        let expires_at_unix_ms = self.expires_at_unix_ms;
        ensure!(
            now_unix_ms < expires_at_unix_ms,
            ExpiredSnafu { expires_at_unix_ms }
        );
        self.content.validate()?;
        Ok(())
    }

    /// Returns the plan with its digest filled in.
    pub(super) fn with_digest(mut self) -> Self {
        self.digest = self.compute_digest();
        self
    }

    fn compute_digest(&self) -> String {
        let without_digest = Plan {
            digest: String::new(),
            ..self.clone()
        };
        // A plan holds only strings, integers and maps with string keys, so it can always
        // be encoded as JSON.
        let json = serde_json::to_vec(&without_digest).unwrap_or_default();
        let mut hex = String::with_capacity(64);
        for byte in Sha256::digest(&json) {
            let _ = write!(hex, "{byte:02x}");
        }
        hex
    }
}
