//! What an operator can be told about a request that was not sent: the targets that it could go to, and
//! what the last load sample of a guard says about its wait.

use super::{
    Balancer, Explanation, Score, TargetQuery, TargetUsage,
    choice::narrow_choice,
    room::MAX_SAMPLE_AGE_US,
    score::FULL_REQUESTS_PER_SLOT,
    service_targets::{build_candidate, target_usage_for},
};
use crate::{
    admission::{Admission, NO_CLASS, RefuseReason},
    ids::NodeName,
    load::LoadSample,
    time::Instant,
};

/// Part of the mean service time that a guard expects a request with a class to take at least, in percent.
/// The guard expects less if service times vary more, which load samples do not tell.
const LEAST_SERVICE_PERCENT: u64 = 80;

/// A target of a service, and whether a certain request could be sent to it now.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetOption {
    /// Whether the policy may choose the target.
    pub is_candidate: bool,
    /// The target, its score for the request, and why it is or is not a candidate.
    pub explanation: Explanation,
}

/// What the last load sample of a guard says about a request that reaches it now. The guard itself may
/// decide otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SampleOutlook {
    /// The sample.
    pub sample: LoadSample,
    /// Time since the sample arrived, in microseconds.
    pub age_us: u64,
    /// Wait for a slot or a rate limit, in microseconds.
    pub wait_us: u64,
    /// Whether the guard had so many requests that it refuses others.
    pub is_full: bool,
}

impl SampleOutlook {
    /// Returns what the guard will probably decide on a request of `class` with this deadline. It makes its
    /// checks in the order of the guard, which starts a request at once in a free slot even if the mean
    /// service time exceeds the time left.
    pub fn expected_admission(&self, now: Instant, deadline: Instant, class: u32) -> Admission {
        let service_us = u64::from(self.sample.service_time_us);
        let least_service_us = match class {
            NO_CLASS => 0,
            _ => service_us * LEAST_SERVICE_PERCENT / 100,
        };
        if now.saturating_add_micros(least_service_us) >= deadline {
            return Admission::Refused(RefuseReason::Deadline);
        }
        let is_late = now.saturating_add_micros(self.wait_us + service_us) > deadline;
        if self.is_full || (self.wait_us > 0 && is_late) {
            return Admission::Refused(match (self.sample.cold, self.sample.start_wait_us) {
                (true, _) => RefuseReason::Cold,
                (false, 0) => RefuseReason::Overloaded,
                (false, _) => RefuseReason::RateLimited,
            });
        }
        match self.wait_us {
            0 => Admission::Start,
            _ => Admission::Queued,
        }
    }
}

impl Balancer {
    /// Returns the targets of a service with their scores for a request, and for each whether it may get
    /// the request or why not. Has no effect.
    pub fn explain_for(&self, now: Instant, query: &TargetQuery<'_>) -> Vec<TargetOption> {
        let Some(service) = self.services.get(query.service) else {
            return Vec::new();
        };
        let choice = narrow_choice(&self.cfg, &self.nodes, now, service, query).ok();
        let size = self.cfg.subset_size;
        let subset: Vec<&NodeName> = service
            .subset_in(query.scope.regions, size)
            .map(|target| &target.node)
            .collect();
        let options = service.all().iter().filter_map(|target| {
            let state = self.nodes.get(&target.node)?;
            let mut candidate = build_candidate(&self.cfg, target, state);
            if !candidate.is_local {
                candidate.transfer_cost_us = self.cfg.transfer_cost_us(query.bytes);
            }
            let in_subset = subset.contains(&&target.node);
            let is_candidate = choice
                .as_ref()
                .is_some_and(|choice| choice.contains(target.node.as_str()));
            let usage = target_usage_for(now, target, state, &query.scope, in_subset);
            let wait_us = state.estimate.start_wait_us(now);
            let usage = match usage {
                TargetUsage::InUse if is_candidate => usage,
                TargetUsage::InUse if target.stopping => TargetUsage::Stopping,
                TargetUsage::InUse if wait_us > 0 => TargetUsage::Delayed { wait_us },
                TargetUsage::InUse => TargetUsage::Passed,
                other => other,
            };
            Some(TargetOption {
                is_candidate,
                explanation: Explanation {
                    node: target.node.clone(),
                    data_centre: target.data_centre.clone(),
                    region: target.region.clone(),
                    weight: target.weight,
                    score: Score::new(now, &candidate, &self.cfg.score),
                    own_in_flight: state.estimate.own_in_flight(),
                    sampled_at: state.estimate.sampled_at(),
                    usage,
                },
            })
        });
        options.collect()
    }

    /// Returns what the last load sample of the guard on `node` says; `None` without a sample.
    pub fn outlook(&self, now: Instant, node: &str) -> Option<SampleOutlook> {
        let state = self.nodes.get(node)?;
        let estimate = &state.estimate;
        let (at, sample) = estimate.sample?;
        let since = now.saturating_sub_micros(MAX_SAMPLE_AGE_US);
        let backlog = estimate.backlog_since(since);
        let slot_wait_us = backlog.map_or(0, |(slots, work_us)| work_us / slots);
        let requests = f64::from(sample.in_flight) + f64::from(sample.queued);
        let limit = FULL_REQUESTS_PER_SLOT * f64::from(sample.slots);
        Some(SampleOutlook {
            sample,
            age_us: now.micros_since(at),
            wait_us: slot_wait_us.max(estimate.start_wait_us(now)),
            is_full: backlog.is_some() && requests >= limit,
        })
    }
}
