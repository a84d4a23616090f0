//! Bodies derived from a nonce, so that a caller can verify every byte.

use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs::StdRng};
use sha2::{Digest, Sha256};

/// Length of the block that a body repeats. One block per body is generated, because
/// generating whole bodies took most of the time of unoptimised test builds.
const BLOCK: usize = 4096;

/// The body of `len` bytes that belongs to `nonce`: one random block, repeated, with the
/// number of the repetition in its first 8 bytes.
pub fn body_for(nonce: &str, len: usize) -> Bytes {
    let seed: [u8; 32] = Sha256::digest(nonce.as_bytes()).into();
    let mut block = vec![0; BLOCK.min(len)];
    StdRng::from_seed(seed).fill_bytes(&mut block);
    let mut buf = Vec::with_capacity(len + BLOCK);
    for number in 0..len.div_ceil(BLOCK) as u64 {
        let start = buf.len();
        buf.extend_from_slice(&block);
        if let Some(head) = buf.get_mut(start..start + 8) {
            head.copy_from_slice(&(number ^ u64::from_le_bytes(first(&block))).to_le_bytes());
        }
    }
    buf.truncate(len);
    buf.into()
}

/// The first 8 bytes of a block.
fn first(block: &[u8]) -> [u8; 8] {
    let mut head = [0; 8];
    let len = block.len().min(8);
    head[..len].copy_from_slice(&block[..len]);
    head
}

/// The short JSON answer of a target: what it received, and who it is.
pub fn echo(nonce: &str, length: usize, sha256: &str, target: &str, service: &str) -> Bytes {
    let value = serde_json::json!({
        "nonce": nonce,
        "length": length,
        "sha256": sha256,
        "target": target,
        "service": service,
    });
    value.to_string().into()
}

/// The lower-case hexadecimal SHA-256 of `data`.
pub fn sha256_hex(data: &[u8]) -> String {
    let digest = Sha256::digest(data);
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
