//! A process's side of its share of a limit.

use crate::time::MonoMs;

/// The home's reply to a [`ShareRequest`](super::ShareRequest).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantedShare {
    /// The home's epoch; grants of a lower epoch are ignored.
    pub epoch: u64,
    /// Sequence number of the request, to detect late replies.
    pub request_seq: u64,
    /// How much of the limit the holder may use.
    pub share: f64,
    /// How long the share is valid, counted from when the holder sent the request.
    pub valid_ms: u64,
}

/// One process's share of one limit.
#[derive(Debug, Default)]
pub struct ShareHolder {
    epoch: u64,
    share: f64,
    valid_until_ms: MonoMs,
    last_request_seq: u64,
    last_request_ms: MonoMs,
    confirmed_seq: u64,
}

impl ShareHolder {
    /// Creates a holder without a share.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how much of the limit this process may use now.
    #[must_use]
    pub fn share(&self, now_ms: MonoMs) -> f64 {
        if now_ms < self.valid_until_ms {
            self.share
        } else {
            0.0
        }
    }

    /// Records that a request is sent, and returns its sequence number.
    pub fn begin_request(&mut self, now_ms: MonoMs) -> u64 {
        self.last_request_seq += 1;
        self.last_request_ms = now_ms;
        self.last_request_seq
    }

    /// Sequence number of the last request whose reply arrived; 0 if there is none.
    #[must_use]
    pub fn confirmed_seq(&self) -> u64 {
        self.confirmed_seq
    }

    /// Applies the home's reply. A reply to an earlier request is dropped: its validity
    /// counts from the time of that request, which is no longer known.
    pub fn on_grant(&mut self, grant: &GrantedShare) {
        if grant.request_seq != self.last_request_seq || grant.epoch < self.epoch {
            return;
        }
        self.epoch = grant.epoch;
        self.confirmed_seq = grant.request_seq;
        self.share = grant.share;
        self.valid_until_ms = self.last_request_ms + grant.valid_ms;
    }
}
