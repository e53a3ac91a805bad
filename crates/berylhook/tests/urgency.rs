//! A real process of `berylhook entry` whose configuration names several urgencies, or one.

mod common;

use berylhook_test_support::calls::Caller;
use berylhook_test_support::{KeyValueStandIn, PlatformTarget};
use serde_json::Value;

use crate::common::entry::{API_KEY, Entry, configuration, route, start_entry, until, until_ready};

/// A configuration in which the routes have these urgencies, and the client account has none.
fn configuration_with(version: u64, urgencies: [u32; 2]) -> Vec<u8> {
    let names = ["first", "second"];
    let routes = names.iter().zip(urgencies).map(|(name, urgency)| {
        let mut route = route(name, "safe", 2, false);
        route["priority"] = urgency.into();
        route
    });
    let routes: Vec<Value> = routes.collect();
    let document = configuration(version, &routes);
    let mut document: Value = serde_json::from_slice(&document).expect("the document is valid");
    document["tenants"][0]["priority"] = Value::Null;
    document.to_string().into_bytes()
}

async fn post(entry: &Entry, path: &str) -> u16 {
    let headers = [
        ("host", "desk.example"),
        ("berylhook-request-priority", "0"),
    ];
    let caller = Caller::new(API_KEY);
    let result = caller.post(entry.caller_address, path, "hello", &headers);
    result.await.status
}

/// The priorities that the target received.
fn priorities(target: &PlatformTarget) -> Vec<Option<String>> {
    let runs = target.runs();
    let priorities = runs
        .iter()
        .map(|run| run.header("berylhook-request-priority"));
    priorities
        .map(|priority| priority.map(ToOwned::to_owned))
        .collect()
}

// Guards against a priority that a caller chooses itself, and against a change of the served
// requests where all have the same urgency.
#[tokio::test]
async fn targets_learn_the_urgency_where_requests_differ_in_it() {
    let target = PlatformTarget::start("i-1").await;
    let store = KeyValueStandIn::start().await;
    store.put_raw("op/config", &configuration_with(1, [1, 1]));
    target.register(&store, "push", "ready");
    let entry = start_entry(&store, &[]);
    until_ready(&entry).await;

    assert_eq!(post(&entry, "/first/").await, 200);
    store.put_raw("op/config", &configuration_with(2, [0, 12]));
    let is_changed = async || {
        let output = entry.daemon.output();
        output.contains("admission by urgency changed")
    };
    until(is_changed).await;
    assert_eq!(post(&entry, "/first/").await, 200);
    assert_eq!(post(&entry, "/second/").await, 200);

    let priority = |text: &str| Some(text.to_owned());
    assert_eq!(priorities(&target), [None, priority("0"), priority("1")]);
}

// Guards against refusals that cannot be explained from the logs, and against waits for a slot
// that does not become free.
#[tokio::test]
async fn a_refused_request_leaves_the_inputs_of_the_decision() {
    let store = KeyValueStandIn::start().await;
    store.put_raw("op/config", &configuration_with(1, [0, 2]));
    let entry = start_entry(&store, &[]);
    until_ready(&entry).await;

    let status = post(&entry, "/second/").await;

    assert_eq!(status, 503);
    until(async || entry.daemon.output().contains("request ended")).await;
    let output = entry.daemon.output();
    let line = output.lines().find(|line| line.contains("request ended"));
    let record: Value = serde_json::from_str(line.expect("it was found")).expect("valid JSON");
    let pairs = &record["kv"];
    assert_eq!(pairs["outcome"], "no-place");
    assert_eq!(
        (&pairs["account"], &pairs["urgency"]),
        (&"harbour".into(), &1.into())
    );
    assert_eq!(pairs["refusal"], "no-room");
    assert_eq!(pairs["queued_ahead"], 0);
    assert_eq!(pairs["wait_limit_ms"], 50);
    assert_eq!(pairs["slots"], 0.0);
}
