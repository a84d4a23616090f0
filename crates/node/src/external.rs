//! Interfaces to the systems outside a node: log service, store and platform.
//!
//! Implementations only translate names and formats. All decisions are made in the node.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    rc::Rc,
};

use futures_util::future::LocalBoxFuture;
use plantainpost_core::{
    config::{EvacuationChange, Position},
    routing::RouteTable,
};
use snafu::Snafu;

use crate::{log_service::LogService, settings::NodeSettings};

/// The systems outside a node that it depends on.
pub struct ExternalSystems {
    /// Log service with the configuration and the audit trail.
    pub log: Rc<dyn LogService>,
    /// Settings of the node, which can change while it runs.
    pub settings: Box<dyn SettingsSource>,
    /// Platform that the node runs on; `None` if it runs without one.
    pub platform: Option<Platform>,
}

/// The place from which the settings of a node are loaded.
pub trait SettingsSource {
    /// Returns the unparsed settings. They are compared to notice a change.
    ///
    /// # Errors
    ///
    /// Fails if they can't be read.
    fn read(&self) -> io::Result<Vec<u8>>;

    /// Loads the settings.
    ///
    /// # Errors
    ///
    /// Returns why they can't be read, or what is invalid.
    fn load(&self) -> Result<NodeSettings, String>;
}

/// The platform that a node runs on.
pub struct Platform {
    /// Contacts of the nodes and the routes, in the platform's store.
    pub store: Rc<dyn FleetStore>,
    /// Decoder for heartbeats of targets and readiness checks of the platform.
    pub control: Rc<dyn ControlProtocol>,
}

/// Name and address of a node, for joining the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Name of the node.
    pub name: String,
    /// IP address of its host.
    pub ip: IpAddr,
    /// UDP port for membership datagrams.
    pub udp_port: u16,
}

/// Contacts in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Contacts {
    /// Contacts that could be decoded.
    pub contacts: Vec<Contact>,
    /// Reasons of the records that could not be decoded, one for each.
    pub rejected_records: Vec<String>,
}

/// Routes and evacuations that operators published in the store.
#[derive(Clone, Debug)]
pub struct PublishedRoutes {
    /// Position of the first record that was read; `None` for the newest records of all keys.
    pub from: Option<Position>,
    /// Position after the last record that was read, of the same era as `from`.
    pub read_to: Position,
    /// The newest routes; `None` if the records that were read contain none.
    pub table: Option<RouteTable>,
    /// Records that request or end the evacuation of a data centre, in the order of their positions.
    pub evacuations: Vec<EvacuationChange>,
    /// Reasons of the records that could not be decoded, one for each.
    pub rejected_records: Vec<String>,
}

/// A failed call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[expect(missing_docs, reason = "The messages name the fields.")]
pub enum StoreError {
    /// The requested records are no longer kept.
    #[snafu(display("the records are no longer kept"))]
    Expired,
    /// The store was restored from an older copy, after which the position of a read means another
    /// record.
    #[snafu(display("the store was restored, and is in era {era}"))]
    Restored { era: u64 },
    /// The store did not respond, or refused the call. A write may have taken effect.
    #[snafu(display("{reason}"))]
    Unavailable { reason: String },
}

/// The platform's store, with the contacts of the nodes and the routes.
pub trait FleetStore {
    /// Writes the contact of a node, and returns the era of the store that has it. Replaces an earlier
    /// contact with the same name.
    fn register_contact<'a>(
        &'a self,
        contact: &'a Contact,
    ) -> LocalBoxFuture<'a, Result<u64, StoreError>>;

    /// Returns the contacts of all nodes.
    fn contacts(&self) -> LocalBoxFuture<'_, Result<Contacts, StoreError>>;

    /// Returns the newest routes, and the newest record about each evacuation.
    fn newest_routes(&self) -> LocalBoxFuture<'_, Result<PublishedRoutes, StoreError>>;

    /// Returns the highest era that an answer of the store has stated, also one to a call that failed.
    fn era(&self) -> u64;

    /// Waits for records from `from` on, and returns the newest routes and all evacuations among
    /// them.
    ///
    /// Returns without either if none are published within `wait_ms` milliseconds.
    fn wait_for_routes(
        &self,
        from: Position,
        wait_ms: u64,
    ) -> LocalBoxFuture<'_, Result<PublishedRoutes, StoreError>>;
}

/// A heartbeat by which a target announces itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetHeartbeat {
    /// Id of this run of the target process.
    pub id: String,
    /// Start of the target process, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Sequence number of the heartbeat within this run.
    pub seq: u64,
    /// Service that the target belongs to.
    pub service: String,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Number of requests that it processes at once.
    pub slots: u32,
    /// Whether it will stop soon.
    pub leaving: bool,
    /// Remaining time for which it is cold, in milliseconds; zero if it is not.
    pub warmup_ms: u64,
}

/// A call on the control listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// Asks whether the node accepts callers.
    CheckReadiness,
    /// A target sends a heartbeat.
    Announce(TargetHeartbeat),
    /// The target with this id will stop soon and sends no further heartbeats.
    Leave(String),
    /// The call is known, but its content is not valid. Holds the reason.
    Malformed(String),
    /// The method or path is unknown.
    Unknown,
}

/// Decodes the calls on the control listener.
pub trait ControlProtocol {
    /// Decodes a call from its HTTP method, path and body.
    fn decode(&self, method: &str, path: &str, body: &[u8]) -> ControlCall;
}
