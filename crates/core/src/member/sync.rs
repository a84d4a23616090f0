//! Comparison of tables between two members.

use std::net::SocketAddr;

use rand::RngExt;

use super::digest::{self, Digest};
use super::send::{StepContext, build_records_message, datagram_bytes};
use super::{BUCKETS, MemberRecord, Membership, Message};
use crate::time::Instant;

/// Time after which answers to a digest are no longer accepted.
const SYNC_OPEN_MS: u64 = 3_000;

/// Dead members are sent in a comparison for this time only. A member that missed a
/// death learns it so; after a long partition the dead of each side are found by
/// asking them instead.
const RECENT_DEATH_MS: u64 = 10 * 60 * 1_000;

/// A comparison that waits for answers.
struct OpenSync {
    seq: u32,
    to: SocketAddr,
    /// The digest that was sent.
    digest: Digest,
    until: Instant,
}

/// State of the comparison that this node started.
pub(super) struct Sync {
    /// When the next comparison starts.
    pub(super) next_at: Instant,
    /// The comparison that waits for answers.
    open: Option<OpenSync>,
}

impl Sync {
    pub(super) fn new(now: Instant) -> Self {
        let open = None;
        Sync { next_at: now, open }
    }

    /// Returns whether an answer belongs to the open comparison.
    pub(super) fn is_open(&self, seq: u32, from: SocketAddr) -> bool {
        let open = self.open.as_ref();
        open.is_some_and(|open| (open.seq, open.to) == (seq, from))
    }

    /// Closes the comparison when its time is over.
    fn expire(&mut self, now: Instant) {
        self.open = self.open.take().filter(|open| open.until > now);
    }

    /// Moves the end of the open comparison after a pause of this process.
    pub(super) fn extend(&mut self, micros: u64) {
        if let Some(open) = &mut self.open {
            open.until = open.until.saturating_add_micros(micros);
        }
    }
}

impl Membership {
    /// Starts a comparison with a random peer if one is due.
    pub(super) fn sync_next(&mut self, cx: &mut StepContext<'_>) {
        self.sync.expire(cx.now);
        if cx.now < self.sync.next_at {
            return;
        }
        let Some((_, to)) = self.random_peers(1, cx.rng).pop() else {
            return;
        };
        let seq = self.next_seq(cx.rng);
        let ms = self.jitter(self.settings.sync_every_ms, cx);
        self.sync.next_at = cx.now.saturating_add_millis(ms);
        let until = cx.now.saturating_add_millis(SYNC_OPEN_MS);
        let digest = self.own_digest();
        self.sync.open = Some(OpenSync {
            seq,
            to,
            digest,
            until,
        });
        let message = self.sync_message(seq, false);
        self.send(cx, to, message);
    }

    /// Brings the next comparison forward. Called when this table has just been found
    /// incomplete: other records are probably missing as well.
    pub(super) fn sync_soon(&mut self, cx: &mut StepContext<'_>) {
        let ms = self.jitter(self.settings.sync_again_ms, cx);
        let again = cx.now.saturating_add_millis(ms);
        self.sync.next_at = self.sync.next_at.min(again);
    }

    /// Returns a time between four and six fifths of `ms`, so that nodes started
    /// together do not act together.
    pub(super) fn jitter(&self, ms: u64, cx: &mut StepContext<'_>) -> u64 {
        let fifth = ms / 5;
        ms - fifth + cx.rng.random_range(0..=2 * fifth)
    }

    /// Answers a digest with the own records of the buckets that differ, and with
    /// the own digest.
    pub(super) fn answer_sync(
        &mut self,
        cx: &mut StepContext<'_>,
        to: SocketAddr,
        seq: u32,
        theirs: &Digest,
    ) {
        self.send_buckets(cx, to, seq, theirs);
        let message = self.sync_message(seq, true);
        self.send(cx, to, message);
    }

    /// Sends the peer what it lacks, and compares again soon if the tables differed.
    /// A node that has just learned records from one peer may lack others still.
    pub(super) fn finish_sync(
        &mut self,
        cx: &mut StepContext<'_>,
        to: SocketAddr,
        theirs: &Digest,
    ) {
        let open = self.sync.open.as_ref();
        if open.is_some_and(|open| open.digest == *theirs) {
            return;
        }
        self.sync_soon(cx);
        self.send_buckets(cx, to, 0, theirs);
    }

    fn own_digest(&self) -> Digest {
        digest::with(self.table.digest(), &self.local)
    }

    fn sync_message(&self, seq: u32, answer: bool) -> Message {
        Message::Sync {
            seq,
            answer,
            digest: self.own_digest(),
            records: Vec::new(),
        }
    }

    fn send_buckets(
        &mut self,
        cx: &mut StepContext<'_>,
        to: SocketAddr,
        seq: u32,
        theirs: &Digest,
    ) {
        let differing = digest::differing(&self.own_digest(), theirs);
        let start = cx.rng.random_range(0..BUCKETS);
        let records = self.bucket_records(cx.now, &differing, start);
        let mut rest = records.as_slice();
        for _ in 0..self.settings.sync_datagrams {
            let (message, taken) = build_records_message(seq, rest.iter());
            if taken == 0 {
                return;
            }
            if !self.sync_budget.allows(cx.now, datagram_bytes(&message)) {
                self.counters.deferred += 1;
                return;
            }
            self.sync_budget.spend(cx.now, datagram_bytes(&message));
            self.send(cx, to, message);
            rest = &rest[taken..];
        }
    }

    /// Returns the records of the buckets, from `start` on. The start is random, so
    /// that a table cut short by the limits is completed by the next comparisons.
    fn bucket_records(
        &self,
        now: Instant,
        differing: &[bool; BUCKETS],
        start: usize,
    ) -> Vec<MemberRecord> {
        let recent = |t: Instant| t.saturating_add_millis(RECENT_DEATH_MS) > now;
        let wanted = |bucket: usize| differing[bucket];
        let order = |bucket: usize| (bucket + BUCKETS - start) % BUCKETS;
        let local = digest::bucket(self.local.name.as_str());
        let mut records = Vec::new();
        if wanted(local) {
            records.push((order(local), &self.local));
        }
        let entries = self.table.iter();
        let entries = entries.filter(|e| wanted(e.bucket) && e.ended_at.is_none_or(recent));
        records.extend(entries.map(|e| (order(e.bucket), &e.record)));
        records.sort_by_key(|&(order, _)| order);
        records.into_iter().map(|(_, r)| r.clone()).collect()
    }
}
