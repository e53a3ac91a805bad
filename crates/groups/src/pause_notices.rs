//! Notices to all entries that a rank is about to pause its group.

use berylhook_traffic::engine_update::PauseNotice;

/// Sends pause notices to all entries, including the leader's own.
pub trait PauseNotices: Send + Sync {
    /// Sends a notice without waiting for replies. A notice may get lost.
    fn notify(&self, notice: PauseNotice);
}
