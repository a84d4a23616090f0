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
    config::Register,
    ids::{NodeName, ServiceName},
    measure,
    member::Membership,
    retry::Budgets,
    time::Instant,
};
use plantainpost_platform::LogService;
use plantainpost_wire::{auth::FleetKeys, handshake::Identity};
use rand::rngs::StdRng;
use slog::Logger;
use tokio::sync::{Notify, oneshot};

use crate::{
    audit::AuditQueue, clock::Clock, config_sync::Ahead, fleet::Applied, metrics::Metrics,
    peers::PeerPool, probe::Probes, report::LastReport, settings::NodeSettings, target::TargetPool,
    trace::TraceRing,
};

/// A request that waits at the guard, by its key.
pub(crate) type Waiters = HashMap<RequestKey, oneshot::Sender<Admission>>;

/// Everything that the tasks of a node share.
pub(crate) struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) logger: Logger,
    pub(crate) clock: Clock,
    pub(crate) identity: Identity,
    pub(crate) keys: FleetKeys,
    pub(crate) rng: RefCell<StdRng>,
    pub(crate) guard: RefCell<Guard>,
    /// Cloned by each exchange about a request between an entry and this guard. It lasts
    /// longer than the slot of the request, because the last bytes of an answer may wait
    /// for an entry that reads slowly.
    pub(crate) exchanges: Rc<()>,
    /// Holds exactly the requests that the guard has queued.
    pub(crate) waiters: RefCell<Waiters>,
    pub(crate) balancer: RefCell<Balancer>,
    pub(crate) retries: RefCell<Budgets>,
    pub(crate) measuring: RefCell<measure::Budget>,
    pub(crate) members: RefCell<Membership>,
    pub(crate) register: RefCell<Register>,
    pub(crate) peers: PeerPool,
    pub(crate) targets: TargetPool,
    pub(crate) metrics: Metrics,
    pub(crate) audit: AuditQueue,
    pub(crate) traces: RefCell<TraceRing>,
    pub(crate) log_service: Rc<dyn LogService>,
    pub(crate) udp: UdpSocket,
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
    /// Wakes connections that wait for the stop.
    notify: Notify,
}

impl Stop {
    /// Starts the stop.
    pub(crate) fn start(&self) {
        self.started.set(true);
        self.notify.notify_waiters();
    }

    /// Reports whether the stop has started.
    pub(crate) fn has_started(&self) -> bool {
        self.started.get()
    }

    /// Waits until the stop has started.
    pub(crate) async fn wait(&self) {
        let notified = self.notify.notified();
        if !self.has_started() {
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
