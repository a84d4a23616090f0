//! Test harness: readers of one log, which are checked after each step against a reference
//! reader that has applied every record.

use std::collections::BTreeMap;

use plantainpost_core::config::{
    Batch, ConfigReplica, Content, Decision, Intent, Leaving, LogRecord, Plan, ShareKey, State,
};

/// Number of readers, and of slots for plans and checkpoints that are not yet appended.
pub(crate) const READERS: usize = 3;

/// An in-memory log.
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

    /// Returns at most `max` records from offset `from`, as if only `next` records had been
    /// appended so far.
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

/// Returns a batch of records from offset `first` on, of a log that was never trimmed.
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

/// One step of a test. In steps that make a plan or a checkpoint, the first number is the
/// slot that holds it until it is appended.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// A reader plans one of the intents.
    Plan(usize, usize, u32),
    /// A reader plans an override.
    Override(usize, usize, u32),
    /// The plan in a slot is confirmed. A second confirmation stands for a retry after a
    /// lost answer, or through a second node.
    Confirm(usize),
    /// A reader makes a checkpoint but does not append it yet.
    MakeCheckpoint(usize, usize),
    /// The checkpoint in a slot is appended.
    AppendCheckpoint(usize),
    /// A record of an unknown kind is appended.
    AppendJunk,
    /// The log drops all records below an offset.
    Trim(u64),
    /// A reader reads at most that many records.
    Read(usize, usize),
    /// All readers read to the end of the log.
    ReadAll,
    /// A reader reads from another offset than it needs.
    ReadFrom(usize, u64),
    /// A reader gets an outdated answer, from when the log ended at that offset.
    ReadOlder(usize, u64),
    /// The first reader adopts the state of the second.
    Adopt(usize, usize),
    /// A reader restarts without its state.
    Restart(usize),
}

/// The log, its readers, and the states and decisions of the reference reader.
pub(crate) struct LogHarness {
    pub(crate) log: FakeLog,
    pub(crate) readers: Vec<ConfigReplica>,
    pub(crate) plans: Vec<Option<Plan>>,
    checkpoints: Vec<Option<String>>,
    reference: ConfigReplica,
    /// State of the reference reader by `read_to`.
    states: Vec<State>,
    decisions: BTreeMap<u64, Decision>,
}

impl LogHarness {
    pub(crate) fn new() -> Self {
        LogHarness {
            log: FakeLog::default(),
            readers: (0..READERS).map(|_| ConfigReplica::new()).collect(),
            plans: vec![None; READERS],
            checkpoints: vec![None; READERS],
            reference: ConfigReplica::new(),
            states: vec![State::default()],
            decisions: BTreeMap::new(),
        }
    }

    /// Runs a step and checks that all readers agree and that none went back.
    pub(crate) fn step(&mut self, step: &Step) {
        let before: Vec<_> = self.readers.iter().map(progress).collect();
        self.run_step(step);
        for (i, before) in before.into_iter().enumerate() {
            let after = progress(&self.readers[i]);
            let restarted = matches!(step, Step::Restart(reader) if *reader == i);
            assert!(
                after >= before || restarted,
                "reader {i} went back: {step:?}"
            );
        }
        self.check();
    }

    fn run_step(&mut self, step: &Step) {
        let end = self.log.next();
        match *step {
            Step::Plan(slot, reader, n) => self.plan(slot, reader, &intent(n)),
            Step::Override(slot, reader, n) => {
                let content = Some(Content {
                    measuring_permille: n,
                    ..Content::default()
                });
                self.plan(slot, reader, &Intent::Override { content });
            }
            Step::Confirm(slot) => self.confirm(slot),
            Step::MakeCheckpoint(slot, reader) => {
                let record = self.readers[reader].checkpoint_record("node");
                self.checkpoints[slot] = Some(record.encode().expect("within bounds"));
            }
            Step::AppendCheckpoint(slot) => {
                self.checkpoints[slot]
                    .clone()
                    .into_iter()
                    .for_each(|data| self.append(data));
            }
            Step::AppendJunk => self.append("{\"later_kind\":{}}".to_owned()),
            Step::Trim(to) => self.log.oldest = self.log.oldest.max(to.min(end)),
            Step::Read(reader, max) => self.read(reader, end, None, max),
            // A reader that resumes from a checkpoint needs another read from there.
            Step::ReadAll => (0..READERS)
                .flat_map(|reader| [reader; 3])
                .for_each(|reader| self.read(reader, end, None, usize::MAX)),
            Step::ReadFrom(reader, from) => self.read(reader, end, Some(from), usize::MAX),
            Step::ReadOlder(reader, next) => {
                self.read(reader, next.min(end), None, usize::MAX);
            }
            Step::Adopt(reader, peer) => {
                let state = round_trip(&self.readers[peer].snapshot());
                self.readers[reader].adopt_state(state);
            }
            Step::Restart(reader) => self.readers[reader] = ConfigReplica::new(),
        }
    }

    fn plan(&mut self, slot: usize, reader: usize, intent: &Intent) {
        // A node behind a gap plans nothing but overrides.
        if let Ok(plan) = self.readers[reader].plan(intent, &format!("author-{slot}"), 1_000) {
            self.plans[slot] = Some(plan);
        }
    }

    fn confirm(&mut self, slot: usize) {
        if let Some(plan) = &self.plans[slot] {
            let record = self.reference.confirm_record(plan, "confirmer", 500);
            let data = record.encode().expect("a plan is within bounds");
            self.append(data);
        }
    }

    fn append(&mut self, data: String) {
        let offset = self.log.append(data.clone());
        let applied = self.reference.apply(&batch(offset, &[&data]));
        for decision in applied.decided {
            self.decisions.insert(decision.offset, decision);
        }
        self.states.push(self.reference.snapshot());
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
        for reader in self.readers.iter().chain([&self.reference]) {
            let expected = &self.states[reader.read_to() as usize];
            assert_eq!(&reader.snapshot(), expected, "readers disagree");
            assert_eq!(reader.counters().conflicts, 0, "false conflict");
        }
    }
}

/// Returns a state after a round trip through both encodings.
fn round_trip(state: &State) -> State {
    let bytes = postcard::to_stdvec(state).expect("state should encode with postcard");
    let state: State = postcard::from_bytes(&bytes).expect("state should decode with postcard");
    let json = serde_json::to_string(&state).expect("state should encode as JSON");
    serde_json::from_str(&json).expect("state should decode from JSON")
}

/// Returns the offset and the version, which never decrease while a reader runs.
fn progress(reader: &ConfigReplica) -> (u64, Option<u64>) {
    (reader.read_to(), reader.version())
}

/// Returns an intent whose kind and values depend on `n`.
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
