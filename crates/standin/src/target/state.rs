//! What a target knows about itself.

use std::{
    collections::{HashMap, VecDeque},
    fs::File,
    io::Write,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
    time::Instant,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::sync::{Notify, Semaphore};

use super::{Fail, Interface, LoadFault, TargetFaults, TargetSettings};
use crate::{
    clock::now_us,
    error::Result,
    history::{Record, create_file, to_lines},
};

/// Load observations kept for the delayed load report.
const LOAD_SAMPLES: usize = 100_000;

/// State shared between the target's thread and its handle.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) settings: TargetSettings,
    /// The address announced.
    pub(super) address: SocketAddr,
    /// One permit per slot.
    pub(super) slots: Semaphore,
    /// Signalled when the announcement has to be sent again at once.
    pub(super) changed: Notify,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    faults: TargetFaults,
    faults_since: Instant,
    started_at: Instant,
    node: Option<SocketAddr>,
    announced: bool,
    incarnation: Incarnation,
    in_flight: u32,
    /// In-flight counts after each change, oldest first.
    loads: VecDeque<(Instant, u32)>,
    executions: HashMap<String, u64>,
    started: u64,
    history: Vec<Record>,
    file: Option<File>,
    rng: StdRng,
}

/// One life of a target, as it announces it on the platform.
#[derive(Clone, Debug, Default)]
pub(super) struct Incarnation {
    /// Distinguishes the lives of one target.
    pub(super) number: u64,
    /// Start in ms since the Unix epoch.
    pub(super) born_ms: u64,
    /// Announcements so far.
    pub(super) sequence: u64,
    /// Whether a node has acknowledged that it leaves.
    leave_known: bool,
}

/// What the switches say about one request.
#[derive(Debug)]
pub(super) struct Decision {
    pub(super) fail: Fail,
    pub(super) late_ms: u64,
    pub(super) close_idle: bool,
    pub(super) work_us: u64,
}

