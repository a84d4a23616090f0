//! Tests of messages: which are dropped, their sizes, and independence of their order.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use googletest::prelude::*;
use plantainpost_core::{
    config::{Position, Progress},
    ids::{NodeName, ServiceName},
    member::{
        Counters, DIGEST_BUCKETS, MAX_MESSAGE_BYTES, MemberRecord, MemberSettings, MemberState,
        Membership, Message,
    },
};
use proptest::prelude::*;

use crate::fixture::{
    INCARNATION, at, member, peer, peer_with, receive_records, records_message, rng, sent_messages,
    snapshot,
};
use crate::sim::{addr, record};

/// A message that must be dropped, and the counter that it must increment.
struct DroppedMessage {
    name: &'static str,
    message: Message,
    counter: fn(&Counters) -> u64,
}

fn dropped_messages() -> Vec<DroppedMessage> {
    let row = |name, record: MemberRecord, counter| DroppedMessage {
        name,
        message: records_message(&[record]),
        counter,
    };
    let other = |change: fn(&mut MemberRecord)| {
        let mut record = record("other", 2, INCARNATION);
        change(&mut record);
        record
    };
    let ip = |a, b, c, d| IpAddr::V4(Ipv4Addr::new(a, b, c, d));
    let mut rows = vec![
        row("replayed", peer(), |c| c.stale_records),
        row("late", peer_with(|r| r.incarnation.0 -= 1), |c| {
            c.stale_records
        }),
        row("local record", record("local", 0, INCARNATION), |c| {
            c.self_records
        }),
        row(
            "local record, earlier incarnation",
            record("local", 5, INCARNATION - 1),
            |c| c.self_records,
        ),
        row(
            "unspecified",
            other(|r| r.ip = Ipv4Addr::UNSPECIFIED.into()),
            |c| c.bad_addresses,
        ),
        row("no udp port", other(|r| r.udp_port = 0), |c| {
            c.bad_addresses
        }),
        row("no tcp port", other(|r| r.tcp_port = 0), |c| {
            c.bad_addresses
        }),
        row(
            "clock far ahead",
            other(|r| r.incarnation.0 = u64::MAX),
            |c| c.bad_incarnations,
        ),
        row(
            "known, clock far ahead",
            peer_with(|r| r.incarnation.0 = 1 << 60),
            |c| c.bad_incarnations,
        ),
        row(
            "local record, clock far ahead",
            record("local", 0, u64::MAX),
            |c| c.bad_incarnations,
        ),
        row(
            "unconfirmed death",
            peer_with(|r| r.state = MemberState::Dead),
            |c| c.unconfirmed_deaths,
        ),
    ];
    let mut long = other(|_| {});
    long.name = NodeName::from("x".repeat(950).as_str());
    rows.push(row("oversized", long, |c| c.oversized));
    let mut multicast = other(|_| {});
    multicast.ip = ip(224, 0, 0, 1);
    rows.push(row("multicast", multicast, |c| c.bad_addresses));
    let unmatched: fn(&Counters) -> u64 = |c| c.unmatched;
    let records = vec![other(|_| {})];
    let message = Message::Records {
        seq: 77,
        records: records.clone(),
    };
    rows.push(DroppedMessage {
        name: "unrequested answer",
        message,
        counter: unmatched,
    });
    let from = NodeName::from("peer");
    let message = Message::Ack {
        seq: 77,
        from,
        progress: Progress {
            read_to: Position::from(9),
            routes: None,
        },
        records: records.clone(),
    };
    rows.push(DroppedMessage {
        name: "unrequested ack",
        message,
        counter: unmatched,
    });
    for port in [0, addr(0).port()] {
        let addr = SocketAddr::new(addr(0).ip(), port);
        rows.push(DroppedMessage {
            name: "indirect probe of an unusable or local address",
            message: Message::PingReq {
                seq: 5,
                from: NodeName::from("peer"),
                to: NodeName::from("other"),
                addr,
                records: vec![],
            },
            counter: |c| c.refused,
        });
    }
    let digest = [0; DIGEST_BUCKETS];
    let message = Message::Sync {
        seq: 77,
        answer: true,
        digest,
        records,
    };
    rows.push(DroppedMessage {
        name: "unrequested digest",
        message,
        counter: unmatched,
    });
    rows
}

/// Guards against invalid, late and replayed datagrams that change the table.
#[gtest]
fn invalid_and_stale_messages_are_counted_and_dropped() -> Result<()> {
    for row in dropped_messages() {
        let mut member = member();
        receive_records(&mut member, 0, &[peer()]);
        let (before, generation) = (snapshot(&member), member.generation());
        for copy in 1..=2 {
            let actions = member.receive(at(copy), addr(9), &row.message, &mut rng());
            let name = || row.name.to_string();
            verify_that!(actions, is_empty()).with_failure_message(name)?;
            verify_that!(snapshot(&member), eq(&before)).with_failure_message(name)?;
            verify_that!(member.generation(), eq(generation)).with_failure_message(name)?;
            verify_that!((row.counter)(member.counters()), eq(copy)).with_failure_message(name)?;
        }
    }
    Ok(())
}

