//! Settings of the balancer.

use super::ScoreSettings;
use crate::ids::{DataCentre, NodeName};

/// Settings of a [`super::Balancer`].
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// Name of the node that chooses.
    pub entry: NodeName,
    /// Data centre of that node.
    pub data_centre: DataCentre,
    /// Largest number of targets used per service.
    pub subset_size: usize,
    /// Failures in a row after which a target is set aside.
    pub failures_to_eject: u32,
    /// How long a target is set aside for the first time; doubled at each failed
    /// return.
    pub first_ejection_ms: u64,
    /// Longest time for which a target is set aside.
    pub max_ejection_ms: u64,
    /// Successful trial requests after which a target is in use again.
    pub trials_to_restore: u32,
    /// Age of evidence above which a probe is wanted. At 20 ms the tail in slow phases
    /// was longer; the measuring budget bounds the cost in any case.
    pub probe_after_us: u64,
    /// Time since the last request to a service after which its targets are no
    /// longer probed.
    pub recent_traffic_ms: u64,
    /// Round trip that is assumed within a data centre until one is measured.
    pub assumed_local_rtt_us: u32,
    /// Round trip that is assumed between data centres until one is measured.
    pub assumed_remote_rtt_us: u32,
    /// Cost of a KiB that is sent to another data centre, as the time that is worth the
    /// same, in microseconds.
    pub transfer_cost_us_per_kib: u64,
    /// Constants of the score, used for explanations.
    pub score: ScoreSettings,
}

impl Default for BalancerSettings {
    fn default() -> Self {
        BalancerSettings {
            entry: NodeName::from(""),
            data_centre: DataCentre::from(""),
            subset_size: 20,
            failures_to_eject: 3,
            first_ejection_ms: 1_000,
            max_ejection_ms: 30_000,
            trials_to_restore: 3,
            probe_after_us: 5_000,
            recent_traffic_ms: 5_000,
            assumed_local_rtt_us: 200,
            assumed_remote_rtt_us: 2_000,
            transfer_cost_us_per_kib: 0,
            score: ScoreSettings::default(),
        }
    }
}

impl BalancerSettings {
    /// Returns the cost of sending `bytes` to another data centre, in microseconds.
    pub(super) fn transfer_cost_us(&self, bytes: u64) -> u32 {
        let micros = bytes.saturating_mul(self.transfer_cost_us_per_kib) / 1_024;
        u32::try_from(micros).unwrap_or(u32::MAX)
    }
}
