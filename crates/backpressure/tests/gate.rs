//! What one target has said last, and whether it may get a request now.

use berylhook_backpressure::gate::{AdmissionGate, WithheldReason};
use berylhook_backpressure::rate::RequestRate;
use berylhook_backpressure::signal::LimitSignal;
use berylhook_core::time::MonoMs;

fn named(per_s: f64) -> LimitSignal {
    LimitSignal::Named(RequestRate::clamped(per_s))
}

fn limited(per_s: f64) -> AdmissionGate {
    let mut gate = AdmissionGate::default();
    gate.on_limit_signal(named(per_s), MonoMs(1));
    gate
}

// Guards against a request that was placed before the limit was named, and sent after it.
#[test]
fn a_request_that_was_placed_before_the_limit_needs_a_permit_too() {
    let mut gate = AdmissionGate::default();
    gate.place();
    gate.on_limit_signal(named(1.0), MonoMs(1));

    let admitted = gate.admit(MonoMs(2));

    assert_eq!(admitted, Err(WithheldReason::Limit));
}

// Guards against two requests that are placed on one permit.
#[test]
fn a_permit_has_room_for_one_request() {
    let mut gate = limited(1.0);
    gate.add_permits(1, MonoMs(1_000));
    let had_room = gate.can_place(MonoMs(2));
    gate.place();

    assert!(had_room);
    assert!(!gate.can_place(MonoMs(2)));
    assert_eq!(gate.admit(MonoMs(3)), Ok(()));
    assert!(!gate.can_place(MonoMs(3)));
}

// Guards against a permit that is lost with a caller who left before the request was sent.
#[test]
fn a_request_that_leaves_unsent_gives_its_permit_back() {
    let mut gate = limited(1.0);
    gate.add_permits(1, MonoMs(1_000));
    gate.place();

    gate.cancel_placement();

    assert!(gate.can_place(MonoMs(2)));
}

#[test]
fn a_permit_ends_with_its_time() {
    let mut gate = limited(1.0);
    gate.add_permits(1, MonoMs(1_000));
    gate.place();

    assert!(!gate.can_place(MonoMs(1_000)));
    assert_eq!(gate.admit(MonoMs(1_000)), Err(WithheldReason::Limit));
}

// Guards against a limit that comes back with a message that was long on its way.
#[test]
fn what_a_peer_heard_earlier_changes_nothing() {
    let mut gate = limited(1.0);
    gate.on_limit_signal(LimitSignal::Absent, MonoMs(100));

    let news = gate.on_peer_report(Some(RequestRate::clamped(1.0)), MonoMs(50));

    assert_eq!(news, None);
    assert!(gate.can_place(MonoMs(101)));
}

// Guards against an entry that has just started and ignores what its peers heard before.
#[test]
fn what_a_peer_heard_before_this_process_started_is_taken_over() {
    let mut gate = AdmissionGate::default();

    let news = gate.on_peer_report(Some(RequestRate::clamped(1.0)), MonoMs(0));

    assert!(news.is_some());
    assert!(!gate.can_place(MonoMs(200)));
}

// Guards against a target whose limit can't be read any more and counts as none.
#[test]
fn an_unreadable_limit_leaves_the_one_known_in_force() {
    let mut gate = limited(3.0);

    let news = gate.on_limit_signal(LimitSignal::Unreadable, MonoMs(100));

    assert_eq!(news, None);
    assert_eq!(gate.limit(), Some(RequestRate::clamped(3.0)));
}

#[test]
fn an_unreadable_limit_that_comes_first_is_a_small_one() {
    let mut gate = AdmissionGate::default();

    gate.on_limit_signal(LimitSignal::Unreadable, MonoMs(1));

    assert_eq!(gate.limit(), Some(RequestRate::UNREADABLE));
}

// Guards against permits of a former limit that are used under the next one.
#[test]
fn permits_end_with_the_limit() {
    let mut gate = limited(5.0);
    gate.add_permits(5, MonoMs(5_000));
    gate.on_limit_signal(LimitSignal::Absent, MonoMs(100));

    gate.on_limit_signal(named(5.0), MonoMs(200));

    assert!(!gate.can_place(MonoMs(201)));
}

