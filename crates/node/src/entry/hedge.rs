//! When a second copy of a request is considered.

use plantainpost_core::time::Instant;

use super::caller_request::CallerRequest;
use crate::node::Node;

/// When to consider a hedge for a request.
#[derive(Clone, Copy)]
pub(super) struct HedgePlan {
    /// Next check whether the target is slow.
    pub(super) check_at: Instant,
    /// When the hedge is sent even if the target is not slow: twice the 95th percentile of the
    /// service's latency from the start of the first attempt.
    pub(super) overdue_at: Instant,
}

impl HedgePlan {
    pub(super) fn new(node: &Node, request: &CallerRequest) -> Option<Self> {
        if !request.is_buffered() {
            return None;
        }
        let now = node.now();
        let mut retries = node.retry_budgets.borrow_mut();
        let service = request.policy.service.as_str();
        let p95_at = retries.hedge_at(
            now,
            service,
            request.policy.idempotent,
            request.hedged,
            request.deadline,
        )?;
        let check_interval_us = retries.hedge_check_interval_us(service)?;
        Some(HedgePlan {
            check_at: now.saturating_add_micros(check_interval_us),
            overdue_at: p95_at.saturating_add_micros(p95_at.micros_since(now)),
        })
    }
}

pub(super) async fn wait_for_hedge(node: &Node, plan: Option<HedgePlan>) {
    match plan {
        Some(plan) => node.clock.sleep_until(plan.check_at).await,
        None => std::future::pending().await,
    }
}
