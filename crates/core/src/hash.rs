//! A hash function with the same result on every node.

/// Returns the 32-bit FNV-1a hash of `bytes`.
pub(crate) fn fnv1a(bytes: &[u8]) -> u32 {
    let fold = |hash: u32, byte: &u8| (hash ^ u32::from(*byte)).wrapping_mul(16_777_619);
    bytes.iter().fold(2_166_136_261, fold)
}
