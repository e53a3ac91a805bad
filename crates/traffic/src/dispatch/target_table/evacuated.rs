//! Excludes the targets of evacuated data centres from all placement.
//!
//! Such targets stay in the table, because requests that run there are left to finish and their
//! ranks keep taking part in the passes of their groups. They are left out of everything that
//! places requests: the search order, the ownership of targets, the capacity, and the last check
//! before a send.

use super::{TargetState, TargetTable};
use crate::evacuation::EvacuatedZones;

impl TargetTable {
    /// Replaces the set of evacuated data centres.
    pub(in crate::dispatch) fn set_evacuated(&mut self, zones: &EvacuatedZones) {
        if self.evacuated.data_centres != zones.data_centres {
            self.evacuated = zones.clone();
            self.apply_evacuation();
        }
    }

    /// Marks the targets of evacuated data centres, and divides the others among the entries.
    pub(super) fn apply_evacuation(&mut self) {
        for state in self.states.values_mut() {
            state.is_evacuated = self.evacuated.contains(&state.target.data_centre);
        }
        self.assign_groups();
        self.update_preferences();
    }

    /// Whether there are targets and all of them are in evacuated data centres.
    pub(in crate::dispatch) fn is_evacuated(&self) -> bool {
        !self.states.is_empty() && self.len() == 0
    }

    /// Requests of this entry that still run at targets in evacuated data centres. They take no
    /// slot of the remaining capacity.
    pub(in crate::dispatch) fn evacuated_running(&self) -> usize {
        let evacuated = self.states.values().filter(|state| state.is_evacuated);
        evacuated.map(|state| state.running as usize).sum()
    }

    /// The targets that may get requests.
    pub(super) fn open_states(&self) -> impl Iterator<Item = &TargetState> {
        self.states.values().filter(|state| !state.is_evacuated)
    }
}
