//! Where requests go when targets say that they take no more.

use std::sync::Arc;

use berylhook_backpressure::gate::WithheldReason;
use berylhook_backpressure::rate::RequestRate;
use berylhook_backpressure::signal::{BackpressureSignal, LimitSignal};
use berylhook_core::time::MonoMs;
use berylhook_traffic::dispatch::{Dispatcher, PlacementRequest, SubmitOutcome, Ticket};
use berylhook_traffic::ownership::{Member, Membership};
use berylhook_traffic::retry_after::{RetryReason, retry_after_ms};
use berylhook_traffic::target::{Incarnation, Phase, Target};

fn target(id: &str, started_unix_ms: Option<u64>) -> Target {
    Target {
        incarnation: Incarnation {
            id: id.into(),
            started_unix_ms,
        },
        service: "push".into(),
        address: ([10, 0, 0, 1], 1).into(),
        data_centre: "here".into(),
        slots: 12,
        phase: Phase::Ready,
        listed_revision: 1,
    }
}

fn plain(targets: &[Target]) -> Dispatcher {
    let own = Member {
        address: ([10, 0, 0, 2], 1).into(),
        data_centre: "here".into(),
        demand_per_s: None,
    };
    let mut dispatcher = Dispatcher::new(Membership::new(own, []), None);
    dispatcher.set_targets(targets.iter());
    dispatcher
}

fn limit(per_s: f64) -> BackpressureSignal {
    BackpressureSignal {
        limit: LimitSignal::Named(RequestRate::clamped(per_s)),
        ..BackpressureSignal::default()
    }
}

fn arrive(dispatcher: &mut Dispatcher, ticket: u64, at_ms: u64) -> SubmitOutcome {
    let wish = PlacementRequest {
        urgency: 1,
        wait_limit_ms: 20,
        late_wait_limit_ms: 20,
        on_time_until_ms: MonoMs(at_ms + 20),
    };
    dispatcher.submit(Ticket(ticket), wish, ticket, MonoMs(at_ms))
}

fn place(dispatcher: &mut Dispatcher, ticket: u64, at_ms: u64) -> Option<Arc<str>> {
    match arrive(dispatcher, ticket, at_ms) {
        SubmitOutcome::Placed(target) => Some(Arc::clone(target.id())),
        SubmitOutcome::Queued | SubmitOutcome::Refused => None,
    }
}

// Guards against an idle target that draws all requests because it takes none.
#[test]
fn requests_for_a_target_at_its_limit_go_to_others_and_are_counted() {
    let targets = [target("a", None), target("b", None)];
    let mut dispatcher = plain(&targets);
    dispatcher.on_signal(&targets[0].incarnation, limit(1.0), 0, MonoMs(1));

    let placed: Vec<_> = (0..4)
        .map(|ticket| place(&mut dispatcher, ticket, 2))
        .collect();

    assert_eq!(placed, vec![Some("b".into()); 4]);
    let states = dispatcher.take_limit_states(MonoMs(3));
    assert_eq!(states.len(), 1);
    assert_eq!(states[0].1.requested, 4);
}

#[test]
fn a_permit_lets_one_request_through() {
    let targets = [target("a", None)];
    let mut dispatcher = plain(&targets);
    dispatcher.on_signal(&targets[0].incarnation, limit(1.0), 0, MonoMs(1));
    dispatcher.on_permits(&targets[0].incarnation, 1, MonoMs(1_000));

    let first = place(&mut dispatcher, 1, 2);
    let admitted = dispatcher.admit(&targets[0].incarnation, MonoMs(2));
    let second = place(&mut dispatcher, 2, 3);

    assert_eq!((first, admitted, second), (Some("a".into()), Ok(()), None));
}

// Guards against a request that waits until its caller gives up for a target that takes no
// more, and against a time to come back that has nothing to do with the limit.
#[test]
fn callers_are_told_when_the_targets_take_a_request_again() {
    let targets = [target("a", None), target("b", None)];
    let mut dispatcher = plain(&targets);
    for of in &targets {
        dispatcher.on_signal(&of.incarnation, limit(1.0), 0, MonoMs(1));
    }

    let until_accepting_ms = dispatcher
        .until_accepting_ms(MonoMs(2))
        .expect("none takes one now");

    assert_eq!(until_accepting_ms, 500);
    for random in 0..2_000 {
        let back_ms = retry_after_ms(8_000, RetryReason::Withheld { until_accepting_ms }, random);
        assert!((500..1_000).contains(&back_ms));
    }
}

// Guards against a limit that outlives the target that named it.
#[test]
fn a_new_incarnation_starts_without_the_limit_of_the_former_one() {
    let former = target("a", Some(1));
    let mut dispatcher = plain(std::slice::from_ref(&former));
    dispatcher.on_signal(&former.incarnation, limit(1.0), 0, MonoMs(1));
    let next = target("a", Some(2));

    dispatcher.set_targets([&next].into_iter());

    assert_eq!(dispatcher.rate_limit(&next.incarnation), None);
    assert_eq!(place(&mut dispatcher, 1, 2), Some("a".into()));
}

