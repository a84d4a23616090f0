//! The target that announced itself to the guard.

use std::{net::SocketAddr, rc::Rc};

use super::leave::{AcknowledgedLeaves, TargetLeave};
use crate::{ids::ServiceName, time::Instant};

/// Instance of a target, from its start to its exit, with the number of an announcement.
///
/// A guard orders instances by `started_unix_ms` and the announcements of an instance by
/// `seq`, to detect announcements that arrive late. A target that does not identify its
/// instance has the default one, whose announcements are always accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetInstance<'a> {
    /// Identifier that the target chose; empty if none.
    pub id: &'a str,
    /// Start of the target in milliseconds since the Unix epoch, on the target's clock; zero
    /// if not announced.
    pub started_unix_ms: u64,
    /// Sequence number of the announcement within the instance.
    pub seq: u64,
}

/// Announcement as received from the target.
#[derive(Clone, Copy, Debug)]
pub struct Announcement<'a> {
    /// Instance of the target that sent the announcement.
    pub instance: TargetInstance<'a>,
    /// Service that the target offers.
    pub service: &'a str,
    /// Address at which the target accepts requests.
    pub address: SocketAddr,
    /// Number of requests that the target works on concurrently.
    pub slots: u32,
    /// Number of connections that the target accepts.
    pub connections: u32,
    /// Instant at which the announcement expires unless it is renewed.
    pub expires: Instant,
    /// Whether the target asks for no new requests.
    pub leaving: bool,
}

/// Effect of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementEffect {
    /// No target was announced before.
    New,
    /// The announcement in force was renewed.
    Renewed,
    /// Another target was announced before; requests that waited for it are refused.
    Replaced,
    /// A newer announcement was received before, so this one was ignored.
    Late,
}

/// Announcement in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncedTarget {
    /// Identifier that the target chose; empty if none.
    pub id: Rc<str>,
    /// Start of the target in milliseconds since the Unix epoch; zero if not announced.
    pub started_unix_ms: u64,
    /// Service that the target offers, in lower case.
    pub service: ServiceName,
    /// Address at which the target accepts requests.
    pub address: SocketAddr,
    /// Number of requests that the target works on concurrently.
    pub slots: u32,
    /// Number of connections that the target accepts.
    pub connections: u32,
    /// Instant at which the announcement expires unless it is renewed.
    pub expires: Instant,
    /// Whether the target asks for no new requests.
    pub leaving: bool,
}

impl AnnouncedTarget {
    /// Creates the stored form of an announcement.
    pub(super) fn new(announcement: &Announcement<'_>) -> Self {
        AnnouncedTarget {
            id: Rc::from(announcement.instance.id),
            started_unix_ms: announcement.instance.started_unix_ms,
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
    /// A target that changes its service, address or instance counts as another target.
    pub(super) fn is_renewed_by(&self, other: &AnnouncedTarget) -> bool {
        self.service == other.service
            && self.address == other.address
            && self.id == other.id
            && self.started_unix_ms == other.started_unix_ms
    }

    /// Returns the number of requests that the target can have at once. Every request
    /// takes a connection of its own.
    pub(super) fn capacity(&self) -> u32 {
        self.slots.min(self.connections)
    }

    /// Returns whether the announcement has not expired.
    pub(super) fn is_in_force(&self, now: Instant) -> bool {
        now < self.expires
    }
}

/// Newest announcement of the newest instance that a guard has received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct NewestAnnouncement {
    id: Box<str>,
    started_unix_ms: u64,
    seq: u64,
    /// The target said that it is leaving. Later announcements of this instance are ignored.
    is_leaving: bool,
    /// Leaves of instances whose start may be unknown here.
    leaves: AcknowledgedLeaves,
}

impl NewestAnnouncement {
    /// Returns whether the newest announcement was of the same instance; false if the instance is not
    /// identified.
    pub(super) fn is_of(&self, instance: &TargetInstance<'_>) -> bool {
        instance.started_unix_ms != 0
            && instance.started_unix_ms == self.started_unix_ms
            && *instance.id == *self.id
    }

    /// Records an announcement if it is newer than all others and its instance has not left, and
    /// returns whether it was recorded.
    pub(super) fn record_if_newer(&mut self, now: Instant, instance: &TargetInstance<'_>) -> bool {
        if self.leaves.covers(now, instance) {
            return false;
        }
        if instance.started_unix_ms == 0 {
            return true;
        }
        let is_late = match self.is_of(instance) {
            true => self.is_leaving || instance.seq <= self.seq,
            false => instance.started_unix_ms < self.started_unix_ms,
        };
        if is_late {
            return false;
        }
        self.id = Box::from(instance.id);
        self.started_unix_ms = instance.started_unix_ms;
        self.seq = instance.seq;
        self.is_leaving = false;
        true
    }

    /// Records that an instance is leaving, whether it has announced itself here or not. Returns
    /// whether it is the newest one.
    pub(super) fn record_leave(&mut self, now: Instant, leave: &TargetLeave<'_>) -> bool {
        self.leaves.record(now, leave);
        self.mark_leaving(leave.id)
    }

    /// Records that the announced instance `id` is leaving, and returns whether it is the newest
    /// one.
    pub(super) fn mark_leaving(&mut self, id: &str) -> bool {
        let is_newest = *id == *self.id;
        self.is_leaving |= is_newest;
        is_newest
    }
}
