//! Decides whether to move experts, and which ones.
//!
//! The popularity of experts drifts over the day, and measurements of it are
//! delayed and noisy. Experts are moved only if the saving over the expected
//! duration of the drift, multiplied by the owner's weight for skew, exceeds the
//! cost, multiplied by the owner's weight for rebalancing, and only if the
//! imbalance exceeds what noise can explain. The number of moves at a time is
//! limited by the bandwidth of the weight store, which all groups share.
//!
//! A straggler is a rank that is slow without being overloaded: its measured time
//! is longer than its load explains. Its speed is estimated independently of the
//! loads, and it gets less load.

use crate::placement::{LayerLoad, LayerShape, Placement, improve};

/// Parameters of the policy, set by the owner of the group and by the platform.
#[derive(Clone, Copy, Debug)]
pub struct PolicyConfig {
    /// Cost to the owner of one second lost to skew.
    pub skew_weight: f64,
    /// Cost to the owner of one second lost to rebalancing.
    pub cost_weight: f64,
    /// Expected duration of a detected drift.
    pub expected_drift_s: f64,
    /// Time to load the weights of one expert with this group's share of the
    /// weight store's bandwidth.
    pub expert_loading_s: f64,
    /// Time for which a switch to another map pauses the group.
    pub switch_pause_s: f64,
    /// Fraction of the step time by which loading weights in the background slows
    /// a step down.
    pub loading_slowdown: f64,
    /// Maximum number of moves per plan in all layers together, to limit the load
    /// on the weight store.
    pub max_moves: usize,
    /// Factor by which the saving must exceed the cost.
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

/// Weight of a new measurement in the exponentially weighted moving averages.
const EWMA_WEIGHT: f64 = 0.1;

/// Number of measurements before the first plan.
const WARM_UP_MEASUREMENTS: u32 = 10;

/// Number of standard deviations of the noise that a gain must exceed. Hundreds
/// of layers and experts are checked each time, so a lower threshold sooner or
/// later detects an imbalance in noise alone.
const NOISE_DEVIATIONS: f64 = 4.0;

/// Number of standard deviations from the average at which a load is an outlier.
/// Two outliers in a row on the same side are a burst, and the average is reset
/// to their mean.
const OUTLIER_DEVIATIONS: f64 = 4.0;

/// Difference from the average at which a measured speed is an outlier.
const OUTLIER_SPEED_DIFFERENCE: f64 = 0.15;

/// Maximum number of moves per layer in one plan.
const MAX_MOVES_PER_LAYER: usize = 24;

/// Speed below which a rank is a straggler.
const STRAGGLER_SPEED: f64 = 0.85;

/// The measurements of one period.
#[derive(Clone, Copy, Debug)]
pub struct Measurement<'a> {
    /// Tokens per expert, for each layer.
    pub loads: &'a [Vec<f64>],
    /// Time that each rank was busy, in the unit of the loads. Empty if it is not
    /// measured.
    pub rank_times: &'a [f64],
}

/// A change of the map whose saving exceeds its cost.
#[derive(Clone, Debug)]
pub struct RebalancingPlan {
    /// The new placement of every layer.
    pub layers: Vec<Placement>,
    /// Number of slots whose weights have to be loaded.
    pub moves: usize,
    /// Time saved per step, as a fraction of the step time.
    pub gain: f64,
}

struct Layer {
    placement: Placement,
    mean: Vec<f64>,
    variance: Vec<f64>,
    /// For each expert, the difference of the last measurement from the average if
    /// it was an outlier, or else 0.
    outlier: Vec<f64>,
}

