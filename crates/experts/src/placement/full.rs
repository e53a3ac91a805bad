//! Placing a layer from nothing.

use super::{LayerLoad, LayerShape, Placement};

/// Replicates the heaviest experts until all slots are used, then puts the
/// heaviest copies first on the rank that is least loaded for its speed.
///
/// # Panics
///
/// If there are fewer slots than experts.
#[must_use]
pub fn place_from_scratch(shape: &LayerShape, demand: &LayerLoad<'_>) -> Placement {
    assert!(shape.slots() >= shape.experts, "every expert needs a slot");
    let replicas = replicate(shape, demand.loads);
    let mut copies = Vec::with_capacity(shape.slots());
    for (expert, count) in replicas.iter().enumerate() {
        let share = demand.loads[expert] / f64::from(*count);
        copies.extend((0..*count).map(|_| Copy { expert, share }));
    }
    copies.sort_by(|a, b| b.share.total_cmp(&a.share));
    pack(shape, demand.speeds, &copies)
}

struct Copy {
    expert: usize,
    share: f64,
}

/// One copy each, then one more for whichever has the largest share.
fn replicate(shape: &LayerShape, loads: &[f64]) -> Vec<u32> {
    let most = u32::try_from(shape.ranks).unwrap_or(u32::MAX);
    let mut replicas = vec![1; shape.experts];
    for _ in shape.experts..shape.slots() {
        let share = |expert: &usize| loads[*expert] / f64::from(replicas[*expert]);
        let heaviest = (0..shape.experts)
            .filter(|expert| replicas[*expert] < most)
            .max_by(|a, b| share(a).total_cmp(&share(b)));
        // Every expert on every rank: any further copy is as good as another.
        replicas[heaviest.unwrap_or(0)] += 1;
    }
    replicas
}

fn pack(shape: &LayerShape, speeds: &[f64], copies: &[Copy]) -> Placement {
    let mut times = vec![0.0; shape.ranks];
    let mut used: Vec<Vec<u16>> = vec![Vec::with_capacity(shape.slots_per_rank); shape.ranks];
    for copy in copies {
        let expert = u16::try_from(copy.expert).expect("experts are few");
        let has_room = |rank: &usize| used[*rank].len() < shape.slots_per_rank;
        let is_new = |rank: &usize| !used[*rank].contains(&expert);
        let after = |rank: &usize| times[*rank] + copy.share / speeds[*rank];
        let by_time = |a: &usize, b: &usize| after(a).total_cmp(&after(b));
        let ranks = 0..shape.ranks;
        let best = ranks
            .clone()
            .filter(|rank| has_room(rank) && is_new(rank))
            .min_by(by_time)
            .or_else(|| ranks.filter(has_room).min_by(by_time))
            .expect("there are as many copies as slots");
        times[best] += copy.share / speeds[best];
        used[best].push(expert);
    }
    Placement {
        slots: used.into_iter().flatten().collect(),
    }
}
