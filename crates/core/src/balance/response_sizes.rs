//! Mean size of responses by class of requests, which is not known when a target is chosen.

use crate::collections::HashMap;

/// Size assumed for a class without responses, in bytes. Most responses are a head and a small body.
const ASSUMED_BYTES: u64 = 1_024;

/// Weight of the newest response in the moving average.
const EWMA_WEIGHT: f64 = 1.0 / 16.0;

/// Maximum number of classes; further ones have the assumed size.
const MAX_CLASSES: usize = 4_096;

/// Moving averages of the sizes of responses.
#[derive(Clone, Debug, Default)]
pub struct ResponseSizes {
    /// Mean size in bytes by class; at most [`MAX_CLASSES`].
    by_class: HashMap<u32, f64>,
}

impl ResponseSizes {
    /// Records the size of a complete response to a request of `class`, in bytes.
    pub fn record(&mut self, class: u32, bytes: u64) {
        let is_full = self.by_class.len() >= MAX_CLASSES;
        if is_full && !self.by_class.contains_key(&class) {
            return;
        }
        let mean = self.by_class.entry(class).or_insert(ASSUMED_BYTES as f64);
        *mean += (bytes as f64 - *mean) * EWMA_WEIGHT;
    }

    /// Returns the expected size of a response to a request of `class`, in bytes.
    pub fn expected_bytes(&self, class: u32) -> u64 {
        self.by_class
            .get(&class)
            .map_or(ASSUMED_BYTES, |mean| *mean as u64)
    }
}
