//! Follows the quarantine's items in the store, for a process that does not follow the store
//! otherwise.

use std::sync::Arc;
use std::time::Duration;

use berylhook_platform::store::{StoreClient, StoreError, StoreEvent, Topic};
use tokio::time::sleep;

use crate::stored::PREFIX;
use crate::{ClusterAccess, SuspectTracker};

/// Maximum duration of one watch call. Each call counts as store traffic, and a longer duration
/// does not delay events.
const WATCH_WAIT_MS: u64 = 20_000;

/// Delay after a failed call. Outages last for seconds, and peers send facts in the meantime.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Applies the quarantine's items of the store until the process exits.
pub async fn follow_store(tracker: Arc<SuspectTracker>, cluster: Arc<dyn ClusterAccess>) {
    let mut is_unavailable = false;
    loop {
        let mut store = cluster.store();
        let Err(error) = follow_until_error(&tracker, &mut store, &mut is_unavailable).await;
        tracker.on_store_failed();
        if !is_unavailable {
            log::warn!(reason:% = error; "cannot read the quarantine items in the store");
        }
        is_unavailable = true;
        sleep(RETRY_DELAY).await;
    }
}

enum Never {}

async fn follow_until_error(
    tracker: &SuspectTracker,
    store: &mut StoreClient,
    is_unavailable: &mut bool,
) -> Result<Never, StoreError> {
    let (items, mut position) = store.items(PREFIX).await?;
    tracker.apply_items(&items, position);
    if std::mem::take(is_unavailable) {
        log::info!("the quarantine items in the store can be read again");
    }
    loop {
        let topic = Topic::OwnKeys(PREFIX);
        let response = store.watch(topic, position, WATCH_WAIT_MS).await?;
        for revised in response.events {
            if let StoreEvent::OwnKey { key, value } = revised.event {
                tracker.apply_item(&key, value.as_deref(), revised.position);
            }
        }
        position = response.position;
    }
}
