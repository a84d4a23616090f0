//! Bounded table of request records.

use std::collections::BTreeMap;

use super::{RequestKey, queue::Ticket};
use crate::{collections::HashMap, time::Instant};

/// Granularity at which old records are dropped, in microseconds. It bounds the
/// timer wakeups for this purpose to four per second.
const DROP_STEP_US: u64 = 250_000;

/// State of a request at the guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Waits for a slot.
    Queued(Ticket),
    /// Holds a slot; nothing has been written to the target.
    Admitted,
    /// Holds a slot and is with the target.
    Started,
    /// The exchange with the target has ended.
    Finished,
    /// Was not run and never will be.
    Fenced,
}

impl State {
    /// Returns whether nothing can change the state any more.
    fn is_final(self) -> bool {
        matches!(self, State::Finished | State::Fenced)
    }
}

/// Record of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Record {
    pub(super) state: State,
    pub(super) deadline: Instant,
    /// Never earlier than `deadline`. A record in a final state is dropped after
    /// this instant; any other record stays.
    pub(super) keep_until: Instant,
    /// Announcement under which the request was admitted to the queue or a slot.
    pub(super) generation: u64,
    /// Instant of the dispatch; meaningful from `Started` on.
    pub(super) started: Instant,
    /// Requests that held a slot at the dispatch, this one included.
    pub(super) level: u32,
    pub(super) class: u32,
    /// Whether the dispatch was in a slow moment of the target's host.
    pub(super) is_slow: bool,
}

/// Records by key, with a bound on their number.
#[derive(Debug)]
pub(super) struct Records {
    max: usize,
    by_key: HashMap<RequestKey, Record>,
    /// Keys by the instant at which to look whether their record can go. Every
    /// record in a final state has an entry at or after its `keep_until`.
    drops: BTreeMap<Instant, Vec<RequestKey>>,
}

impl Records {
    /// Creates a table for `max` records.
    pub(super) fn new(max: usize) -> Self {
        Records {
            max,
            by_key: HashMap::default(),
            drops: BTreeMap::new(),
        }
    }

    /// Returns the number of records.
    pub(super) fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Returns the record of `key`.
    pub(super) fn get(&self, key: RequestKey) -> Option<&Record> {
        self.by_key.get(&key)
    }

    /// Returns whether a record can be added, after dropping old ones if needed.
    pub(super) fn has_room(&mut self, now: Instant) -> bool {
        if self.by_key.len() >= self.max {
            self.drop_old(now);
        }
        self.by_key.len() < self.max
    }

    /// Adds or replaces a record. The caller has checked that there is room.
    pub(super) fn put(&mut self, key: RequestKey, record: Record) {
        debug_assert!(self.by_key.contains_key(&key) || self.by_key.len() < self.max);
        self.by_key.insert(key, record);
        if record.state.is_final() {
            self.schedule_drop(key, record.keep_until);
        }
    }

    /// Notes the class of a request.
    pub(super) fn set_class(&mut self, key: RequestKey, class: u32) {
        if let Some(record) = self.by_key.get_mut(&key) {
            record.class = class;
        }
    }

    /// Drops records in a final state whose time has passed.
    pub(super) fn drop_old(&mut self, now: Instant) {
        while let Some(entry) = self.drops.first_entry() {
            if now < *entry.key() {
                break;
            }
            for key in entry.remove() {
                self.drop_if_old(now, key);
            }
        }
    }

    /// Returns the next instant at which records can be dropped.
    pub(super) fn next_drop(&self) -> Option<Instant> {
        self.drops.first_key_value().map(|(&at, _)| at)
    }

    fn drop_if_old(&mut self, now: Instant, key: RequestKey) {
        let old = |record: &Record| record.state.is_final() && record.keep_until <= now;
        if self.by_key.get(&key).is_some_and(old) {
            self.by_key.remove(&key);
        }
    }

    fn schedule_drop(&mut self, key: RequestKey, keep_until: Instant) {
        let step = keep_until.as_micros().div_ceil(DROP_STEP_US);
        let at = Instant::from_micros(step.saturating_mul(DROP_STEP_US));
        self.drops.entry(at).or_default().push(key);
    }
}
