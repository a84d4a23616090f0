//! Runs tables of fault cases: each injects faults into a fleet under load and checks the
//! histories of callers and targets afterwards.

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
    load::{LoadReport, LoadSettings, RequestKind},
    log::{DownMode, LogFaults},
    process::Signal,
    proxy::{Proxy, ProxyFaults, Relay, RelayFaults, RelaySettings},
    target::TargetFaults,
};

use crate::fleet_fixture::{Fleet, WAIT_TIMEOUT, host_specs, request_mix};

/// Number of cases that run at the same time in this process. Each one starts three nodes;
/// more of them make the timing unreliable on a shared machine with ten cores.
const MAX_CONCURRENT_CASES: usize = 4;

/// Duration of a short fault, below the timeout of the requests.
pub(crate) const SHORT_FAULT_MS: u64 = 700;

/// Duration of a fault that outlasts the timeout of the requests.
pub(crate) const LONG_FAULT_MS: u64 = 2_500;

/// Timeout of the requests.
const REQUEST_TIMEOUT_MS: u64 = 1_500;

/// Time that a target works on a request.
const WORK_US: u64 = 15_000;

/// Longest load of a case, unless its faults last longer.
const MAX_LOAD_MS: u64 = 10_000;

/// Environment variable with the number of seeds that each case runs with.
const SEEDS_VARIABLE: &str = "PLANTAINPOST_SEEDS";

/// A fault that a step injects and removes. It affects the busiest host, see
/// [`LinkedFleet::busiest_host`], unless the variant says otherwise.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// The node is killed and restarted at the end of the step.
    KillGuard,
    /// The node is suspended with SIGSTOP until the end of the step.
    FreezeGuard,
    /// Node 0, the first entry, is killed and restarted at the end of the step.
    KillEntry,
    /// Node 0, the first entry, is suspended with SIGSTOP until the end of the step.
    FreezeEntry,
    /// The target has these faults.
    Target(TargetFaults),
    /// All targets have these faults, so that balancing cannot avoid them.
    Targets(TargetFaults),
    /// The target announces that it is leaving, until the end of the step.
    TargetLeaving,
    /// The log service refuses connections.
    LogDown,
    /// TCP connections to all nodes have these faults.
    Connections(ProxyFaults),
    /// All open TCP connections to all nodes are closed at the start of the step.
    CutConnections,
    /// All open TCP connections to all nodes carry nothing from the start of the step on.
    SilenceConnections,
    /// UDP datagrams between all nodes have these faults.
    Datagrams(RelayFaults),
}

/// Faults that are injected and removed together.
pub(crate) struct FaultStep {
    pub(crate) faults: Vec<Fault>,
    /// Time between injection and removal.
    pub(crate) duration_ms: u64,
}

pub(crate) fn step(duration_ms: u64, faults: impl Into<Vec<Fault>>) -> FaultStep {
    let faults = faults.into();
    FaultStep {
        faults,
        duration_ms,
    }
}

/// A test case: steps that run one after the other while callers send requests.
pub(crate) struct FaultCase {
    pub(crate) name: &'static str,
    pub(crate) steps: Vec<FaultStep>,
}

pub(crate) fn case(name: &'static str, steps: impl Into<Vec<FaultStep>>) -> FaultCase {
    let steps = steps.into();
    FaultCase { name, steps }
}

/// The network path of the other nodes to one node: a TCP proxy and a UDP relay.
pub(crate) struct Link {
    pub(crate) tcp: Proxy,
    pub(crate) udp: Relay,
}

impl Link {
    /// Starts a proxy and a relay for a node and rewrites its settings in `text`, so that
    /// the node advertises their address.
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

/// A fleet whose nodes reach each other only through [`Link`]s.
pub(crate) struct LinkedFleet {
    pub(crate) fleet: Fleet,
    /// One link to each node, in the order of the nodes.
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

    /// Returns the host whose target has started the most requests, so that a fault affects
    /// requests in flight. Leaves out host 0, whose node is the first entry.
    pub(crate) fn busiest_host(&self) -> usize {
        let hosts = 1..self.fleet.targets.len();
        let busiest = hosts.max_by_key(|i| self.fleet.targets[*i].started_count());
        busiest.expect("there are hosts")
    }

    fn inject_fault(&mut self, i: usize, fault: &Fault) {
        let fleet = &mut self.fleet;
        match fault {
            Fault::KillGuard => fleet.nodes[i].kill(),
            Fault::KillEntry => fleet.nodes[0].kill(),
            Fault::FreezeGuard => signal_node(fleet, i, Signal::Stop),
            Fault::FreezeEntry => signal_node(fleet, 0, Signal::Stop),
            Fault::Target(faults) => fleet.targets[i].set_faults(faults.clone()),
            Fault::Targets(faults) => self.set_target_faults(faults),
            Fault::TargetLeaving => fleet.targets[i].set_leaving(true),
            Fault::LogDown => fleet.log.set_faults(LogFaults {
                down: DownMode::Refuse,
                ..Default::default()
            }),
            Fault::Connections(faults) => self.set_proxy_faults(faults),
            Fault::CutConnections => self
                .links
                .iter()
                .for_each(|link| link.tcp.cut_connections()),
            Fault::SilenceConnections => self
                .links
                .iter()
                .for_each(|link| link.tcp.silence_connections()),
            Fault::Datagrams(faults) => self.set_relay_faults(faults),
        }
    }

