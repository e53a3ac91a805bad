//! The demand for experts, from counts that only ever grow.
//!
//! Each rank counts how often its requests chose each expert since it started.
//! Differences of two readings give the demand between them. After a shift the
//! old demand is no guide, so only the newest part counts: an average that
//! forgets within a few readings follows a shift at once, and the many choices
//! of each reading keep it steady without longer memory.

use serde::{Deserialize, Serialize};

use crate::switching::{Epoch, Pass};

/// What one rank has counted since it started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankCounts {
    /// Unix time of the engine's start in milliseconds, if it tells it.
    pub started_unix_ms: Option<u64>,
    /// The last pass counted.
    pub pass: Pass,
    /// The group's life.
    pub epoch: Epoch,
    /// Choices by expert, set after set.
    pub counts: Vec<u64>,
}

impl RankCounts {
    /// Whether these counts go on from `earlier` ones. An engine that starts
    /// anew, or a group that forms anew, counts from zero; a difference to
    /// what was counted before would tell of choices that nobody made.
    #[must_use]
    pub fn is_continuation_of(&self, earlier: &Self) -> bool {
        self.started_unix_ms == earlier.started_unix_ms && self.epoch == earlier.epoch
    }
}

/// Weight of the newest reading. Readings are a pass or two apart; two of them
/// make up four fifths of the estimate.
const NEWEST_WEIGHT: f64 = 0.55;

/// A reading of a set that differs in more than this part of its choices is a
/// shift, and the estimate starts anew from it. Readings between two shifts
/// differ in a twentieth to a tenth.
const SHIFT_DISTANCE: f64 = 0.15;

/// Choices in one reading that make it worth looking at; fewer come from a
/// group that is nearly idle.
const LEAST_CHOICES: f64 = 500.0;

/// The demand of one group.
#[derive(Clone, Debug)]
pub struct DemandTracker {
    experts: usize,
    last: Vec<Option<RankCounts>>,
    demand: Vec<Vec<f64>>,
    readings: u32,
}

impl DemandTracker {
    /// No demand seen yet of a group with that many sets and experts a set.
    #[must_use]
    pub fn new(sets: usize, experts: usize) -> Self {
        Self {
            experts,
            last: Vec::new(),
            demand: vec![vec![0.0; experts]; sets],
            readings: 0,
        }
    }

    /// Takes in one reading of all ranks; ranks that could not be read are left
    /// out.
    pub fn observe(&mut self, reading: Vec<Option<RankCounts>>) {
        let mut fresh = vec![0.0; self.demand.len() * self.experts];
        if self.last.len() < reading.len() {
            self.last.resize(reading.len(), None);
        }
        for (last, now) in self.last.iter_mut().zip(reading) {
            let Some(now) = now else {
                continue;
            };
            if let Some(last) = last.as_ref().filter(|last| now.is_continuation_of(last)) {
                add_difference(&mut fresh, &last.counts, &now.counts);
            }
            *last = Some(now);
        }
        self.merge(&fresh);
    }

    fn merge(&mut self, fresh: &[f64]) {
        let is_enough = fresh.iter().sum::<f64>() >= LEAST_CHOICES;
        if !is_enough {
            return;
        }
        let is_first = self.readings == 0;
        for (set, fresh) in self.demand.iter_mut().zip(fresh.chunks(self.experts)) {
            let total: f64 = fresh.iter().sum::<f64>().max(1.0);
            let shares: Vec<f64> = fresh.iter().map(|count| count / total).collect();
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
        self.readings += 1;
    }

    /// The share of each set's choices that each expert has; `None` before
    /// anything was seen.
    #[must_use]
    pub fn demand(&self) -> Option<&[Vec<f64>]> {
        (self.readings > 0).then_some(&self.demand)
    }
}

/// The part of all choices in which two distributions differ.
fn distance(a: &[f64], b: &[f64]) -> f64 {
    let sum: f64 = a.iter().zip(b).map(|(a, b)| (a - b).abs()).sum();
    sum / 2.0
}

#[allow(clippy::cast_precision_loss)] // counts between two readings
fn add_difference(fresh: &mut [f64], last: &[u64], now: &[u64]) {
    for ((sum, last), now) in fresh.iter_mut().zip(last).zip(now) {
        // A rank that started anew counts from zero.
        *sum += now.checked_sub(*last).unwrap_or(0) as f64;
    }
}
