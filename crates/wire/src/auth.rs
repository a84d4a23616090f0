//! Message authentication with the keys of the fleet.

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use snafu::{Snafu, ensure};

/// Length of a full authentication code in bytes.
pub const MAC_BYTES: usize = 32;

/// Length of the truncated code on a datagram in bytes.
///
/// RFC 2104 advises at least half of the hash output, which is 16 bytes.
pub const SHORT_MAC_BYTES: usize = 16;

/// Shortest key that is accepted, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// A key can't be used.
#[derive(Debug, Snafu)]
#[snafu(display("the fleet key has {length} bytes; at least {MIN_KEY_BYTES} are needed"))]
pub struct KeyError {
    length: usize,
}

/// One key of the fleet. Its bytes are never printed.
#[derive(Clone)]
pub struct Key {
    /// Hash state with the key already absorbed, cloned for each message.
    state: Hmac<Sha256>,
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

impl Key {
    /// Makes a key from its bytes.
    ///
    /// # Errors
    ///
    /// Fails when the key is shorter than [`MIN_KEY_BYTES`].
    pub fn new(bytes: &[u8]) -> Result<Self, KeyError> {
        let length = bytes.len();
        ensure!(length >= MIN_KEY_BYTES, KeySnafu { length });
        let state = Hmac::new_from_slice(bytes).expect("HMAC takes a key of any length");
        Ok(Key { state })
    }

    fn absorb(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = self.state.clone();
        for part in parts {
            // The length keeps two different splits of the same bytes apart.
            mac.update(&(part.len() as u64).to_le_bytes());
            mac.update(part);
        }
        mac
    }

    /// Returns the code of a message given in parts.
    pub fn sign(&self, parts: &[&[u8]]) -> [u8; MAC_BYTES] {
        self.absorb(parts).finalize().into_bytes().into()
    }

    /// Reports whether `mac` is the code of the message, in constant time.
    pub fn verify(&self, parts: &[&[u8]], mac: &[u8; MAC_BYTES]) -> bool {
        self.absorb(parts).verify_slice(mac).is_ok()
    }

    /// Reports whether `mac` is the truncated code of the message, in constant
    /// time.
    pub fn verify_short(&self, parts: &[&[u8]], mac: &[u8]) -> bool {
        mac.len() == SHORT_MAC_BYTES && self.absorb(parts).verify_truncated_left(mac).is_ok()
    }
}

/// The keys that a node accepts.
#[derive(Clone, Debug)]
pub struct FleetKeys {
    /// Signs everything that this node sends on its own account.
    primary: Key,
    /// Accepted as well while the fleet changes keys.
    secondary: Option<Key>,
}

impl FleetKeys {
    /// Makes a key set.
    pub fn new(primary: Key, secondary: Option<Key>) -> Self {
        FleetKeys { primary, secondary }
    }

    /// Returns the key that signs.
    pub fn primary(&self) -> &Key {
        &self.primary
    }

    /// Returns every accepted key, the signing key first.
    pub fn accepted(&self) -> impl Iterator<Item = &Key> {
        std::iter::once(&self.primary).chain(&self.secondary)
    }
}
