//! Start of a node.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
};

use actix_rt::net::{TcpListener, UdpSocket};
use plantainpost_core::{
    admission::{Guard, GuardSettings, PaceSettings},
    balance::{Balancer, BalancerSettings, policy_by_name},
    config::ConfigReplica,
    ids::{Incarnation, Region},
    measure,
    member::{MemberRecord, MemberSettings, MemberState, Membership},
    retry::RetryBudgets,
    time::Instant,
};
use plantainpost_wire::{auth::FleetKeys, handshake::NodeIdentity};
use slog::{Logger, info};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::{
    admin,
    audit::{self, AuditEvent, AuditQueue},
    border::{Borders, Platform},
    clock::{self, Clock},
    config_sync, control, entry, gossip, guard, http,
    log::LogService,
    metrics::Metrics,
    node::{Node, Stop},
    pace,
    peers::PeerPool,
    reload, report,
    settings::NodeSettings,
    status,
    stop::{self, Summary},
    store_sync,
    target::TargetPool,
};

/// Time between two attempts to reach a dead member or an unknown contact, in milliseconds. A
/// node that restarts while the store refuses it is found and told the routes by its peers.
const RETRY_DEAD_EVERY_MS: u64 = 1_000;

/// A node could not start.
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
        /// What was set up.
        what: &'static str,
        /// Error of the system.
        source: io::Error,
    },
    /// There is no fleet key.
    #[snafu(display("a fleet key is needed: set key_file in [security]"))]
    NoKey,
    /// The admin listener needs a token.
    #[snafu(display("the admin listener on {addr} needs a token: set token_file in [security]"))]
    NoToken {
        /// Address of the listener.
        addr: SocketAddr,
    },
    /// There is no such policy.
    #[snafu(display("there is no policy named {name}"))]
    NoPolicy {
        /// Name from the settings.
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

/// Runs a node until a planned stop has ended.
///
/// It must be called on an `actix-rt` system.
///
/// # Errors
///
/// Fails when the settings can't be used or a listener can't be opened.
pub async fn run(
    settings: NodeSettings,
    borders: Borders,
    logger: Logger,
) -> Result<Summary, NodeError> {
    let keys = settings.keys.clone().context(NoKeySnafu)?;
    let admin = settings.listen_admin;
    ensure!(
        admin.ip().is_loopback() || settings.admin_token.is_some(),
        NoTokenSnafu { addr: admin }
    );
    let listeners = Listeners::open(&settings).await?;
    let Borders {
        log,
        reload,
        platform,
    } = borders;
    let node = build(settings, keys, log, logger, listeners.peer_udp)?;
    info!(node.logger, "node started";
        "node" => %node.name(),
        "callers" => %node.settings.listen_callers,
        "admin" => %admin,
        "peers" => %node.settings.listen_peer_tcp);
    audit::note(&node, AuditEvent::Started);
    let callers = Rc::new(Cell::new(0));
    spawn_listeners(&node, &callers, listeners.callers, listeners.admin);
    actix_rt::spawn(guard::accept_peers(Rc::clone(&node), listeners.peer_tcp));
    spawn_tasks(&node);
    if let Some(listener) = listeners.metrics {
        let handler = |node: Rc<Node>, _| async move { status::metrics_text(&node) };
        actix_rt::spawn(http::serve(Rc::clone(&node), listener, "metrics", handler));
    }
    match platform {
        Some(platform) => spawn_platform_tasks(&node, &platform, listeners.control),
        None => spawn_log_tasks(&node),
    }
    reload::on_signal(&node, reload).context(SetupSnafu { what: "signals" })?;
    stop::wait_for_signal(&node)
        .await
        .context(SetupSnafu { what: "signals" })?;
    let summary = stop::stop(&node, &callers).await;
    info!(node.logger, "{}", summary);
    Ok(summary)
}

fn spawn_listeners(
    node: &Rc<Node>,
    callers: &Rc<Cell<usize>>,
    for_callers: TcpListener,
    for_admin: TcpListener,
) {
    actix_rt::spawn(entry::listener::accept_callers(
        Rc::clone(node),
        for_callers,
        Rc::clone(callers),
        entry::spawn_request_task,
    ));
    actix_rt::spawn(http::serve(
        Rc::clone(node),
        for_admin,
        "admin",
        admin::handle,
    ));
}

fn spawn_tasks(node: &Rc<Node>) {
    actix_rt::spawn(gossip::receive(Rc::clone(node)));
    actix_rt::spawn(gossip::tick(Rc::clone(node)));
    actix_rt::spawn(gossip::expire_queue(Rc::clone(node)));
    actix_rt::spawn(config_sync::follow_peers(Rc::clone(node)));
    actix_rt::spawn(pace::watch(Rc::clone(node)));
}

/// Starts what follows the product's own streams on the log service.
fn spawn_log_tasks(node: &Rc<Node>) {
    actix_rt::spawn(config_sync::read_log(Rc::clone(node)));
    actix_rt::spawn(audit::run(Rc::clone(node)));
    actix_rt::spawn(report::poll(Rc::clone(node)));
}

/// Starts what serves and follows the platform.
fn spawn_platform_tasks(node: &Rc<Node>, platform: &Platform, control: Vec<TcpListener>) {
    actix_rt::spawn(store_sync::join(
        Rc::clone(node),
        Rc::clone(&platform.store),
    ));
    actix_rt::spawn(store_sync::follow_routes(
        Rc::clone(node),
        Rc::clone(&platform.store),
    ));
    for listener in control {
        let control = Rc::clone(&platform.control);
        let handler = move |node, req| control::handle(node, Rc::clone(&control), req);
        actix_rt::spawn(http::serve(Rc::clone(node), listener, "control", handler));
    }
}

fn build(
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
    let policy = policy_by_name(&settings.policy).context(NoPolicySnafu {
        name: &settings.policy,
    })?;
    let balancer_settings = BalancerSettings {
        entry: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        transfer_cost_us_per_kib: settings.transfer_us_per_kib,
        ..Default::default()
    };
    let guard_settings = GuardSettings {
        queue_factor: settings.limits.queue_factor,
        pace: PaceSettings::with_max_rate(settings.probes_per_second),
        ..Default::default()
    };
    let metrics = Metrics::new(settings.statsd).context(SetupSnafu { what: "metrics" })?;
    let node = Node {
        clock,
        rng: RefCell::new(rand::make_rng()),
        guard: RefCell::new(Guard::new(guard_settings)),
        exchanges: Rc::default(),
        waiters: RefCell::default(),
        service: RefCell::new(settings.service.clone()),
        balancer: RefCell::new(Balancer::new(balancer_settings, policy)),
        retries: RefCell::new(RetryBudgets::with_settings(settings.retries)),
        measuring: RefCell::new(measure::MeasurementBudget::new()),
        members: RefCell::new(membership(&settings, incarnation, clock.now())),
        register: RefCell::new(ConfigReplica::new()),
        peers: PeerPool::new(identity.clone(), keys.clone(), clock, &settings.limits),
        targets: TargetPool::default(),
        metrics,
        audit: AuditQueue::default(),
        traces: RefCell::default(),
        log_service,
        udp,
        pace: Default::default(),
        probes: Default::default(),
        report: Default::default(),
        ahead: Default::default(),
        applied: Default::default(),
        known_services: RefCell::default(),
        config_changed: Default::default(),
        stop: Stop::default(),
        identity,
        keys,
        logger,
        settings,
    };
    Ok(Rc::new(node))
}

fn membership(settings: &NodeSettings, incarnation: Incarnation, now: Instant) -> Membership {
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
        config_version: 0,
    };
    let cfg = MemberSettings {
        reconnect_interval_ms: RETRY_DEAD_EVERY_MS,
        ..Default::default()
    };
    Membership::new(cfg, local, &settings.contacts, now)
}
