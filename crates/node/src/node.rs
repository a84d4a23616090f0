//! State shared by the tasks of a node.
//!
//! All tasks run on one thread. Each `RefCell` is borrowed for one decision only, never across an
//! `await`.

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
    delivery::HoldBudget,
    ids::{NodeName, ServiceName},
    measure,
    member::Membership,
    progress::SilenceMargin,
    retry::RetryBudgets,
    routing::CallerLimits,
    time::Instant,
    workspace::WorkspaceUsage,
};
use plantainpost_wire::{auth::FleetKeys, handshake::NodeIdentity};
use rand::rngs::StdRng;
use slog::Logger;
use tokio::sync::{Notify, oneshot};

use crate::{
    audit::AuditQueue,
    clock::Clock,
    config_recheck::ConfigRecheck,
    config_sync::{RoutesOrigin, StateFetch},
    evacuation::AppliedEvacuations,
    fleet::AppliedVersions,
    guard::{ExchangeLinks, cold::ColdLog},
    load_report::LoadReportCache,
    log_service::LogService,
    metrics::Metrics,
    pace::PaceMonitor,
    peer_pool::PeerPool,
    probe::OutstandingProbes,
    quota::QuotaState,
    reload::SettingsState,
    settings::{NodeSettings, Routing},
    startup::Startup,
    target_pool::TargetPool,
    trace::TraceRing,
};

/// Channels to wake the requests that are queued at the guard.
pub(crate) type Waiters = HashMap<RequestKey, oneshot::Sender<Admission>>;

/// State shared by the tasks of a node.
pub(crate) struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) logger: Logger,
    pub(crate) clock: Clock,
    pub(crate) identity: NodeIdentity,
    pub(crate) keys: FleetKeys,
    pub(crate) rng: RefCell<StdRng>,
    /// When the settings in force were loaded, and how the last reload ended.
    pub(crate) settings_state: SettingsState,
    /// Where the routes in force come from, and since when they are in force.
    pub(crate) routes_origin: RefCell<RoutesOrigin>,
    /// Service of the target on this host, if it is set. Changes when the settings are reloaded.
    pub(crate) service: RefCell<Option<ServiceName>>,
    pub(crate) guard: RefCell<Guard>,
    /// Cloned by each exchange of a request between an entry and this guard, so that its strong
    /// count gives the open exchanges. An exchange lasts longer than the slot of its request,
    /// because the last bytes of a response may wait for an entry that reads slowly.
    pub(crate) exchanges: Rc<()>,
    /// Exchanges of the guard that can be continued on another connection.
    pub(crate) exchange_links: ExchangeLinks,
    /// Rate limit of the target that was last logged, in requests per second.
    pub(crate) logged_rate_limit: Cell<Option<f64>>,
    /// Whether the target was last logged as cold.
    pub(crate) cold_log: ColdLog,
    /// Contains exactly the requests that the guard has queued.
    pub(crate) waiters: RefCell<Waiters>,
    pub(crate) balancer: RefCell<Balancer>,
    pub(crate) retry_budgets: RefCell<RetryBudgets>,
    pub(crate) measurement_budget: RefCell<measure::MeasurementBudget>,
    pub(crate) members: RefCell<Membership>,
    pub(crate) config: RefCell<ConfigReplica>,
    pub(crate) peer_pool: PeerPool,
    /// Time that peers get beyond the schedule of their signs of life.
    pub(crate) silence_margin: RefCell<SilenceMargin>,
    pub(crate) target_pool: TargetPool,
    pub(crate) metrics: Metrics,
    pub(crate) audit: AuditQueue,
    pub(crate) traces: RefCell<TraceRing>,
    /// Counts of the requests that this node has taken, by workspace.
    pub(crate) workspace_usage: RefCell<WorkspaceUsage>,
    pub(crate) log_service: Rc<dyn LogService>,
    pub(crate) udp: UdpSocket,
    pub(crate) pace: PaceMonitor,
    pub(crate) probes: OutstandingProbes,
    pub(crate) load_report: LoadReportCache,
    pub(crate) quota: QuotaState,
    /// Pending fetch of the configuration state of a peer.
    pub(crate) state_fetch: StateFetch,
    /// Whether the configuration may have changed while this node was suspended.
    pub(crate) config_recheck: ConfigRecheck,
    /// Versions of the fleet and the configuration that the balancer and the guard know.
    pub(crate) applied_versions: AppliedVersions,
    /// Evacuations that the balancer and the guard know.
    pub(crate) evacuations: AppliedEvacuations,
    /// Services that the balancer has targets for.
    pub(crate) known_services: RefCell<Vec<ServiceName>>,
    /// Requests that wait because this node has just started.
    pub(crate) startup: Startup,
    /// Wakes the tasks that wait for the decision on a confirmation.
    pub(crate) config_changed: Notify,
    /// Memory for responses whose callers can't receive them yet.
    pub(crate) hold_budget: RefCell<HoldBudget>,
    /// Wakes the responses that wait for room in `hold_budget`.
    pub(crate) hold_budget_freed: Notify,
    pub(crate) stop: StopProgress,
}

