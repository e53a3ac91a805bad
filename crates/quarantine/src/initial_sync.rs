//! Whether a process that has just started has loaded the quarantine state.
//!
//! A process without this state would send requests that all other processes reject. Only the
//! store has the complete state: peers send facts, which expire, and no holds. A process that follows the
//! store waits until it has read the store. If a read has failed, facts from a peer that has
//! loaded the state itself suffice, and after a while the process serves without either.

/// Time to wait for facts from a peer after the store has failed. A request that stops another
/// target costs the other requests there more than this delay.
const PEER_WAIT_AFTER_STORE_FAILURE_MS: u64 = 3_000;

/// The same, measured from the start of a process that does not follow the store.
const PEER_WAIT_MS: u64 = 1_000;

/// What a process has received since its start.
#[derive(Debug, Default)]
pub(crate) struct InitialSync {
    follows_store: bool,
    is_store_read: bool,
    has_peer_reported: bool,
    store_failed_at_ms: Option<u64>,
}

impl InitialSync {
    pub(crate) fn follow_store(&mut self) {
        self.follows_store = true;
    }

    pub(crate) fn on_store_read(&mut self) {
        self.is_store_read = true;
    }

    pub(crate) fn on_peer_report(&mut self) {
        self.has_peer_reported = true;
    }

    pub(crate) fn on_store_failed(&mut self, uptime_ms: u64) {
        self.store_failed_at_ms.get_or_insert(uptime_ms);
    }

    /// The source of the quarantine state of this process, at the given time since its start; `None`
    /// while the process still waits for one.
    pub(crate) fn source(&self, uptime_ms: u64) -> Option<&'static str> {
        let store_failed_at_ms = self.store_failed_at_ms;
        let since_failure_ms = store_failed_at_ms.map(|at_ms| uptime_ms.saturating_sub(at_ms));
        match since_failure_ms {
            _ if self.is_store_read => Some("store"),
            None if self.follows_store => None,
            _ if self.has_peer_reported => Some("peer"),
            None if uptime_ms >= PEER_WAIT_MS => Some("nobody"),
            Some(waited_ms) if waited_ms >= PEER_WAIT_AFTER_STORE_FAILURE_MS => Some("nobody"),
            None | Some(_) => None,
        }
    }
}
