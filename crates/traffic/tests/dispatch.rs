//! Who waits, who is placed where, and who is refused.

use std::sync::Arc;

use berylhook_core::time::MonoMs;
use berylhook_traffic::configuration::EngineModel;
use berylhook_traffic::dispatch::{Dispatcher, Load, PlacementRequest, SubmitOutcome, Ticket};
use berylhook_traffic::engine_update::{EngineUpdate, Slowdown, Slowdowns};
use berylhook_traffic::health::HealthSample;
use berylhook_traffic::ownership::{Member, Membership};
use berylhook_traffic::target::{Incarnation, Phase, Target};

fn incarnation(id: &str) -> Incarnation {
    Incarnation {
        id: id.into(),
        started_unix_ms: None,
    }
}

fn news(paces: &Slowdowns) -> EngineUpdate {
    EngineUpdate {
        slowdowns: paces.clone(),
        groups: Vec::new(),
    }
}

fn target(id: &str, port: u16, data_centre: &str) -> Target {
    Target {
        incarnation: incarnation(id),
        service: "llm".into(),
        address: ([10, 0, 0, 1], port).into(),
        data_centre: data_centre.into(),
        slots: 12,
        phase: Phase::Ready,
        listed_revision: 1,
    }
}

fn engine() -> EngineModel {
    EngineModel {
        slots: 12,
        step_ms: 4.55,
        per_sequence_ms: 0.905,
        context_per_1000_ms: 0.0183,
        steps_per_pass: 4,
        prefill_tokens_per_s: 61_400.0,
        typical_prompt_tokens: 835.0,
        typical_response_tokens: 97.0,
        experts: None,
    }
}

/// An entry that knows no other.
fn alone() -> Membership {
    let own = Member {
        address: ([10, 0, 0, 2], 1).into(),
        data_centre: "here".into(),
        demand_per_s: None,
    };
    Membership::new(own, [])
}

fn plain(targets: &[Target]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(alone(), None);
    dispatcher.set_targets(targets.iter());
    dispatcher
}

/// A group of two engines of which this entry has a share of a sixteenth.
fn small_group() -> Dispatcher {
    let member = |port| Member {
        address: ([10, 0, 0, 2], port).into(),
        data_centre: "here".into(),
        demand_per_s: None,
    };
    let membership = Membership::new(member(1), (2..=16).map(member));
    let mut dispatcher = Dispatcher::new(membership, Some(&engine()));
    let targets = [target("a", 1, "here"), target("b", 2, "here")];
    dispatcher.set_targets(targets.iter());
    dispatcher
}

fn wish(urgency: u32, at_ms: u64) -> PlacementRequest {
    PlacementRequest {
        urgency,
        wait_limit_ms: 200,
        late_wait_limit_ms: 200,
        on_time_until_ms: MonoMs(at_ms + 200),
    }
}

fn place(dispatcher: &mut Dispatcher, ticket: u64, at_ms: u64) -> Option<Arc<str>> {
    match dispatcher.submit(Ticket(ticket), wish(1, at_ms), ticket, MonoMs(at_ms)) {
        SubmitOutcome::Placed(target) => Some(Arc::clone(target.id())),
        SubmitOutcome::Queued | SubmitOutcome::Refused => None,
    }
}

#[test]
fn requests_go_to_the_least_loaded_target_near_first() {
    let targets = [target("far", 1, "there"), target("near", 2, "here")];
    let mut dispatcher = plain(&targets);

    assert_eq!(place(&mut dispatcher, 0, 0), Some("near".into()));
    assert_eq!(place(&mut dispatcher, 1, 0), Some("far".into()));
    assert_eq!(place(&mut dispatcher, 2, 0), Some("near".into()));
}

