//! What is kept of a request that is held back.
//!
//! Times are wall-clock times: they outlast every process. A clock that is some seconds
//! off moves a trial by these seconds, which is little beside minutes.

use std::sync::Arc;

use crate::time::{MonoMs, WallMs};

/// Time until the first trial. A trial that fails costs a group some five seconds without
/// service, so trials at this distance cost it under two parts in a hundred; a request
/// that is innocent waits no longer.
pub const FIRST_WAIT_MS: u64 = 300_000;

/// Longest time between two trials: about as long as rolling out a mended engine takes.
const LONGEST_WAIT_MS: u64 = 3_600_000;

/// A hold is forgotten this long after a trial was due and nobody asked for it.
const FORGOTTEN_AFTER_MS: u64 = 3_600_000;

/// An end this long after a hold was learnt is that of a trial. The end that led to the
/// hold may be told later than the hold itself, but by seconds only.
const TRIAL_AFTER_MS: u64 = 5_000;

/// What a hold says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldKind {
    /// It is held until its next trial.
    Held,
    /// An operator holds it until it is lifted.
    Pinned,
    /// An operator has lifted it: the ends known then do not count.
    Lifted,
}

/// What is kept of a request that is held back, or was.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hold {
    /// What it says.
    pub kind: HoldKind,
    /// Since when.
    pub since: WallMs,
    /// Trials that ended a target.
    pub failed_trials: u32,
    /// Ended targets that do not count any more.
    pub lifted: Vec<Arc<str>>,
}

impl Hold {
    /// A hold that begins now.
    #[must_use]
    pub fn new(kind: HoldKind, since: WallMs) -> Self {
        Self {
            kind,
            since,
            failed_trials: 0,
            lifted: Vec::new(),
        }
    }

    /// Whether this one was made later than the other of the same request.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.since, self.failed_trials) > (other.since, other.failed_trials)
    }

    fn wait_ms(&self) -> u64 {
        let doublings = self.failed_trials.min(8);
        (FIRST_WAIT_MS << doublings).min(LONGEST_WAIT_MS)
    }

    /// Time until the next trial; 0 once it is due.
    #[must_use]
    pub fn retry_after_ms(&self, wall_ms: WallMs) -> u64 {
        let due_ms = self.since.0.saturating_add(self.wait_ms());
        // A clock that was set back must not hold a request for longer than it waits.
        due_ms.saturating_sub(wall_ms.0).min(self.wait_ms())
    }

    /// The hold after a trial that ended a target at `newest_ms`; `None` if there was none
    /// since it was learnt.
    pub(super) fn after_trial(
        &self,
        learnt_ms: MonoMs,
        newest_ms: MonoMs,
        wall_ms: WallMs,
    ) -> Option<Self> {
        let is_trial = newest_ms.since(learnt_ms) > TRIAL_AFTER_MS;
        is_trial.then(|| Self {
            failed_trials: self.failed_trials.saturating_add(1),
            since: wall_ms,
            ..self.clone()
        })
    }

    pub(super) fn is_forgettable(&self, wall_ms: WallMs) -> bool {
        let kept_ms = self.wait_ms() + FORGOTTEN_AFTER_MS;
        self.kind != HoldKind::Pinned && wall_ms.0 > self.since.0.saturating_add(kept_ms)
    }
}
