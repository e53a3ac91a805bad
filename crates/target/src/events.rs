//! Splits a `text/event-stream` body at event boundaries.
//!
//! A stream that is resumed on another target continues at an event, so only complete events are
//! forwarded. The bytes of an incomplete event are buffered until its end arrives.

use bytes::{Bytes, BytesMut};

/// Largest event, so that a target that never ends one does not fill the memory. Targets send some
/// hundred bytes an event; a thousand streams at the limit take half of an entry's memory.
pub const MAX_EVENT_BYTES: usize = 128 << 10;

/// An event is longer than [`MAX_EVENT_BYTES`]; the stream cannot be continued from this target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event of the stream is longer than {MAX_EVENT_BYTES} bytes; check the target's engine")]
pub struct EventTooLong;

/// Consecutive complete events from the stream.
#[derive(Debug, PartialEq, Eq)]
pub struct CompleteEvents {
    /// Bytes of the events, with the blank lines that end them.
    pub bytes: Bytes,
    /// Number of events.
    pub count: u32,
}

/// Buffers chunks of a stream and returns the complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    scanned_bytes: usize,
}

impl EventSplitter {
    /// Adds a chunk and returns the events that are complete now, if any.
    ///
    /// # Errors
    ///
    /// If no event is complete and the last one is too long.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Option<CompleteEvents>, EventTooLong> {
        self.pending.extend_from_slice(chunk);
        let mut complete_bytes = 0;
        let mut count = 0;
        // A blank line may span two chunks, so scanning resumes up to 3 bytes earlier.
        let mut index = self.scanned_bytes.saturating_sub(3);
        while index < self.pending.len() {
            match boundary_len(&self.pending[index..]) {
                Some(length) => {
                    index += length;
                    complete_bytes = index;
                    count += 1;
                }
                None => index += 1,
            }
        }
        let bytes = self.pending.split_to(complete_bytes).freeze();
        self.scanned_bytes = self.pending.len();
        if count == 0 && self.pending.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok((count > 0).then_some(CompleteEvents { bytes, count }))
    }

    /// Returns the bytes of an incomplete event when the stream has ended.
    #[must_use]
    pub fn into_remainder(self) -> Bytes {
        self.pending.freeze()
    }
}

/// Returns the length of the event boundary (line end and blank line) at the start of `bytes`.
fn boundary_len(bytes: &[u8]) -> Option<usize> {
    match bytes {
        [b'\n', b'\n', ..] => Some(2),
        [b'\r', b'\n', b'\r', b'\n', ..] => Some(4),
        _ => None,
    }
}
