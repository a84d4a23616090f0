//! The policy of the product: least predicted completion time in a small sample.

use rand::{
    Rng,
    seq::{IteratorRandom, SliceRandom},
};

use super::{Choice, Policy, Score, ScoreSettings, baseline::draw_by_weight};

/// Candidates sampled in the nearest data centre.
const SAMPLED_NEAR: usize = 2;

/// Candidates sampled elsewhere. One was too few where each data centre has one target:
/// a sample of two often holds the slow target and a full one.
const SAMPLED_FAR: usize = 2;

/// Samples a few candidates and takes the one with the least predicted completion
/// time.
///
/// The sample is random, so that entries with the same evidence do not all choose
/// the same target. Where the weights differ, the sample is drawn by weight and the
/// distance does not count, because the configuration then states the shares.
#[derive(Debug, Default)]
pub struct PredictedCompletion {
    cfg: ScoreSettings,
    /// Indices of the present sample; kept to reuse the allocation.
    sampled: Vec<usize>,
}

impl PredictedCompletion {
    /// Name in the settings.
    pub const NAME: &str = "predicted-completion";

    /// Creates the policy with other constants than the default ones.
    pub fn new(cfg: ScoreSettings) -> Self {
        PredictedCompletion {
            cfg,
            sampled: Vec::new(),
        }
    }

    fn sample_by_weight(&mut self, req: &Choice<'_>, rng: &mut dyn Rng) {
        let draws =
            (0..SAMPLED_NEAR + SAMPLED_FAR).filter_map(|_| draw_by_weight(req.candidates, rng));
        self.sampled.extend(draws);
    }

    fn sample_by_distance(&mut self, req: &Choice<'_>, rng: &mut dyn Rng) {
        let near = nearest_data_centre(req);
        for (here, size) in [(true, SAMPLED_NEAR), (false, SAMPLED_FAR)] {
            let indices = (0..req.candidates.len())
                .filter(|index| (Some(req.candidates[*index].data_centre) == near) == here);
            self.sampled.extend(indices.sample(rng, size));
        }
    }
}

impl Policy for PredictedCompletion {
    fn name(&self) -> &'static str {
        Self::NAME
    }

    fn choose(&mut self, req: &Choice<'_>, rng: &mut dyn Rng) -> Option<usize> {
        let first = req.candidates.first()?;
        let shared = req.candidates.iter().any(|c| c.weight != first.weight);
        self.sampled.clear();
        if shared {
            self.sample_by_weight(req, rng);
        } else {
            if let Some(first) = first_choice(req) {
                return Some(first);
            }
            self.sample_by_distance(req, rng);
        }
        // Sampling keeps the order of a short list; equal scores must not always go to
        // its first candidate.
        self.sampled.shuffle(rng);
        let cost_us = |index: &usize| {
            let score = Score::new(req.now, &req.candidates[*index], &self.cfg);
            score.total_us()
                - if shared {
                    score.distance_us + score.transfer_us
                } else {
                    0.0
                }
        };
        self.sampled
            .iter()
            .copied()
            .min_by(|a, b| cost_us(a).total_cmp(&cost_us(b)))
    }
}

/// Returns the choice for the first request of an entry that knows nothing of the targets near
/// it.
///
/// With random choices the most loaded of two targets got a third more than the mean when
/// 50 entries started at once.
fn first_choice(req: &Choice<'_>) -> Option<usize> {
    let place = req.first_place?;
    let near = nearest_data_centre(req);
    let mut indices: Vec<usize> = (0..req.candidates.len())
        .filter(|index| Some(req.candidates[*index].data_centre) == near)
        .collect();
    let has_no_observations = |index: &usize| req.candidates[*index].estimate.has_no_observations();
    if !indices.iter().all(has_no_observations) {
        return None;
    }
    indices.sort_unstable_by_key(|index| req.candidates[*index].node);
    let index = (place * indices.len() as f64) as usize;
    indices.get(index).copied()
}

/// Returns the data centre of the entry if it has candidates, otherwise that of the
/// nearest candidate.
fn nearest_data_centre<'a>(req: &Choice<'a>) -> Option<&'a str> {
    let nearest = req
        .candidates
        .iter()
        .min_by_key(|candidate| (!candidate.local, candidate.distance_us));
    nearest.map(|candidate| candidate.data_centre)
}
