//! The data centres whose targets get no new requests, and which of two sets of them is newer.
//!
//! An operator evacuates a data centre by a key in the platform's store and removes the key later.
//! A set is complete as of its [`Position`] in the store's history, so a set of a later position
//! replaces one of an earlier position as a whole. This also holds for sets that peers send, and
//! after a restore of the store, which starts a later era.
//!
//! A change that is older than the known set has no effect: the set may come from a peer whose
//! watch of the store is ahead of this entry's own.

use std::sync::Arc;

use berylhook_core::position::Position;
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

/// All evacuated data centres at one position in the store's history.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedZones {
    /// The last change or read that the set contains.
    #[serde(flatten)]
    pub position: Position,
    /// Names of the evacuated data centres.
    #[serde(rename = "zones")]
    pub data_centres: IndexSet<Arc<str>>,
}

impl EvacuatedZones {
    /// Whether the data centre is evacuated.
    #[must_use]
    pub fn contains(&self, data_centre: &str) -> bool {
        self.data_centres.contains(data_centre)
    }
}

/// A data centre was evacuated, or its evacuation was withdrawn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Name of the data centre.
    pub data_centre: Arc<str>,
    /// Whether the data centre is evacuated from now on.
    pub is_evacuated: bool,
}

/// The newest set that this entry knows.
#[derive(Debug, Default)]
pub struct EvacuationTracker {
    known: Option<EvacuatedZones>,
    /// Whether the known set ends with a change, which others of its transaction may follow.
    ends_with_change: bool,
}

impl EvacuationTracker {
    /// The newest known set; `None` before the first.
    #[must_use]
    pub fn known(&self) -> Option<&EvacuatedZones> {
        self.known.as_ref()
    }

    /// Whether `position` is later than that of the known set.
    #[must_use]
    pub fn is_behind(&self, position: Position) -> bool {
        self.known
            .as_ref()
            .is_none_or(|known| position > known.position)
    }

    /// Replaces the set unless the new one is not later.
    ///
    /// Returns whether the first set was learnt or other data centres are evacuated now.
    pub fn replace(&mut self, zones: EvacuatedZones) -> bool {
        if !self.is_behind(zones.position) {
            return false;
        }
        self.ends_with_change = false;
        let previous = self.known.replace(zones);
        let previous = previous.map(|zones| zones.data_centres);
        previous.as_ref() != self.known.as_ref().map(|zones| &zones.data_centres)
    }

    /// Applies the change made at `position`; an older one has no effect, nor has one before the
    /// first set.
    ///
    /// Returns whether other data centres are evacuated now.
    pub fn apply(&mut self, change: EvacuationChange, position: Position) -> bool {
        let Some(known) = &mut self.known else {
            return false;
        };
        // Keys that one transaction has written share a position.
        let is_of_transaction = self.ends_with_change && position == known.position;
        if position <= known.position && !is_of_transaction {
            return false;
        }
        self.ends_with_change = true;
        known.position = position;
        if change.is_evacuated {
            known.data_centres.insert(change.data_centre)
        } else {
            known.data_centres.shift_remove(&change.data_centre)
        }
    }
}
