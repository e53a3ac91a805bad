//! Tests that the entries together keep to a target's limit, in a simulated fleet.

mod common;

use crate::common::{Fault, Outcome, Scenario, SharingPolicy, simulate};

const FLEETS: [usize; 4] = [2, 6, 20, 53];
const LIMITS_PER_S: [f64; 4] = [0.5, 1.0, 5.0, 50.0];
const SEEDS: u64 = 3;

/// The service's objective applies from three seconds after a limit is announced.
const OBJECTIVE_FROM_MS: u64 = 3_000;

/// Highest accepted ratio of sent to allowed requests under faults.
const MAX_RATIO_UNDER_FAULTS: f64 = 1.25;

/// Lowest accepted fraction of the limit that is used while there is demand.
const MIN_USED_FRACTION: f64 = 0.9;

/// Simulates each fleet size with each limit and several seeds.
fn in_each_fleet(modify: impl Fn(&mut Scenario), check: impl Fn(&Scenario, &Outcome)) {
    for entries in FLEETS {
        for limit_per_s in LIMITS_PER_S {
            for seed in 0..SEEDS {
                let mut scenario =
                    Scenario::even(SharingPolicy::Permits, entries, limit_per_s, seed);
                modify(&mut scenario);
                check(&scenario, &simulate(scenario.clone()));
            }
        }
    }
}

fn assert_max_ratio(scenario: &Scenario, outcome: &Outcome, max_ratio: f64) {
    let ratio = outcome.max_ratio_to_allowed(scenario.limit_per_s, OBJECTIVE_FROM_MS);
    assert!(
        ratio <= max_ratio,
        "{ratio:.2} times the allowed requests in {scenario:?}"
    );
}

fn assert_min_used(scenario: &Scenario, outcome: &Outcome, from_ms: u64, to_ms: u64) {
    let used = outcome.rate_per_s(from_ms, to_ms) / scenario.limit_per_s;
    assert!(
        used >= MIN_USED_FRACTION,
        "{used:.2} of the limit is used in {scenario:?}"
    );
}

/// Gives the first entries a fault one after the other, each for 2.5 s.
fn add_consecutive_faults(scenario: &mut Scenario, fault: impl Fn(usize) -> Fault) {
    let entries = 0..scenario.entries.min(6);
    let faults = entries.map(|entry| {
        let at_ms = 5_000 + 3_000 * entry as u64;
        (fault(entry), at_ms, at_ms + 2_500)
    });
    scenario.faults = faults.collect();
}

// Guards against entries that each keep to the limit but exceed it together.
#[test]
fn the_sum_over_all_entries_stays_within_the_limit_and_uses_it() {
    in_each_fleet(
        |_| {},
        |scenario, outcome| {
            assert_max_ratio(scenario, outcome, 1.0);
            // At half a request per second, a single request changes the result by a tenth.
            if scenario.limit_per_s >= 1.0 {
                assert_min_used(scenario, outcome, 4_000, 24_000);
            }
        },
    );
}

// Guards against permits that accumulate at the entries while there is no demand and are
// then used at once.
#[test]
fn a_burst_after_a_time_without_demand_stays_within_the_allowed_requests() {
    in_each_fleet(
        |scenario| scenario.no_demand_ms = (4_000, 12_000),
        |scenario, outcome| assert_max_ratio(scenario, outcome, 1.0),
    );
}

// Guards against a limit that is mostly unused because one entry has all the demand.
#[test]
fn one_entry_with_all_the_demand_gets_the_whole_limit() {
    in_each_fleet(
        |scenario| {
            let total_demand_per_s = scenario.demand_per_s.iter().sum();
            scenario.demand_per_s = vec![0.0; scenario.entries];
            scenario.demand_per_s[scenario.entries / 2] = total_demand_per_s;
        },
        |scenario, outcome| {
            assert_max_ratio(scenario, outcome, 1.0);
            if scenario.limit_per_s >= 5.0 {
                assert_min_used(scenario, outcome, 4_000, 24_000);
            }
        },
    );
}

// Guards against exceeding the allowed requests when messages between entries are lost.
#[test]
fn requests_stay_bounded_when_messages_are_lost() {
    in_each_fleet(
        |scenario| scenario.loss_probability = 0.2,
        |scenario, outcome| assert_max_ratio(scenario, outcome, MAX_RATIO_UNDER_FAULTS),
    );
}

