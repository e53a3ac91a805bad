//! The entry that speaks to targets itself, as a real process between callers,
//! stand-in targets and the stand-in store.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use berylhook_test_support::calls::{CallResult, Caller};
use berylhook_test_support::{
    Behaviour, EVENTS_PER_STREAM, KeyValueStandIn, Outage, PlatformTarget, Signal, free_address,
};
use serde_json::Value;

use crate::common::entry::{API_KEY, Entry, configuration, route, start_entry, until, until_ready};

fn all_routes() -> Vec<Value> {
    vec![
        route("safe", "safe", 2, false),
        route("unsafe", "unsafe", 2, false),
        route("stream", "streaming", 3, true),
        route("once", "streaming", 3, false),
    ]
}

/// A store with the configuration, targets listed in it, and an entry that
/// knows them.
async fn start(targets: &[&PlatformTarget]) -> (KeyValueStandIn, Entry) {
    let store = KeyValueStandIn::start().await;
    store.put_raw("op/config", &configuration(1, &all_routes()));
    for target in targets {
        target.register(&store, "push", "ready");
    }
    let entry = start_entry(&store, &[]);
    until_ready(&entry).await;
    (store, entry)
}

async fn post(entry: &Entry, path: &str) -> CallResult {
    let headers = [
        ("host", "desk.example"),
        ("berylhook-attempt-id", "attempt-1"),
        ("berylhook-deadline-ms", "3000"),
        ("berylhook-tenant", "somebody-else"),
    ];
    Caller::new(API_KEY)
        .post(entry.caller_address, path, "hello", &headers)
        .await
}

#[tokio::test]
async fn a_request_reaches_its_target_unchanged_but_for_what_the_entry_sets() {
    let target = PlatformTarget::start("i-1").await;
    let (_store, entry) = start(&[&target]).await;

    let response = post(&entry, "/unsafe/a?b=c").await;

    assert_eq!((response.status, response.is_complete), (200, true));
    let runs = target.runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].request, "POST /unsafe/a?b=c");
    assert_eq!(runs[0].body, "hello");
    assert_eq!(runs[0].header("berylhook-attempt-id"), Some("attempt-1"));
    assert_eq!(runs[0].header("berylhook-expect-instance"), Some("i-1"));
    assert_eq!(runs[0].header("berylhook-tenant"), Some("harbour"));
    assert_eq!(runs[0].header("authorization"), None);
    let deadline_ms: u64 = runs[0]
        .header("berylhook-deadline-ms")
        .unwrap()
        .parse()
        .unwrap();
    assert!(deadline_ms <= 3_000);
}

#[tokio::test]
async fn routes_keys_and_sizes_that_are_not_allowed_are_refused() {
    let target = PlatformTarget::start("i-1").await;
    let (_store, entry) = start(&[&target]).await;
    let headers = [("host", "desk.example")];
    let caller = Caller::new(API_KEY);

    let unknown = caller
        .post(entry.caller_address, "/nowhere/", "", &headers)
        .await;
    let wrong_key = Caller::new("no-key")
        .post(entry.caller_address, "/safe/", "", &headers)
        .await;
    let large_body = "x".repeat(20_000);
    let too_large = caller
        .post(entry.caller_address, "/safe/", &large_body, &headers)
        .await;

    assert_eq!(unknown.status, 404);
    assert_eq!(wrong_key.status, 401);
    assert_eq!(too_large.status, 413);
    assert!(target.runs().is_empty());
}

// Symptom: a guide's confirmation comes twice. Sequence: the target runs it and
// its answer is lost, the entry sends it again or says that it did not run.
// Cause: "no answer" was taken for "not run".
#[tokio::test]
async fn an_unsafe_request_whose_answer_is_lost_runs_once_and_promises_nothing() {
    let targets = [
        PlatformTarget::start("i-1").await,
        PlatformTarget::start("i-2").await,
    ];
    let (_store, entry) = start(&[&targets[0], &targets[1]]).await;
    for behaviour in [
        Behaviour::DropsResponses,
        Behaviour::RespondsWithWrongAttemptId,
    ] {
        let before = targets[0].runs().len() + targets[1].runs().len();
        for target in &targets {
            target.set_behaviour(behaviour);
        }

        let response = post(&entry, "/unsafe/").await;

        assert_eq!(response.status, 502, "{behaviour:?}");
        assert_eq!(response.retry_after, None);
        let after = targets[0].runs().len() + targets[1].runs().len();
        assert_eq!(after, before + 1, "{behaviour:?}");
    }
}

