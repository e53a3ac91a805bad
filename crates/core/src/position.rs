//! Points in the history of a store that may come back from an older copy.
//!
//! A store counts its changes with a revision. One that is restored from a copy goes on
//! counting from there, so it gives revisions out again, to other changes. It counts its
//! restores too: within one *era* revisions only rise, and eras only rise. A [`Position`]
//! has both, and compares as the history went.
//!
//! Edge cases:
//!
//! - Two positions of different eras say which is newer, but not whether they mean the
//!   same change, not even where their revisions are equal.
//! - A store that tells no era has never been restored: its era is 0.

use serde::{Deserialize, Serialize};

/// Low bits of a packed position that hold the revision. At a thousand changes a second
/// they last for thirty years.
const REVISION_BITS: u32 = 40;

/// Largest era that a packed position holds; its sign bit stays clear.
const MAX_ERA: u64 = (1 << (63 - REVISION_BITS)) - 1;

const REVISION_MASK: u64 = (1 << REVISION_BITS) - 1;

/// A point in a store's history.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// How often the store had been restored. A process of a version without eras tells
    /// none.
    #[serde(default)]
    pub era: u64,
    /// The store's count of changes.
    pub revision: u64,
}

impl Position {
    /// A position of a store that has never been restored.
    #[must_use]
    pub fn first_era(revision: u64) -> Self {
        Self { era: 0, revision }
    }

    /// Both in one number, which compares as positions do.
    #[must_use]
    pub fn packed(self) -> u64 {
        let era = self.era.min(MAX_ERA);
        (era << REVISION_BITS) | (self.revision & REVISION_MASK)
    }

    /// The position that was packed in a number.
    #[must_use]
    pub fn unpacked(packed: u64) -> Self {
        Self {
            era: packed >> REVISION_BITS,
            revision: packed & REVISION_MASK,
        }
    }
}
