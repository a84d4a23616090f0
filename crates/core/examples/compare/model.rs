//! Queueing model of entries, guards and targets in simulated time.
//!
//! Times of an integer type are in microseconds since the start of the run.

use std::collections::{BTreeMap, VecDeque};

use plantainpost_core::{
    balance::{
        Balancer, BalancerSettings, RequestObservation, RequestOutcome, TargetView, policy_by_name,
    },
    ids::{DataCentre, NodeName},
    load::LoadSample,
    measure::{MeasurementBudget, PROBE_COST_US},
    retry::{AttemptOutcome, RetryBudgets, RetryQuery},
    time::Instant,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

pub(super) const NODES: [&str; 6] = ["0", "1", "2", "3", "4", "5"];
/// Title, number of targets, number of data centres, and one-way delay between data centres in
/// microseconds.
pub(super) type Topology = (&'static str, usize, usize, u64);
/// Disturbance flag: targets have phases in which they are 10 times slower.
pub(super) const SLOW_PHASES: u32 = 1;
/// Disturbance flag: the first target fails all requests after the warm-up, within 1 ms.
pub(super) const FAST_FAILURE: u32 = 2;
/// Disturbance flag: the first target always reports zero requests in flight.
pub(super) const STUCK_REPORT: u32 = 4;
/// Disturbance flag: reports arrive after [`LATE_REPORT_DELAY_US`].
pub(super) const LATE_REPORTS: u32 = 8;
/// Disturbance flag: the first target restarts and is slow at first.
pub(super) const COLD_START: u32 = 16;
pub(super) const SERVICE: &str = "service";
const ENTRIES: usize = 12;
const SLOTS: u32 = 12;
/// Mean of the exponential service time.
const MEAN_SERVICE_US: f64 = 10_000.0;
const LOCAL_ONE_WAY_DELAY_US: u64 = 100;
/// Requests that arrive earlier are not counted. The measuring budget is available only after one
/// second.
const WARMUP_US: u64 = 2_000_000;
const ARRIVALS_END_US: u64 = 12_000_000;
const PROBE_TICK_US: u64 = 2_000;
const REPORT_INTERVAL_US: u64 = 100_000;
const LATE_REPORT_DELAY_US: u64 = 500_000;
const REQUEST_TIMEOUT_US: u64 = 10_000_000;
/// A restarting target is absent between the first two times, and 5 times slower until the third.
const COLD_START_TIMES_US: [u64; 3] = [2_800_000, 3_000_000, 4_000_000];

struct Request {
    entry: usize,
    arrived_at_us: u64,
    work_us: u64,
    tried_nodes: Vec<NodeName>,
    target: usize,
    sent_at_us: u64,
}

pub(super) struct Entry {
    pub(super) balancer: Balancer,
    retry_budgets: RetryBudgets,
    measuring_budget: MeasurementBudget,
}

#[derive(Default)]
struct Guard {
    in_flight: u32,
    queue: VecDeque<Request>,
    mean_service_us: f64,
    /// Slow phases as (from, to, slowdown factor), in ascending order, without overlap.
    phases: Vec<(u64, u64, u64)>,
}

impl Guard {
    fn load_sample(&self) -> LoadSample {
        LoadSample {
            in_flight: self.in_flight,
            queued: self.queue.len() as u32,
            slots: SLOTS,
            service_time_us: self.mean_service_us as u32,
            ..Default::default()
        }
    }

    /// Returns when work that starts at `start_us` is done, given the slow phases.
    fn completion_time_us(&self, start_us: u64, mut work_us: u64) -> u64 {
        let mut at_us = start_us;
        for &(from, to, factor) in self.phases.iter().filter(|phase| phase.1 > start_us) {
            let before_us = from.saturating_sub(at_us);
            if work_us <= before_us {
                break;
            }
            (at_us, work_us) = (at_us + before_us, work_us - before_us);
            let phase_work_us = (to - at_us) / factor;
            if work_us <= phase_work_us {
                return at_us + work_us * factor;
            }
            (at_us, work_us) = (to, work_us - phase_work_us);
        }
        at_us + work_us
    }
}

type Event = Box<dyn FnOnce(&mut Model)>;

/// Simulation of one policy. After the run `latencies_us` is sorted.
pub(super) struct Model {
    topology: Topology,
    disturbances: u32,
    mean_interarrival_us: f64,
    now_us: u64,
    /// Number of events scheduled so far; orders events that are due at the same time.
    sequence: u64,
    events: BTreeMap<(u64, u64), Event>,
    entries: Vec<Entry>,
    guards: Vec<Guard>,
    /// Random numbers for arrivals, work and slow phases, which are the same for every policy with
    /// the same seed.
    workload_rng: StdRng,
    policy_rng: StdRng,
    latencies_us: Vec<u64>,
    failed: usize,
}

fn sample_exponential(rng: &mut StdRng, mean_us: f64) -> u64 {
    (-mean_us * (1.0 - rng.random::<f64>()).ln()) as u64 + 1
}

pub(super) fn new_entry(topology: Topology, index: usize, policy: &str) -> Entry {
    let cfg = BalancerSettings {
        entry: NodeName::from(format!("entry-{index}").as_str()),
        data_centre: DataCentre::from(NODES[index % topology.2]),
        ..BalancerSettings::default()
    };
    let policy = policy_by_name(policy).expect("the policy is known");
    let mut entry = Entry {
        balancer: Balancer::new(cfg, policy),
        retry_budgets: RetryBudgets::new(),
        measuring_budget: MeasurementBudget::new(),
    };
    set_entry_targets(&mut entry, topology, 0, 0);
    entry
}

fn set_entry_targets(entry: &mut Entry, topology: Topology, now_us: u64, first: usize) {
    let view = |index: usize| TargetView {
        node: NODES[index],
        data_centre: NODES[index % topology.2],
        region: "tt",
        slots: SLOTS,
        weight: 1,
        draining: false,
        evacuated: false,
        stopping: false,
    };
    let views: Vec<TargetView<'_>> = (first..topology.1).map(view).collect();
    let now = Instant::from_micros(now_us);
    entry.balancer.set_targets(now, SERVICE, &views);
}

impl Model {
    /// Simulates one policy. `load_factor` is the offered load relative to the capacity;
    /// `disturbances` is a set of disturbance flags.
    pub(super) fn run(
        topology: Topology,
        disturbances: u32,
        load_factor: f64,
        policy: &str,
        measuring_share_permille: u32,
        seed: u64,
    ) -> Model {
        let capacity = topology.1 as f64 * f64::from(SLOTS) / MEAN_SERVICE_US;
        let mut model = Model {
            topology,
            disturbances,
            mean_interarrival_us: 1.0 / (load_factor * capacity),
            now_us: 0,
            sequence: 0,
            events: BTreeMap::new(),
            entries: (0..ENTRIES)
                .map(|e| new_entry(topology, e, policy))
                .collect(),
            guards: (0..topology.1).map(|_| Guard::default()).collect(),
            workload_rng: StdRng::seed_from_u64(seed),
            policy_rng: StdRng::seed_from_u64(seed + 1_000),
            latencies_us: Vec::new(),
            failed: 0,
        };
        model.schedule_disturbances();
        for index in 0..ENTRIES {
            model.entries[index]
                .measuring_budget
                .set_share_permille(Instant::default(), measuring_share_permille);
            let interval_us = model.entries[index]
                .measuring_budget
                .interval_us(PROBE_COST_US);
            model.entries[index]
                .balancer
                .set_probe_interval(interval_us.unwrap_or(0));
            model.schedule(index as u64 * PROBE_TICK_US / ENTRIES as u64, move |m| {
                m.send_probes(index)
            });
        }
        model.schedule(0, Model::on_arrival);
        model.schedule(0, Model::send_all_reports);
        while let Some(((at, _), event)) = model.events.pop_first() {
            model.now_us = at;
            event(&mut model);
        }
        model.latencies_us.sort_unstable();
        model
    }

    fn schedule_disturbances(&mut self) {
        let mut at = self.workload_rng.random_range(100_000..1_000_000);
        while self.disturbances & SLOW_PHASES != 0 && at < ARRIVALS_END_US {
            let to = at + self.workload_rng.random_range(50_000..500_000);
            let target = self.workload_rng.random_range(0..self.topology.1);
            self.guards[target].phases.push((at, to, 10));
            at = to + self.workload_rng.random_range(100_000..1_000_000);
        }
        if self.disturbances & COLD_START != 0 {
            let [away, back, warm] = COLD_START_TIMES_US;
            let phases = &mut self.guards[0].phases;
            phases.retain(|(from, to, _)| *to < back || *from > warm);
            phases.push((back, warm, 5));
            phases.sort_unstable();
            for (at, first) in [(away, 1), (back, 0)] {
                self.schedule(at, move |m| {
                    m.entries
                        .iter_mut()
                        .for_each(|e| set_entry_targets(e, m.topology, at, first));
                });
            }
        }
    }

    fn schedule(&mut self, delay_us: u64, event: impl FnOnce(&mut Model) + 'static) {
        self.sequence += 1;
        let key = (self.now_us + delay_us, self.sequence);
        self.events.insert(key, Box::new(event));
    }

    fn instant(&self) -> Instant {
        Instant::from_micros(self.now_us)
    }

    fn one_way_delay_us(&self, entry: usize, target: usize) -> u64 {
        let same = entry % self.topology.2 == target % self.topology.2;
        if same {
            LOCAL_ONE_WAY_DELAY_US
        } else {
            self.topology.3
        }
    }

    fn on_arrival(&mut self) {
        let gap_us = sample_exponential(&mut self.workload_rng, self.mean_interarrival_us);
        if self.now_us + gap_us < ARRIVALS_END_US {
            self.schedule(gap_us, Model::on_arrival);
        }
        let entry = self.workload_rng.random_range(0..ENTRIES);
        let work_us = sample_exponential(&mut self.workload_rng, MEAN_SERVICE_US);
        let now = self.instant();
        self.entries[entry].retry_budgets.on_request(now, SERVICE);
        let (arrived_at_us, tried_nodes) = (self.now_us, Vec::new());
        self.send_request(Request {
            entry,
            arrived_at_us,
            work_us,
            tried_nodes,
            target: 0,
            sent_at_us: 0,
        });
    }

    fn send_request(&mut self, mut req: Request) {
        let now = self.instant();
        let balancer = &mut self.entries[req.entry].balancer;
        let Ok(node) = balancer.choose_target(now, SERVICE, &req.tried_nodes, &mut self.policy_rng)
        else {
            self.failed += usize::from(req.arrived_at_us >= WARMUP_US);
            return;
        };
        balancer.on_request_sent(now, node.as_str());
        req.target = node.as_str().parse().expect("nodes have numbers");
        req.sent_at_us = self.now_us;
        req.tried_nodes.push(node);
        let delay_us = self.one_way_delay_us(req.entry, req.target);
        self.schedule(delay_us, |m| m.on_request_at_guard(req));
    }

    fn on_request_at_guard(&mut self, req: Request) {
        let guard = &mut self.guards[req.target];
        if guard.in_flight < SLOTS {
            self.start_request(req);
        } else if guard.queue.len() < 2 * SLOTS as usize {
            guard.queue.push_back(req);
        } else {
            self.send_answer(req, RequestOutcome::Refused);
        }
    }

    fn start_request(&mut self, req: Request) {
        let fails_fast =
            self.disturbances & FAST_FAILURE != 0 && req.target == 0 && self.now_us > WARMUP_US;
        let guard = &mut self.guards[req.target];
        guard.in_flight += 1;
        let duration_us = guard.completion_time_us(self.now_us, req.work_us) - self.now_us;
        let (duration_us, outcome) = if fails_fast {
            (1_000, RequestOutcome::ServerError)
        } else {
            (duration_us, RequestOutcome::Answered)
        };
        self.schedule(duration_us, move |m| {
            let guard = &mut m.guards[req.target];
            guard.in_flight -= 1;
            guard.mean_service_us += (duration_us as f64 - guard.mean_service_us) / 8.0;
            if let Some(next) = guard.queue.pop_front() {
                m.start_request(next);
            }
            m.send_answer(req, outcome);
        });
    }

    fn send_answer(&mut self, req: Request, outcome: RequestOutcome) {
        let load = Some(self.guards[req.target].load_sample());
        let delay_us = self.one_way_delay_us(req.entry, req.target);
        self.schedule(delay_us, move |m| {
            let latency_us = m.now_us - req.sent_at_us;
            m.on_answer(
                req,
                &RequestObservation {
                    outcome,
                    latency_us,
                    load,
                },
            );
        });
    }

    fn on_answer(&mut self, req: Request, observation: &RequestObservation) {
        let now = self.instant();
        let entry = &mut self.entries[req.entry];
        entry
            .balancer
            .on_request_ended(now, NODES[req.target], observation);
        let query = RetryQuery {
            service: SERVICE,
            outcome: AttemptOutcome::NotRun,
            idempotent: true,
            answer_started: false,
            attempts: req.tried_nodes.len() as u32,
            targets_reached: req.tried_nodes.len() as u32,
            last_reached_target: true,
            max_targets_reached: plantainpost_core::retry::MAX_RETRIES + 1,
            deadline: Instant::from_micros(req.arrived_at_us + REQUEST_TIMEOUT_US),
        };
        let is_counted = req.arrived_at_us >= WARMUP_US;
        if observation.outcome == RequestOutcome::Answered {
            entry
                .retry_budgets
                .on_success(now, SERVICE, observation.latency_us);
            self.latencies_us
                .extend(is_counted.then_some(self.now_us - req.arrived_at_us));
        } else if observation.outcome == RequestOutcome::Refused
            && entry.retry_budgets.try_retry(now, &query).is_allowed()
        {
            self.send_request(req);
        } else {
            self.failed += usize::from(is_counted);
        }
    }

    fn send_probes(&mut self, index: usize) {
        let now = self.instant();
        for _ in 0..self.topology.1 {
            let entry = &mut self.entries[index];
            let Some(node) = entry.balancer.next_probe_target(now, &mut self.policy_rng) else {
                break;
            };
            if !entry.measuring_budget.try_spend(now, PROBE_COST_US) {
                break;
            }
            let target: usize = node.as_str().parse().expect("nodes have numbers");
            let delay_us = self.one_way_delay_us(index, target);
            self.schedule(delay_us, move |m| {
                let load = m.guards[target].load_sample();
                m.schedule(delay_us, move |m| {
                    let now = m.instant();
                    m.entries[index].balancer.on_probe_reply(
                        now,
                        NODES[target],
                        2 * delay_us as u32,
                        load,
                    );
                });
            });
        }
        if self.now_us < ARRIVALS_END_US {
            self.schedule(PROBE_TICK_US, move |m| m.send_probes(index));
        }
    }

    fn send_all_reports(&mut self) {
        (0..self.topology.1).for_each(|target| self.send_report(target));
        if self.now_us < ARRIVALS_END_US {
            self.schedule(REPORT_INTERVAL_US, Model::send_all_reports);
        }
    }

    fn send_report(&mut self, target: usize) {
        let has_disturbance = |flag: u32| self.disturbances & flag != 0;
        let is_stuck = has_disturbance(STUCK_REPORT) && target == 0;
        let in_flight = self.guards[target].in_flight * u32::from(!is_stuck);
        let delay_us = if has_disturbance(LATE_REPORTS) {
            LATE_REPORT_DELAY_US
        } else {
            self.topology.3
        };
        self.schedule(delay_us, move |m| {
            let (now, node) = (m.instant(), NODES[target]);
            for entry in &mut m.entries {
                entry.balancer.on_load_report(now, node, in_flight, SLOTS);
            }
        });
    }

    pub(super) fn latency_ms(&self, quantile: f64) -> f64 {
        let index = (self.latencies_us.len() as f64 * quantile) as usize;
        self.latencies_us[index] as f64 / 1_000.0
    }

    pub(super) fn failed_percent(&self) -> f64 {
        100.0 * self.failed as f64 / (self.failed + self.latencies_us.len()) as f64
    }
}
