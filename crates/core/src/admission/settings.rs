//! Settings of a guard.

use super::{LimitSettings, PaceSettings, ResendSettings};
use crate::time::Instant;

/// Settings of a guard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GuardSettings {
    /// Maximum number of queued requests, as a multiple of the announced slots.
    pub queue_factor: u32,
    /// Maximum number of request records.
    pub max_records: usize,
    /// Maximum difference between the deadlines of two copies of a request, in microseconds.
    /// Records are kept for twice this time after the deadline of their request.
    ///
    /// A deadline is converted to the guard's clock per connection. The result is early by up
    /// to the duration of the handshake, which is at most 1 s, and off by up to 6 ms of clock
    /// drift in either direction. Without the extra time, a record could be removed before a
    /// copy or a fence arrives over another connection. Twice the maximum also covers copies
    /// that are refused, and fenced, after the deadline.
    pub max_deadline_skew_us: u64,
    /// Settings for the detection of slow periods of the target's host.
    pub pace: PaceSettings,
    /// Settings of the concurrency limit.
    pub limit: LimitSettings,
    /// Limit on requests that are sent to the target once more.
    pub resends: ResendSettings,
    /// Time after a target has said that it leaves during which queued requests still start there, in
    /// microseconds.
    pub start_after_leave_us: u64,
    /// Instant until which an announcement may have been sent before a leave that an earlier process
    /// of this node acknowledged. Until then, a target whose health check fails gets no requests.
    pub announcements_settle_at: Instant,
}

impl Default for GuardSettings {
    fn default() -> Self {
        GuardSettings {
            queue_factor: 2,
            max_records: 65_536,
            max_deadline_skew_us: 1_100_000,
            pace: PaceSettings::default(),
            limit: LimitSettings::default(),
            resends: ResendSettings::default(),
            start_after_leave_us: 1_900_000,
            announcements_settle_at: Instant::default(),
        }
    }
}
