//! Chooses the members that read configuration changes from the store. The other members
//! learn of changes from them.
//!
//! If all members of a large fleet polled the store, each change would cost one call per
//! member. Each data centre has its own readers, so that one that is partitioned from the
//! others still learns of changes.

use std::hash::{BuildHasher, Hasher};

use super::{MemberState, Membership};
use crate::time::Instant;

/// Readers in each data centre.
///
/// The store may refuse some members. If it refuses a third of them, and each of three data
/// centres has three readers, it refuses all readers only once in 10,000 times. Others then read in
/// their place.
const READERS_PER_DATA_CENTRE: usize = 3;

/// Time without a received message after which a member reads the store itself. Members
/// exchange several messages a second, and changes must be in force within 2 s.
const MAX_SILENCE_MS: u64 = 1_200;

/// How long a read of the first reader of a data centre waits for a change, in milliseconds. It
/// bounds the time until a connection that no longer carries data is noticed: changes must be in
/// force 3 s after such a fault.
const MIN_READ_WAIT_MS: u64 = 1_000;

/// Mean delays before a failed read is repeated, in milliseconds, for the regular readers, the first members
/// that stand in for them, and all others. In an outage of the whole store every member stands in, and a
/// large fleet must not call it at the rate of the regular readers.
const RETRY_DELAYS_MS: [u64; 3] = [200, 1_000, 4_000];

/// Role of a member that reads configuration changes from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigReader {
    /// How long a read may wait for a change, in milliseconds.
    pub read_wait_ms: u64,
    /// Shortest mean delay before a failed read is repeated, in milliseconds. It rises with the rank, but
    /// the first stand-ins try again often enough to notice the end of an outage in time: the store may go on
    /// to refuse the regular readers.
    pub retry_delay_ms: u64,
}

impl Membership {
    /// Returns the role of this member if it reads the store; `None` if it leaves that to others.
    ///
    /// The wait doubles with the rank of a reader, because every read costs a call: the first
    /// reader notices a dead connection soon, and the others stand in for it. Members whose reads
    /// fail go on trying, but don't count: the store may refuse any number of members while it
    /// serves the others.
    pub fn config_reader(&self, now: Instant) -> Option<ConfigReader> {
        let silence_us = MAX_SILENCE_MS * 1_000;
        let recently_received = self
            .last_received_at
            .is_some_and(|at| now.micros_since(at) < silence_us);
        if !recently_received {
            return Some(ConfigReader {
                read_wait_ms: MIN_READ_WAIT_MS,
                retry_delay_ms: RETRY_DELAYS_MS[0],
            });
        }
        let own_rank = rank(self.local.name.as_str());
        let lower_ranked = || {
            self.members()
                .filter(|member| member.data_centre == self.local.data_centre)
                .filter(|member| member.state == MemberState::Alive)
                .filter(|member| rank(member.name.as_str()) < own_rank)
        };
        let working = lower_ranked().filter(|member| !member.store_reads_fail);
        let working = working.count();
        let group = lower_ranked().count() / READERS_PER_DATA_CENTRE;
        (working < READERS_PER_DATA_CENTRE).then(|| ConfigReader {
            read_wait_ms: MIN_READ_WAIT_MS << working,
            retry_delay_ms: RETRY_DELAYS_MS[group.min(RETRY_DELAYS_MS.len() - 1)],
        })
    }
}

/// Returns a hash that is the same at all members, so that they agree on the readers.
fn rank(name: &str) -> u64 {
    let mut hasher = foldhash::fast::FixedState::with_seed(0).build_hasher();
    hasher.write(name.as_bytes());
    hasher.finish()
}
