//! The replicated configuration as one reader of the log knows it.

use std::rc::Rc;

use rand::Rng;
use uuid::Uuid;

use super::{
    checkpoint::{CheckpointSettings, CheckpointTimer, LogPosition},
    content::{Content, validate_name},
    describe,
    evacuations::Evacuations,
    gap_scan::{GapScan, ScanResult},
    intent::Intent,
    plan::{KnownTarget, NoChangeSnafu, Plan, PlanError},
    position::Progress,
    record::{Batch, Confirm, MAX_SUMMARY_BYTES, Record},
    state::{Decision, PublishedEffect, PublishedRecords, State, VersionInfo},
};
use crate::{config::content::ContentError, routing::RouteTable, time::Instant};

/// Effect of applying a batch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BatchOutcome {
    /// Whether another version is in force than before.
    pub version_changed: bool,
    /// Whether `read_to` rose, which peers should learn of.
    pub advanced: bool,
    /// Decisions on the confirmations in the batch, in log order.
    pub decided: Vec<Decision>,
    /// Whether records between `read_to` and the oldest one that the log keeps are missing.
    pub gap: bool,
    /// Whether the log ended below `read_to`. The batch was ignored.
    pub older: bool,
    /// Number of unknown or invalid records that were skipped.
    pub skipped: u64,
}

/// What became of a state that was offered to [`ConfigReplica::adopt_state`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// The state replaced the old one.
    Adopted,
    /// The replica has read as far as the state.
    NotNewer,
    /// The state violates a limit or its offsets are out of order.
    Invalid,
    /// The state has read further, but has an older version or another content for the same one.
    Conflict,
}

impl Adoption {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Adoption::Adopted => "adopted",
            Adoption::NotNewer => "not-newer",
            Adoption::Invalid => "invalid",
            Adoption::Conflict => "conflict",
        }
    }
}

/// Counts of the input that a reader rejected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Unknown or invalid records that were skipped.
    pub skipped: u64,
    /// Batches of a log that ended below `read_to`.
    pub older: u64,
    /// Batches with inconsistent offsets.
    pub malformed: u64,
    /// Invalid states of peers.
    pub invalid_states: u64,
    /// States and checkpoints that contradict what this reader has applied.
    pub conflicts: u64,
}

/// Replica of the configuration at one reader of the log.
#[derive(Debug, Default)]
pub struct ConfigReplica {
    /// State after the applied records. Its `read_to` and version never decrease.
    state: State,
    /// Highest `oldest` of the batches applied. There is a gap if it is above `read_to`.
    oldest: u64,
    /// Scan of the records beyond the gap; `None` without a gap.
    scan: Option<GapScan>,
    timer: CheckpointTimer,
    counters: Counters,
}

impl ConfigReplica {
    /// Creates a replica that has read nothing.
    pub fn new() -> Self {
        ConfigReplica::default()
    }

    /// Creates a replica that has read nothing and writes checkpoints according to
    /// `settings`.
    pub fn with_settings(settings: CheckpointSettings) -> Self {
        ConfigReplica {
            timer: CheckpointTimer::new(settings),
            ..ConfigReplica::default()
        }
    }

    /// Returns the content in force.
    pub fn content(&self) -> &Content {
        self.state.content()
    }

    /// Returns the routes in force, or `None` where services are addressed by name.
    pub fn routes(&self) -> Option<&Rc<RouteTable>> {
        self.state.routes()
    }

    /// Returns the evacuations of data centres that the operator has published in the store.
    pub fn evacuations(&self) -> &Evacuations {
        self.state.evacuations()
    }

    /// Applies records that the operator has published in the store, and returns what they
    /// changed. They need no separate confirmation.
    pub fn apply_published(&mut self, published: PublishedRecords) -> PublishedEffect {
        self.state.apply_published(published)
    }

    /// Returns the version in force, or `None` before the first confirmation.
    pub fn version(&self) -> Option<u64> {
        self.state.version()
    }

    /// Returns how far this replica has read, also of the operator's records.
    pub fn progress(&self) -> Progress {
        self.state.progress()
    }

    /// Returns the first offset of the `config` stream that is not applied yet.
    pub fn read_to(&self) -> u64 {
        self.state.read_to()
    }

    /// Returns the offset to read from next. Beyond a gap this is above `read_to`.
    pub fn read_from(&self) -> u64 {
        let scanned = self.scan.as_ref().map_or(0, GapScan::next);
        self.read_to().max(self.oldest).max(scanned)
    }

    /// Returns whether records between `read_to` and the oldest one kept are missing.
    pub fn has_gap(&self) -> bool {
        self.oldest > self.read_to()
    }

