//! Queue of requests that wait for a slot.

use std::collections::{BTreeMap, BTreeSet};

use super::{RequestKey, Urgency, work::WorkTimes};
use crate::time::Instant;

/// Position in the queue; never reused.
pub(super) type Ticket = u64;

/// A request in the queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) key: RequestKey,
    pub(super) deadline: Instant,
    pub(super) urgency: Urgency,
    pub(super) queued_at: Instant,
    /// Wait that was predicted, before the correction, in microseconds.
    pub(super) predicted_us: u64,
}

/// Place of a request in the order of starts; smaller starts earlier.
///
/// Requests that can still be answered in time come before those that are late already. Of
/// the former the most urgent comes first, and of equal ones that which is due first.
type Place = (bool, u32, Instant, Ticket);

/// Queue with removal by ticket and a view by deadline.
#[derive(Debug, Default)]
pub(super) struct Queue {
    next: Ticket,
    waiting: BTreeMap<Ticket, Waiting>,
    /// Holds exactly the tickets of `waiting`, with their deadlines.
    by_deadline: BTreeSet<(Instant, Ticket)>,
}

impl Waiting {
    fn place(&self, now: Instant, ticket: Ticket, work: &WorkTimes) -> Place {
        let due = self.urgency.due.unwrap_or(Instant::MAX);
        let need_us = work.mean_us(self.urgency.class);
        let is_late = now.saturating_add_micros(need_us) > due;
        (is_late, self.urgency.priority, due, ticket)
    }
}

impl Queue {
    /// Returns the number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a request.
    pub(super) fn push(&mut self, waiting: Waiting) -> Ticket {
        let ticket = self.next;
        self.next += 1;
        self.by_deadline.insert((waiting.deadline, ticket));
        self.waiting.insert(ticket, waiting);
        ticket
    }

    /// Returns the request that starts next.
    pub(super) fn first(&self, now: Instant, work: &WorkTimes) -> Option<(Ticket, &Waiting)> {
        let places = self.waiting.iter();
        places
            .min_by_key(|(ticket, waiting)| waiting.place(now, **ticket, work))
            .map(|(ticket, waiting)| (*ticket, waiting))
    }

    /// Takes any request.
    pub(super) fn pop(&mut self) -> Option<RequestKey> {
        let (&ticket, _) = self.waiting.first_key_value()?;
        self.remove(ticket).map(|waiting| waiting.key)
    }

    /// Takes the request with `ticket` out of the queue.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        self.by_deadline.remove(&(waiting.deadline, ticket));
        Some(waiting)
    }

    /// Takes a request that can't be answered before its deadline any more.
    pub(super) fn pop_hopeless(&mut self, now: Instant, work: &WorkTimes) -> Option<Waiting> {
        let hopeless = self.waiting.iter().find(|(_, waiting)| {
            let least_us = work.least_us(waiting.urgency.class);
            now.saturating_add_micros(least_us) >= waiting.deadline
        });
        let ticket = *hopeless?.0;
        self.remove(ticket)
    }

    /// Returns the work of the requests that would start before one with this urgency, in
    /// microseconds of one slot.
    pub(super) fn work_ahead_us(&self, now: Instant, urgency: &Urgency, work: &WorkTimes) -> u64 {
        let own = Waiting {
            key: RequestKey::default(),
            deadline: Instant::MAX,
            urgency: *urgency,
            queued_at: now,
            predicted_us: 0,
        };
        let own = own.place(now, Ticket::MAX, work);
        self.waiting
            .iter()
            .filter(|(ticket, waiting)| waiting.place(now, **ticket, work) < own)
            .map(|(_, waiting)| work.mean_us(waiting.urgency.class))
            .sum()
    }

    /// Returns the number of requests that can't be answered in time any more.
    pub(super) fn late(&self, now: Instant, work: &WorkTimes) -> usize {
        let waiting = self.waiting.iter();
        waiting
            .filter(|(ticket, waiting)| waiting.place(now, **ticket, work).0)
            .count()
    }

    /// Returns the earliest deadline of a waiting request.
    pub(super) fn first_deadline(&self) -> Option<Instant> {
        self.by_deadline.first().map(|&(deadline, _)| deadline)
    }
}
