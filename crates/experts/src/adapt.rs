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

use crate::switching::Map;

/// Power of a rank's time in the sum that a move has to lower.
const POWER: i32 = 8;

/// Least loaded ranks looked at for each move.
const LIGHT_RANKS: usize = 6;

/// Experts of the most loaded rank looked at for each move.
const HEAVY_EXPERTS: usize = 3;

/// Moves in one plan, as a bound on the time spent planning. A move costs some
/// microseconds, and twelve sets of 72 ranks take up to about a thousand.
const MOST_MOVES: usize = 2_000;

/// What the engines allow and what a copy costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Experts on one rank in one set.
    pub places: usize,
    /// New experts on one rank in one set.
    pub new_in_set: usize,
    /// New experts on one rank in all sets: bounds the time to copy.
    pub new_on_rank: usize,
    /// Part of the skew that one copy has to save.
    pub copy_price: f64,
}

/// Skew that each copied megabyte has to save, at a group of one rank. Copies
/// are paid for by the megabyte, and what a lower skew brings grows with the
/// group: 0.02 for one of 16 ranks and 2,500 MB, the cheapest of the prices
/// that were tried there.
const COPY_PRICE_PER_MB: f64 = 0.000_13;

/// Time for the copies of one change. Copies of one rank follow each other, and
/// until the last one is made the map in use is the wrong one.
const COPY_BUDGET_MS: f64 = 120.0;

/// What it takes to copy one expert to a rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CopyCost {
    /// Size of the expert.
    pub expert_mb: f64,
    /// Time on the rank's link.
    pub copy_ms: f64,
}

impl Limits {
    /// The limits of a group: engines name `places` and `new_in_set`, the rest
    /// follows from the cost of copies.
    ///
    /// One new expert a rank for each change, whatever its size, left groups of
    /// many small experts at over twice the best pass time: 72 ranks with
    /// experts of 16 ms had a skew of 2.6 over 34 s, and 1.4 with as many as the
    /// time allows.
    #[must_use]
    pub fn for_group(places: usize, new_in_set: usize, cost: CopyCost, ranks: usize) -> Self {
        let new_on_rank = COPY_BUDGET_MS / cost.copy_ms.max(1.0);
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_precision_loss,
            clippy::cast_sign_loss
        )] // between 1 and the budget's milliseconds; few ranks
        Self {
            places,
            new_in_set,
            new_on_rank: (new_on_rank as usize).max(1),
            copy_price: COPY_PRICE_PER_MB * cost.expert_mb / ranks.max(1) as f64,
        }
    }
}

/// The demand that a map is made for.
#[derive(Clone, Copy, Debug)]
pub struct Load<'a> {
    /// Share of each set's choices that each expert has.
    pub demand: &'a [Vec<f64>],
    /// How slow each rank's engine is; 1 is usual, more is slower.
    pub paces: &'a [f64],
}

/// A map for the demand it was made for.
#[derive(Clone, Debug, PartialEq)]
pub struct Adapted {
    /// The map.
    pub map: Map,
    /// Experts to copy, over all ranks and sets.
    pub copies: usize,
    /// The most of them that one rank has to copy.
    pub copies_on_rank: usize,
    /// Time of the sets' parts of a pass with the map in use, as a multiple of
    /// what the best spread would take.
    pub skew_before: f64,
    /// The same with the new map.
    pub skew_after: f64,
}

/// Adapts `map` to a load.
#[must_use]
pub fn adapt(map: &Map, load: &Load<'_>, limits: &Limits) -> Adapted {
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
        let price = stage.skew + stage.copies as f64 * limits.copy_price * skew_before;
        if price < best_price {
            best_price = price;
            best = stage;
        }
    }
    let adapted = apply_all(map, &search.moves[..best.moves]);
    Adapted {
        copies: best.copies,
        copies_on_rank: copies_on_rank(map, &adapted),
        map: adapted,
        skew_before,
        skew_after: best.skew,
    }
}

/// The skew of a map for a load: the time of the sets' parts as a multiple of
/// what the best spread would take.
#[must_use]
pub fn skew(map: &Map, load: &Load<'_>) -> f64 {
    let limits = Limits {
        places: 0,
        new_in_set: 0,
        new_on_rank: 0,
        copy_price: 0.0,
    };
    Search::new(map, load, &limits).skew()
}

