//! The bound on what runs follows the time of a pass.

use berylhook_core::time::MonoMs;
use berylhook_traffic::concurrency::{Concurrency, PassGoal, Size};

const GOAL: PassGoal = PassGoal {
    pause_ms: 120.0,
    least_pass_ms: 18.0,
};

fn concurrency(engines: usize, entries: usize) -> Concurrency {
    let mut concurrency = Concurrency::new(8.0);
    concurrency.resize(Size {
        engines,
        slots: u32::try_from(engines * 12).expect("few engines"),
        entries,
    });
    concurrency
}

/// Plays passes of that length; callers always want more.
fn play(concurrency: &mut Concurrency, goal: PassGoal, pass_ms: f64, from_ms: u64, for_ms: u64) {
    let mut at_ms = from_ms;
    while at_ms < from_ms + for_ms {
        at_ms += 50;
        concurrency.on_gap(pass_ms);
        concurrency.has_room(usize::MAX);
        concurrency.adjust(goal, usize::MAX, MonoMs(at_ms));
    }
}

#[test]
fn entries_share_the_first_guess() {
    assert!((concurrency(16, 1).bound() - 128.0).abs() < 0.1);
    assert!((concurrency(16, 4).bound() - 32.0).abs() < 0.1);
}

#[test]
fn long_passes_lower_the_bound_and_short_ones_raise_it() {
    let mut concurrency = concurrency(16, 4);
    let first = concurrency.bound();

    play(&mut concurrency, GOAL, 150.0, 0, 2_000);
    let lowered = concurrency.bound();
    play(&mut concurrency, GOAL, 60.0, 2_000, 4_000);

    assert!(lowered < first / 2.0, "{lowered} of {first}");
    assert!(concurrency.bound() > lowered * 2.0);
}

#[test]
fn the_bound_stays_between_its_ends() {
    let mut concurrency = concurrency(2, 4);

    play(&mut concurrency, GOAL, 500.0, 0, 60_000);
    assert!((concurrency.bound() - 2.0).abs() < 0.1);
    play(&mut concurrency, GOAL, 20.0, 60_000, 60_000);
    assert!((concurrency.bound() - 24.0).abs() < 0.1);
}

// Symptom: callers are refused although hardly anything runs. Sequence: demand
// for experts shifts, a few passes take long, the bound falls step by step
// although a third of it is in use. Cause: long passes were always put down to
// what runs.
#[test]
fn long_passes_lower_nothing_while_little_of_the_bound_is_in_use() {
    let mut concurrency = concurrency(16, 4);
    let before = concurrency.bound();

    for at_ms in (0..2_000).step_by(50) {
        concurrency.on_gap(200.0);
        concurrency.adjust(GOAL, 10, MonoMs(at_ms));
    }

    assert!((concurrency.bound() - before).abs() < 0.1);
}

// Symptom: two thirds of the callers are refused and the others are late all
// the same. Sequence: one engine is slowed sevenfold, even an empty pass misses
// the goal, the bound falls to its least. Cause: a goal that no bound can reach.
#[test]
fn where_no_pass_can_be_timely_the_bound_does_not_fall() {
    let mut concurrency = concurrency(16, 4);
    let before = concurrency.bound();
    let hopeless = PassGoal {
        least_pass_ms: 122.0,
        ..GOAL
    };

    play(&mut concurrency, hopeless, 160.0, 0, 2_000);

    assert!(concurrency.bound() >= before);
}

#[test]
fn a_stalled_group_says_nothing_about_load() {
    let mut concurrency = concurrency(16, 4);
    let before = concurrency.bound();

    play(&mut concurrency, GOAL, 1_500.0, 0, 3_000);

    assert!((concurrency.bound() - before).abs() < 0.1);
}
