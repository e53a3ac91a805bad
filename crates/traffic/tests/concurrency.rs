//! The bound on what runs follows the time of a pass.

use berylhook_core::time::MonoMs;
use berylhook_traffic::concurrency::{
    ConcurrencyLimiter, FirstEvent, PassModel, PassObjective, SharedCapacity,
};
use berylhook_traffic::dispatch::Load;

const GOAL: PassObjective = PassObjective {
    pause_ms: 120.0,
    min_pass_ms: 18.0,
};

fn concurrency(engines: usize, entries: u32) -> ConcurrencyLimiter {
    // Eight generations at an engine make a pass of 48 ms.
    let mut concurrency = ConcurrencyLimiter::new(PassModel {
        empty_pass_ms: 18.0,
        per_generation_ms: 3.75,
        slots: 12.0,
        passes_per_response: 24.0,
    });
    concurrency.set_capacity(SharedCapacity {
        engines,
        slots: u32::try_from(engines * 12).expect("few engines"),
        share: 1.0 / f64::from(entries),
    });
    concurrency
}

/// Plays passes of that length; callers always want more.
fn play(
    concurrency: &mut ConcurrencyLimiter,
    goal: PassObjective,
    pass_ms: f64,
    from_ms: u64,
    for_ms: u64,
) {
    let mut at_ms = from_ms;
    while at_ms < from_ms + for_ms {
        at_ms += 50;
        concurrency.on_event_gap(pass_ms);
        concurrency.has_room(usize::MAX);
        concurrency.adjust(goal, usize::MAX, MonoMs(at_ms));
    }
}

#[test]
fn entries_share_the_first_guess() {
    assert!((concurrency(16, 1).limit() - 128.0).abs() < 0.1);
    assert!((concurrency(16, 4).limit() - 32.0).abs() < 0.1);
}

// Symptom: after all processes lost power every slot is taken and passes take three
// times the goal until the end of the day. Sequence: each of fifty entries starts
// alone, sees a few passes, and only then meets the others. Cause: the first bound, for
// all engines, outlived the moment in which the entry believed itself alone.
#[test]
fn the_bound_shrinks_to_a_part_when_others_are_met() {
    let mut concurrency = concurrency(16, 1);
    play(&mut concurrency, GOAL, 60.0, 0, 500);
    let alone = concurrency.limit();

    concurrency.set_capacity(SharedCapacity {
        engines: 16,
        slots: 16 * 12,
        share: 0.02,
    });

    assert!(
        concurrency.limit() < alone / 40.0,
        "{}",
        concurrency.limit()
    );
}

#[test]
fn long_passes_lower_the_bound_and_short_ones_raise_it() {
    let mut concurrency = concurrency(16, 4);
    let first = concurrency.limit();

    play(&mut concurrency, GOAL, 150.0, 0, 2_000);
    let lowered = concurrency.limit();
    play(&mut concurrency, GOAL, 60.0, 2_000, 4_000);

    assert!(lowered < first / 2.0, "{lowered} of {first}");
    assert!(concurrency.limit() > lowered * 2.0);
}

#[test]
fn the_bound_stays_between_its_ends() {
    let mut concurrency = concurrency(2, 4);

    play(&mut concurrency, GOAL, 500.0, 0, 60_000);
    assert!((concurrency.limit() - 2.0).abs() < 0.1);
    play(&mut concurrency, GOAL, 20.0, 60_000, 60_000);
    assert!((concurrency.limit() - 24.0).abs() < 0.1);
}

// Symptom: callers are refused although hardly anything runs. Sequence: demand
// for experts shifts, a few passes take long, the bound falls step by step
// although a third of it is in use. Cause: long passes were always put down to
// what runs.
#[test]
fn long_passes_lower_nothing_while_little_of_the_bound_is_in_use() {
    let mut concurrency = concurrency(16, 4);
    let before = concurrency.limit();

    for at_ms in (0..2_000).step_by(50) {
        concurrency.on_event_gap(200.0);
        concurrency.adjust(GOAL, 10, MonoMs(at_ms));
    }

    assert!((concurrency.limit() - before).abs() < 0.1);
}

