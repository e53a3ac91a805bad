//! A rate, enforced.

use crate::time::MonoMs;

/// Time over which unused tokens may be saved up.
const BURST_MS: f64 = 1_000.0;

/// Admits a number of units a second, with a second's worth in a burst.
#[derive(Debug)]
pub struct TokenBucket {
    per_second: f64,
    tokens: f64,
    filled_ms: MonoMs,
}

impl TokenBucket {
    /// A full bucket.
    #[must_use]
    pub fn new(per_second: f64, now_ms: MonoMs) -> Self {
        Self {
            per_second,
            tokens: per_second * BURST_MS / 1_000.0,
            filled_ms: now_ms,
        }
    }

    /// Changes the rate. What was saved up beyond the new burst is lost, so
    /// that a lowered share is lower at once.
    pub fn set_rate(&mut self, per_second: f64, now_ms: MonoMs) {
        self.fill(now_ms);
        self.per_second = per_second;
        self.tokens = self.tokens.min(self.most());
    }

    /// Takes one unit, or says after how many milliseconds there is one.
    ///
    /// # Errors
    ///
    /// The wait until a unit is free.
    pub fn take(&mut self, now_ms: MonoMs) -> Result<(), u64> {
        self.fill(now_ms);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(self.wait_ms(1.0))
    }

    /// Takes units that were only known afterwards, such as tokens generated;
    /// the bucket may go into debt.
    pub fn charge(&mut self, units: f64, now_ms: MonoMs) {
        self.fill(now_ms);
        self.tokens -= units;
    }

    /// After how many milliseconds the bucket is out of debt; 0 if it is.
    #[must_use]
    pub fn debt_ms(&mut self, now_ms: MonoMs) -> u64 {
        self.fill(now_ms);
        if self.tokens > 0.0 {
            return 0;
        }
        self.wait_ms(0.0).max(1)
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // clamped first
    fn wait_ms(&self, until: f64) -> u64 {
        /// Longest wait told: a lowered share may be raised before that.
        const MOST_MS: f64 = 60_000.0;
        if self.per_second <= 0.0 {
            return MOST_MS as u64;
        }
        let wait_ms = (until - self.tokens) / self.per_second * 1_000.0;
        wait_ms.ceil().clamp(1.0, MOST_MS) as u64
    }

    fn most(&self) -> f64 {
        (self.per_second * BURST_MS / 1_000.0).max(1.0)
    }

    #[allow(clippy::cast_precision_loss)] // milliseconds since the last call
    fn fill(&mut self, now_ms: MonoMs) {
        let elapsed_ms = now_ms.since(self.filled_ms) as f64;
        self.filled_ms = self.filled_ms.max(now_ms);
        let gained = self.per_second * elapsed_ms / 1_000.0;
        self.tokens = (self.tokens + gained).min(self.most());
    }
}
