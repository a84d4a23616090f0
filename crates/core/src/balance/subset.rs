//! Assigns targets to entries: rendezvous hashing selects the subset of targets that an entry uses,
//! and the position of the entry determines the target of its first request to a service.

use std::hash::{BuildHasher, Hasher};

use foldhash::quality::FixedState;

/// Seed of the rendezvous hash; any fixed value works.
const RENDEZVOUS_HASH_SEED: u64 = 0x706c_616e_7461_696e;

/// Returns the indices of the `size` targets with the highest hash of (entry, target), in ascending
/// order.
///
/// Adding or removing a target changes at most one other target of the subset. The hash may
/// differ between nodes, because each entry computes only its own subset.
pub fn rendezvous_subset(entry: &str, targets: &[&str], size: usize) -> Vec<usize> {
    let mut indices = rendezvous_order(entry, targets, size);
    indices.truncate(size);
    indices.sort_unstable();
    indices
}

/// Returns the indices of all targets by decreasing hash of (entry, target). Targets that all fit into a
/// subset of `size` are returned in their own order, because nothing has to be left out.
pub(super) fn rendezvous_order(entry: &str, targets: &[&str], size: usize) -> Vec<usize> {
    if targets.len() <= size {
        return (0..targets.len()).collect();
    }
    let hashes = targets
        .iter()
        .enumerate()
        .map(|(index, target)| (rendezvous_hash(entry, target), index));
    let mut ranked: Vec<(u64, usize)> = hashes.collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, index)| index).collect()
}

/// Share of a subset for targets in the data centre of the entry, in percent. The rest takes what
/// the near targets cannot answer in time.
const NEAR_PERCENT: usize = 60;

/// Moves targets in the data centre of the entry forward in the order of preference, so that they fill
/// the near part of a subset of `size` targets. A place that one part cannot fill goes to the other.
/// Without it, an entry would see few of its near targets where there are many data centres.
///
/// An order of at most `size` targets is returned as it is, because nothing has to be left out.
pub(super) fn with_near_part(
    order: Vec<usize>,
    size: usize,
    is_near: impl Fn(usize) -> bool,
) -> Vec<usize> {
    if order.len() <= size {
        return order;
    }
    let (mut near, mut far): (Vec<usize>, Vec<usize>) =
        order.into_iter().partition(|index| is_near(*index));
    let least_near = size.saturating_sub(far.len());
    let near_size = near.len().min((size * NEAR_PERCENT / 100).max(least_near));
    let near_rest = near.split_off(near_size);
    let far_rest = far.split_off(size - near_size);
    [near, far, near_rest, far_rest].concat()
}

/// Fractional part of the golden ratio. Its multiples modulo 1 are spread evenly for any range of
/// consecutive numbers, and for nearly any stride.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// Returns the position of an entry in [0, 1), which spreads the first requests of the entries over
/// the targets.
///
/// If the name ends in a 32-bit number, the position is that multiple of the golden ratio modulo 1,
/// which spreads numbered entries more evenly than a hash. Otherwise it is a hash of the name.
pub(super) fn entry_position(entry: &str) -> f64 {
    let digits = entry.len() - entry.trim_end_matches(|c: char| c.is_ascii_digit()).len();
    match entry[entry.len() - digits..].parse::<u32>() {
        Ok(number) => (f64::from(number) * GOLDEN_RATIO_FRACTION).fract(),
        Err(_) => rendezvous_hash(entry, "") as f64 / (u64::MAX as f64 + 1.0),
    }
}

fn rendezvous_hash(entry: &str, target: &str) -> u64 {
    let mut hasher = FixedState::with_seed(RENDEZVOUS_HASH_SEED).build_hasher();
    hasher.write(entry.as_bytes());
    // The separator makes the hashes of ("a", "bc") and ("ab", "c") differ.
    hasher.write_u8(0);
    hasher.write(target.as_bytes());
    hasher.finish()
}
