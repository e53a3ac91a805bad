//! Whether a retry is still affordable.
//!
//! When targets fail, every request wants a retry, and the load doubles just
//! when there is least capacity. The budget lets retries be a fixed share of
//! first attempts, plus a small reserve so that a quiet entry can retry too.

use crate::attempt::Verdict;
use crate::outcome::{Outcome, Refusal};

/// Retries an idle entry may make at once.
const RESERVE_RETRIES: f64 = 10.0;

/// The retries one catalogue entry can afford at present.
#[derive(Debug)]
pub struct RetryBudget {
    per_attempt: f64,
    tokens: f64,
}

impl RetryBudget {
    /// A budget of `percent` retries per hundred first attempts; with 0 there
    /// is no retry at all, not even from the reserve.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        let mut budget = Self {
            per_attempt: 0.0,
            tokens: RESERVE_RETRIES,
        };
        budget.set_percent(percent);
        budget
    }

    /// Changes the share; what was saved up stays unless retries are off.
    pub fn set_percent(&mut self, percent: u32) {
        self.per_attempt = f64::from(percent) / 100.0;
        if percent == 0 {
            self.tokens = 0.0;
        }
    }

    /// A first attempt was made.
    pub fn on_attempt(&mut self) {
        self.tokens = (self.tokens + self.per_attempt).min(RESERVE_RETRIES);
    }

    /// Takes a retry out of the budget if there is one.
    pub fn try_retry(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// What to do after an attempt that brought no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again, at another target if there is one.
    Retry,
    /// Tell the caller.
    ReportToCaller,
}

/// Attempts at most for one request, whatever the budget holds.
const MAX_ATTEMPTS: u32 = 4;

/// Decides whether a request whose attempt ended with `verdict` may be tried
/// again.
///
/// Once a byte has reached the caller, a second run would splice two answers
/// together. Before that, a request that did not run may always be retried,
/// and one that may have run only if running it twice does no harm.
pub fn decide(
    verdict: Verdict,
    safe_to_repeat: bool,
    attempts: u32,
    budget: &mut RetryBudget,
) -> RetryDecision {
    let helps = verdict.refusal.is_none_or(Refusal::is_retryable_elsewhere);
    match verdict.outcome {
        Outcome::Done => RetryDecision::ReportToCaller,
        _ if verdict.begun || attempts >= MAX_ATTEMPTS || !helps => RetryDecision::ReportToCaller,
        Outcome::Unknown if !safe_to_repeat => RetryDecision::ReportToCaller,
        Outcome::NotRun | Outcome::Unknown if budget.try_retry() => RetryDecision::Retry,
        Outcome::NotRun | Outcome::Unknown => RetryDecision::ReportToCaller,
    }
}
