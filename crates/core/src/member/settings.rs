//! Settings of the membership protocol.

/// Lengths of time and limits of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberSettings {
    /// Time between two probes, in milliseconds.
    pub period_ms: u64,
    /// Time after which indirect probes are sent, in milliseconds. Above the round
    /// trip between regions.
    pub direct_timeout_ms: u64,
    /// Members asked for an indirect probe.
    pub indirect_probes: usize,
    /// Time that a suspected member has to refute, in milliseconds.
    pub suspicion_ms: u64,
    /// Peers that a changed record is sent to at once.
    pub fanout: usize,
    /// Peers that a change of the own record is sent to at once.
    pub own_fanout: usize,
    /// Time between two comparisons of tables, in milliseconds.
    pub sync_every_ms: u64,
    /// Time between two comparisons while the last one found differences, in
    /// milliseconds.
    pub sync_again_ms: u64,
    /// Datagrams of records sent in answer to one digest.
    pub sync_datagrams: usize,
    /// Time that dead members are kept, in milliseconds.
    pub dead_kept_ms: u64,
    /// Time between two attempts to reach a dead member or an unknown contact, in
    /// milliseconds.
    pub retry_every_ms: u64,
    /// Gap between two ticks above which this process counts as paused, in
    /// milliseconds.
    pub pause_ms: u64,
    /// Members kept in the table, without the local one.
    pub max_members: usize,
    /// Bytes per second for changed records and answers to digests. Probes and
    /// records of leaving members are not limited.
    pub bulk_bytes_per_second: u64,
    /// Bytes that may be sent at once after a quiet time.
    pub bulk_burst_bytes: u64,
    /// Unchanged records added to a probe, which spread `config_version`.
    pub fill_records: usize,
}

impl Default for MemberSettings {
    fn default() -> Self {
        MemberSettings {
            period_ms: 1_000,
            direct_timeout_ms: 400,
            indirect_probes: 3,
            suspicion_ms: 5_000,
            fanout: 4,
            own_fanout: 8,
            sync_every_ms: 10_000,
            sync_again_ms: 1_000,
            sync_datagrams: 8,
            dead_kept_ms: 6 * 60 * 60 * 1_000,
            retry_every_ms: 10_000,
            pause_ms: 500,
            max_members: 4_096,
            bulk_bytes_per_second: 6_000,
            bulk_burst_bytes: 20_000,
            fill_records: 6,
        }
    }
}
