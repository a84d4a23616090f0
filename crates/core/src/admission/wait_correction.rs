//! Correction of predicted waits by observed waits.
//!
//! A prediction can't include more urgent requests that arrive later, or the time for which the
//! target waits for its own calls to other services. Without the correction the guard queues
//! requests that can't be answered in time, and refuses them only after they have waited.

use super::queue::QueuedRequest;
use crate::time::Instant;

/// Weight of a sample in the exponentially weighted moving average.
const SAMPLE_WEIGHT: f64 = 1.0 / 24.0;

/// Shortest predicted wait that is used as a sample, in microseconds. Shorter waits depend
/// mostly on when the next slot happens to become free.
const MIN_PREDICTED_WAIT_US: u64 = 5_000;

/// Lower and upper bound of the ratio in one sample. The upper bound is further from 1,
/// because predictions are more often too short than too long.
const RATIO_BOUNDS: (f64, f64) = (0.75, 4.0);

/// Moving average of the ratio of observed to predicted waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitCorrection {
    ratio: f64,
}

impl Default for WaitCorrection {
    fn default() -> Self {
        WaitCorrection { ratio: 1.0 }
    }
}

impl WaitCorrection {
    /// Records the wait of a request that is leaving the queue.
    pub(super) fn record_wait(&mut self, now: Instant, queued: &QueuedRequest) {
        if queued.predicted_wait_us < MIN_PREDICTED_WAIT_US {
            return;
        }
        let waited_us = now.micros_since(queued.queued_at) as f64;
        let ratio = waited_us / queued.predicted_wait_us as f64;
        let ratio = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        self.ratio += (ratio - self.ratio) * SAMPLE_WEIGHT;
    }

    /// Returns the corrected value of a predicted wait.
    pub(super) fn correct(&self, predicted_wait_us: u64) -> u64 {
        (predicted_wait_us as f64 * self.ratio) as u64
    }
}
