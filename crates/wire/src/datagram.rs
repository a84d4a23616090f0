//! Datagrams: a postcard message and a truncated authentication code.

use plantainpost_core::{ids::NodeName, load::LoadSample, member::Message};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::auth::{FleetKeys, SHORT_MAC_BYTES};

/// Longest datagram in bytes, the code included.
///
/// It fits one Ethernet frame with room for tunnel headers, so that no datagram is
/// fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

const LABEL: &[u8] = b"plantainpost datagram";

/// Load as a target reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reported {
    /// Requests that the target says it is working on.
    pub in_flight: u32,
    /// Requests that the target says it can work on at once.
    pub slots: u32,
}

/// Everything that a datagram can hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Membership protocol.
    Member(Message),
    /// The sender has read the configuration log up to `read_to`.
    ConfigNotice {
        /// The sending node.
        from: NodeName,
        /// Offset of the next record that the sender will read.
        read_to: u64,
    },
    /// Asks a guard for its load.
    LoadProbe {
        /// Matches the reply to the probe.
        seq: u64,
    },
    /// Answer to `LoadProbe`.
    LoadReply {
        /// Sequence number of the probe.
        seq: u64,
        /// The answering node.
        from: NodeName,
        /// Load of its target.
        load: LoadSample,
        /// What the target itself last reported.
        reported: Option<Reported>,
    },
}

/// A datagram was not accepted or could not be made.
#[derive(Debug, Snafu)]
pub enum DatagramError {
    /// The length is outside the allowed range.
    #[snafu(display("datagram of {length} bytes; at most {MAX_DATAGRAM_BYTES} are allowed"))]
    Length {
        /// Length in bytes.
        length: usize,
    },
    /// The code matches none of the accepted keys.
    #[snafu(display("datagram is not authenticated"))]
    Unauthenticated,
    /// The message could not be encoded or decoded.
    #[snafu(display("datagram: {source}"))]
    Codec {
        /// Error of the codec.
        source: postcard::Error,
    },
}

/// Encodes and signs a datagram.
///
/// # Errors
///
/// Fails when the datagram would be too long.
pub fn seal(keys: &FleetKeys, datagram: &Datagram) -> Result<Vec<u8>, DatagramError> {
    let mut buf = postcard::to_allocvec(datagram).context(CodecSnafu)?;
    let mac = keys.primary().sign(&[LABEL, &buf]);
    buf.extend_from_slice(&mac[..SHORT_MAC_BYTES]);
    let length = buf.len();
    ensure!(length <= MAX_DATAGRAM_BYTES, LengthSnafu { length });
    Ok(buf)
}

/// Checks and decodes a datagram.
///
/// # Errors
///
/// Fails when the datagram is not authenticated or not valid.
pub fn open(keys: &FleetKeys, buf: &[u8]) -> Result<Datagram, DatagramError> {
    let length = buf.len();
    ensure!(
        (SHORT_MAC_BYTES..=MAX_DATAGRAM_BYTES).contains(&length),
        LengthSnafu { length }
    );
    let (body, mac) = buf.split_at(length - SHORT_MAC_BYTES);
    let known = keys
        .accepted()
        .any(|key| key.verify_short(&[LABEL, body], mac));
    ensure!(known, UnauthenticatedSnafu);
    postcard::from_bytes(body).context(CodecSnafu)
}
