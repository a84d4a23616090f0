//! Probes that wait for an answer, and the order of the next ones.

use std::{collections::VecDeque, net::SocketAddr};

use rand::{Rng, RngExt, seq::SliceRandom};

use super::MemberRecord;
use crate::{
    ids::{Incarnation, NodeName},
    time::Instant,
};

/// Probes on hearsay that wait to be sent. Above this the rest is left to the
/// regular probes.
const MAX_QUEUED_VERIFICATIONS: usize = 256;

/// Relayed probes that may be open at once.
const MAX_RELAYED_PROBES: usize = 64;

/// Who is probed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ProbeSubject {
    /// A member in one life; it is suspected if no one gets an answer from it. A
    /// higher incarnation that appears meanwhile is not: a replaced host would be
    /// suspected because its predecessor does not answer.
    Member(NodeName, Incarnation),
    /// A suspected or dead member that may be back; nothing follows from silence.
    Unresponsive(NodeName),
    /// An address from the settings.
    Contact,
}

/// A probe that waits for an answer.
pub(super) struct Probe {
    /// Sequence number of the ping and of the requests for indirect probes.
    pub(super) seq: u32,
    /// Who is probed.
    pub(super) subject: ProbeSubject,
    /// When the probe was sent.
    pub(super) sent_at: Instant,
    /// When the direct time is over and other means are tried; `None` once it was.
    pub(super) indirect_due_at: Option<Instant>,
    /// When the probe has failed.
    pub(super) expires_at: Instant,
}

/// A probe on behalf of another member.
pub(super) struct RelayedProbe {
    /// Sequence number of the ping.
    pub(super) seq: u32,
    /// Who is probed.
    pub(super) subject: NodeName,
    /// Who asked.
    pub(super) requester: SocketAddr,
    /// Sequence number of the request.
    pub(super) request_seq: u32,
    /// When the relay is given up.
    pub(super) expires_at: Instant,
}

/// A member to be probed on hearsay, and the record that it should refute.
pub(super) struct Verification {
    /// Who is to be probed.
    pub(super) name: NodeName,
    /// What was said about the member.
    pub(super) reported: MemberRecord,
}

/// Open probes and the order of the next ones.
#[derive(Default)]
pub(super) struct Probes {
    pending: Vec<Probe>,
    relayed: Vec<RelayedProbe>,
    verifications: VecDeque<Verification>,
    /// Shuffled members of the current round; the last one is next. A round visits
    /// every member once, which bounds the time until a member is probed.
    round: Vec<NodeName>,
}

impl Probes {
    /// Adds an open probe.
    pub(super) fn add_pending(&mut self, probe: Probe) {
        self.pending.push(probe);
    }

    /// Closes the probe that the answer of `from` matches, and returns it.
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

    /// Returns the probes whose direct time is over, and marks them.
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

    /// Returns the probes that have failed and forgets them.
    pub(super) fn take_expired(&mut self, now: Instant) -> Vec<Probe> {
        self.relayed.retain(|r| r.expires_at > now);
        self.pending
            .extract_if(.., |p| p.expires_at <= now)
            .collect()
    }

    /// Returns whether the member is being probed.
    pub(super) fn is_pending(&self, name: &NodeName) -> bool {
        let same = |p: &Probe| matches!(&p.subject, ProbeSubject::Member(n, _) | ProbeSubject::Unresponsive(n) if n == name);
        self.pending.iter().any(same)
    }

    /// Adds a relay; returns whether there was room.
    pub(super) fn add_relayed(&mut self, relay: RelayedProbe) -> bool {
        let room = self.relayed.len() < MAX_RELAYED_PROBES;
        if room {
            self.relayed.push(relay);
        }
        room
    }

    /// Closes the relay that the answer of `from` matches, and returns it.
    pub(super) fn take_answered_relay(
        &mut self,
        seq: u32,
        from: &NodeName,
    ) -> Option<RelayedProbe> {
        let matches = |r: &RelayedProbe| r.seq == seq && r.subject == *from;
        let at = self.relayed.iter().position(matches)?;
        Some(self.relayed.swap_remove(at))
    }

    /// Notes that a member should be probed because of what others say about it.
    pub(super) fn queue_verification(&mut self, reported: &MemberRecord) {
        let known = self.verifications.iter().any(|v| v.name == reported.name);
        if !known && self.verifications.len() < MAX_QUEUED_VERIFICATIONS {
            let (name, reported) = (reported.name.clone(), reported.clone());
            self.verifications
                .push_back(Verification { name, reported });
        }
    }

    /// Returns the next member to be probed on hearsay.
    pub(super) fn next_verification(&mut self) -> Option<Verification> {
        self.verifications.pop_front()
    }

    /// Returns the next member of the round.
    pub(super) fn next_in_round(&mut self) -> Option<NodeName> {
        self.round.pop()
    }

    /// Starts a round.
    pub(super) fn start_round(&mut self, mut members: Vec<NodeName>, rng: &mut dyn Rng) {
        members.shuffle(rng);
        self.round = members;
    }

    /// Puts a new member into the round at a random place.
    pub(super) fn insert_in_round(&mut self, name: NodeName, rng: &mut dyn Rng) {
        let at = rng.random_range(0..=self.round.len());
        self.round.insert(at, name);
    }

    /// Moves all deadlines after a pause of this process.
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
