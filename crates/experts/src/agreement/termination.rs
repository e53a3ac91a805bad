//! How ranks that hold end an attempt whose controller is gone, without the
//! key-value service.

use super::{Attempt, FromRank, ToRank};

/// What a rank that terminates an attempt wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TerminationCommand {
    /// Send this to a rank, the asking one included.
    Send(usize, ToRank),
}

/// One rank's questions about an attempt it holds for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Termination {
    attempt: Attempt,
    held: Vec<bool>,
    is_over: bool,
}

impl Termination {
    /// Asks all `ranks` about `attempt`.
    #[must_use]
    pub fn new(attempt: Attempt, ranks: usize) -> Self {
        Self {
            attempt,
            held: vec![false; ranks],
            is_over: false,
        }
    }

    /// The first commands.
    #[must_use]
    pub fn begin(&self) -> Vec<TerminationCommand> {
        self.to_all(ToRank::Ask(self.attempt))
    }

    /// Whether the attempt's fate is known.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.is_over
    }

    /// Takes a rank's answer.
    pub fn on(&mut self, rank: usize, answer: FromRank) -> Vec<TerminationCommand> {
        match answer {
            _ if self.is_over => Vec::new(),
            // One has switched, so all had held.
            FromRank::Activated(attempt) if attempt == self.attempt => {
                self.finish(ToRank::Activate(self.attempt))
            }
            // One never will hold, so nobody can have decided.
            FromRank::Denied(attempt) if attempt == self.attempt => {
                self.finish(ToRank::Release(self.attempt))
            }
            FromRank::Held(attempt) if attempt == self.attempt => {
                self.held[rank] = true;
                if self.held.iter().all(|held| *held) {
                    return self.finish(ToRank::Activate(self.attempt));
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn finish(&mut self, message: ToRank) -> Vec<TerminationCommand> {
        self.is_over = true;
        self.to_all(message)
    }

    fn to_all(&self, message: ToRank) -> Vec<TerminationCommand> {
        (0..self.held.len())
            .map(|rank| TerminationCommand::Send(rank, message))
            .collect()
    }
}
