//! The records that an operator writes to the store, and restores of the store from a copy of it.

use std::collections::BTreeMap;

use crate::{
    clock::now_us,
    log::{LogHandle, StoreCopy},
};

/// Topic of the operator's records in the store.
pub(super) const CONFIG_TOPIC: &str = "keyed.op";

/// The newest write of a key.
struct Write {
    /// Number of the write, from 1.
    number: u64,
    value: Vec<u8>,
}

/// The newest record of a key that the store has, or had until it expired.
#[derive(Clone, Copy)]
struct StoredRecord {
    /// Number of the write.
    number: u64,
    offset: u64,
}

/// An operator who knows the newest value of each key, and which of them the store has lost.
#[derive(Default)]
pub(super) struct Operator {
    write_count: u64,
    newest: BTreeMap<String, Write>,
    stored: BTreeMap<String, StoredRecord>,
    copies: BTreeMap<usize, (StoreCopy, BTreeMap<String, StoredRecord>)>,
    /// Whether the lost records are to be written again once the store can be read.
    is_rewrite_wanted: bool,
    /// When the store failed before the last restore, in µs since the Unix epoch.
    pub(super) failed_at_us: u64,
    /// Number of restores that lost a record of the operator.
    pub(super) lossy_restores: u64,
}

impl Operator {
    /// Writes a value of a key.
    pub(super) fn write(&mut self, log: &LogHandle, key: &str, value: &[u8]) {
        self.write_count += 1;
        let (number, value) = (self.write_count, value.to_vec());
        let offset = log.append_keyed(CONFIG_TOPIC, key, &value);
        let stored = StoredRecord { number, offset };
        self.stored.insert(key.to_owned(), stored);
        self.newest.insert(key.to_owned(), Write { number, value });
    }

    /// Returns whether a restore has lost the newest value of a key, which is not yet written again.
    pub(super) fn is_lost(&self, key: &str) -> bool {
        let stored = self.stored.get(key).map(|record| record.number);
        self.newest.get(key).map(|write| write.number) != stored
    }

    /// Returns the offset of the newest record of a key in the store.
    pub(super) fn offset(&self, key: &str) -> Option<u64> {
        self.stored.get(key).map(|record| record.offset)
    }

    /// Returns whether the store has the newest value of a key.
    pub(super) fn is_on_store(&self, log: &LogHandle, key: &str) -> bool {
        let offset = self.offset(key);
        let records = log.records(CONFIG_TOPIC);
        !self.is_lost(key) && records.iter().any(|record| Some(record.offset) == offset)
    }

    /// Takes a copy of the store.
    pub(super) fn copy_store(&mut self, log: &LogHandle, number: usize) {
        self.copies
            .insert(number, (log.copy(), self.stored.clone()));
    }

    /// Notes that the store fails and will be restored.
    pub(super) fn on_store_failed(&mut self) {
        self.failed_at_us = now_us();
    }

    /// Restores the store from the copy with the given number, if it was taken.
    pub(super) fn restore_store(&mut self, log: &LogHandle, number: usize) {
        let Some((copy, stored)) = self.copies.remove(&number) else {
            return;
        };
        log.restore(&copy);
        self.stored = stored;
        let is_lossy = self.newest.keys().any(|key| self.is_lost(key));
        self.lossy_restores += u64::from(is_lossy);
    }

    /// Sets that the lost records are to be written again. [`rewrite_lost`](Self::rewrite_lost) does
    /// so.
    pub(super) fn want_rewrite(&mut self) {
        self.is_rewrite_wanted = true;
    }

    /// If wanted, writes the newest value of each lost key again, in the order in which they were
    /// written first. Returns the keys.
    pub(super) fn rewrite_lost(&mut self, log: &LogHandle) -> Vec<String> {
        if !std::mem::take(&mut self.is_rewrite_wanted) {
            return Vec::new();
        }
        let lost = self.newest.iter().filter(|(key, _)| self.is_lost(key));
        let mut lost: Vec<_> = lost
            .map(|(key, write)| (write.number, key.clone(), write.value.clone()))
            .collect();
        lost.sort_unstable();
        for (_, key, value) in &lost {
            self.write(log, key, value);
        }
        lost.into_iter().map(|(_, key, _)| key).collect()
    }
}
