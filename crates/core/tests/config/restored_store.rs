//! A fleet whose store is restored from an older copy: a model of the operator's log, and replicas that
//! read it and exchange their states.

use std::collections::{BTreeMap, BTreeSet};

use googletest::prelude::*;
use plantainpost_core::{
    config::{
        Adoption, ConfigReplica, EvacuationChange, Position, Progress, PublishedRecords, State,
    },
    ids::DataCentre,
    routing::{CallerLimits, RouteTable},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::harness::{batch, intent};

/// Number of replicas.
const REPLICAS: usize = 3;

/// Number of copies of the log that are kept.
const COPIES: usize = 2;

/// Names of the data centres that the operator evacuates.
const DATA_CENTRES: [&str; 3] = ["arima", "pos", "sando"];

/// Number of random runs, and of steps in each before the fleet settles.
const RUNS: u64 = 3_000;
const STEPS: usize = 30;

/// What the operator writes: routes, or whether a data centre is evacuated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Value {
    Routes(u64),
    Evacuation(usize, bool),
}

impl Value {
    /// Returns the number of the key: that of the data centre, or one after all of them for the routes.
    fn key(self) -> usize {
        match self {
            Value::Routes(_) => DATA_CENTRES.len(),
            Value::Evacuation(data_centre, _) => data_centre,
        }
    }
}

/// A value and its number in the order in which the operator wrote the values. A value that is written
/// again after its loss keeps its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Write {
    number: usize,
    value: Value,
}

/// One step of a run. A step that is not possible has no effect, so that any steps of a run can be left
/// out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The operator writes a table of a higher version.
    WriteRoutes,
    /// The operator requests or ends an evacuation.
    WriteEvacuation(usize, bool),
    /// A copy of the log is taken in place of an earlier one with this number.
    Copy(usize),
    /// The store is restored from a copy.
    Restore(usize),
    /// The operator writes the first of the lost values again.
    WriteAgain,
    /// A replica reads the newest records of all keys.
    ReadSnapshot(usize),
    /// A replica reads on as `store_sync` does.
    ReadOn(usize),
    /// A replica sends a read whose answer arrives in a later step. `true` for a snapshot.
    SendRead(usize, bool),
    /// The answer to the read that was sent arrives.
    ReceiveAnswer(usize),
    /// The first replica fetches the state of the second one if that is ahead.
    Fetch(usize, usize),
    /// All replicas fetch until none is ahead of another one.
    Exchange,
    /// A replica starts again and takes a snapshot.
    Restart(usize),
    /// The operator has written again what was lost, the replicas of the bit set have read once, and all
    /// exchange their states.
    Settle(u8),
}

/// Log of the operator's records.
#[derive(Clone, Debug, Default)]
struct Log {
    era: u64,
    records: Vec<Write>,
    /// Number of records that the last restore left. Records from there on are of this era.
    restored_len: usize,
}

impl Log {
    fn end(&self) -> Position {
        Position {
            era: self.era,
            offset: self.records.len() as u64,
        }
    }

    /// Returns the records from a position of this era on, or the newest one of each key.
    fn read(&self, from: Option<Position>) -> PublishedRecords {
        let first = from.map_or(0, |from| from.offset as usize);
        let mut newest = BTreeMap::new();
        for (offset, write) in self.records.iter().enumerate().skip(first) {
            // A read that continues another one returns all records of a key.
            let group = from.map_or(0, |_| offset);
            newest.insert((group, write.value.key()), (offset, *write));
        }
        let mut published = PublishedRecords {
            from,
            read_to: self.end(),
            table: None,
            evacuations: Vec::new(),
        };
        let mut newest: Vec<_> = newest.into_values().collect();
        newest.sort_by_key(|(offset, _)| *offset);
        for (offset, write) in newest {
            match write.value {
                Value::Routes(version) => published.table = Some(table(version)),
                Value::Evacuation(data_centre, is_evacuated) => {
                    let position = Position {
                        era: self.era,
                        offset: offset as u64,
                    };
                    published.evacuations.push(EvacuationChange {
                        data_centre: DataCentre::from(DATA_CENTRES[data_centre]),
                        position,
                        is_evacuated,
                    });
                }
            }
        }
        published
    }
}

