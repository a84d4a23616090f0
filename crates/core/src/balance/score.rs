//! Predicted completion time of a request at a target.

use super::Candidate;
use crate::time::Instant;

/// Ratio of the recent to the long-term service time up to which the recent one is ignored. The
/// recent service time averages few answers and all entries see the same value, so its noise would
/// make all of them choose the same target.
const NORMAL_SERVICE_RATIO: f64 = 2.0;

/// Weight of the requests ahead in the queue. The tail of the waiting time grows faster than its
/// mean: a weight of 1 makes p99 in slow phases up to 5 % longer; 4 is no better than 2.
const QUEUE_WEIGHT: f64 = 2.0;

/// Requests per slot at which a guard refuses requests: one in service and two in the queue.
pub(super) const FULL_REQUESTS_PER_SLOT: f64 = 3.0;

/// Minimum requests per slot at which a refusal is likely.
const NEARLY_FULL_REQUESTS_PER_SLOT: f64 = 2.4;

/// Constants of the predicted completion time.
#[derive(Clone, Copy, Debug)]
pub struct ScoreSettings {
    /// Time in which the weight of the observed load of other entries decays to 1/e.
    pub load_decay_us: u64,
    /// Time in which the excess of the recent service time over the long-term one decays to 1/e
    /// without newer answers.
    pub service_time_decay_us: u64,
    /// Time in which the observed slowdown of a host decays to 1/e.
    pub pace_decay_us: u64,
    /// Service time assumed until one is observed.
    pub assumed_service_us: u32,
    /// Penalty of a target at a failure rate of 1.
    pub failure_penalty_us: u32,
    /// Time in which the failure rate decays to 1/e without new requests.
    pub failure_decay_us: u64,
    /// Penalty of a target whose queue is full.
    pub refusal_penalty_us: u32,
    /// Duration of the slow start of a target that is new or was restored after an ejection.
    pub slow_start_us: u64,
    /// Penalty at the beginning of the slow start; falls linearly to zero.
    pub slow_start_penalty_us: u32,
}

impl Default for ScoreSettings {
    fn default() -> Self {
        ScoreSettings {
            load_decay_us: 100_000,
            service_time_decay_us: 100_000,
            pace_decay_us: 100_000,
            assumed_service_us: 10_000,
            failure_penalty_us: 1_000_000,
            failure_decay_us: 5_000_000,
            refusal_penalty_us: 300_000,
            slow_start_us: 2_000_000,
            slow_start_penalty_us: 50_000,
        }
    }
}

/// Predicted completion time of a request, split into its parts, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Score {
    /// Weighted waiting time for the requests ahead.
    pub queue_us: f64,
    /// Service time.
    pub service_us: f64,
    /// Wait for the rate limit that the target states.
    pub start_wait_us: f64,
    /// Network round-trip time.
    pub distance_us: f64,
    /// Cost of the transfer to another data centre.
    pub transfer_us: f64,
    /// Penalty for recent failures.
    pub failure_us: f64,
    /// Penalty for a queue that is full or nearly full.
    pub refusal_us: f64,
    /// Penalty of the slow start.
    pub cold_us: f64,
}

impl Score {
    /// Predicts the completion time of a request at a candidate.
    pub fn new(now: Instant, candidate: &Candidate<'_>, cfg: &ScoreSettings) -> Self {
        let service_us = service_us(now, candidate, cfg);
        let load = load_per_slot(now, candidate, cfg);
        Score {
            queue_us: load * QUEUE_WEIGHT * service_us,
            service_us,
            start_wait_us: candidate.estimate.start_wait_us(now) as f64,
            distance_us: f64::from(candidate.rtt_us),
            transfer_us: f64::from(candidate.transfer_cost_us),
            failure_us: failure_penalty_us(now, candidate, cfg),
            refusal_us: refusal_penalty_us(load, cfg),
            cold_us: slow_start_penalty_us(now, candidate, cfg),
        }
    }

    /// Returns the predicted completion time, the sum of all parts.
    pub fn total_us(&self) -> f64 {
        let waits_us = self.queue_us + self.start_wait_us;
        let without_penalties_us = waits_us + self.service_us + self.distance_us + self.transfer_us;
        without_penalties_us + self.failure_us + self.refusal_us + self.cold_us
    }
}

/// Returns the weight of an observation at the given age, which decays exponentially from 1.
fn decay_factor(age_us: u64, decay_us: u64) -> f64 {
    (-(age_us as f64) / decay_us.max(1) as f64).exp()
}

