//! Compares ways to bound the retries of a fleet, on the model of its entries.

use berylhook_test_support::retry_model::{RetryOutcome, RetryPolicy, RetryScenario, simulate};
use berylhook_traffic::retry_budget::RetryBounds;

const SEEDS: std::ops::Range<u64> = 0..20;

/// Fleets: entries, requests per second, slack.
const FLEETS: [(usize, f64, f64); 4] = [
    (2, 30.0, 50.0),
    (15, 450.0, 126.0),
    (53, 480.0, 264.0),
    (3_400, 30_000.0, 2_000.0),
];

fn few_fail(now_ms: u64) -> f64 {
    if (10_000..13_000).contains(&now_ms) {
        0.1
    } else {
        0.0
    }
}

fn most_fail(now_ms: u64) -> f64 {
    if (5_000..19_000).contains(&now_ms) {
        0.6
    } else {
        0.0
    }
}

fn main() {
    println!(
        "| Entries | Policy | A tenth fails for 3 s: rescued | Most fail, three restarts: rescued | Beyond the bound |"
    );
    println!("|---|---|---|---|---|");
    for fleet in FLEETS {
        for policy in [
            RetryPolicy::PerProcess,
            RetryPolicy::WithoutSlack,
            RetryPolicy::Fleet,
            RetryPolicy::Central,
        ] {
            let few = simulate_all(policy, fleet, few_fail, None);
            let most = simulate_all(policy, fleet, most_fail, Some(3_000));
            let rescued = |outcome: &RetryOutcome| {
                f64::from(outcome.rescued) / f64::from(outcome.failed.max(1))
            };
            println!(
                "| {} | {policy:?} | {:.3} | {:.3} | {:.0} |",
                fleet.0,
                rescued(&few),
                rescued(&most),
                most.max_excess.max(few.max_excess)
            );
        }
    }
}

fn simulate_all(
    policy: RetryPolicy,
    (entries, requests_per_s, slack): (usize, f64, f64),
    failure: fn(u64) -> f64,
    restart_interval_ms: Option<u64>,
) -> RetryOutcome {
    let outcomes = SEEDS.map(|seed| {
        simulate(&RetryScenario {
            policy,
            entries,
            requests_per_s,
            bounds: RetryBounds {
                slack,
                ..RetryBounds::default()
            },
            failure,
            restart_interval_ms,
            mean_single_restart_ms: None,
            duration_ms: 24_000,
            seed,
        })
    });
    outcomes.fold(RetryOutcome::default(), |sum, outcome| RetryOutcome {
        failed: sum.failed + outcome.failed,
        rescued: sum.rescued + outcome.rescued,
        max_excess: match sum.failed {
            0 => outcome.max_excess,
            _ => sum.max_excess.max(outcome.max_excess),
        },
    })
}
