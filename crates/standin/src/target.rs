//! An HTTP/1.1 target that announces itself to a node and verifies what it receives.

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

pub use faults::{Fail, LoadFault, TargetFaults};
use state::Shared;
pub use work::ServiceTime;
pub(crate) use work::exponential;

/// How long a draining target must have been idle. Requests that the node dispatched before
/// it read the announcement arrive within this time on loopback.
const DRAIN_SETTLE: Duration = Duration::from_millis(200);

/// Pause between two looks at a draining target.
const DRAIN_PAUSE: Duration = Duration::from_millis(5);

/// Settings of a target.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// Where to listen; port 0 takes a free port.
    pub listen: SocketAddr,
    /// Where to listen for fault switches.
    pub control: SocketAddr,
    /// The target's name, told in each answer.
    pub name: String,
    /// The service that it announces.
    pub service: String,
    /// Requests that it works on at the same time; more wait in arrival order.
    pub slots: u32,
    /// Connections that it announces.
    pub connections: u32,
    /// How long a request takes.
    pub service_time: ServiceTime,
    /// The seed of the service time distribution.
    pub seed: u64,
    /// The address of the node beside it for announcements; none for a target that announces
    /// nothing.
    pub node: Option<SocketAddr>,
    /// The form of its announcements and answers.
    pub interface: Interface,
    /// The address that it announces; none for its own.
    pub announced_address: Option<SocketAddr>,
    /// The time to live of an announcement in ms; it is renewed three times as often.
    pub ttl_ms: u64,
    /// Fault switches at the start.
    pub faults: TargetFaults,
    /// Where the history is written, line by line.
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

/// The form in which a target speaks to nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Interface {
    /// The product's own.
    #[default]
    Product,
    /// That of the users' platform: leases of incarnations, and requests that name the one
    /// that they are for.
    Platform,
}

/// A running target, stopped on drop.
#[derive(Debug)]
pub struct TargetHandle {
    address: SocketAddr,
    control: SocketAddr,
    shared: Arc<Shared>,
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
    let shared = Arc::new(Shared::new(settings.clone(), address)?);
    let served = Arc::clone(&shared);
    let thread = ServerThread::start("standin-target", move |stopped| async move {
        let (handler, control_handler) = http::handlers(Arc::clone(&served));
        let (stop_renewing, renewing) = oneshot::channel();
        let renewer = actix_rt::spawn(announce::renew(Arc::clone(&served), renewing));
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
        // A renewal that is being sent must not arrive after the withdrawal.
        drop(renewer.await);
        announce::withdraw(&served).await;
    })?;
    Ok(TargetHandle {
        address,
        control,
        shared,
        thread,
    })
}

impl TargetHandle {
    /// The address that takes requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The address that takes `PUT /faults` and answers `GET /faults`, `GET /history` (JSON
    /// lines) and `GET /counts` (executions by nonce).
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// The target's name.
    pub fn name(&self) -> &str {
        &self.shared.settings.name
    }

    /// The fault switches in force.
    pub fn faults(&self) -> TargetFaults {
        self.shared.faults()
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: TargetFaults) {
        self.shared.set_faults(faults);
    }

    /// Says whether the target is leaving; the change is announced at once.
    pub fn set_leaving(&self, leaving: bool) {
        let faults = self.faults();
        self.set_faults(TargetFaults { leaving, ..faults });
    }

    /// Points the target at the admin address of another node, or at none.
    pub fn set_node(&self, node: Option<SocketAddr>) {
        self.shared.set_node(node);
    }

    /// Whether the last announcement was accepted by the node.
    pub fn announced(&self) -> bool {
        self.shared.announced()
    }

    /// How often a request with this nonce was started.
    pub fn executions(&self, nonce: &str) -> u64 {
        self.shared.executions(nonce)
    }

    /// How many requests were started.
    pub fn started(&self) -> u64 {
        self.shared.started()
    }

    /// Requests that were started and have not ended.
    pub fn in_flight(&self) -> u32 {
        self.shared.in_flight()
    }

    /// The history so far.
    pub fn history(&self) -> Vec<Record> {
        self.shared.history()
    }

    /// Leaves gracefully: announces that the target is leaving, waits until no request was
    /// in flight for a moment, at most for `limit`, withdraws the announcement and stops.
    /// Returns the history.
    pub fn drain(self, limit: Duration) -> Vec<Record> {
        self.set_leaving(true);
        let deadline = Instant::now() + limit;
        let mut idle_since = Instant::now();
        while Instant::now() < deadline && idle_since.elapsed() < DRAIN_SETTLE {
            if self.in_flight() > 0 {
                idle_since = Instant::now();
            }
            thread::sleep(DRAIN_PAUSE);
        }
        self.stop()
    }

    /// Withdraws the announcement, stops the target and returns its history.
    pub fn stop(mut self) -> Vec<Record> {
        self.thread.stop();
        self.shared.history()
    }
}
