//! When a caller may repeat a request that was refused for lack of capacity.

use plantainpost_core::{
    admission::RefuseReason,
    balance::{self, Balancer},
};
use rand::Rng;

use crate::{entry::caller_request::RequestPolicy, node::Node};

/// Reasons of refusals for lack of capacity. The request can be started once the targets have completed
/// their backlog.
const CAPACITY_REASONS: [RefuseReason; 5] = [
    RefuseReason::Overloaded,
    RefuseReason::Displaced,
    RefuseReason::Deadline,
    RefuseReason::Slow,
    RefuseReason::RateLimited,
];

/// Returns the time after which the caller of a refused request should send it again, in
/// microseconds; `None` if load is not shed, or if the refusal has another reason.
pub(super) fn retry_after_us(
    node: &Node,
    balancer: &Balancer,
    policy: &RequestPolicy,
    reason: &str,
    rng: &mut dyn Rng,
) -> Option<u64> {
    let is_for_capacity = CAPACITY_REASONS
        .iter()
        .any(|refusal| refusal.as_str() == reason);
    let sheds_load = node.guard.borrow().sheds_load();
    if !is_for_capacity || !sheds_load {
        return None;
    }
    let service = policy.service.as_str();
    let wait_us = balancer.room_wait_us(node.now(), service, policy.allowed_regions())?;
    Some(balance::retry_after_us(wait_us, rng))
}
