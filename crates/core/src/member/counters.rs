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
    /// Probes that no one answered.
    pub failed_probes: u64,
    /// Suspicions raised by this node's own probes.
    pub suspicions: u64,
    /// Members that this node declared dead.
    pub deaths: u64,
    /// Times this node raised its own incarnation.
    pub refutations: u64,
    /// Received records that were older than or equal to the known ones.
    pub stale_records: u64,
    /// Received records about this node that it did not have to refute.
    pub self_records: u64,
    /// Received records that claim this node's name for another address.
    pub name_conflicts: u64,
    /// Received records with an unspecified or unusable address.
    pub bad_addresses: u64,
    /// Received records with an incarnation too far above the known ones.
    pub bad_incarnations: u64,
    /// Received records of new members that found the table full.
    pub table_full: u64,
    /// Received records of deaths of members that are not dead here. They do not
    /// count by themselves.
    pub unconfirmed_deaths: u64,
    /// Records, received or own, whose encoding is too long for a message.
    pub oversized: u64,
    /// Replies that matched no open sequence number.
    pub unmatched: u64,
    /// Messages from this node itself, after its departure, or beyond its relayed.
    pub refused: u64,
    /// Pauses of this process that were detected between two ticks.
    pub pauses: u64,
    /// Messages not sent because the byte budget was spent.
    pub deferred: u64,
}
