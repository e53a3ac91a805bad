//! The controller's side. It runs on any agent or entry that holds the
//! group's lease; a successor with a higher fencing number takes over at any
//! point.

use super::{Attempt, Fence, FromRank, MapVersion, Step, ToRank};

/// Steps between the furthest rank and the step to hold before. Large enough
/// for the order to reach every rank in time; if it does not, the next try
/// doubles it.
const FIRST_LEAD_STEPS: u64 = 1;

/// Something the controller learns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControllerEvent {
    /// A rank answered.
    Rank(usize, FromRank),
    /// The record was written, or read back and found written.
    Recorded,
    /// Another controller has recorded something; this one is over.
    Superseded,
}

/// Something the controller wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Send this to a rank; repeat until it answers.
    Send(usize, ToRank),
    /// Record this version under this fencing number, by compare-and-swap.
    Record(Fence, MapVersion),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Phase {
    Querying,
    Staging,
    Recording,
    Holding(Attempt),
    Activating(Attempt),
    Done,
    Over,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Known {
    answered: bool,
    active: MapVersion,
    next: Step,
    held: Option<Attempt>,
}

/// One controller's attempt to bring a group to a map.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Controller {
    fence: Fence,
    target: MapVersion,
    lead_steps: u64,
    phase: Phase,
    ranks: Vec<Known>,
}

impl Controller {
    /// A controller that got `fence` with its lease and wants `target`.
    #[must_use]
    pub fn new(fence: Fence, ranks: usize, target: MapVersion) -> Self {
        Self {
            fence,
            target,
            lead_steps: FIRST_LEAD_STEPS,
            phase: Phase::Querying,
            ranks: vec![Known::default(); ranks],
        }
    }

    /// The first commands.
    #[must_use]
    pub fn begin(&self) -> Vec<Command> {
        self.to_all(ToRank::Query(self.fence))
    }

    /// Whether all ranks are known to use one and the same map again.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.phase == Phase::Done
    }

    /// The attempt under way, if any.
    #[must_use]
    pub fn attempt(&self) -> Option<Attempt> {
        match self.phase {
            Phase::Holding(attempt) | Phase::Activating(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// Whether another controller has taken over.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.phase == Phase::Over
    }

    /// Takes an event and gives what to do about it.
    pub fn on(&mut self, event: ControllerEvent) -> Vec<Command> {
        match (self.phase.clone(), event) {
            (Phase::Over | Phase::Done, _) => Vec::new(),
            (_, ControllerEvent::Superseded) => self.end(Phase::Over),
            (_, ControllerEvent::Rank(_, FromRank::Fenced(fence))) if fence > self.fence => {
                self.end(Phase::Over)
            }
            (Phase::Querying, ControllerEvent::Rank(rank, answer)) => self.on_state(rank, answer),
            (Phase::Staging, ControllerEvent::Rank(rank, answer)) => self.on_staged(rank, answer),
            (Phase::Recording, ControllerEvent::Recorded) => self.hold(),
            (Phase::Holding(attempt), ControllerEvent::Rank(rank, answer)) => {
                self.on_held(attempt, rank, answer)
            }
            (Phase::Activating(attempt), ControllerEvent::Rank(rank, answer)) => {
                self.on_activated(attempt, rank, answer)
            }
            (_, _) => Vec::new(),
        }
    }

    fn end(&mut self, phase: Phase) -> Vec<Command> {
        self.phase = phase;
        Vec::new()
    }

    fn on_state(&mut self, rank: usize, answer: FromRank) -> Vec<Command> {
        match answer {
            FromRank::State {
                fence,
                active,
                next,
                held,
            } if fence == self.fence => {
                self.ranks[rank] = Known {
                    answered: true,
                    active,
                    next,
                    held,
                };
            }
            _ => return Vec::new(),
        }
        if !self.all_answered() {
            return Vec::new();
        }
        match self.decided() {
            // Whoever came before may have carried it out in part.
            Some(attempt) => self.activate(attempt),
            None => {
                self.phase = Phase::Staging;
                self.forget_answers();
                self.to_all(ToRank::Stage(self.fence, self.target))
            }
        }
    }

    /// The attempt that may have been decided already, by a former controller
    /// or by the ranks themselves.
    ///
    /// Either some rank has switched, so all had held; or all hold for the
    /// same attempt now, and somebody may know. In any other case nobody can
    /// have decided, and no rank will hold for a lower fencing number again.
    fn decided(&self) -> Option<Attempt> {
        let newest = self.ranks.iter().map(|rank| rank.active).max()?;
        let behind = self.ranks.iter().find(|rank| rank.active < newest);
        if let Some(behind) = behind {
            return behind.held.filter(|attempt| attempt.version == newest);
        }
        let held = self.ranks.first()?.held?;
        let all_hold = self.ranks.iter().all(|rank| rank.held == Some(held));
        all_hold.then_some(held)
    }

    fn on_staged(&mut self, rank: usize, answer: FromRank) -> Vec<Command> {
        if answer == FromRank::Staged(self.fence, self.target) {
            self.ranks[rank].answered = true;
        }
        if !self.all_answered() {
            return Vec::new();
        }
        self.phase = Phase::Recording;
        vec![Command::Record(self.fence, self.target)]
    }

    fn hold(&mut self) -> Vec<Command> {
        let furthest = self.ranks.iter().map(|rank| rank.next).max();
        let furthest = furthest.unwrap_or_default();
        let attempt = Attempt {
            fence: self.fence,
            step: Step(furthest.0 + self.lead_steps),
            version: self.target,
        };
        self.phase = Phase::Holding(attempt);
        self.forget_answers();
        self.to_all(ToRank::Hold(attempt))
    }

    fn on_held(&mut self, attempt: Attempt, rank: usize, answer: FromRank) -> Vec<Command> {
        match answer {
            FromRank::Held(held) if held == attempt => {
                self.ranks[rank].answered = true;
            }
            FromRank::CannotHold(refused, next) if refused == attempt => {
                self.ranks[rank].next = next.max(attempt.step);
                self.lead_steps *= 2;
                return self.hold();
            }
            _ => return Vec::new(),
        }
        if self.all_answered() {
            return self.activate(attempt);
        }
        Vec::new()
    }

    fn activate(&mut self, attempt: Attempt) -> Vec<Command> {
        self.phase = Phase::Activating(attempt);
        self.forget_answers();
        self.to_all(ToRank::Activate(attempt))
    }

    fn on_activated(&mut self, attempt: Attempt, rank: usize, answer: FromRank) -> Vec<Command> {
        if answer == FromRank::Activated(attempt) {
            self.ranks[rank].answered = true;
        }
        if self.all_answered() {
            self.phase = Phase::Done;
        }
        Vec::new()
    }

    fn all_answered(&self) -> bool {
        self.ranks.iter().all(|rank| rank.answered)
    }

    fn forget_answers(&mut self) {
        for rank in &mut self.ranks {
            rank.answered = false;
        }
    }

    fn to_all(&self, message: ToRank) -> Vec<Command> {
        (0..self.ranks.len())
            .map(|rank| Command::Send(rank, message))
            .collect()
    }
}
