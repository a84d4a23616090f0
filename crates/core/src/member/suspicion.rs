//! Suspicion of members that do not answer, and its end.

use super::probe::{Probe, ProbeSubject};
use super::send::{MessageBuilder, StepContext};
use super::{MemberRecord, MemberState, Membership, Message};
use crate::ids::{Incarnation, NodeName};
use crate::time::{Instant, MICROS_PER_MILLI};

/// Greatest value of the isolation score.
const MAX_ISOLATION: u32 = 7;

impl Membership {
    /// Suspects the members that no one got an answer from.
    pub(super) fn fail_probes(&mut self, cx: &mut StepContext<'_>) {
        for probe in self.probes.take_expired(cx.now) {
            let ProbeSubject::Member(name, incarnation) = &probe.subject else {
                continue;
            };
            self.counters.failed_probes += 1;
            self.notice_isolation(&probe);
            self.suspect(cx, name, *incarnation);
        }
    }

    /// Notes that nothing at all came while a probe was open. With one other member
    /// this says nothing about which of the two is cut off.
    fn notice_isolation(&mut self, probe: &Probe) {
        let others = self.table.iter().filter(|e| e.ended_at.is_none());
        let silent = self.last_heard.is_none_or(|t| t < probe.sent_at);
        if silent && others.count() > 1 {
            self.isolation = (self.isolation + 1).min(MAX_ISOLATION);
        }
    }

    fn suspect(&mut self, cx: &mut StepContext<'_>, name: &NodeName, incarnation: Incarnation) {
        let Some(entry) = self.table.get(name.as_str()) else {
            return;
        };
        let later_life = entry.record.incarnation > incarnation;
        if later_life || entry.record.state >= MemberState::Suspect {
            return;
        }
        let record = MemberRecord {
            state: MemberState::Suspect,
            ..entry.record.clone()
        };
        self.counters.suspicions += 1;
        self.send_record(cx, record.udp_addr(), &record);
        self.store(cx, record);
    }

    /// Asks suspected members once more shortly before the end of their time, and
    /// declares those dead that did not refute.
    pub(super) fn end_suspicions(&mut self, cx: &mut StepContext<'_>) {
        if cx.now < self.suspicion_scan_at {
            return;
        }
        let lead = self.last_probe_lead();
        let (mut asked, mut ended) = (Vec::new(), Vec::new());
        self.suspicion_scan_at = Instant::MAX;
        for entry in self.table.iter_mut() {
            let Some(until) = entry.suspect_until else {
                continue;
            };
            let ask_at = until.saturating_sub_micros(lead);
            if until <= cx.now {
                ended.push(entry.ended_record());
                continue;
            }
            if !entry.asked && ask_at <= cx.now {
                entry.asked = true;
                asked.push(entry.record.clone());
            }
            let next = if entry.asked { until } else { ask_at };
            self.suspicion_scan_at = self.suspicion_scan_at.min(next);
        }
        asked
            .iter()
            .for_each(|record| self.ask_once_more(cx, record));
        self.counters.deaths += ended.len() as u64;
        for record in ended {
            self.store(cx, record);
        }
    }

    /// Returns how long before the end of a suspicion the member is asked once more,
    /// in microseconds.
    pub(super) fn last_probe_lead(&self) -> u64 {
        self.settings
            .probe_interval_ms
            .saturating_mul(MICROS_PER_MILLI)
    }

    /// Sends a suspected member a probe with the suspicion, and again if it is not
    /// answered in the direct time. Without it, a node that
    /// the refutation did not reach in time would declare a live member dead: after a
    /// partition, refutations wait behind thousands of other changes. The probe
    /// carries no other records, because every node sends it.
    fn ask_once_more(&mut self, cx: &mut StepContext<'_>, record: &MemberRecord) {
        if self.probes.is_pending(&record.name) {
            return;
        }
        let ping = self.start_probe(cx, ProbeSubject::Unresponsive(record.name.clone()));
        self.send_claim(cx, ping, record);
    }

    /// Sends a member a ping with nothing but the record that it should refute.
    pub(super) fn send_claim(
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
