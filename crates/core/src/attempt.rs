//! What one dispatched attempt means to its caller.
//!
//! The entry feeds every event of an attempt into an [`AttemptState`] and does
//! what it says. The rules:
//!
//! - Data frames are numbered. The next number is delivered, an earlier one
//!   is a duplicate and dropped, a later one means frames were lost, and the
//!   answer is cut visibly rather than delivered with a hole.
//! - An answer is whole only when the end frame's count matches.
//! - "Not run" is said only when the order was never sent, or the agent
//!   refused it, or the agent answered a revoke with "will not run".
//! - Once a revoke is asked, an answer that still arrives is dropped: the
//!   agent's word on the revoke decides.
//! - Everything else that ends without an answer is unknown.

use crate::outcome::{Outcome, Refusal};
use crate::start_gate::RevokeReply;

/// Something that happened to the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The order was handed to the connection, so bytes may have left.
    Sent,
    /// The answer's head arrived.
    Head,
    /// Data frame number `seq` arrived; the first is 0.
    Data {
        /// Position of the frame in the answer.
        seq: u64,
    },
    /// The explicit end arrived.
    End {
        /// Data frames the agent sent in all.
        frames: u64,
        /// Whether the target's own answer was whole.
        is_complete: bool,
    },
    /// The agent refused the order.
    Refused(Refusal),
    /// The connection to the agent is gone.
    LinkLost,
    /// The agent answered a revoke.
    Revoke(RevokeReply),
    /// The revoke could not be settled in time.
    RevokeTimedOut,
    /// The caller's deadline passed.
    DeadlinePassed,
}

/// What to do about an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing more for now.
    Wait,
    /// Pass the head or frame on to the caller.
    Deliver,
    /// Late, duplicate or foreign: drop it and count it.
    Drop,
    /// Ask the agent to revoke the order.
    SendRevoke,
    /// The attempt is over.
    Finish(Verdict),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// What the caller may be told.
    pub outcome: Outcome,
    /// Whether the caller already holds a part of the answer.
    pub begun: bool,
    /// Why the agent refused, where it did.
    pub refusal: Option<Refusal>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Unsent,
    Sent,
    Answering,
    Revoking,
    Over,
}

/// The state of one attempt.
#[derive(Debug)]
pub struct AttemptState {
    phase: Phase,
    next_seq: u64,
}

impl Default for AttemptState {
    fn default() -> Self {
        Self::new()
    }
}

impl AttemptState {
    /// An attempt that has not been sent.
    #[must_use]
    pub fn new() -> Self {
        Self {
            phase: Phase::Unsent,
            next_seq: 0,
        }
    }

    /// Takes one event and says what to do.
    pub fn on(&mut self, event: Event) -> Action {
        match (self.phase, event) {
            (Phase::Over, _) => Action::Drop,
            (Phase::Unsent, Event::Sent) => self.wait_in(Phase::Sent),
            (Phase::Unsent, Event::LinkLost | Event::DeadlinePassed) => {
                self.finish(Outcome::NotRun, None)
            }
            (Phase::Unsent, _) => Action::Drop,
            (_, Event::Refused(refusal)) => self.refused(refusal),
            (Phase::Sent, Event::Head) => {
                self.phase = Phase::Answering;
                Action::Deliver
            }
            // The agent could not say more: the run failed before its answer
            // began, or its record of the key is gone.
            (Phase::Sent, Event::End { .. }) => self.finish(Outcome::Unknown, None),
            (Phase::Answering, Event::Data { seq }) => self.data(seq),
            (
                Phase::Answering,
                Event::End {
                    frames,
                    is_complete,
                },
            ) => self.end(frames, is_complete),
            (Phase::Sent, Event::LinkLost | Event::DeadlinePassed) => {
                self.phase = Phase::Revoking;
                Action::SendRevoke
            }
            (Phase::Answering, Event::LinkLost | Event::DeadlinePassed) => {
                self.finish(Outcome::Unknown, None)
            }
            (Phase::Revoking, Event::Revoke(RevokeReply::WillNotRun)) => {
                self.finish(Outcome::NotRun, None)
            }
            (Phase::Revoking, Event::Revoke(_) | Event::RevokeTimedOut) => {
                self.finish(Outcome::Unknown, None)
            }
            (Phase::Revoking, Event::LinkLost | Event::DeadlinePassed) => Action::Wait,
            (_, _) => Action::Drop,
        }
    }

    fn wait_in(&mut self, phase: Phase) -> Action {
        self.phase = phase;
        Action::Wait
    }

    fn refused(&mut self, refusal: Refusal) -> Action {
        match self.phase {
            Phase::Sent | Phase::Revoking => self.finish(Outcome::NotRun, Some(refusal)),
            _ => Action::Drop,
        }
    }

    fn data(&mut self, seq: u64) -> Action {
        match seq {
            _ if seq < self.next_seq => Action::Drop,
            _ if seq > self.next_seq => self.finish(Outcome::Unknown, None),
            _ => {
                self.next_seq += 1;
                Action::Deliver
            }
        }
    }

    fn end(&mut self, frames: u64, whole: bool) -> Action {
        let outcome = if whole && frames == self.next_seq {
            Outcome::Done
        } else {
            Outcome::Unknown
        };
        self.finish(outcome, None)
    }

    fn finish(&mut self, outcome: Outcome, refusal: Option<Refusal>) -> Action {
        let begun = self.phase == Phase::Answering;
        self.phase = Phase::Over;
        Action::Finish(Verdict {
            outcome,
            begun,
            refusal,
        })
    }
}
