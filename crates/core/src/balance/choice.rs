//! The choice of a target for a request.

use rand::Rng;
use snafu::Snafu;

use super::{
    Balancer, BalancerSettings, Candidate, ChoiceRequest, TargetQuery,
    service_targets::{NodeState, ServiceTargets, eligible_candidates},
    start_limits::not_backed_off,
};
use crate::{collections::HashMap, eligibility::RequestScope, ids::NodeName, time::Instant};

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

/// Divisor that gives, of the time until a latency target is missed, the predicted completion time up to
/// which a near target is preferred. The other half is for errors of the prediction.
const NEAR_LIMIT_DIVISOR: u64 = 2;

/// The targets that a request may be sent to, before the policy chooses.
pub(super) enum Choice<'a> {
    /// An ejected target that is due for a trial request.
    Trial(&'a str),
    /// The policy chooses one of these; there is at least one.
    OneOf(Vec<Candidate<'a>>),
}

impl Choice<'_> {
    pub(super) fn contains(&self, node: &str) -> bool {
        match self {
            Choice::Trial(trial) => *trial == node,
            Choice::OneOf(candidates) => candidates.iter().any(|c| c.node == node),
        }
    }
}

/// Returns the targets that a request may be sent to now.
pub(super) fn narrow_choice<'a>(
    cfg: &BalancerSettings,
    nodes: &'a HashMap<NodeName, NodeState>,
    now: Instant,
    service: &'a ServiceTargets,
    query: &TargetQuery<'a>,
) -> Result<Choice<'a>, ChoiceError> {
    let transfer_cost_us = cfg.transfer_cost_us(query.bytes);
    let mut candidates = eligible_candidates(cfg, nodes, now, service, &query.scope)?;
    for candidate in candidates
        .iter_mut()
        .filter(|candidate| !candidate.is_local)
    {
        candidate.transfer_cost_us = transfer_cost_us;
    }
    if query.scope.tried.is_empty() {
        let due = candidates
            .iter()
            .find(|c| nodes[c.node].ejection.is_trial_due(now) && c.estimate.own_in_flight() == 0);
        if let Some(trial) = due {
            return Ok(Choice::Trial(trial.node));
        }
    }
    let in_use: Vec<Candidate<'_>> = candidates
        .iter()
        .filter(|candidate| nodes[candidate.node].ejection.is_in_use())
        .copied()
        .collect();
    // If all targets are ejected, an ejected one is still better than none.
    let candidates = if in_use.is_empty() {
        candidates
    } else {
        in_use
    };
    // A target whose rate limit would delay the request is chosen only if no other can start it
    // at once.
    let startable: Vec<Candidate<'_>> = candidates
        .iter()
        .filter(|candidate| candidate.estimate.start_wait_us(now) == 0)
        .copied()
        .collect();
    let startable = if startable.is_empty() {
        not_backed_off(now, &candidates)
    } else {
        startable
    };
    Ok(Choice::OneOf(if startable.is_empty() {
        candidates
    } else {
        startable
    }))
}

impl Balancer {
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
        let service_targets = self
            .services
            .get_mut(query.service)
            .ok_or(ChoiceError::UnknownService)?;
        let is_first = service_targets.last_request.replace(now).is_none();
        let choice = narrow_choice(&self.cfg, &self.nodes, now, service_targets, query)?;
        let candidates = match choice {
            Choice::Trial(node) => return Ok(NodeName::from(node)),
            Choice::OneOf(candidates) => candidates,
        };
        let choice_request = ChoiceRequest {
            now,
            candidates: &candidates,
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
}
