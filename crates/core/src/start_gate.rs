//! Decides at the agent which run commands may still start.
//!
//! An entry whose wait for a response times out revokes its run command. The
//! command itself may still be in flight: if it arrived and started after the
//! agent replied "will not run" to the revoke, the caller would have been told
//! "not run" and might send the request twice. The gate therefore remembers a
//! revoke until the command's start deadline, after which the command is
//! refused as too late in any case.
//!
//! The start deadline is a reading of the *agent's* monotonic clock. The
//! entry derives it from the clock sample in the agent's last heartbeat, so
//! neither a delayed message nor a step of the wall clock can extend it.
//!
//! The gate has no record of the commands that a previous incarnation of the
//! agent started. Commands name the incarnation they are addressed to, and a
//! restarted agent replies to every revoke for another incarnation with
//! [`RevokeReply::NoRecord`].

use indexmap::IndexMap;

use crate::ids::{Incarnation, RequestId};
use crate::outcome::Refusal;
use crate::time::MonoMs;

/// The agent's reply to a revoke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RevokeReply {
    /// The command has not started and never will.
    WillNotRun,
    /// The command has already started.
    Started,
    /// This incarnation has no record of whether the command started.
    NoRecord,
}

/// The parts of a command to run a request that decide whether it may start.
#[derive(Clone, Copy, Debug)]
pub struct RunCommand {
    /// Identifies the attempt.
    pub id: RequestId,
    /// The agent incarnation that the command is addressed to.
    pub for_incarnation: Incarnation,
    /// Start deadline on the agent's clock; the command must not start later.
    pub start_by_ms: MonoMs,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CommandState {
    Started,
    Revoked,
}

#[derive(Clone, Copy, Debug)]
struct CommandRecord {
    state: CommandState,
    expires_ms: MonoMs,
}

/// Remembers started and revoked commands until their start deadline.
#[derive(Debug)]
pub struct StartGate {
    incarnation: Incarnation,
    capacity: usize,
    draining: bool,
    records: IndexMap<RequestId, CommandRecord>,
    last_sweep_ms: MonoMs,
}

/// Minimum time between sweeps of expired records; sweeping more often costs more than
/// the memory it frees.
const SWEEP_INTERVAL_MS: u64 = 250;

impl StartGate {
    /// Creates a gate that remembers at most `capacity` commands at a time.
    #[must_use]
    pub fn new(incarnation: Incarnation, capacity: usize) -> Self {
        Self {
            incarnation,
            capacity,
            draining: false,
            records: IndexMap::new(),
            last_sweep_ms: MonoMs(0),
        }
    }

    /// Starts draining: every new command is refused from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Number of commands currently remembered.
    #[must_use]
    pub fn tracked_commands(&self) -> usize {
        self.records.len()
    }

    /// Decides whether `command` may start now, and records it as started if so.
    ///
    /// # Errors
    ///
    /// Returns the reason for refusing the command. Except for [`Refusal::Busy`] on the
    /// second copy of a started command, the command did not start and never will.
    pub fn start(&mut self, command: RunCommand, now_ms: MonoMs) -> Result<(), Refusal> {
        self.sweep(now_ms);
        let known = self.records.get(&command.id).map(|record| record.state);
        match known {
            _ if command.for_incarnation != self.incarnation => Err(Refusal::WrongIncarnation),
            Some(CommandState::Revoked) => Err(Refusal::Revoked),
            // The transport delivered the command twice; it must not start twice.
            // The reply to the first copy counts; the caller drops the second copy.
            Some(CommandState::Started) => Err(Refusal::Busy),
            None if now_ms > command.start_by_ms => Err(Refusal::TooLate),
            None if self.draining => Err(Refusal::Draining),
            None if self.records.len() >= self.capacity => Err(Refusal::Busy),
            None => {
                self.remember(command.id, CommandState::Started, command.start_by_ms);
                Ok(())
            }
        }
    }

    /// Whether the command with this attempt id has started here.
    #[must_use]
    pub fn has_started(&self, id: RequestId) -> bool {
        self.records
            .get(&id)
            .is_some_and(|record| record.state == CommandState::Started)
    }

    /// Handles a revoke, and remembers it until the command can no longer start.
    pub fn revoke(&mut self, command: RunCommand, now_ms: MonoMs) -> RevokeReply {
        self.sweep(now_ms);
        let known = self.records.get(&command.id).map(|record| record.state);
        match known {
            _ if command.for_incarnation != self.incarnation => RevokeReply::NoRecord,
            Some(CommandState::Started) => RevokeReply::Started,
            Some(CommandState::Revoked) => RevokeReply::WillNotRun,
            // After the start deadline, the record of a started command may have
            // been swept, so a missing record does not prove that it never started.
            None if now_ms > command.start_by_ms => RevokeReply::NoRecord,
            None if self.records.len() >= self.capacity => RevokeReply::NoRecord,
            None => {
                self.remember(command.id, CommandState::Revoked, command.start_by_ms);
                RevokeReply::WillNotRun
            }
        }
    }

    fn remember(&mut self, id: RequestId, state: CommandState, expires_ms: MonoMs) {
        self.records.insert(id, CommandRecord { state, expires_ms });
    }

    fn sweep(&mut self, now_ms: MonoMs) {
        if now_ms.since(self.last_sweep_ms) < SWEEP_INTERVAL_MS {
            return;
        }
        self.last_sweep_ms = now_ms;
        self.records.retain(|_, record| record.expires_ms >= now_ms);
    }
}
