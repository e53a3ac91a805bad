//! Targets that stop, drip or send bytes without end at one stage of their responses.

mod common;

use std::time::Duration;

use berylhook_test_support::calls::{CallResult, Caller};
use berylhook_test_support::{EndlessTarget, KeyValueStandIn, Pace, PlatformTarget, Stage};
use futures_util::future::join_all;
use serde_json::{Value, json};
use tokio::time::timeout;

use crate::common::entry::{API_KEY, Entry, configuration, route, start_entry, until, until_ready};

const DEADLINE_MS: &str = "1000";
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Kinds of routes: name, type, and whether a stream may be resumed.
const ROUTES: [(&str, &str, bool); 4] = [
    ("stream", "streaming", true),
    ("once", "streaming", false),
    ("safe", "safe", false),
    ("unsafe", "unsafe", false),
];

/// The service of a target that responds normally.
const SOUND_SERVICE: &str = "push";

fn service(stage: Stage, pace: Pace) -> String {
    format!("{}-{}", stage.name(), pace.name())
}

/// A configuration with a service for each stage and pace, and all kinds of routes to each.
fn all_services() -> Vec<u8> {
    let mut routes = vec![route("sound", "streaming", 2, true)];
    let mut services = Vec::new();
    for (stage, pace) in combinations() {
        let name = service(stage, pace);
        services.push(json!({"name": name, "health-path": "/healthz", "max-conns": 100}));
        for (kind, route_type, is_resumable) in ROUTES {
            let mut endless = route(&format!("{name}-{kind}"), route_type, 2, is_resumable);
            endless["service"] = name.clone().into();
            routes.push(endless);
        }
    }
    let document = configuration(1, &routes);
    let mut document: Value = serde_json::from_slice(&document).expect("it is JSON");
    let listed = document["services"].as_array_mut();
    listed.expect("it has services").extend(services);
    document.to_string().into_bytes()
}

fn combinations() -> impl Iterator<Item = (Stage, Pace)> {
    let with_paces = |stage| Pace::ALL.map(|pace| (stage, pace));
    Stage::ALL.into_iter().flat_map(with_paces)
}

/// Sends a request with the short deadline; `None` if it does not end.
async fn send(entry: &Entry, path: &str) -> Option<CallResult> {
    let headers = [
        ("host", "desk.example"),
        ("berylhook-attempt-id", path),
        ("berylhook-deadline-ms", DEADLINE_MS),
    ];
    let caller = Caller::new(API_KEY);
    let response = caller.post(entry.caller_address, path, path, &headers);
    timeout(TEST_TIMEOUT, response).await.ok()
}

// Guards against a request that outlives its deadline, a run that is not closed, or an entry that stops
// serving, at any stage of a response that does not end.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_does_not_end_at_one_stage_ends_its_request_and_nothing_else() {
    let store = KeyValueStandIn::start().await;
    store.put_raw("op/config", &all_services());
    let sound = PlatformTarget::start("i-sound").await;
    sound.register(&store, SOUND_SERVICE, "ready");
    let mut targets = Vec::new();
    for (stage, pace) in combinations() {
        let name = service(stage, pace);
        let target = EndlessTarget::start(stage, pace).await;
        target.register(&store, &format!("i-{name}"), &name);
        targets.push((name, target));
    }
    let entry = start_entry(&store, &[]);
    until_ready(&entry).await;
    let paths = targets
        .iter()
        .flat_map(|(name, _)| ROUTES.map(|(kind, ..)| format!("/{name}-{kind}/stream")));
    let paths: Vec<String> = paths.collect();

    let responses = join_all(paths.iter().map(|path| send(&entry, path))).await;

    let without_end: Vec<&String> = paths
        .iter()
        .zip(&responses)
        .filter_map(|(path, response)| response.is_none().then_some(path))
        .collect();
    assert!(without_end.is_empty(), "no end: {without_end:?}");
    for (path, response) in paths.iter().zip(responses.iter().flatten()) {
        let is_whole_success = response.status == 200 && response.is_complete;
        assert!(!is_whole_success, "{path} is told that it succeeded");
    }
    for (name, target) in &targets {
        assert!(target.arrivals() > 0, "{name} got no request");
        until(async || target.open_connections() == 0).await;
    }
    let sound = send(&entry, "/sound/stream").await;
    assert_eq!(sound.map(|response| response.status), Some(200));
}
