//! Load after a rank has crashed: one group of a service is lost, and the others keep running.

use std::sync::Arc;

use berylhook_core::time::MonoMs;
use berylhook_traffic::configuration::EngineModel;
use berylhook_traffic::dispatch::{Dispatcher, PlacementRequest, SubmitOutcome, Ticket};
use berylhook_traffic::engine_update::{EngineUpdate, GroupUpdate};
use berylhook_traffic::ownership::{Member, Membership};
use berylhook_traffic::target::{Incarnation, Phase, Target};

const GROUPS: u16 = 3;
const RANKS: u16 = 4;

fn target(group: u16, rank: u16) -> Target {
    Target {
        incarnation: Incarnation {
            id: format!("g{group}-{rank}").into(),
            started_unix_ms: None,
        },
        service: "llm".into(),
        address: ([10, 0, 0, 1], 1 + group * RANKS + rank).into(),
        data_centre: "here".into(),
        slots: 10,
        phase: Phase::Ready,
        listed_revision: 1,
        cold: None,
    }
}

fn targets() -> Vec<Target> {
    let groups = (0..GROUPS).flat_map(|group| (0..RANKS).map(move |rank| (group, rank)));
    groups.map(|(group, rank)| target(group, rank)).collect()
}

/// A leader's update: all groups are open, except for `closed`.
fn update(closed: Option<u16>) -> EngineUpdate {
    let groups = (0..GROUPS).map(|group| GroupUpdate {
        name: format!("g{group}").into(),
        engines: (0..RANKS).map(|rank| target(group, rank).address).collect(),
        is_open: closed != Some(group),
    });
    EngineUpdate {
        groups: groups.collect(),
        ..EngineUpdate::default()
    }
}

fn dispatcher() -> Dispatcher {
    let own = Member {
        address: ([10, 0, 0, 2], 1).into(),
        data_centre: "here".into(),
        demand_per_s: None,
    };
    let engine = EngineModel {
        slots: 10,
        step_ms: 4.84,
        per_sequence_ms: 0.435,
        context_per_1000_ms: 0.0132,
        steps_per_pass: 7,
        prefill_tokens_per_s: 74_800.0,
        typical_prompt_tokens: 835.0,
        typical_response_tokens: 161.0,
        experts: None,
    };
    let mut dispatcher = Dispatcher::new(Membership::new(own, []), Some(&engine));
    dispatcher.set_targets(targets().iter());
    dispatcher.set_engine_update(&update(None), MonoMs(0));
    dispatcher
}

fn is_lost(target: &Target) -> bool {
    target.id().starts_with("g0")
}

/// Sends one request every ten milliseconds, which ends at once; the lost group refuses its
/// requests. Returns how many were served, and how many were sent to the lost group.
fn send_requests(dispatcher: &mut Dispatcher, from_ms: u64, length_ms: u64) -> (usize, usize) {
    let (mut served, mut sent_to_lost) = (0, 0);
    for at_ms in (from_ms..from_ms + length_ms).step_by(10) {
        let now_ms = MonoMs(at_ms);
        let request = PlacementRequest {
            urgency: 1,
            wait_limit_ms: 160,
            late_wait_limit_ms: 1_500,
            on_time_until_ms: now_ms + 160,
            allowed_regions: None,
        };
        let ticket = Ticket(at_ms);
        match dispatcher.submit(ticket, request, at_ms, now_ms) {
            SubmitOutcome::Placed(target) if is_lost(&target) => {
                sent_to_lost += 1;
                dispatcher.release(&target.incarnation, None, now_ms);
                dispatcher.on_refused(&target.incarnation, now_ms);
            }
            SubmitOutcome::Placed(target) => {
                served += 1;
                dispatcher.on_accepted(&target.incarnation, now_ms);
                dispatcher.release(&target.incarnation, None, now_ms);
            }
            SubmitOutcome::Queued => dispatcher.cancel(ticket),
            SubmitOutcome::Refused => {}
        }
    }
    (served, sent_to_lost)
}

/// Guards against a whole service that gets only probes because one of its groups refuses all
/// requests.
#[test]
fn a_lost_group_does_not_affect_the_others() {
    let mut dispatcher = dispatcher();

    let (served, sent_to_lost) = send_requests(&mut dispatcher, 0, 3_000);

    assert!(
        sent_to_lost <= 21,
        "{sent_to_lost} requests were sent to the lost group"
    );
    assert_eq!(served + sent_to_lost, 300);
    assert!(!dispatcher.is_down());
}

