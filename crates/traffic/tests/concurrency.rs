//! The adaptive concurrency limit follows the duration of forward passes and the queues at targets.

use berylhook_core::time::MonoMs;
use berylhook_traffic::concurrency::{
    ConcurrencyLimiter, FirstEvent, PassModel, PassObjective, SharedCapacity,
};
use berylhook_traffic::dispatch::Load;

const OBJECTIVE: PassObjective = PassObjective {
    pause_ms: 120.0,
    min_pass_ms: 18.0,
};

fn limiter(engines: usize, entries: u32) -> ConcurrencyLimiter {
    // Eight generations at an engine make a pass of 48 ms.
    let mut limiter = ConcurrencyLimiter::new(PassModel {
        empty_pass_ms: 18.0,
        per_generation_ms: 3.75,
        slots: 12.0,
        passes_per_response: 24.0,
    });
    limiter.set_capacity(SharedCapacity {
        engines,
        slots: u32::try_from(engines * 12).expect("few engines"),
        share: 1.0 / f64::from(entries),
    });
    limiter
}

/// Plays passes of that duration while more requests are always queued.
fn simulate_passes(
    limiter: &mut ConcurrencyLimiter,
    objective: PassObjective,
    pass_ms: f64,
    from_ms: u64,
    for_ms: u64,
) {
    let mut at_ms = from_ms;
    while at_ms < from_ms + for_ms {
        at_ms += 50;
        limiter.on_event_gap(pass_ms);
        limiter.has_room(usize::MAX);
        limiter.adjust(objective, usize::MAX, MonoMs(at_ms));
    }
}

#[test]
fn the_initial_limit_is_divided_between_entries() {
    assert!((limiter(16, 1).limit() - 128.0).abs() < 0.1);
    assert!((limiter(16, 4).limit() - 32.0).abs() < 0.1);
}

// Guards against an entry that keeps the initial limit for all engines. After a power failure of
// all processes, each of fifty entries starts alone, observes a few passes and only then discovers
// the others. With the initial limit, all slots stay taken and passes take three times the
// objective.
#[test]
fn the_limit_shrinks_when_other_entries_are_discovered() {
    let mut limiter = limiter(16, 1);
    simulate_passes(&mut limiter, OBJECTIVE, 60.0, 0, 500);
    let alone = limiter.limit();

    limiter.set_capacity(SharedCapacity {
        engines: 16,
        slots: 16 * 12,
        share: 0.02,
    });

    assert!(limiter.limit() < alone / 40.0, "{}", limiter.limit());
}

#[test]
fn long_passes_lower_the_limit_and_short_ones_raise_it() {
    let mut limiter = limiter(16, 4);
    let first = limiter.limit();

    simulate_passes(&mut limiter, OBJECTIVE, 150.0, 0, 2_000);
    let lowered = limiter.limit();
    simulate_passes(&mut limiter, OBJECTIVE, 60.0, 2_000, 4_000);

    assert!(lowered < first / 2.0, "{lowered} of {first}");
    assert!(limiter.limit() > lowered * 2.0);
}

#[test]
fn the_limit_stays_between_its_minimum_and_the_slots() {
    let mut limiter = limiter(2, 4);

    simulate_passes(&mut limiter, OBJECTIVE, 500.0, 0, 60_000);
    assert!((limiter.limit() - 2.0).abs() < 0.1);
    simulate_passes(&mut limiter, OBJECTIVE, 20.0, 60_000, 60_000);
    assert!((limiter.limit() - 24.0).abs() < 0.1);
}

// Guards against a limit that falls although little of it is in use. A shift of demand for experts
// makes a few passes long; attributing these to load gets callers refused while hardly anything
// runs.
#[test]
fn long_passes_do_not_lower_a_limit_that_is_mostly_unused() {
    let mut limiter = limiter(16, 4);
    let before = limiter.limit();

    for at_ms in (0..2_000).step_by(50) {
        limiter.on_event_gap(200.0);
        limiter.adjust(OBJECTIVE, 10, MonoMs(at_ms));
    }

    assert!((limiter.limit() - before).abs() < 0.1);
}

