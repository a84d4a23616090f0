//! Load balancing: chooses a target for each request from estimates of load, latency and failures.
//!
//! The [`Balancer`] keeps the estimates of one entry and decides which targets are
//! candidates: those of its subset that have a share, are not leaving and are not
//! ejected. A [`Policy`] chooses one of the candidates.

mod balancer;
mod baseline;
mod ejection;
mod estimate;
mod explain;
mod observation;
mod policy;
mod predicted_completion;
mod room;
mod score;
mod service_targets;
mod settings;
mod subset;

pub use balancer::{Balancer, ChoiceError, TargetView};
pub use baseline::{LeastInFlight, RandomChoice, RoundRobin, TwoChoicesReported};
pub use ejection::EjectionReason;
pub use estimate::{LoadReport, TargetEstimate};
pub use explain::{EjectionChange, EjectionEvent, Explanation, TargetUsage};
pub use observation::{RequestObservation, RequestOutcome};
pub use policy::{Candidate, ChoiceRequest, Policy, policy_by_name};
pub use predicted_completion::PredictedCompletion;
pub use room::retry_after_us;
pub use score::{Score, ScoreSettings};
pub use settings::BalancerSettings;
pub use subset::rendezvous_subset;
