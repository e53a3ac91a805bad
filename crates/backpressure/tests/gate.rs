//! Tests of the admission gate of one target.

use berylhook_backpressure::gate::{AdmissionGate, WithheldReason};
use berylhook_backpressure::rate::RequestRate;
use berylhook_backpressure::signal::LimitSignal;
use berylhook_core::time::MonoMs;

fn named(per_s: f64) -> LimitSignal {
    LimitSignal::Named(RequestRate::clamped(per_s))
}

fn gate_with_limit(per_s: f64) -> AdmissionGate {
    let mut gate = AdmissionGate::default();
    gate.on_limit_signal(named(per_s), MonoMs(1));
    gate
}

// Guards against sending a request without a permit because it was placed before the target
// announced its limit.
#[test]
fn a_request_placed_before_the_limit_needs_a_permit() {
    let mut gate = AdmissionGate::default();
    gate.place();
    gate.on_limit_signal(named(1.0), MonoMs(1));

    let admitted = gate.admit(MonoMs(2));

    assert_eq!(admitted, Err(WithheldReason::Limit));
}

// Guards against placing two requests on one permit.
#[test]
fn a_permit_allows_one_request() {
    let mut gate = gate_with_limit(1.0);
    gate.add_permits(1, MonoMs(1_000));
    let could_place = gate.can_place(MonoMs(2));
    gate.place();

    assert!(could_place);
    assert!(!gate.can_place(MonoMs(2)));
    assert_eq!(gate.admit(MonoMs(3)), Ok(()));
    assert!(!gate.can_place(MonoMs(3)));
}

// Guards against losing a permit when the caller disconnects before the request is sent.
#[test]
fn a_cancelled_placement_returns_its_permit() {
    let mut gate = gate_with_limit(1.0);
    gate.add_permits(1, MonoMs(1_000));
    gate.place();

    gate.cancel_placement();

    assert!(gate.can_place(MonoMs(2)));
}

#[test]
fn a_permit_expires() {
    let mut gate = gate_with_limit(1.0);
    gate.add_permits(1, MonoMs(1_000));
    gate.place();

    assert!(!gate.can_place(MonoMs(1_000)));
    assert_eq!(gate.admit(MonoMs(1_000)), Err(WithheldReason::Limit));
}

// Guards against restoring a removed limit when a delayed report of it arrives.
#[test]
fn an_older_report_of_a_peer_changes_nothing() {
    let mut gate = gate_with_limit(1.0);
    gate.on_limit_signal(LimitSignal::Absent, MonoMs(100));

    let change = gate.on_peer_report(Some(RequestRate::clamped(1.0)), MonoMs(50));

    assert_eq!(change, None);
    assert!(gate.can_place(MonoMs(101)));
}

// Guards against an entry that, after its start, ignores limits announced before its start.
#[test]
fn a_limit_announced_before_this_process_started_is_applied() {
    let mut gate = AdmissionGate::default();

    let change = gate.on_peer_report(Some(RequestRate::clamped(1.0)), MonoMs(0));

    assert!(change.is_some());
    assert!(!gate.can_place(MonoMs(200)));
}

// Guards against treating a limit that can no longer be parsed as no limit.
#[test]
fn an_unreadable_limit_leaves_the_last_valid_limit_in_force() {
    let mut gate = gate_with_limit(3.0);

    let change = gate.on_limit_signal(LimitSignal::Unreadable, MonoMs(100));

    assert_eq!(change, None);
    assert_eq!(gate.limit(), Some(RequestRate::clamped(3.0)));
}

#[test]
fn an_unreadable_first_limit_gives_the_fallback_rate() {
    let mut gate = AdmissionGate::default();

    gate.on_limit_signal(LimitSignal::Unreadable, MonoMs(1));

    assert_eq!(gate.limit(), Some(RequestRate::UNREADABLE));
}

// Guards against using permits of a removed limit under the next limit.
#[test]
fn permits_are_dropped_when_the_limit_is_removed() {
    let mut gate = gate_with_limit(5.0);
    gate.add_permits(5, MonoMs(5_000));
    gate.on_limit_signal(LimitSignal::Absent, MonoMs(100));

    gate.on_limit_signal(named(5.0), MonoMs(200));

    assert!(!gate.can_place(MonoMs(201)));
}

