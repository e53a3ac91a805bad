//! Searches one layer set for the move that lowers the load imbalance most. The imbalance is
//! the sum of a high power of the ranks' times.

use super::limits::CopyLimits;

/// Exponent of a rank's time in the sum that a move has to lower.
const TIME_EXPONENT: i32 = 8;

/// Number of the least loaded ranks that are candidates for a copy, per move.
const LIGHT_RANKS: usize = 6;

/// Number of the most loaded rank's most loaded experts that are candidates for
/// a copy, per move.
const HEAVY_EXPERTS: usize = 3;

/// A move, and by how much it lowers the sum of powers of its layer set.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) gain: f64,
    pub(super) change: Change,
}

/// Adds an expert to a rank, removes one, or replaces one by another.
#[derive(Clone, Copy, Debug)]
pub(super) struct Change {
    pub(super) rank: usize,
    pub(super) added: Option<u16>,
    removed: Option<u16>,
}

impl Change {
    pub(super) fn apply_to(self, experts: &mut Vec<u16>) {
        experts.retain(|expert| Some(*expert) != self.removed);
        experts.extend(self.added);
    }
}

/// State of the search in one layer set.
pub(super) struct SetSearch<'a> {
    before: &'a [Vec<u16>],
    demand: &'a [f64],
    slowdowns: &'a [f64],
    ranks: Vec<Vec<u16>>,
    /// The ranks that hold each expert.
    holders: Vec<Vec<usize>>,
    times: Vec<f64>,
    /// Time of every rank if the load were spread in proportion to the ranks'
    /// speeds.
    balanced_time: f64,
}

impl<'a> SetSearch<'a> {
    pub(super) fn new(before: &'a [Vec<u16>], demand: &'a [f64], slowdowns: &'a [f64]) -> Self {
        let mut holders = vec![Vec::new(); demand.len()];
        for (rank, experts) in before.iter().enumerate() {
            for expert in experts {
                holders[usize::from(*expert)].push(rank);
            }
        }
        let total: f64 = demand.iter().sum();
        let speed: f64 = slowdowns
            .iter()
            .map(|slowdown| 1.0 / slowdown.max(0.01))
            .sum();
        let mut search = Self {
            before,
            demand,
            slowdowns,
            ranks: before.to_vec(),
            holders,
            times: Vec::new(),
            balanced_time: (total / speed.max(f64::MIN_POSITIVE)).max(f64::MIN_POSITIVE),
        };
        search.times = search.all_times();
        search
    }

    fn all_times(&self) -> Vec<f64> {
        let time = |(experts, slowdown): (&Vec<u16>, &f64)| {
            let shares = experts.iter().map(|expert| self.share(*expert));
            shares.sum::<f64>() * slowdown
        };
        self.ranks.iter().zip(self.slowdowns).map(time).collect()
    }

    #[allow(clippy::cast_precision_loss)] // few ranks
    fn copy_count(&self, expert: u16) -> f64 {
        self.holders[usize::from(expert)].len() as f64
    }

    fn share(&self, expert: u16) -> f64 {
        self.demand[usize::from(expert)] / self.copy_count(expert).max(1.0)
    }

    fn has_other_holders(&self, expert: u16) -> bool {
        self.holders[usize::from(expert)].len() > 1
    }

    /// Whether the rank has to copy an expert for this change.
    pub(super) fn needs_copy(&self, change: Change) -> bool {
        let held_before = &self.before[change.rank];
        change
            .added
            .is_some_and(|expert| !held_before.contains(&expert))
    }

    pub(super) fn skew(&self) -> f64 {
        self.times.iter().copied().fold(0.0, f64::max) / self.balanced_time
    }

    fn new_expert_count(&self, rank: usize) -> usize {
        let held_before = &self.before[rank];
        let new_experts = self.ranks[rank]
            .iter()
            .filter(|expert| !held_before.contains(expert));
        new_experts.count()
    }

    pub(super) fn find_best(
        &self,
        limits: &CopyLimits,
        accepts_copies: &[bool],
    ) -> Option<Candidate> {
        let most_loaded_rank = self.most_loaded_rank()?;
        let heavy_experts = self.heavy_experts(most_loaded_rank);
        let light_ranks = self.light_ranks(limits, accepts_copies);
        let additions = heavy_experts.iter().flat_map(|expert| {
            let ranks = light_ranks
                .iter()
                .filter(|rank| !self.ranks[**rank].contains(expert));
            ranks.flat_map(|rank| self.additions_to(*rank, *expert, limits.slots_per_rank))
        });
        let removals = self.ranks[most_loaded_rank]
            .iter()
            .filter(|expert| self.has_other_holders(**expert));
        let removals = removals.map(|expert| Change {
            rank: most_loaded_rank,
            added: None,
            removed: Some(*expert),
        });
        let moves = additions.chain(removals).map(|change| Candidate {
            gain: self.gain(change),
            change,
        });
        moves
            .filter(|candidate| candidate.gain > 0.0)
            .max_by(|a, b| a.gain.total_cmp(&b.gain))
    }

