//! What targets said of themselves outlives a moment in which they are not listed.

mod common;

use berylhook_backpressure::gate::WithheldReason;
use berylhook_backpressure::signal::BackpressureSignal;
use berylhook_core::time::MonoMs;

use crate::common::{dispatcher, place, rate_limit, target};

fn leaving() -> BackpressureSignal {
    BackpressureSignal {
        is_leaving: true,
        ..BackpressureSignal::default()
    }
}

fn backoff(backoff_ms: u64) -> BackpressureSignal {
    BackpressureSignal {
        backoff_ms: Some(backoff_ms),
        ..BackpressureSignal::default()
    }
}

// Guards against requests to a leaving target whose entry in the list has lapsed for a moment.
#[test]
fn a_leaving_target_stays_out_of_use_when_it_is_listed_again() {
    let listed = target("a", Some(1));
    let mut dispatcher = dispatcher(std::slice::from_ref(&listed));

    dispatcher.on_signal(&listed.incarnation, leaving(), 0, MonoMs(1));
    dispatcher.set_targets([].into_iter());
    dispatcher.set_targets([&listed].into_iter());

    assert_eq!(place(&mut dispatcher, 1, 2), None);
    let admitted = dispatcher.admit(&listed.incarnation, MonoMs(3));
    assert_eq!(admitted, Err(WithheldReason::Leaving));
}

// Guards against an announcement that is lost because it arrives while the target is not listed.
#[test]
fn an_announcement_of_an_unlisted_target_holds_when_it_is_listed_again() {
    let listed = target("a", Some(1));
    let mut dispatcher = dispatcher(std::slice::from_ref(&listed));

    dispatcher.set_targets([].into_iter());
    dispatcher.on_signal(&listed.incarnation, leaving(), 0, MonoMs(1));
    dispatcher.set_targets([&listed].into_iter());

    assert_eq!(place(&mut dispatcher, 1, 2), None);
}

// Guards against requests to a leaving target whose entry begins to tell when the target started.
#[test]
fn a_leaving_target_stays_out_of_use_when_its_start_time_becomes_known() {
    let without_start = target("a", None);
    let with_start = target("a", Some(1));
    let mut dispatcher = dispatcher(std::slice::from_ref(&without_start));

    dispatcher.on_signal(&without_start.incarnation, leaving(), 0, MonoMs(1));
    dispatcher.set_targets([&with_start].into_iter());

    assert_eq!(place(&mut dispatcher, 1, 2), None);
}

// Guards against a target that starts again under its id and stays out of use for good.
#[test]
fn a_target_that_starts_again_after_it_left_is_used() {
    let before = target("a", Some(1));
    let after = target("a", Some(2));
    let mut dispatcher = dispatcher(std::slice::from_ref(&before));

    dispatcher.on_signal(&before.incarnation, leaving(), 0, MonoMs(1));
    dispatcher.set_targets([].into_iter());
    dispatcher.set_targets([&after].into_iter());

    assert_eq!(place(&mut dispatcher, 1, 2), Some("a".into()));
}

// Guards against requests within the backoff that a target asked for.
#[test]
fn a_backoff_outlives_a_moment_in_which_the_target_is_not_listed() {
    let listed = target("a", Some(1));
    let mut dispatcher = dispatcher(std::slice::from_ref(&listed));

    dispatcher.on_signal(&listed.incarnation, backoff(3_000), 0, MonoMs(1));
    dispatcher.set_targets([].into_iter());
    dispatcher.set_targets([&listed].into_iter());

    assert_eq!(place(&mut dispatcher, 1, 2), None);
    assert_eq!(place(&mut dispatcher, 2, 3_002), Some("a".into()));
}

// Guards against requests beyond the rate limit that a target announced.
#[test]
fn a_rate_limit_outlives_a_moment_in_which_the_target_is_not_listed() {
    let listed = target("a", Some(1));
    let mut dispatcher = dispatcher(std::slice::from_ref(&listed));

    dispatcher.on_signal(&listed.incarnation, rate_limit(1.0), 0, MonoMs(1));
    dispatcher.set_targets([].into_iter());
    dispatcher.set_targets([&listed].into_iter());

    assert_eq!(place(&mut dispatcher, 1, 2), None);
}
