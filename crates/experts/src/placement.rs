//! Placements of experts on the slots of ranks, and the resulting load balance.
//!
//! Each rank has a fixed number of expert slots in each layer. An expert may
//! have copies in several slots; its tokens are then split evenly among them.
//! All ranks wait for the slowest one in each layer, so a layer takes as long
//! as its slowest rank.

mod full;
mod incremental;

pub use full::place_from_scratch;
pub use incremental::{Improvement, improve};

/// Dimensions of one layer of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LayerShape {
    /// Number of ranks in the group.
    pub ranks: usize,
    /// Number of expert slots of each rank.
    pub slots_per_rank: usize,
    /// Number of experts in the layer.
    pub experts: usize,
}

/// The expert in each slot of one layer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Expert by slot. Slot `i` is on rank `i / slots_per_rank`.
    pub slots: Vec<u16>,
}

/// The load and the rank speeds for which a layer is planned.
#[derive(Clone, Copy, Debug)]
pub struct LayerLoad<'a> {
    /// Tokens routed to each expert.
    pub loads: &'a [f64],
    /// Speed of each rank relative to the usual speed. Below 1 for a straggler.
    pub speeds: &'a [f64],
}

impl LayerLoad<'_> {
    /// Lower bound on the layer time of any placement: the total work divided
    /// by the total speed.
    ///
    /// The bound ignores that experts can only be split over as many ranks as
    /// there are slots, so it is slightly too low.
    #[must_use]
    pub fn lower_bound(&self) -> f64 {
        let work: f64 = self.loads.iter().sum();
        let speed: f64 = self.speeds.iter().sum();
        work / speed
    }
}

impl LayerShape {
    /// Number of slots in the layer.
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
    /// Number of slots that hold each expert.
    #[must_use]
    pub fn copy_counts(&self, shape: &LayerShape) -> Vec<u32> {
        let mut copy_counts = vec![0; shape.experts];
        for expert in &self.slots {
            copy_counts[usize::from(*expert)] += 1;
        }
        copy_counts
    }

    /// Time that each rank takes to process its share of the load.
    #[must_use]
    pub fn rank_times(&self, shape: &LayerShape, layer_load: &LayerLoad<'_>) -> Vec<f64> {
        let copy_counts = self.copy_counts(shape);
        let mut times = vec![0.0; shape.ranks];
        for (slot, expert) in self.slots.iter().enumerate() {
            let expert = usize::from(*expert);
            let rank = shape.rank_of(slot);
            times[rank] += layer_load.loads[expert] / f64::from(copy_counts[expert]);
        }
        for (time, speed) in times.iter_mut().zip(layer_load.speeds) {
            *time /= speed;
        }
        times
    }

    /// Time of the layer, which is the time of its slowest rank.
    #[must_use]
    pub fn layer_time(&self, shape: &LayerShape, layer_load: &LayerLoad<'_>) -> f64 {
        self.rank_times(shape, layer_load)
            .into_iter()
            .fold(0.0, f64::max)
    }

    /// Number of slots whose expert differs from `before`, so that its weights
    /// have to be loaded.
    #[must_use]
    pub fn count_moves_from(&self, before: &Self) -> usize {
        let pairs = self.slots.iter().zip(&before.slots);
        pairs
            .filter(|(expert, expert_before)| expert != expert_before)
            .count()
    }
}
