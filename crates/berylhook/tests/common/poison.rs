//! Entries with stand-in targets that exit when they receive a poison request.

use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use berylhook_test_support::calls::{CallResult, Caller};
use berylhook_test_support::{Behaviour, KeyValueStandIn, POISON_BODY, PlatformTarget, binary};

use super::entry::{API_KEY, Entry, configuration, route, start_entry, until_ready};

/// Targets that may exit under one request before the quarantine rejects it.
pub const MAX_EXITS: usize = 3;

/// Time for the report of a target exit to reach all entries; the requirement is three seconds.
pub const PROPAGATION_TIME: Duration = Duration::from_millis(800);

/// Entries that are peers of each other, and targets that exit on a poison request.
pub struct Fleet {
    pub store: KeyValueStandIn,
    pub entries: Vec<Entry>,
    pub targets: Vec<PlatformTarget>,
}

impl Fleet {
    /// Starts the store, the targets and then the entries, each with the earlier entries as seeds.
    pub async fn start(entries: usize, targets: usize) -> Self {
        let store = KeyValueStandIn::start().await;
        let routes = [
            route("safe", "safe", 3, false),
            route("unsafe", "unsafe", 2, false),
            route("stream", "streaming", 3, true),
            route("once", "streaming", 3, false),
        ];
        store.put_raw("op/config", &configuration(1, &routes));
        let mut fleet = Self {
            store,
            entries: Vec::new(),
            targets: Vec::new(),
        };
        for number in 0..targets {
            let target = PlatformTarget::start(&format!("i-{number}")).await;
            target.set_behaviour(Behaviour::ExitsOnPoison);
            target.register(&fleet.store, "push", "ready");
            fleet.targets.push(target);
        }
        for _ in 0..entries {
            fleet.start_entry().await;
        }
        fleet
    }

    pub async fn start_entry(&mut self) {
        let seeds: Vec<SocketAddr> = self
            .entries
            .iter()
            .map(|entry| entry.peer_address)
            .collect();
        let entry = start_entry(&self.store, &seeds);
        until_ready(&entry).await;
        self.entries.push(entry);
    }

    pub fn exited_count(&self) -> usize {
        let targets = self.targets.iter();
        targets.filter(|target| target.has_exited()).count()
    }

    /// Sends a request through the entry with that index, modulo the number of entries.
    pub async fn send(&self, entry: usize, path: &str, attempt: &str, body: &str) -> CallResult {
        self.send_with_deadline(entry, path, attempt, body, 3_000)
            .await
    }

    /// Like [`Self::send`], with the given deadline instead of 3 s.
    pub async fn send_with_deadline(
        &self,
        entry: usize,
        path: &str,
        attempt: &str,
        body: &str,
        deadline_ms: u64,
    ) -> CallResult {
        let deadline_ms = deadline_ms.to_string();
        let headers = [
            ("host", "desk.example"),
            ("berylhook-attempt-id", attempt),
            ("berylhook-deadline-ms", deadline_ms.as_str()),
        ];
        let entry = &self.entries[entry % self.entries.len()];
        let caller = Caller::new(API_KEY);
        caller
            .post(entry.caller_address, path, body, &headers)
            .await
    }
}

/// Sends the poison request through the first entry until two targets have exited, so that all
/// entries run it only on trial.
pub async fn put_on_trial(fleet: &Fleet) {
    for number in 0..2 {
        fleet
            .send(0, "/unsafe/draft", &format!("early-{number}"), POISON_BODY)
            .await;
        tokio::time::sleep(PROPAGATION_TIME).await;
    }
    assert_eq!(fleet.exited_count(), 2);
}

/// Sends the poison request until the quarantine rejects it.
pub async fn put_on_hold(fleet: &Fleet) {
    put_on_trial(fleet).await;
    fleet.send(0, "/unsafe/draft", "early-2", POISON_BODY).await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    assert_eq!(fleet.exited_count(), MAX_EXITS);
}

/// Runs a `berylhook quarantine` command against the store of the fleet and returns its output.
pub fn quarantine(fleet: &Fleet, command: &str, arguments: &[&str]) -> String {
    let output = Command::new(binary("berylhook").expect("the binary is built"))
        .args(["quarantine", command, "--key-value"])
        .arg(format!("http://{}", fleet.store.address()))
        .args(arguments)
        .output()
        .expect("the command runs");
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{error}");
    String::from_utf8(output.stdout).expect("the output is UTF-8")
}
