//! Table of the other members' records and the digest over them.

use std::net::SocketAddr;

use rand::{Rng, RngExt, seq::IteratorRandom};

use super::{
    MemberRecord, MemberState,
    digest::{self, TableDigest},
};
use crate::{collections::HashMap, ids::NodeName, time::Instant};

/// Table entry of one other member.
pub(super) struct MemberEntry {
    /// The record, merged from all received ones.
    pub(super) record: MemberRecord,
    /// When the suspicion expires; `Some` if and only if the state is `Suspect`.
    pub(super) suspect_until: Option<Instant>,
    /// Whether the last probe before the expiry of the suspicion was sent.
    pub(super) last_probe_sent: bool,
    /// When this node learned of the terminal state; `Some` if and only if the state is
    /// terminal.
    pub(super) terminal_since: Option<Instant>,
    /// Whether the member was seen as `Leaving` in this incarnation.
    pub(super) was_leaving: bool,
    /// Bucket of the name in the digest.
    pub(super) bucket: usize,
    /// Earliest time of the next verification probe of a dead member that a peer reports
    /// as alive.
    pub(super) next_verification_at: Instant,
}

impl MemberEntry {
    /// Returns the record with the state that follows the expiry of a suspicion.
    pub(super) fn expired_record(&self) -> MemberRecord {
        let state = match self.was_leaving {
            true => MemberState::Left,
            false => MemberState::Dead,
        };
        MemberRecord {
            state,
            ..self.record.clone()
        }
    }
}

/// Records of the other members, indexed by name.
#[derive(Default)]
pub(super) struct MemberTable {
    /// Entries in no particular order.
    entries: Vec<MemberEntry>,
    /// Index of each name in `entries`.
    index: HashMap<NodeName, usize>,
    /// Digest over the entries that are not terminal.
    digest: TableDigest,
    /// Index in `entries` from which the next unchanged record for a probe is searched.
    cursor: usize,
}

impl MemberTable {
    /// Returns the number of members, terminal ones included.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the entry of a member.
    pub(super) fn get(&self, name: &str) -> Option<&MemberEntry> {
        self.index.get(name).map(|&at| &self.entries[at])
    }

    /// Returns the entry of a member for modification. Callers must not change fields that
    /// the digest covers.
    pub(super) fn get_mut(&mut self, name: &str) -> Option<&mut MemberEntry> {
        self.index.get(name).map(|&at| &mut self.entries[at])
    }

    /// Returns all entries.
    pub(super) fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.iter()
    }

    /// Returns all entries for modification. Callers must not change fields that the digest
    /// covers.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut MemberEntry> {
        self.entries.iter_mut()
    }

    /// Returns the digest over the members that are not terminal.
    pub(super) fn digest(&self) -> &TableDigest {
        &self.digest
    }

    /// Stores a record. `suspect_until` is used if the record's state is `Suspect`.
    pub(super) fn put(&mut self, record: MemberRecord, now: Instant, suspect_until: Instant) {
        digest::toggle_record(&mut self.digest, &record);
        let is_suspect = record.state == MemberState::Suspect;
        let is_leaving = record.state == MemberState::Leaving;
        let is_terminal = record.state.is_terminal();
        let Some(&at) = self.index.get(&record.name) else {
            self.index.insert(record.name.clone(), self.entries.len());
            self.entries.push(MemberEntry {
                suspect_until: is_suspect.then_some(suspect_until),
                last_probe_sent: false,
                terminal_since: is_terminal.then_some(now),
                was_leaving: is_leaving,
                bucket: digest::bucket_of(record.name.as_str()),
                next_verification_at: now,
                record,
            });
            return;
        };
        let entry = &mut self.entries[at];
        digest::toggle_record(&mut self.digest, &entry.record);
        let same_incarnation = entry.record.incarnation == record.incarnation;
        entry.was_leaving = is_leaving || (same_incarnation && entry.was_leaving);
        entry.suspect_until = match entry.suspect_until {
            Some(until) if is_suspect && same_incarnation => Some(until),
            _ => is_suspect.then_some(suspect_until),
        };
        entry.last_probe_sent = entry.last_probe_sent && is_suspect && same_incarnation;
        entry.terminal_since = is_terminal.then(|| entry.terminal_since.unwrap_or(now));
        entry.record = record;
    }

    /// Removes the entry at an index.
    fn remove(&mut self, at: usize) {
        let entry = self.entries.swap_remove(at);
        self.index.remove(&entry.record.name);
        digest::toggle_record(&mut self.digest, &entry.record);
        if let Some(moved) = self.entries.get(at) {
            self.index.insert(moved.record.name.clone(), at);
        }
    }

    /// Removes the members that have been terminal for at least `retention_ms`, and
    /// returns their number.
    pub(super) fn purge(&mut self, now: Instant, retention_ms: u64) -> usize {
        let before = self.entries.len();
        let due = |t: Instant| t.saturating_add_millis(retention_ms) <= now;
        for at in (0..before).rev() {
            if self.entries[at].terminal_since.is_some_and(due) {
                self.remove(at);
            }
        }
        before - self.entries.len()
    }

    /// Removes the member that has been terminal for longest, and returns whether there
    /// was one.
    pub(super) fn evict_oldest_terminal(&mut self) -> bool {
        let terminal = |(at, entry): (usize, &MemberEntry)| entry.terminal_since.map(|t| (t, at));
        let oldest = self.entries.iter().enumerate().filter_map(terminal).min();
        oldest.inspect(|&(_, at)| self.remove(at)).is_some()
    }

    /// Returns up to `n` distinct random records that satisfy `accept`.
    pub(super) fn sample(
        &self,
        n: usize,
        rng: &mut dyn Rng,
        accept: impl Fn(&MemberRecord) -> bool,
    ) -> Vec<&MemberRecord> {
        let records = self.entries.iter().map(|entry| &entry.record);
        records.filter(|r| accept(r)).sample(rng, n)
    }

    /// Returns the next record that is not terminal, in rotation.
    pub(super) fn next_in_rotation(&mut self) -> Option<&MemberRecord> {
        for _ in 0..self.entries.len() {
            self.cursor = (self.cursor + 1) % self.entries.len();
            if !self.entries[self.cursor].record.state.is_terminal() {
                return Some(&self.entries[self.cursor].record);
            }
        }
        None
    }

    /// Moves the rotation to a random entry, so that nodes with equal tables do not send
    /// the same records.
    pub(super) fn randomize_rotation(&mut self, rng: &mut dyn Rng) {
        self.cursor = rng.random_range(0..self.entries.len().max(1));
    }

    /// Returns whether a member that is not terminal has the UDP address.
    pub(super) fn has_addr(&self, addr: SocketAddr) -> bool {
        let matches =
            |entry: &MemberEntry| entry.terminal_since.is_none() && entry.record.udp_addr() == addr;
        self.entries.iter().any(matches)
    }
}
