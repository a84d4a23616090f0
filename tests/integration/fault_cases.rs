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
const ROWS_AT_ONCE: usize = 4;

/// Time that a fault lasts unless a row says otherwise.
pub(crate) const SHORT_MS: u64 = 700;

/// Time for which a process or a connection is held: longer than the deadlines.
pub(crate) const LONG_MS: u64 = 2_500;

/// Deadline of the requests, in milliseconds.
const TIMEOUT_MS: u64 = 1_500;

/// Time that a target works on a request, in microseconds.
const WORK_US: u64 = 15_000;

/// Longest load of a row unless its faults last longer, in milliseconds.
const LONGEST_MS: u64 = 10_000;

/// Variable with the number of seeds that each row runs with.
const SEEDS: &str = "PLANTAINPOST_SEEDS";

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
pub(crate) struct Step {
    pub(crate) faults: Vec<Fault>,
    /// Time between begin and end.
    pub(crate) hold_ms: u64,
}

/// Returns a step.
pub(crate) fn step(hold_ms: u64, faults: impl Into<Vec<Fault>>) -> Step {
    let faults = faults.into();
    Step { faults, hold_ms }
}

/// A row: steps that follow each other while callers send requests.
pub(crate) struct Row {
    pub(crate) name: &'static str,
    pub(crate) steps: Vec<Step>,
}