/// A replica and the part of `store_sync` that chooses its reads.
#[derive(Debug, Default)]
struct Reader {
    config: ConfigReplica,
    /// Position of the next read; `None` if that is a snapshot.
    from: Option<Position>,
    /// Highest era that an answer to this reader has stated.
    store_era: u64,
    /// Answer that has not arrived yet.
    late_answer: Option<PublishedRecords>,
    /// Whether the replica had read to the end before the last restore, and has read nothing since.
    ran_through_restore: bool,
    /// Whether the replica had read to the end before the last restore, and has fetched only from such
    /// replicas since.
    knows_lost_records: bool,
}

impl Reader {
    fn evacuated(&self) -> BTreeSet<String> {
        let evacuated = self.config.evacuations().evacuated();
        evacuated.map(|(name, _)| name.to_string()).collect()
    }

    fn routes_version(&self) -> Option<u64> {
        self.config.routes().map(|table| table.version())
    }
}

/// Which interleavings a run may contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    All,
    /// Without those that have a failing test of their own below.
    WithoutKnownFaults,
}

/// The store, its operator and the fleet.
struct Model {
    scope: Scope,
    log: Log,
    copies: [Log; COPIES],
    /// The newest write of each key.
    newest: BTreeMap<usize, Write>,
    write_count: usize,
    readers: Vec<Reader>,
}

type Check = std::result::Result<(), String>;

macro_rules! check {
    ($condition:expr, $($message:tt)*) => {
        if !$condition {
            return Err(format!($($message)*));
        }
    };
}

impl Model {
    fn new(scope: Scope) -> Self {
        Model {
            scope,
            log: Log::default(),
            copies: Default::default(),
            newest: BTreeMap::new(),
            write_count: 0,
            readers: (0..REPLICAS).map(|_| Reader::default()).collect(),
        }
    }

    /// Runs the steps, each with its checks. Returns the failed check.
    fn run(scope: Scope, steps: &[Step]) -> Check {
        let mut model = Model::new(scope);
        for (i, step) in steps.iter().enumerate() {
            model
                .step(*step)
                .map_err(|failure| format!("step {i}, {step:?}: {failure}"))?;
        }
        Ok(())
    }

    fn step(&mut self, step: Step) -> Check {
        let before: Vec<Progress> = self.progress().collect();
        self.run_step(step)?;
        for (i, before) in before.into_iter().enumerate() {
            let after = self.readers[i].config.progress();
            let is_same_life = step != Step::Restart(i);
            check!(
                !is_same_life || after.routes >= before.routes,
                "(a) the routes of replica {i} fell from {before:?} to {after:?}"
            );
            check!(
                !is_same_life || after.read_to >= before.read_to,
                "(b) the position of replica {i} fell from {before:?} to {after:?}"
            );
        }
        self.check_equal_progress()
    }

    fn check_equal_progress(&self) -> Check {
        for a in &self.readers {
            for b in &self.readers {
                let is_equal = a.config.progress() == b.config.progress();
                check!(
                    !is_equal || a.routes_version() == b.routes_version(),
                    "(e) replicas with equal progress have different routes"
                );
            }
        }
        Ok(())
    }

    fn run_step(&mut self, step: Step) -> Check {
        match step {
            Step::WriteRoutes => {
                let version = self.write_count as u64 + 1;
                self.write(Value::Routes(version));
            }
            Step::WriteEvacuation(data_centre, is_evacuated) => {
                self.write(Value::Evacuation(data_centre, is_evacuated));
            }
            Step::Copy(copy) => self.copies[copy] = self.log.clone(),
            Step::Restore(copy) => self.restore(copy),
            Step::WriteAgain => {
                if let Some(first) = self.lost().first() {
                    self.log.records.push(*first);
                }
            }
            Step::ReadSnapshot(i) => return self.read_snapshot(i),
            Step::ReadOn(i) => return self.read_on(i),
            Step::SendRead(i, is_snapshot) => {
                let from = self.readers[i].from.filter(|_| !is_snapshot);
                if from.is_none_or(|from| from.era == self.log.era) {
                    self.readers[i].late_answer = Some(self.log.read(from));
                }
            }
            Step::ReceiveAnswer(i) => {
                if let Some(answer) = self.readers[i].late_answer.take() {
                    self.apply(i, answer);
                }
            }
            Step::Fetch(i, peer) => self.fetch(i, peer),
            Step::Exchange => return self.exchange_states(),
            Step::Restart(i) => {
                self.readers[i] = Reader::default();
                return self.read_snapshot(i);
            }
            Step::Settle(readers) => return self.settle(readers),
        }
        Ok(())
    }