/// `map` after some moves, each with the index of its set.
fn apply_all(map: &Map, moves: &[(usize, Change)]) -> Map {
    let mut map = map.clone();
    for (set, change) in moves {
        change.apply_to(&mut map[*set][change.rank]);
    }
    map
}

/// The most experts that one rank has in `after` and not in `before`.
fn copies_on_rank(before: &Map, after: &Map) -> usize {
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

/// A move and by how much it lowers its set's sum of powers.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    gain: f64,
    change: Change,
}

struct Search<'a> {
    limits: &'a Limits,
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
    fn new(map: &'a Map, load: &Load<'a>, limits: &'a Limits) -> Self {
        let ranks = map.first().map_or(0, Vec::len);
        let sets = map.iter().zip(load.demand);
        let sets: Vec<SetSearch<'_>> = sets
            .map(|(set, demand)| SetSearch::new(set, demand, load.paces))
            .collect();
        let open = vec![limits.new_on_rank > 0; ranks];
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
        if self.new_on_rank[rank] < self.limits.new_on_rank {
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

#[derive(Clone, Copy, Debug)]
struct Change {
    rank: usize,
    /// The expert that comes.
    comes: Option<u16>,
    /// The expert that leaves.
    leaves: Option<u16>,
}

impl Change {
    fn apply_to(self, experts: &mut Vec<u16>) {
        experts.retain(|expert| Some(*expert) != self.leaves);
        experts.extend(self.comes);
    }
}

struct SetSearch<'a> {
    before: &'a [Vec<u16>],
    demand: &'a [f64],
    paces: &'a [f64],
    ranks: Vec<Vec<u16>>,
    /// The ranks that hold each expert.
    holders: Vec<Vec<usize>>,
    times: Vec<f64>,
    /// Time of every rank if the work were spread by the ranks' speeds.
    best_time: f64,
}

impl<'a> SetSearch<'a> {
    fn new(before: &'a [Vec<u16>], demand: &'a [f64], paces: &'a [f64]) -> Self {
        let mut holders = vec![Vec::new(); demand.len()];
        for (rank, experts) in before.iter().enumerate() {
            for expert in experts {
                holders[usize::from(*expert)].push(rank);
            }
        }
        let total: f64 = demand.iter().sum();
        let speed: f64 = paces.iter().map(|pace| 1.0 / pace.max(0.01)).sum();
        let mut search = Self {
            before,
            demand,
            paces,
            ranks: before.to_vec(),
            holders,
            times: Vec::new(),
            best_time: (total / speed.max(f64::MIN_POSITIVE)).max(f64::MIN_POSITIVE),
        };
        search.times = search.all_times();
        search
    }

    fn all_times(&self) -> Vec<f64> {
        let time = |(experts, pace): (&Vec<u16>, &f64)| {
            let shares = experts.iter().map(|expert| self.share(*expert));
            shares.sum::<f64>() * pace
        };
        self.ranks.iter().zip(self.paces).map(time).collect()
    }

    #[allow(clippy::cast_precision_loss)] // few ranks
    fn copies(&self, expert: u16) -> f64 {
        self.holders[usize::from(expert)].len() as f64
    }

    fn share(&self, expert: u16) -> f64 {
        self.demand[usize::from(expert)] / self.copies(expert).max(1.0)
    }

    fn is_spare(&self, expert: u16) -> bool {
        self.holders[usize::from(expert)].len() > 1
    }

    /// Whether the change brings an expert that the rank has to copy.
    fn is_copy(&self, change: Change) -> bool {
        let held = &self.before[change.rank];
        change.comes.is_some_and(|expert| !held.contains(&expert))
    }

    fn skew(&self) -> f64 {
        self.times.iter().copied().fold(0.0, f64::max) / self.best_time
    }

    fn new_count(&self, rank: usize) -> usize {
        let held = &self.before[rank];
        let new = self.ranks[rank].iter().filter(|it| !held.contains(it));
        new.count()
    }

    fn best(&self, limits: &Limits, open: &[bool]) -> Option<Candidate> {
        let most = self.most_loaded()?;
        let heavy = self.heavy_experts(most);
        let light = self.light_ranks(limits, open);
        let copies = heavy.iter().flat_map(|expert| {
            let ranks = light
                .iter()
                .filter(|rank| !self.ranks[**rank].contains(expert));
            ranks.flat_map(|rank| self.copies_to(*rank, *expert, limits.places))
        });
        let drops = self.ranks[most].iter().filter(|it| self.is_spare(**it));
        let drops = drops.map(|expert| Change {
            rank: most,
            comes: None,
            leaves: Some(*expert),
        });
        let moves = copies.chain(drops).map(|change| Candidate {
            gain: self.gain(change),
            change,
        });
        moves
            .filter(|candidate| candidate.gain > 0.0)
            .max_by(|a, b| a.gain.total_cmp(&b.gain))
    }

    fn most_loaded(&self) -> Option<usize> {
        let ranks = self.times.iter().enumerate();
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

    /// The least loaded of the ranks that may get one more expert.
    fn light_ranks(&self, limits: &Limits, open: &[bool]) -> Vec<usize> {
        let is_open = |rank: &usize| open[*rank] && self.new_count(*rank) < limits.new_in_set;
        let mut ranks: Vec<usize> = (0..self.ranks.len()).filter(is_open).collect();
        ranks.sort_by(|a, b| self.times[*a].total_cmp(&self.times[*b]));
        ranks.truncate(LIGHT_RANKS);
        ranks
    }

    /// Ways to put the expert on the rank.
    fn copies_to(&self, rank: usize, expert: u16, places: usize) -> Vec<Change> {
        let change = |leaves| Change {
            rank,
            comes: Some(expert),
            leaves,
        };
        if self.ranks[rank].len() < places {
            return vec![change(None)];
        }
        let spare = self.ranks[rank].iter().filter(|it| self.is_spare(**it));
        spare.map(|leaves| change(Some(*leaves))).collect()
    }

    /// By how much the change lowers the sum of powers.
    fn gain(&self, change: Change) -> f64 {
        let deltas = self.deltas(change);
        let lowered = deltas.iter().map(|(rank, delta)| {
            let time = self.times[*rank];
            self.power(time) - self.power(time + delta)
        });
        lowered.sum()
    }

    fn power(&self, time: f64) -> f64 {
        (time / self.best_time).powi(POWER)
    }

    /// What the change adds to the times of the ranks that it touches.
    fn deltas(&self, change: Change) -> Vec<(usize, f64)> {
        let mut deltas = Vec::new();
        if let Some(leaves) = change.leaves {
            let left = self.demand[usize::from(leaves)] / (self.copies(leaves) - 1.0);
            self.add_to_holders(&mut deltas, leaves, left - self.share(leaves));
            self.add(&mut deltas, change.rank, -left);
        }
        if let Some(comes) = change.comes {
            let shared = self.demand[usize::from(comes)] / (self.copies(comes) + 1.0);
            self.add_to_holders(&mut deltas, comes, shared - self.share(comes));
            self.add(&mut deltas, change.rank, shared);
        }
        deltas
    }

    fn add_to_holders(&self, deltas: &mut Vec<(usize, f64)>, expert: u16, load: f64) {
        for rank in &self.holders[usize::from(expert)] {
            self.add(deltas, *rank, load);
        }
    }

    fn add(&self, deltas: &mut Vec<(usize, f64)>, rank: usize, load: f64) {
        let time = load * self.paces[rank];
        match deltas.iter_mut().find(|(of, _)| *of == rank) {
            Some((_, delta)) => *delta += time,
            None => deltas.push((rank, time)),
        }
    }

    fn apply(&mut self, change: Change) {
        for (rank, delta) in self.deltas(change) {
            self.times[rank] += delta;
        }
        change.apply_to(&mut self.ranks[change.rank]);
        if let Some(leaves) = change.leaves {
            self.holders[usize::from(leaves)].retain(|rank| *rank != change.rank);
        }
        if let Some(comes) = change.comes {
            self.holders[usize::from(comes)].push(change.rank);
        }
    }
}
