//! Simple policies, as a baseline for comparisons.

use rand::{
    Rng, RngExt,
    seq::{IteratorRandom, SliceRandom},
};

use super::{Candidate, ChoiceRequest, Policy};

/// Picks at random, in proportion to the weights.
#[derive(Debug, Default)]
pub struct RandomChoice;

impl RandomChoice {
    /// Name in the settings.
    pub const NAME: &str = "random";
}

impl Policy for RandomChoice {
    fn name(&self) -> &'static str {
        Self::NAME
    }

    fn choose_candidate(&mut self, req: &ChoiceRequest<'_>, rng: &mut dyn Rng) -> Option<usize> {
        choose_by_weight(req.candidates, rng)
    }
}

/// Takes the candidates in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    turn: usize,
}

impl RoundRobin {
    /// Name in the settings.
    pub const NAME: &str = "round-robin";
}

impl Policy for RoundRobin {
    fn name(&self) -> &'static str {
        Self::NAME
    }

    fn choose_candidate(&mut self, req: &ChoiceRequest<'_>, _rng: &mut dyn Rng) -> Option<usize> {
        let index = self.turn.checked_rem(req.candidates.len())?;
        self.turn = self.turn.wrapping_add(1);
        Some(index)
    }
}

/// Picks the candidate with the fewest requests in flight from this entry; ties are
/// broken at random.
#[derive(Debug, Default)]
pub struct LeastInFlight;

impl LeastInFlight {
    /// Name in the settings.
    pub const NAME: &str = "least-in-flight";
}

impl Policy for LeastInFlight {
    fn name(&self) -> &'static str {
        Self::NAME
    }

    fn choose_candidate(&mut self, req: &ChoiceRequest<'_>, rng: &mut dyn Rng) -> Option<usize> {
        let own = |index: &usize| req.candidates[*index].estimate.own_in_flight();
        let fewest = (0..req.candidates.len()).map(|index| own(&index)).min()?;
        (0..req.candidates.len())
            .filter(|index| own(index) == fewest)
            .choose(rng)
    }
}

/// Picks two at random and takes the one that reports the lower load per slot.
#[derive(Debug, Default)]
pub struct TwoChoicesReported;

impl TwoChoicesReported {
    /// Name in the settings.
    pub const NAME: &str = "two-choices-reported";
}

impl Policy for TwoChoicesReported {
    fn name(&self) -> &'static str {
        Self::NAME
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

/// A target without a report counts as idle.
fn reported_load_per_slot(candidate: &Candidate<'_>) -> f64 {
    candidate.estimate.report.map_or(0.0, |report| {
        f64::from(report.in_flight) / f64::from(report.slots.max(1))
    })
}

/// Draws one candidate in proportion to the weights.
pub(super) fn choose_by_weight(candidates: &[Candidate<'_>], rng: &mut dyn Rng) -> Option<usize> {
    let sum: u64 = candidates.iter().map(|c| u64::from(c.weight)).sum();
    if sum == 0 {
        return None;
    }
    let mut rest = rng.random_range(0..sum);
    candidates.iter().position(|candidate| {
        let weight = u64::from(candidate.weight);
        let hit = rest < weight;
        rest = rest.saturating_sub(weight);
        hit
    })
}
