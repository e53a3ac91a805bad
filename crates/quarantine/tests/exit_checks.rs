//! Requests whose previous run lost its response, while it is checked whether the target has exited.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use berylhook_core::position::Position;
use berylhook_quarantine::{
    Probe, ProbeFuture, QuarantineRejection, RunClearance, SuspectTracker, TargetIncarnation,
    WaitLimits,
};
use berylhook_target::probe::ProbeOutcome;
use berylhook_test_support::KeyValueStandIn;
use tokio::net::TcpListener;

use crate::common::{DraftRequest, WAIT_LIMITS, lost_request_of, process};

/// Limits of a request with a latency objective of 400 ms and three seconds until its deadline.
const USUAL_LIMITS: WaitLimits = WaitLimits {
    lock_wait: Duration::from_millis(160),
    ..WAIT_LIMITS
};

/// A probe whose target responds after this time.
struct SlowProbe(Duration);

impl Probe for SlowProbe {
    fn probe(&self) -> ProbeFuture<'_> {
        Box::pin(async {
            tokio::time::sleep(self.0).await;
            ProbeOutcome::Accepted
        })
    }
}

/// Reports a lost response of the draft at a target that listens at `address` and responds to
/// probes after `probe_time`.
fn lose_response(
    tracker: &Arc<SuspectTracker>,
    draft: &DraftRequest,
    address: SocketAddr,
    probe_time: Duration,
) {
    let incarnation = TargetIncarnation {
        target: "i-1".into(),
        address,
        listed_revision: 1,
    };
    let probe = Arc::new(SlowProbe(probe_time));
    tracker.on_lost_response_with_probe(&incarnation, lost_request_of(draft), probe);
}

/// Loses a response of the draft, then asks for the clearance of its next run. Returns the result
/// and how long that took.
async fn clear_after_lost_response(
    probe_time: Duration,
) -> (Result<(), QuarantineRejection>, Duration) {
    let store = KeyValueStandIn::start().await;
    let draft = DraftRequest("drafts".into());
    let tracker = process(store.address());
    tracker.apply_items(&[], Position::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    lose_response(&tracker, &draft, address, probe_time);
    let started = Instant::now();
    let mut clearance = RunClearance::default();
    let result = tracker
        .acquire_clearance(&draft, &mut clearance, USUAL_LIMITS)
        .await;
    (result, started.elapsed())
}

// Guards against requests that are refused, and retries and resumed streams that are given up,
// although the check that they wait for ends within a few hundred milliseconds.
#[tokio::test]
async fn a_request_waits_for_an_exit_check_longer_than_for_a_lock() {
    let probe_time = Duration::from_millis(300);

    let (result, took) = clear_after_lost_response(probe_time).await;

    assert_eq!(result, Ok(()));
    assert!(took >= probe_time, "{took:?}");
}

// Guards against a request that is sent before it is known whether its previous run made the target
// exit, and against one that spends all its time waiting for that.
#[tokio::test]
async fn a_request_is_not_sent_while_an_exit_check_is_pending() {
    let (result, took) = clear_after_lost_response(Duration::from_mins(1)).await;

    let reason = result.err().map(|rejection| rejection.reason);
    assert_eq!(reason, Some("exit-check"));
    assert!(took < USUAL_LIMITS.response_wait / 2, "{took:?}");
}
