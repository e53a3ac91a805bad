//! Requests that may run in some regions only.

use std::sync::Arc;

use berylhook_core::time::MonoMs;
use berylhook_traffic::dispatch::{
    Dispatcher, PlacementRequest, RefusalReason, SubmitOutcome, Ticket, UrgencyOutcome,
    UrgencyRequest,
};
use berylhook_traffic::ownership::{Member, Membership};
use berylhook_traffic::regions::{RegionMap, RegionSet};
use berylhook_traffic::target::{Incarnation, Phase, Target};

const NOW: MonoMs = MonoMs(1_000);

fn names(names: &[&str]) -> Vec<Arc<str>> {
    names.iter().map(|name| (*name).into()).collect()
}

/// Two data centres in the region `north` and one in `south`.
fn region_map() -> RegionMap {
    let pairs = [("a", "north"), ("b", "north"), ("c", "south")];
    let pairs = pairs.map(|(zone, region)| (zone.into(), region.into()));
    RegionMap::new(pairs).expect("two regions")
}

fn allowed(regions: &[&str]) -> Option<RegionSet> {
    region_map().allowed(Some(&names(regions)), None)
}

/// A target with one slot, with the name of its data centre as id.
fn target(data_centre: &str, port: u16) -> Target {
    Target {
        incarnation: Incarnation {
            id: data_centre.into(),
            started_unix_ms: None,
        },
        service: "llm".into(),
        address: ([10, 0, 0, 1], port).into(),
        data_centre: data_centre.into(),
        slots: 1,
        phase: Phase::Ready,
        listed_revision: 1,
        cold: None,
    }
}

fn dispatcher(data_centres: &[&str]) -> Dispatcher {
    let own = Member {
        address: ([10, 0, 0, 2], 1).into(),
        data_centre: "a".into(),
        demand_per_s: None,
    };
    let mut dispatcher = Dispatcher::new(Membership::new(own, []), None);
    dispatcher.set_regions(region_map());
    let targets: Vec<Target> = data_centres
        .iter()
        .zip(1..)
        .map(|(data_centre, port)| target(data_centre, port))
        .collect();
    dispatcher.set_targets(targets.iter());
    dispatcher
}

fn submit(
    dispatcher: &mut Dispatcher,
    ticket: u64,
    allowed_regions: Option<RegionSet>,
) -> SubmitOutcome {
    let request = PlacementRequest {
        urgency: 1,
        wait_limit_ms: 2_000,
        late_wait_limit_ms: 2_000,
        on_time_until_ms: NOW + 200,
        allowed_regions,
    };
    dispatcher.submit(Ticket(ticket), request, ticket, NOW)
}

fn placed_at(outcome: &SubmitOutcome) -> Option<&str> {
    match outcome {
        SubmitOutcome::Placed(target) => Some(target.id()),
        SubmitOutcome::Queued | SubmitOutcome::Refused => None,
    }
}

// Guards against a list that widens another one, and against an unknown region that allows all.
#[test]
fn the_lists_of_route_and_account_both_apply() {
    let map = region_map();
    let (north, south) = (names(&["north"]), names(&["south", "unknown"]));
    let both = names(&["north", "south"]);

    assert_eq!(map.allowed(None, None), None);
    assert_eq!(map.allowed(Some(&both), Some(&south)), allowed(&["south"]));
    assert_eq!(map.allowed(Some(&north), Some(&south)), allowed(&[]));
    assert_eq!(map.allowed(None, Some(&names(&["unknown"]))), allowed(&[]));
}

// Guards against a request outside its regions, at first or by a second send, and in a data centre
// whose region is not known.
#[test]
fn a_request_stays_in_its_regions() {
    let mut dispatcher = dispatcher(&["a", "b", "c", "unlisted"]);
    let north = allowed(&["north"]);

    let first = submit(&mut dispatcher, 0, north);
    let second = dispatcher.place_additional_within(north, &[], 0, NOW);
    let third = dispatcher.place_additional_within(north, &[], 0, NOW);
    let southern = submit(&mut dispatcher, 1, allowed(&["south"]));
    let anywhere = submit(&mut dispatcher, 2, None);

    let northern = [placed_at(&first), second.as_ref().map(|it| &**it.id())];
    assert!(northern == [Some("a"), Some("b")] || northern == [Some("b"), Some("a")]);
    assert_eq!(third, None);
    assert_eq!(placed_at(&southern), Some("c"));
    assert_eq!(placed_at(&anywhere), Some("unlisted"));
}

// Guards against a request that waits although no target may ever serve it.
#[test]
fn a_request_without_a_target_in_its_regions_is_refused() {
    let mut dispatcher = dispatcher(&["a", "unlisted"]);

    let southern = submit(&mut dispatcher, 0, allowed(&["south"]));
    let nowhere = submit(&mut dispatcher, 1, allowed(&[]));

    assert_eq!(southern, SubmitOutcome::Refused);
    assert_eq!(nowhere, SubmitOutcome::Refused);
}

