//! Handling of received messages.

use std::net::SocketAddr;

use rand::Rng;

use super::probe::{Probe, RelayedProbe};
use super::send::StepContext;
use super::{Action, MemberEvent, MemberRecord, MemberState, Membership, Message};
use crate::{config::Progress, ids::NodeName, time::Instant};

impl Membership {
    /// Handles a message received from the address `from`.
    pub fn receive(
        &mut self,
        now: Instant,
        from: SocketAddr,
        message: &Message,
        rng: &mut dyn Rng,
    ) -> Vec<Action> {
        let mut cx = StepContext::new(now, rng);
        self.counters.received += 1;
        if self.local.state == MemberState::Left || from == self.local.udp_addr() {
            self.counters.refused += 1;
            return cx.actions;
        }
        if self.handle_message(&mut cx, from, message) {
            self.last_received_at = Some(now);
        }
        cx.actions
    }

    /// Handles a message, and returns whether it was a request or the answer to a pending
    /// one.
    fn handle_message(
        &mut self,
        cx: &mut StepContext<'_>,
        addr: SocketAddr,
        message: &Message,
    ) -> bool {
        match message {
            Message::Ping {
                seq,
                from,
                progress,
                ..
            } => {
                self.apply_records(cx, message.records());
                self.report_progress(cx, from, *progress);
                self.answer_ping(cx, addr, *seq, message);
            }
            Message::Ack { seq, from, .. } => {
                if let Some(relay) = self.probes.take_answered_relay(*seq, from) {
                    self.apply_records(cx, message.records());
                    self.relay_ack(cx, &relay, message);
                } else if let Some(probe) = self.probes.take_answered(*seq, from) {
                    self.apply_records(cx, message.records());
                    self.handle_ack(cx, &probe, addr, message);
                } else {
                    self.counters.unmatched += 1;
                    return false;
                }
            }
            Message::PingReq {
                seq, to, addr: at, ..
            } => {
                self.apply_records(cx, message.records());
                self.relay_probe(cx, addr, *seq, (to, *at));
            }
            Message::Sync {
                seq,
                answer: false,
                digest,
                ..
            } => {
                self.apply_records(cx, message.records());
                self.answer_sync(cx, addr, *seq, digest);
            }
            Message::Sync { seq, digest, .. } => {
                if !self.sync.is_pending(*seq, addr) {
                    self.counters.unmatched += 1;
                    return false;
                }
                self.apply_records(cx, message.records());
                self.handle_sync_answer(cx, addr, digest);
            }
            Message::Records { seq, .. } => {
                if *seq != 0 && !self.sync.is_pending(*seq, addr) {
                    self.counters.unmatched += 1;
                    return false;
                }
                self.apply_records(cx, message.records());
            }
        }
        true
    }

    fn answer_ping(&mut self, cx: &mut StepContext<'_>, to: SocketAddr, seq: u32, ping: &Message) {
        let Message::Ping { from, .. } = ping else {
            return;
        };
        let to_refute: Vec<MemberRecord> = self.record_to_refute(from, ping).into_iter().collect();
        let ack = Message::Ack {
            seq,
            from: self.local.name.clone(),
            progress: self.progress,
            records: Vec::new(),
        };
        let sender = self.table.get(from.as_str());
        let sender = sender.map(|e| e.record.data_centre.clone());
        let ack = self.add_piggyback(ack, sender.as_ref(), &to_refute);
        self.send(cx, to, ack);
    }

    /// Returns the known record of the sender if the sender should refute it or if it
    /// supersedes the record in the message.
    fn record_to_refute(&self, from: &NodeName, message: &Message) -> Option<MemberRecord> {
        let known = &self.table.get(from.as_str())?.record;
        let sent = message.records().iter().find(|r| r.name == *from);
        let superseded = sent.is_some_and(|sent| sent.incarnation < known.incarnation);
        let wrong = known.state >= MemberState::Suspect || superseded;
        wrong.then(|| known.clone())
    }

    fn handle_ack(
        &mut self,
        cx: &mut StepContext<'_>,
        probe: &Probe,
        addr: SocketAddr,
        ack: &Message,
    ) {
        let Message::Ack { from, progress, .. } = ack else {
            return;
        };
        self.isolation_score = self.isolation_score.saturating_sub(1);
        self.report_progress(cx, from, *progress);
        let relayed = probe.indirect_due_at.is_none();
        if let Some(record) = self.record_to_refute(from, ack).filter(|_| !relayed) {
            self.send_record(cx, addr, &record);
        }
    }

    fn report_progress(&mut self, cx: &mut StepContext<'_>, from: &NodeName, progress: Progress) {
        if progress.is_ahead_of(self.progress) {
            let name = from.clone();
            let event = MemberEvent::PeerAhead { name, progress };
            cx.actions.push(Action::Event(event));
        }
    }

    fn relay_probe(
        &mut self,
        cx: &mut StepContext<'_>,
        requester: SocketAddr,
        request_seq: u32,
        (name, addr): (&NodeName, SocketAddr),
    ) {
        let seq = self.next_seq(cx.rng);
        let relay = RelayedProbe {
            seq,
            subject: name.clone(),
            requester,
            request_seq,
            expires_at: cx
                .now
                .saturating_add_millis(self.settings.probe_interval_ms),
        };
        let unusable = addr.port() == 0 || addr.ip().is_unspecified();
        let is_local = addr == self.local.udp_addr();
        if unusable || is_local || !self.probes.add_relayed(relay) {
            self.counters.refused += 1;
            return;
        }
        let ping = self.ping(seq, Some(name));
        self.send(cx, addr, ping);
    }

    fn relay_ack(&mut self, cx: &mut StepContext<'_>, relay: &RelayedProbe, ack: &Message) {
        let Message::Ack { from, progress, .. } = ack else {
            return;
        };
        self.report_progress(cx, from, *progress);
        let subject_record = ack.records().iter().find(|r| r.name == *from);
        let message = Message::Ack {
            seq: relay.request_seq,
            from: from.clone(),
            progress: *progress,
            records: subject_record.cloned().into_iter().collect(),
        };
        self.send(cx, relay.requester, message);
    }
}
