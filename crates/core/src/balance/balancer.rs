//! The balancer of one entry: it keeps an estimate per target and chooses targets for requests.

use std::collections::VecDeque;

use rand::{Rng, seq::IteratorRandom};
use snafu::Snafu;

use super::{
    BalancerSettings, Candidate, ChoiceRequest, EjectionChange, EjectionEvent, LoadReport, Policy,
    RequestObservation, RequestOutcome, ResponseSizes, Score, TargetEstimate, TargetQuery,
    ejection::EjectionTransition,
    service_targets::{
        NodeState, ServiceTarget, ServiceTargets, build_candidate, eligible_candidates,
    },
    start_limits::not_backed_off,
    subset::entry_position,
};
use crate::{
    collections::{HashMap, HashSet},
    eligibility::{AllowedRegions, RequestScope},
    ids::{DataCentre, NodeName, Region, ServiceName},
    load::LoadSample,
    time::Instant,
};

/// Maximum number of events kept until they are taken; the oldest are dropped first.
const MAX_PENDING_EVENTS: usize = 1_024;

/// How far back the schedule of probes may lag and still catch up. Must be longer than the
/// interval of the timer that asks for probes, or late timer ticks would lose probes.
const PROBE_CATCH_UP_US: u64 = 10_000;

/// Weight of the newest outcome in the moving average of failures.
const FAILURE_EWMA_WEIGHT: f64 = 0.2;

/// Why no target can be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ChoiceError {
    /// No target of the service was ever announced to this entry.
    #[snafu(display("the service is unknown"))]
    UnknownService,
    /// No target of the service has a share above zero.
    #[snafu(display("the service has no target with a share above zero"))]
    NoTarget,
    /// All targets with a share above zero are leaving.
    #[snafu(display("all targets of the service are leaving"))]
    AllDraining,
    /// The data centres of all targets that the request could be sent to are evacuated, or these
    /// targets are leaving.
    #[snafu(display("the data centres of the targets are evacuated"))]
    Evacuated,
    /// No target with a share above zero is in a region that the request may be sent to.
    #[snafu(display("no target of the service is in an allowed region"))]
    NoRegion,
    /// The request has already been sent to all targets that could take it.
    #[snafu(display("all targets of the service have been tried"))]
    AllExcluded,
}

/// Input of [`Balancer::set_targets`]: a target as membership and configuration describe it.
#[derive(Clone, Copy, Debug)]
pub struct TargetView<'a> {
    /// Node on the target's host.
    pub node: &'a str,
    /// Data centre of the target.
    pub data_centre: &'a str,
    /// Region of the target.
    pub region: &'a str,
    /// Maximum concurrency that the target announced.
    pub slots: u32,
    /// Share of requests from the configuration; zero for no requests.
    pub weight: u32,
    /// Whether the target is leaving.
    pub draining: bool,
    /// Whether the data centre of the target is evacuated.
    pub evacuated: bool,
    /// Whether the node on the target's host is about to stop. Such a target is used only if
    /// there is no other.
    pub stopping: bool,
}

/// Minimum ratio to the best predicted completion time at which a target counts as slow. With
/// exponential service times the age of the oldest request often makes a healthy target look
/// twice as slow as another, so a ratio of 2 would hedge requests at healthy targets.
const SLOW_TARGET_RATIO: f64 = 3.0;

/// Divisor that gives, of the time until a latency target is missed, the predicted completion time up to
/// which a near target is preferred. The other half is for errors of the prediction.
const NEAR_LIMIT_DIVISOR: u64 = 2;

/// Chooses targets for the requests of one entry.
pub struct Balancer {
    pub(super) cfg: BalancerSettings,
    policy: Box<dyn Policy>,
    /// See [`ChoiceRequest::first_request_position`].
    entry_position: f64,
    pub(super) services: HashMap<ServiceName, ServiceTargets>,
    /// Has an entry for each target in `services`. At most half of each group of targets is ejected; see
    /// [`super::ejection_bound`].
    pub(super) nodes: HashMap<NodeName, NodeState>,
    /// Whether a member record says that a target is cold.
    pub(super) has_announced_cold: bool,
    /// Instant from which on no load sample says that a target is cold.
    pub(super) cold_samples_until: Instant,
    response_sizes: ResponseSizes,
    /// Minimum time between two probes; zero for no minimum.
    probe_interval_us: u64,
    /// Earliest time of the next probe.
    next_probe_at: Instant,
    /// At most [`MAX_PENDING_EVENTS`].
    events: VecDeque<EjectionEvent>,
}