impl Shared {
    pub(super) fn new(settings: TargetSettings, address: SocketAddr) -> Result<Self> {
        let now = Instant::now();
        let file = settings.history.as_deref().map(create_file).transpose()?;
        let shared = Self {
            address,
            slots: Semaphore::new(settings.slots as usize),
            changed: Notify::new(),
            state: Mutex::new(State {
                faults: settings.faults.clone(),
                faults_since: now,
                started_at: now,
                node: settings.node,
                announced: false,
                incarnation: Incarnation::born(0),
                in_flight: 0,
                loads: VecDeque::new(),
                executions: HashMap::new(),
                started: 0,
                history: Vec::new(),
                file,
                rng: StdRng::seed_from_u64(settings.seed),
            }),
            settings,
        };
        let leaving = shared.settings.faults.leaving;
        shared.note_leaving(&mut shared.lock(), leaving);
        Ok(shared)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|err| err.into_inner())
    }

    pub(super) fn faults(&self) -> TargetFaults {
        self.lock().faults.clone()
    }

    pub(super) fn set_faults(&self, faults: TargetFaults) {
        let mut state = self.lock();
        if state.faults.leaving != faults.leaving {
            self.note_leaving(&mut state, faults.leaving);
            if !faults.leaving {
                // A leave holds for the rest of a life.
                state.incarnation = Incarnation::born(state.incarnation.number + 1);
            }
        }
        state.faults = faults;
        state.faults_since = Instant::now();
        drop(state);
        self.changed.notify_one();
    }

    fn note_leaving(&self, state: &mut State, leaving: bool) {
        if leaving && self.settings.interface == Interface::Platform {
            // There it counts from the acknowledgement.
            return;
        }
        let (at, target) = (now_us(), self.settings.name.clone());
        state.note(match leaving {
            true => Record::Leaving { at, target },
            false => Record::Serving { at, target },
        });
    }

    /// The next announcement: the incarnation, and whether it leaves.
    pub(super) fn next_announcement(&self) -> (Incarnation, bool) {
        let mut state = self.lock();
        state.incarnation.sequence += 1;
        (state.incarnation.clone(), state.faults.leaving)
    }

    /// Notes that a node acknowledged that incarnation `number` leaves.
    pub(super) fn note_leave_acknowledged(&self, number: u64) {
        let mut state = self.lock();
        if state.incarnation.number != number || state.incarnation.leave_known {
            return;
        }
        state.incarnation.leave_known = true;
        let (at, target) = (now_us(), self.settings.name.clone());
        state.note(Record::Leaving { at, target });
    }

    /// The id of the present incarnation.
    pub(super) fn incarnation_id(&self) -> String {
        self.id_of(self.lock().incarnation.number)
    }

    /// The id of an incarnation.
    pub(super) fn id_of(&self, number: u64) -> String {
        format!("{}-{number}", self.settings.name)
    }

    pub(super) fn node(&self) -> Option<SocketAddr> {
        self.lock().node
    }

    pub(super) fn set_node(&self, node: Option<SocketAddr>) {
        let mut state = self.lock();
        state.node = node;
        state.announced = false;
        drop(state);
        self.changed.notify_one();
    }

    pub(super) fn announced(&self) -> bool {
        self.lock().announced
    }

    pub(super) fn set_announced(&self, announced: bool) {
        self.lock().announced = announced;
    }

    pub(super) fn executions(&self, nonce: &str) -> u64 {
        self.lock().executions.get(nonce).copied().unwrap_or(0)
    }

    pub(super) fn counts(&self) -> HashMap<String, u64> {
        self.lock().executions.clone()
    }

    pub(super) fn started(&self) -> u64 {
        self.lock().started
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.lock().in_flight
    }

    pub(super) fn history(&self) -> Vec<Record> {
        self.lock().history.clone()
    }

    /// Notes that a request was started.
    pub(super) fn begin(&self, nonce: &str) {
        let mut state = self.lock();
        state.started += 1;
        *state.executions.entry(nonce.to_owned()).or_default() += 1;
        state.note(Record::Started {
            nonce: nonce.to_owned(),
            at: now_us(),
            target: self.settings.name.clone(),
        });
        state.in_flight += 1;
        state.note_load();
    }

    /// Notes that a request ended.
    pub(super) fn end(&self, nonce: &str, ok: bool) {
        let mut state = self.lock();
        state.note(Record::Ended {
            nonce: nonce.to_owned(),
            at: now_us(),
            target: self.settings.name.clone(),
            ok,
        });
        state.in_flight -= 1;
        state.note_load();
    }

    /// Applies the fault switches to one request; `work_us` overrides the service time.
    pub(super) fn decide(&self, work_us: Option<u64>) -> Decision {
        let mut state = self.lock();
        let State { faults, rng, .. } = &mut *state;
        let fails = rng.random_range(0..1000) < faults.fail_permille;
        let work_us = work_us.unwrap_or_else(|| self.settings.service_time.sample(rng));
        let fail = if fails { faults.fail } else { Fail::No };
        let (late_ms, close_idle) = (faults.late_ms, faults.close_idle);
        Decision {
            fail,
            late_ms,
            close_idle,
            work_us: (work_us as f64 * state.slowdown()) as u64,
        }
    }

    /// The in-flight count that the load report gives.
    pub(super) fn reported_load(&self) -> u32 {
        let state = self.lock();
        match state.faults.load {
            LoadFault::No => state.in_flight,
            LoadFault::Zero => 0,
            LoadFault::Delayed => {
                let age_ms = u128::from(state.faults.load_delay_ms);
                state
                    .loads
                    .iter()
                    .rev()
                    .find(|(at, _)| at.elapsed().as_millis() >= age_ms)
                    .map_or(0, |(_, load)| *load)
            }
        }
    }
}

impl Incarnation {
    fn born(number: u64) -> Self {
        Incarnation {
            number,
            born_ms: now_us() / 1000,
            ..Default::default()
        }
    }
}

impl State {
    /// The factor on the service time now.
    fn slowdown(&self) -> f64 {
        let faults = &self.faults;
        let slow_for = self.faults_since.elapsed().as_millis();
        let cold_for = self.started_at.elapsed().as_millis();
        let mut factor = 1.0;
        if faults.slow_ms == 0 || slow_for < u128::from(faults.slow_ms) {
            factor *= faults.slow_factor;
        }
        if cold_for < u128::from(faults.cold_ms) {
            factor *= faults.cold_factor;
        }
        factor
    }

    /// Adds a record to the history. Each line is written at once, so that the file is
    /// complete when the process is killed.
    fn note(&mut self, record: Record) {
        if let Some(file) = &mut self.file {
            // The file only serves a later check, which finds the records missing.
            drop(file.write_all(to_lines([&record]).as_bytes()));
        }
        self.history.push(record);
    }

    fn note_load(&mut self) {
        if self.loads.len() == LOAD_SAMPLES {
            self.loads.pop_front();
        }
        self.loads.push_back((Instant::now(), self.in_flight));
    }
}
