//! How long the target works on requests of each class.

use super::service_time::ServiceTime;
use crate::collections::HashMap;

/// Classes that are told apart. Requests of further ones count as average.
const MAX_CLASSES: usize = 256;

/// Class of requests that are not told apart.
const NO_CLASS: u32 = 0;

/// Samples of a class before its own time is used.
const MIN_SAMPLES: u32 = 5;

/// Service times by class.
#[derive(Debug, Default)]
pub(super) struct WorkTimes {
    all: ServiceTime,
    by_class: HashMap<u32, ServiceTime>,
}

impl WorkTimes {
    /// Adds the time of a completed request.
    pub(super) fn add(&mut self, class: u32, micros: u64) {
        self.all.add(micros);
        if class == NO_CLASS {
            return;
        }
        if self.by_class.len() < MAX_CLASSES || self.by_class.contains_key(&class) {
            self.by_class.entry(class).or_default().add(micros);
        }
    }

    /// Adds the time of a request that was cancelled after `micros`.
    pub(super) fn add_cancelled(&mut self, class: u32, micros: u64) {
        self.all.add_cancelled(micros);
        if let Some(time) = self.by_class.get_mut(&class) {
            time.add_cancelled(micros);
        }
    }

    fn of(&self, class: u32) -> &ServiceTime {
        let own = self.by_class.get(&class);
        own.filter(|time| time.samples() >= MIN_SAMPLES)
            .unwrap_or(&self.all)
    }

    /// Returns the mean over all classes; zero before the first sample.
    pub(super) fn mean_of_all_us(&self) -> u64 {
        self.all.mean_us()
    }

    /// Returns the mean of a class.
    pub(super) fn mean_us(&self, class: u32) -> u64 {
        self.of(class).mean_us()
    }

    /// Returns a time in which most requests of a class are served.
    pub(super) fn usual_us(&self, class: u32) -> u64 {
        self.of(class).usual_us()
    }

    /// Returns a time in which few requests of a class are served. It is zero for requests
    /// without a class, which may be much shorter than the others.
    pub(super) fn least_us(&self, class: u32) -> u64 {
        match class {
            NO_CLASS => 0,
            class => self.of(class).least_us(),
        }
    }
}
