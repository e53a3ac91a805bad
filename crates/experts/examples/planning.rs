//! Measures how long it takes to plan one map change, by the size of the group. The
//! plan adapts a round-robin map to a skewed demand, with as many copies as fit in one
//! change.
//!
//! `cargo run --release -p berylhook-experts --example planning`

use std::time::Instant;

use berylhook_experts::adapt::{CopyCost, CopyLimits, GroupLoad, adapt};
use berylhook_experts::switching::ExpertMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Number of plans that are timed for each group size.
const PLANS: u64 = 21;

struct GroupSize {
    ranks: usize,
    sets: usize,
    experts: usize,
    slots_per_rank: usize,
    copy_ms: f64,
}

const GROUP_SIZES: [GroupSize; 4] = [
    GroupSize {
        ranks: 24,
        sets: 16,
        experts: 96,
        slots_per_rank: 5,
        copy_ms: 76.0,
    },
    GroupSize {
        ranks: 72,
        sets: 12,
        experts: 144,
        slots_per_rank: 3,
        copy_ms: 16.0,
    },
    GroupSize {
        ranks: 192,
        sets: 10,
        experts: 384,
        slots_per_rank: 3,
        copy_ms: 16.0,
    },
    GroupSize {
        ranks: 256,
        sets: 60,
        experts: 512,
        slots_per_rank: 3,
        copy_ms: 16.0,
    },
];

fn round_robin_map(size: &GroupSize) -> ExpertMap {
    let rank = |rank: usize| {
        (0..size.experts)
            .filter(|expert| expert % size.ranks == rank)
            .map(|expert| u16::try_from(expert).expect("expert indices fit in u16"))
            .collect()
    };
    let set: Vec<Vec<u16>> = (0..size.ranks).map(rank).collect();
    vec![set; size.sets]
}

/// A long-tailed demand with different popular experts in each layer set. The shares
/// follow a power law.
fn demand(size: &GroupSize, rng: &mut StdRng) -> Vec<Vec<f64>> {
    let set = |_| {
        let shares = (0..size.experts).map(|_| rng.random_range(0.01_f64..1.0).powi(-1));
        let shares: Vec<f64> = shares.collect();
        let total: f64 = shares.iter().sum();
        shares.into_iter().map(|share| share / total).collect()
    };
    (0..size.sets).map(set).collect()
}

fn main() {
    println!("ranks  sets  experts  copies  plan ms (p50, max)");
    for size in &GROUP_SIZES {
        let map = round_robin_map(size);
        let slowdowns = vec![1.0; size.ranks];
        let cost = CopyCost {
            expert_mb: 400.0,
            copy_ms: size.copy_ms,
        };
        let limits = CopyLimits::for_group(size.slots_per_rank, 2, cost, size.ranks);
        let mut plan_times_ms = Vec::new();
        let mut copies = 0;
        for seed in 0..PLANS {
            let demand = demand(size, &mut StdRng::seed_from_u64(seed));
            let load = GroupLoad {
                demand: &demand,
                slowdowns: &slowdowns,
            };
            let began = Instant::now();
            copies = adapt(&map, &load, &limits).copies;
            plan_times_ms.push(began.elapsed().as_secs_f64() * 1_000.0);
        }
        plan_times_ms.sort_by(f64::total_cmp);
        let (median, max) = (
            plan_times_ms[plan_times_ms.len() / 2],
            plan_times_ms[plan_times_ms.len() - 1],
        );
        println!(
            "{:5}  {:4}  {:7}  {copies:6}  {median:.1}, {max:.1}",
            size.ranks, size.sets, size.experts
        );
    }
}
