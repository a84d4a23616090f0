//! A fleet of owners and holders in virtual time, with a faulty network.

use std::{collections::BTreeMap, ops::RangeInclusive, rc::Rc};

use plantainpost_core::{
    ids::{Incarnation, NodeName},
    member::{MemberRecord, MemberState},
    quota::{
        Claim, Claimant, Credit, Decision, Grant, HolderOutput, Ownership, Peers, QuotaHolder,
        QuotaOwner,
    },
    time::Instant,
    workspace::QuotaLimit,
};
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};

/// Step of the simulation, in milliseconds.
const STEP_MS: u64 = 5;

/// Interval between two updates of the member tables, in milliseconds.
const VIEW_INTERVAL_MS: u64 = 25;

/// Interval between two observations by each node, in steps.
const STEPS_PER_TICK: u64 = 20;

#[derive(Clone)]
enum Message {
    Claim(Claim, Incarnation),
    Grant(Grant, Incarnation),
}

struct Host {
    name: NodeName,
    incarnation: Incarnation,
    holder: QuotaHolder,
    owner: QuotaOwner,
    ownership: Ownership,
    /// State of each host in the table of this one, and when it takes the next state.
    view: Vec<(MemberState, Incarnation, Option<u64>)>,
    generation: u64,
    /// Data centre for partitions.
    side: usize,
    /// Not running until this time; messages wait.
    frozen_until: u64,
    /// Stopped until this time; messages are lost.
    dead_until: u64,
    due_at: u64,
    waiting: usize,
}

#[derive(Clone, Copy)]
pub(crate) struct Load {
    pub(crate) requests_per_s: f64,
    /// Share of granted requests that do not run and return their credit.
    pub(crate) not_run: f64,
}

pub(crate) struct Sim {
    pub(crate) rng: StdRng,
    pub(crate) now: u64,
    hosts: Vec<Host>,
    /// Messages by arrival: sender, receiver.
    network: BTreeMap<(u64, u64), (usize, usize, Message)>,
    sent: u64,
    /// When the first host of a side suspects a peer.
    first_suspicions: BTreeMap<(usize, usize), u64>,
    /// Share of messages that are lost, and that are delivered twice.
    pub(crate) loss: f64,
    pub(crate) duplicates: f64,
    /// Whether hosts of different sides reach each other.
    pub(crate) connected: bool,
    pub(crate) limit: QuotaLimit,
    pub(crate) load: Load,
    workspace: Rc<str>,
    /// Times of the requests that ran.
    pub(crate) runs: Vec<u64>,
    pub(crate) refused: Vec<u64>,
    /// Credit of requests that end as not run later.
    unused: Vec<(u64, usize, Credit)>,
    pub(crate) alone: u64,
    pub(crate) messages: u64,
}

impl Sim {
    /// Creates a fleet whose members know each other.
    pub(crate) fn new(seed: u64, hosts: usize, limit: QuotaLimit) -> Self {
        let mut sim = Sim {
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            hosts: Vec::new(),
            network: BTreeMap::new(),
            sent: 0,
            first_suspicions: BTreeMap::new(),
            loss: 0.0,
            duplicates: 0.0,
            connected: true,
            limit,
            load: Load {
                requests_per_s: 0.0,
                not_run: 0.0,
            },
            workspace: Rc::from("swaps"),
            runs: Vec::new(),
            refused: Vec::new(),
            unused: Vec::new(),
            alone: 0,
            messages: 0,
        };
        for index in 0..hosts {
            sim.hosts.push(Host {
                name: NodeName::from(&*format!("node-{index}")),
                incarnation: Incarnation(1),
                holder: QuotaHolder::default(),
                owner: QuotaOwner::new(Incarnation(1), Instant::default()),
                ownership: Ownership::default(),
                view: vec![(MemberState::Alive, Incarnation(1), None); hosts],
                generation: 1,
                side: index % 2,
                frozen_until: 0,
                dead_until: 0,
                due_at: u64::MAX,
                waiting: 0,
            });
        }
        sim
    }

    fn instant(&self) -> Instant {
        Instant::from_millis(self.now)
    }

