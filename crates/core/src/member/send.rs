//! Builds messages with as many records as fit, and queues them for sending.

use std::net::SocketAddr;

use rand::{Rng, RngExt};

use super::{Action, MAX_MEMBER_RECORD_BYTES, MAX_MESSAGE_BYTES, MemberRecord, MemberState};
use super::{Membership, Message};
use crate::{
    ids::{DataCentre, NodeName},
    time::Instant,
};

/// Bytes of a datagram besides the message: IP and UDP headers (28), truncated HMAC
/// (16) and envelope (2).
const DATAGRAM_OVERHEAD_BYTES: usize = 46;

/// Bytes by which the length prefix of the record list may grow while records are
/// added.
const LENGTH_PREFIX_GROWTH_BYTES: usize = 1;

/// Changed records considered for one message. More do not fit.
const MAX_PIGGYBACKED_RECORDS: usize = 32;

/// Changed records in a ping or an ack to another data centre.
const MAX_CHANGED_TO_REMOTE: usize = 3;

/// Unchanged records in a ping or an ack to another data centre.
const MAX_UNCHANGED_TO_REMOTE: usize = 1;

/// Largest share of the peers for changed records and table syncs that are in other data centres.
const MAX_REMOTE_SHARE: f64 = 0.25;

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

    /// Sends a message with changed records to up to `n` peers, and returns their number.
    pub(super) fn send_to_peers(
        &mut self,
        cx: &mut StepContext<'_>,
        n: usize,
        message: &Message,
    ) -> usize {
        let peers = self.near_and_remote_peers(n, cx.rng);
        for to in &peers {
            self.send(cx, *to, message.clone());
        }
        peers.len()
    }

    /// Returns the addresses of up to `n` distinct random members that are alive. The members of other
    /// data centres are chosen with [`remote_share`](Self::remote_share), the others are in the local one
    /// as far as it has members.
    ///
    /// Every member that learns of a change passes it on, so that a data centre gets as many copies from
    /// its own members as it needs, and traffic between data centres is more expensive.
    fn near_and_remote_peers(&self, n: usize, rng: &mut dyn Rng) -> Vec<SocketAddr> {
        let mut near = self
            .table
            .sample(n, rng, |r| is_alive(r) && self.is_near(r));
        let mut remote = self
            .table
            .sample(n, rng, |r| is_alive(r) && !self.is_near(r));
        let wanted_remote = n as f64 * self.remote_share() + rng.random::<f64>();
        near.truncate(n - (wanted_remote as usize).min(remote.len()));
        remote.truncate(n - near.len());
        near.iter().chain(&remote).map(|r| r.udp_addr()).collect()
    }

    /// Returns the share of pushes and table syncs for other data centres: at most that of their members,
    /// so that a small data centre isn't sent more than its members would be without a preference.
    fn remote_share(&self) -> f64 {
        let (mut alive, mut remote) = (0_u32, 0_u32);
        for entry in self.table.iter().filter(|e| is_alive(&e.record)) {
            alive += 1;
            remote += u32::from(!self.is_near(&entry.record));
        }
        (f64::from(remote) / f64::from(alive.max(1))).min(MAX_REMOTE_SHARE)
    }

    fn is_near(&self, record: &MemberRecord) -> bool {
        record.data_centre == self.local.data_centre
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
    ///
    /// A receiver in another data centre gets only a few of the last two kinds. Its own data centre
    /// passes them on.
    pub(super) fn add_piggyback(
        &mut self,
        message: Message,
        receiver: Option<&DataCentre>,
        to_refute: &[MemberRecord],
    ) -> Message {
        let is_remote = receiver.is_some_and(|dc| *dc != self.local.data_centre);
        let (max_changed, max_unchanged) = match is_remote {
            true => (MAX_CHANGED_TO_REMOTE, MAX_UNCHANGED_TO_REMOTE),
            false => (MAX_PIGGYBACKED_RECORDS, usize::MAX),
        };
        let mut builder = MessageBuilder::new(message);
        self.add_local_record(&mut builder);
        for record in to_refute {
            builder.try_add(record);
        }
        self.add_changed_records(&mut builder, max_changed);
        for _ in 0..self.settings.unchanged_records_per_probe.min(max_unchanged) {
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

    fn add_changed_records(&mut self, builder: &mut MessageBuilder, max: usize) {
        let max_sends = (self.table.len() + 2).ilog2() + 3;
        let known = |name: &NodeName| self.table.get(name.as_str());
        let names = self.gossip.next_piggybacked(max);
        let taken = names.iter();
        let taken = taken.take_while(|n| known(n).is_none_or(|e| builder.try_add(&e.record)));
        let taken = taken.count();
        self.gossip.record_sent(taken, max_sends);
    }

    /// Returns up to `n` distinct random members that are alive.
    pub fn random_peers(&self, n: usize, rng: &mut dyn Rng) -> Vec<(NodeName, SocketAddr)> {
        let peers = self.table.sample(n, rng, is_alive).into_iter();
        peers.map(|r| (r.name.clone(), r.udp_addr())).collect()
    }

    /// Returns a random peer to compare tables with, mostly in the local data centre, so that most
    /// differing records stay there.
    pub(super) fn sync_peer(&self, rng: &mut dyn Rng) -> Option<SocketAddr> {
        let wants_near = !rng.random_bool(self.remote_share());
        let is_wanted = |r: &MemberRecord| is_alive(r) && self.is_near(r) == wants_near;
        let wanted = self.table.sample(1, rng, is_wanted).pop();
        let peer = wanted.map(|r| r.udp_addr());
        peer.or_else(|| self.random_peers(1, rng).pop().map(|(_, addr)| addr))
    }

    /// Like [`Membership::random_peers`], but at least one is in another data centre than this node, if
    /// there is such a member and `n` is not zero.
    pub fn spread_peers(&self, n: usize, rng: &mut dyn Rng) -> Vec<NodeName> {
        let is_remote = |r: &MemberRecord| is_alive(r) && !self.is_near(r);
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

fn is_alive(record: &MemberRecord) -> bool {
    record.state == MemberState::Alive
}
