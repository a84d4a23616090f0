//! A queueing model of entries, guards and targets under virtual time.

use std::collections::{BTreeMap, VecDeque};

use plantainpost_core::{
    balance::{AnswerEvidence, Balancer, BalancerSettings, Outcome, TargetView, policy_by_name},
    ids::{DataCentre, NodeName},
    load::LoadSample,
    measure::{MeasurementBudget, PROBE_COST_US},
    retry::{AttemptOutcome, RetryBudgets, RetryQuery},
    time::Instant,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

pub(super) const NODES: [&str; 6] = ["0", "1", "2", "3", "4", "5"];
/// Title, targets, data centres, one-way distance between data centres.
pub(super) type Topology = (&'static str, usize, usize, u64);
pub(super) const SLOW: u32 = 1;
pub(super) const FAILURE: u32 = 2;
pub(super) const STUCK: u32 = 4;
pub(super) const LATE: u32 = 8;
pub(super) const COLD: u32 = 16;
pub(super) const SERVICE: &str = "service";
const ENTRIES: usize = 12;
const SLOTS: u32 = 12;
/// Mean of the exponential service time.
const SERVICE_US: f64 = 10_000.0;
const SAME_CENTRE_US: u64 = 100;
/// Nothing is counted before; the measuring budget opens after one second.
const WARM_US: u64 = 2_000_000;
const END_US: u64 = 12_000_000;
const TICK_US: u64 = 2_000;
const POLL_US: u64 = 100_000;
const LATE_US: u64 = 500_000;
const DEADLINE_US: u64 = 10_000_000;
/// A cold target is away between the first two and 5 times slower until the third.
const RESTART_US: [u64; 3] = [2_800_000, 3_000_000, 4_000_000];

struct Request {
    entry: usize,
    arrived: u64,
    work_us: u64,
    tried: Vec<NodeName>,
    target: usize,
    sent: u64,
}

pub(super) struct Entry {
    pub(super) balancer: Balancer,
    retries: RetryBudgets,
    measuring: MeasurementBudget,
}

#[derive(Default)]
struct Guard {
    running: u32,
    queue: VecDeque<Request>,
    service_us: f64,
    /// Slow phases as (from, to, factor), in order and apart.
    phases: Vec<(u64, u64, u64)>,
}

impl Guard {
    fn load(&self) -> LoadSample {
        LoadSample {
            in_flight: self.running,
            queued: self.queue.len() as u32,
            slots: SLOTS,
            service_time_us: self.service_us as u32,
            ..Default::default()
        }
    }

    fn finish_at(&self, start: u64, mut left: u64) -> u64 {
        let mut at = start;
        for &(from, to, factor) in self.phases.iter().filter(|phase| phase.1 > start) {
            let before = from.saturating_sub(at);
            if left <= before {
                break;
            }
            (at, left) = (at + before, left - before);
            let possible = (to - at) / factor;
            if left <= possible {
                return at + left * factor;
            }
            (at, left) = (to, left - possible);
        }
        at + left
    }
}

type Event = Box<dyn FnOnce(&mut Model)>;

/// One run; it ends with sorted latencies.
pub(super) struct Model {
    topology: Topology,
    row: u32,
    gap_us: f64,
    now: u64,
    sequence: u64,
    events: BTreeMap<(u64, u64), Event>,
    entries: Vec<Entry>,
    guards: Vec<Guard>,
    /// Arrivals and work: the same for every policy with the same seed.
    load_rng: StdRng,
    rng: StdRng,
    latencies_us: Vec<u64>,
    failed: usize,
}

fn exponential(rng: &mut StdRng, mean_us: f64) -> u64 {
    (-mean_us * (1.0 - rng.random::<f64>()).ln()) as u64 + 1
}

pub(super) fn entry(topology: Topology, index: usize, policy: &str) -> Entry {
    let cfg = BalancerSettings {
        entry: NodeName::from(format!("entry-{index}").as_str()),
        data_centre: DataCentre::from(NODES[index % topology.2]),
        ..BalancerSettings::default()
    };
    let policy = policy_by_name(policy).expect("the policy is known");
    let mut entry = Entry {
        balancer: Balancer::new(cfg, policy),
        retries: RetryBudgets::new(),
        measuring: MeasurementBudget::new(),
    };
    set_targets(&mut entry, topology, 0, 0);
    entry
}

fn set_targets(entry: &mut Entry, topology: Topology, now: u64, first: usize) {
    let view = |index: usize| TargetView {
        node: NODES[index],
        data_centre: NODES[index % topology.2],
        slots: SLOTS,
        weight: 1,
        draining: false,
        stopping: false,
    };
    let views: Vec<TargetView<'_>> = (first..topology.1).map(view).collect();
    let now = Instant::from_micros(now);
    entry.balancer.set_targets(now, SERVICE, &views);
}

impl Model {
    /// Runs one policy at a load, as a share of the capacity.
    pub(super) fn run(
        topology: Topology,
        row: u32,
        load: f64,
        policy: &str,
        share: u32,
        seed: u64,
    ) -> Model {
        let capacity = topology.1 as f64 * f64::from(SLOTS) / SERVICE_US;
        let mut model = Model {
            topology,
            row,
            gap_us: 1.0 / (load * capacity),
            now: 0,
            sequence: 0,
            events: BTreeMap::new(),
            entries: (0..ENTRIES).map(|e| entry(topology, e, policy)).collect(),
            guards: (0..topology.1).map(|_| Guard::default()).collect(),
            load_rng: StdRng::seed_from_u64(seed),
            rng: StdRng::seed_from_u64(seed + 1_000),
            latencies_us: Vec::new(),
            failed: 0,
        };
        model.plan_phases();
        for index in 0..ENTRIES {
            model.entries[index]
                .measuring
                .set_share_permille(Instant::default(), share);
            let interval_us = model.entries[index].measuring.interval_us(PROBE_COST_US);
            model.entries[index]
                .balancer
                .set_probe_interval(interval_us.unwrap_or(0));
            model.after(index as u64 * TICK_US / ENTRIES as u64, move |m| {
                m.tick(index)
            });
        }
        model.after(0, Model::arrive);
        model.after(0, Model::poll);
        while let Some(((at, _), event)) = model.events.pop_first() {
            model.now = at;
            event(&mut model);
        }
        model.latencies_us.sort_unstable();
        model
    }

    fn plan_phases(&mut self) {
        let mut at = self.load_rng.random_range(100_000..1_000_000);
        while self.row & SLOW != 0 && at < END_US {
            let to = at + self.load_rng.random_range(50_000..500_000);
            let target = self.load_rng.random_range(0..self.topology.1);
            self.guards[target].phases.push((at, to, 10));
            at = to + self.load_rng.random_range(100_000..1_000_000);
        }
        if self.row & COLD != 0 {
            let [away, back, warm] = RESTART_US;
            let phases = &mut self.guards[0].phases;
            phases.retain(|(from, to, _)| *to < back || *from > warm);
            phases.push((back, warm, 5));
            phases.sort_unstable();
            for (at, first) in [(away, 1), (back, 0)] {
                self.after(at, move |m| {
                    m.entries
                        .iter_mut()
                        .for_each(|e| set_targets(e, m.topology, at, first));
                });
            }
        }
    }

    fn after(&mut self, delay: u64, event: impl FnOnce(&mut Model) + 'static) {
        self.sequence += 1;
        let key = (self.now + delay, self.sequence);
        self.events.insert(key, Box::new(event));
    }

    fn instant(&self) -> Instant {
        Instant::from_micros(self.now)
    }

    fn distance_us(&self, entry: usize, target: usize) -> u64 {
        let same = entry % self.topology.2 == target % self.topology.2;
        if same {
            SAME_CENTRE_US
        } else {
            self.topology.3
        }
    }

    fn arrive(&mut self) {
        let gap = exponential(&mut self.load_rng, self.gap_us);
        if self.now + gap < END_US {
            self.after(gap, Model::arrive);
        }
        let entry = self.load_rng.random_range(0..ENTRIES);
        let work_us = exponential(&mut self.load_rng, SERVICE_US);
        let now = self.instant();
        self.entries[entry].retries.on_request(now, SERVICE);
        let (arrived, tried) = (self.now, Vec::new());
        self.send(Request {
            entry,
            arrived,
            work_us,
            tried,
            target: 0,
            sent: 0,
        });
    }

    fn send(&mut self, mut req: Request) {
        let now = self.instant();
        let balancer = &mut self.entries[req.entry].balancer;
        let Ok(node) = balancer.choose(now, SERVICE, &req.tried, &mut self.rng) else {
            self.failed += usize::from(req.arrived >= WARM_US);
            return;
        };
        balancer.on_sent(now, node.as_str());
        req.target = node.as_str().parse().expect("nodes have numbers");
        req.sent = self.now;
        req.tried.push(node);
        let delay = self.distance_us(req.entry, req.target);
        self.after(delay, |m| m.at_guard(req));
    }

    fn at_guard(&mut self, req: Request) {
        let guard = &mut self.guards[req.target];
        if guard.running < SLOTS {
            self.start(req);
        } else if guard.queue.len() < 2 * SLOTS as usize {
            guard.queue.push_back(req);
        } else {
            self.reply(req, Outcome::Refused);
        }
    }

    fn start(&mut self, req: Request) {
        let fails = self.row & FAILURE != 0 && req.target == 0 && self.now > WARM_US;
        let guard = &mut self.guards[req.target];
        guard.running += 1;
        let took = guard.finish_at(self.now, req.work_us) - self.now;
        let (took, outcome) = if fails {
            (1_000, Outcome::ServerError)
        } else {
            (took, Outcome::Answered)
        };
        self.after(took, move |m| {
            let guard = &mut m.guards[req.target];
            guard.running -= 1;
            guard.service_us += (took as f64 - guard.service_us) / 8.0;
            if let Some(next) = guard.queue.pop_front() {
                m.start(next);
            }
            m.reply(req, outcome);
        });
    }

    fn reply(&mut self, req: Request, outcome: Outcome) {
        let load = Some(self.guards[req.target].load());
        let delay = self.distance_us(req.entry, req.target);
        self.after(delay, move |m| {
            let latency_us = m.now - req.sent;
            m.answer(
                req,
                &AnswerEvidence {
                    outcome,
                    latency_us,
                    load,
                },
            );
        });
    }

    fn answer(&mut self, req: Request, evidence: &AnswerEvidence) {
        let now = self.instant();
        let entry = &mut self.entries[req.entry];
        entry.balancer.on_answer(now, NODES[req.target], evidence);
        let query = RetryQuery {
            service: SERVICE,
            outcome: AttemptOutcome::NotRun,
            idempotent: true,
            answer_started: false,
            attempts: req.tried.len() as u32,
            targets_reached: req.tried.len() as u32,
            last_reached_target: true,
            max_targets_reached: plantainpost_core::retry::MAX_RETRIES + 1,
            deadline: Instant::from_micros(req.arrived + DEADLINE_US),
        };
        let counted = req.arrived >= WARM_US;
        if evidence.outcome == Outcome::Answered {
            entry.retries.on_success(now, SERVICE, evidence.latency_us);
            self.latencies_us
                .extend(counted.then_some(self.now - req.arrived));
        } else if evidence.outcome == Outcome::Refused
            && entry.retries.try_retry(now, &query).is_allowed()
        {
            self.send(req);
        } else {
            self.failed += usize::from(counted);
        }
    }

    fn tick(&mut self, index: usize) {
        let now = self.instant();
        for _ in 0..self.topology.1 {
            let entry = &mut self.entries[index];
            let Some(node) = entry.balancer.wants_probe(now, &mut self.rng) else {
                break;
            };
            if !entry.measuring.try_spend(now, PROBE_COST_US) {
                break;
            }
            let target: usize = node.as_str().parse().expect("nodes have numbers");
            let delay = self.distance_us(index, target);
            self.after(delay, move |m| {
                let load = m.guards[target].load();
                m.after(delay, move |m| {
                    let now = m.instant();
                    m.entries[index]
                        .balancer
                        .on_probe(now, NODES[target], 2 * delay as u32, load);
                });
            });
        }
        if self.now < END_US {
            self.after(TICK_US, move |m| m.tick(index));
        }
    }

    fn poll(&mut self) {
        (0..self.topology.1).for_each(|target| self.report(target));
        if self.now < END_US {
            self.after(POLL_US, Model::poll);
        }
    }

    fn report(&mut self, target: usize) {
        let is = |flag: u32| self.row & flag != 0;
        let stuck = is(STUCK) && target == 0;
        let in_flight = self.guards[target].running * u32::from(!stuck);
        let delay = if is(LATE) { LATE_US } else { self.topology.3 };
        self.after(delay, move |m| {
            let (now, node) = (m.instant(), NODES[target]);
            for entry in &mut m.entries {
                entry.balancer.on_report(now, node, in_flight, SLOTS);
            }
        });
    }

    pub(super) fn ms(&self, q: f64) -> f64 {
        let index = (self.latencies_us.len() as f64 * q) as usize;
        self.latencies_us[index] as f64 / 1_000.0
    }

    pub(super) fn failed_percent(&self) -> f64 {
        100.0 * self.failed as f64 / (self.failed + self.latencies_us.len()) as f64
    }
}