    /// Runs until `at`, in milliseconds.
    pub(crate) fn run_until(&mut self, at: u64) {
        while self.now < at {
            self.now += STEP_MS;
            self.deliver();
            for index in 0..self.hosts.len() {
                if self.now.is_multiple_of(VIEW_INTERVAL_MS) {
                    self.update_view(index);
                }
                if self.is_running(index) {
                    self.tick(index);
                }
            }
            self.arrive();
            self.end_requests();
        }
    }

    fn is_running(&self, index: usize) -> bool {
        let host = &self.hosts[index];
        self.now >= host.frozen_until && self.now >= host.dead_until
    }

    /// Index of the host that owns the workspace according to host `index`.
    pub(crate) fn owner_of(&mut self, index: usize) -> Option<usize> {
        self.refresh(index);
        let workspace = Rc::clone(&self.workspace);
        let owner = self.hosts[index].ownership.owner(&workspace)?.node.clone();
        self.hosts.iter().position(|host| host.name == owner)
    }

    pub(crate) fn freeze(&mut self, index: usize, ms: u64) {
        self.hosts[index].frozen_until = self.now + ms;
    }

    /// Stops a host, and starts it again with no memory.
    pub(crate) fn kill(&mut self, index: usize, ms: u64) {
        let hosts = self.hosts.len();
        let until = self.now + ms;
        let host = &mut self.hosts[index];
        host.dead_until = until;
        host.incarnation.0 += 1;
        host.holder = QuotaHolder::default();
        host.owner = QuotaOwner::new(host.incarnation, Instant::from_millis(until));
        // It finds its peers within a second, as do restarted nodes.
        let own = (MemberState::Alive, host.incarnation, None);
        let unknown = (MemberState::Left, Incarnation(0), None);
        host.view = vec![unknown; hosts];
        host.view[index] = own;
        host.generation += 1;
        host.waiting = 0;
        self.unused.retain(|(_, holder, _)| *holder != index);
    }

    /// Moves the table of a host towards the truth, with the delays of the membership protocol.
    fn update_view(&mut self, index: usize) {
        for peer in 0..self.hosts.len() {
            if peer == index || self.now < self.hosts[index].dead_until {
                continue;
            }
            let same_side = self.connected || self.hosts[peer].side == self.hosts[index].side;
            let reachable = same_side && self.is_running(peer) && self.is_running(index);
            let incarnation = self.hosts[peer].incarnation;
            let (state, known, change_at) = self.hosts[index].view[peer];
            let (next, delay) = match (state, reachable) {
                (MemberState::Alive, true) if known == incarnation => {
                    self.hosts[index].view[peer].2 = None;
                    continue;
                }
                (MemberState::Dead, false) => continue,
                // Others tell a restarted host of the peer.
                (MemberState::Left, false) if self.is_told_of(index, peer) => {
                    (MemberState::Alive, 100..=1_500)
                }
                (MemberState::Left, false) => continue,
                (MemberState::Alive, false) => (MemberState::Suspect, 1_000..=5_000),
                (MemberState::Suspect, false) => (MemberState::Dead, 5_000..=5_500),
                (_, true) => (MemberState::Alive, 100..=1_500),
                (other, false) => (other, 0..=1),
            };
            match change_at {
                None => {
                    let at = match next {
                        MemberState::Suspect => self.suspected_at(index, peer, delay),
                        _ => self.now + self.rng.random_range(delay),
                    };
                    self.hosts[index].view[peer].2 = Some(at);
                }
                Some(at) if self.now >= at => {
                    self.hosts[index].view[peer] = (next, incarnation, None);
                    self.hosts[index].generation += 1;
                }
                Some(_) => (),
            }
        }
    }

    /// Reports whether a running host on the same side takes a peer for alive or suspected.
    fn is_told_of(&self, index: usize, peer: usize) -> bool {
        let side = self.hosts[index].side;
        (0..self.hosts.len()).any(|other| {
            let host = &self.hosts[other];
            let in_reach = self.connected || host.side == side;
            let known = matches!(host.view[peer].0, MemberState::Alive | MemberState::Suspect);
            in_reach && known && other != peer && self.is_running(other)
        })
    }

