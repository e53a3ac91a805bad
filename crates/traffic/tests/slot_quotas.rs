//! Placement within the slot quotas of this entry.

use std::sync::Arc;

use berylhook_core::time::MonoMs;
use berylhook_traffic::configuration::EngineModel;
use berylhook_traffic::dispatch::{
    Dispatcher, PlacementRequest, SubmitOutcome, Ticket, UrgencyOutcome, UrgencyRequest,
};
use berylhook_traffic::engine_update::PauseNotice;
use berylhook_traffic::health::HealthSample;
use berylhook_traffic::ownership::{Member, Membership};
use berylhook_traffic::slot_sharing::messages::SlotReply;
use berylhook_traffic::target::{Incarnation, Phase, Target};

const SLOTS: u32 = 10;

fn incarnation(id: &str) -> Incarnation {
    Incarnation {
        id: id.into(),
        started_unix_ms: None,
    }
}

fn target(id: &str, port: u16) -> Target {
    Target {
        incarnation: incarnation(id),
        service: "llm".into(),
        address: ([10, 0, 0, 1], port).into(),
        data_centre: "here".into(),
        slots: SLOTS,
        phase: Phase::Ready,
        listed_revision: 1,
        cold: None,
    }
}

fn engine() -> EngineModel {
    EngineModel {
        slots: SLOTS,
        step_ms: 4.0,
        per_sequence_ms: 0.1,
        context_per_1000_ms: 0.0,
        steps_per_pass: 4,
        prefill_tokens_per_s: 61_400.0,
        typical_prompt_tokens: 835.0,
        typical_response_tokens: 97.0,
        experts: None,
    }
}

fn member(port: u16) -> Member {
    Member {
        address: ([10, 0, 0, 2], port).into(),
        data_centre: "here".into(),
        demand_per_s: None,
    }
}

/// An entry among `entries`, with the targets `a`, `b` and `c` of ten slots.
fn dispatcher(entries: u16) -> Dispatcher {
    let membership = Membership::new(member(1), (2..=entries).map(member));
    let mut dispatcher = Dispatcher::new(membership, Some(&engine()));
    let targets = [target("a", 1), target("b", 2), target("c", 3)];
    dispatcher.set_targets(targets.iter());
    dispatcher.set_admission_by_urgency(true, MonoMs(0));
    dispatcher
}

fn reply(quotas: &[(&str, u32)], fraction_in_use: f64) -> SlotReply {
    let quotas = quotas.iter().map(|(id, quota)| (Arc::from(*id), *quota));
    SlotReply {
        is_home: true,
        version: Some(1),
        quotas: Some(quotas.collect()),
        fraction_in_use: Some(fraction_in_use),
        ..SlotReply::default()
    }
}

fn submit(dispatcher: &mut Dispatcher, ticket: u64, at_ms: u64) -> Option<Arc<str>> {
    let request = PlacementRequest {
        allowed_regions: None,
        urgency: 1,
        wait_limit_ms: 200,
        late_wait_limit_ms: 200,
        on_time_until_ms: MonoMs(at_ms + 200),
    };
    match dispatcher.submit(Ticket(ticket), request, ticket, MonoMs(at_ms)) {
        SubmitOutcome::Placed(target) => Some(Arc::clone(target.id())),
        SubmitOutcome::Queued | SubmitOutcome::Refused => None,
    }
}

/// Submits that many requests; returns where those that were placed at once went.
fn submit_many(dispatcher: &mut Dispatcher, count: u64, at_ms: u64) -> Vec<Arc<str>> {
    let tickets = 0..count;
    tickets
        .filter_map(|ticket| submit(dispatcher, ticket, at_ms))
        .collect()
}

fn count(placed: &[Arc<str>], id: &str) -> usize {
    placed.iter().filter(|placed| &***placed == id).count()
}

/// Guards against requests that queue at a target because several entries use the same slots.
#[test]
fn while_slots_are_scarce_requests_go_only_to_slots_of_this_entry() {
    let mut dispatcher = dispatcher(1);
    dispatcher.on_slot_reply(&reply(&[("a", 3), ("b", 1)], 0.9), MonoMs(0));

    let placed = submit_many(&mut dispatcher, 12, 10);

    assert_eq!((count(&placed, "a"), count(&placed, "b")), (3, 1));
    assert_eq!(count(&placed, "c"), 0);
}

