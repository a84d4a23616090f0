//! The aggregate that owns the estimates of one entry.

use std::collections::VecDeque;

use rand::{Rng, seq::IteratorRandom};
use snafu::Snafu;

use super::{
    AnswerEvidence, BalanceEvent, BalancerSettings, Candidate, Change, Choice, Explanation, Policy,
    Report, Score,
    roster::{NodeState, Service, Target, candidate, candidates, usage},
    standing::{State, Step},
    subset::{place, subset},
};
use crate::{
    collections::{HashMap, HashSet},
    ids::{DataCentre, NodeName, ServiceName},
    load::LoadSample,
    time::Instant,
};

/// Events kept until they are taken; the oldest are dropped first.
const MAX_EVENTS: usize = 1_024;

/// Time for which probes that were not wanted in their turn may be wanted later. It
/// covers the timer that asks for probes.
const PROBE_CATCH_UP_US: u64 = 10_000;

/// Weight of the newest outcome in the failure average.
const FAILURE_SMOOTHING: f64 = 0.2;

/// Why no target can be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum NoChoice {
    /// No target of the service was ever announced here.
    #[snafu(display("the service is unknown"))]
    UnknownService,
    /// No target of the service has a share above zero.
    #[snafu(display("the service has no target with a share above zero"))]
    NoTarget,
    /// All targets are leaving.
    #[snafu(display("all targets of the service are leaving"))]
    AllDraining,
    /// All remaining targets were excluded by the request.
    #[snafu(display("all targets of the service have been tried"))]
    AllExcluded,
}

/// A target as membership and configuration describe it.
#[derive(Clone, Copy, Debug)]
pub struct TargetView<'a> {
    /// Node beside the target.
    pub node: &'a str,
    /// Data centre of the target.
    pub data_centre: &'a str,
    /// Announced slots.
    pub slots: u32,
    /// Share from the configuration; zero for no traffic.
    pub weight: u32,
    /// Whether the target is leaving.
    pub draining: bool,
    /// Whether the node beside the target is about to stop. Such a target is used only where
    /// there is no other.
    pub stopping: bool,
}

/// Predicted completion time at which a target counts as slow, as a multiple of the best
/// one's. With exponential service times the oldest of several requests often makes a
/// healthy target look twice as slow as another.
const SLOW_RATIO: f64 = 3.0;

/// Chooses targets for one entry.
pub struct Balancer {
    cfg: BalancerSettings,
    policy: Box<dyn Policy>,
    /// See [`Choice::first_place`].
    place: f64,
    services: HashMap<ServiceName, Service>,
    /// Holds each target of `services`. At most half of the subset of a service is
    /// not in use.
    nodes: HashMap<NodeName, NodeState>,
    /// Time between wanted probes; zero for no bound.
    probe_interval_us: u64,
    /// When the next probe may be wanted.
    next_probe: Instant,
    /// At most `MAX_EVENTS`.
    events: VecDeque<BalanceEvent>,
}

impl Balancer {
    /// Creates a balancer without targets.
    pub fn new(cfg: BalancerSettings, policy: Box<dyn Policy>) -> Self {
        Balancer {
            place: place(cfg.entry.as_str()),
            cfg,
            policy,
            services: HashMap::default(),
            nodes: HashMap::default(),
            probe_interval_us: 0,
            next_probe: Instant::default(),
            events: VecDeque::new(),
        }
    }

