//! The checker rejects histories that violate at-most-once execution or a reported outcome.

use std::time::{Duration, Instant};

use berylhook_test_support::history::{Event, Operation, Recorder, ReportedOutcome};

fn history(operations: &[(Operation, u64, u64)]) -> Recorder {
    let start = Instant::now();
    let mut recorder = Recorder::default();
    for (operation, from_ms, to_ms) in operations {
        recorder.push(Event {
            key: "canoe 7".to_owned(),
            operation: operation.clone(),
            from: start + Duration::from_millis(*from_ms),
            to: start + Duration::from_millis(*to_ms),
        });
    }
    recorder
}

fn reported_attempt(attempt: &str, outcome: ReportedOutcome) -> Operation {
    Operation::Attempt {
        attempt: attempt.to_owned(),
        reported: outcome,
    }
}

fn effect(attempt: &str) -> Operation {
    Operation::Effect {
        attempt: attempt.to_owned(),
    }
}

#[test]
fn a_run_with_a_lost_response_and_a_retry_is_accepted() {
    let history = history(&[
        (reported_attempt("a", ReportedOutcome::Unknown), 0, 10),
        (effect("a"), 5, 5),
        (reported_attempt("b", ReportedOutcome::Done), 20, 30),
    ]);

    assert_eq!(history.violations(), Vec::<String>::new());
}

#[test]
fn a_second_run_is_rejected() {
    let history = history(&[
        (reported_attempt("a", ReportedOutcome::Unknown), 0, 10),
        (effect("a"), 5, 5),
        (reported_attempt("b", ReportedOutcome::Done), 20, 30),
        (effect("b"), 25, 25),
    ]);

    assert_eq!(history.violations().len(), 1);
}

#[test]
fn not_run_before_a_late_effect_is_rejected() {
    let history = history(&[
        (reported_attempt("a", ReportedOutcome::NotRun), 0, 10),
        (effect("a"), 50, 50),
    ]);

    assert_eq!(history.violations().len(), 1);
}

#[test]
fn not_run_after_its_own_effect_is_rejected() {
    let history = history(&[
        (effect("a"), 5, 5),
        (reported_attempt("a", ReportedOutcome::NotRun), 0, 10),
    ]);

    assert_eq!(history.violations().len(), 1);
}

#[test]
fn done_without_an_effect_is_rejected() {
    let history = history(&[(reported_attempt("a", ReportedOutcome::Done), 0, 10)]);

    assert_eq!(history.violations().len(), 1);
}
