//! Estimate that an entry keeps of the load, failures and latency of one target.

use std::collections::VecDeque;

use super::{RequestOutcome, coldness::Coldness};
use crate::{load::LoadSample, time::Instant};

/// Maximum number of outstanding requests per target whose send times are kept; the oldest are
/// dropped first.
const MAX_TRACKED_REQUESTS: usize = 4_096;

/// Divisor that gives the weight of a new round-trip time in the moving average.
const RTT_EWMA_DIVISOR: u32 = 4;

/// Weight of a new service time in the long-term moving average.
const LONG_TERM_SERVICE_EWMA_WEIGHT: f64 = 1.0 / 64.0;

/// Load that the target itself reports, the least reliable observation: it lags and can be wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// When the report arrived.
    pub at: Instant,
    /// Requests in flight according to the target.
    pub in_flight: u32,
    /// Maximum concurrency according to the target.
    pub slots: u32,
}

/// Observations of one target by one entry.
#[derive(Clone, Debug)]
pub struct TargetEstimate {
    /// When the slow start began: at the first announcement or after an ejection.
    pub slow_start_since: Instant,
    /// Maximum concurrency that the target announced.
    pub announced_slots: u32,
    /// Last load sample of the guard and its time of arrival.
    pub sample: Option<(Instant, LoadSample)>,
    /// Requests of this entry in flight when `sample` arrived.
    pub own_in_flight_at_sample: u32,
    /// Requests that this entry has sent since `sample` arrived.
    pub sent_since_sample: u32,
    /// When a load sample last showed requests in flight. The service time in a sample only
    /// changes when the target answers, so that of an idle target can be older than the sample.
    pub last_busy_at: Instant,
    /// Long-term moving average of the service time; `None` before the first observation.
    pub long_term_service_us: Option<f64>,
    /// Last load report of the target itself.
    pub report: Option<LoadReport>,
    /// Moving average of the network round-trip time; `None` before the first probe reply.
    pub rtt_us: Option<u32>,
    /// Moving average of failed requests, from 0 to 1, at `failure_rate_at`.
    pub failure_rate: f64,
    /// Time of the last outcome that changed `failure_rate`.
    pub failure_rate_at: Instant,
    /// Time of the last refusal by the guard.
    pub last_refusal_at: Option<Instant>,
    /// What is known about coldness besides `sample`.
    pub(super) coldness: Coldness,
    /// Send times of the outstanding requests of this entry, oldest first.
    outstanding: VecDeque<Instant>,
}

impl TargetEstimate {
    /// Creates an estimate without observations.
    pub fn new(now: Instant, announced_slots: u32) -> Self {
        TargetEstimate {
            slow_start_since: now,
            announced_slots,
            sample: None,
            own_in_flight_at_sample: 0,
            sent_since_sample: 0,
            last_busy_at: now,
            long_term_service_us: None,
            report: None,
            rtt_us: None,
            failure_rate: 0.0,
            failure_rate_at: now,
            last_refusal_at: None,
            coldness: Coldness::default(),
            outstanding: VecDeque::new(),
        }
    }

    /// Returns whether neither load nor failures of the target were observed.
    pub fn has_no_observations(&self) -> bool {
        self.sample.is_none() && self.report.is_none() && self.failure_rate == 0.0
    }

    /// Returns the number of requests of this entry in flight.
    pub fn own_in_flight(&self) -> u32 {
        self.outstanding.len() as u32
    }

    /// Returns when the oldest outstanding request of this entry was sent.
    pub fn oldest_sent(&self) -> Option<Instant> {
        self.outstanding.front().copied()
    }

    /// Returns the arrival time of the last load sample.
    pub fn sampled_at(&self) -> Option<Instant> {
        self.sample.map(|(at, _)| at)
    }

    pub(super) fn on_request_sent(&mut self, now: Instant) {
        if self.outstanding.len() == MAX_TRACKED_REQUESTS {
            self.outstanding.pop_front();
        }
        self.outstanding.push_back(now);
        self.sent_since_sample += 1;
    }

