//! The lives of the target beside the agent.
//!
//! A life ends when nobody listens at the target's address any more. All requests that run
//! at that moment end with it, and one of them may be the reason. Entries merge what several
//! of them lost by the name of the life, so each run is put down to the life in which it
//! began, also where the next has begun by the time the loss is noticed.
//!
//! A target that starts again before anybody finds its address without one goes on with its
//! former life; what ended with it is laid to nobody.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct State {
    number: u64,
    has_ended: bool,
}

/// The lives of one target, numbered from the start of the agent.
pub(crate) struct Lives(watch::Sender<State>);

impl Lives {
    pub(crate) fn new() -> Self {
        Self(watch::Sender::new(State::default()))
    }

    /// The life in which a call that begins now runs.
    pub(crate) fn of_a_call(&self) -> u64 {
        let state = *self.0.borrow();
        state.number + u64::from(state.has_ended)
    }

    /// The target answered a call of that life.
    pub(crate) fn on_answer(&self, life: u64) {
        self.set(State {
            number: life,
            has_ended: false,
        });
    }

    /// Nobody listens any more after a call of that life.
    pub(crate) fn on_end(&self, life: u64) {
        self.set(State {
            number: life,
            has_ended: true,
        });
    }

    /// Nobody listens any more, noticed without a call.
    pub(crate) fn on_nobody(&self) {
        // The state must not be borrowed any more when it is set.
        let number = self.0.borrow().number;
        self.on_end(number);
    }

    /// Lives and their ends come in order; what is older is known.
    fn set(&self, next: State) {
        self.0.send_if_modified(|state| {
            let is_newer = (next.number, next.has_ended) > (state.number, state.has_ended);
            if is_newer {
                *state = next;
            }
            is_newer
        });
    }

    pub(crate) fn has_ended(&self, life: u64) -> bool {
        let state = *self.0.borrow();
        state.number > life || (state.number == life && state.has_ended)
    }

    /// Waits for the end of a life; returns whether it came in time.
    pub(crate) async fn ends_within(&self, life: u64, bound: Duration) -> bool {
        let mut states = self.0.subscribe();
        let ended = async {
            while !self.has_ended(life) {
                if states.changed().await.is_err() {
                    return;
                }
            }
        };
        timeout(bound, ended).await.is_ok()
    }
}