#[test]
fn what_other_entries_run_at_a_target_counts_while_it_is_news() {
    let targets = [target("a", 1, "here"), target("b", 2, "here")];
    let mut dispatcher = plain(&targets);
    let busy = Load {
        running: 5,
        waiting: 1,
    };
    dispatcher.on_load(&incarnation("a"), busy, MonoMs(0));

    assert_eq!(place(&mut dispatcher, 0, 10), Some("b".into()));
    assert_eq!(place(&mut dispatcher, 0, 10), Some("b".into()));
    assert_eq!(place(&mut dispatcher, 0, 5_000), Some("a".into()));
}

// Symptom: every pass of a group takes as long as its slow engine. Sequence: an
// engine turns slow, requests go on being spread evenly. Cause: placement
// counted requests and not the time they take.
#[test]
fn a_slow_engine_gets_requests_last() {
    let mut dispatcher = Dispatcher::new(alone(), Some(&engine()));
    let targets = [target("slow", 1, "here"), target("b", 2, "here")];
    dispatcher.set_targets(targets.iter());
    let slow = Slowdown {
        factor: 2.7,
        started_unix_ms: None,
    };
    let paces: Slowdowns = [(targets[0].address, slow)].into();
    dispatcher.set_engine_update(&news(&paces), MonoMs(0));

    let placed: Vec<_> = (0..8)
        .map(|ticket| place(&mut dispatcher, ticket, 0))
        .collect();

    assert!(placed.iter().flatten().all(|id| **id == *"b"), "{placed:?}");
    assert!(placed.iter().flatten().count() >= 4);
}

#[test]
fn a_target_that_failed_twice_is_avoided_and_then_tried_with_one_request() {
    let targets = [target("bad", 1, "here"), target("good", 2, "here")];
    let mut dispatcher = plain(&targets);
    for _ in 0..2 {
        let again = dispatcher.place_additional(&[incarnation("good")], 0, MonoMs(0));
        assert!(again.is_some());
        dispatcher.release(&incarnation("bad"), Some(HealthSample::Failure), MonoMs(0));
    }

    let soon: Vec<_> = (0..3).map(|_| place(&mut dispatcher, 0, 10)).collect();
    let later: Vec<_> = (0..3).map(|_| place(&mut dispatcher, 0, 2_000)).collect();

    assert!(soon.iter().flatten().all(|id| **id == *"good"));
    let trials = later.iter().flatten().filter(|id| ***id == *"bad");
    assert_eq!(trials.count(), 1);
}

#[test]
fn where_every_target_is_avoided_all_are_used() {
    let mut dispatcher = plain(&[target("a", 1, "here")]);
    for _ in 0..3 {
        dispatcher.place_additional(&[], 0, MonoMs(0));
        dispatcher.release(&incarnation("a"), Some(HealthSample::Failure), MonoMs(0));
    }

    assert_eq!(place(&mut dispatcher, 0, 1), Some("a".into()));
}

#[test]
fn more_urgent_requests_are_placed_first() {
    let mut dispatcher = small_group();
    while place(&mut dispatcher, 0, 0).is_some() {}
    dispatcher.cancel(Ticket(0));
    dispatcher.submit(Ticket(1), wish(2, 0), 0, MonoMs(0));
    dispatcher.submit(Ticket(2), wish(0, 0), 0, MonoMs(0));

    dispatcher.release(&incarnation("a"), Some(HealthSample::Success), MonoMs(5));

    let (ticket, _) = dispatcher
        .place_next(0, MonoMs(5))
        .expect("a place is free");
    assert_eq!(ticket, Ticket(2));
}

