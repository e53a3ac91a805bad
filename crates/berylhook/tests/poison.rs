//! Requests under which targets end, on real entries between callers, stand-in
//! targets and the stand-in store.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use berylhook_test_support::calls::{Answered, Caller};
use berylhook_test_support::{Behaviour, KeyValueStandIn, POISON, PlatformTarget};

use crate::common::entry::{Entry, KEY, configuration, route, start_entry, until, until_ready};

/// Targets that may end under one request before it is held back.
const ENDS_ALLOWED: usize = 3;

/// Time for the news of an end to reach all entries; the users allow three seconds.
const NEWS: Duration = Duration::from_millis(800);

struct Fleet {
    store: KeyValueStandIn,
    entries: Vec<Entry>,
    targets: Vec<PlatformTarget>,
}

impl Fleet {
    /// Entries that know each other, before targets that end under poison.
    async fn start(entries: usize, targets: usize) -> Self {
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
            target.set_behaviour(Behaviour::EndsUnderPoison);
            target.register(&fleet.store, "push", "ready");
            fleet.targets.push(target);
        }
        for _ in 0..entries {
            fleet.start_entry().await;
        }
        fleet
    }

    async fn start_entry(&mut self) {
        let seeds: Vec<SocketAddr> = self.entries.iter().map(|entry| entry.peers).collect();
        let entry = start_entry(&self.store, &seeds);
        until_ready(&entry).await;
        self.entries.push(entry);
    }

    fn ended(&self) -> usize {
        let targets = self.targets.iter();
        targets.filter(|target| target.has_ended()).count()
    }

    /// Sends a request through one of the entries.
    async fn send(&self, entry: usize, path: &str, attempt: &str, body: &str) -> Answered {
        let headers = [
            ("host", "desk.example"),
            ("berylhook-attempt-id", attempt),
            ("berylhook-deadline-ms", "3000"),
        ];
        let entry = &self.entries[entry % self.entries.len()];
        let caller = Caller::new(KEY);
        caller.post(entry.callers, path, body, &headers).await
    }
}

// Eight targets of one service ended one after the other, each within half a second of
// the moment at which the service could run again, and nobody was served in between. One
// request had come back after each end, under a new attempt id and at any entry, and an
// entry kept nothing of an attempt beyond its end. Of the last of them the log had
// `result: streams` and 98 ms later `result: broke-off`, with all others in flight there.
#[tokio::test]
async fn a_request_that_comes_again_at_any_entry_ends_three_targets_at_most() {
    for path in [
        "/unsafe/draft",
        "/once/stream",
        "/safe/draft",
        "/stream/draft",
    ] {
        let fleet = Fleet::start(2, 8).await;

        for number in 0..8 {
            fleet
                .send(number, path, &format!("{path}-{number}"), POISON)
                .await;
            tokio::time::sleep(NEWS).await;
        }

        assert!(fleet.ended() <= ENDS_ALLOWED, "{path}: {}", fleet.ended());
        assert_eq!(
            fleet.send(0, path, "another", "a draft").await.status,
            200,
            "{path}"
        );
    }
}

// The first lines that settled the case: the digest is the same for each of its attempts.
#[tokio::test]
async fn the_log_tells_that_a_request_has_come_again() {
    let fleet = Fleet::start(1, 3).await;

    fleet.send(0, "/unsafe/draft", "first", POISON).await;
    fleet.send(0, "/unsafe/draft", "second", POISON).await;

    let digest_of = |attempt: &str| {
        let output = fleet.entries[0].daemon.output();
        let mut lines = output.lines().filter(|line| line.contains(attempt));
        let line = lines.find(|line| line.contains("answer-lost"))?.to_owned();
        let (_, rest) = line.split_once("\"digest\":\"")?;
        Some(rest[..64].to_owned())
    };
    until(async || digest_of("second").is_some()).await;
    assert_eq!(digest_of("first"), digest_of("second"));
}
