//! State of a reader and the rules by which records change it.

use std::{collections::VecDeque, rc::Rc};

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};
use uuid::Uuid;

use super::{
    content::{Content, ContentError, json_len, validate_name},
    delta::Delta,
    evacuations::{EvacuationChange, Evacuations, MAX_EVACUATION_RECORDS},
    position::{Position, Progress},
    record::{Confirm, MAX_SUMMARY_BYTES},
};
use crate::routing::RouteTable;

/// Number of recent decisions that a state keeps to answer operators. They are not needed
/// for correctness: the base alone ensures that an id is in force at most once.
pub const MAX_DECISIONS: usize = 64;

/// Number of recent versions that a state keeps, including the one in force.
pub const MAX_VERSIONS: usize = 16;

/// Limit of the JSON encoding of the earlier versions, so that a state fits into one frame
/// between nodes. Above it, the oldest versions are removed.
const MAX_HISTORY_BYTES: usize = 96 * 1024;

/// Outcome of a confirmation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The confirmation came into force; its offset is the version.
    InForce,
    /// Another version was in force than the confirmation was based on.
    Void {
        /// Id of the confirmation in force; nil if none has been.
        winner_id: Uuid,
        /// Operator who confirmed it.
        winner_author: String,
        /// Offset of its record.
        winner_offset: u64,
        /// Short text of its changes.
        winner_summary: String,
    },
    /// A record with the same id was decided earlier. This verdict is reported when the
    /// record is read, but not kept in the state.
    Duplicate,
}

/// Decision on one confirmation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Decision {
    /// Id of the plan and its confirmation.
    pub id: Uuid,
    /// Offset of the record.
    pub offset: u64,
    /// Operator who confirmed.
    pub author: String,
    /// Outcome of the confirmation.
    pub verdict: Verdict,
}

/// A version that is or was in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionInfo {
    /// Offset of the confirmation.
    pub version: u64,
    /// Id of the confirmation.
    pub id: Uuid,
    /// Operator who confirmed.
    pub author: String,
    /// Wall clock of the node that accepted the confirmation, in milliseconds since the
    /// Unix epoch.
    pub at_unix_ms: u64,
    /// Short text of the changes.
    pub summary: String,
}

/// A version and the delta that restores its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Version {
    info: VersionInfo,
    /// Turns the content of the next newer version into the content of this one; empty for
    /// the version in force.
    back: Delta,
}

/// State of a reader after it has applied every record below `read_to`.
///
/// Two readers with the same `read_to` on one log have equal states, unless the store was restored: a
/// reader that has started since does not know the routes that were lost.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// First position that is not applied yet. The `config` stream of a fleet of its own has era 0.
    read_to: Position,
    /// Content in force; the default content before the first confirmation.
    content: Content,
    /// Recent versions in ascending order, at most [`MAX_VERSIONS`]. The last one is in
    /// force.
    versions: VecDeque<Version>,
    /// Recent decisions in ascending order of their offsets, at most [`MAX_DECISIONS`],
    /// without duplicates.
    decisions: VecDeque<Decision>,
    /// Offset of the last confirmation of any verdict, which decides whether an override
    /// is in force.
    last_confirmation: Option<u64>,
    /// Highest `complete_to` of the checkpoints read.
    checkpoint: Option<u64>,
    /// Routes that the operator has published; `None` where services are addressed by name.
    /// Their version never decreases.
    #[serde(default)]
    routes: Option<Rc<RouteTable>>,
    /// Evacuations that the operator has requested or ended. May contain records from `read_to` on.
    #[serde(default)]
    evacuations: Evacuations,
}

/// Records that the operator has published in the store, as one read returned them.
#[derive(Clone, Debug)]
pub struct PublishedRecords {
    /// Position of the first record that was read; `None` for a snapshot of the newest records of all
    /// keys.
    pub from: Option<Position>,
    /// Position after the last record that was read, of the same era as `from`.
    pub read_to: Position,
    /// The newest routes; `None` if there are none among the records.
    pub table: Option<RouteTable>,
    /// Records about evacuations.
    pub evacuations: Vec<EvacuationChange>,
}

/// Effect of published records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PublishedEffect {
    /// Whether other routes are in force than before.
    pub routes_changed: bool,
    /// Whether the register of evacuations has changed.
    pub evacuations_changed: bool,
    /// Whether the records are the first ones of a new era.
    pub era_changed: bool,
    /// Whether the register has no room for one of the evacuations, which was ignored.
    pub is_register_full: bool,
}

impl PublishedEffect {
    /// Returns whether peers should learn of the records.
    pub fn is_change(self) -> bool {
        self.routes_changed || self.evacuations_changed || self.era_changed
    }
}

/// Why a state is invalid.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[expect(missing_docs, reason = "The messages name the fields.")]
pub enum StateError {
    /// Offsets are not in ascending order, or not below `read_to`.
    #[snafu(display("offsets of the state are out of order"))]
    Order,
    /// There are too many versions or decisions, or their texts are too long.
    #[snafu(display("the state is too large"))]
    Size,
    /// The content or a name is out of bounds.
    #[snafu(display("{source}"), context(false))]
    OutOfBounds { source: ContentError },
}

