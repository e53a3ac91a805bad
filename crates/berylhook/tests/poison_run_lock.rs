//! Requests under which a target has exited, while they wait for the run lock.

mod common;

use std::time::Duration;

use berylhook_test_support::{Behaviour, POISON_BODY, PlatformTarget};

use crate::common::entry::{start_entry, until_ready};
use crate::common::poison::{Fleet, MAX_EXITS, PROPAGATION_TIME};

/// Deadline of the request. The reply to its lock request arrives when a fifth of this is left.
const DEADLINE_MS: u64 = 180;
const LOCK_REPLY_DELAY: Duration = Duration::from_millis(144);

// Guards against a request that waits for the run lock until shortly before its deadline and is
// sent nevertheless. The target exited for a result that came too late, and the caller was told
// that the request may have run.
#[tokio::test]
async fn a_request_whose_deadline_is_near_when_it_gets_the_lock_is_not_sent() {
    for path in ["/unsafe/draft", "/once/stream"] {
        let fleet = Fleet::start(1, 4).await;
        fleet.send(0, path, "first", POISON_BODY).await;
        tokio::time::sleep(PROPAGATION_TIME).await;
        fleet.store.hold_reads_of("berylhook/quarantine-lock/");

        let waiting = fleet.send_with_deadline(0, path, "second", POISON_BODY, DEADLINE_MS);
        let releasing = async {
            tokio::time::sleep(LOCK_REPLY_DELAY).await;
            fleet.store.release_reads();
        };
        let (response, ()) = tokio::join!(waiting, releasing);
        tokio::time::sleep(PROPAGATION_TIME).await;

        assert_eq!((response.status, fleet.exited_count()), (503, 1), "{path}");
    }
}

// Guards against a fourth target exit: one entry ran the request on trial while another ran it as a
// suspect at a target that had not exited yet, because the two kinds of run used locks that did not
// exclude each other.
#[tokio::test]
async fn a_run_on_trial_waits_for_a_run_of_the_same_request_as_a_suspect() {
    for exit_delay_ms in [200, 400, 600] {
        let fleet = Fleet::start(2, 8).await;
        for target in &fleet.targets {
            target.set_exit_delay(Duration::from_millis(exit_delay_ms));
        }

        for number in 0..8 {
            let attempt = format!("left-{number}");
            let sent = fleet.send(number, "/unsafe/draft", &attempt, POISON_BODY);
            // Once the quarantine holds the request, the entry rejects it at once.
            let _ = tokio::time::timeout(Duration::from_millis(15), sent).await;
            tokio::time::sleep(PROPAGATION_TIME).await;
        }

        let exited = fleet.exited_count();
        assert!(exited <= MAX_EXITS, "{exit_delay_ms} ms: {exited}");
    }
}

// Guards against a fourth target exit: an entry that had received only the first exit ran the
// request without a lock because the store was slow to answer the lock request.
#[tokio::test]
async fn an_entry_that_receives_exits_late_does_not_run_the_request_without_a_lock() {
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

// Guards against a fourth target exit: another incarnation listened at once at the address of each
// target that had exited under an abandoned run, and was taken for that target.
#[tokio::test]
async fn an_exit_is_detected_although_another_incarnation_has_taken_the_address() {
    let fleet = Fleet::start(1, 6).await;
    let mut replacements: Vec<PlatformTarget> = Vec::new();
    for number in 0..6 {
        let attempt = format!("left-{number}");
        let sent = fleet.send(0, "/unsafe/draft", &attempt, POISON_BODY);
        // Once the quarantine holds the request, the entry rejects it at once.
        let _ = tokio::time::timeout(Duration::from_millis(15), sent).await;
        tokio::time::sleep(Duration::from_millis(60)).await;
        let is_unreplaced_exit = |exited: &&PlatformTarget| {
            exited.has_exited()
                && replacements
                    .iter()
                    .all(|target| target.address() != exited.address())
        };
        if let Some(exited) = fleet.targets.iter().find(is_unreplaced_exit) {
            let replacement = PlatformTarget::start_at("i-other", exited.address()).await;
            replacement.set_behaviour(Behaviour::IsOtherIncarnation);
            replacements.push(replacement);
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

/// Time during which a target is probed after a caller has abandoned a run there.
const PROBE_WINDOW: Duration = Duration::from_millis(1_500);

/// Starts another incarnation at the address of an exited target that has no replacement yet.
async fn replace_exited_target(fleet: &Fleet, replacements: &mut Vec<PlatformTarget>) {
    let is_unreplaced_exit = |exited: &&PlatformTarget| {
        exited.has_exited()
            && replacements
                .iter()
                .all(|target| target.address() != exited.address())
    };
    if let Some(exited) = fleet.targets.iter().find(is_unreplaced_exit) {
        let replacement = PlatformTarget::start_at("i-other", exited.address()).await;
        replacement.set_behaviour(Behaviour::IsOtherIncarnation);
        replacements.push(replacement);
    }
}

// Guards against a fourth target exit: each target exited under an abandoned run, another
// incarnation listened at its address, and no request reached that incarnation that it could have
// refused, only probes.
#[tokio::test]
async fn an_exit_is_detected_although_only_probes_reach_the_taken_address() {
    let fleet = Fleet::start(1, 6).await;
    let mut replacements: Vec<PlatformTarget> = Vec::new();
    for number in 0..6 {
        let attempt = format!("left-{number}");
        let sent = fleet.send(0, "/unsafe/draft", &attempt, POISON_BODY);
        // Once the quarantine holds the request, the entry rejects it at once.
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

// Guards against a fourth target exit when a response is lost and another incarnation accepts the
// connections of the probes.
#[tokio::test]
async fn an_exit_with_a_lost_response_is_detected_although_the_address_is_taken_at_once() {
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
