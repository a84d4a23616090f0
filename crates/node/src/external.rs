//! ExternalSystems to the systems around a node.
//!
//! What stands behind them translates names and formats and decides nothing.

use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
};

use futures_util::future::LocalBoxFuture;
use plantainpost_core::routing::RouteTable;
use snafu::Snafu;

use crate::{log::LogService, settings::NodeSettings};

/// The systems around a node.
pub struct ExternalSystems {
    /// Log service with the product's own streams.
    pub log: Rc<dyn LogService>,
    /// Reads the settings of the node again.
    pub reload: Box<dyn Fn() -> Result<NodeSettings, String>>,
    /// Platform that the node runs on; `None` where it stands for itself.
    pub platform: Option<Platform>,
}

/// The platform that a node runs on.
pub struct Platform {
    /// What nodes and operators keep on the platform's store.
    pub store: Rc<dyn FleetStore>,
    /// Calls of targets and of the platform's readiness checks.
    pub control: Rc<dyn ControlProtocol>,
}

/// How to reach a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Name of the node.
    pub name: String,
    /// Address of its host.
    pub ip: IpAddr,
    /// Port for membership datagrams.
    pub udp_port: u16,
}

/// Routes as an operator published them.
#[derive(Clone, Debug)]
pub struct PublishedRoutes {
    /// Offset after the last record that was read.
    pub read_to: u64,
    /// The newest routes; `None` if the records read hold none.
    pub table: Option<RouteTable>,
    /// Records that could not be read, each with its reason.
    pub rejected_records: Vec<String>,
}

/// Why a call of the store gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[expect(missing_docs, reason = "The messages name the fields.")]
pub enum StoreError {
    /// The records asked for are no longer kept.
    #[snafu(display("the records are no longer kept"))]
    Expired,
    /// There was no answer, or a refusal. A write may have taken effect.
    #[snafu(display("{reason}"))]
    Unavailable { reason: String },
}

/// What the fleet keeps on the platform's store.
pub trait FleetStore {
    /// Records how to reach a node, in place of what was recorded under its name.
    fn register_contact<'a>(
        &'a self,
        contact: &'a Contact,
    ) -> LocalBoxFuture<'a, Result<(), StoreError>>;

    /// Returns how to reach all nodes that are recorded.
    fn contacts(&self) -> LocalBoxFuture<'_, Result<Vec<Contact>, StoreError>>;

    /// Returns the newest routes.
    fn newest_routes(&self) -> LocalBoxFuture<'_, Result<PublishedRoutes, StoreError>>;

    /// Waits for records from offset `from` on, and returns the newest routes among them.
    /// It returns without routes when there are none for a while.
    fn wait_for_routes(&self, from: u64)
    -> LocalBoxFuture<'_, Result<PublishedRoutes, StoreError>>;
}

/// A target's announcement of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetHeartbeat {
    /// Id of this life of the target.
    pub id: String,
    /// Start of this life in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Number of the announcement within this life.
    pub seq: u64,
    /// Service that the target belongs to.
    pub service: String,
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it will stop soon.
    pub leaving: bool,
    /// Time for which it is still slow after its start, in milliseconds.
    pub warmup_ms: u64,
}

/// A call on the control listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// Asks whether the node takes callers.
    CheckReadiness,
    /// A target announces itself.
    Announce(TargetHeartbeat),
    /// The target with this id stops soon and sends no further announcement.
    Leave(String),
    /// The call is known, but its content can't be read.
    Malformed(String),
    /// There is no such call.
    Unknown,
}

/// Names and formats of the calls on the control listener.
pub trait ControlProtocol {
    /// Decodes a call.
    fn decode(&self, method: &str, path: &str, body: &[u8]) -> ControlCall;
}
