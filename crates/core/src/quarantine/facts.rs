//! The facts that entries exchange about exited targets.

use std::sync::Arc;

use crate::digest::RequestDigest;
use crate::time::MonoMs;

/// A target exited while it ran these requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetExit {
    /// The name of the target's incarnation.
    pub target: Arc<str>,
    /// The time at which the exit was detected.
    pub at_ms: MonoMs,
    /// The requests that were running or queued at the target.
    pub suspects: Vec<Suspect>,
}

/// A request that was running or queued at a target when the target exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// The digest of the request's content.
    pub digest: RequestDigest,
    /// Whether the request was already suspected and held a lock, so that no other copy of it was
    /// running.
    pub ran_alone: bool,
}

/// A target has survived a run of a suspected request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SurvivedRun {
    /// The digest of the request's content.
    pub digest: RequestDigest,
    /// The unique name of the run, by which duplicate reports are recognized.
    pub run: Arc<str>,
    /// The time at which the run ended.
    pub at_ms: MonoMs,
}

/// Facts with timestamps of the sender's clock.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Facts {
    /// Targets that exited.
    pub exits: Vec<TargetExit>,
    /// Runs of suspects that the target survived.
    pub survived_runs: Vec<SurvivedRun>,
    /// The sender's clock when the facts were sent. Clocks of two processes cannot be compared, but
    /// ages relative to this time can.
    pub now_ms: MonoMs,
}

impl Facts {
    /// Creates facts whose timestamps are relative to a clock that reads `now_ms`.
    #[must_use]
    pub fn new(exits: Vec<TargetExit>, survived_runs: Vec<SurvivedRun>, now_ms: MonoMs) -> Self {
        Self {
            exits,
            survived_runs,
            now_ms,
        }
    }

    /// Whether there are no facts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.exits.is_empty() && self.survived_runs.is_empty()
    }

    /// Converts the timestamps to the clock of a process that reads `now_ms` at this moment.
    #[must_use]
    pub fn rebased_to(mut self, now_ms: MonoMs) -> Self {
        let sender_now_ms = self.now_ms;
        let shift = |at_ms: MonoMs| MonoMs(now_ms.0.saturating_sub(sender_now_ms.since(at_ms)));
        for exit in &mut self.exits {
            exit.at_ms = shift(exit.at_ms);
        }
        for survived in &mut self.survived_runs {
            survived.at_ms = shift(survived.at_ms);
        }
        self.now_ms = now_ms;
        self
    }
}
