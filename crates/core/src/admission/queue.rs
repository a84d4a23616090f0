//! Queue of requests that wait for a slot.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    RefuseReason, RequestKey, Urgency,
    class_service_times::ClassServiceTimes,
    fair_order::FairOrder,
    shedding::{self, Contender},
};
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

/// Sort key of a queued request while no load is shed; the request with the smallest key starts
/// first.
///
/// Requests that can still meet their latency target come before those that can't. Within
/// both groups the order is by priority, then by `Urgency::due`, then by arrival.
type StartOrder = (bool, u32, Instant, Ticket);

/// Queue of requests, with removal by ticket and an index by deadline.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    next_ticket: Ticket,
    by_ticket: BTreeMap<Ticket, QueuedRequest>,
    /// Holds exactly the tickets of `by_ticket`, with their deadlines.
    by_deadline: BTreeSet<(Instant, Ticket)>,
    /// State of the order of starts while load is shed; `None` unless it is.
    fair: Option<Box<FairOrder>>,
    /// Refusal that names the limit on starts that delayed the queue when it was last checked; `None`
    /// if the queue waited for a slot. Meaningless while the queue is empty.
    pub(super) limit_reason: Option<RefuseReason>,
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

/// Returns a request as the rule of shedding sees it.
fn contender(
    now: Instant,
    ticket: Ticket,
    urgency: &Urgency,
    service_times: &ClassServiceTimes,
) -> Contender {
    let due = urgency.due.unwrap_or(Instant::MAX);
    let slot_time_us = service_times.mean_us(urgency.class);
    Contender {
        ticket,
        level: shedding::level_of(urgency.priority),
        capacity_share: urgency.capacity_share,
        is_late: now.saturating_add_micros(service_times.usual_maximum_us(urgency.class)) > due,
        due,
        slot_time_us,
    }
}

fn record_push(fair: &mut FairOrder, urgency: &Urgency, service_times: &ClassServiceTimes) {
    let level = shedding::level_of(urgency.priority);
    let slot_time_us = service_times.mean_us(urgency.class);
    fair.record_push(level, urgency.capacity_share, slot_time_us);
}

impl Queue {
    /// Returns the number of queued requests.
    pub(super) fn len(&self) -> usize {
        self.by_ticket.len()
    }

