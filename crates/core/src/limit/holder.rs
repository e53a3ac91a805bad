//! The holder's side of a share.

use crate::time::MonoMs;

/// A home's answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantedShare {
    /// The home's epoch; a higher one supersedes.
    pub epoch: u64,
    /// The question's number, to tell a late answer.
    pub request_seq: u64,
    /// How much the holder may use.
    pub share: f64,
    /// For how long, counted from when the holder asked.
    pub valid_ms: u64,
}

/// One process's share of one limit.
#[derive(Debug, Default)]
pub struct ShareHolder {
    epoch: u64,
    share: f64,
    until_ms: MonoMs,
    asked: u64,
    asked_ms: MonoMs,
    confirmed: u64,
}

impl ShareHolder {
    /// A holder with no share.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// What may be used now.
    #[must_use]
    pub fn share(&self, now_ms: MonoMs) -> f64 {
        if now_ms < self.until_ms {
            self.share
        } else {
            0.0
        }
    }

    /// A question is sent; gives its number.
    pub fn begin_request(&mut self, now_ms: MonoMs) -> u64 {
        self.asked += 1;
        self.asked_ms = now_ms;
        self.asked
    }

    /// Number of the last question whose answer arrived; 0 for none.
    #[must_use]
    pub fn confirmed_seq(&self) -> u64 {
        self.confirmed
    }

    /// Takes an answer. One to an earlier question is dropped: its time is
    /// counted from a moment that is no longer known.
    pub fn on_grant(&mut self, grant: &GrantedShare) {
        if grant.request_seq != self.asked || grant.epoch < self.epoch {
            return;
        }
        self.epoch = grant.epoch;
        self.confirmed = grant.request_seq;
        self.share = grant.share;
        self.until_ms = self.asked_ms + grant.valid_ms;
    }
}