// Symptom: callers wait and are refused all the same. Sequence: a burst fills
// the queue far beyond what is freed in the time a caller waits. Cause: the
// queue took everybody in.
#[test]
fn a_request_that_would_not_be_placed_in_time_is_refused_at_once() {
    let mut dispatcher = small_group();
    let mut at_ms = 0;
    while place(&mut dispatcher, 0, 0).is_some() {}
    dispatcher.cancel(Ticket(0));
    // A place is freed every 100 ms, and taken again.
    for _ in 0..20 {
        at_ms += 100;
        dispatcher.release(
            &incarnation("a"),
            Some(HealthSample::Success),
            MonoMs(at_ms),
        );
        place(&mut dispatcher, 0, at_ms);
    }

    let arrivals: Vec<_> = (1..=5)
        .map(|ticket| dispatcher.submit(Ticket(ticket), wish(1, at_ms), 0, MonoMs(at_ms)))
        .collect();

    assert_eq!(arrivals[0], SubmitOutcome::Queued);
    assert_eq!(arrivals[4], SubmitOutcome::Refused);
}

// Symptom: hundreds of requests are refused in the second in which a group
// forms anew, and the budget for second sends is spent. Sequence: a rank
// crashes, its group refuses everything, each request is sent at once, and
// again. Cause: refusals of a whole service were treated as one target's.
#[test]
fn a_service_that_refuses_everything_is_tried_now_and_then() {
    let mut dispatcher = small_group();
    let first = place(&mut dispatcher, 0, 0).expect("a place is free");
    dispatcher.release(&incarnation(&first), None, MonoMs(1));
    dispatcher.on_refused(&incarnation("a"), MonoMs(1));

    let tried = (0..300).filter(|ms| {
        let arrival = dispatcher.submit(Ticket(*ms), wish(1, 2 + *ms), 0, MonoMs(2 + *ms));
        if let SubmitOutcome::Placed(target) = &arrival {
            dispatcher.release(&target.incarnation, None, MonoMs(2 + *ms));
            dispatcher.on_refused(&target.incarnation, MonoMs(2 + *ms));
            return true;
        }
        dispatcher.cancel(Ticket(*ms));
        assert_eq!(arrival, SubmitOutcome::Queued);
        false
    });

    assert_eq!(tried.count(), 2);
    dispatcher.on_accepted(&incarnation("a"), MonoMs(302));
    assert!(place(&mut dispatcher, 0, 400).is_some());
}

// Symptom: after a group's return everybody is late for seconds. Sequence: a
// hundred requests wait while the group forms anew, it opens, they are placed in
// the order they came, and each new one waits behind them until it is late too.
// Cause: a queue in order of arrival alone.
#[test]
fn when_a_group_is_back_those_who_can_still_be_timely_go_first() {
    let mut dispatcher = small_group();
    let first = place(&mut dispatcher, 0, 0).expect("a place is free");
    dispatcher.release(&incarnation(&first), None, MonoMs(1));
    dispatcher.on_refused(&incarnation("a"), MonoMs(1));
    for ticket in 1..=20 {
        dispatcher.submit(Ticket(ticket), wish(1, 10), 0, MonoMs(10));
    }
    dispatcher.submit(Ticket(99), wish(1, 1_000), 0, MonoMs(1_000));

    dispatcher.on_accepted(&incarnation("a"), MonoMs(1_010));
    let order: Vec<Ticket> = std::iter::from_fn(|| dispatcher.place_next(0, MonoMs(1_010)))
        .map(|(ticket, _)| ticket)
        .collect();

    assert_eq!(order[..2], [Ticket(99), Ticket(1)]);
}

#[test]
fn a_target_that_is_no_longer_listed_gets_nothing_and_loses_nothing() {
    let mut dispatcher = plain(&[target("a", 1, "here"), target("b", 2, "here")]);
    place(&mut dispatcher, 0, 0);
    place(&mut dispatcher, 1, 0);

    dispatcher.set_targets([target("b", 2, "here")].iter());
    dispatcher.release(&incarnation("a"), Some(HealthSample::Success), MonoMs(1));

    assert_eq!(dispatcher.counts(), (1, 0, 1));
    assert_eq!(place(&mut dispatcher, 0, 1), Some("b".into()));
}