    /// Returns when a host suspects a peer. The first suspicion on a side spreads there within a
    /// second.
    fn suspected_at(&mut self, index: usize, peer: usize, delay: RangeInclusive<u64>) -> u64 {
        let (now, side) = (self.now, self.hosts[index].side);
        let first = now + self.rng.random_range(delay);
        let first_at = self.first_suspicions.entry((side, peer)).or_insert(first);
        if *first_at + 1_000 < now {
            *first_at = first;
        }
        *first_at + self.rng.random_range(0..1_000)
    }

    fn refresh(&mut self, index: usize) {
        let now = self.instant();
        let records: Vec<MemberRecord> = self.hosts[index]
            .view
            .iter()
            .zip(&self.hosts)
            .map(|((state, incarnation, _), host)| record(&host.name, *state, *incarnation))
            .collect();
        // The store has the contacts of all hosts.
        let expected = self.hosts.len();
        let host = &mut self.hosts[index];
        host.ownership
            .refresh(host.generation, expected, records.iter());
        let owner = host
            .ownership
            .owner(&self.workspace)
            .map(|owner| owner.node.clone());
        let owned = (owner == Some(host.name.clone())).then_some((&self.workspace, self.limit));
        host.owner
            .set_owned(now, host.ownership.share(), owned.into_iter());
    }

    fn tick(&mut self, index: usize) {
        if self.now.is_multiple_of(STEPS_PER_TICK * STEP_MS) {
            self.refresh(index);
            let now = self.instant();
            self.hosts[index].owner.observe(now);
        }
        if self.hosts[index].waiting > 0 && self.now >= self.hosts[index].due_at {
            let workspace = Rc::clone(&self.workspace);
            let out = self.with_peers(index, |holder, now, peers, rng| {
                holder.on_time(now, &workspace, peers, rng)
            });
            self.perform(index, out);
        }
    }