// Guards against a request that waited for its turn and is sent to a target that is gone.
#[test]
fn a_placed_request_is_not_sent_to_a_target_that_is_not_listed_any_more() {
    let targets = [target("a", None), target("b", None)];
    let mut dispatcher = plain(&targets);
    let placed = place(&mut dispatcher, 1, 1).expect("there is room");
    let rest = targets.iter().filter(|it| *it.id() != placed);
    dispatcher.set_targets(rest);
    let of = targets
        .iter()
        .find(|it| *it.id() == placed)
        .expect("one of the two");

    let admitted = dispatcher.admit(&of.incarnation, MonoMs(2));

    assert_eq!(admitted, Err(WithheldReason::NotListed));
}

fn rest(rest_ms: u64) -> BackpressureSignal {
    BackpressureSignal {
        backoff_ms: Some(rest_ms),
        ..BackpressureSignal::default()
    }
}

// Guards against a target that refuses, looks idle and draws all requests.
#[test]
fn requests_for_a_target_that_rests_go_to_others() {
    let targets = [target("a", None), target("b", None)];
    let mut dispatcher = plain(&targets);
    dispatcher.on_signal(&targets[0].incarnation, rest(3_000), 0, MonoMs(1));

    let placed: Vec<_> = (0..4)
        .map(|ticket| place(&mut dispatcher, ticket, 2))
        .collect();

    assert_eq!(placed, vec![Some("b".into()); 4]);
}

// Guards against callers that wait for targets of which none takes a request in time.
#[test]
fn who_would_wait_for_nothing_is_refused_at_once_and_told_when_the_first_rest_ends() {
    let targets = [target("a", None), target("b", None)];
    let mut dispatcher = plain(&targets);
    dispatcher.on_process_start(MonoMs(0));
    dispatcher.on_signal(&targets[0].incarnation, rest(3_000), 0, MonoMs(1));
    dispatcher.on_signal(&targets[1].incarnation, rest(5_000), 0, MonoMs(1));

    let arrival = arrive(&mut dispatcher, 1, 1);

    assert_eq!(arrival, SubmitOutcome::Refused);
    assert_eq!(dispatcher.until_accepting_ms(MonoMs(1)), Some(3_000));
}

// Guards against a time to come back of zero, or of years, where no limit is named.
#[test]
fn the_time_to_come_back_counts_the_answer_to_a_request_that_tries_the_target() {
    let targets = [target("a", None)];
    let mut dispatcher = plain(&targets);
    dispatcher.on_signal(&targets[0].incarnation, rest(100), 0, MonoMs(1));
    place(&mut dispatcher, 1, 200).expect("its rest is over");

    let before_it_is_sent = dispatcher.until_accepting_ms(MonoMs(200));
    dispatcher
        .admit(&targets[0].incarnation, MonoMs(200))
        .expect("it may be sent");
    let after = dispatcher.until_accepting_ms(MonoMs(400));

    assert_eq!((before_it_is_sent, after), (Some(1_000), Some(800)));
}

#[test]
fn a_new_incarnation_starts_without_the_rest_of_the_former_one() {
    let former = target("a", Some(1));
    let mut dispatcher = plain(std::slice::from_ref(&former));
    dispatcher.on_signal(&former.incarnation, rest(60_000), 0, MonoMs(1));
    let next = target("a", Some(2));

    dispatcher.set_targets([&next].into_iter());

    assert_eq!(place(&mut dispatcher, 1, 2), Some("a".into()));
}

fn leaving() -> BackpressureSignal {
    BackpressureSignal {
        is_leaving: true,
        ..BackpressureSignal::default()
    }
}

// Guards against a request that goes to a target which said itself that it leaves.
#[test]
fn a_target_that_leaves_gets_nothing_more_also_what_was_placed_before() {
    let targets = [target("a", None), target("b", None)];
    let mut dispatcher = plain(&targets);
    let first = place(&mut dispatcher, 1, 1).expect("there is room");
    let of = targets
        .iter()
        .find(|it| *it.id() == first)
        .expect("one of the two");
    dispatcher.on_signal(&of.incarnation, leaving(), 0, MonoMs(2));

    let admitted = dispatcher.admit(&of.incarnation, MonoMs(3));
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

// Guards against a time to come back that is taken from targets which leave.
#[test]
fn targets_that_leave_do_not_say_when_to_come_back() {
    let targets = [target("a", None), target("b", None)];
    let mut dispatcher = plain(&targets);
    dispatcher.on_signal(&targets[0].incarnation, leaving(), 0, MonoMs(1));
    let while_one_stays = dispatcher.until_accepting_ms(MonoMs(2));
    dispatcher.on_signal(&targets[1].incarnation, rest(3_000), 0, MonoMs(1));
    let while_it_rests = dispatcher.until_accepting_ms(MonoMs(2));
    dispatcher.on_signal(&targets[1].incarnation, leaving(), 0, MonoMs(3));

    let while_none_stays = dispatcher.until_accepting_ms(MonoMs(4));

    assert_eq!(
        (while_one_stays, while_it_rests, while_none_stays),
        (None, Some(2_999), None)
    );
}
