//! The targets of each service and the state kept about their nodes.

use std::borrow::Cow;

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

#[derive(Clone, Debug)]
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

#[derive(Clone, Debug, Default)]
pub(super) struct ServiceTargets {
    targets: Vec<ServiceTarget>,
    /// Indices of the targets with `in_subset`, ascending. A decision thus looks only at the targets
    /// that the entry uses, however many the service has.
    subset: Vec<usize>,
    /// Indices of the targets of each region by rank, at most as many as a subset has.
    by_region: Vec<(Region, Vec<usize>)>,
    /// When a request for the service last asked for a target, whether or not one was found.
    pub(super) last_request: Option<Instant>,
}

impl ServiceTargets {
    /// Replaces the targets, of which an entry uses `size`, and returns the previous ones.
    pub(super) fn replace(
        &mut self,
        targets: Vec<ServiceTarget>,
        size: usize,
    ) -> Vec<ServiceTarget> {
        let previous = std::mem::replace(&mut self.targets, targets);
        self.index(size);
        previous
    }

    /// Removes the target on a node.
    pub(super) fn remove_node(&mut self, node: &str, size: usize) {
        self.targets.retain(|target| target.node.as_str() != node);
        self.index(size);
    }

    fn index(&mut self, size: usize) {
        let in_subset = |index: &usize| self.targets[*index].in_subset;
        self.subset = (0..self.targets.len()).filter(in_subset).collect();
        let mut ranked: Vec<(usize, usize)> = self
            .targets
            .iter()
            .enumerate()
            .filter_map(|(index, target)| Some((target.rank?, index)))
            .collect();
        ranked.sort_unstable();
        self.by_region.clear();
        for (_, index) in ranked {
            let region = &self.targets[index].region;
            match self.by_region.iter_mut().find(|(known, _)| known == region) {
                Some((_, indices)) if indices.len() < size => indices.push(index),
                Some(_) => {}
                None => self.by_region.push((region.clone(), vec![index])),
            }
        }
    }

    /// Returns all targets.
    pub(super) fn all(&self) -> &[ServiceTarget] {
        &self.targets
    }

    pub(super) fn subset_targets(&self) -> impl Iterator<Item = &ServiceTarget> {
        self.subset.iter().map(|index| &self.targets[*index])
    }

    /// Returns the targets that this entry uses for requests with these allowed regions: the first
    /// `size` allowed ones in its order of preference.
    pub(super) fn subset_in<'a>(
        &'a self,
        regions: AllowedRegions<'a>,
        size: usize,
    ) -> impl Iterator<Item = &'a ServiceTarget> {
        let indices = match regions.is_unrestricted() {
            true => Cow::Borrowed(self.subset.as_slice()),
            false => Cow::Owned(self.allowed_subset(regions, size)),
        };
        (0..indices.len()).map(move |at| &self.targets[indices[at]])
    }

    /// Returns the indices of the first `size` targets in allowed regions by rank, in ascending order.
    fn allowed_subset(&self, regions: AllowedRegions<'_>, size: usize) -> Vec<usize> {
        let by_region = self.by_region.iter();
        let allowed = by_region.filter(|(region, _)| regions.allows(region.as_str()));
        let mut indices: Vec<usize> = allowed.flat_map(|(_, indices)| indices).copied().collect();
        if indices.len() > size {
            indices.select_nth_unstable_by_key(size, |index| self.targets[*index].rank);
            indices.truncate(size);
        }
        indices.sort_unstable();
        indices
    }

    pub(super) fn has_recent_traffic(&self, now: Instant, cfg: &BalancerSettings) -> bool {
        let recent_us = cfg.recent_traffic_ms * MICROS_PER_MILLI;
        self.last_request
            .is_some_and(|at| now.micros_since(at) < recent_us)
    }
}

#[derive(Clone, Debug)]
pub(super) struct NodeState {
    /// Service of the target; a node serves one target and so one service.
    pub(super) service: ServiceName,
    pub(super) estimate: TargetEstimate,
    pub(super) ejection: EjectionTracker,
    /// Arrival time of the last load sample if it had `draining` set, otherwise `None`.
    pub(super) draining_seen_at: Option<Instant>,
    /// When the guard last refused a request because of an evacuation.
    pub(super) evacuation_seen_at: Option<Instant>,
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
            probe_requested_at: None,
        }
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
    if usable.is_empty() {
        let all = service.all().iter().map(with_state);
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

/// Returns how the entry uses the target, whatever a request demands.
pub(super) fn target_usage(now: Instant, target: &ServiceTarget, state: &NodeState) -> TargetUsage {
    target_usage_for(
        now,
        target,
        state,
        &RequestScope::default(),
        target.in_subset,
    )
}

/// Returns how the entry uses the target for requests of a scope, for which it is in the subset or not.
pub(super) fn target_usage_for(
    now: Instant,
    target: &ServiceTarget,
    state: &NodeState,
    scope: &RequestScope<'_>,
    in_subset: bool,
) -> TargetUsage {
    if let Err(reason) = target.facts(now, state).check_for(scope) {
        return TargetUsage::Ineligible(reason);
    }
    if !in_subset {
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
