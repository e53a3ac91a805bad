//! Targets that refuse requests of an entry and ask for backoff, and targets that announce that
//! they are leaving.

mod common;

use std::time::{Duration, Instant};

use berylhook_test_support::{Behaviour, Outage, PlatformTarget};

use serde_json::{Value, json};

use crate::common::entry::{configuration, route};
use crate::common::load::send_steadily;
use crate::common::poison::Fleet;

/// Requests that arrive this soon after a target has asked for backoff were already in flight and
/// do not count.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(500);

/// Requests that the requirement allows during the remaining backoff.
const MAX_REQUESTS_IN_BACKOFF: usize = 2;

/// Counts the requests that reached a target during `backoff`, for a target that asked for it with
/// its first response.
fn requests_in_backoff(target: &PlatformTarget, backoff: Duration) -> usize {
    let arrivals = target.arrivals();
    let Some(backoff_start) = arrivals.first().copied() else {
        return 0;
    };
    let is_in_backoff = |arrival: &&Instant| {
        **arrival >= backoff_start + IN_FLIGHT_GRACE && **arrival < backoff_start + backoff
    };
    arrivals.iter().filter(is_in_backoff).count()
}

// Guards against a target that has refused a request and gets the next one at once because it has
// no load.
#[tokio::test]
async fn a_target_that_asks_for_backoff_gets_no_requests() {
    let fleet = Fleet::start(1, 2).await;
    fleet.targets[0].set_backoff(Some("3"));
    let paths = ["/unsafe/", "/safe/", "/stream/", "/once/stream"];

    let responses = send_steadily(&fleet, &paths, Duration::from_millis(2_800)).await;

    let received_count = requests_in_backoff(&fleet.targets[0], Duration::from_secs(3));
    assert!(
        received_count <= MAX_REQUESTS_IN_BACKOFF,
        "{received_count} requests in three seconds of backoff"
    );
    assert!(responses.iter().all(|response| response.status == 200));
}

// Guards against callers that wait although no target accepts a request for seconds.
#[tokio::test]
async fn callers_get_retry_after_when_all_targets_are_in_backoff() {
    let fleet = Fleet::start(1, 2).await;
    for target in &fleet.targets {
        target.set_backoff(Some("3"));
    }
    let paths = ["/unsafe/", "/stream/"];

    let responses = send_steadily(&fleet, &paths, Duration::from_secs(2)).await;

    for target in &fleet.targets {
        let received_count = requests_in_backoff(target, Duration::from_secs(3));
        assert!(
            received_count <= MAX_REQUESTS_IN_BACKOFF,
            "{received_count} requests in three seconds of backoff"
        );
    }
    for response in &responses {
        let retry_after = response.retry_after.as_deref().unwrap_or_default();
        let retry_after_s: f64 = retry_after.parse().unwrap_or_default();
        assert_eq!(response.status, 503);
        assert_eq!(response.json()["error"], "withheld");
        assert!(retry_after_s >= 0.9, "Retry-After is {retry_after} s");
    }
}

// Guards against all waiting callers being sent to a target at once when its backoff ends.
#[tokio::test]
async fn one_trial_request_is_sent_at_the_end_of_a_backoff() {
    let fleet = Fleet::start(1, 2).await;
    fleet.targets[0].set_backoff(Some("1"));

    let responses = send_steadily(&fleet, &["/unsafe/", "/stream/"], Duration::from_secs(5)).await;

    let arrivals = fleet.targets[0].arrivals();
    let first = arrivals.first().copied().expect("the target got a request");
    let trial_count = arrivals
        .iter()
        .filter(|arrival| **arrival >= first + IN_FLIGHT_GRACE)
        .count();
    assert!(
        (1..=5).contains(&trial_count),
        "{trial_count} requests in four seconds"
    );
    assert!(responses.iter().all(|response| response.status == 200));
}

