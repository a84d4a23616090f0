//! Rows of fault tables: what disturbs a fleet under load, and what must hold afterwards.

use std::{
    cell::RefCell,
    collections::VecDeque,
    env,
    net::SocketAddr,
    panic::{AssertUnwindSafe, catch_unwind},
    sync::{Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use plantainpost_standin::{
    history::{self, CheckSettings},
    load::{Kind, LoadSettings, Report},
    log::{Down, LogFaults},
    process::Signal,
    proxy::{Proxy, ProxyFaults, Relay, RelayFaults, RelaySettings},
    target::TargetFaults,
};

use crate::fleet_fixture::{Fleet, WAIT_TIMEOUT, host_specs, request_mix};

/// Rows that run at the same time in this process. Each one starts three nodes, and more
/// of them make the timing of a shared machine with ten cores fragile.
const MAX_CONCURRENT_CASES: usize = 4;

/// Time that a fault lasts unless a row says otherwise.
pub(crate) const SHORT_FAULT_MS: u64 = 700;

/// Time for which a process or a connection is held: longer than the deadlines.
pub(crate) const LONG_FAULT_MS: u64 = 2_500;

/// Deadline of the requests, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 1_500;

/// Time that a target works on a request, in microseconds.
const WORK_US: u64 = 15_000;

/// Longest load of a row unless its faults last longer, in milliseconds.
const MAX_LOAD_MS: u64 = 10_000;

/// Variable with the number of seeds that each row runs with.
const SEEDS_VARIABLE: &str = "PLANTAINPOST_SEEDS";

/// Something that goes wrong, begun and ended by the row. It meets the host whose target
/// has started most requests, unless it says otherwise.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// The node is killed, and started again at the end.
    KillGuard,
    /// The node does not run until the end.
    FreezeGuard,
    /// The first entry is killed, and started again at the end.
    KillEntry,
    /// The first entry does not run until the end.
    FreezeEntry,
    /// The target has these faults.
    Target(TargetFaults),
    /// All targets have these faults, so that none can be avoided.
    Targets(TargetFaults),
    /// The target is leaving until the end.
    Leave,
    /// The log service accepts no connections.
    LogDown,
    /// Connections to all guards have these faults.
    Connections(ProxyFaults),
    /// All open connections to all guards are cut at the beginning.
    Cut,
    /// Datagrams between all nodes have these faults.
    Datagrams(RelayFaults),
}

/// Faults that begin and end together.
pub(crate) struct FaultStep {
    pub(crate) faults: Vec<Fault>,
    /// Time between begin and end.
    pub(crate) hold_ms: u64,
}

/// Returns a step.
pub(crate) fn step(hold_ms: u64, faults: impl Into<Vec<Fault>>) -> FaultStep {
    let faults = faults.into();
    FaultStep { faults, hold_ms }
}

/// A row: steps that follow each other while callers send requests.
pub(crate) struct FaultCase {
    pub(crate) name: &'static str,
    pub(crate) steps: Vec<FaultStep>,
}

/// Returns a row.
pub(crate) fn case(name: &'static str, steps: impl Into<Vec<FaultStep>>) -> FaultCase {
    let steps = steps.into();
    FaultCase { name, steps }
}

/// The way of other nodes to one node.
pub(crate) struct Link {
    pub(crate) tcp: Proxy,
    pub(crate) udp: Relay,
}

impl Link {
    /// Makes a node known by an address at which a proxy and a relay listen, and starts
    /// them. `text` holds the settings of the node.
    pub(crate) fn start(text: &mut String, seed: u64) -> Self {
        let server: SocketAddr = text
            .lines()
            .find_map(|line| line.strip_prefix("peer_tcp = "))
            .and_then(|addr| addr.parse().ok())
            .expect("the settings hold the address for peers");
        let listen = SocketAddr::from(([127, 0, 0, 2], server.port()));
        for name in ["ip", "contacts"] {
            *text = text.replace(
                &format!("\n{name} = 127.0.0.1"),
                &format!("\n{name} = 127.0.0.2"),
            );
        }
        let settings = RelaySettings {
            listen,
            server,
            seed,
            ..Default::default()
        };
        Link {
            tcp: Proxy::start_on(listen, server).expect("the proxy starts"),
            udp: Relay::start(&settings).expect("the relay starts"),
        }
    }
}

/// A fleet whose nodes reach each other through links.
pub(crate) struct LinkedFleet {
    pub(crate) fleet: Fleet,
    /// One link per node, in the order of the nodes.
    pub(crate) links: Vec<Link>,
}

impl LinkedFleet {
    /// Starts three hosts of one service.
    pub(crate) fn start(seed: u64) -> Self {
        let links = RefCell::default();
        let fleet = Fleet::start_with_settings(&host_specs("stock", 3), |i, text| {
            let link = Link::start(text, seed * 1_000 + i as u64);
            RefCell::<Vec<Link>>::borrow_mut(&links).push(link);
        });
        let links = links.into_inner();
        LinkedFleet { fleet, links }
    }

    /// Returns the host whose target has started most requests, so that a fault meets
    /// traffic. Host 0, the first entry, is left out.
    pub(crate) fn busiest_host(&self) -> usize {
        let hosts = 1..self.fleet.targets.len();
        let busiest = hosts.max_by_key(|i| self.fleet.targets[*i].started());
        busiest.expect("there are hosts")
    }

    fn begin_fault(&mut self, i: usize, fault: &Fault) {
        let fleet = &mut self.fleet;
        match fault {
            Fault::KillGuard => fleet.nodes[i].kill(),
            Fault::KillEntry => fleet.nodes[0].kill(),
            Fault::FreezeGuard => signal_node(fleet, i, Signal::Stop),
            Fault::FreezeEntry => signal_node(fleet, 0, Signal::Stop),
            Fault::Target(faults) => fleet.targets[i].set_faults(faults.clone()),
            Fault::Targets(faults) => self.set_target_faults(faults),
            Fault::Leave => fleet.targets[i].set_leaving(true),
            Fault::LogDown => fleet.log.set_faults(LogFaults {
                down: Down::Refuse,
                ..Default::default()
            }),
            Fault::Connections(faults) => self.set_proxy_faults(faults),
            Fault::Cut => self.links.iter().for_each(|link| link.tcp.cut()),
            Fault::Datagrams(faults) => self.set_relay_faults(faults),
        }
    }

    fn end_fault(&mut self, i: usize, fault: &Fault) {
        let fleet = &mut self.fleet;
        match fault {
            Fault::KillGuard => fleet.nodes[i].restart(),
            Fault::KillEntry => fleet.nodes[0].restart(),
            Fault::FreezeGuard => signal_node(fleet, i, Signal::Cont),
            Fault::FreezeEntry => signal_node(fleet, 0, Signal::Cont),
            Fault::Target(_) => fleet.targets[i].set_faults(TargetFaults::default()),
            Fault::Targets(_) => self.set_target_faults(&TargetFaults::default()),
            Fault::Leave => fleet.targets[i].set_leaving(false),
            Fault::LogDown => fleet.log.set_faults(LogFaults::default()),
            Fault::Connections(_) => self.set_proxy_faults(&ProxyFaults::default()),
            Fault::Cut => (),
            Fault::Datagrams(_) => self.set_relay_faults(&RelayFaults::default()),
        }
    }

    fn set_target_faults(&self, faults: &TargetFaults) {
        for target in &self.fleet.targets {
            target.set_faults(faults.clone());
        }
    }

    fn set_proxy_faults(&self, faults: &ProxyFaults) {
        for link in &self.links {
            link.tcp.set_faults(faults.clone());
        }
    }

    fn set_relay_faults(&self, faults: &RelayFaults) {
        for link in &self.links {
            link.udp.set_faults(faults.clone());
        }
    }

    /// Begins all faults of a step, waits, and ends them.
    pub(crate) fn run_step(&mut self, step: &FaultStep) {
        let i = self.busiest_host();
        for fault in &step.faults {
            self.begin_fault(i, fault);
        }
        thread::sleep(Duration::from_millis(step.hold_ms));
        for fault in &step.faults {
            self.end_fault(i, fault);
        }
    }
}

fn signal_node(fleet: &Fleet, i: usize, signal: Signal) {
    let process = &fleet.nodes[i].process;
    process.signal(signal).expect("the node runs");
}

/// Runs all rows, several at a time, each with as many seeds as the environment asks for.
/// Returns what failed.
pub(crate) fn run_cases(cases: &[FaultCase]) -> Vec<String> {
    let seeds = seed_count();
    let job = |seed| move |case| (case, seed);
    let jobs: VecDeque<(&FaultCase, u64)> = (0..seeds)
        .flat_map(|seed| cases.iter().map(job(seed)))
        .collect();
    let count = jobs.len();
    let (jobs, failures) = (Mutex::new(jobs), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for _ in 0..MAX_CONCURRENT_CASES {
            scope.spawn(|| {
                while let Some((case, seed)) = next_job(&jobs) {
                    if let Err(failure) = run_catching_panics(case, seed) {
                        println!("FAILED {}, seed {seed}: {failure}", case.name);
                        lock(&failures).push(format!("{}, seed {seed}: {failure}", case.name));
                    }
                }
            });
        }
    });
    let failures = failures
        .into_inner()
        .unwrap_or_else(PoisonError::into_inner);
    println!("{} of {count} runs passed", count - failures.len());
    failures
}

