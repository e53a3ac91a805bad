//! Suspects while the store answers late.

mod common;

use std::time::Duration;

use berylhook_core::position::Position;
use berylhook_quarantine::{RunClearance, WaitLimits};
use berylhook_test_support::KeyValueStandIn;

use crate::common::{Draft, PATIENCE, loss_of, process};

/// Patience of a request with a goal of 400 ms and three seconds to its deadline.
const USUAL: WaitLimits = WaitLimits {
    lock_wait: Duration::from_millis(160),
    ..PATIENCE
};

// Targets ended one beside the other under one request: each process let it run when the store
// had not answered in time whether another one did.
#[tokio::test]
async fn a_suspect_does_not_run_while_its_lock_is_on_its_way() {
    let store = KeyValueStandIn::start().await;
    let draft = Draft("drafts".into());
    let processes = [process(store.address()), process(store.address())];
    for suspects in &processes {
        suspects.apply_items(&[], Position::default());
        suspects.on_target_exit(&"i-1".into(), &[loss_of(&draft)]);
    }
    store.hold_reads_of("berylhook/quarantine-lock/");

    let (mut first, mut second) = (RunClearance::default(), RunClearance::default());
    let (first, second) = tokio::join!(
        processes[0].acquire_clearance(&draft, &mut first, USUAL),
        processes[1].acquire_clearance(&draft, &mut second, USUAL),
    );

    let why = [first, second].map(|cleared| cleared.err().map(|held| held.reason));
    assert_eq!(why, [Some("lock-late"); 2]);
}

// A slow store delays a suspect, as another run of it does.
#[tokio::test]
async fn a_suspect_waits_for_a_lock_that_comes_late() {
    let store = KeyValueStandIn::start().await;
    let draft = Draft("drafts".into());
    let suspects = process(store.address());
    suspects.apply_items(&[], Position::default());
    suspects.on_target_exit(&"i-1".into(), &[loss_of(&draft)]);
    store.hold_reads_of("berylhook/quarantine-lock/");

    let mut clearance = RunClearance::default();
    let clearing = suspects.acquire_clearance(&draft, &mut clearance, USUAL);
    let releasing = async {
        tokio::time::sleep(USUAL.lock_wait * 2).await;
        store.release_reads();
    };
    let (cleared, ()) = tokio::join!(clearing, releasing);

    assert!(cleared.is_ok(), "{cleared:?}");
    assert!(clearance.runs_alone());
}
