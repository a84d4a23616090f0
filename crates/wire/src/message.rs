//! Message types of the peer protocol over TCP.
//!
//! Types that derive `Serialize` are encoded by position: the order and the types of fields
//! and variants are part of the protocol, their names are not.

use bytes::Bytes;
use plantainpost_core::{
    admission::{FenceState, RefuseReason, RequestKey, Urgency},
    config::Progress,
    ids::{Incarnation, NodeName, ServiceName},
    load::LoadSample,
    time::Instant,
    workspace::KeyClaim,
};
use serde::{Deserialize, Serialize};

use crate::auth::MAC_BYTES;

/// Version of the peer protocol. The handshake with a peer of another version fails.
pub const PROTOCOL_VERSION: u16 = 6;

/// Length of a handshake nonce in bytes.
pub const NONCE_BYTES: usize = 16;

/// Maximum number of body bytes in one frame.
///
/// This bounds the memory of a request to a few frames in each direction.
pub const MAX_BODY_FRAME_BYTES: usize = 64 * 1024;

/// Maximum length of a body that an entry sends before the guard has started the request, in
/// bytes.
///
/// A refused request is sent to another target, so a longer body would waste bandwidth.
pub const MAX_EAGER_BODY_BYTES: usize = 8 * 1024;

/// First message of the accepting side of a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub version: u16,
    /// Name of the accepting node.
    pub node: NodeName,
    /// Incarnation of the accepting node.
    pub incarnation: Incarnation,
    /// Random bytes that the MAC of the opening side must cover.
    pub nonce: [u8; NONCE_BYTES],
}

/// Reply of the opening side to [`Hello`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Auth {
    /// Name of the opening node.
    pub node: NodeName,
    /// Incarnation of the opening node.
    pub incarnation: Incarnation,
    /// Random bytes that the MAC of the accepting side must cover.
    pub nonce: [u8; NONCE_BYTES],
    /// Clock of the opening node, read after it received [`Hello`].
    pub clock: Instant,
    /// MAC over the data of both sides.
    pub mac: [u8; MAC_BYTES],
}

/// Length of a request or response body, as far as its sender knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BodyLength {
    /// There is no body, and no `BodyEnd` follows.
    None,
    /// The body has exactly this many bytes.
    Sized(u64),
    /// The length is known only at the end.
    Chunked,
}

/// A header: its name in lower case and its value.
pub type Header = (String, Bytes);

/// Head of a request from an entry to a guard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRequestHead {
    /// Identifies this attempt of the request.
    pub key: RequestKey,
    /// Incarnation of the guard, as given in its [`Hello`].
    pub incarnation: Incarnation,
    /// Service that the caller asked for.
    pub service: ServiceName,
    /// Workspace of the request and its key, for the guard to check; `None` if the request needs no
    /// key.
    pub claim: Option<Box<KeyClaim>>,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers for the target, without hop-by-hop headers.
    pub headers: Vec<Header>,
    /// Deadline on the clock of the entry.
    pub deadline: Instant,
    /// Instant on the clock of the entry at which it stops and cuts the request; `None` unless it is
    /// stopping. The guard refuses a request that would probably take longer.
    pub answer_by: Option<Instant>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Class, priority and due time of the request. Its instants are on the clock of the entry.
    pub urgency: Urgency,
    /// Whether this attempt is a hedge, or the caller sent the request on behalf of a hedged
    /// one (header `plantainpost-hedged`). Such a request is not hedged again.
    pub hedged: bool,
    /// Whether the guard may refuse the request while the host of the target is slow, instead
    /// of queueing it, because the entry knows of another target.
    pub may_refuse_if_slow: bool,
    /// Length of the body that follows.
    pub body: BodyLength,
}

