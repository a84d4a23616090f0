//! Load of a target as known to the guard in front of it.

use serde::{Deserialize, Serialize};

/// Load sample that every answer between nodes carries.
///
/// The guard counts in-flight and queued requests itself, so the sample is exact at the
/// instant at which it is taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSample {
    /// Number of requests that the target is working on.
    pub in_flight: u32,
    /// Number of requests in the guard's queue.
    pub queued: u32,
    /// Number of requests that the guard allows in flight at once; zero without a target.
    pub slots: u32,
    /// Mean of the recent times from dispatch to the end of the answer, in microseconds.
    pub service_time_us: u32,
    /// How long work takes on the target's host at the moment, in percent of the usual time;
    /// zero if the target does not report it.
    pub pace_percent: u32,
    /// Time until a new request can start under the rate limit that the target states and the limit
    /// of a cold target, in microseconds; zero without a limit.
    pub start_wait_us: u32,
    /// Time between two starts under the lower limit, in microseconds; zero without a limit.
    pub start_interval_us: u32,
    /// Whether the guard refuses all new requests: the target is leaving, no target is announced,
    /// or the guard is draining. An evacuation is not included.
    pub draining: bool,
    /// Whether the limit of a cold target is in effect, which includes the time after the cold period
    /// in which the rate rises.
    pub cold: bool,
}
