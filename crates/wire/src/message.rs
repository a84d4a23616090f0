//! Message types of the peer protocol over TCP.

use bytes::Bytes;
use plantainpost_core::{
    admission::{FenceState, RefuseReason, RequestKey, Urgency},
    ids::{Incarnation, NodeName, ServiceName},
    load::LoadSample,
    time::Instant,
};
use serde::{Deserialize, Serialize};

use crate::auth::MAC_BYTES;

/// Version of the peer protocol. A peer with another version is refused.
pub const PROTOCOL_VERSION: u16 = 2;

/// Length of a handshake nonce in bytes.
pub const NONCE_BYTES: usize = 16;

/// Largest piece of a body in one frame, in bytes.
///
/// It bounds the memory of a request to a few pieces in each direction.
pub const MAX_BODY_PIECE: usize = 64 * 1024;

/// Longest body that an entry sends before the guard has started the request, in bytes.
///
/// A refused request is sent elsewhere, and its body would have travelled for nothing.
pub const EAGER_BODY_BYTES: usize = 8 * 1024;

/// First message of the accepting side of a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub version: u16,
    /// Name of the accepting node.
    pub node: NodeName,
    /// Incarnation of the accepting node.
    pub incarnation: Incarnation,
    /// Fresh random bytes that the opening side must sign.
    pub nonce: [u8; NONCE_BYTES],
}

/// Answer of the opening side to [`Hello`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Auth {
    /// Name of the opening node.
    pub node: NodeName,
    /// Incarnation of the opening node.
    pub incarnation: Incarnation,
    /// Fresh random bytes that the accepting side must sign.
    pub nonce: [u8; NONCE_BYTES],
    /// Clock of the opening node, read after it received [`Hello`].
    pub clock: Instant,
    /// Code over both sides of the handshake.
    pub mac: [u8; MAC_BYTES],
}

/// Length of a request body as its sender knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BodyLength {
    /// There is no body, and no `BodyEnd` follows.
    None,
    /// The body has exactly this many bytes.
    Sized(u64),
    /// The length is known only at the end.
    Chunked,
}

/// A header as a name in lower case and its bytes.
pub type Header = (String, Bytes);

/// Head of a request from an entry to a guard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestHead {
    /// Identifies this attempt of the request.
    pub key: RequestKey,
    /// Incarnation of the guard, as given in its [`Hello`].
    pub incarnation: Incarnation,
    /// Service that the caller asked for.
    pub service: ServiceName,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers for the target, without those of the hop.
    pub headers: Vec<Header>,
    /// Deadline on the clock of the entry.
    pub deadline: Instant,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// How urgent the request is, with instants of the clock of the entry.
    pub urgency: Urgency,
    /// Whether this is a hedge or stems from one.
    pub hedged: bool,
    /// Whether the entry would rather hear of a slow moment of the target's host than wait.
    pub may_decline: bool,
    /// Length of the body that follows.
    pub body: BodyLength,
}

/// Head of an answer from a guard to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseHead {
    /// Attempt that is answered.
    pub key: RequestKey,
    /// HTTP status.
    pub status: u16,
    /// Headers for the caller, without those of the hop.
    pub headers: Vec<Header>,
    /// Length of the body that follows.
    pub body: BodyLength,
    /// Load of the target at this moment.
    pub load: LoadSample,
}

/// Why a guard could not give an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailReason {
    /// The connection to the target could not be opened.
    Connect,
    /// The target closed the connection before the end of its answer.
    Closed,
    /// The target's answer was not HTTP.
    Malformed,
    /// The target's answer had no length and no chunks.
    Unframed,
    /// The deadline passed while the target worked.
    Deadline,
    /// The caller's body was not complete.
    RequestBody,
}

impl FailReason {
    /// Returns the word for the `plantainpost-reason` header.
    pub fn as_str(self) -> &'static str {
        match self {
            FailReason::Connect => "connect",
            FailReason::Closed => "closed",
            FailReason::Malformed => "malformed",
            FailReason::Unframed => "unframed",
            FailReason::Deadline => "deadline",
            FailReason::RequestBody => "request-body",
        }
    }
}

/// Everything that a frame can hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Handshake, accepting side.
    Hello(Hello),
    /// Handshake, opening side.
    Auth(Auth),
    /// Handshake, accepting side: code over both sides of the handshake.
    Welcome {
        /// Code over both sides of the handshake.
        mac: [u8; MAC_BYTES],
    },
    /// A request, from entry to guard.
    Request(RequestHead),
    /// The guard has started the request and takes its body. It is sent only for bodies
    /// that may be longer than [`EAGER_BODY_BYTES`]; a shorter one follows the head at once.
    /// In both cases the entry keeps up to [`MAX_BODY_PIECE`] bytes until the guard has
    /// answered, so that it can send a refused request elsewhere.
    Continue {
        /// Attempt that was started.
        key: RequestKey,
    },
    /// A piece of a body, of at most [`MAX_BODY_PIECE`] bytes.
    Body(Bytes),
    /// The body is complete. A body without this message was cut.
    BodyEnd {
        /// Bytes of the body in all.
        length: u64,
        /// Load of the target, on the way to the entry.
        load: Option<LoadSample>,
    },
    /// The guard did not start the request.
    Refused {
        /// Attempt that is refused.
        key: RequestKey,
        /// Whether this means "not run" depends on the reason.
        reason: RefuseReason,
        /// Load of the target at this moment.
        load: LoadSample,
    },
    /// Head of an answer.
    Response(ResponseHead),
    /// The guard can give no answer.
    Failed {
        /// Attempt that failed.
        key: RequestKey,
        /// Whether the target may have run the request.
        started: bool,
        /// What went wrong.
        reason: FailReason,
        /// Load of the target at this moment.
        load: LoadSample,
    },
    /// Asks the guard to fence an attempt unless it was started.
    Fence {
        /// Attempt to fence.
        key: RequestKey,
        /// Deadline of the request on the clock of the entry.
        deadline: Instant,
    },
    /// Answer to `Fence`.
    FenceResult {
        /// Attempt that was asked about.
        key: RequestKey,
        /// What the guard knows.
        state: FenceState,
    },
    /// Asks for the configuration state; answered by `Body` and `BodyEnd`.
    FetchConfig {
        /// The asking node has read the log up to here.
        have: u64,
    },
}
