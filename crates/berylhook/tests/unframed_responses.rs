//! Responses with neither a length nor chunks, which end with their connection.

mod common;

use berylhook_test_support::calls::{CallResult, Caller};
use berylhook_test_support::{
    ConnectionEnd, EVENTS_PER_STREAM, KeyValueStandIn, PlatformTarget, RawTarget,
};

use crate::common::entry::{API_KEY, Entry, configuration, route, start_entry, until_ready};

const STREAM: &str = "text/event-stream";
const EVENTS: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";

/// A target that responds in this way, and an entry.
struct Setup {
    _store: KeyValueStandIn,
    _target: RawTarget,
    _second_target: Option<PlatformTarget>,
    entry: Entry,
}

async fn start(content_type: &str, body: &str, end: ConnectionEnd) -> Setup {
    start_before(RawTarget::start(content_type, body, end).await).await
}

async fn start_before(target: RawTarget) -> Setup {
    let store = KeyValueStandIn::start().await;
    let routes = [
        route("unsafe", "unsafe", 2, false),
        route("once", "streaming", 2, false),
    ];
    store.put_raw("op/config", &configuration(1, &routes));
    target.register(&store, "i-1", "push");
    let entry = start_entry(&store, &[]);
    until_ready(&entry).await;
    Setup {
        _store: store,
        _target: target,
        _second_target: None,
        entry,
    }
}

async fn send(setup: &Setup, path: &str) -> CallResult {
    let headers = [
        ("host", "desk.example"),
        ("berylhook-attempt-id", "a-1"),
        ("berylhook-deadline-ms", "3000"),
    ];
    let caller = Caller::new(API_KEY);
    caller
        .post(setup.entry.caller_address, path, "a draft", &headers)
        .await
}

#[tokio::test]
async fn a_response_that_ends_with_its_connection_is_complete() {
    let setup = start("text/plain", "the whole draft", ConnectionEnd::Closed).await;

    let response = send(&setup, "/unsafe/draft").await;

    assert_eq!((response.status, response.is_complete), (200, true));
    assert_eq!(response.body, "the whole draft");
}

// Guards against a truncated response that looks complete, as it has no length.
#[tokio::test]
async fn a_response_whose_connection_is_reset_is_not_forwarded() {
    let setup = start("text/plain", "half of the", ConnectionEnd::Reset).await;

    let response = send(&setup, "/unsafe/draft").await;

    assert_eq!(response.status, 502);
    assert!(!response.body.contains("half"), "{}", response.body);
}

// Guards against an error response that ends with its head and looks complete.
#[tokio::test]
async fn an_error_response_that_ends_with_its_connection_needs_a_body() {
    for (body, expected) in [("out of memory", 500), ("", 502)] {
        let setup = start_before(RawTarget::start_failing(body).await).await;

        for path in ["/unsafe/draft", "/once/draft"] {
            let response = send(&setup, path).await;

            assert_eq!(response.status, expected, "{path} {response:?}");
            assert_eq!(response.has_seal, expected == 500, "{path} {response:?}");
        }
    }
}

#[tokio::test]
async fn a_stream_that_ends_with_its_connection_is_complete() {
    let setup = start(STREAM, EVENTS, ConnectionEnd::Closed).await;

    let response = send(&setup, "/once/draft").await;

    assert_eq!((response.status, response.is_complete), (200, true));
    assert_eq!(response.body, EVENTS);
}

// Guards against a stream that was broken off and looks complete, as its connection was closed and
// it has no length.
#[tokio::test]
async fn a_stream_that_ends_inside_an_event_is_cut() {
    let body = format!("{EVENTS}id: 3\nda");
    for end in [ConnectionEnd::Closed, ConnectionEnd::Reset] {
        let setup = start(STREAM, &body, end).await;

        let response = send(&setup, "/once/draft").await;

        assert_eq!((response.status, response.is_complete), (200, false));
        assert_eq!(response.body, EVENTS, "{end:?}");
    }
}

#[tokio::test]
async fn a_resumable_stream_that_ends_inside_an_event_goes_on_at_another_target() {
    let store = KeyValueStandIn::start().await;
    let routes = [route("stream", "streaming", 3, true)];
    store.put_raw("op/config", &configuration(1, &routes));
    let broken =
        RawTarget::start(STREAM, "id: 1\ndata: one\n\nid: 2\n", ConnectionEnd::Closed).await;
    broken.register(&store, "i-1", "push");
    let entry = start_entry(&store, &[]);
    until_ready(&entry).await;
    let sound = PlatformTarget::start("i-2").await;
    sound.register(&store, "push", "ready");
    let setup = Setup {
        _store: store,
        _target: broken,
        _second_target: Some(sound),
        entry,
    };

    for _ in 0..4 {
        let response = send(&setup, "/stream/draft").await;

        assert_eq!((response.status, response.is_complete), (200, true));
        let ids: Vec<&str> = response
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("id: "))
            .collect();
        let expected: Vec<String> = (1..=EVENTS_PER_STREAM).map(|id| id.to_string()).collect();
        assert_eq!(ids, expected, "{}", response.body);
    }
}
