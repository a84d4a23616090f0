//! Guards that start no requests, because of an evacuation or before the first configuration.

use super::{Guard, RefuseReason};
use crate::time::Instant;

/// Why a guard starts no requests, even those that it has queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClosedReason {
    /// The operators have evacuated the data centre of the target.
    Evacuated,
    /// The node has no configuration yet, which could contain an evacuation.
    NoConfiguration,
}

impl ClosedReason {
    pub(super) const fn refuse_reason(self) -> RefuseReason {
        match self {
            ClosedReason::Evacuated => RefuseReason::Evacuated,
            ClosedReason::NoConfiguration => RefuseReason::NoTarget,
        }
    }
}

impl Guard {
    /// Closes the guard, or opens it again if `closed` is `None`.
    ///
    /// A closed guard refuses new requests, the queued ones, and those that hold a slot but are not
    /// dispatched yet, so that their entries can send them to other targets at once. Requests that are
    /// dispatched run to completion. The refusals of queued requests are among the next wakeups.
    pub fn set_closed(&mut self, now: Instant, closed: Option<ClosedReason>) {
        self.closed = closed;
        let Some(reason) = closed else { return };
        while let Some(key) = self.queue.pop_any() {
            self.refuse_queued(key, reason.refuse_reason());
        }
        self.schedule_wakeups(now);
    }

    /// Gives no request a slot until `until`, because the configuration may contain an evacuation that the
    /// node does not know yet. Meanwhile requests are queued or refused as if all slots were taken. An
    /// instant that has passed ends the hold.
    ///
    /// Requests that hold a slot are not dispatched meanwhile, for which the caller has to provide.
    pub fn hold_starts(&mut self, now: Instant, until: Instant) {
        self.held_until = until;
        self.schedule_wakeups(now);
    }

    /// Returns why the guard starts no requests; `None` if it does.
    pub fn closed(&self) -> Option<ClosedReason> {
        self.closed
    }
}
