//! When a relay agent that was told to stop may exit.
//!
//! A group that is paused for a switch of its map stays so until every rank has got its commands. An
//! agent that exits meanwhile would stall the group until the next one has started.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A leader that has sent no command for this long is not between two commands of a switch.
const QUIET_TIME: Duration = Duration::from_millis(300);

/// Longest time from the signal to the exit.
pub(crate) const STOP_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug, Default)]
struct State {
    commands_in_progress: usize,
    last_command_ended_at: Option<Instant>,
    is_group_paused: bool,
}

/// The commands that the agent relays, and the pause of its group that they lead to.
#[derive(Debug, Default)]
pub(crate) struct CommandActivity {
    state: Mutex<State>,
}

impl CommandActivity {
    /// Records that a request with commands is relayed until the guard is dropped.
    pub(crate) fn begin(&self) -> CommandGuard<'_> {
        self.lock().commands_in_progress += 1;
        CommandGuard { activity: self }
    }

    /// Records whether the engine reports that its rank pauses the group.
    pub(crate) fn on_report(&self, is_group_paused: bool) {
        self.lock().is_group_paused = is_group_paused;
    }

    /// Whether no switch needs this agent.
    pub(crate) fn is_quiet(&self) -> bool {
        let state = self.lock();
        let has_recent_command = state
            .last_command_ended_at
            .is_some_and(|at| at.elapsed() < QUIET_TIME);
        state.commands_in_progress == 0 && !state.is_group_paused && !has_recent_command
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

/// Marks commands as in progress.
pub(crate) struct CommandGuard<'a> {
    activity: &'a CommandActivity,
}

impl Drop for CommandGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.activity.lock();
        state.commands_in_progress -= 1;
        state.last_command_ended_at = Some(Instant::now());
    }
}
