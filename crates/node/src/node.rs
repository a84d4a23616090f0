//! State that the tasks of a node share.
//!
//! All tasks run on one thread. A `RefCell` here is borrowed for one decision and
//! never across an await.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use actix_rt::net::UdpSocket;
use plantainpost_core::{
    admission::{Admission, Guard, RequestKey, Wakeup},
    balance::Balancer,
    collections::HashMap,
    config::ConfigReplica,
    ids::{NodeName, ServiceName},
    measure,
    member::Membership,
    retry::RetryBudgets,
    routing::CallerLimits,
    time::Instant,
};
use plantainpost_wire::{auth::FleetKeys, handshake::NodeIdentity};
use rand::rngs::StdRng;
use slog::Logger;
use tokio::sync::{Notify, oneshot};

use crate::{
    audit::AuditQueue,
    clock::Clock,
    config_sync::Ahead,
    fleet::Applied,
    log::LogService,
    metrics::Metrics,
    pace::PaceWatch,
    peers::PeerPool,
    probe::Probes,
    report::LastReport,
    settings::{NodeSettings, Routing},
    target::TargetPool,
    trace::TraceRing,
};

/// A request that waits at the guard, by its key.
pub(crate) type Waiters = HashMap<RequestKey, oneshot::Sender<Admission>>;

/// Everything that the tasks of a node share.
pub(crate) struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) logger: Logger,
    pub(crate) clock: Clock,
    pub(crate) identity: NodeIdentity,
    pub(crate) keys: FleetKeys,
    pub(crate) rng: RefCell<StdRng>,
    /// Service of the target on this host, if the settings name it.
    pub(crate) service: RefCell<Option<ServiceName>>,
    pub(crate) guard: RefCell<Guard>,
    /// Cloned by each exchange about a request between an entry and this guard. It lasts
    /// longer than the slot of the request, because the last bytes of an answer may wait
    /// for an entry that reads slowly.
    pub(crate) exchanges: Rc<()>,
    /// Holds exactly the requests that the guard has queued.
    pub(crate) waiters: RefCell<Waiters>,
    pub(crate) balancer: RefCell<Balancer>,
    pub(crate) retries: RefCell<RetryBudgets>,
    pub(crate) measuring: RefCell<measure::MeasurementBudget>,
    pub(crate) members: RefCell<Membership>,
    pub(crate) register: RefCell<ConfigReplica>,
    pub(crate) peers: PeerPool,
    pub(crate) targets: TargetPool,
    pub(crate) metrics: Metrics,
    pub(crate) audit: AuditQueue,
    pub(crate) traces: RefCell<TraceRing>,
    pub(crate) log_service: Rc<dyn LogService>,
    pub(crate) udp: UdpSocket,
    pub(crate) pace: PaceWatch,
    pub(crate) probes: Probes,
    pub(crate) report: LastReport,
    /// A peer whose configuration state is to be fetched.
    pub(crate) ahead: Ahead,
    /// What the balancer and the guard were last told of the fleet.
    pub(crate) applied: Applied,
    /// Services that the balancer was told of.
    pub(crate) known_services: RefCell<Vec<ServiceName>>,
    /// Wakes everybody who waits for a decision on a confirmation.
    pub(crate) config_changed: Notify,
    pub(crate) stop: Stop,
}

/// Progress of a planned stop.
#[derive(Default)]
pub(crate) struct Stop {
    started: Cell<bool>,
    /// Connections are closed once their requests are answered.
    closing: Cell<bool>,
    /// Wakes whoever waits for `closing`.
    notify: Notify,
    /// Requests in flight are answered at once, because the process ends soon.
    cutting: Cell<bool>,
    /// Wakes whoever waits for `cutting`.
    notify_cut: Notify,
}

impl Stop {
    /// Starts the stop.
    pub(crate) fn start(&self) {
        self.started.set(true);
    }

    /// Starts to close connections that have no requests in flight.
    pub(crate) fn close(&self) {
        self.closing.set(true);
        self.notify.notify_waiters();
    }

    /// Reports whether the stop has started.
    pub(crate) fn has_started(&self) -> bool {
        self.started.get()
    }

    /// Answers the requests that are still in flight.
    pub(crate) fn cut(&self) {
        self.cutting.set(true);
        self.notify_cut.notify_waiters();
    }

    /// Waits until requests in flight are to be answered at once.
    pub(crate) async fn wait_cut(&self) {
        let notified = self.notify_cut.notified();
        if !self.cutting.get() {
            notified.await;
        }
    }

    /// Reports whether connections are being closed.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Waits until connections are being closed.
    pub(crate) async fn wait_closing(&self) {
        let notified = self.notify.notified();
        if !self.is_closing() {
            notified.await;
        }
    }
}

impl Node {
    /// Returns the present instant.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the name of this node.
    pub(crate) fn name(&self) -> &NodeName {
        &self.identity.node
    }

    /// Reports whether the node takes callers.
    pub(crate) fn is_ready(&self) -> bool {
        let has_routes = match self.settings.routing {
            Routing::ByName => true,
            Routing::ByTable => self.register.borrow().routes().is_some(),
        };
        has_routes && !self.stop.has_started()
    }

    /// Reports whether a planned stop has come so far that peers get no new work done here.
    pub(crate) fn refuses_for_stop(&self) -> bool {
        match self.settings.limits.serves_while_lingering {
            true => self.stop.is_closing(),
            false => self.stop.has_started(),
        }
    }

    /// Returns the bounds on what callers send.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        if let Some(table) = self.register.borrow().routes() {
            return *table.limits();
        }
        let limits = &self.settings.limits;
        CallerLimits {
            header_bytes: limits.header_bytes as u64,
            body_bytes: limits.body_bytes,
            head_timeout_ms: limits.head_timeout_ms,
            idle_timeout_ms: limits.idle_timeout_ms,
        }
    }

    /// Tells queued requests that they may start, or that they are refused.
    pub(crate) fn wake(&self, wakeups: Vec<Wakeup>) {
        let mut waiters = self.waiters.borrow_mut();
        for wakeup in wakeups {
            if let Some(tx) = waiters.remove(&wakeup.key) {
                // The receiver is gone when its connection was closed just now;
                // its task then cancels the request at the guard.
                let _ = tx.send(wakeup.admission);
            }
        }
    }
}