#[test]
fn others_are_told_for_a_while_that_a_limit_is_over() {
    let mut gate = limited(1.0);
    gate.on_limit_signal(LimitSignal::Absent, MonoMs(100));

    let soon = gate.state(MonoMs(200)).map(|state| state.limit);
    let later = gate.state(MonoMs(60_000));

    assert_eq!(soon, Some(None));
    assert_eq!(later, None);
}

#[test]
fn wishes_are_what_was_kept_back_beyond_the_permits_at_hand() {
    let mut gate = limited(5.0);
    for _ in 0..4 {
        gate.withhold(MonoMs(10));
    }
    gate.add_permits(1, MonoMs(1_000));

    let state = gate.take_state(MonoMs(20)).expect("there is a limit");

    assert_eq!(state.requested, 3);
    let next = gate.take_state(MonoMs(30)).expect("there is a limit");
    assert_eq!(next.requested, 0);
}

fn resting(rest_ms: u64) -> AdmissionGate {
    let mut gate = AdmissionGate::default();
    gate.start_backoff(rest_ms, 0, MonoMs(1_000));
    gate
}

// Guards against a request that was placed before the target asked for rest, and sent in it.
#[test]
fn a_request_that_was_placed_before_a_rest_is_not_sent_in_it() {
    let mut gate = AdmissionGate::default();
    gate.place();
    gate.start_backoff(3_000, 0, MonoMs(1_000));

    let admitted = gate.admit(MonoMs(1_001));

    assert_eq!(admitted, Err(WithheldReason::Backoff));
}

#[test]
fn a_rest_lasts_as_long_as_was_asked_and_no_spread_ends_it_sooner() {
    for random in 0..2_000 {
        let mut gate = AdmissionGate::default();
        gate.start_backoff(2_000, random, MonoMs(1_000));

        assert!(!gate.can_place(MonoMs(2_999)));
        assert!(gate.can_place(MonoMs(3_501)));
    }
}

// Guards against a rest that a later word cuts short: the earlier one still holds.
#[test]
fn a_rest_that_is_asked_for_again_is_never_shortened() {
    let mut gate = resting(3_000);
    let was_left_ms = gate.start_backoff(500, 0, MonoMs(1_100));
    assert_eq!(was_left_ms, 2_900);
    assert_eq!(gate.backoff_left_ms(MonoMs(1_100)), 2_900);

    gate.start_backoff(10_000, 0, MonoMs(1_200));

    assert_eq!(gate.backoff_left_ms(MonoMs(1_200)), 10_000);
}

// Guards against an answer of an earlier request that is taken for the end of the rest.
#[test]
fn what_is_accepted_in_a_rest_does_not_end_it() {
    let mut gate = resting(3_000);

    assert!(!gate.on_accepted(MonoMs(1_010)));
    assert!(!gate.can_place(MonoMs(1_011)));
}

// Guards against all that waited being sent at the end of a rest.
#[test]
fn one_request_tries_a_target_after_its_rest_and_the_others_follow_once_it_is_accepted() {
    let mut gate = resting(1_000);
    gate.place();
    assert!(!gate.can_place(MonoMs(2_000)));
    assert_eq!(gate.admit(MonoMs(2_000)), Ok(()));
    assert!(!gate.can_place(MonoMs(2_001)));

    let is_over = gate.on_accepted(MonoMs(2_050));

    assert!(is_over);
    assert!(gate.can_place(MonoMs(2_051)));
}

// Guards against a target that is lost for good with the answer to the request that tried it.
#[test]
fn a_target_is_tried_again_where_the_first_try_brought_no_answer() {
    let mut gate = resting(1_000);
    gate.place();
    gate.admit(MonoMs(2_000)).expect("its rest is over");

    assert!(!gate.can_place(MonoMs(2_999)));
    assert!(gate.can_place(MonoMs(3_000)));
}

#[test]
fn an_absurd_rest_ends_after_an_hour() {
    let gate = resting(u64::MAX);

    assert_eq!(gate.backoff_left_ms(MonoMs(1_000)), 3_600_000);
}

#[test]
fn a_target_that_rests_and_names_a_limit_needs_both_to_allow_a_request() {
    let mut gate = limited(1.0);
    gate.start_backoff(1_000, 0, MonoMs(1_000));
    gate.add_permits(1, MonoMs(9_000));

    assert!(!gate.can_place(MonoMs(1_500)));
    assert!(gate.can_place(MonoMs(2_000)));
}
