//! Whether a process that has just started knows what is held back.
//!
//! One that knows nothing would send on what all others hold back. Only the store knows all:
//! peers tell facts, which fade, and no holds. A process that follows the store waits for what
//! it reads there. Once a read has failed, the word of a peer that knows suffices, and after a
//! while nobody's.

/// Time for a peer's word after the store has failed. A request that ends one more target
/// costs its neighbours more than this wait.
const WITHOUT_WORD_MS: u64 = 3_000;

/// The same from the start of a process that does not follow the store.
const WITHOUT_STORE_MS: u64 = 1_000;

/// What a process has heard since its start.
#[derive(Debug, Default)]
pub(crate) struct Informed {
    follows_store: bool,
    is_store_read: bool,
    has_peer_told: bool,
    store_failed_at_ms: Option<u64>,
}

impl Informed {
    pub(crate) fn follow_store(&mut self) {
        self.follows_store = true;
    }

    pub(crate) fn on_store_read(&mut self) {
        self.is_store_read = true;
    }

    pub(crate) fn on_peer_told(&mut self) {
        self.has_peer_told = true;
    }

    pub(crate) fn on_store_failed(&mut self, since_start_ms: u64) {
        self.store_failed_at_ms.get_or_insert(since_start_ms);
    }

    /// From whom it is known what is held back, so long after the start; `None` while that
    /// may still be told.
    pub(crate) fn source(&self, since_start_ms: u64) -> Option<&'static str> {
        let failed_at_ms = self.store_failed_at_ms;
        let without_word_ms = failed_at_ms.map(|at_ms| since_start_ms.saturating_sub(at_ms));
        match without_word_ms {
            _ if self.is_store_read => Some("store"),
            None if self.follows_store => None,
            _ if self.has_peer_told => Some("peer"),
            None if since_start_ms >= WITHOUT_STORE_MS => Some("nobody"),
            Some(waited_ms) if waited_ms >= WITHOUT_WORD_MS => Some("nobody"),
            None | Some(_) => None,
        }
    }
}
