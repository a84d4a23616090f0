//! Bound on the number of ejected targets.

use super::{
    Balancer,
    ejection::{EjectionState, EjectionTransition},
    service_targets::{ServiceTarget, ServiceTargets},
};
use crate::{ids::NodeName, time::Instant};

/// Used targets of a service of which at most half may be ejected. Each used target is in one group, so
/// that failures of targets which other requests use never keep a failing target in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TargetGroup {
    /// The subset for requests without allowed regions.
    Subset,
    /// The targets outside it that only requests with allowed regions use. One group for all regions,
    /// because a region may have a single target.
    OutsideSubset,
}

impl TargetGroup {
    const ALL: [TargetGroup; 2] = [TargetGroup::Subset, TargetGroup::OutsideSubset];

    fn of(target: &ServiceTarget) -> Self {
        match target.in_subset {
            true => TargetGroup::Subset,
            false => TargetGroup::OutsideSubset,
        }
    }
}

impl Balancer {
    /// Returns whether one more target may be ejected in the group of a target. A target that no request
    /// uses is in no group and is not ejected.
    pub(super) fn may_eject(&self, now: Instant, node: &str) -> bool {
        let state = self.nodes.get(node);
        let Some(service) = state.and_then(|state| self.services.get(&state.service)) else {
            return false;
        };
        let used = self.used_targets(now, service);
        let target = used.iter().find(|target| target.node.as_str() == node);
        target.is_some_and(|target| {
            let (ejected, all) = self.count_ejected(&used, TargetGroup::of(target));
            (ejected + 1) * 2 <= all
        })
    }

    /// Restores targets until at most half of each group is ejected, in the order in which their ejections
    /// end. More than half can be ejected after other targets have left.
    pub(super) fn restore_excess_ejections(&mut self, now: Instant, service: &str) {
        while let Some(node) = self.first_excess_ejection(now, service) {
            if let Some(state) = self.nodes.get_mut(&node) {
                state.ejection.restore(now);
                state.estimate.begin_slow_start(now);
            }
            self.record_event(now, node.as_str(), EjectionTransition::Restored);
        }
    }

    fn first_excess_ejection(&self, now: Instant, service: &str) -> Option<NodeName> {
        let used = self.used_targets(now, self.services.get(service)?);
        let group = TargetGroup::ALL.into_iter().find(|group| {
            let (ejected, all) = self.count_ejected(&used, *group);
            ejected * 2 > all
        })?;
        let members = used
            .iter()
            .filter(|target| TargetGroup::of(target) == group);
        let ejections =
            members.filter_map(|target| match self.nodes[&target.node].ejection.state() {
                EjectionState::InUse => None,
                EjectionState::Ejected { until, .. } => Some((until, target.node.clone())),
            });
        ejections.min().map(|(_, node)| node)
    }

    fn used_targets<'a>(
        &'a self,
        now: Instant,
        service: &'a ServiceTargets,
    ) -> Vec<&'a ServiceTarget> {
        service.used_targets(&self.nodes, now, &self.cfg).collect()
    }

    /// Returns the numbers of ejected targets and of all targets of a group.
    fn count_ejected(&self, used: &[&ServiceTarget], group: TargetGroup) -> (usize, usize) {
        let members = used
            .iter()
            .filter(|target| TargetGroup::of(target) == group);
        members.fold((0, 0), |(ejected, all), target| {
            let is_ejected = !self.nodes[&target.node].ejection.is_in_use();
            (ejected + usize::from(is_ejected), all + 1)
        })
    }
}