impl State {
    /// Returns the first offset of the `config` stream that is not applied yet.
    pub fn read_to(&self) -> u64 {
        self.read_to.offset
    }

    /// Returns how far the state reaches.
    pub fn progress(&self) -> Progress {
        Progress {
            read_to: self.read_to,
            routes: self.routes_version(),
        }
    }

    /// Returns the version in force, or `None` before the first confirmation.
    pub fn version(&self) -> Option<u64> {
        self.versions.back().map(|version| version.info.version)
    }

    /// Returns the content in force.
    pub fn content(&self) -> &Content {
        &self.content
    }

    /// Returns the routes in force.
    pub fn routes(&self) -> Option<&Rc<RouteTable>> {
        self.routes.as_ref()
    }

    /// Returns the evacuations of data centres.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Applies published records. Routes that are not newer than those in force are ignored.
    ///
    /// The records of a read continue at those of an earlier one, or are a snapshot. Without valid routes
    /// among them, peers may still have routes that were published before; see [`Progress`].
    pub(super) fn apply_published(&mut self, published: PublishedRecords) -> PublishedEffect {
        let evacuations = &published.evacuations;
        let evacuations_changed = match published.from {
            None => self
                .evacuations
                .apply_snapshot(published.read_to, evacuations),
            Some(_) => self.evacuations.apply_all(evacuations),
        };
        let is_known =
            |change: &EvacuationChange| self.evacuations.contains(change.data_centre.as_str());
        let is_register_full = !evacuations.iter().all(is_known);
        let era_changed = published.read_to.era > self.read_to.era;
        self.read_to = self.read_to.max(published.read_to);
        PublishedEffect {
            routes_changed: published.table.is_some_and(|table| self.put_routes(table)),
            evacuations_changed,
            era_changed,
            is_register_full,
        }
    }

    /// Puts routes in force if they are newer, and returns whether they were.
    pub(super) fn put_routes(&mut self, table: RouteTable) -> bool {
        let is_newer = self.routes_version() < Some(table.version());
        if is_newer {
            self.routes = Some(Rc::new(table));
        }
        is_newer
    }

    /// Adds the evacuations that an earlier state knew. Returns whether the register has changed.
    pub(super) fn merge_evacuations(&mut self, earlier: &Evacuations) -> bool {
        self.evacuations.merge(earlier)
    }

    /// Returns the version of the routes in force.
    pub(super) fn routes_version(&self) -> Option<u64> {
        self.routes.as_ref().map(|table| table.version())
    }

    /// Returns the highest `complete_to` of the checkpoints read.
    pub fn checkpoint(&self) -> Option<u64> {
        self.checkpoint
    }

    /// Returns the recent versions, oldest first; the last one is in force.
    pub fn versions(&self) -> impl Iterator<Item = &VersionInfo> {
        self.versions.iter().map(|version| &version.info)
    }

    /// Returns the decision on a confirmation, if it is among the recent ones.
    pub fn decision(&self, id: Uuid) -> Option<&Decision> {
        self.decisions.iter().find(|decision| decision.id == id)
    }

    /// Returns the content of a version, or `None` if it is not among the recent ones.
    pub fn content_at_version(&self, version: u64) -> Option<Content> {
        let at = self
            .versions
            .iter()
            .position(|v| v.info.version == version)?;
        let mut content = self.content.clone();
        for newer in self.versions.range(at..).rev() {
            newer.back.apply_to(&mut content);
        }
        Some(content)
    }

    /// Checks the content, the limits, and the order of the offsets.
    ///
    /// # Errors
    ///
    /// Returns the first check that failed.
    pub fn validate(&self) -> Result<(), StateError> {
        self.content.validate()?;
        self.evacuations.validate_names()?;
        ensure!(self.evacuations.len() <= MAX_EVACUATION_RECORDS, SizeSnafu);
        ensure!(self.versions.len() <= MAX_VERSIONS, SizeSnafu);
        ensure!(self.decisions.len() <= MAX_DECISIONS, SizeSnafu);
        ensure!(self.history_bytes() <= MAX_HISTORY_BYTES, SizeSnafu);
        let versions = self.versions.iter().map(|v| v.info.version);
        ensure!(self.is_rising_below_read_to(versions), OrderSnafu);
        let decided = self.decisions.iter().map(|d| d.offset);
        ensure!(self.is_rising_below_read_to(decided), OrderSnafu);
        let last = self.last_confirmation;
        let known = self.version().max(self.decisions.back().map(|d| d.offset));
        ensure!(
            last.is_none_or(|at| at < self.read_to.offset) && last >= known,
            OrderSnafu
        );
        ensure!(
            self.checkpoint.is_none_or(|to| to < self.read_to.offset),
            OrderSnafu
        );
        for version in &self.versions {
            validate_texts(&version.info.author, &version.info.summary)?;
        }
        for decision in &self.decisions {
            validate_decision(decision)?;
        }
        Ok(())
    }

