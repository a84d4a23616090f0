//! Anti-entropy: two members compare digests of their tables and exchange the records of
//! the buckets that differ.

use std::net::SocketAddr;

use rand::RngExt;

use super::digest::{self, TableDigest};
use super::send::{StepContext, build_records_message, datagram_bytes};
use super::{DIGEST_BUCKETS, MemberRecord, Membership, Message};
use crate::time::Instant;

/// Time after which answers to a digest are rejected.
const SYNC_TIMEOUT_MS: u64 = 3_000;

/// Time after their death for which dead members are included in a sync, so that a peer
/// that missed a death learns of it. After a long partition, each side probes the members
/// that it considers dead instead.
const RECENT_DEATH_MS: u64 = 10 * 60 * 1_000;

/// A sync that waits for answers.
struct PendingSync {
    seq: u32,
    to: SocketAddr,
    /// The digest that was sent.
    digest: TableDigest,
    expires_at: Instant,
}

/// State of the syncs that this node starts.
pub(super) struct SyncState {
    /// When the next sync starts.
    pub(super) next_at: Instant,
    /// The sync that waits for answers, if there is one.
    pending: Option<PendingSync>,
}

impl SyncState {
    pub(super) fn new(now: Instant) -> Self {
        let pending = None;
        SyncState {
            next_at: now,
            pending,
        }
    }

    /// Returns whether an answer belongs to the pending sync.
    pub(super) fn is_pending(&self, seq: u32, from: SocketAddr) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|sync| (sync.seq, sync.to) == (seq, from))
    }

    /// Drops the pending sync if it has timed out.
    fn expire(&mut self, now: Instant) {
        self.pending = self.pending.take().filter(|sync| sync.expires_at > now);
    }

    /// Extends the deadline of the pending sync by the length of a pause of this process.
    pub(super) fn extend_deadline(&mut self, micros: u64) {
        if let Some(sync) = &mut self.pending {
            sync.expires_at = sync.expires_at.saturating_add_micros(micros);
        }
    }
}

impl Membership {
    /// Starts a sync with a random peer if one is due.
    pub(super) fn start_due_sync(&mut self, cx: &mut StepContext<'_>) {
        self.sync.expire(cx.now);
        if cx.now < self.sync.next_at {
            return;
        }
        let Some(to) = self.sync_peer(cx.rng) else {
            return;
        };
        let seq = self.next_seq(cx.rng);
        let ms = self.with_jitter(self.settings.sync_interval_ms, cx);
        self.sync.next_at = cx.now.saturating_add_millis(ms);
        let expires_at = cx.now.saturating_add_millis(SYNC_TIMEOUT_MS);
        let digest = self.local_digest();
        self.sync.pending = Some(PendingSync {
            seq,
            to,
            digest,
            expires_at,
        });
        let message = self.sync_message(seq, false);
        self.send(cx, to, message);
    }

    /// Brings the next sync forward. Called when this table has just turned out to be
    /// incomplete, because other records are probably missing as well.
    pub(super) fn schedule_follow_up_sync(&mut self, cx: &mut StepContext<'_>) {
        let ms = self.with_jitter(self.settings.sync_follow_up_ms, cx);
        let follow_up_at = cx.now.saturating_add_millis(ms);
        self.sync.next_at = self.sync.next_at.min(follow_up_at);
    }

    /// Returns a random time between 80 and 120 % of `ms`, so that nodes started together
    /// do not stay synchronized.
    pub(super) fn with_jitter(&self, ms: u64, cx: &mut StepContext<'_>) -> u64 {
        let fifth = ms / 5;
        ms - fifth + cx.rng.random_range(0..=2 * fifth)
    }

    /// Answers a digest with the local records of the buckets that differ, and with the
    /// local digest.
    pub(super) fn answer_sync(
        &mut self,
        cx: &mut StepContext<'_>,
        to: SocketAddr,
        seq: u32,
        peer_digest: &TableDigest,
    ) {
        self.send_differing_buckets(cx, to, seq, peer_digest);
        let message = self.sync_message(seq, true);
        self.send(cx, to, message);
    }

    /// Sends the peer the records of the buckets that differ, and schedules the next sync
    /// soon if the tables differed, because this node may still lack records that this
    /// peer did not have.
    pub(super) fn handle_sync_answer(
        &mut self,
        cx: &mut StepContext<'_>,
        to: SocketAddr,
        peer_digest: &TableDigest,
    ) {
        let pending = self.sync.pending.as_ref();
        if pending.is_some_and(|sync| sync.digest == *peer_digest) {
            return;
        }
        self.schedule_follow_up_sync(cx);
        self.send_differing_buckets(cx, to, 0, peer_digest);
    }

    fn local_digest(&self) -> TableDigest {
        digest::with_record(self.table.digest(), &self.local)
    }

    fn sync_message(&self, seq: u32, answer: bool) -> Message {
        Message::Sync {
            seq,
            answer,
            digest: self.local_digest(),
            records: Vec::new(),
        }
    }

    fn send_differing_buckets(
        &mut self,
        cx: &mut StepContext<'_>,
        to: SocketAddr,
        seq: u32,
        peer_digest: &TableDigest,
    ) {
        let differing = digest::differing_buckets(&self.local_digest(), peer_digest);
        let start = cx.rng.random_range(0..DIGEST_BUCKETS);
        let records = self.records_of_buckets(cx.now, &differing, start);
        let mut rest = records.as_slice();
        for _ in 0..self.settings.max_sync_datagrams {
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

    /// Returns the records of the differing buckets in rotation from `start`. The start
    /// is random, so that the next syncs send the records that the limits cut off.
    fn records_of_buckets(
        &self,
        now: Instant,
        differing: &[bool; DIGEST_BUCKETS],
        start: usize,
    ) -> Vec<MemberRecord> {
        let recent = |t: Instant| t.saturating_add_millis(RECENT_DEATH_MS) > now;
        let wanted = |bucket: usize| differing[bucket];
        let order = |bucket: usize| (bucket + DIGEST_BUCKETS - start) % DIGEST_BUCKETS;
        let local = digest::bucket_of(self.local.name.as_str());
        let mut records = Vec::new();
        if wanted(local) {
            records.push((order(local), &self.local));
        }
        let entries = self.table.iter();
        let entries = entries.filter(|e| wanted(e.bucket) && e.terminal_since.is_none_or(recent));
        records.extend(entries.map(|e| (order(e.bucket), &e.record)));
        records.sort_by_key(|&(order, _)| order);
        records.into_iter().map(|(_, r)| r.clone()).collect()
    }
}
