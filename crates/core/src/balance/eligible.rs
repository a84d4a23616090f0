//! Eligibility of targets in the balancer: what requests demand of their targets, the order of preference
//! of an entry, and evacuated targets.

use super::{
    Balancer, ChoiceError, TargetView,
    service_targets::{ServiceTarget, ServiceTargets},
    subset::{rendezvous_order, with_near_part},
};
use crate::{
    admission::RefuseReason,
    collections::HashMap,
    eligibility::{RequestScope, TargetFacts},
    time::Instant,
};

/// A request for which [`Balancer::choose_target_for`] chooses a target.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetQuery<'a> {
    /// Service that the request is for.
    pub service: &'a str,
    /// Estimated size of the body and the answer together, in bytes.
    pub bytes: u64,
    /// Instant at which the latency target is missed; `None` without a latency target.
    pub due: Option<Instant>,
    /// Nodes that the request was already sent to, and the regions that it may be sent to.
    pub scope: RequestScope<'a>,
}

impl ChoiceError {
    /// Returns the value of the `plantainpost-reason` header for this error.
    pub const fn reason(self) -> &'static str {
        match self {
            ChoiceError::Evacuated => RefuseReason::Evacuated.as_str(),
            ChoiceError::NoRegion => "no-region",
            ChoiceError::UnknownService
            | ChoiceError::NoTarget
            | ChoiceError::AllDraining
            | ChoiceError::AllExcluded => RefuseReason::NoTarget.as_str(),
        }
    }
}

impl<'a> TargetView<'a> {
    pub(super) fn facts(&self) -> TargetFacts<'a> {
        TargetFacts {
            node: self.node,
            region: self.region,
            weight: self.weight,
            is_leaving: self.draining,
            is_evacuated: self.evacuated,
        }
    }
}

impl Balancer {
    /// Records that the guard on a node has refused a request because of an evacuation, which this entry
    /// may not know of. The target is avoided for a short time.
    pub fn on_evacuated_refusal(&mut self, now: Instant, node: &str) {
        if let Some(state) = self.nodes.get_mut(node) {
            state.evacuation_seen_at = Some(now);
        }
    }

    /// Returns the position of each node in the order of preference of this entry, of which the first
    /// ones are its subset. Targets that take no requests are left out first, so that they do not
    /// occupy places in the subset.
    pub(super) fn rank_nodes<'a>(&self, targets: &[TargetView<'a>]) -> HashMap<&'a str, usize> {
        let usable: Vec<&TargetView<'a>> = targets
            .iter()
            .filter(|target| target.facts().check().is_ok())
            .collect();
        let names: Vec<&str> = usable.iter().map(|target| target.node).collect();
        let size = self.cfg.subset_size;
        let order = rendezvous_order(self.cfg.entry.as_str(), &names, size);
        let is_near = |index: usize| usable[index].data_centre == self.cfg.data_centre.as_str();
        let ranks = with_near_part(order, size, is_near).into_iter().enumerate();
        ranks
            .map(|(rank, index)| (usable[index].node, rank))
            .collect()
    }

    /// Begins the slow start of targets whose evacuation has ended, so that not all entries choose
    /// them at once because of their old estimates.
    pub(super) fn begin_slow_starts(
        &mut self,
        now: Instant,
        service: &str,
        previous: &[ServiceTarget],
    ) {
        if previous.iter().all(|target| !target.evacuated) {
            return;
        }
        let targets = self.services.get(service).into_iter();
        for target in targets.flat_map(ServiceTargets::all) {
            let was_evacuated = previous
                .iter()
                .any(|old| old.evacuated && old.node == target.node);
            if let Some(state) = self.nodes.get_mut(&target.node)
                && was_evacuated
                && !target.evacuated
            {
                state.estimate.begin_slow_start(now);
                state.evacuation_seen_at = None;
            }
        }
    }
}
