//! The regions of data centres, and the regions in which a request may run.
//!
//! Regions are numbered in the order in which the settings name them, so that a set of regions is a
//! number that is copied and compared without looking at names. A data centre that the settings do
//! not name has no region; only requests without a constraint go there.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

/// Largest number of regions: the bits of a [`RegionSet`].
pub const MAX_REGIONS: usize = u64::BITS as usize;

/// A set of regions of one [`RegionMap`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RegionSet(u64);

impl RegionSet {
    /// Whether all regions of `other` are in this set.
    #[must_use]
    pub fn contains(self, other: Self) -> bool {
        other.0 & !self.0 == 0
    }

    /// Whether the sets have a region in common.
    #[must_use]
    pub fn intersects(self, other: Self) -> bool {
        self.0 & other.0 != 0
    }
}

/// The region of each data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegionMap {
    regions: IndexSet<Arc<str>>,
    by_data_centre: IndexMap<Arc<str>, RegionSet>,
}

impl RegionMap {
    /// Builds the map from pairs of data centre and region; `None` if there are more than
    /// [`MAX_REGIONS`] regions.
    #[must_use]
    pub fn new(pairs: impl IntoIterator<Item = (Arc<str>, Arc<str>)>) -> Option<Self> {
        let mut map = Self::default();
        for (data_centre, region) in pairs {
            let (index, _) = map.regions.insert_full(region);
            let bit = 1_u64.checked_shl(u32::try_from(index).ok()?)?;
            map.by_data_centre.insert(data_centre, RegionSet(bit));
        }
        Some(map)
    }

    /// The region of a data centre; empty if it has none.
    #[must_use]
    pub fn region_of(&self, data_centre: &str) -> RegionSet {
        let region = self.by_data_centre.get(data_centre);
        region.copied().unwrap_or_default()
    }

    /// The named regions, without those in which no data centre is.
    fn set_of(&self, names: &[Arc<str>]) -> RegionSet {
        let indices = names
            .iter()
            .filter_map(|name| self.regions.get_index_of(name));
        RegionSet(indices.fold(0, |set, index| set | 1 << index))
    }

    /// The regions in which a request may run, if its route or its client account has a list; if
    /// both have one, those in both. `None` if the request may run anywhere.
    #[must_use]
    pub fn allowed(
        &self,
        route: Option<&[Arc<str>]>,
        account: Option<&[Arc<str>]>,
    ) -> Option<RegionSet> {
        let lists = [route, account].into_iter().flatten();
        let sets = lists.map(|names| self.set_of(names));
        sets.reduce(|one, other| RegionSet(one.0 & other.0))
    }
}