    /// Replaces the targets of a service. Estimates of targets that stay are kept.
    ///
    /// `targets` names each node once. A node that served another service before is
    /// taken from that service, because a node serves one target.
    pub fn set_targets(&mut self, now: Instant, service: &str, targets: &[TargetView<'_>]) {
        let name = ServiceName::from(service);
        let staying: HashSet<&str> = targets.iter().map(|target| target.node).collect();
        self.nodes
            .retain(|node, state| state.service != name || staying.contains(node.as_str()));
        for target in targets {
            self.add_node(now, &name, target);
        }
        let used = self.used(targets);
        let targets = targets.iter().map(|target| Target {
            node: NodeName::from(target.node),
            data_centre: DataCentre::from(target.data_centre),
            weight: target.weight,
            draining: target.draining,
            stopping: target.stopping,
            in_subset: used.contains(target.node),
        });
        self.services.entry(name).or_default().targets = targets.collect();
        self.release_above_half(now, service);
    }

    /// Chooses a target for a request of no particular size; see
    /// [`Balancer::choose_for`].
    ///
    /// # Errors
    ///
    /// Fails if the service has no target, or none that is left to try.
    pub fn choose(
        &mut self,
        now: Instant,
        service: &str,
        exclude: &[NodeName],
        rng: &mut dyn Rng,
    ) -> Result<NodeName, NoChoice> {
        self.choose_for(now, service, 0, exclude, rng)
    }

    /// Chooses a target for a request with its answer of about `bytes`. `exclude` holds the nodes that this request has tried.
    ///
    /// # Errors
    ///
    /// Fails if the service has no target, or none that is left to try.
    pub fn choose_for(
        &mut self,
        now: Instant,
        service: &str,
        bytes: u64,
        exclude: &[NodeName],
        rng: &mut dyn Rng,
    ) -> Result<NodeName, NoChoice> {
        let transfer_us = self.cfg.transfer_us(bytes);
        let entry = self
            .services
            .get_mut(service)
            .ok_or(NoChoice::UnknownService)?;
        let is_first = entry.last_request.replace(now).is_none();
        let nodes = &self.nodes;
        let mut candidates = candidates(&self.cfg, nodes, now, entry, exclude)?;
        for candidate in candidates.iter_mut().filter(|candidate| !candidate.local) {
            candidate.transfer_us = transfer_us;
        }
        if exclude.is_empty() {
            let due = candidates
                .iter()
                .find(|c| nodes[c.node].standing.trial_due(now) && c.estimate.own_in_flight() == 0);
            if let Some(trial) = due {
                return Ok(NodeName::from(trial.node));
            }
        }
        let in_use: Vec<Candidate<'_>> = candidates
            .iter()
            .filter(|candidate| nodes[candidate.node].standing.is_in_use())
            .copied()
            .collect();
        // A target that is set aside is still better than none.
        let candidates = if in_use.is_empty() {
            &candidates
        } else {
            &in_use
        };
        let choice = Choice {
            now,
            candidates,
            first_place: is_first.then_some(self.place),
        };
        let index = self.policy.choose(&choice, rng).ok_or(NoChoice::NoTarget)?;
        Ok(NodeName::from(candidates[index].node))
    }

    /// Returns the number of targets of a service that take requests.
    pub fn target_count(&self, service: &str) -> usize {
        let service = self.services.get(service);
        service.map_or(0, |service| service.active().count())
    }

    /// Records that a request was sent to a node.
    pub fn on_sent(&mut self, now: Instant, node: &str) {
        if let Some(state) = self.nodes.get_mut(node) {
            state.estimate.on_sent(now);
        }
    }

    /// Records how a sent request ended; call it once per [`Balancer::on_sent`].
    pub fn on_answer(&mut self, now: Instant, node: &str, evidence: &AnswerEvidence) {
        let room = self.has_room_aside(node);
        let Some(state) = self.nodes.get_mut(node) else {
            return;
        };
        let sent = now.saturating_sub_micros(evidence.latency_us);
        state.estimate.on_ended(sent);
        if let Some(sample) = evidence.load {
            state.on_sample(now, sample);
        }
        let memory_us = self.cfg.score.failure_memory_us;
        state
            .estimate
            .on_outcome(now, evidence.outcome, FAILURE_SMOOTHING, memory_us);
        let step = state
            .standing
            .on_outcome(now, evidence.outcome, room, &self.cfg);
        if step == Some(Step::Returned) {
            state.estimate.start_slowly(now);
        }
        if let Some(step) = step {
            self.record(now, node, step);
        }
    }

    /// Records the reply to a probe.
    pub fn on_probe(&mut self, now: Instant, node: &str, rtt_us: u32, sample: LoadSample) {
        if let Some(state) = self.nodes.get_mut(node) {
            state.probe_wanted = None;
            state.estimate.on_rtt(rtt_us);
            state.on_sample(now, sample);
        }
    }

    /// Records a report by the target itself, the weakest evidence.
    pub fn on_report(&mut self, now: Instant, node: &str, in_flight: u32, slots: u32) {
        if let Some(state) = self.nodes.get_mut(node) {
            state.estimate.report = Some(Report {
                at: now,
                in_flight,
                slots,
            });
        }
    }

    /// Spreads wanted probes over time; see [`crate::measure::MeasurementBudget::interval_us`].
    ///
    /// Without it the probes of a second are spent at once when the share is small.
    pub fn set_probe_interval(&mut self, interval_us: u64) {
        self.probe_interval_us = interval_us;
    }

    /// Returns the node whose load is most worth measuring, if any.
    ///
    /// Only targets in use of services with recent traffic count. A node is not
    /// returned again until it replies or `probe_age_us` passes.
    pub fn wants_probe(&mut self, now: Instant, rng: &mut dyn Rng) -> Option<NodeName> {
        if now < self.next_probe {
            return None;
        }
        let due: Vec<(Option<Instant>, &NodeName)> = self
            .services
            .values()
            .filter(|service| service.has_traffic(now, &self.cfg))
            .flat_map(Service::active)
            .filter_map(|target| {
                let state = self.nodes.get(&target.node)?;
                let newest = state.estimate.observed_at().max(state.probe_wanted);
                let old = newest.is_none_or(|at| now.micros_since(at) >= self.cfg.probe_age_us);
                (old && state.standing.is_in_use()).then_some((newest, &target.node))
            })
            .collect();
        let oldest = due.iter().map(|(newest, _)| *newest).min()?;
        let (_, node) = due
            .iter()
            .filter(|(newest, _)| *newest == oldest)
            .choose(rng)?;
        let node = (*node).clone();
        let since = now.saturating_sub_micros(PROBE_CATCH_UP_US);
        self.next_probe = self
            .next_probe
            .max(since)
            .saturating_add_micros(self.probe_interval_us);
        if let Some(state) = self.nodes.get_mut(&node) {
            state.probe_wanted = Some(now);
        }
        Some(node)
    }

    /// Reports whether a request at `node` is likely to be answered much sooner by
    /// another target, so that a hedge is worth its cost.
    pub fn is_slow(&self, now: Instant, node: &str) -> bool {
        let Some(service) = self.nodes.get(node).map(|state| &state.service) else {
            return false;
        };
        let targets = self.services.get(service).map(|service| &service.targets);
        let mut own_us = 0.0;
        let mut best_us = f64::INFINITY;
        for target in targets.into_iter().flatten().filter(|t| t.in_subset) {
            let state = &self.nodes[&target.node];
            let candidate = candidate(&self.cfg, target, state);
            let score_us = Score::new(now, &candidate, &self.cfg.score).total_us();
            if target.node.as_str() == node {
                own_us = score_us;
            } else if state.standing.is_in_use() {
                best_us = best_us.min(score_us);
            }
        }
        own_us >= best_us * SLOW_RATIO
    }

    /// Explains the use of each target of a service.
    pub fn explain(&self, now: Instant, service: &str) -> Vec<Explanation> {
        let targets = self.services.get(service).map(|service| &service.targets);
        targets
            .into_iter()
            .flatten()
            .filter_map(|target| {
                let state = self.nodes.get(&target.node)?;
                let candidate = candidate(&self.cfg, target, state);
                Some(Explanation {
                    node: target.node.clone(),
                    data_centre: target.data_centre.clone(),
                    weight: target.weight,
                    score: Score::new(now, &candidate, &self.cfg.score),
                    own_in_flight: state.estimate.own_in_flight(),
                    observed_at: state.estimate.observed_at(),
                    usage: usage(now, target, state),
                })
            })
            .collect()
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<BalanceEvent> {
        self.events.drain(..).collect()
    }

    fn add_node(&mut self, now: Instant, service: &ServiceName, target: &TargetView<'_>) {
        let state = self
            .nodes
            .entry(NodeName::from(target.node))
            .or_insert_with(|| NodeState::new(now, service, target.slots));
        state.estimate.announced_slots = target.slots;
        if state.service == *service {
            return;
        }
        let earlier = std::mem::replace(state, NodeState::new(now, service, target.slots));
        if let Some(earlier) = self.services.get_mut(&earlier.service) {
            earlier
                .targets
                .retain(|other| other.node.as_str() != target.node);
        }
    }

    /// Targets that take no traffic do not fill places in the subset.
    fn used<'a>(&self, targets: &[TargetView<'a>]) -> HashSet<&'a str> {
        let usable: Vec<&str> = targets
            .iter()
            .filter(|target| target.weight > 0 && !target.draining)
            .map(|target| target.node)
            .collect();
        subset(self.cfg.entry.as_str(), &usable, self.cfg.subset_size)
            .into_iter()
            .map(|index| usable[index])
            .collect()
    }

    fn has_room_aside(&self, node: &str) -> bool {
        let service = self
            .nodes
            .get(node)
            .and_then(|state| self.services.get(&state.service));
        service.is_some_and(|service| {
            let (aside, all) = self.count_aside(service);
            (aside + 1) * 2 <= all
        })
    }

    fn count_aside(&self, service: &Service) -> (usize, usize) {
        let aside = |target: &&Target| !self.nodes[&target.node].standing.is_in_use();
        (
            service.active().filter(aside).count(),
            service.active().count(),
        )
    }

    /// Returns targets that were set aside when the service had more of them.
    fn release_above_half(&mut self, now: Instant, service: &str) {
        loop {
            let service = &self.services[service];
            let (aside, all) = self.count_aside(service);
            if aside * 2 <= all {
                return;
            }
            let first = service
                .active()
                .filter_map(|target| match self.nodes[&target.node].standing.state() {
                    State::InUse => None,
                    State::SetAside { until, .. } => Some((until, target.node.clone())),
                })
                .min();
            let Some((_, node)) = first else { return };
            if let Some(state) = self.nodes.get_mut(&node) {
                state.standing.release(now);
                state.estimate.start_slowly(now);
            }
            self.record(now, node.as_str(), Step::Returned);
        }
    }

    fn record(&mut self, now: Instant, node: &str, step: Step) {
        let Some(state) = self.nodes.get(node) else {
            return;
        };
        let change = match step {
            Step::SetAside { until, reason } => Change::SetAside { until, reason },
            Step::Returned => Change::Returned,
        };
        let event = BalanceEvent {
            at: now,
            service: state.service.clone(),
            node: NodeName::from(node),
            change,
        };
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }
}