    fn remove_fault(&mut self, i: usize, fault: &Fault) {
        let fleet = &mut self.fleet;
        match fault {
            Fault::KillGuard => fleet.nodes[i].restart(),
            Fault::KillEntry => fleet.nodes[0].restart(),
            Fault::FreezeGuard => signal_node(fleet, i, Signal::Cont),
            Fault::FreezeEntry => signal_node(fleet, 0, Signal::Cont),
            Fault::Target(_) => fleet.targets[i].set_faults(TargetFaults::default()),
            Fault::Targets(_) => self.set_target_faults(&TargetFaults::default()),
            Fault::TargetLeaving => fleet.targets[i].set_leaving(false),
            Fault::LogDown => fleet.log.set_faults(LogFaults::default()),
            Fault::Connections(_) => self.set_proxy_faults(&ProxyFaults::default()),
            Fault::CutConnections | Fault::SilenceConnections => (),
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

    /// Injects all faults of a step, waits, and removes them.
    pub(crate) fn run_step(&mut self, step: &FaultStep) {
        let i = self.busiest_host();
        for fault in &step.faults {
            self.inject_fault(i, fault);
        }
        thread::sleep(Duration::from_millis(step.duration_ms));
        for fault in &step.faults {
            self.remove_fault(i, fault);
        }
    }
}

fn signal_node(fleet: &Fleet, i: usize, signal: Signal) {
    let process = &fleet.nodes[i].process;
    process.signal(signal).expect("the node runs");
}

/// Runs all cases, up to [`MAX_CONCURRENT_CASES`] at a time, each with the number of seeds
/// from [`SEEDS_VARIABLE`]. Returns a message for each failed run.
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

/// Returns the number of seeds from the environment, 1 by default.
pub(crate) fn seed_count() -> u64 {
    let seeds = env::var(SEEDS_VARIABLE)
        .ok()
        .and_then(|text| text.parse().ok());
    seeds.unwrap_or(1)
}

/// Limits the cases that run at the same time, over all tests of this process.
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

/// Runs one case and turns a panic into an error.
fn run_catching_panics(case: &FaultCase, seed: u64) -> Result<(), String> {
    let _permit = CasePermit::acquire();
    catch_unwind(AssertUnwindSafe(|| run_case(case, seed))).unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        Err(text.unwrap_or_else(|| "panicked".to_owned()))
    })
}

fn run_case(case: &FaultCase, seed: u64) -> Result<(), String> {
    let mut linked_fleet = LinkedFleet::start(seed);
    let faults_ms: u64 = case.steps.iter().map(|step| step.duration_ms).sum();
    let settings = LoadSettings {
        rate: 120.0,
        duration_ms: (3 * faults_ms + 1_500).clamp(6_000, MAX_LOAD_MS.max(faults_ms + 2_500)),
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
    served.map(|summary| println!("{}, seed {seed}: {summary}", case.name))
}

/// Returns the request mix with [`WORK_US`] of work per request, so that requests are in
/// flight when a fault begins.
fn request_kinds() -> Vec<RequestKind> {
    let kinds = request_mix("stock").into_iter();
    let work = |kind| RequestKind {
        work_us: Some(WORK_US),
        ..kind
    };
    kinds.map(work).collect()
}

/// Checks that at least half of the requests are answered correctly: a fleet that refuses
/// everything would break no rule of the history check. Returns a summary of the report.
fn check_served(report: &LoadReport) -> Result<String, String> {
    let row = report.row("node").ok_or("the report has no row `node`")?;
    let holds = row.sent >= 500 && row.correct_share >= 0.5 && row.wrong == 0;
    let (sent, correct, reasons) = (row.sent, row.correct, &row.reasons);
    match holds {
        true => Ok(format!("{sent} sent, {correct} correct, {reasons:?}")),
        false => Err(format!("{row:#?}")),
    }
}

/// Stops the targets and checks their histories together with those of the callers.
fn check_case_histories(linked_fleet: LinkedFleet, report: &LoadReport) -> Result<(), String> {
    let mut records = report.records.clone();
    for target in linked_fleet.fleet.targets {
        records.extend(target.drain(WAIT_TIMEOUT / 4));
    }
    history::check(&records, &CheckSettings::default())
        .map(|_| ())
        .map_err(|violation| violation.to_string())
}