    fn is_rising_below_read_to(&self, offsets: impl Iterator<Item = u64>) -> bool {
        let mut floor = 0;
        for offset in offsets {
            if offset < floor || offset >= self.read_to.offset {
                return false;
            }
            floor = offset + 1;
        }
        true
    }

    /// Advances `read_to` past the record at `offset`.
    pub(super) fn skip_record(&mut self, offset: u64) {
        self.read_to = Position::from(offset + 1);
    }

    /// Applies a checkpoint record, which only updates the newest known checkpoint.
    pub(super) fn apply_checkpoint(&mut self, offset: u64, complete_to: u64) {
        self.skip_record(offset);
        self.checkpoint = self.checkpoint.max(Some(complete_to));
    }

    /// Applies the confirmation at `offset`, which must equal `read_to`, and returns the
    /// decision on it.
    pub(super) fn apply_confirmation(&mut self, offset: u64, confirm: Confirm) -> Decision {
        if let Some(after) = confirm.overrides
            && is_override_valid(after, offset, self.last_confirmation)
        {
            return self.restart_from_override(offset, confirm);
        }
        let verdict = if self.decision(confirm.id).is_some() {
            Verdict::Duplicate
        } else if confirm.overrides.is_none() && confirm.base == self.version() {
            Verdict::InForce
        } else {
            self.void_verdict()
        };
        self.skip_record(offset);
        self.last_confirmation = Some(offset);
        let decision = Decision {
            id: confirm.id,
            offset,
            author: confirm.author.clone(),
            verdict,
        };
        if decision.verdict != Verdict::Duplicate {
            self.record_decision(decision.clone());
        }
        if decision.verdict == Verdict::InForce {
            self.put_in_force(offset, confirm);
        }
        decision
    }

    /// Starts a new history with an override.
    ///
    /// A reader that knows older versions and decisions drops them, because a reader that
    /// resumes here does not know them and has to reach an equal state.
    pub(super) fn restart_from_override(&mut self, offset: u64, confirm: Confirm) -> Decision {
        let decision = Decision {
            id: confirm.id,
            offset,
            author: confirm.author.clone(),
            verdict: Verdict::InForce,
        };
        *self = State {
            read_to: Position::from(offset + 1),
            last_confirmation: Some(offset),
            ..State::default()
        };
        self.record_decision(decision.clone());
        self.put_in_force(offset, confirm);
        decision
    }

    fn record_decision(&mut self, decision: Decision) {
        if self.decisions.len() == MAX_DECISIONS {
            self.decisions.pop_front();
        }
        self.decisions.push_back(decision);
    }

    fn put_in_force(&mut self, offset: u64, confirm: Confirm) {
        if let Some(last) = self.versions.back_mut() {
            last.back = Delta::between(&confirm.content, &self.content);
        }
        self.content = confirm.content;
        self.versions.push_back(Version {
            info: VersionInfo {
                version: offset,
                id: confirm.id,
                author: confirm.author,
                at_unix_ms: confirm.at_unix_ms,
                summary: confirm.summary,
            },
            back: Delta::default(),
        });
        while self.versions.len() > MAX_VERSIONS || self.history_bytes() > MAX_HISTORY_BYTES {
            self.versions.pop_front();
        }
    }

    fn history_bytes(&self) -> usize {
        let earlier = self.versions.iter().rev().skip(1);
        earlier.map(|version| json_len(&version.back)).sum()
    }

    fn void_verdict(&self) -> Verdict {
        match self.versions.back() {
            Some(Version { info, .. }) => Verdict::Void {
                winner_id: info.id,
                winner_author: info.author.clone(),
                winner_offset: info.version,
                winner_summary: info.summary.clone(),
            },
            None => Verdict::Void {
                winner_id: Uuid::nil(),
                winner_author: String::new(),
                winner_offset: 0,
                winner_summary: "no confirmation is in force".to_owned(),
            },
        }
    }
}

/// Returns whether an override at `offset` comes into force: whether there is no
/// confirmation from `after` to `offset`.
///
/// The result does not depend on records below `after`, so that a reader that lacks them
/// gets the same result.
pub(super) fn is_override_valid(after: u64, offset: u64, last_confirmation: Option<u64>) -> bool {
    after <= offset && last_confirmation.is_none_or(|last| last < after)
}

fn validate_decision(decision: &Decision) -> Result<(), StateError> {
    validate_texts(&decision.author, "")?;
    match &decision.verdict {
        Verdict::Void {
            winner_author,
            winner_summary,
            ..
        } if !winner_author.is_empty() => validate_texts(winner_author, winner_summary),
        Verdict::Duplicate => SizeSnafu.fail(),
        _ => Ok(()),
    }
}

fn validate_texts(author: &str, summary: &str) -> Result<(), StateError> {
    validate_name(author)?;
    ensure!(is_valid_summary(summary), SizeSnafu);
    Ok(())
}

/// Returns whether the length and the characters of a summary are in bounds. Control
/// characters are not allowed because they take up to six bytes each in JSON.
pub(super) fn is_valid_summary(summary: &str) -> bool {
    summary.len() <= MAX_SUMMARY_BYTES && !summary.chars().any(char::is_control)
}
