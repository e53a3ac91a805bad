//! The soak's checks find what they are there for, and nothing in a sound
//! history.

use std::time::{Duration, Instant};

use berylhook_soak::callers::{Attempt, REQUEST_KINDS, RequestedRoute};
use berylhook_soak::checks::{Observations, violations};
use berylhook_test_support::EVENTS_PER_STREAM;
use berylhook_test_support::calls::CallResult;
use indexmap::IndexMap;

const SAFE: usize = 0;
const UNSAFE: usize = 1;
const STREAM: usize = 2;

fn response(status: u16, body: &str) -> CallResult {
    CallResult {
        status,
        outcome: String::new(),
        retry_after: None,
        attempt_id: Some("a-1".to_owned()),
        has_seal: status == 200,
        body: body.to_owned(),
        is_complete: status != 0,
        time_to_first_byte: Duration::ZERO,
        took: Duration::ZERO,
    }
}

fn attempt(kind: usize, response: CallResult) -> Attempt {
    let sent_at = Instant::now();
    Attempt {
        id: "a-1".to_owned(),
        route: RequestedRoute::Kind(&REQUEST_KINDS[kind]),
        entry_index: 0,
        entry_lifetimes: (1, 1),
        sent_at,
        ended_at: sent_at + Duration::from_millis(10),
        response: Some(response),
    }
}

fn events(ids: impl Iterator<Item = u64>) -> String {
    let event = |id: u64| format!("id: {id}\ndata: a-1 {id}\n\n");
    ids.map(event).collect::<Vec<_>>().concat()
}

/// What is found in a history, with that many runs of its attempt.
fn found(history: &[Attempt], runs: usize, is_undisturbed: bool) -> Vec<String> {
    let evidence = Observations {
        run_counts: IndexMap::from([("a-1".to_owned(), runs)]),
        poison_run_starts: Vec::new(),
        poison_exits: Vec::new(),
        is_undisturbed: &|_, _| is_undisturbed,
    };
    violations(&evidence, history)
}

fn assert_found(attempt: Attempt, runs: usize, what: &str) {
    let found = found(&[attempt], runs, true);
    assert!(found.iter().any(|line| line.starts_with(what)), "{found:?}");
}

#[test]
fn a_sound_history_shows_nothing() {
    let whole = events(1..=EVENTS_PER_STREAM);
    let history = [
        (SAFE, response(200, "{\"served\":\"a-1\"}")),
        (UNSAFE, response(200, "{\"served\":\"a-1\"}")),
        (STREAM, response(200, &whole)),
        (SAFE, response(503, "")),
    ];

    for (kind, response) in history {
        let found = found(&[attempt(kind, response)], 1, true);
        assert_eq!(found, Vec::<String>::new());
    }
}

#[test]
fn runs_that_must_not_be_are_found() {
    let ok = || response(200, "{\"served\":\"a-1\"}");
    assert_found(attempt(UNSAFE, ok()), 2, "ran more than once");
    assert_found(attempt(SAFE, ok()), 3, "ran at too many targets");
    assert_found(
        attempt(UNSAFE, response(503, "")),
        1,
        "was told that it did not run",
    );
}

#[test]
fn answers_that_must_not_be_are_found() {
    let mut unmarked = response(200, "{\"served\":\"a-1\"}");
    unmarked.has_seal = false;
    assert_found(attempt(SAFE, unmarked), 1, "was answered without");
    let mut of_another = response(200, "{\"served\":\"a-1\"}");
    of_another.attempt_id = Some("a-2".to_owned());
    assert_found(attempt(SAFE, of_another), 1, "got another's answer");
    let body_of_another = response(200, "{\"served\":\"a-2\"}");
    assert_found(attempt(SAFE, body_of_another), 1, "got another's body");
    assert_found(
        attempt(SAFE, response(404, "")),
        0,
        "was refused as unknown",
    );
}

#[test]
fn streams_that_must_not_be_are_found() {
    let doubled = events([1, 2, 2].into_iter().chain(3..=EVENTS_PER_STREAM));
    let lacking = events(1..EVENTS_PER_STREAM);
    assert_found(
        attempt(STREAM, response(200, &doubled)),
        1,
        "got events out",
    );
    assert_found(attempt(STREAM, response(200, &lacking)), 1, "got a whole");
}

#[test]
fn an_answer_that_is_cut_counts_only_where_nothing_else_was_wrong() {
    let mut cut = response(200, &events(1..4));
    cut.is_complete = false;

    assert_found(attempt(STREAM, cut.clone()), 1, "was cut off");
    assert_eq!(
        found(&[attempt(STREAM, cut)], 1, false),
        Vec::<String>::new()
    );
}

#[test]
fn a_version_that_comes_back_is_found() {
    let of_version = |version, at_ms| {
        let mut attempt = attempt(SAFE, response(200, "{\"served\":\"a-1\"}"));
        attempt.route = RequestedRoute::Version(version);
        attempt.sent_at += Duration::from_millis(at_ms);
        attempt.ended_at += Duration::from_millis(at_ms);
        attempt
    };

    let back = found(&[of_version(3, 0), of_version(2, 500)], 1, true);
    let forth = found(&[of_version(2, 0), of_version(3, 500)], 1, true);

    assert_eq!(back, ["entry-0 had version 3 in force, then 2"]);
    assert_eq!(forth, Vec::<String>::new());
}

#[test]
fn a_request_that_goes_on_after_three_ends_is_found() {
    let third = Instant::now();
    let late = |count: u64| (0..count).map(|number| third + Duration::from_secs(4 + number));
    let evidence = |count: u64| Observations {
        run_counts: IndexMap::new(),
        poison_run_starts: late(count).collect(),
        poison_exits: vec![third; 3],
        is_undisturbed: &|_, _| true,
    };

    assert!(violations(&evidence(3), &[]).is_empty());
    assert!(violations(&evidence(4), &[])[0].contains("4 times more"));
}

#[test]
fn a_caller_that_is_held_back_for_minutes_is_found() {
    let held = CallResult {
        retry_after: Some("299.500".to_owned()),
        ..response(503, "")
    };

    assert_found(attempt(UNSAFE, held), 0, "was held back");
}
