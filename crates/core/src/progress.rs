//! Detection of exchanges between an entry and a guard that have fallen silent.
//!
//! A connection can stop carrying data without an error, and a node can be suspended. While a
//! guard has a request and no answer to it, it therefore sends signs of life by a schedule that
//! the entry knows. The interval doubles after each, so that a request causes few of them, and
//! silence is noticed within a time that is proportional to the age of the request.
//!
//! An entry that hears nothing continues the exchange on a new connection. That loses nothing if
//! the guard was only slow, so a false alarm costs one handshake.

use crate::time::Instant;

/// Time from the receipt of a request to the first sign of life, in microseconds.
pub const FIRST_INTERVAL_US: u64 = 150_000;

/// Maximum time between two signs of life, in microseconds.
pub const MAX_INTERVAL_US: u64 = 600_000;

/// Interval between signs of life, which doubles up to [`MAX_INTERVAL_US`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Interval(u64);

impl Default for Interval {
    fn default() -> Self {
        Interval(FIRST_INTERVAL_US)
    }
}

impl Interval {
    fn double(&mut self) {
        self.0 = (self.0 * 2).min(MAX_INTERVAL_US);
    }
}

/// When a guard sends signs of life of one request.
#[derive(Clone, Copy, Debug)]
pub struct ProgressSchedule {
    interval: Interval,
    next_at: Instant,
}

impl ProgressSchedule {
    /// Starts the schedule of a request that was received at `now`.
    pub fn start(now: Instant) -> Self {
        let interval = Interval::default();
        ProgressSchedule {
            next_at: now.saturating_add_micros(interval.0),
            interval,
        }
    }

    /// Returns the instant at which the next sign of life is due.
    pub fn next_at(&self) -> Instant {
        self.next_at
    }

    /// Records that a sign of life is being sent.
    pub fn on_sent(&mut self, now: Instant) {
        self.interval.double();
        self.next_at = now.saturating_add_micros(self.interval.0);
    }
}

/// When an entry takes an exchange for silent.
#[derive(Clone, Copy, Debug)]
pub struct ProgressWatch {
    interval: Interval,
    /// Added to the interval. Covers the round trip and the time that a busy guard needs.
    margin_us: u64,
    silent_at: Instant,
}

impl ProgressWatch {
    /// Starts the watch of a request that was sent at `now`.
    pub fn start(now: Instant, margin_us: u64) -> Self {
        let interval = Interval::default();
        ProgressWatch {
            silent_at: now.saturating_add_micros(interval.0 + margin_us),
            interval,
            margin_us,
        }
    }

    /// Returns the instant at which the exchange counts as silent.
    pub fn silent_at(&self) -> Instant {
        self.silent_at
    }

    /// Records a message of the guard.
    pub fn on_message(&mut self, now: Instant) {
        self.interval.double();
        self.on_sent(now);
    }

    /// Records that a further part of the request was sent, which may have taken long.
    pub fn on_sent(&mut self, now: Instant) {
        self.silent_at = now.saturating_add_micros(self.interval.0 + self.margin_us);
    }
}

/// Settings of a [`SilenceMargin`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilenceMarginSettings {
    /// Margin without recent false alarms, in microseconds.
    pub base_us: u64,
    /// Maximum margin, in microseconds.
    pub max_us: u64,
    /// Time after a false alarm until the margin is halved, in microseconds.
    pub decay_us: u64,
    /// Multiple of the round trip that is added to the margin.
    pub round_trips: u64,
}

impl Default for SilenceMarginSettings {
    fn default() -> Self {
        SilenceMarginSettings {
            base_us: 150_000,
            max_us: 1_200_000,
            decay_us: 2_000_000,
            round_trips: 2,
        }
    }
}

/// Margin of the watches of an entry.
///
/// False alarms show that guards need longer, for example because their hosts are overloaded.
/// Each doubles the margin, since further handshakes would only add to the load.
#[derive(Clone, Debug, Default)]
pub struct SilenceMargin {
    cfg: SilenceMarginSettings,
    /// Number of times that the base is doubled.
    doublings: u32,
    /// Instant at which `doublings` falls by one; meaningless if it is zero.
    decays_at: Instant,
}

impl SilenceMargin {
    /// Creates a margin without false alarms.
    pub fn new(cfg: SilenceMarginSettings) -> Self {
        SilenceMargin {
            cfg,
            ..Default::default()
        }
    }

    /// Returns the margin for a connection with the given round trip, in microseconds.
    pub fn margin_us(&mut self, now: Instant, round_trip_us: u64) -> u64 {
        while self.doublings > 0 && now >= self.decays_at {
            self.doublings -= 1;
            self.decays_at = self.decays_at.saturating_add_micros(self.cfg.decay_us);
        }
        let raised_us = self.cfg.base_us << self.doublings;
        raised_us.min(self.cfg.max_us) + self.cfg.round_trips * round_trip_us
    }

    /// Records that an exchange that counted as silent was not.
    pub fn on_false_alarm(&mut self, now: Instant) {
        if self.cfg.base_us << self.doublings < self.cfg.max_us {
            self.doublings += 1;
        }
        self.decays_at = now.saturating_add_micros(self.cfg.decay_us);
    }
}
