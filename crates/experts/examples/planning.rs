//! How long one plan takes, by the size of the group: a shift of demand on a map of
//! experts in turn, with the copies that fit in one change.
//!
//! `cargo run --release -p berylhook-experts --example planning`

use std::time::Instant;

use berylhook_experts::adapt::{CopyCost, CopyLimits, GroupLoad, adapt};
use berylhook_experts::switching::ExpertMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Plans timed for each size.
const PLANS: u64 = 21;

struct Size {
    ranks: usize,
    sets: usize,
    experts: usize,
    slots_per_rank: usize,
    copy_ms: f64,
}

const SIZES: [Size; 4] = [
    Size {
        ranks: 24,
        sets: 16,
        experts: 96,
        slots_per_rank: 5,
        copy_ms: 76.0,
    },
    Size {
        ranks: 72,
        sets: 12,
        experts: 144,
        slots_per_rank: 3,
        copy_ms: 16.0,
    },
    Size {
        ranks: 192,
        sets: 10,
        experts: 384,
        slots_per_rank: 3,
        copy_ms: 16.0,
    },
    Size {
        ranks: 256,
        sets: 60,
        experts: 512,
        slots_per_rank: 3,
        copy_ms: 16.0,
    },
];

fn in_turn(size: &Size) -> ExpertMap {
    let rank = |rank: usize| {
        (0..size.experts)
            .filter(|expert| expert % size.ranks == rank)
            .map(|expert| u16::try_from(expert).expect("few experts"))
            .collect()
    };
    let set: Vec<Vec<u16>> = (0..size.ranks).map(rank).collect();
    vec![set; size.sets]
}

/// Each set has its own favourites; shares fall with a power of the rank.
fn demand(size: &Size, random: &mut StdRng) -> Vec<Vec<f64>> {
    let set = |_| {
        let shares = (0..size.experts).map(|_| random.random_range(0.01_f64..1.0).powi(-1));
        let shares: Vec<f64> = shares.collect();
        let total: f64 = shares.iter().sum();
        shares.into_iter().map(|share| share / total).collect()
    };
    (0..size.sets).map(set).collect()
}

fn main() {
    println!("ranks  sets  experts  copies  plan ms (p50, most)");
    for size in &SIZES {
        let map = in_turn(size);
        let paces = vec![1.0; size.ranks];
        let cost = CopyCost {
            expert_mb: 400.0,
            copy_ms: size.copy_ms,
        };
        let limits = CopyLimits::for_group(size.slots_per_rank, 2, cost, size.ranks);
        let mut took_ms = Vec::new();
        let mut copies = 0;
        for seed in 0..PLANS {
            let demand = demand(size, &mut StdRng::seed_from_u64(seed));
            let load = GroupLoad {
                demand: &demand,
                slowdowns: &paces,
            };
            let began = Instant::now();
            copies = adapt(&map, &load, &limits).copies;
            took_ms.push(began.elapsed().as_secs_f64() * 1_000.0);
        }
        took_ms.sort_by(f64::total_cmp);
        let (middle, most) = (took_ms[took_ms.len() / 2], took_ms[took_ms.len() - 1]);
        println!(
            "{:5}  {:4}  {:7}  {copies:6}  {middle:.1}, {most:.1}",
            size.ranks, size.sets, size.experts
        );
    }
}
