//! The targets of each service and the state kept about their nodes.

use std::cell::Cell;

use super::{
    BalancerSettings, Candidate, ChoiceError, TargetEstimate, TargetUsage,
    ejection::{EjectionState, EjectionTracker},
};
use crate::{
    collections::HashMap,
    eligibility::{self, Absence, AllowedRegions, RequestScope, TargetFacts},
    ids::{DataCentre, NodeName, Region, ServiceName},
    load::LoadSample,
    time::{Instant, MICROS_PER_MILLI},
};

/// Time for which `draining` in a load sample excludes a target. By then membership has spread the
/// same information, and it also tells if the target is no longer leaving.
const DRAINING_SAMPLE_TTL_US: u64 = 5_000 * MICROS_PER_MILLI;

/// Time for which a target is avoided after its guard has refused a request because of an evacuation.
/// By then this entry knows of the evacuation, or the guard knows of its end.
const EVACUATED_REFUSAL_TTL_US: u64 = 1_000 * MICROS_PER_MILLI;

#[derive(Debug)]
pub(super) struct ServiceTarget {
    pub(super) node: NodeName,
    pub(super) data_centre: DataCentre,
    pub(super) region: Region,
    pub(super) weight: u32,
    pub(super) draining: bool,
    pub(super) evacuated: bool,
    pub(super) stopping: bool,
    /// Position in the order of preference of this entry; `None` if the target is not eligible for any
    /// request.
    pub(super) rank: Option<usize>,
    /// True only if `rank` is below the size of the subset.
    pub(super) in_subset: bool,
}

impl ServiceTarget {
    /// Returns what membership, the configuration and recent answers of the guard say about the target.
    fn facts(&self, now: Instant, state: &NodeState) -> TargetFacts<'_> {
        TargetFacts {
            node: self.node.as_str(),
            region: self.region.as_str(),
            weight: self.weight,
            is_leaving: self.draining || state.is_draining(now),
            is_evacuated: self.evacuated || state.refuses_for_evacuation(now),
        }
    }
}

#[derive(Debug, Default)]
pub(super) struct ServiceTargets {
    pub(super) targets: Vec<ServiceTarget>,
    /// When a request for the service last asked for a target, whether or not one was found.
    pub(super) last_request: Option<Instant>,
    /// When a request with allowed regions last asked for a target. No target has regional use that is
    /// newer.
    pub(super) last_regional_request: Option<Instant>,
}

impl ServiceTargets {
    /// Returns the targets that this entry uses for requests with these allowed regions: the first
    /// `size` allowed ones in its order of preference.
    pub(super) fn subset_in<'a>(
        &'a self,
        regions: AllowedRegions<'a>,
        size: usize,
    ) -> impl Iterator<Item = &'a ServiceTarget> {
        let end = match regions.is_unrestricted() {
            true => size,
            false => self.subset_end(regions, size),
        };
        self.targets.iter().filter(move |target| {
            target.rank.is_some_and(|rank| rank < end) && regions.allows(target.region.as_str())
        })
    }

    /// Returns the rank below which there are `size` targets in allowed regions, or all of them.
    fn subset_end(&self, regions: AllowedRegions<'_>, size: usize) -> usize {
        let allowed = self.targets.iter();
        let allowed = allowed.filter(|target| regions.allows(target.region.as_str()));
        let mut ranks: Vec<usize> = allowed.filter_map(|target| target.rank).collect();
        if ranks.len() <= size {
            return usize::MAX;
        }
        *ranks.select_nth_unstable(size).1
    }

    pub(super) fn has_recent_traffic(&self, now: Instant, cfg: &BalancerSettings) -> bool {
        is_recent(self.last_request, now, cfg)
    }

    /// Returns the targets that requests use: those in the subset, and those outside it that requests with
    /// allowed regions have lately used.
    pub(super) fn used_targets<'a>(
        &'a self,
        nodes: &'a HashMap<NodeName, NodeState>,
        now: Instant,
        cfg: &'a BalancerSettings,
    ) -> impl Iterator<Item = &'a ServiceTarget> {
        let is_any_regional = is_recent(self.last_regional_request, now, cfg);
        self.targets.iter().filter(move |target| {
            target.in_subset || (is_any_regional && nodes[&target.node].has_regional_use(now, cfg))
        })
    }
}

/// Returns whether a request counts as recent traffic.
fn is_recent(at: Option<Instant>, now: Instant, cfg: &BalancerSettings) -> bool {
    let recent_us = cfg.recent_traffic_ms * MICROS_PER_MILLI;
    at.is_some_and(|at| now.micros_since(at) < recent_us)
}

#[derive(Debug)]
pub(super) struct NodeState {
    /// Service of the target; a node serves one target and so one service.
    pub(super) service: ServiceName,
    pub(super) estimate: TargetEstimate,
    pub(super) ejection: EjectionTracker,
    /// Arrival time of the last load sample if it had `draining` set, otherwise `None`.
    pub(super) draining_seen_at: Option<Instant>,
    /// When the guard last refused a request because of an evacuation.
    pub(super) evacuation_seen_at: Option<Instant>,
    /// When a request with allowed regions could last be sent to the target although it is outside the
    /// subset for other requests.
    pub(super) regional_use_at: Cell<Option<Instant>>,
    /// When a probe was last requested; `None` after its reply.
    pub(super) probe_requested_at: Option<Instant>,
}

