//! The default policy: least predicted completion time in a small random sample.

use rand::{
    Rng,
    seq::{IteratorRandom, SliceRandom},
};

use super::{ChoiceRequest, Policy, Score, ScoreSettings, baseline::choose_by_weight};

/// Least number of candidates sampled in the nearest data centre.
const NEAREST_SAMPLE_SIZE: usize = 2;

/// Largest number of candidates sampled in the nearest data centre. With many near targets, a larger
/// sample finds one that is neither busy nor slow, and the request stays in the data centre.
const MAX_NEAREST_SAMPLE_SIZE: usize = 5;

/// Candidates in the nearest data centre from which on they are preferred while they answer in time.
/// Fewer ones have too little capacity to spread over.
const MIN_PREFERRED_CANDIDATES: usize = 4;

/// Number of candidates sampled in other data centres. One is too few if each data centre has one
/// target: a sample of two then often consists of a slow target and a full one.
const REMOTE_SAMPLE_SIZE: usize = 2;

/// Samples a few candidates and chooses the one with the least predicted completion time. A near one is
/// preferred while it answers well before the latency target, because bytes between data centres are
/// expensive.
///
/// The sample is random, so that entries with the same observations do not all choose the same
/// target. If the weights differ, the configuration sets the shares: candidates are then sampled
/// by weight, and round-trip time and transfer cost do not count.
#[derive(Clone, Debug, Default)]
pub struct PredictedCompletion {
    cfg: ScoreSettings,
    /// Indices of the current sample, a field only to reuse the allocation.
    sampled: Vec<usize>,
    /// Index and predicted completion time of each candidate in `sampled`, in the same order.
    scored: Vec<(usize, f64)>,
}

impl PredictedCompletion {
    /// Name of the policy in the settings.
    pub const NAME: &str = "predicted-completion";

    /// Creates the policy with the given constants of the score.
    pub fn new(cfg: ScoreSettings) -> Self {
        PredictedCompletion {
            cfg,
            ..PredictedCompletion::default()
        }
    }

    fn sample_by_weight(&mut self, req: &ChoiceRequest<'_>, rng: &mut dyn Rng) {
        let draws = (0..NEAREST_SAMPLE_SIZE + REMOTE_SAMPLE_SIZE)
            .filter_map(|_| choose_by_weight(req.candidates, rng));
        self.sampled.extend(draws);
    }

    fn sample_by_distance(
        &mut self,
        req: &ChoiceRequest<'_>,
        nearest: Option<&str>,
        rng: &mut dyn Rng,
    ) {
        for (is_nearest, size) in [(true, NEAREST_SAMPLE_SIZE), (false, REMOTE_SAMPLE_SIZE)] {
            let indices = (0..req.candidates.len()).filter(|index| {
                (Some(req.candidates[*index].data_centre) == nearest) == is_nearest
            });
            let size = match is_nearest {
                true => nearest_sample_size(indices.clone().count()),
                false => size,
            };
            self.sampled.extend(indices.sample(rng, size));
        }
    }

    /// Predicts the completion time of each sampled candidate.
    fn score_sample(&mut self, req: &ChoiceRequest<'_>, weights_differ: bool) {
        let cfg = &self.cfg;
        let scored = self.sampled.iter().map(|&index| {
            let score = Score::new(req.now, &req.candidates[index], cfg);
            let ignored_us = match weights_differ {
                true => score.distance_us + score.transfer_us,
                false => 0.0,
            };
            (index, score.total_us() - ignored_us)
        });
        self.scored.clear();
        self.scored.extend(scored);
    }
}

/// Returns how many of `near` candidates in the nearest data centre are sampled. Half of them are left
/// out, so that entries with the same observations do not all choose the same target.
fn nearest_sample_size(near: usize) -> usize {
    (near / 2).clamp(NEAREST_SAMPLE_SIZE, MAX_NEAREST_SAMPLE_SIZE)
}

impl Policy for PredictedCompletion {
    fn name(&self) -> &'static str {
        Self::NAME
    }

    fn boxed_clone(&self) -> Box<dyn Policy> {
        Box::new(self.clone())
    }

    fn choose_candidate(&mut self, req: &ChoiceRequest<'_>, rng: &mut dyn Rng) -> Option<usize> {
        let first = req.candidates.first()?;
        let weights_differ = req.candidates.iter().any(|c| c.weight != first.weight);
        let nearest = nearest_data_centre(req);
        self.sampled.clear();
        if weights_differ {
            self.sample_by_weight(req, rng);
        } else {
            if let Some(index) = initial_choice(req, nearest) {
                return Some(index);
            }
            self.sample_by_distance(req, nearest, rng);
        }
        // Sampling a short list keeps its order. Without shuffling, the first candidate would win
        // every tie.
        self.sampled.shuffle(rng);
        self.score_sample(req, weights_differ);
        let is_near = |index: usize| Some(req.candidates[index].data_centre) == nearest;
        if let Some(limit_us) = req.near_limit_us.filter(|_| !weights_differ) {
            let near = self.scored.iter().filter(|(index, _)| is_near(*index));
            let best_near = near.min_by(|(_, a), (_, b)| a.total_cmp(b));
            if let Some((index, completion_us)) = best_near
                && *completion_us <= limit_us as f64
                && near_count(req, nearest) >= MIN_PREFERRED_CANDIDATES
            {
                return Some(*index);
            }
        }
        let best = self.scored.iter().min_by(|(_, a), (_, b)| a.total_cmp(b));
        best.map(|(index, _)| *index)
    }
}

/// Returns the number of candidates in the nearest data centre.
fn near_count(req: &ChoiceRequest<'_>, nearest: Option<&str>) -> usize {
    let candidates = req.candidates.iter();
    candidates
        .filter(|candidate| Some(candidate.data_centre) == nearest)
        .count()
}

/// Returns the choice for an entry's first request if it has no observations of the targets in the
/// nearest data centre.
///
/// The position of the entry selects the target, which spreads entries that start at once. If 50
/// entries choose between two targets at random, the most loaded one gets a third more than the
/// mean.
fn initial_choice(req: &ChoiceRequest<'_>, nearest: Option<&str>) -> Option<usize> {
    let position = req.first_request_position?;
    let mut indices: Vec<usize> = (0..req.candidates.len())
        .filter(|index| Some(req.candidates[*index].data_centre) == nearest)
        .collect();
    let has_no_observations = |index: &usize| req.candidates[*index].estimate.has_no_observations();
    if !indices.iter().all(has_no_observations) {
        return None;
    }
    indices.sort_unstable_by_key(|index| req.candidates[*index].node);
    let index = (position * indices.len() as f64) as usize;
    indices.get(index).copied()
}

/// Returns the entry's data centre if it has candidates, otherwise that of the candidate with the
/// lowest round-trip time.
fn nearest_data_centre<'a>(req: &ChoiceRequest<'a>) -> Option<&'a str> {
    let nearest = req
        .candidates
        .iter()
        .min_by_key(|candidate| (!candidate.is_local, candidate.rtt_us));
    nearest.map(|candidate| candidate.data_centre)
}
