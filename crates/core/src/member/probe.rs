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
const MAX_CHECKS: usize = 256;

/// Relayed probes that may be open at once.
const MAX_RELAYS: usize = 64;

/// Who is probed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Subject {
    /// A member in one life; it is suspected if no one gets an answer from it. A
    /// higher incarnation that appears meanwhile is not: a replaced host would be
    /// suspected because its predecessor does not answer.
    Member(NodeName, Incarnation),
    /// A suspected or dead member that may be back; nothing follows from silence.
    Silent(NodeName),
    /// An address from the settings.
    Contact,
}

/// A probe that waits for an answer.
pub(super) struct Probe {
    /// Sequence number of the ping and of the requests for indirect probes.
    pub(super) seq: u32,
    /// Who is probed.
    pub(super) subject: Subject,
    /// When the probe was sent.
    pub(super) sent_at: Instant,
    /// When the direct time is over and other means are tried; `None` once it was.
    pub(super) indirect_at: Option<Instant>,
    /// When the probe has failed.
    pub(super) fails_at: Instant,
}

/// A probe on behalf of another member.
pub(super) struct Relay {
    /// Sequence number of the ping.
    pub(super) seq: u32,
    /// Who is probed.
    pub(super) subject: NodeName,
    /// Who asked.
    pub(super) requester: SocketAddr,
    /// Sequence number of the request.
    pub(super) request_seq: u32,
    /// When the relay is given up.
    pub(super) fails_at: Instant,
}

/// A member to be probed on hearsay, and the record that it should refute.
pub(super) struct Check {
    /// Who is to be probed.
    pub(super) name: NodeName,
    /// What was said about the member.
    pub(super) claim: MemberRecord,
}

/// Open probes and the order of the next ones.
#[derive(Default)]
pub(super) struct Probes {
    open: Vec<Probe>,
    relays: Vec<Relay>,
    checks: VecDeque<Check>,
    /// Shuffled members of the current round; the last one is next. A round visits
    /// every member once, which bounds the time until a member is probed.
    round: Vec<NodeName>,
}

impl Probes {
    /// Adds an open probe.
    pub(super) fn open(&mut self, probe: Probe) {
        self.open.push(probe);
    }

    /// Closes the probe that the answer of `from` matches, and returns it.
    pub(super) fn close(&mut self, seq: u32, from: &NodeName) -> Option<Probe> {
        let matches = |p: &Probe| {
            p.seq == seq
                && match &p.subject {
                    Subject::Member(name, _) | Subject::Silent(name) => name == from,
                    Subject::Contact => true,
                }
        };
        let at = self.open.iter().position(matches)?;
        Some(self.open.swap_remove(at))
    }

    /// Returns the probes whose direct time is over, and marks them.
    pub(super) fn take_indirect(&mut self, now: Instant) -> Vec<(u32, Subject)> {
        let mut due = Vec::new();
        for probe in &mut self.open {
            if probe.indirect_at.is_some_and(|t| t <= now) {
                probe.indirect_at = None;
                due.push((probe.seq, probe.subject.clone()));
            }
        }
        due
    }

    /// Returns the probes that have failed and forgets them.
    pub(super) fn take_failed(&mut self, now: Instant) -> Vec<Probe> {
        self.relays.retain(|r| r.fails_at > now);
        self.open.extract_if(.., |p| p.fails_at <= now).collect()
    }

    /// Returns whether the member is being probed.
    pub(super) fn is_open(&self, name: &NodeName) -> bool {
        let same = |p: &Probe| matches!(&p.subject, Subject::Member(n, _) | Subject::Silent(n) if n == name);
        self.open.iter().any(same)
    }

    /// Adds a relay; returns whether there was room.
    pub(super) fn open_relay(&mut self, relay: Relay) -> bool {
        let room = self.relays.len() < MAX_RELAYS;
        if room {
            self.relays.push(relay);
        }
        room
    }

    /// Closes the relay that the answer of `from` matches, and returns it.
    pub(super) fn close_relay(&mut self, seq: u32, from: &NodeName) -> Option<Relay> {
        let matches = |r: &Relay| r.seq == seq && r.subject == *from;
        let at = self.relays.iter().position(matches)?;
        Some(self.relays.swap_remove(at))
    }

    /// Notes that a member should be probed because of what others say about it.
    pub(super) fn check(&mut self, claim: &MemberRecord) {
        let known = self.checks.iter().any(|c| c.name == claim.name);
        if !known && self.checks.len() < MAX_CHECKS {
            let (name, claim) = (claim.name.clone(), claim.clone());
            self.checks.push_back(Check { name, claim });
        }
    }

    /// Returns the next member to be probed on hearsay.
    pub(super) fn next_check(&mut self) -> Option<Check> {
        self.checks.pop_front()
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
    pub(super) fn insert(&mut self, name: NodeName, rng: &mut dyn Rng) {
        let at = rng.random_range(0..=self.round.len());
        self.round.insert(at, name);
    }

    /// Moves all deadlines after a pause of this process.
    pub(super) fn extend(&mut self, micros: u64) {
        for probe in &mut self.open {
            probe.indirect_at = probe.indirect_at.map(|t| t.saturating_add_micros(micros));
            probe.fails_at = probe.fails_at.saturating_add_micros(micros);
        }
        for relay in &mut self.relays {
            relay.fails_at = relay.fails_at.saturating_add_micros(micros);
        }
    }
}
