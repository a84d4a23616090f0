//! Mutual authentication of a peer connection, and the offset between the clocks of both
//! sides.
//!
//! The accepting side sends `Hello` with a nonce, the opening side replies with `Auth`, and
//! the accepting side confirms with `Welcome`. `Auth` and `Welcome` each carry a MAC over the
//! data of both sides, including both nonces, so that a recorded handshake cannot be replayed.

use plantainpost_core::{
    ids::{Incarnation, NodeName},
    time::Instant,
};
use snafu::{ResultExt, Snafu, ensure};

use crate::{
    auth::{FleetKeys, Key, MAC_BYTES},
    frame::{FrameError, FrameReader, FrameWriter},
    message::{Auth, Hello, NONCE_BYTES, PROTOCOL_VERSION, PeerMessage},
};

/// Maximum time between `Hello` and `Auth`, in microseconds.
///
/// Converted deadlines are early by at most this time. A longer delay means that one side was
/// suspended.
pub const MAX_HANDSHAKE_US: u64 = 1_000_000;

/// Domain separation label of the MAC in `Auth`.
const OPENING_LABEL: &[u8] = b"plantainpost opening side";
/// Domain separation label of the MAC in `Welcome`.
const ACCEPTING_LABEL: &[u8] = b"plantainpost accepting side";

/// A handshake failed.
#[derive(Debug, Snafu)]
pub enum HandshakeError {
    /// A message of the handshake could not be read or written.
    #[snafu(display("{source}"))]
    Frame {
        /// Underlying frame error.
        source: FrameError,
    },
    /// The peer sent a message that is not the next one of the handshake.
    #[snafu(display("unexpected message in the handshake"))]
    Unexpected,
    /// The peer uses another version of the protocol.
    #[snafu(display("peer speaks protocol version {version}, not {PROTOCOL_VERSION}"))]
    Version {
        /// Protocol version of the peer.
        version: u16,
    },
    /// The peer holds none of the accepted keys.
    #[snafu(display("peer is not authenticated: check that both nodes have the fleet key"))]
    Unauthenticated,
    /// The peer replied too late; converted deadlines would be early by as much.
    #[snafu(display("handshake took {elapsed_us} us; at most {MAX_HANDSHAKE_US} us are allowed"))]
    TooSlow {
        /// Time between `Hello` and `Auth`, in microseconds.
        elapsed_us: u64,
    },
}

/// Identity of a node as exchanged in the handshake.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// Name of the node.
    pub node: NodeName,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
}

/// Converts instants of a peer's clock to the local clock.
#[derive(Clone, Copy, Debug)]
pub struct ClockOffset {
    /// Local clock, read before the peer read its clock.
    local: Instant,
    /// The peer's clock, read after `local`.
    remote: Instant,
}

impl ClockOffset {
    /// Creates an offset from a reading of the local clock and a later reading of the peer's
    /// clock.
    pub fn new(local: Instant, remote: Instant) -> Self {
        ClockOffset { local, remote }
    }

    /// Converts an instant of the peer's clock to the local clock. The result is never later
    /// than the exact instant, and earlier by at most the duration of the handshake.
    pub fn to_local(self, peer_instant: Instant) -> Instant {
        if peer_instant >= self.remote {
            self.local
                .saturating_add_micros(peer_instant.micros_since(self.remote))
        } else {
            self.local
                .saturating_sub_micros(self.remote.micros_since(peer_instant))
        }
    }
}

/// What the accepting side knows about its peer after the handshake.
#[derive(Clone, Debug)]
pub struct AcceptedPeer {
    /// Authenticated identity of the peer.
    pub identity: NodeIdentity,
    /// Converts the peer's deadlines to the local clock.
    pub clock_offset: ClockOffset,
}

fn handshake_mac(key: &Key, label: &[u8], hello: &Hello, auth: &Auth) -> [u8; MAC_BYTES] {
    key.sign(&signed_fields(
        label,
        hello,
        auth,
        &NumericFields::new(hello, auth),
    ))
}

/// Little-endian encoding of the numeric fields that the MAC covers.
struct NumericFields {
    version: [u8; 2],
    accepting_incarnation: [u8; 8],
    opening_incarnation: [u8; 8],
    opening_clock: [u8; 8],
}

