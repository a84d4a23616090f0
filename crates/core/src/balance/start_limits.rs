//! How the balancer treats targets that limit the rate of their requests: those that state a limit and
//! those that are cold.

use super::{Balancer, Candidate, WaitingRequest, service_targets::eligible_candidates};
use crate::{
    eligibility::{AllowedRegions, RequestScope},
    ids::NodeName,
    load::LoadSample,
    time::{Instant, MICROS_PER_MILLI},
};

/// Time for which `cold` in a load sample counts. Without a newer one, the target may have become warm
/// or may be gone.
pub(super) const COLD_SAMPLE_TTL_US: u64 = 5_000 * MICROS_PER_MILLI;

impl Balancer {
    /// Returns the nodes of the targets of a service in the subset of this entry for the allowed regions
    /// whose stated rate limit, if any, lets a request start at once. Ejected targets are included.
    pub fn startable_targets<'a>(
        &'a self,
        now: Instant,
        service: &str,
        regions: AllowedRegions<'a>,
    ) -> impl Iterator<Item = &'a NodeName> {
        self.subset_nodes_with_wait(now, service, regions)
            .filter(|(_, wait_us)| *wait_us == 0)
            .map(|(node, _)| node)
    }

    /// Returns the nodes in the subset of this entry with how long a stated rate limit delays a
    /// request there, in microseconds.
    fn subset_nodes_with_wait<'a>(
        &'a self,
        now: Instant,
        service: &str,
        regions: AllowedRegions<'a>,
    ) -> impl Iterator<Item = (&'a NodeName, u64)> {
        let size = self.cfg.subset_size;
        let targets = self.services.get(service).into_iter();
        targets
            .flat_map(move |targets| targets.subset_in(regions, size))
            .filter_map(move |target| {
                let state = self.nodes.get(&target.node)?;
                Some((&target.node, state.estimate.start_wait_us(now)))
            })
    }

    /// Returns how long the rate limits that the targets of a service in the allowed regions state delay
    /// a request, in microseconds; zero if a target can start it at once, or none is known.
    pub fn start_wait_us(&self, now: Instant, service: &str, regions: AllowedRegions<'_>) -> u64 {
        let waits = self.subset_nodes_with_wait(now, service, regions);
        waits.map(|(_, wait_us)| wait_us).min().unwrap_or_default()
    }

    /// Sets the nodes whose member records say that their targets are cold.
    pub fn set_cold_nodes(&mut self, now: Instant, cold: &[NodeName]) {
        self.has_announced_cold = !cold.is_empty();
        for (node, state) in &mut self.nodes {
            let is_cold = cold.contains(node);
            state.estimate.set_announced_cold(now, is_cold);
        }
    }

    /// Records that the guard on `node` refused a request because its target is cold. Call it after
    /// [`Balancer::on_request_ended`].
    pub fn on_cold_refusal(&mut self, now: Instant, node: &str, request: &WaitingRequest) {
        // Every node is an entry.
        let entries = self.nodes.len();
        if let Some(state) = self.nodes.get_mut(node) {
            state.estimate.on_cold_refusal(now, request, entries);
        }
    }

    /// Returns whether all targets that could get a request are cold and none can start it before its
    /// deadline, so that any of them would refuse it.
    pub fn is_too_cold(
        &self,
        now: Instant,
        service: &str,
        scope: &RequestScope<'_>,
        request: &WaitingRequest,
    ) -> bool {
        if !self.has_announced_cold && now >= self.cold_samples_until {
            return false;
        }
        let Some(service) = self.services.get(service) else {
            return false;
        };
        let candidates = eligible_candidates(&self.cfg, &self.nodes, now, service, scope);
        let candidates = candidates.unwrap_or_default();
        let is_in_use =
            |candidate: &&Candidate<'_>| self.nodes[candidate.node].ejection.is_in_use();
        let cannot_start_in_time = |candidate: &Candidate<'_>| {
            let estimate = candidate.estimate;
            estimate.is_cold(now) && !estimate.may_start(now, request)
        };
        let mut in_use = candidates.iter().filter(is_in_use).peekable();
        in_use.peek().is_some() && in_use.all(cannot_start_in_time)
    }

    /// Notes when samples stop telling that a target is cold, for [`Balancer::is_too_cold`].
    pub(super) fn note_cold_sample(&mut self, now: Instant, sample: &LoadSample) {
        if sample.cold {
            let cold_until = now.saturating_add_micros(COLD_SAMPLE_TTL_US);
            self.cold_samples_until = self.cold_samples_until.max(cold_until);
        }
    }
}

/// Returns the candidates that no refusal as cold, or coldness without a sample, keeps requests from.
pub(super) fn not_backed_off<'a>(now: Instant, candidates: &[Candidate<'a>]) -> Vec<Candidate<'a>> {
    let candidates = candidates.iter();
    candidates
        .filter(|candidate| candidate.estimate.cold_wait_us(now) == 0)
        .copied()
        .collect()
}
