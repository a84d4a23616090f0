//! Tests of the rules of the membership protocol at a single member.

use std::net::SocketAddr;

use googletest::prelude::*;
use plantainpost_core::{
    config::{Position, Progress},
    ids::{Incarnation, NodeName},
    member::{
        ConfigReader, MemberEvent, MemberRecord, MemberSettings, MemberState, Membership, Message,
    },
};

use crate::fixture::{
    INCARNATION, at, events, member, peer, peer_with, receive_records, rng, sent_messages,
};
use crate::sim::{Network, Sim, addr, record};

/// Guards against wrong or missing events, and against records that revert a state.
#[gtest]
fn record_changes_yield_their_events() -> Result<()> {
    use MemberState::{Alive, Dead, Leaving, Left, Suspect};
    type Row = (
        &'static str,
        MemberRecord,
        MemberRecord,
        &'static [&'static str],
        MemberState,
    );
    let state =
        |state, incarnation| peer_with(|r| (r.state, r.incarnation.0) = (state, incarnation));
    let drained = || {
        peer_with(|r| {
            r.revision = 1;
            r.target.as_mut().expect("a target").draining = true;
        })
    };
    let moved = |state| {
        peer_with(|r| {
            (r.state, r.ip) = (state, addr(5).ip());
            r.incarnation.0 += 1;
        })
    };
    let next = INCARNATION + 1;
    let rows: [Row; 13] = [
        (
            "suspected",
            state(Alive, INCARNATION),
            state(Suspect, INCARNATION),
            &["Suspected"],
            Suspect,
        ),
        (
            "refuted",
            state(Suspect, INCARNATION),
            state(Alive, next),
            &["Refuted"],
            Alive,
        ),
        (
            "not refuted",
            state(Suspect, INCARNATION),
            state(Alive, INCARNATION),
            &[],
            Suspect,
        ),
        (
            "suspected, unconfirmed death",
            state(Suspect, INCARNATION),
            state(Dead, INCARNATION),
            &[],
            Suspect,
        ),
        (
            "leaving",
            state(Alive, INCARNATION),
            state(Leaving, INCARNATION),
            &["Leaving"],
            Leaving,
        ),
        (
            "left",
            state(Leaving, INCARNATION),
            state(Left, INCARNATION),
            &["Left"],
            Left,
        ),
        (
            "came back",
            state(Left, INCARNATION),
            state(Alive, next),
            &["Joined"],
            Alive,
        ),
        (
            "still left",
            state(Left, INCARNATION),
            state(Alive, INCARNATION),
            &[],
            Left,
        ),
        (
            "drained",
            state(Alive, INCARNATION),
            drained(),
            &["TargetChanged"],
            Alive,
        ),
        (
            "drained while suspected",
            state(Suspect, INCARNATION),
            drained(),
            &["TargetChanged"],
            Suspect,
        ),
        (
            "replaced host",
            state(Alive, INCARNATION),
            moved(Alive),
            &["Joined"],
            Alive,
        ),
        (
            "replaced dead host",
            state(Left, INCARNATION),
            moved(Alive),
            &["Joined"],
            Alive,
        ),
        (
            "stale record of a replaced host",
            moved(Alive),
            state(Alive, INCARNATION),
            &[],
            Alive,
        ),
    ];
    for (name, first, second, expected, state) in rows {
        let mut member = member();
        receive_records(&mut member, 0, std::slice::from_ref(&first));
        let events = events(&receive_records(
            &mut member,
            1,
            std::slice::from_ref(&second),
        ));
        let names: Vec<String> = events.iter().map(|e| format!("{e:?}")).collect();
        let names: Vec<&str> = names.iter().filter_map(|n| n.split(' ').next()).collect();
        let row = || name.to_string();
        verify_that!(names, eq(expected)).with_failure_message(row)?;
        let known = member.get("peer").expect("a member").clone();
        verify_that!(known.state, eq(state)).with_failure_message(row)?;
        let newer = first.incarnation.max(second.incarnation);
        verify_that!(known.incarnation, eq(newer)).with_failure_message(row)?;
        let draining = second.target != first.target;
        verify_that!(known.target.map(|t| t.draining), eq(Some(draining)))
            .with_failure_message(row)?;
    }
    Ok(())
}