// Guards against requests that wait although a slot is free, behind one that may not use it.
#[test]
fn a_request_that_waits_for_its_region_does_not_block_others() {
    let mut dispatcher = dispatcher(&["a", "c"]);
    submit(&mut dispatcher, 0, allowed(&["north"]));
    submit(&mut dispatcher, 1, allowed(&["south"]));
    let queued = [
        submit(&mut dispatcher, 2, allowed(&["north"])),
        submit(&mut dispatcher, 3, None),
        submit(&mut dispatcher, 4, allowed(&["south"])),
    ];

    dispatcher.release(&target("c", 2).incarnation, None, NOW);
    let next = dispatcher.place_next(0, NOW);
    let none_left = dispatcher.place_next(0, NOW);
    dispatcher.release(&target("a", 1).incarnation, None, NOW);
    let northern = dispatcher.place_next(0, NOW);

    assert_eq!(queued, [const { SubmitOutcome::Queued }; 3]);
    let ticket = |placed: Option<(Ticket, Target)>| placed.map(|(ticket, _)| ticket.0);
    assert_eq!(ticket(next), Some(3));
    assert_eq!(ticket(none_left), None);
    assert_eq!(ticket(northern), Some(2));
}

// Guards against a newcomer that is queued behind a request for another region although a slot is
// free, and against one that overtakes a request for the same slots.
#[test]
fn a_newcomer_passes_only_requests_for_other_regions() {
    let mut dispatcher = dispatcher(&["a", "c"]);
    submit(&mut dispatcher, 0, allowed(&["north"]));
    submit(&mut dispatcher, 1, allowed(&["north"]));

    let southern = submit(&mut dispatcher, 2, allowed(&["south"]));
    submit(&mut dispatcher, 3, None);
    dispatcher.release(&target("c", 2).incarnation, None, NOW);
    let behind = submit(&mut dispatcher, 4, allowed(&["south"]));

    assert_eq!(placed_at(&southern), Some("c"));
    assert_eq!(behind, SubmitOutcome::Queued);
}

fn submit_by_urgency(
    dispatcher: &mut Dispatcher,
    ticket: u64,
    urgency: u32,
    allowed_regions: Option<RegionSet>,
) -> UrgencyOutcome {
    let request = UrgencyRequest {
        urgency,
        is_resumed: false,
        can_be_on_time: true,
        wait_limit_ms: 2_000,
        late_wait_limit_ms: 2_000,
        allowed_regions,
    };
    dispatcher.submit_by_urgency(Ticket(ticket), request, ticket, NOW)
}

fn placed_by_urgency_at(outcome: &UrgencyOutcome) -> Option<&str> {
    match outcome {
        UrgencyOutcome::Placed(target) => Some(target.id()),
        UrgencyOutcome::Queued | UrgencyOutcome::Refused(_) => None,
    }
}

// Guards against a more urgent request that waits for its region and blocks less urgent ones,
// whether they are queued or new, although a slot is free for them; and against a request outside
// its regions.
#[test]
fn an_urgent_request_that_waits_for_its_region_does_not_block_others() {
    let mut dispatcher = dispatcher(&["a", "c"]);
    dispatcher.set_admission_by_urgency(true, NOW);
    let (north, south) = (allowed(&["north"]), allowed(&["south"]));
    let northern = submit_by_urgency(&mut dispatcher, 0, 1, north);
    let urgent = submit_by_urgency(&mut dispatcher, 1, 0, north);
    let southern = submit_by_urgency(&mut dispatcher, 2, 1, south);
    let queued = submit_by_urgency(&mut dispatcher, 3, 1, south);

    dispatcher.release(&target("c", 2).incarnation, None, NOW);
    let next = dispatcher.place_next(0, NOW);
    let none_left = dispatcher.place_next(0, NOW);
    dispatcher.release(&target("a", 1).incarnation, None, NOW);
    let last = dispatcher.place_next(0, NOW);

    assert_eq!(placed_by_urgency_at(&northern), Some("a"));
    assert_eq!(placed_by_urgency_at(&southern), Some("c"));
    assert_eq!([urgent, queued], [const { UrgencyOutcome::Queued }; 2]);
    let placed = [&next, &none_left, &last]
        .map(|placed| placed.as_ref().map(|(ticket, it)| (ticket.0, &**it.id())));
    assert_eq!(placed, [Some((3, "c")), None, Some((1, "a"))]);
}

// Guards against a request that waits by urgency although no target may serve it any longer.
#[test]
fn by_urgency_a_request_without_a_target_in_its_regions_is_refused() {
    let mut dispatcher = dispatcher(&["a", "c"]);
    dispatcher.set_admission_by_urgency(true, NOW);
    let (north, south) = (allowed(&["north"]), allowed(&["south"]));
    submit_by_urgency(&mut dispatcher, 0, 0, north);
    submit_by_urgency(&mut dispatcher, 1, 0, south);
    let queued = submit_by_urgency(&mut dispatcher, 2, 0, south);

    let nowhere = submit_by_urgency(&mut dispatcher, 3, 0, allowed(&[]));
    let still_queued = dispatcher.take_refused(NOW);
    dispatcher.set_targets([target("a", 1)].iter());
    let refused = dispatcher.take_refused(NOW + 100);

    assert_eq!(queued, UrgencyOutcome::Queued);
    let UrgencyOutcome::Refused(refusal) = nowhere else {
        panic!("{nowhere:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::NoTarget);
    assert_eq!(still_queued, []);
    let reasons = refused
        .iter()
        .map(|(ticket, refusal)| (ticket.0, refusal.reason));
    assert!(reasons.eq([(2, RefusalReason::NoTarget)]), "{refused:?}");
}
