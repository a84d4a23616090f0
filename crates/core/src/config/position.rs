//! Positions in the log of the store, which can be restored from an older copy.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Position in the log: the era of the store and an offset.
///
/// The era rises with each restore of the store, after which offsets are given out again. Offsets of
/// different eras can't be compared, so positions are ordered by the era first. A store that does not
/// state its era has era 0.
///
/// In formats that people read, a position of era 0 is a plain number, as in records that were written
/// before positions had an era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// Number of the era.
    pub era: u64,
    /// Offset within the era.
    pub offset: u64,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum ReadablePosition {
    Offset(u64),
    EraAndOffset(u64, u64),
}

impl Position {
    /// Returns the position `count` records later.
    pub fn after(self, count: u64) -> Self {
        Position {
            offset: self.offset.saturating_add(count),
            ..self
        }
    }

    /// Returns the position of the record before this one, or the first position of the era.
    pub fn before(self) -> Self {
        Position {
            offset: self.offset.saturating_sub(1),
            ..self
        }
    }
}

impl From<u64> for Position {
    /// Returns the position at `offset` of a log that has no eras.
    fn from(offset: u64) -> Self {
        Position { era: 0, offset }
    }
}

impl Serialize for Position {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() && self.era == 0 {
            return self.offset.serialize(serializer);
        }
        (self.era, self.offset).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Position {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            let (era, offset) = Deserialize::deserialize(deserializer)?;
            return Ok(Position { era, offset });
        }
        Ok(match ReadablePosition::deserialize(deserializer)? {
            ReadablePosition::Offset(offset) => Position::from(offset),
            ReadablePosition::EraAndOffset(era, offset) => Position { era, offset },
        })
    }
}

/// How far a node has read, by which peers decide who has something newer.
///
/// After a restore, the node that has read further can have older routes: it may know only those of the
/// copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// First position that the node has not read.
    pub read_to: Position,
    /// Version of the routes in force; `None` without routes.
    pub routes: Option<u64>,
}

impl Progress {
    /// Returns whether a node with this progress has something that one with `other` lacks.
    pub fn is_ahead_of(self, other: Progress) -> bool {
        self.read_to > other.read_to || self.routes > other.routes
    }

    /// Returns the progress of a node that knows what both nodes know.
    pub fn merged(self, other: Progress) -> Progress {
        Progress {
            read_to: self.read_to.max(other.read_to),
            routes: self.routes.max(other.routes),
        }
    }
}
