//! Targets whose responses do not end.

mod common;

use std::time::Duration;

use berylhook_test_support::calls::{CallResult, Caller};
use berylhook_test_support::{Behaviour, KeyValueStandIn, PlatformTarget};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::common::entry::{API_KEY, Entry, configuration, route, start_entry, until_ready};

const DEADLINE_MS: &str = "1000";
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

async fn start(behaviour: Behaviour) -> (KeyValueStandIn, Entry, PlatformTarget) {
    let store = KeyValueStandIn::start().await;
    let routes = [
        route("once", "streaming", 2, false),
        route("stream", "streaming", 2, true),
    ];
    store.put_raw("op/config", &configuration(1, &routes));
    let target = PlatformTarget::start("i-1").await;
    target.set_behaviour(behaviour);
    target.register(&store, "push", "ready");
    let entry = start_entry(&store, &[]);
    until_ready(&entry).await;
    (store, entry, target)
}

/// Sends a request with the short deadline.
async fn send(entry: &Entry, path: &str) -> CallResult {
    let headers = [
        ("host", "desk.example"),
        ("berylhook-attempt-id", "attempt-1"),
        ("berylhook-deadline-ms", DEADLINE_MS),
    ];
    let caller = Caller::new(API_KEY);
    let response = caller.post(entry.caller_address, path, "hello", &headers);
    let response = timeout(TEST_TIMEOUT, response).await;
    response.expect("the request is answered")
}

// Guards against a request without any answer because the body of an error response never ends.
#[tokio::test]
async fn an_error_response_that_never_ends_is_given_up_at_the_deadline() {
    let (_store, entry, _target) = start(Behaviour::StallsErrorBody).await;

    for path in ["/once/stream", "/stream/stream"] {
        let response = send(&entry, path).await;

        assert_eq!(
            (response.status, response.is_complete),
            (504, true),
            "{path}"
        );
    }
}

/// More bytes than one event may have.
const LONG_EVENT_BYTES: usize = 16 << 20;

// Guards against an entry whose memory is filled by an event that its target never ends.
#[tokio::test]
async fn a_stream_with_an_event_that_never_ends_is_given_up() {
    let (_store, entry, _target) = start(Behaviour::Floods("data", LONG_EVENT_BYTES)).await;

    for path in ["/once/stream", "/stream/stream"] {
        let response = send(&entry, path).await;

        assert_eq!(
            (response.status, response.is_complete),
            (502, true),
            "{path}"
        );
    }
    assert!(
        entry
            .daemon
            .output()
            .contains("an event of the stream is longer")
    );
}

/// Interval between two reads of a caller.
const READ_INTERVAL: Duration = Duration::from_millis(20);

/// Sends a request, and reads the response to its end without keeping it.
async fn read_to_end(entry: &Entry) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(entry.caller_address).await?;
    let request = format!(
        "POST /stream/stream HTTP/1.1\r\nhost: desk.example\r\ncontent-length: 0\r\n\
         authorization: Bearer {API_KEY}\r\nberylhook-attempt-id: attempt-1\r\n\
         berylhook-deadline-ms: {DEADLINE_MS}\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await?;
    let mut buffer = vec![0; 64 << 10];
    // A slow caller keeps data waiting at the entry.
    while stream.read(&mut buffer).await? > 0 {
        tokio::time::sleep(READ_INTERVAL).await;
    }
    Ok(())
}

// Guards against a stream that outlives its deadline because its body always has data.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_events_without_end_ends_at_the_deadline() {
    let (_store, entry, _target) = start(Behaviour::Floods(": more\n\n", usize::MAX)).await;

    let end = timeout(TEST_TIMEOUT, read_to_end(&entry)).await;

    assert!(end.is_ok(), "the stream goes on after its deadline");
}
