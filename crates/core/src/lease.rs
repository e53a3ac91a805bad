//! A lease as its holder sees it.
//!
//! The key-value service counts a lease's time to live from when a renewal
//! *arrived*. The holder counts from when it *sent* the renewal, on its own
//! monotonic clock, and treats the lease as expired a margin earlier. The
//! lease therefore always ends at the holder before the service grants it to
//! another process, whatever messages were delayed or lost, as long as the
//! rates of the two clocks differ by no more than the margin.
//!
//! A holder whose process was paused sees the lease as expired at the first
//! check after the pause. A pause between a check and the action that relies
//! on it is not covered here: see [`crate::ledger`] for why that is safe for
//! requests with an idempotency key.

use crate::time::MonoMs;

/// The rates of two clocks are assumed to differ by at most one part in this many.
const DRIFT_PARTS: u64 = 50;

/// A lease and the time until which its holder may act on it.
#[derive(Clone, Copy, Debug)]
pub struct HeldLease {
    ttl_ms: u64,
    valid_until_ms: MonoMs,
}

impl HeldLease {
    /// Creates the state of a lease granted in reply to a call sent at `sent_ms`.
    #[must_use]
    pub fn granted(ttl_ms: u64, sent_ms: MonoMs) -> Self {
        let mut lease = Self {
            ttl_ms,
            valid_until_ms: MonoMs(0),
        };
        lease.on_renewed(sent_ms);
        lease
    }

    /// Extends the lease after the service confirmed a renewal sent at `sent_ms`.
    ///
    /// A late confirmation of an older renewal has no effect.
    pub fn on_renewed(&mut self, sent_ms: MonoMs) {
        let margin_ms = self.ttl_ms / DRIFT_PARTS + 1;
        let until_ms = sent_ms + self.ttl_ms.saturating_sub(margin_ms);
        self.valid_until_ms = self.valid_until_ms.max(until_ms);
    }

    /// Returns when the lease ends for its holder unless it is renewed.
    #[must_use]
    pub fn valid_until_ms(&self) -> MonoMs {
        self.valid_until_ms
    }

    /// Whether the holder may still act on the lease.
    #[must_use]
    pub fn is_valid(&self, now_ms: MonoMs) -> bool {
        now_ms < self.valid_until_ms
    }

    /// Whether a renewal is due: at least a third of the time to live has passed.
    #[must_use]
    pub fn should_renew(&self, now_ms: MonoMs) -> bool {
        self.valid_until_ms.since(now_ms) <= self.ttl_ms * 2 / 3
    }
}