impl Balancer {
    /// Creates a balancer without targets.
    pub fn new(cfg: BalancerSettings, policy: Box<dyn Policy>) -> Self {
        Balancer {
            entry_position: entry_position(cfg.entry.as_str()),
            cfg,
            policy,
            services: HashMap::default(),
            nodes: HashMap::default(),
            has_announced_cold: false,
            cold_samples_until: Instant::default(),
            response_sizes: ResponseSizes::default(),
            probe_interval_us: 0,
            next_probe_at: Instant::default(),
            events: VecDeque::new(),
        }
    }

    /// Replaces the targets of a service and keeps the estimates of those that remain.
    ///
    /// `targets` must contain each node at most once. A node that belonged to another service is
    /// removed from that service, because each node serves one target.
    pub fn set_targets(&mut self, now: Instant, service: &str, targets: &[TargetView<'_>]) {
        let name = ServiceName::from(service);
        let remaining: HashSet<&str> = targets.iter().map(|target| target.node).collect();
        self.nodes
            .retain(|node, state| state.service != name || remaining.contains(node.as_str()));
        for target in targets {
            self.add_node(now, &name, target);
        }
        let ranks = self.rank_nodes(targets);
        let targets = targets.iter().map(|target| {
            let rank = ranks.get(target.node).copied();
            ServiceTarget {
                node: NodeName::from(target.node),
                data_centre: DataCentre::from(target.data_centre),
                region: Region::from(target.region),
                weight: target.weight,
                draining: target.draining,
                evacuated: target.evacuated,
                stopping: target.stopping,
                rank,
                in_subset: rank.is_some_and(|rank| rank < self.cfg.subset_size),
            }
        });
        let service_targets = self.services.entry(name).or_default();
        let previous = std::mem::replace(&mut service_targets.targets, targets.collect());
        self.begin_slow_starts(now, service, &previous);
        self.restore_excess_ejections(now, service);
    }

    /// Chooses a target without regard to the size of the request and its allowed regions; see
    /// [`Balancer::choose_target_for`]. `exclude` holds the nodes that the request was already sent to.
    ///
    /// # Errors
    ///
    /// Fails if the service has no target, or none that is left to try.
    pub fn choose_target(
        &mut self,
        now: Instant,
        service: &str,
        exclude: &[NodeName],
        rng: &mut dyn Rng,
    ) -> Result<NodeName, ChoiceError> {
        let query = TargetQuery {
            service,
            scope: RequestScope {
                tried: exclude,
                ..RequestScope::default()
            },
            ..TargetQuery::default()
        };
        self.choose_target_for(now, &query, rng)
    }

    /// Chooses a target for a request.
    ///
    /// At the first attempt of a request, an ejected target that is due for a trial request takes
    /// precedence over the choice of the policy.
    ///
    /// # Errors
    ///
    /// Fails if the service has no target, or none that is left to try.
    pub fn choose_target_for(
        &mut self,
        now: Instant,
        query: &TargetQuery<'_>,
        rng: &mut dyn Rng,
    ) -> Result<NodeName, ChoiceError> {
        let transfer_cost_us = self.cfg.transfer_cost_us(query.bytes);
        let service_targets = self
            .services
            .get_mut(query.service)
            .ok_or(ChoiceError::UnknownService)?;
        let is_first = service_targets.last_request.replace(now).is_none();
        if !query.scope.regions.is_unrestricted() {
            service_targets.last_regional_request = Some(now);
        }
        let nodes = &self.nodes;
        let mut candidates =
            eligible_candidates(&self.cfg, nodes, now, service_targets, &query.scope)?;
        for candidate in candidates
            .iter_mut()
            .filter(|candidate| !candidate.is_local)
        {
            candidate.transfer_cost_us = transfer_cost_us;
        }
        if query.scope.tried.is_empty() {
            let due = candidates.iter().find(|c| {
                nodes[c.node].ejection.is_trial_due(now) && c.estimate.own_in_flight() == 0
            });
            if let Some(trial) = due {
                return Ok(NodeName::from(trial.node));
            }
        }
        let in_use: Vec<Candidate<'_>> = candidates
            .iter()
            .filter(|candidate| nodes[candidate.node].ejection.is_in_use())
            .copied()
            .collect();
        // If all targets are ejected, an ejected one is still better than none.
        let candidates = if in_use.is_empty() {
            &candidates
        } else {
            &in_use
        };
        // A target whose rate limit would delay the request is chosen only if no other can start it
        // at once.
        let startable: Vec<Candidate<'_>> = candidates
            .iter()
            .filter(|candidate| candidate.estimate.start_wait_us(now) == 0)
            .copied()
            .collect();
        let startable = if startable.is_empty() {
            not_backed_off(now, candidates)
        } else {
            startable
        };
        let candidates = if startable.is_empty() {
            candidates
        } else {
            &startable
        };
        let choice_request = ChoiceRequest {
            now,
            candidates,
            near_limit_us: query
                .due
                .map(|due| due.micros_since(now) / NEAR_LIMIT_DIVISOR),
            first_request_position: is_first.then_some(self.entry_position),
        };
        let index = self
            .policy
            .choose_candidate(&choice_request, rng)
            .ok_or(ChoiceError::NoTarget)?;
        Ok(NodeName::from(candidates[index].node))
    }

    /// Records the size of a complete response to a request of `class`, in bytes.
    pub fn record_response_size(&mut self, class: u32, bytes: u64) {
        self.response_sizes.record(class, bytes);
    }

    /// Returns the expected size of a response to a request of `class`, in bytes.
    pub fn expected_response_bytes(&self, class: u32) -> u64 {
        self.response_sizes.expected_bytes(class)
    }

    /// Returns the estimates of the targets in the subset of this entry for the allowed regions.
    pub(super) fn subset_estimates<'a>(
        &'a self,
        service: &str,
        regions: AllowedRegions<'a>,
    ) -> impl Iterator<Item = &'a TargetEstimate> {
        let size = self.cfg.subset_size;
        let targets = self.services.get(service).into_iter();
        targets
            .flat_map(move |targets| targets.subset_in(regions, size))
            .filter_map(|target| Some(&self.nodes.get(&target.node)?.estimate))
    }

    /// Records that a request was sent to a node.
    pub fn on_request_sent(&mut self, now: Instant, node: &str) {
        if let Some(state) = self.nodes.get_mut(node) {
            state.estimate.on_request_sent(now);
        }
    }

    /// Records the end of a request. Must be called once per [`Balancer::on_request_sent`].
    pub fn on_request_ended(&mut self, now: Instant, node: &str, observation: &RequestObservation) {
        let may_eject = observation.outcome.is_failure() && self.may_eject(now, node);
        if let Some(sample) = &observation.load {
            self.note_cold_sample(now, sample);
        }
        let Some(state) = self.nodes.get_mut(node) else {
            return;
        };
        let sent = now.saturating_sub_micros(observation.latency_us);
        state.estimate.on_request_ended(sent);
        if let Some(sample) = observation.load {
            state.on_load_sample(now, sample);
        }
        let decay_us = self.cfg.score.failure_decay_us;
        state
            .estimate
            .update_failure_rate(now, observation.outcome, FAILURE_EWMA_WEIGHT, decay_us);
        // A cold target may fail more often, and gets few requests as it is.
        let is_excused = observation.outcome.is_failure() && state.estimate.is_cold(now);
        let outcome = match is_excused {
            true => RequestOutcome::Refused,
            false => observation.outcome,
        };
        let transition = state
            .ejection
            .on_outcome(now, outcome, may_eject, &self.cfg);
        if transition == Some(EjectionTransition::Restored) {
            state.estimate.begin_slow_start(now);
        }
        if let Some(transition) = transition {
            self.record_event(now, node, transition);
        }
    }

    /// Records the reply to a probe.
    pub fn on_probe_reply(&mut self, now: Instant, node: &str, rtt_us: u32, sample: LoadSample) {
        self.note_cold_sample(now, &sample);
        if let Some(state) = self.nodes.get_mut(node) {
            state.probe_requested_at = None;
            state.estimate.update_rtt(rtt_us);
            state.on_load_sample(now, sample);
        }
    }

    /// Records the load that the target itself reports. It is the least reliable observation, so
    /// a [`Score`] uses it only without a load sample of the guard.
    pub fn on_load_report(&mut self, now: Instant, node: &str, in_flight: u32, slots: u32) {
        if let Some(state) = self.nodes.get_mut(node) {
            state.estimate.report = Some(LoadReport {
                at: now,
                in_flight,
                slots,
            });
        }
    }

    /// Sets the minimum time between probes; see
    /// [`crate::measure::MeasurementBudget::interval_us`].
    ///
    /// Without it, a small measuring share would be spent at the beginning of each second.
    pub fn set_probe_interval(&mut self, interval_us: u64) {
        self.probe_interval_us = interval_us;
    }

    /// Returns the node with the oldest load sample, or `None` if no probe is due.
    ///
    /// Considers only targets in use, of services with recent requests, whose sample is at least
    /// [`BalancerSettings::probe_after_us`] old. A returned node is not returned again until it
    /// replies or that time has passed.
    pub fn next_probe_target(&mut self, now: Instant, rng: &mut dyn Rng) -> Option<NodeName> {
        if now < self.next_probe_at {
            return None;
        }
        let due: Vec<(Option<Instant>, &NodeName)> = self
            .services
            .values()
            .filter(|service| service.has_recent_traffic(now, &self.cfg))
            .flat_map(|service| service.used_targets(&self.nodes, now, &self.cfg))
            .filter_map(|target| {
                let state = self.nodes.get(&target.node)?;
                let newest = state.estimate.sampled_at().max(state.probe_requested_at);
                let is_old =
                    newest.is_none_or(|at| now.micros_since(at) >= self.cfg.probe_after_us);
                (is_old && state.ejection.is_in_use()).then_some((newest, &target.node))
            })
            .collect();
        let oldest = due.iter().map(|(newest, _)| *newest).min()?;
        let (_, node) = due
            .iter()
            .filter(|(newest, _)| *newest == oldest)
            .choose(rng)?;
        let node = (*node).clone();
        let since = now.saturating_sub_micros(PROBE_CATCH_UP_US);
        self.next_probe_at = self
            .next_probe_at
            .max(since)
            .saturating_add_micros(self.probe_interval_us);
        if let Some(state) = self.nodes.get_mut(&node) {
            state.probe_requested_at = Some(now);
        }
        Some(node)
    }

    /// Returns whether another target in the allowed regions would probably answer much sooner than
    /// `node`, so that a hedged request is worth its cost.
    pub fn is_slow(&self, now: Instant, node: &str, regions: AllowedRegions<'_>) -> bool {
        let state = self.nodes.get(node);
        let Some(service) = state.and_then(|state| self.services.get(&state.service)) else {
            return false;
        };
        let mut own_us = 0.0;
        let mut best_us = f64::INFINITY;
        for target in service.subset_in(regions, self.cfg.subset_size) {
            let state = &self.nodes[&target.node];
            let candidate = build_candidate(&self.cfg, target, state);
            let score_us = Score::new(now, &candidate, &self.cfg.score).total_us();
            if target.node.as_str() == node {
                own_us = score_us;
            } else if state.ejection.is_in_use() {
                best_us = best_us.min(score_us);
            }
        }
        own_us >= best_us * SLOW_TARGET_RATIO
    }

    /// Removes and returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<EjectionEvent> {
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
        let previous = std::mem::replace(state, NodeState::new(now, service, target.slots));
        if let Some(previous_service) = self.services.get_mut(&previous.service) {
            previous_service
                .targets
                .retain(|other| other.node.as_str() != target.node);
        }
    }

    pub(super) fn record_event(
        &mut self,
        now: Instant,
        node: &str,
        transition: EjectionTransition,
    ) {
        let Some(state) = self.nodes.get(node) else {
            return;
        };
        let change = match transition {
            EjectionTransition::Ejected { until, reason } => {
                EjectionChange::Ejected { until, reason }
            }
            EjectionTransition::Restored => EjectionChange::Restored,
        };
        let event = EjectionEvent {
            at: now,
            service: state.service.clone(),
            node: NodeName::from(node),
            change,
        };
        if self.events.len() == MAX_PENDING_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }
}
