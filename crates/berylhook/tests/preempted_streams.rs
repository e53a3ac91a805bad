//! Streams whose target sends nothing for a while and then goes on, as an engine does that preempts
//! a request when its memory runs out.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use berylhook_test_support::calls::{CallResult, Caller};
use berylhook_test_support::{Behaviour, EVENTS_PER_STREAM, KeyValueStandIn, PlatformTarget};
use tokio::task::JoinHandle;

use crate::common::entry::{
    API_KEY, Entry, configuration, route, start_entry_with, until, until_ready,
};

/// Longer than a target may be silent before its streams are moved, shorter than callers wait.
const PAUSE: Duration = Duration::from_millis(1_500);

/// The last event before the pause.
const LAST_EVENT: u64 = 3;

/// Interval between two streams at the other target.
const STREAM_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two events of a stream that lasts longer than the pause.
const SLOW_EVENT_INTERVAL: Duration = Duration::from_millis(250);

/// Streams at the other target, which together bring events without a long gap.
const OTHER_STREAMS: usize = 3;

/// A retry budget that is always empty.
const NO_RETRIES: &str = "[retries]\nratio = 0\nslack = 0\n";

struct Fixture {
    store: KeyValueStandIn,
    entry: Entry,
    pausing: PlatformTarget,
    other: PlatformTarget,
}