fn next_job<'a>(jobs: &Mutex<VecDeque<(&'a FaultCase, u64)>>) -> Option<(&'a FaultCase, u64)> {
    lock(jobs).pop_front()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the number of seeds.
pub(crate) fn seed_count() -> u64 {
    let seeds = env::var(SEEDS_VARIABLE)
        .ok()
        .and_then(|text| text.parse().ok());
    seeds.unwrap_or(1)
}

/// Bounds the rows that run at the same time over all tests of this process.
struct CasePermit;

static RUNNING_CASES: Mutex<usize> = Mutex::new(0);
static CASE_FINISHED: Condvar = Condvar::new();

impl CasePermit {
    fn acquire() -> Self {
        let full = |running: &mut usize| *running >= MAX_CONCURRENT_CASES;
        let running = CASE_FINISHED.wait_while(lock(&RUNNING_CASES), full);
        *running.unwrap_or_else(PoisonError::into_inner) += 1;
        CasePermit
    }
}

impl Drop for CasePermit {
    fn drop(&mut self) {
        *lock(&RUNNING_CASES) -= 1;
        CASE_FINISHED.notify_one();
    }
}

/// Runs one row; a panic counts as a failure.
fn run_catching_panics(case: &FaultCase, seed: u64) -> Result<(), String> {
    let _permit = CasePermit::acquire();
    catch_unwind(AssertUnwindSafe(|| run_case(case, seed))).unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        Err(text.unwrap_or_else(|| "panicked".to_owned()))
    })
}

