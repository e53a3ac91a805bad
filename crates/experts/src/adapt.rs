//! Adapts the expert map of a group to a new demand, within the limits of its
//! engines. The layers of a model are divided into layer sets, each of which has
//! its own placement of experts.
//!
//! After a shift of demand, the group runs with an outdated map until a new one
//! is active, and copying experts takes most of that time: all ranks copy at the
//! same time, each one expert after the other. A plan therefore limits the number
//! of new experts of a rank over all layer sets together, and chooses the copies
//! that take the most load off the most loaded ranks, whichever layer sets these
//! are in.
//!
//! A move adds a copy of an expert to a rank, either in a free slot or in place
//! of an expert that other ranks hold too. Or it removes an expert that other
//! ranks hold too, which costs nothing. The search takes the move that lowers the
//! sum of a high power of the ranks' times most. The plain maximum would not
//! change if two ranks are equally loaded and only one of them gets less load. Of
//! all the intermediate plans, the one with the lowest sum of skew and cost of
//! copies is returned.
//!
//! A rank with a slow engine takes longer for the same load, so it gets less load,
//! or none.

mod limits;
mod set_search;

pub use self::limits::{CopyCost, CopyLimits};

use self::set_search::{Candidate, Change, SetSearch};
use crate::switching::ExpertMap;

/// Maximum number of moves in one plan, to bound the planning time. A move takes
/// some microseconds, and twelve layer sets of 72 ranks need up to about a
/// thousand.
const MAX_MOVES: usize = 2_000;

/// The demand and the engine speeds for which a map is planned.
#[derive(Clone, Copy, Debug)]
pub struct GroupLoad<'a> {
    /// For each layer set, the fraction of its routing decisions that go to each
    /// expert.
    pub demand: &'a [Vec<f64>],
    /// Duration of the work of each rank's engine as a multiple of the usual one.
    /// Above 1 if the engine is slower than usual.
    pub slowdowns: &'a [f64],
}

/// Result of [`adapt`].
#[derive(Clone, Debug, PartialEq)]
pub struct AdaptedMap {
    /// The new map.
    pub map: ExpertMap,
    /// Number of experts to copy, over all ranks and layer sets.
    pub copies: usize,
    /// Number of experts to copy on the rank with the most copies.
    pub max_copies_per_rank: usize,
    /// Skew of the map in use for the given load, as defined by [`skew`].
    pub skew_before: f64,
    /// Skew of the new map for the given load.
    pub skew_after: f64,
}

/// Plans a new map for `load`, starting from `map`.
#[must_use]
pub fn adapt(map: &ExpertMap, load: &GroupLoad<'_>, limits: &CopyLimits) -> AdaptedMap {
    let mut search = Search::new(map, load, limits);
    let skew_before = search.skew();
    let mut best = Checkpoint {
        moves: 0,
        copies: 0,
        skew: skew_before,
    };
    let mut lowest_cost = skew_before;
    while search.moves.len() < MAX_MOVES && search.step() {
        let checkpoint = search.checkpoint();
        #[allow(clippy::cast_precision_loss)] // at most `MAX_MOVES`
        let cost =
            checkpoint.skew + checkpoint.copies as f64 * limits.skew_cost_per_copy * skew_before;
        if cost < lowest_cost {
            lowest_cost = cost;
            best = checkpoint;
        }
    }
    let adapted = apply_moves(map, &search.moves[..best.moves]);
    AdaptedMap {
        copies: best.copies,
        max_copies_per_rank: max_copies_per_rank(map, &adapted),
        map: adapted,
        skew_before,
        skew_after: best.skew,
    }
}

/// The skew of a map for a load: the time of the slowest rank in a layer set, as
/// a multiple of its time with a perfectly balanced load. Averaged over all layer
/// sets.
#[must_use]
pub fn skew(map: &ExpertMap, load: &GroupLoad<'_>) -> f64 {
    let limits = CopyLimits {
        slots_per_rank: 0,
        max_new_per_set: 0,
        max_new_per_rank: 0,
        skew_cost_per_copy: 0.0,
    };
    Search::new(map, load, &limits).skew()
}

