//! Measures the rebalancing policy against a static map, a full re-placement
//! each period, and a greedy that acts on a threshold alone.
//!
//!     cargo run --release -p berylhook-experts --example policies

#![allow(clippy::cast_precision_loss)] // a bench's counts are small
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
    MorningDrift,
    Burst,
    NoiseOnly,
    Straggler,
}

#[derive(Clone, Copy, PartialEq)]
enum Policy {
    Static,
    FullEachPeriod,
    ThresholdGreedy,
    Ours,
}

/// True popularity at `period`, in tokens for each expert of each layer.
fn truth(workload: Workload, period: usize, orders: &[Vec<usize>]) -> Vec<Vec<f64>> {
    let day = period as f64 / PERIODS as f64;
    orders
        .iter()
        .map(|order| {
            (0..EXPERTS)
                .map(|expert| {
                    let zipf = |rank: usize| 1_000.0 / (rank as f64 + 1.0).powf(0.6);
                    let morning = zipf(order[expert]);
                    let evening = zipf(order[(expert + 17) % EXPERTS]);
                    match workload {
                        Workload::MorningDrift => morning * (1.0 - day) + evening * day,
                        Workload::Burst if (0.4..0.7).contains(&day) && order[expert] % 16 == 5 => {
                            morning * 4.0
                        }
                        _ => morning,
                    }
                })
                .collect()
        })
        .collect()
}

fn shuffled(random: &mut StdRng) -> Vec<usize> {
    let mut order: Vec<usize> = (0..EXPERTS).collect();
    for index in (1..EXPERTS).rev() {
        order.swap(index, random.random_range(0..=index));
    }
    order
}

#[derive(Default)]
struct Result {
    skews: Vec<f64>,
    over_bound: Vec<f64>,
    moved: usize,
    switches: usize,
}

fn run(policy: Policy, workload: Workload, ranks: usize) -> Result {
    let shape = LayerShape {
        ranks,
        slots_per_rank: (EXPERTS * 5 / 4).div_ceil(ranks).max(2),
        experts: EXPERTS,
    };
    let mut random = StdRng::seed_from_u64(7);
    let orders: Vec<_> = (0..LAYERS).map(|_| shuffled(&mut random)).collect();
    let usual = vec![1.0; ranks];
    let mut speeds = usual.clone();
    let first = truth(workload, 0, &orders);
    let mut maps: Vec<Placement> = first
        .iter()
        .map(|loads| {
            place_from_scratch(
                &shape,
                &LayerLoad {
                    loads,
                    speeds: &usual,
                },
            )
        })
        .collect();
    let mut ours = Rebalancer::new(shape, PolicyConfig::default(), maps.clone());
    let mut result = Result::default();
    for period in 0..PERIODS {
        if workload == Workload::Straggler && period == PERIODS / 4 {
            speeds[ranks / 2] = 0.6;
        }
        let loads = truth(workload, period, &orders);
        let noisy: Vec<Vec<f64>> = loads
            .iter()
            .map(|layer| {
                layer
                    .iter()
                    .map(|load| load * random.random_range(0.85..1.15))
                    .collect()
            })
            .collect();
        record(&mut result, &shape, &maps, &loads, &speeds);
        let rank_times = busy(&shape, &maps, &noisy, &speeds);
        let next = match policy {
            Policy::Static => None,
            Policy::FullEachPeriod => Some(full(&shape, &noisy, &usual)),
            Policy::ThresholdGreedy => Some(greedy(&shape, &maps, &noisy, &usual)),
            Policy::Ours => {
                ours.observe(&Measurement {
                    loads: &noisy,
                    rank_times: &rank_times,
                });
                ours.plan().map(|plan| plan.layers)
            }
        };
        if let Some(next) = next {
            let moved: usize = next
                .iter()
                .zip(&maps)
                .map(|(now, then)| now.count_moves_from(then))
                .sum();
            result.moved += moved;
            result.switches += usize::from(moved > 0);
            maps = next;
        }
    }
    result
}

fn full(shape: &LayerShape, loads: &[Vec<f64>], speeds: &[f64]) -> Vec<Placement> {
    loads
        .iter()
        .map(|loads| place_from_scratch(shape, &LayerLoad { loads, speeds }))
        .collect()
}

fn greedy(
    shape: &LayerShape,
    maps: &[Placement],
    loads: &[Vec<f64>],
    speeds: &[f64],
) -> Vec<Placement> {
    let planned = maps.iter().zip(loads).map(|(map, loads)| {
        let demand = LayerLoad { loads, speeds };
        if map.layer_time(shape, &demand) < GREEDY_THRESHOLD * demand.lower_bound() {
            return map.clone();
        }
        improve(shape, map, &demand, GREEDY_MOVES).placement
    });
    planned.collect()
}

fn busy(shape: &LayerShape, maps: &[Placement], loads: &[Vec<f64>], speeds: &[f64]) -> Vec<f64> {
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

/// Skew of the step: time of the slowest ranks over the mean, all layers.
fn record(
    result: &mut Result,
    shape: &LayerShape,
    maps: &[Placement],
    loads: &[Vec<f64>],
    speeds: &[f64],
) {
    let mut slowest = 0.0;
    let mut mean = 0.0;
    let mut bound = 0.0;
    for (map, loads) in maps.iter().zip(loads) {
        let demand = LayerLoad { loads, speeds };
        let times = map.rank_times(shape, &demand);
        slowest += times.iter().copied().fold(0.0, f64::max);
        mean += times.iter().sum::<f64>() / times.len() as f64;
        bound += demand.lower_bound();
    }
    result.skews.push(slowest / mean);
    result.over_bound.push(slowest / bound);
}

fn quantile(values: &mut [f64], at: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    values[((values.len() - 1) as f64 * at) as usize]
}

fn main() {
    let workloads = [
        ("drift", Workload::MorningDrift),
        ("burst", Workload::Burst),
        ("noise only", Workload::NoiseOnly),
        ("straggler", Workload::Straggler),
    ];
    let policies = [
        ("static", Policy::Static),
        ("full each period", Policy::FullEachPeriod),
        ("threshold greedy", Policy::ThresholdGreedy),
        ("berylhook", Policy::Ours),
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
                    quantile(&mut result.over_bound, 0.99),
                    result.moved as f64 * EXPERT_MB / 1_000.0,
                    result.switches,
                );
            }
        }
    }
    planning_time();
}

/// Planning time of the largest group, 60 layers, on one core.
fn planning_time() {
    let shape = LayerShape {
        ranks: 256,
        slots_per_rank: 2,
        experts: EXPERTS,
    };
    let mut random = StdRng::seed_from_u64(9);
    let speeds = vec![1.0; shape.ranks];
    let loads: Vec<Vec<f64>> = (0..60)
        .map(|_| {
            (0..EXPERTS)
                .map(|_| random.random_range(10.0..1_000.0))
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
    let mut took_ms = Vec::new();
    for _ in 0..20 {
        let began = Instant::now();
        let _ = rebalancer.plan();
        took_ms.push(began.elapsed().as_secs_f64() * 1_000.0);
    }
    println!(
        "planning 256 ranks, 64 experts, 60 layers: p50 {:.1} ms, max {:.1} ms",
        quantile(&mut took_ms, 0.5),
        quantile(&mut took_ms, 1.0)
    );
}
