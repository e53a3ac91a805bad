//! Requests that arrive over kept connections at any moment of a planned stop, beside slow targets.

mod common;

use std::time::{Duration, Instant};

use berylhook_test_support::calls::{CallResult, Caller};
use berylhook_test_support::{KeyValueStandIn, PlatformTarget, Signal};
use futures_util::future::join_all;
use tokio::time::sleep;

use crate::common::entry::{API_KEY, Entry, configuration, route, start_entry, until_ready};

/// Kinds of routes: name, type, and whether a stream may be resumed.
const ROUTES: [(&str, &str, bool); 4] = [
    ("safe", "safe", false),
    ("unsafe", "unsafe", false),
    ("once", "streaming", false),
    ("stream", "streaming", true),
];

/// Time until a target sends the head of a response, and then the interval of its events. A plain
/// response takes a third of the grace period, a stream most of it.
const RESPONSE_DELAY: Duration = Duration::from_millis(2_500);
const EVENT_INTERVAL: Duration = Duration::from_millis(400);

/// Clients of each kind of route, and the interval at which they begin.
const CLIENTS_PER_ROUTE: usize = 12;
const CLIENT_INTERVAL: Duration = Duration::from_millis(100);

/// Pause of a client between a response and its next request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Responses to requests that were sent later than this after the signal are not cut at the exit.
const MAX_CUT_DELAY: Duration = Duration::from_secs(3);

/// A request and its result.
struct Sent {
    attempt_id: String,
    sent_at: Instant,
    result: CallResult,
}

async fn start() -> (KeyValueStandIn, Vec<PlatformTarget>, [Entry; 2]) {
    let store = KeyValueStandIn::start().await;
    let routes = ROUTES.map(|(kind, route_type, is_resumable)| {
        let mut route = route(kind, route_type, 2, is_resumable);
        route["timeout-ms"] = 20_000.into();
        route
    });
    store.put_raw("op/config", &configuration(1, &routes));
    let mut targets = Vec::new();
    for number in 0..6 {
        let target = PlatformTarget::start(&format!("i-{number}")).await;
        target.set_response_delay(RESPONSE_DELAY);
        target.set_event_interval(EVENT_INTERVAL);
        target.register(&store, "push", "ready");
        targets.push(target);
    }
    let first = start_entry(&store, &[]);
    let second = start_entry(&store, &[first.peer_address]);
    let entries = [first, second];
    for entry in &entries {
        until_ready(entry).await;
    }
    (store, targets, entries)
}

/// Sends one request after the other over a kept connection, until the entry has gone.
async fn send_until_gone(entry: &Entry, kind: &str, client: usize) -> Vec<Sent> {
    sleep(CLIENT_INTERVAL * u32::try_from(client).expect("few clients")).await;
    let caller = Caller::new(API_KEY);
    let mut all_sent = Vec::new();
    loop {
        let attempt_id = format!("{kind}-{client}-{}", all_sent.len());
        let headers = [
            ("host", "desk.example"),
            ("berylhook-attempt-id", &*attempt_id),
        ];
        let path = match kind {
            "once" | "stream" => format!("/{kind}/stream"),
            _ => format!("/{kind}/plain"),
        };
        let sent_at = Instant::now();
        let call = caller.post(entry.caller_address, &path, "a draft", &headers);
        let result = call.await;
        let is_gone = result.status == 0;
        all_sent.push(Sent {
            attempt_id,
            sent_at,
            result,
        });
        if is_gone {
            return all_sent;
        }
        sleep(REQUEST_INTERVAL).await;
    }
}

// Guards against a request that is taken late in a planned stop, runs, and gets no answer at the exit.
#[tokio::test(flavor = "multi_thread")]
async fn requests_at_any_moment_of_a_stop_are_answered_or_do_not_run() {
    let (_store, targets, mut entries) = start().await;
    let clients = ROUTES.iter().flat_map(|(kind, ..)| {
        let entry = &entries[0];
        (0..CLIENTS_PER_ROUTE).map(move |client| send_until_gone(entry, kind, client))
    });
    let signal = async {
        sleep(RESPONSE_DELAY).await;
        entries[0].daemon.signal(Signal::Terminate);
        Instant::now()
    };

    let (all_sent, signalled_at) = tokio::join!(join_all(clients), signal);
    let code = entries[0].daemon.wait().expect("it exits by itself");

    let runs: Vec<_> = targets.iter().flat_map(PlatformTarget::runs).collect();
    let has_run = |attempt_id: &str| {
        let mut ids = runs.iter().map(|run| run.header("berylhook-attempt-id"));
        ids.any(|id| id == Some(attempt_id))
    };
    let mut late_count = 0;
    for sent in all_sent.into_iter().flatten() {
        let Sent {
            attempt_id, result, ..
        } = &sent;
        let sent_after = sent.sent_at.saturating_duration_since(signalled_at);
        late_count += usize::from(sent_after > MAX_CUT_DELAY);
        let text = format!("{attempt_id}, sent after {sent_after:?}: {result:?}");
        match (result.status, result.is_complete) {
            (200 | 502, true) => {}
            (200, false) => assert!(sent_after <= MAX_CUT_DELAY, "{text}"),
            (0 | 503, _) => assert!(!has_run(attempt_id), "it has run: {text}"),
            _ => panic!("{text}"),
        }
    }
    assert!(late_count > 0);
    assert_eq!(code, 0);
}
