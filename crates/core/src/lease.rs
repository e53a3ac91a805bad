//! When the holder of a lease may still act on it.
//!
//! The key-value service counts a lease's time from when a renewal *arrived*;
//! the holder counts from when it *sent* the renewal, on its own monotonic
//! clock, and gives up a margin early. The holder's right therefore always
//! ends before the service lets anyone else in, whatever was delayed or lost,
//! as long as the two clocks run at the same speed to within the margin.
//!
//! A holder that was paused finds its right lapsed at the first check after
//! it wakes. A check followed by a pause is the caller's matter: see
//! [`crate::ledger`] for why that is safe for keyed requests.

use crate::time::MonoMs;

/// Clock speeds are assumed equal to within one part in this many.
const DRIFT_PARTS: u64 = 50;

/// One lease as its holder sees it.
#[derive(Clone, Copy, Debug)]
pub struct HeldLease {
    ttl_ms: u64,
    valid_until_ms: MonoMs,
}

impl HeldLease {
    /// A lease granted in answer to a call sent at `sent_ms`.
    #[must_use]
    pub fn granted(ttl_ms: u64, sent_ms: MonoMs) -> Self {
        let mut lease = Self {
            ttl_ms,
            valid_until_ms: MonoMs(0),
        };
        lease.on_renewed(sent_ms);
        lease
    }

    /// A renewal sent at `sent_ms` was confirmed.
    ///
    /// A confirmation of an older renewal that arrives late extends nothing.
    pub fn on_renewed(&mut self, sent_ms: MonoMs) {
        let margin_ms = self.ttl_ms / DRIFT_PARTS + 1;
        let until_ms = sent_ms + self.ttl_ms.saturating_sub(margin_ms);
        self.valid_until_ms = self.valid_until_ms.max(until_ms);
    }

    /// The end of the holder's right, unless it is renewed.
    #[must_use]
    pub fn valid_until_ms(&self) -> MonoMs {
        self.valid_until_ms
    }

    /// Whether the holder may still act.
    #[must_use]
    pub fn is_valid(&self, now_ms: MonoMs) -> bool {
        now_ms < self.valid_until_ms
    }

    /// Whether a renewal is due: a third of the time to live has passed.
    #[must_use]
    pub fn should_renew(&self, now_ms: MonoMs) -> bool {
        self.valid_until_ms.since(now_ms) <= self.ttl_ms * 2 / 3
    }
}
