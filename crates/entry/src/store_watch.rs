//! Watches the store: one long-poll watch per topic, for the lifetime of the process.
//!
//! Each topic has its own watch. A single watch over all keys would wake every entry at each switch
//! of an expert map, and the platform bills every watch that returns.

use std::sync::Arc;
use std::time::Duration;

use berylhook_core::position::Position;
use berylhook_platform::store::{StoreClient, StoreError, Topic, WatchBatch};
use berylhook_quarantine::stored;
use tokio::time::sleep;

use crate::control::{Control, ReceivedState, WatchedTopic};

/// Prefix of the keys that elect the groups' leaders.
const LEADER_PREFIX: &str = "berylhook/leader/";

/// Longest wait of one watch; the platform allows 30 s. Dead connections are detected by keepalive
/// probes and by the store's position, not by the end of the wait.
const WATCH_WAIT_MS: u64 = 25_000;

/// Wait of a watch that tests whether the store responds, after a failure or on a new connection.
/// The new connection may be mute as well, so the test must end soon.
const TEST_WATCH_WAIT_MS: u64 = 1;

/// Pause between a watch that returned and the next one. Changes come in bursts and each call is
/// billed; the pause adds little to the seconds that a change may take to arrive.
const WATCH_PAUSE: Duration = Duration::from_millis(100);

/// Pause between watches of the target list. Hundreds of targets register within seconds, and
/// with fifty entries each change is billed fifty times. The first change of a burst is still
/// delivered at once, and a target that is leaving may get requests for another two seconds.
const TARGETS_WATCH_PAUSE: Duration = Duration::from_millis(400);

/// Shortest and longest retry delay after a failed call. All processes share the store and must
/// not retry at the same moment.
const RETRY_MIN_MS: u64 = 100;
const RETRY_MAX_MS: u64 = 600;

fn store_topic(topic: WatchedTopic) -> Topic<'static> {
    match topic {
        WatchedTopic::Configuration => Topic::Configuration,
        WatchedTopic::Targets => Topic::Targets,
        WatchedTopic::Leaders => Topic::OwnKeys(LEADER_PREFIX),
        WatchedTopic::Quarantine => Topic::OwnKeys(stored::PREFIX),
    }
}

fn watch_pause(topic: WatchedTopic) -> Duration {
    match topic {
        WatchedTopic::Targets => TARGETS_WATCH_PAUSE,
        WatchedTopic::Configuration | WatchedTopic::Leaders | WatchedTopic::Quarantine => {
            WATCH_PAUSE
        }
    }
}

/// Whether the store responds to one task's calls, and since when it does not.
struct StoreAvailability {
    topic: WatchedTopic,
    failures: u32,
    failing_since_ms: Option<u64>,
    /// Whether the connection is new because the last one did not deliver changes in time.
    is_reconnected: bool,
}

/// Watches one topic for the lifetime of the process.
pub(crate) async fn watch_store(control: Arc<Control>, topic: WatchedTopic) {
    let mut store = control.open_store();
    let mut availability = StoreAvailability {
        topic,
        failures: 0,
        failing_since_ms: None,
        is_reconnected: false,
    };
    let mut position = None;
    loop {
        let update = match position {
            None => read_topic(&control, &mut store, topic, &mut availability).await,
            Some(position) => {
                let wait_ms = availability.watch_wait_ms();
                watch_once(&control, &mut store, topic, position, wait_ms).await
            }
        };
        match update {
            Ok(Update::Read(read)) => {
                let changes = store.read_changes().iter().copied();
                control.store_progress.on_delivered(topic, changes, read);
                position = Some(read);
            }
            Ok(Update::Watched {
                mut batch,
                complete,
            }) => {
                availability.record_success(&control);
                position = Some(batch.position);
                let changes = std::mem::take(&mut batch.changes);
                control.apply_watched(batch);
                control
                    .store_progress
                    .on_delivered(topic, changes, complete);
                sleep(watch_pause(topic)).await;
            }
            Ok(Update::Overdue) => {
                log::warn!(topic = topic.name(); "changes of the store are overdue; watching on over a new connection");
                control.count_store_call("watch", "overdue");
                availability.is_reconnected = true;
                store = control.open_store();
            }
            Err(StoreError::HistoryGone) => {
                log::info!(topic = topic.name(); "the store no longer has the history since the last watch; reading all keys");
                position = None;
            }
            Err(StoreError::Restored) => {
                log::warn!(topic = topic.name(); "the store was restored from an older copy; reading all keys");
                position = None;
            }
            Err(error) => {
                availability.record_failure(&control, &error);
                sleep(availability.retry_delay()).await;
                store = control.reopen_store(store);
            }
        }
    }
}

