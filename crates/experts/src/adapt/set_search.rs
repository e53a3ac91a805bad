//! Moves within one set: how loaded its ranks are, and which move lowers that
//! most.

use super::limits::CopyLimits;

/// Power of a rank's time in the sum that a move has to lower.
const POWER: i32 = 8;

/// Least loaded ranks looked at for each move.
const LIGHT_RANKS: usize = 6;

/// Experts of the most loaded rank looked at for each move.
const HEAVY_EXPERTS: usize = 3;

/// A move and by how much it lowers its set's sum of powers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) gain: f64,
    pub(super) change: Change,
}

/// One expert more or less on one rank.
#[derive(Clone, Copy, Debug)]
pub(super) struct Change {
    pub(super) rank: usize,
    /// The expert that comes.
    pub(super) comes: Option<u16>,
    /// The expert that leaves.
    leaves: Option<u16>,
}

impl Change {
    pub(super) fn apply_to(self, experts: &mut Vec<u16>) {
        experts.retain(|expert| Some(*expert) != self.leaves);
        experts.extend(self.comes);
    }
}

/// The search for better moves in one set.
pub(super) struct SetSearch<'a> {
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
    pub(super) fn new(before: &'a [Vec<u16>], demand: &'a [f64], paces: &'a [f64]) -> Self {
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
    pub(super) fn is_copy(&self, change: Change) -> bool {
        let held = &self.before[change.rank];
        change.comes.is_some_and(|expert| !held.contains(&expert))
    }

    pub(super) fn skew(&self) -> f64 {
        self.times.iter().copied().fold(0.0, f64::max) / self.best_time
    }

    fn new_count(&self, rank: usize) -> usize {
        let held = &self.before[rank];
        let new = self.ranks[rank].iter().filter(|it| !held.contains(it));
        new.count()
    }

    pub(super) fn best(&self, limits: &CopyLimits, open: &[bool]) -> Option<Candidate> {
        let most = self.most_loaded()?;
        let heavy = self.heavy_experts(most);
        let light = self.light_ranks(limits, open);
        let copies = heavy.iter().flat_map(|expert| {
            let ranks = light
                .iter()
                .filter(|rank| !self.ranks[**rank].contains(expert));
            ranks.flat_map(|rank| self.copies_to(*rank, *expert, limits.slots_per_rank))
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
    fn light_ranks(&self, limits: &CopyLimits, open: &[bool]) -> Vec<usize> {
        let is_open = |rank: &usize| open[*rank] && self.new_count(*rank) < limits.max_new_per_set;
        let mut ranks: Vec<usize> = (0..self.ranks.len()).filter(is_open).collect();
        ranks.sort_by(|a, b| self.times[*a].total_cmp(&self.times[*b]));
        ranks.truncate(LIGHT_RANKS);
        ranks
    }

    /// Ways to put the expert on the rank.
    fn copies_to(&self, rank: usize, expert: u16, slots_per_rank: usize) -> Vec<Change> {
        let change = |leaves| Change {
            rank,
            comes: Some(expert),
            leaves,
        };
        if self.ranks[rank].len() < slots_per_rank {
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

    pub(super) fn apply(&mut self, change: Change) {
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
