//! Streams whose target sends nothing for a while and then goes on, as an engine does that preempts
//! a request when its memory runs out.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use berylhook_test_support::calls::{CallResult, Caller};
use berylhook_test_support::{Behaviour, EVENTS_PER_STREAM, KeyValueStandIn, PlatformTarget};
use tokio::task::JoinHandle;

use crate::common::entry::{API_KEY, Entry, configuration, route, start_entry, until, until_ready};

/// Longer than a target may be silent before its streams are moved, shorter than callers wait.
const PAUSE: Duration = Duration::from_millis(1_500);

/// The last event before the pause.
const LAST_EVENT: u64 = 3;

/// Interval between two streams at the other target.
const STREAM_INTERVAL: Duration = Duration::from_millis(100);

struct Fixture {
    store: KeyValueStandIn,
    entry: Entry,
    pausing: PlatformTarget,
    other: PlatformTarget,
}

/// Starts an entry whose only target pauses its streams.
async fn start() -> Fixture {
    let store = KeyValueStandIn::start().await;
    let routes = [route("once", "streaming", 3, false)];
    store.put_raw("op/config", &configuration(1, &routes));
    let pausing = PlatformTarget::start("i-pausing").await;
    pausing.set_behaviour(Behaviour::PausesStreamAfter(LAST_EVENT, PAUSE));
    pausing.register(&store, "push", "ready");
    let entry = start_entry(&store, &[]);
    until_ready(&entry).await;
    Fixture {
        store,
        entry,
        pausing,
        other: PlatformTarget::start("i-other").await,
    }
}

fn send(entry: SocketAddr, path: &'static str, attempt_id: &'static str) -> JoinHandle<CallResult> {
    tokio::spawn(async move {
        let headers = [
            ("host", "desk.example"),
            ("berylhook-attempt-id", attempt_id),
            ("berylhook-deadline-ms", "4000"),
        ];
        let caller = Caller::new(API_KEY);
        caller.post(entry, path, "hello", &headers).await
    })
}

impl Fixture {
    /// Sends a stream to the pausing target, and returns its response. The other target streams to
    /// other callers during the pause, which shows that the service works.
    async fn stream_through_pause(&self, path: &'static str) -> CallResult {
        let address = self.entry.caller_address;
        let paused = send(address, path, "attempt-paused");
        until(async || !self.pausing.runs().is_empty()).await;
        self.pausing.set_behaviour(Behaviour::Hangs);
        self.other.register(&self.store, "push", "ready");
        let mut other_calls = Vec::new();
        while !paused.is_finished() {
            other_calls.push(send(address, "/once/stream", "attempt-other"));
            tokio::time::sleep(STREAM_INTERVAL).await;
        }
        for call in &other_calls {
            call.abort();
        }
        paused.await.expect("the request ends")
    }

    /// How often targets have run the request.
    fn runs(&self) -> usize {
        let runs = [self.pausing.runs(), self.other.runs()].concat();
        let is_paused = |id: Option<&str>| id == Some("attempt-paused");
        runs.iter()
            .filter(|run| is_paused(run.header("berylhook-attempt-id")))
            .count()
    }
}

fn assert_whole(response: &CallResult) {
    let expected: String = (1..=EVENTS_PER_STREAM)
        .map(|id| format!("id: {id}\ndata: attempt-paused {id}\n\n"))
        .collect();
    assert_eq!((response.status, response.is_complete), (200, true));
    assert_eq!(response.body, expected);
}

// Guards against a stream that must not run twice and is cut because its target is silent for a while.
#[tokio::test]
async fn a_stream_that_must_not_run_twice_waits_for_its_silent_target() {
    let fixture = start().await;

    let response = fixture.stream_through_pause("/once/stream").await;

    assert_whole(&response);
    assert_eq!(fixture.runs(), 1);
}
