//! Periodic work: probes, dissemination, table syncs and purging.

use std::net::SocketAddr;

use rand::{Rng, RngExt, seq::IteratorRandom};

use super::probe::{Probe, ProbeSubject, Verification};
use super::send::{MessageBuilder, StepContext, build_records_message, datagram_bytes};
use super::{Action, MemberRecord, MemberState, Membership, Message};
use crate::ids::{DataCentre, NodeName};
use crate::time::{Instant, MICROS_PER_MILLI};

/// Interval between two purges of dead members.
const PURGE_INTERVAL_MS: u64 = 60_000;

/// Verification probes sent per tick.
const VERIFICATIONS_PER_TICK: usize = 1;

/// Unknown contacts that are probed per tick after the first ones were added. Spread over several ticks, the
/// later ones find contacts that have started meanwhile and know more members.
const CONTACTS_PER_TICK: usize = 2;

/// Messages with changed records that may be pushed per tick within the byte budget. Each
/// goes to `fanout` peers.
const PUSHES_PER_TICK: usize = 2;

impl Membership {
    /// Does the work that is due. Call it about every 100 ms.
    pub fn tick(&mut self, now: Instant, rng: &mut dyn Rng) -> Vec<Action> {
        let mut cx = StepContext::new(now, rng);
        if self.local.state == MemberState::Left {
            return cx.actions;
        }
        self.extend_deadlines_after_pause(now);
        self.send_due_indirect_probes(&mut cx);
        self.handle_failed_probes(&mut cx);
        self.expire_suspicions(&mut cx);
        self.push_changes(&mut cx);
        self.probe_next(&mut cx);
        self.probe_new_contacts(&mut cx);
        self.send_verification_probes(&mut cx);
        self.reconnect_lost_members(&mut cx);
        self.start_due_sync(&mut cx);
        self.purge(now);
        cx.actions
    }

    /// Extends the pending deadlines by the length of a pause of this process. Otherwise
    /// a process that was frozen would declare members dead whose answers are waiting in
    /// its socket buffer.
    fn extend_deadlines_after_pause(&mut self, now: Instant) {
        let gap = now.micros_since(self.last_tick);
        self.last_tick = now;
        if gap
            <= self
                .settings
                .pause_threshold_ms
                .saturating_mul(MICROS_PER_MILLI)
        {
            return;
        }
        self.counters.pauses += 1;
        self.probes.extend_deadlines(gap);
        self.sync.extend_deadline(gap);
        self.next_suspicion_scan = self.next_suspicion_scan.saturating_add_micros(gap);
        for entry in self.table.iter_mut() {
            entry.suspect_until = entry.suspect_until.map(|t| t.saturating_add_micros(gap));
        }
    }

    /// Repeats the probes that were not answered within the direct timeout, and asks
    /// other members for indirect probes.
    fn send_due_indirect_probes(&mut self, cx: &mut StepContext<'_>) {
        for (seq, subject) in self.probes.take_due_indirect(cx.now) {
            let (name, indirect) = match &subject {
                ProbeSubject::Member(name, _) => (name, true),
                ProbeSubject::Unresponsive(name) => (name, false),
                ProbeSubject::Contact => continue,
            };
            let Some(entry) = self.table.get(name.as_str()) else {
                continue;
            };
            let record = entry.record.clone();
            let ping = self.ping(seq, Some(name));
            if indirect {
                self.counters.indirect_probes += 1;
                self.send_ping_reqs(cx, seq, &record);
                let ping = self.add_piggyback(
                    ping,
                    Some(&record.data_centre),
                    &records_to_refute(&record),
                );
                self.send(cx, record.udp_addr(), ping);
            } else if record.state == MemberState::Suspect {
                self.send_ping_to_refute(cx, ping, &record);
            }
        }
    }

    fn send_ping_reqs(&mut self, cx: &mut StepContext<'_>, seq: u32, subject: &MemberRecord) {
        let can_relay = |r: &MemberRecord| r.state == MemberState::Alive && r.name != subject.name;
        let n = self.settings.indirect_probes;
        let relays = self.table.sample(n, cx.rng, can_relay);
        let relays: Vec<SocketAddr> = relays.iter().map(|r| r.udp_addr()).collect();
        for to in relays {
            let message = Message::PingReq {
                seq,
                from: self.local.name.clone(),
                to: subject.name.clone(),
                addr: subject.udp_addr(),
                records: Vec::new(),
            };
            self.send(cx, to, message);
        }
    }