    fn with_peers<T>(
        &mut self,
        index: usize,
        f: impl FnOnce(&mut QuotaHolder, Instant, &Peers<'_>, &mut dyn Rng) -> T,
    ) -> T {
        let now = self.instant();
        let host = &mut self.hosts[index];
        let owner = host.ownership.owner(&self.workspace);
        let owner = owner.map(|owner| owner.node.clone());
        let members = host
            .owner
            .is_settled(now)
            .then(|| host.ownership.share().known);
        let peers = Peers {
            owner: owner.as_ref(),
            members,
        };
        f(&mut host.holder, now, &peers, &mut self.rng)
    }

    fn perform(&mut self, index: usize, out: HolderOutput) {
        self.alone += out.decided_alone;
        for outgoing in out.claims {
            let name = &outgoing.owner;
            let to = self
                .hosts
                .iter()
                .position(|host| host.name == *name)
                .expect("a host");
            let incarnation = self.hosts[index].incarnation;
            self.send(index, to, Message::Claim(outgoing.claim, incarnation));
        }
        for (_, decision) in out.decisions {
            self.hosts[index].waiting -= 1;
            self.decide(index, decision);
        }
        let due_at = self.hosts[index].holder.due_at(&self.workspace);
        self.hosts[index].due_at = due_at.map_or(u64::MAX, |at| at.as_micros().div_ceil(1_000));
    }

    fn decide(&mut self, index: usize, decision: Decision) {
        match decision {
            Decision::Granted(credit) if self.rng.random_bool(self.load.not_run) => {
                let at = self.now + self.rng.random_range(10..800);
                self.unused.push((at, index, credit));
            }
            Decision::Granted(_) => self.runs.push(self.now),
            Decision::Refused { .. } => self.refused.push(self.now),
        }
    }

    fn end_requests(&mut self) {
        let now = self.now;
        let ended: Vec<_> = self.unused.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, index, credit) in ended {
            let out = self.hosts[index]
                .holder
                .give_back(Instant::from_millis(now), &credit);
            self.perform(index, out);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.messages += u64::from(from != to);
        let copies = 1 + u64::from(self.rng.random_bool(self.duplicates));
        for _ in 0..copies {
            if from != to && self.rng.random_bool(self.loss) {
                continue;
            }
            // Copies and a few other messages are late by up to a second.
            let late = copies > 1 || self.rng.random_bool(self.loss);
            let delay = if late {
                self.rng.random_range(1..1_000)
            } else {
                2
            };
            self.sent += 1;
            self.network
                .insert((self.now + delay, self.sent), (from, to, message.clone()));
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.network.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (from, to, message) = entry.remove();
            let cut = !self.connected && self.hosts[from].side != self.hosts[to].side;
            if cut || self.now < self.hosts[to].dead_until {
                continue;
            }
            if self.now < self.hosts[to].frozen_until {
                self.sent += 1;
                let at = self.hosts[to].frozen_until;
                self.network.insert((at, self.sent), (from, to, message));
                continue;
            }
            self.receive(from, to, message);
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        let now = self.instant();
        match message {
            Message::Claim(claim, incarnation) => {
                let node = self.hosts[from].name.clone();
                let claimant = Claimant {
                    node: &node,
                    incarnation,
                };
                if let Some(grant) = self.hosts[to].owner.answer(now, &claimant, &claim) {
                    self.send(to, from, Message::Grant(grant, incarnation));
                }
            }
            Message::Grant(grant, incarnation) => {
                if self.hosts[to].incarnation == incarnation {
                    let out = self.with_peers(to, |holder, now, peers, rng| {
                        holder.on_grant(now, &grant, peers, rng)
                    });
                    self.perform(to, out.unwrap_or_default());
                }
            }
        }
    }

    fn arrive(&mut self) {
        let mean = self.load.requests_per_s * STEP_MS as f64 / 1_000.0;
        let count = mean as u64 + u64::from(self.rng.random_bool(mean.fract()));
        for _ in 0..count {
            let index = self.rng.random_range(0..self.hosts.len());
            if !self.is_running(index) {
                continue;
            }
            let (workspace, limit) = (Rc::clone(&self.workspace), self.limit);
            let (answer, out) = self.with_peers(index, |holder, now, peers, rng| {
                holder.request(now, &workspace, limit, peers, rng)
            });
            self.hosts[index].waiting += usize::from(answer.is_err());
            self.perform(index, out);
            if let Ok(decision) = answer {
                self.decide(index, decision);
            }
        }
    }
}

pub(crate) fn record(
    name: &NodeName,
    state: MemberState,
    incarnation: Incarnation,
) -> MemberRecord {
    MemberRecord {
        name: name.clone(),
        incarnation,
        revision: 0,
        state,
        ip: [127, 0, 0, 1].into(),
        tcp_port: 1,
        udp_port: 1,
        data_centre: "a".into(),
        region: "r".into(),
        target: None,
        store_reads_fail: false,
        config_version: 0,
    }
}

pub(crate) fn limit(per_s: f64, burst: u64) -> QuotaLimit {
    QuotaLimit {
        per_1000_s: (per_s * 1_000.0) as u64,
        burst,
    }
}

impl Sim {
    pub(crate) fn random_fault(&mut self) -> String {
        let owner = self.owner_of(0);
        let index = owner.filter(|_| self.rng.random_bool(0.6));
        let index = index.unwrap_or_else(|| self.rng.random_range(0..self.hosts.len()));
        let ms = self.rng.random_range(100..9_000);
        match self.rng.random_range(0..6) {
            0 => {
                self.kill(index, ms);
                format!("kill {index} for {ms}")
            }
            1 => {
                self.freeze(index, ms);
                format!("freeze {index} for {ms}")
            }
            2 => {
                self.connected = !self.connected;
                format!("connected {}", self.connected)
            }
            3 => {
                (0..self.hosts.len())
                    .step_by(2)
                    .for_each(|i| self.kill(i, ms));
                format!("kill half for {ms}")
            }
            4 => {
                (0..self.hosts.len()).for_each(|i| self.kill(i, 300));
                "restart all".to_owned()
            }
            _ => "none".to_owned(),
        }
    }
}
