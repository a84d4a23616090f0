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
/// centres has three readers, it refuses all readers only once in 10,000 times.
const READERS_PER_DATA_CENTRE: usize = 3;

/// Time without a received message after which a member reads the store itself. Members
/// exchange several messages a second, and changes must be in force within 2 s.
const MAX_SILENCE_MS: u64 = 1_200;

impl Membership {
    /// Returns whether this member reads configuration changes from the store.
    pub fn is_config_reader(&self, now: Instant) -> bool {
        let silence_us = MAX_SILENCE_MS * 1_000;
        let recently_received = self
            .last_received_at
            .is_some_and(|at| now.micros_since(at) < silence_us);
        if !recently_received {
            return true;
        }
        let own_rank = rank(self.local.name.as_str());
        let lower_ranked = self
            .members()
            .filter(|member| member.data_centre == self.local.data_centre)
            .filter(|member| member.state == MemberState::Alive)
            .filter(|member| rank(member.name.as_str()) < own_rank)
            .count();
        lower_ranked < READERS_PER_DATA_CENTRE
    }
}

/// Returns a hash that is the same at all members, so that they agree on the readers.
fn rank(name: &str) -> u64 {
    let mut hasher = foldhash::fast::FixedState::with_seed(0).build_hasher();
    hasher.write(name.as_bytes());
    hasher.finish()
}
