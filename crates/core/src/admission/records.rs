//! Bounded table of request records.

use std::collections::BTreeMap;

use super::{RequestKey, queue::Ticket};
use crate::{collections::HashMap, time::Instant};

/// Granularity of the instants at which expired records are removed, in microseconds. It
/// limits the timer wakeups for this purpose to four per second.
const REMOVAL_STEP_US: u64 = 250_000;

/// State of a request at the guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestState {
    /// Waits in the queue for a slot.
    Queued(Ticket),
    /// Holds a slot; nothing has been written to the target.
    Admitted,
    /// Holds a slot and has been dispatched to the target.
    Started,
    /// The exchange with the target has ended.
    Finished,
    /// Was not run and never will be.
    Fenced,
}

impl RequestState {
    /// Returns whether nothing can change the state any more.
    fn is_final(self) -> bool {
        matches!(self, RequestState::Finished | RequestState::Fenced)
    }
}

/// State of a request and what is needed to end it.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestRecord {
    pub(super) state: RequestState,
    pub(super) deadline: Instant,
    /// Instant after which the record is removed if its state is final; never earlier than
    /// `deadline`. Records in other states stay.
    pub(super) keep_until: Instant,
    /// Value of `Guard::target_generation` when the request was queued or got a slot.
    pub(super) generation: u64,
    /// Instant of the dispatch; meaningful from `Started` on.
    pub(super) started: Instant,
    /// Requests that held a slot at the dispatch, this one included; meaningful from `Started`
    /// on.
    pub(super) concurrency: u32,
    /// See `Urgency::class`.
    pub(super) class: u32,
    /// See `Offer::answer_by`.
    pub(super) answer_by: Option<Instant>,
    /// Whether the target's host was slow at the dispatch.
    pub(super) dispatched_while_slow: bool,
}

/// Table of request records by key, with a bound on their number.
#[derive(Clone, Debug)]
pub(super) struct RecordTable {
    max_records: usize,
    by_key: HashMap<RequestKey, RequestRecord>,
    /// Keys by the instant at which to check whether their record can be removed. Every
    /// record in a final state has an entry at or after its `keep_until`.
    removals: BTreeMap<Instant, Vec<RequestKey>>,
}

impl RecordTable {
    /// Creates a table for at most `max_records` records.
    pub(super) fn new(max_records: usize) -> Self {
        RecordTable {
            max_records,
            by_key: HashMap::default(),
            removals: BTreeMap::new(),
        }
    }

    /// Returns the number of records.
    pub(super) fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Returns the record of `key`.
    pub(super) fn get(&self, key: RequestKey) -> Option<&RequestRecord> {
        self.by_key.get(&key)
    }

    /// Returns whether a record can be added, after removing expired ones if needed.
    pub(super) fn has_room(&mut self, now: Instant) -> bool {
        if self.by_key.len() >= self.max_records {
            self.remove_expired(now);
        }
        self.by_key.len() < self.max_records
    }

    /// Adds or replaces a record. The caller has checked that there is room.
    pub(super) fn put(&mut self, key: RequestKey, record: RequestRecord) {
        debug_assert!(self.by_key.contains_key(&key) || self.by_key.len() < self.max_records);
        self.by_key.insert(key, record);
        if record.state.is_final() {
            self.schedule_removal(key, record.keep_until);
        }
    }

    /// Sets what the dispatch of a request depends on; no effect without a record.
    pub(super) fn set_terms(&mut self, key: RequestKey, class: u32, answer_by: Option<Instant>) {
        if let Some(record) = self.by_key.get_mut(&key) {
            record.class = class;
            record.answer_by = answer_by;
        }
    }

    /// Removes records in a final state whose `keep_until` has passed.
    pub(super) fn remove_expired(&mut self, now: Instant) {
        while let Some(entry) = self.removals.first_entry() {
            if now < *entry.key() {
                break;
            }
            for key in entry.remove() {
                self.remove_if_expired(now, key);
            }
        }
    }

    /// Returns the next instant at which records may be removed; `None` if there is none.
    pub(super) fn next_removal(&self) -> Option<Instant> {
        self.removals.first_key_value().map(|(&at, _)| at)
    }

    fn remove_if_expired(&mut self, now: Instant, key: RequestKey) {
        let is_expired =
            |record: &RequestRecord| record.state.is_final() && record.keep_until <= now;
        if self.by_key.get(&key).is_some_and(is_expired) {
            self.by_key.remove(&key);
        }
    }

    fn schedule_removal(&mut self, key: RequestKey, keep_until: Instant) {
        let step = keep_until.as_micros().div_ceil(REMOVAL_STEP_US);
        let at = Instant::from_micros(step.saturating_mul(REMOVAL_STEP_US));
        self.removals.entry(at).or_default().push(key);
    }
}
