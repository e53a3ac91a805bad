//! Whether to move experts, and which.
//!
//! Popularity drifts over the day, and its measurements lag and are noisy. A
//! move is made only if what it saves over the expected life of the drift,
//! weighed by the owner's weight for skew, is worth more than what it costs,
//! weighed by the owner's weight for rebalancing; and only if the imbalance
//! stands out from the noise. Moves are few at a time and bounded by what the
//! weight store allows, which all groups share.
//!
//! A straggler rank is slow without being overloaded: its measured time is
//! longer than its load explains. Its speed is estimated apart from the
//! loads, and it is given less.

use crate::placement::{LayerLoad, LayerShape, Placement, improve};

/// What the owner and the platform set.
#[derive(Clone, Copy, Debug)]
pub struct PolicyConfig {
    /// What a second of skew costs the owner.
    pub skew_weight: f64,
    /// What a second of rebalancing costs the owner.
    pub cost_weight: f64,
    /// Time over which a found drift is expected to last.
    pub expected_drift_s: f64,
    /// Time to load one expert's weights at this group's share of the store.
    pub expert_loading_s: f64,
    /// Time a switch of maps holds the group up.
    pub switch_pause_s: f64,
    /// Share of a step that loading weights in the background takes away.
    pub loading_slowdown: f64,
    /// Moves in all layers together at one time: the ceiling on what is asked
    /// of the weight store.
    pub max_moves: usize,
    /// Saved must exceed spent by this factor.
    pub hysteresis: f64,
}

impl Default for PolicyConfig {
    fn default() -> Self {
        Self {
            skew_weight: 1.0,
            cost_weight: 1.0,
            expected_drift_s: 600.0,
            expert_loading_s: 0.05,
            switch_pause_s: 0.02,
            loading_slowdown: 0.05,
            max_moves: 256,
            hysteresis: 1.5,
        }
    }
}

/// Weight of a new measurement in the averages.
const EWMA_WEIGHT: f64 = 0.1;

/// Measurements before anything is moved.
const WARM_UP: u32 = 10;

/// Imbalance must exceed the noise's share of it by this many deviations.
/// Hundreds of layers and experts are looked at each time, so a lower bound
/// finds something in noise alone sooner or later.
const NOISE_DEVIATIONS: f64 = 4.0;

/// A measurement is surprising if it is off by this many deviations. Two in a
/// row are a burst: the average starts anew from them.
const SURPRISE_DEVIATIONS: f64 = 4.0;

/// Measured speeds that differ by this much from the average are surprising.
const SURPRISE_SPEED: f64 = 0.15;

/// Moves in one layer at one time.
const MOVES_PER_LAYER: usize = 24;

/// A rank counts as a straggler below this speed.
const STRAGGLER_SPEED: f64 = 0.85;

/// What was measured over one period.
#[derive(Clone, Copy, Debug)]
pub struct Measurement<'a> {
    /// Tokens per expert, for each layer.
    pub loads: &'a [Vec<f64>],
    /// Time each rank was busy, in the unit of the loads; empty where it is
    /// not measured.
    pub rank_times: &'a [f64],
}

/// A change of maps worth making.
#[derive(Clone, Debug)]
pub struct RebalancingPlan {
    /// The new placement of every layer.
    pub layers: Vec<Placement>,
    /// Slots whose weights have to be loaded.
    pub moves: usize,
    /// Time saved in a step, as a share of the step.
    pub gain: f64,
}

struct Layer {
    placement: Placement,
    mean: Vec<f64>,
    variance: Vec<f64>,
    /// How far the last measurement was off, where that was surprising.
    surprise: Vec<f64>,
}

impl Layer {
    fn observe(&mut self, expert: usize, load: f64, weight: f64, is_warm: bool) {
        let off = load - self.mean[expert];
        let usual = SURPRISE_DEVIATIONS * self.variance[expert].sqrt();
        let is_surprising = is_warm && off.abs() > usual;
        let before = self.surprise[expert];
        match is_surprising {
            true if before * off > 0.0 => {
                self.mean[expert] += f64::midpoint(before, off);
                self.surprise[expert] = 0.0;
            }
            // Alone it may be an outlier: it counts towards nothing yet.
            true => self.surprise[expert] = off,
            false => {
                self.surprise[expert] = 0.0;
                self.mean[expert] += weight * off;
                self.variance[expert] =
                    (1.0 - weight) * (self.variance[expert] + weight * off * off);
            }
        }
    }
}

