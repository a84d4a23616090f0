//! The interface of a policy.

use rand::Rng;

use super::{
    LeastInFlight, PredictedCompletion, RandomChoice, RoundRobin, TargetEstimate,
    TwoChoicesReported,
};
use crate::time::Instant;

/// A target that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Node beside the target.
    pub node: &'a str,
    /// Data centre of the target.
    pub data_centre: &'a str,
    /// Whether the target is in the data centre of the entry.
    pub is_local: bool,
    /// Share from the configuration, relative to the other candidates; above zero.
    pub weight: u32,
    /// Network round trip, measured or assumed, in microseconds.
    pub rtt_us: u32,
    /// Cost of the bytes that the request sends to another data centre, as the time that is
    /// worth the same, in microseconds; zero within the data centre.
    pub transfer_cost_us: u32,
    /// What the entry knows about the target.
    pub estimate: &'a TargetEstimate,
}

/// A choice to be made.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// Present instant.
    pub now: Instant,
    /// Targets that may be chosen.
    pub candidates: &'a [Candidate<'a>],
    /// Place of the entry among all entries, from 0 to below 1, at its first request for the
    /// service. It separates entries that know nothing of the targets yet.
    pub first_request_position: Option<f64>,
}

/// Picks one of several candidates.
pub trait Policy {
    /// Returns the name under which settings select the policy.
    fn name(&self) -> &'static str;

    /// Returns the index of the chosen candidate, or `None` without candidates.
    fn choose_candidate(&mut self, req: &ChoiceRequest<'_>, rng: &mut dyn Rng) -> Option<usize>;
}

/// Creates the policy that settings select by name.
pub fn policy_by_name(name: &str) -> Option<Box<dyn Policy>> {
    let policy: Box<dyn Policy> = match name {
        PredictedCompletion::NAME => Box::new(PredictedCompletion::default()),
        RandomChoice::NAME => Box::new(RandomChoice),
        RoundRobin::NAME => Box::new(RoundRobin::default()),
        LeastInFlight::NAME => Box::new(LeastInFlight),
        TwoChoicesReported::NAME => Box::new(TwoChoicesReported),
        _ => return None,
    };
    Some(policy)
}
