//! A token bucket that enforces a rate.

use crate::time::MonoMs;

/// Time over which unused tokens may accumulate.
const BURST_MS: f64 = 1_000.0;

/// Admits a number of units per second, with bursts of up to one second's worth.
#[derive(Debug)]
pub struct TokenBucket {
    per_second: f64,
    tokens: f64,
    refilled_ms: MonoMs,
}

impl TokenBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(per_second: f64, now_ms: MonoMs) -> Self {
        Self {
            per_second,
            tokens: per_second * BURST_MS / 1_000.0,
            refilled_ms: now_ms,
        }
    }

    /// Changes the rate. Tokens beyond the new burst size are dropped, so that a
    /// lowered share takes effect at once.
    pub fn set_rate(&mut self, per_second: f64, now_ms: MonoMs) {
        self.refill(now_ms);
        self.per_second = per_second;
        self.tokens = self.tokens.min(self.max_tokens());
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// If there is no token, returns the time in milliseconds until there is one.
    pub fn take(&mut self, now_ms: MonoMs) -> Result<(), u64> {
        self.refill(now_ms);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(self.wait_ms(1.0))
    }

    /// Takes a number of tokens that became known only after the work was done, such
    /// as the length of a generated text; the bucket may go into debt.
    pub fn charge(&mut self, units: f64, now_ms: MonoMs) {
        self.refill(now_ms);
        self.tokens -= units;
    }

    /// Returns the time in milliseconds until the bucket is out of debt, or 0 if it has none.
    #[must_use]
    pub fn debt_ms(&mut self, now_ms: MonoMs) -> u64 {
        self.refill(now_ms);
        if self.tokens > 0.0 {
            return 0;
        }
        self.wait_ms(0.0).max(1)
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // clamped, positive
    fn wait_ms(&self, target_tokens: f64) -> u64 {
        /// Longest wait returned; a lowered share may be raised again before that.
        const MAX_WAIT_MS: f64 = 60_000.0;
        if self.per_second <= 0.0 {
            return MAX_WAIT_MS as u64;
        }
        let wait_ms = (target_tokens - self.tokens) / self.per_second * 1_000.0;
        wait_ms.ceil().clamp(1.0, MAX_WAIT_MS) as u64
    }

    fn max_tokens(&self) -> f64 {
        (self.per_second * BURST_MS / 1_000.0).max(1.0)
    }

    #[allow(clippy::cast_precision_loss)] // short durations are exact in an f64
    fn refill(&mut self, now_ms: MonoMs) {
        let elapsed_ms = now_ms.since(self.refilled_ms) as f64;
        self.refilled_ms = self.refilled_ms.max(now_ms);
        let gained = self.per_second * elapsed_ms / 1_000.0;
        self.tokens = (self.tokens + gained).min(self.max_tokens());
    }
}
