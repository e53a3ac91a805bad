//! When an entry says that it is ready.

mod common;

use std::time::Duration;

use berylhook_test_support::KeyValueStandIn;
use berylhook_test_support::calls::Caller;
use futures_util::future::join_all;
use tokio::net::TcpStream;

use crate::common::entry::{Entry, KEY, configuration, start_entry};

/// Entries that start at once: more than there are processors, so that their threads
/// begin in any order.
const ENTRIES: usize = 24;

/// Waits until the entry is ready, without a pause, and opens a connection as a caller.
async fn connect_once_ready(entry: &Entry) -> std::io::Result<TcpStream> {
    let caller = Caller::new(KEY);
    while caller.get(entry.ready, "/-/readyz").await.status != 200 {
        tokio::time::sleep(Duration::from_micros(200)).await;
    }
    TcpStream::connect(entry.callers).await
}

// Callers were sent to an entry that did not listen for them yet.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_is_ready_takes_connections_of_callers() {
    let store = KeyValueStandIn::start().await;
    store.put_raw("op/config", &configuration(1, &[]));

    for _ in 0..20 {
        let entries: Vec<Entry> = (0..ENTRIES).map(|_| start_entry(&store, &[])).collect();
        let connected = join_all(entries.iter().map(connect_once_ready)).await;

        let refused = connected.iter().filter(|it| it.is_err()).count();
        assert_eq!(refused, 0, "of {ENTRIES}");
    }
}
