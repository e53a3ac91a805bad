//! Places all experts of a layer without regard to an existing placement.

use super::{LayerLoad, LayerShape, Placement};

/// Replicates the most loaded experts until all slots are used. Then places the
/// copies in descending order of load, each on the rank that finishes first
/// with it, if possible on one without a copy of the same expert.
///
/// # Panics
///
/// If there are fewer slots than experts.
#[must_use]
pub fn place_from_scratch(shape: &LayerShape, layer_load: &LayerLoad<'_>) -> Placement {
    assert!(shape.slots() >= shape.experts, "every expert needs a slot");
    let copy_counts = choose_copy_counts(shape, layer_load.loads);
    let mut copies_by_load = Vec::with_capacity(shape.slots());
    for (expert, count) in copy_counts.iter().enumerate() {
        let share = layer_load.loads[expert] / f64::from(*count);
        copies_by_load.extend((0..*count).map(|_| ExpertCopy { expert, share }));
    }
    copies_by_load.sort_by(|a, b| b.share.total_cmp(&a.share));
    pack(shape, layer_load.speeds, &copies_by_load)
}

struct ExpertCopy {
    expert: usize,
    share: f64,
}

/// Assigns one copy to each expert, and each further one to the expert with
/// the largest load per copy. Returns the number of copies per expert.
fn choose_copy_counts(shape: &LayerShape, loads: &[f64]) -> Vec<u32> {
    let max_copies = u32::try_from(shape.ranks).unwrap_or(u32::MAX);
    let mut copy_counts = vec![1; shape.experts];
    for _ in shape.experts..shape.slots() {
        let share = |expert: &usize| loads[*expert] / f64::from(copy_counts[*expert]);
        let heaviest = (0..shape.experts)
            .filter(|expert| copy_counts[*expert] < max_copies)
            .max_by(|a, b| share(a).total_cmp(&share(b)));
        // If every expert already has a copy on every rank, it makes no
        // difference which one gets the next.
        copy_counts[heaviest.unwrap_or(0)] += 1;
    }
    copy_counts
}

fn pack(shape: &LayerShape, speeds: &[f64], copies_by_load: &[ExpertCopy]) -> Placement {
    let mut times = vec![0.0; shape.ranks];
    let mut placed: Vec<Vec<u16>> = vec![Vec::with_capacity(shape.slots_per_rank); shape.ranks];
    for copy in copies_by_load {
        let expert = u16::try_from(copy.expert).expect("expert indices fit in u16");
        let has_room = |rank: &usize| placed[*rank].len() < shape.slots_per_rank;
        let is_new = |rank: &usize| !placed[*rank].contains(&expert);
        let time_with = |rank: &usize| times[*rank] + copy.share / speeds[*rank];
        let by_time = |a: &usize, b: &usize| time_with(a).total_cmp(&time_with(b));
        let ranks = 0..shape.ranks;
        let best_rank = ranks
            .clone()
            .filter(|rank| has_room(rank) && is_new(rank))
            .min_by(by_time)
            .or_else(|| ranks.filter(has_room).min_by(by_time))
            .expect("there are as many copies as slots");
        times[best_rank] += copy.share / speeds[best_rank];
        placed[best_rank].push(expert);
    }
    Placement {
        slots: placed.into_iter().flatten().collect(),
    }
}
