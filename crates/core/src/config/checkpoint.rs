//! Decides when a reader writes a checkpoint.

use rand::{Rng, RngExt};

use super::record::Batch;
use crate::time::Instant;

/// Range of the log, as returned by the last successful read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogPosition {
    /// Oldest offset that the log keeps.
    pub oldest: u64,
    /// Offset of the next append.
    pub next: u64,
}

impl From<&Batch> for LogPosition {
    fn from(batch: &Batch) -> Self {
        let Batch { oldest, next, .. } = *batch;
        LogPosition { oldest, next }
    }
}

/// When a checkpoint is renewed, and how its writers are spread over time.
#[derive(Clone, Debug)]
pub struct CheckpointSettings {
    /// Age in milliseconds at which a checkpoint is renewed even if nothing changed,
    /// because the log keeps records for a limited time.
    pub max_age_ms: u64,
    /// Number of records after which a checkpoint is renewed, which bounds the length of a
    /// replay.
    pub max_records: u64,
    /// Longest random delay of a writer, in milliseconds.
    pub max_delay_ms: u64,
}

impl Default for CheckpointSettings {
    fn default() -> Self {
        CheckpointSettings {
            max_age_ms: 600_000,
            max_records: 200,
            max_delay_ms: 30_000,
        }
    }
}

/// Decides when one reader writes a checkpoint.
#[derive(Debug, Default)]
pub(super) struct CheckpointTimer {
    settings: CheckpointSettings,
    /// Newest checkpoint at the last call, and when it was first seen.
    last_seen: Option<(Option<u64>, Instant)>,
    /// When this node writes a checkpoint, unless it sees a newer one before.
    due_at: Option<Instant>,
}

impl CheckpointTimer {
    pub(super) fn new(settings: CheckpointSettings) -> Self {
        CheckpointTimer {
            settings,
            ..Default::default()
        }
    }

    /// Returns whether to write a checkpoint now. `last` is the `complete_to` of the
    /// newest checkpoint read, and `read_to` that of a new one.
    pub(super) fn is_due(
        &mut self,
        now: Instant,
        position: &LogPosition,
        last: Option<u64>,
        read_to: u64,
        members: usize,
        rng: &mut dyn Rng,
    ) -> bool {
        let first_seen_at = self.record_first_seen(now, last);
        if !self.needs_renewal(now, first_seen_at, position, last, read_to) {
            // A newer checkpoint was seen, which cancels the write.
            self.due_at = None;
            return false;
        }
        let max_delay_ms = self.settings.max_delay_ms;
        let due_at = *self.due_at.get_or_insert_with(|| {
            now.saturating_add_millis(random_delay_ms(max_delay_ms, members, rng))
        });
        let is_due = now >= due_at;
        if is_due {
            // A failed append is retried after another random delay.
            self.due_at = None;
        }
        is_due
    }

    /// Returns when the checkpoint `last` was first seen, which is now if it is new. Its age is
    /// counted from then.
    fn record_first_seen(&mut self, now: Instant, last: Option<u64>) -> Instant {
        match self.last_seen {
            Some((seen, at)) if seen == last => at,
            _ => {
                self.last_seen = Some((last, now));
                now
            }
        }
    }

    fn needs_renewal(
        &self,
        now: Instant,
        first_seen_at: Instant,
        position: &LogPosition,
        last: Option<u64>,
        read_to: u64,
    ) -> bool {
        let Some(last) = last else { return true };
        last < position.oldest
            || read_to.saturating_sub(last) >= self.settings.max_records
            || now >= first_seen_at.saturating_add_millis(self.settings.max_age_ms)
    }
}

/// Returns a random delay, distributed so that few members draw a short one.
///
/// The density rises exponentially towards the longest delay. Members whose delay ends
/// before they are notified of the first checkpoint write one, too. With a notification
/// time of `d`, their number is about `exp(d / max_delay * (1 + ln members))`: 3 for 860
/// members and 4 s. With a uniform delay it would be 115.
fn random_delay_ms(max_delay_ms: u64, members: usize, rng: &mut dyn Rng) -> u64 {
    let rate = 1.0 + (members.max(1) as f64).ln();
    let uniform: f64 = rng.random();
    let fraction = (uniform * rate.exp_m1()).ln_1p() / rate;
    (fraction * max_delay_ms as f64) as u64
}
