//! What entries ask their peers.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use berylhook_test_support::{KeyValueStandIn, Outage, PeerStandIn};

use crate::common::entry::{configuration, route, start_entry, until, until_ready};

const PEERS: usize = 8;
const REPLY_DELAY: Duration = Duration::from_millis(500);

// Guards against an entry that goes on asking one peer after the other, for as long as they all take
// to reply, although the store responds again.
#[tokio::test]
async fn an_entry_stops_asking_its_peers_when_the_store_responds_again() {
    let store = KeyValueStandIn::start().await;
    store.put_raw(
        "op/config",
        &configuration(1, &[route("safe", "safe", 3, false)]),
    );
    let mut peers = Vec::new();
    for _ in 0..PEERS {
        peers.push(PeerStandIn::start(REPLY_DELAY).await);
    }
    let seeds: Vec<SocketAddr> = peers.iter().map(PeerStandIn::address).collect();
    let entry = start_entry(&store, &seeds);
    until_ready(&entry).await;
    let queries = || -> usize { peers.iter().map(PeerStandIn::waiting_queries).sum() };

    store.set_outage(Outage::Refusing);
    until(async || queries() > 0).await;
    store.set_outage(Outage::None);
    until(async || {
        let output = entry.daemon.output();
        output.matches("the store responds again").count() >= 4
    })
    .await;
    let at_return = queries();
    tokio::time::sleep(REPLY_DELAY * 3).await;

    assert!(queries() <= at_return + 1, "{at_return} and {}", queries());
}
