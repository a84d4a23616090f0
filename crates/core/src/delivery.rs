//! Time and memory of responses whose delivery takes longer than the work of the target.
//!
//! The deadline of a request bounds the work of the target. A response may have to wait until the
//! caller's connection has carried an earlier one, or for a caller that reads slowly. That time is
//! not the target's, so a node that reads nothing meanwhile adds it to the deadline.

use crate::time::Instant;

/// Bytes of a response that a node still takes after the deadline, from the target or from its guard.
///
/// They may have arrived in time, and a busy node reads them late. The limit is of the order of
/// what sockets buffer, and ends a response of a target that sends without a pause.
pub const MAX_LATE_BYTES: usize = 2 * 1024 * 1024;

/// Longest wait of an entry for the next part of a response after the deadline, in milliseconds.
///
/// Parts that the target gave in time may be in transit. TCP sends a lost packet again after 200 ms or
/// more, and the second time after 400 ms more.
const MAX_TRANSIT_GAP_MS: u64 = 1_000;

/// The time that a target has for a response that is being forwarded.
#[derive(Clone, Copy, Debug)]
pub struct TargetTime {
    /// When the rest of the response must have arrived. Not after `give_up_at`.
    deadline: Instant,
    /// When the response is given up, whatever it waits for.
    give_up_at: Instant,
    /// Since when nothing is read from the target; `None` while it is read.
    blocked_since: Option<Instant>,
    /// Time for which nothing was read, in microseconds.
    blocked_us: u64,
    /// Bytes that were read after the deadline.
    late_bytes: usize,
}

impl TargetTime {
    /// Starts with the deadline of the request. The response is given up `max_delay_ms` after it.
    pub fn new(deadline: Instant, max_delay_ms: u64) -> Self {
        TargetTime {
            deadline,
            give_up_at: deadline.saturating_add_millis(max_delay_ms),
            blocked_since: None,
            blocked_us: 0,
            late_bytes: 0,
        }
    }

    /// Records bytes that were read. Returns whether the target may go on, which it may after its
    /// deadline only within [`MAX_LATE_BYTES`].
    pub fn on_bytes(&mut self, now: Instant, bytes: usize) -> bool {
        if now >= self.deadline {
            self.late_bytes = self.late_bytes.saturating_add(bytes);
        }
        self.late_bytes <= MAX_LATE_BYTES
    }

    /// Returns when the rest of the response must have arrived. Meaningless while blocked.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns when the response is given up, also while blocked.
    pub fn give_up_at(&self) -> Instant {
        self.give_up_at
    }

    /// Returns the time for which nothing was read from the target, in microseconds.
    pub fn blocked_us(&self) -> u64 {
        self.blocked_us
    }

    /// Records that nothing is read from the target until [`TargetTime::unblock`]. Calls while
    /// blocked have no effect.
    pub fn block(&mut self, now: Instant) {
        self.blocked_since.get_or_insert(now);
    }

    /// Records that the target is read again.
    pub fn unblock(&mut self, now: Instant) {
        let Some(since) = self.blocked_since.take() else {
            return;
        };
        let blocked_us = now.micros_since(since);
        self.blocked_us = self.blocked_us.saturating_add(blocked_us);
        self.deadline = self.deadline.saturating_add_micros(blocked_us);
        self.deadline = self.deadline.min(self.give_up_at);
    }
}

/// The time that an entry has for a response which it takes from the guard.
///
/// What the target has given in time can reach the entry after the deadline, so the entry goes on while
/// parts arrive, within [`MAX_LATE_BYTES`]. The guard alone is no bound: it adds the time for which the
/// link or the entry is slow to its own deadline, and that is most of the time if a target sends without
/// end.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalTime {
    target: TargetTime,
    /// When the last part arrived, or since when the entry has waited for the next one.
    waits_since: Instant,
}

