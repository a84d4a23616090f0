//! Settings of the balancer.

use super::ScoreSettings;
use crate::ids::{DataCentre, NodeName};

/// Settings of a [`super::Balancer`].
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// Name of the entry, the node that chooses targets.
    pub entry: NodeName,
    /// Data centre of the entry.
    pub data_centre: DataCentre,
    /// Maximum number of targets per service in the subset of the entry.
    pub subset_size: usize,
    /// Consecutive failures after which a target is ejected.
    pub failures_to_eject: u32,
    /// Duration of a target's first ejection; doubles with each further one.
    pub first_ejection_ms: u64,
    /// Maximum duration of an ejection.
    pub max_ejection_ms: u64,
    /// Successful trial requests after which an ejected target is restored.
    pub trials_to_restore: u32,
    /// Minimum age of a load sample at which the target is probed. At 20 ms the latency tail in
    /// slow phases is longer; the measuring budget bounds the cost in any case.
    pub probe_after_us: u64,
    /// Time since the last request for a service after which its targets are no longer probed.
    pub recent_traffic_ms: u64,
    /// Round-trip time assumed within a data centre until a probe measures it.
    pub assumed_local_rtt_us: u32,
    /// Round-trip time assumed between data centres until a probe measures it.
    pub assumed_remote_rtt_us: u32,
    /// Cost of transferring a KiB to another data centre, as an equivalent delay in microseconds.
    pub transfer_cost_us_per_kib: u64,
    /// Constants of the score, used for explanations, hedges and the failure rate. The policy has
    /// its own.
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
    /// Returns the cost of transferring `bytes` to another data centre, as an equivalent delay in
    /// microseconds.
    pub(super) fn transfer_cost_us(&self, bytes: u64) -> u32 {
        let micros = bytes.saturating_mul(self.transfer_cost_us_per_kib) / 1_024;
        u32::try_from(micros).unwrap_or(u32::MAX)
    }
}
