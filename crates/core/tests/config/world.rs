//! Readers of one log, checked after each step against a reader that missed nothing.

use std::collections::BTreeMap;

use plantainpost_core::config::{
    Batch, ConfigReplica, Content, Decision, Intent, Leaving, LogRecord, Plan, ShareKey, State,
};

/// Number of readers, and of places for plans and checkpoints that wait.
pub(crate) const READERS: usize = 3;

/// A log in memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeLog {
    pub(crate) records: Vec<String>,
    pub(crate) oldest: u64,
}

impl FakeLog {
    pub(crate) fn next(&self) -> u64 {
        self.records.len() as u64
    }

    pub(crate) fn append(&mut self, data: String) -> u64 {
        self.records.push(data);
        self.next() - 1
    }

    /// Reads as the log was when `next` records had been appended.
    pub(crate) fn read(&self, next: u64, from: u64, max: usize) -> Batch {
        let oldest = self.oldest.min(next);
        let offsets = (from.max(oldest)..next).take(max);
        let record = |offset: u64| LogRecord {
            offset,
            data: self.records[offset as usize].clone(),
        };
        Batch {
            oldest,
            next,
            records: offsets.map(record).collect(),
        }
    }
}

/// Returns a batch of records from offset `first` on, of a log that keeps all.
pub(crate) fn batch(first: u64, data: &[&str]) -> Batch {
    let data = data.iter().map(|data| (*data).to_owned());
    let records = data
        .zip(first..)
        .map(|(data, offset)| LogRecord { offset, data });
    let records: Vec<_> = records.collect();
    let next = first + records.len() as u64;
    Batch {
        oldest: 0,
        next,
        records,
    }
}

/// One step. Plans and checkpoints wait in the place of the first number.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// A reader plans one of the intents.
    Plan(usize, usize, u32),
    /// A reader plans an override.
    Override(usize, usize, u32),
    /// The plan is confirmed; a second time is a lost answer or a second node.
    Confirm(usize),
    /// A reader makes a checkpoint and is paused.
    MakeCheckpoint(usize, usize),
    /// The checkpoint is appended.
    AppendCheckpoint(usize),
    /// A record that is not of a known form is appended.
    Junk,
    /// The log drops all records below an offset.
    Trim(u64),
    /// A reader reads at most that many records.
    Read(usize, usize),
    /// All readers read to the end.
    ReadAll,
    /// A reader reads from another offset than it needs.
    ReadFrom(usize, u64),
    /// A reader gets an answer from when the log ended at that offset.
    ReadOlder(usize, u64),
    /// The first reader takes over the state of the second.
    Adopt(usize, usize),
    /// A reader loses its memory.
    Restart(usize),
}

/// Readers, the log, and what a reader that missed nothing has seen.
pub(crate) struct World {
    pub(crate) log: FakeLog,
    pub(crate) readers: Vec<ConfigReplica>,
    pub(crate) plans: Vec<Option<Plan>>,
    checkpoints: Vec<Option<String>>,
    complete: ConfigReplica,
    /// State of the complete reader by `read_to`.
    states: Vec<State>,
    decisions: BTreeMap<u64, Decision>,
}

impl World {
    pub(crate) fn new() -> Self {
        World {
            log: FakeLog::default(),
            readers: (0..READERS).map(|_| ConfigReplica::new()).collect(),
            plans: vec![None; READERS],
            checkpoints: vec![None; READERS],
            complete: ConfigReplica::new(),
            states: vec![State::default()],
            decisions: BTreeMap::new(),
        }
    }

    /// Takes a step and checks that all readers agree and none went back.
    pub(crate) fn step(&mut self, step: &Step) {
        let before: Vec<_> = self.readers.iter().map(progress).collect();
        self.take(step);
        for (i, before) in before.into_iter().enumerate() {
            let after = progress(&self.readers[i]);
            let restarted = matches!(step, Step::Restart(reader) if *reader == i);
            assert!(after >= before || restarted, "{i} went back: {step:?}");
        }
        self.check();
    }

