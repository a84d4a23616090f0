//! The state of a target: fault switches, incarnation, counters and history.

use std::{
    collections::{HashMap, VecDeque},
    fs::File,
    io::Write,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::sync::{Notify, Semaphore};

use super::{Interface, LoadReportFault, RequestFailure, TargetFaults, TargetSettings};
use crate::{
    clock::now_us,
    error::Result,
    history::{Record, create_file, to_lines},
};

/// In-flight counts kept for the delayed load report.
const MAX_LOAD_SAMPLES: usize = 100_000;

/// State shared between the target's thread and its handle.
#[derive(Debug)]
pub(super) struct SharedTarget {
    pub(super) settings: TargetSettings,
    /// The address of the main listener.
    pub(super) address: SocketAddr,
    /// One permit per slot.
    pub(super) slots: Semaphore,
    /// Notified when the announcement must be sent again at once.
    pub(super) announcement_changed: Notify,
    state: Mutex<TargetState>,
}

#[derive(Debug)]
struct TargetState {
    faults: TargetFaults,
    faults_set_at: Instant,
    started_at: Instant,
    /// End of the cold period that the target reports; `None` if it never was cold.
    cold_until: Option<Instant>,
    node: Option<SocketAddr>,
    announced: bool,
    incarnation: TargetIncarnation,
    in_flight: u32,
    /// The in-flight count after each change and the time of the change, oldest first.
    load_samples: VecDeque<(Instant, u32)>,
    executions: HashMap<String, u64>,
    started_count: u64,
    history: Vec<Record>,
    history_file: Option<File>,
    rng: StdRng,
}

/// One incarnation of a target, as announced on the platform.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetIncarnation {
    /// Number within the target, from 0.
    pub(super) number: u64,
    /// Start time in ms since the Unix epoch.
    pub(super) born_ms: u64,
    /// Number of announcements so far.
    pub(super) sequence: u64,
    /// Whether a node has acknowledged that the incarnation is leaving.
    leave_acknowledged: bool,
}

/// How one request is processed, as given by the service time and the fault switches.
#[derive(Debug)]
pub(super) struct RequestBehaviour {
    pub(super) fail: RequestFailure,
    pub(super) late_ms: u64,
    pub(super) close_idle: bool,
    pub(super) work_us: u64,
}

impl SharedTarget {
    pub(super) fn new(settings: TargetSettings, address: SocketAddr) -> Result<Self> {
        let now = Instant::now();
        let history_file = settings.history.as_deref().map(create_file).transpose()?;
        let shared = Self {
            address,
            slots: Semaphore::new(settings.slots as usize),
            announcement_changed: Notify::new(),
            state: Mutex::new(TargetState {
                faults: settings.faults.clone(),
                faults_set_at: now,
                started_at: now,
                cold_until: None,
                node: settings.node,
                announced: false,
                incarnation: TargetIncarnation::started_now(0),
                in_flight: 0,
                load_samples: VecDeque::new(),
                executions: HashMap::new(),
                started_count: 0,
                history: Vec::new(),
                history_file,
                rng: StdRng::seed_from_u64(settings.seed),
            }),
            settings,
        };
        let leaving = shared.settings.faults.leaving;
        shared.record_leaving(&mut shared.lock(), leaving);
        Ok(shared)
    }

