//! Entries that share the slots of all targets by quotas.

mod common;

use std::net::SocketAddr;

use berylhook_test_support::calls::Caller;
use berylhook_test_support::{Daemon, KeyValueStandIn, PlatformTarget, Signal, free_address};

use serde_json::{Value, json};

use crate::common::entry::{API_KEY, configuration, route, until};

const TARGETS: usize = 2;

/// Slots of all targets; each stand-in registers twelve.
const SLOTS: u32 = 24;

/// An entry process that exports metrics.
struct Entry {
    daemon: Daemon,
    peer_address: SocketAddr,
    metrics_address: SocketAddr,
}

/// A configuration with two urgencies for a service of model engines.
fn configuration_with_levels() -> Vec<u8> {
    let mut urgent = route("urgent", "streaming", 2, false);
    urgent["priority"] = 0.into();
    engine_configuration(1, &[urgent, route("stream", "streaming", 2, false)])
}

fn engine_configuration(version: u64, routes: &[Value]) -> Vec<u8> {
    let document = configuration(version, routes);
    let mut document: Value = serde_json::from_slice(&document).expect("the document is JSON");
    document["services"][0]["engine"] = json!({
        "slots": 12, "stride": 4, "step_ms": 4.55, "per_seq_ms": 0.9, "context_per_k": 0.02,
        "read_per_s": 61400.0, "usual": {"prompt": 800, "answer": 100},
    });
    document.to_string().into_bytes()
}

fn start_entry(store: &KeyValueStandIn, seeds: &[SocketAddr]) -> Entry {
    let (peer_address, metrics_address) = (free_address(), free_address());
    let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
    let settings = format!(
        "[node]\nname = entry-1\ndata_centre = here\n\
         [listen]\ncallers = {}\nready = {}\npeers = {peer_address}\nmetrics = {metrics_address}\n\
         [peers]\nseeds = {}\n[store]\naddress = {}\n[stop]\ngrace_s = 8\n",
        free_address(),
        free_address(),
        seeds.join(","),
        store.address(),
    );
    Entry {
        daemon: Daemon::start("berylhook", &["entry"], &settings).expect("the entry starts"),
        peer_address,
        metrics_address,
    }
}

impl Entry {
    /// The slots that this entry may use; `None` before it has quotas.
    async fn slots(&self) -> Option<u32> {
        let caller = Caller::new(API_KEY);
        let metrics = caller.get(self.metrics_address, "/metrics").await;
        let metrics = metrics.body;
        let mut lines = metrics.lines();
        let value =
            lines.find_map(|line| line.strip_prefix("berylhook_slots{service=\"push\"} "))?;
        value.parse().ok()
    }

    /// Whether the entry considers itself the home, by the last log line on this.
    fn is_home(&self) -> bool {
        let output = self.daemon.output();
        let mut lines = output.lines().rev();
        let last = lines.find(|line| line.contains("the home of the shared slots\""));
        last.is_some_and(|line| line.contains("this entry is the home"))
    }
}

struct Fleet {
    store: KeyValueStandIn,
    /// Kept running for the entries.
    _targets: Vec<PlatformTarget>,
    entries: Vec<Entry>,
}

impl Fleet {
    async fn start(entries: usize) -> Self {
        let store = KeyValueStandIn::start().await;
        store.put_raw("op/config", &configuration_with_levels());
        let mut targets = Vec::new();
        for number in 0..TARGETS {
            let target = PlatformTarget::start(&format!("i-{number}")).await;
            target.register(&store, "push", "ready");
            targets.push(target);
        }
        let mut started: Vec<Entry> = Vec::new();
        for _ in 0..entries {
            let seeds: Vec<SocketAddr> = started.iter().map(|entry| entry.peer_address).collect();
            started.push(start_entry(&store, &seeds));
        }
        Self {
            store,
            _targets: targets,
            entries: started,
        }
    }

    /// Waits until the entries have all slots, each at least two, and one of them is the home.
    async fn until_shared(&self) {
        until(async || {
            let mut sum = 0;
            for entry in &self.entries {
                match entry.slots().await {
                    Some(slots) if slots >= 2 => sum += slots,
                    _ => return false,
                }
            }
            sum == SLOTS && self.home_count() == 1
        })
        .await;
    }

    fn home_count(&self) -> usize {
        self.entries.iter().filter(|entry| entry.is_home()).count()
    }

    fn home_index(&self) -> usize {
        let found = self.entries.iter().position(Entry::is_home);
        found.expect("an entry is the home")
    }
}

/// Guards against slots that nobody may use after the entry that allocates them was killed.
#[tokio::test]
async fn after_the_home_was_killed_another_one_shares_all_slots() {
    let mut fleet = Fleet::start(3).await;
    fleet.until_shared().await;
    let home = fleet.home_index();

    fleet.entries.remove(home).daemon.kill();

    fleet.until_shared().await;
}

/// Guards against a home that was frozen and, once it runs again, gives all slots to itself or
/// stays out of touch with the others.
#[tokio::test]
async fn after_the_home_was_frozen_the_entries_agree_again() {
    let mut fleet = Fleet::start(3).await;
    fleet.until_shared().await;
    let frozen = fleet.entries.remove(fleet.home_index());
    frozen.daemon.signal(Signal::Stop);
    fleet.until_shared().await;

    frozen.daemon.signal(Signal::Continue);
    fleet.entries.push(frozen);

    fleet.until_shared().await;
}

/// Guards against metrics that keep the last quotas after the sharing of slots was turned off.
#[tokio::test]
async fn without_several_urgencies_no_slots_are_exported() {
    let fleet = Fleet::start(2).await;
    fleet.until_shared().await;
    let routes = [route("stream", "streaming", 2, false)];

    fleet
        .store
        .put_raw("op/config", &engine_configuration(2, &routes));

    for entry in &fleet.entries {
        until(async || entry.slots().await.is_none()).await;
    }
}