/// Applies moves to `map`. Each move has the index of its layer set.
fn apply_moves(map: &ExpertMap, moves: &[(usize, Change)]) -> ExpertMap {
    let mut map = map.clone();
    for (set, change) in moves {
        change.apply_to(&mut map[*set][change.rank]);
    }
    map
}

/// Number of experts that a rank holds in `after` and not in `before`, for the
/// rank with the most.
fn max_copies_per_rank(before: &ExpertMap, after: &ExpertMap) -> usize {
    let mut copies = vec![0; before.first().map_or(0, Vec::len)];
    for (before, after) in before.iter().zip(after) {
        for ((copies, held_before), held_after) in copies.iter_mut().zip(before).zip(after) {
            *copies += held_after
                .iter()
                .filter(|expert| !held_before.contains(expert))
                .count();
        }
    }
    copies.into_iter().max().unwrap_or(0)
}

/// An intermediate plan, which consists of the first `moves` moves of the search.
struct Checkpoint {
    moves: usize,
    copies: usize,
    skew: f64,
}

struct Search<'a> {
    limits: &'a CopyLimits,
    sets: Vec<SetSearch<'a>>,
    /// The best move of each layer set. Cached because a move changes only one
    /// layer set. When every move searched all of them, planning for twelve layer
    /// sets of 72 ranks took longer than the demand stayed the same.
    candidates: Vec<Option<Candidate>>,
    /// For each rank, whether it may get another new expert.
    accepts_copies: Vec<bool>,
    /// Number of new experts of each rank, over all layer sets.
    new_experts_on_rank: Vec<usize>,
    moves: Vec<(usize, Change)>,
    copies: usize,
}

impl<'a> Search<'a> {
    fn new(map: &'a ExpertMap, load: &GroupLoad<'a>, limits: &'a CopyLimits) -> Self {
        let ranks = map.first().map_or(0, Vec::len);
        let sets = map.iter().zip(load.demand);
        let sets: Vec<SetSearch<'_>> = sets
            .map(|(set, demand)| SetSearch::new(set, demand, load.slowdowns))
            .collect();
        let accepts_copies = vec![limits.max_new_per_rank > 0; ranks];
        Self {
            limits,
            candidates: sets
                .iter()
                .map(|set| set.find_best(limits, &accepts_copies))
                .collect(),
            sets,
            accepts_copies,
            new_experts_on_rank: vec![0; ranks],
            moves: Vec::new(),
            copies: 0,
        }
    }

    /// Applies the best move. Returns `false` if no move lowers the sum of powers.
    fn step(&mut self) -> bool {
        let candidates = self.candidates.iter().enumerate();
        let candidates = candidates.filter_map(|(set, candidate)| Some((set, (*candidate)?)));
        let best = candidates.max_by(|a, b| a.1.gain.total_cmp(&b.1.gain));
        let Some((index, Candidate { change, .. })) = best else {
            return false;
        };
        if self.sets[index].needs_copy(change) {
            self.count_copy(change.rank);
        }
        self.sets[index].apply(change);
        self.moves.push((index, change));
        self.candidates[index] = self.sets[index].find_best(self.limits, &self.accepts_copies);
        true
    }

    fn count_copy(&mut self, rank: usize) {
        self.copies += 1;
        self.new_experts_on_rank[rank] += 1;
        if self.new_experts_on_rank[rank] < self.limits.max_new_per_rank {
            return;
        }
        self.accepts_copies[rank] = false;
        for (set, candidate) in self.sets.iter().zip(&mut self.candidates) {
            if candidate.is_some_and(|best| best.change.rank == rank && best.change.added.is_some())
            {
                *candidate = set.find_best(self.limits, &self.accepts_copies);
            }
        }
    }

    #[allow(clippy::cast_precision_loss)] // few layer sets
    fn skew(&self) -> f64 {
        let sum: f64 = self.sets.iter().map(SetSearch::skew).sum();
        sum / self.sets.len().max(1) as f64
    }

    fn checkpoint(&self) -> Checkpoint {
        Checkpoint {
            moves: self.moves.len(),
            copies: self.copies,
            skew: self.skew(),
        }
    }
}
