//! Cuts a `text/event-stream` body at event borders.
//!
//! An answer that is resumed elsewhere continues at an event, so only whole
//! events are passed on. Bytes of an unfinished event wait here.

use bytes::{Bytes, BytesMut};

/// Whole events cut from the stream.
#[derive(Debug, PartialEq, Eq)]
pub struct CompleteEvents {
    /// The events with their blank lines.
    pub bytes: Bytes,
    /// How many there are.
    pub count: u32,
}

/// Collects chunks and gives out whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Adds a chunk; gives the events that are whole now, if any.
    pub fn push(&mut self, chunk: &[u8]) -> Option<CompleteEvents> {
        self.pending.extend_from_slice(chunk);
        let mut end = 0;
        let mut count = 0;
        // The border may straddle two chunks, so step back over one line end.
        let mut at = self.scanned.saturating_sub(3);
        while at < self.pending.len() {
            match border(&self.pending[at..]) {
                Some(length) => {
                    at += length;
                    end = at;
                    count += 1;
                }
                None => at += 1,
            }
        }
        let bytes = self.pending.split_to(end).freeze();
        self.scanned = self.pending.len();
        (count > 0).then_some(CompleteEvents { bytes, count })
    }

    /// What is left when the stream ends.
    #[must_use]
    pub fn into_remainder(self) -> Bytes {
        self.pending.freeze()
    }
}

/// Length of the blank line that starts here, if one does.
fn border(bytes: &[u8]) -> Option<usize> {
    match bytes {
        [b'\n', b'\n', ..] => Some(2),
        [b'\r', b'\n', b'\r', b'\n', ..] => Some(4),
        _ => None,
    }
}
