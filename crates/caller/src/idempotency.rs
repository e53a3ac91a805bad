//! Idempotency keys that carry their issue time.

use berylhook_core::time::WallMs;
use sha2::{Digest, Sha256};
use thiserror::Error;
use uuid::{Uuid, Version};

/// A caller's idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotencyKey {
    uuid: Uuid,
    issued_ms: WallMs,
}

/// The key cannot be used.
#[derive(Debug, Error, PartialEq, Eq)]
#[error(
    "the idempotency key is no UUIDv7; make one with a UUIDv7 library when you first send the \
     request, and send the same one with every repeat"
)]
pub struct IdempotencyKeyError;

impl IdempotencyKey {
    /// Reads a key. Only `UUIDv7` carries the issue time that is needed to
    /// tell a fresh key from one whose record was lost with its keeper.
    ///
    /// # Errors
    ///
    /// If the text is no `UUIDv7`.
    pub fn parse(text: &str) -> Result<Self, IdempotencyKeyError> {
        let uuid =
            Uuid::parse_str(text.trim().trim_matches('"')).map_err(|_| IdempotencyKeyError)?;
        if uuid.get_version() != Some(Version::SortRand) {
            return Err(IdempotencyKeyError);
        }
        Ok(Self::from_v7(uuid))
    }

    /// A fresh key, for a caller that sent none.
    #[must_use]
    pub fn generate() -> Self {
        Self::from_v7(Uuid::now_v7())
    }

    fn from_v7(uuid: Uuid) -> Self {
        let issued_ms = u64::try_from(uuid.as_u128() >> 80).expect("48 bits");
        Self {
            uuid,
            issued_ms: WallMs(issued_ms),
        }
    }

    /// When the key was made, by its maker's clock.
    #[must_use]
    pub fn issued_ms(&self) -> WallMs {
        self.issued_ms
    }

    /// The key as the home of its shard knows it.
    ///
    /// The account is mixed in, so that no caller can collide with another's
    /// key, by chance or on purpose.
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
