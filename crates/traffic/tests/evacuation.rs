//! Sets of evacuated data centres, and placement that leaves them out.

use berylhook_backpressure::gate::WithheldReason;
use berylhook_core::position::Position;
use berylhook_core::time::MonoMs;
use berylhook_traffic::configuration::EngineModel;
use berylhook_traffic::dispatch::{Dispatcher, PlacementRequest, SubmitOutcome, Ticket};
use berylhook_traffic::evacuation::{EvacuatedZones, EvacuationChange, EvacuationTracker};
use berylhook_traffic::health::HealthSample;
use berylhook_traffic::ownership::{Member, Membership};
use berylhook_traffic::target::{Incarnation, Phase, Target};

const NOW: MonoMs = MonoMs(1_000);

fn position(era: u64, revision: u64) -> Position {
    Position { era, revision }
}

fn zones(at: Position, names: &[&str]) -> EvacuatedZones {
    EvacuatedZones {
        position: at,
        data_centres: names.iter().map(|name| (*name).into()).collect(),
    }
}

fn change(data_centre: &str, is_evacuated: bool) -> EvacuationChange {
    EvacuationChange {
        data_centre: data_centre.into(),
        is_evacuated,
    }
}

fn tracker(at: Position, names: &[&str]) -> EvacuationTracker {
    let mut tracker = EvacuationTracker::default();
    tracker.replace(zones(at, names));
    tracker
}

fn target(id: &str, port: u16, data_centre: &str) -> Target {
    Target {
        incarnation: Incarnation {
            id: id.into(),
            started_unix_ms: None,
        },
        service: "llm".into(),
        address: ([10, 0, 0, 1], port).into(),
        data_centre: data_centre.into(),
        slots: 2,
        phase: Phase::Ready,
        listed_revision: 1,
        cold: None,
    }
}

