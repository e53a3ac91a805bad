//! The retry budget of one service at one entry, of which there may be thousands.
//!
//! A platform bounds the retries at a service over all entries: in any window of time at most a
//! ratio of its requests, and a constant more. Entries do not tell each other what they have spent,
//! so each keeps to a part of the bound that adds up:
//!
//! - It earns a part of the ratio with each of its requests.
//! - It saves at most its share of the constant, and a part of the ratio of the requests in its last
//!   window.
//! - It starts with next to nothing, since its predecessor may have spent all of its own within the
//!   same window, and gets nothing of the constant before it knows how many entries there are.
//!
//! The sum is within the bound in any window in which no entry starts more than
//! `STARTS_PER_WINDOW` times. A number of entries that is too high makes it lower.

use std::collections::VecDeque;
use std::num::NonZeroUsize;

use berylhook_core::time::MonoMs;

/// The part of the ratio that a request earns. The remainder covers what is saved, and retries that
/// reach their targets seconds after they were taken from the budget.
const EARNED_FRACTION: f64 = 0.75;

/// The part of the ratio that can be saved of the requests in the last window.
const SAVED_RATIO_FRACTION: f64 = 0.125;

/// The part of the ratio that can be saved until that is one retry: an entry with few requests would
/// never have a whole one otherwise.
const SAVED_FIRST_FRACTION: f64 = 0.25;

/// The part of the slack that all entries together can save.
const SAVED_SLACK_FRACTION: f64 = 0.5;

/// The part of the slack that all entries together can spend before they have earned anything.
const START_SLACK_FRACTION: f64 = 0.25;

/// How often an entry is expected to start within one window at most.
const STARTS_PER_WINDOW: f64 = 4.0;

/// Failed connections of one request that take nothing from the budget. They reach no target, but an
/// entry has to open them, and most targets may be gone.
const MAX_FREE_CONNECTIONS: u32 = 3;

/// Intervals into which a window is divided to count its requests.
const WINDOW_INTERVALS: u64 = 10;

/// The bound for the retries at a service over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Retries per request.
    pub ratio: f64,
    /// Length of the window in which retries and requests are counted.
    pub window_ms: u64,
    /// Retries in a window beyond the ratio.
    pub slack: f64,
}

impl Default for RetryBounds {
    /// The bound for a fleet of a few entries.
    fn default() -> Self {
        Self {
            ratio: 0.2,
            window_ms: 10_000,
            slack: 100.0,
        }
    }
}

/// The retry budget of one service at one entry.
#[derive(Debug)]
pub struct FleetRetryBudget {
    bounds: RetryBounds,
    /// The number of entries, including this one; `None` while it is not known.
    entries: Option<NonZeroUsize>,
    /// Retries that were earned and not spent.
    saved: f64,
    /// Retries that were spent before they were earned.
    spent_at_start: f64,
    requests: RecentCount,
}

impl FleetRetryBudget {
    /// Creates the budget of an entry that has just started.
    #[must_use]
    pub fn new(bounds: RetryBounds, entries: Option<NonZeroUsize>) -> Self {
        Self {
            bounds,
            entries,
            saved: 0.0,
            spent_at_start: 0.0,
            requests: RecentCount::default(),
        }
    }

    /// Changes the bounds and the number of entries.
    pub fn set_policy(&mut self, bounds: RetryBounds, entries: Option<NonZeroUsize>) {
        if bounds.window_ms != self.bounds.window_ms {
            self.requests = RecentCount::default();
        }
        self.bounds = bounds;
        self.entries = entries;
    }

    /// Records a request of a caller, whether or not it is sent to a target.
    pub fn on_request(&mut self, now_ms: MonoMs) {
        self.requests.record(self.bounds.window_ms, now_ms);
        let earned = self.saved + EARNED_FRACTION * self.bounds.ratio;
        self.saved = earned.min(self.max_saved(now_ms));
    }

    /// Takes one retry from the budget; returns whether it had one.
    pub fn try_retry(&mut self, now_ms: MonoMs) -> bool {
        self.saved = self.saved.min(self.max_saved(now_ms));
        let available = self.saved + self.start_allowance();
        if available < 1.0 {
            return false;
        }
        let from_savings = self.saved.min(1.0);
        self.saved -= from_savings;
        self.spent_at_start += 1.0 - from_savings;
        true
    }

    /// The number of retries that the budget has now.
    #[must_use]
    pub fn available(&mut self, now_ms: MonoMs) -> f64 {
        self.saved.min(self.max_saved(now_ms)) + self.start_allowance()
    }

    #[allow(clippy::cast_precision_loss)] // a few thousand entries
    fn share_of_slack(&self) -> f64 {
        let share = |entries: NonZeroUsize| self.bounds.slack / entries.get() as f64;
        self.entries.map_or(0.0, share)
    }

    fn max_saved(&mut self, now_ms: MonoMs) -> f64 {
        let requests = f64::from(self.requests.count(self.bounds.window_ms, now_ms));
        let by_ratio = self.bounds.ratio * requests;
        let saved_by_ratio =
            (SAVED_RATIO_FRACTION * by_ratio).max((SAVED_FIRST_FRACTION * by_ratio).min(1.0));
        SAVED_SLACK_FRACTION * self.share_of_slack() + saved_by_ratio
    }

    fn start_allowance(&self) -> f64 {
        let allowance = START_SLACK_FRACTION * self.share_of_slack() / STARTS_PER_WINDOW;
        (allowance - self.spent_at_start).max(0.0)
    }
}

/// What became of the sends of one request, which decides whether its next send takes a retry from
/// the budget.
///
/// The bound counts arrivals, so a send that reaches no target takes nothing. A retry that was taken
/// for such a send is used by the next one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendHistory {
    has_last_arrived: bool,
    failed_connections: u32,
}

impl SendHistory {
    /// Records a send that may have reached its target.
    pub fn on_arrived(&mut self) {
        self.has_last_arrived = true;
    }

    /// Records a send whose connection could not be opened.
    pub fn on_not_connected(&mut self) {
        self.has_last_arrived = false;
        self.failed_connections += 1;
    }

    /// Records a send that was withheld before anything was sent.
    pub fn on_withheld(&mut self) {
        self.has_last_arrived = false;
    }

    /// Whether the next send takes a retry from the budget.
    #[must_use]
    pub fn is_next_a_retry(&self) -> bool {
        self.has_last_arrived || self.failed_connections > MAX_FREE_CONNECTIONS
    }
}

/// Counts the requests of the last window.
#[derive(Debug, Default)]
struct RecentCount {
    /// The intervals with requests, in ascending order, each with its number of requests.
    intervals: VecDeque<(u64, u32)>,
    total: u32,
}

impl RecentCount {
    fn record(&mut self, window_ms: u64, now_ms: MonoMs) {
        let current = interval(window_ms, now_ms);
        match self.intervals.back_mut() {
            Some((number, count)) if *number == current => *count += 1,
            _ => self.intervals.push_back((current, 1)),
        }
        self.total += 1;
    }

    /// The number of requests within at most one window.
    fn count(&mut self, window_ms: u64, now_ms: MonoMs) -> u32 {
        let current = interval(window_ms, now_ms);
        while let Some((number, count)) = self.intervals.front().copied() {
            if number + WINDOW_INTERVALS > current {
                break;
            }
            self.intervals.pop_front();
            self.total -= count;
        }
        self.total
    }
}

fn interval(window_ms: u64, now_ms: MonoMs) -> u64 {
    now_ms.0 / (window_ms / WINDOW_INTERVALS).max(1)
}
