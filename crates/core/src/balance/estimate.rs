//! What an entry knows about the load of one target.

use std::collections::VecDeque;

use super::RequestOutcome;
use crate::{load::LoadSample, time::Instant};

/// Largest number of outstanding requests whose send instants are kept per target.
const MAX_TRACKED_REQUESTS: usize = 4_096;

/// Weight of a new round trip in the moving average, as a divisor.
const RTT_EWMA_DIVISOR: u32 = 4;

/// Weight of a new service time in the long-term average.
const LONG_TERM_SERVICE_EWMA_WEIGHT: f64 = 1.0 / 64.0;

/// Load as the target itself reports it; the weakest evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// When the report arrived.
    pub at: Instant,
    /// Requests that the target says it works on.
    pub in_flight: u32,
    /// Slots that the target says it has.
    pub slots: u32,
}

/// Estimate of one target by one entry.
#[derive(Debug)]
pub struct TargetEstimate {
    /// When the slow start began: first seen, or returned after being set aside.
    pub slow_start_since: Instant,
    /// Slots that the target announced.
    pub announced_slots: u32,
    /// Last load sample of the guard and when it arrived.
    pub sample: Option<(Instant, LoadSample)>,
    /// Own requests outstanding when `sample` arrived.
    pub own_in_flight_at_sample: u32,
    /// When the service time in `sample` last changed. It only changes when the
    /// target answers, so it can be older than the sample.
    pub last_busy_at: Instant,
    /// Long-term service time, if one was observed.
    pub long_term_service_us: Option<f64>,
    /// Last report of the target itself.
    pub report: Option<LoadReport>,
    /// Smoothed network round trip, if a probe measured it.
    pub rtt_us: Option<u32>,
    /// Moving average of failed requests, from 0 to 1, as of `failures_at`.
    pub failure_rate: f64,
    /// Instant of the last outcome that counted in `failures`.
    pub failure_rate_at: Instant,
    /// Last refusal by the guard.
    pub last_refusal_at: Option<Instant>,
    /// Send instants of own outstanding requests, oldest first.
    outstanding: VecDeque<Instant>,
}

impl TargetEstimate {
    /// Creates an estimate without evidence.
    pub fn new(now: Instant, announced_slots: u32) -> Self {
        TargetEstimate {
            slow_start_since: now,
            announced_slots,
            sample: None,
            own_in_flight_at_sample: 0,
            last_busy_at: now,
            long_term_service_us: None,
            report: None,
            rtt_us: None,
            failure_rate: 0.0,
            failure_rate_at: now,
            last_refusal_at: None,
            outstanding: VecDeque::new(),
        }
    }

    /// Returns whether nothing is known of the load and the failures of the target.
    pub fn has_no_observations(&self) -> bool {
        self.sample.is_none() && self.report.is_none() && self.failure_rate == 0.0
    }

    /// Returns the number of own requests in flight.
    pub fn own_in_flight(&self) -> u32 {
        self.outstanding.len() as u32
    }

    /// Returns when the oldest own outstanding request was sent.
    pub fn oldest_sent(&self) -> Option<Instant> {
        self.outstanding.front().copied()
    }

    /// Returns the instant of the newest evidence.
    pub fn sampled_at(&self) -> Option<Instant> {
        self.sample.map(|(at, _)| at)
    }

    pub(super) fn on_request_sent(&mut self, now: Instant) {
        if self.outstanding.len() == MAX_TRACKED_REQUESTS {
            self.outstanding.pop_front();
        }
        self.outstanding.push_back(now);
    }

    /// Takes the request sent nearest to `sent` out of the outstanding ones.
    pub(super) fn on_request_ended(&mut self, sent: Instant) {
        let later = self.outstanding.partition_point(|at| *at < sent);
        let nearest = [later.checked_sub(1), Some(later)]
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

    /// Brings the failure average up to date. Refused and cancelled requests say
    /// nothing about it.
    pub(super) fn update_failure_rate(
        &mut self,
        now: Instant,
        outcome: RequestOutcome,
        smoothing: f64,
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
        let left = self.failure_rate * (-(age_us as f64) / decay_us.max(1) as f64).exp();
        self.failure_rate = left + smoothing * (failed - left);
        self.failure_rate_at = now;
    }

    pub(super) fn begin_slow_start(&mut self, now: Instant) {
        self.slow_start_since = now;
    }

    pub(super) fn update_load(&mut self, now: Instant, sample: LoadSample) {
        let last_us = self.sample.map(|(_, last)| last.service_time_us);
        if sample.in_flight > 0 {
            self.last_busy_at = now;
        }
        if sample.service_time_us > 0 && last_us != Some(sample.service_time_us) {
            let observed_us = f64::from(sample.service_time_us);
            let usual_us = self.long_term_service_us.unwrap_or(observed_us);
            self.long_term_service_us =
                Some(usual_us + (observed_us - usual_us) * LONG_TERM_SERVICE_EWMA_WEIGHT);
        }
        self.sample = Some((now, sample));
        self.own_in_flight_at_sample = self.own_in_flight();
    }

    pub(super) fn update_rtt(&mut self, rtt_us: u32) {
        let smoothed = match self.rtt_us {
            None => rtt_us,
            Some(old) => old - old / RTT_EWMA_DIVISOR + rtt_us / RTT_EWMA_DIVISOR,
        };
        self.rtt_us = Some(smoothed);
    }
}
