//! Experts on slots, and how evenly that loads the ranks.
//!
//! Each rank has a fixed number of expert slots in each layer. An expert may
//! stand on several ranks; its tokens are then split evenly among them. All
//! ranks wait for the slowest one in each layer, so a layer takes as long as
//! its most loaded rank.

mod full;
mod incremental;

pub use full::place_from_scratch;
pub use incremental::{Improvement, improve};

/// Size of one layer of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LayerShape {
    /// Ranks in the group.
    pub ranks: usize,
    /// Expert slots of one rank.
    pub slots_per_rank: usize,
    /// Experts in the layer.
    pub experts: usize,
}

/// Which expert stands in each slot of one layer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Slot `i` is on rank `i / slots_per_rank`.
    pub slots: Vec<u16>,
}

/// What a layer is planned for.
#[derive(Clone, Copy, Debug)]
pub struct LayerLoad<'a> {
    /// Tokens for each expert.
    pub loads: &'a [f64],
    /// Speed of each rank; 1 is usual, a straggler has less.
    pub speeds: &'a [f64],
}

impl LayerLoad<'_> {
    /// Time of the layer that no placement can beat: the work spread evenly
    /// over all speeds.
    ///
    /// An expert that has to be split over more ranks than there are slots
    /// would raise it; that is left out, so the bound is a little too low.
    #[must_use]
    pub fn lower_bound(&self) -> f64 {
        let work: f64 = self.loads.iter().sum();
        let speed: f64 = self.speeds.iter().sum();
        work / speed
    }
}

impl LayerShape {
    /// Slots in the layer.
    #[must_use]
    pub fn slots(&self) -> usize {
        self.ranks * self.slots_per_rank
    }

    /// The rank of a slot.
    #[must_use]
    pub fn rank_of(&self, slot: usize) -> usize {
        slot / self.slots_per_rank
    }
}

impl Placement {
    /// How often each expert stands.
    #[must_use]
    pub fn replica_counts(&self, shape: &LayerShape) -> Vec<u32> {
        let mut replicas = vec![0; shape.experts];
        for expert in &self.slots {
            replicas[usize::from(*expert)] += 1;
        }
        replicas
    }

    /// Time each rank takes for its share.
    #[must_use]
    pub fn rank_times(&self, shape: &LayerShape, demand: &LayerLoad<'_>) -> Vec<f64> {
        let replicas = self.replica_counts(shape);
        let mut times = vec![0.0; shape.ranks];
        for (slot, expert) in self.slots.iter().enumerate() {
            let expert = usize::from(*expert);
            let rank = shape.rank_of(slot);
            times[rank] += demand.loads[expert] / f64::from(replicas[expert]);
        }
        for (time, speed) in times.iter_mut().zip(demand.speeds) {
            *time /= speed;
        }
        times
    }

    /// Time of the layer: that of its slowest rank.
    #[must_use]
    pub fn layer_time(&self, shape: &LayerShape, demand: &LayerLoad<'_>) -> f64 {
        self.rank_times(shape, demand)
            .into_iter()
            .fold(0.0, f64::max)
    }

    /// Slots whose expert differs from `before`: the weights to load.
    #[must_use]
    pub fn count_moves_from(&self, before: &Self) -> usize {
        let pairs = self.slots.iter().zip(&before.slots);
        pairs.filter(|(now, then)| now != then).count()
    }
}
