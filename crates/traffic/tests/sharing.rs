//! Many entries that share many targets, simulated with the group model.

use berylhook_test_support::group_model::{Scenario, simulate_all};
use berylhook_traffic::configuration::EngineModel;

const SEEDS: [u64; 3] = [1, 2, 3];

/// Each entry's share of the traffic. Connections are distributed by a hash of the caller, so one
/// entry gets three times as much traffic as another.
fn uneven_weight(entry: usize, _second: u64) -> f64 {
    [0.3, 0.5, 0.65, 0.85, 1.0][entry * 7 % 5]
}

/// Fifty entries use half of the slots of 192 ranks.
fn scenario(seed: u64) -> Scenario {
    Scenario {
        engine: EngineModel {
            slots: 6,
            step_ms: 4.55,
            per_sequence_ms: 0.905,
            context_per_1000_ms: 0.018,
            steps_per_pass: 6,
            prefill_tokens_per_s: 61_400.0,
            typical_prompt_tokens: 807.0,
            typical_response_tokens: 91.0,
            experts: None,
        },
        ranks: 192,
        entries: 50,
        data_centres: 5,
        entry_weight: uneven_weight,
        is_membership_shared: true,
        arrivals_per_s: |_| 550.0,
        skew: |_| 1.2,
        reports_load: true,
        objective_ms: 600,
        pause_objective_ms: 200.0,
        duration_ms: 15_000,
        seed,
    }
}

// Guards against targets that are chosen independently: each of fifty entries spreads its few
// streams evenly, some targets get four times the mean by chance, and although half of all slots
// are free, a sixth of the streams are queued at a target and some are rejected there.
#[test]
fn requests_do_not_queue_at_one_target_while_another_is_idle() {
    let without_membership = |seed| Scenario {
        is_membership_shared: false,
        ..scenario(seed)
    };

    let baseline = simulate_all(&SEEDS, without_membership);
    let tally = simulate_all(&SEEDS, scenario);

    assert!(tally.queued * 5 < baseline.queued, "{tally:?} {baseline:?}");
    assert!(tally.within_objective_fraction() > 0.97, "{tally:?}");
}

// Guards against fixed arcs, which leave the targets of an absent owner unused. In a rolling
// restart an entry is absent for two seconds; its callers go to other entries, which learn of it a
// second late, and would be queued or refused although slots are free.
#[test]
fn a_rolling_restart_leaves_no_targets_unused() {
    let rolling = |seed| Scenario {
        entry_weight: |entry, second| {
            let is_away = (second * 7 + 50 - entry as u64 % 50) % 50 < 12;
            if is_away {
                0.0
            } else {
                uneven_weight(entry, second)
            }
        },
        ..scenario(seed)
    };
    let without_membership = |seed| Scenario {
        is_membership_shared: false,
        ..rolling(seed)
    };

    let baseline = simulate_all(&SEEDS, without_membership);
    let tally = simulate_all(&SEEDS, rolling);

    assert!(tally.queued * 2 < baseline.queued, "{tally:?} {baseline:?}");
    assert!(tally.within_objective_fraction() > 0.95, "{tally:?}");
}

// Guards against arcs that end at the data centre: the entries of one with more callers than
// targets would queue requests while other data centres have free slots.
#[test]
fn a_data_centre_short_of_targets_uses_those_of_others() {
    let one_data_centre_overloaded = |seed| Scenario {
        entry_weight: |entry, second| {
            let factor = if entry % 5 == 0 { 1.0 } else { 0.25 };
            factor * uneven_weight(entry, second)
        },
        ..scenario(seed)
    };
    let without_membership = |seed| Scenario {
        is_membership_shared: false,
        ..one_data_centre_overloaded(seed)
    };

    let baseline = simulate_all(&SEEDS, without_membership);
    let tally = simulate_all(&SEEDS, one_data_centre_overloaded);

    assert!(tally.queued * 2 < baseline.queued, "{tally:?} {baseline:?}");
    assert!(tally.within_objective_fraction() > 0.95, "{tally:?}");
}
