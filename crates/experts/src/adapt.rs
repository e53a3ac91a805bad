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

/// Moves in one plan, as a bound on the time spent planning.
const MOST_MOVES: usize = 200;

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
    let mut best = search.plan(skew_before);
    let mut best_price = skew_before;
    for _ in 0..MOST_MOVES {
        if !search.step() {
            break;
        }
        #[allow(clippy::cast_precision_loss)] // a few dozen
        let paid = search.copies as f64 * limits.copy_price * skew_before;
        let price = search.skew() + paid;
        if price < best_price {
            best_price = price;
            best = search.plan(skew_before);
        }
    }
    best
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

struct Search<'a> {
    limits: &'a Limits,
    sets: Vec<SetSearch<'a>>,
    new_on_rank: Vec<usize>,
    copies: usize,
}

impl<'a> Search<'a> {
    fn new(map: &'a Map, load: &Load<'a>, limits: &'a Limits) -> Self {
        let ranks = map.first().map_or(0, Vec::len);
        let sets = map.iter().zip(load.demand);
        Self {
            limits,
            sets: sets
                .map(|(set, demand)| SetSearch::new(set, demand, load.paces))
                .collect(),
            new_on_rank: vec![0; ranks],
            copies: 0,
        }
    }

    /// Makes the best move; `false` if none is left.
    fn step(&mut self) -> bool {
        let open: Vec<bool> = self
            .new_on_rank
            .iter()
            .map(|count| *count < self.limits.new_on_rank)
            .collect();
        let sets = self.sets.iter().enumerate();
        let moves = sets.filter_map(|(index, set)| {
            let (gain, change) = set.best(self.limits, &open)?;
            Some((gain, index, change))
        });
        let Some((_, index, change)) = moves.max_by(|a, b| a.0.total_cmp(&b.0)) else {
            return false;
        };
        if change.is_copy() {
            self.new_on_rank[change.rank] += 1;
            self.copies += 1;
        }
        self.sets[index].apply(change);
        true
    }

    #[allow(clippy::cast_precision_loss)] // few sets
    fn skew(&self) -> f64 {
        let sum: f64 = self.sets.iter().map(SetSearch::skew).sum();
        sum / self.sets.len().max(1) as f64
    }

    fn plan(&self, skew_before: f64) -> Adapted {
        Adapted {
            map: self.sets.iter().map(|set| set.ranks.clone()).collect(),
            copies: self.copies,
            skew_before,
            skew_after: self.skew(),
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
    fn is_copy(&self) -> bool {
        self.comes.is_some()
    }
}

struct SetSearch<'a> {
    before: &'a [Vec<u16>],
    demand: &'a [f64],
    paces: &'a [f64],
    ranks: Vec<Vec<u16>>,
    copies: Vec<u32>,
    times: Vec<f64>,
    /// Time of every rank if the work were spread by the ranks' speeds.
    best_time: f64,
}

impl<'a> SetSearch<'a> {
    fn new(before: &'a [Vec<u16>], demand: &'a [f64], paces: &'a [f64]) -> Self {
        let mut copies = vec![0; demand.len()];
        for expert in before.iter().flatten() {
            copies[usize::from(*expert)] += 1;
        }
        let total: f64 = demand.iter().sum();
        let speed: f64 = paces.iter().map(|pace| 1.0 / pace.max(0.01)).sum();
        let mut search = Self {
            before,
            demand,
            paces,
            ranks: before.to_vec(),
            copies,
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

    fn share(&self, expert: u16) -> f64 {
        let expert = usize::from(expert);
        self.demand[expert] / f64::from(self.copies[expert].max(1))
    }

    fn is_spare(&self, expert: u16) -> bool {
        self.copies[usize::from(expert)] > 1
    }

    fn skew(&self) -> f64 {
        self.times.iter().copied().fold(0.0, f64::max) / self.best_time
    }

    fn new_count(&self, rank: usize) -> usize {
        let held = &self.before[rank];
        let new = self.ranks[rank].iter().filter(|it| !held.contains(it));
        new.count()
    }

    fn best(&self, limits: &Limits, open: &[bool]) -> Option<(f64, Change)> {
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
        let moves = copies
            .chain(drops)
            .map(|change| (self.gain(change), change));
        moves
            .filter(|(gain, _)| *gain > 0.0)
            .max_by(|a, b| a.0.total_cmp(&b.0))
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
        let mut times = self.times.clone();
        if let Some(leaves) = change.leaves {
            let demand = self.demand[usize::from(leaves)];
            let count = f64::from(self.copies[usize::from(leaves)]);
            self.add_to_holders(&mut times, leaves, demand / (count - 1.0) - demand / count);
            times[change.rank] -= demand / (count - 1.0) * self.paces[change.rank];
        }
        if let Some(comes) = change.comes {
            let demand = self.demand[usize::from(comes)];
            let count = f64::from(self.copies[usize::from(comes)]);
            self.add_to_holders(&mut times, comes, demand / (count + 1.0) - demand / count);
            times[change.rank] += demand / (count + 1.0) * self.paces[change.rank];
        }
        self.power_sum(&self.times) - self.power_sum(&times)
    }

    fn add_to_holders(&self, times: &mut [f64], expert: u16, load: f64) {
        for (rank, experts) in self.ranks.iter().enumerate() {
            if experts.contains(&expert) {
                times[rank] += load * self.paces[rank];
            }
        }
    }

    fn power_sum(&self, times: &[f64]) -> f64 {
        let powered = times.iter().map(|time| (time / self.best_time).powi(POWER));
        powered.sum()
    }

    fn apply(&mut self, change: Change) {
        if let Some(leaves) = change.leaves {
            self.ranks[change.rank].retain(|expert| *expert != leaves);
            self.copies[usize::from(leaves)] -= 1;
        }
        if let Some(comes) = change.comes {
            self.ranks[change.rank].push(comes);
            self.copies[usize::from(comes)] += 1;
        }
        self.times = self.all_times();
    }
}
