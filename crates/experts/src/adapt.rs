//! Adapting the maps of all sets to a new demand, under the engines' limits.
//!
//! After a shift of demand the map in use is wrong until the next one is in
//! force, and copying experts takes most of that time: ranks copy one expert
//! after the other, all ranks at once. A plan therefore bounds the new experts
//! of a rank over all sets together, and takes the copies that relieve the
//! most loaded ranks most, in whichever set they are.
//!
//! Each move puts one more copy of an expert on a rank, in a free place or in
//! place of an expert that stands elsewhere too. Of all moves the one is taken
//! that lowers the sum of a high power of the ranks' loads most: with the plain
//! maximum, a tie between two loaded ranks would hide that one was relieved.

use crate::switching::Map;

/// Power of a rank's load in the sum that a move has to lower.
const POWER: i32 = 8;

/// Least loaded ranks looked at for each move.
const LIGHT_RANKS: usize = 6;

/// Experts of the most loaded rank looked at for each move.
const HEAVY_EXPERTS: usize = 3;

/// What the engines allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Experts on one rank in one set.
    pub places: usize,
    /// New experts on one rank in one set.
    pub new_in_set: usize,
    /// New experts on one rank in all sets: bounds the time to copy.
    pub new_on_rank: usize,
}

/// A map for the demand it was made for.
#[derive(Clone, Debug, PartialEq)]
pub struct Adapted {
    /// The map.
    pub map: Map,
    /// Experts to copy, over all ranks and sets.
    pub copies: usize,
    /// Time of the sets' parts of a pass with the map in use, as a multiple of
    /// what an even spread would take.
    pub skew_before: f64,
    /// The same with the new map.
    pub skew_after: f64,
}

/// Adapts `map` to the demand of each set and expert.
///
/// `least_gain` is the part of the skew that one copy has to save.
#[must_use]
pub fn adapt(map: &Map, demand: &[Vec<f64>], limits: &Limits, least_gain: f64) -> Adapted {
    let ranks = map.first().map_or(0, Vec::len);
    let mut sets: Vec<SetSearch<'_>> = map
        .iter()
        .zip(demand)
        .map(|(set, demand)| SetSearch::new(set, demand))
        .collect();
    let skew_before = mean_skew(&sets);
    let mut new_on_rank = vec![0; ranks];
    let mut copies = 0;
    loop {
        let is_open = |rank: usize| new_on_rank[rank] < limits.new_on_rank;
        let candidates = sets.iter().enumerate().filter_map(|(index, set)| {
            let (gain, change) = set.best(limits, &is_open)?;
            Some((gain, index, change))
        });
        let best = candidates.max_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, index, change)) = best else {
            break;
        };
        let before = mean_skew(&sets);
        let undo = sets[index].clone();
        sets[index].apply(change);
        // A chain of moves may pay although its first does not, but each
        // costs time and transfer, so one that saves nothing ends the search.
        if before - mean_skew(&sets) < least_gain * before && undo.is_level() {
            sets[index] = undo;
            break;
        }
        new_on_rank[change.rank] += 1;
        copies += 1;
    }
    Adapted {
        skew_before,
        skew_after: mean_skew(&sets),
        copies,
        map: sets.into_iter().map(|set| set.ranks).collect(),
    }
}

/// The skew of a map for a demand: the time of the sets' parts as a multiple of
/// what an even spread would take.
#[must_use]
pub fn skew(map: &Map, demand: &[Vec<f64>]) -> f64 {
    let sets: Vec<SetSearch<'_>> = map
        .iter()
        .zip(demand)
        .map(|(set, demand)| SetSearch::new(set, demand))
        .collect();
    mean_skew(&sets)
}

#[allow(clippy::cast_precision_loss)] // few sets
fn mean_skew(sets: &[SetSearch<'_>]) -> f64 {
    let sum: f64 = sets.iter().map(SetSearch::skew).sum();
    sum / sets.len().max(1) as f64
}

#[derive(Clone, Copy, Debug)]
struct Change {
    rank: usize,
    expert: u16,
    /// The expert that makes room; none where a place is free.
    leaves: Option<u16>,
}

#[derive(Clone)]
struct SetSearch<'a> {
    before: &'a [Vec<u16>],
    demand: &'a [f64],
    ranks: Vec<Vec<u16>>,
    copies: Vec<u32>,
    loads: Vec<f64>,
    mean: f64,
}

