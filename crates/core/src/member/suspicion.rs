//! Suspicion of members that do not answer probes, and its expiry.

use super::probe::{Probe, ProbeSubject};
use super::send::{MessageBuilder, StepContext};
use super::{MemberRecord, MemberState, Membership, Message};
use crate::ids::{Incarnation, NodeName};
use crate::time::{Instant, MICROS_PER_MILLI};

/// Upper bound of the isolation score.
const MAX_ISOLATION_SCORE: u32 = 7;

impl Membership {
    /// Suspects the members whose probes failed.
    pub(super) fn handle_failed_probes(&mut self, cx: &mut StepContext<'_>) {
        for probe in self.probes.take_expired(cx.now) {
            let ProbeSubject::Member(name, incarnation) = &probe.subject else {
                continue;
            };
            self.counters.failed_probes += 1;
            self.update_isolation_score(&probe);
            self.suspect(cx, name, *incarnation);
        }
    }

    /// Raises the isolation score if no message at all was received while a probe was
    /// pending. With only one other member, this would not tell which of the two is
    /// isolated.
    fn update_isolation_score(&mut self, probe: &Probe) {
        let others = self.table.iter().filter(|e| e.terminal_since.is_none());
        let silent = self.last_received_at.is_none_or(|t| t < probe.sent_at);
        if silent && others.count() > 1 {
            self.isolation_score = (self.isolation_score + 1).min(MAX_ISOLATION_SCORE);
        }
    }

    fn suspect(&mut self, cx: &mut StepContext<'_>, name: &NodeName, incarnation: Incarnation) {
        let Some(entry) = self.table.get(name.as_str()) else {
            return;
        };
        let newer_incarnation = entry.record.incarnation > incarnation;
        if newer_incarnation || entry.record.state >= MemberState::Suspect {
            return;
        }
        let record = MemberRecord {
            state: MemberState::Suspect,
            ..entry.record.clone()
        };
        self.counters.suspicions += 1;
        self.send_record(cx, record.udp_addr(), &record);
        self.store_record(cx, record);
    }

    /// Probes suspected members a last time shortly before their suspicion expires, and
    /// declares those dead that did not refute it in time.
    pub(super) fn expire_suspicions(&mut self, cx: &mut StepContext<'_>) {
        if cx.now < self.next_suspicion_scan {
            return;
        }
        let lead = self.last_probe_lead_us();
        let (mut to_probe, mut expired) = (Vec::new(), Vec::new());
        self.next_suspicion_scan = Instant::MAX;
        for entry in self.table.iter_mut() {
            let Some(until) = entry.suspect_until else {
                continue;
            };
            let last_probe_at = until.saturating_sub_micros(lead);
            if until <= cx.now {
                expired.push(entry.expired_record());
                continue;
            }
            if !entry.last_probe_sent && last_probe_at <= cx.now {
                entry.last_probe_sent = true;
                to_probe.push(entry.record.clone());
            }
            let next = if entry.last_probe_sent {
                until
            } else {
                last_probe_at
            };
            self.next_suspicion_scan = self.next_suspicion_scan.min(next);
        }
        to_probe
            .iter()
            .for_each(|record| self.send_last_probe(cx, record));
        self.counters.deaths += expired.len() as u64;
        for record in expired {
            self.store_record(cx, record);
        }
    }

    /// Returns how long before the expiry of a suspicion the last probe is sent, in
    /// microseconds.
    pub(super) fn last_probe_lead_us(&self) -> u64 {
        self.settings
            .probe_interval_ms
            .saturating_mul(MICROS_PER_MILLI)
    }

    /// Sends a suspected member a probe with the suspicion, which is repeated if it is
    /// not answered within the direct timeout.
    ///
    /// Without it, a node that the refutation did not reach in time would declare a live
    /// member dead: after a partition, refutations queue behind thousands of other
    /// changes. The probe carries no other records, because every node sends it.
    fn send_last_probe(&mut self, cx: &mut StepContext<'_>, record: &MemberRecord) {
        if self.probes.is_pending(&record.name) {
            return;
        }
        let ping = self.start_probe(cx, ProbeSubject::Unresponsive(record.name.clone()));
        self.send_ping_to_refute(cx, ping, record);
    }

    /// Sends a ping that carries only the record that the member should refute.
    pub(super) fn send_ping_to_refute(
        &mut self,
        cx: &mut StepContext<'_>,
        ping: Message,
        record: &MemberRecord,
    ) {
        let mut builder = MessageBuilder::new(ping);
        builder.try_add(record);
        self.send(cx, record.udp_addr(), builder.finish());
    }
}