    /// Returns the recent versions, oldest first; the last one is in force.
    pub fn recent_versions(&self) -> impl Iterator<Item = &VersionInfo> {
        self.state.versions()
    }

    /// Returns the decision on a confirmation, if it is among the recent ones.
    pub fn decision(&self, id: Uuid) -> Option<&Decision> {
        self.state.decision(id)
    }

    /// Returns the counts of rejected input.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns a copy of the state, for a peer.
    pub fn snapshot(&self) -> State {
        self.state.clone()
    }

    /// Makes a plan without the checks and warnings that need the known targets; see
    /// [`ConfigReplica::plan_with_targets`].
    ///
    /// # Errors
    ///
    /// Returns why the intent can't be planned.
    pub fn plan(
        &self,
        intent: &Intent,
        author: &str,
        expires_at_unix_ms: u64,
    ) -> Result<Plan, PlanError> {
        self.plan_with_targets(intent, author, expires_at_unix_ms, &[])
    }

    /// Makes a plan, with a warning for each service that loses all its known targets.
    ///
    /// # Errors
    ///
    /// Returns why the intent can't be planned. Shares that give weight zero to all known
    /// targets of a service are an error.
    pub fn plan_with_targets(
        &self,
        intent: &Intent,
        author: &str,
        expires_at_unix_ms: u64,
        targets: &[KnownTarget<'_>],
    ) -> Result<Plan, PlanError> {
        validate_name(author)?;
        let is_override = matches!(intent, Intent::Override { .. });
        if self.has_gap() && !is_override {
            return Err(PlanError::Gap {
                read_to: self.read_to(),
            });
        }
        let content = self.resolve(intent)?;
        content.validate()?;
        if let Some(service) = describe::service_without_weight(&content, targets) {
            let service = service.to_owned();
            return Err(ContentError::SharesAllZero { service }.into());
        }
        let old = self.content();
        if !is_override && content == *old {
            return NoChangeSnafu.fail();
        }
        let mut changes = describe::changes(old, &content);
        if is_override {
            changes.insert(
                0,
                "overrides the version in force and lost records".to_owned(),
            );
        }
        let mut stays = describe::stays(old, &content);
        stays.extend(describe::staying_targets(old, &content, targets));
        let plan = Plan {
            id: Uuid::new_v4(),
            base: self.version(),
            overrides: is_override.then(|| self.read_from()),
            changes,
            stays,
            warnings: describe::warnings(old, &content, targets),
            content,
            author: author.to_owned(),
            digest: String::new(),
            expires_at_unix_ms,
        };
        Ok(plan.with_digest())
    }

    fn resolve(&self, intent: &Intent) -> Result<Content, PlanError> {
        let mut unknown = 0;
        let earlier = |version| {
            unknown = version;
            self.state.content_at_version(version)
        };
        let content = intent.resolve(self.content(), earlier);
        content.ok_or(PlanError::UnknownVersion { version: unknown })
    }

    /// Returns the record that confirms a plan.
    ///
    /// The record has the id of the plan, so that appending it again, even through another
    /// node, has no effect.
    pub fn confirm_record(&self, plan: &Plan, author: &str, at_unix_ms: u64) -> Record {
        Record::Confirm(Confirm {
            id: plan.id,
            base: plan.base,
            overrides: plan.overrides,
            author: author.to_owned(),
            at_unix_ms,
            content: plan.content.clone(),
            summary: summarize(&plan.changes),
        })
    }

    /// Returns a checkpoint record with the state of this reader.
    pub fn checkpoint_record(&self, node: &str) -> Record {
        Record::Checkpoint {
            complete_to: self.read_to(),
            state: self.state.clone(),
            node: node.to_owned(),
        }
    }

    /// Returns whether this node should write a checkpoint now. Call it after each
    /// successful read, with the position that the read returned.
    pub fn checkpoint_due(
        &mut self,
        now: Instant,
        position: &LogPosition,
        members: usize,
        rng: &mut dyn Rng,
    ) -> bool {
        let read_to = self.read_to();
        // A reader that is behind, has a gap, or reads older data leaves it to other nodes.
        if self.version().is_none() || position.next != read_to {
            return false;
        }
        let last = self.state.checkpoint();
        self.timer
            .is_due(now, position, last, read_to, members, rng)
    }

    /// Replaces the state by that of a peer or a checkpoint if that is valid and has read
    /// further. Of another one only newer routes and evacuations are taken: the last record of the store,
    /// which a node reads when it starts, may hold an older version.
    ///
    /// Newer routes and evacuations of this replica stay in force. A peer that has read further has older
    /// ones if it started after the store was restored from a copy.
    pub fn adopt_state(&mut self, mut state: State) -> Adoption {
        if state.validate().is_err() {
            self.counters.invalid_states += 1;
            return Adoption::Invalid;
        }
        if state.progress().read_to <= self.progress().read_to {
            return self.adopt_newer_records(&state);
        }
        if self.conflicts_with(&state) {
            self.counters.conflicts += 1;
            return Adoption::Conflict;
        }
        state.merge_evacuations(self.evacuations());
        if let Some(table) = self.routes() {
            state.put_routes((**table).clone());
        }
        self.state = state;
        self.drop_finished_scan();
        Adoption::Adopted
    }

    fn adopt_newer_records(&mut self, state: &State) -> Adoption {
        let table = state.routes();
        let has_newer_routes = table.is_some_and(|table| self.state.put_routes((**table).clone()));
        let has_newer_evacuations = self.state.merge_evacuations(state.evacuations());
        match has_newer_routes || has_newer_evacuations {
            true => Adoption::Adopted,
            false => Adoption::NotNewer,
        }
    }

    /// Returns whether a state that has read further can't come from the log that was read
    /// here. This happens when the log lost its records and started again.
    fn conflicts_with(&self, state: &State) -> bool {
        state.version() < self.version()
            || (state.version() == self.version() && state.content() != self.content())
    }

    fn drop_finished_scan(&mut self) {
        if !self.has_gap() {
            self.scan = None;
        }
    }

    /// Applies the records of a read from [`ConfigReplica::read_from`] or below.
    ///
    /// Records that don't continue at `read_to` are left for a later read. While `read_from`
    /// is below `batch.next`, there are more records to read immediately.
    pub fn apply(&mut self, batch: &Batch) -> BatchOutcome {
        let (version, read_to) = (self.version(), self.read_to());
        let mut outcome = BatchOutcome::default();
        if batch.next < read_to {
            self.counters.older += 1;
            outcome.older = true;
        } else if batch.is_well_formed() {
            self.oldest = self.oldest.max(batch.oldest);
            self.apply_records(batch, &mut outcome);
            self.drop_finished_scan();
        } else {
            self.counters.malformed += 1;
        }
        outcome.version_changed = self.version() != version;
        outcome.advanced = self.read_to() > read_to;
        outcome.gap = self.has_gap();
        self.counters.skipped += outcome.skipped;
        outcome
    }

    fn apply_records(&mut self, batch: &Batch, outcome: &mut BatchOutcome) {
        for record in &batch.records {
            let offset = record.offset;
            if offset < self.read_to() {
                continue;
            }
            if offset == self.read_to() {
                self.apply_next_record(offset, &record.data, outcome);
            } else if self.has_gap() {
                self.scan_beyond_gap(offset, &record.data, outcome);
            } else {
                return;
            }
        }
    }

    /// Applies the record at `read_to`.
    fn apply_next_record(&mut self, offset: u64, data: &str, outcome: &mut BatchOutcome) {
        match Record::decode(data) {
            Ok(Record::Confirm(confirm)) => {
                outcome
                    .decided
                    .push(self.state.apply_confirmation(offset, confirm));
            }
            Ok(Record::Checkpoint {
                complete_to, state, ..
            }) if complete_to <= offset => {
                if complete_to == offset && state != self.state {
                    self.counters.conflicts += 1;
                }
                self.state.apply_checkpoint(offset, complete_to);
            }
            _ => {
                outcome.skipped += 1;
                self.state.skip_record(offset);
            }
        }
    }

    /// Scans a record beyond the gap, and resumes from it if it allows that.
    fn scan_beyond_gap(&mut self, offset: u64, data: &str, outcome: &mut BatchOutcome) {
        let scan = self.scan.get_or_insert_with(|| GapScan::new(offset));
        if offset < scan.next() {
            return;
        }
        match scan.scan_record(offset, data) {
            ScanResult::NotResumable => {}
            ScanResult::Checkpoint(state) => {
                // After a lower checkpoint, records up to the oldest one would be missing.
                if state.read_to() >= self.oldest {
                    self.adopt_state(*state);
                }
            }
            ScanResult::Override(confirm) => {
                outcome
                    .decided
                    .push(self.state.restart_from_override(offset, *confirm));
            }
        }
    }
}

/// Joins the changes and truncates the result to [`MAX_SUMMARY_BYTES`].
fn summarize(changes: &[String]) -> String {
    let mut summary = changes.join("; ");
    let end = summary.floor_char_boundary(MAX_SUMMARY_BYTES);
    summary.truncate(end);
    summary
}
