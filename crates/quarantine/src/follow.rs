//! Follows what the store keeps, for a process that follows nothing else there.

use std::sync::Arc;
use std::time::Duration;

use berylhook_platform::store::{Store, StoreError, StoreEvent, Topic};
use tokio::time::sleep;

use crate::stored::PREFIX;
use crate::{ClusterAccess, SuspectTracker};

/// Longest wait of one watch. Each counts as a call, and news comes at once all the same.
const WATCH_WAIT_MS: u64 = 20_000;

/// Pause after a call that failed; outages last for seconds, and peers tell meanwhile.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Takes over what the store keeps, for as long as the process lives.
pub async fn follow_store(suspects: Arc<SuspectTracker>, surroundings: Arc<dyn ClusterAccess>) {
    let mut is_away = false;
    loop {
        let mut store = surroundings.store();
        let Err(error) = follow_until_lost(&suspects, &mut store, &mut is_away).await;
        suspects.on_store_failed();
        if !is_away {
            log::warn!(reason:% = error; "what is held back cannot be read in the store");
        }
        is_away = true;
        sleep(RETRY_PAUSE).await;
    }
}

enum Never {}

async fn follow_until_lost(
    suspects: &SuspectTracker,
    store: &mut Store,
    is_away: &mut bool,
) -> Result<Never, StoreError> {
    let (items, mut position) = store.own_items(PREFIX).await?;
    suspects.apply_items(&items, position);
    if std::mem::take(is_away) {
        log::info!("what is held back can be read in the store again");
    }
    loop {
        let topic = Topic::Own(PREFIX);
        let watched = store.watch(topic, position, WATCH_WAIT_MS).await?;
        for revised in watched.events {
            if let StoreEvent::Own { key, value } = revised.event {
                suspects.apply_item(&key, value.as_deref(), revised.position);
            }
        }
        position = watched.position;
    }
}
