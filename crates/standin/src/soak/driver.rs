//! Brings the steps of a schedule about.

use std::{
    collections::BTreeMap,
    thread,
    time::{Duration, Instant},
};

use super::{
    SERVICES,
    schedule::{Fault, LinkFault, STOP_MS, Step},
};
use crate::{
    fleet::Fleet,
    log::LogFaults,
    process::Signal,
    proxy::{Proxy, ProxyFaults},
    target::{RequestFailure, TargetFaults},
};

/// Topic and key of the configuration on the store.
const TOPIC: &str = "keyed.op";
const KEY: &str = "config";

/// Delay of a link in milliseconds, each way.
const LINK_DELAY_MS: u64 = 150;

/// Bytes after which an answer breaks off.
const BROKEN_OFF_BYTES: u64 = 300;

/// Share of requests that a failing target fails, in permille.
const FAILING_PERMILLE: u32 = 300;

/// Factor on the service time of a slow target.
const SLOW_FACTOR: f64 = 10.0;

/// A fleet and what was done to it.
pub(super) struct Driver {
    pub(super) fleet: Fleet,
    /// Version of the newest configuration.
    pub(super) version: u64,
    /// Nodes that were asked to stop and have not been started again, and whether they stood
    /// still meanwhile. A node can't keep the time of a stop while it stands still.
    stopping: BTreeMap<usize, bool>,
    /// Nodes that were killed or stopped and have not been started again.
    ended: Vec<usize>,
    /// Faults of the same place that overlap: it is well again when all have ended.
    active: BTreeMap<String, u32>,
}

impl Driver {
    pub(super) fn new(fleet: Fleet) -> Self {
        Driver {
            fleet,
            version: 0,
            stopping: BTreeMap::new(),
            ended: Vec::new(),
            active: BTreeMap::new(),
        }
    }

    /// Publishes a configuration with a route that is named after its version. The route of
    /// the version before is gone.
    pub(super) fn publish(&mut self) {
        self.version += 1;
        let version = self.version;
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
        let services = SERVICES
            .map(|service| format!(r#""{service}":{{"healthPath":"/healthz","maxConns":220}}"#));
        let text = format!(
            r#"{{"version":{version},"routes":{{{}}},"services":{{{}}},"limits":
            {{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":3000,
            "idleTimeoutMs":15000}}}}"#,
            routes.join(","),
            services.join(",")
        );
        self.fleet.log.append_keyed(TOPIC, KEY, text.as_bytes());
    }

    /// Plays a schedule and ends all faults.
    ///
    /// Fails with what a stopping node did wrong.
    pub(super) fn play(&mut self, steps: &[Step]) -> Result<(), String> {
        let start = Instant::now();
        for step in steps {
            let at = start + Duration::from_millis(step.at_ms);
            thread::sleep(at.saturating_duration_since(Instant::now()));
            let is_first = self.count(step);
            self.take(step, is_first)?;
        }
        Ok(())
    }

    /// Counts overlapping faults, and returns whether the step changes the state of its place.
    fn count(&mut self, step: &Step) -> bool {
        let place = place(&step.fault);
        let active = self.active.entry(place).or_default();
        if step.begins {
            *active += 1;
            return *active == 1;
        }
        *active = active.saturating_sub(1);
        *active == 0
    }

    fn take(&mut self, step: &Step, changes: bool) -> Result<(), String> {
        match &step.fault {
            Fault::Kill(i) => self.kill(*i, step.begins, changes),
            Fault::Stop(i) => self.stop(*i, step.begins, changes),
            Fault::Publish if step.begins => {
                self.publish();
                Ok(())
            }
            Fault::StoreExpires if step.begins => {
                self.fleet.log.expire_all_but_newest(TOPIC);
                Ok(())
            }
            Fault::Reload(i) if step.begins => {
                self.signal(*i, Signal::Hangup);
                Ok(())
            }
            Fault::Publish | Fault::StoreExpires | Fault::Reload(_) => Ok(()),
            Fault::Freeze(i) if step.begins => {
                self.signal(*i, Signal::Stop);
                self.stopping
                    .entry(*i)
                    .and_modify(|was_frozen| *was_frozen = true);
                Ok(())
            }
            Fault::Freeze(i) => {
                self.signal(*i, Signal::Cont);
                Ok(())
            }
            fault => {
                if step.begins || changes {
                    self.switch(fault, step.begins);
                }
                Ok(())
            }
        }
    }