fn run_case(case: &FaultCase, seed: u64) -> Result<(), String> {
    let mut linked_fleet = LinkedFleet::start(seed);
    let held: u64 = case.steps.iter().map(|step| step.hold_ms).sum();
    let settings = LoadSettings {
        rate: 120.0,
        duration_ms: (3 * held + 1_500).clamp(6_000, MAX_LOAD_MS.max(held + 2_500)),
        timeout_ms: REQUEST_TIMEOUT_MS,
        seed,
        kinds: request_kinds(),
        ..Default::default()
    };
    let load = linked_fleet.fleet.start_load(&[0, 2], settings);
    thread::sleep(Duration::from_millis(SHORT_FAULT_MS));
    for step in &case.steps {
        linked_fleet.run_step(step);
    }
    let report = load.wait().map_err(|err| err.to_string())?;
    let served = check_served(&report);
    check_case_histories(linked_fleet, &report)?;
    served.map(|figures| println!("{}, seed {seed}: {figures}", case.name))
}

/// The usual mix, with enough work that a fault meets requests in flight.
fn request_kinds() -> Vec<Kind> {
    let kinds = request_mix("stock").into_iter();
    let work = |kind| Kind {
        work_us: Some(WORK_US),
        ..kind
    };
    kinds.map(work).collect()
}

/// Most requests must be answered: a fleet that refuses everything keeps its promises,
/// too. Returns the figures in short.
fn check_served(report: &Report) -> Result<String, String> {
    let row = report.row("node").ok_or("no row")?;
    let holds = row.sent >= 500 && row.correct_share >= 0.5 && row.wrong == 0;
    let (sent, correct, reasons) = (row.sent, row.correct, &row.reasons);
    match holds {
        true => Ok(format!("{sent} sent, {correct} correct, {reasons:?}")),
        false => Err(format!("{row:#?}")),
    }
}

/// Stops the targets and checks the merged histories.
fn check_case_histories(linked_fleet: LinkedFleet, report: &Report) -> Result<(), String> {
    let mut records = report.records.clone();
    for target in linked_fleet.fleet.targets {
        records.extend(target.drain(WAIT_TIMEOUT / 4));
    }
    history::check(&records, &CheckSettings::default())
        .map(|_| ())
        .map_err(|violation| violation.to_string())
}
