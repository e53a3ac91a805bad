//! The rank's side, in the agent beside its engine.
//!
//! The agent alone gives its engine orders. It refuses lower fencing numbers
//! itself, so an engine that ignores them is fenced all the same.

use super::{Attempt, Fence, FromRank, MapVersion, Step, ToRank};

/// The state of one rank within one incarnation of its group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank {
    fence: Fence,
    active: MapVersion,
    staged: Option<MapVersion>,
    next: Step,
    held: Option<Attempt>,
    /// A switch that is decided; it is made when its step begins.
    decided: Option<Attempt>,
    /// The last attempt that this rank heard was decided.
    last_decided: Option<Attempt>,
    /// The highest attempt this rank has promised never to hold for.
    denied: Option<Attempt>,
}

impl Rank {
    /// A rank of a group that forms with the recorded map.
    #[must_use]
    pub fn formed(recorded: MapVersion) -> Self {
        Self {
            fence: Fence(0),
            active: recorded,
            staged: None,
            next: Step(0),
            held: None,
            decided: None,
            last_decided: None,
            denied: None,
        }
    }

    /// The map in use.
    #[must_use]
    pub fn active(&self) -> MapVersion {
        self.active
    }

    /// The map this rank is bound to use, now or from a decided step on.
    fn bound_to(&self) -> MapVersion {
        self.decided.map_or(self.active, |attempt| attempt.version)
    }

    /// The next step to begin.
    #[must_use]
    pub fn next(&self) -> Step {
        self.next
    }

    /// The attempt held for, if any.
    #[must_use]
    pub fn held(&self) -> Option<Attempt> {
        self.held
    }

    /// Whether this rank will never hold for `attempt`, now or later.
    #[must_use]
    pub fn has_denied(&self, attempt: Attempt) -> bool {
        self.denied.is_some_and(|denied| attempt <= denied)
    }

    /// Whether the engine may begin its next step now.
    #[must_use]
    pub fn may_begin(&self) -> bool {
        self.held.is_none_or(|attempt| self.next < attempt.step)
    }

    /// The engine begins its next step; gives the map it uses in it.
    ///
    /// Only to be called while [`Rank::may_begin`] holds.
    ///
    /// A rank may hear of the decision while it is still some steps behind.
    /// Those steps belong to the old map: others may have begun them already.
    pub fn begin(&mut self) -> MapVersion {
        if let Some(attempt) = self.decided.filter(|attempt| attempt.step <= self.next) {
            self.active = attempt.version;
            self.staged = None;
            self.decided = None;
        }
        self.next.0 += 1;
        self.active
    }

    /// Takes a message and gives the answer, if there is one.
    pub fn on(&mut self, message: ToRank) -> Option<FromRank> {
        match message {
            ToRank::Query(fence) if fence < self.fence => Some(FromRank::Fenced(self.fence)),
            ToRank::Query(fence) => Some(self.query(fence)),
            ToRank::Stage(fence, _) if fence < self.fence => Some(FromRank::Fenced(self.fence)),
            ToRank::Stage(fence, version) => self.stage(fence, version),
            ToRank::Hold(attempt) if attempt.fence < self.fence => {
                Some(FromRank::Fenced(self.fence))
            }
            ToRank::Hold(attempt) => Some(self.hold(attempt)),
            ToRank::Activate(attempt) => self.activate(attempt),
            ToRank::Ask(attempt) => Some(self.ask(attempt)),
            ToRank::Release(attempt) => {
                self.release(attempt);
                None
            }
        }
    }

    fn query(&mut self, fence: Fence) -> FromRank {
        self.fence = fence;
        FromRank::State {
            fence,
            active: self.bound_to(),
            next: self.next,
            held: self.held,
        }
    }

    /// While a decided switch has yet to be made, its weights must stay; the
    /// order is repeated until they need not.
    fn stage(&mut self, fence: Fence, version: MapVersion) -> Option<FromRank> {
        self.fence = fence;
        if self.decided.is_some() {
            return None;
        }
        if version > self.active {
            self.staged = Some(version);
        }
        Some(FromRank::Staged(fence, version))
    }

    fn hold(&mut self, attempt: Attempt) -> FromRank {
        self.fence = attempt.fence;
        let is_denied = self.has_denied(attempt);
        // A rank that already holds for an earlier attempt may only move to a
        // later one of the *same or a higher* controller, who has fenced off
        // whoever might have decided the earlier one.
        let is_older = self.held.is_some_and(|held| attempt < held);
        let is_staged = self.staged == Some(attempt.version);
        let is_ahead = self.next <= attempt.step;
        // While a decided switch has yet to be made, a late copy of an older
        // order must not make the rank hold, and switch, a second time.
        let is_bound = self.decided.is_some();
        if is_denied || is_older || is_bound || !is_staged || !is_ahead {
            // Also a promise: a copy of the order that arrives later must not
            // find this rank able to hold after all.
            self.denied = self.denied.max(Some(attempt));
            return FromRank::CannotHold(attempt, self.next);
        }
        self.held = Some(attempt);
        FromRank::Held(attempt)
    }

    /// The order is only obeyed for the very attempt this rank holds for, so
    /// one that was delayed past its switch does nothing.
    fn activate(&mut self, attempt: Attempt) -> Option<FromRank> {
        if self.held == Some(attempt) {
            self.held = None;
            self.decided = Some(attempt);
            self.last_decided = Some(attempt);
        }
        let is_done = self.bound_to() >= attempt.version;
        is_done.then_some(FromRank::Activated(attempt))
    }

    /// "Activated" is said of the very attempt only. Having switched to the
    /// same map by a later attempt proves that this one was never decided.
    fn ask(&mut self, attempt: Attempt) -> FromRank {
        match self.held {
            _ if self.last_decided == Some(attempt) => FromRank::Activated(attempt),
            Some(held) if held == attempt => FromRank::Held(attempt),
            _ => {
                self.denied = self.denied.max(Some(attempt));
                FromRank::Denied(attempt)
            }
        }
    }

    fn release(&mut self, attempt: Attempt) {
        if self.held == Some(attempt) {
            self.held = None;
            self.denied = self.denied.max(Some(attempt));
        }
    }
}
