//! One map in every step.
//!
//! A switch from one map to the next goes through these messages, all of
//! which may be lost, delayed and delivered in any order:
//!
//! 1. *Query*: a controller with a fresh fencing number asks every rank for
//!    its state. From then on the rank refuses lower numbers.
//! 2. *Stage*: every rank loads the new map's weights beside the old ones.
//! 3. *Record*: the new version becomes the group's recorded one, by
//!    compare-and-swap under the fencing number. A group that has to form
//!    anew does so with the recorded map, so a switch never reverts.
//! 4. *Hold*: every rank agrees not to begin step S. A rank that is already
//!    past it says so, and a later S is tried. Nothing switches until every
//!    rank holds before the *same* step.
//! 5. *Activate*: every rank switches and begins step S with the new map.
//!
//! Once all ranks hold before S the switch is decided: whoever can show that
//! may carry it out. If the controller dies, ranks that hold ask the others
//! ([`Ask`](ToRank::Ask)). If all hold, they switch; if one does not, it
//! promises never to hold in this attempt, which makes it impossible for
//! anybody to have decided, and the ranks that hold go on with the old map.
//! Neither way needs the key-value service, so its outage stalls no group.
//!
//! A rank whose process restarts without memory cannot keep a promise it has
//! forgotten. Its group forms anew under a new incarnation, with the recorded
//! map, and messages of the former incarnation are refused.

mod controller;
mod rank;
mod termination;

pub use controller::{Command, Controller, ControllerEvent};
pub use rank::Rank;
pub use termination::{Termination, TerminationCommand};

/// A version of a group's expert map; only ever grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MapVersion(pub u64);

/// A step of a group's incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Step(pub u64);

/// A controller's fencing number, from the key-value service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fence(pub u64);

/// One try to hold all ranks before the same step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt {
    /// Who tries.
    pub fence: Fence,
    /// The step before which all shall hold.
    pub step: Step,
    /// The map to switch to.
    pub version: MapVersion,
}

/// To a rank's agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ToRank {
    /// Tell your state, and refuse lower fencing numbers from now on.
    Query(Fence),
    /// Load this map's weights.
    Stage(Fence, MapVersion),
    /// Do not begin the attempt's step.
    Hold(Attempt),
    /// All hold: switch and go on.
    Activate(Attempt),
    /// From a rank that holds: do you hold too?
    Ask(Attempt),
    /// The attempt can never be decided: go on with the old map.
    Release(Attempt),
}

/// From a rank's agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FromRank {
    /// The answer to a query.
    State {
        /// The query's number.
        fence: Fence,
        /// The map in use, or bound to be from a decided step on.
        active: MapVersion,
        /// The next step to begin.
        next: Step,
        /// The attempt held for, if any.
        held: Option<Attempt>,
    },
    /// The weights are loaded.
    Staged(Fence, MapVersion),
    /// The attempt's step will not begin.
    Held(Attempt),
    /// The attempt cannot be held for; this is the next step to begin.
    CannotHold(Attempt, Step),
    /// The switch is made.
    Activated(Attempt),
    /// Promise never to hold for this attempt.
    Denied(Attempt),
    /// A higher fencing number is known.
    Fenced(Fence),
}
