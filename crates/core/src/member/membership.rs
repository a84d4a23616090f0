//! The [`Membership`] type: its state, its constructor, and the changes that the local
//! node makes.

use std::net::SocketAddr;

use rand::Rng;

use super::budget::ByteBudget;
use super::gossip::GossipQueues;
use super::probe::Probes;
use super::send::StepContext;
use super::sync::SyncState;
use super::table::MemberTable;
use super::{Action, Counters, MemberRecord, MemberSettings, MemberState, TargetInfo};
use crate::{config::Progress, time::Instant};

/// Attempts to reach unknown contacts after the start, one per probe interval.
///
/// Nodes that start together know one contact each at first. Without these attempts
/// they form separate groups that join only 10 s later.
const MAX_EARLY_RECONNECTS: usize = 8;

/// Contacts that are probed as soon as a node has its first contacts.
///
/// In a fleet that starts as a whole, most of them run, and each answers with the records that it has
/// collected so far. With one contact per probe interval, a node knew no target for about a second.
const MAX_EARLY_CONTACT_PROBES: usize = 8;

/// Membership of one node.
///
/// The incarnation of the local record should be greater than those of earlier runs of
/// the node, for example the wall clock in microseconds or a coarser unit. If the clock
/// was set back, the node learns its earlier incarnation from the other members and
/// raises its own above it.
pub struct Membership {
    pub(super) settings: MemberSettings,
    /// Record of this node, which is never in `table`. Its state is `Alive`, `Leaving`
    /// or `Left`.
    pub(super) local: MemberRecord,
    /// How far this node has read the configuration. Never decreases.
    pub(super) progress: Progress,
    pub(super) contacts: Vec<SocketAddr>,
    pub(super) table: MemberTable,
    pub(super) gossip: GossipQueues,
    pub(super) probes: Probes,
    pub(super) sync: SyncState,
    pub(super) push_budget: ByteBudget,
    pub(super) sync_budget: ByteBudget,
    pub(super) next_probe: Instant,
    pub(super) next_reconnect: Instant,
    /// Remaining attempts to reach unknown contacts once per probe interval.
    pub(super) early_reconnects: usize,
    /// Remaining probes of unknown contacts, a few per tick.
    pub(super) early_contact_probes: usize,
    pub(super) next_purge: Instant,
    /// When suspicions are checked next: not later than the last probe or the expiry of
    /// any suspicion in `table`.
    pub(super) next_suspicion_scan: Instant,
    pub(super) last_tick: Instant,
    /// When the last expected message was received.
    pub(super) last_received_at: Option<Instant>,
    /// Incremented by a failed probe during which no message was received, decremented
    /// by an answer. Above zero, this node itself may be isolated.
    pub(super) isolation_score: u32,
    /// Whether a change of `local` is to be pushed at the next tick.
    pub(super) local_push_pending: bool,
    /// Last sequence number used, or zero.
    pub(super) seq: u32,
    pub(super) generation: u64,
    pub(super) counters: Counters,
}

impl Membership {
    /// Creates the membership of a node that knows only its contacts.
    pub fn new(
        settings: MemberSettings,
        local: MemberRecord,
        contacts: &[SocketAddr],
        now: Instant,
    ) -> Self {
        let budget = |rate| ByteBudget::new(rate, settings.burst_bytes, now);
        Membership {
            local,
            progress: Progress::default(),
            contacts: contacts.to_vec(),
            table: MemberTable::default(),
            gossip: GossipQueues::default(),
            probes: Probes::default(),
            sync: SyncState::new(now),
            push_budget: budget(settings.push_bytes_per_second),
            sync_budget: budget(settings.sync_bytes_per_second),
            next_probe: now,
            next_reconnect: now.saturating_add_millis(settings.probe_interval_ms),
            early_reconnects: contacts.len().min(MAX_EARLY_RECONNECTS),
            early_contact_probes: contacts.len().min(MAX_EARLY_CONTACT_PROBES),
            next_purge: now,
            next_suspicion_scan: Instant::MAX,
            last_tick: now,
            last_received_at: None,
            isolation_score: 0,
            local_push_pending: true,
            seq: 0,
            generation: 0,
            counters: Counters::default(),
            settings,
        }
    }

