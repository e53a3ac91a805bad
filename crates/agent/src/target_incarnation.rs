//! Incarnations of the target process beside the agent.
//!
//! An incarnation ends when no process listens at the target's address any more. All requests that
//! run at that moment fail with it, and one of them may be the cause. Several entries can lose
//! requests in one exit, and they merge their reports by the incarnation's name. So each run is
//! attributed to the incarnation in which it started, even if the next one has started by the time
//! the loss is noticed.
//!
//! If a target restarts before the agent finds that its address refuses connections, the
//! incarnation continues, and the exit is attributed to no request.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct IncarnationState {
    number: u64,
    has_exited: bool,
}

/// The incarnations of one target, numbered from the start of the agent.
pub(crate) struct TargetIncarnations(watch::Sender<IncarnationState>);

impl TargetIncarnations {
    pub(crate) fn new() -> Self {
        Self(watch::Sender::new(IncarnationState::default()))
    }

    /// The incarnation in which a call that starts now runs.
    pub(crate) fn current(&self) -> u64 {
        let state = *self.0.borrow();
        state.number + u64::from(state.has_exited)
    }

    /// Records that the target responded to a call in this incarnation.
    pub(crate) fn on_response(&self, incarnation: u64) {
        self.set(IncarnationState {
            number: incarnation,
            has_exited: false,
        });
    }

    /// Records that the target has exited after a call in this incarnation.
    pub(crate) fn on_exit(&self, incarnation: u64) {
        self.set(IncarnationState {
            number: incarnation,
            has_exited: true,
        });
    }

    /// Records that the target's address refused a probe, so that the current incarnation has
    /// exited.
    pub(crate) fn on_connection_refused(&self) {
        // The borrow has to end before `on_exit` modifies the channel, or it would deadlock.
        let number = self.0.borrow().number;
        self.on_exit(number);
    }

    /// Applies a state that is newer than the current one. Starts and exits of incarnations
    /// alternate in ascending order, so an older state adds nothing.
    fn set(&self, next: IncarnationState) {
        self.0.send_if_modified(|state| {
            let is_newer = (next.number, next.has_exited) > (state.number, state.has_exited);
            if is_newer {
                *state = next;
            }
            is_newer
        });
    }

    pub(crate) fn has_exited(&self, incarnation: u64) -> bool {
        let state = *self.0.borrow();
        state.number > incarnation || (state.number == incarnation && state.has_exited)
    }

    /// Waits for the incarnation to exit; returns whether it did so within `limit`.
    pub(crate) async fn exits_within(&self, incarnation: u64, limit: Duration) -> bool {
        let mut states = self.0.subscribe();
        let exited = async {
            while !self.has_exited(incarnation) {
                if states.changed().await.is_err() {
                    return;
                }
            }
        };
        timeout(limit, exited).await.is_ok()
    }
}
