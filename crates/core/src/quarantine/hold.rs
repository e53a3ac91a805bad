//! The stored hold of a request.
//!
//! Timestamps are wall-clock times, as holds outlive every process. A clock that is off by some
//! seconds shifts a trial by the same seconds, which is little compared with delays of minutes.

use std::sync::Arc;

use crate::time::{MonoMs, WallMs};

/// Delay until the first trial. A failed trial stops a group for about five seconds, so trials at
/// this interval cost it less than two parts in a hundred of its time. An innocent request waits no
/// longer than this.
pub const FIRST_TRIAL_DELAY_MS: u64 = 300_000;

/// Maximum delay between two trials: about the time that the rollout of a fixed engine takes.
const MAX_TRIAL_DELAY_MS: u64 = 3_600_000;

/// A hold expires if this time has passed since its trial was due without a run of the request.
const HOLD_RETENTION_MS: u64 = 3_600_000;

/// An exit that is later than the receipt of a hold by more than this is a failed trial. The exit
/// that led to the hold may be reported after the hold itself, but only by seconds.
const MIN_FAILED_TRIAL_AGE_MS: u64 = 5_000;

/// The kind of a hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldKind {
    /// The request is held until its next trial.
    Held,
    /// An operator holds the request until the hold is lifted.
    Pinned,
    /// An operator has lifted the hold: the exits known at that time do not count.
    Lifted,
}

/// The stored hold of a request, or the record that it was lifted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The kind of the hold.
    pub kind: HoldKind,
    /// The time at which the hold began.
    pub since: WallMs,
    /// Number of trials at which a target exited.
    pub failed_trials: u32,
    /// Exited targets that no longer count against the request.
    pub lifted: Vec<Arc<str>>,
}

impl Hold {
    /// Creates a hold that begins at `since`.
    #[must_use]
    pub fn new(kind: HoldKind, since: WallMs) -> Self {
        Self {
            kind,
            since,
            failed_trials: 0,
            lifted: Vec::new(),
        }
    }

    /// Whether this hold is later than another hold of the same request.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.since, self.failed_trials) > (other.since, other.failed_trials)
    }

    fn trial_delay_ms(&self) -> u64 {
        let doublings = self.failed_trials.min(8);
        (FIRST_TRIAL_DELAY_MS << doublings).min(MAX_TRIAL_DELAY_MS)
    }

    /// Time until the next trial; 0 once it is due.
    #[must_use]
    pub fn retry_after_ms(&self, wall_ms: WallMs) -> u64 {
        let due_ms = self.since.0.saturating_add(self.trial_delay_ms());
        // If the clock was set back, the request must not be held for longer than the trial delay.
        due_ms.saturating_sub(wall_ms.0).min(self.trial_delay_ms())
    }

    /// The hold after a trial at which a target exited at `newest_ms`; `None` if no target has
    /// exited since the hold was received.
    pub(super) fn after_failed_trial(
        &self,
        received_ms: MonoMs,
        newest_ms: MonoMs,
        wall_ms: WallMs,
    ) -> Option<Self> {
        let is_failed_trial = newest_ms.since(received_ms) > MIN_FAILED_TRIAL_AGE_MS;
        is_failed_trial.then(|| Self {
            failed_trials: self.failed_trials.saturating_add(1),
            since: wall_ms,
            ..self.clone()
        })
    }

    pub(super) fn is_expired(&self, wall_ms: WallMs) -> bool {
        let retained_ms = self.trial_delay_ms() + HOLD_RETENTION_MS;
        self.kind != HoldKind::Pinned && wall_ms.0 > self.since.0.saturating_add(retained_ms)
    }
}