/// Guards against a table that grows without bound when many unknown members are reported.
#[gtest]
fn table_size_is_bounded() {
    let mut member = member();
    for i in 1..=5_000 {
        receive_records(
            &mut member,
            0,
            &[record(&format!("flood-{i}"), i, INCARNATION)],
        );
    }
    expect_that!(member.members().count(), eq(4_097));
    expect_that!(member.counters().table_full, eq(904));
    let dead = |r: &MemberRecord| MemberRecord {
        state: MemberState::Left,
        ..r.clone()
    };
    let left = dead(member.get("flood-8").expect("a member"));
    receive_records(&mut member, 1, &[left]);
    receive_records(&mut member, 2, &[record("late", 6_000, INCARNATION)]);
    expect_that!(member.get("late"), some(anything()));
    expect_that!(member.get("flood-8"), none());
}

/// Guards against a probe that is answered by another node, which may run on the host of
/// the probed member by now.
#[gtest]
fn only_the_probed_member_can_answer_a_probe() {
    for (from, unmatched) in [("peer", 0), ("stranger", 1)] {
        let mut member = member();
        receive_records(&mut member, 0, &[peer()]);
        let pings = sent_messages(&member.tick(at(0), &mut rng()));
        let seq = pings.iter().find_map(|(_, m)| match m {
            Message::Ping {
                seq, to: Some(_), ..
            } => Some(*seq),
            _ => None,
        });
        let seq = seq.expect("a ping");
        let ack = Message::Ack {
            seq,
            from: NodeName::from(from),
            progress: Progress::default(),
            records: vec![],
        };
        member.receive(at(1), addr(1), &ack, &mut rng());
        expect_that!(member.counters().unmatched, eq(unmatched));
        member.receive(at(2), addr(1), &ack, &mut rng());
        expect_that!(member.counters().unmatched, eq(unmatched + 1));
    }
}

/// Guards against messages above the size limit when names are long and many members are
/// known, and against types that postcard can't encode.
#[gtest]
fn every_message_fits_the_limit_and_round_trips() {
    for len in [1, 60, 400, 820, 3_000] {
        let mut local = record("local", 0, INCARNATION);
        let service = ServiceName::from("s".repeat(len).as_str());
        local.target.as_mut().expect("a target").service = service;
        let mut member = Membership::new(MemberSettings::default(), local, &[addr(9)], at(0));
        let peers: Vec<MemberRecord> = (1..300)
            .map(|i| record(&format!("p{i}"), i, INCARNATION))
            .collect();
        let mut actions = receive_records(&mut member, 0, &peers);
        let digest = [1; DIGEST_BUCKETS];
        let sync = Message::Sync {
            seq: 3,
            answer: false,
            digest,
            records: vec![],
        };
        actions.extend(member.receive(at(1), addr(2), &sync, &mut rng()));
        for ms in (0..3_000).step_by(100) {
            actions.extend(member.tick(at(ms), &mut rng()));
        }
        actions.extend(member.leave(at(3_000), &mut rng()));
        for (_, message) in sent_messages(&actions) {
            let buf = postcard::to_stdvec(&message).expect("an encoding");
            expect_that!(buf.len(), le(MAX_MESSAGE_BYTES));
            expect_that!(buf.len(), eq(message.encoded_len()));
            expect_that!(postcard::from_bytes::<Message>(&buf), ok(eq(&message)));
        }
    }
}

prop_compose! {
    fn any_record()(
        name in 0..3usize,
        incarnation in 0..3u64,
        revision in 0..3u32,
        state in 0..4usize,
        config_version in 0..3u64,
    ) -> MemberRecord {
        use MemberState::{Alive, Leaving, Left, Suspect};
        MemberRecord {
            revision,
            state: [Alive, Leaving, Suspect, Left][state],
            config_version,
            ..record(&format!("p{name}"), 1 + name, INCARNATION + incarnation)
        }
    }
}

proptest! {
    /// Guards against tables that depend on the order or number of deliveries. Deaths are
    /// left out, because an unconfirmed one causes a probe instead.
    #[test]
    fn merged_table_does_not_depend_on_delivery_order(
        records in prop::collection::vec(any_record(), 1..12),
        order in any::<prop::sample::Index>(),
    ) {
        let (mut first, mut second) = (member(), member());
        receive_records(&mut first, 0, &records);
        let mut shuffled = records.clone();
        shuffled.reverse();
        shuffled.rotate_left(order.index(records.len()));
        receive_records(&mut second, 0, &shuffled);
        receive_records(&mut second, 1, &records);
        prop_assert_eq!(snapshot(&first), snapshot(&second));
    }
}

/// Guards against a node that asks only members of its own data centre, which may have been suspended
/// together with it, and against one that asks the same member twice.
#[gtest]
fn spread_peers_include_another_data_centre() {
    for remote in [None, Some(1)] {
        let mut member = member();
        // Every fourth host of the fixture is in the same data centre.
        let hosts = (1..10).map(|i| 4 * i).chain(remote);
        let records: Vec<_> = hosts
            .map(|i| record(&format!("m{i}"), i, INCARNATION))
            .collect();
        for records in records.chunks(3) {
            receive_records(&mut member, 100, records);
        }
        let mut rng = rng();
        for choice in 0..50 {
            let mut names = member.spread_peers(3, &mut rng);
            let has_remote = names.iter().any(|name| name.as_str() == "m1");
            expect_that!(has_remote, eq(remote.is_some()), "{choice}");
            names.sort();
            names.dedup();
            expect_that!(names.len(), eq(3), "{choice}");
        }
    }
}