#[test]
fn a_removed_limit_is_reported_for_a_limited_time() {
    let mut gate = gate_with_limit(1.0);
    gate.on_limit_signal(LimitSignal::Absent, MonoMs(100));

    let soon = gate.state(MonoMs(200)).map(|state| state.limit);
    let later = gate.state(MonoMs(60_000));

    assert_eq!(soon, Some(None));
    assert_eq!(later, None);
}

#[test]
fn permits_are_requested_for_withheld_requests_beyond_the_permits_held() {
    let mut gate = gate_with_limit(5.0);
    for _ in 0..4 {
        gate.withhold(MonoMs(10));
    }
    gate.add_permits(1, MonoMs(1_000));

    let state = gate.take_state(MonoMs(20)).expect("there is a limit");

    assert_eq!(state.requested, 3);
    let next = gate.take_state(MonoMs(30)).expect("there is a limit");
    assert_eq!(next.requested, 0);
}

fn gate_in_backoff(backoff_ms: u64) -> AdmissionGate {
    let mut gate = AdmissionGate::default();
    gate.start_backoff(backoff_ms, 0, MonoMs(1_000));
    gate
}

// Guards against sending a request during a backoff because it was placed before the backoff.
#[test]
fn a_request_placed_before_a_backoff_is_not_sent_during_it() {
    let mut gate = AdmissionGate::default();
    gate.place();
    gate.start_backoff(3_000, 0, MonoMs(1_000));

    let admitted = gate.admit(MonoMs(1_001));

    assert_eq!(admitted, Err(WithheldReason::Backoff));
}

#[test]
fn a_backoff_lasts_at_least_as_long_as_requested() {
    for random in 0..2_000 {
        let mut gate = AdmissionGate::default();
        gate.start_backoff(2_000, random, MonoMs(1_000));

        assert!(!gate.can_place(MonoMs(2_999)));
        assert!(gate.can_place(MonoMs(3_501)));
    }
}

// Guards against shortening a backoff when the target later requests a shorter one.
#[test]
fn a_repeated_backoff_is_never_shortened() {
    let mut gate = gate_in_backoff(3_000);
    let was_left_ms = gate.start_backoff(500, 0, MonoMs(1_100));
    assert_eq!(was_left_ms, 2_900);
    assert_eq!(gate.backoff_left_ms(MonoMs(1_100)), 2_900);

    gate.start_backoff(10_000, 0, MonoMs(1_200));

    assert_eq!(gate.backoff_left_ms(MonoMs(1_200)), 10_000);
}

// Guards against ending a backoff when the response to an earlier request arrives.
#[test]
fn a_request_accepted_during_a_backoff_does_not_end_it() {
    let mut gate = gate_in_backoff(3_000);

    assert!(!gate.on_accepted(MonoMs(1_010)));
    assert!(!gate.can_place(MonoMs(1_011)));
}

// Guards against sending all waiting requests at once at the end of a backoff.
#[test]
fn after_a_backoff_one_trial_request_is_sent_and_others_follow_once_it_is_accepted() {
    let mut gate = gate_in_backoff(1_000);
    gate.place();
    assert!(!gate.can_place(MonoMs(2_000)));
    assert_eq!(gate.admit(MonoMs(2_000)), Ok(()));
    assert!(!gate.can_place(MonoMs(2_001)));

    let ends_trial = gate.on_accepted(MonoMs(2_050));

    assert!(ends_trial);
    assert!(gate.can_place(MonoMs(2_051)));
}

// Guards against never using a target again after the response to its trial request was lost.
#[test]
fn a_second_trial_request_follows_if_the_first_gets_no_response() {
    let mut gate = gate_in_backoff(1_000);
    gate.place();
    gate.admit(MonoMs(2_000)).expect("the backoff is over");

    assert!(!gate.can_place(MonoMs(2_999)));
    assert!(gate.can_place(MonoMs(3_000)));
}

#[test]
fn a_backoff_is_limited_to_an_hour() {
    let gate = gate_in_backoff(u64::MAX);

    assert_eq!(gate.backoff_left_ms(MonoMs(1_000)), 3_600_000);
}

#[test]
fn a_request_needs_both_the_backoff_and_the_limit_to_allow_it() {
    let mut gate = gate_with_limit(1.0);
    gate.start_backoff(1_000, 0, MonoMs(1_000));
    gate.add_permits(1, MonoMs(9_000));

    assert!(!gate.can_place(MonoMs(1_500)));
    assert!(gate.can_place(MonoMs(2_000)));
}
