//! When an entry says that it is ready.

mod common;

use std::time::Duration;

use berylhook_test_support::calls::Caller;
use berylhook_test_support::{KeyValueStandIn, Outage, POISON_BODY};
use futures_util::future::join_all;
use tokio::net::TcpStream;

use crate::common::entry::{API_KEY, Entry, configuration, start_entry, until, until_ready};
use crate::common::poison::{Fleet, MAX_EXITS, put_on_hold};

/// Entries that start at once: more than there are processors, so that their threads
/// begin in any order.
const ENTRIES: usize = 24;

/// Waits until the entry is ready, without a pause, and opens a connection as a caller.
async fn connect_once_ready(entry: &Entry) -> std::io::Result<TcpStream> {
    let caller = Caller::new(API_KEY);
    while caller
        .get(entry.readiness_address, "/-/readyz")
        .await
        .status
        != 200
    {
        tokio::time::sleep(Duration::from_micros(200)).await;
    }
    TcpStream::connect(entry.caller_address).await
}

// Callers were sent to an entry that did not listen for them yet.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_is_ready_takes_connections_of_callers() {
    let store = KeyValueStandIn::start().await;
    store.put_raw("op/config", &configuration(1, &[]));

    for _ in 0..20 {
        let entries: Vec<Entry> = (0..ENTRIES).map(|_| start_entry(&store, &[])).collect();
        let connections = join_all(entries.iter().map(connect_once_ready)).await;

        let refused = connections
            .iter()
            .filter(|connection| connection.is_err())
            .count();
        assert_eq!(refused, 0, "of {ENTRIES}");
    }
}

/// Longer than any one call to the store may take.
const STORE_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Entries that know each other's addresses have asked each other in this time.
const PEER_EXCHANGE_TIME: Duration = Duration::from_millis(500);

/// A fleet without entries whose store does not tell yet that it keeps a hold.
async fn fleet_with_unread_hold() -> Fleet {
    let mut fleet = Fleet::start(1, 6).await;
    put_on_hold(&fleet).await;
    fleet.entries.clear();
    fleet.store.hold_reads_of("berylhook/quarantine/");
    fleet
}

async fn is_ready(entry: &Entry) -> bool {
    Caller::new(API_KEY)
        .get(entry.readiness_address, "/-/readyz")
        .await
        .status
        == 200
}

async fn until_configured(entry: &Entry) {
    until(async || entry.daemon.output().contains("configuration in force")).await;
}

// A fourth target ended under a request that was held back: an entry that had just started
// served callers before it had read what is held.
#[tokio::test]
async fn an_entry_is_not_ready_before_it_has_read_what_is_held() {
    let mut fleet = fleet_with_unread_hold().await;

    let later = start_entry(&fleet.store, &[]);
    until_configured(&later).await;
    let was_ready = is_ready(&later).await;
    fleet.store.release_reads();
    until_ready(&later).await;
    fleet.entries.push(later);
    let response = fleet.send(0, "/unsafe/draft", "later", POISON_BODY).await;

    assert!(!was_ready);
    assert_eq!((response.status, fleet.exited_count()), (503, MAX_EXITS));
}

// The same for callers that come although the entry is not ready: they are refused, and told
// when to come back.
#[tokio::test]
async fn an_entry_that_has_not_read_what_is_held_refuses_callers() {
    let mut fleet = fleet_with_unread_hold().await;

    let later = start_entry(&fleet.store, &[]);
    until_configured(&later).await;
    fleet.entries.push(later);
    let response = fleet.send(0, "/unsafe/draft", "later", POISON_BODY).await;

    assert_eq!((response.status, fleet.exited_count()), (503, MAX_EXITS));
    assert_eq!(response.retry_after.as_deref(), Some("1.000"));
}

// Two entries that have just started agree on knowing nothing, and took that for knowledge.
#[tokio::test]
async fn two_entries_that_have_read_nothing_do_not_inform_each_other() {
    let mut fleet = fleet_with_unread_hold().await;

    let first = start_entry(&fleet.store, &[]);
    let second = start_entry(&fleet.store, &[first.peer_address]);
    until_configured(&first).await;
    until_configured(&second).await;
    tokio::time::sleep(PEER_EXCHANGE_TIME).await;
    fleet.entries.extend([first, second]);
    let mut statuses = Vec::new();
    for entry in 0..2 {
        let attempt = format!("later-{entry}");
        let response = fleet
            .send(entry, "/unsafe/draft", &attempt, POISON_BODY)
            .await;
        statuses.push(response.status);
    }

    assert_eq!((statuses, fleet.exited_count()), (vec![503; 2], MAX_EXITS));
}

// An entry that starts while the store is away serves on what a peer knows.
#[tokio::test]
async fn an_entry_that_starts_while_the_store_is_away_learns_from_a_peer() {
    for outage in [Outage::Refusing, Outage::Silent] {
        let mut fleet = Fleet::start(1, 6).await;
        put_on_hold(&fleet).await;
        fleet.store.set_outage(outage);

        fleet.start_entry().await;
        let response = fleet.send(1, "/unsafe/draft", "later", POISON_BODY).await;

        let observed = (response.status, fleet.exited_count());
        assert_eq!(observed, (503, MAX_EXITS), "{outage:?}");
    }
}

// Readiness is not lost with the store: an entry that nobody can inform serves in the end.
#[tokio::test]
async fn an_entry_whose_reads_are_not_answered_is_ready_after_a_while() {
    let store = KeyValueStandIn::start().await;
    store.put_raw("op/config", &configuration(1, &[]));
    store.hold_reads_of("berylhook/quarantine/");

    let entry = start_entry(&store, &[]);
    until_configured(&entry).await;
    tokio::time::sleep(STORE_CALL_TIMEOUT).await;

    until_ready(&entry).await;
}
