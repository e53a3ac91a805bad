//! The retry budget of one entry, and the sum over fleets of entries.

use std::num::NonZeroUsize;

use berylhook_core::time::MonoMs;
use berylhook_test_support::retry_model::{RetryPolicy, RetryScenario, simulate};
use berylhook_traffic::retry_budget::{FleetRetryBudget, RetryBounds, SendHistory};
use proptest::prelude::*;

const BOUNDS: RetryBounds = RetryBounds {
    ratio: 0.2,
    window_ms: 10_000,
    slack: 100.0,
};

fn take_all(budget: &mut FleetRetryBudget, now_ms: u64) -> u32 {
    let mut taken = 0;
    while budget.try_retry(MonoMs(now_ms)) {
        taken += 1;
    }
    taken
}

/// Records a request every `interval_ms` in this span.
fn record_requests(
    budget: &mut FleetRetryBudget,
    span_ms: std::ops::Range<u64>,
    interval_ms: usize,
) {
    for now_ms in span_ms.step_by(interval_ms) {
        budget.on_request(MonoMs(now_ms));
    }
}

// Guards against a first request that cannot be retried at the only entry of a small fleet.
#[test]
fn an_entry_that_is_alone_can_retry_at_its_start() {
    let mut budget = FleetRetryBudget::new(BOUNDS, NonZeroUsize::new(1));

    assert_eq!(take_all(&mut budget, 0), 6);
}

// Guards against a reserve that each start of an entry of a large fleet brings anew.
#[test]
fn an_entry_of_a_large_fleet_has_no_retries_before_it_has_requests() {
    let mut budget = FleetRetryBudget::new(BOUNDS, NonZeroUsize::new(53));

    assert_eq!(take_all(&mut budget, 0), 0);
    record_requests(&mut budget, 0..1_000, 100);
    assert_eq!(take_all(&mut budget, 1_000), 1);
}

// Guards against an entry that takes itself for the only one before it has heard of others.
#[test]
fn an_entry_that_does_not_know_the_others_gets_nothing_of_the_slack() {
    let mut budget = FleetRetryBudget::new(BOUNDS, None);
    record_requests(&mut budget, 0..5_000, 50);

    // A fortieth of 100 requests.
    assert_eq!(take_all(&mut budget, 5_000), 2);
}

// Guards against savings that grow for as long as nothing fails.
#[test]
fn savings_are_limited_to_the_share_of_the_entry() {
    let mut budget = FleetRetryBudget::new(BOUNDS, NonZeroUsize::new(10));
    record_requests(&mut budget, 0..60_000, 50);

    // 5 of the slack, a fortieth of 180 requests, and less than 1 for the start.
    assert_eq!(take_all(&mut budget, 60_000), 10);
}

// Guards against savings from a burst that is long over.
#[test]
fn savings_from_the_ratio_end_with_their_window() {
    let mut budget = FleetRetryBudget::new(BOUNDS, NonZeroUsize::new(50));
    record_requests(&mut budget, 0..10_000, 10);

    assert_eq!(take_all(&mut budget, 30_000), 1);
}

// Guards against an entry that goes on with the share of a smaller fleet.
#[test]
fn savings_shrink_when_the_fleet_grows() {
    let mut budget = FleetRetryBudget::new(BOUNDS, NonZeroUsize::new(1));
    record_requests(&mut budget, 0..60_000, 50);

    budget.set_policy(BOUNDS, NonZeroUsize::new(50));

    assert_eq!(take_all(&mut budget, 60_000), 5);
}

// Guards against retries although the deployment allows none.
#[test]
fn no_retry_is_granted_without_ratio_and_slack() {
    let bounds = RetryBounds {
        ratio: 0.0,
        slack: 0.0,
        ..BOUNDS
    };
    let mut budget = FleetRetryBudget::new(bounds, NonZeroUsize::new(1));
    record_requests(&mut budget, 0..10_000, 10);

    assert_eq!(take_all(&mut budget, 10_000), 0);
}

// Guards against windows that are counted with the intervals of another length.
#[test]
fn a_new_window_length_starts_the_count_anew() {
    let mut budget = FleetRetryBudget::new(BOUNDS, NonZeroUsize::new(50));
    record_requests(&mut budget, 0..10_000, 10);

    let bounds = RetryBounds {
        window_ms: 100_000,
        ..BOUNDS
    };
    budget.set_policy(bounds, NonZeroUsize::new(50));

    assert_eq!(take_all(&mut budget, 10_000), 1);
}

