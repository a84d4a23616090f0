//! Explanations and events for operators.

use std::fmt;

use super::{EjectionReason, Score};
use crate::{
    ids::{DataCentre, NodeName, ServiceName},
    time::Instant,
};

/// How a target is used at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetUsage {
    /// It takes requests.
    InUse,
    /// It takes no requests until `until`.
    Ejected {
        /// When trial requests begin.
        until: Instant,
        /// Why it was set aside.
        reason: EjectionReason,
    },
    /// It takes one trial request at a time.
    HalfOpen {
        /// Trial requests answered so far.
        successes: u32,
        /// Why it was set aside.
        reason: EjectionReason,
    },
    /// It is leaving.
    Draining,
    /// Its share in the configuration is zero.
    ZeroWeight,
    /// This entry uses other targets of the service.
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
            TargetUsage::Draining => f.write_str("leaving"),
            TargetUsage::ZeroWeight => f.write_str("share is zero"),
            TargetUsage::OutsideSubset => f.write_str("not in the subset of this entry"),
        }
    }
}

/// Why a target gets the requests that it gets.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Node beside the target.
    pub node: NodeName,
    /// Data centre of the target.
    pub data_centre: DataCentre,
    /// Share from the configuration.
    pub weight: u32,
    /// Parts of the predicted completion time.
    pub score: Score,
    /// Own requests in flight.
    pub own_in_flight: u32,
    /// Instant of the newest load evidence.
    pub sampled_at: Option<Instant>,
    /// How the target is used, and why.
    pub usage: TargetUsage,
}

/// What happened to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionChange {
    /// The target takes no requests until `until`.
    Ejected {
        /// When trial requests begin.
        until: Instant,
        /// Why it was set aside.
        reason: EjectionReason,
    },
    /// The target takes requests again.
    Restored,
}

/// A change for the audit trail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EjectionEvent {
    /// When it happened.
    pub at: Instant,
    /// Service of the target.
    pub service: ServiceName,
    /// Node beside the target.
    pub node: NodeName,
    /// What happened.
    pub change: EjectionChange,
}
