//! Tracks the newest era of the store. The era counts how often the store was restored from an
//! older copy.
//!
//! A restored store reports its new era in its responses. A watch that is pending at that time
//! has no response yet, and might keep waiting behind a revision that the store has since
//! reassigned. So whichever task learns of a new era first, from the store or from a peer,
//! notifies all tasks that watch the store.

use berylhook_platform::store::EraObserver;
use tokio::sync::watch;

/// The newest known era of the store; `None` before the first.
pub(crate) struct EraTracker(watch::Sender<Option<u64>>);

impl EraTracker {
    /// Starts without a known era.
    pub(crate) fn new() -> Self {
        Self(watch::Sender::new(None))
    }

    /// Waits until an era later than `era` is known.
    pub(crate) async fn wait_for_later(&self, era: u64) {
        let mut eras = self.0.subscribe();
        let is_later = eras.wait_for(|known| known.is_some_and(|known| known > era));
        if is_later.await.is_err() {
            // The sender lives as long as the process.
            std::future::pending::<()>().await;
        }
    }

    /// The newest known era; 0 before the first.
    pub(crate) fn newest(&self) -> u64 {
        self.0.borrow().unwrap_or_default()
    }
}

impl EraObserver for EraTracker {
    fn on_era(&self, era: u64) {
        self.0.send_if_modified(|known| {
            let is_newer = known.is_none_or(|known| era > known);
            if is_newer {
                let previous = *known;
                log::info!(era, former:? = previous; "the store has a newer era");
                *known = Some(era);
            }
            is_newer
        });
    }
}
