//! Starts a node and its tasks.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
};

use actix_rt::net::{TcpListener, UdpSocket};
use plantainpost_core::{
    admission::{Guard, GuardSettings, PaceSettings, ResendSettings},
    balance::{Balancer, BalancerSettings, policy_by_name},
    config::ConfigReplica,
    ids::{Incarnation, Region},
    measure,
    member::{MemberRecord, MemberSettings, MemberState, Membership},
    progress::{SilenceMargin, SilenceMarginSettings},
    retry::RetryBudgets,
    time::Instant,
};
use plantainpost_wire::{auth::FleetKeys, handshake::NodeIdentity};
use slog::{Logger, info};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::{
    admin,
    audit::{self, AuditEvent, AuditQueue},
    clock::{self, Clock},
    config_recheck::{self, ConfigRecheck},
    config_sync, control, entry, evacuation,
    external::{ExternalSystems, Platform},
    gossip,
    guard::{self, cold::ColdLog},
    http, load_report,
    log_service::LogService,
    metrics::Metrics,
    node::{Node, StopProgress},
    pace,
    peer_pool::PeerPool,
    quota::QuotaState,
    reload::{self, SettingsState},
    settings::NodeSettings,
    startup::Startup,
    status,
    stop::{self, RunSummary},
    store_sync,
    target_pool::TargetPool,
};

/// Interval between attempts to reach a dead member or an unknown contact, in milliseconds. A node
/// that restarts while the store refuses its calls is found by its peers and gets the routes from
/// them.
const RECONNECT_INTERVAL_MS: u64 = 1_000;

/// Time after the start of the process for which an announcement of a target may have been on its way
/// since before the start, in milliseconds. Announcements can be seconds late.
const MAX_ANNOUNCEMENT_DELAY_MS: u64 = 10_000;

/// Requests that a guard may send to its target once more, in percent of the requests that it sends
/// there. A target closes an idle connection rarely while a request is being sent on it; more of them
/// are a sign that it loses answers, and would add to its load.
const RESEND_CREDIT_PERCENT: u64 = 5;

/// Time that a request may take from its start to its arrival at the target, in milliseconds.
const START_MARGIN_MS: u64 = 100;

/// Error at the start of a node.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// A listener could not be opened.
    #[snafu(display("can't listen on {addr} for {purpose}: {source}"))]
    Listen {
        /// Address of the listener.
        addr: SocketAddr,
        /// What the listener is for.
        purpose: &'static str,
        /// Error of the socket.
        source: io::Error,
    },
    /// The metrics or signal handlers could not be set up.
    #[snafu(display("can't set up {what}: {source}"))]
    Setup {
        /// What could not be set up.
        what: &'static str,
        /// Error of the system.
        source: io::Error,
    },
    /// There is no fleet key.
    #[snafu(display("a fleet key is needed: set key_file in [security]"))]
    MissingKey,
    /// The admin listener requires a token.
    #[snafu(display("the admin listener on {addr} needs a token: set token_file in [security]"))]
    MissingToken {
        /// Address of the listener.
        addr: SocketAddr,
    },
    /// The balancing policy is unknown.
    #[snafu(display("there is no policy named {name}"))]
    UnknownPolicy {
        /// Name of the policy in the settings.
        name: String,
    },
}

struct Listeners {
    callers: TcpListener,
    admin: TcpListener,
    control: Vec<TcpListener>,
    metrics: Option<TcpListener>,
    peer_tcp: TcpListener,
    peer_udp: UdpSocket,
}

impl Listeners {
    async fn open(settings: &NodeSettings) -> Result<Self, NodeError> {
        let addr = settings.listen_peer_udp;
        let peer_udp = UdpSocket::bind(addr).await.context(ListenSnafu {
            addr,
            purpose: "peers (UDP)",
        })?;
        let mut control = Vec::new();
        for addr in &settings.listen_control {
            control.push(listen(*addr, "targets").await?);
        }
        let metrics = match settings.listen_metrics {
            Some(addr) => Some(listen(addr, "metrics").await?),
            None => None,
        };
        Ok(Listeners {
            control,
            metrics,
            callers: listen(settings.listen_callers, "callers").await?,
            admin: listen(settings.listen_admin, "operators").await?,
            peer_tcp: listen(settings.listen_peer_tcp, "peers (TCP)").await?,
            peer_udp,
        })
    }
}

