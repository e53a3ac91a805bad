//! Many entries that share many targets, played on the model of a group.

use berylhook_test_support::group_model::{Scenario, play_all};
use berylhook_traffic::configuration::EngineModel;

const SEEDS: [u64; 3] = [1, 2, 3];

/// Entries' parts of the traffic: connections are spread by a hash of the caller, so
/// one entry has three times what another has.
fn uneven(entry: usize, _second: u64) -> f64 {
    [0.3, 0.5, 0.65, 0.85, 1.0][entry * 7 % 5]
}

/// Half of the slots of 192 ranks in use, by way of fifty entries.
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
        weight: uneven,
        know_each_other: true,
        arrivals_per_s: |_| 550.0,
        skew: |_| 1.2,
        tells_load: true,
        goal_ms: 600,
        pause_goal_ms: 200.0,
        length_ms: 15_000,
        seed,
    }
}

// Symptom: with half of all slots free, a sixth of the streams wait at a target and
// some are rejected there. Sequence: each of fifty entries has a few streams and puts
// each at another target. Cause: what fifty entries choose independently falls on some
// targets four times as often as on the mean.
#[test]
fn nobody_queues_at_one_target_while_another_is_idle() {
    let alone = |seed| Scenario {
        know_each_other: false,
        ..scenario(seed)
    };

    let before = play_all(&SEEDS, alone);
    let tally = play_all(&SEEDS, scenario);

    assert!(tally.queued * 5 < before.queued, "{tally:?} {before:?}");
    assert!(tally.in_goal_part() > 0.97, "{tally:?}");
}

// Symptom: a rolling restart of all entries leaves callers waiting or refused although
// places are free. Sequence: an entry is gone for two seconds, its callers come to the
// others, which know of it a second late. Cause: targets whose owner is gone are used
// by nobody where arcs are fixed.
#[test]
fn a_rolling_restart_leaves_no_part_of_the_targets_unused() {
    let rolling = |seed| Scenario {
        weight: |entry, second| {
            let is_away = (second * 7 + 50 - entry as u64 % 50) % 50 < 12;
            if is_away { 0.0 } else { uneven(entry, second) }
        },
        ..scenario(seed)
    };
    let alone = |seed| Scenario {
        know_each_other: false,
        ..rolling(seed)
    };

    let before = play_all(&SEEDS, alone);
    let tally = play_all(&SEEDS, rolling);

    assert!(tally.queued * 2 < before.queued, "{tally:?} {before:?}");
    assert!(tally.in_goal_part() > 0.95, "{tally:?}");
}

// Symptom: the entries of a data centre with more callers than targets queue while
// other data centres have room. Cause: parts that end at the data centre.
#[test]
fn a_data_centre_short_of_targets_uses_those_of_others() {
    let lopsided = |seed| Scenario {
        weight: |entry, second| {
            let factor = if entry % 5 == 0 { 1.0 } else { 0.25 };
            factor * uneven(entry, second)
        },
        ..scenario(seed)
    };
    let alone = |seed| Scenario {
        know_each_other: false,
        ..lopsided(seed)
    };

    let before = play_all(&SEEDS, alone);
    let tally = play_all(&SEEDS, lopsided);

    assert!(tally.queued * 2 < before.queued, "{tally:?} {before:?}");
    assert!(tally.in_goal_part() > 0.95, "{tally:?}");
}
