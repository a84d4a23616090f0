//! Targets that come back cold after a restart or an evacuation.

use std::time::Duration;

use crate::{clock::now_us, history::Record, target::TargetHandle};

/// Time for which a target is cold, in seconds.
const COLD_S: u64 = 3;

/// Requests per second that a cold target sustains. Targets of the soak get about 20 when they are warm.
const WARM_UP_PER_S: usize = 3;

/// Largest number of requests that a cold target may get in a second: `coldOver` and `coldSlack` of the
/// users' sites.
pub(super) const MAX_COLD_STARTS: usize = WARM_UP_PER_S * 3 / 2 + 8;

/// The cold targets.
#[derive(Default)]
pub(super) struct ColdTargets {
    /// The times between which the limit applies.
    pub(super) records: Vec<Record>,
    /// Number of cold periods to which the limit applies at least in part.
    pub(super) checkable: u64,
}

impl ColdTargets {
    /// Returns the rule of a service in the configuration.
    pub(super) fn rule_json(&self) -> String {
        format!(r#","warmupS":{COLD_S},"warmupPerS":{WARM_UP_PER_S}"#)
    }

    /// Makes a target cold from now on. The limit does not apply while the link to the target fails,
    /// since the requests of several seconds may arrive together at the end.
    pub(super) fn make_cold(&mut self, target: &TargetHandle, is_link_good: bool) {
        target.become_cold(Duration::from_secs(COLD_S));
        if is_link_good {
            self.checkable += 1;
            self.record(target, COLD_S * 1_000_000);
        }
    }

    /// Notes that the limit no longer applies to a target, if it did.
    pub(super) fn end_bound(&mut self, target: &TargetHandle) {
        self.record(target, 0);
    }

    fn record(&mut self, target: &TargetHandle, duration_us: u64) {
        let (at, target) = (now_us(), target.name().to_owned());
        let until = at + duration_us;
        self.records.push(Record::Cold { at, target, until });
    }
}