    /// Adds a request and returns its ticket.
    pub(super) fn push(
        &mut self,
        queued: QueuedRequest,
        service_times: &ClassServiceTimes,
    ) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.by_deadline.insert((queued.deadline, ticket));
        self.by_ticket.insert(ticket, queued);
        if let Some(fair) = &mut self.fair {
            record_push(fair, &queued.urgency, service_times);
        }
        ticket
    }

    /// Starts or ends the shedding of load. Has no effect on which requests wait.
    pub(super) fn set_shedding(&mut self, sheds_load: bool, service_times: &ClassServiceTimes) {
        if sheds_load == self.fair.is_some() {
            return;
        }
        self.fair = sheds_load.then(|| {
            let mut fair = Box::<FairOrder>::default();
            for queued in self.by_ticket.values() {
                record_push(&mut fair, &queued.urgency, service_times);
            }
            fair
        });
    }

    /// Returns whether load is shed.
    pub(super) fn sheds_load(&self) -> bool {
        self.fair.is_some()
    }

    /// Counts a request that the target could serve, for the shares of workspaces and levels.
    pub(super) fn record_offer(&mut self, now: Instant, urgency: &Urgency) {
        if let Some(fair) = &mut self.fair {
            let level = shedding::level_of(urgency.priority);
            fair.record_offer(now, level);
        }
    }

    /// Counts a request that was refused on arrival.
    pub(super) fn record_refusal(&mut self, urgency: &Urgency) {
        if let Some(fair) = &mut self.fair {
            fair.record_refusal(urgency.capacity_share);
        }
    }

    /// Counts a request that starts without waiting.
    pub(super) fn record_direct_start(&mut self, urgency: &Urgency) {
        if let Some(fair) = &mut self.fair {
            let level = shedding::level_of(urgency.priority);
            fair.record_direct_start(level, urgency.capacity_share);
        }
    }

    fn contenders(
        &self,
        now: Instant,
        service_times: &ClassServiceTimes,
    ) -> impl Iterator<Item = Contender> + Clone {
        self.by_ticket
            .iter()
            .map(move |(ticket, queued)| contender(now, *ticket, &queued.urgency, service_times))
    }

    /// Returns the request to refuse if `urgency` arrives and there is no room for one more:
    /// [`Ticket::MAX`] for the arriving one, `None` unless load is shed or if all are protected.
    pub(super) fn least_valuable(
        &self,
        now: Instant,
        urgency: &Urgency,
        service_times: &ClassServiceTimes,
    ) -> Option<Ticket> {
        let fair = self.fair.as_ref()?;
        let mut contenders: Vec<_> = self.contenders(now, service_times).collect();
        contenders.push(contender(now, Ticket::MAX, urgency, service_times));
        shedding::least_valuable(&contenders, fair)
    }

    /// Returns whether the request with a ticket is queued and can't meet its latency target any
    /// more.
    pub(super) fn is_late(
        &self,
        now: Instant,
        ticket: Ticket,
        service_times: &ClassServiceTimes,
    ) -> bool {
        let queued = self.by_ticket.get(&ticket);
        queued.is_some_and(|queued| contender(now, ticket, &queued.urgency, service_times).is_late)
    }

    /// Returns the queued requests in the order in which they start.
    pub(super) fn in_start_order(
        &self,
        now: Instant,
        service_times: &ClassServiceTimes,
    ) -> impl Iterator<Item = (Ticket, &QueuedRequest)> {
        let tickets = self.tickets_in_start_order(now, service_times);
        tickets
            .into_iter()
            .map(|ticket| (ticket, &self.by_ticket[&ticket]))
    }

    /// Returns the ticket and the request that starts next; `None` if the queue is empty.
    pub(super) fn next_to_start(
        &self,
        now: Instant,
        service_times: &ClassServiceTimes,
    ) -> Option<(Ticket, &QueuedRequest)> {
        if let Some(fair) = &self.fair {
            let contenders = self.contenders(now, service_times);
            let ticket = shedding::next_to_start(contenders, fair)?;
            return Some((ticket, self.by_ticket.get(&ticket)?));
        }
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

    /// Removes and returns the request with `ticket`, which does not start; `None` if it is not in
    /// the queue.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let queued = self.take(ticket)?;
        if let Some(fair) = &mut self.fair {
            let level = shedding::level_of(queued.urgency.priority);
            fair.record_removal(level, queued.urgency.capacity_share);
        }
        Some(queued)
    }

    /// Removes the request with `ticket`, which was cancelled or fenced by its entry.
    pub(super) fn cancel(&mut self, ticket: Ticket) {
        if let Some(queued) = self.take(ticket)
            && let Some(fair) = &mut self.fair
        {
            let level = shedding::level_of(queued.urgency.priority);
            fair.record_cancellation(level, queued.urgency.capacity_share);
        }
    }

    /// Removes and returns the request with `ticket`, which starts; `None` if it is not in the
    /// queue.
    pub(super) fn start(
        &mut self,
        ticket: Ticket,
        service_times: &ClassServiceTimes,
    ) -> Option<QueuedRequest> {
        let queued = self.take(ticket)?;
        if let Some(fair) = &mut self.fair {
            let level = shedding::level_of(queued.urgency.priority);
            let slot_time_us = service_times.mean_us(queued.urgency.class);
            fair.record_start(level, queued.urgency.capacity_share, slot_time_us);
        }
        Some(queued)
    }

    fn take(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
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

    /// Returns the number of the requests that would start before a new one with this urgency, and
    /// the sum of their mean service times in microseconds.
    pub(super) fn work_ahead(
        &self,
        now: Instant,
        urgency: &Urgency,
        service_times: &ClassServiceTimes,
    ) -> (usize, u64) {
        let sum =
            |(count, work_us): (usize, u64), slot_time_us| (count + 1, work_us + slot_time_us);
        if let Some(fair) = &self.fair {
            let mut contenders: Vec<_> = self.contenders(now, service_times).collect();
            contenders.push(contender(now, Ticket::MAX, urgency, service_times));
            shedding::sort_by_start(&mut contenders, fair);
            let ahead = contenders.iter().take_while(|c| c.ticket != Ticket::MAX);
            return ahead.map(|c| c.slot_time_us).fold((0, 0), sum);
        }
        let new_request = QueuedRequest {
            key: RequestKey::default(),
            deadline: Instant::MAX,
            urgency: *urgency,
            queued_at: now,
            predicted_wait_us: 0,
        };
        let new_order = new_request.start_order(now, Ticket::MAX, service_times);
        let ahead = self.by_ticket.iter().filter(|(ticket, queued)| {
            queued.start_order(now, **ticket, service_times) < new_order
        });
        ahead
            .map(|(_, queued)| service_times.mean_us(queued.urgency.class))
            .fold((0, 0), sum)
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
        for (ticket, queued) in self.in_start_order(now, service_times) {
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
        if let Some(fair) = &self.fair {
            let mut contenders: Vec<_> = self.contenders(now, service_times).collect();
            shedding::sort_by_start(&mut contenders, fair);
            return contenders.iter().map(|c| c.ticket).collect();
        }
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
