//! Compares the rebalancing policy with a static map, with a new placement from
//! scratch in each period, and with a greedy policy that only uses a threshold.
//!
//!     cargo run --release -p berylhook-experts --example policies

#![allow(clippy::cast_precision_loss)] // the counts are small
#![allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // quantile positions

use std::time::Instant;

use berylhook_experts::placement::{LayerLoad, LayerShape, Placement, improve, place_from_scratch};
use berylhook_experts::policy::{Measurement, PolicyConfig, Rebalancer};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const EXPERTS: usize = 64;
const LAYERS: usize = 8;
const PERIODS: usize = 360;
const EXPERT_MB: f64 = 44.0;
const GREEDY_THRESHOLD: f64 = 1.1;
const GREEDY_MOVES: usize = 8;

#[derive(Clone, Copy, PartialEq)]
enum Workload {
    DailyDrift,
    Burst,
    NoiseOnly,
    Straggler,
}

#[derive(Clone, Copy, PartialEq)]
enum Policy {
    Static,
    FullEachPeriod,
    ThresholdGreedy,
    Rebalancing,
}

/// True popularity in `period`, as tokens per expert for each layer.
fn true_loads(
    workload: Workload,
    period: usize,
    popularity_orders: &[Vec<usize>],
) -> Vec<Vec<f64>> {
    let progress = period as f64 / PERIODS as f64;
    popularity_orders
        .iter()
        .map(|order| {
            (0..EXPERTS)
                .map(|expert| {
                    let zipf = |rank: usize| 1_000.0 / (rank as f64 + 1.0).powf(0.6);
                    let morning = zipf(order[expert]);
                    let evening = zipf(order[(expert + 17) % EXPERTS]);
                    match workload {
                        Workload::DailyDrift => morning * (1.0 - progress) + evening * progress,
                        Workload::Burst
                            if (0.4..0.7).contains(&progress) && order[expert] % 16 == 5 =>
                        {
                            morning * 4.0
                        }
                        _ => morning,
                    }
                })
                .collect()
        })
        .collect()
}

fn shuffled_experts(rng: &mut StdRng) -> Vec<usize> {
    let mut order: Vec<usize> = (0..EXPERTS).collect();
    for index in (1..EXPERTS).rev() {
        order.swap(index, rng.random_range(0..=index));
    }
    order
}

#[derive(Default)]
struct RunResult {
    skews: Vec<f64>,
    bound_ratios: Vec<f64>,
    moved_slots: usize,
    switches: usize,
}

fn run(policy: Policy, workload: Workload, ranks: usize) -> RunResult {
    let shape = LayerShape {
        ranks,
        slots_per_rank: (EXPERTS * 5 / 4).div_ceil(ranks).max(2),
        experts: EXPERTS,
    };
    let mut rng = StdRng::seed_from_u64(7);
    let popularity_orders: Vec<_> = (0..LAYERS).map(|_| shuffled_experts(&mut rng)).collect();
    let usual_speeds = vec![1.0; ranks];
    let mut speeds = usual_speeds.clone();
    let initial_loads = true_loads(workload, 0, &popularity_orders);
    let mut maps: Vec<Placement> = initial_loads
        .iter()
        .map(|loads| {
            place_from_scratch(
                &shape,
                &LayerLoad {
                    loads,
                    speeds: &usual_speeds,
                },
            )
        })
        .collect();
    let mut rebalancer = Rebalancer::new(shape, PolicyConfig::default(), maps.clone());
    let mut result = RunResult::default();
    for period in 0..PERIODS {
        if workload == Workload::Straggler && period == PERIODS / 4 {
            speeds[ranks / 2] = 0.6;
        }
        let loads = true_loads(workload, period, &popularity_orders);
        let noisy_loads: Vec<Vec<f64>> = loads
            .iter()
            .map(|layer| {
                layer
                    .iter()
                    .map(|load| load * rng.random_range(0.85..1.15))
                    .collect()
            })
            .collect();
        record(&mut result, &shape, &maps, &loads, &speeds);
        let rank_times = busy_times(&shape, &maps, &noisy_loads, &speeds);
        let next_maps = match policy {
            Policy::Static => None,
            Policy::FullEachPeriod => Some(place_all_layers(&shape, &noisy_loads, &usual_speeds)),
            Policy::ThresholdGreedy => Some(greedy_placements(
                &shape,
                &maps,
                &noisy_loads,
                &usual_speeds,
            )),
            Policy::Rebalancing => {
                rebalancer.observe(&Measurement {
                    loads: &noisy_loads,
                    rank_times: &rank_times,
                });
                rebalancer.plan().map(|plan| plan.layers)
            }
        };
        if let Some(next_maps) = next_maps {
            let moved_slots: usize = next_maps
                .iter()
                .zip(&maps)
                .map(|(placement, previous)| placement.count_moves_from(previous))
                .sum();
            result.moved_slots += moved_slots;
            result.switches += usize::from(moved_slots > 0);
            maps = next_maps;
        }
    }
    result
}

