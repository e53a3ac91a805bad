//! Targets that refuse requests of an entry and ask it for rest, and targets that say that they
//! leave.

mod common;

use std::time::{Duration, Instant};

use berylhook_test_support::{Behaviour, Outage, PlatformTarget};

use serde_json::{Value, json};

use crate::common::entry::{configuration, route};
use crate::common::load::send_steadily;
use crate::common::poison::Fleet;

/// What is on its way when a target asks for rest is on nobody's account.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(500);

/// Requests that the users allow in the rest of the time.
const MAX_REQUESTS_IN_BACKOFF: usize = 2;

/// Requests that came to a target that asked for rest with its first answer, within that
/// rest.
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

// Guards against a target that refused a request and is sent the next one at once, since
// nothing runs there.
#[tokio::test]
async fn a_target_that_asks_for_rest_gets_it() {
    let fleet = Fleet::start(1, 2).await;
    fleet.targets[0].set_backoff(Some("3"));
    let paths = ["/unsafe/", "/safe/", "/stream/", "/once/stream"];

    let responses = send_steadily(&fleet, &paths, Duration::from_millis(2_800)).await;

    let received_count = requests_in_backoff(&fleet.targets[0], Duration::from_secs(3));
    assert!(
        received_count <= MAX_REQUESTS_IN_BACKOFF,
        "{received_count} requests in three seconds of rest"
    );
    assert!(responses.iter().all(|response| response.status == 200));
}

// Guards against callers that wait for targets of which none takes a request for seconds.
#[tokio::test]
async fn callers_are_told_when_to_come_back_where_all_targets_rest() {
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
            "{received_count} requests in three seconds of rest"
        );
    }
    for response in &responses {
        let retry_after = response.retry_after.as_deref().unwrap_or_default();
        let retry_after_s: f64 = retry_after.parse().unwrap_or_default();
        assert_eq!(response.status, 503);
        assert_eq!(response.json()["error"], "withheld");
        assert!(
            retry_after_s >= 0.9,
            "told to come back after {retry_after} s"
        );
    }
}

// Guards against all callers that waited for the end of a rest coming at once.
#[tokio::test]
async fn the_end_of_a_rest_is_tried_by_one_request() {
    let fleet = Fleet::start(1, 2).await;
    fleet.targets[0].set_backoff(Some("1"));

    let responses = send_steadily(&fleet, &["/unsafe/", "/stream/"], Duration::from_secs(5)).await;

    let arrivals = fleet.targets[0].arrivals();
    let first = arrivals.first().copied().expect("it was tried");
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

// Guards against a target that is left alone for good once it has asked for rest.
#[tokio::test]
async fn a_target_is_used_in_full_again_after_its_rest() {
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

/// The users' configuration, with targets that are model engines.
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

// Guards against one engine's wish for rest that is taken for the loss of its whole group.
#[tokio::test]
async fn streams_go_on_at_the_other_engines_while_one_rests() {
    let mut fleet = Fleet::start(0, 3).await;
    fleet.store.put_raw("op/config", &engine_configuration());
    fleet.targets[0].set_backoff(Some("3"));
    fleet.start_entry().await;

    let responses = send_steadily(&fleet, &["/stream/"], Duration::from_millis(2_800)).await;

    let received_count = requests_in_backoff(&fleet.targets[0], Duration::from_secs(3));
    assert!(
        received_count <= MAX_REQUESTS_IN_BACKOFF,
        "{received_count} requests in three seconds of rest"
    );
    let output = fleet.entries[0].daemon.output();
    assert!(!output.contains("a group refuses requests"));
    assert!(responses.iter().all(|response| response.status == 200));
}

// Guards against a target that says in its answers that it leaves, and is sent requests
// until the list of targets says so too.
#[tokio::test]
async fn a_target_that_says_that_it_leaves_gets_nothing_more() {
    let fleet = Fleet::start(1, 2).await;
    fleet.store.set_outage(Outage::Silent);
    fleet.targets[0].announce_leaving();
    let paths = ["/unsafe/", "/safe/", "/stream/", "/once/stream"];

    let responses = send_steadily(&fleet, &paths, Duration::from_secs(2)).await;

    let arrivals = fleet.targets[0].arrivals();
    let announced_at = arrivals.first().copied().expect("it was tried");
    let later = arrivals
        .iter()
        .filter(|arrival| **arrival >= announced_at + IN_FLIGHT_GRACE);
    assert_eq!(later.count(), 0);
    assert!(responses.iter().all(|response| response.status == 200));
}

// Guards against a stream that broke off and goes on at a target that rests.
#[tokio::test]
async fn a_stream_that_breaks_off_goes_on_at_a_target_that_does_not_rest() {
    let fleet = Fleet::start(1, 3).await;
    fleet.targets[0].set_backoff(Some("3"));
    fleet.targets[1].set_behaviour(Behaviour::CutsStreamAfter(2));

    let responses = send_steadily(&fleet, &["/stream/"], Duration::from_millis(2_800)).await;

    assert!(!fleet.targets[1].runs().is_empty());
    let received_count = requests_in_backoff(&fleet.targets[0], Duration::from_secs(3));
    assert!(
        received_count <= MAX_REQUESTS_IN_BACKOFF,
        "{received_count} requests in three seconds of rest"
    );
    assert!(
        responses
            .iter()
            .all(|response| response.status == 200 && response.is_complete)
    );
}
