//! Helpers for tests of `berylhook entry`, the entry that connects to targets directly.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use berylhook_test_support::calls::Caller;
use berylhook_test_support::{Daemon, KeyValueStandIn, free_address};
use serde_json::{Value, json};

/// API key of the only client account in [`configuration`].
pub const API_KEY: &str = "n2ctnfzs";
/// Time that the platform leaves a process to stop, in seconds.
const DEFAULT_GRACE_S: u32 = 8;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A running entry process and the addresses on which it listens.
pub struct Entry {
    pub daemon: Daemon,
    pub caller_address: SocketAddr,
    pub readiness_address: SocketAddr,
    pub peer_address: SocketAddr,
}

/// Starts an entry that uses `store` and whose seed peers are `seeds`.
pub fn start_entry(store: &KeyValueStandIn, seeds: &[SocketAddr]) -> Entry {
    start_entry_with(store.address(), seeds, "")
}

/// Like [`start_entry`], with the store behind `store` and more lines of settings.
pub fn start_entry_with(store: SocketAddr, seeds: &[SocketAddr], settings: &str) -> Entry {
    launch_entry(store, seeds, DEFAULT_GRACE_S, settings)
}

/// Like [`start_entry`], alone and with another grace period for its stop.
pub fn start_entry_with_grace(store: &KeyValueStandIn, grace_s: u32) -> Entry {
    launch_entry(store.address(), &[], grace_s, "")
}

/// Like [`start_entry`], alone, with at most `descriptors` open files and more lines of settings.
pub fn start_entry_with_descriptors(
    store: &KeyValueStandIn,
    descriptors: u64,
    settings: &str,
) -> Entry {
    let start = |settings: &str| {
        Daemon::start_with_descriptors("berylhook", &["entry"], settings, descriptors)
    };
    launch(store.address(), &[], DEFAULT_GRACE_S, settings, start).0
}

/// Starts an entry that gets its settings once `is_due` holds.
pub async fn start_entry_once(
    store: &KeyValueStandIn,
    is_due: impl AsyncFn(&Daemon) -> bool,
) -> Entry {
    let start = |_: &str| Daemon::start_without_settings("berylhook", &["entry"]);
    let (mut entry, settings) = launch(store.address(), &[], DEFAULT_GRACE_S, "", start);
    until(async || is_due(&entry.daemon).await).await;
    let provided = entry.daemon.provide_settings(&settings);
    provided.expect("the entry reads its settings");
    entry
}

fn launch_entry(store: SocketAddr, seeds: &[SocketAddr], grace_s: u32, settings: &str) -> Entry {
    let start = |settings: &str| Daemon::start("berylhook", &["entry"], settings);
    launch(store, seeds, grace_s, settings, start).0
}

/// Starts an entry, and returns it with its settings.
fn launch(
    store: SocketAddr,
    seeds: &[SocketAddr],
    grace_s: u32,
    settings: &str,
    start: impl Fn(&str) -> anyhow::Result<Daemon>,
) -> (Entry, String) {
    let (caller_address, readiness_address, peer_address) =
        (free_address(), free_address(), free_address());
    let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
    let settings = format!(
        "[node]\nname = entry-1\ndata_centre = here\n\
         [listen]\ncallers = {caller_address}\nready = {readiness_address}\npeers = {peer_address}\n\
         [peers]\nseeds = {}\n[store]\naddress = {store}\n[stop]\ngrace_s = {grace_s}\n{settings}",
        seeds.join(","),
    );
    let entry = Entry {
        daemon: start(&settings).expect("the entry starts"),
        caller_address,
        readiness_address,
        peer_address,
    };
    (entry, settings)
}

/// Returns a route below `/NAME/` on the test host.
pub fn route(name: &str, route_type: &str, attempts: u32, resumable: bool) -> Value {
    json!({
        "name": name, "host": "desk.example", "prefix": format!("/{name}/"), "type": route_type,
        "timeout-ms": 4000, "goal-ms": 400, "priority": 1, "service": "push",
        "attempts": attempts, "public": false, "resumable": resumable, "itl-target-ms": 120,
    })
}

/// Returns a configuration document with these routes.
pub fn configuration(version: u64, routes: &[Value]) -> Vec<u8> {
    configuration_with_body_limit(version, routes, 10_000)
}

/// Like [`configuration`], with another limit for request bodies.
pub fn configuration_with_body_limit(
    version: u64,
    routes: &[Value],
    max_body_bytes: usize,
) -> Vec<u8> {
    json!({
        "version": version,
        "routes": routes,
        "services": [{"name": "push", "health-path": "/healthz", "max-conns": 100}],
        "limits": {
            "max-header-bytes": 16384, "max-body-bytes": max_body_bytes,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "harbour", "api-keys": [API_KEY], "priority": 1}],
    })
    .to_string()
    .into_bytes()
}

/// Waits until the entry is ready.
pub async fn until_ready(entry: &Entry) {
    until(async || {
        Caller::new(API_KEY)
            .get(entry.readiness_address, "/-/readyz")
            .await
            .status
            == 200
    })
    .await;
}

/// Polls `condition` until it holds; panics after [`TEST_TIMEOUT`].
pub async fn until(condition: impl AsyncFn() -> bool) {
    let started_at = Instant::now();
    while !condition().await {
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "the condition did not hold within {TEST_TIMEOUT:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
