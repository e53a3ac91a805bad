//! Suspects while the store does not reply.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use berylhook_quarantine::{RunClearance, WaitLimits};

use crate::common::{DraftRequest, WAIT_LIMITS, lost_request_of, process};

/// An address without a listener.
const NO_STORE: ([u8; 4], u16) = ([127, 0, 0, 1], 9);

// Guards against rejecting, for minutes, a request that many callers send: each process ran it
// under a lock of its own, and each of these runs counted as the only one of the request.
#[tokio::test]
async fn a_run_under_a_process_local_lock_does_not_run_alone() {
    let tracker = process(SocketAddr::from(NO_STORE));
    let draft = DraftRequest("drafts".into());
    tracker.on_target_exit(&"i-1".into(), &[lost_request_of(&draft)]);

    let mut clearance = RunClearance::default();
    let first = tracker
        .acquire_clearance(&draft, &mut clearance, WAIT_LIMITS)
        .await;
    let mut other_clearance = RunClearance::default();
    let short_wait = WaitLimits {
        lock_wait: Duration::from_millis(200),
        ..WAIT_LIMITS
    };
    let second = tracker
        .acquire_clearance(&draft, &mut other_clearance, short_wait)
        .await;

    assert!(
        first.is_ok(),
        "a suspect runs while the store is unavailable"
    );
    assert!(second.is_err(), "only one run at a time in this process");
    assert!(!clearance.runs_alone());
}
