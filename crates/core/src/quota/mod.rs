//! Quotas of workspaces over the whole fleet.
//!
//! One node, the owner, holds the token bucket of a workspace ([`QuotaOwner`]). Every node that takes
//! requests of the workspace holds a little credit, which it claims from the owner ([`QuotaHolder`]).
//! [`Ownership`] says who the owner is. `docs/design/quota.md` has the reasons.

mod account;
mod bucket;
mod fallback;
mod holder;
mod owner;
mod ownership;

use std::rc::Rc;

use serde::{Deserialize, Serialize};

pub use self::{
    holder::{Credit, Decision, HolderOutput, Peers, QuotaHolder, Ticket},
    owner::{Claimant, QuotaOwner},
    ownership::{Candidate, FleetShare, Ownership},
};
use crate::ids::{Incarnation, NodeName};

/// Time from the claim after which credit can't be used any more, in milliseconds.
///
/// In a window of 5 s, requests may use credit that was granted up to this long before it, which is a
/// tenth of the rate.
pub const CREDIT_LIFE_MS: u64 = 500;

/// A holder's request for credit of one workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Name of the workspace.
    pub workspace: Rc<str>,
    /// Number of the claim. A holder numbers its claims in ascending order; a repetition has the
    /// number of the first transmission.
    pub number: u64,
    /// Requests that wait for credit.
    pub needed: u32,
    /// Further credit that the holder expects to use soon.
    pub advance: u32,
    /// Unused credit that the holder gives up with this claim.
    pub returned: u32,
    /// Incarnation of the process that granted the returned credit.
    pub granted_by: Incarnation,
}

/// An owner's answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Name of the workspace.
    pub workspace: Rc<str>,
    /// Number of the claim.
    pub number: u64,
    /// Incarnation of the answering process.
    pub owner: Incarnation,
    /// What the owner decided.
    pub answer: GrantAnswer,
}

/// Decision of an owner on a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantAnswer {
    /// The claim is answered, perhaps with less than it asked for.
    Granted {
        /// Credit for this many requests.
        count: u32,
        /// Microseconds until the bucket holds credit for another request; zero if it does now.
        wait_us: u64,
    },
    /// The asked node does not believe that it owns the workspace.
    NotOwner,
}

/// A claim and the node to send it to, which may be the local one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingClaim {
    /// Node that owns the workspace.
    pub owner: NodeName,
    /// The claim.
    pub claim: Claim,
}