enum Update {
    /// The keys were read; the next watch starts at this position.
    Read(Position),
    /// A watch has returned; the topic is complete up to this position.
    Watched {
        batch: WatchBatch,
        complete: Position,
    },
    /// The watch was given up because its connection seems to carry nothing more.
    Overdue,
}

async fn read_topic(
    control: &Control,
    store: &mut StoreClient,
    topic: WatchedTopic,
    availability: &mut StoreAvailability,
) -> Result<Update, StoreError> {
    let position = match topic {
        WatchedTopic::Configuration => {
            let read = store.operator_keys().await;
            count_call(control, "read", &read);
            let keys = read?;
            availability.record_success(control);
            let position = keys.evacuated.position;
            control.merge(
                ReceivedState {
                    document: keys.configuration,
                    evacuated: Some(keys.evacuated),
                    ..ReceivedState::default()
                },
                "store",
            );
            position
        }
        WatchedTopic::Targets => {
            let read = store.listing().await;
            count_call(control, "read", &read);
            let listing = read?;
            availability.record_success(control);
            let position = listing.position;
            control.merge(
                ReceivedState {
                    listing: Some(listing),
                    ..ReceivedState::default()
                },
                "store",
            );
            position
        }
        WatchedTopic::Leaders => {
            let read = store.watch_start_position(LEADER_PREFIX).await;
            count_call(control, "read", &read);
            let position = read?;
            availability.record_success(control);
            control.leadership_changes.send_modify(|count| *count += 1);
            position
        }
        WatchedTopic::Quarantine => {
            let read = store.items(stored::PREFIX).await;
            count_call(control, "read", &read);
            let (items, position) = read?;
            availability.record_success(control);
            control.apply_quarantine(&items, position);
            position
        }
    };
    Ok(Update::Read(position))
}

async fn watch_once(
    control: &Control,
    store: &mut StoreClient,
    topic: WatchedTopic,
    position: Position,
    wait_ms: u64,
) -> Result<Update, StoreError> {
    let started_ms = control.now_ms();
    let known = control.store_progress.newest();
    let watched = tokio::select! {
        watched = store.watch(store_topic(topic), position, wait_ms) => watched,
        () = control.wait_for_restore_since(position) => Err(StoreError::Restored),
        () = control.store_progress.wait_until_overdue(topic), if wait_ms > TEST_WATCH_WAIT_MS => {
            return Ok(Update::Overdue);
        }
    };
    count_call(control, "watch", &watched);
    let batch = watched?;
    let events = batch.events.len();
    let Position { era, revision } = batch.position;
    let pending_ms = control.now_ms().since(started_ms);
    log::info!(topic = topic.name(), events, era, revision, pending_ms; "a watch has returned");
    // The store had reached the known position before the watch was issued.
    let complete = if known.era == era {
        batch.position.max(known)
    } else {
        batch.position
    };
    Ok(Update::Watched { batch, complete })
}

fn count_call<T>(control: &Control, call: &'static str, result: &Result<T, StoreError>) {
    let result = match result {
        Ok(_) => "ok",
        Err(StoreError::HistoryGone) => "history-gone",
        Err(StoreError::Restored) => "restored",
        Err(_) => "failed",
    };
    control.count_store_call(call, result);
}

impl StoreAvailability {
    fn record_success(&mut self, control: &Control) {
        control.on_store_answer();
        control.set_topic_reachable(self.topic, true);
        self.is_reconnected = false;
        let Some(failing_since_ms) = self.failing_since_ms.take() else {
            return;
        };
        let outage_ms = control.now_ms().0.saturating_sub(failing_since_ms);
        let topic = self.topic.name();
        log::info!(topic, away_ms = outage_ms, failures = self.failures; "the store responds again");
        self.failures = 0;
    }

    fn record_failure(&mut self, control: &Control, error: &StoreError) {
        if self.failures == 0 {
            let topic = self.topic.name();
            log::warn!(topic, reason:% = error; "the store does not respond");
        }
        self.failures = self.failures.saturating_add(1);
        let now_ms = control.now_ms().0;
        self.failing_since_ms.get_or_insert(now_ms);
        control.set_topic_reachable(self.topic, false);
    }

    /// The wait of the next watch.
    ///
    /// The first watch after a failure, or on a new connection, returns at once. A long one would
    /// return only at the next change, and that change would be taken for one that happened during
    /// the outage.
    fn watch_wait_ms(&self) -> u64 {
        if self.failures > 0 || self.is_reconnected {
            TEST_WATCH_WAIT_MS
        } else {
            WATCH_WAIT_MS
        }
    }

    fn retry_delay(&self) -> Duration {
        let doubled_ms = RETRY_MIN_MS << self.failures.min(8);
        let max_ms = doubled_ms.min(RETRY_MAX_MS);
        Duration::from_millis(max_ms / 2 + rand::random::<u64>() % (max_ms / 2))
    }
}
