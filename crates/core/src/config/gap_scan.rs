//! Scan for a record beyond a gap from which a reader can resume.

use super::{
    record::{Confirm, Record},
    state::{State, is_override_valid},
};

/// Records beyond a gap that were scanned without finding one to resume from.
#[derive(Debug)]
pub(super) struct GapScan {
    /// First offset scanned. Every record from here to `next` was scanned.
    start: u64,
    /// First offset not scanned yet.
    next: u64,
    /// Offset of the last confirmation scanned.
    last_confirmation: Option<u64>,
}

/// Result of scanning a record beyond a gap.
#[derive(Debug)]
pub(super) enum ScanResult {
    /// The reader can't resume from the record.
    NotResumable,
    /// The reader may resume from the state of this checkpoint.
    Checkpoint(Box<State>),
    /// The reader can resume from this override, which is in force.
    Override(Box<Confirm>),
}

impl GapScan {
    /// Creates a scan that starts at `offset`.
    pub(super) fn new(offset: u64) -> Self {
        GapScan {
            start: offset,
            next: offset,
            last_confirmation: None,
        }
    }

    /// Returns the first offset not scanned yet.
    pub(super) fn next(&self) -> u64 {
        self.next
    }

    /// Scans the record at `offset`, which must not be below `next`. Starts over if records
    /// were left out.
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
            _ => ScanResult::NotResumable,
        }
    }

    fn scan_confirm(&mut self, offset: u64, confirm: Confirm) -> ScanResult {
        let last = self.last_confirmation.replace(offset);
        match confirm.overrides {
            Some(after) if after >= self.start && is_override_valid(after, offset, last) => {
                ScanResult::Override(Box::new(confirm))
            }
            _ => ScanResult::NotResumable,
        }
    }
}
