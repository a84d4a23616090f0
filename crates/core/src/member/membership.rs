//! The member table and the protocol that keeps it up to date.

use std::net::SocketAddr;

use rand::{Rng, seq::IndexedRandom};

use super::{Action, Counters, MemberEvent, MemberRecord, MemberSettings, MemberState};
use super::{Message, TargetInfo};
use crate::{collections::HashMap, ids::NodeName, time::Instant};

/// Membership of one node.
pub struct Membership {
    settings: MemberSettings,
    local: MemberRecord,
    read_to: u64,
    contacts: Vec<SocketAddr>,
    table: HashMap<NodeName, MemberRecord>,
    next_probe: Instant,
    seq: u32,
    generation: u64,
    counters: Counters,
}

impl Membership {
    /// Creates the membership of a node that knows only its contacts.
    pub fn new(
        settings: MemberSettings,
        local: MemberRecord,
        contacts: &[SocketAddr],
        now: Instant,
    ) -> Self {
        Membership {
            settings,
            local,
            read_to: 0,
            contacts: contacts.to_vec(),
            table: HashMap::default(),
            next_probe: now,
            seq: 0,
            generation: 0,
            counters: Counters::default(),
        }
    }

    /// Does what is due. To be called about every 100 ms.
    pub fn tick(&mut self, now: Instant, rng: &mut dyn Rng) -> Vec<Action> {
        if now < self.next_probe {
            return Vec::new();
        }
        self.next_probe = now.saturating_add_millis(self.settings.period_ms);
        self.seq = self.seq.wrapping_add(1);
        let peer = self.random_peers(1, rng).into_iter().next();
        let (to, addr) = match peer {
            Some((name, addr)) => (Some(name), addr),
            None => match self.contacts.choose(rng) {
                Some(addr) => (None, *addr),
                None => return Vec::new(),
            },
        };
        let message = Message::Ping {
            seq: self.seq,
            from: self.local.name.clone(),
            to,
            read_to: self.read_to,
            records: vec![self.local.clone()],
        };
        vec![Action::Send { to: addr, message }]
    }

    /// Handles one message.
    pub fn receive(
        &mut self,
        _now: Instant,
        from: SocketAddr,
        message: &Message,
        _rng: &mut dyn Rng,
    ) -> Vec<Action> {
        self.counters.received += 1;
        let mut actions = Vec::new();
        for record in message.records() {
            self.merge(record, &mut actions);
        }
        if let Message::Ping { seq, .. } = message {
            let mut records = vec![self.local.clone()];
            records.extend(self.table.values().take(8).cloned());
            let message = Message::Ack {
                seq: *seq,
                from: self.local.name.clone(),
                read_to: self.read_to,
                records,
            };
            actions.push(Action::Send { to: from, message });
        }
        if let Message::Ping { from, read_to, .. } | Message::Ack { from, read_to, .. } = message
            && *read_to > self.read_to
        {
            let (name, read_to) = (from.clone(), *read_to);
            actions.push(Action::Event(MemberEvent::PeerAhead { name, read_to }));
        }
        actions
    }

    fn merge(&mut self, record: &MemberRecord, actions: &mut Vec<Action>) {
        if record.name == self.local.name {
            self.counters.self_records += 1;
            return;
        }
        let name = record.name.clone();
        let order = |r: &MemberRecord| (r.incarnation, r.revision);
        match self.table.get(&name) {
            Some(known) if order(known) >= order(record) => self.counters.stale_records += 1,
            known => {
                let event = match known {
                    None => MemberEvent::Joined { name: name.clone() },
                    Some(_) => MemberEvent::TargetChanged { name: name.clone() },
                };
                self.table.insert(name, record.clone());
                self.generation += 1;
                actions.push(Action::Event(event));
            }
        }
    }

    /// Changes the local target and announces it at the next tick.
    pub fn set_target(&mut self, target: Option<TargetInfo>) {
        if self.local.target != target {
            self.local.target = target;
            self.local.revision += 1;
            self.generation += 1;
        }
    }

    /// Sets the configuration version in force here and the offset read so far.
    pub fn set_config(&mut self, version: u64, read_to: u64) {
        self.local.config_version = version;
        self.read_to = read_to;
    }

    /// Adds addresses to be tried as first contacts.
    pub fn add_contacts(&mut self, contacts: &[SocketAddr]) {
        self.contacts.extend_from_slice(contacts);
    }

    /// Announces that this node will stop, and tells several peers at once.
    pub fn leave(&mut self, _now: Instant, rng: &mut dyn Rng) -> Vec<Action> {
        self.announce(MemberState::Leaving, rng)
    }

    /// Announces that this node stops now, and tells several peers at once. To be
    /// called after [`leave`](Self::leave), when the last request has finished.
    pub fn depart(&mut self, _now: Instant, rng: &mut dyn Rng) -> Vec<Action> {
        self.announce(MemberState::Left, rng)
    }

    fn announce(&mut self, state: MemberState, rng: &mut dyn Rng) -> Vec<Action> {
        self.local.state = state;
        self.local.revision += 1;
        self.generation += 1;
        let message = Message::Records {
            seq: 0,
            records: vec![self.local.clone()],
        };
        let peers = self.random_peers(self.settings.own_fanout, rng);
        let send = |(_, to)| Action::Send {
            to,
            message: message.clone(),
        };
        peers.into_iter().map(send).collect()
    }

    /// Returns all known records, dead members included, the local one first.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        std::iter::once(&self.local).chain(self.table.values())
    }

    /// Returns the record of a member, which may be the local one.
    pub fn get(&self, name: &str) -> Option<&MemberRecord> {
        if name == self.local.name.as_str() {
            return Some(&self.local);
        }
        self.table.get(name)
    }

    /// Returns the record of this node.
    pub fn local(&self) -> &MemberRecord {
        &self.local
    }

    /// Returns a number that changes whenever a record changes.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns up to `n` distinct random members that are alive.
    pub fn random_peers(&self, n: usize, rng: &mut dyn Rng) -> Vec<(NodeName, SocketAddr)> {
        let alive: Vec<&MemberRecord> = self
            .table
            .values()
            .filter(|r| r.state == MemberState::Alive)
            .collect();
        let chosen = alive.sample(rng, n);
        chosen.map(|r| (r.name.clone(), r.udp_addr())).collect()
    }

    /// Returns the counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }
}