async fn listen(addr: SocketAddr, purpose: &'static str) -> Result<TcpListener, NodeError> {
    TcpListener::bind(addr)
        .await
        .context(ListenSnafu { addr, purpose })
}

/// Runs a node until it has stopped gracefully.
///
/// Must be called in an `actix-rt` system.
///
/// # Errors
///
/// Fails if the settings are not valid or a listener can't be opened.
pub async fn run(
    settings: NodeSettings,
    external_systems: ExternalSystems,
    logger: Logger,
) -> Result<RunSummary, NodeError> {
    let keys = settings.keys.clone().context(MissingKeySnafu)?;
    let admin = settings.listen_admin;
    ensure!(
        admin.ip().is_loopback() || settings.admin_token.is_some(),
        MissingTokenSnafu { addr: admin }
    );
    let listeners = Listeners::open(&settings).await?;
    let ExternalSystems {
        log,
        settings: settings_source,
        platform,
    } = external_systems;
    let node = build_node(settings, keys, log, logger, listeners.peer_udp)?;
    info!(node.logger, "node started";
        "node" => %node.name(),
        "callers" => %node.settings.listen_callers,
        "admin" => %admin,
        "peers" => %node.settings.listen_peer_tcp);
    audit::record(&node, AuditEvent::Started);
    let caller_connections = Rc::new(Cell::new(0));
    spawn_listeners(
        &node,
        &caller_connections,
        listeners.callers,
        listeners.admin,
    );
    actix_rt::spawn(guard::accept_peers(Rc::clone(&node), listeners.peer_tcp));
    // Before the first configuration the guard admits nothing.
    evacuation::update_guard(&node);
    spawn_tasks(&node);
    if let Some(listener) = listeners.metrics {
        let handler = |node: Rc<Node>, _| async move { status::metrics_text(&node) };
        actix_rt::spawn(http::serve_http(
            Rc::clone(&node),
            listener,
            "metrics",
            handler,
        ));
    }
    match platform {
        Some(platform) => spawn_platform_tasks(&node, &platform, listeners.control),
        None => spawn_log_tasks(&node),
    }
    reload::spawn_reloads(&node, settings_source).context(SetupSnafu { what: "signals" })?;
    stop::wait_for_stop_signal(&node)
        .await
        .context(SetupSnafu { what: "signals" })?;
    let summary = stop::stop_node(&node, &caller_connections).await;
    info!(node.logger, "{}", summary);
    Ok(summary)
}

fn spawn_listeners(
    node: &Rc<Node>,
    caller_connections: &Rc<Cell<usize>>,
    caller_listener: TcpListener,
    admin_listener: TcpListener,
) {
    actix_rt::spawn(entry::listener::accept_callers(
        Rc::clone(node),
        caller_listener,
        Rc::clone(caller_connections),
        entry::spawn_request_task,
    ));
    actix_rt::spawn(http::serve_http(
        Rc::clone(node),
        admin_listener,
        "admin",
        admin::handle_admin_request,
    ));
}

fn spawn_tasks(node: &Rc<Node>) {
    actix_rt::spawn(gossip::receive_datagrams(Rc::clone(node)));
    actix_rt::spawn(gossip::run_ticks(Rc::clone(node)));
    actix_rt::spawn(gossip::expire_queued_requests(Rc::clone(node)));
    actix_rt::spawn(config_sync::fetch_from_peers(Rc::clone(node)));
    actix_rt::spawn(pace::monitor_delayed_requests(Rc::clone(node)));
}

/// Spawns the tasks that read and write the streams of the log service.
fn spawn_log_tasks(node: &Rc<Node>) {
    actix_rt::spawn(config_sync::poll_log(Rc::clone(node)));
    actix_rt::spawn(audit::write_entries(Rc::clone(node)));
    actix_rt::spawn(load_report::poll_target(Rc::clone(node)));
}

/// Spawns the tasks for the store and the control listeners of the platform.
fn spawn_platform_tasks(node: &Rc<Node>, platform: &Platform, control: Vec<TcpListener>) {
    actix_rt::spawn(store_sync::join_fleet(
        Rc::clone(node),
        Rc::clone(&platform.store),
    ));
    actix_rt::spawn(config_recheck::check_at_start(Rc::clone(node)));
    actix_rt::spawn(store_sync::follow_routes(
        Rc::clone(node),
        Rc::clone(&platform.store),
    ));
    for listener in control {
        let control = Rc::clone(&platform.control);
        let handler =
            move |node, req| control::handle_control_request(node, Rc::clone(&control), req);
        actix_rt::spawn(http::serve_http(
            Rc::clone(node),
            listener,
            "control",
            handler,
        ));
    }
}

