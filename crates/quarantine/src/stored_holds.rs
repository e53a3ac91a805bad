//! What the store has of the holds of this process.
//!
//! A restore from an older copy takes holds back: some are missing then, others are there
//! again that had ended. Both are kept in mind here until the store has them right.

use berylhook_core::digest::RequestDigest;
use berylhook_core::position::Position;
use berylhook_core::quarantine::Hold;
use indexmap::{IndexMap, IndexSet};

/// Ended holds that are remembered. A copy of the store is seconds old, and holds end
/// minutes apart.
const MOST_ENDED: usize = 64;

/// Holds in the store, as this process knows them.
#[derive(Debug, Default)]
pub(crate) struct KeptHolds {
    /// The store's era; `None` before it was first read.
    era: Option<u64>,
    /// Where each hold was written last.
    written: IndexMap<RequestDigest, Position>,
    /// Holds that the store has lost.
    lost: IndexSet<RequestDigest>,
    /// Holds that have ended, as they were.
    ended: IndexMap<RequestDigest, Hold>,
}

impl KeptHolds {
    /// The store's era; 0 before it was first read.
    pub(crate) fn era(&self) -> u64 {
        self.era.unwrap_or_default()
    }

    /// The store was read in that era; returns whether it was restored since the last time.
    pub(crate) fn on_era(&mut self, era: u64) -> bool {
        let is_restored = self.era.is_some_and(|known| era > known);
        self.era = self.era.max(Some(era));
        is_restored
    }

    /// Where the request's hold was written last; `None` if the store has none.
    pub(crate) fn written(&self, digest: RequestDigest) -> Option<Position> {
        self.written.get(&digest).copied()
    }

    /// The requests whose holds the store has.
    pub(crate) fn digests(&self) -> Vec<RequestDigest> {
        self.written.keys().copied().collect()
    }

    /// The requests whose holds the store has lost.
    pub(crate) fn lost(&self) -> Vec<RequestDigest> {
        self.lost.iter().copied().collect()
    }

    /// Takes up what the store has at that position, in place of the hold `known` before;
    /// returns whether it is news.
    pub(crate) fn learn(
        &mut self,
        digest: RequestDigest,
        hold: Option<&Hold>,
        known: Option<Hold>,
        written: Position,
    ) -> bool {
        // A watch may tell late what is known already.
        if self.written(digest).is_some_and(|known| written < known) {
            return false;
        }
        self.lost.swap_remove(&digest);
        match (hold, known) {
            (Some(_), _) => {
                self.written.insert(digest, written);
            }
            (None, known) => {
                self.written.swap_remove(&digest);
                self.note_ended(digest, known);
            }
        }
        true
    }

    fn note_ended(&mut self, digest: RequestDigest, hold: Option<Hold>) {
        let Some(hold) = hold else {
            return;
        };
        if self.ended.len() >= MOST_ENDED {
            self.ended.shift_remove_index(0);
        }
        self.ended.insert(digest, hold);
    }

    /// The store has lost the request's hold, or has an older one, written there.
    pub(crate) fn lose(&mut self, digest: RequestDigest, copy: Option<Position>) {
        self.lost.insert(digest);
        match copy {
            Some(written) => self.written.insert(digest, written),
            None => self.written.swap_remove(&digest),
        };
    }

    /// Whether that hold, or a later one of the same request, has ended.
    pub(crate) fn has_ended(&self, digest: RequestDigest, hold: &Hold) -> bool {
        let ended = self.ended.get(&digest);
        ended.is_some_and(|ended| ended == hold || ended.is_newer_than(hold))
    }
}
