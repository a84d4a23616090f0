//! Counters of the membership protocol.

/// Counts since the start of the process. All of them only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages returned for sending.
    pub sent: u64,
    /// Encoded bytes of the messages returned for sending, without the IP and UDP headers,
    /// HMAC and envelope of the datagram.
    pub sent_bytes: u64,
    /// Messages received.
    pub received: u64,
    /// Direct probes of members in the table.
    pub probes: u64,
    /// Direct probes not answered in time, after which relays were asked: other members that
    /// probe on behalf of this node.
    pub indirect_probes: u64,
    /// Probes that neither the member nor a relay answered in time.
    pub failed_probes: u64,
    /// Suspicions raised by this node's own probes.
    pub suspicions: u64,
    /// Members that this node declared dead.
    pub deaths: u64,
    /// Times this node raised its own incarnation, so that its record overrides a received one
    /// about itself that is wrong or outdated.
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
    /// Received messages that were refused: those from this node's own address, those that
    /// arrived after it left, and requests for an indirect probe whose address is unusable
    /// or that exceed the limit of relayed probes.
    pub refused: u64,
    /// Pauses of this process, detected by an time between two ticks above the threshold.
    pub pauses: u64,
    /// Messages held back because a byte budget was exhausted. Pushed records stay queued for a
    /// later tick; records of a sync are left to a later sync.
    pub deferred: u64,
}
