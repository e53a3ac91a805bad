//! State machine of one dispatched attempt, and the outcome reported to the caller.
//!
//! The entry passes every event of an attempt to [`AttemptState::on`] and
//! carries out the returned [`Action`]. The rules:
//!
//! - Data frames are numbered. The expected number is delivered, an earlier
//!   number is a duplicate and dropped, and a later number means that frames
//!   were lost: the response is aborted rather than delivered with a gap.
//! - A response is complete only if the end frame's count matches the number
//!   of delivered data frames.
//! - The outcome is "not run" only if the run command was never sent, the
//!   agent refused it, the agent went away without a reply to it, or the agent
//!   replied "will not run" to a revoke.
//! - Response frames that arrive after a revoke was sent are dropped: the
//!   agent's reply to the revoke decides the outcome.
//! - In all other cases without a complete response the outcome is unknown.

use crate::outcome::{Outcome, Refusal};
use crate::start_gate::RevokeReply;

/// An event of the attempt, as input to the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The run command was passed to the connection; some of its bytes may have been sent.
    Sent,
    /// The head of the response (status and headers) arrived.
    Head,
    /// Data frame number `seq` arrived; the first is 0.
    Data {
        /// Position of the frame in the response.
        seq: u64,
    },
    /// The end frame of the response arrived.
    End {
        /// Total number of data frames that the agent sent.
        frames: u64,
        /// Whether the agent received the target's complete response.
        is_complete: bool,
    },
    /// The agent refused the run command.
    Refused(Refusal),
    /// The agent announced on the command's connection that it starts no further commands and has
    /// replied to all that it started.
    GoAway,
    /// The connection to the agent was lost.
    LinkLost,
    /// The agent replied to a revoke.
    Revoke(RevokeReply),
    /// The agent did not reply to the revoke in time.
    RevokeTimedOut,
    /// The caller's deadline passed.
    DeadlinePassed,
}

/// What the entry must do in response to an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Wait for the next event.
    Wait,
    /// Forward the head or frame to the caller.
    Deliver,
    /// Drop the late, duplicate or unexpected frame and count it.
    Drop,
    /// Ask the agent to revoke the run command.
    SendRevoke,
    /// End the attempt with this verdict.
    Finish(Verdict),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The outcome to report to the caller.
    pub outcome: Outcome,
    /// Whether a part of the response was already forwarded to the caller.
    pub begun: bool,
    /// Why the agent refused the run command; `None` if it did not.
    pub refusal: Option<Refusal>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Unsent,
    Sent,
    Responding,
    Revoking,
    Finished,
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
    /// Creates the state of an attempt that has not been sent.
    #[must_use]
    pub fn new() -> Self {
        Self {
            phase: Phase::Unsent,
            next_seq: 0,
        }
    }

    /// Processes one event and returns the action to take.
    pub fn on(&mut self, event: Event) -> Action {
        match (self.phase, event) {
            (Phase::Finished, _) => Action::Drop,
            (Phase::Unsent, Event::Sent) => self.enter_and_wait(Phase::Sent),
            (Phase::Unsent, Event::LinkLost | Event::DeadlinePassed) => {
                self.finish(Outcome::NotRun, None)
            }
            (Phase::Unsent, _) => Action::Drop,
            (_, Event::Refused(refusal)) => self.on_refused(refusal),
            (Phase::Sent, Event::Head) => {
                self.phase = Phase::Responding;
                Action::Deliver
            }
            // An end without a head: the run failed before the target's response
            // began, or the agent no longer has the record of the key.
            (Phase::Sent, Event::End { .. }) => self.finish(Outcome::Unknown, None),
            (Phase::Responding, Event::Data { seq }) => self.on_data(seq),
            (
                Phase::Responding,
                Event::End {
                    frames,
                    is_complete,
                },
            ) => self.end(frames, is_complete),
            (Phase::Sent, Event::GoAway) => self.finish(Outcome::NotRun, Some(Refusal::Draining)),
            (Phase::Sent, Event::LinkLost | Event::DeadlinePassed) => {
                self.phase = Phase::Revoking;
                Action::SendRevoke
            }
            (Phase::Responding, Event::GoAway | Event::LinkLost | Event::DeadlinePassed) => {
                self.finish(Outcome::Unknown, None)
            }
            (Phase::Revoking, Event::Revoke(RevokeReply::WillNotRun)) => {
                self.finish(Outcome::NotRun, None)
            }
            (Phase::Revoking, Event::Revoke(_) | Event::RevokeTimedOut) => {
                self.finish(Outcome::Unknown, None)
            }
            // The revoke may travel on a later connection than the command, whose reply may be lost.
            (Phase::Revoking, Event::GoAway | Event::LinkLost | Event::DeadlinePassed) => {
                Action::Wait
            }
            (_, _) => Action::Drop,
        }
    }

    fn enter_and_wait(&mut self, phase: Phase) -> Action {
        self.phase = phase;
        Action::Wait
    }

    fn on_refused(&mut self, refusal: Refusal) -> Action {
        match self.phase {
            Phase::Sent | Phase::Revoking => self.finish(Outcome::NotRun, Some(refusal)),
            _ => Action::Drop,
        }
    }

    fn on_data(&mut self, seq: u64) -> Action {
        match seq {
            _ if seq < self.next_seq => Action::Drop,
            _ if seq > self.next_seq => self.finish(Outcome::Unknown, None),
            _ => {
                self.next_seq += 1;
                Action::Deliver
            }
        }
    }

    fn end(&mut self, frames: u64, is_complete: bool) -> Action {
        let outcome = if is_complete && frames == self.next_seq {
            Outcome::Done
        } else {
            Outcome::Unknown
        };
        self.finish(outcome, None)
    }

    fn finish(&mut self, outcome: Outcome, refusal: Option<Refusal>) -> Action {
        let begun = self.phase == Phase::Responding;
        self.phase = Phase::Finished;
        Action::Finish(Verdict {
            outcome,
            begun,
            refusal,
        })
    }
}
