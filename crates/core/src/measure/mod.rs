//! Budget for load measurements.
//!
//! The budget bounds the CPU time that a node spends on probes and load polls. In any window
//! of one second, both ends included, the sum of the charges is at most the share of a core in
//! force at the last charge in that window. The sum is exact as long as the bounded list of
//! charges is not full; beyond that a charge counts for longer than a second, never shorter.

use std::collections::VecDeque;

use crate::time::{Instant, MICROS_PER_SECOND};

/// Length of the sliding window, in microseconds.
pub const WINDOW_US: u64 = MICROS_PER_SECOND;

/// Cost charged for one probe at each end, in microseconds of one core.
///
/// It covers building, authenticating, sending and receiving one datagram. That takes
/// 23.5 µs (see `plantainpost-bench probes`); the cost is about twice that, so that it also
/// holds on hosts half as fast.
pub const PROBE_COST_US: u64 = 50;

/// Maximum number of charges kept. 4,096 are enough for a share of 20 % spent on probes alone.
const MAX_CHARGES: usize = 4_096;

/// Microseconds per window that a share of one permille of a core allows.
const MICROS_PER_SHARE_PERMILLE: u64 = WINDOW_US / 1_000;

/// Maximum share: one whole core.
const MAX_SHARE_PERMILLE: u32 = 1_000;

/// Costs charged at one instant.
#[derive(Clone, Copy, Debug)]
struct Charge {
    at: Instant,
    cost_us: u64,
}

/// Sliding-window budget for the CPU time spent on load measurements.
#[derive(Debug, Default)]
pub struct MeasurementBudget {
    share_permille: u32,
    /// Instant of the first call. What was spent before it is unknown, so nothing is allowed
    /// in the first window.
    first_call_at: Option<Instant>,
    /// Charges in order of `at`, each at a different instant, at most `MAX_CHARGES`.
    charges: VecDeque<Charge>,
    /// Sum of `cost_us` over `charges`.
    window_sum_us: u64,
    refused_charges: u64,
}

impl MeasurementBudget {
    /// Creates a budget with a share of zero.
    pub fn new() -> Self {
        MeasurementBudget::default()
    }

    /// Sets the share of one core that may be spent, in permille.
    ///
    /// After a reduction nothing is allowed until the sum of the last window is below the new
    /// share.
    pub fn set_share_permille(&mut self, now: Instant, permille: u32) {
        self.first_call_at.get_or_insert(now);
        self.share_permille = permille.min(MAX_SHARE_PERMILLE);
    }

    /// Charges `cost_us` if the share in force allows it, and returns whether it does.
    pub fn try_spend(&mut self, now: Instant, cost_us: u64) -> bool {
        let now = self.clamp_to_last_charge(now);
        let first_call_at = *self.first_call_at.get_or_insert(now);
        self.drop_charges_before_window(now);
        let limit_us = u64::from(self.share_permille) * MICROS_PER_SHARE_PERMILLE;
        let allowed = limit_us > 0
            && now.micros_since(first_call_at) >= WINDOW_US
            && self.window_sum_us.saturating_add(cost_us) <= limit_us;
        if allowed {
            self.add_charge(now, cost_us);
        } else {
            self.refused_charges += 1;
        }
        allowed
    }

    /// Returns the interval between charges of `cost_us` that uses the share evenly, in
    /// microseconds; `None` if the share allows no such charge.
    pub fn interval_us(&self, cost_us: u64) -> Option<u64> {
        let limit_us = u64::from(self.share_permille) * MICROS_PER_SHARE_PERMILLE;
        let charges_per_window = limit_us.checked_div(cost_us.max(1))?;
        (charges_per_window > 0).then(|| WINDOW_US.div_ceil(charges_per_window))
    }

    /// Returns the sum of the charges in the window that ends at `now`, in microseconds.
    pub fn spent_us(&self, now: Instant) -> u64 {
        self.charges
            .iter()
            .filter(|charge| now.micros_since(charge.at) <= WINDOW_US)
            .map(|charge| charge.cost_us)
            .sum()
    }

    /// Returns the number of charges refused since the budget was created.
    pub fn refused_charges(&self) -> u64 {
        self.refused_charges
    }

    /// Returns `now`, or the instant of the last charge if that is later. A clock that seems to
    /// go back must not reopen an earlier window.
    fn clamp_to_last_charge(&self, now: Instant) -> Instant {
        self.charges.back().map_or(now, |last| last.at.max(now))
    }

    fn drop_charges_before_window(&mut self, now: Instant) {
        while let Some(oldest) = self.charges.front()
            && now.micros_since(oldest.at) > WINDOW_US
        {
            self.window_sum_us -= oldest.cost_us;
            self.charges.pop_front();
        }
    }

    fn add_charge(&mut self, now: Instant, cost_us: u64) {
        self.window_sum_us += cost_us;
        let is_full = self.charges.len() == MAX_CHARGES;
        match self.charges.back_mut() {
            Some(last) if is_full || last.at == now => {
                last.at = now;
                last.cost_us += cost_us;
            }
            _ => self.charges.push_back(Charge { at: now, cost_us }),
        }
    }
}
