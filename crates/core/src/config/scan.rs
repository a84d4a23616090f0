//! Search for a place to start behind a gap.

use super::{
    record::{Confirm, Record},
    state::{State, overrides},
};

/// Records beyond a gap that were searched without finding a place to start.
#[derive(Debug)]
pub(super) struct Scan {
    /// First offset searched; every offset from here to `next` was seen.
    start: u64,
    /// First offset not searched yet.
    next: u64,
    /// Last confirmation seen.
    last_confirmation: Option<u64>,
}

/// What a record beyond a gap allows.
#[derive(Debug)]
pub(super) enum Found {
    /// Nothing.
    Nothing,
    /// To start from the state of a checkpoint.
    Checkpoint(Box<State>),
    /// To start from an override at this offset.
    Override(Box<Confirm>),
}

impl Scan {
    /// Starts a search at `offset`.
    pub(super) fn new(offset: u64) -> Self {
        Scan {
            start: offset,
            next: offset,
            last_confirmation: None,
        }
    }

    /// Returns the first offset not searched yet.
    pub(super) fn next(&self) -> u64 {
        self.next
    }

    /// Searches the record at `offset`, which is not below `next`.
    pub(super) fn see(&mut self, offset: u64, data: &str) -> Found {
        if offset != self.next {
            *self = Scan::new(offset);
        }
        self.next = offset + 1;
        match Record::decode(data) {
            Ok(Record::Confirm(confirm)) => self.see_confirm(offset, confirm),
            Ok(Record::Checkpoint {
                complete_to, state, ..
            }) if complete_to <= offset => Found::Checkpoint(Box::new(state)),
            _ => Found::Nothing,
        }
    }

    fn see_confirm(&mut self, offset: u64, confirm: Confirm) -> Found {
        let last = self.last_confirmation.replace(offset);
        match confirm.overrides {
            Some(after) if after >= self.start && overrides(after, offset, last) => {
                Found::Override(Box::new(confirm))
            }
            _ => Found::Nothing,
        }
    }
}
