//! Notices watches of the store whose connections carry nothing more.
//!
//! TCP keeps such a connection open, and a watch that has nothing to deliver looks the same. So the
//! store's position is read regularly on another connection, by this entry or by a peer that tells
//! it, and compared with what the watches have delivered. The task of a topic that lacks changes for
//! too long watches on over a new connection.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use berylhook_core::position::Position;
use berylhook_core::time::MonoMs;
use berylhook_core::watch_progress::WatchProgress;
use tokio::sync::{Notify, watch};
use tokio::time::sleep;

use crate::control::WatchedTopic;
use crate::queue::Clock;

/// Time that a watch has to deliver a change of which the store's position tells: longer than the
/// pause between two watches.
const DELIVERY_TIMEOUT_MS: u64 = 450;

/// Time until the watches are tested again, if changes are still missing then.
const RETEST_INTERVAL: Duration = Duration::from_secs(1);

/// The progress of all watches, and the store's position.
pub(crate) struct StoreProgress {
    clock: Clock,
    progress: Mutex<WatchProgress<WatchedTopic>>,
    /// When this entry last learnt the store's position.
    position_known_ms: watch::Sender<MonoMs>,
    /// The position that is overdue.
    overdue: watch::Sender<Position>,
    /// Notified when changes are awaited.
    is_awaiting: Notify,
}

impl StoreProgress {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            progress: Mutex::new(WatchProgress::new(WatchedTopic::ALL)),
            position_known_ms: watch::Sender::new(clock.now_ms()),
            overdue: watch::Sender::new(Position::default()),
            is_awaiting: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, WatchProgress<WatchedTopic>> {
        self.progress.lock().expect("no holder panics")
    }

    /// Records the store's position that this entry has read or a peer has told.
    pub(crate) fn on_store_position(&self, position: Position) {
        let now_ms = self.clock.now_ms();
        self.position_known_ms.send_replace(now_ms);
        if self.lock().on_store_position(position, now_ms) {
            self.is_awaiting.notify_one();
        }
    }

    /// Records the changes of a topic that were applied.
    pub(crate) fn on_delivered(
        &self,
        topic: WatchedTopic,
        changes: impl IntoIterator<Item = Position>,
        complete: Position,
    ) {
        self.lock().on_delivered(topic, changes, complete);
    }

    /// The newest known position of the store.
    pub(crate) fn newest(&self) -> Position {
        self.lock().newest()
    }

    /// Waits until the store's position was not learnt for `age`.
    pub(crate) async fn wait_until_older_than(&self, age: impl Fn() -> Duration) {
        let mut known = self.position_known_ms.subscribe();
        loop {
            let known_ms = *known.borrow_and_update();
            let elapsed = Duration::from_millis(self.clock.now_ms().since(known_ms));
            let Some(left) = age().checked_sub(elapsed).filter(|left| !left.is_zero()) else {
                return;
            };
            tokio::select! {
                () = sleep(left) => {}
                // The sender lives as long as `self`.
                _ = known.changed() => {}
            }
        }
    }

    /// Waits until changes of the topic may be overdue.
    pub(crate) async fn wait_until_overdue(&self, topic: WatchedTopic) {
        let mut overdue = self.overdue.subscribe();
        let is_incomplete = |position: &Position| self.lock().is_incomplete(topic, *position);
        if overdue.wait_for(is_incomplete).await.is_err() {
            // The sender lives as long as `self`.
            std::future::pending::<()>().await;
        }
    }
}

/// Reports changes that no watch delivers in time as overdue, for the lifetime of the process.
pub(crate) async fn detect_overdue_changes(store_progress: Arc<StoreProgress>) {
    loop {
        store_progress.is_awaiting.notified().await;
        loop {
            let Some(awaited) = store_progress.lock().awaited() else {
                break;
            };
            let elapsed_ms = store_progress.clock.now_ms().since(awaited.since_ms);
            if elapsed_ms < DELIVERY_TIMEOUT_MS {
                sleep(Duration::from_millis(DELIVERY_TIMEOUT_MS - elapsed_ms)).await;
                continue;
            }
            let newest = store_progress.newest();
            store_progress.overdue.send_replace(newest);
            sleep(RETEST_INTERVAL).await;
        }
    }
}
