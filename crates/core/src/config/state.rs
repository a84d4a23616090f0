//! State of a reader and the rule by which a record changes it.

use std::{collections::VecDeque, rc::Rc};

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};
use uuid::Uuid;

use super::{
    content::{Content, ContentError, json_len, validate_name},
    delta::Delta,
    record::{Confirm, MAX_SUMMARY_BYTES},
};
use crate::routing::RouteTable;

/// Decisions that a state remembers. They serve answers to operators; that an id is
/// in force at most once follows from its base alone.
pub const MAX_DECISIONS: usize = 64;

/// Versions that a state remembers, with the one in force.
pub const MAX_VERSIONS: usize = 16;

/// Bytes of JSON that the earlier versions may take, so that a state fits into one
/// frame between nodes. Beyond it the oldest versions are forgotten.
const MAX_HISTORY_BYTES: usize = 96 * 1024;

/// What became of a confirmation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The confirmation came into force; its offset is the version.
    InForce,
    /// Another version was in force than the confirmation was based on.
    Void {
        /// Id of the confirmation in force; nil if none has been.
        winner_id: Uuid,
        /// Who confirmed it.
        winner_author: String,
        /// Its offset.
        winner_offset: u64,
        /// Its changes in short.
        winner_summary: String,
    },
    /// A record with the same id was decided earlier. Reported when it is read, but
    /// not remembered.
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
    /// Who confirmed.
    pub author: String,
    /// What became of it.
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
    /// Who confirmed.
    pub author: String,
    /// Wall clock of the node that took the confirmation.
    pub at_unix_ms: u64,
    /// The changes in short.
    pub summary: String,
}

/// A version and the way to its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Version {
    info: VersionInfo,
    /// Turns the content of the next newer version into this one's; empty for the
    /// version in force.
    back: Delta,
}

/// What a reader knows after it has applied every record below `read_to`.
///
/// Two readers with the same `read_to` on one log have equal states.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// First offset that is not applied yet.
    read_to: u64,
    /// Content in force; the default before the first confirmation.
    content: Content,
    /// Oldest first; the last one is in force. At most [`MAX_VERSIONS`], rising.
    versions: VecDeque<Version>,
    /// Oldest first, at most [`MAX_DECISIONS`], rising, without duplicates.
    decisions: VecDeque<Decision>,
    /// Offset of the last confirmation of any verdict, against which an override is
    /// judged.
    last_confirmation: Option<u64>,
    /// Highest `complete_to` of the checkpoints read.
    checkpoint: Option<u64>,
    /// Routes that the operator has published; their version never decreases. `None` where
    /// services are addressed by name.
    #[serde(default)]
    routes: Option<Rc<RouteTable>>,
}

/// Why a state is refused.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[expect(missing_docs, reason = "The messages name the fields.")]
pub enum StateError {
    /// Offsets don't rise, or are not below `read_to`.
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
    /// Returns the first offset that is not applied yet.
    pub fn read_to(&self) -> u64 {
        self.read_to
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

    /// Takes over published routes that were read up to `read_to`.
    ///
    /// An older version than the one in force changes nothing else.
    pub(super) fn apply_routes(&mut self, read_to: u64, table: RouteTable) -> bool {
        self.read_to = self.read_to.max(read_to);
        if self.routes_version() >= Some(table.version()) {
            return false;
        }
        self.routes = Some(Rc::new(table));
        true
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

    /// Returns the remembered decision on a confirmation.
    pub fn decision(&self, id: Uuid) -> Option<&Decision> {
        self.decisions.iter().find(|decision| decision.id == id)
    }

    /// Returns the content of a recent version.
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

    /// Checks the bounds that every state of a reader keeps.
    ///
    /// # Errors
    ///
    /// Says what does not hold.
    pub fn validate(&self) -> Result<(), StateError> {
        self.content.validate()?;
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
            last.is_none_or(|at| at < self.read_to) && last >= known,
            OrderSnafu
        );
        ensure!(
            self.checkpoint.is_none_or(|to| to < self.read_to),
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
            if offset < floor || offset >= self.read_to {
                return false;
            }
            floor = offset + 1;
        }
        true
    }

    /// Advances past a record that has no effect.
    pub(super) fn skip_record(&mut self, offset: u64) {
        self.read_to = offset + 1;
    }

    /// Applies a checkpoint record, which changes nothing but the knowledge of it.
    pub(super) fn apply_checkpoint(&mut self, offset: u64, complete_to: u64) {
        self.skip_record(offset);
        self.checkpoint = self.checkpoint.max(Some(complete_to));
    }

    /// Decides a confirmation at `offset`, which is `read_to`.
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

    /// Begins a new history with an override.
    ///
    /// Everything older is forgotten even by a reader that knows it, because a reader
    /// that starts here has to reach an equal state.
    pub(super) fn restart_from_override(&mut self, offset: u64, confirm: Confirm) -> Decision {
        let decision = Decision {
            id: confirm.id,
            offset,
            author: confirm.author.clone(),
            verdict: Verdict::InForce,
        };
        *self = State {
            read_to: offset + 1,
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

/// Returns whether an override at `offset` is in force.
///
/// The answer depends only on the confirmations from `after` on, so that a reader
/// which has lost all older records gives the same one.
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

/// Returns whether a summary is in bounds. Control characters would take up to six
/// bytes each in JSON.
pub(super) fn is_valid_summary(summary: &str) -> bool {
    summary.len() <= MAX_SUMMARY_BYTES && !summary.chars().any(char::is_control)
}
