//! Settings of a node.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use plantainpost_core::{
    ids::{DataCentre, NodeName, ServiceName},
    retry::RetryBudgetSettings,
};
use plantainpost_wire::auth::FleetKeys;

use crate::headers::HeaderNames;

/// Limits on what callers and peers may use.
///
/// Lengths of time are settings; they become instants when they are used.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Longest head of a request, in bytes.
    pub header_bytes: usize,
    /// Connections of callers at once.
    pub caller_connections: usize,
    /// Connections of peers at once.
    pub peer_connections: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes: u64,
    /// Remaining time of a request that states none, in milliseconds.
    pub default_timeout_ms: u64,
    /// Longest remaining time that a caller may state, in milliseconds.
    pub max_timeout_ms: u64,
    /// Time to open a connection to a peer or the target, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Time that a caller has to send the head of a request, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time after which an unused connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Requests that may wait for the target, as a multiple of its slots.
    pub queue_factor: u32,
    /// Longest time that a planned stop waits for requests in flight, in
    /// milliseconds. It is above `max_timeout_ms`, so that no request is cut.
    pub stop_timeout_ms: u64,
    /// Time during which a stopping node still answers its peers, in milliseconds.
    pub stop_linger_ms: u64,
    /// Whether a stopping node takes requests of peers during that time. It does where the
    /// target goes on while its node restarts, and may be the last one of its service.
    pub serves_while_lingering: bool,
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
            stop_timeout_ms: 130_000,
            stop_linger_ms: 1_000,
            serves_while_lingering: false,
        }
    }
}

/// How a request finds its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Routing {
    /// The host name is the name of the service.
    ByName,
    /// Routes that operators publish on the platform's store.
    ByTable,
}

/// Share of the extra requests that all nodes together may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBudget {
    /// Extra requests of all nodes beyond their share of the requests, in any window.
    pub slack: u64,
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
    /// Address of the host that peers use.
    pub ip: IpAddr,
    /// Service of the target on this host, if it is known beforehand.
    pub service: Option<ServiceName>,
    /// How a request finds its service.
    pub routing: Routing,
    /// Names of headers.
    pub headers: HeaderNames,
    /// Whether a target's answer may end with its connection. A cut that looks like a
    /// regular end can't be seen then.
    pub unframed_answers: bool,
    /// Time between two announcements of a target on the platform, in milliseconds.
    pub announce_every_ms: u64,
    /// Largest number of health checks that the target gets in a second.
    pub probes_per_second: u64,
    /// Cost of a KiB that is sent to another data centre, as the time that is worth the
    /// same, in microseconds.
    pub transfer_us_per_kib: u64,
    /// Retries and hedges.
    pub retries: RetryBudgetSettings,
    /// Bound on the extra requests of the whole fleet, if there is one.
    pub fleet_budget: Option<FleetBudget>,
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
    /// UDP addresses of nodes to contact first.
    pub contacts: Vec<SocketAddr>,
    /// Host and port of the log service.
    pub log_address: String,
    /// Least mean time between two reads of the log, in milliseconds.
    pub log_read_every_ms: u64,
    /// Keys of the fleet. A node does not start without them.
    pub keys: Option<FleetKeys>,
    /// Token that the admin listener asks for. It is needed off loopback.
    pub admin_token: Option<String>,
    /// Name of the policy that chooses targets.
    pub policy: String,
    /// StatsD server for metrics.
    pub statsd: Option<SocketAddr>,
    /// Limits.
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
            routing: Routing::ByName,
            headers: HeaderNames::default(),
            unframed_answers: false,
            announce_every_ms: 1_500,
            probes_per_second: 60,
            transfer_us_per_kib: 0,
            retries: RetryBudgetSettings::default(),
            fleet_budget: None,
            listen_control: Vec::new(),
            listen_metrics: None,
            listen_callers: SocketAddr::new(ip, 7400),
            listen_admin: SocketAddr::new(ip, 7401),
            listen_peer_tcp: SocketAddr::new(ip, 7402),
            listen_peer_udp: SocketAddr::new(ip, 7402),
            contacts: Vec::new(),
            log_address: "127.0.0.1:7410".to_owned(),
            log_read_every_ms: 1_000,
            keys: None,
            admin_token: None,
            policy: "predicted-completion".to_owned(),
            statsd: None,
            limits: Limits::default(),
        }
    }
}