// Symptom: callers of one engine wait two seconds for a first event and leave,
// while others get theirs. Sequence: the engine's VM is frozen after it has
// accepted their requests. Cause: silence was looked for only after the first
// event, and by the stream alone.
#[test]
fn a_target_that_alone_brings_nothing_is_silent() {
    let mut dispatcher = plain(&[target("a", 1, "here"), target("b", 2, "here")]);
    dispatcher.on_stream_event(&incarnation("a"), MonoMs(1_000));
    dispatcher.on_stream_event(&incarnation("b"), MonoMs(1_000));

    let at_first = dispatcher.is_silent(&incarnation("a"), MonoMs(1_100));
    dispatcher.on_stream_event(&incarnation("b"), MonoMs(1_900));
    let alone = dispatcher.is_silent(&incarnation("a"), MonoMs(2_000));
    let with_all_others = dispatcher.is_silent(&incarnation("a"), MonoMs(3_000));

    assert_eq!((at_first, alone, with_all_others), (false, true, false));
}

fn started(id: &str, started_unix_ms: u64) -> Target {
    Target {
        incarnation: Incarnation {
            id: id.into(),
            started_unix_ms: Some(started_unix_ms),
        },
        ..target(id, 1, "here")
    }
}

// Symptom: a target that has just started again gets nothing for seconds, or is
// taken to be full. Sequence: its former incarnation fails requests and is
// avoided; it starts anew under the same id; requests of the former one end.
// Cause: health and running requests were kept by id alone.
#[test]
fn a_target_that_starts_anew_is_not_judged_by_its_former_incarnation() {
    let (former, reborn) = (started("a", 1_000), started("a", 2_000));
    let mut dispatcher = plain(std::slice::from_ref(&former));
    for ticket in 0..12 {
        place(&mut dispatcher, ticket, 0);
    }
    for _ in 0..2 {
        dispatcher.release(&former.incarnation, Some(HealthSample::Failure), MonoMs(10));
    }

    dispatcher.set_targets(std::iter::once(&reborn));
    let placed = (0..12).filter_map(|ticket| place(&mut dispatcher, ticket, 20));

    assert_eq!(placed.count(), 12);
    // What still ends at the former incarnation frees nothing at the new one.
    dispatcher.release(&former.incarnation, None, MonoMs(30));
    assert_eq!(place(&mut dispatcher, 99, 30), None);
}

// Symptom: an engine that was slow and was started anew gets too little work.
// Sequence: its pace is read; it starts anew; nobody reads it again while its
// leader is away. Cause: paces were kept by address alone.
#[test]
fn a_pace_is_that_of_one_incarnation() {
    let (slow, other) = (started("slow", 1_000), target("other", 2, "here"));
    let pace = Slowdown {
        factor: 9.0,
        started_unix_ms: Some(1_000),
    };
    let paces = Slowdowns::from([(slow.address, pace)]);
    let reborn = started("slow", 2_000);
    let mut dispatcher = Dispatcher::new(alone(), Some(&engine()));

    dispatcher.set_targets([&slow, &other].into_iter());
    dispatcher.set_engine_update(&news(&paces), MonoMs(0));
    let before = place(&mut dispatcher, 0, 0);
    dispatcher.set_targets([&reborn, &other].into_iter());
    dispatcher.set_engine_update(&news(&paces), MonoMs(0));
    let after = place(&mut dispatcher, 0, 0);

    assert_eq!(before, Some("other".into()));
    assert_eq!(after, Some("slow".into()));
}

// Symptom: an entry ends by itself when somebody registers two targets. Sequence:
// each claims four billion slots. Cause: their sum overflows.
#[test]
fn slots_beyond_reason_do_not_end_the_process() {
    let huge = |id: &str, port| Target {
        slots: u32::MAX,
        ..target(id, port, "here")
    };
    let mut dispatcher = Dispatcher::new(alone(), Some(&engine()));

    dispatcher.set_targets([&huge("a", 1), &huge("b", 2)].into_iter());

    assert!(place(&mut dispatcher, 0, 0).is_some());
}