// Guards against restarted entries that send as if there were no limit, and against permits
// that a new home grants a second time.
#[test]
fn requests_stay_bounded_when_entries_restart_one_after_the_other() {
    in_each_fleet(
        |scenario| {
            let entries = 0..scenario.entries as u64;
            let times =
                entries.map(|entry| (entry, 6_000 + entry * 16_000 / scenario.entries as u64));
            scenario.faults = times
                .map(|(entry, at_ms)| {
                    let entry = usize::try_from(entry).expect("a small number");
                    (Fault::Killed(entry), at_ms, at_ms + 1_500)
                })
                .collect();
        },
        |scenario, outcome| assert_max_ratio(scenario, outcome, MAX_RATIO_UNDER_FAULTS),
    );
}

// Guards against two homes: a paused one that resumes, and the one that replaced it.
#[test]
fn requests_stay_bounded_when_entries_are_paused() {
    in_each_fleet(
        |scenario| add_consecutive_faults(scenario, Fault::Paused),
        |scenario, outcome| assert_max_ratio(scenario, outcome, MAX_RATIO_UNDER_FAULTS),
    );
}

// Guards against an entry whose messages are lost while it still receives those of others,
// so that permits are granted twice.
#[test]
fn requests_stay_bounded_when_outbound_messages_of_entries_are_lost() {
    in_each_fleet(
        |scenario| add_consecutive_faults(scenario, Fault::OutboundLoss),
        |scenario, outcome| assert_max_ratio(scenario, outcome, MAX_RATIO_UNDER_FAULTS),
    );
}

// Guards against both sides of a network partition using the whole limit.
#[test]
fn requests_stay_bounded_during_a_network_partition() {
    in_each_fleet(
        |scenario| scenario.faults = vec![(Fault::Partition(scenario.entries / 2), 6_000, 12_000)],
        |scenario, outcome| assert_max_ratio(scenario, outcome, MAX_RATIO_UNDER_FAULTS),
    );
}

// Guards against a limit for which no entry grants permits after its home has exited.
#[test]
fn after_the_exit_of_any_entry_the_limit_is_used_again_within_two_seconds() {
    for entries in [6, 20, 53] {
        for exited in 0..entries {
            // With `Paused`, as on a VM without power, nothing refuses connections.
            for fault in [Fault::Killed(exited), Fault::Paused(exited)] {
                let mut scenario = Scenario::even(SharingPolicy::Permits, entries, 50.0, 1);
                scenario.faults = vec![(fault, 8_000, 60_000)];

                let outcome = simulate(scenario.clone());

                assert_min_used(&scenario, &outcome, 10_000, 18_000);
            }
        }
    }
}

// Guards against limiting a target after it has stopped announcing a limit.
#[test]
fn a_removed_limit_is_removed_at_all_entries_within_two_seconds() {
    for entries in FLEETS {
        for limit_per_s in [1.0, 5.0, 50.0] {
            let mut scenario = Scenario::even(SharingPolicy::Permits, entries, limit_per_s, 1);
            scenario.limit_changes = vec![(10_000, 0.0)];
            let total_demand_per_s: f64 = scenario.demand_per_s.iter().sum();

            let outcome = simulate(scenario.clone());

            let rate_per_s = outcome.rate_per_s(12_000, 24_000);
            assert!(
                rate_per_s >= total_demand_per_s * MIN_USED_FRACTION,
                "{rate_per_s} of {total_demand_per_s} requests per second are sent in {scenario:?}"
            );
        }
    }
}

// Guards against entries that continue to use the previous limit after it was lowered.
#[test]
fn a_lowered_limit_is_enforced() {
    for entries in FLEETS {
        let mut scenario = Scenario::even(SharingPolicy::Permits, entries, 50.0, 1);
        scenario.limit_changes = vec![(10_000, 5.0)];

        let outcome = simulate(scenario);

        let ratio = outcome.max_ratio_to_allowed(5.0, 13_000);
        assert!(
            ratio <= 1.0,
            "{ratio:.2} times the allowed requests with {entries} entries"
        );
    }
}

// Guards against messages about limits between entries while there is no limit.
#[test]
fn no_message_is_sent_while_no_target_announces_a_limit() {
    let mut scenario = Scenario::even(SharingPolicy::Permits, 20, 5.0, 1);
    scenario.limit_changes = vec![(0, 0.0)];

    let outcome = simulate(scenario);

    assert_eq!(outcome.messages, 0);
}
