//! Leaves of targets that the guard has acknowledged.

use std::collections::VecDeque;

use super::TargetInstance;
use crate::time::{Instant, MICROS_PER_SECOND};

/// Time for which announcements of an instance that has left are ignored, in microseconds.
///
/// An announcement that was sent before the leave can arrive seconds after it. The limit bounds how
/// long a wrong clock can keep out a new instance with the same id.
const LEAVE_RETENTION_US: u64 = 60 * MICROS_PER_SECOND;

/// Largest number of leaves that are kept. There is one target on a host at a time.
const MAX_LEAVES: usize = 64;

/// Message by which a target says that it leaves. It names the target by its id only, which a later
/// instance may use again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLeave<'a> {
    /// Identifier that the target chose.
    pub id: &'a str,
    /// Receipt of the message in milliseconds since the Unix epoch, on the clock of this host, which
    /// the target shares.
    pub received_unix_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct AcknowledgedLeave {
    id: Box<str>,
    received_unix_ms: u64,
    expires: Instant,
}

impl AcknowledgedLeave {
    /// Returns whether `instance` is the one that left, or may be.
    fn covers(&self, instance: &TargetInstance<'_>) -> bool {
        *self.id == *instance.id && instance.started_unix_ms <= self.received_unix_ms
    }
}

/// Leaves that were acknowledged, oldest first.
///
/// An acknowledged leave binds also if this process does not know the instance, as is the case
/// after a restart: its announcement may still be on the way.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct AcknowledgedLeaves {
    /// At most [`MAX_LEAVES`].
    leaves: VecDeque<AcknowledgedLeave>,
}

impl AcknowledgedLeaves {
    pub(super) fn record(&mut self, now: Instant, leave: &TargetLeave<'_>) {
        self.leaves
            .retain(|kept| now < kept.expires && *kept.id != *leave.id);
        if self.leaves.len() == MAX_LEAVES {
            self.leaves.pop_front();
        }
        self.leaves.push_back(AcknowledgedLeave {
            id: Box::from(leave.id),
            received_unix_ms: leave.received_unix_ms,
            expires: now.saturating_add_micros(LEAVE_RETENTION_US),
        });
    }

    /// Returns whether `instance` has left or may have: no instance that started after a leave was
    /// received can have sent it.
    pub(super) fn covers(&self, now: Instant, instance: &TargetInstance<'_>) -> bool {
        self.leaves
            .iter()
            .any(|leave| now < leave.expires && leave.covers(instance))
    }
}
