//! Builds messages with as many records as fit, and queues them for sending.

use std::net::SocketAddr;

use rand::Rng;

use super::{Action, MAX_MEMBER_RECORD_BYTES, MAX_MESSAGE_BYTES, MemberRecord, MemberState};
use super::{Membership, Message};
use crate::{ids::NodeName, time::Instant};

/// Bytes of a datagram besides the message: IP and UDP headers (28), truncated HMAC
/// (16) and envelope (2).
const DATAGRAM_OVERHEAD_BYTES: usize = 46;

/// Bytes by which the length prefix of the record list may grow while records are
/// added.
const LENGTH_PREFIX_GROWTH_BYTES: usize = 1;

/// Changed records considered for one message. More do not fit.
const MAX_PIGGYBACKED_RECORDS: usize = 32;

/// Context of one call of the state machine: the time, the random source and the
/// actions to return.
pub(super) struct StepContext<'a> {
    pub(super) now: Instant,
    pub(super) rng: &'a mut dyn Rng,
    pub(super) actions: Vec<Action>,
}

impl<'a> StepContext<'a> {
    pub(super) fn new(now: Instant, rng: &'a mut dyn Rng) -> Self {
        let actions = Vec::new();
        StepContext { now, rng, actions }
    }
}

/// Adds records to a message up to [`MAX_MESSAGE_BYTES`].
pub(super) struct MessageBuilder {
    message: Message,
    free_bytes: usize,
}

impl MessageBuilder {
    pub(super) fn new(message: Message) -> Self {
        let free_bytes =
            MAX_MESSAGE_BYTES.saturating_sub(message.encoded_len() + LENGTH_PREFIX_GROWTH_BYTES);
        MessageBuilder {
            message,
            free_bytes,
        }
    }

    /// Adds a record if it fits, and returns whether it did.
    pub(super) fn try_add(&mut self, record: &MemberRecord) -> bool {
        let len = record.encoded_len();
        let fits = len <= self.free_bytes;
        if fits {
            self.free_bytes -= len;
            self.message.records_mut().push(record.clone());
        }
        fits
    }

    pub(super) fn finish(self) -> Message {
        self.message
    }
}

/// Returns a [`Message::Records`] with as many records from the front of `records` as
/// fit, and their number.
pub(super) fn build_records_message<'a>(
    seq: u32,
    records: impl Iterator<Item = &'a MemberRecord>,
) -> (Message, usize) {
    let empty = Vec::new();
    let mut builder = MessageBuilder::new(Message::Records {
        seq,
        records: empty,
    });
    let taken = records.take_while(|r| builder.try_add(r)).count();
    (builder.finish(), taken)
}

/// Returns the size of the datagram that carries a message, headers included.
pub(super) fn datagram_bytes(message: &Message) -> usize {
    message.encoded_len() + DATAGRAM_OVERHEAD_BYTES
}

impl Membership {
    /// Queues a message for sending and counts it.
    pub(super) fn send(&mut self, cx: &mut StepContext<'_>, to: SocketAddr, message: Message) {
        self.counters.sent += 1;
        self.counters.sent_bytes += message.encoded_len() as u64;
        cx.actions.push(Action::Send { to, message });
    }

    /// Sends a message to up to `n` random peers, and returns their number.
    pub(super) fn send_to_peers(
        &mut self,
        cx: &mut StepContext<'_>,
        n: usize,
        message: &Message,
    ) -> usize {
        let peers = self.random_peers(n, cx.rng);
        for (_, to) in &peers {
            self.send(cx, *to, message.clone());
        }
        peers.len()
    }

    /// Sends one record without charging a byte budget.
    pub(super) fn send_record(
        &mut self,
        cx: &mut StepContext<'_>,
        to: SocketAddr,
        record: &MemberRecord,
    ) {
        let (message, _) = build_records_message(0, std::iter::once(record));
        self.send(cx, to, message);
    }

    /// Adds records to a ping or an ack: the local record, the records that the
    /// receiver should refute, changed records, and a few unchanged ones.
    pub(super) fn add_piggyback(
        &mut self,
        message: Message,
        to_refute: &[MemberRecord],
    ) -> Message {
        let mut builder = MessageBuilder::new(message);
        self.add_local_record(&mut builder);
        for record in to_refute {
            builder.try_add(record);
        }
        self.add_changed_records(&mut builder);
        for _ in 0..self.settings.unchanged_records_per_probe {
            if !self
                .table
                .next_in_rotation()
                .is_some_and(|r| builder.try_add(r))
            {
                break;
            }
        }
        builder.finish()
    }

    fn add_local_record(&mut self, builder: &mut MessageBuilder) {
        if self.local.encoded_len() > MAX_MEMBER_RECORD_BYTES || !builder.try_add(&self.local) {
            self.counters.oversized += 1;
        }
    }

    fn add_changed_records(&mut self, builder: &mut MessageBuilder) {
        let max_sends = (self.table.len() + 2).ilog2() + 3;
        let known = |name: &NodeName| self.table.get(name.as_str());
        let names = self.gossip.next_piggybacked(MAX_PIGGYBACKED_RECORDS);
        let taken = names.iter();
        let taken = taken.take_while(|n| known(n).is_none_or(|e| builder.try_add(&e.record)));
        let taken = taken.count();
        self.gossip.record_sent(taken, max_sends);
    }

    /// Returns up to `n` distinct random members that are alive.
    pub fn random_peers(&self, n: usize, rng: &mut dyn Rng) -> Vec<(NodeName, SocketAddr)> {
        let alive = |r: &MemberRecord| r.state == MemberState::Alive;
        let peers = self.table.sample(n, rng, alive).into_iter();
        peers.map(|r| (r.name.clone(), r.udp_addr())).collect()
    }

    /// Like [`Membership::random_peers`], but at least one is in another data centre than this node, if
    /// there is such a member and `n` is not zero.
    pub fn spread_peers(&self, n: usize, rng: &mut dyn Rng) -> Vec<NodeName> {
        let own = &self.local.data_centre;
        let is_remote = |r: &MemberRecord| r.state == MemberState::Alive && r.data_centre != *own;
        let remote = self.table.sample(n.min(1), rng, is_remote).into_iter();
        let mut names: Vec<_> = remote.map(|r| r.name.clone()).collect();
        for (name, _) in self.random_peers(n, rng) {
            if names.len() < n && !names.contains(&name) {
                names.push(name);
            }
        }
        names
    }

    /// Returns the next sequence number, which is never zero. The first one is random,
    /// so that answers to an earlier incarnation of this node match no probe.
    pub(super) fn next_seq(&mut self, rng: &mut dyn Rng) -> u32 {
        if self.seq == 0 {
            self.seq = rng.next_u32();
        }
        self.seq = self.seq.wrapping_add(1).max(1);
        self.seq
    }
}