impl Layer {
    fn observe(&mut self, expert: usize, load: f64, weight: f64, is_warm: bool) {
        let difference = load - self.mean[expert];
        let threshold = OUTLIER_DEVIATIONS * self.variance[expert].sqrt();
        let is_outlier = is_warm && difference.abs() > threshold;
        let previous_outlier = self.outlier[expert];
        match is_outlier {
            true if previous_outlier * difference > 0.0 => {
                self.mean[expert] += f64::midpoint(previous_outlier, difference);
                self.outlier[expert] = 0.0;
            }
            // The first outlier changes neither average nor variance.
            true => self.outlier[expert] = difference,
            false => {
                self.outlier[expert] = 0.0;
                self.mean[expert] += weight * difference;
                self.variance[expert] =
                    (1.0 - weight) * (self.variance[expert] + weight * difference * difference);
            }
        }
    }
}

/// Collects the measurements of one group and plans changes of its map.
pub struct Rebalancer {
    shape: LayerShape,
    config: PolicyConfig,
    layers: Vec<Layer>,
    speeds: Vec<f64>,
    /// For each rank, the difference of the last measured speed from the average
    /// if it was an outlier, or else 0.
    speed_outlier: Vec<f64>,
    measurements: u32,
}

impl Rebalancer {
    /// Creates a rebalancer for a group with the given map in use.
    #[must_use]
    pub fn new(shape: LayerShape, config: PolicyConfig, placements: Vec<Placement>) -> Self {
        let layers = placements
            .into_iter()
            .map(|placement| Layer {
                placement,
                mean: vec![0.0; shape.experts],
                variance: vec![0.0; shape.experts],
                outlier: vec![0.0; shape.experts],
            })
            .collect();
        Self {
            speeds: vec![1.0; shape.ranks],
            speed_outlier: vec![0.0; shape.ranks],
            shape,
            config,
            layers,
            measurements: 0,
        }
    }

    /// The placement of a layer, including all plans made so far.
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

    /// Updates the averages with the measurements of one period.
    pub fn observe(&mut self, measurement: &Measurement<'_>) {
        self.measurements += 1;
        // The first measurements are averaged with equal weights.
        let weight = EWMA_WEIGHT.max(1.0 / f64::from(self.measurements));
        let is_warm = self.measurements > WARM_UP_MEASUREMENTS;
        for (layer, loads) in self.layers.iter_mut().zip(measurement.loads) {
            for (expert, load) in loads.iter().enumerate() {
                layer.observe(expert, *load, weight, is_warm);
            }
        }
        if measurement.rank_times.len() == self.shape.ranks {
            self.observe_speeds(measurement, weight);
        }
    }

    /// Estimates each rank's speed as the time that its load would take at the
    /// usual speed, divided by the measured time.
    fn observe_speeds(&mut self, measurement: &Measurement<'_>, weight: f64) {
        let usual_speeds = vec![1.0; self.shape.ranks];
        let mut expected = vec![0.0; self.shape.ranks];
        for (layer, loads) in self.layers.iter().zip(measurement.loads) {
            let layer_load = LayerLoad {
                loads,
                speeds: &usual_speeds,
            };
            let times = layer.placement.rank_times(&self.shape, &layer_load);
            for (sum, time) in expected.iter_mut().zip(times) {
                *sum += time;
            }
        }
        for (rank, measured_time) in measurement.rank_times.iter().enumerate() {
            if *measured_time > 0.0 {
                self.observe_speed(rank, expected[rank] / measured_time, weight);
            }
        }
    }

    fn observe_speed(&mut self, rank: usize, measured_speed: f64, weight: f64) {
        let difference = measured_speed - self.speeds[rank];
        let previous_outlier = self.speed_outlier[rank];
        match difference.abs() > OUTLIER_SPEED_DIFFERENCE {
            true if previous_outlier * difference > 0.0 => {
                self.speeds[rank] += f64::midpoint(previous_outlier, difference);
                self.speed_outlier[rank] = 0.0;
            }
            true => self.speed_outlier[rank] = difference,
            false => {
                self.speed_outlier[rank] = 0.0;
                self.speeds[rank] += weight * difference;
            }
        }
    }

