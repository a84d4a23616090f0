//! Limit on the requests that a cold target gets, and the gradual end of that limit.

use std::collections::VecDeque;

use crate::{
    routing::WarmUp,
    time::{Instant, MICROS_PER_MILLI, MICROS_PER_SECOND},
};

/// How far starts may be ahead of the warm-up rate, in microseconds. An unused allowance lets
/// requests that arrive together start together.
const MAX_AHEAD_US: f64 = 500_000.0;

/// How often the rate doubles in the period after the cold one, before the limit ends. The rate at the
/// end is 16 times the warm-up rate, which is above what a warm target gets in practice.
const RAMP_DOUBLINGS: f64 = 4.0;

/// Longest remaining cold time that is accepted, in milliseconds. Bounds the effect of a wrong
/// statement; a target that stays cold longer says so again.
const MAX_COLD_MS: u64 = 300_000;

/// Requests in a second before it was known that a target is cold that need no compensation, beyond
/// half a second of the rate. With the one that starts at once afterwards, a target that has become
/// cold gets at most seven requests more than its rate times 1.5 in any second.
const UNCOMPENSATED_STARTS: f64 = 6.0;

/// Error of the instant at which a target became cold, in microseconds: the latency of the health check and
/// the rounding of its statement.
const COLD_SINCE_ERROR_US: u64 = 20_000;

/// Where a statement about the cold period comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdReport {
    /// A response of the target, which states the present remaining time in milliseconds.
    Response(u64),
    /// A heartbeat with a remaining time in milliseconds. Heartbeats may arrive late, so they never
    /// shorten the cold period, and the next response replaces what they stated.
    Heartbeat(u64),
}

impl ColdReport {
    fn remaining_ms(self) -> u64 {
        match self {
            ColdReport::Response(remaining_ms) | ColdReport::Heartbeat(remaining_ms) => {
                remaining_ms
            }
        }
    }
}

/// Spaces the starts of requests at a target that is or was cold.
///
/// In any period of `t` seconds of the cold time at most `(t + 0.5) * rate + 1` requests start, and
/// at most `t * rate + 1` from the moment at which the target is known to be cold. Over
/// one further cold period, the rate doubles [`RAMP_DOUBLINGS`] times; then the limit ends.
///
/// Amounts of allowance are in microseconds at the warm-up rate: a request takes one interval,
/// whenever it starts, and allowance accrues faster in the ramp.
#[derive(Clone, Debug, Default)]
pub(super) struct WarmUpLimit {
    /// Rule of the target's service; `None` if its targets are never cold.
    rule: Option<WarmUp>,
    /// End of the cold period as responses state it, which may have passed; `None` if none has stated
    /// one.
    stated_until: Option<Instant>,
    /// End of the cold period as heartbeats state it that arrived after the last response; `None` if
    /// none has stated one.
    heartbeat_until: Option<Instant>,
    /// Allowance in use at `as_of`. A request may start when at most [`MAX_AHEAD_US`] is in use.
    used_us: f64,
    as_of: Instant,
    /// Latest starts, oldest first; at most as many as the bound on a second.
    recent_starts: VecDeque<Instant>,
}

impl WarmUpLimit {
    /// Sets the rule of the target's service.
    pub(super) fn set_rule(&mut self, now: Instant, rule: Option<WarmUp>) {
        if self.rule == rule {
            return;
        }
        let was_limited = self.rule.is_some();
        self.settle(now);
        self.rule = rule.filter(|rule| rule.per_1000_s > 0);
        if !was_limited && self.is_cold(now) {
            self.use_allowance(now);
        }
    }

    /// Returns whether the service has a rule.
    pub(super) fn has_rule(&self) -> bool {
        self.rule.is_some()
    }

    /// Forgets the cold period, because another target was announced. Starts at the previous one
    /// still count, which is on the safe side.
    pub(super) fn on_new_target(&mut self) {
        self.stated_until = None;
        self.heartbeat_until = None;
        self.used_us = 0.0;
    }

    /// Records what the target says about its cold period.
    pub(super) fn record(&mut self, now: Instant, report: ColdReport) {
        let until = now.saturating_add_millis(report.remaining_ms().min(MAX_COLD_MS));
        let was_cold = self.is_cold(now);
        self.settle(now);
        match report {
            ColdReport::Heartbeat(0) => (),
            ColdReport::Heartbeat(_) => {
                self.heartbeat_until = self.heartbeat_until.max(Some(until));
            }
            ColdReport::Response(remaining_ms) => {
                self.heartbeat_until = None;
                // Zero ends a cold period now, or confirms that it has ended.
                self.stated_until = match remaining_ms {
                    0 => self.stated_until.map(|stated_until| stated_until.min(now)),
                    _ => Some(until),
                };
            }
        }
        if !was_cold && self.is_cold(now) {
            self.use_allowance(now);
        }
    }

    /// Returns whether the target is cold.
    pub(super) fn is_cold(&self, now: Instant) -> bool {
        self.limit().is_some_and(|(_, cold_until)| now < cold_until)
    }

    /// Returns whether the limit is in effect: the target is cold, or was until recently.
    pub(super) fn is_in_effect(&self, now: Instant) -> bool {
        self.limit()
            .is_some_and(|(rule, cold_until)| now < ramp_end(rule, cold_until))
    }

