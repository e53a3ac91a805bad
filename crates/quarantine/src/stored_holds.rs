//! The holds in the store, as this process knows them.
//!
//! After a restore of the store from an older copy, some holds are missing and some removed holds
//! are present again. Both are tracked here until the store is corrected.

use berylhook_core::digest::RequestDigest;
use berylhook_core::position::Position;
use berylhook_core::quarantine::Hold;
use indexmap::{IndexMap, IndexSet};

/// Maximum number of removed holds that are remembered. A copy of the store is seconds old, and
/// holds are removed minutes apart.
const MAX_REMOVED: usize = 64;

/// The holds in the store, as this process knows them.
#[derive(Debug, Default)]
pub(crate) struct StoredHolds {
    /// The store's era, which increases with each restore from a copy; `None` before the first read.
    era: Option<u64>,
    /// The position at which each hold was last written.
    positions: IndexMap<RequestDigest, Position>,
    /// Requests whose hold is missing or outdated in the store after a restore.
    missing: IndexSet<RequestDigest>,
    /// Removed holds, with their last value.
    removed: IndexMap<RequestDigest, Hold>,
}

impl StoredHolds {
    /// The store's era; 0 before the first read.
    pub(crate) fn era(&self) -> u64 {
        self.era.unwrap_or_default()
    }

    /// Records that the store was read in this era; returns whether it was restored since the last
    /// read.
    pub(crate) fn on_era(&mut self, era: u64) -> bool {
        let is_restored = self.era.is_some_and(|last| era > last);
        self.era = self.era.max(Some(era));
        is_restored
    }

    /// The position at which the request's hold was last written; `None` if the store has none.
    pub(crate) fn position(&self, digest: RequestDigest) -> Option<Position> {
        self.positions.get(&digest).copied()
    }

    /// The requests whose holds are in the store.
    pub(crate) fn digests(&self) -> Vec<RequestDigest> {
        self.positions.keys().copied().collect()
    }

    /// The requests whose holds are missing or outdated in the store.
    pub(crate) fn missing(&self) -> Vec<RequestDigest> {
        self.missing.iter().copied().collect()
    }

    /// Records the store's hold at this position, which replaces `previous`; returns whether the
    /// position is not older than the one already known.
    pub(crate) fn apply(
        &mut self,
        digest: RequestDigest,
        hold: Option<&Hold>,
        previous: Option<Hold>,
        position: Position,
    ) -> bool {
        // A watch may deliver an item late, after a newer one was read.
        if self.position(digest).is_some_and(|last| position < last) {
            return false;
        }
        self.missing.swap_remove(&digest);
        match (hold, previous) {
            (Some(_), _) => {
                self.positions.insert(digest, position);
            }
            (None, previous) => {
                self.positions.swap_remove(&digest);
                self.remember_removed(digest, previous);
            }
        }
        true
    }

    fn remember_removed(&mut self, digest: RequestDigest, hold: Option<Hold>) {
        let Some(hold) = hold else {
            return;
        };
        if self.removed.len() >= MAX_REMOVED {
            self.removed.shift_remove_index(0);
        }
        self.removed.insert(digest, hold);
    }

    /// Records that the store has no hold of the request, or an outdated one at
    /// `outdated_position`.
    pub(crate) fn mark_missing(
        &mut self,
        digest: RequestDigest,
        outdated_position: Option<Position>,
    ) {
        self.missing.insert(digest);
        match outdated_position {
            Some(position) => self.positions.insert(digest, position),
            None => self.positions.swap_remove(&digest),
        };
    }

    /// Whether this hold, or a later one of the same request, was removed.
    pub(crate) fn was_removed(&self, digest: RequestDigest, hold: &Hold) -> bool {
        let removed = self.removed.get(&digest);
        removed.is_some_and(|removed| removed == hold || removed.is_newer_than(hold))
    }
}
