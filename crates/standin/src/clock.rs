//! The clock that all recorded histories use.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the current time in microseconds since the Unix epoch.
///
/// Histories of several processes on one host are compared. Instants of a monotonic clock of
/// one process can't be compared with those of another.
pub fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_micros() as u64)
}
