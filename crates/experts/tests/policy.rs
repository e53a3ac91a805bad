//! Tests which measurements make the rebalancing policy move experts.

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

fn place(loads: &[f64]) -> Placement {
    let speeds = vec![1.0; SHAPE.ranks];
    place_from_scratch(
        &SHAPE,
        &LayerLoad {
            loads,
            speeds: &speeds,
        },
    )
}

fn with_noise(rng: &mut StdRng, loads: &[f64]) -> Vec<f64> {
    let noisy_loads = loads.iter().map(|load| load * rng.random_range(0.85..1.15));
    noisy_loads.collect()
}

/// Guards against needless moves all day while popularity stays the same and
/// only its measurement is noisy. They occur if the policy acts on a single
/// measurement, or counts a difference that noise can explain as a gain.
#[test]
fn noise_alone_causes_no_moves() {
    let loads = zipf_loads();
    let map = place(&loads);
    let mut rebalancer = Rebalancer::new(SHAPE, PolicyConfig::default(), vec![map]);
    let mut rng = StdRng::seed_from_u64(3);

    let mut plans = 0;
    for _ in 0..500 {
        let measured = vec![with_noise(&mut rng, &loads)];
        rebalancer.observe(&Measurement {
            loads: &measured,
            rank_times: &[],
        });
        plans += usize::from(rebalancer.plan().is_some());
    }

    assert_eq!(plans, 0);
}

/// Guards against a policy that ignores the owner's weights from the catalogue:
/// with the same drift, an owner with a high weight for interruptions would be
/// interrupted as often as an owner with a high weight for skew.
#[test]
fn higher_cost_weight_causes_fewer_moves() {
    let loads = zipf_loads();
    let shifted: Vec<f64> = (0..64).map(|expert| loads[(expert + 9) % 64]).collect();
    let moves_with = |skew_weight, cost_weight| {
        let config = PolicyConfig {
            skew_weight,
            cost_weight,
            ..PolicyConfig::default()
        };
        let mut rebalancer = Rebalancer::new(SHAPE, config, vec![place(&loads)]);
        let mut rng = StdRng::seed_from_u64(4);
        let mut moves = 0;
        for period in 0..200 {
            let progress = f64::from(period) / 200.0;
            let interpolate = |(from, to): (&f64, &f64)| from * (1.0 - progress) + to * progress;
            let drifted: Vec<f64> = loads.iter().zip(&shifted).map(interpolate).collect();
            let measured = vec![with_noise(&mut rng, &drifted)];
            rebalancer.observe(&Measurement {
                loads: &measured,
                rank_times: &[],
            });
            moves += rebalancer.plan().map_or(0, |plan| plan.moves);
        }
        moves
    };

    let moves_for_skew = moves_with(1.0, 0.2);
    let moves_for_cost = moves_with(0.05, 20.0);

    assert!(moves_for_skew > 0);
    assert!(
        moves_for_cost < moves_for_skew,
        "{moves_for_cost} against {moves_for_skew}"
    );
}

/// Guards against a slow rank that delays the group although none of its experts
/// is heavily loaded: one rank runs at 60% of its speed while the loads stay the
/// same. A straggler differs from an overloaded rank in that its time is longer
/// than its load explains.
#[test]
fn straggler_is_detected_and_gets_less_load() {
    let loads = zipf_loads();
    let map = place(&loads);
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
fn every_expert_keeps_a_slot_after_any_moves() {
    let mut rng = StdRng::seed_from_u64(6);
    for _ in 0..200 {
        let loads: Vec<f64> = (0..64).map(|_| rng.random_range(0.0..1_000.0)).collect();
        let speeds: Vec<f64> = (0..16).map(|_| rng.random_range(0.3..1.2)).collect();
        let demand = LayerLoad {
            loads: &loads,
            speeds: &speeds,
        };
        let initial = place(&zipf_loads());

        let improved = improve(&SHAPE, &initial, &demand, 20);

        let copy_counts = improved.placement.copy_counts(&SHAPE);
        assert!(copy_counts.iter().all(|count| *count > 0));
        assert!(improved.moves <= 20);
        let reported = improved.time_after;
        let real = improved.placement.layer_time(&SHAPE, &demand);
        assert!(
            (reported - real).abs() < 1e-6 * real,
            "{reported} against {real}"
        );
    }
}
