//! Framing, handshake and datagrams, including input from attackers and faulty peers.

use std::{cell::Cell, rc::Rc, time::Duration};

use actix_rt::{
    System,
    net::{TcpListener, TcpStream},
};
use bytes::Bytes;
use googletest::prelude::*;
use plantainpost_core::{
    admission::RequestKey,
    ids::{Incarnation, NodeName, RequestId},
    load::LoadSample,
    quota::{Claim, Grant, GrantAnswer},
    time::Instant,
};
use plantainpost_wire::{
    auth::{FleetKeys, Key},
    datagram::{self, Datagram, DatagramError, MAX_DATAGRAM_BYTES},
    frame::{self, FrameError, FrameReader, FrameWriter, MAX_FRAME_BYTES},
    handshake::{self, ClockOffset, HandshakeError, NodeIdentity},
    message::{Hello, PROTOCOL_VERSION, PeerMessage},
};
use proptest::prelude::{any, prop, proptest};
use tokio::io::AsyncWriteExt;

fn keys(primary: u8, secondary: Option<u8>) -> FleetKeys {
    let key = |seed| Key::new(&[seed; 32]).expect("the key is long enough");
    FleetKeys::new(key(primary), secondary.map(key))
}

fn identity(name: &str) -> NodeIdentity {
    NodeIdentity {
        node: NodeName::from(name),
        incarnation: Incarnation(7),
    }
}

async fn connected_sockets() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let opened = TcpStream::connect(addr).await.unwrap();
    let (accepted, _) = listener.accept().await.unwrap();
    (opened, accepted)
}

type ConnectionEnd = (FrameReader, FrameWriter);

async fn connected_pair() -> (ConnectionEnd, ConnectionEnd) {
    let (opened, accepted) = connected_sockets().await;
    (frame::split(opened), frame::split(accepted))
}

fn run<F: Future>(fut: F) -> F::Output {
    System::new().block_on(fut)
}

/// Guards against messages that the framing merges, truncates or reorders.
#[gtest]
fn frames_arrive_complete_and_in_order() {
    run(async {
        let ((_opener_rx, mut tx), (mut rx, _acceptor_tx)) = connected_pair().await;
        let sizes = [0, 1, 100, 64 * 1024];
        for size in sizes {
            let msg = PeerMessage::Body(Bytes::from(vec![7; size]));
            tx.queue(&msg).unwrap();
        }
        let write = actix_rt::spawn(async move { tx.flush().await.is_ok() });
        for size in sizes {
            let msg = rx.read().await.unwrap();
            expect_that!(msg, eq(&PeerMessage::Body(Bytes::from(vec![7; size]))));
        }
        expect_true!(write.await.unwrap());
        drop(_opener_rx);
        expect_that!(rx.read().await, err(matches_pattern!(FrameError::Closed)));
    });
}

/// Guards against a peer that makes a node allocate too much memory with a false length
/// prefix, or makes the process panic with bytes that are not a message.
#[gtest]
fn invalid_frames_are_protocol_errors() {
    let too_long = (MAX_FRAME_BYTES as u32 + 1).to_le_bytes();
    let rows: [(&str, Vec<u8>); 4] = [
        ("length above the limit", too_long.to_vec()),
        ("largest length", u32::MAX.to_le_bytes().to_vec()),
        ("unknown message", vec![1, 0, 0, 0, 250]),
        ("empty message", vec![0, 0, 0, 0]),
    ];
    for (name, bytes) in rows {
        run(async {
            let (mut opened, accepted) = connected_sockets().await;
            let (mut rx, _tx) = frame::split(accepted);
            opened.write_all(&bytes).await.unwrap();
            let error = rx.read().await.unwrap_err();
            expect_true!(error.is_protocol_error(), "{name}: {error}");
        });
    }
}