    fn most_loaded_rank(&self) -> Option<usize> {
        let ranks = self.times.iter().enumerate();
        ranks
            .max_by(|a, b| a.1.total_cmp(b.1))
            .map(|(rank, _)| rank)
    }

    fn heavy_experts(&self, rank: usize) -> Vec<u16> {
        let mut heavy_experts = self.ranks[rank].clone();
        heavy_experts.sort_by(|a, b| self.share(*b).total_cmp(&self.share(*a)));
        heavy_experts.truncate(HEAVY_EXPERTS);
        heavy_experts
    }

    /// The least loaded of the ranks that may get another new expert.
    fn light_ranks(&self, limits: &CopyLimits, accepts_copies: &[bool]) -> Vec<usize> {
        let may_get_copy = |rank: &usize| {
            accepts_copies[*rank] && self.new_expert_count(*rank) < limits.max_new_per_set
        };
        let mut ranks: Vec<usize> = (0..self.ranks.len()).filter(may_get_copy).collect();
        ranks.sort_by(|a, b| self.times[*a].total_cmp(&self.times[*b]));
        ranks.truncate(LIGHT_RANKS);
        ranks
    }

    /// The changes that add the expert to the rank: to a free slot if there is
    /// one, otherwise in place of an expert that other ranks hold too.
    fn additions_to(&self, rank: usize, expert: u16, slots_per_rank: usize) -> Vec<Change> {
        let change = |removed| Change {
            rank,
            added: Some(expert),
            removed,
        };
        if self.ranks[rank].len() < slots_per_rank {
            return vec![change(None)];
        }
        let replaceable = self.ranks[rank]
            .iter()
            .filter(|expert| self.has_other_holders(**expert));
        replaceable.map(|removed| change(Some(*removed))).collect()
    }

    /// Reduction of the sum of powers by a change.
    fn gain(&self, change: Change) -> f64 {
        let deltas = self.deltas(change);
        let reductions = deltas.iter().map(|(rank, delta)| {
            let time = self.times[*rank];
            self.power(time) - self.power(time + delta)
        });
        reductions.sum()
    }

    fn power(&self, time: f64) -> f64 {
        (time / self.balanced_time).powi(TIME_EXPONENT)
    }

    /// The ranks affected by a change, and what the change adds to their times.
    fn deltas(&self, change: Change) -> Vec<(usize, f64)> {
        let mut deltas = Vec::new();
        if let Some(removed) = change.removed {
            let remaining_share =
                self.demand[usize::from(removed)] / (self.copy_count(removed) - 1.0);
            self.add_to_holders(&mut deltas, removed, remaining_share - self.share(removed));
            self.add_load(&mut deltas, change.rank, -remaining_share);
        }
        if let Some(added) = change.added {
            let new_share = self.demand[usize::from(added)] / (self.copy_count(added) + 1.0);
            self.add_to_holders(&mut deltas, added, new_share - self.share(added));
            self.add_load(&mut deltas, change.rank, new_share);
        }
        deltas
    }

    fn add_to_holders(&self, deltas: &mut Vec<(usize, f64)>, expert: u16, load: f64) {
        for rank in &self.holders[usize::from(expert)] {
            self.add_load(deltas, *rank, load);
        }
    }

    fn add_load(&self, deltas: &mut Vec<(usize, f64)>, rank: usize, load: f64) {
        let time = load * self.slowdowns[rank];
        match deltas.iter_mut().find(|(other, _)| *other == rank) {
            Some((_, delta)) => *delta += time,
            None => deltas.push((rank, time)),
        }
    }

    pub(super) fn apply(&mut self, change: Change) {
        for (rank, delta) in self.deltas(change) {
            self.times[rank] += delta;
        }
        change.apply_to(&mut self.ranks[change.rank]);
        if let Some(removed) = change.removed {
            self.holders[usize::from(removed)].retain(|rank| *rank != change.rank);
        }
        if let Some(added) = change.added {
            self.holders[usize::from(added)].push(change.rank);
        }
    }
}
