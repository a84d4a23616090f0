//! Queue of requests that wait for a slot.

use std::collections::{BTreeMap, BTreeSet};

use super::{RequestKey, Urgency, class_service_times::ClassServiceTimes};
use crate::time::Instant;

/// Number of a request in order of arrival at the queue; never reused.
pub(super) type Ticket = u64;

/// A request in the queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedRequest {
    pub(super) key: RequestKey,
    pub(super) deadline: Instant,
    pub(super) urgency: Urgency,
    pub(super) queued_at: Instant,
    /// Wait that was predicted on arrival, before the correction, in microseconds.
    pub(super) predicted_wait_us: u64,
}

/// Sort key of a queued request; the request with the smallest key starts first.
///
/// Requests that can still meet their latency target come before those that can't. Within
/// both groups the order is by priority, then by `Urgency::due`, then by arrival.
type StartOrder = (bool, u32, Instant, Ticket);

/// Queue of requests, with removal by ticket and an index by deadline.
#[derive(Debug, Default)]
pub(super) struct Queue {
    next_ticket: Ticket,
    by_ticket: BTreeMap<Ticket, QueuedRequest>,
    /// Holds exactly the tickets of `by_ticket`, with their deadlines.
    by_deadline: BTreeSet<(Instant, Ticket)>,
}

impl QueuedRequest {
    fn start_order(
        &self,
        now: Instant,
        ticket: Ticket,
        service_times: &ClassServiceTimes,
    ) -> StartOrder {
        let due = self.urgency.due.unwrap_or(Instant::MAX);
        let service_us = service_times.mean_us(self.urgency.class);
        let is_late = now.saturating_add_micros(service_us) > due;
        (is_late, self.urgency.priority, due, ticket)
    }
}

impl Queue {
    /// Returns the number of queued requests.
    pub(super) fn len(&self) -> usize {
        self.by_ticket.len()
    }

    /// Adds a request and returns its ticket.
    pub(super) fn push(&mut self, queued: QueuedRequest) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.by_deadline.insert((queued.deadline, ticket));
        self.by_ticket.insert(ticket, queued);
        ticket
    }

    /// Returns the ticket and the request that starts next; `None` if the queue is empty.
    pub(super) fn next_to_start(
        &self,
        now: Instant,
        service_times: &ClassServiceTimes,
    ) -> Option<(Ticket, &QueuedRequest)> {
        let queued_requests = self.by_ticket.iter();
        queued_requests
            .min_by_key(|(ticket, queued)| queued.start_order(now, **ticket, service_times))
            .map(|(ticket, queued)| (*ticket, queued))
    }

    /// Removes and returns any request; `None` if the queue is empty.
    pub(super) fn pop_any(&mut self) -> Option<RequestKey> {
        let (&ticket, _) = self.by_ticket.first_key_value()?;
        self.remove(ticket).map(|queued| queued.key)
    }

    /// Removes and returns the request with `ticket`; `None` if it is not in the queue.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let queued = self.by_ticket.remove(&ticket)?;
        self.by_deadline.remove(&(queued.deadline, ticket));
        Some(queued)
    }

    /// Removes and returns a request that the target can hardly answer before its deadline.
    pub(super) fn pop_unservable(
        &mut self,
        now: Instant,
        service_times: &ClassServiceTimes,
    ) -> Option<QueuedRequest> {
        let unservable = self.by_ticket.iter().find(|(_, queued)| {
            let low_estimate_us = service_times.low_estimate_us(queued.urgency.class);
            now.saturating_add_micros(low_estimate_us) >= queued.deadline
        });
        let ticket = *unservable?.0;
        self.remove(ticket)
    }

    /// Returns the requests that would start before a new one with this urgency.
    fn requests_ahead(
        &self,
        now: Instant,
        urgency: &Urgency,
        service_times: &ClassServiceTimes,
    ) -> impl Iterator<Item = &QueuedRequest> {
        let new_request = QueuedRequest {
            key: RequestKey::default(),
            deadline: Instant::MAX,
            urgency: *urgency,
            queued_at: now,
            predicted_wait_us: 0,
        };
        let new_order = new_request.start_order(now, Ticket::MAX, service_times);
        self.by_ticket
            .iter()
            .filter(move |(ticket, queued)| {
                queued.start_order(now, **ticket, service_times) < new_order
            })
            .map(|(_, queued)| queued)
    }

    /// Returns the sum of the mean service times of the requests that would start before a
    /// new one with this urgency, in microseconds.
    pub(super) fn work_ahead_us(
        &self,
        now: Instant,
        urgency: &Urgency,
        service_times: &ClassServiceTimes,
    ) -> u64 {
        self.requests_ahead(now, urgency, service_times)
            .map(|queued| service_times.mean_us(queued.urgency.class))
            .sum()
    }

    /// Returns the number of requests that would start before a new one with this urgency.
    pub(super) fn count_ahead(
        &self,
        now: Instant,
        urgency: &Urgency,
        service_times: &ClassServiceTimes,
    ) -> usize {
        self.requests_ahead(now, urgency, service_times).count()
    }

    /// Returns the tickets of the requests that the target can hardly answer before their deadline.
    /// `start_after` gives the start of a request by the number of requests that start before it.
    pub(super) fn unservable_at_rate(
        &self,
        now: Instant,
        start_after: impl Fn(usize) -> Instant,
        service_times: &ClassServiceTimes,
    ) -> Vec<Ticket> {
        let mut started = 0;
        let mut unservable = Vec::new();
        for ticket in self.tickets_in_start_order(now, service_times) {
            let queued = &self.by_ticket[&ticket];
            let low_estimate_us = service_times.low_estimate_us(queued.urgency.class);
            if start_after(started).saturating_add_micros(low_estimate_us) >= queued.deadline {
                unservable.push(ticket);
            } else {
                started += 1;
            }
        }
        unservable
    }

    /// Returns the tickets of all requests, the one that starts next first.
    pub(super) fn tickets_in_start_order(
        &self,
        now: Instant,
        service_times: &ClassServiceTimes,
    ) -> Vec<Ticket> {
        let mut in_order: Vec<_> = self
            .by_ticket
            .iter()
            .map(|(ticket, queued)| (queued.start_order(now, *ticket, service_times), *ticket))
            .collect();
        in_order.sort();
        in_order.into_iter().map(|(_, ticket)| ticket).collect()
    }

    /// Returns the number of requests that can no longer meet their latency target.
    pub(super) fn late_count(&self, now: Instant, service_times: &ClassServiceTimes) -> usize {
        let queued = self.by_ticket.iter();
        queued
            .filter(|(ticket, queued)| queued.start_order(now, **ticket, service_times).0)
            .count()
    }

    /// Returns the earliest deadline of a queued request.
    pub(super) fn first_deadline(&self) -> Option<Instant> {
        self.by_deadline.first().map(|&(deadline, _)| deadline)
    }
}
