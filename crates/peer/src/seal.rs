//! Sealed records: `length (u32 LE) | tag (16 bytes) | payload`.
//!
//! The tag covers the record's position in its direction of the connection,
//! so a replayed, dropped or reordered record fails like an altered one.

use hmac::Mac;
use subtle::ConstantTimeEq;

use crate::PeerError;
use crate::trust::Key;

/// Bytes of tag in a record.
pub const TAG_BYTES: usize = 16;

/// Largest payload of a record. Checked before any buffer grows.
pub const MAX_RECORD_BYTES: usize = 8 << 20;

const RECORD_LABEL: &str = "berylhook record";

/// Seals the records of one direction.
pub struct Sealer {
    key: Key,
    position: u64,
}

/// Opens the records of one direction.
pub struct Opener {
    key: Key,
    position: u64,
}

impl Sealer {
    /// A sealer for a fresh connection.
    #[must_use]
    pub fn new(key: Key) -> Self {
        Self { key, position: 0 }
    }

    /// Appends the sealed record of `payload` to `out`.
    ///
    /// # Panics
    ///
    /// If `payload` is over 4 GiB; callers bound it by [`MAX_RECORD_BYTES`].
    pub fn seal(&mut self, payload: &[u8], out: &mut Vec<u8>) {
        let length = u32::try_from(payload.len()).expect("payloads stay under MAX_RECORD_BYTES");
        out.extend_from_slice(&length.to_le_bytes());
        out.extend_from_slice(&tag(&self.key, self.position, payload));
        out.extend_from_slice(payload);
        self.position += 1;
    }
}

impl Opener {
    /// An opener for a fresh connection.
    #[must_use]
    pub fn new(key: Key) -> Self {
        Self { key, position: 0 }
    }

    /// Checks the next record.
    ///
    /// # Errors
    ///
    /// If the tag is not that of this payload at this position.
    pub fn open(&mut self, received: &[u8; TAG_BYTES], payload: &[u8]) -> Result<(), PeerError> {
        let expected = tag(&self.key, self.position, payload);
        self.position += 1;
        if bool::from(expected.ct_eq(received)) {
            Ok(())
        } else {
            Err(PeerError::BadTag)
        }
    }
}

fn tag(key: &Key, position: u64, payload: &[u8]) -> [u8; TAG_BYTES] {
    let mut mac = key.mac(RECORD_LABEL);
    mac.update(&position.to_le_bytes());
    mac.update(payload);
    let full = mac.finalize().into_bytes();
    let mut short = [0; TAG_BYTES];
    short.copy_from_slice(&full[..TAG_BYTES]);
    short
}