    /// Switches a fault of a link, the store or a target.
    fn switch(&self, fault: &Fault, on: bool) {
        match fault {
            Fault::StoreLink(i, kind) => disturb(&self.fleet.proxies[*i].store, *kind, on),
            Fault::TargetLink(i, kind) => disturb(&self.fleet.proxies[*i].target, *kind, on),
            Fault::Store(faults) => {
                let faults = if on {
                    faults.clone()
                } else {
                    LogFaults::default()
                };
                self.fleet.log.set_faults(faults);
            }
            Fault::Slow(i) => self.change_target(*i, |faults| {
                faults.slow_factor = if on { SLOW_FACTOR } else { 1.0 };
            }),
            Fault::Failing(i, fail) => self.change_target(*i, |faults| {
                faults.fail = if on { *fail } else { RequestFailure::No };
                faults.fail_permille = FAILING_PERMILLE;
            }),
            Fault::Leave(i) => self.change_target(*i, |faults| faults.leaving = on),
            Fault::Mute(i) => self.change_target(*i, |faults| faults.silent = on),
            _ => {}
        }
    }

    fn change_target(&self, i: usize, change: impl FnOnce(&mut TargetFaults)) {
        let target = &self.fleet.targets[i];
        let mut faults = target.faults();
        change(&mut faults);
        target.set_faults(faults);
    }

    /// Sends a signal to a node that is there.
    fn signal(&mut self, i: usize, signal: Signal) {
        let process = &mut self.fleet.nodes[i].process;
        if process.is_running() {
            // It may end between the two calls.
            drop(process.signal(signal));
        }
    }

    fn kill(&mut self, i: usize, begins: bool, changes: bool) -> Result<(), String> {
        if begins {
            self.signal(i, Signal::Kill);
            self.stopping.remove(&i);
            self.ended.push(i);
        } else if changes {
            self.start(i)?;
        }
        Ok(())
    }

    fn stop(&mut self, i: usize, begins: bool, changes: bool) -> Result<(), String> {
        if begins {
            if !self.ended.contains(&i) && !self.stopping.contains_key(&i) {
                self.signal(i, Signal::Term);
                let freeze = place(&Fault::Freeze(i));
                let is_frozen = self.active.get(&freeze).copied() > Some(0);
                self.stopping.insert(i, is_frozen);
            }
            return Ok(());
        }
        if !changes {
            return Ok(());
        }
        let Some(was_frozen) = self.stopping.remove(&i) else {
            return Ok(());
        };
        let process = &mut self.fleet.nodes[i].process;
        if process.is_running() && !was_frozen {
            return Err(format!("host-{i} still runs {STOP_MS} ms after SIGTERM"));
        }
        self.start(i)
    }

    fn start(&mut self, i: usize) -> Result<(), String> {
        self.ended.retain(|other| *other != i);
        self.fleet.restart(i).map_err(|e| e.to_string())
    }

    /// Returns nodes that ended although nothing was done to them.
    pub(super) fn lost_nodes(&mut self) -> Vec<usize> {
        let ended = &self.ended;
        let nodes = self.fleet.nodes.iter_mut().enumerate();
        nodes
            .filter(|(i, _)| !ended.contains(i))
            .filter_map(|(i, node)| (!node.process.is_running()).then_some(i))
            .collect()
    }

    /// Returns the log lines of all nodes about a request.
    pub(super) fn lines_about(&self, nonce: &str) -> String {
        let mut found = Vec::new();
        for (i, node) in self.fleet.nodes.iter().enumerate() {
            let lines = node.process.lines().into_iter();
            let about = lines.filter(|line| !nonce.is_empty() && line.contains(nonce));
            found.extend(about.map(|line| format!("host-{i}: {line}")));
        }
        found.join("\n")
    }
}

/// Names the place that a fault meets.
fn place(fault: &Fault) -> String {
    match fault {
        Fault::StoreLink(i, _) => format!("store link {i}"),
        Fault::TargetLink(i, _) => format!("target link {i}"),
        Fault::Store(_) => "store".to_owned(),
        Fault::StoreExpires => "records".to_owned(),
        Fault::Freeze(i) => format!("freeze {i}"),
        Fault::Kill(i) => format!("kill {i}"),
        Fault::Stop(i) => format!("stop {i}"),
        Fault::Reload(i) => format!("reload {i}"),
        Fault::Slow(i) => format!("speed of target {i}"),
        Fault::Failing(i, _) => format!("failures of target {i}"),
        Fault::Leave(i) => format!("leave of target {i}"),
        Fault::Mute(i) => format!("announcements of target {i}"),
        Fault::Publish => "configuration".to_owned(),
    }
}

fn disturb(proxy: &Proxy, kind: LinkFault, on: bool) {
    let mut faults = ProxyFaults::default();
    if on {
        match kind {
            LinkFault::Delayed => faults.delay_ms = LINK_DELAY_MS,
            LinkFault::CutUp => faults.hold_to_server = true,
            LinkFault::CutDown => faults.hold_to_client = true,
            LinkFault::Silent => (faults.hold_to_server, faults.hold_to_client) = (true, true),
            LinkFault::Reset => proxy.cut_connections(),
            LinkFault::Refused => faults.close_new_connections = true,
            LinkFault::BrokenOff => faults.cut_after_bytes_to_client = Some(BROKEN_OFF_BYTES),
        }
    }
    proxy.set_faults(faults);
}