// Guards against a target that gets no requests for good after it has asked for backoff.
#[tokio::test]
async fn a_target_is_used_in_full_again_after_its_backoff() {
    let fleet = Fleet::start(1, 2).await;
    fleet.targets[0].set_backoff(Some("0.5"));
    send_steadily(&fleet, &["/unsafe/"], Duration::from_millis(500)).await;
    fleet.targets[0].set_backoff(None);
    send_steadily(&fleet, &["/unsafe/"], Duration::from_secs(2)).await;
    let count_before = fleet.targets[0].runs().len();

    let responses = send_steadily(&fleet, &["/unsafe/"], Duration::from_secs(2)).await;

    let received_count = fleet.targets[0].runs().len() - count_before;
    assert!(
        received_count * 4 > responses.len(),
        "{received_count} of {}",
        responses.len()
    );
}

/// Returns a configuration whose targets are model engines.
fn engine_configuration() -> Vec<u8> {
    let routes = [route("stream", "streaming", 3, true)];
    let document = configuration(2, &routes);
    let mut document: Value = serde_json::from_slice(&document).expect("it is JSON");
    document["services"][0]["engine"] = json!({
        "slots": 12, "stride": 4, "step_ms": 4.55, "per_seq_ms": 0.9, "read_per_s": 61_400.0,
        "usual": {"prompt": 800.0, "answer": 90.0},
    });
    document.to_string().into_bytes()
}

// Guards against the backoff of one engine being taken for the loss of its whole group.
#[tokio::test]
async fn streams_continue_at_the_other_engines_while_one_is_in_backoff() {
    let mut fleet = Fleet::start(0, 3).await;
    fleet.store.put_raw("op/config", &engine_configuration());
    fleet.targets[0].set_backoff(Some("3"));
    fleet.start_entry().await;

    let responses = send_steadily(&fleet, &["/stream/"], Duration::from_millis(2_800)).await;

    let received_count = requests_in_backoff(&fleet.targets[0], Duration::from_secs(3));
    assert!(
        received_count <= MAX_REQUESTS_IN_BACKOFF,
        "{received_count} requests in three seconds of backoff"
    );
    let output = fleet.entries[0].daemon.output();
    assert!(!output.contains("a group refuses requests"));
    assert!(responses.iter().all(|response| response.status == 200));
}

// Guards against a target that announces in its responses that it is leaving and gets requests
// until the target list says so too.
#[tokio::test]
async fn a_target_that_announces_leaving_gets_no_more_requests() {
    let fleet = Fleet::start(1, 2).await;
    fleet.store.set_outage(Outage::Silent);
    fleet.targets[0].announce_leaving();
    let paths = ["/unsafe/", "/safe/", "/stream/", "/once/stream"];

    let responses = send_steadily(&fleet, &paths, Duration::from_secs(2)).await;

    let arrivals = fleet.targets[0].arrivals();
    let announced_at = arrivals.first().copied().expect("the target got a request");
    let later = arrivals
        .iter()
        .filter(|arrival| **arrival >= announced_at + IN_FLIGHT_GRACE);
    assert_eq!(later.count(), 0);
    assert!(responses.iter().all(|response| response.status == 200));
}

// Guards against an interrupted stream that is resumed at a target in backoff.
#[tokio::test]
async fn an_interrupted_stream_is_not_resumed_at_a_target_in_backoff() {
    let fleet = Fleet::start(1, 3).await;
    fleet.targets[0].set_backoff(Some("3"));
    fleet.targets[1].set_behaviour(Behaviour::CutsStreamAfter(2));

    let responses = send_steadily(&fleet, &["/stream/"], Duration::from_millis(2_800)).await;

    assert!(!fleet.targets[1].runs().is_empty());
    let received_count = requests_in_backoff(&fleet.targets[0], Duration::from_secs(3));
    assert!(
        received_count <= MAX_REQUESTS_IN_BACKOFF,
        "{received_count} requests in three seconds of backoff"
    );
    assert!(
        responses
            .iter()
            .all(|response| response.status == 200 && response.is_complete)
    );
}
