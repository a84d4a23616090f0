//! Applies received records to the member table.

use super::{Action, merge::RecordFault};
use super::{
    MemberRecord, MemberState, Membership, gossip::PushPriority, merge, send::StepContext,
};
use crate::{ids::Incarnation, time::Instant};

impl Membership {
    /// Applies received records to the member table.
    pub(super) fn apply_records(&mut self, cx: &mut StepContext<'_>, records: &[MemberRecord]) {
        for record in records {
            self.apply_record(cx, record);
        }
    }

    fn apply_record(&mut self, cx: &mut StepContext<'_>, record: &MemberRecord) {
        if let Err(fault) = merge::validate(record, self.known_incarnation(record)) {
            return self.count_rejected(fault);
        }
        if record.name == self.local.name {
            return self.apply_local_record(record);
        }
        let Some(entry) = self.table.get(record.name.as_str()) else {
            return self.apply_new_member(cx, record);
        };
        let known = &entry.record;
        if is_unconfirmed_death(known, record) {
            self.counters.unconfirmed_deaths += 1;
            if known.state != MemberState::Suspect {
                self.probes.queue_verification(record);
            }
            return;
        }
        if known.state == MemberState::Dead && record.incarnation <= known.incarnation {
            self.counters.stale_records += 1;
            return self.verify_dead_member(cx.now, record);
        }
        let merged = merge::merge_records(known, record);
        if merged == *known {
            self.counters.stale_records += 1;
            return;
        }
        self.store_record(cx, merged);
        if record.state == MemberState::Leaving
            && let Some(entry) = self.table.get_mut(record.name.as_str())
        {
            entry.was_leaving = true;
        }
    }

    fn known_incarnation(&self, record: &MemberRecord) -> Incarnation {
        let known = self.get(record.name.as_str()).map(|r| r.incarnation);
        known.unwrap_or_default().max(self.local.incarnation)
    }

    fn count_rejected(&mut self, fault: RecordFault) {
        match fault {
            RecordFault::Address => self.counters.bad_addresses += 1,
            RecordFault::Incarnation => self.counters.bad_incarnations += 1,
            RecordFault::Size => self.counters.oversized += 1,
        }
    }

    fn apply_new_member(&mut self, cx: &mut StepContext<'_>, record: &MemberRecord) {
        let full = self.table.len() >= self.settings.max_members;
        if full && (record.state.is_terminal() || !self.table.evict_oldest_terminal()) {
            self.counters.table_full += 1;
            return;
        }
        if !record.state.is_terminal() {
            self.schedule_follow_up_sync(cx);
        }
        self.store_record(cx, record.clone());
    }

    /// Probes a member that is dead here but alive according to a peer, and sends it the
    /// record to refute. After a partition, both sides hold such records.
    fn verify_dead_member(&mut self, now: Instant, record: &MemberRecord) {
        let next_verification_at = now.saturating_add_millis(self.settings.reconnect_interval_ms);
        let Some(entry) = self.table.get_mut(record.name.as_str()) else {
            return;
        };
        if !record.state.is_terminal() && entry.next_verification_at <= now {
            entry.next_verification_at = next_verification_at;
            self.probes.queue_verification(&entry.record);
        }
    }

    /// Refutes a record about this node that is wrong.
    fn apply_local_record(&mut self, record: &MemberRecord) {
        let local = &self.local;
        let version = |r: &MemberRecord| (r.incarnation, r.state, r.revision);
        let other_address = record.udp_addr() != local.udp_addr();
        let address_conflict = other_address && record.incarnation == local.incarnation;
        if version(record) <= version(local) && !address_conflict {
            self.counters.self_records += 1;
            return;
        }
        // A live host at another address has taken over the name. If both refuted each
        // other, their incarnations would rise without end. If that host is dead, its
        // record will say so.
        if other_address && !record.state.is_terminal() && !address_conflict {
            self.counters.name_conflicts += 1;
            return;
        }
        let incarnation = record.incarnation.max(local.incarnation).0;
        self.local.incarnation.0 = incarnation.saturating_add(1);
        self.counters.refutations += 1;
        self.generation += 1;
        self.local_push_pending = true;
    }

    /// Stores a record that differs from the known one, reports the change and queues it
    /// for dissemination.
    pub(super) fn store_record(&mut self, cx: &mut StepContext<'_>, record: MemberRecord) {
        let name = record.name.clone();
        let old = self.table.get(name.as_str()).map(|e| e.record.clone());
        let was_present = old.as_ref().is_some_and(|r| !r.state.is_terminal());
        if !was_present && !record.state.is_terminal() {
            self.probes.insert_in_round(name.clone(), cx.rng);
        }
        let events = merge::change_events(old.as_ref(), &record);
        cx.actions.extend(events.into_iter().map(Action::Event));
        if merge::needs_dissemination(old.as_ref(), &record) {
            self.gossip.add(&name, push_priority(old.as_ref(), &record));
        }
        let suspect_until = self.suspicion_deadline(cx.now);
        if record.state == MemberState::Suspect {
            let last_probe_at = suspect_until.saturating_sub_micros(self.last_probe_lead_us());
            self.next_suspicion_scan = self.next_suspicion_scan.min(last_probe_at);
        }
        self.table.put(record, cx.now, suspect_until);
        self.generation += 1;
    }

    /// Returns when a suspicion raised now expires. The timeout is multiplied while this
    /// node itself seems to be isolated.
    fn suspicion_deadline(&self, now: Instant) -> Instant {
        let factor = u64::from(1 + self.isolation_score);
        now.saturating_add_millis(self.settings.suspicion_timeout_ms.saturating_mul(factor))
    }
}

/// Returns whether a received record declares a member dead that is not dead here.
///
/// Such a record may come from the other side of a partition or from an isolated node,
/// so it is not applied: a suspected member keeps its time to refute, and any other
/// member is probed.
fn is_unconfirmed_death(known: &MemberRecord, record: &MemberRecord) -> bool {
    record.state == MemberState::Dead
        && !known.state.is_terminal()
        && record.incarnation >= known.incarnation
}

fn push_priority(old: Option<&MemberRecord>, new: &MemberRecord) -> PushPriority {
    let takes_work = |r: &MemberRecord| r.target.as_ref().is_some_and(|t| !t.draining);
    let stops_work = old.is_some_and(takes_work) && !takes_work(new);
    let refuted = old.is_some_and(|r| r.state == MemberState::Suspect);
    let moved = old.is_some_and(|r| !r.state.is_terminal() && r.udp_addr() != new.udp_addr());
    match new.state {
        // Every member that knows of the suspicion declares the death by itself.
        MemberState::Dead => PushPriority::PiggybackOnly,
        MemberState::Left if old.is_none() => PushPriority::PiggybackOnly,
        MemberState::Left | MemberState::Leaving => PushPriority::Immediate,
        MemberState::Alive if refuted => PushPriority::Immediate,
        _ if stops_work || moved => PushPriority::Immediate,
        _ => PushPriority::Budgeted,
    }
}
