//! The budget for measuring load.
//!
//! The budget bounds what a node spends on probes and load polls: in any window of
//! one second, both ends included, the sum spent is at most the share in force at
//! the last spending in that window. The accounting is exact; when the bounded
//! record is full, a spending is counted longer than a second, never shorter.

use std::collections::VecDeque;

use crate::time::{Instant, MICROS_PER_SECOND};

/// Length of the sliding window, in microseconds.
pub const WINDOW_US: u64 = MICROS_PER_SECOND;

/// Accounted cost of one probe at each end, in microseconds of one core.
///
/// It covers building, authenticating, sending and receiving one datagram. 23.5 µs were
/// measured (`plantainpost-bench probes`); the account allows for hosts half as fast.
pub const PROBE_COST_US: u64 = 50;

/// Largest number of spending records kept.
///
/// 4,096 records are enough for a share of 20 % spent in probes alone.
const MAX_RECORDS: usize = 4_096;

/// Microseconds per second that one permille of a core allows.
const MICROS_PER_PERMILLE: u64 = WINDOW_US / 1_000;

/// Largest share: one whole core.
const MAX_PERMILLE: u32 = 1_000;

#[derive(Clone, Copy, Debug)]
struct Spending {
    at: Instant,
    cost_us: u64,
}

/// Account of the time spent on measuring load.
#[derive(Debug, Default)]
pub struct Budget {
    share_permille: u32,
    /// Instant of the first call. Spending before it is unknown, so nothing is
    /// allowed for one window.
    started: Option<Instant>,
    /// In order of `at`, each at a different instant, at most `MAX_RECORDS`.
    records: VecDeque<Spending>,
    /// Sum of `cost_us` over `records`.
    sum_us: u64,
    refused: u64,
}

impl Budget {
    /// Creates an account with a zero share.
    pub fn new() -> Self {
        Budget::default()
    }

    /// Puts a share of one core in force, in permille.
    ///
    /// After a reduction nothing is allowed until the sum of the last window is
    /// below the new share.
    pub fn set_share_permille(&mut self, now: Instant, permille: u32) {
        self.started.get_or_insert(now);
        self.share_permille = permille.min(MAX_PERMILLE);
    }

    /// Spends `cost_us` if the share in force allows it, and returns whether it did.
    pub fn try_spend(&mut self, now: Instant, cost_us: u64) -> bool {
        let now = self.not_before_last(now);
        let started = *self.started.get_or_insert(now);
        self.forget_before_window(now);
        let limit_us = u64::from(self.share_permille) * MICROS_PER_PERMILLE;
        let allowed = limit_us > 0
            && now.micros_since(started) >= WINDOW_US
            && self.sum_us.saturating_add(cost_us) <= limit_us;
        if allowed {
            self.record(now, cost_us);
        } else {
            self.refused += 1;
        }
        allowed
    }

    /// Returns the time between spendings of `cost_us` that spreads the share evenly, or
    /// `None` if the share allows none of them.
    pub fn interval_us(&self, cost_us: u64) -> Option<u64> {
        let limit_us = u64::from(self.share_permille) * MICROS_PER_PERMILLE;
        let times = limit_us.checked_div(cost_us.max(1))?;
        (times > 0).then(|| WINDOW_US.div_ceil(times))
    }

    /// Returns the sum spent in the window that ends at `now`.
    pub fn spent_us(&self, now: Instant) -> u64 {
        self.records
            .iter()
            .filter(|spending| now.micros_since(spending.at) <= WINDOW_US)
            .map(|spending| spending.cost_us)
            .sum()
    }

    /// Returns how many spendings were refused since the start.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// A clock that seems to go back must not reopen an earlier window.
    fn not_before_last(&self, now: Instant) -> Instant {
        self.records.back().map_or(now, |last| last.at.max(now))
    }

    fn forget_before_window(&mut self, now: Instant) {
        while let Some(oldest) = self.records.front()
            && now.micros_since(oldest.at) > WINDOW_US
        {
            self.sum_us -= oldest.cost_us;
            self.records.pop_front();
        }
    }

    fn record(&mut self, now: Instant, cost_us: u64) {
        self.sum_us += cost_us;
        let full = self.records.len() == MAX_RECORDS;
        match self.records.back_mut() {
            Some(last) if full || last.at == now => {
                last.at = now;
                last.cost_us += cost_us;
            }
            _ => self.records.push_back(Spending { at: now, cost_us }),
        }
    }
}