impl ArrivalTime {
    /// Starts to wait for a response. Apart from `now`, the arguments are those of
    /// [`TargetTime::new`].
    pub fn new(now: Instant, deadline: Instant, max_delay_ms: u64) -> Self {
        ArrivalTime {
            target: TargetTime::new(deadline, max_delay_ms),
            waits_since: now,
        }
    }

    /// Records that a part of the response has arrived, with this many bytes of the body. Returns
    /// whether the response may go on.
    pub fn on_part(&mut self, now: Instant, bytes: usize) -> bool {
        self.waits_since = now;
        self.target.on_bytes(now, bytes)
    }

    /// Returns when the next part must have arrived. Meaningless while blocked.
    pub fn deadline(&self) -> Instant {
        let latest = self.waits_since.max(self.target.deadline());
        let deadline = latest.saturating_add_millis(MAX_TRANSIT_GAP_MS);
        deadline.min(self.target.give_up_at())
    }

    /// Returns when the response is given up, also while blocked.
    pub fn give_up_at(&self) -> Instant {
        self.target.give_up_at()
    }

    /// Returns the time for which nothing was read, in microseconds.
    pub fn blocked_us(&self) -> u64 {
        self.target.blocked_us()
    }

    /// Records that nothing is read until [`ArrivalTime::unblock`]. Calls while blocked have no effect.
    pub fn block(&mut self, now: Instant) {
        self.target.block(now);
    }

    /// Records that the entry reads again.
    pub fn unblock(&mut self, now: Instant) {
        self.target.unblock(now);
        self.waits_since = now;
    }
}

/// Settings of a [`HoldBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldSettings {
    /// Bytes that may be held of one response.
    pub response_bytes: usize,
    /// Bytes that may be held of all responses together.
    pub total_bytes: usize,
}

impl Default for HoldSettings {
    fn default() -> Self {
        // The smallest hosts have 160 MB, and a host has few callers that wait at the same time.
        HoldSettings {
            response_bytes: 1024 * 1024,
            total_bytes: 8 * 1024 * 1024,
        }
    }
}

/// Divisor of the part of a used-up budget that must become free before others may read again. If any
/// block were enough, each one would wake all waiting responses, and most would find no room.
const MIN_FREE_DIVISOR: usize = 16;

/// Memory for responses that an entry takes from their targets before their callers can receive
/// them.
#[derive(Debug, Default)]
pub struct HoldBudget {
    cfg: HoldSettings,
    /// Sum of the bytes that all responses hold.
    held_bytes: usize,
    /// Whether the budget was used up and is not yet free again by [`MIN_FREE_DIVISOR`]. While it is
    /// not, no response waits for others.
    is_used_up: bool,
}

impl HoldBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(cfg: HoldSettings) -> Self {
        HoldBudget {
            cfg,
            ..HoldBudget::default()
        }
    }

    /// Returns whether a response that holds `own_bytes` may read a further piece. The piece may
    /// exceed the budget, since its length is known only once it has been read.
    pub fn has_room(&self, own_bytes: usize) -> bool {
        !self.is_own_limit_reached(own_bytes) && !self.is_used_up
    }

    /// Returns whether a response that holds `own_bytes` has no room whatever the others hold.
    pub fn is_own_limit_reached(&self, own_bytes: usize) -> bool {
        own_bytes >= self.cfg.response_bytes
    }

    /// Adds bytes that a response holds.
    pub fn add(&mut self, bytes: usize) {
        self.held_bytes += bytes;
        self.is_used_up |= self.held_bytes >= self.cfg.total_bytes;
    }

    /// Removes bytes that a response has held. Returns whether others that had no room now may have.
    pub fn remove(&mut self, bytes: usize) -> bool {
        self.held_bytes = self.held_bytes.saturating_sub(bytes);
        let total_bytes = self.cfg.total_bytes;
        let has_room = self.held_bytes < total_bytes - total_bytes / MIN_FREE_DIVISOR;
        let is_freed = self.is_used_up && has_room;
        self.is_used_up &= !has_room;
        is_freed
    }

    /// Returns the bytes that all responses hold.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }
}