/// Guards against quotas that spread requests worse than the usual placement while most slots are
/// free.
#[test]
fn while_slots_are_spare_quotas_only_limit_the_number_of_requests() {
    let mut dispatcher = dispatcher(1);
    dispatcher.on_slot_reply(&reply(&[("a", 6)], 0.5), MonoMs(0));

    let placed = submit_many(&mut dispatcher, 12, 10);

    assert_eq!(placed.len(), 6);
    assert!(count(&placed, "a") <= 2, "{placed:?}");
}

/// Guards against refusals while this entry has slots, although only at targets that take nothing.
#[test]
fn if_the_targets_of_the_quotas_are_unavailable_other_slots_are_used() {
    let mut dispatcher = dispatcher(1);
    dispatcher.on_slot_reply(&reply(&[("a", 3)], 0.9), MonoMs(0));
    for _ in 0..3 {
        let a = incarnation("a");
        dispatcher.release(&a, Some(HealthSample::Failure), MonoMs(5));
    }

    let placed = submit_many(&mut dispatcher, 12, 10);

    assert_eq!(placed.len(), 3);
    assert_eq!(count(&placed, "a"), 0, "{placed:?}");
}

/// Guards against a limit that counts slots of targets which have left the list, or which this
/// entry does not know yet.
#[test]
fn quotas_at_unknown_targets_do_not_count() {
    let mut dispatcher = dispatcher(1);
    dispatcher.on_slot_reply(&reply(&[("a", 3), ("d", 10)], 0.9), MonoMs(0));

    let slots = |dispatcher: &Dispatcher| dispatcher.slot_status().map(|status| status.slots);
    let before = slots(&dispatcher);
    let targets = [target("a", 1), target("b", 2), target("d", 4)];
    dispatcher.set_targets(targets.iter());

    assert_eq!(before, Some(3));
    assert_eq!(slots(&dispatcher), Some(13));
    assert!(
        dispatcher
            .concurrency_limit()
            .is_some_and(|limit| limit <= 13.0)
    );
}

/// Guards against an entry that keeps a large share for itself while others have got its slots,
/// and against one that stops as soon as its home does.
#[test]
fn without_replies_quotas_stay_and_later_become_an_equal_share() {
    let mut dispatcher = dispatcher(5);
    dispatcher.on_slot_reply(&reply(&[("a", 10), ("b", 8)], 0.9), MonoMs(0));

    let is_expired_early = dispatcher.expire_quotas(MonoMs(4_900));
    let is_expired = dispatcher.expire_quotas(MonoMs(5_000));

    let placed = submit_many(&mut dispatcher, 20, 5_010);
    assert!(!is_expired_early && is_expired);
    assert_eq!(placed.len(), 6, "{placed:?}");
    assert!(count(&placed, "c") > 0, "{placed:?}");
}

/// Guards against a limit that stays low after the quota has grown.
#[test]
fn the_limit_follows_the_quota() {
    let mut dispatcher = dispatcher(1);
    dispatcher.on_slot_reply(&reply(&[("a", 4)], 0.9), MonoMs(0));
    let larger = SlotReply {
        version: Some(2),
        ..reply(&[("a", 8)], 0.9)
    };

    dispatcher.on_slot_reply(&larger, MonoMs(200));

    let placed = submit_many(&mut dispatcher, 12, 210);
    assert_eq!(placed.len(), 8);
}

/// Guards against free slots of this entry that stay empty while its requests in slots that it has
/// lost still run.
#[test]
fn requests_in_lost_slots_do_not_count_towards_the_limit() {
    let mut dispatcher = dispatcher(1);
    dispatcher.on_slot_reply(&reply(&[("a", 5), ("b", 5)], 0.9), MonoMs(0));
    let placed = submit_many(&mut dispatcher, 10, 10);
    let reduced = SlotReply {
        version: Some(2),
        ..reply(&[("a", 3), ("b", 5)], 0.9)
    };
    dispatcher.on_slot_reply(&reduced, MonoMs(200));

    dispatcher.release(&incarnation("b"), None, MonoMs(210));
    let next = submit(&mut dispatcher, 20, 220);
    let after = submit(&mut dispatcher, 21, 230);

    assert_eq!(placed.len(), 10);
    assert_eq!((next.as_deref(), after.as_deref()), (Some("b"), None));
    let report = dispatcher.slot_report(&"here".into(), false, MonoMs(240));
    assert_eq!(report.over_quota, [("a".into(), 2)]);
}

