//! Evacuations of data centres by an operator, through records in the store.

use std::collections::{BTreeMap, BTreeSet};

use super::operator::{CONFIG_TOPIC, Operator};
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
#[derive(Default)]
struct WrittenRecord {
    /// Whether the store has dropped the record, which ends the evacuation.
    is_expired: bool,
    /// Since when nodes can read the record, in µs since the Unix epoch, by the number of the host to
    /// which the bound of the evacuation applies.
    readable_since_us: BTreeMap<usize, u64>,
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
    ///
    /// While a restore has lost a record, its bound goes on, except at the hosts of `uninformed`
    /// nodes, which may not know it. It begins again when the record is written again.
    pub(super) fn update(&mut self, fleet: &Fleet, operator: &mut Operator, uninformed: &[usize]) {
        for (data_centre, record) in &mut self.written {
            if operator.is_lost(&key(data_centre)) {
                self.checkable += end_bound(&mut self.records, fleet, record, |host, _| {
                    uninformed.contains(&host)
                });
            }
        }
        if !is_readable(&fleet.log) {
            self.suspend_unread(fleet);
            return;
        }
        self.end_unwanted(fleet, operator);
        for data_centre in &self.wanted {
            let key = key(data_centre);
            let written = self.written.entry(data_centre.clone()).or_insert_with(|| {
                operator.write(&fleet.log, &key, b"{}");
                WrittenRecord::default()
            });
            if written.is_expired || operator.is_lost(&key) {
                continue;
            }
            let at = now_us();
            for (host, target) in targets_of(fleet, data_centre) {
                written.readable_since_us.entry(host).or_insert_with(|| {
                    self.records.push(Record::Evacuated { at, target });
                    at
                });
            }
        }
    }

    /// Notes that a record was lost and is written again.
    pub(super) fn on_rewritten(&mut self, rewritten: &str) {
        for (data_centre, record) in &mut self.written {
            record.is_expired &= key(data_centre) != rewritten;
        }
    }

    /// Notes the evacuations that end because the store is about to drop all records but the newest.
    pub(super) fn on_expiry(&mut self, fleet: &Fleet, operator: &Operator) {
        let newest = fleet.log.records(CONFIG_TOPIC).last().map(|r| r.offset);
        for (data_centre, record) in &mut self.written {
            let key = key(data_centre);
            if !operator.is_lost(&key) && operator.offset(&key) < newest {
                record.is_expired = true;
                self.checkable += end_bound(&mut self.records, fleet, record, |_, _| true);
            }
        }
    }

    fn suspend_unread(&mut self, fleet: &Fleet) {
        let now = now_us();
        for record in self.written.values_mut() {
            self.checkable += end_bound(&mut self.records, fleet, record, |_, since_us| {
                now.saturating_sub(since_us) < MIN_READABLE_US
            });
        }
    }

    /// Removes the records that are no longer wanted, also those that have expired, because some nodes
    /// may not have noticed that yet.
    fn end_unwanted(&mut self, fleet: &Fleet, operator: &mut Operator) {
        self.written.retain(|data_centre, record| {
            let is_wanted = self.wanted.contains(data_centre);
            if !is_wanted {
                self.checkable += end_bound(&mut self.records, fleet, record, |_, _| true);
                operator.write(&fleet.log, &key(data_centre), b"");
            }
            is_wanted
        });
    }
}

/// Notes that the bound of an evacuation no longer applies at the hosts chosen by their number and the
/// time since when the bound applied there. Returns 1 if it applied long enough to be checked at any of
/// them, or else 0.
fn end_bound(
    records: &mut Vec<Record>,
    fleet: &Fleet,
    record: &mut WrittenRecord,
    is_ended: impl Fn(usize, u64) -> bool,
) -> u64 {
    let at = now_us();
    let mut is_checkable = false;
    record.readable_since_us.retain(|host, since_us| {
        let is_ended = is_ended(*host, *since_us);
        if is_ended {
            let target = fleet.targets[*host].name().to_owned();
            records.push(Record::Returned { at, target });
            is_checkable |= at.saturating_sub(*since_us) > EVACUATION_GRACE_US;
        }
        !is_ended
    });
    u64::from(is_checkable)
}

/// Returns the numbers of the hosts of a data centre and the names of their targets.
fn targets_of<'a>(
    fleet: &'a Fleet,
    data_centre: &'a str,
) -> impl Iterator<Item = (usize, String)> + 'a {
    let hosts = fleet.targets.iter().zip(fleet.hosts()).enumerate();
    hosts
        .filter(move |(_, (_, host))| host.data_centre == data_centre)
        .map(|(i, (target, _))| (i, target.name().to_owned()))
}

/// Returns the key of the record of an evacuation.
fn key(data_centre: &str) -> String {
    format!("evacuate/{data_centre}")
}

/// Returns whether nodes can read the store, late or not.
pub(super) fn is_readable(log: &LogHandle) -> bool {
    let faults = log.faults();
    faults.down == DownMode::No && !faults.silent && !faults.refuse
}
