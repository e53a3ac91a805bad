//! Notices of a leader that the rank of an engine is about to pause its group: where an entry sends
//! requests meanwhile.

use berylhook_backpressure::gate::WithheldReason;
use berylhook_core::time::MonoMs;
use berylhook_traffic::dispatch::{Dispatcher, PlacementRequest, SubmitOutcome, Ticket};
use berylhook_traffic::engine_update::PauseNotice;
use berylhook_traffic::ownership::{Member, Membership};
use berylhook_traffic::target::{Incarnation, Phase, Target};

const RANKS: u16 = 4;
const SLOTS: u32 = 12;

/// The rank that is about to pause the group.
const PAUSING: u16 = 1;

/// The leader's fencing token.
const LEADER: u64 = 7;

/// The longest time for which a notice withholds requests.
const MAX_NOTICE_MS: u64 = 5_000;

fn target(rank: u16) -> Target {
    Target {
        incarnation: Incarnation {
            id: format!("rank-{rank}").into(),
            started_unix_ms: None,
        },
        service: "llm".into(),
        address: ([10, 0, 0, 1], 1 + rank).into(),
        data_centre: "here".into(),
        slots: SLOTS,
        phase: Phase::Ready,
        listed_revision: 1,
        cold: None,
    }
}

fn targets() -> Vec<Target> {
    (0..RANKS).map(target).collect()
}

fn dispatcher() -> Dispatcher {
    let own = Member {
        address: ([10, 0, 0, 2], 1).into(),
        data_centre: "here".into(),
        demand_per_s: None,
    };
    let mut dispatcher = Dispatcher::new(Membership::new(own, []), None);
    dispatcher.set_targets(targets().iter());
    dispatcher
}

fn notice(duration_ms: u64) -> PauseNotice {
    notice_of(LEADER, 1, duration_ms)
}

/// The notice with this number of the leader with this fencing token.
fn notice_of(fencing_token: u64, number: u64, duration_ms: u64) -> PauseNotice {
    PauseNotice {
        fencing_token,
        number,
        engine: target(PAUSING).address,
        duration_ms,
    }
}

/// Submits as many requests as all targets have slots, and returns how many were placed at each.
fn fill(dispatcher: &mut Dispatcher, now_ms: u64) -> [u32; RANKS as usize] {
    let mut placed = [0; RANKS as usize];
    for number in 0..u64::from(SLOTS) * u64::from(RANKS) {
        let ticket = Ticket(now_ms * 1_000 + number);
        match submit(dispatcher, ticket, now_ms) {
            SubmitOutcome::Placed(target) => placed[rank_of(&target)] += 1,
            SubmitOutcome::Queued => dispatcher.cancel(ticket),
            SubmitOutcome::Refused => {}
        }
    }
    placed
}

/// Ends the requests that [`fill`] has placed.
fn release_all(dispatcher: &mut Dispatcher, placed: [u32; RANKS as usize], now_ms: u64) {
    for (target, count) in targets().iter().zip(placed) {
        for _ in 0..count {
            dispatcher.release(&target.incarnation, None, MonoMs(now_ms));
        }
    }
}

fn submit(dispatcher: &mut Dispatcher, ticket: Ticket, now_ms: u64) -> SubmitOutcome {
    let request = PlacementRequest {
        urgency: 1,
        wait_limit_ms: 200,
        late_wait_limit_ms: 1_500,
        on_time_until_ms: MonoMs(now_ms + 200),
        allowed_regions: None,
    };
    dispatcher.submit(ticket, request, ticket.0, MonoMs(now_ms))
}

fn rank_of(target: &Target) -> usize {
    usize::from(target.address.port()) - 1
}

/// Places one request at the pausing rank.
fn place_at_pausing(dispatcher: &mut Dispatcher, now_ms: u64) {
    let others: Vec<Incarnation> = (0..RANKS)
        .filter(|rank| *rank != PAUSING)
        .map(|rank| target(rank).incarnation)
        .collect();
    let placed = dispatcher.place_additional(&others, 0, MonoMs(now_ms));
    let placed = placed.expect("the pausing rank has slots");
    assert_eq!(placed, target(PAUSING));
}

// Guards against requests that reach the pausing rank's engine and cannot be cancelled while its VM
// is frozen, and against requests refused although the other targets have slots.
#[test]
fn the_other_targets_get_all_requests_while_a_notice_lasts() {
    let mut dispatcher = dispatcher();

    dispatcher.on_pause_notice(notice(1_000), MonoMs(100));
    let at_first = fill(&mut dispatcher, 100);
    release_all(&mut dispatcher, at_first, 200);
    let at_last = fill(&mut dispatcher, 1_099);

    assert_eq!(at_first, [SLOTS, 0, SLOTS, SLOTS]);
    assert_eq!(at_last, [SLOTS, 0, SLOTS, SLOTS]);
}

// Guards against an engine that stays unused after a leader that sent a notice has disappeared.
#[test]
fn a_target_is_used_again_when_its_notice_expires() {
    let mut dispatcher = dispatcher();

    dispatcher.on_pause_notice(notice(1_000), MonoMs(100));
    let placed = fill(&mut dispatcher, 1_100);

    assert_eq!(placed, [SLOTS; RANKS as usize]);
}