/// Guards against a report that leaves the home without the quotas that a previous one allocated.
#[test]
fn a_report_lists_the_quotas_in_force_on_request() {
    let mut dispatcher = dispatcher(1);
    dispatcher.on_slot_reply(&reply(&[("a", 4)], 0.9), MonoMs(0));

    let brief = dispatcher.slot_report(&"here".into(), false, MonoMs(10));
    let full = dispatcher.slot_report(&"here".into(), true, MonoMs(10));

    assert_eq!((brief.version, brief.quotas), (Some(1), None));
    assert_eq!(full.quotas, Some(vec![("a".into(), 4)]));
}

/// Guards against an entry that doubles its load at the onset of overload: requests that ran beyond
/// a quota before quotas bound were left out of the count.
#[test]
fn requests_that_were_spread_before_quotas_bound_count_towards_the_limit() {
    let mut dispatcher = dispatcher(1);
    dispatcher.on_slot_reply(&reply(&[("a", 6)], 0.5), MonoMs(0));
    let spread = submit_many(&mut dispatcher, 6, 10);
    dispatcher.on_slot_reply(&reply(&[("a", 6)], 0.9), MonoMs(200));

    let placed = submit_many(&mut dispatcher, 12, 210);

    assert_eq!(spread.len(), 6);
    assert!(count(&spread, "a") < 6, "{spread:?}");
    assert_eq!(placed, Vec::<Arc<str>>::new());
}

/// Guards against requests that do not count because they were placed while the targets of the
/// quotas were unavailable.
#[test]
fn requests_outside_the_quotas_count_once_the_targets_of_the_quotas_are_available() {
    let mut dispatcher = dispatcher(1);
    dispatcher.on_slot_reply(&reply(&[("a", 3)], 0.9), MonoMs(0));
    let notice = PauseNotice {
        fencing_token: 1,
        number: 1,
        engine: ([10, 0, 0, 1], 1).into(),
        duration_ms: 500,
    };
    dispatcher.on_pause_notice(notice, MonoMs(0));
    let elsewhere = submit_many(&mut dispatcher, 3, 10);

    let placed = submit_many(&mut dispatcher, 12, 3_000);

    assert_eq!(elsewhere.len(), 3);
    assert_eq!(count(&elsewhere, "a"), 0, "{elsewhere:?}");
    assert_eq!(placed, Vec::<Arc<str>>::new());
}

/// Guards against quotas that bind and stop binding several times a second while the load is about
/// at the bound.
#[test]
fn quotas_that_bind_keep_binding_until_clearly_fewer_slots_are_in_use() {
    let binds_after = |fractions: &[f64]| {
        let mut dispatcher = dispatcher(1);
        for fraction in fractions {
            dispatcher.on_slot_reply(&reply(&[("a", 6)], *fraction), MonoMs(0));
        }
        let placed = submit_many(&mut dispatcher, 6, 10);
        count(&placed, "a") == 6
    };

    assert!(!binds_after(&[0.79]));
    assert!(binds_after(&[0.81, 0.76]));
    assert!(!binds_after(&[0.81, 0.74]));
    assert!(!binds_after(&[0.81, 0.74, 0.79]));
}

/// Guards against quotas that stop binding under overload because a new home, which has heard of few
/// entries, replies with a fraction that is far too low.
#[test]
fn a_reply_of_a_home_that_does_not_know_the_fraction_in_use_leaves_it_as_it_was() {
    let mut dispatcher = dispatcher(1);
    dispatcher.on_slot_reply(&reply(&[("a", 6)], 0.9), MonoMs(0));
    let unaware = serde_json::from_str(r#"{"is_home": true, "wants_quotas": true}"#);
    dispatcher.on_slot_reply(&unaware.expect("a reply"), MonoMs(200));

    let placed = submit_many(&mut dispatcher, 12, 210);

    let fraction = dispatcher
        .slot_status()
        .map(|status| status.fraction_in_use);
    assert_eq!(fraction, Some(0.9));
    assert_eq!((placed.len(), count(&placed, "a")), (6, 6));
}

/// Guards against requests that wait as long as they may although this entry has no slot.
#[test]
fn while_quotas_bind_an_entry_without_slots_refuses_at_once() {
    let mut dispatcher = dispatcher(1);
    dispatcher.on_slot_reply(&reply(&[], 0.9), MonoMs(0));
    let request = UrgencyRequest {
        urgency: 1,
        is_resumed: false,
        can_be_on_time: true,
        allowed_regions: None,
        wait_limit_ms: 2_000,
        late_wait_limit_ms: 2_000,
    };

    let outcome = dispatcher.submit_by_urgency(Ticket(1), request, 1, MonoMs(10));

    assert!(
        matches!(&outcome, UrgencyOutcome::Refused(refusal) if refusal.slots == 0.0),
        "{outcome:?}"
    );
}
