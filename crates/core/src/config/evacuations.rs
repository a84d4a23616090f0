//! Evacuated data centres, whose targets get no requests.
//!
//! Operators write and remove one record for each data centre. The records have no version; their positions
//! order them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{ContentError, Position, content::validate_name};
use crate::ids::DataCentre;

/// Largest number of data centres with a record, so that a state stays small.
pub const MAX_EVACUATION_RECORDS: usize = 64;

/// A record that requests or ends the evacuation of a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Data centre that the record names.
    pub data_centre: DataCentre,
    /// Position of the record.
    pub position: Position,
    /// Whether the data centre is evacuated from then on.
    pub is_evacuated: bool,
}

/// Last known record of a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EvacuationState {
    /// Position of the record. Of a record that was removed before a snapshot, the position of the last
    /// record of the snapshot; of one that a restore of the store has lost, the end of the first snapshot
    /// after it.
    #[serde(rename = "offset")]
    pub position: Position,
    /// Whether the data centre is evacuated.
    pub is_evacuated: bool,
}

/// Register of evacuations. Registers with the same records are equal, in whichever order they were
/// applied, unless there are more than [`MAX_EVACUATION_RECORDS`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Evacuations {
    /// At most [`MAX_EVACUATION_RECORDS`]. Removed evacuations stay, so that an older state can't bring
    /// them back.
    by_data_centre: BTreeMap<DataCentre, EvacuationState>,
}

impl Evacuations {
    /// Returns whether a data centre is evacuated.
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        let state = self.by_data_centre.get(data_centre);
        state.is_some_and(|state| state.is_evacuated)
    }

    /// Returns all known records in the order of the data centres, removed evacuations included.
    pub fn iter(&self) -> impl Iterator<Item = (&DataCentre, &EvacuationState)> {
        self.by_data_centre.iter()
    }

    /// Returns the evacuated data centres.
    pub fn evacuated(&self) -> impl Iterator<Item = (&DataCentre, &EvacuationState)> {
        self.iter().filter(|(_, state)| state.is_evacuated)
    }

    /// Returns whether a record of a data centre is known.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.by_data_centre.contains_key(data_centre)
    }

    /// Applies a record of the log unless a later one of the same data centre is known. Another decision at
    /// the same position is one that the store has lost. Returns whether the register has changed.
    pub fn apply(&mut self, change: &EvacuationChange) -> bool {
        let state = EvacuationState {
            position: change.position,
            is_evacuated: change.is_evacuated,
        };
        let known = self.by_data_centre.get_mut(&change.data_centre);
        if let Some(known) = known.filter(|known| known.position == state.position) {
            return std::mem::replace(known, state) != state;
        }
        self.put(&change.data_centre, state)
    }

    /// Applies the newest records of all data centres up to `end`: a known evacuation that is not
    /// among them was removed. Returns whether the register has changed.
    ///
    /// A known record of an earlier era is compared by its offset, because the store was restored from a
    /// copy of the log that it was in. If the snapshot does not reach it, the store has lost it: it takes
    /// precedence over the snapshot, until a later record. A record at `end` replaces it, see
    /// [`Evacuations::apply`].
    pub fn apply_snapshot(&mut self, end: Position, newest: &[EvacuationChange]) -> bool {
        let mut changed = false;
        let last = end.before();
        for (data_centre, state) in &mut self.by_data_centre {
            let is_missing = newest.iter().all(|known| known.data_centre != *data_centre);
            let is_lost = state.position.era < end.era && state.position.offset >= end.offset;
            let is_removed = state.is_evacuated && is_missing && state.position < last;
            if is_lost || is_removed {
                *state = EvacuationState {
                    // A lost record is ahead of all that the copy has.
                    position: if is_lost { end } else { last },
                    is_evacuated: is_lost && state.is_evacuated,
                };
                changed = true;
            }
        }
        self.apply_all(newest) || changed
    }

    /// Applies records like [`Evacuations::apply`]. Returns whether the register has changed.
    pub fn apply_all(&mut self, changes: &[EvacuationChange]) -> bool {
        let mut changed = false;
        for change in changes {
            changed |= self.apply(change);
        }
        changed
    }

    /// Adds the records of another register. The higher position takes precedence. Returns whether this
    /// register has changed.
    pub fn merge(&mut self, other: &Evacuations) -> bool {
        let mut changed = false;
        for (data_centre, state) in other.iter() {
            changed |= self.put(data_centre, *state);
        }
        changed
    }

    fn put(&mut self, data_centre: &DataCentre, state: EvacuationState) -> bool {
        if let Some(known) = self.by_data_centre.get_mut(data_centre) {
            let is_newer = known.position < state.position;
            if is_newer {
                *known = state;
            }
            return is_newer;
        }
        if self.by_data_centre.len() >= MAX_EVACUATION_RECORDS && !self.drop_oldest_removal() {
            return false;
        }
        self.by_data_centre.insert(data_centre.clone(), state);
        true
    }

    /// Drops the oldest removed evacuation. Returns false if there is none.
    fn drop_oldest_removal(&mut self) -> bool {
        let removed = self.iter().filter(|(_, state)| !state.is_evacuated);
        let oldest = removed.min_by_key(|(_, state)| state.position);
        let Some(data_centre) = oldest.map(|(data_centre, _)| data_centre.clone()) else {
            return false;
        };
        self.by_data_centre.remove(&data_centre).is_some()
    }

    /// Returns the number of known records, removed evacuations included.
    pub(super) fn len(&self) -> usize {
        self.by_data_centre.len()
    }

    /// Checks the names of the data centres.
    ///
    /// # Errors
    ///
    /// Returns the first name that is out of bounds.
    pub(super) fn validate_names(&self) -> Result<(), ContentError> {
        let mut names = self.by_data_centre.keys();
        names.try_for_each(|data_centre| validate_name(data_centre.as_str()))
    }
}

impl EvacuationChange {
    /// Returns whether the name of the data centre is in bounds.
    pub fn is_valid(&self) -> bool {
        validate_name(self.data_centre.as_str()).is_ok()
    }
}
