//! Whether a node may rely on its configuration after its start or a suspension.

use crate::time::{Instant, MICROS_PER_MILLI};

/// Longest time between two signs that the process runs, in milliseconds, after which the configuration
/// is still relied on. A withdrawal may take 2.5 s, and its news reach a running node in under 1 s.
const MAX_PAUSE_MS: u64 = 1_000;

/// Running time for which a node that has started or was suspended waits for the replies of peers, in
/// milliseconds. A node that no peer answers goes on with the configuration that it has, like one that was cut off.
const MAX_DOUBT_MS: u64 = 1_000;

/// Time after a wait without a reply in which further suspensions cause no wait, in milliseconds. Without
/// it, a node that is cut off and suspended every second would start nothing at all.
const MIN_WAIT_INTERVAL_MS: u64 = 10_000;

/// Tells whether the fleet may have another configuration than a node that has started or was suspended.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    /// When the process was last known to run.
    last_seen: Instant,
    /// Start of the process or end of the last pause; `None` once a peer has replied after it.
    doubted_since: Option<Instant>,
    /// End of the wait for replies. Decisions wait only while `doubted_since` is set.
    wait_until: Instant,
    /// Whether `doubted_since` is the end of a pause.
    has_paused: bool,
}

impl Freshness {
    /// Creates the state of a process that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Freshness {
            last_seen: now,
            doubted_since: Some(now),
            wait_until: now.saturating_add_millis(MAX_DOUBT_MS),
            has_paused: false,
        }
    }

    /// Records that the process runs. Returns the length of a pause that has just ended, in microseconds.
    ///
    /// Call this about every 100 ms, and before each decision that needs a current configuration.
    pub fn observe(&mut self, now: Instant) -> Option<u64> {
        let last_seen = std::mem::replace(&mut self.last_seen, now);
        let gap_us = now.micros_since(last_seen);
        if gap_us <= MAX_PAUSE_MS * MICROS_PER_MILLI {
            return None;
        }
        self.extend_wait(now, last_seen);
        self.doubted_since = Some(now);
        self.has_paused = true;
        Some(gap_us)
    }

    /// Sets the end of the wait after a pause from `last_seen` to `now`. If no peer has replied since the
    /// pause before, only the rest of that wait remains.
    fn extend_wait(&mut self, now: Instant, last_seen: Instant) {
        let next_wait_at = self.wait_until.saturating_add_millis(MIN_WAIT_INTERVAL_MS);
        let is_unanswered = self.has_paused && self.doubted_since.is_some();
        if !is_unanswered || now >= next_wait_at {
            self.wait_until = now.saturating_add_millis(MAX_DOUBT_MS);
        } else if last_seen < self.wait_until {
            let left_us = self.wait_until.micros_since(last_seen);
            self.wait_until = now.saturating_add_micros(left_us);
        }
    }

    /// Returns until when decisions should wait for a reply of a peer; `None` if the configuration may be
    /// relied on.
    pub fn doubted_until(&self, now: Instant) -> Option<Instant> {
        self.doubted_since?;
        (now < self.wait_until).then_some(self.wait_until)
    }

    /// Returns whether the last pause ended at `resumed_at` and no peer has replied since.
    pub fn is_doubted_since(&self, resumed_at: Instant) -> bool {
        self.doubted_since == Some(resumed_at)
    }

    /// Like [`Freshness::doubted_until`], but only after a suspension. After its start, a node has no
    /// configuration that may be older than the requests that it has received.
    pub fn doubted_after_pause_until(&self, now: Instant) -> Option<Instant> {
        self.doubted_until(now).filter(|_| self.has_paused)
    }

    /// Records that a peer, asked at `asked_at`, has no newer configuration or has sent it. Returns `false`
    /// if the reply says nothing about the time after the last pause.
    pub fn confirm(&mut self, asked_at: Instant) -> bool {
        if self.doubted_since.is_some_and(|since| since > asked_at) {
            return false;
        }
        self.doubted_since = None;
        true
    }
}