fn engine() -> EngineModel {
    EngineModel {
        slots: 2,
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

fn dispatcher(targets: &[Target], engine: Option<&EngineModel>) -> Dispatcher {
    let own = Member {
        address: ([10, 0, 0, 2], 1).into(),
        data_centre: "here".into(),
        demand_per_s: None,
    };
    let mut dispatcher = Dispatcher::new(Membership::new(own, []), engine);
    dispatcher.set_targets(targets.iter());
    dispatcher
}

fn submit(dispatcher: &mut Dispatcher, ticket: u64) -> SubmitOutcome {
    let request = PlacementRequest {
        urgency: 1,
        wait_limit_ms: 200,
        late_wait_limit_ms: 200,
        on_time_until_ms: NOW + 200,
        allowed_regions: None,
    };
    dispatcher.submit(Ticket(ticket), request, ticket, NOW)
}

fn placed_in(outcome: &SubmitOutcome) -> Option<&str> {
    match outcome {
        SubmitOutcome::Placed(target) => Some(&target.data_centre),
        SubmitOutcome::Queued | SubmitOutcome::Refused => None,
    }
}

// Guards against an entry that returns to an older set because a peer or a late event brings it.
#[test]
fn an_older_set_or_change_has_no_effect() {
    let mut tracker = tracker(position(0, 20), &["here"]);

    let results = [
        tracker.replace(zones(position(0, 19), &[])),
        tracker.replace(zones(position(0, 20), &[])),
        tracker.apply(change("here", false), position(0, 20)),
        tracker.apply(change("here", true), position(0, 21)),
        tracker.apply(change("here", false), position(0, 22)),
    ];

    assert_eq!(results, [false, false, false, false, true]);
    assert_eq!(tracker.known(), Some(&zones(position(0, 22), &[])));
}

// Guards against a set from before a restore of the store that replaces the restored one, whose
// revisions are lower.
#[test]
fn a_set_of_an_older_era_never_replaces_a_newer_one() {
    let mut tracker = tracker(position(0, 90), &["here"]);

    let is_restored_taken = tracker.replace(zones(position(1, 40), &[]));
    let is_older_taken = tracker.replace(zones(position(0, 95), &["here"]));

    assert!(is_restored_taken && !is_older_taken);
    assert_eq!(tracker.known(), Some(&zones(position(1, 40), &[])));
}

// Guards against an entry that takes one change for the complete set.
#[test]
fn a_change_before_the_first_set_is_ignored() {
    let mut tracker = EvacuationTracker::default();

    let is_changed = tracker.apply(change("here", true), position(0, 3));

    assert!(!is_changed);
    assert_eq!(tracker.known(), None);
}

// Guards against requests to an evacuated data centre by any of the ways in which they are placed,
// and against targets that stay out of use after the withdrawal.
#[test]
fn no_request_is_placed_in_an_evacuated_data_centre() {
    let targets = [target("a", 1, "here"), target("b", 2, "there")];
    let mut dispatcher = dispatcher(&targets, None);
    dispatcher.set_evacuated(&zones(position(0, 2), &["here"]));

    let first = submit(&mut dispatcher, 0);
    let second = dispatcher.place_additional(&[], 0, NOW);
    let queued = submit(&mut dispatcher, 1);
    let unplaced = dispatcher.place_next(0, NOW);
    dispatcher.set_evacuated(&zones(position(0, 3), &[]));
    let after_withdrawal = dispatcher.place_next(0, NOW);

    assert_eq!(placed_in(&first), Some("there"));
    assert_eq!(
        second.map(|target| target.data_centre),
        Some("there".into())
    );
    assert_eq!((queued, unplaced), (SubmitOutcome::Queued, None));
    let placed = after_withdrawal.map(|(_, target)| target.data_centre);
    assert_eq!(placed, Some("here".into()));
}

// Guards against requests that find no target because the only healthy one is evacuated: the others
// are ejected, and are used as a last resort.
#[test]
fn ejected_targets_are_used_if_all_others_are_evacuated() {
    let targets = [target("a", 1, "here"), target("b", 2, "there")];
    let mut dispatcher = dispatcher(&targets, None);
    for _ in 0..4 {
        dispatcher.release(&targets[1].incarnation, Some(HealthSample::Failure), NOW);
    }
    dispatcher.set_evacuated(&zones(position(0, 2), &["here"]));

    let outcome = submit(&mut dispatcher, 0);

    assert_eq!(placed_in(&outcome), Some("there"));
}

// Guards against a request that was placed before the evacuation and is sent after it.
#[test]
fn a_placed_request_is_withheld_before_it_is_sent() {
    let targets = [target("a", 1, "here"), target("b", 2, "there")];
    let mut dispatcher = dispatcher(&targets, None);
    let outcome = submit(&mut dispatcher, 0);

    dispatcher.set_evacuated(&zones(position(0, 2), &["here"]));
    let admitted = dispatcher.admit(&targets[0].incarnation, NOW);

    assert_eq!(placed_in(&outcome), Some("here"));
    assert_eq!(admitted, Err(WithheldReason::Evacuated));
    assert_eq!(
        dispatcher.take_withheld_counts()[&WithheldReason::Evacuated],
        1
    );
}

// Guards against requests that wait for the end of an evacuation until their deadline.
#[test]
fn a_request_is_refused_if_all_targets_are_evacuated() {
    let targets = [target("a", 1, "here"), target("b", 2, "there")];
    let mut dispatcher = dispatcher(&targets, None);

    dispatcher.set_evacuated(&zones(position(0, 2), &["here", "there"]));

    assert!(dispatcher.is_evacuated());
    assert_eq!(submit(&mut dispatcher, 0), SubmitOutcome::Refused);
    assert_eq!(dispatcher.counts(), (0, 0, 0));
}

// Guards against a concurrency limit that still counts the slots of an evacuated data centre, and
// against requests that run there taking the slots of the others.
#[test]
fn the_concurrency_limit_covers_only_targets_that_may_get_requests() {
    let targets = [target("a", 1, "here"), target("b", 2, "there")];
    let mut dispatcher = dispatcher(&targets, Some(&engine()));
    let limit_before = dispatcher.concurrency_limit();
    let before: Vec<_> = (0..2)
        .map(|ticket| submit(&mut dispatcher, ticket))
        .collect();

    dispatcher.set_evacuated(&zones(position(0, 2), &["here"]));
    let after = submit(&mut dispatcher, 2);

    assert!(
        before
            .iter()
            .any(|outcome| placed_in(outcome) == Some("here"))
    );
    assert!(
        dispatcher.concurrency_limit() < limit_before,
        "{limit_before:?}"
    );
    assert_eq!(placed_in(&after), Some("there"));
}

// Guards against a service that starts again with the smallest limit after an evacuation of all its
// targets.
#[test]
fn the_concurrency_limit_is_kept_over_an_evacuation_of_all_targets() {
    let targets = [target("a", 1, "here"), target("b", 2, "there")];
    let mut dispatcher = dispatcher(&targets, Some(&engine()));
    let gaps = (0..40).map(|index| NOW + index * 100);
    gaps.for_each(|at_ms| dispatcher.on_event_gap(20.0, 120.0, at_ms));
    let before = dispatcher.concurrency_limit();

    dispatcher.set_evacuated(&zones(position(0, 2), &["here", "there"]));
    dispatcher.set_evacuated(&zones(position(0, 3), &[]));

    assert_eq!(dispatcher.concurrency_limit(), before);
}

// Guards against a data centre that stays in use because another one was evacuated in the same
// transaction of the store, whose keys have one revision.
#[test]
fn all_changes_of_one_transaction_apply() {
    let mut tracker = tracker(position(1, 1), &[]);

    let first = tracker.apply(change("a", true), position(1, 2));
    let second = tracker.apply(change("b", true), position(1, 2));

    assert!(first && second);
}
