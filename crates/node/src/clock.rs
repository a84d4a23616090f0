//! The monotonic clock of the process.

use std::time;

use actix_rt::time as timer;
use plantainpost_core::time::Instant;

/// A monotonic clock with a fixed origin.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    origin: time::Instant,
}

impl Clock {
    /// Creates a clock whose origin is the current time.
    pub(crate) fn start() -> Self {
        Clock {
            origin: time::Instant::now(),
        }
    }

    /// Returns the current instant.
    pub(crate) fn now(&self) -> Instant {
        let micros = self.origin.elapsed().as_micros();
        Instant::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
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

/// Returns the wall clock in milliseconds since the Unix epoch.
///
/// It is used for timestamps shown to operators, for the expiry of plans and to order the
/// incarnations of a node. No decision about a request depends on it.
pub(crate) fn unix_ms() -> u64 {
    time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}
