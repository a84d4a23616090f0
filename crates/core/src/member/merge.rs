//! Validation and merging of member records, and the events of a change.

use super::{MAX_MEMBER_RECORD_BYTES, MemberEvent, MemberRecord, MemberState};
use crate::ids::Incarnation;

/// Largest accepted advance of an incarnation over the known ones.
///
/// A member refutes by raising its incarnation, which a value near the end of the range
/// would prevent. The limit is 142 years in microseconds, so that a node whose clock
/// starts in 1970 and the other members accept each other's records.
const MAX_INCARNATION_ADVANCE: u64 = 1 << 52;

/// Why a record is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordFault {
    /// The address is unspecified, multicast or broadcast, or a port is zero.
    Address,
    /// The incarnation is too far above the known ones.
    Incarnation,
    /// The encoding is too long for a message.
    Size,
}

/// Checks the address, the incarnation and the size of a record. `known` is the greater
/// of the local incarnation and the known incarnation of the member.
pub(super) fn validate(record: &MemberRecord, known: Incarnation) -> Result<(), RecordFault> {
    if !has_usable_address(record) {
        return Err(RecordFault::Address);
    }
    if record.incarnation.0 > known.0.saturating_add(MAX_INCARNATION_ADVANCE) {
        return Err(RecordFault::Incarnation);
    }
    if record.encoded_len() > MAX_MEMBER_RECORD_BYTES {
        return Err(RecordFault::Size);
    }
    Ok(())
}

fn has_usable_address(record: &MemberRecord) -> bool {
    let broadcast = match record.ip {
        std::net::IpAddr::V4(ip) => ip.is_broadcast(),
        std::net::IpAddr::V6(_) => false,
    };
    let ports = record.tcp_port != 0 && record.udp_port != 0;
    ports && !broadcast && !record.ip.is_unspecified() && !record.ip.is_multicast()
}

/// Merges two records of one member.
///
/// The merge is commutative, associative and idempotent, so the order and number of
/// deliveries do not matter. The higher incarnation wins. Within an incarnation, the
/// result has the greater state, the content of the higher revision, and the greater
/// configuration version, because only the member itself writes the content, but other
/// members write the state.
pub(super) fn merge_records(known: &MemberRecord, received: &MemberRecord) -> MemberRecord {
    if known.incarnation != received.incarnation {
        let newer = received.incarnation > known.incarnation;
        return if newer { received } else { known }.clone();
    }
    let newer = received.revision > known.revision;
    let content = if newer { received } else { known };
    MemberRecord {
        state: known.state.max(received.state),
        config_version: known.config_version.max(received.config_version),
        ..content.clone()
    }
}

/// Returns the events of a change from `old` to `new`.
pub(super) fn change_events(old: Option<&MemberRecord>, new: &MemberRecord) -> Vec<MemberEvent> {
    let name = || new.name.clone();
    let old_state = old.map(|r| r.state).filter(|s| !s.is_terminal());
    let mut events = Vec::new();
    let present = old.filter(|r| !r.state.is_terminal());
    let moved = present.is_none_or(|r| r.ip != new.ip || r.udp_port != new.udp_port);
    if !new.state.is_terminal() && moved {
        events.push(MemberEvent::Joined { name: name() });
    } else if old_state == Some(MemberState::Suspect) && new.state < MemberState::Suspect {
        events.push(MemberEvent::Refuted { name: name() });
    }
    let changed = old_state != Some(new.state);
    match new.state {
        MemberState::Leaving if changed => events.push(MemberEvent::Leaving { name: name() }),
        MemberState::Suspect if changed => events.push(MemberEvent::Suspected { name: name() }),
        MemberState::Dead if present.is_some() => events.push(MemberEvent::Died { name: name() }),
        MemberState::Left if present.is_some() => events.push(MemberEvent::Left { name: name() }),
        _ => {}
    }
    if !new.state.is_terminal() && present.is_some_and(|r| r.target != new.target) {
        events.push(MemberEvent::TargetChanged { name: name() });
    }
    events
}

/// Returns whether a change must be disseminated. A change of only the configuration
/// version is not: it spreads with records that are sent anyway.
pub(super) fn needs_dissemination(old: Option<&MemberRecord>, new: &MemberRecord) -> bool {
    old.is_none_or(|old| {
        (old.incarnation, old.revision, old.state) != (new.incarnation, new.revision, new.state)
    })
}