    /// Pushes changed records to random peers.
    fn push_changes(&mut self, cx: &mut StepContext<'_>) {
        if self.local_push_pending {
            self.local_push_pending = !self.push_local_record(cx);
        }
        self.push_immediate_changes(cx);
        for _ in 0..PUSHES_PER_TICK {
            if !self.push_budgeted_changes(cx) {
                break;
            }
        }
    }

    /// Pushes the local record, and returns `false` if there is no peer to push it to.
    pub(super) fn push_local_record(&mut self, cx: &mut StepContext<'_>) -> bool {
        let (message, taken) = build_records_message(0, std::iter::once(&self.local));
        if taken == 0 {
            self.counters.oversized += 1;
            return true;
        }
        self.send_to_peers(cx, self.settings.urgent_fanout, &message) > 0
    }

    /// Pushes the urgent changes regardless of the byte budget, which they are charged to.
    fn push_immediate_changes(&mut self, cx: &mut StepContext<'_>) {
        let names = self.gossip.take_immediate();
        let mut records = self.records_of(names.iter());
        let (mut message, mut taken) = build_records_message(0, records.iter());
        let fanout = match taken == records.len() {
            true => self.settings.urgent_fanout,
            false => self.settings.fanout,
        };
        while taken > 0 {
            self.push_budget
                .spend(cx.now, datagram_bytes(&message) * fanout);
            self.send_to_peers(cx, fanout, &message);
            records.drain(..taken);
            (message, taken) = build_records_message(0, records.iter());
        }
    }

    /// Pushes one message within the byte budget, and returns whether there may be more.
    fn push_budgeted_changes(&mut self, cx: &mut StepContext<'_>) -> bool {
        let empty = Vec::new();
        let mut builder = MessageBuilder::new(Message::Records {
            seq: 0,
            records: empty,
        });
        let known = |name: &NodeName| self.table.get(name.as_str());
        let names = self.gossip.budgeted();
        let taken = names.take_while(|n| known(n).is_none_or(|e| builder.try_add(&e.record)));
        let taken = taken.count();
        let message = builder.finish();
        let fanout = match taken == self.gossip.budgeted_len() {
            true => self.settings.fanout,
            false => self.settings.bulk_fanout,
        };
        let push_bytes = datagram_bytes(&message) * fanout;
        if taken == 0 || !self.push_budget.allows(cx.now, push_bytes) {
            self.counters.deferred += u64::from(taken != 0);
            return false;
        }
        self.gossip.pop_budgeted(taken);
        self.push_budget.spend(cx.now, push_bytes);
        self.send_to_peers(cx, fanout, &message);
        true
    }

    /// Probes the next member of the round, or a contact while no member is known.
    fn probe_next(&mut self, cx: &mut StepContext<'_>) {
        if cx.now < self.next_probe {
            return;
        }
        let interval = self.settings.probe_interval_ms;
        let next = self.next_probe.saturating_add_millis(interval);
        let late = next <= cx.now;
        self.next_probe = match late {
            true => cx.now.saturating_add_millis(interval),
            false => next,
        };
        match self.next_member(cx.rng) {
            Some(record) => self.probe_member(cx, &record, &records_to_refute(&record)),
            None => self.probe_contacts(cx, 1),
        }
    }

    fn next_member(&mut self, rng: &mut dyn Rng) -> Option<MemberRecord> {
        for _ in 0..2 {
            while let Some(name) = self.probes.next_in_round() {
                let entry = self.table.get(name.as_str());
                let entry =
                    entry.filter(|e| e.terminal_since.is_none() && !self.probes.is_pending(&name));
                if let Some(entry) = entry {
                    return Some(entry.record.clone());
                }
            }
            let present = self.table.iter().filter(|e| e.terminal_since.is_none());
            let names = present.map(|e| e.record.name.clone()).collect();
            self.probes.start_round(names, rng);
            self.table.randomize_rotation(rng);
        }
        None
    }

    fn probe_member(
        &mut self,
        cx: &mut StepContext<'_>,
        record: &MemberRecord,
        to_refute: &[MemberRecord],
    ) {
        let name = record.name.clone();
        let subject = match record.state.is_terminal() {
            true => ProbeSubject::Unresponsive(name),
            false => ProbeSubject::Member(name, record.incarnation),
        };
        self.counters.probes += 1;
        let to = (record.udp_addr(), Some(&record.data_centre));
        self.send_probe(cx, subject, to, to_refute);
    }

