//! Bodies derived from a nonce, so that a caller can verify every byte.

use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs::StdRng};
use sha2::{Digest, Sha256};

/// Length of the block that a body repeats. Only one block per body is generated, because
/// generating whole bodies takes most of the running time of unoptimised test builds.
const BLOCK_BYTES: usize = 4096;

/// Returns the body of `len` bytes that belongs to `nonce`: one pseudo-random block, repeated.
/// The first 8 bytes of each repetition are XORed with its number, so that a missing or moved
/// block is noticed.
pub fn body_for_nonce(nonce: &str, len: usize) -> Bytes {
    let seed: [u8; 32] = Sha256::digest(nonce.as_bytes()).into();
    let mut block = vec![0; BLOCK_BYTES.min(len)];
    StdRng::from_seed(seed).fill_bytes(&mut block);
    let mut buf = Vec::with_capacity(len + BLOCK_BYTES);
    for number in 0..len.div_ceil(BLOCK_BYTES) as u64 {
        let start = buf.len();
        buf.extend_from_slice(&block);
        if let Some(head) = buf.get_mut(start..start + 8) {
            head.copy_from_slice(
                &(number ^ u64::from_le_bytes(first_8_bytes(&block))).to_le_bytes(),
            );
        }
    }
    buf.truncate(len);
    buf.into()
}

/// Returns the first 8 bytes of a block, zero-padded if it is shorter.
fn first_8_bytes(block: &[u8]) -> [u8; 8] {
    let mut head = [0; 8];
    let len = block.len().min(8);
    head[..len].copy_from_slice(&block[..len]);
    head
}

/// Returns the JSON body of a target's response: what it received, and its own name and
/// service.
pub fn echo_body(nonce: &str, length: usize, sha256: &str, target: &str, service: &str) -> Bytes {
    let value = serde_json::json!({
        "nonce": nonce,
        "length": length,
        "sha256": sha256,
        "target": target,
        "service": service,
    });
    value.to_string().into()
}

/// Returns the SHA-256 digest of `data` in lower-case hexadecimal.
pub fn sha256_hex(data: &[u8]) -> String {
    let digest = Sha256::digest(data);
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