/// Returns a row.
pub(crate) fn row(name: &'static str, steps: impl Into<Vec<Step>>) -> Row {
    let steps = steps.into();
    Row { name, steps }
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
pub(crate) struct World {
    pub(crate) fleet: Fleet,
    /// One link per node, in the order of the nodes.
    pub(crate) links: Vec<Link>,
}

impl World {
    /// Starts three hosts of one service.
    pub(crate) fn start(seed: u64) -> Self {
        let links = RefCell::default();
        let fleet = Fleet::start_with_settings(&host_specs("stock", 3), |i, text| {
            let link = Link::start(text, seed * 1_000 + i as u64);
            RefCell::<Vec<Link>>::borrow_mut(&links).push(link);
        });
        let links = links.into_inner();
        World { fleet, links }
    }

    /// Returns the host whose target has started most requests, so that a fault meets
    /// traffic. Host 0, the first entry, is left out.
    pub(crate) fn busiest(&self) -> usize {
        let hosts = 1..self.fleet.targets.len();
        let busiest = hosts.max_by_key(|i| self.fleet.targets[*i].started());
        busiest.expect("there are hosts")
    }

    fn begin(&mut self, i: usize, fault: &Fault) {
        let fleet = &mut self.fleet;
        match fault {
            Fault::KillGuard => fleet.nodes[i].kill(),
            Fault::KillEntry => fleet.nodes[0].kill(),
            Fault::FreezeGuard => signal(fleet, i, Signal::Stop),
            Fault::FreezeEntry => signal(fleet, 0, Signal::Stop),
            Fault::Target(faults) => fleet.targets[i].set_faults(faults.clone()),
            Fault::Targets(faults) => self.set_targets(faults),
            Fault::Leave => fleet.targets[i].set_leaving(true),
            Fault::LogDown => fleet.log.set_faults(LogFaults {
                down: Down::Refuse,
                ..Default::default()
            }),
            Fault::Connections(faults) => self.set_proxies(faults),
            Fault::Cut => self.links.iter().for_each(|link| link.tcp.cut()),
            Fault::Datagrams(faults) => self.set_relays(faults),
        }
    }

    fn end(&mut self, i: usize, fault: &Fault) {
        let fleet = &mut self.fleet;
        match fault {
            Fault::KillGuard => fleet.nodes[i].restart(),
            Fault::KillEntry => fleet.nodes[0].restart(),
            Fault::FreezeGuard => signal(fleet, i, Signal::Cont),
            Fault::FreezeEntry => signal(fleet, 0, Signal::Cont),
            Fault::Target(_) => fleet.targets[i].set_faults(TargetFaults::default()),
            Fault::Targets(_) => self.set_targets(&TargetFaults::default()),
            Fault::Leave => fleet.targets[i].set_leaving(false),
            Fault::LogDown => fleet.log.set_faults(LogFaults::default()),
            Fault::Connections(_) => self.set_proxies(&ProxyFaults::default()),
            Fault::Cut => (),
            Fault::Datagrams(_) => self.set_relays(&RelayFaults::default()),
        }
    }

    fn set_targets(&self, faults: &TargetFaults) {
        for target in &self.fleet.targets {
            target.set_faults(faults.clone());
        }
    }

    fn set_proxies(&self, faults: &ProxyFaults) {
        for link in &self.links {
            link.tcp.set_faults(faults.clone());
        }
    }

    fn set_relays(&self, faults: &RelayFaults) {
        for link in &self.links {
            link.udp.set_faults(faults.clone());
        }
    }

    /// Begins all faults of a step, waits, and ends them.
    pub(crate) fn disturb(&mut self, step: &Step) {
        let i = self.busiest();
        for fault in &step.faults {
            self.begin(i, fault);
        }
        thread::sleep(Duration::from_millis(step.hold_ms));
        for fault in &step.faults {
            self.end(i, fault);
        }
    }
}

fn signal(fleet: &Fleet, i: usize, signal: Signal) {
    let process = &fleet.nodes[i].process;
    process.signal(signal).expect("the node runs");
}

/// Runs all rows, several at a time, each with as many seeds as the environment asks for.
/// Returns what failed.
pub(crate) fn run_rows(rows: &[Row]) -> Vec<String> {
    let seeds = seeds();
    let job = |seed| move |row| (row, seed);
    let jobs: VecDeque<(&Row, u64)> = (0..seeds)
        .flat_map(|seed| rows.iter().map(job(seed)))
        .collect();
    let count = jobs.len();
    let (jobs, failures) = (Mutex::new(jobs), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for _ in 0..ROWS_AT_ONCE {
            scope.spawn(|| {
                while let Some((row, seed)) = next(&jobs) {
                    if let Err(failure) = guarded(row, seed) {
                        println!("FAILED {}, seed {seed}: {failure}", row.name);
                        lock(&failures).push(format!("{}, seed {seed}: {failure}", row.name));
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

fn next<'a>(jobs: &Mutex<VecDeque<(&'a Row, u64)>>) -> Option<(&'a Row, u64)> {
    lock(jobs).pop_front()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the number of seeds.
pub(crate) fn seeds() -> u64 {
    let seeds = env::var(SEEDS).ok().and_then(|text| text.parse().ok());
    seeds.unwrap_or(1)
}

/// Bounds the rows that run at the same time over all tests of this process.
struct Permit;

static RUNNING: Mutex<usize> = Mutex::new(0);
static FREED: Condvar = Condvar::new();

impl Permit {
    fn acquire() -> Self {
        let full = |running: &mut usize| *running >= ROWS_AT_ONCE;
        let running = FREED.wait_while(lock(&RUNNING), full);
        *running.unwrap_or_else(PoisonError::into_inner) += 1;
        Permit
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *lock(&RUNNING) -= 1;
        FREED.notify_one();
    }
}

/// Runs one row; a panic counts as a failure.
fn guarded(row: &Row, seed: u64) -> Result<(), String> {
    let _permit = Permit::acquire();
    catch_unwind(AssertUnwindSafe(|| run(row, seed))).unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        Err(text.unwrap_or_else(|| "panicked".to_owned()))
    })
}

fn run(row: &Row, seed: u64) -> Result<(), String> {
    let mut world = World::start(seed);
    let held: u64 = row.steps.iter().map(|step| step.hold_ms).sum();
    let settings = LoadSettings {
        rate: 120.0,
        duration_ms: (3 * held + 1_500).clamp(6_000, LONGEST_MS.max(held + 2_500)),
        timeout_ms: TIMEOUT_MS,
        seed,
        kinds: kinds(),
        ..Default::default()
    };
    let load = world.fleet.start_load(&[0, 2], settings);
    thread::sleep(Duration::from_millis(SHORT_MS));
    for step in &row.steps {
        world.disturb(step);
    }
    let report = load.wait().map_err(|err| err.to_string())?;
    let served = expect_served(&report);
    verify(world, &report)?;
    served.map(|figures| println!("{}, seed {seed}: {figures}", row.name))
}

/// The usual mix, with enough work that a fault meets requests in flight.
fn kinds() -> Vec<Kind> {
    let kinds = request_mix("stock").into_iter();
    let work = |kind| Kind {
        work_us: Some(WORK_US),
        ..kind
    };
    kinds.map(work).collect()
}

/// Most requests must be answered: a fleet that refuses everything keeps its promises,
/// too. Returns the figures in short.
fn expect_served(report: &Report) -> Result<String, String> {
    let row = report.row("node").ok_or("no row")?;
    let holds = row.sent >= 500 && row.correct_share >= 0.5 && row.wrong == 0;
    let (sent, correct, reasons) = (row.sent, row.correct, &row.reasons);
    match holds {
        true => Ok(format!("{sent} sent, {correct} correct, {reasons:?}")),
        false => Err(format!("{row:#?}")),
    }
}

/// Stops the targets and checks the merged histories.
fn verify(world: World, report: &Report) -> Result<(), String> {
    let mut records = report.records.clone();
    for target in world.fleet.targets {
        records.extend(target.drain(WAIT_TIMEOUT / 4));
    }
    history::check(&records, &CheckSettings::default())
        .map(|_| ())
        .map_err(|violation| violation.to_string())
}
