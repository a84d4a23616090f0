//! Messages of the membership protocol and their size.

use std::net::SocketAddr;

use postcard::ser_flavors::Size;
use serde::{Deserialize, Serialize};

use super::MemberRecord;
use crate::{config::Progress, ids::NodeName};

/// Longest encoding of a message in bytes.
///
/// A datagram has at most 1,200 bytes, of which the envelope and the truncated
/// HMAC take a part.
pub const MAX_MESSAGE_BYTES: usize = 1_150;

/// Number of buckets in a table digest.
pub const DIGEST_BUCKETS: usize = 32;

/// Membership message.
///
/// `seq` is chosen by the sender of a request and repeated in the answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the receiver for an `Ack`.
    Ping {
        /// Sequence number.
        seq: u32,
        /// Name of the sender.
        from: NodeName,
        /// Name of the member that should answer; `None` if the sender knows only the
        /// address.
        to: Option<NodeName>,
        /// How far the sender has read the configuration.
        progress: Progress,
        /// Piggybacked records.
        records: Vec<MemberRecord>,
    },
    /// Answers a `Ping` or, relayed by a third member, a `PingReq`.
    Ack {
        /// Sequence number of the request.
        seq: u32,
        /// Name of the member that answered the ping.
        from: NodeName,
        /// How far that member has read the configuration.
        progress: Progress,
        /// Piggybacked records.
        records: Vec<MemberRecord>,
    },
    /// Asks the receiver to ping another member and to relay its `Ack`.
    PingReq {
        /// Sequence number.
        seq: u32,
        /// Name of the sender.
        from: NodeName,
        /// Name of the member to ping.
        to: NodeName,
        /// Address of the member to ping.
        addr: SocketAddr,
        /// Piggybacked records.
        records: Vec<MemberRecord>,
    },
    /// Digest of the sender's table, which the receiver compares with its own.
    Sync {
        /// Sequence number.
        seq: u32,
        /// Whether this is the answer to a `Sync`.
        answer: bool,
        /// One value per bucket.
        digest: [u32; DIGEST_BUCKETS],
        /// Piggybacked records.
        records: Vec<MemberRecord>,
    },
    /// Records sent because they changed, or in answer to a `Sync`.
    Records {
        /// Sequence number of the `Sync`, or zero for changed records.
        seq: u32,
        /// The changed or differing records.
        records: Vec<MemberRecord>,
    },
}

impl Message {
    /// Returns the length of the encoded message.
    pub fn encoded_len(&self) -> usize {
        encoded_len(self)
    }

    /// Returns the records that the message carries.
    pub fn records(&self) -> &[MemberRecord] {
        match self {
            Message::Ping { records, .. }
            | Message::Ack { records, .. }
            | Message::PingReq { records, .. }
            | Message::Sync { records, .. }
            | Message::Records { records, .. } => records,
        }
    }

    /// Returns a mutable reference to the records that the message carries.
    pub(super) fn records_mut(&mut self) -> &mut Vec<MemberRecord> {
        match self {
            Message::Ping { records, .. }
            | Message::Ack { records, .. }
            | Message::PingReq { records, .. }
            | Message::Sync { records, .. }
            | Message::Records { records, .. } => records,
        }
    }
}

/// Returns the length of the postcard encoding, or `usize::MAX` if there is none.
pub(super) fn encoded_len<T: Serialize>(value: &T) -> usize {
    postcard::serialize_with_flavor(value, Size::default()).unwrap_or(usize::MAX)
}