fn build_node(
    settings: NodeSettings,
    keys: FleetKeys,
    log_service: Rc<dyn LogService>,
    logger: Logger,
    udp: UdpSocket,
) -> Result<Rc<Node>, NodeError> {
    let clock = Clock::start();
    let incarnation = Incarnation(clock::unix_ms());
    let identity = NodeIdentity {
        node: settings.name.clone(),
        incarnation,
    };
    let policy = policy_by_name(&settings.policy).context(UnknownPolicySnafu {
        name: &settings.policy,
    })?;
    let balancer_settings = BalancerSettings {
        entry: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        transfer_cost_us_per_kib: settings.transfer_cost_us_per_kib,
        ..Default::default()
    };
    let guard_settings = GuardSettings {
        queue_factor: settings.limits.queue_factor,
        pace: PaceSettings::with_max_rate(settings.max_health_checks_per_second),
        resends: ResendSettings {
            credit_percent: RESEND_CREDIT_PERCENT,
            max_saved_percent: 100,
        },
        start_after_leave_us: settings.target_drain_ms.saturating_sub(START_MARGIN_MS) * 1_000,
        announcements_settle_at: clock.now().saturating_add_millis(MAX_ANNOUNCEMENT_DELAY_MS),
        ..Default::default()
    };
    let metrics = Metrics::new(settings.statsd).context(SetupSnafu { what: "metrics" })?;
    let node = Node {
        clock,
        rng: RefCell::new(rand::make_rng()),
        guard: RefCell::new(Guard::new(guard_settings)),
        exchanges: Rc::default(),
        exchange_links: Default::default(),
        logged_rate_limit: Cell::default(),
        cold_log: ColdLog::default(),
        waiters: RefCell::default(),
        service: RefCell::new(settings.service.clone()),
        balancer: RefCell::new(Balancer::new(balancer_settings, policy)),
        retry_budgets: RefCell::new(RetryBudgets::with_settings(settings.retry_budgets)),
        measurement_budget: RefCell::new(measure::MeasurementBudget::new()),
        members: RefCell::new(new_membership(&settings, incarnation, clock.now())),
        config: RefCell::new(ConfigReplica::new()),
        peer_pool: PeerPool::new(identity.clone(), keys.clone(), clock, &settings.limits),
        silence_margin: RefCell::new(SilenceMargin::new(SilenceMarginSettings::default())),
        target_pool: TargetPool::default(),
        metrics,
        audit: AuditQueue::default(),
        traces: RefCell::default(),
        workspace_usage: RefCell::default(),
        config_recheck: ConfigRecheck::new(clock.now()),
        log_service,
        udp,
        pace: Default::default(),
        probes: Default::default(),
        load_report: Default::default(),
        quota: QuotaState::new(incarnation, clock.now()),
        state_fetch: Default::default(),
        settings_state: SettingsState::new(&settings),
        routes_origin: Default::default(),
        applied_versions: Default::default(),
        evacuations: Default::default(),
        known_services: RefCell::default(),
        startup: Startup::new(clock.now()),
        config_changed: Default::default(),
        hold_budget: RefCell::default(),
        hold_budget_freed: Default::default(),
        stop: StopProgress::default(),
        identity,
        keys,
        logger,
        settings,
    };
    Ok(Rc::new(node))
}

fn new_membership(settings: &NodeSettings, incarnation: Incarnation, now: Instant) -> Membership {
    let local = MemberRecord {
        name: settings.name.clone(),
        incarnation,
        revision: 0,
        state: MemberState::Alive,
        ip: settings.ip,
        tcp_port: settings.listen_peer_tcp.port(),
        udp_port: settings.listen_peer_udp.port(),
        data_centre: settings.data_centre.clone(),
        region: Region::from(settings.region.as_str()),
        target: None,
        store_reads_fail: false,
        config_version: 0,
    };
    let member_settings = MemberSettings {
        reconnect_interval_ms: RECONNECT_INTERVAL_MS,
        ..Default::default()
    };
    Membership::new(member_settings, local, &settings.contacts, now)
}
