//! Estimates the demand for each expert from cumulative counters.
//!
//! Each rank counts how often its requests were routed to each expert since
//! its engine started. The difference between two polls is the demand between
//! them.
//!
//! Older polls do not predict the demand after a shift, so the moving average
//! gives them little weight and follows a shift at once. Each poll covers
//! enough routing decisions to keep the average stable without a longer window.

use serde::{Deserialize, Serialize};

use crate::switching::{Epoch, Pass};

/// The counters of one rank since its engine started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankCounts {
    /// Unix time of the engine's start in milliseconds, if the engine reports it.
    pub started_unix_ms: Option<u64>,
    /// The last forward pass included in the counts.
    pub pass: Pass,
    /// The epoch of the group in which the counts were taken.
    pub epoch: Epoch,
    /// Routing decisions per expert: all experts of the first layer set, then
    /// those of the next.
    pub counts: Vec<u64>,
}

impl RankCounts {
    /// Whether these counts continue the `earlier` ones. Counters restart at
    /// zero when the engine restarts or the group forms again, so a difference
    /// across such a restart is meaningless.
    #[must_use]
    pub fn is_continuation_of(&self, earlier: &Self) -> bool {
        self.started_unix_ms == earlier.started_unix_ms && self.epoch == earlier.epoch
    }
}

/// Weight of the newest poll in the moving average. Polls are one or two passes
/// apart; the last two make up four fifths of the estimate.
const NEWEST_WEIGHT: f64 = 0.55;

/// Distance between a poll and the estimate, as a fraction of the routing
/// decisions of a layer set, above which the poll is a shift of demand and
/// replaces the estimate. Polls between two shifts differ by a twentieth to a
/// tenth.
const SHIFT_DISTANCE: f64 = 0.15;

/// Routing decisions that a poll must contain to change the estimate. A poll
/// with fewer comes from a group that is nearly idle.
const MIN_ROUTING_DECISIONS: f64 = 500.0;

/// Estimates the demand of one group.
#[derive(Clone, Debug)]
pub struct DemandTracker {
    experts: usize,
    previous: Vec<Option<RankCounts>>,
    demand: Vec<Vec<f64>>,
    polls_merged: u32,
}

impl DemandTracker {
    /// Creates a tracker without an estimate, for a group with `sets` layer
    /// sets of `experts` experts each.
    #[must_use]
    pub fn new(sets: usize, experts: usize) -> Self {
        Self {
            experts,
            previous: Vec::new(),
            demand: vec![vec![0.0; experts]; sets],
            polls_merged: 0,
        }
    }

    /// Updates the estimate from one poll of all ranks. Ranks that did not
    /// respond are `None` and are skipped.
    pub fn observe(&mut self, poll: Vec<Option<RankCounts>>) {
        let mut added = vec![0.0; self.demand.len() * self.experts];
        if self.previous.len() < poll.len() {
            self.previous.resize(poll.len(), None);
        }
        for (previous, current) in self.previous.iter_mut().zip(poll) {
            let Some(current) = current else {
                continue;
            };
            if let Some(previous) = previous
                .as_ref()
                .filter(|previous| current.is_continuation_of(previous))
            {
                add_difference(&mut added, &previous.counts, &current.counts);
            }
            *previous = Some(current);
        }
        self.merge(&added);
    }

    fn merge(&mut self, added: &[f64]) {
        let is_enough = added.iter().sum::<f64>() >= MIN_ROUTING_DECISIONS;
        if !is_enough {
            return;
        }
        let is_first = self.polls_merged == 0;
        for (set, added) in self.demand.iter_mut().zip(added.chunks(self.experts)) {
            let total: f64 = added.iter().sum::<f64>().max(1.0);
            let shares: Vec<f64> = added.iter().map(|count| count / total).collect();
            let is_shift = distance(set, &shares) > SHIFT_DISTANCE;
            let weight = if is_first || is_shift {
                1.0
            } else {
                NEWEST_WEIGHT
            };
            for (demand, share) in set.iter_mut().zip(shares) {
                *demand += weight * (share - *demand);
            }
        }
        self.polls_merged += 1;
    }

    /// For each layer set, the fraction of its routing decisions that went to
    /// each expert. `None` until a poll was large enough to give an estimate.
    #[must_use]
    pub fn demand(&self) -> Option<&[Vec<f64>]> {
        (self.polls_merged > 0).then_some(&self.demand)
    }
}

/// The total variation distance of two distributions.
fn distance(a: &[f64], b: &[f64]) -> f64 {
    let sum: f64 = a.iter().zip(b).map(|(a, b)| (a - b).abs()).sum();
    sum / 2.0
}

#[allow(clippy::cast_precision_loss)] // differences between two polls are small
fn add_difference(added: &mut [f64], previous: &[u64], current: &[u64]) {
    for ((sum, previous), current) in added.iter_mut().zip(previous).zip(current) {
        // A counter that went down was reset by a restart of the rank.
        *sum += current.checked_sub(*previous).unwrap_or(0) as f64;
    }
}
