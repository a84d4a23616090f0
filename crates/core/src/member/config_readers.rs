//! Which members read what operators publish; the others hear of it from them.
//!
//! If all members of a large fleet waited for a change at the store, each change would cost a
//! call by each of them. Each data centre has readers of its own, so that one that is cut off
//! from the others still learns of changes.

use std::hash::{BuildHasher, Hasher};

use super::{MemberState, Membership};
use crate::time::Instant;

/// Readers in each data centre. The store may turn some members away; with three readers in
/// each of three data centres, a member is without a reader that the store serves once in
/// 10,000 times if the store turns away a third of the members.
const READERS_PER_DATA_CENTRE: usize = 3;

/// Time without a message after which a member reads for itself, in milliseconds. Members
/// exchange several messages a second, and changes are to be in force within 2 s.
const MAX_SILENCE_MS: u64 = 1_200;

impl Membership {
    /// Reports whether this member reads what operators publish.
    pub fn is_config_reader(&self, now: Instant) -> bool {
        let silence_us = MAX_SILENCE_MS * 1_000;
        let hears = self
            .last_received_at
            .is_some_and(|at| now.micros_since(at) < silence_us);
        if !hears {
            return true;
        }
        let own = rank(self.local.name.as_str());
        let before = self
            .members()
            .filter(|member| member.data_centre == self.local.data_centre)
            .filter(|member| member.state == MemberState::Alive)
            .filter(|member| rank(member.name.as_str()) < own)
            .count();
        before < READERS_PER_DATA_CENTRE
    }
}

/// Returns a number that all members compute alike, so that they agree on the readers.
fn rank(name: &str) -> u64 {
    let mut hasher = foldhash::fast::FixedState::with_seed(0).build_hasher();
    hasher.write(name.as_bytes());
    hasher.finish()
}
