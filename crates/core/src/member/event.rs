//! Results of a call of the state machine.

use std::net::SocketAddr;

use super::Message;
use crate::{config::Progress, ids::NodeName};

/// What the caller of the state machine must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send one datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// Message to encode, at most [`MAX_MESSAGE_BYTES`](super::MAX_MESSAGE_BYTES) long.
        message: Message,
    },
    /// Report a change to the rest of the node.
    Event(MemberEvent),
}

/// Change of the member table.
///
/// An event names the member only; [`Membership::get`](super::Membership::get)
/// returns the record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// A member is new, came back after death, or was replaced at a new address.
    Joined {
        /// Name of the member.
        name: NodeName,
    },
    /// A member did not answer probes.
    Suspected {
        /// Name of the member.
        name: NodeName,
    },
    /// A suspected member refuted the suspicion.
    Refuted {
        /// Name of the member.
        name: NodeName,
    },
    /// A suspected member did not refute the suspicion in time.
    Died {
        /// Name of the member.
        name: NodeName,
    },
    /// A member announced that it will stop.
    Leaving {
        /// Name of the member.
        name: NodeName,
    },
    /// A leaving member stopped.
    Left {
        /// Name of the member.
        name: NodeName,
    },
    /// The target of a member changed.
    TargetChanged {
        /// Name of the member.
        name: NodeName,
    },
    /// A peer has a newer configuration than this node, or has read further.
    PeerAhead {
        /// Name of the peer.
        name: NodeName,
        /// How far the peer has read.
        progress: Progress,
    },
}