#[tokio::test]
async fn an_answer_without_the_targets_mark_is_not_passed_on() {
    let target = PlatformTarget::start("i-1").await;
    let (_store, entry) = start(&[&target]).await;
    target.set_behaviour(Behaviour::RespondsWithoutSeal);

    assert_eq!(post(&entry, "/unsafe/").await.status, 502);
}

// Symptom: a caller is told that its request did not run, repeats it, and it
// has run twice. Sequence: a target answers 503 without saying that it did not
// run the request, the entry passes the status on. Cause: the status alone was
// taken for the target's word.
#[tokio::test]
async fn only_the_targets_own_word_makes_not_run() {
    let target = PlatformTarget::start("i-1").await;
    let (_store, entry) = start(&[&target]).await;

    target.set_behaviour(Behaviour::RejectsWithoutReason);
    let without_header = post(&entry, "/unsafe/").await;
    target.set_behaviour(Behaviour::RejectsAsNotExecuted);
    let with_header = post(&entry, "/unsafe/").await;

    assert_eq!(without_header.status, 502);
    assert_eq!(with_header.status, 503);
    assert!(with_header.retry_after.is_some());
}

#[tokio::test]
async fn a_safe_request_is_answered_by_another_target() {
    let targets = [
        PlatformTarget::start("i-1").await,
        PlatformTarget::start("i-2").await,
    ];
    let (_store, entry) = start(&[&targets[0], &targets[1]]).await;
    for behaviour in [
        Behaviour::DropsResponses,
        Behaviour::Hangs,
        Behaviour::RejectsAsNotExecuted,
    ] {
        targets[0].set_behaviour(behaviour);
        for _ in 0..2 {
            assert_eq!(post(&entry, "/safe/").await.status, 200, "{behaviour:?}");
        }
        targets[0].set_behaviour(Behaviour::Responds);
    }
}

fn event_ids(response: &CallResult) -> Vec<u64> {
    let lines = response.body.lines();
    lines
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
        .collect()
}

// Symptom: a briefing stops in the middle, or a line of it comes twice.
// Sequence: a target breaks off in the middle of an event, another goes on.
// Cause: passing on parts of events, or resuming at the wrong one.
#[tokio::test]
async fn a_stream_that_breaks_off_goes_on_at_another_target() {
    let targets = [
        PlatformTarget::start("i-1").await,
        PlatformTarget::start("i-2").await,
    ];
    let (_store, entry) = start(&[&targets[0], &targets[1]]).await;
    for target in &targets {
        target.set_behaviour(Behaviour::CutsStreamAfter(3));
    }
    let streaming = post(&entry, "/stream/");
    let restoring = async {
        until(async || targets.iter().any(|target| !target.runs().is_empty())).await;
        // The one that has not been asked yet answers the resumption whole.
        for target in targets.iter().filter(|target| target.runs().is_empty()) {
            target.set_behaviour(Behaviour::Responds);
        }
    };

    let (response, ()) = tokio::join!(streaming, restoring);

    assert_eq!((response.status, response.is_complete), (200, true));
    assert_eq!(
        event_ids(&response),
        (1..=EVENTS_PER_STREAM).collect::<Vec<_>>()
    );
    let resumed = targets.iter().flat_map(PlatformTarget::runs);
    let resumed_after: Vec<_> = resumed
        .filter_map(|run| run.header("last-event-id").map(str::to_owned))
        .collect();
    assert_eq!(resumed_after, ["3"]);
}

