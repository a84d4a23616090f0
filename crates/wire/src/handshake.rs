//! Mutual authentication of a peer connection, and the shift between the clocks
//! of both sides.

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

/// Longest accepted time between `Hello` and `Auth`, in microseconds.
///
/// The conversion of deadlines is early by at most this time; a longer pause
/// means that one side was suspended.
pub const MAX_HANDSHAKE_MICROS: u64 = 1_000_000;

const OPENING_LABEL: &[u8] = b"plantainpost opening side";
const ACCEPTING_LABEL: &[u8] = b"plantainpost accepting side";

/// A handshake failed.
#[derive(Debug, Snafu)]
pub enum HandshakeError {
    /// The connection failed.
    #[snafu(display("{source}"))]
    Frame {
        /// Error of the framing.
        source: FrameError,
    },
    /// The peer sent another message than the handshake asks for.
    #[snafu(display("unexpected message in the handshake"))]
    Unexpected,
    /// The peer speaks another version of the protocol.
    #[snafu(display("peer speaks protocol version {version}, not {PROTOCOL_VERSION}"))]
    Version {
        /// Version of the peer.
        version: u16,
    },
    /// The peer holds none of the accepted keys.
    #[snafu(display("peer is not authenticated: check that both nodes have the fleet key"))]
    Unauthenticated,
    /// The peer answered too late for a safe conversion of deadlines.
    #[snafu(display("handshake took {micros} us; at most {MAX_HANDSHAKE_MICROS} us are allowed"))]
    TooSlow {
        /// Time that it took.
        micros: u64,
    },
}

/// Who a node is, for the handshake.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the node.
    pub node: NodeName,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
}

/// Converts instants of a peer's clock to the own clock.
#[derive(Clone, Copy, Debug)]
pub struct ClockShift {
    /// Own clock before the peer read its clock.
    local: Instant,
    /// The peer's clock, read later than `local`.
    remote: Instant,
}

impl ClockShift {
    /// Makes a shift from an own instant and a later instant of the peer.
    pub fn new(local: Instant, remote: Instant) -> Self {
        ClockShift { local, remote }
    }

    /// Returns the own instant for an instant of the peer. The result is never
    /// later than the true one, and earlier by at most the time of the handshake.
    pub fn to_local(self, at: Instant) -> Instant {
        if at >= self.remote {
            self.local
                .saturating_add_micros(at.micros_since(self.remote))
        } else {
            self.local
                .saturating_sub_micros(self.remote.micros_since(at))
        }
    }
}

/// What the accepting side knows of its peer after the handshake.
#[derive(Clone, Debug)]
pub struct AcceptedPeer {
    /// Who the peer is.
    pub identity: Identity,
    /// Converts the peer's deadlines.
    pub shift: ClockShift,
}

fn mac(key: &Key, label: &[u8], hello: &Hello, auth: &Auth) -> [u8; MAC_BYTES] {
    key.sign(&parts(label, hello, auth, &Numbers::new(hello, auth)))
}

struct Numbers {
    version: [u8; 2],
    accepting: [u8; 8],
    opening: [u8; 8],
    clock: [u8; 8],
}

impl Numbers {
    fn new(hello: &Hello, auth: &Auth) -> Self {
        Numbers {
            version: hello.version.to_le_bytes(),
            accepting: hello.incarnation.0.to_le_bytes(),
            opening: auth.incarnation.0.to_le_bytes(),
            clock: auth.clock.as_micros().to_le_bytes(),
        }
    }
}

fn parts<'a>(
    label: &'a [u8],
    hello: &'a Hello,
    auth: &'a Auth,
    numbers: &'a Numbers,
) -> [&'a [u8]; 9] {
    [
        label,
        &hello.nonce,
        &auth.nonce,
        hello.node.as_str().as_bytes(),
        auth.node.as_str().as_bytes(),
        &numbers.version,
        &numbers.accepting,
        &numbers.opening,
        &numbers.clock,
    ]
}

/// Runs the handshake of the accepting side.
///
/// # Errors
///
/// Fails when the peer is not authenticated, speaks another version or answers
/// too late.
pub async fn accept(
    rx: &mut FrameReader,
    tx: &mut FrameWriter,
    me: &Identity,
    keys: &FleetKeys,
    now: &dyn Fn() -> Instant,
) -> Result<AcceptedPeer, HandshakeError> {
    let hello = Hello {
        version: PROTOCOL_VERSION,
        node: me.node.clone(),
        incarnation: me.incarnation,
        nonce: rand::random::<[u8; NONCE_BYTES]>(),
    };
    let sent = now();
    tx.write(&PeerMessage::Hello(hello.clone()))
        .await
        .context(FrameSnafu)?;
    let PeerMessage::Auth(auth) = rx.read().await.context(FrameSnafu)? else {
        return UnexpectedSnafu.fail();
    };
    let micros = now().micros_since(sent);
    let numbers = Numbers::new(&hello, &auth);
    let signed = parts(OPENING_LABEL, &hello, &auth, &numbers);
    let key = keys
        .accepted()
        .find(|key| key.verify(&signed, &auth.mac))
        .ok_or(HandshakeError::Unauthenticated)?;
    ensure!(micros <= MAX_HANDSHAKE_MICROS, TooSlowSnafu { micros });
    // The same key answers, because the peer may not hold the other one yet.
    let mac = mac(key, ACCEPTING_LABEL, &hello, &auth);
    tx.write(&PeerMessage::Welcome { mac })
        .await
        .context(FrameSnafu)?;
    let identity = Identity {
        node: auth.node,
        incarnation: auth.incarnation,
    };
    let shift = ClockShift::new(sent, auth.clock);
    Ok(AcceptedPeer { identity, shift })
}

/// Runs the handshake of the opening side.
///
/// # Errors
///
/// Fails when the peer is not authenticated or speaks another version.
pub async fn open(
    rx: &mut FrameReader,
    tx: &mut FrameWriter,
    me: &Identity,
    keys: &FleetKeys,
    now: &dyn Fn() -> Instant,
) -> Result<Identity, HandshakeError> {
    let PeerMessage::Hello(hello) = rx.read().await.context(FrameSnafu)? else {
        return UnexpectedSnafu.fail();
    };
    let version = hello.version;
    ensure!(version == PROTOCOL_VERSION, VersionSnafu { version });
    let mut auth = Auth {
        node: me.node.clone(),
        incarnation: me.incarnation,
        nonce: rand::random::<[u8; NONCE_BYTES]>(),
        clock: now(),
        mac: [0; MAC_BYTES],
    };
    auth.mac = mac(keys.primary(), OPENING_LABEL, &hello, &auth);
    tx.write(&PeerMessage::Auth(auth.clone()))
        .await
        .context(FrameSnafu)?;
    let PeerMessage::Welcome { mac } = rx.read().await.context(FrameSnafu)? else {
        return UnexpectedSnafu.fail();
    };
    let numbers = Numbers::new(&hello, &auth);
    let signed = parts(ACCEPTING_LABEL, &hello, &auth, &numbers);
    ensure!(keys.primary().verify(&signed, &mac), UnauthenticatedSnafu);
    Ok(Identity {
        node: hello.node,
        incarnation: hello.incarnation,
    })
}