    fn lock(&self) -> MutexGuard<'_, TargetState> {
        self.state.lock().unwrap_or_else(|err| err.into_inner())
    }

    pub(super) fn faults(&self) -> TargetFaults {
        self.lock().faults.clone()
    }

    pub(super) fn set_faults(&self, faults: TargetFaults) {
        let mut state = self.lock();
        if state.faults.leaving != faults.leaving {
            self.record_leaving(&mut state, faults.leaving);
            if !faults.leaving {
                // An incarnation that is leaving can't return, so a new one begins.
                state.incarnation = TargetIncarnation::started_now(state.incarnation.number + 1);
            }
        }
        state.faults = faults;
        state.faults_set_at = Instant::now();
        drop(state);
        self.announcement_changed.notify_one();
    }

    /// Reports the target as cold for a time, from now on.
    pub(super) fn become_cold(&self, duration: Duration) {
        self.lock().cold_until = Some(Instant::now() + duration);
    }

    /// Returns for how long the target is cold, in ms; 0 if it is not.
    pub(super) fn cold_ms(&self) -> u64 {
        let cold_until = self.lock().cold_until;
        let left = cold_until.map(|at| at.saturating_duration_since(Instant::now()));
        left.unwrap_or_default().as_millis() as u64
    }

    /// Records in the history that the target is leaving or serving again.
    fn record_leaving(&self, state: &mut TargetState, leaving: bool) {
        if leaving && self.settings.interface == Interface::Platform {
            // On the platform, a target counts as leaving only when a node has acknowledged it;
            // see `record_leave_acknowledged`.
            return;
        }
        let (at, target) = (now_us(), self.settings.name.clone());
        state.record(match leaving {
            true => Record::Leaving { at, target },
            false => Record::Serving { at, target },
        });
    }

    /// Counts an announcement and returns its content: the incarnation, and whether it is
    /// leaving.
    pub(super) fn next_announcement(&self) -> (TargetIncarnation, bool) {
        let mut state = self.lock();
        state.incarnation.sequence += 1;
        (state.incarnation.clone(), state.faults.leaving)
    }

    /// Records that a node acknowledged that incarnation `number` is leaving.
    pub(super) fn record_leave_acknowledged(&self, number: u64) {
        let mut state = self.lock();
        if state.incarnation.number != number || state.incarnation.leave_acknowledged {
            return;
        }
        state.incarnation.leave_acknowledged = true;
        let (at, target) = (now_us(), self.settings.name.clone());
        state.record(Record::Leaving { at, target });
    }

    /// Returns the instance id of the current incarnation.
    pub(super) fn current_instance_id(&self) -> String {
        self.instance_id(self.lock().incarnation.number)
    }

    /// Returns the instance id of an incarnation.
    pub(super) fn instance_id(&self, number: u64) -> String {
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
        self.announcement_changed.notify_one();
    }

    pub(super) fn is_announced(&self) -> bool {
        self.lock().announced
    }

    pub(super) fn set_announced(&self, announced: bool) {
        self.lock().announced = announced;
    }

    pub(super) fn execution_count(&self, nonce: &str) -> u64 {
        self.lock().executions.get(nonce).copied().unwrap_or(0)
    }

    pub(super) fn execution_counts(&self) -> HashMap<String, u64> {
        self.lock().executions.clone()
    }

    pub(super) fn started_count(&self) -> u64 {
        self.lock().started_count
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.lock().in_flight
    }

    pub(super) fn history(&self) -> Vec<Record> {
        self.lock().history.clone()
    }

    /// Records that a request was started.
    pub(super) fn record_start(&self, nonce: &str, workspace: Option<String>) {
        let mut state = self.lock();
        state.started_count += 1;
        *state.executions.entry(nonce.to_owned()).or_default() += 1;
        state.record(Record::Started {
            nonce: nonce.to_owned(),
            at: now_us(),
            target: self.settings.name.clone(),
            workspace,
        });
        state.in_flight += 1;
        state.record_load_sample();
    }

    /// Records that a request ended; `complete` says whether the whole response was written.
    pub(super) fn record_end(&self, nonce: &str, complete: bool) {
        let mut state = self.lock();
        state.record(Record::Ended {
            nonce: nonce.to_owned(),
            at: now_us(),
            target: self.settings.name.clone(),
            ok: complete,
        });
        state.in_flight -= 1;
        state.record_load_sample();
    }

    /// Draws the service time of one request and applies the fault switches to it; `work_us`
    /// replaces the drawn service time.
    pub(super) fn draw_behaviour(&self, work_us: Option<u64>) -> RequestBehaviour {
        let mut state = self.lock();
        let TargetState { faults, rng, .. } = &mut *state;
        let fails = rng.random_range(0..1000) < faults.fail_permille;
        let work_us = work_us.unwrap_or_else(|| self.settings.service_time.sample(rng));
        let fail = if fails {
            faults.fail
        } else {
            RequestFailure::No
        };
        let (late_ms, close_idle) = (faults.late_ms, faults.close_idle);
        RequestBehaviour {
            fail,
            late_ms,
            close_idle,
            work_us: (work_us as f64 * state.service_time_factor()) as u64,
        }
    }

    /// Returns the in-flight count for the load report, which `faults.load` may falsify.
    pub(super) fn reported_load(&self) -> u32 {
        let state = self.lock();
        match state.faults.load {
            LoadReportFault::No => state.in_flight,
            LoadReportFault::Zero => 0,
            LoadReportFault::Delayed => {
                let age_ms = u128::from(state.faults.load_delay_ms);
                state
                    .load_samples
                    .iter()
                    .rev()
                    .find(|(at, _)| at.elapsed().as_millis() >= age_ms)
                    .map_or(0, |(_, load)| *load)
            }
        }
    }
}

impl TargetIncarnation {
    fn started_now(number: u64) -> Self {
        TargetIncarnation {
            number,
            born_ms: now_us() / 1000,
            ..Default::default()
        }
    }
}

impl TargetState {
    /// Returns the current factor on the service time.
    fn service_time_factor(&self) -> f64 {
        let faults = &self.faults;
        let since_faults_set_ms = self.faults_set_at.elapsed().as_millis();
        let since_start_ms = self.started_at.elapsed().as_millis();
        let mut factor = 1.0;
        if faults.slow_ms == 0 || since_faults_set_ms < u128::from(faults.slow_ms) {
            factor *= faults.slow_factor;
        }
        if since_start_ms < u128::from(faults.cold_ms) {
            factor *= faults.cold_factor;
        }
        factor
    }

    /// Adds a record to the history. Each line is written to the file at once, so that the file
    /// is complete when the process is killed.
    fn record(&mut self, record: Record) {
        if let Some(history_file) = &mut self.history_file {
            // A write error is ignored: the later check of the file reports the missing records.
            drop(history_file.write_all(to_lines([&record]).as_bytes()));
        }
        self.history.push(record);
    }

    fn record_load_sample(&mut self) {
        if self.load_samples.len() == MAX_LOAD_SAMPLES {
            self.load_samples.pop_front();
        }
        self.load_samples
            .push_back((Instant::now(), self.in_flight));
    }
}
