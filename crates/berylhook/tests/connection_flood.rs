//! One entry that gets most new connections of all callers.

mod common;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use berylhook_test_support::calls::Caller;
use berylhook_test_support::{KeyValueStandIn, PlatformTarget};
use futures_util::future::join_all;
use tokio::net::TcpStream;

use crate::common::entry::{API_KEY, Entry, configuration, route, start_entry, until_ready};

const ENTRIES: usize = 3;
const TARGETS: usize = 6;

/// Requests in progress at a time, each on a new connection.
const LANES: usize = 45;

/// Duration of a run at a target.
const RUN_TIME: Duration = Duration::from_millis(200);

/// Connections that callers open and leave idle while one entry gets all of them.
const IDLE_CONNECTIONS: usize = 400;

/// Time that an entry has to adapt.
const ADAPTATION_TIME: Duration = Duration::from_secs(3);

const PHASE: Duration = Duration::from_secs(3);

/// Sends requests for a while, each through the entry that `choose` returns for its lane; returns
/// the share that was served at the first attempt.
async fn served_share(entries: &[Entry], choose: fn(usize) -> usize) -> f64 {
    let (sent, served) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let end = Instant::now() + PHASE;
    let lanes = (0..LANES).map(|lane| {
        let (sent, served) = (&sent, &served);
        async move {
            while Instant::now() < end {
                let attempt = format!("a-{lane}-{}", sent.fetch_add(1, Ordering::Relaxed));
                let headers = [
                    ("host", "desk.example"),
                    ("berylhook-attempt-id", attempt.as_str()),
                    ("berylhook-deadline-ms", "4000"),
                ];
                let entry = &entries[choose(lane) % entries.len()];
                let response = Caller::new(API_KEY)
                    .post(entry.caller_address, "/unsafe/draft", "a draft", &headers)
                    .await;
                served.fetch_add(usize::from(response.status == 200), Ordering::Relaxed);
            }
        }
    });
    join_all(lanes).await;
    #[allow(clippy::cast_precision_loss)] // a few thousand requests
    let share = served.into_inner() as f64 / sent.into_inner() as f64;
    share
}

// Guards against an entry that serves less than three quarters of what it served before once it gets
// the new connections of all callers.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_gets_all_new_connections_serves_them() {
    let store = KeyValueStandIn::start().await;
    store.put_raw(
        "op/config",
        &configuration(1, &[route("unsafe", "unsafe", 2, false)]),
    );
    let mut targets = Vec::new();
    for number in 0..TARGETS {
        let target = PlatformTarget::start(&format!("i-{number}")).await;
        target.set_response_delay(RUN_TIME);
        target.register(&store, "push", "ready");
        targets.push(target);
    }
    let mut entries: Vec<Entry> = Vec::new();
    for _ in 0..ENTRIES {
        let seeds: Vec<_> = entries.iter().map(|entry| entry.peer_address).collect();
        let entry = start_entry(&store, &seeds);
        until_ready(&entry).await;
        entries.push(entry);
    }

    let before = served_share(&entries, |lane| lane).await;
    let idle = (0..IDLE_CONNECTIONS).map(|_| TcpStream::connect(entries[0].caller_address));
    let idle = join_all(idle).await;
    assert!(idle.iter().all(Result::is_ok), "a connection was refused");
    let adapting = served_share(&entries, |_| 0);
    let _ = tokio::time::timeout(ADAPTATION_TIME, adapting).await;
    let during = served_share(&entries, |_| 0).await;

    assert!(
        during >= 0.75 * before,
        "served {during:.2} at the first attempt, {before:.2} before"
    );
    until_ready(&entries[0]).await;
}