fn scenario(policy: RetryPolicy, entries: usize, seed: u64) -> RetryScenario {
    RetryScenario {
        policy,
        entries,
        requests_per_s: 250.0,
        bounds: RetryBounds {
            slack: 116.0,
            ..BOUNDS
        },
        failure: |_| 0.6,
        restart_interval_ms: Some(3_000),
        mean_single_restart_ms: None,
        duration_ms: 20_000,
        seed,
    }
}

// Guards against the sum of the retries of entries that restart together.
#[test]
fn entries_that_restart_together_stay_within_the_bound() {
    for (entries, requests_per_s) in [(2, 30.0), (15, 450.0), (53, 480.0), (3_400, 30_000.0)] {
        let outcome = simulate(&RetryScenario {
            requests_per_s,
            ..scenario(RetryPolicy::Fleet, entries, 1)
        });

        assert!(
            outcome.max_excess <= 0.0,
            "{entries} entries: {}",
            outcome.max_excess
        );
    }
}

// Guards against a model that could not show the fault.
#[test]
fn reserves_of_each_process_break_the_bound() {
    let outcome = simulate(&scenario(RetryPolicy::PerProcess, 12, 1));

    assert!(outcome.max_excess > 0.0, "{}", outcome.max_excess);
}

// Guards against a budget that saves nobody when one target in twenty fails for some seconds.
#[test]
fn short_failures_of_few_targets_are_retried() {
    let mut scenario = scenario(RetryPolicy::Fleet, 12, 1);
    scenario.failure = |now_ms| {
        let is_failing = (8_000..11_000).contains(&now_ms);
        if is_failing { 0.05 } else { 0.0 }
    };
    scenario.restart_interval_ms = None;

    let outcome = simulate(&scenario);

    assert!(outcome.failed > 0);
    assert_eq!(outcome.rescued, outcome.failed);
}

fn failures() -> impl Strategy<Value = fn(u64) -> f64> {
    prop_oneof![
        Just((|_| 1.0) as fn(u64) -> f64),
        Just((|_| 0.5) as fn(u64) -> f64),
        Just((|now_ms| f64::from(u8::from(now_ms % 12_000 > 9_000))) as fn(u64) -> f64),
        Just((|now_ms| f64::from(u8::from(now_ms % 7_000 < 500))) as fn(u64) -> f64),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    // Guards against any order of requests, failures and starts in which the entries together
    // retry more than the bound allows.
    #[test]
    fn any_fleet_stays_within_the_bound(
        entries in 1_usize..60,
        per_entry_per_s in 0.2_f64..40.0,
        ratio in 0.05_f64..0.5,
        slack in 0.0_f64..300.0,
        window_s in 2_u64..15,
        failure in failures(),
        restart_ms in prop::option::of(2_500_u64..9_000),
        single_ms in prop::option::of(100.0_f64..5_000.0),
        seed in any::<u64>(),
    ) {
        let window_ms = window_s * 1_000;
        let outcome = simulate(&RetryScenario {
            policy: RetryPolicy::Fleet,
            entries,
            requests_per_s: per_entry_per_s * f64::from(u32::try_from(entries).unwrap_or(1)),
            bounds: RetryBounds { ratio, window_ms, slack },
            failure,
            // An entry starts four times in a window at most.
            restart_interval_ms: restart_ms.map(|ms| ms.max(window_ms / 3)),
            mean_single_restart_ms: single_ms,
            duration_ms: 30_000,
            seed,
        });

        prop_assert!(outcome.max_excess <= 0.0, "{}", outcome.max_excess);
    }
}

// Guards against retries that are spent on connections which were not opened: nothing arrives there.
#[test]
fn a_send_that_reaches_no_target_takes_no_retry() {
    let mut sends = SendHistory::default();

    sends.on_not_connected();
    let after_refusal = sends.is_next_a_retry();
    sends.on_arrived();
    let after_arrival = sends.is_next_a_retry();
    sends.on_not_connected();
    let after_paid_refusal = sends.is_next_a_retry();
    sends.on_withheld();
    let after_withheld = sends.is_next_a_retry();

    assert_eq!(
        [
            after_refusal,
            after_arrival,
            after_paid_refusal,
            after_withheld
        ],
        [false, true, false, false]
    );
}

// Guards against a request that opens connections without end while all targets are gone.
#[test]
fn connections_that_fail_again_and_again_take_retries() {
    let mut sends = SendHistory::default();
    let is_retry: Vec<bool> = (0..5)
        .map(|_| {
            sends.on_not_connected();
            sends.is_next_a_retry()
        })
        .collect();

    assert_eq!(is_retry, [false, false, false, true, true]);
}
