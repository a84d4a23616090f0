//! Injects the faults of a schedule into a fleet.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::{
    SERVICES,
    cold::ColdTargets,
    evacuations::{Evacuations, MIN_READABLE_US, is_readable},
    operator::{CONFIG_TOPIC, Operator},
    schedule::{Fault, FaultStep, LinkFault, STOP_DEADLINE_MS},
    versions::Published,
    workspaces::Workspaces,
};
use crate::{
    clock::now_us,
    fleet::Fleet,
    log::LogFaults,
    process::Signal,
    proxy::{Proxy, ProxyFaults},
    target::{RequestFailure, TargetFaults},
};

/// Key of the configuration in the store.
pub(super) const CONFIG_KEY: &str = "config";

/// Delay of a link in milliseconds, in each direction.
const LINK_DELAY_MS: u64 = 150;

/// Number of bytes after which a truncated answer is cut.
const TRUNCATE_AFTER_BYTES: u64 = 300;

/// Share of its requests that a failing target fails, in permille.
const FAIL_PERMILLE: u32 = 300;

/// Factor on the service time of a slowed target.
const SLOW_FACTOR: f64 = 10.0;

/// A fleet and the faults that are active in it.
pub(super) struct FaultInjector {
    pub(super) fleet: Fleet,
    /// Version of the last published configuration; 0 before the first.
    pub(super) version: u64,
    /// The version and the restarts of the nodes, for their observers.
    pub(super) published: Arc<Published>,
    /// Nodes that received SIGTERM and have not been restarted, and whether they were frozen
    /// meanwhile. A frozen node cannot exit, so the stop deadline does not apply to it.
    stopping: BTreeMap<usize, bool>,
    /// Nodes that were killed and have not been restarted.
    killed: Vec<usize>,
    /// Number of overlapping faults by scope. A fault is removed when the last of its scope ends.
    active: BTreeMap<String, u32>,
    /// Time at which a node last started or continued, in µs since the Unix epoch.
    resumed_at_us: BTreeMap<usize, u64>,
    pub(super) operator: Operator,
    pub(super) evacuations: Evacuations,
    /// `None` if targets do not become cold.
    pub(super) cold: Option<ColdTargets>,
    /// `None` if requests need no key.
    pub(super) workspaces: Option<Workspaces>,
}

impl FaultInjector {
    pub(super) fn new(
        fleet: Fleet,
        cold: Option<ColdTargets>,
        workspaces: Option<Workspaces>,
    ) -> Self {
        let restarts = fleet.nodes.iter().map(|_| AtomicU64::new(0)).collect();
        FaultInjector {
            published: Arc::new(Published {
                version: AtomicU64::new(0),
                restarts,
            }),
            cold,
            workspaces,
            fleet,
            version: 0,
            stopping: BTreeMap::new(),
            killed: Vec::new(),
            active: BTreeMap::new(),
            resumed_at_us: BTreeMap::new(),
            operator: Operator::default(),
            evacuations: Evacuations::default(),
        }
    }

