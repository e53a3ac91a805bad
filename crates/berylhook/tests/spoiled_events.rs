//! Streams of targets that spoil one event.

mod common;

use berylhook_test_support::calls::Caller;
use berylhook_test_support::{
    ConnectionEnd, EVENTS_PER_STREAM, KeyValueStandIn, PlatformTarget, RawTarget,
};

use crate::common::entry::{API_KEY, configuration, route, start_entry, until_ready};

const ATTEMPT_ID: &str = "attempt-1";

/// The event whose number is spoiled.
const SPOILED_EVENT: u64 = 5;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: {ATTEMPT_ID} {id}\n\n")
}

fn events() -> String {
    (1..=EVENTS_PER_STREAM).map(event).collect()
}

// Guards against sound events that are left out of a stream because they arrived together with a spoiled
// one.
#[tokio::test]
async fn events_that_arrive_with_a_spoiled_one_are_delivered() {
    let store = KeyValueStandIn::start().await;
    let routes = [route("stream", "streaming", 2, true)];
    store.put_raw("op/config", &configuration(1, &routes));
    let wrong_number = event(SPOILED_EVENT).replace("id: 5", "id: 7");
    let body = events().replace(&event(SPOILED_EVENT), &wrong_number);
    let spoiling = RawTarget::start("text/event-stream", &body, ConnectionEnd::Closed).await;
    spoiling.register(&store, "i-spoiling", "push");
    let entry = start_entry(&store, &[]);
    until_ready(&entry).await;
    let sound = PlatformTarget::start("i-sound").await;
    let caller = Caller::new(API_KEY);
    let headers = [
        ("host", "desk.example"),
        ("berylhook-attempt-id", ATTEMPT_ID),
        ("berylhook-deadline-ms", "3000"),
    ];

    let stream = caller.post(entry.caller_address, "/stream/stream", "hello", &headers);
    let join_service = async { sound.register(&store, "push", "ready") };
    let (response, ()) = tokio::join!(stream, join_service);

    assert_eq!((response.status, response.is_complete), (200, true));
    assert_eq!(response.body, events());
}
