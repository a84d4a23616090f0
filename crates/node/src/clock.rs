//! The monotonic clock of the process.

use std::time;

use actix_rt::time as timer;
use plantainpost_core::time::{Instant, MICROS_PER_SECOND};
use rustix::time::{ClockId, clock_gettime};

/// Nanoseconds in a microsecond.
const NANOS_PER_MICRO: i64 = 1_000;

/// A monotonic clock with a fixed origin.
///
/// It counts the time for which the host is suspended. Otherwise a node would hold deadlines and
/// leases for valid that ended while its host was suspended, and the offset to the clock of a peer,
/// which each connection has from its handshake, would be wrong afterwards. Timers do not count that
/// time, so they may fire late by it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    /// Time since the boot of the host, in microseconds.
    origin_us: u64,
}

impl Clock {
    /// Creates a clock whose origin is the current time.
    pub(crate) fn start() -> Self {
        Clock {
            origin_us: since_boot_us(),
        }
    }

    /// Returns the current instant.
    pub(crate) fn now(&self) -> Instant {
        Instant::from_micros(since_boot_us().saturating_sub(self.origin_us))
    }

    /// Waits until `at`. Returns at once if it has passed.
    pub(crate) async fn sleep_until(&self, at: Instant) {
        let micros = at.micros_since(self.now());
        if micros > 0 {
            timer::sleep(time::Duration::from_micros(micros)).await;
        }
    }

    /// Runs a future until `at`. Returns `None` if it is not complete by then.
    pub(crate) async fn timeout_at<F: Future>(&self, at: Instant, fut: F) -> Option<F::Output> {
        let micros = at.micros_since(self.now());
        timer::timeout(time::Duration::from_micros(micros), fut)
            .await
            .ok()
    }
}

/// Returns the time since the boot of the host, suspended or not, in microseconds.
fn since_boot_us() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    let micros = now.tv_sec * MICROS_PER_SECOND as i64 + now.tv_nsec / NANOS_PER_MICRO;
    u64::try_from(micros).unwrap_or_default()
}

/// Returns the wall clock in milliseconds since the Unix epoch.
///
/// It is used for timestamps shown to operators, for the expiry of plans, to order the incarnations
/// of a node, and to tell an instance of a target that started after a leave from the one that left.
/// No decision about a single request depends on it.
pub(crate) fn unix_ms() -> u64 {
    time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}