    /// Returns how long the rate limits of the target would delay a request, or a refusal by a cold
    /// one keeps requests from it, in microseconds; zero if a request can start at once.
    pub fn start_wait_us(&self, now: Instant) -> u64 {
        self.limit_wait_us(now).max(self.cold_wait_us(now))
    }

    /// Returns how long the rate limits in the last sample would delay a request, in microseconds.
    pub(super) fn limit_wait_us(&self, now: Instant) -> u64 {
        let Some((at, sample)) = self.sample else {
            return 0;
        };
        let sent_since = u64::from(self.sent_since_sample);
        let added_us = sent_since * u64::from(sample.start_interval_us);
        (u64::from(sample.start_wait_us) + added_us).saturating_sub(now.micros_since(at))
    }

    /// Returns the slots of the target and the slot time that the requests before a new one still need
    /// beyond them, in microseconds; `None` unless a sample since `since` says so.
    pub(super) fn backlog_since(&self, since: Instant) -> Option<(u64, u64)> {
        let (_, sample) = self.sample.filter(|(at, _)| *at >= since)?;
        if sample.slots == 0 || sample.draining {
            return None;
        }
        let (slots, service_us) = (u64::from(sample.slots), u64::from(sample.service_time_us));
        let requests = u64::from(sample.in_flight) + u64::from(sample.queued);
        let waiting = (requests + u64::from(self.sent_since_sample) + 1).saturating_sub(slots);
        Some((slots, waiting * service_us))
    }

    /// Removes the outstanding request whose send time is closest to `sent`.
    pub(super) fn on_request_ended(&mut self, sent: Instant) {
        let first_later = self.outstanding.partition_point(|at| *at < sent);
        let nearest = [first_later.checked_sub(1), Some(first_later)]
            .into_iter()
            .flatten()
            .filter(|index| *index < self.outstanding.len())
            .min_by_key(|index| {
                let at = self.outstanding[*index];
                at.micros_since(sent).max(sent.micros_since(at))
            });
        if let Some(index) = nearest {
            self.outstanding.remove(index);
        }
    }

    /// Updates the moving average of failures. Refused and cancelled requests do not count: they
    /// say nothing about the health of the target.
    pub(super) fn update_failure_rate(
        &mut self,
        now: Instant,
        outcome: RequestOutcome,
        ewma_weight: f64,
        decay_us: u64,
    ) {
        let failed = match outcome {
            RequestOutcome::Answered => 0.0,
            RequestOutcome::ServerError | RequestOutcome::Failed => 1.0,
            RequestOutcome::Refused => {
                self.last_refusal_at = Some(now);
                return;
            }
            RequestOutcome::Cancelled => return,
        };
        let age_us = now.micros_since(self.failure_rate_at);
        let decayed = self.failure_rate * (-(age_us as f64) / decay_us.max(1) as f64).exp();
        self.failure_rate = decayed + ewma_weight * (failed - decayed);
        self.failure_rate_at = now;
    }

    pub(super) fn begin_slow_start(&mut self, now: Instant) {
        self.slow_start_since = now;
    }

    pub(super) fn update_load(&mut self, now: Instant, sample: LoadSample) {
        let previous_us = self.sample.map(|(_, last)| last.service_time_us);
        if sample.in_flight > 0 {
            self.last_busy_at = now;
        }
        if sample.service_time_us > 0 && previous_us != Some(sample.service_time_us) {
            let observed_us = f64::from(sample.service_time_us);
            let average_us = self.long_term_service_us.unwrap_or(observed_us);
            self.long_term_service_us =
                Some(average_us + (observed_us - average_us) * LONG_TERM_SERVICE_EWMA_WEIGHT);
        }
        if !sample.cold {
            self.forget_cold_refusal();
        }
        self.sample = Some((now, sample));
        self.own_in_flight_at_sample = self.own_in_flight();
        self.sent_since_sample = 0;
    }

    pub(super) fn update_rtt(&mut self, rtt_us: u32) {
        let smoothed = match self.rtt_us {
            None => rtt_us,
            Some(old) => old - old / RTT_EWMA_DIVISOR + rtt_us / RTT_EWMA_DIVISOR,
        };
        self.rtt_us = Some(smoothed);
    }
}
