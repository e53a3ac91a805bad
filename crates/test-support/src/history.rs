//! Recorded histories of concurrent calls, checked by a library.
//!
//! A history holds what callers were told and what really happened beside the
//! target. It is linearizable against [`AtMostOnceSpec`] exactly if some order of
//! events, consistent with real time, keeps the promises: a key takes effect
//! at most once, "done" is said only of an effect that happened, and "not
//! run" only of an attempt that had none and never gets one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

use crate::PlainRun;
use crate::calls::CallResult;

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedOutcome {
    /// It ran and the answer is whole.
    Done,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

impl ReportedOutcome {
    /// What the answer to a call tells; no answer at all tells nothing.
    #[must_use]
    pub fn of(answered: &CallResult) -> Self {
        match answered.outcome.as_str() {
            "done" if answered.is_complete => Self::Done,
            "not-run" => Self::NotRun,
            _ => Self::Unknown,
        }
    }
}

/// One operation of a history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// A caller made an attempt and was told this.
    Attempt {
        /// Names the attempt.
        attempt: String,
        /// What its caller was told.
        reported: ReportedOutcome,
    },
    /// The target ran the request of this attempt.
    Effect {
        /// Names the attempt.
        attempt: String,
    },
}

/// The promises about one key.
pub struct AtMostOnceSpec;

/// The state of one key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct KeyState {
    ran: Option<String>,
    denied: BTreeSet<String>,
}

impl Specification for AtMostOnceSpec {
    type State = KeyState;
    type Operation = Operation;

    fn init() -> KeyState {
        KeyState::default()
    }

    fn apply(operation: &Operation, state: &KeyState) -> (bool, KeyState) {
        let mut next = state.clone();
        let is_allowed = match operation {
            Operation::Effect { attempt } => {
                let allowed = state.ran.is_none() && !state.denied.contains(attempt);
                next.ran = Some(attempt.clone());
                allowed
            }
            Operation::Attempt { attempt, reported } => match reported {
                ReportedOutcome::Done => state.ran.is_some(),
                ReportedOutcome::NotRun => {
                    next.denied.insert(attempt.clone());
                    state.ran.as_ref() != Some(attempt)
                }
                ReportedOutcome::Unknown => true,
            },
        };
        (is_allowed, next)
    }
}

/// A timed operation on one key.
#[derive(Clone, Debug)]
pub struct Event {
    /// The key.
    pub key: String,
    /// The operation.
    pub operation: Operation,
    /// When it began.
    pub from: Instant,
    /// When it ended.
    pub to: Instant,
}

/// Collects the events of a run.
#[derive(Default, Debug)]
pub struct Recorder {
    events: Vec<Event>,
}

impl Recorder {
    /// Adds an event.
    pub fn push(&mut self, event: Event) {
        self.events.push(event);
    }

    /// Adds the effects that a service recorded; their bodies are the keys.
    pub fn add_runs(&mut self, runs: &[PlainRun]) {
        for run in runs {
            self.push(Event {
                key: run.body.clone(),
                operation: Operation::Effect {
                    attempt: run.attempt.clone(),
                },
                from: run.at,
                to: run.at,
            });
        }
    }

    /// How often each thing was told.
    #[must_use]
    pub fn count_reported(&self, which: ReportedOutcome) -> usize {
        let is_that = |event: &&Event| match event.operation {
            Operation::Attempt { reported: told, .. } => told == which,
            Operation::Effect { .. } => false,
        };
        self.events.iter().filter(is_that).count()
    }

    /// The keys whose history breaks a promise.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let mut keys: BTreeMap<&str, Vec<&Event>> = BTreeMap::new();
        for event in &self.events {
            keys.entry(&event.key).or_default().push(event);
        }
        keys.into_iter()
            .filter(|(_, events)| !is_linearizable(events))
            .map(|(key, events)| format!("{key}: {events:?}"))
            .collect()
    }
}

fn is_linearizable(events: &[&Event]) -> bool {
    let mut timed = Vec::new();
    for (process, event) in events.iter().enumerate() {
        let call = (
            event.from,
            0,
            process,
            Action::Call(event.operation.clone()),
        );
        let response = (
            event.to,
            1,
            process,
            Action::Response(event.operation.clone()),
        );
        timed.push(call);
        timed.push(response);
    }
    timed.sort_by_key(|(at, order, process, _)| (*at, *order, *process));
    let actions = timed
        .into_iter()
        .map(|(_, _, process, action)| (process, action))
        .collect();
    WGLChecker::<AtMostOnceSpec>::is_linearizable(History::from_actions(actions))
}