/// Guards against a node that does not refute its own death, and against an old host and
/// its replacement that refute each other without end.
#[gtest]
fn node_refutes_wrong_records_about_itself() -> Result<()> {
    use MemberState::{Alive, Dead, Suspect};
    type Row = (&'static str, usize, u64, MemberState, u64);
    let rows: [Row; 7] = [
        ("suspected", 0, INCARNATION, Suspect, INCARNATION + 1),
        ("dead", 0, INCARNATION, Dead, INCARNATION + 1),
        (
            "earlier incarnation, clock set back",
            0,
            INCARNATION + 50,
            Alive,
            INCARNATION + 51,
        ),
        (
            "earlier incarnation elsewhere is dead",
            5,
            INCARNATION + 50,
            Dead,
            INCARNATION + 51,
        ),
        (
            "replaced by a live host",
            5,
            INCARNATION + 50,
            Alive,
            INCARNATION,
        ),
        (
            "replaced by a suspected host",
            5,
            INCARNATION + 50,
            Suspect,
            INCARNATION,
        ),
        (
            "same incarnation elsewhere",
            5,
            INCARNATION,
            Alive,
            INCARNATION + 1,
        ),
    ];
    for (name, host, incarnation, state, expected) in rows {
        let mut member = member();
        let reported = MemberRecord {
            state,
            ..record("local", host, incarnation)
        };
        receive_records(&mut member, 0, &[peer(), reported.clone(), reported]);
        let local = member.local();
        let row = || name.to_string();
        verify_that!(local.state, eq(Alive)).with_failure_message(row)?;
        verify_that!(local.incarnation, eq(Incarnation(expected))).with_failure_message(row)?;
        let refuted = u64::from(expected > INCARNATION);
        verify_that!(member.counters().refutations, eq(refuted)).with_failure_message(row)?;
        let pushed = sent_messages(&member.tick(at(100), &mut rng()));
        let has_local_record =
            |(_, m): &(_, Message)| m.records().iter().any(|r| r.name == member.local().name);
        verify_that!(pushed.iter().any(has_local_record), eq(true)).with_failure_message(row)?;
    }
    Ok(())
}

/// Guards against a node whose peers learn late that it stops, and against a stopped node
/// that still answers.
#[gtest]
fn leaving_node_notifies_several_peers_immediately() {
    let mut member = member();
    let peers: Vec<MemberRecord> = (1..20)
        .map(|i| record(&format!("p{i}"), i, INCARNATION))
        .collect();
    receive_records(&mut member, 0, &peers);
    let notices = sent_messages(&member.leave(at(1), &mut rng()));
    expect_that!(notices.len(), ge(4));
    for (_, message) in &notices {
        let announced = &message.records()[0];
        expect_that!(announced.state, eq(MemberState::Leaving));
        expect_that!(
            announced.target.as_ref().map(|t| t.draining),
            some(eq(true))
        );
    }
    let target = record("local", 0, INCARNATION).target;
    member.set_target(target);
    expect_that!(
        member.local().target.as_ref().map(|t| t.draining),
        some(eq(true))
    );
    expect_that!(member.leave(at(2), &mut rng()), is_empty());
    expect_that!(
        sent_messages(&member.depart(at(3), &mut rng())).len(),
        ge(4)
    );
    expect_that!(member.tick(at(100), &mut rng()), is_empty());
    expect_that!(
        receive_records(&mut member, 101, &[record("new", 50, INCARNATION)]),
        is_empty()
    );
}

/// Guards against changes that cross to other data centres more often than needed. Every member that
/// learns of a change passes it on, so that a few copies per member suffice.
#[gtest]
fn changes_spread_mostly_within_the_data_centre() {
    let mut member = member();
    let peers: Vec<MemberRecord> = (1..60)
        .map(|i| record(&format!("p{i}"), i, INCARNATION))
        .collect();
    for peers in peers.chunks(8) {
        receive_records(&mut member, 0, peers);
    }
    let local = member.local().data_centre.clone();
    let is_remote = |to: &SocketAddr| {
        let receiver = peers.iter().find(|peer| peer.udp_addr() == *to);
        receiver.is_some_and(|peer| peer.data_centre != local)
    };
    let mut remote_pings = 0;
    for ms in (100..30_000).step_by(100) {
        for (to, message) in sent_messages(&member.tick(at(ms), &mut rng())) {
            if matches!(message, Message::Ping { .. }) && is_remote(&to) {
                remote_pings += 1;
                expect_that!(message.records().len(), le(6));
            }
        }
    }
    expect_that!(remote_pings, ge(10));
    let notices = sent_messages(&member.leave(at(30_000), &mut rng()));
    expect_that!(notices.len(), eq(8));
    let remote = notices.iter().filter(|(to, _)| is_remote(to)).count();
    expect_that!(remote, eq(2));
}

fn progress(era: u64, offset: u64, routes: Option<u64>) -> Progress {
    Progress {
        read_to: Position { era, offset },
        routes,
    }
}

/// Guards against a configuration version that is missed or that decreases, also after the store was
/// restored and its offsets started again.
#[gtest]
fn peer_that_has_read_further_is_reported() {
    let mut member = member();
    let own = progress(2, 40, Some(7));
    member.set_config(100_001, own);
    member.set_config(90_000, progress(2, 30, Some(6)));
    expect_that!(member.local().config_version, eq(100_001));
    let rows = [
        (progress(2, 39, Some(7)), false),
        (progress(2, 40, Some(7)), false),
        (progress(2, 41, Some(7)), true),
        (progress(2, 41, None), true),
        (progress(1, 90, Some(7)), false),
        (progress(1, 90, Some(8)), true),
        (progress(3, 1, Some(6)), true),
    ];
    for (progress, ahead) in rows {
        let from = NodeName::from("peer");
        let ping = Message::Ping {
            seq: 5,
            from,
            to: None,
            progress,
            records: vec![peer()],
        };
        let actions = member.receive(at(1), addr(1), &ping, &mut rng());
        let name = NodeName::from("peer");
        let event = MemberEvent::PeerAhead { name, progress };
        expect_that!(events(&actions).contains(&event), eq(ahead));
        let acks = sent_messages(&actions);
        expect_that!(acks.len(), eq(1));
        let Message::Ack { seq, progress, .. } = &acks[0].1 else {
            panic!("not an Ack: {:?}", acks[0].1);
        };
        expect_that!((*seq, *progress), eq((5, own)));
    }
}

/// Guards against suspicions that expire because this process was paused.
#[gtest]
fn pause_extends_pending_deadlines() {
    let mut member = member();
    receive_records(
        &mut member,
        0,
        &[peer_with(|r| r.state = MemberState::Suspect)],
    );
    let rows = [
        (0..2_000, MemberState::Suspect),
        (62_000..64_000, MemberState::Suspect),
        (64_000..66_000, MemberState::Dead),
    ];
    for (time, expected) in rows {
        time.step_by(100).for_each(|ms| {
            member.tick(at(ms), &mut rng());
        });
        expect_that!(member.get("peer").expect("a member").state, eq(expected));
    }
    expect_that!(member.counters().pauses, eq(1));
}

/// Guards against a replacement host that is suspected because its predecessor did not
/// answer a probe.
#[gtest]
fn failed_probe_affects_only_the_probed_incarnation() {
    for (replaced, expected) in [(false, MemberState::Suspect), (true, MemberState::Alive)] {
        let mut member = member();
        receive_records(&mut member, 0, &[peer()]);
        member.tick(at(0), &mut rng());
        if replaced {
            receive_records(&mut member, 500, &[peer_with(|r| r.incarnation.0 += 1)]);
        }
        (100..=1_000).step_by(100).for_each(|ms| {
            member.tick(at(ms), &mut rng());
        });
        expect_that!(member.get("peer").expect("a member").state, eq(expected));
    }
}

/// Guards against a live member that is declared dead because its refutation is late: it
/// is probed a last time, and its answer ends the suspicion.
#[gtest]
fn suspected_member_is_probed_before_it_is_declared_dead() {
    for (answers, expected) in [(true, MemberState::Alive), (false, MemberState::Dead)] {
        let suspect = peer_with(|r| r.state = MemberState::Suspect);
        let mut member = member();
        receive_records(&mut member, 0, std::slice::from_ref(&suspect));
        let (mut last, mut rng) = (None, rng());
        for ms in (0..5_100).step_by(100) {
            for (_, message) in sent_messages(&member.tick(at(ms), &mut rng)) {
                let carries_suspicion = message.records().contains(&suspect);
                if let Message::Ping {
                    seq, to: Some(_), ..
                } = message
                    && carries_suspicion
                {
                    last = Some((ms, seq));
                }
            }
            if let Some((4_000.., seq)) = last.take_if(|_| answers && ms >= 4_100) {
                let (from, records) = (
                    suspect.name.clone(),
                    vec![peer_with(|r| r.incarnation.0 += 1)],
                );
                let ack = Message::Ack {
                    seq,
                    from,
                    progress: Progress::default(),
                    records,
                };
                member.receive(at(ms), addr(1), &ack, &mut rng);
            }
        }
        expect_that!(member.get("peer").expect("a member").state, eq(expected));
    }
}

/// Guards against dead members that are never probed again or never purged.
#[gtest]
fn dead_members_are_probed_and_finally_purged() {
    let mut member = member();
    receive_records(
        &mut member,
        0,
        &[peer_with(|r| r.state = MemberState::Suspect)],
    );
    let hour = 3_600 * 1_000;
    let (mut tries, mut rng) = (0, rng());
    for ms in (0..6 * hour - 1_000).step_by(500) {
        let pings = sent_messages(&member.tick(at(ms), &mut rng));
        tries += pings.iter().filter(|(to, _)| *to == addr(1)).count();
    }
    expect_that!(tries, all!(ge(60), le(6 * 360 * 2)));
    expect_that!(member.get("peer"), some(anything()));
    member.tick(at(6 * hour + 60_000), &mut rng);
    expect_that!(member.get("peer"), none());
}

/// Guards against a leaving member that is reported as dead instead of left.
#[gtest]
fn leaving_member_that_stops_is_reported_as_left() {
    let mut member = member();
    receive_records(
        &mut member,
        0,
        &[peer_with(|r| r.state = MemberState::Leaving)],
    );
    let mut seen = Vec::new();
    for ms in (0..9_000).step_by(100) {
        seen.extend(events(&member.tick(at(ms), &mut rng())));
    }
    let name = NodeName::from("peer");
    expect_that!(seen.contains(&MemberEvent::Left { name }), eq(true));
}

/// Guards against a name that goes back to the address of a replaced host, which happens
/// if that host was frozen and resumes.
#[gtest]
fn resumed_old_host_does_not_reclaim_its_name() {
    let mut sim = Sim::new(91, Network::default(), MemberSettings::default());
    sim.start_fleet(8);
    sim.run_ms(10_000);
    sim.freeze(6);
    sim.run_ms(15_000);
    let new = sim.start("node-0006.fleet");
    sim.run_ms(15_000);
    sim.resume(6);
    sim.run_ms(60_000);
    let ip = addr(new).ip();
    for i in sim.running().filter(|&i| i != 6) {
        let known = sim.nodes[i]
            .member
            .get("node-0006.fleet")
            .expect("a member");
        expect_that!(known.ip, eq(ip));
        expect_that!(known.state, eq(MemberState::Alive));
    }
}

/// Returns the roles of those of ten members of a data centre that read the store at `ms`, in
/// ascending order of their read waits, after each has heard of the others at `received_ms`. The reads
/// of the members in `failing` fail.
fn readers(ms: u64, received_ms: u64, failing: &[usize]) -> Vec<(usize, ConfigReader)> {
    // Every fourth host of the fixture is in the same data centre.
    let member_record = |i: usize| MemberRecord {
        store_reads_fail: failing.contains(&i),
        ..record(&format!("m{i}"), i * 4, INCARNATION)
    };
    let reader = |local: usize| {
        let settings = MemberSettings::default();
        let mut member = Membership::new(settings, member_record(local), &[addr(9)], at(0));
        let records: Vec<_> = (0..10).filter(|i| *i != local).map(member_record).collect();
        for records in records.chunks(3) {
            receive_records(&mut member, received_ms, records);
        }
        Some((local, member.config_reader(at(ms))?))
    };
    let mut readers: Vec<_> = (0..10).filter_map(reader).collect();
    readers.sort_by_key(|(_, reader)| reader.read_wait_ms);
    readers
}

fn read_waits_ms(ms: u64, received_ms: u64, failing: &[usize]) -> Vec<(usize, u64)> {
    let readers = readers(ms, received_ms, failing).into_iter();
    readers
        .map(|(i, reader)| (i, reader.read_wait_ms))
        .collect()
}

/// Guards against a configuration that is in force too late because the store refuses the regular readers
/// after an outage, and the members that stand in for them wait long after their failed reads; and against
/// a large fleet that calls a store which is away at the rate of the regular readers.
#[gtest]
fn first_stand_ins_repeat_failed_reads_soon() {
    let all: Vec<usize> = (0..10).collect();
    let mut delays: Vec<u64> = readers(500, 400, &all)
        .into_iter()
        .map(|(_, reader)| reader.retry_delay_ms)
        .collect();
    delays.sort_unstable();
    let expected = [
        200, 200, 200, 1_000, 1_000, 1_000, 4_000, 4_000, 4_000, 4_000,
    ];
    expect_that!(delays, eq(&expected.to_vec()));
}

/// Guards against a call to the store by every member of a large fleet for each change, and
/// against a member that is isolated from the others and learns of no change.
#[gtest]
fn only_few_members_of_a_data_centre_read_the_store() {
    let waits = |ms| {
        let waits = read_waits_ms(ms, 400, &[]);
        waits.into_iter().map(|(_, ms)| ms).collect::<Vec<_>>()
    };
    expect_that!(waits(500), eq(&vec![1_000, 2_000, 4_000]));
    expect_that!(waits(3_000), eq(&vec![1_000; 10]));
}

/// Guards against a data centre without readers while the store refuses those of the lowest rank.
#[gtest]
fn members_stand_in_for_readers_whose_reads_fail() {
    let readers = |failing: &[usize]| {
        let waits = read_waits_ms(500, 400, failing);
        waits.into_iter().map(|(i, _)| i).collect::<Vec<_>>()
    };
    let regular = readers(&[]);
    let with_stand_ins = readers(&regular);
    let working = with_stand_ins.iter().filter(|i| !regular.contains(i));
    expect_that!(working.count(), eq(3));
    // The members whose reads fail go on trying, so that they take over again.
    expect_that!(with_stand_ins.len(), eq(6));
    expect_that!(readers(&(0..10).collect::<Vec<_>>()).len(), eq(10));
}
