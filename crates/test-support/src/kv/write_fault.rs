//! Faults of single writes, chosen by the keys that they write.

use serde_json::Value;

use super::{array, text};

/// How a write fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFault {
    /// The write has no effect, and its caller gets no response.
    RequestLost,
    /// The write takes effect, but its caller gets no response.
    ResponseLost,
    /// The write waits, and is executed once writes are released, even if its caller has given up.
    Held,
}

/// The fault of the next writes of the keys that contain a text.
#[derive(Debug)]
pub(super) struct PendingFault {
    pub(super) key_part: String,
    pub(super) fault: WriteFault,
    /// Number of writes that still fail.
    pub(super) remaining: u32,
}

impl PendingFault {
    /// The fault of the write with this body, if it is one of those that fail.
    pub(super) fn take(&mut self, body: &Value) -> Option<WriteFault> {
        let is_match = array(&body["writes"])
            .iter()
            .any(|write| text(&write["key"]).contains(&self.key_part));
        if !is_match || self.remaining == 0 {
            return None;
        }
        self.remaining -= 1;
        Some(self.fault)
    }
}
