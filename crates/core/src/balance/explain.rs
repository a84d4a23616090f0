//! Explanations and events for operators.

use std::fmt;

use super::{AsideReason, Score};
use crate::{
    ids::{DataCentre, NodeName, ServiceName},
    time::Instant,
};

/// How a target is used at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// It takes requests.
    InUse,
    /// It takes no requests until `until`.
    SetAside {
        /// When trial requests begin.
        until: Instant,
        /// Why it was set aside.
        reason: AsideReason,
    },
    /// It takes one trial request at a time.
    OnTrial {
        /// Trial requests answered so far.
        successes: u32,
        /// Why it was set aside.
        reason: AsideReason,
    },
    /// It is leaving.
    Draining,
    /// Its share in the configuration is zero.
    NoWeight,
    /// This entry uses other targets of the service.
    OutsideSubset,
}

impl fmt::Display for Use {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Use::InUse => f.write_str("in use"),
            Use::SetAside { reason, .. } => write!(f, "set aside: {reason}"),
            Use::OnTrial { successes, reason } => {
                write!(f, "on trial, {successes} answered, after {reason}")
            }
            Use::Draining => f.write_str("leaving"),
            Use::NoWeight => f.write_str("share is zero"),
            Use::OutsideSubset => f.write_str("not in the subset of this entry"),
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
    pub observed_at: Option<Instant>,
    /// How the target is used, and why.
    pub usage: Use,
}

/// What happened to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The target takes no requests until `until`.
    SetAside {
        /// When trial requests begin.
        until: Instant,
        /// Why it was set aside.
        reason: AsideReason,
    },
    /// The target takes requests again.
    Returned,
}

/// A change for the audit trail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BalanceEvent {
    /// When it happened.
    pub at: Instant,
    /// Service of the target.
    pub service: ServiceName,
    /// Node beside the target.
    pub node: NodeName,
    /// What happened.
    pub change: Change,
}