    /// Sets the local target and announces it at the next tick. The target of a leaving
    /// node is always announced as draining.
    pub fn set_target(&mut self, target: Option<TargetInfo>) {
        let leaving = self.local.state != MemberState::Alive;
        let target = target.map(|t| TargetInfo {
            draining: t.draining || leaving,
            ..t
        });
        if self.local.target != target {
            self.local.target = target;
            self.note_local_change();
        }
    }

    /// Sets whether the last read of the store failed, and announces a change at the next tick.
    pub fn set_store_reads_fail(&mut self, store_reads_fail: bool) {
        if self.local.store_reads_fail != store_reads_fail {
            self.local.store_reads_fail = store_reads_fail;
            self.note_local_change();
        }
    }

    /// Sets the configuration version in force at this node and how far it has read. Lower
    /// values than the current ones are ignored.
    pub fn set_config(&mut self, version: u64, progress: Progress) {
        self.progress = self.progress.merged(progress);
        if version > self.local.config_version {
            self.local.config_version = version;
            self.generation += 1;
        }
    }

    /// Returns how far this node has read the configuration.
    pub fn progress(&self) -> Progress {
        self.progress
    }

    /// Adds addresses of contacts, which are tried while no member is known and to
    /// rejoin a partitioned fleet.
    pub fn add_contacts(&mut self, contacts: &[SocketAddr]) {
        if self.table.len() == 0 {
            self.early_reconnects = contacts.len().min(MAX_EARLY_RECONNECTS);
            self.early_contact_probes = contacts.len().min(MAX_EARLY_CONTACT_PROBES);
        }
        for contact in contacts {
            if !self.contacts.contains(contact) {
                self.contacts.push(*contact);
            }
        }
    }

    /// Returns the number of addresses of contacts, which may include members that have left.
    pub fn contact_count(&self) -> usize {
        self.contacts.len()
    }

    /// Announces that this node will stop, and returns messages to several peers. Its
    /// target is draining from now on. A second call does nothing.
    pub fn leave(&mut self, now: Instant, rng: &mut dyn Rng) -> Vec<Action> {
        self.announce_state(MemberState::Leaving, now, rng)
    }

    /// Announces that this node stops now, and returns messages to several peers. Call
    /// it after [`leave`](Self::leave), when the last request has finished. From then
    /// on, the node neither sends nor answers messages.
    pub fn depart(&mut self, now: Instant, rng: &mut dyn Rng) -> Vec<Action> {
        self.announce_state(MemberState::Left, now, rng)
    }

    fn announce_state(
        &mut self,
        state: MemberState,
        now: Instant,
        rng: &mut dyn Rng,
    ) -> Vec<Action> {
        let mut cx = StepContext::new(now, rng);
        if self.local.state >= state {
            return cx.actions;
        }
        self.local.state = state;
        if let Some(target) = &mut self.local.target {
            target.draining = true;
        }
        self.note_local_change();
        self.push_local_record(&mut cx);
        cx.actions
    }

    fn note_local_change(&mut self) {
        self.local.revision += 1;
        self.generation += 1;
        self.local_push_pending = true;
    }

    /// Returns all known records, including those of dead members, the local one first.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        let others = self.table.iter().map(|entry| &entry.record);
        std::iter::once(&self.local).chain(others)
    }

    /// Returns the record of a member, which may be the local one.
    pub fn get(&self, name: &str) -> Option<&MemberRecord> {
        if name == self.local.name.as_str() {
            return Some(&self.local);
        }
        self.table.get(name).map(|entry| &entry.record)
    }

    /// Returns the record of this node.
    pub fn local(&self) -> &MemberRecord {
        &self.local
    }

    /// Returns a number that changes whenever a record changes.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the counters of the protocol since the start of the process.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }
}
