//! Adapting the maps of all sets to a new demand, under the engines' limits.
//!
//! After a shift of demand the map in use is wrong until the next one is in
//! force, and copying experts takes most of that time: ranks copy one expert
//! after the other, all ranks at once. A plan therefore bounds the new experts
//! of a rank over all sets together, and takes the copies that relieve the
//! most loaded ranks most, in whichever set they are.
//!
//! A move puts one more copy of an expert on a rank, in a free place or in
//! place of an expert that stands elsewhere too, or takes an expert from a
//! rank that stands elsewhere too, which costs nothing. Of all moves the one
//! is taken that lowers the sum of a high power of the ranks' times most: with
//! the plain maximum, a tie between two loaded ranks would hide that one was
//! relieved. Of the plans passed on the way, the one is chosen whose skew plus
//! the price of its copies is lowest.
//!
//! A rank whose engine is slow takes longer for the same load. It is given
//! less, down to nothing.

mod limits;
mod set_search;

pub use self::limits::{CopyCost, CopyLimits};

use self::set_search::{Candidate, Change, SetSearch};
use crate::switching::ExpertMap;

/// Moves in one plan, as a bound on the time spent planning. A move costs some
/// microseconds, and twelve sets of 72 ranks take up to about a thousand.
const MOST_MOVES: usize = 2_000;

/// The demand that a map is made for.
#[derive(Clone, Copy, Debug)]
pub struct GroupLoad<'a> {
    /// Share of each set's choices that each expert has.
    pub demand: &'a [Vec<f64>],
    /// How slow each rank's engine is; 1 is usual, more is slower.
    pub slowdowns: &'a [f64],
}

/// A map for the demand it was made for.
#[derive(Clone, Debug, PartialEq)]
pub struct AdaptedMap {
    /// The map.
    pub map: ExpertMap,
    /// Experts to copy, over all ranks and sets.
    pub copies: usize,
    /// The most of them that one rank has to copy.
    pub max_copies_per_rank: usize,
    /// Time of the sets' parts of a pass with the map in use, as a multiple of
    /// what the best spread would take.
    pub skew_before: f64,
    /// The same with the new map.
    pub skew_after: f64,
}

/// Adapts `map` to a load.
#[must_use]
pub fn adapt(map: &ExpertMap, load: &GroupLoad<'_>, limits: &CopyLimits) -> AdaptedMap {
    let mut search = Search::new(map, load, limits);
    let skew_before = search.skew();
    let mut best = Stage {
        moves: 0,
        copies: 0,
        skew: skew_before,
    };
    let mut best_price = skew_before;
    while search.moves.len() < MOST_MOVES && search.step() {
        let stage = search.stage();
        #[allow(clippy::cast_precision_loss)] // some thousands at most
        let price = stage.skew + stage.copies as f64 * limits.skew_cost_per_copy * skew_before;
        if price < best_price {
            best_price = price;
            best = stage;
        }
    }
    let adapted = apply_all(map, &search.moves[..best.moves]);
    AdaptedMap {
        copies: best.copies,
        max_copies_per_rank: max_copies_per_rank(map, &adapted),
        map: adapted,
        skew_before,
        skew_after: best.skew,
    }
}

/// The skew of a map for a load: the time of the sets' parts as a multiple of
/// what the best spread would take.
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

/// `map` after some moves, each with the index of its set.
fn apply_all(map: &ExpertMap, moves: &[(usize, Change)]) -> ExpertMap {
    let mut map = map.clone();
    for (set, change) in moves {
        change.apply_to(&mut map[*set][change.rank]);
    }
    map
}

/// The most experts that one rank has in `after` and not in `before`.
fn max_copies_per_rank(before: &ExpertMap, after: &ExpertMap) -> usize {
    let mut copies = vec![0; before.first().map_or(0, Vec::len)];
    for (before, after) in before.iter().zip(after) {
        for ((copies, held), holds) in copies.iter_mut().zip(before).zip(after) {
            *copies += holds.iter().filter(|it| !held.contains(it)).count();
        }
    }
    copies.into_iter().max().unwrap_or(0)
}

/// A plan passed on the way: the moves made so far.
struct Stage {
    moves: usize,
    copies: usize,
    skew: f64,
}

struct Search<'a> {
    limits: &'a CopyLimits,
    sets: Vec<SetSearch<'a>>,
    /// The best move of each set. A move changes one set, so the others' stay;
    /// looking through all sets for each move made planning for twelve sets of
    /// 72 ranks take longer than the demand stays.
    candidates: Vec<Option<Candidate>>,
    /// Ranks that may get one more new expert.
    open: Vec<bool>,
    new_on_rank: Vec<usize>,
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
        let open = vec![limits.max_new_per_rank > 0; ranks];
        Self {
            limits,
            candidates: sets.iter().map(|set| set.best(limits, &open)).collect(),
            sets,
            open,
            new_on_rank: vec![0; ranks],
            moves: Vec::new(),
            copies: 0,
        }
    }

    /// Makes the best move; `false` if none is left.
    fn step(&mut self) -> bool {
        let found = self.candidates.iter().enumerate();
        let found = found.filter_map(|(set, candidate)| Some((set, (*candidate)?)));
        let best = found.max_by(|a, b| a.1.gain.total_cmp(&b.1.gain));
        let Some((index, Candidate { change, .. })) = best else {
            return false;
        };
        if self.sets[index].is_copy(change) {
            self.count_copy(change.rank);
        }
        self.sets[index].apply(change);
        self.moves.push((index, change));
        self.candidates[index] = self.sets[index].best(self.limits, &self.open);
        true
    }

    fn count_copy(&mut self, rank: usize) {
        self.copies += 1;
        self.new_on_rank[rank] += 1;
        if self.new_on_rank[rank] < self.limits.max_new_per_rank {
            return;
        }
        self.open[rank] = false;
        for (set, candidate) in self.sets.iter().zip(&mut self.candidates) {
            if candidate.is_some_and(|it| it.change.rank == rank && it.change.comes.is_some()) {
                *candidate = set.best(self.limits, &self.open);
            }
        }
    }

    #[allow(clippy::cast_precision_loss)] // few sets
    fn skew(&self) -> f64 {
        let sum: f64 = self.sets.iter().map(SetSearch::skew).sum();
        sum / self.sets.len().max(1) as f64
    }

    fn stage(&self) -> Stage {
        Stage {
            moves: self.moves.len(),
            copies: self.copies,
            skew: self.skew(),
        }
    }
}
