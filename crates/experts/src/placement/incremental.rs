//! Improving a placement by few moves.
//!
//! Each move puts another expert into one slot, in place of one that stands
//! elsewhere too. The moves tried are those that relieve the slowest rank: one
//! more copy of its heaviest expert on a fast rank, or a lighter expert in one
//! of its own slots, which is what helps a rank that is slow. Among them the
//! one that lowers the sum of high powers of the ranks' times most is taken:
//! with the plain maximum, a tie between two slow ranks would hide that one
//! of them was relieved.

use super::{LayerLoad, LayerShape, Placement};

/// Fast ranks looked at for each move.
const FAST_RANKS: usize = 6;

/// Experts of the slowest rank looked at for each move.
const HEAVY_EXPERTS: usize = 3;

/// Light experts tried in the slowest rank's slots.
const LIGHT_EXPERTS: usize = 4;

/// Power of a rank's time in the sum that a move has to lower.
const POWER: i32 = 8;

/// A better placement.
#[derive(Clone, Debug)]
pub struct Improvement {
    /// The placement.
    pub placement: Placement,
    /// Slots whose expert changes.
    pub moves: usize,
    /// Time of the layer before.
    pub time_before: f64,
    /// Time of the layer after.
    pub time_after: f64,
}

/// Improves `placement` by at most `max_moves` moves.
#[must_use]
pub fn improve(
    shape: &LayerShape,
    placement: &Placement,
    demand: &LayerLoad<'_>,
    max_moves: usize,
) -> Improvement {
    let mut search = Search::new(shape, placement, demand);
    let time_before = search.slowest().time;
    for _ in 0..max_moves {
        match search.best_move() {
            Some(chosen) => search.apply(chosen),
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
    demand: &'a LayerLoad<'a>,
    placement: Placement,
    replicas: Vec<u32>,
    /// Slots of each expert.
    stands: Vec<Vec<usize>>,
    times: Vec<f64>,
    mean: f64,
}

impl<'a> Search<'a> {
    fn new(shape: &'a LayerShape, placement: &Placement, demand: &'a LayerLoad<'a>) -> Self {
        let mut stands = vec![Vec::new(); shape.experts];
        for (slot, expert) in placement.slots.iter().enumerate() {
            stands[usize::from(*expert)].push(slot);
        }
        Self {
            replicas: placement.replica_counts(shape),
            times: placement.rank_times(shape, demand),
            mean: demand.lower_bound().max(f64::MIN_POSITIVE),
            placement: placement.clone(),
            stands,
            shape,
            demand,
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
        self.demand.loads[expert] / f64::from(self.replicas[expert])
    }

    fn slots_of(&self, rank: usize) -> std::ops::Range<usize> {
        let first = rank * self.shape.slots_per_rank;
        first..first + self.shape.slots_per_rank
    }

    fn stands_on(&self, expert: usize, rank: usize) -> bool {
        let range = self.slots_of(rank);
        self.placement.slots[range].contains(&as_u16(expert))
    }

    fn best_move(&self) -> Option<Move> {
        let slowest = self.slowest().rank;
        let mut best: Option<(f64, Move)> = None;
        let mut consider = |candidate: Move| {
            let least = best.map_or(0.0, |(least, _)| least);
            match self.change_of(candidate) {
                Some(change) if change < least => best = Some((change, candidate)),
                _ => {}
            }
        };
        let fast = self.fast_ranks();
        for expert in self.heavy_experts(slowest) {
            for rank in &fast {
                if !self.stands_on(expert, *rank) {
                    self.slots_of(*rank)
                        .for_each(|slot| consider(Move { slot, expert }));
                }
            }
        }
        for expert in self.light_experts() {
            if !self.stands_on(expert, slowest) {
                self.slots_of(slowest)
                    .for_each(|slot| consider(Move { slot, expert }));
            }
        }
        best.map(|(_, chosen)| chosen)
    }

    fn heavy_experts(&self, rank: usize) -> Vec<usize> {
        let mut heavy: Vec<usize> = self.placement.slots[self.slots_of(rank)]
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

    /// How the sum of powers changes; `None` if an expert would stand nowhere.
    fn change_of(&self, candidate: Move) -> Option<f64> {
        let leaving = usize::from(self.placement.slots[candidate.slot]);
        if leaving == candidate.expert || self.replicas[leaving] < 2 {
            return None;
        }
        let mut changes: Vec<RankTime> = Vec::new();
        self.for_each_change(candidate, |rank, by| {
            match changes.iter_mut().find(|change| change.rank == rank) {
                Some(change) => change.time += by,
                None => changes.push(RankTime { rank, time: by }),
            }
        });
        let powered = |time: f64| (time / self.mean).powi(POWER);
        let sum = changes
            .iter()
            .map(|change| {
                let before = self.times[change.rank];
                powered(before + change.time) - powered(before)
            })
            .sum();
        Some(sum)
    }

    /// Tells by how much a move changes the time of each rank it touches.
    fn for_each_change(&self, candidate: Move, mut tell: impl FnMut(usize, f64)) {
        let leaving = usize::from(self.placement.slots[candidate.slot]);
        let rank = self.shape.rank_of(candidate.slot);
        let speed = |rank: usize| self.demand.speeds[rank];
        let count = f64::from(self.replicas[candidate.expert]);
        let load = self.demand.loads[candidate.expert];
        for slot in &self.stands[candidate.expert] {
            let on = self.shape.rank_of(*slot);
            tell(on, (load / (count + 1.0) - load / count) / speed(on));
        }
        tell(rank, load / (count + 1.0) / speed(rank));
        let count = f64::from(self.replicas[leaving]);
        let load = self.demand.loads[leaving];
        for slot in &self.stands[leaving] {
            let on = self.shape.rank_of(*slot);
            if *slot == candidate.slot {
                tell(on, -load / count / speed(on));
            } else {
                tell(on, (load / (count - 1.0) - load / count) / speed(on));
            }
        }
    }

    fn apply(&mut self, chosen: Move) {
        let mut changes = Vec::new();
        self.for_each_change(chosen, |rank, by| changes.push(RankTime { rank, time: by }));
        for change in changes {
            self.times[change.rank] += change.time;
        }
        let leaving = usize::from(self.placement.slots[chosen.slot]);
        self.stands[leaving].retain(|slot| *slot != chosen.slot);
        self.stands[chosen.expert].push(chosen.slot);
        self.replicas[leaving] -= 1;
        self.replicas[chosen.expert] += 1;
        self.placement.slots[chosen.slot] = as_u16(chosen.expert);
    }
}

fn as_u16(expert: usize) -> u16 {
    u16::try_from(expert).expect("experts are few")
}