/// Starts an entry whose only target pauses its streams.
async fn start(settings: &str) -> Fixture {
    let store = KeyValueStandIn::start().await;
    let routes = [
        route("once", "streaming", 3, false),
        route("stream", "streaming", 3, true),
        route("stream-once", "streaming", 1, true),
    ];
    store.put_raw("op/config", &configuration(1, &routes));
    let pausing = PlatformTarget::start("i-pausing").await;
    pausing.set_behaviour(Behaviour::PausesStreamAfter(LAST_EVENT, PAUSE));
    pausing.register(&store, "push", "ready");
    let entry = start_entry_with(store.address(), &[], settings);
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
    /// other callers during the pause, which shows that the service works; it is changed by
    /// `change_other` before the stream counts as silent.
    async fn stream_through_pause(
        &self,
        path: &'static str,
        change_other: impl FnOnce(&PlatformTarget, &KeyValueStandIn),
    ) -> CallResult {
        let address = self.entry.caller_address;
        let paused = send(address, path, "attempt-paused");
        until(async || !self.pausing.runs().is_empty()).await;
        self.pausing.set_behaviour(Behaviour::Hangs);
        self.other.set_event_interval(SLOW_EVENT_INTERVAL);
        self.other.register(&self.store, "push", "ready");
        let mut other_calls = Vec::new();
        while self.other.runs().len() < OTHER_STREAMS {
            other_calls.push(send(address, "/once/stream", "attempt-other"));
            tokio::time::sleep(STREAM_INTERVAL).await;
        }
        change_other(&self.other, &self.store);
        let response = paused.await.expect("the request ends");
        for call in &other_calls {
            call.abort();
        }
        response
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

fn unchanged(_target: &PlatformTarget, _store: &KeyValueStandIn) {}

/// Makes the target take no further streams.
fn leave(target: &PlatformTarget, store: &KeyValueStandIn) {
    target.register(store, "push", "draining");
}

fn assert_whole(response: &CallResult) {
    let events =
        (1..=EVENTS_PER_STREAM).map(|id| format!("id: {id}\ndata: attempt-paused {id}\n\n"));
    let expected = events.collect::<Vec<_>>().concat();
    assert_eq!((response.status, response.is_complete), (200, true));
    assert_eq!(response.body, expected);
}

// Guards against a stream that must not run twice and is cut because its target is silent for a while.
#[tokio::test]
async fn a_stream_that_must_not_run_twice_waits_for_its_silent_target() {
    let fixture = start("").await;

    let response = fixture
        .stream_through_pause("/once/stream", unchanged)
        .await;

    assert_whole(&response);
    assert_eq!(fixture.runs(), 1);
}

// Guards against a stream that is cut at a silent target although no attempt is left for another one.
#[tokio::test]
async fn a_stream_without_attempts_left_waits_for_its_silent_target() {
    let fixture = start("").await;

    let response = fixture
        .stream_through_pause("/stream-once/stream", unchanged)
        .await;

    assert_whole(&response);
    assert_eq!(fixture.runs(), 1);
}

// Guards against a stream that is cut at a silent target although no retry is left for another one.
#[tokio::test]
async fn a_stream_without_a_retry_waits_for_its_silent_target() {
    let fixture = start(NO_RETRIES).await;

    let response = fixture
        .stream_through_pause("/stream/stream", unchanged)
        .await;

    assert_whole(&response);
    assert_eq!(fixture.runs(), 1);
}

// Guards against a stream that is cut at a silent target although no other target has a free slot.
#[tokio::test]
async fn a_stream_without_a_free_slot_waits_for_its_silent_target() {
    let fixture = start("").await;

    let response = fixture.stream_through_pause("/stream/stream", leave).await;

    assert_whole(&response);
    assert_eq!(fixture.runs(), 1);
}

// Guards against a stream that is lost because the target to which it moves rejects it.
#[tokio::test]
async fn a_stream_whose_next_target_rejects_it_goes_on_at_its_silent_target() {
    let fixture = start("").await;
    let reject = |target: &PlatformTarget, _: &KeyValueStandIn| {
        target.set_behaviour(Behaviour::RejectsAsNotExecuted);
    };

    let response = fixture.stream_through_pause("/stream/stream", reject).await;

    assert_whole(&response);
}

// Guards against a stream that is lost because the target to which it moves does not respond either.
#[tokio::test]
async fn a_stream_whose_next_target_does_not_respond_goes_on_at_its_silent_target() {
    let fixture = start("").await;
    let hang = |target: &PlatformTarget, _: &KeyValueStandIn| {
        target.set_behaviour(Behaviour::Hangs);
    };

    let response = fixture.stream_through_pause("/stream/stream", hang).await;

    assert_whole(&response);
    assert_eq!(fixture.runs(), 2);
}

// Guards against a stream that is lost because the target to which it moves sends only a response head.
#[tokio::test]
async fn a_stream_whose_next_target_sends_no_event_goes_on_at_its_silent_target() {
    let fixture = start("").await;
    let pause = |target: &PlatformTarget, _: &KeyValueStandIn| {
        target.set_behaviour(Behaviour::PausesStreamAfter(LAST_EVENT, 2 * PAUSE));
    };

    let response = fixture.stream_through_pause("/stream/stream", pause).await;

    assert_whole(&response);
    assert_eq!(fixture.runs(), 2);
}

/// Time between the ends of two targets' pauses.
const LAG: Duration = Duration::from_millis(200);

// Guards against streams that leave all targets but the first one to resume after a common pause.
#[tokio::test]
async fn streams_of_targets_that_paused_together_stay_when_one_of_them_resumes() {
    let fixture = start("").await;
    let late_pause = Behaviour::PausesStreamAfter(LAST_EVENT, PAUSE + LAG);
    fixture.other.set_behaviour(late_pause);
    let address = fixture.entry.caller_address;
    let first = send(address, "/stream/stream", "attempt-paused");
    until(async || !fixture.pausing.runs().is_empty()).await;
    fixture.other.register(&fixture.store, "push", "ready");
    let mut others = Vec::new();
    while fixture.other.runs().is_empty() {
        others.push(send(address, "/stream/stream", "attempt-other"));
        tokio::time::sleep(STREAM_INTERVAL).await;
    }
    let sent = 1 + others.len();

    assert_whole(&first.await.expect("the request ends"));
    for other in others {
        let response = other.await.expect("the request ends");
        assert_eq!((response.status, response.is_complete), (200, true));
    }
    let runs = fixture.pausing.runs().len() + fixture.other.runs().len();
    assert_eq!(runs, sent);
}
