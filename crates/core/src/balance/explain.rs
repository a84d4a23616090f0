//! What operators see of the balancer: explanations of scores, and events of ejections.

use std::fmt;

use super::{
    Balancer, EjectionReason, Score,
    service_targets::{build_candidate, target_usage},
};
use crate::{
    eligibility::Ineligibility,
    ids::{DataCentre, NodeName, Region, ServiceName},
    time::Instant,
};

/// Whether and how an entry uses a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetUsage {
    /// The target receives requests.
    InUse,
    /// The target receives no requests until `until`.
    Ejected {
        /// When trial requests begin.
        until: Instant,
        /// Why the target was ejected.
        reason: EjectionReason,
    },
    /// The target receives one trial request at a time.
    HalfOpen {
        /// Number of trial requests answered so far.
        successes: u32,
        /// Why the target was ejected.
        reason: EjectionReason,
    },
    /// The target gets no requests, whatever they demand.
    Ineligible(Ineligibility),
    /// The target is not in the subset of this entry.
    OutsideSubset,
}

impl fmt::Display for TargetUsage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TargetUsage::InUse => f.write_str("in use"),
            TargetUsage::Ejected { reason, .. } => write!(f, "set aside: {reason}"),
            TargetUsage::HalfOpen { successes, reason } => {
                write!(f, "on trial, {successes} answered, after {reason}")
            }
            TargetUsage::Ineligible(reason) => write!(f, "{reason}"),
            TargetUsage::OutsideSubset => f.write_str("not in the subset of this entry"),
        }
    }
}

/// Why a target receives as many requests as it does.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Node on the target's host.
    pub node: NodeName,
    /// Data centre of the target.
    pub data_centre: DataCentre,
    /// Region of the target.
    pub region: Region,
    /// Share of requests from the configuration.
    pub weight: u32,
    /// Parts of the predicted completion time.
    pub score: Score,
    /// Requests of this entry in flight at the target.
    pub own_in_flight: u32,
    /// Arrival time of the last load sample; `None` before the first one.
    pub sampled_at: Option<Instant>,
    /// Whether the target is used, with the reason if it is not.
    pub usage: TargetUsage,
}

impl Balancer {
    /// Returns, for each target of a service, whether it is used and the parts of its score.
    pub fn explain(&self, now: Instant, service: &str) -> Vec<Explanation> {
        let targets = self.services.get(service).map(|service| &service.targets);
        targets
            .into_iter()
            .flatten()
            .filter_map(|target| {
                let state = self.nodes.get(&target.node)?;
                let candidate = build_candidate(&self.cfg, target, state);
                Some(Explanation {
                    node: target.node.clone(),
                    data_centre: target.data_centre.clone(),
                    region: target.region.clone(),
                    weight: target.weight,
                    score: Score::new(now, &candidate, &self.cfg.score),
                    own_in_flight: state.estimate.own_in_flight(),
                    sampled_at: state.estimate.sampled_at(),
                    usage: target_usage(&self.cfg, now, target, state),
                })
            })
            .collect()
    }
}

/// Ejection of a target or its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionChange {
    /// The target receives no requests until `until`.
    Ejected {
        /// When trial requests begin.
        until: Instant,
        /// Why the target was ejected.
        reason: EjectionReason,
    },
    /// The target receives requests again.
    Restored,
}

/// Ejection or restoration of a target, for the audit trail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EjectionEvent {
    /// Time of the change.
    pub at: Instant,
    /// Service of the target.
    pub service: ServiceName,
    /// Node on the target's host.
    pub node: NodeName,
    /// Whether the target was ejected or restored.
    pub change: EjectionChange,
}