    /// Probes up to `n` random contacts that are not known as members.
    fn probe_contacts(&mut self, cx: &mut StepContext<'_>, n: usize) {
        let unknown =
            |addr: &&SocketAddr| **addr != self.local.udp_addr() && !self.table.has_addr(**addr);
        let contacts = self.contacts.iter().filter(unknown).copied();
        for addr in contacts.sample(cx.rng, n) {
            self.send_probe(cx, ProbeSubject::Contact, (addr, None), &[]);
        }
    }

    fn send_probe(
        &mut self,
        cx: &mut StepContext<'_>,
        subject: ProbeSubject,
        (to, data_centre): (SocketAddr, Option<&DataCentre>),
        to_refute: &[MemberRecord],
    ) {
        let ping = self.start_probe(cx, subject);
        let ping = self.add_piggyback(ping, data_centre, to_refute);
        self.send(cx, to, ping);
    }

    /// Adds a pending probe and returns its ping, without records.
    pub(super) fn start_probe(
        &mut self,
        cx: &mut StepContext<'_>,
        subject: ProbeSubject,
    ) -> Message {
        let seq = self.next_seq(cx.rng);
        let name = match &subject {
            ProbeSubject::Member(name, _) | ProbeSubject::Unresponsive(name) => Some(name),
            ProbeSubject::Contact => None,
        };
        let ping = self.ping(seq, name);
        let after = |ms| cx.now.saturating_add_millis(ms);
        self.probes.add_pending(Probe {
            seq,
            subject,
            sent_at: cx.now,
            indirect_due_at: Some(after(self.settings.direct_probe_timeout_ms)),
            expires_at: after(self.settings.probe_interval_ms),
        });
        ping
    }

    /// Returns a ping without records.
    pub(super) fn ping(&self, seq: u32, to: Option<&NodeName>) -> Message {
        Message::Ping {
            seq,
            from: self.local.name.clone(),
            to: to.cloned(),
            progress: self.progress,
            records: Vec::new(),
        }
    }

    /// Probes unknown contacts after the first ones were added.
    fn probe_new_contacts(&mut self, cx: &mut StepContext<'_>) {
        let n = self.early_contact_probes.min(CONTACTS_PER_TICK);
        self.early_contact_probes -= n;
        self.probe_contacts(cx, n);
    }

    /// Sends queued verification probes, except to members whose incarnation has become
    /// higher than the reported one.
    fn send_verification_probes(&mut self, cx: &mut StepContext<'_>) {
        for _ in 0..VERIFICATIONS_PER_TICK {
            let Some(Verification { name, reported }) = self.probes.next_verification() else {
                return;
            };
            let Some(entry) = self.table.get(name.as_str()) else {
                continue;
            };
            let settled = entry.record.incarnation > reported.incarnation;
            if !settled && !self.probes.is_pending(&name) {
                let record = entry.record.clone();
                self.probe_member(cx, &record, &[reported]);
            }
        }
    }

    /// Probes a dead member or an unknown contact at intervals, so that the parts of a
    /// partitioned fleet find each other again.
    fn reconnect_lost_members(&mut self, cx: &mut StepContext<'_>) {
        if cx.now < self.next_reconnect {
            return;
        }
        let every = match self.early_reconnects {
            0 => self.settings.reconnect_interval_ms,
            _ => self.settings.probe_interval_ms,
        };
        self.early_reconnects = self.early_reconnects.saturating_sub(1);
        let ms = self.with_jitter(every, cx);
        self.next_reconnect = cx.now.saturating_add_millis(ms);
        let dead = |r: &MemberRecord| r.state == MemberState::Dead;
        let dead = self.table.sample(1, cx.rng, dead).pop().cloned();
        match dead {
            Some(record) if cx.rng.random() => {
                self.probe_member(cx, &record, std::slice::from_ref(&record));
            }
            _ => self.probe_contacts(cx, 1),
        }
    }

    fn purge(&mut self, now: Instant) {
        if now < self.next_purge {
            return;
        }
        self.next_purge = now.saturating_add_millis(PURGE_INTERVAL_MS);
        let purged = self.table.purge(now, self.settings.dead_retention_ms);
        self.generation += purged as u64;
    }

    /// Returns the records of those of the named members that are still in the table.
    fn records_of<'a>(&self, names: impl Iterator<Item = &'a NodeName>) -> Vec<MemberRecord> {
        let entries = names.filter_map(|name| self.table.get(name.as_str()));
        entries.map(|e| e.record.clone()).collect()
    }
}

/// Returns the record of a suspected or terminal member, which it should refute.
fn records_to_refute(record: &MemberRecord) -> Vec<MemberRecord> {
    let wrong = record.state >= MemberState::Suspect;
    wrong.then(|| record.clone()).into_iter().collect()
}
