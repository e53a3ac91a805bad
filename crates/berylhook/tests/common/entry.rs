//! What the tests of the entry that speaks to targets itself share.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use berylhook_test_support::calls::Caller;
use berylhook_test_support::{Daemon, KeyValueStandIn, free_address};
use serde_json::{Value, json};

pub const KEY: &str = "n2ctnfzs";
const PATIENCE: Duration = Duration::from_secs(20);

/// An entry's process and its addresses.
pub struct Entry {
    pub daemon: Daemon,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
}

/// Starts an entry that knows of the store and of some peers.
pub fn start_entry(store: &KeyValueStandIn, seeds: &[SocketAddr]) -> Entry {
    let (callers, ready, peers) = (free_address(), free_address(), free_address());
    let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
    let settings = format!(
        "[node]\nname = entry-1\ndata_centre = here\n\
         [listen]\ncallers = {callers}\nready = {ready}\npeers = {peers}\n\
         [peers]\nseeds = {}\n[store]\naddress = {}\n[stop]\ngrace_s = 8\n",
        seeds.join(","),
        store.address(),
    );
    Entry {
        daemon: Daemon::start("berylhook", &["entry"], &settings).expect("the entry starts"),
        callers,
        ready,
        peers,
    }
}

/// A route of the only host.
pub fn route(name: &str, kind: &str, attempts: u32, resumable: bool) -> Value {
    json!({
        "name": name, "host": "desk.example", "prefix": format!("/{name}/"), "type": kind,
        "timeout-ms": 4000, "goal-ms": 400, "priority": 1, "service": "push",
        "attempts": attempts, "public": false, "resumable": resumable, "itl-target-ms": 120,
    })
}

/// A configuration with these routes.
pub fn configuration(version: u64, routes: &[Value]) -> Vec<u8> {
    json!({
        "version": version,
        "routes": routes,
        "services": [{"name": "push", "health-path": "/healthz", "max-conns": 100}],
        "limits": {
            "max-header-bytes": 16384, "max-body-bytes": 10000,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "harbour", "api-keys": [KEY], "priority": 1}],
    })
    .to_string()
    .into_bytes()
}

/// Waits until the entry is ready.
pub async fn until_ready(entry: &Entry) {
    until(async || Caller::new(KEY).get(entry.ready, "/-/readyz").await.status == 200).await;
}

/// Waits until that holds.
pub async fn until(holds: impl AsyncFn() -> bool) {
    let began = Instant::now();
    while !holds().await {
        assert!(began.elapsed() < PATIENCE, "waited too long");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
