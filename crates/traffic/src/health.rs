//! Ejects targets whose recent requests failed.
//!
//! A target can fail its requests while its health checks succeed, so only the outcomes of the
//! requests sent to it count. A target whose recent requests failed is ejected for a while, then
//! tried again with one request at a time. Ejection is advice: if every target of a service is
//! ejected, all are used, as an unhealthy target may still respond and is better than none.

use berylhook_core::time::MonoMs;

/// Consecutive failures after which a target is ejected.
///
/// Single failures are common even at a healthy target; two in a row are not, at a failure rate of
/// one in a hundred.
const FAILURES_TO_EJECT: u32 = 2;

/// Duration of the first ejection.
const MIN_EJECTION_MS: u64 = 500;

/// Longest duration of an ejection, so that the recovery of a target is noticed within a few
/// seconds.
const MAX_EJECTION_MS: u64 = 4_000;

/// What the outcome of one request shows about its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSample {
    /// The target responded.
    Success,
    /// The target did not respond, or the response was broken.
    Failure,
}

/// The health of one target.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: u32,
    ejected_until_ms: MonoMs,
}

impl Health {
    /// Records the outcome of a request to the target.
    pub fn record(&mut self, sample: HealthSample, now_ms: MonoMs) {
        match sample {
            HealthSample::Success => *self = Self::default(),
            HealthSample::Failure => {
                self.failures = self.failures.saturating_add(1);
                self.ejected_until_ms = now_ms + self.ejection_ms();
            }
        }
    }

    fn ejection_ms(&self) -> u64 {
        match self.failures.checked_sub(FAILURES_TO_EJECT) {
            None => 0,
            Some(doublings) => (MIN_EJECTION_MS << doublings.min(8)).min(MAX_EJECTION_MS),
        }
    }

    /// Whether the target should get no requests now.
    #[must_use]
    pub fn is_ejected(&self, now_ms: MonoMs) -> bool {
        now_ms < self.ejected_until_ms
    }

    /// Whether the target's next request is a trial, so that it should be the only one.
    #[must_use]
    pub fn is_on_trial(&self) -> bool {
        self.failures >= FAILURES_TO_EJECT
    }
}
