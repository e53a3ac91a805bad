//! Compares ways to share a target's limit among entries, on the model of the tests.
//!
//! Prints for each fleet, limit and demand the largest part of what the users allow in any
//! 4 s, the part of the limit that is used, and the messages a second, over some plays.

#[path = "../tests/common/mod.rs"]
mod common;

use crate::common::{Fault, Play, Way, play};

const PLAYS: u64 = 5;

fn main() {
    println!("entries  limit/s  demand   way          worst  used  messages/s");
    for entries in [2, 6, 20, 53] {
        for limit_per_s in [0.5, 1.0, 5.0, 50.0] {
            for demand in ["even", "scarce", "burst", "one", "killed", "split"] {
                for way in [Way::EvenParts, Way::OneOwner, Way::Permits] {
                    row(entries, limit_per_s, demand, way);
                }
            }
        }
    }
}

fn made(entries: usize, limit_per_s: f64, demand: &str, way: Way, seed: u64) -> Play {
    let mut made = Play::even(way, entries, limit_per_s, seed);
    match demand {
        "one" => {
            let all: f64 = made.demand_per_s.iter().sum();
            made.demand_per_s = vec![0.0; entries];
            made.demand_per_s[entries / 2] = all;
        }
        "scarce" => {
            let each = limit_per_s * 6.0 / f64::from(u32::try_from(entries).unwrap_or(u32::MAX));
            made.demand_per_s = vec![each; entries];
        }
        "burst" => made.quiet_ms = (5_000, 12_000),
        "killed" => {
            made.faults = (0..entries)
                .map(|entry| {
                    (
                        Fault::Killed(entry),
                        8_000 + 500 * entry as u64,
                        9_500 + 500 * entry as u64,
                    )
                })
                .collect();
        }
        "split" => made.faults = vec![(Fault::Split(entries / 2), 8_000, 14_000)],
        _ => {}
    }
    made
}

fn row(entries: usize, limit_per_s: f64, demand: &str, way: Way) {
    let outcomes: Vec<_> = (0..PLAYS)
        .map(|seed| play(made(entries, limit_per_s, demand, way, seed)))
        .collect();
    let worst = outcomes
        .iter()
        .map(|it| it.worst_part(limit_per_s, 3_000))
        .fold(0.0, f64::max);
    let used: f64 = outcomes
        .iter()
        .map(|it| it.rate_per_s(4_000, 24_000) / limit_per_s)
        .sum();
    let messages: u64 = outcomes.iter().map(|it| it.messages).sum();
    println!(
        "{entries:7}  {limit_per_s:7}  {demand:7}  {:11}  {worst:5.2}  {:4.2}  {:6}",
        format!("{way:?}"),
        used / 5.0,
        messages / PLAYS / 24,
    );
}
