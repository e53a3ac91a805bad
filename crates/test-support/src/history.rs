//! Recorded histories of concurrent calls, checked for linearizability.
//!
//! A history contains the outcomes reported to callers and the effects observed at the target. It
//! is linearizable against [`AtMostOnceSpec`] exactly if some order of its operations, consistent
//! with real time, satisfies these rules: a key takes effect at most once, "done" is reported only
//! if the effect has happened, and "not run" is reported only for an attempt that has had no effect
//! and never will.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

use crate::PlainRun;
use crate::calls::CallResult;

/// The outcome of an attempt as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedOutcome {
    /// The request ran and the response is complete.
    Done,
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl ReportedOutcome {
    /// The outcome that a call's result reports; [`Self::Unknown`] if there was no response.
    #[must_use]
    pub fn of(result: &CallResult) -> Self {
        match result.outcome.as_str() {
            "done" if result.is_complete => Self::Done,
            "not-run" => Self::NotRun,
            _ => Self::Unknown,
        }
    }
}

/// An operation of a history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// A caller made an attempt and got an outcome.
    Attempt {
        /// Id of the attempt.
        attempt: String,
        /// The outcome reported to the caller.
        reported: ReportedOutcome,
    },
    /// The target ran the request of this attempt.
    Effect {
        /// Id of the attempt.
        attempt: String,
    },
}

/// The sequential specification of one key, which takes effect at most once.
pub struct AtMostOnceSpec;

/// The state of one key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct KeyState {
    ran_attempt: Option<String>,
    not_run_attempts: BTreeSet<String>,
}

impl Specification for AtMostOnceSpec {
    type State = KeyState;
    type Operation = Operation;

    fn init() -> KeyState {
        KeyState::default()
    }

    fn apply(operation: &Operation, state: &KeyState) -> (bool, KeyState) {
        let mut next = state.clone();
        let is_permitted = match operation {
            Operation::Effect { attempt } => {
                let can_run =
                    state.ran_attempt.is_none() && !state.not_run_attempts.contains(attempt);
                next.ran_attempt = Some(attempt.clone());
                can_run
            }
            Operation::Attempt { attempt, reported } => match reported {
                ReportedOutcome::Done => state.ran_attempt.is_some(),
                ReportedOutcome::NotRun => {
                    next.not_run_attempts.insert(attempt.clone());
                    state.ran_attempt.as_ref() != Some(attempt)
                }
                ReportedOutcome::Unknown => true,
            },
        };
        (is_permitted, next)
    }
}

/// An operation on one key with its start and end.
#[derive(Clone, Debug)]
pub struct Event {
    /// The key that the operation applies to.
    pub key: String,
    /// The operation that was recorded.
    pub operation: Operation,
    /// When the operation was invoked.
    pub from: Instant,
    /// When the operation returned.
    pub to: Instant,
}

/// Collects the operations of a test run.
#[derive(Default, Debug)]
pub struct Recorder {
    events: Vec<Event>,
}

impl Recorder {
    /// Adds a recorded operation.
    pub fn push(&mut self, event: Event) {
        self.events.push(event);
    }

    /// Adds the effects that a service recorded. The request bodies are the keys.
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

    /// Number of attempts whose callers got this outcome.
    #[must_use]
    pub fn count_reported(&self, outcome: ReportedOutcome) -> usize {
        let has_outcome = |event: &&Event| match event.operation {
            Operation::Attempt { reported, .. } => reported == outcome,
            Operation::Effect { .. } => false,
        };
        self.events.iter().filter(has_outcome).count()
    }

    /// The keys whose histories are not linearizable, each with its operations.
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
    let mut timed_actions = Vec::new();
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
        timed_actions.push(call);
        timed_actions.push(response);
    }
    timed_actions.sort_by_key(|(at, order, process, _)| (*at, *order, *process));
    let actions = timed_actions
        .into_iter()
        .map(|(_, _, process, action)| (process, action))
        .collect();
    WGLChecker::<AtMostOnceSpec>::is_linearizable(History::from_actions(actions))
}
