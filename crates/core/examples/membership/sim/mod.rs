//! Simulates the members of a fleet in one process, in virtual time and with simulated
//! datagrams.
//!
//! Used by the tests of the membership protocol and by the example `membership`.

mod hosts;
pub(crate) mod scenario;

use hosts::is_remote;
pub(crate) use hosts::{addr, record};

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    net::SocketAddr,
    ops::RangeInclusive,
    rc::Rc,
};

use plantainpost_core::{
    ids::{Incarnation, NodeName},
    member::{
        Action, MAX_MESSAGE_BYTES, MemberEvent, MemberRecord, MemberSettings, MemberState,
        Membership, Message,
    },
    time::{Instant, MICROS_PER_SECOND},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Time between two ticks of a node.
const TICK_MS: u64 = 100;

/// Number of datagrams that the socket of a frozen node buffers.
const SOCKET_BACKLOG_DATAGRAMS: usize = 200;

/// Bytes of a datagram besides the message: IP and UDP headers, HMAC, envelope.
const DATAGRAM_OVERHEAD_BYTES: u64 = 46;

/// Faults and delays of the simulated network. Random delays reorder datagrams.
#[derive(Clone, Debug)]
pub(crate) struct Network {
    /// Datagrams lost, in permille.
    pub(crate) loss_permille: u32,
    /// Datagrams delivered twice, in permille.
    pub(crate) duplicate_permille: u32,
    /// One-way delay in microseconds.
    pub(crate) delay_us: RangeInclusive<u64>,
}

impl Default for Network {
    fn default() -> Self {
        Network {
            loss_permille: 20,
            duplicate_permille: 0,
            delay_us: 300..=2_000,
        }
    }
}

/// One node and the state of its process.
pub(crate) struct Node {
    pub(crate) member: Membership,
    /// Whether the process runs.
    pub(crate) running: bool,
    frozen: bool,
    /// Incarnation at the start of the process.
    start_incarnation: Incarnation,
    backlog: Vec<(SocketAddr, Rc<Message>)>,
    pub(crate) sent_bytes: u64,
    pub(crate) received_bytes: u64,
}

enum ScheduledEvent {
    Tick(usize),
    Deliver(SocketAddr, SocketAddr, Rc<Message>),
}

/// A membership event that one node reported.
pub(crate) struct ObservedEvent {
    pub(crate) at: Instant,
    pub(crate) event: MemberEvent,
    /// Whether the member that the event is about was running and reachable.
    pub(crate) subject_reachable: bool,
}

/// The simulated fleet.
pub(crate) struct Sim {
    pub(crate) now: Instant,
    pub(crate) nodes: Vec<Node>,
    pub(crate) network: Network,
    /// If set, nodes below this index and the other nodes can't reach each other.
    pub(crate) partition_at: Option<usize>,
    pub(crate) observed: Vec<ObservedEvent>,
    /// Addresses that a node knows when it starts.
    pub(crate) contacts: Vec<SocketAddr>,
    /// Bytes sent between data centres so far.
    pub(crate) remote_bytes: u64,
    settings: MemberSettings,
    rng: StdRng,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    scheduled: HashMap<u64, ScheduledEvent>,
    last_id: u64,
    by_addr: HashMap<SocketAddr, usize>,
    by_name: BTreeMap<String, usize>,
}

impl Sim {
    pub(crate) fn new(seed: u64, network: Network, settings: MemberSettings) -> Self {
        Sim {
            now: Instant::from_millis(60_000),
            nodes: Vec::new(),
            network,
            partition_at: None,
            observed: Vec::new(),
            contacts: (0..4).map(addr).collect(),
            remote_bytes: 0,
            settings,
            rng: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            scheduled: HashMap::new(),
            last_id: 0,
            by_addr: HashMap::new(),
            by_name: BTreeMap::new(),
        }
    }

    /// Starts `n` nodes at once. The first four are the contacts of all nodes.
    pub(crate) fn start_fleet(&mut self, n: usize) {
        for i in 0..n {
            self.start(&format!("node-{i:04}.fleet"));
        }
    }

    /// Starts a node on a new host, and returns its index. It replaces a node of the same
    /// name.
    pub(crate) fn start(&mut self, name: &str) -> usize {
        let i = self.nodes.len();
        let incarnation = 1_796_000_000_000_000 + self.now.as_micros();
        let local = record(name, i, incarnation);
        let node = Node {
            start_incarnation: local.incarnation,
            member: Membership::new(self.settings.clone(), local, &self.contacts, self.now),
            running: true,
            frozen: false,
            backlog: Vec::new(),
            sent_bytes: 0,
            received_bytes: 0,
        };
        self.nodes.push(node);
        self.by_addr.insert(addr(i), i);
        self.by_name.insert(name.to_string(), i);
        let micros = self.rng.random_range(0..TICK_MS * 1_000);
        self.schedule(
            self.now.saturating_add_micros(micros),
            ScheduledEvent::Tick(i),
        );
        i
    }

    /// Starts a stopped node again on its host, with a higher incarnation.
    pub(crate) fn restart(&mut self, i: usize) {
        let mut local = self.nodes[i].member.local().clone();
        local.state = MemberState::Alive;
        local.incarnation = Incarnation(1_796_000_000_000_000 + self.now.as_micros());
        let settings = self.settings.clone();
        self.nodes[i].start_incarnation = local.incarnation;
        self.nodes[i].member = Membership::new(settings, local, &self.contacts, self.now);
        self.nodes[i].running = true;
        let micros = self.rng.random_range(0..TICK_MS * 1_000);
        self.schedule(
            self.now.saturating_add_micros(micros),
            ScheduledEvent::Tick(i),
        );
    }

    /// Stops the process of a node without notice.
    pub(crate) fn kill(&mut self, i: usize) {
        self.nodes[i].running = false;
    }

    /// Pauses the process of a node until `resume`. Its socket buffers datagrams.
    pub(crate) fn freeze(&mut self, i: usize) {
        self.nodes[i].frozen = true;
    }

    /// Resumes a frozen process, which first receives the buffered datagrams.
    pub(crate) fn resume(&mut self, i: usize) {
        self.nodes[i].frozen = false;
        for (from, message) in std::mem::take(&mut self.nodes[i].backlog) {
            self.receive(i, from, &message);
        }
        self.schedule(self.now, ScheduledEvent::Tick(i));
    }

    /// Calls the membership of a node and performs the returned actions.
    pub(crate) fn call_member(
        &mut self,
        i: usize,
        call: impl FnOnce(&mut Membership, Instant, &mut StdRng) -> Vec<Action>,
    ) {
        let actions = call(&mut self.nodes[i].member, self.now, &mut self.rng);
        self.perform(i, actions);
    }

    /// Advances the virtual time by `ms` milliseconds.
    pub(crate) fn run_ms(&mut self, ms: u64) {
        let end = self.now.saturating_add_millis(ms);
        while let Some(&Reverse((at, id))) = self.queue.peek()
            && at <= end
        {
            self.queue.pop();
            self.now = at;
            match self.scheduled.remove(&id) {
                Some(ScheduledEvent::Tick(i)) => self.tick(i),
                Some(ScheduledEvent::Deliver(from, to, message)) => {
                    self.deliver(from, to, &message)
                }
                None => {}
            }
        }
        self.now = end;
    }

    /// Advances the virtual time until `done`, which is checked every 100 ms. Returns the
    /// time taken in milliseconds, or `None` if it exceeds `limit_ms`.
    pub(crate) fn run_until(&mut self, limit_ms: u64, done: impl Fn(&Sim) -> bool) -> Option<u64> {
        for ms in (0..=limit_ms).step_by(TICK_MS as usize) {
            if done(self) {
                return Some(ms);
            }
            self.run_ms(TICK_MS);
        }
        None
    }

    fn schedule(&mut self, at: Instant, event: ScheduledEvent) {
        self.last_id += 1;
        self.queue.push(Reverse((at, self.last_id)));
        self.scheduled.insert(self.last_id, event);
    }

    fn tick(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        if !node.running || node.frozen {
            return;
        }
        let actions = node.member.tick(self.now, &mut self.rng);
        self.perform(i, actions);
        let next = self.now.saturating_add_millis(TICK_MS);
        self.schedule(next, ScheduledEvent::Tick(i));
    }

    fn deliver(&mut self, from: SocketAddr, to: SocketAddr, message: &Rc<Message>) {
        let Some(&i) = self.by_addr.get(&to) else {
            return;
        };
        let node = &mut self.nodes[i];
        if !node.running {
            return;
        }
        if !node.frozen {
            self.receive(i, from, message);
        } else if node.backlog.len() < SOCKET_BACKLOG_DATAGRAMS {
            node.backlog.push((from, Rc::clone(message)));
        }
    }

    fn receive(&mut self, i: usize, from: SocketAddr, message: &Message) {
        let node = &mut self.nodes[i];
        node.received_bytes += message.encoded_len() as u64 + DATAGRAM_OVERHEAD_BYTES;
        let actions = node.member.receive(self.now, from, message, &mut self.rng);
        self.perform(i, actions);
    }

    fn perform(&mut self, i: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(i, to, message),
                Action::Event(event) => self.record_event(i, event),
            }
        }
    }

    fn send(&mut self, i: usize, to: SocketAddr, message: Message) {
        let len = message.encoded_len();
        assert!(len <= MAX_MESSAGE_BYTES, "{len} bytes: {message:?}");
        let bytes = len as u64 + DATAGRAM_OVERHEAD_BYTES;
        self.nodes[i].sent_bytes += bytes;
        if self.by_addr.get(&to).is_some_and(|&to| is_remote(i, to)) {
            self.remote_bytes += bytes;
        }
        let from = self.nodes[i].member.local().udp_addr();
        let message = Rc::new(message);
        let copies = 1 + u32::from(self.chance(self.network.duplicate_permille));
        for _ in 0..copies {
            let partitioned = self
                .by_addr
                .get(&to)
                .is_some_and(|&j| self.is_partitioned(i, j));
            if partitioned || self.chance(self.network.loss_permille) {
                continue;
            }
            let delay = self.rng.random_range(self.network.delay_us.clone());
            let at = self.now.saturating_add_micros(delay);
            self.schedule(at, ScheduledEvent::Deliver(from, to, Rc::clone(&message)));
        }
    }

    fn chance(&mut self, permille: u32) -> bool {
        self.rng.random_range(0..1_000) < permille
    }

    fn is_partitioned(&self, i: usize, j: usize) -> bool {
        self.partition_at.is_some_and(|at| (i < at) != (j < at))
    }

    fn record_event(&mut self, observer: usize, event: MemberEvent) {
        let name = event_name(&event).as_str();
        let subject = self.by_name.get(name);
        let record = self.nodes[observer].member.get(name);
        let subject_reachable = subject.zip(record).is_some_and(|(&j, record)| {
            let node = &self.nodes[j];
            let same_process =
                record.ip == addr(j).ip() && record.incarnation >= node.start_incarnation;
            node.running && !node.frozen && same_process && !self.is_partitioned(observer, j)
        });
        self.observed.push(ObservedEvent {
            at: self.now,
            event,
            subject_reachable,
        });
    }

    /// Returns the indices of the running nodes.
    pub(crate) fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(|&i| self.nodes[i].running)
    }

    /// Returns whether `check` holds for the record of the named member at every running
    /// node.
    pub(crate) fn all_see(
        &self,
        name: &str,
        check: impl Fn(Option<&MemberRecord>) -> bool,
    ) -> bool {
        let mut others = self.running();
        others.all(|i| check(self.nodes[i].member.get(name)))
    }

    /// Returns whether every running node has the current record of every other running
    /// node. Configuration versions spread lazily and are ignored.
    pub(crate) fn converged(&self) -> bool {
        self.running().all(|j| {
            let local = self.nodes[j].member.local();
            self.all_see(local.name.as_str(), |r| {
                r.is_some_and(|r| {
                    let known = (r.incarnation, r.revision, r.state);
                    known == (local.incarnation, local.revision, local.state)
                })
            })
        })
    }

    /// Returns the number of events since `start` that satisfy `accept`.
    pub(crate) fn count(&self, start: Instant, accept: impl Fn(&ObservedEvent) -> bool) -> usize {
        let recent = self.observed.iter().filter(|s| s.at >= start);
        recent.filter(|s| accept(s)).count()
    }

    /// Returns the bytes per second that each running node sent and received since the
    /// instant `since`, at which the counts were `before`. Nodes added later are left out.
    pub(crate) fn rates(&self, before: &[(u64, u64)], since: Instant) -> Vec<(u64, u64)> {
        let micros = self.now.micros_since(since).max(1);
        let rate = |now: u64, then: u64| (now - then) * MICROS_PER_SECOND / micros;
        let rates = self.running().filter(|&i| i < before.len()).map(|i| {
            let (sent, received) = before[i];
            let node = &self.nodes[i];
            (
                rate(node.sent_bytes, sent),
                rate(node.received_bytes, received),
            )
        });
        rates.collect()
    }

    /// Returns the bytes sent and received so far by each node.
    pub(crate) fn bytes(&self) -> Vec<(u64, u64)> {
        let bytes = |n: &Node| (n.sent_bytes, n.received_bytes);
        self.nodes.iter().map(bytes).collect()
    }
}

/// Returns the member that an event is about.
pub(crate) fn event_name(event: &MemberEvent) -> &NodeName {
    match event {
        MemberEvent::Joined { name }
        | MemberEvent::Suspected { name }
        | MemberEvent::Refuted { name }
        | MemberEvent::Died { name }
        | MemberEvent::Leaving { name }
        | MemberEvent::Left { name }
        | MemberEvent::TargetChanged { name }
        | MemberEvent::PeerAhead { name, .. } => name,
    }
}