// Guards against a limit that falls to its minimum for an objective that no limit can meet. If one
// engine is slowed sevenfold, even a pass in which no generation runs exceeds the objective; two
// thirds of the callers were refused and the others were late anyway.
#[test]
fn the_limit_does_not_fall_if_no_pass_can_meet_the_objective() {
    let mut limiter = limiter(16, 4);
    let before = limiter.limit();
    let unreachable = PassObjective {
        min_pass_ms: 122.0,
        ..OBJECTIVE
    };

    simulate_passes(&mut limiter, unreachable, 160.0, 0, 2_000);

    assert!(limiter.limit() >= before);
}

#[test]
fn a_stall_does_not_change_the_limit() {
    let mut limiter = limiter(16, 4);
    let before = limiter.limit();

    simulate_passes(&mut limiter, OBJECTIVE, 1_500.0, 0, 3_000);

    assert!((limiter.limit() - before).abs() < 0.1);
}

/// Plays passes of that duration, with first events like `first`.
fn simulate_first_events(limiter: &mut ConcurrencyLimiter, pass_ms: f64, first: FirstEvent) {
    for at_ms in (0..4_000).step_by(50) {
        limiter.on_first_event(first);
        limiter.on_event_gap(pass_ms);
        limiter.has_room(usize::MAX);
        limiter.adjust(OBJECTIVE, usize::MAX, MonoMs(at_ms));
    }
}

// Guards against a limit that considers pass durations alone. With more requests than slots, passes
// stay short while all slots are taken, so every entry's limit rises to all slots of the service:
// first events take two seconds, and only a tenth of the responses are on time.
#[test]
fn queues_at_targets_lower_the_limit_although_passes_are_short() {
    let mut limiter = limiter(16, 4);
    let before = limiter.limit();
    let queued = FirstEvent {
        load: Some(Load {
            running: 12,
            waiting: 9,
        }),
        latency_ms: 900.0,
    };

    simulate_first_events(&mut limiter, 60.0, queued);

    assert!(limiter.limit() < before, "{}", limiter.limit());
}

// The same for targets that do not report their load: the first event takes fifteen passes instead
// of three.
#[test]
fn queues_are_detected_from_late_first_events() {
    let mut limiter = limiter(16, 4);
    let before = limiter.limit();
    let queued = FirstEvent {
        load: None,
        latency_ms: 480.0,
    };

    simulate_first_events(&mut limiter, 32.0, queued);

    assert!(limiter.limit() < before, "{}", limiter.limit());
}

// Guards against late first events that are attributed to a queue. After a shift of demand, passes
// take three times as long for a moment, and first events with them; fewer admissions would not
// help, and callers would be refused for seconds.
#[test]
fn long_passes_are_not_mistaken_for_a_queue() {
    let mut limiter = limiter(16, 4);
    let before = limiter.limit();
    let slow = FirstEvent {
        load: None,
        latency_ms: 280.0,
    };

    simulate_first_events(&mut limiter, 90.0, slow);

    assert!(limiter.limit() >= before, "{}", limiter.limit());
}

// Guards against a limit that rises by a twentieth per adjustment only, whatever the room is. When
// a better expert map halves the duration of passes, callers would be refused for three seconds
// more.
#[test]
fn the_limit_rises_fast_if_passes_leave_room() {
    let mut limiter = limiter(16, 4);
    simulate_passes(&mut limiter, OBJECTIVE, 150.0, 0, 2_000);
    let lowered = limiter.limit();

    simulate_passes(&mut limiter, OBJECTIVE, 50.0, 2_000, 1_000);

    assert!(limiter.limit() > lowered * 3.0);
}