/// Guards against batches of claims and grants that a node builds but can't send. It counts 45 bytes
/// and the name for each, up to 900 bytes.
#[gtest]
fn the_largest_quota_datagrams_fit() {
    let workspace: Rc<str> = "w".repeat(30).into();
    let incarnation = Incarnation(u64::MAX);
    let claim = Claim {
        workspace: Rc::clone(&workspace),
        number: u64::MAX,
        needed: u32::MAX,
        advance: u32::MAX,
        returned: u32::MAX,
        granted_by: incarnation,
    };
    let grant = Grant {
        workspace,
        number: u64::MAX,
        owner: incarnation,
        answer: GrantAnswer::Granted {
            count: u32::MAX,
            wait_us: u64::MAX,
        },
    };
    let datagrams = [
        Datagram::QuotaClaim {
            from: NodeName::from(&*"n".repeat(200)),
            incarnation,
            claims: vec![claim; 12],
        },
        Datagram::QuotaGrant {
            to: incarnation,
            grants: vec![grant; 12],
        },
    ];
    for datagram in datagrams {
        let bytes = datagram::encode(&keys(1, None), &datagram).expect("it fits");
        expect_that!(datagram::decode(&keys(1, None), &bytes), ok(eq(&datagram)));
    }
}

proptest! {
    /// Guards against a panic on arbitrary bytes from the network.
    #[test]
    fn random_datagrams_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..1_300)) {
        assert!(datagram::decode(&keys(1, None), &bytes).is_err());
    }

    /// Guards against accepting a datagram that was modified in transit.
    #[test]
    fn modified_datagrams_are_rejected(at in any::<prop::sample::Index>(), flip in 1_u8..) {
        let datagram = Datagram::LoadProbe { seq: 12 };
        let mut bytes = datagram::encode(&keys(1, None), &datagram).unwrap();
        let at = at.index(bytes.len());
        bytes[at] ^= flip;
        assert!(datagram::decode(&keys(1, None), &bytes).is_err());
    }

    /// Guards against a decoder that panics on authenticated but invalid messages, for example
    /// from a node with another version.
    #[test]
    fn decoders_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = postcard::from_bytes::<PeerMessage>(&bytes);
        let _ = postcard::from_bytes::<Datagram>(&bytes);
    }

    /// Guards against a clock conversion that makes a deadline later than it is.
    #[test]
    fn converted_deadlines_are_never_late(
        offset in 0_u64..1_000_000_000,
        opened_at in 0_u64..1_000_000_000,
        round_trip in 0_u64..1_000_000,
        remaining in 0_u64..120_000_000,
    ) {
        // The accepting clock is ahead of the opening clock by `offset`.
        let remote = opened_at + round_trip / 2;
        let local = opened_at + offset;
        let clock_offset = ClockOffset::new(Instant::from_micros(local), Instant::from_micros(remote));
        let deadline = remote + remaining;
        let converted = clock_offset.to_local(Instant::from_micros(deadline)).as_micros();
        let exact = deadline + offset;
        assert!(converted <= exact);
        assert!(exact - converted <= round_trip);
    }
}