    fn write(&mut self, value: Value) {
        let write = Write {
            number: self.write_count,
            value,
        };
        self.write_count += 1;
        self.newest.insert(value.key(), write);
        self.log.records.push(write);
    }

    /// Returns the newest values that the store has lost, in the order written.
    fn lost(&self) -> Vec<Write> {
        let newest = self.newest.values();
        let lost = newest.filter(|write| !self.log.records.contains(write));
        let mut lost: Vec<Write> = lost.copied().collect();
        lost.sort_by_key(|write| write.number);
        lost
    }

    fn restore(&mut self, copy: usize) {
        let old_end = self.log.end();
        let copied = self.copies[copy].records.clone();
        let is_prefix = self.log.records.starts_with(&copied);
        // See `a_restore_from_a_copy_of_another_era_keeps_evacuations`.
        let is_covered = self.scope == Scope::All || is_prefix;
        // A replica that started after an earlier restore does not know what that one has lost.
        let has_lost = self.scope == Scope::WithoutKnownFaults && !self.lost().is_empty();
        self.log.records = copied;
        self.log.restored_len = self.log.records.len();
        self.log.era += 1;
        for reader in &mut self.readers {
            let has_read_all = reader.config.progress().read_to == old_end;
            let knows_all = has_read_all && (!has_lost || reader.knows_lost_records);
            reader.ran_through_restore = is_covered && knows_all;
            reader.knows_lost_records = reader.ran_through_restore;
        }
    }

    fn apply(&mut self, i: usize, answer: PublishedRecords) {
        if self.scope == Scope::WithoutKnownFaults && self.is_ambiguous(i, &answer) {
            return;
        }
        let read_to = answer.read_to;
        let is_written_again = read_to.offset > self.log.restored_len as u64;
        let reader = &mut self.readers[i];
        // See `a_record_at_a_lost_offset_does_not_end_an_evacuation`.
        reader.knows_lost_records &= self.scope == Scope::All || !is_written_again;
        reader.config.apply_published(answer);
        reader.from = Some(read_to);
    }

    /// Returns whether a replica takes an outdated record for lost, while the snapshot has the newest one;
    /// see `an_evacuation_ended_after_the_restore_stays_ended`.
    fn is_ambiguous(&self, i: usize, answer: &PublishedRecords) -> bool {
        let newest = self.newest.values().filter_map(|write| match write.value {
            Value::Evacuation(data_centre, is_evacuated) => {
                Some((DATA_CENTRES[data_centre], is_evacuated))
            }
            Value::Routes(_) => None,
        });
        let newest: BTreeMap<&str, bool> = newest.collect();
        let mut known = self.readers[i].config.evacuations().iter();
        answer.from.is_none()
            && known.any(|(name, state)| {
                let written = answer.evacuations.iter().find(|w| w.data_centre == *name);
                state.position.era < answer.read_to.era
                    && state.position.offset >= answer.read_to.offset
                    && written.is_some_and(|written| {
                        written.is_evacuated != state.is_evacuated
                            && newest.get(name.as_str()) == Some(&written.is_evacuated)
                    })
            })
    }

    fn read_snapshot(&mut self, i: usize) -> Check {
        let answer = self.log.read(None);
        self.readers[i].store_era = self.log.era;
        let is_before_second_write = self.log.records.len() == self.log.restored_len;
        let ran_through = std::mem::take(&mut self.readers[i].ran_through_restore);
        self.apply(i, answer);
        if ran_through && is_before_second_write {
            self.check_newest(i, "(f)")?;
        }
        Ok(())
    }

    /// Reads as `store_sync` does: a snapshot if the position is of an earlier era.
    fn read_on(&mut self, i: usize) -> Check {
        let reader = &mut self.readers[i];
        let from = reader.from.filter(|from| from.era >= reader.store_era);
        let from = from.map(|from| from.max(reader.config.progress().read_to));
        reader.store_era = self.log.era;
        match from {
            Some(from) if from.era == self.log.era => {
                reader.ran_through_restore = false;
                self.apply(i, self.log.read(Some(from)));
                Ok(())
            }
            _ => self.read_snapshot(i),
        }
    }

