//! Message authentication codes (HMAC-SHA-256) with the keys of the fleet.

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use snafu::{Snafu, ensure};

/// Length of a full message authentication code (MAC) in bytes.
pub const MAC_BYTES: usize = 32;

/// Length of the truncated MAC of a datagram in bytes.
///
/// RFC 2104 recommends at least half of the hash output, which is 16 bytes.
pub const TRUNCATED_MAC_BYTES: usize = 16;

/// Minimum length of a key, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// The key is too short.
#[derive(Debug, Snafu)]
#[snafu(display("the fleet key has {length} bytes; at least {MIN_KEY_BYTES} are needed"))]
pub struct KeyError {
    length: usize,
}

/// A key that the nodes of a fleet share. Its bytes are never printed.
#[derive(Clone)]
pub struct Key {
    /// HMAC state initialized with the key; cloned for each message.
    keyed_hmac: Hmac<Sha256>,
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

impl Key {
    /// Creates a key from its bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the key is shorter than [`MIN_KEY_BYTES`].
    pub fn new(bytes: &[u8]) -> Result<Self, KeyError> {
        let length = bytes.len();
        ensure!(length >= MIN_KEY_BYTES, KeySnafu { length });
        let keyed_hmac = Hmac::new_from_slice(bytes).expect("HMAC takes a key of any length");
        Ok(Key { keyed_hmac })
    }

    fn hmac_of(&self, fields: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = self.keyed_hmac.clone();
        for field in fields {
            // The length prefix makes different splits of the same bytes give different MACs.
            mac.update(&(field.len() as u64).to_le_bytes());
            mac.update(field);
        }
        mac
    }

    /// Returns the MAC of a message given as a list of fields.
    pub fn sign(&self, fields: &[&[u8]]) -> [u8; MAC_BYTES] {
        self.hmac_of(fields).finalize().into_bytes().into()
    }

    /// Returns whether `mac` is the MAC of the message. The comparison takes constant time.
    pub fn verify(&self, fields: &[&[u8]], mac: &[u8; MAC_BYTES]) -> bool {
        self.hmac_of(fields).verify_slice(mac).is_ok()
    }

    /// Returns whether `mac` is the truncated MAC of the message. The comparison takes
    /// constant time.
    pub fn verify_truncated(&self, fields: &[&[u8]], mac: &[u8]) -> bool {
        mac.len() == TRUNCATED_MAC_BYTES && self.hmac_of(fields).verify_truncated_left(mac).is_ok()
    }
}

/// The keys that a node uses and accepts.
#[derive(Clone, Debug)]
pub struct FleetKeys {
    /// Signs every message except the handshake reply, which uses the key of the peer's
    /// message.
    primary: Key,
    /// Also accepted, so that the keys of a fleet can be rotated node by node.
    secondary: Option<Key>,
}

impl FleetKeys {
    /// Creates a key set; `secondary` is only set during a key rotation.
    pub fn new(primary: Key, secondary: Option<Key>) -> Self {
        FleetKeys { primary, secondary }
    }

    /// Returns the key that signs outgoing messages.
    pub fn primary(&self) -> &Key {
        &self.primary
    }

    /// Returns all accepted keys, the primary key first.
    pub fn accepted(&self) -> impl Iterator<Item = &Key> {
        std::iter::once(&self.primary).chain(&self.secondary)
    }
}
