//! What one target has said last, and whether it may get a request now.

use berylhook_backpressure::gate::{Gate, Withheld};
use berylhook_backpressure::rate::RequestRate;
use berylhook_backpressure::signal::LimitSignal;
use berylhook_core::time::MonoMs;

fn named(per_s: f64) -> LimitSignal {
    LimitSignal::Named(RequestRate::clamped(per_s))
}

fn limited(per_s: f64) -> Gate {
    let mut gate = Gate::default();
    gate.hear(named(per_s), MonoMs(1));
    gate
}

// Guards against a request that was placed before the limit was named, and sent after it.
#[test]
fn a_request_that_was_placed_before_the_limit_needs_a_permit_too() {
    let mut gate = Gate::default();
    gate.place();
    gate.hear(named(1.0), MonoMs(1));

    let admitted = gate.admit(MonoMs(2));

    assert_eq!(admitted, Err(Withheld::Limit));
}

// Guards against two requests that are placed on one permit.
#[test]
fn a_permit_has_room_for_one_request() {
    let mut gate = limited(1.0);
    gate.grant(1, MonoMs(1_000));
    let had_room = gate.has_room(MonoMs(2));
    gate.place();

    assert!(had_room);
    assert!(!gate.has_room(MonoMs(2)));
    assert_eq!(gate.admit(MonoMs(3)), Ok(()));
    assert!(!gate.has_room(MonoMs(3)));
}

// Guards against a permit that is lost with a caller who left before the request was sent.
#[test]
fn a_request_that_leaves_unsent_gives_its_permit_back() {
    let mut gate = limited(1.0);
    gate.grant(1, MonoMs(1_000));
    gate.place();

    gate.leave();

    assert!(gate.has_room(MonoMs(2)));
}

#[test]
fn a_permit_ends_with_its_time() {
    let mut gate = limited(1.0);
    gate.grant(1, MonoMs(1_000));
    gate.place();

    assert!(!gate.has_room(MonoMs(1_000)));
    assert_eq!(gate.admit(MonoMs(1_000)), Err(Withheld::Limit));
}

// Guards against a limit that comes back with a message that was long on its way.
#[test]
fn what_a_peer_heard_earlier_changes_nothing() {
    let mut gate = limited(1.0);
    gate.hear(LimitSignal::Absent, MonoMs(100));

    let news = gate.learn(Some(RequestRate::clamped(1.0)), MonoMs(50));

    assert_eq!(news, None);
    assert!(gate.has_room(MonoMs(101)));
}

// Guards against a target whose limit can't be read any more and counts as none.
#[test]
fn an_unreadable_limit_leaves_the_one_known_in_force() {
    let mut gate = limited(3.0);

    let news = gate.hear(LimitSignal::Unreadable, MonoMs(100));

    assert_eq!(news, None);
    assert_eq!(gate.limit(), Some(RequestRate::clamped(3.0)));
}

#[test]
fn an_unreadable_limit_that_comes_first_is_a_small_one() {
    let mut gate = Gate::default();

    gate.hear(LimitSignal::Unreadable, MonoMs(1));

    assert_eq!(gate.limit(), Some(RequestRate::UNREADABLE));
}

// Guards against permits of a former limit that are used under the next one.
#[test]
fn permits_end_with_the_limit() {
    let mut gate = limited(5.0);
    gate.grant(5, MonoMs(5_000));
    gate.hear(LimitSignal::Absent, MonoMs(100));

    gate.hear(named(5.0), MonoMs(200));

    assert!(!gate.has_room(MonoMs(201)));
}

#[test]
fn others_are_told_for_a_while_that_a_limit_is_over() {
    let mut gate = limited(1.0);
    gate.hear(LimitSignal::Absent, MonoMs(100));

    let soon = gate.state(MonoMs(200)).map(|state| state.limit);
    let later = gate.state(MonoMs(60_000));

    assert_eq!(soon, Some(None));
    assert_eq!(later, None);
}

#[test]
fn wishes_are_what_was_kept_back_beyond_the_permits_at_hand() {
    let mut gate = limited(5.0);
    for _ in 0..4 {
        gate.keep_back(MonoMs(10));
    }
    gate.grant(1, MonoMs(1_000));

    let state = gate.take_state(MonoMs(20)).expect("there is a limit");

    assert_eq!((state.wished, state.kept_back), (3, 4));
    let next = gate.take_state(MonoMs(30)).expect("there is a limit");
    assert_eq!((next.wished, next.kept_back), (0, 0));
}