impl NumericFields {
    fn new(hello: &Hello, auth: &Auth) -> Self {
        NumericFields {
            version: hello.version.to_le_bytes(),
            accepting_incarnation: hello.incarnation.0.to_le_bytes(),
            opening_incarnation: auth.incarnation.0.to_le_bytes(),
            opening_clock: auth.clock.as_micros().to_le_bytes(),
        }
    }
}

/// Returns the fields that the MAC covers, in the order in which they are signed.
fn signed_fields<'a>(
    label: &'a [u8],
    hello: &'a Hello,
    auth: &'a Auth,
    numbers: &'a NumericFields,
) -> [&'a [u8]; 9] {
    [
        label,
        &hello.nonce,
        &auth.nonce,
        hello.node.as_str().as_bytes(),
        auth.node.as_str().as_bytes(),
        &numbers.version,
        &numbers.accepting_incarnation,
        &numbers.opening_incarnation,
        &numbers.opening_clock,
    ]
}

/// Performs the accepting side of the handshake.
///
/// # Errors
///
/// Returns an error if the connection fails, the peer sends an unexpected message, is not
/// authenticated or replies too late.
pub async fn accept(
    rx: &mut FrameReader,
    tx: &mut FrameWriter,
    local_identity: &NodeIdentity,
    keys: &FleetKeys,
    now: &dyn Fn() -> Instant,
) -> Result<AcceptedPeer, HandshakeError> {
    let hello = Hello {
        version: PROTOCOL_VERSION,
        node: local_identity.node.clone(),
        incarnation: local_identity.incarnation,
        nonce: rand::random::<[u8; NONCE_BYTES]>(),
    };
    let sent_at = now();
    tx.write(&PeerMessage::Hello(hello.clone()))
        .await
        .context(FrameSnafu)?;
    let PeerMessage::Auth(auth) = rx.read().await.context(FrameSnafu)? else {
        return UnexpectedSnafu.fail();
    };
    let elapsed_us = now().micros_since(sent_at);
    let numbers = NumericFields::new(&hello, &auth);
    let signed = signed_fields(OPENING_LABEL, &hello, &auth, &numbers);
    let key = keys
        .accepted()
        .find(|key| key.verify(&signed, &auth.mac))
        .ok_or(HandshakeError::Unauthenticated)?;
    ensure!(elapsed_us <= MAX_HANDSHAKE_US, TooSlowSnafu { elapsed_us });
    // Signs with the key that the peer used, because the peer may not have the other one yet.
    let mac = handshake_mac(key, ACCEPTING_LABEL, &hello, &auth);
    tx.write(&PeerMessage::Welcome { mac })
        .await
        .context(FrameSnafu)?;
    let identity = NodeIdentity {
        node: auth.node,
        incarnation: auth.incarnation,
    };
    let clock_offset = ClockOffset::new(sent_at, auth.clock);
    Ok(AcceptedPeer {
        identity,
        clock_offset,
    })
}

/// Performs the opening side of the handshake and returns the identity of the peer.
///
/// # Errors
///
/// Returns an error if the connection fails, or the peer sends an unexpected message, is not
/// authenticated or uses another version.
pub async fn open(
    rx: &mut FrameReader,
    tx: &mut FrameWriter,
    local_identity: &NodeIdentity,
    keys: &FleetKeys,
    now: &dyn Fn() -> Instant,
) -> Result<NodeIdentity, HandshakeError> {
    let PeerMessage::Hello(hello) = rx.read().await.context(FrameSnafu)? else {
        return UnexpectedSnafu.fail();
    };
    let version = hello.version;
    ensure!(version == PROTOCOL_VERSION, VersionSnafu { version });
    let mut auth = Auth {
        node: local_identity.node.clone(),
        incarnation: local_identity.incarnation,
        nonce: rand::random::<[u8; NONCE_BYTES]>(),
        clock: now(),
        mac: [0; MAC_BYTES],
    };
    auth.mac = handshake_mac(keys.primary(), OPENING_LABEL, &hello, &auth);
    tx.write(&PeerMessage::Auth(auth.clone()))
        .await
        .context(FrameSnafu)?;
    let PeerMessage::Welcome { mac } = rx.read().await.context(FrameSnafu)? else {
        return UnexpectedSnafu.fail();
    };
    let numbers = NumericFields::new(&hello, &auth);
    let signed = signed_fields(ACCEPTING_LABEL, &hello, &auth, &numbers);
    ensure!(keys.primary().verify(&signed, &mac), UnauthenticatedSnafu);
    Ok(NodeIdentity {
        node: hello.node,
        incarnation: hello.incarnation,
    })
}
