//! Targets whose response heads are not those of an HTTP server.

mod common;

use std::time::Duration;

use berylhook_test_support::KeyValueStandIn;
use berylhook_test_support::calls::{CallResult, Caller};
use berylhook_test_support::cluster::{
    Cluster, DESK_KEY, EntryProcess, until_plain_service_ready, until_serving,
};
use berylhook_test_support::cut_response_target::whole_body;
use berylhook_test_support::spoiled_head_target::{AfterResponse, SpoiledHead, SpoiledHeadTarget};
use futures_util::{StreamExt, stream};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::common::entry::{API_KEY, Entry, configuration, route, start_entry, until, until_ready};
use crate::common::new_key;

/// Requests at a time, fewer than the targets have slots.
const CONCURRENT_REQUESTS: usize = 8;

/// Longer than an entry waits for the response to a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Kinds of routes: name, type, and whether a stream may be resumed.
const ROUTES: [(&str, &str, bool); 4] = [
    ("safe", "safe", false),
    ("unsafe", "unsafe", false),
    ("once", "streaming", false),
    ("stream", "streaming", true),
];

/// An entry with two targets.
struct Setup {
    _store: KeyValueStandIn,
    targets: [SpoiledHeadTarget; 2],
    entry: Entry,
}

/// Starts an entry with two targets that spoil their heads.
async fn start(after_response: AfterResponse) -> Setup {
    let store = KeyValueStandIn::start().await;
    let routes =
        ROUTES.map(|(kind, route_type, is_resumable)| route(kind, route_type, 2, is_resumable));
    store.put_raw("op/config", &configuration(1, &routes));
    let targets = [
        SpoiledHeadTarget::start(Some(after_response)).await,
        SpoiledHeadTarget::start(Some(after_response)).await,
    ];
    targets[0].register(&store, "i-1", "push");
    targets[1].register(&store, "i-2", "push");
    let entry = start_entry(&store, &[]);
    until_ready(&entry).await;
    Setup {
        _store: store,
        targets,
        entry,
    }
}

/// Sends a request to each path, under an attempt id of its own.
async fn send_all(entry: &Entry, paths: Vec<String>) -> Vec<(String, CallResult)> {
    let responses = stream::iter(paths).map(|path| async move {
        let response = send(entry, &path).await;
        (path, response)
    });
    let responses = responses.buffer_unordered(CONCURRENT_REQUESTS);
    responses.collect().await
}

async fn send(entry: &Entry, path: &str) -> CallResult {
    let headers = [
        ("host", "desk.example"),
        ("berylhook-attempt-id", path),
        ("berylhook-deadline-ms", "3000"),
    ];
    let caller = Caller::new(API_KEY);
    caller
        .post(entry.caller_address, path, "a draft", &headers)
        .await
}

/// Attempt ids that arrived more than once, at both targets taken together.
fn repeated_runs(targets: &[SpoiledHeadTarget; 2]) -> Vec<String> {
    let mut runs = [targets[0].runs(), targets[1].runs()].concat();
    runs.sort();
    let pairs = runs.windows(2);
    let repeated = pairs.filter(|pair| pair[0] == pair[1]);
    repeated.map(|pair| pair[0].clone()).collect()
}

/// Whether the response is the whole one of a sound target.
fn is_served(response: &CallResult) -> bool {
    response.status == 200 && response.is_complete && response.body == whole_body()
}

/// Whether the response is the entry's own, and promises nothing.
fn is_unknown(response: &CallResult) -> bool {
    response.status == 502 && response.is_complete && !response.has_seal
}

fn describe<'a>(responses: impl Iterator<Item = &'a (String, CallResult)>) -> Vec<String> {
    let texts = responses
        .map(|(path, response)| format!("{path}: {} {:?}", response.status, response.body));
    texts.collect()
}

