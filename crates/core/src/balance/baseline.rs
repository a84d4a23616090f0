//! Simple load-balancing policies, which serve as the baseline in comparisons.

use rand::{
    Rng, RngExt,
    seq::{IteratorRandom, SliceRandom},
};

use super::{Candidate, ChoiceRequest, Policy};

/// Chooses at random, in proportion to the weights.
#[derive(Clone, Debug, Default)]
pub struct RandomChoice;

impl RandomChoice {
    /// Name of the policy in the settings.
    pub const NAME: &str = "random";
}

impl Policy for RandomChoice {
    fn name(&self) -> &'static str {
        Self::NAME
    }

    fn boxed_clone(&self) -> Box<dyn Policy> {
        Box::new(self.clone())
    }

    fn choose_candidate(&mut self, req: &ChoiceRequest<'_>, rng: &mut dyn Rng) -> Option<usize> {
        choose_by_weight(req.candidates, rng)
    }
}

/// Chooses the candidates in turn.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    choice_count: usize,
}

impl RoundRobin {
    /// Name of the policy in the settings.
    pub const NAME: &str = "round-robin";
}

impl Policy for RoundRobin {
    fn name(&self) -> &'static str {
        Self::NAME
    }

    fn boxed_clone(&self) -> Box<dyn Policy> {
        Box::new(self.clone())
    }

    fn choose_candidate(&mut self, req: &ChoiceRequest<'_>, _rng: &mut dyn Rng) -> Option<usize> {
        let index = self.choice_count.checked_rem(req.candidates.len())?;
        self.choice_count = self.choice_count.wrapping_add(1);
        Some(index)
    }
}

/// Chooses the candidate with the fewest requests of this entry in flight; breaks ties at
/// random.
#[derive(Clone, Debug, Default)]
pub struct LeastInFlight;

impl LeastInFlight {
    /// Name of the policy in the settings.
    pub const NAME: &str = "least-in-flight";
}

impl Policy for LeastInFlight {
    fn name(&self) -> &'static str {
        Self::NAME
    }

    fn boxed_clone(&self) -> Box<dyn Policy> {
        Box::new(self.clone())
    }

    fn choose_candidate(&mut self, req: &ChoiceRequest<'_>, rng: &mut dyn Rng) -> Option<usize> {
        let own_in_flight = |index: &usize| req.candidates[*index].estimate.own_in_flight();
        let fewest = (0..req.candidates.len())
            .map(|index| own_in_flight(&index))
            .min()?;
        (0..req.candidates.len())
            .filter(|index| own_in_flight(index) == fewest)
            .choose(rng)
    }
}

/// Samples two candidates at random and chooses the one that reports the lower load per slot.
#[derive(Clone, Debug, Default)]
pub struct TwoChoicesReported;

impl TwoChoicesReported {
    /// Name of the policy in the settings.
    pub const NAME: &str = "two-choices-reported";
}

impl Policy for TwoChoicesReported {
    fn name(&self) -> &'static str {
        Self::NAME
    }

    fn boxed_clone(&self) -> Box<dyn Policy> {
        Box::new(self.clone())
    }

    fn choose_candidate(&mut self, req: &ChoiceRequest<'_>, rng: &mut dyn Rng) -> Option<usize> {
        let mut sampled = (0..req.candidates.len()).sample(rng, 2);
        sampled.shuffle(rng);
        sampled.into_iter().min_by(|a, b| {
            let load = |index: &usize| reported_load_per_slot(&req.candidates[*index]);
            load(a).total_cmp(&load(b))
        })
    }
}

/// Returns the reported requests in flight per slot; a target without a report counts as idle.
fn reported_load_per_slot(candidate: &Candidate<'_>) -> f64 {
    candidate.estimate.report.map_or(0.0, |report| {
        f64::from(report.in_flight) / f64::from(report.slots.max(1))
    })
}

/// Returns the index of a random candidate, drawn in proportion to the weights, or `None` if all
/// weights are zero.
pub(super) fn choose_by_weight(candidates: &[Candidate<'_>], rng: &mut dyn Rng) -> Option<usize> {
    let total: u64 = candidates.iter().map(|c| u64::from(c.weight)).sum();
    if total == 0 {
        return None;
    }
    let mut remaining = rng.random_range(0..total);
    candidates.iter().position(|candidate| {
        let weight = u64::from(candidate.weight);
        let is_chosen = remaining < weight;
        remaining = remaining.saturating_sub(weight);
        is_chosen
    })
}
