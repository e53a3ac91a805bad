//! Splits a `text/event-stream` body at event boundaries.
//!
//! A stream that is resumed on another target continues at an event, so only complete events are
//! forwarded. The bytes of an incomplete event are buffered until its end arrives.

use bytes::{Bytes, BytesMut};

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
    pub fn push(&mut self, chunk: &[u8]) -> Option<CompleteEvents> {
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
        (count > 0).then_some(CompleteEvents { bytes, count })
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
