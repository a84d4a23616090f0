//! Refusals that are decided outside of the guard.

use super::{FenceState, Guard, RefuseReason, RequestKey, records::RequestState};
use crate::time::Instant;

impl Guard {
    /// Refuses and fences a request that was not dispatched, whether it was offered or not, for a reason
    /// that the guard does not know of. `deadline` is that of the request.
    ///
    /// Returns the reason to report, which is another one if a copy of the request may run. A queued
    /// request gets a wakeup, and one that held a slot frees it.
    pub fn refuse(
        &mut self,
        now: Instant,
        key: RequestKey,
        deadline: Instant,
        reason: RefuseReason,
    ) -> RefuseReason {
        let reported = match self.records.get(key) {
            Some(_) => match self.fence(now, key, deadline) {
                FenceState::Fenced => reason,
                _ => RefuseReason::Duplicate,
            },
            None => self.fence_refused(now, key, deadline, reason),
        };
        self.counters.count_refusal(reported);
        reported
    }

    fn fence_refused(
        &mut self,
        now: Instant,
        key: RequestKey,
        deadline: Instant,
        reason: RefuseReason,
    ) -> RefuseReason {
        // The deadline of every copy has passed, so no fence is needed.
        let max_skew_us = self.cfg.max_deadline_skew_us;
        if deadline.saturating_add_micros(max_skew_us) <= now {
            return RefuseReason::Deadline;
        }
        if !self.records.has_room(now) {
            return RefuseReason::TableFull;
        }
        self.put_record(key, RequestState::Fenced, deadline);
        reason
    }
}
