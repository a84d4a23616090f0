//! Evacuations of data centres by an operator, through records in the store.

use std::collections::{BTreeMap, BTreeSet};

use super::injector::CONFIG_TOPIC;
use crate::{
    clock::now_us,
    fleet::Fleet,
    history::Record,
    log::{DownMode, LogHandle},
};

/// Time in µs for which nodes must be able to read the store after the acknowledgement of an
/// evacuation: the limit `configMs` of the users' sites. If the store fails earlier, all nodes may
/// be cut off from the news, and a guard that is cut off keeps its last known state.
pub(super) const MIN_READABLE_US: u64 = 2_000_000;

/// Time in µs after the acknowledgement of an evacuation from which no request may start: the limit
/// `evacuateMs` of the users' sites.
pub(super) const EVACUATION_GRACE_US: u64 = 5_000_000;

/// A record of an evacuation that was written and not removed by the operator.
struct WrittenRecord {
    offset: u64,
    /// Whether the store has dropped the record, which ends the evacuation.
    is_expired: bool,
    /// Since when nodes can read the record, in µs since the Unix epoch; `None` while the bound of
    /// the evacuation does not apply.
    readable_since_us: Option<u64>,
}

/// The evacuations that the operator wants, and those that are written to the store.
#[derive(Default)]
pub(super) struct Evacuations {
    wanted: BTreeSet<String>,
    written: BTreeMap<String, WrittenRecord>,
    /// The times between which the bound of an evacuation applies, for each target concerned.
    pub(super) records: Vec<Record>,
    /// Number of times that the bound applied for longer than [`EVACUATION_GRACE_US`], so that the
    /// check could fail.
    pub(super) checkable: u64,
}

impl Evacuations {
    /// Sets whether a data centre is to be evacuated. [`update`](Self::update) writes it to the store.
    pub(super) fn set_wanted(&mut self, data_centre: &str, is_wanted: bool) {
        match is_wanted {
            true => self.wanted.insert(data_centre.to_owned()),
            false => self.wanted.remove(data_centre),
        };
    }

    /// Writes the wanted changes, and notes since when they can be read. An operator can only write
    /// while the store answers, so a change waits for the end of a fault that prevents that.
    pub(super) fn update(&mut self, fleet: &Fleet) {
        if !is_readable(&fleet.log) {
            self.suspend_unread(fleet);
            return;
        }
        self.end_unwanted(fleet);
        for data_centre in &self.wanted {
            let written =
                self.written
                    .entry(data_centre.clone())
                    .or_insert_with(|| WrittenRecord {
                        offset: append(&fleet.log, data_centre, b"{}"),
                        is_expired: false,
                        readable_since_us: None,
                    });
            if written.readable_since_us.is_none() && !written.is_expired {
                let at = now_us();
                written.readable_since_us = Some(at);
                let targets = targets_of(fleet, data_centre);
                let records = targets.map(|target| Record::Evacuated { at, target });
                self.records.extend(records);
            }
        }
    }

    /// Notes the evacuations that end because the store is about to drop all records but the newest.
    pub(super) fn on_expiry(&mut self, fleet: &Fleet) {
        let newest = fleet.log.records(CONFIG_TOPIC).last().map(|r| r.offset);
        let is_dropped = |offset| newest.is_some_and(|newest| offset < newest);
        let mut written = std::mem::take(&mut self.written);
        for (data_centre, record) in &mut written {
            if is_dropped(record.offset) {
                record.is_expired = true;
                self.end_bound(fleet, data_centre, record);
            }
        }
        self.written = written;
    }

    fn suspend_unread(&mut self, fleet: &Fleet) {
        let now = now_us();
        let is_unread = |since: u64| now.saturating_sub(since) < MIN_READABLE_US;
        let mut written = std::mem::take(&mut self.written);
        for (data_centre, record) in &mut written {
            if record.readable_since_us.is_some_and(is_unread) {
                self.end_bound(fleet, data_centre, record);
            }
        }
        self.written = written;
    }

    /// Removes the records that are no longer wanted, also those that have expired, because some nodes
    /// may not have noticed that yet.
    fn end_unwanted(&mut self, fleet: &Fleet) {
        let mut written = std::mem::take(&mut self.written);
        written.retain(|data_centre, record| {
            let is_wanted = self.wanted.contains(data_centre);
            if !is_wanted {
                self.end_bound(fleet, data_centre, record);
                append(&fleet.log, data_centre, b"");
            }
            is_wanted
        });
        self.written = written;
    }

    /// Notes that the bound of an evacuation no longer applies, if it did.
    fn end_bound(&mut self, fleet: &Fleet, data_centre: &str, record: &mut WrittenRecord) {
        let Some(since_us) = record.readable_since_us.take() else {
            return;
        };
        let at = now_us();
        self.checkable += u64::from(at.saturating_sub(since_us) > EVACUATION_GRACE_US);
        let targets = targets_of(fleet, data_centre);
        let records = targets.map(|target| Record::Returned { at, target });
        self.records.extend(records);
    }
}

fn targets_of<'a>(fleet: &'a Fleet, data_centre: &'a str) -> impl Iterator<Item = String> + 'a {
    let hosts = fleet.targets.iter().zip(fleet.hosts());
    hosts
        .filter(move |(_, host)| host.data_centre == data_centre)
        .map(|(target, _)| target.name().to_owned())
}

fn append(log: &LogHandle, data_centre: &str, value: &[u8]) -> u64 {
    log.append_keyed(CONFIG_TOPIC, &format!("evacuate/{data_centre}"), value)
}

/// Returns whether nodes can read the store, late or not.
pub(super) fn is_readable(log: &LogHandle) -> bool {
    let faults = log.faults();
    faults.down == DownMode::No && !faults.silent && !faults.refuse
}
