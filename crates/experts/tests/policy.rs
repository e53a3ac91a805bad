//! When experts are moved, and when they are left alone.

use berylhook_experts::placement::{LayerLoad, LayerShape, Placement, improve, place_from_scratch};
use berylhook_experts::policy::{Measurement, PolicyConfig, Rebalancer};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SHAPE: LayerShape = LayerShape {
    ranks: 16,
    slots_per_rank: 5,
    experts: 64,
};

fn zipf_loads() -> Vec<f64> {
    (1..=64)
        .map(|rank| 1_000.0 / f64::from(rank).powf(0.6))
        .collect()
}

fn placed(loads: &[f64]) -> Placement {
    let speeds = vec![1.0; SHAPE.ranks];
    place_from_scratch(
        &SHAPE,
        &LayerLoad {
            loads,
            speeds: &speeds,
        },
    )
}

fn noisy(random: &mut StdRng, loads: &[f64]) -> Vec<f64> {
    let noise = loads
        .iter()
        .map(|load| load * random.random_range(0.85..1.15));
    noise.collect()
}

/// Symptom: weights are moved all day for nothing.
/// Sequence: popularity stays the same and only its measurement is noisy.
/// Cause: acting on one noisy measurement; what noise explains is no gain.
#[test]
fn noise_alone_moves_nothing() {
    let loads = zipf_loads();
    let map = placed(&loads);
    let mut rebalancer = Rebalancer::new(SHAPE, PolicyConfig::default(), vec![map]);
    let mut random = StdRng::seed_from_u64(3);

    let mut plans = 0;
    for _ in 0..500 {
        let measured = vec![noisy(&mut random, &loads)];
        rebalancer.observe(&Measurement {
            loads: &measured,
            rank_times: &[],
        });
        plans += usize::from(rebalancer.plan().is_some());
    }

    assert_eq!(plans, 0);
}

/// Symptom: the owner who fears interruptions more than skew is interrupted
/// as often as the other.
/// Sequence: two owners see the same drift.
/// Cause: one policy, but the catalogue's weights decide what it is worth.
#[test]
fn an_owner_who_weighs_cost_more_moves_less() {
    let loads = zipf_loads();
    let shifted: Vec<f64> = (0..64).map(|expert| loads[(expert + 9) % 64]).collect();
    let moves_with = |skew_weight, cost_weight| {
        let config = PolicyConfig {
            skew_weight,
            cost_weight,
            ..PolicyConfig::default()
        };
        let mut rebalancer = Rebalancer::new(SHAPE, config, vec![placed(&loads)]);
        let mut random = StdRng::seed_from_u64(4);
        let mut moves = 0;
        for period in 0..200 {
            let part = f64::from(period) / 200.0;
            let mix = |(now, then): (&f64, &f64)| now * (1.0 - part) + then * part;
            let drifted: Vec<f64> = loads.iter().zip(&shifted).map(mix).collect();
            let measured = vec![noisy(&mut random, &drifted)];
            rebalancer.observe(&Measurement {
                loads: &measured,
                rank_times: &[],
            });
            moves += rebalancer.plan().map_or(0, |plan| plan.moves);
        }
        moves
    };

    let skew_first = moves_with(1.0, 0.2);
    let cost_first = moves_with(0.05, 20.0);

    assert!(skew_first > 0);
    assert!(cost_first < skew_first, "{cost_first} against {skew_first}");
}

/// Symptom: a slow rank holds the group back although no expert on it is hot.
/// Sequence: one rank runs at 60% of its speed; the loads stay the same.
/// Cause: its time is longer than its load explains, which tells a straggler
/// from an overloaded rank.
#[test]
fn a_straggler_is_told_apart_and_relieved() {
    let loads = zipf_loads();
    let map = placed(&loads);
    let mut rebalancer = Rebalancer::new(SHAPE, PolicyConfig::default(), vec![map.clone()]);
    let mut speeds = vec![1.0; SHAPE.ranks];
    speeds[5] = 0.6;
    let demand = LayerLoad {
        loads: &loads,
        speeds: &speeds,
    };

    for _ in 0..20 {
        let rank_times = rebalancer.placement(0).rank_times(&SHAPE, &demand);
        rebalancer.observe(&Measurement {
            loads: std::slice::from_ref(&loads),
            rank_times: &rank_times,
        });
        let _ = rebalancer.plan();
    }

    assert_eq!(rebalancer.stragglers(), vec![5]);
    let before = map.layer_time(&SHAPE, &demand);
    let after = rebalancer.placement(0).layer_time(&SHAPE, &demand);
    assert!(after < before * 0.8, "{after} against {before}");
}

#[test]
fn every_expert_keeps_a_slot_whatever_is_moved() {
    let mut random = StdRng::seed_from_u64(6);
    for _ in 0..200 {
        let loads: Vec<f64> = (0..64).map(|_| random.random_range(0.0..1_000.0)).collect();
        let speeds: Vec<f64> = (0..16).map(|_| random.random_range(0.3..1.2)).collect();
        let demand = LayerLoad {
            loads: &loads,
            speeds: &speeds,
        };
        let start = placed(&zipf_loads());

        let improved = improve(&SHAPE, &start, &demand, 20);

        let replicas = improved.placement.replica_counts(&SHAPE);
        assert!(replicas.iter().all(|count| *count > 0));
        assert!(improved.moves <= 20);
        let told = improved.time_after;
        let real = improved.placement.layer_time(&SHAPE, &demand);
        assert!((told - real).abs() < 1e-6 * real, "{told} against {real}");
    }
}
