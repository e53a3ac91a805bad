//! Since when a store has been answering, from one process's own calls and the reports of peers.
//!
//! A process that gets no answers cannot tell an outage of the store from a fault of its own
//! connections. Peers that got answers meanwhile can: what they report takes an assumed outage back,
//! or moves its end to when the store answered the first of them.

use crate::time::MonoMs;

/// Longest time between two answers without an outage: the process learns of an answer more than
/// once a second while the store works.
const MAX_SILENCE_MS: u64 = 1_500;

/// An assumed outage of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Outage {
    last_answer_ms: MonoMs,
    end_ms: MonoMs,
}

/// When the store has answered anyone.
#[derive(Clone, Debug, Default)]
pub struct AnswerLog {
    /// The last known answer, to this process or a peer; `None` before the first.
    last_ms: Option<MonoMs>,
    /// Since when the store has been answering.
    since_ms: MonoMs,
    /// The last outage that no peer has ruled out.
    outage: Option<Outage>,
}

impl AnswerLog {
    /// Records an answer to this process.
    pub fn on_answer(&mut self, now_ms: MonoMs) {
        match self.last_ms.replace(now_ms) {
            None => self.since_ms = now_ms,
            Some(last_answer_ms) if now_ms.since(last_answer_ms) > MAX_SILENCE_MS => {
                self.since_ms = now_ms;
                self.outage = Some(Outage {
                    last_answer_ms,
                    end_ms: now_ms,
                });
            }
            Some(_) => {}
        }
    }

    /// Records a peer's report that the store has just answered, and has been answering for
    /// `answering_ms`.
    pub fn on_report(&mut self, answering_ms: u64, now_ms: MonoMs) {
        self.on_answer(now_ms);
        let reported_ms = MonoMs(now_ms.0.saturating_sub(answering_ms));
        self.since_ms = self.since_ms.min(reported_ms);
        self.outage = self.outage.and_then(|outage| {
            let has_answered_throughout = reported_ms <= outage.last_answer_ms;
            (!has_answered_throughout).then(|| Outage {
                end_ms: outage.end_ms.min(reported_ms),
                ..outage
            })
        });
    }

    /// How long the store has been answering.
    #[must_use]
    pub fn answering_ms(&self, now_ms: MonoMs) -> u64 {
        now_ms.since(self.since_ms)
    }

    /// The end of the last outage; `None` if there was none.
    #[must_use]
    pub fn outage_end_ms(&self) -> Option<MonoMs> {
        self.outage.map(|outage| outage.end_ms)
    }
}
