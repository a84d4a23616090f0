//! Choice of a target from estimates of its load.
//!
//! The [`Balancer`] owns the estimates of one entry and decides which targets are
//! candidates: those of its subset that carry traffic, are not leaving and are not
//! set aside. A [`Policy`] picks one of the candidates.

mod balancer;
mod baseline;
mod ejection;
mod estimate;
mod explain;
mod observation;
mod policy;
mod predicted;
mod roster;
mod score;
mod settings;
mod subset;

pub use balancer::{Balancer, NoChoice, TargetView};
pub use baseline::{LeastInFlight, RandomChoice, RoundRobin, TwoChoicesReported};
pub use ejection::EjectionReason;
pub use estimate::{LoadReport, TargetEstimate};
pub use explain::{EjectionChange, EjectionEvent, Explanation, TargetUsage};
pub use observation::{RequestObservation, RequestOutcome};
pub use policy::{Candidate, Choice, Policy, policy_by_name};
pub use predicted::PredictedCompletion;
pub use score::{Score, ScoreSettings};
pub use settings::BalancerSettings;
pub use subset::subset;
