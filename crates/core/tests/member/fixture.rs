//! Helpers for tests of a single member.

use std::net::SocketAddr;

use plantainpost_core::{
    member::{Action, MemberEvent, MemberRecord, MemberSettings, Membership, Message},
    time::Instant,
};
use rand::{SeedableRng, rngs::StdRng};

use crate::sim::{addr, record};

/// Incarnation of the records that the tests make.
pub(crate) const INCARNATION: u64 = 1_000_000;

pub(crate) fn at(ms: u64) -> Instant {
    Instant::from_millis(60_000 + ms)
}

pub(crate) fn rng() -> StdRng {
    StdRng::seed_from_u64(7)
}

/// Returns a member named `local` at host 0.
pub(crate) fn member() -> Membership {
    let local = record("local", 0, INCARNATION);
    Membership::new(MemberSettings::default(), local, &[addr(9)], at(0))
}

pub(crate) fn records_message(records: &[MemberRecord]) -> Message {
    let records = records.to_vec();
    Message::Records { seq: 0, records }
}

pub(crate) fn receive_records(
    member: &mut Membership,
    ms: u64,
    records: &[MemberRecord],
) -> Vec<Action> {
    member.receive(at(ms), addr(9), &records_message(records), &mut rng())
}

pub(crate) fn peer() -> MemberRecord {
    record("peer", 1, INCARNATION)
}

pub(crate) fn peer_with(change: impl FnOnce(&mut MemberRecord)) -> MemberRecord {
    let mut record = peer();
    change(&mut record);
    record
}

pub(crate) fn sent_messages(actions: &[Action]) -> Vec<(SocketAddr, Message)> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::Send { to, message } => Some((*to, message.clone())),
        Action::Event(_) => None,
    });
    sent.collect()
}

pub(crate) fn events(actions: &[Action]) -> Vec<MemberEvent> {
    let events = actions.iter().filter_map(|action| match action {
        Action::Send { .. } => None,
        Action::Event(event) => Some(event.clone()),
    });
    events.collect()
}

pub(crate) fn snapshot(member: &Membership) -> Vec<MemberRecord> {
    let mut records: Vec<MemberRecord> = member.members().cloned().collect();
    records.sort_by(|a, b| a.name.cmp(&b.name));
    records
}
