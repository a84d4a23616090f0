//! Correction of predicted waits by those that were observed.
//!
//! A prediction does not know of more urgent requests that arrive later, or of calls that the
//! target waits for. Without the correction requests were queued that could not be answered
//! in time, and were refused only after they had waited.

use super::queue::Waiting;
use crate::time::Instant;

/// Weight of an observation in the mean.
const WEIGHT: f64 = 1.0 / 24.0;

/// Shortest predicted wait that is compared, in microseconds. Below it the arrival of the next
/// free slot is a matter of chance.
const MIN_PREDICTED_US: u64 = 5_000;

/// Bounds of the correction. Predictions below the truth are the common case.
const BOUNDS: (f64, f64) = (0.75, 4.0);

/// Ratio of observed to predicted waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waits {
    ratio: f64,
}

impl Default for Waits {
    fn default() -> Self {
        Waits { ratio: 1.0 }
    }
}

impl Waits {
    /// Learns how long a request has waited.
    pub(super) fn learn(&mut self, now: Instant, waiting: &Waiting) {
        if waiting.predicted_us < MIN_PREDICTED_US {
            return;
        }
        let waited_us = now.micros_since(waiting.queued_at) as f64;
        let ratio = waited_us / waiting.predicted_us as f64;
        let ratio = ratio.clamp(BOUNDS.0, BOUNDS.1);
        self.ratio += (ratio - self.ratio) * WEIGHT;
    }

    /// Returns a predicted wait after the correction.
    pub(super) fn correct(&self, predicted_us: u64) -> u64 {
        (predicted_us as f64 * self.ratio) as u64
    }
}
