//! Member records, which the members exchange.

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

use super::message::encoded_len;
use crate::ids::{DataCentre, Incarnation, NodeName, Region, ServiceName};

/// Longest encoding of a record that is accepted or sent.
///
/// This leaves at least 150 bytes of a message for the other fields.
pub const MAX_MEMBER_RECORD_BYTES: usize = 900;

/// State of a member.
///
/// Within one incarnation, a greater state takes precedence over a lower one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Announced that it will stop; takes no new work.
    Leaving,
    /// Did not answer probes and may still refute the suspicion.
    Suspect,
    /// Did not refute the suspicion in time.
    Dead,
    /// Stopped after announcing that it would.
    Left,
}

impl MemberState {
    /// Returns whether only a record with a higher incarnation can change the state.
    pub fn is_terminal(self) -> bool {
        matches!(self, MemberState::Dead | MemberState::Left)
    }
}

/// Target of a node, which runs on the same host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetInfo {
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Requests that the target processes concurrently.
    pub slots: u32,
    /// Whether the target takes no new work.
    pub draining: bool,
    /// Whether the target is cold, so that it can start only few requests.
    pub cold: bool,
}

/// What the members know about one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the member, unique in the fleet.
    pub name: NodeName,
    /// Incarnation of the member. Only the member itself raises it.
    pub incarnation: Incarnation,
    /// Version of the other fields within the incarnation, except `state` and
    /// `config_version`. Only the member itself raises it.
    pub revision: u32,
    /// State of the member: the greatest one seen in this incarnation.
    pub state: MemberState,
    /// Address of the host.
    pub ip: IpAddr,
    /// Port for requests between nodes.
    pub tcp_port: u16,
    /// Port for membership datagrams.
    pub udp_port: u16,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Region of the host.
    pub region: Region,
    /// Target of the member, if one is announced.
    pub target: Option<TargetInfo>,
    /// Whether the store did not answer the last read of this member, so that it can't learn of
    /// configuration changes there.
    pub store_reads_fail: bool,
    /// Configuration version in force at the member. Never decreases within an
    /// incarnation and is not covered by `revision`.
    pub config_version: u64,
}

impl MemberRecord {
    /// Returns the address for membership datagrams.
    pub fn udp_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.udp_port)
    }

    /// Returns the address for requests between nodes.
    pub fn tcp_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.tcp_port)
    }

    /// Returns the length of the encoded record in bytes.
    pub fn encoded_len(&self) -> usize {
        encoded_len(self)
    }
}
