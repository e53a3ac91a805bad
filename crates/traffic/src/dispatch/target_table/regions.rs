//! Which targets may get requests that are allowed in some regions only.

use super::{TargetState, TargetTable};
use crate::regions::{RegionMap, RegionSet};
use crate::target::Incarnation;

/// Which targets may get a request.
#[derive(Clone, Copy, Debug)]
pub(in crate::dispatch) struct Eligibility<'a> {
    /// Targets that the request was sent to before.
    pub(in crate::dispatch) exclude: &'a [Incarnation],
    /// The regions in which the request may run; `None` if it may run in any.
    pub(in crate::dispatch) regions: Option<RegionSet>,
}

impl Eligibility<'_> {
    pub(super) fn allows(self, state: &TargetState) -> bool {
        let is_allowed = |regions: RegionSet| regions.intersects(state.region);
        self.regions.is_none_or(is_allowed) && !self.exclude.contains(&state.target.incarnation)
    }
}

impl TargetTable {
    /// Sets the regions of the data centres.
    pub(in crate::dispatch) fn set_regions(&mut self, regions: RegionMap) {
        self.regions = regions;
        self.assign_regions();
    }

    pub(super) fn assign_regions(&mut self) {
        for state in self.states.values_mut() {
            state.region = self.regions.region_of(&state.target.data_centre);
        }
    }

    /// Whether a target in one of the regions may get requests.
    pub(in crate::dispatch) fn has_target_in(&self, regions: RegionSet) -> bool {
        self.open_states()
            .any(|state| regions.intersects(state.region))
    }
}
