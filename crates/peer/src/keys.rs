//! Shared keys and their rotation.
//!
//! To rotate keys, set the new key as `previous_key` in all processes, then swap the two keys in
//! all processes, then remove the old one. At each step, every pair of processes has a key in
//! common.

use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// Length of a shared key.
pub const KEY_BYTES: usize = 32;

/// The text is not a valid key.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("a key is 64 hex digits, got {0} characters; make one with 32 random bytes in hex")]
pub struct ParseKeyError(usize);

/// A shared key, or a session key derived from one.
#[derive(Clone)]
pub struct Key([u8; KEY_BYTES]);

impl Key {
    /// Parses a key from 64 hex digits.
    ///
    /// # Errors
    ///
    /// If the text has another length or contains other characters.
    pub fn parse(text: &str) -> Result<Self, ParseKeyError> {
        let invalid = || ParseKeyError(text.len());
        if text.len() != KEY_BYTES * 2 || !text.is_ascii() {
            return Err(invalid());
        }
        let mut bytes = [0; KEY_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| invalid())?;
        }
        Ok(Self(bytes))
    }

    /// Returns a public identifier of the key, which does not reveal the key.
    #[must_use]
    pub fn id(&self) -> [u8; 8] {
        let digest = Sha256::new()
            .chain_update(b"berylhook key id")
            .chain_update(self.0)
            .finalize();
        let mut id = [0; 8];
        id.copy_from_slice(&digest[..8]);
        id
    }

    /// Computes the HMAC of `label`, which names the purpose of the tag, and `parts`. Each part is
    /// preceded by its length, so that parts cannot be shifted into each other.
    #[must_use]
    pub fn tag(&self, label: &str, parts: &[&[u8]]) -> [u8; KEY_BYTES] {
        let mut mac = self.mac(label);
        for part in parts {
            mac.update(&(part.len() as u64).to_le_bytes());
            mac.update(part);
        }
        mac.finalize().into_bytes().into()
    }

    /// Derives a key from `parts` for the purpose that `label` names.
    #[must_use]
    pub fn derive(&self, label: &str, parts: &[&[u8]]) -> Self {
        Self(self.tag(label, parts))
    }

    pub(crate) fn mac(&self, label: &str) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        mac.update(label.as_bytes());
        mac
    }
}

/// The keys that a process accepts. Connections that it opens use the first one.
#[derive(Clone)]
pub struct KeyRing {
    keys: Vec<Key>,
}

impl KeyRing {
    /// Creates a key ring that uses `current` and also accepts `previous`.
    #[must_use]
    pub fn new(current: Key, previous: Option<Key>) -> Self {
        let mut keys = vec![current];
        keys.extend(previous);
        Self { keys }
    }

    /// Returns the key for connections that this process opens.
    #[must_use]
    pub fn current(&self) -> &Key {
        &self.keys[0]
    }

    /// Returns the accepted key with this id.
    #[must_use]
    pub fn find(&self, id: &[u8]) -> Option<&Key> {
        self.keys.iter().find(|key| key.id() == id)
    }
}