#[tokio::test]
async fn a_stream_that_may_not_be_resumed_is_cut_visibly() {
    let target = PlatformTarget::start("i-1").await;
    let (_store, entry) = start(&[&target]).await;
    target.set_behaviour(Behaviour::CutsStreamAfter(3));

    let response = post(&entry, "/once/stream").await;

    assert_eq!(response.status, 200);
    assert!(!response.is_complete);
    assert_eq!(event_ids(&response), [1, 2, 3]);
    assert_eq!(target.runs().len(), 1);
}

// Symptom: targets go on with work that nobody waits for, and no log line tells
// what became of the request. Sequence: a caller leaves while its request is at a
// target. Cause: the connection to the target outlived the one to the caller; the
// end of a request was logged by whoever answered it.
#[tokio::test]
async fn when_a_caller_leaves_its_stream_ends_at_the_target_too() {
    let target = PlatformTarget::start("i-1").await;
    let (_store, entry) = start(&[&target]).await;

    let outcome = tokio::time::timeout(Duration::from_millis(60), post(&entry, "/stream/")).await;

    assert!(outcome.is_err(), "the caller left in mid-stream");
    tokio::time::sleep(Duration::from_millis(400)).await;
    let runs = target.runs();
    assert!(runs.iter().all(|run| !run.is_finished));
    until(async || has_disconnect_line(&entry)).await;
}

/// Whether a line tells that the caller left and which target had its request.
fn has_disconnect_line(entry: &Entry) -> bool {
    let output = entry.daemon.output();
    let mut lines = output.lines().filter(|line| line.contains("caller-left"));
    lines.any(|line| line.contains("attempt-1") && line.contains("i-1"))
}

#[tokio::test]
async fn a_leaving_target_gets_no_new_requests() {
    let targets = [
        PlatformTarget::start("i-1").await,
        PlatformTarget::start("i-2").await,
    ];
    let (store, entry) = start(&[&targets[0], &targets[1]]).await;

    targets[0].register(&store, "push", "draining");
    tokio::time::sleep(Duration::from_millis(500)).await;
    for _ in 0..6 {
        assert_eq!(post(&entry, "/safe/").await.status, 200);
    }

    assert!(targets[0].runs().is_empty());
}

// Symptom: a target that has left gets requests for two seconds more. Sequence:
// the store is away and comes back, nothing changes for seconds, then a target
// leaves. Cause: the entry learnt of the store's return from that very change,
// since it was waiting in a long watch, and took the target for one whose entry
// had lapsed during the outage.
#[tokio::test]
async fn a_target_that_leaves_long_after_an_outage_is_gone_at_once() {
    let targets = [
        PlatformTarget::start("i-1").await,
        PlatformTarget::start("i-2").await,
    ];
    let (store, entry) = start(&[&targets[0], &targets[1]]).await;
    store.set_outage(Outage::Refusing);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    store.set_outage(Outage::None);
    tokio::time::sleep(Duration::from_secs(4)).await;

    store.remove_raw("servers/i-1");
    tokio::time::sleep(Duration::from_millis(400)).await;
    for _ in 0..6 {
        assert_eq!(post(&entry, "/safe/").await.status, 200);
    }

    assert!(targets[0].runs().is_empty());
}

// Symptom: a new entry says 404 or 401 to callers that are in their right.
// Sequence: it starts while the store is away. Cause: not knowing was taken for
// knowing that there is no such route.
#[tokio::test]
async fn an_entry_that_knows_no_configuration_promises_not_run_and_says_when_to_return() {
    let store = KeyValueStandIn::start().await;
    store.set_outage(Outage::Refusing);
    let entry = start_entry(&store, &[]);
    until(async || post(&entry, "/safe/").await.status != 0).await;

    let response = post(&entry, "/safe/").await;

    assert_eq!(response.status, 503);
    assert!(response.retry_after.is_some());
    assert_eq!(
        Caller::new(API_KEY)
            .get(entry.readiness_address, "/-/readyz")
            .await
            .status,
        503
    );
}

