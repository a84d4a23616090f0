//! Service times by class of request.

use super::service_time::ServiceTimeStats;
use crate::collections::HashMap;

/// Maximum number of classes with service times of their own. Requests of further classes
/// use the mean over all requests.
const MAX_CLASSES: usize = 256;

/// Class of requests without a class.
pub(crate) const NO_CLASS: u32 = 0;

/// Minimum number of samples of a class before its own service time is used.
const MIN_CLASS_SAMPLES: u32 = 5;

/// Service times of the target, over all requests and by class.
#[derive(Clone, Debug, Default)]
pub(super) struct ClassServiceTimes {
    overall: ServiceTimeStats,
    by_class: HashMap<u32, ServiceTimeStats>,
}

impl ClassServiceTimes {
    /// Adds the service time of a completed request.
    pub(super) fn add(&mut self, class: u32, micros: u64) {
        self.overall.add(micros);
        if class == NO_CLASS {
            return;
        }
        if self.by_class.len() < MAX_CLASSES || self.by_class.contains_key(&class) {
            self.by_class.entry(class).or_default().add(micros);
        }
    }

    /// Adds the service time of a request that was cancelled after `micros`.
    pub(super) fn add_cancelled(&mut self, class: u32, micros: u64) {
        self.overall.add_cancelled(micros);
        if let Some(stats) = self.by_class.get_mut(&class) {
            stats.add_cancelled(micros);
        }
    }

    fn for_class(&self, class: u32) -> &ServiceTimeStats {
        let class_stats = self.by_class.get(&class);
        class_stats
            .filter(|stats| stats.samples() >= MIN_CLASS_SAMPLES)
            .unwrap_or(&self.overall)
    }

    /// Returns the mean service time over all requests; zero before the first sample.
    pub(super) fn overall_mean_us(&self) -> u64 {
        self.overall.mean_us()
    }

    /// Returns the mean service time of a class.
    pub(super) fn mean_us(&self, class: u32) -> u64 {
        self.for_class(class).mean_us()
    }

    /// Returns a service time that few requests of a class exceed.
    pub(super) fn high_estimate_us(&self, class: u32) -> u64 {
        self.for_class(class).high_estimate_us()
    }

    /// Returns a service time that about one in five requests of a class exceeds.
    pub(super) fn usual_maximum_us(&self, class: u32) -> u64 {
        self.for_class(class).usual_maximum_us()
    }

    /// Returns a service time that few requests of a class undercut. It is zero for requests
    /// without a class, which may be much shorter than the others.
    pub(super) fn low_estimate_us(&self, class: u32) -> u64 {
        match class {
            NO_CLASS => 0,
            class => self.for_class(class).low_estimate_us(),
        }
    }
}
