//! Whether a node may rely on its configuration after its start or a suspension.

use crate::time::{Instant, MICROS_PER_MILLI};

/// Longest time between two signs that the process runs, in milliseconds, after which the configuration
/// is still relied on. A withdrawal may take 2.5 s, and its news reach a running node in under 1 s.
const MAX_PAUSE_MS: u64 = 1_000;

/// Time for which a node that has started or was suspended waits for the replies of peers, in
/// milliseconds. A node that no peer answers goes on with the configuration that it has, like one that was cut off.
const MAX_DOUBT_MS: u64 = 1_000;

/// Tells whether the fleet may have another configuration than a node that has started or was suspended.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    /// When the process was last known to run.
    last_seen: Instant,
    /// Start of the process or end of the last pause; `None` once a peer has replied after it.
    doubted_since: Option<Instant>,
    /// Whether `doubted_since` is the end of a pause.
    has_paused: bool,
}

impl Freshness {
    /// Creates the state of a process that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Freshness {
            last_seen: now,
            doubted_since: Some(now),
            has_paused: false,
        }
    }

    /// Records that the process runs. Returns the length of a pause that has just ended, in microseconds.
    ///
    /// Call this about every 100 ms, and before each decision that needs a current configuration.
    pub fn observe(&mut self, now: Instant) -> Option<u64> {
        let gap_us = now.micros_since(self.last_seen);
        self.last_seen = now;
        if gap_us <= MAX_PAUSE_MS * MICROS_PER_MILLI {
            return None;
        }
        self.doubted_since = Some(now);
        self.has_paused = true;
        Some(gap_us)
    }

    /// Returns until when decisions should wait for a reply of a peer; `None` if the configuration may be
    /// relied on.
    pub fn doubted_until(&self, now: Instant) -> Option<Instant> {
        let until = self.doubted_since?.saturating_add_millis(MAX_DOUBT_MS);
        (now < until).then_some(until)
    }

    /// Like [`Freshness::doubted_until`], but only after a suspension. After its start, a node has no
    /// configuration that may be older than the requests that it has received.
    pub fn doubted_after_pause_until(&self, now: Instant) -> Option<Instant> {
        self.doubted_until(now).filter(|_| self.has_paused)
    }

    /// Records that a peer, asked at `asked_at`, has no newer configuration or has sent it.
    pub fn confirm(&mut self, asked_at: Instant) {
        if self.doubted_since.is_some_and(|since| since <= asked_at) {
            self.doubted_since = None;
        }
    }
}
