//! Interface of load-balancing policies, and their selection by name.

use rand::Rng;

use super::{
    LeastInFlight, PredictedCompletion, RandomChoice, RoundRobin, TargetEstimate,
    TwoChoicesReported,
};
use crate::time::Instant;

/// Target that a policy may choose.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Node on the target's host.
    pub node: &'a str,
    /// Data centre of the target.
    pub data_centre: &'a str,
    /// Whether the target is in the data centre of the entry.
    pub is_local: bool,
    /// Weight from the configuration, relative to the other candidates; above zero.
    pub weight: u32,
    /// Network round-trip time, measured or assumed, in microseconds.
    pub rtt_us: u32,
    /// Cost of the bytes that the request transfers between data centres, as an equivalent delay
    /// in microseconds; zero within the data centre.
    pub transfer_cost_us: u32,
    /// Estimate of the target's load, latency and failures.
    pub estimate: &'a TargetEstimate,
}

/// Input of a policy for one request.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// Current time.
    pub now: Instant,
    /// Targets that the policy may choose.
    pub candidates: &'a [Candidate<'a>],
    /// Predicted completion time up to which a target in the nearest data centre is preferred to any
    /// other one, in microseconds; `None` if the distance counts only by its time and transfer cost.
    pub near_limit_us: Option<u64>,
    /// Position of the entry among all entries, at least 0 and below 1, at its first request for
    /// the service; `None` at later requests. It lets entries without observations choose different
    /// targets.
    pub first_request_position: Option<f64>,
}

/// Load-balancing policy, which chooses one of several candidates.
pub trait Policy {
    /// Returns the name under which settings select the policy.
    fn name(&self) -> &'static str;

    /// Returns the index of the chosen candidate, or `None` if there are no candidates.
    fn choose_candidate(&mut self, req: &ChoiceRequest<'_>, rng: &mut dyn Rng) -> Option<usize>;

    /// Returns a copy, with which choices can be tried without effect.
    fn boxed_clone(&self) -> Box<dyn Policy>;
}

impl Clone for Box<dyn Policy> {
    fn clone(&self) -> Self {
        self.as_ref().boxed_clone()
    }
}

/// Creates the policy with the given name in the settings; returns `None` if the name is unknown.
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
