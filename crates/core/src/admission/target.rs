//! The target that announced itself to the guard.

use std::{net::SocketAddr, rc::Rc};

use crate::{ids::ServiceName, time::Instant};

/// One life of a target, from its start to its end.
///
/// Lives at one guard are ordered by `born_ms`, and the announcements of a life by `seq`. A
/// target that announces no life has the default one, whose announcements are never late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Life<'a> {
    /// Name that the target gives itself; empty if none.
    pub id: &'a str,
    /// Start of the target in milliseconds since the Unix epoch, on its own clock.
    pub born_ms: u64,
    /// Number of the announcement within the life.
    pub seq: u64,
}

/// Announcement as received from the target.
#[derive(Clone, Copy, Debug)]
pub struct Announcement<'a> {
    /// Life of the target.
    pub life: Life<'a>,
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
    /// A later announcement was received before; nothing changed.
    Late,
}

/// Announcement in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncedTarget {
    /// Name that the target gives itself; empty if none.
    pub id: Rc<str>,
    /// Start of the target in milliseconds since the Unix epoch; zero if not announced.
    pub born_ms: u64,
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
            id: Rc::from(announcement.life.id),
            born_ms: announcement.life.born_ms,
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
    /// A target that changes its service, address or life is another target.
    pub(super) fn is_renewed_by(&self, other: &AnnouncedTarget) -> bool {
        self.service == other.service
            && self.address == other.address
            && self.id == other.id
            && self.born_ms == other.born_ms
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

/// The newest announcement of the newest life that a guard has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Newest {
    id: Box<str>,
    born_ms: u64,
    seq: u64,
    /// The target said that it leaves. Nothing of this life brings it back.
    left: bool,
}

impl Newest {
    /// Notes an announcement, and returns whether it is newer than all others.
    pub(super) fn note(&mut self, life: &Life<'_>) -> bool {
        if life.born_ms == 0 {
            return true;
        }
        let same_life = life.born_ms == self.born_ms && *life.id == *self.id;
        let is_late = match same_life {
            true => self.left || life.seq <= self.seq,
            false => life.born_ms < self.born_ms,
        };
        if is_late {
            return false;
        }
        *self = Newest {
            id: Box::from(life.id),
            born_ms: life.born_ms,
            seq: life.seq,
            left: false,
        };
        true
    }

    /// Notes that the life has ended, and returns whether it is the newest one.
    pub(super) fn note_left(&mut self, id: &str) -> bool {
        let is_newest = *id == *self.id;
        self.left |= is_newest;
        is_newest
    }
}