    fn fetch(&mut self, i: usize, peer: usize) {
        let (own, other) = (&self.readers[i].config, &self.readers[peer].config);
        if i == peer || !other.progress().is_ahead_of(own.progress()) {
            return;
        }
        let state = postcard::to_stdvec(&other.snapshot()).expect("a state");
        let state: State = postcard::from_bytes(&state).expect("a state");
        // See `a_peer_that_knows_only_the_copy_does_not_revert_evacuations`.
        let is_covered = self.scope == Scope::All || self.readers[peer].knows_lost_records;
        let reader = &mut self.readers[i];
        reader.config.adopt_state(state);
        reader.ran_through_restore &= is_covered;
        reader.knows_lost_records &= is_covered;
    }

    fn settle(&mut self, readers: u8) -> Check {
        self.log.records.extend(self.lost());
        for i in (0..REPLICAS).filter(|i| readers & (1 << i) != 0) {
            self.read_on(i)?;
            let read_to = self.readers[i].config.progress().read_to;
            if read_to != self.log.end() {
                // The snapshot was not applied; see `is_ambiguous`.
                return Ok(());
            }
        }
        self.exchange_states()?;
        for i in 0..REPLICAS {
            let progress = self.readers[i].config.progress();
            check!(
                progress.read_to == self.log.end(),
                "(c) replica {i} has not read all: {progress:?}"
            );
            self.check_newest(i, "(c, d)")?;
        }
        Ok(())
    }

    /// Lets all replicas fetch until none is ahead of another one. Two rounds are enough, because each one
    /// passes what a replica has to all others.
    fn exchange_states(&mut self) -> Check {
        let merged = self.progress().fold(Progress::default(), Progress::merged);
        for _ in 0..2 {
            for i in 0..REPLICAS {
                for peer in 0..REPLICAS {
                    self.fetch(i, peer);
                }
            }
        }
        let mut pairs = self
            .progress()
            .flat_map(|a| self.progress().map(move |b| (a, b)));
        check!(
            !pairs.any(|(a, b)| a.is_ahead_of(b)),
            "(e) the exchange does not end: {:?}",
            self.progress().collect::<Vec<_>>()
        );
        check!(
            self.progress().all(|progress| progress == merged),
            "(e) after the exchange, {:?} differ from {merged:?}",
            self.progress().collect::<Vec<_>>()
        );
        Ok(())
    }

    fn progress(&self) -> impl Iterator<Item = Progress> {
        self.readers.iter().map(|reader| reader.config.progress())
    }

    /// Checks that a replica has the newest values that the operator wrote.
    fn check_newest(&self, i: usize, assertion: &str) -> Check {
        let newest = self.newest.values().map(|write| write.value);
        let evacuated = newest.clone().filter_map(|value| match value {
            Value::Evacuation(data_centre, true) => Some(DATA_CENTRES[data_centre].to_owned()),
            _ => None,
        });
        let evacuated: BTreeSet<String> = evacuated.collect();
        let version = newest.clone().find_map(|value| match value {
            Value::Routes(version) => Some(version),
            Value::Evacuation(..) => None,
        });
        let reader = &self.readers[i];
        check!(
            reader.routes_version() == version,
            "{assertion} replica {i} has routes {:?}, not {version:?}",
            reader.routes_version()
        );
        check!(
            reader.evacuated() == evacuated,
            "{assertion} replica {i} evacuates {:?}, not {evacuated:?}; it knows {:?}",
            reader.evacuated(),
            reader.config.evacuations()
        );
        Ok(())
    }
}

fn table(version: u64) -> RouteTable {
    let limits = CallerLimits {
        header_bytes: 1,
        body_bytes: 1,
        head_timeout_ms: 1,
        idle_timeout_ms: 1,
    };
    RouteTable::new(version, Vec::new(), Vec::new(), limits)
}

