//! When the targets of a service will have room for refused requests.

use rand::{Rng, RngExt};

use super::Balancer;
use crate::{eligibility::AllowedRegions, time::Instant};

/// Age from which on load samples say nothing about the room, in microseconds. Every refusal carries
/// a sample, so that of a refused request is always younger.
pub(super) const MAX_SAMPLE_AGE_US: u64 = 1_000_000;

/// Shortest time after which a refused request may be sent again, in microseconds.
const MIN_RETRY_AFTER_US: u64 = 50_000;

impl Balancer {
    /// Returns the time until the targets of a service will have completed their backlog, so
    /// that a request can start, in microseconds; `None` without recent samples.
    ///
    /// The targets share their backlogs, as each refused request may be sent to any of them.
    pub fn room_wait_us(
        &self,
        now: Instant,
        service: &str,
        regions: AllowedRegions<'_>,
    ) -> Option<u64> {
        let since = now.saturating_sub_micros(MAX_SAMPLE_AGE_US);
        let backlogs = self
            .subset_estimates(service, regions)
            .filter_map(|estimate| estimate.backlog_since(since));
        let add = |sum: (u64, u64), (slots, work_us)| (sum.0 + slots, sum.1 + work_us);
        let (slots, work_us) = backlogs.fold((0, 0), add);
        let wait_us = work_us.checked_div(slots)?;
        Some(wait_us.max(self.start_wait_us(now, service, regions)))
    }
}

/// Returns the time after which a refused request may be sent again if there will be room in
/// `wait_us`: a random time of once to twice as long, so that not all callers come back together.
pub fn retry_after_us(wait_us: u64, rng: &mut dyn Rng) -> u64 {
    let wait_us = wait_us.max(MIN_RETRY_AFTER_US);
    wait_us.saturating_add(rng.random_range(0..=wait_us))
}