/// Keys of sender and receiver during a key rotation, and whether messages are accepted.
fn key_rotation_rows() -> [(&'static str, FleetKeys, FleetKeys, bool); 4] {
    [
        ("same key", keys(1, None), keys(1, None), true),
        ("receiver ahead", keys(1, None), keys(2, Some(1)), true),
        ("sender ahead", keys(2, Some(1)), keys(1, Some(2)), true),
        ("foreign key", keys(3, None), keys(1, Some(2)), false),
    ]
}

/// Guards against a fleet that splits into two groups during a key rotation.
#[gtest]
fn datagrams_are_accepted_during_key_rotation() {
    for (name, sender, receiver, passes) in key_rotation_rows() {
        let bytes = datagram::encode(&sender, &Datagram::LoadProbe { seq: 1 }).unwrap();
        let opened = datagram::decode(&receiver, &bytes);
        expect_that!(opened.is_ok(), eq(passes), "{name}");
    }
}

/// Guards against datagrams that the network would have to fragment.
#[gtest]
fn datagrams_above_the_limit_are_not_encoded() {
    let datagram = Datagram::LoadReply {
        seq: 1,
        from: NodeName::from("n".repeat(MAX_DATAGRAM_BYTES).as_str()),
        load: LoadSample::default(),
        reported: None,
    };
    let encoded = datagram::encode(&keys(1, None), &datagram);
    expect_that!(encoded, err(matches_pattern!(DatagramError::Length { .. })));
}

/// Performs the accepting side with a clock that advances by `step_ms` on each reading.
async fn accept(
    (mut rx, mut tx): ConnectionEnd,
    keys: FleetKeys,
    step_ms: u64,
) -> Option<HandshakeError> {
    let readings = Cell::new(0);
    let now = || {
        readings.set(readings.get() + 1);
        Instant::from_millis(readings.get() * step_ms)
    };
    let local_identity = identity("b");
    handshake::accept(&mut rx, &mut tx, &local_identity, &keys, &now)
        .await
        .err()
}

async fn open((mut rx, mut tx): ConnectionEnd, keys: FleetKeys) -> Option<HandshakeError> {
    let now = || Instant::from_millis(9);
    let local_identity = identity("a");
    handshake::open(&mut rx, &mut tx, &local_identity, &keys, &now)
        .await
        .err()
}

/// Guards against connections between nodes without a common key, and against a fleet that
/// splits into two groups during a key rotation.
#[gtest]
fn handshakes_need_a_common_key() {
    for (name, opening, accepting, passes) in key_rotation_rows() {
        run(async {
            let (opened, accepted) = connected_pair().await;
            let accept = actix_rt::spawn(accept(accepted, accepting, 1));
            let opened = open(opened, opening).await;
            expect_that!(opened.is_none(), eq(passes), "{name}");
            expect_that!(accept.await.unwrap().is_none(), eq(passes), "{name}");
        });
    }
}

/// Guards against replay of a recorded handshake.
#[gtest]
fn replayed_handshakes_are_refused() {
    run(async {
        let (opened, (mut acceptor_rx, mut acceptor_tx)) = connected_pair().await;
        let hello = Hello {
            version: PROTOCOL_VERSION,
            node: NodeName::from("b"),
            incarnation: Incarnation(7),
            nonce: [9; 16],
        };
        acceptor_tx.write(&PeerMessage::Hello(hello)).await.unwrap();
        let open = actix_rt::spawn(open(opened, keys(1, None)));
        let recorded = acceptor_rx.read().await.unwrap();
        drop((acceptor_rx, acceptor_tx));
        expect_true!(open.await.unwrap().is_some());
        // A new connection uses a new nonce, so the recorded message must fail.
        let ((mut opener_rx, mut opener_tx), accepted) = connected_pair().await;
        let accept = actix_rt::spawn(accept(accepted, keys(1, None), 1));
        let _hello = opener_rx.read().await.unwrap();
        opener_tx.write(&recorded).await.unwrap();
        let error = accept.await.unwrap();
        expect_that!(
            error,
            some(matches_pattern!(HandshakeError::Unauthenticated))
        );
    });
}

/// Guards against a pause during the handshake, which would make all converted deadlines early
/// by as much, so that requests are refused without need.
#[gtest]
fn slow_handshakes_are_refused() {
    run(async {
        let (opened, accepted) = connected_pair().await;
        let accept = actix_rt::spawn(accept(accepted, keys(1, None), 1_500));
        expect_true!(open(opened, keys(1, None)).await.is_some());
        let error = accept.await.unwrap();
        expect_that!(
            error,
            some(matches_pattern!(HandshakeError::TooSlow { .. }))
        );
    });
}

/// Guards against reusing an idle connection that the peer has closed or has sent data on.
#[gtest]
fn stale_connections_are_detected() {
    run(async {
        let ((rx, _tx), (_acceptor_rx, mut acceptor_tx)) = connected_pair().await;
        expect_false!(rx.is_stale());
        let key = RequestKey {
            id: RequestId(1),
            attempt: 0,
        };
        acceptor_tx
            .write(&PeerMessage::Continue { key })
            .await
            .unwrap();
        actix_rt::time::sleep(Duration::from_millis(20)).await;
        expect_true!(rx.is_stale());
        let ((rx, _tx), accepted) = connected_pair().await;
        drop(accepted);
        actix_rt::time::sleep(Duration::from_millis(20)).await;
        expect_true!(rx.is_stale());
    });
}