// Symptom: on a fleet of many entries they end by themselves, most of them within
// a minute. Sequence: an entry that knows more than some twenty others asks them in
// random order. Cause: the order was made by sorting with keys drawn anew at each
// comparison, which the standard library answers with a panic.
#[tokio::test]
async fn an_entry_that_knows_many_others_lives() {
    let target = PlatformTarget::start("i-1").await;
    let (store, _reachable) = start(&[&target]).await;
    let peers: Vec<SocketAddr> = (0..200).map(|_| free_address()).collect();

    let mut entry = start_entry(&store, &peers);
    until_ready(&entry).await;
    tokio::time::sleep(Duration::from_secs(1)).await;

    // A build for tests outlives the panic of a task, the one that runs does not.
    let output = entry.daemon.output();
    assert!(!output.contains("panicked"), "{output}");
    assert!(!entry.daemon.has_exited(), "{output}");
    assert_eq!(post(&entry, "/safe/").await.status, 200);
}

// Symptom: one entry still serves a key that was taken away. Sequence: the
// store shuts one entry out and serves the others, the configuration changes.
// Cause: the store was the only way to learn of it.
#[tokio::test]
async fn an_entry_that_the_store_shuts_out_learns_from_its_peers() {
    let target = PlatformTarget::start("i-1").await;
    let (_store, reachable) = start(&[&target]).await;
    let unavailable_store = KeyValueStandIn::start().await;
    unavailable_store.set_outage(Outage::Refusing);
    let entry = start_entry(&unavailable_store, &[reachable.peer_address]);

    until_ready(&entry).await;

    assert_eq!(post(&entry, "/safe/").await.status, 200);
}

#[tokio::test]
async fn an_older_configuration_never_comes_back() {
    let target = PlatformTarget::start("i-1").await;
    let (store, entry) = start(&[&target]).await;
    store.put_raw("op/config", &configuration(5, &all_routes()[..1]));
    until(async || post(&entry, "/unsafe/").await.status == 404).await;

    store.put_raw("op/config", &configuration(3, &all_routes()));
    tokio::time::sleep(Duration::from_millis(500)).await;

    assert_eq!(post(&entry, "/unsafe/").await.status, 404);
    assert_eq!(post(&entry, "/safe/").await.status, 200);
}

// Symptom: a planned stop cuts answers off. Sequence: the entry is asked to
// stop while a stream runs. Cause: ending before the work in hand was done.
#[tokio::test]
async fn a_planned_stop_lets_streams_end_and_sends_new_callers_elsewhere() {
    let target = PlatformTarget::start("i-1").await;
    let (_store, mut entry) = start(&[&target]).await;

    let (response, ()) = tokio::join!(post(&entry, "/stream/"), async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        entry.daemon.signal(Signal::Terminate);
    });
    let ready = Caller::new(API_KEY)
        .get(entry.readiness_address, "/-/readyz")
        .await;

    assert!(response.is_complete);
    assert_eq!(event_ids(&response).len() as u64, EVENTS_PER_STREAM);
    assert_eq!(ready.status, 503);
    assert_eq!(entry.daemon.wait().expect("it ends by itself"), 0);
}

#[tokio::test]
async fn a_reload_ends_nothing() {
    let target = PlatformTarget::start("i-1").await;
    let (_store, mut entry) = start(&[&target]).await;

    entry.daemon.signal(Signal::Reload);
    tokio::time::sleep(Duration::from_millis(100)).await;

    assert_eq!(post(&entry, "/safe/").await.status, 200);
    assert!(!entry.daemon.has_exited());
}

#[tokio::test]
async fn metrics_and_logs_tell_what_became_of_a_request() {
    let target = PlatformTarget::start("i-1").await;
    let (_store, entry) = start(&[&target]).await;
    target.set_behaviour(Behaviour::DropsResponses);

    post(&entry, "/unsafe/").await;
    until(async || entry.daemon.output().contains("request ended")).await;

    let output = entry.daemon.output();
    let lines = output.lines().filter(|line| line.contains("attempt-1"));
    let lines: Vec<&str> = lines.collect();
    assert!(
        lines
            .iter()
            .any(|line| line.contains("answer-lost") && line.contains("i-1"))
    );
    assert!(lines.iter().any(|line| line.contains("request ended")));
}
