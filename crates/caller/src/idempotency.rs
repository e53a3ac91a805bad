//! Idempotency keys, which carry the time of their creation.

use berylhook_core::time::WallMs;
use sha2::{Digest, Sha256};
use thiserror::Error;
use uuid::{Uuid, Version};

/// Idempotency key of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotencyKey {
    uuid: Uuid,
    issued_ms: WallMs,
}

/// The text is not a valid idempotency key.
#[derive(Debug, Error, PartialEq, Eq)]
#[error(
    "the idempotency key is no UUIDv7; make one with a UUIDv7 library when you first send the \
     request, and send the same one with every repeat"
)]
pub struct IdempotencyKeyError;

impl IdempotencyKey {
    /// Parses a key. Only `UUIDv7` is accepted: its timestamp is needed to distinguish a new key
    /// from an older one whose record was lost with the agent that stored it.
    ///
    /// # Errors
    ///
    /// If the text is not a `UUIDv7`.
    pub fn parse(text: &str) -> Result<Self, IdempotencyKeyError> {
        let uuid =
            Uuid::parse_str(text.trim().trim_matches('"')).map_err(|_| IdempotencyKeyError)?;
        if uuid.get_version() != Some(Version::SortRand) {
            return Err(IdempotencyKeyError);
        }
        Ok(Self::from_v7(uuid))
    }

    /// Generates a key for a request that came without one.
    #[must_use]
    pub fn generate() -> Self {
        Self::from_v7(Uuid::now_v7())
    }

    fn from_v7(uuid: Uuid) -> Self {
        let issued_ms = u64::try_from(uuid.as_u128() >> 80).expect("the timestamp has 48 bits");
        Self {
            uuid,
            issued_ms: WallMs(issued_ms),
        }
    }

    /// Returns the creation time of the key, by the clock of the caller that created it.
    #[must_use]
    pub fn issued_ms(&self) -> WallMs {
        self.issued_ms
    }

    /// Returns the key under which the request is recorded: a hash of the account and this key.
    ///
    /// The account is part of the hash, so that no caller can collide with the key of another
    /// account, by chance or on purpose.
    #[must_use]
    pub fn scoped_to_account(&self, account: &str) -> u128 {
        let digest = Sha256::new()
            .chain_update(account.as_bytes())
            .chain_update([0])
            .chain_update(self.uuid.as_bytes())
            .finalize();
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest[..16]);
        u128::from_be_bytes(bytes)
    }
}