/// Watches one group and plans its changes.
pub struct Rebalancer {
    shape: LayerShape,
    config: PolicyConfig,
    layers: Vec<Layer>,
    speeds: Vec<f64>,
    /// How far the last measured speed was off, where that was surprising.
    speed_surprise: Vec<f64>,
    measurements: u32,
}

impl Rebalancer {
    /// Starts from the map in use.
    #[must_use]
    pub fn new(shape: LayerShape, config: PolicyConfig, placements: Vec<Placement>) -> Self {
        let layers = placements
            .into_iter()
            .map(|placement| Layer {
                placement,
                mean: vec![0.0; shape.experts],
                variance: vec![0.0; shape.experts],
                surprise: vec![0.0; shape.experts],
            })
            .collect();
        Self {
            speeds: vec![1.0; shape.ranks],
            speed_surprise: vec![0.0; shape.ranks],
            shape,
            config,
            layers,
            measurements: 0,
        }
    }

    /// The placement of a layer.
    #[must_use]
    pub fn placement(&self, layer: usize) -> &Placement {
        &self.layers[layer].placement
    }

    /// Ranks that are slow without being overloaded.
    #[must_use]
    pub fn stragglers(&self) -> Vec<usize> {
        let ranks = self.speeds.iter().enumerate();
        ranks
            .filter(|(_, speed)| **speed < STRAGGLER_SPEED)
            .map(|(rank, _)| rank)
            .collect()
    }

    /// Takes in one period's measurement.
    pub fn observe(&mut self, measured: &Measurement<'_>) {
        self.measurements += 1;
        // The first measurements count fully, later ones by the fixed weight.
        let weight = EWMA_WEIGHT.max(1.0 / f64::from(self.measurements));
        let is_warm = self.measurements > WARM_UP;
        for (layer, loads) in self.layers.iter_mut().zip(measured.loads) {
            for (expert, load) in loads.iter().enumerate() {
                layer.observe(expert, *load, weight, is_warm);
            }
        }
        if measured.rank_times.len() == self.shape.ranks {
            self.observe_speeds(measured, weight);
        }
    }

    /// A rank's speed is what its load would take at the usual speed, over
    /// what it did take.
    fn observe_speeds(&mut self, measured: &Measurement<'_>, weight: f64) {
        let usual = vec![1.0; self.shape.ranks];
        let mut expected = vec![0.0; self.shape.ranks];
        for (layer, loads) in self.layers.iter().zip(measured.loads) {
            let demand = LayerLoad {
                loads,
                speeds: &usual,
            };
            let times = layer.placement.rank_times(&self.shape, &demand);
            for (sum, time) in expected.iter_mut().zip(times) {
                *sum += time;
            }
        }
        for (rank, took) in measured.rank_times.iter().enumerate() {
            if *took > 0.0 {
                self.observe_speed(rank, expected[rank] / took, weight);
            }
        }
    }

    fn observe_speed(&mut self, rank: usize, measured: f64, weight: f64) {
        let off = measured - self.speeds[rank];
        let before = self.speed_surprise[rank];
        match off.abs() > SURPRISE_SPEED {
            true if before * off > 0.0 => {
                self.speeds[rank] += f64::midpoint(before, off);
                self.speed_surprise[rank] = 0.0;
            }
            true => self.speed_surprise[rank] = off,
            false => {
                self.speed_surprise[rank] = 0.0;
                self.speeds[rank] += weight * off;
            }
        }
    }

