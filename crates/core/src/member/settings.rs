//! Settings of the membership protocol.

/// Timeouts, intervals and limits of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberSettings {
    /// Interval between two probes, in milliseconds. A probe fails after the same time.
    pub probe_interval_ms: u64,
    /// Time without an answer after which indirect probes are sent, in milliseconds. It
    /// is above the round-trip time between regions.
    pub direct_probe_timeout_ms: u64,
    /// Number of members asked for an indirect probe.
    pub indirect_probes: usize,
    /// Time in which a suspected member can refute the suspicion, in milliseconds.
    pub suspicion_timeout_ms: u64,
    /// Number of peers that a changed record is pushed to.
    pub fanout: usize,
    /// Number of peers for changes that stop new work, refutations, and the local
    /// record. At 8 peers and 2 % loss, 0.04 % of the peers learn the change only from
    /// the next probes.
    pub urgent_fanout: usize,
    /// Number of peers while the changed records do not fit into one message.
    pub bulk_fanout: usize,
    /// Interval between two table syncs, in milliseconds.
    pub sync_interval_ms: u64,
    /// Time until the next table sync after one that found differences or after a new
    /// member appeared, in milliseconds.
    pub sync_follow_up_ms: u64,
    /// Largest number of datagrams with records sent in answer to one digest.
    pub max_sync_datagrams: usize,
    /// Time for which dead members are kept in the table, in milliseconds.
    pub dead_retention_ms: u64,
    /// Interval between two attempts to reach a dead member or an unknown contact, in
    /// milliseconds.
    pub reconnect_interval_ms: u64,
    /// Time between two ticks above which this process is considered paused, in
    /// milliseconds.
    pub pause_threshold_ms: u64,
    /// Largest number of members in the table, without the local one.
    pub max_members: usize,
    /// Bytes per second for pushing changed records. Probes and urgent changes are not
    /// limited.
    pub push_bytes_per_second: u64,
    /// Bytes per second for records sent in answer to a digest.
    pub sync_bytes_per_second: u64,
    /// Burst that each of the two budgets allows after an idle period, in bytes.
    pub burst_bytes: u64,
    /// Unchanged records added to a ping or an ack, which spread `config_version`.
    pub unchanged_records_per_probe: usize,
}

impl Default for MemberSettings {
    fn default() -> Self {
        MemberSettings {
            probe_interval_ms: 1_000,
            direct_probe_timeout_ms: 400,
            indirect_probes: 3,
            suspicion_timeout_ms: 5_000,
            fanout: 4,
            urgent_fanout: 8,
            bulk_fanout: 2,
            sync_interval_ms: 10_000,
            sync_follow_up_ms: 1_000,
            max_sync_datagrams: 8,
            dead_retention_ms: 6 * 60 * 60 * 1_000,
            reconnect_interval_ms: 10_000,
            pause_threshold_ms: 500,
            max_members: 4_096,
            push_bytes_per_second: 3_000,
            sync_bytes_per_second: 3_000,
            burst_bytes: 16_000,
            unchanged_records_per_probe: 6,
        }
    }
}
