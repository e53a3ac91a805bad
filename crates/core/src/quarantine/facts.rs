//! What entries tell each other of ended targets.

use std::sync::Arc;

use crate::digest::RequestDigest;
use crate::time::MonoMs;

/// A target ended, and these requests with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetExit {
    /// The target's incarnation.
    pub target: Arc<str>,
    /// When it was noticed.
    pub at_ms: MonoMs,
    /// The requests that ran or waited there.
    pub suspects: Vec<Suspect>,
}

/// A request that was at a target when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// The request.
    pub digest: RequestDigest,
    /// Whether it was suspected before and ran as the only one of its kind.
    pub ran_alone: bool,
}

/// A target has outlived a run of a request that is suspected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SurvivedRun {
    /// The request.
    pub digest: RequestDigest,
    /// Names the run: one that is told twice counts once.
    pub run: Arc<str>,
    /// When the run ended.
    pub at_ms: MonoMs,
}

/// Facts, at a moment by their holder's clock.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Facts {
    /// Targets that ended.
    pub exits: Vec<TargetExit>,
    /// Runs that targets outlived.
    pub survived_runs: Vec<SurvivedRun>,
    /// The holder's clock: readings of two processes cannot be compared, ages can.
    pub now_ms: MonoMs,
}

impl Facts {
    /// Facts at `now_ms`.
    #[must_use]
    pub fn new(exits: Vec<TargetExit>, survived_runs: Vec<SurvivedRun>, now_ms: MonoMs) -> Self {
        Self {
            exits,
            survived_runs,
            now_ms,
        }
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.exits.is_empty() && self.survived_runs.is_empty()
    }

    /// The same facts by the clock of a process that reads `now_ms` at this moment.
    #[must_use]
    pub fn rebased_to(mut self, now_ms: MonoMs) -> Self {
        let told_ms = self.now_ms;
        let shift = |at_ms: MonoMs| MonoMs(now_ms.0.saturating_sub(told_ms.since(at_ms)));
        for end in &mut self.exits {
            end.at_ms = shift(end.at_ms);
        }
        for outlived in &mut self.survived_runs {
            outlived.at_ms = shift(outlived.at_ms);
        }
        self.now_ms = now_ms;
        self
    }
}
