//! Search for a place to start behind a gap.

use super::{
    record::{Confirm, Record},
    state::{State, is_override_valid},
};

/// Records beyond a gap that were searched without finding a place to start.
#[derive(Debug)]
pub(super) struct GapScan {
    /// First offset searched; every offset from here to `next` was seen.
    start: u64,
    /// First offset not searched yet.
    next: u64,
    /// Last confirmation seen.
    last_confirmation: Option<u64>,
}

/// What a record beyond a gap allows.
#[derive(Debug)]
pub(super) enum ScanResult {
    /// Nothing.
    Nothing,
    /// To start from the state of a checkpoint.
    Checkpoint(Box<State>),
    /// To start from an override at this offset.
    Override(Box<Confirm>),
}

impl GapScan {
    /// Starts a search at `offset`.
    pub(super) fn new(offset: u64) -> Self {
        GapScan {
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
    pub(super) fn scan_record(&mut self, offset: u64, data: &str) -> ScanResult {
        if offset != self.next {
            *self = GapScan::new(offset);
        }
        self.next = offset + 1;
        match Record::decode(data) {
            Ok(Record::Confirm(confirm)) => self.scan_confirm(offset, confirm),
            Ok(Record::Checkpoint {
                complete_to, state, ..
            }) if complete_to <= offset => ScanResult::Checkpoint(Box::new(state)),
            _ => ScanResult::Nothing,
        }
    }

    fn scan_confirm(&mut self, offset: u64, confirm: Confirm) -> ScanResult {
        let last = self.last_confirmation.replace(offset);
        match confirm.overrides {
            Some(after) if after >= self.start && is_override_valid(after, offset, last) => {
                ScanResult::Override(Box::new(confirm))
            }
            _ => ScanResult::Nothing,
        }
    }
}
