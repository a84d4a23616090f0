//! Monotonic time as passed to the decision logic.

use serde::{Deserialize, Serialize};

/// Microseconds in a millisecond.
pub const MICROS_PER_MILLI: u64 = 1_000;

/// Microseconds in a second.
pub const MICROS_PER_SECOND: u64 = 1_000_000;

/// A point on a monotonic clock, in microseconds since an arbitrary origin.
///
/// Instants of different processes are not comparable. Arithmetic saturates, so
/// that a value received from a peer can't cause an overflow.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Instant(u64);

impl Instant {
    /// The latest representable instant. Stands for "no deadline".
    pub const MAX: Instant = Instant(u64::MAX);

    /// Returns the instant that lies `micros` after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Instant(micros)
    }

    /// Returns the instant that lies `millis` after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Instant(millis.saturating_mul(MICROS_PER_MILLI))
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the instant `micros` later.
    #[must_use]
    pub const fn saturating_add_micros(self, micros: u64) -> Self {
        Instant(self.0.saturating_add(micros))
    }

    /// Returns the instant `millis` later.
    #[must_use]
    pub const fn saturating_add_millis(self, millis: u64) -> Self {
        self.saturating_add_micros(millis.saturating_mul(MICROS_PER_MILLI))
    }

    /// Returns the instant `micros` earlier, or the origin.
    #[must_use]
    pub const fn saturating_sub_micros(self, micros: u64) -> Self {
        Instant(self.0.saturating_sub(micros))
    }

    /// Returns the microseconds from `earlier` to `self`, or zero if `earlier`
    /// is later.
    pub const fn micros_since(self, earlier: Instant) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
