//! Settings of a node.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use plantainpost_core::{
    ids::{DataCentre, NodeName, ServiceName},
    retry::RetryBudgetSettings,
};
use plantainpost_wire::auth::FleetKeys;

use crate::headers::HeaderNames;

/// Limits for callers and peers, and timeouts.
///
/// Durations are given in milliseconds, and converted to instants where they are used.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Longest head of a request, in bytes.
    pub header_bytes: usize,
    /// Largest number of open connections of callers.
    pub caller_connections: usize,
    /// Largest number of open connections of peers.
    pub peer_connections: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes: u64,
    /// Timeout of a request that specifies none, in milliseconds.
    pub default_timeout_ms: u64,
    /// Longest timeout that a caller may specify, in milliseconds.
    pub max_timeout_ms: u64,
    /// Timeout to open a connection to a peer or the target, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Timeout to receive the head of a request, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Largest number of requests queued for the target, as a multiple of its slots.
    pub queue_factor: u32,
    /// Limits of a graceful stop.
    pub stop: StopLimits,
}

/// Limits of a graceful stop.
#[derive(Clone, Copy, Debug)]
pub struct StopLimits {
    /// Longest time that a stop waits for requests in flight, in milliseconds. Without a limit of
    /// the platform it is longer than `max_timeout_ms`, so that no request is aborted.
    pub timeout_ms: u64,
    /// Time before a stopping node starts to close its connections, in milliseconds. Until then it
    /// still responds to its peers.
    pub drain_delay_ms: u64,
    /// Whether a stopping node accepts requests of peers during `drain_delay_ms`. Set if the target
    /// keeps running while its node restarts, because it may be the last target of its service.
    pub serves_during_drain_delay: bool,
}

impl Default for StopLimits {
    fn default() -> Self {
        StopLimits {
            timeout_ms: 130_000,
            drain_delay_ms: 1_000,
            serves_during_drain_delay: false,
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            header_bytes: 16 * 1024,
            caller_connections: 1_024,
            peer_connections: 4_096,
            body_bytes: 32 * 1024 * 1024,
            default_timeout_ms: 10_000,
            max_timeout_ms: 120_000,
            connect_timeout_ms: 250,
            head_timeout_ms: 5_000,
            idle_timeout_ms: 30_000,
            queue_factor: 2,
            stop: StopLimits::default(),
        }
    }
}

/// How the service of a request is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Routing {
    /// By the host name, which is the name of the service.
    ByHostName,
    /// By the routes that operators publish in the platform's store.
    ByRouteTable,
}

/// Limit on the extra requests (retries and hedges) of all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetRetryBudget {
    /// Number of retries and hedges that all nodes may send in any time window, beyond the
    /// permitted share of their requests.
    pub extra_requests: u64,
}

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the node, unique in the fleet.
    pub name: NodeName,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: String,
    /// IP address of the host, used by peers.
    pub ip: IpAddr,
    /// Service of the target on this host, if it is configured.
    pub service: Option<ServiceName>,
    /// How the service of a request is determined.
    pub routing: Routing,
    /// Names of the headers exchanged with callers and targets.
    pub headers: HeaderNames,
    /// Whether the end of a connection may delimit a target's response. Truncated responses
    /// can't be detected then.
    pub allow_close_delimited_responses: bool,
    /// Interval between heartbeats of a target on the platform, in milliseconds.
    pub announce_interval_ms: u64,
    /// Time after a target has said that it leaves within which requests may reach it, in
    /// milliseconds.
    pub target_drain_ms: u64,
    /// Largest number of health checks sent to the target per second.
    pub max_health_checks_per_second: u64,
    /// Cost of sending one KiB to another data centre, expressed as latency, in microseconds.
    pub transfer_cost_us_per_kib: u64,
    /// Budgets for retries and hedges.
    pub retry_budgets: RetryBudgetSettings,
    /// Limit on the extra requests of the whole fleet, if there is one.
    pub fleet_retry_budget: Option<FleetRetryBudget>,
    /// Listeners for targets and readiness checks of the platform.
    pub listen_control: Vec<SocketAddr>,
    /// Listener for metrics, if there is one.
    pub listen_metrics: Option<SocketAddr>,
    /// Listener for callers.
    pub listen_callers: SocketAddr,
    /// Listener for operators and the target.
    pub listen_admin: SocketAddr,
    /// TCP listener for peers.
    pub listen_peer_tcp: SocketAddr,
    /// UDP socket for peers.
    pub listen_peer_udp: SocketAddr,
    /// UDP addresses of nodes to contact first, to join the fleet.
    pub contacts: Vec<SocketAddr>,
    /// Host and port of the log service.
    pub log_address: String,
    /// Smallest mean interval between reads of the log, in milliseconds.
    pub log_read_interval_ms: u64,
    /// Keys of the fleet. A node does not start without them.
    pub keys: Option<FleetKeys>,
    /// Bearer token required on the admin listener. Mandatory unless that listener is on loopback.
    pub admin_token: Option<String>,
    /// Name of the policy that chooses targets.
    pub policy: String,
    /// StatsD server for metrics.
    pub statsd: Option<SocketAddr>,
    /// Limits and timeouts.
    pub limits: Limits,
}

impl Default for NodeSettings {
    fn default() -> Self {
        let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
        NodeSettings {
            name: NodeName::from("node"),
            data_centre: DataCentre::from("default"),
            region: "default".to_owned(),
            ip,
            service: None,
            routing: Routing::ByHostName,
            headers: HeaderNames::default(),
            allow_close_delimited_responses: false,
            announce_interval_ms: 1_500,
            target_drain_ms: 2_000,
            max_health_checks_per_second: 60,
            transfer_cost_us_per_kib: 0,
            retry_budgets: RetryBudgetSettings::default(),
            fleet_retry_budget: None,
            listen_control: Vec::new(),
            listen_metrics: None,
            listen_callers: SocketAddr::new(ip, 7400),
            listen_admin: SocketAddr::new(ip, 7401),
            listen_peer_tcp: SocketAddr::new(ip, 7402),
            listen_peer_udp: SocketAddr::new(ip, 7402),
            contacts: Vec::new(),
            log_address: "127.0.0.1:7410".to_owned(),
            log_read_interval_ms: 1_000,
            keys: None,
            admin_token: None,
            policy: "predicted-completion".to_owned(),
            statsd: None,
            limits: Limits::default(),
        }
    }
}
