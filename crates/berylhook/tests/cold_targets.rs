//! Targets that are cold and tolerate only a low rate of requests from all entries together.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use berylhook_test_support::{Behaviour, KeyValueStandIn, PlatformTarget};
use serde_json::{Value, json};

use crate::common::entry::{configuration, route, start_entry_with, until, until_ready};
use crate::common::load::{max_in_window, send_steadily};
use crate::common::poison::Fleet;

/// Requests per second that a cold target tolerates, and the highest number that it may get with an
/// overshoot of 1.5 and a slack of 5.
const COLD_PER_S: usize = 8;
const MAX_PER_S: usize = 17;

const SETTINGS: &str = "[cold_targets]\novershoot = 1.5\nslack = 5\n";
const LOAD_DURATION: Duration = Duration::from_secs(4);
/// Longer than any of the tests.
const COLD_LEFT_MS: u64 = 60_000;

/// Starts targets, the first of which is cold, and then entries with these sections of settings.
async fn start_fleet(entries: usize, targets: usize, sections: &str) -> Fleet {
    let store = KeyValueStandIn::start().await;
    let routes = [route("unsafe", "unsafe", 2, false)];
    let mut document: Value =
        serde_json::from_slice(&configuration(1, &routes)).expect("the configuration is JSON");
    document["services"][0]["cold-start-s"] = json!(3.0);
    document["services"][0]["cold-per-s"] = json!(COLD_PER_S);
    store.put_raw("op/config", document.to_string().as_bytes());
    let mut fleet = Fleet {
        store,
        entries: Vec::new(),
        targets: Vec::new(),
    };
    for number in 0..targets {
        let target = PlatformTarget::start(&format!("i-{number}")).await;
        let cold_left_ms = if number == 0 { COLD_LEFT_MS } else { 0 };
        target.register_cold(&fleet.store, "push", cold_left_ms);
        fleet.targets.push(target);
    }
    for _ in 0..entries {
        let seeds = fleet.entries.iter().map(|entry| entry.peer_address);
        let seeds: Vec<SocketAddr> = seeds.collect();
        let entry = start_entry_with(fleet.store.address(), &seeds, sections);
        until_ready(&entry).await;
        fleet.entries.push(entry);
    }
    fleet
}

fn max_per_s(target: &PlatformTarget, from: Instant) -> usize {
    max_in_window(&target.arrivals(), from, Duration::from_secs(1))
}

// Guards against entries that each send a cold target as much as it tolerates, and against one that
// stays limited after it has become warm.
#[tokio::test]
async fn all_entries_together_keep_to_the_rate_of_a_cold_target() {
    let fleet = start_fleet(3, 1, SETTINGS).await;
    let started_at = Instant::now();

    let cold = send_steadily(&fleet, &["/unsafe/"], LOAD_DURATION).await;
    let max_seen = max_per_s(&fleet.targets[0], started_at);
    fleet.targets[0].register_cold(&fleet.store, "push", 0);
    until(async || {
        let warm = send_steadily(&fleet, &["/unsafe/"], Duration::from_secs(1)).await;
        warm.iter().all(|response| response.status == 200)
    })
    .await;

    assert!(max_seen <= MAX_PER_S, "{max_seen} requests in a second");
    assert!(cold.iter().any(|response| response.status == 200));
    let log = fleet.entries[0].daemon.output();
    assert!(log.contains("a target is cold") && log.contains("a target is warm"));
    let mut refused = cold.iter().filter(|response| response.status != 200);
    assert!(refused.all(|response| response.status == 503 && response.retry_after.is_some()));
}

// Guards against requests that are refused because of a cold target while a warm one has room.
#[tokio::test]
async fn a_warm_target_takes_what_a_cold_one_does_not() {
    let fleet = start_fleet(2, 2, SETTINGS).await;
    let started_at = Instant::now();

    let responses = send_steadily(&fleet, &["/unsafe/"], LOAD_DURATION).await;

    assert!(responses.iter().all(|response| response.status == 200));
    assert!(max_per_s(&fleet.targets[0], started_at) <= MAX_PER_S);
}

// Guards against a target whose record does not say yet that it is cold, although its response to a
// health check did.
#[tokio::test]
async fn a_health_response_tells_that_a_target_is_cold() {
    let fleet = start_fleet(1, 2, SETTINGS).await;
    fleet.targets[0].kill();
    fleet.targets[1].set_cold(COLD_LEFT_MS);
    fleet.targets[1].set_behaviour(Behaviour::DropsResponses);

    fleet.send(0, "/unsafe/", "lost", "hello").await;

    until(async || {
        let log = fleet.entries[0].daemon.output();
        log.contains("health-response")
    })
    .await;
}

// Guards against a change for deployments whose settings have no bounds for cold targets.
#[tokio::test]
async fn without_bounds_in_the_settings_a_cold_target_serves_all_requests() {
    let fleet = start_fleet(1, 1, "[cold_targets]\novershoot = \nslack = \n").await;

    let responses = send_steadily(&fleet, &["/unsafe/"], LOAD_DURATION).await;

    assert!(responses.iter().all(|response| response.status == 200));
}
