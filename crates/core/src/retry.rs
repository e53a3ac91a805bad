//! Retry decisions within a retry budget.
//!
//! When targets fail and every request is retried, the load doubles just when
//! there is least capacity. The budget limits retries to a fixed percentage of
//! first attempts, plus a small reserve so that retries are also possible when
//! there are few requests.

use crate::attempt::Verdict;
use crate::outcome::{Outcome, Refusal};

/// Most retries that the budget can accumulate.
const RESERVE_RETRIES: f64 = 10.0;

/// The retry budget of one service, as a token bucket filled by first attempts.
#[derive(Debug)]
pub struct RetryBudget {
    tokens_per_attempt: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries per hundred first attempts. With 0,
    /// no retry is allowed, not even from the reserve.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        let mut budget = Self {
            tokens_per_attempt: 0.0,
            tokens: RESERVE_RETRIES,
        };
        budget.set_percent(percent);
        budget
    }

    /// Changes the percentage. Accumulated tokens are kept unless it is 0.
    pub fn set_percent(&mut self, percent: u32) {
        self.tokens_per_attempt = f64::from(percent) / 100.0;
        if percent == 0 {
            self.tokens = 0.0;
        }
    }

    /// Records a first attempt, which adds to the budget.
    pub fn on_attempt(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_attempt).min(RESERVE_RETRIES);
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn try_retry(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// What to do after an attempt without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry, at another target if there is one.
    Retry,
    /// Report the outcome to the caller.
    ReportToCaller,
}

/// Maximum number of attempts per request, whatever the budget allows.
const MAX_ATTEMPTS: u32 = 4;

/// Decides whether a request is retried after an attempt that ended with `verdict`.
///
/// Once a byte has reached the caller, a retry would splice two responses together.
/// Before that, a request that did not run may be retried within the budget, and a
/// request that may have run only if it is safe to repeat.
pub fn decide(
    verdict: Verdict,
    safe_to_repeat: bool,
    attempts: u32,
    budget: &mut RetryBudget,
) -> RetryDecision {
    let is_retryable = verdict.refusal.is_none_or(Refusal::is_retryable_elsewhere);
    match verdict.outcome {
        Outcome::Done => RetryDecision::ReportToCaller,
        _ if verdict.begun || attempts >= MAX_ATTEMPTS || !is_retryable => {
            RetryDecision::ReportToCaller
        }
        Outcome::Unknown if !safe_to_repeat => RetryDecision::ReportToCaller,
        Outcome::NotRun | Outcome::Unknown if budget.try_retry() => RetryDecision::Retry,
        Outcome::NotRun | Outcome::Unknown => RetryDecision::ReportToCaller,
    }
}