// Guards against an engine that stays unused for the rest of a notice although the switch is done.
#[test]
fn a_target_is_used_again_when_its_notice_is_ended() {
    let mut dispatcher = dispatcher();

    dispatcher.on_pause_notice(notice_of(LEADER, 1, 1_000), MonoMs(100));
    dispatcher.on_pause_notice(notice_of(LEADER, 2, 0), MonoMs(200));
    let placed = fill(&mut dispatcher, 200);

    assert_eq!(placed, [SLOTS; RANKS as usize]);
}

// Guards against a pausing rank's engine that gets requests in a switch longer than one notice.
#[test]
fn a_renewed_notice_lasts_from_its_renewal() {
    let mut dispatcher = dispatcher();

    dispatcher.on_pause_notice(notice_of(LEADER, 1, 1_000), MonoMs(100));
    dispatcher.on_pause_notice(notice_of(LEADER, 2, 1_000), MonoMs(900));
    let placed = fill(&mut dispatcher, 1_899);

    assert_eq!(placed, [SLOTS, 0, SLOTS, SLOTS]);
}

// Guards against an engine that is unused for good because of a wrong duration in a notice.
#[test]
fn an_absurd_duration_is_cut_to_the_upper_limit() {
    let mut dispatcher = dispatcher();

    dispatcher.on_pause_notice(notice(u64::MAX), MonoMs(100));
    let before = fill(&mut dispatcher, 100 + MAX_NOTICE_MS - 1);
    release_all(&mut dispatcher, before, 100 + MAX_NOTICE_MS - 1);
    let after = fill(&mut dispatcher, 100 + MAX_NOTICE_MS);

    assert_eq!(before, [SLOTS, 0, SLOTS, SLOTS]);
    assert_eq!(after, [SLOTS; RANKS as usize]);
}

// Guards against a notice that misses the requests which were placed before it and not sent yet, and
// against a slot that stays occupied by one of these.
#[test]
fn a_request_that_was_not_sent_before_the_notice_goes_elsewhere() {
    let mut dispatcher = dispatcher();
    let pausing = target(PAUSING).incarnation;
    place_at_pausing(&mut dispatcher, 100);

    dispatcher.on_pause_notice(notice(1_000), MonoMs(110));
    let admitted = dispatcher.admit(&pausing, MonoMs(120));
    dispatcher.release(&pausing, None, MonoMs(120));
    let next = submit(&mut dispatcher, Ticket(1), 120);
    let (running, _, _) = dispatcher.counts();

    assert_eq!(admitted, Err(WithheldReason::Pausing));
    let SubmitOutcome::Placed(next) = next else {
        panic!("not placed: {next:?}");
    };
    assert_ne!(next, target(PAUSING));
    assert_eq!(running, 1);
}

// Guards against requests withheld from the other targets by a notice for one.
#[test]
fn a_notice_withholds_nothing_from_other_targets() {
    let mut dispatcher = dispatcher();

    dispatcher.on_pause_notice(notice(1_000), MonoMs(100));
    let mut others = (0..RANKS).filter(|rank| *rank != PAUSING).map(target);

    assert!(others.all(|other| dispatcher.admit(&other.incarnation, MonoMs(120)).is_ok()));
}

// Guards against requests sent to the engine beside a frozen VM because the store's list of targets
// changed during the notice.
#[test]
fn a_target_that_stays_listed_keeps_its_notice() {
    let mut dispatcher = dispatcher();
    let mut relisted = targets();
    relisted[usize::from(PAUSING)].listed_revision = 2;

    dispatcher.on_pause_notice(notice(1_000), MonoMs(100));
    dispatcher.set_targets(relisted.iter());
    let placed = fill(&mut dispatcher, 200);

    assert_eq!(placed, [SLOTS, 0, SLOTS, SLOTS]);
}

// Guards against requests sent to the engine beside a frozen VM whose target leaves the list while it
// is frozen, and returns.
#[test]
fn a_target_that_is_listed_again_keeps_its_notice() {
    let mut dispatcher = dispatcher();
    let mut others = targets();
    others.remove(usize::from(PAUSING));

    dispatcher.on_pause_notice(notice(1_000), MonoMs(100));
    dispatcher.set_targets(others.iter());
    dispatcher.set_targets(targets().iter());
    let placed = fill(&mut dispatcher, 200);

    assert_eq!(placed, [SLOTS, 0, SLOTS, SLOTS]);
}

// Guards against requests sent to the pausing rank's engine because the end of the previous switch
// arrives after the notice of the next one.
#[test]
fn a_late_end_of_a_previous_switch_has_no_effect() {
    let mut dispatcher = dispatcher();

    dispatcher.on_pause_notice(notice_of(LEADER, 3, 1_000), MonoMs(100));
    dispatcher.on_pause_notice(notice_of(LEADER, 2, 0), MonoMs(110));
    let placed = fill(&mut dispatcher, 200);

    assert_eq!(placed, [SLOTS, 0, SLOTS, SLOTS]);
}

// Guards against a previous leader that ends the notice of its successor, however many notices it
// has sent.
#[test]
fn an_end_by_a_previous_leader_has_no_effect() {
    let mut dispatcher = dispatcher();

    dispatcher.on_pause_notice(notice_of(LEADER, 1, 1_000), MonoMs(100));
    dispatcher.on_pause_notice(notice_of(LEADER - 1, 9, 0), MonoMs(110));
    let placed = fill(&mut dispatcher, 200);

    assert_eq!(placed, [SLOTS, 0, SLOTS, SLOTS]);
}
