//! The clock that all histories share.

use std::time::{SystemTime, UNIX_EPOCH};

/// Microseconds since the Unix epoch.
///
/// Histories of several processes on one host are compared, so a per-process monotonic
/// clock would not do.
pub fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_micros() as u64)
}
