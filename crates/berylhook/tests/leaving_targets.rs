//! Entries whose targets leave while the entries' view of the store is impaired.
//!
//! Both targets are of one service. `staying` keeps its entry in the store, `leaving` does not.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use berylhook_test_support::calls::{CallResult, Caller};
use berylhook_test_support::{Fault, KeyValueStandIn, Link, Outage, PlatformTarget};

use crate::common::entry::{
    API_KEY, Entry, configuration, route, start_entry_with, until, until_ready,
};

/// Requests sent to see which targets get them.
const REQUESTS: usize = 8;

/// Longer than the pause between two watches, after which the next one is pending.
const WATCH_RESUMED_TIME: Duration = Duration::from_millis(700);

/// A silence of the store in which entries of the target list can lapse.
const LAPSE_TIME: Duration = Duration::from_secs(3);

const EVACUATION_SETTINGS: &str = "[evacuation]\nevacuate_ms = 5000\n";

/// The end of the log line that tells that the list of targets can be read again.
const TARGETS_READABLE_LINE: &str = r#""topic":"targets"},"text":"the store responds again""#;

#[derive(Clone, Copy, Debug)]
enum Departure {
    /// The target announces in its entry that it leaves.
    Announced,
    /// The target's entry is removed.
    Unannounced,
}

struct Fixture {
    store: KeyValueStandIn,
    staying: PlatformTarget,
    leaving: PlatformTarget,
}

impl Fixture {
    async fn start() -> Self {
        let store = KeyValueStandIn::start().await;
        store.put_raw("op/config", &configuration(1, &[safe_route("safe")]));
        let staying = PlatformTarget::start("i-staying").await;
        let leaving = PlatformTarget::start("i-leaving").await;
        staying.register(&store, "push", "ready");
        leaving.register(&store, "push", "ready");
        Self {
            store,
            staying,
            leaving,
        }
    }

    /// Starts an entry that reaches the store through a link and uses both targets.
    async fn start_linked_entry(&self, seeds: &[SocketAddr]) -> (Entry, Link) {
        let link = Link::start(self.store.address()).await;
        let entry = start_entry_with(link.address, seeds, EVACUATION_SETTINGS);
        until_ready(&entry).await;
        self.until_both_run(&entry).await;
        (entry, link)
    }

    async fn until_both_run(&self, entry: &Entry) {
        let before = (self.staying.runs().len(), self.leaving.runs().len());
        until(async || {
            send(entry, "/safe/").await;
            self.staying.runs().len() > before.0 && self.leaving.runs().len() > before.1
        })
        .await;
    }

    fn depart(&self, departure: Departure) {
        match departure {
            Departure::Announced => self.leaving.register(&self.store, "push", "draining"),
            Departure::Unannounced => self.leaving.remove(&self.store),
        }
    }

    /// How many of some requests through the entry run at the leaving target.
    async fn runs_at_leaving(&self, entry: &Entry) -> usize {
        let before = self.leaving.runs().len();
        for _ in 0..REQUESTS {
            send(entry, "/safe/").await;
        }
        self.leaving.runs().len() - before
    }

    async fn until_unused(&self, entry: &Entry) {
        until(async || self.runs_at_leaving(entry).await == 0).await;
    }
}

fn safe_route(name: &str) -> serde_json::Value {
    route(name, "safe", 3, false)
}

async fn send(entry: &Entry, path: &str) -> CallResult {
    let headers = [
        ("host", "desk.example"),
        ("berylhook-attempt-id", "request"),
        ("berylhook-deadline-ms", "3000"),
    ];
    let caller = Caller::new(API_KEY);
    caller
        .post(entry.caller_address, path, "hello", &headers)
        .await
}

/// Lets the watches of an entry return and begin again, and then carry nothing more.
async fn mute_watches(fixture: &Fixture, links: &[&Link]) {
    fixture.store.put_raw("servers/other", b"{}");
    tokio::time::sleep(WATCH_RESUMED_TIME).await;
    for link in links {
        link.set_fault(Fault::FreezeOpen);
    }
}

async fn until_logged(entry: &Entry, text: &str) {
    until(async || entry.daemon.output().contains(text)).await;
}

// Guards against requests to a target that left while the entry's open connections to the store
// carried nothing more, and no peer could tell it.
#[tokio::test]
async fn an_entry_without_peers_notices_mute_watches() {
    for departure in [Departure::Announced, Departure::Unannounced] {
        let fixture = Fixture::start().await;
        let (entry, link) = fixture.start_linked_entry(&[]).await;

        mute_watches(&fixture, &[&link]).await;
        fixture.depart(departure);

        fixture.until_unused(&entry).await;
    }
}

