//! The newest era of the store that this process has heard of.
//!
//! A store that was restored from an older copy says so in its answers. A watch that waits
//! there has none, and may wait on behind a revision that the store has given out again; so
//! whoever hears of a new era first, from the store or from a peer, tells all that follow
//! the store.

use berylhook_platform::store::EraObserver;
use tokio::sync::watch;

/// The newest era heard of.
pub(crate) struct Eras(watch::Sender<Option<u64>>);

impl Eras {
    /// None was heard of yet.
    pub(crate) fn new() -> Self {
        Self(watch::Sender::new(None))
    }

    /// Waits until an era later than this one is heard of.
    pub(crate) async fn later_than(&self, era: u64) {
        let mut eras = self.0.subscribe();
        let is_later = eras.wait_for(|known| known.is_some_and(|known| known > era));
        if is_later.await.is_err() {
            // The sender lives as long as the process.
            std::future::pending::<()>().await;
        }
    }

    /// The newest era heard of; 0 before the first.
    pub(crate) fn newest(&self) -> u64 {
        self.0.borrow().unwrap_or_default()
    }
}

impl EraObserver for Eras {
    fn on_era(&self, era: u64) {
        self.0.send_if_modified(|known| {
            let is_news = known.is_none_or(|known| era > known);
            if is_news {
                let former = *known;
                log::info!(era, former:? = former; "a newer era of the store");
                *known = Some(era);
            }
            is_news
        });
    }
}