/// Progress of a graceful stop.
#[derive(Default)]
pub(crate) struct StopProgress {
    /// When requests in flight are aborted. Set when the stop starts.
    deadline: Cell<Option<Instant>>,
    /// Whether connections are closed as soon as their requests are answered.
    closing: Cell<bool>,
    /// Wakes the tasks that wait for `closing`.
    closing_started: Notify,
    /// Whether requests in flight are aborted, because the process exits soon.
    aborting: Cell<bool>,
    /// Wakes the tasks that wait for `aborting`.
    aborting_started: Notify,
}

impl StopProgress {
    /// Starts the stop, which aborts requests that are in flight at `deadline`.
    pub(crate) fn start(&self, deadline: Instant) {
        self.deadline.set(Some(deadline));
    }

    /// Returns when requests in flight are aborted; `None` unless the stop has started.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.deadline.get()
    }

    /// Starts to close connections that have no requests in flight.
    pub(crate) fn start_closing(&self) {
        self.closing.set(true);
        self.closing_started.notify_waiters();
    }

    /// Reports whether the stop has started.
    pub(crate) fn has_started(&self) -> bool {
        self.deadline.get().is_some()
    }

    /// Aborts the requests that are still in flight. Each caller gets a response at once.
    pub(crate) fn abort_requests(&self) {
        self.aborting.set(true);
        self.aborting_started.notify_waiters();
    }

    /// Waits until requests in flight are aborted.
    pub(crate) async fn wait_for_abort(&self) {
        let notified = self.aborting_started.notified();
        if !self.aborting.get() {
            notified.await;
        }
    }

    /// Reports whether connections are being closed.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Waits until connections are being closed.
    pub(crate) async fn wait_for_closing(&self) {
        let notified = self.closing_started.notified();
        if !self.is_closing() {
            notified.await;
        }
    }
}

impl Node {
    /// Returns the current instant.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the name of this node.
    pub(crate) fn name(&self) -> &NodeName {
        &self.identity.node
    }

    /// Reports whether the node accepts callers.
    pub(crate) fn is_ready(&self) -> bool {
        let has_routes = match self.settings.routing {
            Routing::ByHostName => true,
            Routing::ByRouteTable => self.config.borrow().routes().is_some(),
        };
        has_routes && !self.stop.has_started()
    }

    /// Reports whether the node refuses new requests of peers because of a graceful stop.
    pub(crate) fn is_draining_for_stop(&self) -> bool {
        match self.settings_state.current().stop.serves_during_drain_delay {
            true => self.stop.is_closing(),
            false => self.stop.has_started(),
        }
    }

    /// Returns the limits for callers, from the routes if there are any, else from the settings.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        if let Some(table) = self.config.borrow().routes() {
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

    /// Wakes queued requests that may start or are refused.
    pub(crate) fn wake_waiters(&self, wakeups: Vec<Wakeup>) {
        let mut waiters = self.waiters.borrow_mut();
        for wakeup in wakeups {
            if let Some(tx) = waiters.remove(&wakeup.key) {
                // The receiver is gone if its connection has just been closed. Its task then
                // cancels the request at the guard.
                let _ = tx.send(wakeup.admission);
            }
        }
    }
}
