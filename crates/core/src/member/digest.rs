//! Digest of a member table, by bucket.
//!
//! A bucket is the exclusive-or of one hash per record, so that changing a record
//! takes two updates. Terminal records are left out, because nodes purge them at
//! different times. `config_version` is left out as well: at 750 changes a day, each
//! change would make every bucket differ between all pairs of tables for a while.

use sha2::{Digest as _, Sha256};

use super::{DIGEST_BUCKETS, MemberRecord};

/// Digest of a member table, one value per bucket.
pub(super) type TableDigest = [u32; DIGEST_BUCKETS];

/// Returns the bucket of a name.
pub(super) fn bucket_of(name: &str) -> usize {
    Sha256::digest(name)[0] as usize % DIGEST_BUCKETS
}

/// Adds the record to the digest, or removes it if the digest contains it.
pub(super) fn toggle_record(digest: &mut TableDigest, record: &MemberRecord) {
    if record.state.is_terminal() {
        return;
    }
    let mut hash = Sha256::new();
    hash.update(record.incarnation.0.to_le_bytes());
    hash.update(record.revision.to_le_bytes());
    hash.update([record.state as u8]);
    hash.update(record.name.as_str());
    let [a, b, c, d, ..] = <[u8; 32]>::from(hash.finalize());
    digest[bucket_of(record.name.as_str())] ^= u32::from_le_bytes([a, b, c, d]);
}

/// Returns the digest with the record added.
pub(super) fn with_record(digest: &TableDigest, record: &MemberRecord) -> TableDigest {
    let mut digest = *digest;
    toggle_record(&mut digest, record);
    digest
}

/// Returns, for each bucket, whether the two digests differ.
pub(super) fn differing_buckets(a: &TableDigest, b: &TableDigest) -> [bool; DIGEST_BUCKETS] {
    std::array::from_fn(|at| a[at] != b[at])
}
