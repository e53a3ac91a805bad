//! Placement of requests while targets announce rate limits, backoffs or that they are leaving.

mod common;

use std::sync::Arc;

use berylhook_backpressure::gate::WithheldReason;
use berylhook_backpressure::signal::BackpressureSignal;
use berylhook_core::time::MonoMs;
use berylhook_traffic::dispatch::SubmitOutcome;
use berylhook_traffic::retry_after::{RetryReason, retry_after_ms};

use crate::common::{dispatcher, place, rate_limit, submit, target};

// Guards against an idle target that attracts all requests because it withholds them.
#[test]
fn requests_beyond_a_rate_limit_go_to_other_targets_and_are_counted() {
    let targets = [target("a", None), target("b", None)];
    let mut dispatcher = dispatcher(&targets);
    dispatcher.on_signal(&targets[0].incarnation, rate_limit(1.0), 0, MonoMs(1));

    let placed: Vec<_> = (0..4)
        .map(|ticket| place(&mut dispatcher, ticket, 2))
        .collect();

    assert_eq!(placed, vec![Some("b".into()); 4]);
    let states = dispatcher.take_limit_states(MonoMs(3));
    assert_eq!(states.len(), 1);
    assert_eq!(states[0].1.requested, 4);
}

#[test]
fn a_permit_admits_one_request() {
    let targets = [target("a", None)];
    let mut dispatcher = dispatcher(&targets);
    dispatcher.on_signal(&targets[0].incarnation, rate_limit(1.0), 0, MonoMs(1));
    dispatcher.on_permits(&targets[0].incarnation, 1, MonoMs(1_000));

    let first = place(&mut dispatcher, 1, 2);
    let admitted = dispatcher.admit(&targets[0].incarnation, MonoMs(2));
    let second = place(&mut dispatcher, 2, 3);

    assert_eq!((first, admitted, second), (Some("a".into()), Ok(()), None));
}

// Guards against requests that are queued until their callers give up although no target accepts
// requests, and against a retry time that is unrelated to the rate limits.
#[test]
fn the_retry_time_follows_the_rate_limits() {
    let targets = [target("a", None), target("b", None)];
    let mut dispatcher = dispatcher(&targets);
    for listed in &targets {
        dispatcher.on_signal(&listed.incarnation, rate_limit(1.0), 0, MonoMs(1));
    }

    let until_accepting_ms = dispatcher
        .until_accepting_ms(MonoMs(2))
        .expect("no target accepts requests now");

    assert_eq!(until_accepting_ms, 500);
    for random in 0..2_000 {
        let retry_ms = retry_after_ms(8_000, RetryReason::Withheld { until_accepting_ms }, random);
        assert!((500..1_000).contains(&retry_ms));
    }
}

// Guards against a rate limit that outlives the incarnation that announced it.
#[test]
fn a_new_incarnation_does_not_inherit_the_rate_limit() {
    let previous = target("a", Some(1));
    let mut dispatcher = dispatcher(std::slice::from_ref(&previous));
    dispatcher.on_signal(&previous.incarnation, rate_limit(1.0), 0, MonoMs(1));
    let restarted = target("a", Some(2));

    dispatcher.set_targets([&restarted].into_iter());

    assert_eq!(dispatcher.rate_limit(&restarted.incarnation), None);
    assert_eq!(place(&mut dispatcher, 1, 2), Some("a".into()));
}

// Guards against a request that waited for its turn and is sent to a target that is gone.
#[test]
fn a_placed_request_is_withheld_if_its_target_is_no_longer_listed() {
    let targets = [target("a", None), target("b", None)];
    let mut dispatcher = dispatcher(&targets);
    let placed = place(&mut dispatcher, 1, 1).expect("a slot is free");
    let others = targets.iter().filter(|it| *it.id() != placed);
    dispatcher.set_targets(others);
    let listed = targets
        .iter()
        .find(|it| *it.id() == placed)
        .expect("one of the two");

    let admitted = dispatcher.admit(&listed.incarnation, MonoMs(2));

    assert_eq!(admitted, Err(WithheldReason::NotListed));
}

fn backoff(backoff_ms: u64) -> BackpressureSignal {
    BackpressureSignal {
        backoff_ms: Some(backoff_ms),
        ..BackpressureSignal::default()
    }
}

