//! The targets that an entry uses, by rendezvous hashing.

use std::hash::{BuildHasher, Hasher};

use foldhash::quality::FixedState;

/// Seed of the rendezvous hash; any fixed value does.
const SEED: u64 = 0x706c_616e_7461_696e;

/// Returns the indices of the `size` targets with the highest hash of
/// (entry, target), in ascending order.
///
/// The hash needs no agreement between nodes: only the entry itself uses its
/// subset. A target that comes or goes changes at most one other place in it.
pub fn subset(entry: &str, targets: &[&str], size: usize) -> Vec<usize> {
    let mut ranked: Vec<(u64, usize)> = targets
        .iter()
        .enumerate()
        .map(|(index, target)| (rank(entry, target), index))
        .collect();
    if ranked.len() > size {
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.truncate(size);
    }
    let mut indices: Vec<usize> = ranked.into_iter().map(|(_, index)| index).collect();
    indices.sort_unstable();
    indices
}

fn rank(entry: &str, target: &str) -> u64 {
    let mut hasher = FixedState::with_seed(SEED).build_hasher();
    hasher.write(entry.as_bytes());
    // Separates the names, so that ("a", "bc") and ("ab", "c") differ.
    hasher.write_u8(0);
    hasher.write(target.as_bytes());
    hasher.finish()
}
