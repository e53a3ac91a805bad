//! Suspects while the store does not answer.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use berylhook_quarantine::{RunClearance, WaitLimits};

use crate::common::{Draft, PATIENCE, loss_of, process};

/// Nobody listens there.
const NO_STORE: ([u8; 4], u16) = ([127, 0, 0, 1], 9);

// A request that all callers send was refused for minutes: each process let it run by a lock of
// its own, and each of these runs counted as the only one of its kind.
#[tokio::test]
async fn a_run_under_a_lock_of_this_process_alone_is_not_the_only_one_of_its_kind() {
    let suspects = process(SocketAddr::from(NO_STORE));
    let draft = Draft("drafts".into());
    suspects.on_target_exit(&"i-1".into(), &[loss_of(&draft)]);

    let mut clearance = RunClearance::default();
    let cleared = suspects
        .acquire_clearance(&draft, &mut clearance, PATIENCE)
        .await;
    let mut other = RunClearance::default();
    let at_once = WaitLimits {
        lock_wait: Duration::from_millis(200),
        ..PATIENCE
    };
    let second = suspects
        .acquire_clearance(&draft, &mut other, at_once)
        .await;

    assert!(cleared.is_ok(), "a suspect runs while the store is away");
    assert!(second.is_err(), "once at a time in this process");
    assert!(!clearance.runs_alone());
}
