//! Positions in the history of a store that may be restored from a backup.
//!
//! A store numbers its changes with a revision. After a restore it continues from the
//! backup's revision, so it assigns some revisions a second time, to other changes. The
//! store also counts its restores in the *era*. Eras only increase, and within one era
//! revisions only increase. A [`Position`] holds both and orders by era, then revision.
//!
//! Edge cases:
//!
//! - Comparing two positions of different eras shows which is newer, but not whether they
//!   mean the same change, even if their revisions are equal.
//! - A store that reports no era has never been restored: its era is 0.

use serde::{Deserialize, Serialize};

/// Number of low bits that hold the revision in a packed position. They suffice for
/// thirty years at a thousand changes per second.
const REVISION_BITS: u32 = 40;

/// Largest era that a packed position can hold with its sign bit clear.
const MAX_ERA: u64 = (1 << (63 - REVISION_BITS)) - 1;

const REVISION_MASK: u64 = (1 << REVISION_BITS) - 1;

/// A point in a store's history.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Number of restores of the store so far. Processes of versions without eras omit it.
    #[serde(default)]
    pub era: u64,
    /// Number of the change, assigned by the store.
    pub revision: u64,
}

impl Position {
    /// Returns a position of a store that has never been restored.
    #[must_use]
    pub fn first_era(revision: u64) -> Self {
        Self { era: 0, revision }
    }

    /// Packs era and revision into one integer that orders as positions do.
    #[must_use]
    pub fn packed(self) -> u64 {
        let era = self.era.min(MAX_ERA);
        (era << REVISION_BITS) | (self.revision & REVISION_MASK)
    }

    /// Restores a position from the result of [`packed`](Self::packed).
    #[must_use]
    pub fn unpacked(packed: u64) -> Self {
        Self {
            era: packed >> REVISION_BITS,
            revision: packed & REVISION_MASK,
        }
    }
}
