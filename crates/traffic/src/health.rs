//! Which targets are avoided because of what came of their requests.
//!
//! A target can fail its requests while its health answers are good. What
//! became of the requests sent to it is the only evidence that counts. A
//! target whose recent requests failed is avoided for a while, then tried
//! again with one request at a time. Avoidance is advice: where every target
//! of a service is avoided, all are used, since a bad target may still answer
//! and no target never does.

use berylhook_core::time::MonoMs;

/// Failures in a row after which a target is avoided.
///
/// One failure is common even at a sound target; two in a row at a failure
/// rate of one in a hundred are not.
const FAILURES_TO_AVOID: u32 = 2;

/// First time a target is avoided for.
const FIRST_AVOID_MS: u64 = 500;

/// Longest time a target is avoided for, so that one that has recovered is
/// found within a few seconds.
const LONGEST_AVOID_MS: u64 = 4_000;

/// What one request says of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSample {
    /// It was answered.
    Success,
    /// It was not answered, or the answer was broken.
    Failure,
}

/// What is known of one target.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: u32,
    avoid_until_ms: MonoMs,
}

impl Health {
    /// A request to the target ended.
    pub fn record(&mut self, evidence: HealthSample, now_ms: MonoMs) {
        match evidence {
            HealthSample::Success => *self = Self::default(),
            HealthSample::Failure => {
                self.failures = self.failures.saturating_add(1);
                self.avoid_until_ms = now_ms + self.avoid_ms();
            }
        }
    }

    fn avoid_ms(&self) -> u64 {
        match self.failures.checked_sub(FAILURES_TO_AVOID) {
            None => 0,
            Some(doublings) => (FIRST_AVOID_MS << doublings.min(8)).min(LONGEST_AVOID_MS),
        }
    }

    /// Whether the target is better left alone now.
    #[must_use]
    pub fn is_ejected(&self, now_ms: MonoMs) -> bool {
        now_ms < self.avoid_until_ms
    }

    /// Whether its next request is a trial, so that only one should run.
    #[must_use]
    pub fn is_on_trial(&self) -> bool {
        self.failures >= FAILURES_TO_AVOID
    }
}
