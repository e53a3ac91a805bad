//! Queueing, placement and refusal of requests.

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

fn update(slowdowns: &Slowdowns) -> EngineUpdate {
    EngineUpdate {
        slowdowns: slowdowns.clone(),
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
        cold: None,
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
fn lone_membership() -> Membership {
    let own = Member {
        address: ([10, 0, 0, 2], 1).into(),
        data_centre: "here".into(),
        demand_per_s: None,
    };
    Membership::new(own, [])
}

fn dispatcher_without_engine(targets: &[Target]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(lone_membership(), None);
    dispatcher.set_targets(targets.iter());
    dispatcher
}

/// A group of two engines of which this entry has a share of one sixteenth.
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

fn request(urgency: u32, at_ms: u64) -> PlacementRequest {
    PlacementRequest {
        urgency,
        wait_limit_ms: 200,
        late_wait_limit_ms: 200,
        on_time_until_ms: MonoMs(at_ms + 200),
        allowed_regions: None,
    }
}

fn place(dispatcher: &mut Dispatcher, ticket: u64, at_ms: u64) -> Option<Arc<str>> {
    match dispatcher.submit(Ticket(ticket), request(1, at_ms), ticket, MonoMs(at_ms)) {
        SubmitOutcome::Placed(target) => Some(Arc::clone(target.id())),
        SubmitOutcome::Queued | SubmitOutcome::Refused => None,
    }
}

#[test]
fn requests_go_to_the_least_loaded_target_and_prefer_the_own_data_centre() {
    let targets = [target("far", 1, "there"), target("near", 2, "here")];
    let mut dispatcher = dispatcher_without_engine(&targets);

    assert_eq!(place(&mut dispatcher, 0, 0), Some("near".into()));
    assert_eq!(place(&mut dispatcher, 1, 0), Some("far".into()));
    assert_eq!(place(&mut dispatcher, 2, 0), Some("near".into()));
}

#[test]
fn the_reported_load_of_other_entries_counts_while_it_is_current() {
    let targets = [target("a", 1, "here"), target("b", 2, "here")];
    let mut dispatcher = dispatcher_without_engine(&targets);
    let busy = Load {
        running: 5,
        waiting: 1,
    };
    dispatcher.on_load(&incarnation("a"), busy, MonoMs(0));

    assert_eq!(place(&mut dispatcher, 0, 10), Some("b".into()));
    assert_eq!(place(&mut dispatcher, 0, 10), Some("b".into()));
    assert_eq!(place(&mut dispatcher, 0, 5_000), Some("a".into()));
}

// Guards against placement that counts requests and ignores their duration: a slow engine that gets
// as many requests as the others delays every forward pass of its group.
#[test]
fn a_slow_engine_gets_requests_last() {
    let mut dispatcher = Dispatcher::new(lone_membership(), Some(&engine()));
    let targets = [target("slow", 1, "here"), target("b", 2, "here")];
    dispatcher.set_targets(targets.iter());
    let slow = Slowdown {
        factor: 2.7,
        started_unix_ms: None,
    };
    let slowdowns: Slowdowns = [(targets[0].address, slow)].into();
    dispatcher.set_engine_update(&update(&slowdowns), MonoMs(0));

    let placed: Vec<_> = (0..8)
        .map(|ticket| place(&mut dispatcher, ticket, 0))
        .collect();

    assert!(placed.iter().flatten().all(|id| **id == *"b"), "{placed:?}");
    assert!(placed.iter().flatten().count() >= 4);
}

#[test]
fn a_target_that_failed_twice_is_ejected_and_then_tried_with_one_request() {
    let targets = [target("bad", 1, "here"), target("good", 2, "here")];
    let mut dispatcher = dispatcher_without_engine(&targets);
    for _ in 0..2 {
        let additional = dispatcher.place_additional(&[incarnation("good")], 0, MonoMs(0));
        assert!(additional.is_some());
        dispatcher.release(&incarnation("bad"), Some(HealthSample::Failure), MonoMs(0));
    }

    let soon: Vec<_> = (0..3).map(|_| place(&mut dispatcher, 0, 10)).collect();
    let later: Vec<_> = (0..3).map(|_| place(&mut dispatcher, 0, 2_000)).collect();

    assert!(soon.iter().flatten().all(|id| **id == *"good"));
    let trials = later.iter().flatten().filter(|id| ***id == *"bad");
    assert_eq!(trials.count(), 1);
}

#[test]
fn all_targets_are_used_if_every_one_is_ejected() {
    let mut dispatcher = dispatcher_without_engine(&[target("a", 1, "here")]);
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
    dispatcher.submit(Ticket(1), request(2, 0), 0, MonoMs(0));
    dispatcher.submit(Ticket(2), request(0, 0), 0, MonoMs(0));

    dispatcher.release(&incarnation("a"), Some(HealthSample::Success), MonoMs(5));

    let (ticket, _) = dispatcher.place_next(0, MonoMs(5)).expect("a slot is free");
    assert_eq!(ticket, Ticket(2));
}

// Guards against callers that wait and are refused anyway: a burst fills the queue far beyond the
// number of slots that become free within a caller's wait limit.
#[test]
fn a_request_that_would_not_be_placed_in_time_is_refused_at_once() {
    let mut dispatcher = small_group();
    let mut at_ms = 0;
    while place(&mut dispatcher, 0, 0).is_some() {}
    dispatcher.cancel(Ticket(0));
    // A slot is freed every 100 ms, and taken again.
    for _ in 0..20 {
        at_ms += 100;
        dispatcher.release(
            &incarnation("a"),
            Some(HealthSample::Success),
            MonoMs(at_ms),
        );
        place(&mut dispatcher, 0, at_ms);
    }

    let outcomes: Vec<_> = (1..=5)
        .map(|ticket| dispatcher.submit(Ticket(ticket), request(1, at_ms), 0, MonoMs(at_ms)))
        .collect();

    assert_eq!(outcomes[0], SubmitOutcome::Queued);
    assert_eq!(outcomes[4], SubmitOutcome::Refused);
}

// Guards against treating refusals of a whole service like those of a single target. After a rank
// has crashed, its group refuses all requests until it has formed again; if each were sent at once
// and then a second time, hundreds would be refused and the retry budget spent.
#[test]
fn a_service_that_refuses_all_requests_is_probed_at_intervals() {
    let mut dispatcher = small_group();
    let first = place(&mut dispatcher, 0, 0).expect("a slot is free");
    dispatcher.release(&incarnation(&first), None, MonoMs(1));
    dispatcher.on_refused(&incarnation("a"), MonoMs(1));

    let probes = (0..300).filter(|ms| {
        let outcome = dispatcher.submit(Ticket(*ms), request(1, 2 + *ms), 0, MonoMs(2 + *ms));
        if let SubmitOutcome::Placed(target) = &outcome {
            dispatcher.release(&target.incarnation, None, MonoMs(2 + *ms));
            dispatcher.on_refused(&target.incarnation, MonoMs(2 + *ms));
            return true;
        }
        dispatcher.cancel(Ticket(*ms));
        assert_eq!(outcome, SubmitOutcome::Queued);
        false
    });

    assert_eq!(probes.count(), 2);
    dispatcher.on_accepted(&incarnation("a"), MonoMs(302));
    assert!(place(&mut dispatcher, 0, 400).is_some());
}

// Guards against a queue in order of arrival alone. A hundred requests wait while a group forms
// again; if they are placed first, each new one waits behind them until it is late too, for
// seconds.
#[test]
fn requests_that_can_still_be_on_time_go_first_after_an_outage() {
    let mut dispatcher = small_group();
    let first = place(&mut dispatcher, 0, 0).expect("a slot is free");
    dispatcher.release(&incarnation(&first), None, MonoMs(1));
    dispatcher.on_refused(&incarnation("a"), MonoMs(1));
    for ticket in 1..=20 {
        dispatcher.submit(Ticket(ticket), request(1, 10), 0, MonoMs(10));
    }
    dispatcher.submit(Ticket(99), request(1, 1_000), 0, MonoMs(1_000));

    dispatcher.on_accepted(&incarnation("a"), MonoMs(1_010));
    let order: Vec<Ticket> = std::iter::from_fn(|| dispatcher.place_next(0, MonoMs(1_010)))
        .map(|(ticket, _)| ticket)
        .collect();

    assert_eq!(order[..2], [Ticket(99), Ticket(1)]);
}

#[test]
fn a_removed_target_gets_no_requests_and_its_running_ones_still_count() {
    let mut dispatcher =
        dispatcher_without_engine(&[target("a", 1, "here"), target("b", 2, "here")]);
    place(&mut dispatcher, 0, 0);
    place(&mut dispatcher, 1, 0);

    dispatcher.set_targets([target("b", 2, "here")].iter());
    dispatcher.release(&incarnation("a"), Some(HealthSample::Success), MonoMs(1));

    assert_eq!(dispatcher.counts(), (1, 0, 1));
    assert_eq!(place(&mut dispatcher, 0, 1), Some("b".into()));
}

// Guards against callers that wait two seconds for a first event and disconnect. The VM of one
// engine freezes after it has accepted their requests; silence must be detected before the first
// event, and by comparison with other targets.
#[test]
fn a_target_is_silent_if_only_its_streams_get_no_events() {
    let mut dispatcher =
        dispatcher_without_engine(&[target("a", 1, "here"), target("b", 2, "here")]);
    dispatcher.on_stream_event(&incarnation("a"), MonoMs(1_000));
    dispatcher.on_stream_event(&incarnation("b"), MonoMs(1_000));

    let at_first = dispatcher.is_silent(&incarnation("a"), MonoMs(1_100));
    dispatcher.on_stream_event(&incarnation("b"), MonoMs(1_900));
    let while_b_progresses = dispatcher.is_silent(&incarnation("a"), MonoMs(2_000));
    let while_none_progresses = dispatcher.is_silent(&incarnation("a"), MonoMs(3_000));

    assert_eq!(
        (at_first, while_b_progresses, while_none_progresses),
        (false, true, false)
    );
}

// Guards against callers that disconnect because the silence of their target is noticed only in some
// moments: on a slow group, forward passes are further apart than events usually are.
#[test]
fn a_target_is_silent_also_between_two_slow_passes_of_the_others() {
    let mut dispatcher =
        dispatcher_without_engine(&[target("a", 1, "here"), target("b", 2, "here")]);
    dispatcher.on_stream_event(&incarnation("a"), MonoMs(1_000));
    for pass_ms in [1_000, 1_450, 1_900, 2_350] {
        dispatcher.on_stream_event(&incarnation("b"), MonoMs(pass_ms));
    }

    let after_each_pass =
        [2_400, 2_700, 2_790].map(|now_ms| dispatcher.is_silent(&incarnation("a"), MonoMs(now_ms)));
    let once_none_progresses = dispatcher.is_silent(&incarnation("a"), MonoMs(2_900));

    assert_eq!(after_each_pass, [true; 3]);
    assert!(!once_none_progresses);
}

// Guards against the memory of slow passes when passes are fast again.
#[test]
fn a_stalled_service_is_noticed_soon_after_its_passes_were_slow() {
    let mut dispatcher =
        dispatcher_without_engine(&[target("a", 1, "here"), target("b", 2, "here")]);
    for pass_ms in [1_000, 1_800, 2_600] {
        dispatcher.on_stream_event(&incarnation("b"), MonoMs(pass_ms));
    }
    for pass_ms in (2_700..=5_000).step_by(100) {
        dispatcher.on_stream_event(&incarnation("b"), MonoMs(pass_ms));
    }

    let is_silent =
        [5_200, 5_400].map(|now_ms| dispatcher.is_silent(&incarnation("a"), MonoMs(now_ms)));

    assert_eq!(is_silent, [true, false]);
}

/// Two targets that pause together at 1,000 ms; `b` resumes at 4,500 ms.
fn dispatcher_with_common_pause(until_ms: usize) -> Dispatcher {
    let mut dispatcher =
        dispatcher_without_engine(&[target("a", 1, "here"), target("b", 2, "here")]);
    dispatcher.on_stream_event(&incarnation("a"), MonoMs(1_000));
    dispatcher.on_stream_event(&incarnation("b"), MonoMs(1_000));
    for pass_ms in (4_500..=until_ms).step_by(100) {
        dispatcher.on_stream_event(&incarnation("b"), MonoMs(pass_ms as u64));
    }
    dispatcher
}

// Guards against streams that leave all targets but the first one to resume after a common pause.
#[test]
fn a_target_is_not_silent_when_another_one_has_just_resumed_after_a_common_pause() {
    let resuming = dispatcher_with_common_pause(4_500);
    let resumed = dispatcher_with_common_pause(4_800);

    assert!(!resuming.is_silent(&incarnation("a"), MonoMs(4_510)));
    assert!(resumed.is_silent(&incarnation("a"), MonoMs(4_810)));
}

/// Two targets of which `a` stops after the pass at 1,000 ms, with `streams` streams, and `b` goes on
/// with a pass each `interval_ms` until 2,000 ms.
fn dispatcher_with_stopped_target(streams: usize, interval_ms: usize) -> Dispatcher {
    let mut dispatcher =
        dispatcher_without_engine(&[target("a", 1, "here"), target("b", 2, "here")]);
    for pass_ms in (0..=2_000).step_by(interval_ms) {
        dispatcher.on_stream_event(&incarnation("b"), MonoMs(pass_ms));
        for stream in 0..streams as u64 * u64::from(pass_ms <= 1_000) {
            dispatcher.on_stream_event(&incarnation("a"), MonoMs(pass_ms + stream));
        }
    }
    dispatcher
}

fn cut_off_at(dispatcher: &Dispatcher, times_ms: &[u64]) -> Vec<bool> {
    let is_cut_off = |now_ms: &u64| dispatcher.is_cut_off(&incarnation("a"), MonoMs(*now_ms));
    times_ms.iter().map(is_cut_off).collect()
}

// Guards against callers that leave because their streams move late from a target that is cut off.
#[test]
fn a_target_is_cut_off_once_several_streams_miss_passes_together() {
    let dispatcher = dispatcher_with_stopped_target(2, 50);

    // Of `a`, the last events are of 1,001 ms; of `b`, of 2,000 ms.
    assert_eq!(cut_off_at(&dispatcher, &[2_000, 2_299]), [true, true]);
    // Nobody progresses any more.
    assert_eq!(cut_off_at(&dispatcher, &[2_400]), [false]);
}

// Guards against one late stream, such as after a lost packet, that is taken for a cut-off target.
#[test]
fn a_target_is_not_cut_off_because_of_one_silent_stream() {
    let dispatcher = dispatcher_with_stopped_target(1, 50);

    assert_eq!(cut_off_at(&dispatcher, &[2_000, 2_200]), [false, false]);
}

// Guards against streams that move at each pause of a slow group.
#[test]
fn a_target_is_cut_off_later_if_passes_are_slow() {
    let mut dispatcher = dispatcher_with_stopped_target(2, 250);

    let early = {
        let mut early =
            dispatcher_without_engine(&[target("a", 1, "here"), target("b", 2, "here")]);
        for pass_ms in [500, 750, 1_000, 1_250, 1_500] {
            early.on_stream_event(&incarnation("b"), MonoMs(pass_ms));
        }
        early.on_stream_event(&incarnation("a"), MonoMs(1_000));
        early.on_stream_event(&incarnation("a"), MonoMs(1_001));
        cut_off_at(&early, &[1_550])
    };
    dispatcher.on_stream_event(&incarnation("b"), MonoMs(2_001));

    assert_eq!(early, [false]);
    assert_eq!(cut_off_at(&dispatcher, &[2_050]), [true]);
}

// Guards against a whole service that stops and is taken for its targets being cut off.
#[test]
fn no_target_is_cut_off_while_the_service_stands_still() {
    let mut dispatcher =
        dispatcher_without_engine(&[target("a", 1, "here"), target("b", 2, "here")]);
    for pass_ms in (0..=1_000).step_by(50) {
        for stream in 0..2 {
            dispatcher.on_stream_event(&incarnation("a"), MonoMs(pass_ms + stream));
            dispatcher.on_stream_event(&incarnation("b"), MonoMs(pass_ms + 5 + stream));
        }
    }

    let times_ms: Vec<u64> = (1_010..3_000).step_by(10).collect();
    assert!(!cut_off_at(&dispatcher, &times_ms).contains(&true));
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

// Guards against health and running requests that are kept by id alone. A target fails requests, is
// ejected and restarts under the same id; then it would get nothing for seconds, or count as full.
#[test]
fn a_restarted_target_does_not_inherit_health_or_load() {
    let (previous, restarted) = (started("a", 1_000), started("a", 2_000));
    let mut dispatcher = dispatcher_without_engine(std::slice::from_ref(&previous));
    for ticket in 0..12 {
        place(&mut dispatcher, ticket, 0);
    }
    for _ in 0..2 {
        dispatcher.release(
            &previous.incarnation,
            Some(HealthSample::Failure),
            MonoMs(10),
        );
    }

    dispatcher.set_targets(std::iter::once(&restarted));
    let placed = (0..12).filter_map(|ticket| place(&mut dispatcher, ticket, 20));

    assert_eq!(placed.count(), 12);
    // Requests that end at the previous incarnation free no slot at the new one.
    dispatcher.release(&previous.incarnation, None, MonoMs(30));
    assert_eq!(place(&mut dispatcher, 99, 30), None);
}

// Guards against slowdowns that are kept by address alone: a slow engine restarts while no leader
// measures it, and would get too few requests.
#[test]
fn a_slowdown_applies_to_one_incarnation() {
    let (slow, other) = (started("slow", 1_000), target("other", 2, "here"));
    let slowdown = Slowdown {
        factor: 9.0,
        started_unix_ms: Some(1_000),
    };
    let slowdowns = Slowdowns::from([(slow.address, slowdown)]);
    let restarted = started("slow", 2_000);
    let mut dispatcher = Dispatcher::new(lone_membership(), Some(&engine()));

    dispatcher.set_targets([&slow, &other].into_iter());
    dispatcher.set_engine_update(&update(&slowdowns), MonoMs(0));
    let before = place(&mut dispatcher, 0, 0);
    dispatcher.set_targets([&restarted, &other].into_iter());
    dispatcher.set_engine_update(&update(&slowdowns), MonoMs(0));
    let after = place(&mut dispatcher, 0, 0);

    assert_eq!(before, Some("other".into()));
    assert_eq!(after, Some("slow".into()));
}

// Guards against an overflow that ends the process: two targets claim four billion slots each.
#[test]
fn absurd_slot_counts_do_not_overflow() {
    let huge = |id: &str, port| Target {
        slots: u32::MAX,
        ..target(id, port, "here")
    };
    let mut dispatcher = Dispatcher::new(lone_membership(), Some(&engine()));

    dispatcher.set_targets([&huge("a", 1), &huge("b", 2)].into_iter());

    assert!(place(&mut dispatcher, 0, 0).is_some());
}