    /// Publishes the next version of the configuration. Each version has a route with its number in
    /// the path prefix and no longer the one of the previous version.
    pub(super) fn publish_configuration(&mut self) {
        self.version += 1;
        let version = self.version;
        self.published.version.store(version, Ordering::SeqCst);
        let mut routes = Vec::new();
        let version_prefix = format!("/v{version}/");
        for service in SERVICES {
            let prefixes = [
                ("/safe/", "safe"),
                ("/once/", "unsafe"),
                (version_prefix.as_str(), "safe"),
            ];
            for (prefix, kind) in prefixes {
                routes.push(format!(
                    r#""{service}{prefix}":{{"host":"{service}","pathPrefix":"{prefix}",
                    "kind":"{kind}","timeoutMs":2000,"latencyTargetMs":500,"priority":1,
                    "attempts":2,"service":"{service}"}}"#
                ));
            }
        }
        let warm_up = self.cold.as_ref().map(ColdTargets::rule_json);
        let warm_up = warm_up.unwrap_or_default();
        let services = SERVICES.map(|service| {
            format!(r#""{service}":{{"healthPath":"/healthz","maxConns":220{warm_up}}}"#)
        });
        let tenants = self.workspaces.as_ref().map(Workspaces::tenants_json);
        let tenants = tenants.unwrap_or_default();
        let text = format!(
            r#"{{"version":{version},"routes":{{{}}},"services":{{{}}},{tenants}"limits":
            {{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":3000,
            "idleTimeoutMs":15000}}}}"#,
            routes.join(","),
            services.join(",")
        );
        self.operator
            .write(&self.fleet.log, CONFIG_KEY, text.as_bytes());
    }

    /// Runs the steps of a schedule at their times. All faults have ended afterwards.
    ///
    /// Fails if a node misses its stop deadline or cannot be restarted.
    pub(super) fn run_schedule(&mut self, steps: &[FaultStep]) -> Result<(), String> {
        let start = Instant::now();
        for step in steps {
            let at = start + Duration::from_millis(step.at_ms);
            thread::sleep(at.saturating_duration_since(Instant::now()));
            let is_first_or_last = self.count_active(step);
            self.apply(step, is_first_or_last)?;
            self.rewrite_lost_records();
            let uninformed = self.uninformed_nodes();
            self.evacuations
                .update(&self.fleet, &mut self.operator, &uninformed);
            self.update_workspaces(&uninformed);
        }
        Ok(())
    }

    /// Writes the lost records again, if that is wanted. An operator can only write while the store
    /// answers.
    fn rewrite_lost_records(&mut self) {
        if !is_readable(&self.fleet.log) {
            return;
        }
        for key in self.operator.rewrite_lost(&self.fleet.log) {
            match (key == CONFIG_KEY, &mut self.workspaces) {
                (true, Some(workspaces)) => workspaces.on_rewritten(),
                (true, None) => {}
                (false, _) => self.evacuations.on_rewritten(&key),
            }
        }
    }

    /// Returns the nodes that may have started or continued without records that the last restore lost,
    /// because they did so too shortly before the store failed, or later.
    fn uninformed_nodes(&self) -> Vec<usize> {
        let since_us = self.operator.failed_at_us.saturating_sub(MIN_READABLE_US);
        let nodes = self.resumed_at_us.iter();
        nodes
            .filter(|(_, at_us)| **at_us >= since_us)
            .map(|(i, _)| *i)
            .collect()
    }

    /// Publishes a wanted change of the keys, and notes since when it can be read. Like other writes of
    /// an operator, it waits while the store does not answer.
    fn update_workspaces(&mut self, uninformed: &[usize]) {
        let is_readable = is_readable(&self.fleet.log);
        let Some(workspaces) = &mut self.workspaces else {
            return;
        };
        if is_readable && workspaces.apply_wanted() {
            self.publish_configuration();
        }
        if let Some(workspaces) = &mut self.workspaces {
            let is_lost = self.operator.is_lost(CONFIG_KEY);
            let may_be_unknown = is_lost && !uninformed.is_empty();
            workspaces.update_bound(is_readable, is_lost, may_be_unknown);
        }
    }

    /// Makes a target cold from now on, if the soak does so.
    fn make_cold(&mut self, i: usize) {
        let scope = fault_scope(&Fault::TargetLink(i, LinkFault::Stall));
        let is_link_good = self.active.get(&scope).copied().unwrap_or_default() == 0;
        if let Some(cold) = &mut self.cold {
            cold.make_cold(&self.fleet.targets[i], is_link_good);
        }
    }

    /// Updates the number of overlapping faults in the scope of the step. Returns whether the step
    /// begins the first of them or ends the last.
    fn count_active(&mut self, step: &FaultStep) -> bool {
        let scope = fault_scope(&step.fault);
        let active = self.active.entry(scope).or_default();
        if step.begins {
            *active += 1;
            return *active == 1;
        }
        *active = active.saturating_sub(1);
        *active == 0
    }

    /// Begins or ends a fault. A fault ends only with the last one of its scope, except for frozen
    /// nodes, which continue at each end.
    fn apply(&mut self, step: &FaultStep, is_first_or_last: bool) -> Result<(), String> {
        match &step.fault {
            Fault::KillNode(i) => self.kill_node(*i, step.begins, is_first_or_last),
            Fault::StopNode(i) => self.stop_node(*i, step.begins, is_first_or_last),
            Fault::PublishConfiguration if step.begins => {
                self.publish_configuration();
                Ok(())
            }
            Fault::ExpireRecords if step.begins => {
                self.evacuations.on_expiry(&self.fleet, &self.operator);
                if let Some(workspaces) = &mut self.workspaces {
                    workspaces.on_expiry();
                }
                self.fleet.log.expire_all_but_newest(CONFIG_TOPIC);
                Ok(())
            }
            Fault::ReloadNode(i) if step.begins => {
                self.signal_node(*i, Signal::Hangup);
                Ok(())
            }
            Fault::Evacuation(data_centre) => {
                if is_first_or_last {
                    self.evacuations.set_wanted(data_centre, step.begins);
                    if !step.begins {
                        let hosts = self.fleet.hosts().iter().enumerate();
                        let evacuated = hosts.filter(|(_, host)| host.data_centre == *data_centre);
                        let evacuated: Vec<usize> = evacuated.map(|(i, _)| i).collect();
                        evacuated.into_iter().for_each(|i| self.make_cold(i));
                    }
                }
                Ok(())
            }
            Fault::WithdrawnKey => {
                if let (Some(workspaces), true) = (&mut self.workspaces, is_first_or_last) {
                    workspaces.set_wanted(step.begins);
                }
                Ok(())
            }
            Fault::CopiedStore(number) if step.begins => {
                self.operator.copy_store(&self.fleet.log, *number);
                Ok(())
            }
            Fault::RestoredStore(number, outage) => {
                if step.begins {
                    self.operator.on_store_failed();
                } else {
                    self.operator.restore_store(&self.fleet.log, *number);
                }
                if step.begins || is_first_or_last {
                    self.switch_fault(&Fault::Store(outage.clone()), step.begins);
                }
                Ok(())
            }
            Fault::LostRecords(_) if !step.begins => {
                self.operator.want_rewrite();
                Ok(())
            }
            Fault::PublishConfiguration
            | Fault::ExpireRecords
            | Fault::ReloadNode(_)
            | Fault::CopiedStore(_)
            | Fault::LostRecords(_) => Ok(()),
            Fault::FreezeNode(i) if step.begins => {
                self.signal_node(*i, Signal::Stop);
                self.stopping
                    .entry(*i)
                    .and_modify(|was_frozen| *was_frozen = true);
                Ok(())
            }
            Fault::FreezeNode(i) => {
                self.signal_node(*i, Signal::Cont);
                self.resumed_at_us.insert(*i, now_us());
                Ok(())
            }
            fault => {
                match fault {
                    Fault::LeavingTarget(i) if is_first_or_last && !step.begins => {
                        self.make_cold(*i);
                    }
                    Fault::TargetLink(i, _) if step.begins => {
                        if let Some(cold) = &mut self.cold {
                            cold.end_bound(&self.fleet.targets[*i]);
                        }
                    }
                    _ => {}
                }
                if step.begins || is_first_or_last {
                    self.switch_fault(fault, step.begins);
                }
                Ok(())
            }
        }
    }

    /// Switches a fault of a link, the store or a target on or off.
    fn switch_fault(&self, fault: &Fault, on: bool) {
        match fault {
            Fault::StoreLink(i, kind) => set_link_fault(&self.fleet.proxies[*i].store, *kind, on),
            Fault::TargetLink(i, kind) => set_link_fault(&self.fleet.proxies[*i].target, *kind, on),
            Fault::Store(faults) => {
                let faults = if on {
                    faults.clone()
                } else {
                    LogFaults::default()
                };
                self.fleet.log.set_faults(faults);
            }
            Fault::SlowTarget(i) => self.change_target_faults(*i, |faults| {
                faults.slow_factor = if on { SLOW_FACTOR } else { 1.0 };
            }),
            Fault::FailingTarget(i, fail) => self.change_target_faults(*i, |faults| {
                faults.fail = if on { *fail } else { RequestFailure::No };
                faults.fail_permille = FAIL_PERMILLE;
            }),
            Fault::LeavingTarget(i) => self.change_target_faults(*i, |faults| faults.leaving = on),
            Fault::SilentTarget(i) => self.change_target_faults(*i, |faults| faults.silent = on),
            _ => {}
        }
    }

    fn change_target_faults(&self, i: usize, change: impl FnOnce(&mut TargetFaults)) {
        let target = &self.fleet.targets[i];
        let mut faults = target.faults();
        change(&mut faults);
        target.set_faults(faults);
    }

    /// Sends a signal to a node if it is running.
    fn signal_node(&mut self, i: usize, signal: Signal) {
        let process = &mut self.fleet.nodes[i].process;
        if process.is_running() {
            // Fails if the process has exited since the check, which needs no handling.
            drop(process.signal(signal));
        }
    }

    fn kill_node(&mut self, i: usize, begins: bool, is_first_or_last: bool) -> Result<(), String> {
        if begins {
            self.signal_node(i, Signal::Kill);
            self.stopping.remove(&i);
            self.killed.push(i);
        } else if is_first_or_last {
            self.restart_node(i)?;
        }
        Ok(())
    }

    fn stop_node(&mut self, i: usize, begins: bool, is_first_or_last: bool) -> Result<(), String> {
        if begins {
            if !self.killed.contains(&i) && !self.stopping.contains_key(&i) {
                self.signal_node(i, Signal::Term);
                let scope = fault_scope(&Fault::FreezeNode(i));
                let is_frozen = self.active.get(&scope).copied() > Some(0);
                self.stopping.insert(i, is_frozen);
            }
            return Ok(());
        }
        if !is_first_or_last {
            return Ok(());
        }
        let Some(was_frozen) = self.stopping.remove(&i) else {
            return Ok(());
        };
        let process = &mut self.fleet.nodes[i].process;
        if process.is_running() && !was_frozen {
            return Err(format!(
                "host-{i} still runs {STOP_DEADLINE_MS} ms after SIGTERM"
            ));
        }
        self.restart_node(i)
    }

    fn restart_node(&mut self, i: usize) -> Result<(), String> {
        self.killed.retain(|other| *other != i);
        self.resumed_at_us.insert(i, now_us());
        // The process has ended before the restart is counted, so that observers don't take its answers
        // for those of the new one. Both calls fail only when it has ended.
        let process = &mut self.fleet.nodes[i].process;
        drop(process.signal(Signal::Kill));
        drop(process.wait_exit(Duration::from_secs(5)));
        self.published.restarts[i].fetch_add(1, Ordering::SeqCst);
        self.fleet.restart(i).map_err(|e| e.to_string())
    }

    /// Returns the nodes that have exited and were not killed by a fault.
    pub(super) fn unexpectedly_exited_nodes(&mut self) -> Vec<usize> {
        let killed = &self.killed;
        let nodes = self.fleet.nodes.iter_mut().enumerate();
        nodes
            .filter(|(i, _)| !killed.contains(i))
            .filter_map(|(i, node)| (!node.process.is_running()).then_some(i))
            .collect()
    }

    /// Returns the log lines of all nodes that contain the nonce of a request.
    pub(super) fn log_lines_about(&self, nonce: &str) -> String {
        let mut found = Vec::new();
        for (i, node) in self.fleet.nodes.iter().enumerate() {
            let lines = node.process.lines().into_iter();
            let matching = lines.filter(|line| !nonce.is_empty() && line.contains(nonce));
            found.extend(matching.map(|line| format!("host-{i}: {line}")));
        }
        found.join("\n")
    }
}

