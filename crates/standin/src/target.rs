//! A stand-in for a target: an HTTP/1.1 server that announces itself to a node and reports in
//! each response what it received.

mod announce;
mod faults;
mod http;
mod state;
mod work;

use std::{
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use tokio::sync::{oneshot, watch};

use crate::{
    error::Result,
    history::Record,
    server::{self, AcceptMode, ServerThread},
};

pub use faults::{LoadReportFault, RequestFailure, TargetFaults};
use state::SharedTarget;
pub use work::ServiceTime;
pub(crate) use work::exponential;

/// How long a draining target must have been idle before it stops. Requests that the node
/// dispatched before it processed the announcement arrive within this time on loopback.
const DRAIN_IDLE_TIME: Duration = Duration::from_millis(200);

/// Interval at which a draining target is polled.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Settings of a target.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// Where to listen; port 0 takes a free port.
    pub listen: SocketAddr,
    /// Where to listen for control requests; port 0 takes a free port.
    pub control: SocketAddr,
    /// Name of the target, given in each response.
    pub name: String,
    /// Name of the announced service.
    pub service: String,
    /// Requests processed at the same time; further requests wait in arrival order.
    pub slots: u32,
    /// Announced limit of connections.
    pub connections: u32,
    /// Distribution of the service time of a request.
    pub service_time: ServiceTime,
    /// Seed of the random draws: service times and failing requests.
    pub seed: u64,
    /// Address of the node to which announcements are sent; `None` for no announcements.
    pub node: Option<SocketAddr>,
    /// Form of the announcements and responses.
    pub interface: Interface,
    /// Announced address; `None` for the address of the main listener.
    pub announced_address: Option<SocketAddr>,
    /// Time to live of an announcement, in ms; it is renewed three times within this time.
    pub ttl_ms: u64,
    /// Initial fault switches.
    pub faults: TargetFaults,
    /// File to which the history is written, line by line; `None` for no file.
    pub history: Option<PathBuf>,
}

impl Default for TargetSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            control: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: "target".to_owned(),
            service: "stock".to_owned(),
            slots: 12,
            connections: 220,
            service_time: ServiceTime::default(),
            seed: 1,
            node: None,
            interface: Interface::default(),
            announced_address: None,
            ttl_ms: 3000,
            faults: TargetFaults::default(),
            history: None,
        }
    }
}

/// The interface between a target and nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Interface {
    /// The product's own interface.
    #[default]
    Product,
    /// The interface of the users' platform: each incarnation of a target has a lease, and a
    /// request may name the incarnation that it is for.
    Platform,
}

/// A running target, stopped on drop.
#[derive(Debug)]
pub struct TargetHandle {
    address: SocketAddr,
    control: SocketAddr,
    shared: Arc<SharedTarget>,
    thread: ServerThread,
}

/// Starts a target in its own thread.
///
/// # Errors
///
/// Fails when a listener or the thread cannot be started.
pub fn start(settings: &TargetSettings) -> Result<TargetHandle> {
    let (main, address) = server::bind_listener(settings.listen)?;
    let (control_listener, control) = server::bind_listener(settings.control)?;
    let shared = Arc::new(SharedTarget::new(settings.clone(), address)?);
    let thread_shared = Arc::clone(&shared);
    let thread = ServerThread::start("standin-target", move |stopped| async move {
        let (handler, control_handler) = http::target_handlers(Arc::clone(&thread_shared));
        let (stop_renewing, renewal_stopped) = oneshot::channel();
        let announcer = actix_rt::spawn(announce::announce_until_stopped(
            Arc::clone(&thread_shared),
            renewal_stopped,
        ));
        let accept_mode = Arc::new(watch::Sender::new(AcceptMode::Serve));
        server::serve_main_and_control(
            main,
            Rc::clone(&handler),
            control_listener,
            control_handler,
            accept_mode,
            stopped,
        )
        .await;
        drop(stop_renewing);
        // Waits for a renewal in flight, which must not arrive after the withdrawal.
        drop(announcer.await);
        announce::withdraw(&thread_shared).await;
    })?;
    Ok(TargetHandle {
        address,
        control,
        shared,
        thread,
    })
}

impl TargetHandle {
    /// Returns the address that takes requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the control address. It serves `GET /faults`, `PUT /faults`, `GET /history` (JSON
    /// lines) and `GET /counts` (executions by nonce).
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Returns the name of the target.
    pub fn name(&self) -> &str {
        &self.shared.settings.name
    }

    /// Returns the current fault switches.
    pub fn faults(&self) -> TargetFaults {
        self.shared.faults()
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: TargetFaults) {
        self.shared.set_faults(faults);
    }

    /// Sets whether the target is leaving; a change is announced at once.
    pub fn set_leaving(&self, leaving: bool) {
        let faults = self.faults();
        self.set_faults(TargetFaults { leaving, ..faults });
    }

    /// Reports the target as cold for a time, from now on.
    pub fn become_cold(&self, duration: Duration) {
        self.shared.become_cold(duration);
    }

    /// Sets the address of the node to which announcements are sent; `None` stops them.
    pub fn set_node(&self, node: Option<SocketAddr>) {
        self.shared.set_node(node);
    }

    /// Returns whether the node accepted the last announcement.
    pub fn is_announced(&self) -> bool {
        self.shared.is_announced()
    }

    /// Returns how often a request with this nonce was started.
    pub fn execution_count(&self, nonce: &str) -> u64 {
        self.shared.execution_count(nonce)
    }

    /// Returns the number of requests started so far.
    pub fn started_count(&self) -> u64 {
        self.shared.started_count()
    }

    /// Returns the number of requests that were started and have not ended.
    pub fn in_flight(&self) -> u32 {
        self.shared.in_flight()
    }

    /// Returns the history so far.
    pub fn history(&self) -> Vec<Record> {
        self.shared.history()
    }

    /// Stops gracefully: announces that the target is leaving, waits until no request has been
    /// in flight for 200 ms, but at most for `timeout`, then withdraws the announcement and
    /// stops. Returns the history.
    pub fn drain(self, timeout: Duration) -> Vec<Record> {
        self.set_leaving(true);
        let deadline = Instant::now() + timeout;
        let mut idle_since = Instant::now();
        while Instant::now() < deadline && idle_since.elapsed() < DRAIN_IDLE_TIME {
            if self.in_flight() > 0 {
                idle_since = Instant::now();
            }
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
        self.stop()
    }

    /// Withdraws the announcement, stops the target and returns its history.
    pub fn stop(mut self) -> Vec<Record> {
        self.thread.stop();
        self.shared.history()
    }
}