fn place_all_layers(shape: &LayerShape, loads: &[Vec<f64>], speeds: &[f64]) -> Vec<Placement> {
    loads
        .iter()
        .map(|loads| place_from_scratch(shape, &LayerLoad { loads, speeds }))
        .collect()
}

fn greedy_placements(
    shape: &LayerShape,
    maps: &[Placement],
    loads: &[Vec<f64>],
    speeds: &[f64],
) -> Vec<Placement> {
    let planned = maps.iter().zip(loads).map(|(map, loads)| {
        let layer_load = LayerLoad { loads, speeds };
        if map.layer_time(shape, &layer_load) < GREEDY_THRESHOLD * layer_load.lower_bound() {
            return map.clone();
        }
        improve(shape, map, &layer_load, GREEDY_MOVES).placement
    });
    planned.collect()
}

fn busy_times(
    shape: &LayerShape,
    maps: &[Placement],
    loads: &[Vec<f64>],
    speeds: &[f64],
) -> Vec<f64> {
    let mut sum = vec![0.0; shape.ranks];
    for (map, loads) in maps.iter().zip(loads) {
        for (sum, time) in sum
            .iter_mut()
            .zip(map.rank_times(shape, &LayerLoad { loads, speeds }))
        {
            *sum += time;
        }
    }
    sum
}

/// Records the skew of a step and its ratio to the lower bound. The skew is the time
/// of the slowest rank divided by the mean time of the ranks, over all layers.
fn record(
    result: &mut RunResult,
    shape: &LayerShape,
    maps: &[Placement],
    loads: &[Vec<f64>],
    speeds: &[f64],
) {
    let mut slowest = 0.0;
    let mut mean = 0.0;
    let mut bound = 0.0;
    for (map, loads) in maps.iter().zip(loads) {
        let layer_load = LayerLoad { loads, speeds };
        let times = map.rank_times(shape, &layer_load);
        slowest += times.iter().copied().fold(0.0, f64::max);
        mean += times.iter().sum::<f64>() / times.len() as f64;
        bound += layer_load.lower_bound();
    }
    result.skews.push(slowest / mean);
    result.bound_ratios.push(slowest / bound);
}

fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    values[((values.len() - 1) as f64 * fraction) as usize]
}

fn main() {
    let workloads = [
        ("drift", Workload::DailyDrift),
        ("burst", Workload::Burst),
        ("noise only", Workload::NoiseOnly),
        ("straggler", Workload::Straggler),
    ];
    let policies = [
        ("static", Policy::Static),
        ("full each period", Policy::FullEachPeriod),
        ("threshold greedy", Policy::ThresholdGreedy),
        ("berylhook", Policy::Rebalancing),
    ];
    println!("{EXPERTS} experts, {LAYERS} layers, {PERIODS} periods, noise 15%");
    println!(
        "ranks  workload    policy             mean skew  p99 skew  p99/bound  GB moved  switches"
    );
    for ranks in [8, 16, 64, 256] {
        for (workload_name, workload) in workloads {
            for (policy_name, policy) in policies {
                let mut result = run(policy, workload, ranks);
                let mean = result.skews.iter().sum::<f64>() / result.skews.len() as f64;
                println!(
                    "{ranks:>5}  {workload_name:<10}  {policy_name:<17}  {mean:>9.3}  {:>8.3}  {:>9.3}  {:>8.1}  {:>8}",
                    quantile(&mut result.skews, 0.99),
                    quantile(&mut result.bound_ratios, 0.99),
                    result.moved_slots as f64 * EXPERT_MB / 1_000.0,
                    result.switches,
                );
            }
        }
    }
    measure_planning_time();
}

/// Measures the planning time for the largest group with 60 layers, on one core.
fn measure_planning_time() {
    let shape = LayerShape {
        ranks: 256,
        slots_per_rank: 2,
        experts: EXPERTS,
    };
    let mut rng = StdRng::seed_from_u64(9);
    let speeds = vec![1.0; shape.ranks];
    let loads: Vec<Vec<f64>> = (0..60)
        .map(|_| {
            (0..EXPERTS)
                .map(|_| rng.random_range(10.0..1_000.0))
                .collect()
        })
        .collect();
    let uniform = vec![500.0; EXPERTS];
    let map = place_from_scratch(
        &shape,
        &LayerLoad {
            loads: &uniform,
            speeds: &speeds,
        },
    );
    let mut rebalancer = Rebalancer::new(shape, PolicyConfig::default(), vec![map; 60]);
    for _ in 0..12 {
        rebalancer.observe(&Measurement {
            loads: &loads,
            rank_times: &[],
        });
    }
    let mut plan_times_ms = Vec::new();
    for _ in 0..20 {
        let began = Instant::now();
        let _ = rebalancer.plan();
        plan_times_ms.push(began.elapsed().as_secs_f64() * 1_000.0);
    }
    println!(
        "planning 256 ranks, 64 experts, 60 layers: p50 {:.1} ms, max {:.1} ms",
        quantile(&mut plan_times_ms, 0.5),
        quantile(&mut plan_times_ms, 1.0)
    );
}