// Symptom: two thirds of the callers are refused and the others are late all
// the same. Sequence: one engine is slowed sevenfold, even an empty pass misses
// the goal, the bound falls to its least. Cause: a goal that no bound can reach.
#[test]
fn where_no_pass_can_be_timely_the_bound_does_not_fall() {
    let mut concurrency = concurrency(16, 4);
    let before = concurrency.limit();
    let hopeless = PassObjective {
        min_pass_ms: 122.0,
        ..GOAL
    };

    play(&mut concurrency, hopeless, 160.0, 0, 2_000);

    assert!(concurrency.limit() >= before);
}

#[test]
fn a_stalled_group_says_nothing_about_load() {
    let mut concurrency = concurrency(16, 4);
    let before = concurrency.limit();

    play(&mut concurrency, GOAL, 1_500.0, 0, 3_000);

    assert!((concurrency.limit() - before).abs() < 0.1);
}

/// Plays passes of that length and first events like `first`.
fn play_first_events(concurrency: &mut ConcurrencyLimiter, pass_ms: f64, first: FirstEvent) {
    for at_ms in (0..4_000).step_by(50) {
        concurrency.on_first_event(first);
        concurrency.on_event_gap(pass_ms);
        concurrency.has_room(usize::MAX);
        concurrency.adjust(GOAL, usize::MAX, MonoMs(at_ms));
    }
}

// Symptom: first events take two seconds although passes are short, and a tenth of
// the answers are on time. Sequence: more callers come than there are slots; passes
// stay short with all slots taken, so every entry's bound rises to all slots of the
// service. Cause: the bound looked at the time of passes alone.
#[test]
fn a_queue_at_the_targets_lowers_the_bound_while_passes_are_short() {
    let mut concurrency = concurrency(16, 4);
    let before = concurrency.limit();
    let queued = FirstEvent {
        load: Some(Load {
            running: 12,
            waiting: 9,
        }),
        latency_ms: 900.0,
    };

    play_first_events(&mut concurrency, 60.0, queued);

    assert!(concurrency.limit() < before, "{}", concurrency.limit());
}

// The same where targets do not tell their load: the first event took fifteen
// passes in place of three.
#[test]
fn a_queue_is_seen_in_the_passes_that_a_first_event_took() {
    let mut concurrency = concurrency(16, 4);
    let before = concurrency.limit();
    let queued = FirstEvent {
        load: None,
        latency_ms: 480.0,
    };

    play_first_events(&mut concurrency, 32.0, queued);

    assert!(concurrency.limit() < before, "{}", concurrency.limit());
}

// Symptom: callers are refused for seconds after each shift of demand. Sequence:
// passes take three times as long for a moment, and first events with them. Cause:
// a late first event was put down to a queue, and fewer admissions help nobody.
#[test]
fn long_passes_are_no_queue() {
    let mut concurrency = concurrency(16, 4);
    let before = concurrency.limit();
    let slow = FirstEvent {
        load: None,
        latency_ms: 280.0,
    };

    play_first_events(&mut concurrency, 90.0, slow);

    assert!(concurrency.limit() >= before, "{}", concurrency.limit());
}

// Symptom: callers are refused for three seconds although passes are short.
// Sequence: long passes have lowered the bound, a better map makes them half as
// long at once, the bound follows by a twentieth each time. Cause: steps that did
// not look at how much room there is.
#[test]
fn the_bound_rises_fast_where_passes_leave_room() {
    let mut concurrency = concurrency(16, 4);
    play(&mut concurrency, GOAL, 150.0, 0, 2_000);
    let lowered = concurrency.limit();

    play(&mut concurrency, GOAL, 50.0, 2_000, 1_000);

    assert!(concurrency.limit() > lowered * 3.0);
}
