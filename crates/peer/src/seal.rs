//! Sealed records: `length (u32 LE) | tag (16 bytes) | payload`.
//!
//! Records are authenticated but not encrypted. The tag is a truncated HMAC that also covers the
//! position of the record in its direction of the connection, so that a replayed, dropped or
//! reordered record fails verification like an altered one.

use hmac::Mac;
use subtle::ConstantTimeEq;

use crate::PeerError;
use crate::keys::Key;

/// Length of the tag in a record.
pub const TAG_BYTES: usize = 16;

/// Maximum payload of a record. The length is checked before any memory is allocated for it.
pub const MAX_RECORD_BYTES: usize = 8 << 20;

const RECORD_LABEL: &str = "berylhook record";

/// Adds tags to the records of one direction of a connection.
pub struct Sealer {
    key: Key,
    position: u64,
}

/// Verifies the tags of the records of one direction of a connection.
pub struct Opener {
    key: Key,
    position: u64,
}

impl Sealer {
    /// Creates a sealer for a new connection.
    #[must_use]
    pub fn new(key: Key) -> Self {
        Self { key, position: 0 }
    }

    /// Appends the next record, with `payload` and its tag, to `out`.
    ///
    /// # Panics
    ///
    /// If `payload` is over 4 GiB; callers limit it to [`MAX_RECORD_BYTES`].
    pub fn seal(&mut self, payload: &[u8], out: &mut Vec<u8>) {
        let length =
            u32::try_from(payload.len()).expect("payloads are limited by MAX_RECORD_BYTES");
        out.extend_from_slice(&length.to_le_bytes());
        out.extend_from_slice(&record_tag(&self.key, self.position, payload));
        out.extend_from_slice(payload);
        self.position += 1;
    }
}

impl Opener {
    /// Creates an opener for a new connection.
    #[must_use]
    pub fn new(key: Key) -> Self {
        Self { key, position: 0 }
    }

    /// Verifies the tag of the next record.
    ///
    /// # Errors
    ///
    /// If the tag does not match the payload at the current position.
    pub fn open(
        &mut self,
        received_tag: &[u8; TAG_BYTES],
        payload: &[u8],
    ) -> Result<(), PeerError> {
        let expected = record_tag(&self.key, self.position, payload);
        self.position += 1;
        if bool::from(expected.ct_eq(received_tag)) {
            Ok(())
        } else {
            Err(PeerError::BadTag)
        }
    }
}

fn record_tag(key: &Key, position: u64, payload: &[u8]) -> [u8; TAG_BYTES] {
    let mut mac = key.mac(RECORD_LABEL);
    mac.update(&position.to_le_bytes());
    mac.update(payload);
    let full_tag = mac.finalize().into_bytes();
    let mut truncated_tag = [0; TAG_BYTES];
    truncated_tag.copy_from_slice(&full_tag[..TAG_BYTES]);
    truncated_tag
}
