//! Whether this process knows what its peers know, and whether it has loaded the quarantine state.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use super::{SuspectTracker, lock_mutex};
use crate::initial_sync::InitialSync;
use crate::replicator::Task;

impl SuspectTracker {
    /// A hash over the facts, to be compared with that of a peer.
    #[must_use]
    pub fn summary(&self) -> u64 {
        self.lock().quarantine.summary()
    }

    /// The summary for a peer; `None` while this process may not have received all facts yet.
    #[must_use]
    pub fn summary_for_peers(&self) -> Option<u64> {
        (!self.is_uninformed()).then(|| self.summary())
    }

    /// Compares a peer's summary with that of this process, and exchanges all facts with the peer
    /// if they differ.
    pub fn on_peer_summary(&self, address: SocketAddr, summary: u64) {
        if summary == self.summary() {
            self.on_peer_report();
        } else {
            self.send_task(Task::ExchangeFacts(address));
        }
    }

    /// Declares that the process follows the store, so that it waits for the first read before it
    /// serves.
    #[must_use]
    pub fn with_store_follower(self) -> Self {
        lock_mutex(&self.initial_sync).follow_store();
        self
    }

    /// Records that all items of the store were read.
    pub(crate) fn on_store_read(&self) {
        self.update_initial_sync(InitialSync::on_store_read);
    }

    /// Records that a peer that has loaded the quarantine state has sent all its facts.
    pub(crate) fn on_peer_report(&self) {
        self.update_initial_sync(InitialSync::on_peer_report);
    }

    /// Records that the store cannot be read at present.
    pub fn on_store_failed(&self) {
        let uptime_ms = self.uptime_ms();
        self.update_initial_sync(|initial_sync| initial_sync.on_store_failed(uptime_ms));
    }

    fn update_initial_sync(&self, update: impl FnOnce(&mut InitialSync)) {
        if self.is_synced.load(Ordering::Relaxed) {
            return;
        }
        update(&mut lock_mutex(&self.initial_sync));
        if !self.is_uninformed() {
            self.changes.send_modify(|count| *count += 1);
        }
    }

    /// Whether this process has not loaded the quarantine state yet. It should receive no requests
    /// until then.
    #[must_use]
    pub fn is_uninformed(&self) -> bool {
        if self.is_synced.load(Ordering::Relaxed) {
            return false;
        }
        let Some(source) = lock_mutex(&self.initial_sync).source(self.uptime_ms()) else {
            return true;
        };
        if !self.is_synced.swap(true, Ordering::Relaxed) {
            log::info!(source; "quarantine state is known");
        }
        false
    }
}