impl NodeState {
    pub(super) fn new(now: Instant, service: &ServiceName, slots: u32) -> Self {
        NodeState {
            service: service.clone(),
            estimate: TargetEstimate::new(now, slots),
            ejection: EjectionTracker::new(),
            draining_seen_at: None,
            evacuation_seen_at: None,
            regional_use_at: Cell::new(None),
            probe_requested_at: None,
        }
    }

    /// Returns whether requests with allowed regions have lately used the target from outside the subset.
    pub(super) fn has_regional_use(&self, now: Instant, cfg: &BalancerSettings) -> bool {
        is_recent(self.regional_use_at.get(), now, cfg)
    }

    fn is_draining(&self, now: Instant) -> bool {
        self.draining_seen_at
            .is_some_and(|at| now.micros_since(at) < DRAINING_SAMPLE_TTL_US)
    }

    fn refuses_for_evacuation(&self, now: Instant) -> bool {
        self.evacuation_seen_at
            .is_some_and(|at| now.micros_since(at) < EVACUATED_REFUSAL_TTL_US)
    }

    pub(super) fn on_load_sample(&mut self, now: Instant, sample: LoadSample) {
        self.estimate.update_load(now, sample);
        self.draining_seen_at = sample.draining.then_some(now);
    }
}

/// Returns the targets that may be chosen, including ejected ones.
pub(super) fn eligible_candidates<'a>(
    cfg: &BalancerSettings,
    nodes: &'a HashMap<NodeName, NodeState>,
    now: Instant,
    service: &'a ServiceTargets,
    scope: &RequestScope<'a>,
) -> Result<Vec<Candidate<'a>>, ChoiceError> {
    let with_state = |target: &'a ServiceTarget| (target, &nodes[&target.node]);
    let usable: Vec<(&ServiceTarget, &NodeState)> = service
        .subset_in(scope.regions, cfg.subset_size)
        .map(with_state)
        .filter(|(target, state)| target.facts(now, state).check().is_ok())
        .collect();
    if !scope.regions.is_unrestricted() {
        for (_, state) in usable.iter().filter(|(target, _)| !target.in_subset) {
            state.regional_use_at.set(Some(now));
        }
    }
    if usable.is_empty() {
        let all = service.targets.iter().map(with_state);
        let facts = all.map(|(target, state)| target.facts(now, state));
        return Err(match eligibility::explain_absence(facts, scope.regions) {
            Absence::NoTarget => ChoiceError::NoTarget,
            Absence::NoRegion => ChoiceError::NoRegion,
            Absence::Evacuated => ChoiceError::Evacuated,
            Absence::Leaving => ChoiceError::AllDraining,
        });
    }
    let (stopping, running): (Vec<_>, Vec<_>) = usable
        .into_iter()
        .filter(|(target, state)| target.facts(now, state).check_for(scope).is_ok())
        .partition(|(target, _)| target.stopping);
    // A stopping node still serves for a while, which is better than no target at all.
    let eligible = if running.is_empty() {
        stopping
    } else {
        running
    };
    if eligible.is_empty() {
        return Err(ChoiceError::AllExcluded);
    }
    let candidates = eligible.into_iter();
    Ok(candidates
        .map(|(target, state)| build_candidate(cfg, target, state))
        .collect())
}

pub(super) fn build_candidate<'a>(
    cfg: &BalancerSettings,
    target: &'a ServiceTarget,
    state: &'a NodeState,
) -> Candidate<'a> {
    let is_local = target.data_centre == cfg.data_centre;
    let assumed_rtt_us = if is_local {
        cfg.assumed_local_rtt_us
    } else {
        cfg.assumed_remote_rtt_us
    };
    Candidate {
        node: target.node.as_str(),
        data_centre: target.data_centre.as_str(),
        is_local,
        weight: target.weight,
        rtt_us: state.estimate.rtt_us.unwrap_or(assumed_rtt_us),
        transfer_cost_us: 0,
        estimate: &state.estimate,
    }
}

pub(super) fn target_usage(
    cfg: &BalancerSettings,
    now: Instant,
    target: &ServiceTarget,
    state: &NodeState,
) -> TargetUsage {
    if let Err(reason) = target.facts(now, state).check() {
        return TargetUsage::Ineligible(reason);
    }
    if !target.in_subset && !state.has_regional_use(now, cfg) {
        return TargetUsage::OutsideSubset;
    }
    match state.ejection.state() {
        EjectionState::InUse => TargetUsage::InUse,
        EjectionState::Ejected { until, reason, .. } if now < until => {
            TargetUsage::Ejected { until, reason }
        }
        EjectionState::Ejected {
            reason, successes, ..
        } => TargetUsage::HalfOpen { successes, reason },
    }
}
