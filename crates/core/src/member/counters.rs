//! Counters of the membership protocol.

/// Counts since the start of the process. All of them only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages returned for sending.
    pub sent: u64,
    /// Encoded bytes of the messages returned for sending, without headers.
    pub sent_bytes: u64,
    /// Messages received.
    pub received: u64,
    /// Direct probes of members in the table.
    pub probes: u64,
    /// Probes that needed indirect probes through other members.
    pub indirect_probes: u64,
    /// Probes that neither the member nor a relay answered in time.
    pub failed_probes: u64,
    /// Suspicions raised by this node's own probes.
    pub suspicions: u64,
    /// Members that this node declared dead.
    pub deaths: u64,
    /// Times this node raised its own incarnation.
    pub refutations: u64,
    /// Received records that were not newer than the known ones.
    pub stale_records: u64,
    /// Received records about this node that needed no refutation.
    pub self_records: u64,
    /// Received records that claim this node's name for another address.
    pub name_conflicts: u64,
    /// Received records with an address that can't be used, such as an unspecified one.
    pub bad_addresses: u64,
    /// Received records with an incarnation too far above the known ones.
    pub bad_incarnations: u64,
    /// Received records of new members that were dropped because the table was full.
    pub table_full: u64,
    /// Received records that declare a member dead that is not dead here. Such a record
    /// alone does not change the state.
    pub unconfirmed_deaths: u64,
    /// Records, received or local, whose encoding is too long for a message.
    pub oversized: u64,
    /// Answers that matched no pending sequence number.
    pub unmatched: u64,
    /// Messages refused: sent by this node itself, received after its departure, or
    /// asking for an indirect probe of an unusable address or above the limit of
    /// relayed probes.
    pub refused: u64,
    /// Pauses of this process that were detected between two ticks.
    pub pauses: u64,
    /// Messages not sent because the byte budget was exhausted.
    pub deferred: u64,
}
