//! Suspects while the store replies late.

mod common;

use std::time::Duration;

use berylhook_core::position::Position;
use berylhook_quarantine::{RunClearance, WaitLimits};
use berylhook_test_support::KeyValueStandIn;

use crate::common::{DraftRequest, WAIT_LIMITS, lost_request_of, process};

/// Limits of a request with a latency objective of 400 ms and three seconds until its deadline.
const USUAL_LIMITS: WaitLimits = WaitLimits {
    lock_wait: Duration::from_millis(160),
    ..WAIT_LIMITS
};

// Guards against targets that exit one after the other because of one request: each process ran it
// when the store had not replied in time whether another process holds the lock.
#[tokio::test]
async fn a_suspect_does_not_run_while_its_lock_is_pending() {
    let store = KeyValueStandIn::start().await;
    let draft = DraftRequest("drafts".into());
    let processes = [process(store.address()), process(store.address())];
    for tracker in &processes {
        tracker.apply_items(&[], Position::default());
        tracker.on_target_exit(&"i-1".into(), &[lost_request_of(&draft)]);
    }
    store.hold_reads_of("berylhook/quarantine-lock/");

    let (mut first, mut second) = (RunClearance::default(), RunClearance::default());
    let (first, second) = tokio::join!(
        processes[0].acquire_clearance(&draft, &mut first, USUAL_LIMITS),
        processes[1].acquire_clearance(&draft, &mut second, USUAL_LIMITS),
    );

    let reasons = [first, second].map(|result| result.err().map(|rejection| rejection.reason));
    assert_eq!(reasons, [Some("lock-late"); 2]);
}

// A slow store delays a suspect, like another run of the same request does.
#[tokio::test]
async fn a_suspect_waits_for_a_late_lock() {
    let store = KeyValueStandIn::start().await;
    let draft = DraftRequest("drafts".into());
    let tracker = process(store.address());
    tracker.apply_items(&[], Position::default());
    tracker.on_target_exit(&"i-1".into(), &[lost_request_of(&draft)]);
    store.hold_reads_of("berylhook/quarantine-lock/");

    let mut clearance = RunClearance::default();
    let clearing = tracker.acquire_clearance(&draft, &mut clearance, USUAL_LIMITS);
    let releasing = async {
        tokio::time::sleep(USUAL_LIMITS.lock_wait * 2).await;
        store.release_reads();
    };
    let (result, ()) = tokio::join!(clearing, releasing);

    assert!(result.is_ok(), "{result:?}");
    assert!(clearance.runs_alone());
}
