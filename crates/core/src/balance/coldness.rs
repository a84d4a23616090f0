//! What an entry knows about a cold target, besides the waits in its load samples.

use super::{TargetEstimate, start_limits::COLD_SAMPLE_TTL_US};
use crate::time::{Instant, MICROS_PER_MILLI};

/// Time between two starts that is assumed of a cold target without a load sample, in microseconds.
const ASSUMED_INTERVAL_US: u64 = 100 * MICROS_PER_MILLI;

/// Shortest time for which an entry backs off from a cold target after a refusal, in microseconds: a few round trips.
const MIN_BACKOFF_US: u64 = 50 * MICROS_PER_MILLI;

/// Longest time for which an entry backs off from a cold target after a refusal, in microseconds. It may become warm
/// meanwhile.
const MAX_BACKOFF_US: u64 = 2_000 * MICROS_PER_MILLI;

/// Time left of requests that fare like a refused one, in percent of the time that it had left. A
/// retry has less time than the first attempt of the next request, which would be refused too.
const SIMILAR_TIME_PERCENT: u64 = 125;

/// What decides whether a cold target can start a request in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Instant after which the request is not started.
    pub deadline: Instant,
    /// Priority; 0 is the highest.
    pub priority: u32,
}

/// Refusal of a request by the guard of a cold target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ColdRefusal {
    /// Instant until which similar requests are not sent to the target.
    until: Instant,
    /// Longest time left of requests that are not sent, in microseconds.
    max_left_us: u64,
    priority: u32,
}

/// State of a target that is or may be cold, at one entry.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Coldness {
    /// Arrival of the member record that says that the target is cold; `None` if the present one says
    /// that it is not.
    announced_at: Option<Instant>,
    refusal: Option<ColdRefusal>,
}

impl TargetEstimate {
    /// Records whether the member record says that the target is cold.
    pub(super) fn set_announced_cold(&mut self, now: Instant, is_cold: bool) {
        let announced_at = self.coldness.announced_at;
        self.coldness.announced_at = is_cold.then(|| announced_at.unwrap_or(now));
    }

    /// Records that the guard refused a request because its target is cold. `entries` is the number
    /// of entries that send requests to the target.
    ///
    /// The entry backs off for as long as it takes that many entries, each with one request, to offer
    /// the target about twice the requests that it can start. With less, most messages would be refused;
    /// with more, the target would not be used fully.
    pub(super) fn on_cold_refusal(
        &mut self,
        now: Instant,
        request: &WaitingRequest,
        entries: usize,
    ) {
        let left_us = request.deadline.micros_since(now);
        if left_us == 0 {
            // Any target would refuse the request by now.
            return;
        }
        let interval_us = self
            .sample
            .map_or(0, |(_, sample)| sample.start_interval_us);
        let backoff_us = u64::from(interval_us) * entries as u64 / 2;
        let backoff_us = backoff_us.clamp(MIN_BACKOFF_US, MAX_BACKOFF_US);
        let mut refusal = ColdRefusal {
            until: now.saturating_add_micros(backoff_us),
            max_left_us: left_us * SIMILAR_TIME_PERCENT / 100,
            priority: request.priority,
        };
        let old = self.coldness.refusal.filter(|old| now < old.until);
        if let Some(old) = old.filter(|old| old.priority == refusal.priority) {
            // A refusal with little time left is no evidence that requests with more would start.
            refusal.max_left_us = refusal.max_left_us.max(old.max_left_us);
        }
        // A refusal of a more urgent request also applies to less urgent ones.
        if old.is_none_or(|old| refusal.priority <= old.priority) {
            self.coldness.refusal = Some(refusal);
        }
    }

    /// Returns whether the target is cold, or was until recently, as far as the entry knows.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.is_cold_without_sample()
            || self.sample.is_some_and(|(at, sample)| {
                sample.cold && now.micros_since(at) < COLD_SAMPLE_TTL_US
            })
    }

    /// Returns whether the target may start the request before its deadline, so that it is worth a
    /// message.
    pub(super) fn may_start(&self, now: Instant, request: &WaitingRequest) -> bool {
        let left_us = request.deadline.micros_since(now);
        let refusal = self.coldness.refusal;
        let is_backing_off = refusal.is_some_and(|refusal| {
            now < refusal.until
                && left_us <= refusal.max_left_us
                && request.priority >= refusal.priority
        });
        !is_backing_off && self.limit_wait_us(now) < left_us
    }

    /// Returns how long a refusal, or coldness without a sample, keeps requests from the target, in
    /// microseconds.
    pub(super) fn cold_wait_us(&self, now: Instant) -> u64 {
        let refused_until = self.coldness.refusal.map(|refusal| refusal.until);
        let backoff_us = refused_until.unwrap_or_default().micros_since(now);
        backoff_us.max(self.assumed_wait_us())
    }

    /// Returns the assumed wait at a cold target without a sample, in microseconds; zero at others.
    fn assumed_wait_us(&self) -> u64 {
        match self.is_cold_without_sample() {
            true => ASSUMED_INTERVAL_US * (1 + u64::from(self.own_in_flight())),
            false => 0,
        }
    }

    /// A sample from before the member record may be that of a previous target.
    fn is_cold_without_sample(&self) -> bool {
        let announced_at = self.coldness.announced_at;
        announced_at.is_some_and(|announced_at| {
            self.sampled_at()
                .is_none_or(|sampled_at| sampled_at < announced_at)
        })
    }

    /// Forgets a refusal: the target is no longer cold.
    pub(super) fn forget_cold_refusal(&mut self) {
        self.coldness.refusal = None;
    }
}
