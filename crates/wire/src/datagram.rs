//! Datagrams: a message encoded with postcard, followed by a truncated MAC.

use plantainpost_core::{
    config::Progress,
    ids::{Incarnation, NodeName},
    load::LoadSample,
    member::Message,
    quota::{Claim, Grant},
};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::{
    auth::{FleetKeys, TRUNCATED_MAC_BYTES},
    message::PROTOCOL_VERSION,
};

/// Maximum length of a datagram in bytes, including the MAC.
///
/// A datagram of this length fits one Ethernet frame and leaves room for tunnel headers, so
/// that no datagram is fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Domain separation label: keeps a MAC from being valid for another kind of message.
const MAC_LABEL: &[u8] = b"plantainpost datagram";

/// Load as reported by the target itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// Number of requests in progress.
    pub in_flight: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

/// Content of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Message of the membership protocol.
    Member(Message),
    /// Tells how far the sender has read the configuration.
    ConfigProgress {
        /// The sending node.
        from: NodeName,
        /// Progress of the sender.
        progress: Progress,
    },
    /// Asks a guard for the load of its target.
    LoadProbe {
        /// Sequence number, repeated in the reply.
        seq: u64,
    },
    /// Reply to `LoadProbe`.
    LoadReply {
        /// Sequence number of the probe.
        seq: u64,
        /// The replying node.
        from: NodeName,
        /// Load of its target, as measured by the guard.
        load: LoadSample,
        /// Last load that the target itself reported; `None` if there is no recent report.
        reported: Option<ReportedLoad>,
    },
    /// Claims credit of workspaces from their owner.
    QuotaClaim {
        /// The claiming node.
        from: NodeName,
        /// Its incarnation.
        incarnation: Incarnation,
        /// At most one claim for each workspace.
        claims: Vec<Claim>,
    },
    /// Answers claims of a `QuotaClaim`.
    QuotaGrant {
        /// Incarnation of the node that claimed.
        to: Incarnation,
        /// Answers to the claims.
        grants: Vec<Grant>,
    },
}

/// A datagram could not be encoded, verified or decoded.
#[derive(Debug, Snafu)]
pub enum DatagramError {
    /// The length is outside the allowed range.
    #[snafu(display(
        "datagram of {length} bytes; {TRUNCATED_MAC_BYTES} to {MAX_DATAGRAM_BYTES} are allowed"
    ))]
    Length {
        /// Length in bytes.
        length: usize,
    },
    /// The MAC matches none of the accepted keys.
    #[snafu(display("datagram is not authenticated"))]
    Unauthenticated,
    /// The message could not be encoded or decoded.
    #[snafu(display("can't encode or decode the datagram: {source}"))]
    Codec {
        /// Underlying codec error.
        source: postcard::Error,
    },
}

/// Encodes and signs a datagram.
///
/// # Errors
///
/// Returns an error if the datagram would be too long.
pub fn encode(keys: &FleetKeys, datagram: &Datagram) -> Result<Vec<u8>, DatagramError> {
    let mut buf = postcard::to_allocvec(datagram).context(CodecSnafu)?;
    let mac = keys
        .primary()
        .sign(&[MAC_LABEL, &PROTOCOL_VERSION.to_le_bytes(), &buf]);
    buf.extend_from_slice(&mac[..TRUNCATED_MAC_BYTES]);
    let length = buf.len();
    ensure!(length <= MAX_DATAGRAM_BYTES, LengthSnafu { length });
    Ok(buf)
}

/// Verifies and decodes a datagram.
///
/// # Errors
///
/// Returns an error if the length is not allowed, the MAC matches no accepted key or the
/// message is malformed.
pub fn decode(keys: &FleetKeys, buf: &[u8]) -> Result<Datagram, DatagramError> {
    let length = buf.len();
    ensure!(
        (TRUNCATED_MAC_BYTES..=MAX_DATAGRAM_BYTES).contains(&length),
        LengthSnafu { length }
    );
    let (body, mac) = buf.split_at(length - TRUNCATED_MAC_BYTES);
    // A datagram of another version could be decoded to other values.
    let version = PROTOCOL_VERSION.to_le_bytes();
    let authenticated = keys
        .accepted()
        .any(|key| key.verify_truncated(&[MAC_LABEL, &version, body], mac));
    ensure!(authenticated, UnauthenticatedSnafu);
    postcard::from_bytes(body).context(CodecSnafu)
}