    /// Plans a change, if one is worth its cost, and takes it as made.
    pub fn plan(&mut self) -> Option<RebalancingPlan> {
        if self.measurements < WARM_UP {
            return None;
        }
        let speeds = self.planning_speeds();
        let mut step_time = 0.0;
        let mut candidates = Vec::new();
        for (index, layer) in self.layers.iter().enumerate() {
            let demand = LayerLoad {
                loads: &layer.mean,
                speeds: &speeds,
            };
            let improvement = improve(&self.shape, &layer.placement, &demand, MOVES_PER_LAYER);
            step_time += improvement.time_before;
            let gain = improvement.time_before - improvement.time_after;
            if improvement.moves > 0 && gain > self.noise(layer, &demand) {
                candidates.push(Candidate {
                    layer: index,
                    placement: improvement.placement,
                    moves: improvement.moves,
                    gain,
                });
            }
        }
        let chosen = self.choose(candidates, step_time)?;
        Some(self.make(chosen, step_time))
    }

    /// Small differences of speed are noise; only stragglers are planned for.
    fn planning_speeds(&self) -> Vec<f64> {
        let speeds = self.speeds.iter();
        speeds
            .map(|speed| {
                if *speed < STRAGGLER_SPEED {
                    *speed
                } else {
                    1.0
                }
            })
            .collect()
    }

    /// The part of the slowest rank's time that noise in the averages can
    /// explain.
    fn noise(&self, layer: &Layer, demand: &LayerLoad<'_>) -> f64 {
        let replicas = layer.placement.replica_counts(&self.shape);
        let slowest = slowest_rank(&layer.placement.rank_times(&self.shape, demand));
        let first = slowest * self.shape.slots_per_rank;
        // Averaging leaves this share of one measurement's variance.
        let left = EWMA_WEIGHT / (2.0 - EWMA_WEIGHT);
        let variance: f64 = layer.placement.slots[first..first + self.shape.slots_per_rank]
            .iter()
            .map(|expert| {
                let expert = usize::from(*expert);
                layer.variance[expert] / f64::from(replicas[expert]).powi(2)
            })
            .sum();
        NOISE_DEVIATIONS * (variance * left).sqrt() / demand.speeds[slowest]
    }

    /// Takes the best layers first until the ceiling is reached, and then
    /// weighs the whole against its cost.
    fn choose(&self, mut candidates: Vec<Candidate>, step_time: f64) -> Option<Vec<Candidate>> {
        #[allow(clippy::cast_precision_loss)] // a few hundred moves
        let rate = |candidate: &Candidate| candidate.gain / candidate.moves as f64;
        candidates.sort_by(|a, b| rate(b).total_cmp(&rate(a)));
        let mut moves = 0;
        let mut gain = 0.0;
        let mut best = None;
        for (index, candidate) in candidates.iter().enumerate() {
            moves += candidate.moves;
            if moves > self.config.max_moves {
                break;
            }
            gain += candidate.gain;
            let worth = self.worth(gain / step_time, moves);
            if worth > 0.0 && best.is_none_or(|(_, most)| worth > most) {
                best = Some((index + 1, worth));
            }
        }
        let (count, _) = best?;
        candidates.truncate(count);
        Some(candidates)
    }

    /// What a change saves less what it costs, in weighted seconds.
    fn worth(&self, gain_share: f64, moves: usize) -> f64 {
        let config = &self.config;
        #[allow(clippy::cast_precision_loss)] // a few hundred moves
        let loading_s = moves as f64 * config.expert_loading_s;
        let saved_s = gain_share * config.expected_drift_s * config.skew_weight;
        let spent_s =
            (config.switch_pause_s + loading_s * config.loading_slowdown) * config.cost_weight;
        saved_s - spent_s * config.hysteresis
    }

    fn make(&mut self, chosen: Vec<Candidate>, step_time: f64) -> RebalancingPlan {
        let mut moves = 0;
        let mut gain = 0.0;
        for candidate in chosen {
            moves += candidate.moves;
            gain += candidate.gain;
            self.layers[candidate.layer].placement = candidate.placement;
        }
        let layers = self.layers.iter().map(|layer| layer.placement.clone());
        RebalancingPlan {
            layers: layers.collect(),
            moves,
            gain: gain / step_time,
        }
    }
}

struct Candidate {
    layer: usize,
    placement: Placement,
    moves: usize,
    gain: f64,
}

fn slowest_rank(times: &[f64]) -> usize {
    let ranks = times.iter().enumerate();
    ranks
        .max_by(|a, b| a.1.total_cmp(b.1))
        .map_or(0, |(rank, _)| rank)
}