    /// Returns the present time between two starts, in microseconds; `None` without a limit.
    pub(super) fn interval_us(&self, now: Instant) -> Option<u64> {
        let (rule, cold_until) = self.limit().filter(|_| self.is_in_effect(now))?;
        let since_us = now.micros_since(cold_until) as f64;
        let speed_up = (RAMP_DOUBLINGS * since_us / ramp_us(rule)).exp2();
        Some((interval_us(rule) / speed_up) as u64)
    }

    /// Returns when a request may start if `ahead` others start before it.
    pub(super) fn next_start(&self, ahead: usize) -> Instant {
        let Some((rule, cold_until)) = self.limit() else {
            return Instant::default();
        };
        let excess_us = self.used_us + interval_us(rule) * ahead as f64 - MAX_AHEAD_US;
        if excess_us <= 0.0 {
            return Instant::default();
        }
        let accrued_us = accrued_at(rule, cold_until, self.as_of) + excess_us;
        instant_of(rule, cold_until, accrued_us)
    }

    /// Returns the time until a request may start if `ahead` others start before it, in microseconds.
    pub(super) fn wait_us(&self, now: Instant, ahead: usize) -> u64 {
        match self.is_in_effect(now) {
            true => self.next_start(ahead).micros_since(now),
            false => 0,
        }
    }

    /// Records that a request starts.
    pub(super) fn record_start(&mut self, now: Instant) {
        let Some(rule) = self.rule else {
            return;
        };
        let max_starts = (per_second(rule) * 1.5) as usize + 8;
        while self.recent_starts.len() >= max_starts {
            self.recent_starts.pop_front();
        }
        self.recent_starts.push_back(now);
        if self.is_in_effect(now) {
            self.settle(now);
            self.used_us += interval_us(rule);
        }
    }

    /// Returns the rule and the end of the cold period, which may have passed; `None` without either.
    fn limit(&self) -> Option<(WarmUp, Instant)> {
        self.rule.zip(self.stated_until.max(self.heartbeat_until))
    }

    /// Deducts the allowance that has accrued since `as_of`.
    fn settle(&mut self, now: Instant) {
        if let Some((rule, cold_until)) = self.limit() {
            let accrued_us =
                accrued_at(rule, cold_until, now) - accrued_at(rule, cold_until, self.as_of);
            // Not a number if the limit had already ended at `as_of`.
            self.used_us = match accrued_us.is_finite() {
                true => (self.used_us - accrued_us).max(0.0),
                false => 0.0,
            };
        }
        self.as_of = now;
    }

    /// Leaves no allowance to a target that has become cold, and makes up for starts since then.
    fn use_allowance(&mut self, now: Instant) {
        let Some((rule, cold_until)) = self.limit() else {
            return;
        };
        let remaining_us = cold_until.micros_since(now);
        let cold_us = (rule.duration_ms * MICROS_PER_MILLI).saturating_sub(remaining_us);
        let counted_us = (cold_us + COLD_SINCE_ERROR_US).min(MICROS_PER_SECOND);
        let counted_from = now.saturating_sub_micros(counted_us);
        let starts = self.recent_starts.iter().rev();
        let starts = starts.take_while(|at| **at >= counted_from).count() as f64;
        let excess = starts - (per_second(rule) * 0.5).floor() - UNCOMPENSATED_STARTS;
        let used_us = MAX_AHEAD_US + excess.max(0.0) * interval_us(rule);
        self.used_us = self.used_us.max(used_us);
    }
}

fn per_second(rule: WarmUp) -> f64 {
    rule.per_1000_s as f64 / 1_000.0
}

fn interval_us(rule: WarmUp) -> f64 {
    MICROS_PER_SECOND as f64 / per_second(rule)
}

fn ramp_us(rule: WarmUp) -> f64 {
    (rule.duration_ms * MICROS_PER_MILLI).max(1) as f64
}

fn ramp_end(rule: WarmUp, cold_until: Instant) -> Instant {
    cold_until.saturating_add_micros(ramp_us(rule) as u64)
}

/// Returns the allowance that accrues from `cold_until` to `at`, which is negative before and infinite
/// after the ramp.
fn accrued_at(rule: WarmUp, cold_until: Instant, at: Instant) -> f64 {
    if at <= cold_until {
        return -(cold_until.micros_since(at) as f64);
    }
    if at >= ramp_end(rule, cold_until) {
        return f64::INFINITY;
    }
    let exponent = RAMP_DOUBLINGS * at.micros_since(cold_until) as f64 / ramp_us(rule);
    (exponent.exp2() - 1.0) / growth_per_us(rule)
}

/// Returns the instant at which `accrued_us` has accrued, the inverse of [`accrued_at`].
fn instant_of(rule: WarmUp, cold_until: Instant, accrued_us: f64) -> Instant {
    if accrued_us <= 0.0 {
        return cold_until.saturating_sub_micros(-accrued_us as u64);
    }
    let doublings = (1.0 + accrued_us * growth_per_us(rule)).log2();
    let since_us = ramp_us(rule) * (doublings / RAMP_DOUBLINGS).min(1.0);
    cold_until.saturating_add_micros(since_us.ceil() as u64)
}

/// Returns the relative growth of the rate in the ramp per microsecond.
fn growth_per_us(rule: WarmUp) -> f64 {
    RAMP_DOUBLINGS * std::f64::consts::LN_2 / ramp_us(rule)
}