fn random_step(rng: &mut StdRng) -> Step {
    let i = rng.random_range(0..REPLICAS);
    let is_first = rng.random_range(0..2) == 0;
    match rng.random_range(0..24) {
        0..2 => Step::WriteRoutes,
        2..6 => Step::WriteEvacuation(rng.random_range(0..DATA_CENTRES.len()), is_first),
        6 => Step::Copy(rng.random_range(0..COPIES)),
        7 => Step::Restore(rng.random_range(0..COPIES)),
        8..10 => Step::WriteAgain,
        10..12 => Step::ReadSnapshot(i),
        12..16 => Step::ReadOn(i),
        16 => Step::SendRead(i, is_first),
        17 => Step::ReceiveAnswer(i),
        18..21 => Step::Fetch(i, rng.random_range(0..REPLICAS)),
        21 => Step::Exchange,
        22 => Step::Restart(i),
        _ => Step::Settle(rng.random_range(1..1 << REPLICAS)),
    }
}

fn random_steps(seed: u64) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut steps: Vec<Step> = (0..STEPS).map(|_| random_step(&mut rng)).collect();
    steps.push(Step::Settle(rng.random_range(1..1 << REPLICAS)));
    steps
}

/// Leaves out steps while the run still fails.
fn shortest_failure(scope: Scope, mut steps: Vec<Step>) -> Vec<Step> {
    let mut i = 0;
    while i < steps.len() {
        let mut shorter = steps.clone();
        shorter.remove(i);
        match Model::run(scope, &shorter) {
            Ok(()) => i += 1,
            Err(_) => (steps, i) = (shorter, 0),
        }
    }
    steps
}

fn check_random_runs(scope: Scope, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let steps = random_steps(seed);
        if Model::run(scope, &steps).is_err() {
            let steps = shortest_failure(scope, steps);
            let failure = Model::run(scope, &steps).expect_err("the shortest run fails");
            panic!("seed {seed}, {failure}\nsteps: {steps:#?}");
        }
    }
}

/// Guards against routes and positions that go back at a replica, against fetches without end, and against
/// replicas that don't reach what the operator wrote last, in any order of reads, fetches and restores.
#[gtest]
fn replicas_agree_after_any_restores() {
    check_random_runs(Scope::WithoutKnownFaults, 0..RUNS);
}

/// Guards against an evacuation that the operator has ended after the restore, but that a replica keeps:
/// its first snapshot of the new era is taken after that and ends before the offset at which the replica
/// knows the request.
#[gtest]
fn an_evacuation_ended_after_the_restore_stays_ended() {
    let known_at_offset_2 = [
        Step::WriteRoutes,
        Step::Copy(0),
        Step::WriteEvacuation(1, true),
        Step::WriteEvacuation(1, true),
        Step::ReadOn(0),
        Step::Restore(0),
        Step::WriteEvacuation(1, false),
    ];
    let restored_again = [Step::Copy(0), Step::Restore(0), Step::ReadOn(0)];
    let rows = [
        ("one restore", known_at_offset_2.to_vec()),
        (
            "two restores",
            [&known_at_offset_2[..], &restored_again].concat(),
        ),
    ];
    for (name, mut steps) in rows {
        steps.push(Step::Settle(1));
        expect_that!(Model::run(Scope::All, &steps), ok(anything()), "{name}");
    }
}

/// Guards against an evacuation that ends at the second of two restores, because the replica knows it
/// since the first one with the last position of the copy.
#[gtest]
fn a_second_restore_before_the_second_write_keeps_evacuations() {
    let steps = [
        Step::WriteRoutes,
        Step::Copy(0),
        Step::WriteEvacuation(1, true),
        Step::ReadOn(0),
        Step::Restore(0),
        Step::ReadSnapshot(0),
        Step::Restore(0),
        Step::ReadSnapshot(0),
    ];
    expect_that!(Model::run(Scope::All, &steps), ok(anything()));
}

/// Guards against an evacuation that ends because the store has another record at its offset when a replica
/// first reads it after a restore.
#[gtest]
fn a_record_at_a_lost_offset_does_not_end_an_evacuation() {
    let steps = [
        Step::WriteRoutes,
        Step::Copy(0),
        Step::WriteEvacuation(1, true),
        Step::ReadOn(0),
        Step::Restore(0),
        Step::WriteRoutes,
        Step::ReadSnapshot(0),
    ];
    let mut model = Model::new(Scope::All);
    for step in steps {
        expect_that!(model.step(step), ok(anything()));
    }
    expect_true!(model.readers[0].evacuated().contains(DATA_CENTRES[1]));
}

