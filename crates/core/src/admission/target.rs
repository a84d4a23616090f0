//! The target that announced itself to the guard.

use std::net::SocketAddr;

use crate::{ids::ServiceName, time::Instant};

/// Announcement as received from the target.
#[derive(Clone, Copy, Debug)]
pub struct Announcement<'a> {
    /// Service that the target offers.
    pub service: &'a str,
    /// Address at which the target accepts requests.
    pub address: SocketAddr,
    /// Requests that the target works on at once.
    pub slots: u32,
    /// Connections that the target accepts.
    pub connections: u32,
    /// Instant at which the announcement lapses unless it is renewed.
    pub expires: Instant,
    /// The target asks for no new requests.
    pub leaving: bool,
}

/// Effect of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announced {
    /// No target was announced before.
    New,
    /// The announcement in force was renewed.
    Renewed,
    /// Another target was announced before; requests that waited for it are refused.
    Replaced,
}

/// Announcement in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncedTarget {
    /// Service that the target offers, in lower case.
    pub service: ServiceName,
    /// Address at which the target accepts requests.
    pub address: SocketAddr,
    /// Requests that the target works on at once.
    pub slots: u32,
    /// Connections that the target accepts.
    pub connections: u32,
    /// Instant at which the announcement lapses unless it is renewed.
    pub expires: Instant,
    /// The target asks for no new requests.
    pub leaving: bool,
}

impl AnnouncedTarget {
    /// Stores an announcement.
    pub(super) fn new(announcement: &Announcement<'_>) -> Self {
        AnnouncedTarget {
            service: ServiceName::from(&*announcement.service.to_ascii_lowercase()),
            address: announcement.address,
            slots: announcement.slots,
            connections: announcement.connections,
            expires: announcement.expires,
            leaving: announcement.leaving,
        }
    }

    /// Returns whether `other` renews this announcement.
    ///
    /// A target that changes its service or address is another target.
    pub(super) fn is_renewed_by(&self, other: &AnnouncedTarget) -> bool {
        self.service == other.service && self.address == other.address
    }

    /// Returns the requests that can be with the target at once. Every request takes
    /// a connection of its own.
    pub(super) fn capacity(&self) -> u32 {
        self.slots.min(self.connections)
    }

    /// Returns whether the announcement is in force.
    pub(super) fn is_live(&self, now: Instant) -> bool {
        now < self.expires
    }
}
