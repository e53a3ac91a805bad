//! Callers that leave while the path to their target is cut: the run has to be cancelled once the
//! path is back.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use berylhook_test_support::calls::{CallResult, Caller};
use berylhook_test_support::{CutOffTarget, KeyValueStandIn, PlatformTarget};
use tokio::task::JoinHandle;

use crate::common::entry::{API_KEY, Entry, configuration, route, start_entry, until, until_ready};

/// How long the path is cut: longer than it takes TCP to give a silent connection up.
const CUT: Duration = Duration::from_secs(3);

/// Time within which a stream has to move.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Time for a request to be on its way.
const SETTLING_TIME: Duration = Duration::from_millis(100);

async fn start(target: &CutOffTarget) -> (KeyValueStandIn, Entry) {
    let store = KeyValueStandIn::start().await;
    let routes = [
        route("unsafe", "unsafe", 2, false),
        route("stream", "streaming", 3, true),
    ];
    let document = String::from_utf8(configuration(1, &routes)).expect("the document is JSON");
    let document = document.replace("\"timeout-ms\":4000", "\"timeout-ms\":9000");
    store.put_raw("op/config", document.as_bytes());
    target.register(&store, "i-cut", "push");
    let entry = start_entry(&store, &[]);
    until_ready(&entry).await;
    (store, entry)
}

/// Sends a request whose caller leaves when the task is aborted.
fn send(entry: &Entry, path: &'static str) -> JoinHandle<()> {
    let address = entry.caller_address;
    tokio::spawn(async move {
        let headers = [
            ("host", "desk.example"),
            ("berylhook-attempt-id", "attempt-1"),
            ("berylhook-deadline-ms", "9000"),
        ];
        Caller::new(API_KEY)
            .post(address, path, "hello", &headers)
            .await;
    })
}

async fn until_idle(target: &CutOffTarget) {
    until(async || target.running() == 0).await;
}

/// The caller of `path` leaves at this time of the cut; the run ends after it.
async fn leave_during_cut(path: &'static str, stays: Duration) {
    let target = CutOffTarget::start().await;
    let (_store, entry) = start(&target).await;
    let call = send(&entry, path);
    until(async || target.running() == 1).await;
    target.cut_path();
    tokio::time::sleep(SETTLING_TIME.max(stays)).await;

    call.abort();
    tokio::time::sleep(CUT.saturating_sub(stays)).await;
    target.restore_path();

    until_idle(&target).await;
}

// Guards against a run that goes on because its caller left while the close could not arrive.
#[tokio::test]
async fn a_run_is_cancelled_when_the_path_is_back_after_its_caller_left() {
    leave_during_cut("/unsafe/", Duration::ZERO).await;
}

// Guards against a stream that goes on because its caller left while the close could not arrive.
#[tokio::test]
async fn a_stream_is_cancelled_when_the_path_is_back_after_its_caller_left() {
    leave_during_cut("/stream/stream", Duration::ZERO).await;
}

// Guards against a run that goes on because TCP gave its connection up before its caller left.
#[tokio::test]
async fn a_run_is_cancelled_although_its_caller_left_late_in_the_cut() {
    leave_during_cut("/unsafe/", Duration::from_millis(2_600)).await;
}

// Guards against a first run that goes on because its stream moved to another target during the cut.
#[tokio::test]
async fn a_stream_that_has_moved_is_cancelled_at_its_first_target() {
    let target = CutOffTarget::start().await;
    let (store, entry) = start(&target).await;
    let call = send(&entry, "/stream/stream");
    until(async || target.running() == 1).await;
    let other = PlatformTarget::start("i-other").await;
    other.register(&store, "push", "ready");
    target.cut_path();
    let started_at = Instant::now();
    // Events of other streams show that the service works.
    let mut other_calls = Vec::new();
    while started_at.elapsed() < CUT || !call.is_finished() {
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "the stream has not moved"
        );
        other_calls.push(send(&entry, "/stream/stream"));
        tokio::time::sleep(SETTLING_TIME).await;
    }
    for call in &other_calls {
        call.abort();
    }

    target.restore_path();

    until_idle(&target).await;
}

/// Deadline of a stream that has to move. When its target has been silent for long enough, less time is
/// left than a probe of an unreachable target takes, of which a request waits three tenths.
const SHORT_DEADLINE_MS: &str = "1800";

/// Sends a stream with the short deadline.
async fn send_short(entry: SocketAddr) -> CallResult {
    let headers = [
        ("host", "desk.example"),
        ("berylhook-attempt-id", "attempt-short"),
        ("berylhook-deadline-ms", SHORT_DEADLINE_MS),
    ];
    let caller = Caller::new(API_KEY);
    caller
        .post(entry, "/stream/stream", "hello", &headers)
        .await
}

// Guards against a stream that moves too late because its entry, which has given its silent target up
// itself, waits until that target has been probed for an exit.
#[tokio::test]
async fn a_stream_that_leaves_a_silent_target_waits_for_no_probe() {
    let target = CutOffTarget::start().await;
    let (store, entry) = start(&target).await;
    let short = tokio::spawn(send_short(entry.caller_address));
    until(async || target.running() == 1).await;
    let other = PlatformTarget::start("i-other").await;
    other.register(&store, "push", "ready");
    target.cut_path();

    // Events of other streams show that the service works.
    let mut other_calls = Vec::new();
    while !short.is_finished() {
        other_calls.push(send(&entry, "/stream/stream"));
        tokio::time::sleep(SETTLING_TIME).await;
    }
    for call in &other_calls {
        call.abort();
    }
    target.restore_path();

    let response = short.await.expect("the request ends");
    assert_eq!((response.status, response.is_complete), (200, true));
}