    fn take(&mut self, step: &Step) {
        let end = self.log.next();
        match *step {
            Step::Plan(at, reader, n) => self.plan(at, reader, &intent(n)),
            Step::Override(at, reader, n) => {
                let content = Some(Content {
                    measuring_permille: n,
                    ..Content::default()
                });
                self.plan(at, reader, &Intent::Override { content });
            }
            Step::Confirm(at) => self.confirm(at),
            Step::MakeCheckpoint(at, reader) => {
                let record = self.readers[reader].checkpoint_record("node");
                self.checkpoints[at] = Some(record.encode().expect("within bounds"));
            }
            Step::AppendCheckpoint(at) => {
                self.checkpoints[at]
                    .clone()
                    .into_iter()
                    .for_each(|data| self.append(data));
            }
            Step::Junk => self.append("{\"later_kind\":{}}".to_owned()),
            Step::Trim(to) => self.log.oldest = self.log.oldest.max(to.min(end)),
            Step::Read(reader, max) => self.read(reader, end, None, max),
            // A reader that finds a checkpoint reads again from there.
            Step::ReadAll => (0..READERS)
                .flat_map(|reader| [reader; 3])
                .for_each(|reader| self.read(reader, end, None, usize::MAX)),
            Step::ReadFrom(reader, from) => self.read(reader, end, Some(from), usize::MAX),
            Step::ReadOlder(reader, next) => {
                self.read(reader, next.min(end), None, usize::MAX);
            }
            Step::Adopt(reader, peer) => {
                let state = encoded(&self.readers[peer].snapshot());
                self.readers[reader].adopt_state(state);
            }
            Step::Restart(reader) => self.readers[reader] = ConfigReplica::new(),
        }
    }

    fn plan(&mut self, at: usize, reader: usize, intent: &Intent) {
        // A node behind a gap plans nothing but overrides.
        if let Ok(plan) = self.readers[reader].plan(intent, &format!("author-{at}"), 1_000) {
            self.plans[at] = Some(plan);
        }
    }

    fn confirm(&mut self, at: usize) {
        if let Some(plan) = &self.plans[at] {
            let record = self.complete.confirm_record(plan, "confirmer", 500);
            let data = record.encode().expect("a plan is within bounds");
            self.append(data);
        }
    }

    fn append(&mut self, data: String) {
        let offset = self.log.append(data.clone());
        let applied = self.complete.apply(&batch(offset, &[&data]));
        for decision in applied.decided {
            self.decisions.insert(decision.offset, decision);
        }
        self.states.push(self.complete.snapshot());
    }

    fn read(&mut self, reader: usize, next: u64, from: Option<u64>, max: usize) {
        let from = from.unwrap_or(self.readers[reader].read_from());
        let batch = self.log.read(next, from, max);
        for decision in self.readers[reader].apply(&batch).decided {
            let expected = self.decisions.get(&decision.offset);
            assert_eq!(Some(&decision), expected, "a reader decided differently");
        }
    }

    fn check(&self) {
        for reader in self.readers.iter().chain([&self.complete]) {
            let expected = &self.states[reader.read_to() as usize];
            assert_eq!(&reader.snapshot(), expected, "readers disagree");
            assert_eq!(reader.counters().conflicts, 0, "false conflict");
        }
    }
}

/// Passes a state through both encodings.
fn encoded(state: &State) -> State {
    let bytes = postcard::to_stdvec(state).expect("a state has a binary form");
    let state: State = postcard::from_bytes(&bytes).expect("the form is complete");
    let json = serde_json::to_string(&state).expect("a state has a JSON form");
    serde_json::from_str(&json).expect("the form is complete")
}

/// What never decreases while a reader runs.
fn progress(reader: &ConfigReplica) -> (u64, Option<u64>) {
    (reader.read_to(), reader.version())
}

/// Returns one of a varied set of intents.
pub(crate) fn intent(n: u32) -> Intent {
    let name = format!("s{}", n % 3);
    match n % 4 {
        0 => Intent::Measure { permille: n },
        1 => Intent::Share {
            service: name,
            shares: BTreeMap::from([(ShareKey::DataCentre("pos".to_owned()), n)]),
        },
        2 => Intent::Leave {
            leaving: [Leaving::Target(name)].into(),
        },
        _ => Intent::Restore {
            version: u64::from(n / 4),
        },
    }
}
