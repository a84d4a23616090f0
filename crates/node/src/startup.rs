//! Requests that arrive before a node that has just started knows the configuration and the fleet.
//!
//! Such a node can't tell whether a request can be served. After a restart of the whole fleet, all callers
//! return while the nodes still find each other, and would be refused.

use plantainpost_core::time::Instant;
use tokio::sync::Notify;

use crate::clock::Clock;

/// Time from the start of a node for which requests that it can't route wait, in milliseconds.
///
/// Nodes that start together have the configuration and know most of the fleet by then.
const MAX_WAIT_MS: u64 = 500;

/// What a node that has just started still has to learn.
pub(crate) struct Startup {
    /// When requests no longer wait.
    ends_at: Instant,
    /// Wakes the requests that wait when the configuration or the fleet changes.
    changed: Notify,
}

impl Startup {
    /// Creates the state of a node that starts at `now`.
    pub(crate) fn new(now: Instant) -> Self {
        Startup {
            ends_at: now.saturating_add_millis(MAX_WAIT_MS),
            changed: Notify::new(),
        }
    }

    /// Wakes the requests that wait. Call it when the configuration or the fleet has changed.
    pub(crate) fn notify(&self) {
        self.changed.notify_waiters();
    }

    /// Waits for the next change. Returns whether there was one: `false` if the node has run long enough,
    /// or at `deadline`.
    pub(crate) async fn wait_for_change(&self, clock: Clock, deadline: Instant) -> bool {
        let until = self.ends_at.min(deadline);
        clock.now() < until
            && clock
                .timeout_at(until, self.changed.notified())
                .await
                .is_some()
    }
}