/// Head of a response from a guard to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerResponseHead {
    /// Attempt that the response belongs to.
    pub key: RequestKey,
    /// HTTP status.
    pub status: u16,
    /// Headers for the caller, without hop-by-hop headers.
    pub headers: Vec<Header>,
    /// Length of the body that follows.
    pub body: BodyLength,
    /// Load of the target when this message was created.
    pub load: LoadSample,
}

/// Why a guard could not return a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailReason {
    /// The connection to the target could not be opened.
    Connect,
    /// The target closed the connection before the end of its response.
    Closed,
    /// The target's response was not valid HTTP.
    Malformed,
    /// The target's response had neither a length nor the chunked transfer coding.
    Unframed,
    /// The deadline passed while the target was processing the request.
    Deadline,
    /// The request body ended before it was complete.
    RequestBody,
}

impl FailReason {
    /// Returns the value of the `plantainpost-reason` header.
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

/// Content of a frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// First message of the handshake, from the accepting side.
    Hello(Hello),
    /// Second message of the handshake, from the opening side.
    Auth(Auth),
    /// Third message of the handshake, from the accepting side.
    Welcome {
        /// MAC over the data of both sides.
        mac: [u8; MAC_BYTES],
    },
    /// Head of a request, from entry to guard.
    Request(PeerRequestHead),
    /// The guard has started the request and is ready for its body. It is sent only for bodies
    /// that may be longer than [`MAX_EAGER_BODY_BYTES`]; a shorter one follows the head
    /// immediately. In both cases the entry keeps up to [`MAX_BODY_FRAME_BYTES`] bytes of the
    /// body until the guard has replied, so that it can send a refused request to another
    /// target.
    Continue {
        /// Attempt that was started.
        key: RequestKey,
    },
    /// A part of a body, of at most [`MAX_BODY_FRAME_BYTES`] bytes.
    Body(Bytes),
    /// The body is complete. A body that ends without this message was truncated.
    BodyEnd {
        /// Total length of the body in bytes.
        length: u64,
        /// Load of the target; set only on response bodies from a guard.
        load: Option<LoadSample>,
    },
    /// The guard did not start the request.
    Refused {
        /// Attempt that is refused.
        key: RequestKey,
        /// Why the attempt was refused. The reason decides whether the request certainly did
        /// not run.
        reason: RefuseReason,
        /// Load of the target when this message was created.
        load: LoadSample,
    },
    /// Head of a response, from guard to entry.
    Response(PeerResponseHead),
    /// The guard cannot return a response.
    Failed {
        /// Attempt that failed.
        key: RequestKey,
        /// Whether the target may have run the request.
        started: bool,
        /// Why the attempt failed.
        reason: FailReason,
        /// Load of the target when this message was created.
        load: LoadSample,
    },
    /// Asks the guard to fence an attempt, so that it can no longer start, unless it has
    /// already started.
    Fence {
        /// Attempt to fence.
        key: RequestKey,
        /// Deadline of the request on the clock of the entry.
        deadline: Instant,
    },
    /// Reply to `Fence`.
    FenceResult {
        /// Attempt that was to be fenced.
        key: RequestKey,
        /// State of the attempt at the guard.
        state: FenceState,
    },
    /// Requests the configuration state. The reply is a body of `Body` messages and a
    /// `BodyEnd`; it is empty unless the replying node is ahead of `progress`.
    FetchConfig {
        /// How far the requesting node has read.
        progress: Progress,
    },
    /// A sign of life: the guard has the request and no answer yet. Sent by the schedule of
    /// [`plantainpost_core::progress`].
    Progress {
        /// Attempt that the guard has.
        key: RequestKey,
    },
    /// Continues an exchange whose connection was lost or fell silent on this connection. The
    /// reply is `Progress` or the whole answer if the exchange can be continued, and otherwise a
    /// `FenceResult`, as if this message were a `Fence`.
    Resume {
        /// Attempt to continue.
        key: RequestKey,
        /// Deadline of the request on the clock of the entry.
        deadline: Instant,
    },
}
