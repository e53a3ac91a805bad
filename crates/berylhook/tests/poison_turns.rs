//! Requests under which a target has ended, while they wait for their turn.

mod common;

use std::time::Duration;

use berylhook_test_support::{Behaviour, POISON_BODY, PlatformTarget};

use crate::common::entry::{start_entry, until_ready};
use crate::common::poison::{Fleet, MAX_EXITS, PROPAGATION_TIME};

/// Time of the request's caller. Its turn comes when a fifth of that is left.
const DEADLINE_MS: u64 = 180;
const TURN_DELAY: Duration = Duration::from_millis(144);

// A target ended for nothing: the request had waited for its lock until its time was almost
// over, was sent all the same, and its caller was told that it may have run.
#[tokio::test]
async fn a_request_whose_time_is_over_when_its_turn_comes_is_not_sent() {
    for path in ["/unsafe/draft", "/once/stream"] {
        let fleet = Fleet::start(1, 4).await;
        fleet.send(0, path, "first", POISON_BODY).await;
        tokio::time::sleep(PROPAGATION_TIME).await;
        fleet.store.hold_reads_of("berylhook/quarantine-lock/");

        let waiting = fleet.send_with_deadline(0, path, "second", POISON_BODY, DEADLINE_MS);
        let releasing = async {
            tokio::time::sleep(TURN_DELAY).await;
            fleet.store.release_reads();
        };
        let (response, ()) = tokio::join!(waiting, releasing);
        tokio::time::sleep(PROPAGATION_TIME).await;

        assert_eq!((response.status, fleet.exited_count()), (503, 1), "{path}");
    }
}

// A fourth target ended: its entry was on trial while it still ran as a suspect elsewhere, at
// a target that had not ended yet, and the two locks did not keep each other out.
#[tokio::test]
async fn a_run_on_trial_waits_for_a_run_of_the_same_request_under_suspicion() {
    for exit_delay_ms in [200, 400, 600] {
        let fleet = Fleet::start(2, 8).await;
        for target in &fleet.targets {
            target.set_exit_delay(Duration::from_millis(exit_delay_ms));
        }

        for number in 0..8 {
            let attempt = format!("left-{number}");
            let sent = fleet.send(number, "/unsafe/draft", &attempt, POISON_BODY);
            // Once it is held back it is answered at once.
            let _ = tokio::time::timeout(Duration::from_millis(15), sent).await;
            tokio::time::sleep(PROPAGATION_TIME).await;
        }

        let exited = fleet.exited_count();
        assert!(exited <= MAX_EXITS, "{exit_delay_ms} ms: {exited}");
    }
}

// A fourth target ended: an entry that had heard of the first end only ran the request, since
// the store was slow to tell whether it may.
#[tokio::test]
async fn an_entry_that_hears_late_of_ends_does_not_run_the_request_without_a_lock() {
    let mut fleet = Fleet::start(1, 6).await;
    let unpeered = start_entry(&fleet.store, &[]);
    until_ready(&unpeered).await;
    fleet.entries.push(unpeered);
    fleet.send(0, "/unsafe/draft", "first", POISON_BODY).await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    fleet.store.mute_watches(true);
    for number in 1..MAX_EXITS {
        let attempt = format!("early-{number}");
        fleet.send(0, "/unsafe/draft", &attempt, POISON_BODY).await;
        tokio::time::sleep(PROPAGATION_TIME).await;
    }
    fleet.store.hold_reads_of("berylhook/quarantine-lock/");

    let response = fleet.send(1, "/unsafe/draft", "late", POISON_BODY).await;

    assert_eq!((response.status, fleet.exited_count()), (503, MAX_EXITS));
}

// A fourth target ended: each address was taken by another incarnation at once, which passed
// for the target that had ended under a request whose caller had left.
#[tokio::test]
async fn an_end_is_noticed_although_another_incarnation_has_taken_the_address() {
    let fleet = Fleet::start(1, 6).await;
    let mut replacements: Vec<PlatformTarget> = Vec::new();
    for number in 0..6 {
        let attempt = format!("left-{number}");
        let sent = fleet.send(0, "/unsafe/draft", &attempt, POISON_BODY);
        // Once it is held back it is answered at once.
        let _ = tokio::time::timeout(Duration::from_millis(15), sent).await;
        tokio::time::sleep(Duration::from_millis(60)).await;
        let is_unreplaced_exit = |exited: &&PlatformTarget| {
            exited.has_exited()
                && replacements
                    .iter()
                    .all(|target| target.address() != exited.address())
        };
        if let Some(exited) = fleet.targets.iter().find(is_unreplaced_exit) {
            let other = PlatformTarget::start_at("i-other", exited.address()).await;
            other.set_behaviour(Behaviour::IsOtherIncarnation);
            replacements.push(other);
        }
        for other in 0..12 {
            let body = format!("a draft {other}");
            fleet.send(0, "/safe/draft", "other", &body).await;
        }
        tokio::time::sleep(PROPAGATION_TIME).await;
    }

    assert!(
        fleet.exited_count() <= MAX_EXITS,
        "{}",
        fleet.exited_count()
    );
}

/// Time in which a target is looked at after a caller has left its run there.
const PROBE_WINDOW: Duration = Duration::from_millis(1_500);

/// Another incarnation listens at the address of a target that has ended.
async fn replace_exited_target(fleet: &Fleet, replacements: &mut Vec<PlatformTarget>) {
    let is_unreplaced_exit = |exited: &&PlatformTarget| {
        exited.has_exited()
            && replacements
                .iter()
                .all(|target| target.address() != exited.address())
    };
    if let Some(exited) = fleet.targets.iter().find(is_unreplaced_exit) {
        let other = PlatformTarget::start_at("i-other", exited.address()).await;
        other.set_behaviour(Behaviour::IsOtherIncarnation);
        replacements.push(other);
    }
}

// A fourth target ended: each had ended under a request whose caller had left, another
// incarnation listened at its address, and no request came there that it could have refused.
#[tokio::test]
async fn an_end_is_noticed_although_only_a_look_comes_to_the_taken_address() {
    let fleet = Fleet::start(1, 6).await;
    let mut replacements: Vec<PlatformTarget> = Vec::new();
    for number in 0..6 {
        let attempt = format!("left-{number}");
        let sent = fleet.send(0, "/unsafe/draft", &attempt, POISON_BODY);
        // Once it is held back it is answered at once.
        let _ = tokio::time::timeout(Duration::from_millis(15), sent).await;
        tokio::time::sleep(Duration::from_millis(60)).await;
        replace_exited_target(&fleet, &mut replacements).await;
        tokio::time::sleep(PROBE_WINDOW).await;
    }

    assert!(
        fleet.exited_count() <= MAX_EXITS,
        "{}",
        fleet.exited_count()
    );
}

// Guards against a fourth end where an answer is lost and another incarnation takes the
// connections by which the target is looked at.
#[tokio::test]
async fn an_end_with_a_lost_answer_is_noticed_although_the_address_is_taken_at_once() {
    let fleet = Fleet::start(1, 6).await;
    for target in &fleet.targets {
        target.set_behaviour(Behaviour::IsReplacedOnPoison);
    }

    for number in 0..6 {
        let attempt = format!("lost-{number}");
        fleet.send(0, "/unsafe/draft", &attempt, POISON_BODY).await;
        tokio::time::sleep(PROPAGATION_TIME).await;
    }

    let exited = fleet
        .targets
        .iter()
        .filter(|target| target.exited_on_poison().is_some());
    assert_eq!(exited.count(), MAX_EXITS);
}