// Guards against a target that refuses requests, looks idle and attracts all of them.
#[test]
fn requests_go_to_other_targets_during_a_backoff() {
    let targets = [target("a", None), target("b", None)];
    let mut dispatcher = dispatcher(&targets);
    dispatcher.on_signal(&targets[0].incarnation, backoff(3_000), 0, MonoMs(1));

    let placed: Vec<_> = (0..4)
        .map(|ticket| place(&mut dispatcher, ticket, 2))
        .collect();

    assert_eq!(placed, vec![Some("b".into()); 4]);
}

// Guards against callers that wait although no target will accept requests in time.
#[test]
fn a_request_is_refused_at_once_if_all_backoffs_outlast_its_wait_limits() {
    let targets = [target("a", None), target("b", None)];
    let mut dispatcher = dispatcher(&targets);
    dispatcher.on_process_start(MonoMs(0));
    dispatcher.on_signal(&targets[0].incarnation, backoff(3_000), 0, MonoMs(1));
    dispatcher.on_signal(&targets[1].incarnation, backoff(5_000), 0, MonoMs(1));

    let outcome = submit(&mut dispatcher, 1, 1);

    assert_eq!(outcome, SubmitOutcome::Refused);
    assert_eq!(dispatcher.until_accepting_ms(MonoMs(1)), Some(3_000));
}

// Guards against a retry time of zero, or of years, if no target has a rate limit.
#[test]
fn the_time_until_accepting_includes_the_response_to_a_trial_request() {
    let targets = [target("a", None)];
    let mut dispatcher = dispatcher(&targets);
    dispatcher.on_signal(&targets[0].incarnation, backoff(100), 0, MonoMs(1));
    place(&mut dispatcher, 1, 200).expect("the backoff is over");

    let before_sending = dispatcher.until_accepting_ms(MonoMs(200));
    dispatcher
        .admit(&targets[0].incarnation, MonoMs(200))
        .expect("it may be sent");
    let after_sending = dispatcher.until_accepting_ms(MonoMs(400));

    assert_eq!((before_sending, after_sending), (Some(1_000), Some(800)));
}

#[test]
fn a_new_incarnation_does_not_inherit_the_backoff() {
    let previous = target("a", Some(1));
    let mut dispatcher = dispatcher(std::slice::from_ref(&previous));
    dispatcher.on_signal(&previous.incarnation, backoff(60_000), 0, MonoMs(1));
    let restarted = target("a", Some(2));

    dispatcher.set_targets([&restarted].into_iter());

    assert_eq!(place(&mut dispatcher, 1, 2), Some("a".into()));
}

fn leaving() -> BackpressureSignal {
    BackpressureSignal {
        is_leaving: true,
        ..BackpressureSignal::default()
    }
}

// Guards against requests to a target that has announced that it is leaving.
#[test]
fn a_leaving_target_gets_no_requests_not_even_placed_ones() {
    let targets = [target("a", None), target("b", None)];
    let mut dispatcher = dispatcher(&targets);
    let first = place(&mut dispatcher, 1, 1).expect("a slot is free");
    let listed = targets
        .iter()
        .find(|it| *it.id() == first)
        .expect("one of the two");
    dispatcher.on_signal(&listed.incarnation, leaving(), 0, MonoMs(2));

    let admitted = dispatcher.admit(&listed.incarnation, MonoMs(3));
    let placed: Vec<_> = (2..6)
        .map(|ticket| place(&mut dispatcher, ticket, 3))
        .collect();

    assert_eq!(admitted, Err(WithheldReason::Leaving));
    assert!(
        placed
            .iter()
            .all(|id| id.is_some() && *id != Some(Arc::clone(&first)))
    );
}

// Guards against a retry time that depends on leaving targets.
#[test]
fn leaving_targets_do_not_affect_the_time_until_accepting() {
    let targets = [target("a", None), target("b", None)];
    let mut dispatcher = dispatcher(&targets);
    dispatcher.on_signal(&targets[0].incarnation, leaving(), 0, MonoMs(1));
    let while_one_stays = dispatcher.until_accepting_ms(MonoMs(2));
    dispatcher.on_signal(&targets[1].incarnation, backoff(3_000), 0, MonoMs(1));
    let during_backoff = dispatcher.until_accepting_ms(MonoMs(2));
    dispatcher.on_signal(&targets[1].incarnation, leaving(), 0, MonoMs(3));

    let while_none_stays = dispatcher.until_accepting_ms(MonoMs(4));

    assert_eq!(
        (while_one_stays, during_backoff, while_none_stays),
        (None, Some(2_999), None)
    );
}