/// Returns the expected service time.
fn service_us(now: Instant, candidate: &Candidate<'_>, cfg: &ScoreSettings) -> f64 {
    service_us_at_usual_pace(now, candidate, cfg) * pace_factor(now, candidate, cfg)
}

/// Returns the slowdown of the target's host according to the last sample, from 1; it decays with
/// the age of the sample.
fn pace_factor(now: Instant, candidate: &Candidate<'_>, cfg: &ScoreSettings) -> f64 {
    let Some((at, sample)) = candidate.estimate.sample else {
        return 1.0;
    };
    let excess = f64::from(sample.pace_percent.max(100) - 100) / 100.0;
    1.0 + excess * decay_factor(now.micros_since(at), cfg.pace_decay_us)
}

/// Returns the expected service time if the host has its usual pace.
///
/// The excess over the long-term service time decays: a recent service time that has not changed
/// for long dates from before entries began to avoid the target.
fn service_us_at_usual_pace(now: Instant, candidate: &Candidate<'_>, cfg: &ScoreSettings) -> f64 {
    let estimate = candidate.estimate;
    let observed = estimate.sample.zip(estimate.long_term_service_us);
    let Some(((_, sample), long_term_us)) = observed else {
        return f64::from(cfg.assumed_service_us);
    };
    let age_us = now.micros_since(estimate.last_busy_at);
    let oldest_request_age_us = oldest_request_age_us(now, candidate);
    let recent_us = f64::from(sample.service_time_us);
    let excess_us = (recent_us - long_term_us * NORMAL_SERVICE_RATIO).max(0.0);
    let decayed_us = long_term_us + excess_us * decay_factor(age_us, cfg.service_time_decay_us);
    decayed_us + (oldest_request_age_us - long_term_us).max(0.0)
}

/// Returns how long this entry's oldest outstanding request has been at the target, without the
/// round trip. An old request shows that a target is slow before any answer does.
fn oldest_request_age_us(now: Instant, candidate: &Candidate<'_>) -> f64 {
    let oldest = candidate.estimate.oldest_sent();
    let since_sent_us = oldest.map_or(0, |sent| now.micros_since(sent));
    since_sent_us.saturating_sub(candidate.rtt_us.into()) as f64
}

/// Returns the estimated requests per slot. Outstanding requests of this entry count in full, those
/// of others according to the last sample, decayed by its age. The target's own report counts only
/// without a sample, because it can lag or be wrong.
fn load_per_slot(now: Instant, candidate: &Candidate<'_>, cfg: &ScoreSettings) -> f64 {
    let estimate = candidate.estimate;
    let own = f64::from(estimate.own_in_flight());
    let (others, slots) = match estimate.sample {
        None => {
            let weight = |at| decay_factor(now.micros_since(at), cfg.load_decay_us);
            let others = estimate.report.map_or(0.0, |report| {
                let others = report.in_flight.saturating_sub(estimate.own_in_flight());
                f64::from(others) * weight(report.at)
            });
            (others, estimate.announced_slots)
        }
        Some((at, sample)) => {
            let total = sample.in_flight.saturating_add(sample.queued);
            let others = total.saturating_sub(estimate.own_in_flight_at_sample);
            let weight = decay_factor(now.micros_since(at), cfg.load_decay_us);
            (f64::from(others) * weight, sample.slots)
        }
    };
    (own + others) / f64::from(slots.max(1))
}

fn failure_penalty_us(now: Instant, candidate: &Candidate<'_>, cfg: &ScoreSettings) -> f64 {
    let estimate = candidate.estimate;
    let age_us = now.micros_since(estimate.failure_rate_at);
    let failure_rate = estimate.failure_rate * decay_factor(age_us, cfg.failure_decay_us);
    failure_rate * f64::from(cfg.failure_penalty_us)
}

/// Returns the penalty for a likely refusal, which costs a retry, or fails the request if the retry
/// budget is exhausted.
fn refusal_penalty_us(load_per_slot: f64, cfg: &ScoreSettings) -> f64 {
    let fraction = (load_per_slot - NEARLY_FULL_REQUESTS_PER_SLOT)
        / (FULL_REQUESTS_PER_SLOT - NEARLY_FULL_REQUESTS_PER_SLOT);
    f64::from(cfg.refusal_penalty_us) * fraction.clamp(0.0, 1.0)
}

fn slow_start_penalty_us(now: Instant, candidate: &Candidate<'_>, cfg: &ScoreSettings) -> f64 {
    let age_us = now.micros_since(candidate.estimate.slow_start_since);
    let left_us = cfg.slow_start_us.saturating_sub(age_us);
    f64::from(cfg.slow_start_penalty_us) * left_us as f64 / cfg.slow_start_us.max(1) as f64
}