/// Guards against callers that stall at a group that its leader knows to be closed, and against a
/// group that stays unused after it has opened.
#[test]
fn a_leaders_update_closes_and_opens_a_group() {
    let mut dispatcher = dispatcher();
    dispatcher.set_engine_update(&update(Some(0)), MonoMs(0));

    let while_closed = send_requests(&mut dispatcher, 0, 2_000);
    dispatcher.set_engine_update(&update(None), MonoMs(2_000));
    let first: Vec<Arc<str>> = (0..6)
        .filter_map(|number| {
            let request = PlacementRequest {
                urgency: 1,
                wait_limit_ms: 160,
                late_wait_limit_ms: 1_500,
                on_time_until_ms: MonoMs(2_160),
                allowed_regions: None,
            };
            match dispatcher.submit(Ticket(9_000 + number), request, number, MonoMs(2_000)) {
                SubmitOutcome::Placed(target) => Some(Arc::clone(target.id())),
                SubmitOutcome::Queued | SubmitOutcome::Refused => None,
            }
        })
        .collect();

    assert_eq!(while_closed, (200, 0));
    assert!(first.iter().any(|id| id.starts_with("g0")), "{first:?}");
}

/// Guards against forward passes that get too long at the remaining groups, because the concurrency
/// limit still includes the slots of the lost group.
#[test]
fn the_concurrency_limit_shrinks_with_a_lost_group() {
    let mut dispatcher = dispatcher();
    let initial = dispatcher
        .concurrency_limit()
        .expect("the service has a limit");

    dispatcher.set_engine_update(&update(Some(0)), MonoMs(10));
    let reduced = dispatcher
        .concurrency_limit()
        .expect("the service has a limit");
    dispatcher.set_engine_update(&update(None), MonoMs(20));
    dispatcher.on_accepted(&target(0, 0).incarnation, MonoMs(30));
    let restored = dispatcher
        .concurrency_limit()
        .expect("the service has a limit");

    assert!(
        (reduced - initial * 2.0 / 3.0).abs() < 0.5,
        "{initial} {reduced}"
    );
    assert!((restored - initial).abs() < 0.5, "{initial} {restored}");
}

/// Guards against a service that counts as up although none of its groups is.
#[test]
fn a_service_is_down_when_all_of_its_groups_are() {
    let mut dispatcher = dispatcher();
    let mut all = update(None);
    for group in &mut all.groups {
        group.is_open = false;
    }

    dispatcher.set_engine_update(&all, MonoMs(0));

    assert!(dispatcher.is_down());
}

/// Guards against a whole backlog that goes to the group that opens some milliseconds before the
/// others: requests stall behind each other there, and may have run.
#[test]
fn the_first_group_to_open_does_not_get_the_whole_backlog() {
    let mut dispatcher = dispatcher();
    let mut all = update(None);
    for group in &mut all.groups {
        group.is_open = false;
    }
    dispatcher.set_engine_update(&all, MonoMs(0));
    all.groups[0].is_open = true;
    dispatcher.set_engine_update(&all, MonoMs(1_000));

    let (_, sent_to_first) = send_without_responses(&mut dispatcher, 1_000, 20);
    dispatcher.set_engine_update(&update(None), MonoMs(1_020));
    dispatcher.on_accepted(&target(0, 0).incarnation, MonoMs(1_030));
    let is_down = dispatcher.is_down();

    assert_eq!(sent_to_first, 1);
    assert!(!is_down);
}

/// Sends a request every millisecond, and simulates no responses. Returns how many were placed at
/// other groups and at the first one.
fn send_without_responses(dispatcher: &mut Dispatcher, from_ms: u64, count: u64) -> (usize, usize) {
    let (mut elsewhere, mut first) = (0, 0);
    for at_ms in from_ms..from_ms + count {
        let now_ms = MonoMs(at_ms);
        let request = PlacementRequest {
            urgency: 1,
            wait_limit_ms: 160,
            late_wait_limit_ms: 1_500,
            on_time_until_ms: now_ms + 160,
            allowed_regions: None,
        };
        match dispatcher.submit(Ticket(at_ms), request, at_ms, now_ms) {
            SubmitOutcome::Placed(target) if is_lost(&target) => first += 1,
            SubmitOutcome::Placed(_) => elsewhere += 1,
            SubmitOutcome::Queued | SubmitOutcome::Refused => {}
        }
    }
    (elsewhere, first)
}
