//! Load balancing: chooses a target for each request from estimates of load, latency and failures.
//!
//! The [`Balancer`] keeps the estimates of one entry and decides which targets are
//! candidates: those of its subset that are eligible (see [`crate::eligibility`]) and not
//! ejected. A [`Policy`] chooses one of the candidates.

mod balancer;
mod baseline;
mod coldness;
mod ejection;
mod ejection_bound;
mod eligible;
mod estimate;
mod explain;
mod observation;
mod policy;
mod predicted_completion;
mod response_sizes;
mod room;
mod score;
mod service_targets;
mod settings;
mod start_limits;
mod subset;

pub use balancer::{Balancer, ChoiceError, TargetView};
pub use baseline::{LeastInFlight, RandomChoice, RoundRobin, TwoChoicesReported};
pub use coldness::WaitingRequest;
pub use ejection::EjectionReason;
pub use eligible::TargetQuery;
pub use estimate::{LoadReport, TargetEstimate};
pub use explain::{EjectionChange, EjectionEvent, Explanation, TargetUsage};
pub use observation::{RequestObservation, RequestOutcome};
pub use policy::{Candidate, ChoiceRequest, Policy, policy_by_name};
pub use predicted_completion::PredictedCompletion;
pub use response_sizes::ResponseSizes;
pub use room::retry_after_us;
pub use score::{Score, ScoreSettings};
pub use settings::BalancerSettings;
pub use subset::rendezvous_subset;