    /// Plans a change if its saving exceeds its cost. Later plans assume that the
    /// caller has applied it.
    pub fn plan(&mut self) -> Option<RebalancingPlan> {
        if self.measurements < WARM_UP_MEASUREMENTS {
            return None;
        }
        let speeds = self.planning_speeds();
        let mut step_time = 0.0;
        let mut candidates = Vec::new();
        for (index, layer) in self.layers.iter().enumerate() {
            let layer_load = LayerLoad {
                loads: &layer.mean,
                speeds: &speeds,
            };
            let improvement = improve(
                &self.shape,
                &layer.placement,
                &layer_load,
                MAX_MOVES_PER_LAYER,
            );
            step_time += improvement.time_before;
            let gain = improvement.time_before - improvement.time_after;
            if improvement.moves > 0 && gain > self.noise(layer, &layer_load) {
                candidates.push(Candidate {
                    layer: index,
                    placement: improvement.placement,
                    moves: improvement.moves,
                    gain,
                });
            }
        }
        let selected = self.select(candidates, step_time)?;
        Some(self.apply(selected, step_time))
    }

    /// The speeds used for planning. Small differences in speed are noise, so all
    /// ranks but stragglers get the usual speed.
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

    /// The part of the slowest rank's time that noise in the averages can explain.
    fn noise(&self, layer: &Layer, layer_load: &LayerLoad<'_>) -> f64 {
        let copy_counts = layer.placement.copy_counts(&self.shape);
        let slowest = slowest_rank(&layer.placement.rank_times(&self.shape, layer_load));
        let first = slowest * self.shape.slots_per_rank;
        // Variance of the moving average as a fraction of the variance of one
        // measurement.
        let variance_fraction = EWMA_WEIGHT / (2.0 - EWMA_WEIGHT);
        let variance: f64 = layer.placement.slots[first..first + self.shape.slots_per_rank]
            .iter()
            .map(|expert| {
                let expert = usize::from(*expert);
                layer.variance[expert] / f64::from(copy_counts[expert]).powi(2)
            })
            .sum();
        NOISE_DEVIATIONS * (variance * variance_fraction).sqrt() / layer_load.speeds[slowest]
    }

    /// Adds up the candidates in descending order of gain per move until
    /// `max_moves` is reached, and returns the first ones up to the point with the
    /// highest net saving. `None` if no saving exceeds the cost.
    fn select(&self, mut candidates: Vec<Candidate>, step_time: f64) -> Option<Vec<Candidate>> {
        #[allow(clippy::cast_precision_loss)] // a few hundred moves
        let gain_per_move = |candidate: &Candidate| candidate.gain / candidate.moves as f64;
        candidates.sort_by(|a, b| gain_per_move(b).total_cmp(&gain_per_move(a)));
        let mut moves = 0;
        let mut gain = 0.0;
        let mut best = None;
        for (index, candidate) in candidates.iter().enumerate() {
            moves += candidate.moves;
            if moves > self.config.max_moves {
                break;
            }
            gain += candidate.gain;
            let net_saving = self.net_saving(gain / step_time, moves);
            if net_saving > 0.0 && best.is_none_or(|(_, highest)| net_saving > highest) {
                best = Some((index + 1, net_saving));
            }
        }
        let (count, _) = best?;
        candidates.truncate(count);
        Some(candidates)
    }

    /// Saving of a change minus its cost times the hysteresis, in weighted seconds.
    fn net_saving(&self, gain_share: f64, moves: usize) -> f64 {
        let config = &self.config;
        #[allow(clippy::cast_precision_loss)] // a few hundred moves
        let loading_s = moves as f64 * config.expert_loading_s;
        let saved_s = gain_share * config.expected_drift_s * config.skew_weight;
        let spent_s =
            (config.switch_pause_s + loading_s * config.loading_slowdown) * config.cost_weight;
        saved_s - spent_s * config.hysteresis
    }

    fn apply(&mut self, selected: Vec<Candidate>, step_time: f64) -> RebalancingPlan {
        let mut moves = 0;
        let mut gain = 0.0;
        for candidate in selected {
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