// Guards against requests to a target that left while the watches of all entries were mute, so that
// no peer knew of it either.
#[tokio::test]
async fn entries_whose_watches_are_all_mute_notice_that_a_target_leaves() {
    let fixture = Fixture::start().await;
    let (first, first_link) = fixture.start_linked_entry(&[]).await;
    let seeds = [first.peer_address];
    let (second, second_link) = fixture.start_linked_entry(&seeds).await;
    let (third, third_link) = fixture.start_linked_entry(&seeds).await;

    mute_watches(&fixture, &[&first_link, &second_link, &third_link]).await;
    fixture.depart(Departure::Unannounced);

    for entry in [&first, &second, &third] {
        fixture.until_unused(entry).await;
    }
}

// Guards against a configuration and an evacuation that are not applied because their watch is mute.
#[tokio::test]
async fn an_entry_with_mute_watches_learns_what_the_operator_writes() {
    let fixture = Fixture::start().await;
    let (entry, link) = fixture.start_linked_entry(&[]).await;

    mute_watches(&fixture, &[&link]).await;
    let routes = [safe_route("safe"), safe_route("new")];
    fixture
        .store
        .put_raw("op/config", &configuration(2, &routes));
    until(async || send(&entry, "/new/").await.status == 200).await;
    mute_watches(&fixture, &[&link]).await;
    fixture.store.put_raw("op/evacuate/here", b"{}");

    until(async || send(&entry, "/safe/").await.status == 503).await;
}

// Guards against requests to a target that was removed after the store had failed for this entry
// alone: its entry did not lapse, so the target has left.
#[tokio::test]
async fn a_removal_after_the_entrys_own_outage_takes_effect_at_once() {
    let fixture = Fixture::start().await;
    let (peer, _peer_link) = fixture.start_linked_entry(&[]).await;
    let (entry, link) = fixture.start_linked_entry(&[peer.peer_address]).await;

    link.set_fault(Fault::Cut);
    until_logged(&entry, "the store does not respond").await;
    tokio::time::sleep(LAPSE_TIME).await;
    link.set_fault(Fault::None);
    until_logged(&entry, TARGETS_READABLE_LINE).await;
    fixture.depart(Departure::Unannounced);
    until_logged(&entry, "Removed").await;
    let runs = fixture.runs_at_leaving(&entry).await;

    assert_eq!(runs, 0);
}

// Guards against an empty list after an outage in which the store was silent, which ends no watch:
// the entries of the targets have lapsed although the targets are alive.
#[tokio::test]
async fn targets_whose_entries_lapsed_in_a_silence_of_the_store_stay_in_use() {
    let fixture = Fixture::start().await;
    let (entry, _link) = fixture.start_linked_entry(&[]).await;

    fixture.store.set_outage(Outage::Silent);
    tokio::time::sleep(LAPSE_TIME).await;
    fixture.staying.remove(&fixture.store);
    fixture.leaving.remove(&fixture.store);
    fixture.store.set_outage(Outage::None);
    until_logged(&entry, "Removed").await;
    let response = send(&entry, "/safe/").await;

    assert_eq!(response.status, 200);
}

// Guards against requests to a target that announced in a response that it leaves, and is out of the
// list for a moment afterwards.
#[tokio::test]
async fn a_target_that_announced_its_leaving_stays_out_of_use_when_it_is_listed_again() {
    let fixture = Fixture::start().await;
    let (entry, _link) = fixture.start_linked_entry(&[]).await;

    fixture.leaving.announce_leaving();
    until_announced(&fixture, &entry).await;
    fixture.leaving.remove(&fixture.store);
    until_logged(&entry, "Removed").await;
    fixture.leaving.register(&fixture.store, "push", "ready");
    until_logged(&entry, "Set(").await;
    let runs = fixture.runs_at_leaving(&entry).await;

    assert_eq!(runs, 0);
}

/// Sends requests until the leaving target has announced that it leaves.
async fn until_announced(fixture: &Fixture, entry: &Entry) {
    until(async || {
        send(entry, "/safe/").await;
        let output = entry.daemon.output();
        output.contains("announced that it is leaving")
    })
    .await;
    assert_eq!(fixture.runs_at_leaving(entry).await, 0);
}