/// Returns the name of the part of the fleet that a fault affects. Faults of one scope that overlap
/// are counted together.
fn fault_scope(fault: &Fault) -> String {
    match fault {
        Fault::StoreLink(i, _) => format!("store link {i}"),
        Fault::TargetLink(i, _) => format!("target link {i}"),
        Fault::Store(_) | Fault::RestoredStore(..) => "store".to_owned(),
        Fault::CopiedStore(number) => format!("copy {number}"),
        Fault::LostRecords(number) => format!("records lost after copy {number}"),
        Fault::ExpireRecords => "records".to_owned(),
        Fault::FreezeNode(i) => format!("freeze {i}"),
        Fault::KillNode(i) => format!("kill {i}"),
        Fault::StopNode(i) => format!("stop {i}"),
        Fault::ReloadNode(i) => format!("reload {i}"),
        Fault::SlowTarget(i) => format!("speed of target {i}"),
        Fault::FailingTarget(i, _) => format!("failures of target {i}"),
        Fault::LeavingTarget(i) => format!("leave of target {i}"),
        Fault::SilentTarget(i) => format!("announcements of target {i}"),
        Fault::PublishConfiguration => "configuration".to_owned(),
        Fault::WithdrawnKey => "key".to_owned(),
        Fault::Evacuation(data_centre) => format!("evacuation of {data_centre}"),
    }
}

fn set_link_fault(proxy: &Proxy, kind: LinkFault, on: bool) {
    let mut faults = ProxyFaults::default();
    if on {
        match kind {
            LinkFault::Delayed => faults.delay_ms = LINK_DELAY_MS,
            LinkFault::StallToServer => faults.hold_to_server = true,
            LinkFault::StallToClient => faults.hold_to_client = true,
            LinkFault::Stall => (faults.hold_to_server, faults.hold_to_client) = (true, true),
            LinkFault::Reset => proxy.cut_connections(),
            LinkFault::Refused => faults.close_new_connections = true,
            LinkFault::Truncated => faults.cut_after_bytes_to_client = Some(TRUNCATE_AFTER_BYTES),
        }
    }
    proxy.set_faults(faults);
}
