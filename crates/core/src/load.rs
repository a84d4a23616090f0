//! Load of a target as its guard sees it.

use serde::{Deserialize, Serialize};

/// Load sample that travels on every answer between nodes.
///
/// The guard counts in-flight and queued requests itself, so the sample was exact
/// when it was taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSample {
    /// Requests that the target is working on.
    pub in_flight: u32,
    /// Requests that wait at the guard.
    pub queued: u32,
    /// Requests that the guard lets the target work on at once.
    pub slots: u32,
    /// Recent time from dispatch to the end of the answer, in microseconds.
    pub service_time_us: u32,
    /// How long work takes at the target's host at the moment, in percent of the usual time;
    /// zero if the target does not say.
    pub pace_percent: u32,
    /// Set once the target is leaving; the guard then refuses new requests.
    pub draining: bool,
}
