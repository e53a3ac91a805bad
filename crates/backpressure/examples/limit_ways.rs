//! Compares policies for sharing a target's limit among entries, in the simulated fleet of
//! the tests.
//!
//! For each fleet size, limit and demand, prints the largest ratio of sent to allowed
//! requests in any 4 s, the fraction of the limit that is used, and the messages per second,
//! over several runs.

#[path = "../tests/common/mod.rs"]
mod common;

use crate::common::{Fault, Scenario, SharingPolicy, simulate};

const RUNS: u64 = 5;

fn main() {
    println!("entries  limit/s  demand   policy       worst  used  messages/s");
    for entries in [2, 6, 20, 53] {
        for limit_per_s in [0.5, 1.0, 5.0, 50.0] {
            for demand in ["even", "scarce", "burst", "one", "killed", "split"] {
                for policy in [
                    SharingPolicy::EvenParts,
                    SharingPolicy::OneOwner,
                    SharingPolicy::Permits,
                ] {
                    row(entries, limit_per_s, demand, policy);
                }
            }
        }
    }
}

fn scenario(
    entries: usize,
    limit_per_s: f64,
    demand: &str,
    policy: SharingPolicy,
    seed: u64,
) -> Scenario {
    let mut scenario = Scenario::even(policy, entries, limit_per_s, seed);
    match demand {
        "one" => {
            let total_demand_per_s: f64 = scenario.demand_per_s.iter().sum();
            scenario.demand_per_s = vec![0.0; entries];
            scenario.demand_per_s[entries / 2] = total_demand_per_s;
        }
        "scarce" => {
            let demand_per_entry =
                limit_per_s * 6.0 / f64::from(u32::try_from(entries).unwrap_or(u32::MAX));
            scenario.demand_per_s = vec![demand_per_entry; entries];
        }
        "burst" => scenario.no_demand_ms = (5_000, 12_000),
        "killed" => {
            scenario.faults = (0..entries)
                .map(|entry| {
                    (
                        Fault::Killed(entry),
                        8_000 + 500 * entry as u64,
                        9_500 + 500 * entry as u64,
                    )
                })
                .collect();
        }
        "split" => scenario.faults = vec![(Fault::Partition(entries / 2), 8_000, 14_000)],
        _ => {}
    }
    scenario
}

fn row(entries: usize, limit_per_s: f64, demand: &str, policy: SharingPolicy) {
    let outcomes: Vec<_> = (0..RUNS)
        .map(|seed| simulate(scenario(entries, limit_per_s, demand, policy, seed)))
        .collect();
    let max_ratio = outcomes
        .iter()
        .map(|outcome| outcome.max_ratio_to_allowed(limit_per_s, 3_000))
        .fold(0.0, f64::max);
    let used: f64 = outcomes
        .iter()
        .map(|outcome| outcome.rate_per_s(4_000, 24_000) / limit_per_s)
        .sum();
    let messages: u64 = outcomes.iter().map(|outcome| outcome.messages).sum();
    println!(
        "{entries:7}  {limit_per_s:7}  {demand:7}  {:11}  {max_ratio:5.2}  {:4.2}  {:6}",
        format!("{policy:?}"),
        used / 5.0,
        messages / RUNS / 24,
    );
}
