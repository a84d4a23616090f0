//! Bodies derived from a nonce, so that a caller can verify every byte.

use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs::StdRng};
use sha2::{Digest, Sha256};

/// The body of `len` bytes that belongs to `nonce`.
pub fn body_for(nonce: &str, len: usize) -> Bytes {
    let seed: [u8; 32] = Sha256::digest(nonce.as_bytes()).into();
    let mut buf = vec![0; len];
    StdRng::from_seed(seed).fill_bytes(&mut buf);
    buf.into()
}

/// The lower-case hexadecimal SHA-256 of `data`.
pub fn sha256_hex(data: &[u8]) -> String {
    hex(&Sha256::digest(data))
}

/// Lower-case hexadecimal digits of `data`.
pub(crate) fn hex(data: &[u8]) -> String {
    data.iter().map(|byte| format!("{byte:02x}")).collect()
}
