//! Displacement of queued requests while load is shed.

use super::{
    Guard, Offer, RefuseReason, Urgency,
    queue::{QueuedRequest, Ticket},
    records::RequestState,
    transitions::Placement,
};
use crate::time::Instant;

impl Guard {
    /// Starts or ends the shedding of load by value: queued requests then make room for more
    /// valuable ones, and workspaces and priority levels share the capacity. Without it a request
    /// that arrives at a full queue is refused.
    pub fn set_shedding(&mut self, sheds_load: bool) {
        self.queue.set_shedding(sheds_load, &self.service_times);
    }

    /// Returns whether load is shed by value.
    pub fn sheds_load(&self) -> bool {
        self.queue.sheds_load()
    }

    /// Returns whether refusals of queued requests are due that no call has returned yet.
    pub fn has_pending_refusals(&self) -> bool {
        !self.pending_refusals.is_empty()
    }

    /// Decides which request is refused when one with `urgency` arrives at a full queue.
    pub(super) fn placement_by_displacing(
        &self,
        now: Instant,
        urgency: &Urgency,
    ) -> Result<Placement, RefuseReason> {
        let displaced = self.queue.least_valuable(now, urgency, &self.service_times);
        match displaced {
            Some(ticket) if ticket != Ticket::MAX => Ok(Placement::QueueInsteadOf(ticket)),
            _ => Err(self.full_queue_reason(now)),
        }
    }

    /// Returns the place of a late queued request that is less valuable than an arriving one with
    /// `urgency`; `None` if there is none.
    pub(super) fn placement_by_displacing_late(
        &self,
        now: Instant,
        urgency: &Urgency,
    ) -> Option<Placement> {
        let displaced = self
            .queue
            .least_valuable(now, urgency, &self.service_times)?;
        let is_late = self.queue.is_late(now, displaced, &self.service_times);
        is_late.then_some(Placement::QueueInsteadOf(displaced))
    }

    /// Refuses a queued request in favour of others.
    pub(super) fn displace(&mut self, now: Instant, ticket: Ticket) {
        if let Some(queued) = self.queue.remove(ticket) {
            self.refuse_queued(queued.key, RefuseReason::Displaced);
            self.schedule_wakeups(now);
        }
    }

    /// Adds a request to the queue.
    pub(super) fn enqueue(&mut self, now: Instant, offer: &Offer<'_>) {
        self.counters.queued += 1;
        let queued = QueuedRequest {
            key: offer.key,
            deadline: offer.deadline,
            urgency: offer.urgency,
            queued_at: now,
            predicted_wait_us: self.predicted_wait_us(now, &offer.urgency),
        };
        // The limits let a queued request start, so the check that starts or refuses it is overdue. The
        // reason that it needs is that of the last check.
        let is_check_overdue = self.queue.len() > 0 && self.can_start(now);
        let ticket = self.queue.push(queued, &self.service_times);
        self.put_record(offer.key, RequestState::Queued(ticket), offer.deadline);
        self.records
            .set_terms(offer.key, offer.urgency.class, offer.answer_by);
        if self.queue.sheds_load() {
            self.displace_unservable(now, ticket);
        }
        if !is_check_overdue {
            self.update_limit_reason(now);
        }
    }

    /// Refuses the requests that can't be answered before their deadline now that the one with
    /// ticket `arrived` is ahead of them, so that their entries can send them elsewhere at once.
    fn displace_unservable(&mut self, now: Instant, arrived: Ticket) {
        let slots = u64::from(self.limit.effective_limit()).max(1);
        let mut work_ahead_us = 0;
        let mut unservable = Vec::new();
        for (ticket, queued) in self.queue.in_start_order(now, &self.service_times) {
            let class = queued.urgency.class;
            let end_us = work_ahead_us / slots + self.service_times.low_estimate_us(class);
            if ticket != arrived && now.saturating_add_micros(end_us) >= queued.deadline {
                unservable.push(ticket);
            } else {
                work_ahead_us += self.service_times.mean_us(class);
            }
        }
        for ticket in unservable {
            self.displace(now, ticket);
        }
    }
}
