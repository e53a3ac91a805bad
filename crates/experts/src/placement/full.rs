//! Places all experts of a layer without regard to an existing placement.

use super::{LayerLoad, LayerShape, Placement};

/// Replicates the most loaded experts until all slots are used. Then places the
/// replicas in descending order of load, each on the rank that finishes first
/// with it, if possible on one without a replica of the same expert.
///
/// # Panics
///
/// If there are fewer slots than experts.
#[must_use]
pub fn place_from_scratch(shape: &LayerShape, layer_load: &LayerLoad<'_>) -> Placement {
    assert!(shape.slots() >= shape.experts, "every expert needs a slot");
    let replica_counts = replicate(shape, layer_load.loads);
    let mut replicas_by_load = Vec::with_capacity(shape.slots());
    for (expert, count) in replica_counts.iter().enumerate() {
        let share = layer_load.loads[expert] / f64::from(*count);
        replicas_by_load.extend((0..*count).map(|_| Replica { expert, share }));
    }
    replicas_by_load.sort_by(|a, b| b.share.total_cmp(&a.share));
    pack(shape, layer_load.speeds, &replicas_by_load)
}

struct Replica {
    expert: usize,
    share: f64,
}

/// Assigns one replica to each expert, and each further one to the expert with
/// the largest load per replica. Returns the number of replicas per expert.
fn replicate(shape: &LayerShape, loads: &[f64]) -> Vec<u32> {
    let max_replicas = u32::try_from(shape.ranks).unwrap_or(u32::MAX);
    let mut replica_counts = vec![1; shape.experts];
    for _ in shape.experts..shape.slots() {
        let share = |expert: &usize| loads[*expert] / f64::from(replica_counts[*expert]);
        let heaviest = (0..shape.experts)
            .filter(|expert| replica_counts[*expert] < max_replicas)
            .max_by(|a, b| share(a).total_cmp(&share(b)));
        // If every expert already has a replica on every rank, it makes no
        // difference which one gets the next.
        replica_counts[heaviest.unwrap_or(0)] += 1;
    }
    replica_counts
}

fn pack(shape: &LayerShape, speeds: &[f64], replicas_by_load: &[Replica]) -> Placement {
    let mut times = vec![0.0; shape.ranks];
    let mut placed: Vec<Vec<u16>> = vec![Vec::with_capacity(shape.slots_per_rank); shape.ranks];
    for replica in replicas_by_load {
        let expert = u16::try_from(replica.expert).expect("expert indices fit in u16");
        let has_room = |rank: &usize| placed[*rank].len() < shape.slots_per_rank;
        let is_new = |rank: &usize| !placed[*rank].contains(&expert);
        let time_with = |rank: &usize| times[*rank] + replica.share / speeds[*rank];
        let by_time = |a: &usize, b: &usize| time_with(a).total_cmp(&time_with(b));
        let ranks = 0..shape.ranks;
        let best_rank = ranks
            .clone()
            .filter(|rank| has_room(rank) && is_new(rank))
            .min_by(by_time)
            .or_else(|| ranks.filter(has_room).min_by(by_time))
            .expect("there are as many replicas as slots");
        times[best_rank] += replica.share / speeds[best_rank];
        placed[best_rank].push(expert);
    }
    Placement {
        slots: placed.into_iter().flatten().collect(),
    }
}
