//! Improves an existing placement by a small number of moves.
//!
//! Each move replaces the expert in one slot, which must have copies in other
//! slots, by another expert. The candidates are the moves that take load off the
//! slowest rank: one more copy of one of its most loaded experts on a fast
//! rank, or an expert with little load in one of its own slots, which helps if
//! the rank itself is slow. The search takes the candidate that lowers the sum
//! of a high power of the ranks' times most. The plain maximum would not change
//! if two ranks are equally slow and only one of them gets less load.

use super::{LayerLoad, LayerShape, Placement};

/// Number of the ranks with the lowest times that are candidates for another
/// copy, per move.
const FAST_RANKS: usize = 6;

/// Number of the slowest rank's most loaded experts that are candidates for
/// another copy, per move.
const HEAVY_EXPERTS: usize = 3;

/// Number of the least loaded experts that are candidates for a slot of the
/// slowest rank, per move.
const LIGHT_EXPERTS: usize = 4;

/// Exponent of a rank's time in the sum that a move has to lower.
const TIME_EXPONENT: i32 = 8;

/// Result of [`improve`].
#[derive(Clone, Debug)]
pub struct Improvement {
    /// The improved placement.
    pub placement: Placement,
    /// Number of slots whose expert changes.
    pub moves: usize,
    /// Layer time with the original placement.
    pub time_before: f64,
    /// Layer time with the improved placement.
    pub time_after: f64,
}

/// Improves `placement` by at most `max_moves` moves. Stops early if no move
/// lowers the sum of powers of the ranks' times.
#[must_use]
pub fn improve(
    shape: &LayerShape,
    placement: &Placement,
    layer_load: &LayerLoad<'_>,
    max_moves: usize,
) -> Improvement {
    let mut search = Search::new(shape, placement, layer_load);
    let time_before = search.slowest().time;
    for _ in 0..max_moves {
        match search.find_best_move() {
            Some(selected) => search.apply(selected),
            None => break,
        }
    }
    let moves = search.placement.count_moves_from(placement);
    Improvement {
        time_after: search.slowest().time,
        placement: search.placement,
        moves,
        time_before,
    }
}

#[derive(Clone, Copy)]
struct Move {
    slot: usize,
    expert: usize,
}

#[derive(Clone, Copy)]
struct RankTime {
    rank: usize,
    time: f64,
}

struct Search<'a> {
    shape: &'a LayerShape,
    layer_load: &'a LayerLoad<'a>,
    placement: Placement,
    copy_counts: Vec<u32>,
    /// Slots that hold each expert.
    slots_by_expert: Vec<Vec<usize>>,
    times: Vec<f64>,
    /// Lower bound on the layer time, to scale the times before the power.
    min_time: f64,
}

impl<'a> Search<'a> {
    fn new(shape: &'a LayerShape, placement: &Placement, layer_load: &'a LayerLoad<'a>) -> Self {
        let mut slots_by_expert = vec![Vec::new(); shape.experts];
        for (slot, expert) in placement.slots.iter().enumerate() {
            slots_by_expert[usize::from(*expert)].push(slot);
        }
        Self {
            copy_counts: placement.copy_counts(shape),
            times: placement.rank_times(shape, layer_load),
            min_time: layer_load.lower_bound().max(f64::MIN_POSITIVE),
            placement: placement.clone(),
            slots_by_expert,
            shape,
            layer_load,
        }
    }

    fn slowest(&self) -> RankTime {
        let mut slowest = RankTime { rank: 0, time: 0.0 };
        for (rank, time) in self.times.iter().enumerate() {
            if *time > slowest.time {
                slowest = RankTime { rank, time: *time };
            }
        }
        slowest
    }

    fn share(&self, expert: usize) -> f64 {
        self.layer_load.loads[expert] / f64::from(self.copy_counts[expert])
    }

    fn slots_of_rank(&self, rank: usize) -> std::ops::Range<usize> {
        let first = rank * self.shape.slots_per_rank;
        first..first + self.shape.slots_per_rank
    }

    fn is_placed_on(&self, expert: usize, rank: usize) -> bool {
        let range = self.slots_of_rank(rank);
        self.placement.slots[range].contains(&as_u16(expert))
    }

    fn find_best_move(&self) -> Option<Move> {
        let slowest = self.slowest().rank;
        let mut best: Option<(f64, Move)> = None;
        let mut consider = |candidate: Move| {
            let best_change = best.map_or(0.0, |(best_change, _)| best_change);
            match self.power_sum_change(candidate) {
                Some(change) if change < best_change => best = Some((change, candidate)),
                _ => {}
            }
        };
        let fast = self.fast_ranks();
        for expert in self.heavy_experts(slowest) {
            for rank in &fast {
                if !self.is_placed_on(expert, *rank) {
                    self.slots_of_rank(*rank)
                        .for_each(|slot| consider(Move { slot, expert }));
                }
            }
        }
        for expert in self.light_experts() {
            if !self.is_placed_on(expert, slowest) {
                self.slots_of_rank(slowest)
                    .for_each(|slot| consider(Move { slot, expert }));
            }
        }
        best.map(|(_, candidate)| candidate)
    }