// Guards against a response with a spoiled head that a caller takes for that of the target.
#[tokio::test(flavor = "multi_thread")]
async fn no_response_with_a_spoiled_head_is_forwarded() {
    for after_response in [AfterResponse::Closes, AfterResponse::Keeps] {
        let setup = start(after_response).await;
        let paths = SpoiledHead::ALL.into_iter().flat_map(|head| {
            let text = head.text();
            ROUTES.map(|(kind, ..)| format!("/{kind}/{text}"))
        });

        let responses = send_all(&setup.entry, paths.collect()).await;

        let falsely = responses.iter().filter(|(_, it)| !is_unknown(it));
        assert_eq!(
            describe(falsely),
            Vec::<String>::new(),
            "{after_response:?}"
        );
    }
}

/// An entry, and for each head a service with a target that spoils its heads and a sound one.
struct PairedSetup {
    _store: KeyValueStandIn,
    pairs: Vec<(SpoiledHead, [SpoiledHeadTarget; 2])>,
    entry: Entry,
}

/// Number of requests on each route for a head. Both targets of a service get some.
const REQUESTS_PER_ROUTE: usize = 4;

async fn start_pairs() -> PairedSetup {
    let store = KeyValueStandIn::start().await;
    let mut routes = Vec::new();
    let mut services = Vec::new();
    let mut pairs = Vec::new();
    for head in SpoiledHead::ALL {
        let name = head.name;
        services.push(json!({"name": name, "health-path": "/healthz", "max-conns": 100}));
        for (kind, route_type, is_resumable) in ROUTES {
            let mut route = route(&format!("{kind}/{name}"), route_type, 2, is_resumable);
            route["service"] = name.into();
            routes.push(route);
        }
        let spoiled = SpoiledHeadTarget::start(Some(AfterResponse::Closes)).await;
        spoiled.register(&store, &format!("i-{name}-spoiled"), name);
        let sound = SpoiledHeadTarget::start(None).await;
        sound.register(&store, &format!("i-{name}-sound"), name);
        pairs.push((head, [spoiled, sound]));
    }
    let document = configuration(1, &routes);
    let mut document: Value = serde_json::from_slice(&document).expect("it is JSON");
    document["services"] = services.into();
    store.put_raw("op/config", document.to_string().as_bytes());
    let entry = start_entry(&store, &[]);
    until_ready(&entry).await;
    PairedSetup {
        _store: store,
        pairs,
        entry,
    }
}

// Guards against a request that runs twice, or a spoiled response that reaches a caller, because
// another target responds properly.
#[tokio::test(flavor = "multi_thread")]
async fn a_spoiled_head_is_an_unknown_outcome_beside_a_sound_target() {
    let setup = start_pairs().await;
    let paths = setup.pairs.iter().flat_map(|(head, _)| {
        let paths = ROUTES.map(|(kind, ..)| format!("/{kind}/{}/{}", head.name, head.text()));
        let numbers = 0..REQUESTS_PER_ROUTE;
        numbers.flat_map(move |number| paths.clone().map(|path| format!("{path}{number}")))
    });

    let responses = send_all(&setup.entry, paths.collect()).await;

    let falsely = responses
        .iter()
        .filter(|(_, it)| !is_unknown(it) && !is_served(it));
    assert_eq!(describe(falsely), Vec::<String>::new());
    let mut is_any_served_again = false;
    for (head, targets) in &setup.pairs {
        let repeated = repeated_runs(targets);
        let may_repeat =
            |path: &&String| !path.starts_with("/unsafe") && !path.starts_with("/once");
        let (repeatable, once): (Vec<&String>, Vec<&String>) =
            repeated.iter().partition(may_repeat);
        assert_eq!(once, Vec::<&String>::new(), "{}", head.name);
        assert!(!targets[0].runs().is_empty(), "{}", head.name);
        is_any_served_again |= responses
            .iter()
            .any(|(path, response)| repeatable.contains(&path) && is_served(response));
    }
    assert!(is_any_served_again);
}