/// Guards against an evacuation that ends at a restore from a longer copy that was taken before an earlier
/// restore: it is not in the copy, although its offset is.
#[gtest]
fn a_restore_from_a_copy_of_another_era_keeps_evacuations() {
    let steps = [
        Step::WriteRoutes,
        Step::Copy(0),
        Step::WriteRoutes,
        Step::Copy(1),
        Step::Restore(0),
        Step::WriteEvacuation(1, true),
        Step::ReadOn(0),
        Step::Restore(1),
        Step::ReadSnapshot(0),
    ];
    expect_that!(Model::run(Scope::All, &steps), ok(anything()));
}

/// Guards against the end of an evacuation that is reverted by the state of a peer, which knows only the
/// records that the restore left: it has started since, or had not read the end before.
#[gtest]
fn a_peer_that_knows_only_the_copy_does_not_revert_evacuations() {
    let rows = [
        ("restarted", Step::Restart(1)),
        ("had not read to the end", Step::ReadSnapshot(1)),
    ];
    for (name, peer_step) in rows {
        let steps = [
            Step::WriteEvacuation(1, true),
            Step::ReadOn(1),
            Step::Copy(0),
            Step::WriteEvacuation(1, false),
            Step::ReadOn(0),
            Step::Restore(0),
            peer_step,
            Step::Fetch(0, 1),
            Step::ReadSnapshot(0),
        ];
        expect_that!(Model::run(Scope::All, &steps), ok(anything()), "{name}");
    }
}

/// Guards against an evacuation that the operator has ended after the restore, and that a replica brings
/// back to a peer which has read the end.
#[gtest]
fn an_evacuation_ended_after_the_restore_is_not_reverted_by_a_peer() {
    let steps = [
        Step::WriteRoutes,
        Step::Copy(0),
        Step::WriteEvacuation(1, true),
        Step::WriteEvacuation(1, true),
        Step::WriteEvacuation(1, true),
        Step::ReadOn(0),
        Step::Restore(0),
        Step::WriteEvacuation(1, false),
        Step::ReadOn(1),
        Step::WriteRoutes,
        Step::ReadOn(0),
        Step::Fetch(1, 0),
    ];
    let mut model = Model::new(Scope::All);
    for step in steps {
        expect_that!(model.step(step), ok(anything()), "{step:?}");
    }
    expect_that!(model.check_newest(1, "(d)"), ok(anything()));
}

fn position(era: u64, offset: u64) -> Position {
    Position { era, offset }
}

/// Guards against records of earlier versions that are not read any more, and against a change of the
/// format for stores without eras.
#[gtest]
fn positions_in_json() {
    // `None` for text that is not a position.
    let rows = rows![
        "0" => Some(position(0, 0));
        "5" => Some(position(0, 5));
        "18446744073709551615" => Some(position(0, u64::MAX));
        "[1,0]" => Some(position(1, 0));
        "[3,5]" => Some(position(3, 5));
        "[18446744073709551615,18446744073709551615]" => Some(position(u64::MAX, u64::MAX));
        "-1" => None;
        "\"5\"" => None;
        "[1]" => None;
        "[1,2,3]" => None;
        "null" => None;
    ];
    for (text, expected) in rows {
        let read = serde_json::from_str::<Position>(text).ok();
        expect_that!(read, eq(expected), "{text}");
        if let Some(expected) = expected {
            let written = serde_json::to_string(&expected).expect("JSON");
            expect_that!(written, eq(text));
        }
    }
    let read: Position = serde_json::from_str("[0,5]").expect("a position");
    expect_that!(read, eq(position(0, 5)));
}

/// Guards against a progress that reaches a peer with another era, offset or version.
#[gtest]
fn positions_and_progress_between_nodes() {
    let rows = rows![
        position(0, 0), None => "an empty node";
        position(0, 5), Some(7) => "a store without eras";
        position(3, 0), Some(0) => "a restored store without records";
        position(3, 5), None => "no routes";
        position(u64::MAX, u64::MAX), Some(u64::MAX) => "largest values";
    ];
    for (read_to, routes, name) in rows {
        let progress = Progress { read_to, routes };
        let bytes = postcard::to_stdvec(&read_to).expect("postcard");
        let read: Position = postcard::from_bytes(&bytes).expect("postcard");
        expect_that!(read, eq(read_to), "{name}");
        let bytes = postcard::to_stdvec(&progress).expect("postcard");
        let read: Progress = postcard::from_bytes(&bytes).expect("postcard");
        expect_that!(read, eq(progress), "{name}");
    }
}

