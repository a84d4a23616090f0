//! Service time of requests.

use rand::{Rng, RngExt};

/// The distribution of the service time, in µs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServiceTime {
    /// The same for every request.
    Fixed(u64),
    /// Exponential with this mean.
    Exponential(u64),
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self::Fixed(1000)
    }
}

impl ServiceTime {
    /// Draws one service time, in µs.
    pub fn sample(self, rng: &mut dyn Rng) -> u64 {
        match self {
            Self::Fixed(us) => us,
            Self::Exponential(mean_us) => (mean_us as f64 * exponential(rng)) as u64,
        }
    }
}

/// Draws a sample of the exponential distribution with mean 1.
pub(crate) fn exponential(rng: &mut dyn Rng) -> f64 {
    // The sample is below 1, so the logarithm is finite.
    let sample: f64 = rng.random();
    -(1.0 - sample).ln()
}
