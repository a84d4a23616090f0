//! Settings of the membership protocol.

/// Lengths of time and limits of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberSettings {
    /// Time between two probes, in milliseconds.
    pub probe_interval_ms: u64,
    /// Time after which indirect probes are sent, in milliseconds. Above the round
    /// trip between regions.
    pub direct_probe_timeout_ms: u64,
    /// Members asked for an indirect probe.
    pub indirect_probes: usize,
    /// Time that a suspected member has to refute, in milliseconds.
    pub suspicion_timeout_ms: u64,
    /// Peers that a changed record is sent to at once.
    pub fanout: usize,
    /// The same for changes that stop new work, refutations, and the own record. At
    /// 8 and 2 % loss, 0.04 % of the peers remain for the next probes.
    pub urgent_fanout: usize,
    /// The same when more than one message is waiting.
    pub bulk_fanout: usize,
    /// Time between two comparisons of tables, in milliseconds.
    pub sync_interval_ms: u64,
    /// Time until the next comparison when the last one found differences or a new
    /// member appeared, in milliseconds.
    pub sync_follow_up_ms: u64,
    /// Datagrams of records sent in answer to one digest.
    pub max_sync_datagrams: usize,
    /// Time that dead members are kept, in milliseconds.
    pub dead_retention_ms: u64,
    /// Time between two attempts to reach a dead member or an unknown contact, in
    /// milliseconds.
    pub reconnect_interval_ms: u64,
    /// Gap between two ticks above which this process counts as paused, in
    /// milliseconds.
    pub pause_threshold_ms: u64,
    /// Members kept in the table, without the local one.
    pub max_members: usize,
    /// Bytes per second for changed records. Probes and urgent changes are not
    /// limited.
    pub push_bytes_per_second: u64,
    /// Bytes per second for records that answer a digest.
    pub sync_bytes_per_second: u64,
    /// Bytes of each kind that may be sent at once after a quiet time.
    pub burst_bytes: u64,
    /// Unchanged records added to a probe, which spread `config_version`.
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