/// State of a replica that has read to position 5 of era 0, as it was written before positions had an
/// era.
const STATE_WITHOUT_ERA: &str = concat!(
    r#"{"read_to":5,"content":{"services":{},"leaving":[],"measuring_permille":0},"versions":[],"#,
    r#""decisions":[],"last_confirmation":null,"checkpoint":null,"routes":{"version":1,"#,
    r#""routes":[],"services":[],"limits":{"header_bytes":1,"body_bytes":1,"head_timeout_ms":1,"#,
    r#""idle_timeout_ms":1},"workspaces":null},"evacuations":{"pos":{"offset":3,"#,
    r#""is_evacuated":true},"sando":{"offset":4,"is_evacuated":false}}}"#
);

/// Guards against states in checkpoints that a fleet on a store without eras can't read after an update,
/// and against eras that are lost in them.
#[gtest]
fn states_in_json() {
    let rows = rows![
        position(0, 5), position(0, 3), position(0, 4) => STATE_WITHOUT_ERA.to_owned();
        position(2, 5), position(1, 3), position(2, 4) => STATE_WITHOUT_ERA
            .replace("\"read_to\":5", "\"read_to\":[2,5]")
            .replace("\"offset\":3", "\"offset\":[1,3]")
            .replace("\"offset\":4", "\"offset\":[2,4]");
    ];
    for (read_to, pos, sando, text) in rows {
        let mut replica = ConfigReplica::new();
        let changes = [("pos", pos, true), ("sando", sando, false)];
        let changes = changes.map(|(name, position, is_evacuated)| EvacuationChange {
            data_centre: DataCentre::from(name),
            position,
            is_evacuated,
        });
        replica.apply_published(PublishedRecords {
            from: None,
            read_to,
            table: Some(table(1)),
            evacuations: changes.to_vec(),
        });
        let written = serde_json::to_string(&replica.snapshot()).expect("JSON");
        expect_that!(written, eq(&text));
        let read: State = serde_json::from_str(&text).expect("a state");
        expect_eq!(read, replica.snapshot());
    }
}

/// Guards against nodes that don't fetch what they lack, or fetch from each other without end, because
/// offsets of different eras are compared.
#[gtest]
fn progress_decides_who_fetches() {
    let progress = |era, offset, routes| Progress {
        read_to: position(era, offset),
        routes,
    };
    // The two progresses, whether the first is ahead, and whether the second is.
    let rows = rows![
        progress(0, 5, Some(1)), progress(0, 5, Some(1)) => (false, false);
        progress(0, 6, Some(1)), progress(0, 5, Some(1)) => (true, false);
        progress(0, 5, Some(2)), progress(0, 5, Some(1)) => (true, false);
        progress(0, 5, Some(0)), progress(0, 5, None) => (true, false);
        progress(1, 2, Some(1)), progress(0, 5, Some(1)) => (true, false);
        progress(1, 0, None), progress(0, 5, None) => (true, false);
        // After a restore, each has something that the other lacks.
        progress(1, 2, Some(1)), progress(0, 5, Some(2)) => (true, true);
    ];
    for (a, b, expected) in rows {
        let ahead = (a.is_ahead_of(b), b.is_ahead_of(a));
        expect_that!(ahead, eq(expected), "{a:?} {b:?}");
        let merged = a.merged(b);
        expect_eq!(merged, b.merged(a));
        expect_false!(a.is_ahead_of(merged), "{a:?} {b:?}");
        expect_false!(b.is_ahead_of(merged), "{a:?} {b:?}");
    }
}

/// What a replica has: its position, the version of its routes, and the record of one data centre.
type Held = (Position, Option<u64>, Option<(Position, bool)>);

fn replica((read_to, routes, evacuation): Held) -> ConfigReplica {
    let change = |(position, is_evacuated)| EvacuationChange {
        data_centre: DataCentre::from("pos"),
        position,
        is_evacuated,
    };
    let mut replica = ConfigReplica::new();
    replica.apply_published(PublishedRecords {
        from: None,
        read_to,
        table: routes.map(table),
        evacuations: evacuation.map(change).into_iter().collect(),
    });
    replica
}

