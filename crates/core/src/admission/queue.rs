//! Queue of requests that wait for a slot.

use std::collections::{BTreeMap, BTreeSet};

use super::RequestKey;
use crate::time::Instant;

/// Position in the queue; never reused.
pub(super) type Ticket = u64;

/// A request in the queue.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    key: RequestKey,
    deadline: Instant,
    /// Instant from which the request starts even in a slow moment of the target's host.
    hold_until: Instant,
}

/// FIFO queue with removal by ticket and a view by deadline.
#[derive(Debug, Default)]
pub(super) struct Queue {
    next: Ticket,
    waiting: BTreeMap<Ticket, Waiting>,
    /// Holds exactly the tickets of `waiting`, with their deadlines.
    by_deadline: BTreeSet<(Instant, Ticket)>,
}

impl Queue {
    /// Returns the number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Appends a request.
    pub(super) fn push(
        &mut self,
        key: RequestKey,
        deadline: Instant,
        hold_until: Instant,
    ) -> Ticket {
        let ticket = self.next;
        self.next += 1;
        let waiting = Waiting {
            key,
            deadline,
            hold_until,
        };
        self.waiting.insert(ticket, waiting);
        self.by_deadline.insert((deadline, ticket));
        ticket
    }

    /// Takes the request that has waited longest.
    pub(super) fn pop(&mut self) -> Option<RequestKey> {
        let (&ticket, _) = self.waiting.first_key_value()?;
        self.remove(ticket)
    }

    /// Takes the request with `ticket` out of the queue.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<RequestKey> {
        let waiting = self.waiting.remove(&ticket)?;
        self.by_deadline.remove(&(waiting.deadline, ticket));
        Some(waiting.key)
    }

    /// Takes a request whose deadline has passed.
    pub(super) fn pop_expired(&mut self, now: Instant) -> Option<RequestKey> {
        let &(deadline, ticket) = self.by_deadline.first()?;
        if now < deadline {
            return None;
        }
        self.remove(ticket)
    }

    /// Returns the instant from which the request that has waited longest starts even in a
    /// slow moment.
    pub(super) fn first_hold_until(&self) -> Option<Instant> {
        let (_, waiting) = self.waiting.first_key_value()?;
        Some(waiting.hold_until)
    }

    /// Returns the earliest deadline of a waiting request.
    pub(super) fn first_deadline(&self) -> Option<Instant> {
        self.by_deadline.first().map(|&(deadline, _)| deadline)
    }
}