    fn heavy_experts(&self, rank: usize) -> Vec<usize> {
        let mut heavy: Vec<usize> = self.placement.slots[self.slots_of_rank(rank)]
            .iter()
            .map(|expert| usize::from(*expert))
            .collect();
        heavy.sort_by(|a, b| self.share(*b).total_cmp(&self.share(*a)));
        heavy.dedup();
        heavy.truncate(HEAVY_EXPERTS);
        heavy
    }

    fn light_experts(&self) -> Vec<usize> {
        let mut experts: Vec<usize> = (0..self.shape.experts).collect();
        let count = LIGHT_EXPERTS.min(experts.len());
        let by_share = |a: &usize, b: &usize| self.share(*a).total_cmp(&self.share(*b));
        if count < experts.len() {
            experts.select_nth_unstable_by(count, by_share);
        }
        experts.truncate(count);
        experts
    }

    fn fast_ranks(&self) -> Vec<usize> {
        let mut ranks: Vec<usize> = (0..self.shape.ranks).collect();
        let count = FAST_RANKS.min(ranks.len());
        let by_time = |a: &usize, b: &usize| self.times[*a].total_cmp(&self.times[*b]);
        if count < ranks.len() {
            ranks.select_nth_unstable_by(count, by_time);
        }
        ranks.truncate(count);
        ranks
    }

    /// Change of the sum of powers. `None` if the slot already holds the expert,
    /// or holds the last copy of another one.
    fn power_sum_change(&self, candidate: Move) -> Option<f64> {
        let replaced = usize::from(self.placement.slots[candidate.slot]);
        if replaced == candidate.expert || self.copy_counts[replaced] < 2 {
            return None;
        }
        let mut changes: Vec<RankTime> = Vec::new();
        self.for_each_change(candidate, |rank, delta| {
            match changes.iter_mut().find(|change| change.rank == rank) {
                Some(change) => change.time += delta,
                None => changes.push(RankTime { rank, time: delta }),
            }
        });
        let power = |time: f64| (time / self.min_time).powi(TIME_EXPONENT);
        let sum = changes
            .iter()
            .map(|change| {
                let before = self.times[change.rank];
                power(before + change.time) - power(before)
            })
            .sum();
        Some(sum)
    }

    /// Calls `on_change` with each rank that a move affects and the change of
    /// its time. A rank can be passed more than once.
    fn for_each_change(&self, candidate: Move, mut on_change: impl FnMut(usize, f64)) {
        let replaced = usize::from(self.placement.slots[candidate.slot]);
        let rank = self.shape.rank_of(candidate.slot);
        let speed = |rank: usize| self.layer_load.speeds[rank];
        let count = f64::from(self.copy_counts[candidate.expert]);
        let load = self.layer_load.loads[candidate.expert];
        for slot in &self.slots_by_expert[candidate.expert] {
            let holder = self.shape.rank_of(*slot);
            on_change(
                holder,
                (load / (count + 1.0) - load / count) / speed(holder),
            );
        }
        on_change(rank, load / (count + 1.0) / speed(rank));
        let count = f64::from(self.copy_counts[replaced]);
        let load = self.layer_load.loads[replaced];
        for slot in &self.slots_by_expert[replaced] {
            let holder = self.shape.rank_of(*slot);
            if *slot == candidate.slot {
                on_change(holder, -load / count / speed(holder));
            } else {
                on_change(
                    holder,
                    (load / (count - 1.0) - load / count) / speed(holder),
                );
            }
        }
    }

    fn apply(&mut self, best: Move) {
        let mut changes = Vec::new();
        self.for_each_change(best, |rank, by| changes.push(RankTime { rank, time: by }));
        for change in changes {
            self.times[change.rank] += change.time;
        }
        let replaced = usize::from(self.placement.slots[best.slot]);
        self.slots_by_expert[replaced].retain(|slot| *slot != best.slot);
        self.slots_by_expert[best.expert].push(best.slot);
        self.copy_counts[replaced] -= 1;
        self.copy_counts[best.expert] += 1;
        self.placement.slots[best.slot] = as_u16(best.expert);
    }
}

fn as_u16(expert: usize) -> u16 {
    u16::try_from(expert).expect("expert indices fit in u16")
}