impl<'a> SetSearch<'a> {
    fn new(before: &'a [Vec<u16>], demand: &'a [f64]) -> Self {
        let mut copies = vec![0; demand.len()];
        for expert in before.iter().flatten() {
            copies[usize::from(*expert)] += 1;
        }
        let total: f64 = demand.iter().sum();
        #[allow(clippy::cast_precision_loss)] // few ranks
        let mean = (total / before.len().max(1) as f64).max(f64::MIN_POSITIVE);
        let mut search = Self {
            before,
            demand,
            ranks: before.to_vec(),
            copies,
            loads: Vec::new(),
            mean,
        };
        search.loads = search.all_loads();
        search
    }

    fn all_loads(&self) -> Vec<f64> {
        let load = |experts: &Vec<u16>| experts.iter().map(|expert| self.share(*expert)).sum();
        self.ranks.iter().map(load).collect()
    }

    fn share(&self, expert: u16) -> f64 {
        let expert = usize::from(expert);
        self.demand[expert] / f64::from(self.copies[expert].max(1))
    }

    fn skew(&self) -> f64 {
        self.loads.iter().copied().fold(0.0, f64::max) / self.mean
    }

    /// Whether no single rank stands out, so that one more move cannot be the
    /// first of several that together lower the maximum.
    fn is_level(&self) -> bool {
        let most = self.loads.iter().copied().fold(0.0, f64::max);
        let near = self.loads.iter().filter(|load| **load > most * 0.97);
        near.count() < 2
    }

    fn new_count(&self, rank: usize) -> usize {
        let held = &self.before[rank];
        let new = self.ranks[rank].iter().filter(|it| !held.contains(it));
        new.count()
    }

    fn best(&self, limits: &Limits, is_open: &dyn Fn(usize) -> bool) -> Option<(f64, Change)> {
        let most = self.most_loaded()?;
        let mut best: Option<(f64, Change)> = None;
        for expert in self.heavy_experts(most) {
            for rank in self.light_ranks() {
                let is_full = self.new_count(rank) >= limits.new_in_set;
                if is_full || !is_open(rank) || self.ranks[rank].contains(&expert) {
                    continue;
                }
                for change in self.changes(rank, expert, limits.places) {
                    let gain = self.gain(change);
                    if gain > best.map_or(0.0, |(gain, _)| gain) {
                        best = Some((gain, change));
                    }
                }
            }
        }
        best
    }

    fn most_loaded(&self) -> Option<usize> {
        let ranks = self.loads.iter().enumerate();
        ranks
            .max_by(|a, b| a.1.total_cmp(b.1))
            .map(|(rank, _)| rank)
    }

    fn heavy_experts(&self, rank: usize) -> Vec<u16> {
        let mut heavy = self.ranks[rank].clone();
        heavy.sort_by(|a, b| self.share(*b).total_cmp(&self.share(*a)));
        heavy.truncate(HEAVY_EXPERTS);
        heavy
    }

    fn light_ranks(&self) -> Vec<usize> {
        let mut ranks: Vec<usize> = (0..self.ranks.len()).collect();
        ranks.sort_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b]));
        ranks.truncate(LIGHT_RANKS);
        ranks
    }

    /// Ways to put the expert on the rank.
    fn changes(&self, rank: usize, expert: u16, places: usize) -> Vec<Change> {
        let change = |leaves| Change {
            rank,
            expert,
            leaves,
        };
        if self.ranks[rank].len() < places {
            return vec![change(None)];
        }
        let spare = self.ranks[rank]
            .iter()
            .filter(|it| self.copies[usize::from(**it)] > 1);
        spare.map(|leaves| change(Some(*leaves))).collect()
    }

    /// By how much the change lowers the sum of powers.
    fn gain(&self, change: Change) -> f64 {
        let mut after = self.clone();
        after.apply(change);
        self.power_sum() - after.power_sum()
    }

    fn power_sum(&self) -> f64 {
        let powered = self.loads.iter().map(|load| (load / self.mean).powi(POWER));
        powered.sum()
    }

    fn apply(&mut self, change: Change) {
        if let Some(leaves) = change.leaves {
            self.ranks[change.rank].retain(|expert| *expert != leaves);
            self.copies[usize::from(leaves)] -= 1;
        }
        self.ranks[change.rank].push(change.expert);
        self.copies[usize::from(change.expert)] += 1;
        self.loads = self.all_loads();
    }
}
