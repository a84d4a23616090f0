//! Decisions on a request that have no effect, for its attempts and for a dry run. The balancer is a
//! parameter, so that a dry run can use a copy.

use plantainpost_core::{
    admission::RefuseReason,
    balance::{Balancer, TargetQuery, WaitingRequest},
    eligibility::RequestScope,
    ids::NodeName,
    retry::{AttemptOutcome, RetryQuery},
    time::Instant,
};
use rand::Rng;

use super::{
    RequestExecution,
    caller_request::{CallerRequest, RequestPolicy},
    response::LocalResponse,
    shedding,
};
use crate::node::Node;

/// Attempts per request that a guard may refuse because its target's host is temporarily slow.
/// A further attempt waits until the host is fast again. Hosts become slow mostly
/// independently, so three slow ones in a row are rare.
const MAX_SLOW_HOST_REFUSALS: usize = 3;

impl RequestExecution<'_> {
    /// Returns the number of attempts without those that were refused because of an evacuation.
    pub(super) fn attempts(&self) -> usize {
        self.tried_nodes.len() - self.evacuated_refusals
    }

    /// Returns what the request demands of its target.
    pub(super) fn scope(&self) -> RequestScope<'_> {
        RequestScope {
            tried: &self.tried_nodes,
            regions: self.request.policy.allowed_regions(),
        }
    }

    /// Returns what the choice of the next target depends on.
    pub(super) fn target_query<'q>(&'q self, balancer: &Balancer) -> TargetQuery<'q> {
        let response_bytes = balancer.expected_response_bytes(self.request.class());
        TargetQuery {
            service: self.request.policy.service.as_str(),
            bytes: self.request.estimated_transfer_bytes(response_bytes),
            due: self.request.urgency().due,
            scope: self.scope(),
        }
    }

    /// Returns whether all targets are known to be cold, and none can start the request before
    /// `deadline`.
    pub(super) fn is_too_cold(&self, balancer: &Balancer, deadline: Instant) -> bool {
        let waiting = WaitingRequest {
            deadline,
            priority: self.request.urgency().priority,
        };
        let (now, service) = (self.node.now(), self.request.policy.service.as_str());
        balancer.is_too_cold(now, service, &self.scope(), &waiting)
    }

    /// Returns whether the guard on `peer` may refuse the request because its host is slow.
    pub(super) fn may_refuse_if_slow(
        &self,
        balancer: &Balancer,
        now: Instant,
        peer: &NodeName,
    ) -> bool {
        let service = self.request.policy.service.as_str();
        let is_untried = |node: &NodeName| node != peer && !self.tried_nodes.contains(node);
        self.attempts() < MAX_SLOW_HOST_REFUSALS
            && balancer
                .startable_targets(now, service, self.request.policy.allowed_regions())
                .any(is_untried)
    }

    /// Returns what the decision on another attempt depends on.
    pub(super) fn retry_query(
        &self,
        outcome: AttemptOutcome,
        targets_reached: u32,
        last_reached_target: bool,
    ) -> RetryQuery<'_> {
        RetryQuery {
            service: self.request.policy.service.as_str(),
            outcome,
            idempotent: self.request.policy.idempotent,
            // No response was forwarded yet. But a request whose body is streamed by an attempt
            // can't be sent again either, because the streamed bytes are not kept.
            answer_started: self.request.is_body_rest_claimed(),
            attempts: self.attempts() as u32,
            targets_reached,
            last_reached_target,
            max_targets_reached: self.request.policy.max_targets_reached,
            deadline: self.request.deadline,
        }
    }
}

/// Records in the balancer what a refusal by the guard on `peer` says about its target.
pub(super) fn record_refusal(
    balancer: &mut Balancer,
    now: Instant,
    peer: &NodeName,
    request: &CallerRequest,
    refusal: RefuseReason,
) {
    match refusal {
        RefuseReason::Evacuated => balancer.on_evacuated_refusal(now, peer.as_str()),
        RefuseReason::Cold => {
            let waiting = WaitingRequest {
                deadline: request.deadline,
                priority: request.urgency().priority,
            };
            balancer.on_cold_refusal(now, peer.as_str(), &waiting);
        }
        _ => (),
    }
}

/// Returns the response to a request that was not run, with the time after which it may be sent again.
pub(super) fn not_run_response(
    node: &Node,
    balancer: &Balancer,
    policy: &RequestPolicy,
    reason: &'static str,
    rng: &mut dyn Rng,
) -> LocalResponse {
    let (service, regions) = (policy.service.as_str(), policy.allowed_regions());
    let start_wait_us = balancer.start_wait_us(node.now(), service, regions);
    let exact_us = shedding::retry_after_us(node, balancer, policy, reason, rng);
    LocalResponse::not_run(reason)
        .with_retry_after(start_wait_us)
        .with_exact_retry_after(exact_us)
}
