//! Pending probes and the order of the next ones.
//!
//! A verification probe is one that is sent out of turn because a peer reported a
//! state of the member that differs from the local one.

use std::{collections::VecDeque, net::SocketAddr};

use rand::{Rng, RngExt, seq::SliceRandom};

use super::MemberRecord;
use crate::{
    ids::{Incarnation, NodeName},
    time::Instant,
};

/// Limit of queued verification probes. Members above it are left to the regular
/// probes.
const MAX_QUEUED_VERIFICATIONS: usize = 256;

/// Limit of pending relayed probes.
const MAX_RELAYED_PROBES: usize = 64;

/// What a probe is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ProbeSubject {
    /// A member in one incarnation, which is suspected if the probe fails. A higher
    /// incarnation that appears meanwhile is not suspected; otherwise a replacement host
    /// would be suspected because its predecessor does not answer.
    Member(NodeName, Incarnation),
    /// A suspected or dead member that may have recovered. A failed probe has no effect.
    Unresponsive(NodeName),
    /// The address of a contact whose name is not known.
    Contact,
}

/// A probe that waits for an answer.
pub(super) struct Probe {
    /// Sequence number of the ping and of the requests for indirect probes.
    pub(super) seq: u32,
    /// What the probe was sent to.
    pub(super) subject: ProbeSubject,
    /// When the probe was sent.
    pub(super) sent_at: Instant,
    /// When the direct probe times out and indirect probes are sent; `None` once that
    /// is done.
    pub(super) indirect_due_at: Option<Instant>,
    /// When the probe fails.
    pub(super) expires_at: Instant,
}

/// A probe on behalf of another member.
pub(super) struct RelayedProbe {
    /// Sequence number of the ping.
    pub(super) seq: u32,
    /// Name of the probed member.
    pub(super) subject: NodeName,
    /// Address of the member that asked for the probe.
    pub(super) requester: SocketAddr,
    /// Sequence number of the `PingReq`.
    pub(super) request_seq: u32,
    /// When the relayed probe is dropped.
    pub(super) expires_at: Instant,
}

/// A queued verification probe.
pub(super) struct Verification {
    /// Name of the member to probe.
    pub(super) name: NodeName,
    /// The reported record, which the member should refute.
    pub(super) reported: MemberRecord,
}

/// Pending probes and the order of the next ones.
#[derive(Default)]
pub(super) struct Probes {
    pending: Vec<Probe>,
    relayed: Vec<RelayedProbe>,
    verifications: VecDeque<Verification>,
    /// Shuffled members left in the current round; the last one is next. A round probes
    /// every member once, which bounds the time until a member is probed.
    round: Vec<NodeName>,
}

impl Probes {
    /// Adds a probe that was sent.
    pub(super) fn add_pending(&mut self, probe: Probe) {
        self.pending.push(probe);
    }

    /// Removes and returns the probe that the answer of `from` matches.
    pub(super) fn take_answered(&mut self, seq: u32, from: &NodeName) -> Option<Probe> {
        let matches = |p: &Probe| {
            p.seq == seq
                && match &p.subject {
                    ProbeSubject::Member(name, _) | ProbeSubject::Unresponsive(name) => {
                        name == from
                    }
                    ProbeSubject::Contact => true,
                }
        };
        let at = self.pending.iter().position(matches)?;
        Some(self.pending.swap_remove(at))
    }

    /// Returns the probes whose direct probe has timed out. Each is returned once.
    pub(super) fn take_due_indirect(&mut self, now: Instant) -> Vec<(u32, ProbeSubject)> {
        let mut due = Vec::new();
        for probe in &mut self.pending {
            if probe.indirect_due_at.is_some_and(|t| t <= now) {
                probe.indirect_due_at = None;
                due.push((probe.seq, probe.subject.clone()));
            }
        }
        due
    }

    /// Removes and returns the probes that have failed, and drops the relayed ones that
    /// have expired.
    pub(super) fn take_expired(&mut self, now: Instant) -> Vec<Probe> {
        self.relayed.retain(|r| r.expires_at > now);
        self.pending
            .extract_if(.., |p| p.expires_at <= now)
            .collect()
    }

    /// Returns whether a probe of the member is pending.
    pub(super) fn is_pending(&self, name: &NodeName) -> bool {
        let same = |p: &Probe| matches!(&p.subject, ProbeSubject::Member(n, _) | ProbeSubject::Unresponsive(n) if n == name);
        self.pending.iter().any(same)
    }

    /// Adds a relayed probe unless the limit is reached, and returns whether it did.
    pub(super) fn add_relayed(&mut self, relay: RelayedProbe) -> bool {
        let room = self.relayed.len() < MAX_RELAYED_PROBES;
        if room {
            self.relayed.push(relay);
        }
        room
    }

    /// Removes and returns the relayed probe that the answer of `from` matches.
    pub(super) fn take_answered_relay(
        &mut self,
        seq: u32,
        from: &NodeName,
    ) -> Option<RelayedProbe> {
        let matches = |r: &RelayedProbe| r.seq == seq && r.subject == *from;
        let at = self.relayed.iter().position(matches)?;
        Some(self.relayed.swap_remove(at))
    }

    /// Queues a verification probe unless one of the member is queued already or the
    /// queue is full.
    pub(super) fn queue_verification(&mut self, reported: &MemberRecord) {
        let known = self.verifications.iter().any(|v| v.name == reported.name);
        if !known && self.verifications.len() < MAX_QUEUED_VERIFICATIONS {
            let (name, reported) = (reported.name.clone(), reported.clone());
            self.verifications
                .push_back(Verification { name, reported });
        }
    }

    /// Removes and returns the next verification probe.
    pub(super) fn next_verification(&mut self) -> Option<Verification> {
        self.verifications.pop_front()
    }

    /// Removes and returns the next member of the round, or `None` at its end.
    pub(super) fn next_in_round(&mut self) -> Option<NodeName> {
        self.round.pop()
    }

    /// Starts a round over `members` in random order.
    pub(super) fn start_round(&mut self, mut members: Vec<NodeName>, rng: &mut dyn Rng) {
        members.shuffle(rng);
        self.round = members;
    }

    /// Inserts a new member into the current round at a random position.
    pub(super) fn insert_in_round(&mut self, name: NodeName, rng: &mut dyn Rng) {
        let at = rng.random_range(0..=self.round.len());
        self.round.insert(at, name);
    }

    /// Extends all deadlines by the length of a pause of this process.
    pub(super) fn extend_deadlines(&mut self, micros: u64) {
        for probe in &mut self.pending {
            probe.indirect_due_at = probe
                .indirect_due_at
                .map(|t| t.saturating_add_micros(micros));
            probe.expires_at = probe.expires_at.saturating_add_micros(micros);
        }
        for relay in &mut self.relayed {
            relay.expires_at = relay.expires_at.saturating_add_micros(micros);
        }
    }
}
