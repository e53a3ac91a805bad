//! Requests that may run in some regions only, through entries and stand-ins of targets.

mod common;

use berylhook_test_support::calls::{CallResult, Caller};
use berylhook_test_support::{Behaviour, KeyValueStandIn, PlatformTarget};
use serde_json::{Value, json};

use crate::common::entry::{
    API_KEY, Entry, configuration, route, start_entry_with, until, until_ready,
};

/// API key of an account that may run requests in the region `south` only.
const SOUTHERN_KEY: &str = "southern-key";

const SETTINGS: &str = "[regions]\nown = north\nzones = here:north,there:south\n";

fn route_within(name: &str, regions: &[&str]) -> Value {
    let mut route = route(name, "safe", 3, false);
    route["allowed-regions"] = json!(regions);
    route
}

/// A configuration in which the other routes have the urgency 1, and `any` this one.
fn configuration_document(urgency: u32) -> Vec<u8> {
    let mut routes = [
        route("any", "safe", 3, false),
        route_within("north", &["north"]),
        route_within("south", &["south"]),
        route_within("both", &["north", "south"]),
        route_within("east", &["east"]),
    ];
    for route in &mut routes {
        route["priority"] = 1.into();
    }
    routes[0]["priority"] = urgency.into();
    let document = configuration(1, &routes);
    let mut document: Value = serde_json::from_slice(&document).expect("valid JSON");
    let tenants = document["tenants"].as_array_mut().expect("a list");
    tenants.push(json!({
        "name": "quay", "api-keys": [SOUTHERN_KEY], "allowed-regions": ["south"],
    }));
    document.to_string().into_bytes()
}

async fn send(entry: &Entry, key: &str, path: &str) -> CallResult {
    let headers = [
        ("host", "desk.example"),
        ("berylhook-attempt-id", "request"),
        ("berylhook-deadline-ms", "3000"),
    ];
    let caller = Caller::new(key);
    caller
        .post(entry.caller_address, path, "hello", &headers)
        .await
}

// Guards against a request that runs outside its allowed regions: at its first send, by a second
// send after a failure, or in a data centre whose region the settings do not name.
#[tokio::test]
async fn requests_run_only_in_their_allowed_regions() {
    check_allowed_regions(1).await;
}

// Guards against the same where requests are admitted by urgency.
#[tokio::test]
async fn by_urgency_requests_run_only_in_their_allowed_regions() {
    check_allowed_regions(2).await;
}

async fn check_allowed_regions(urgency: u32) {
    let store = KeyValueStandIn::start().await;
    store.put_raw("op/config", &configuration_document(urgency));
    let mut targets = Vec::new();
    for (id, data_centre) in [("i-n", "here"), ("i-s", "there"), ("i-u", "unlisted")] {
        let target = PlatformTarget::start(id).await;
        target.set_data_centre(data_centre);
        target.register(&store, "push", "ready");
        targets.push(target);
    }
    let entry = start_entry_with(store.address(), &[], SETTINGS);
    until_ready(&entry).await;
    until(async || send(&entry, API_KEY, "/any/").await.status == 200).await;
    let runs = || [0, 1, 2].map(|index: usize| targets[index].runs().len());
    let before = runs();

    let mut statuses = Vec::new();
    for _ in 0..4 {
        statuses.push(send(&entry, API_KEY, "/north/").await.status);
        statuses.push(send(&entry, API_KEY, "/south/").await.status);
        statuses.push(send(&entry, SOUTHERN_KEY, "/any/").await.status);
        statuses.push(send(&entry, SOUTHERN_KEY, "/both/").await.status);
    }
    let after = runs();
    let barred = [
        send(&entry, API_KEY, "/east/").await,
        send(&entry, SOUTHERN_KEY, "/north/").await,
    ];
    targets[0].set_behaviour(Behaviour::RejectsAsNotExecuted);
    let failed = send(&entry, API_KEY, "/north/").await;

    let admits_by_urgency = entry
        .daemon
        .output()
        .contains("admission by urgency changed");
    assert_eq!(admits_by_urgency, urgency != 1);
    assert_eq!(statuses, [200; 16]);
    assert_eq!(after, [before[0] + 4, before[1] + 12, before[2]]);
    for response in barred {
        assert_eq!(
            (response.status, &response.json()["error"]),
            (503, &json!("no-region"))
        );
        assert!(response.retry_after.is_some());
    }
    assert_eq!((failed.status, runs()), (503, after));
}