// Guards against a request that runs again, or is promised not to have run, on the word of a head that
// is spoiled elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn a_spoiled_head_does_not_prove_that_the_request_did_not_run() {
    let setup = start(AfterResponse::Closes).await;
    let paths = SpoiledHead::ALL.into_iter().flat_map(|head| {
        let text = head.not_run_text();
        ["unsafe", "once"].map(|kind| format!("/{kind}/{text}"))
    });

    let responses = send_all(&setup.entry, paths.collect()).await;

    let falsely = responses.iter().filter(|(_, it)| !is_unknown(it));
    assert_eq!(describe(falsely), Vec::<String>::new());
    assert_eq!(repeated_runs(&setup.targets), Vec::<String>::new());
}

// Guards against a target that counts as ended, and a request as its cause, because the spoiled response to
// a health check names another incarnation.
#[tokio::test(flavor = "multi_thread")]
async fn a_spoiled_response_to_a_health_check_does_not_show_an_exit() {
    let setup = start(AfterResponse::Closes).await;

    let response = send(&setup.entry, "/unsafe/head/coding-with-suffix/").await;
    until(async || setup.targets.iter().any(|it| it.health_checks() > 0)).await;
    sleep(HEALTH_CHECK_TIMEOUT).await;

    assert!(is_unknown(&response), "{response:?}");
    let output = setup.entry.daemon.output();
    assert!(!output.contains("a target ended"), "{output}");
}

// Guards against a failed request that cannot be traced to what spoiled its response.
#[tokio::test(flavor = "multi_thread")]
async fn a_spoiled_head_is_logged_with_its_reason() {
    let setup = start(AfterResponse::Closes).await;

    send(&setup.entry, "/unsafe/head/coding-with-suffix/").await;
    send(&setup.entry, "/unsafe/head/status-999/").await;
    send(&setup.entry, "/unsafe/head/line-first/").await;

    let output = setup.entry.daemon.output();
    for reason in ["chunkedx", "status 999", "invalid HTTP header"] {
        let is_logged = |line: &str| line.contains("/unsafe/head/") && line.contains(reason);
        assert!(output.lines().any(is_logged), "{reason}: {output}");
    }
}

/// Sends a plain, a streaming and a keyed request, and the keyed one again.
async fn send_each_kind(entry: &EntryProcess, head: SpoiledHead) -> Vec<(String, CallResult)> {
    let caller = Caller::new(DESK_KEY);
    let prompt = head.text();
    let complete =
        |is_stream| caller.complete(entry.address, "briefing-llm", &prompt, 4, is_stream);
    let path = format!("/guide-push/{prompt}");
    let key = new_key();
    let headers = [("idempotency-key", &*key)];
    let keyed = || caller.post(entry.address, &path, "canoe 7", &headers);
    let (plain, streamed, first) = tokio::join!(complete(false), complete(true), keyed());
    let again = keyed().await;
    vec![
        (format!("plain {prompt}"), plain),
        (format!("stream {prompt}"), streamed),
        (format!("keyed {prompt}"), first),
        (format!("keyed again {prompt}"), again),
    ]
}

// Guards against a response with a spoiled head that an agent forwards, or records as the outcome of a
// call that runs once.
#[tokio::test(flavor = "multi_thread")]
async fn no_response_with_a_spoiled_head_is_forwarded_by_an_agent() {
    for after_response in [AfterResponse::Closes, AfterResponse::Keeps] {
        let cluster = Cluster::start().await;
        let target = SpoiledHeadTarget::start(Some(after_response)).await;
        let _model = cluster.start_agent("target-1", "briefing-llm", target.address());
        let _plain = cluster.start_agent("target-2", "guide-push", target.address());
        let entry = cluster.start_entry("entry-1");
        until_serving(&entry, "briefing-llm").await;
        until_plain_service_ready(&entry).await;

        let responses = stream::iter(SpoiledHead::ALL).map(|head| send_each_kind(&entry, head));
        let responses = responses.buffer_unordered(CONCURRENT_REQUESTS);
        let responses: Vec<_> = responses.concat().await;

        let falsely = responses
            .iter()
            .filter(|(_, it)| it.status < 500 || it.status > 599 || it.outcome != "unknown");
        assert_eq!(
            describe(falsely),
            Vec::<String>::new(),
            "{after_response:?}"
        );
    }
}