fn held(replica: &ConfigReplica) -> Held {
    let progress = replica.progress();
    let mut evacuations = replica.evacuations().iter();
    let evacuation = evacuations
        .next()
        .map(|(_, state)| (state.position, state.is_evacuated));
    (progress.read_to, progress.routes, evacuation)
}

/// Guards against a state of a peer that takes a replica back, or of which newer records are not taken.
#[gtest]
fn states_of_peers_across_eras() {
    let at = position;
    let rows = rows![
        "equal", (at(1, 5), Some(2), None), (at(1, 5), Some(2), None)
            => (Adoption::NotNewer, (at(1, 5), Some(2), None));
        "further in the same era", (at(1, 5), Some(2), None), (at(1, 6), Some(3), None)
            => (Adoption::Adopted, (at(1, 6), Some(3), None));
        "later era and lower offset", (at(0, 5), Some(2), None), (at(1, 3), Some(2), None)
            => (Adoption::Adopted, (at(1, 3), Some(2), None));
        "later era and older routes", (at(0, 5), Some(2), None), (at(1, 3), Some(1), None)
            => (Adoption::Adopted, (at(1, 3), Some(2), None));
        "later era without routes", (at(0, 5), Some(2), None), (at(1, 3), None, None)
            => (Adoption::Adopted, (at(1, 3), Some(2), None));
        "earlier era and higher offset", (at(1, 3), Some(2), None), (at(0, 5), Some(2), None)
            => (Adoption::NotNewer, (at(1, 3), Some(2), None));
        "earlier era and newer routes", (at(1, 3), Some(1), None), (at(0, 5), Some(2), None)
            => (Adoption::Adopted, (at(1, 3), Some(2), None));
        "earlier era and routes, none here", (at(1, 3), None, None), (at(0, 5), Some(2), None)
            => (Adoption::Adopted, (at(1, 3), Some(2), None));
        "same position and newer routes", (at(1, 3), Some(1), None), (at(1, 3), Some(2), None)
            => (Adoption::Adopted, (at(1, 3), Some(2), None));
        "same position and older routes", (at(1, 3), Some(2), None), (at(1, 3), Some(1), None)
            => (Adoption::NotNewer, (at(1, 3), Some(2), None));
        "later era without the evacuation",
            (at(0, 5), None, Some((at(0, 4), true))), (at(1, 3), None, None)
            => (Adoption::Adopted, (at(1, 3), None, Some((at(0, 4), true))));
        "later era with the end of the evacuation",
            (at(0, 5), None, Some((at(0, 4), true))), (at(1, 3), None, Some((at(1, 2), false)))
            => (Adoption::Adopted, (at(1, 3), None, Some((at(1, 2), false))));
        "earlier era with an evacuation", (at(1, 3), None, None), (at(0, 5), None, Some((at(0, 4), true)))
            => (Adoption::Adopted, (at(1, 3), None, Some((at(0, 4), true))));
        "earlier era with an older evacuation",
            (at(1, 3), None, Some((at(1, 2), false))), (at(0, 5), None, Some((at(0, 4), true)))
            => (Adoption::NotNewer, (at(1, 3), None, Some((at(1, 2), false))));
    ];
    for (name, own, other, (adoption, expected)) in rows {
        let mut own = replica(own);
        let adopted = own.adopt_state(replica(other).snapshot());
        expect_that!(adopted, eq(adoption), "{name}");
        expect_that!(held(&own), eq(expected), "{name}");
        let again = own.adopt_state(replica(other).snapshot());
        expect_that!(
            again,
            eq(Adoption::NotNewer),
            "{name}, the same state again"
        );
    }
}

/// Guards against a state of a later era that replaces the version in force of a fleet with a `config`
/// stream of its own.
#[gtest]
fn later_era_does_not_replace_a_version_in_force() {
    let mut own = ConfigReplica::new();
    let plan = own.plan(&intent(4), "author", 1_000).expect("a plan");
    let record = own.confirm_record(&plan, "author", 1).encode();
    own.apply(&batch(0, &[&record.expect("a record")]));
    let before = own.snapshot();
    expect_that!(own.version(), some(eq(0)));
    let other = replica((position(1, 5), Some(2), Some((position(1, 4), true))));
    expect_that!(own.adopt_state(other.snapshot()), eq(Adoption::Conflict));
    expect_eq!(own.snapshot(), before);
}
