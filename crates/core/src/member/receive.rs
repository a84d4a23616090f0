//! Handling of received messages.

use std::net::SocketAddr;

use rand::Rng;

use super::compose::Step;
use super::probe::{Probe, Relay};
use super::{Action, MemberEvent, MemberRecord, MemberState, Membership, Message};
use crate::{ids::NodeName, time::Instant};

impl Membership {
    /// Handles one message.
    pub fn receive(
        &mut self,
        now: Instant,
        from: SocketAddr,
        message: &Message,
        rng: &mut dyn Rng,
    ) -> Vec<Action> {
        let mut step = Step::new(now, rng);
        self.counters.received += 1;
        if self.local.state == MemberState::Left || from == self.local.udp_addr() {
            self.counters.refused += 1;
            return step.actions;
        }
        if self.handle(&mut step, from, message) {
            self.last_heard = Some(now);
        }
        step.actions
    }

    /// Handles one message; returns whether it was expected.
    fn handle(&mut self, step: &mut Step<'_>, addr: SocketAddr, message: &Message) -> bool {
        match message {
            Message::Ping {
                seq, from, read_to, ..
            } => {
                self.learn_all(step, message.records());
                self.notice_read_to(step, from, *read_to);
                self.answer_ping(step, addr, *seq, message);
            }
            Message::Ack { seq, from, .. } => {
                if let Some(relay) = self.probes.close_relay(*seq, from) {
                    self.learn_all(step, message.records());
                    self.relay_ack(step, &relay, message);
                } else if let Some(probe) = self.probes.close(*seq, from) {
                    self.learn_all(step, message.records());
                    self.on_ack(step, &probe, addr, message);
                } else {
                    self.counters.unmatched += 1;
                    return false;
                }
            }
            Message::PingReq {
                seq, to, addr: at, ..
            } => {
                self.learn_all(step, message.records());
                self.open_relay(step, addr, *seq, (to, *at));
            }
            Message::Sync {
                seq,
                answer: false,
                digest,
                ..
            } => {
                self.learn_all(step, message.records());
                self.answer_sync(step, addr, *seq, digest);
            }
            Message::Sync { seq, digest, .. } => {
                if !self.sync.is_open(*seq, addr) {
                    self.counters.unmatched += 1;
                    return false;
                }
                self.learn_all(step, message.records());
                self.finish_sync(step, addr, digest);
            }
            Message::Records { seq, .. } => {
                if *seq != 0 && !self.sync.is_open(*seq, addr) {
                    self.counters.unmatched += 1;
                    return false;
                }
                self.learn_all(step, message.records());
            }
        }
        true
    }

    fn answer_ping(&mut self, step: &mut Step<'_>, to: SocketAddr, seq: u32, ping: &Message) {
        let Message::Ping { from, .. } = ping else {
            return;
        };
        let claims: Vec<MemberRecord> = self.claim(from, ping).into_iter().collect();
        let ack = Message::Ack {
            seq,
            from: self.local.name.clone(),
            read_to: self.read_to,
            records: Vec::new(),
        };
        let ack = self.fill(ack, &claims);
        self.send(step, to, ack);
    }

    /// Returns the record of the sender that the sender should refute or that
    /// supersedes the one it sent.
    fn claim(&self, from: &NodeName, message: &Message) -> Option<MemberRecord> {
        let known = &self.table.get(from.as_str())?.record;
        let own = message.records().iter().find(|r| r.name == *from);
        let superseded = own.is_some_and(|own| own.incarnation < known.incarnation);
        let wrong = known.state >= MemberState::Suspect || superseded;
        wrong.then(|| known.clone())
    }

    fn on_ack(&mut self, step: &mut Step<'_>, probe: &Probe, addr: SocketAddr, ack: &Message) {
        let Message::Ack { from, read_to, .. } = ack else {
            return;
        };
        self.isolation = self.isolation.saturating_sub(1);
        self.notice_read_to(step, from, *read_to);
        let relayed = probe.indirect_at.is_none();
        if let Some(claim) = self.claim(from, ack).filter(|_| !relayed) {
            self.send_record(step, addr, &claim);
        }
    }

    fn notice_read_to(&mut self, step: &mut Step<'_>, from: &NodeName, read_to: u64) {
        if read_to > self.read_to {
            let name = from.clone();
            let event = MemberEvent::PeerAhead { name, read_to };
            step.actions.push(Action::Event(event));
        }
    }

    fn open_relay(
        &mut self,
        step: &mut Step<'_>,
        requester: SocketAddr,
        request_seq: u32,
        (name, addr): (&NodeName, SocketAddr),
    ) {
        let seq = self.next_seq(step.rng);
        let relay = Relay {
            seq,
            subject: name.clone(),
            requester,
            request_seq,
            fails_at: step.now.saturating_add_millis(self.settings.period_ms),
        };
        let unusable = addr.port() == 0 || addr.ip().is_unspecified();
        let own = addr == self.local.udp_addr();
        if unusable || own || !self.probes.open_relay(relay) {
            self.counters.refused += 1;
            return;
        }
        let ping = self.ping(seq, Some(name));
        self.send(step, addr, ping);
    }

    fn relay_ack(&mut self, step: &mut Step<'_>, relay: &Relay, ack: &Message) {
        let Message::Ack { from, read_to, .. } = ack else {
            return;
        };
        self.notice_read_to(step, from, *read_to);
        let own = ack.records().iter().find(|r| r.name == *from);
        let message = Message::Ack {
            seq: relay.request_seq,
            from: from.clone(),
            read_to: *read_to,
            records: own.cloned().into_iter().collect(),
        };
        self.send(step, relay.requester, message);
    }
}
