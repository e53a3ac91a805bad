//! Measuring the demand for slots.

use berylhook_core::time::MonoMs;
use berylhook_traffic::demand::SlotDemand;

/// Guards against demand that outlives its arrivals: slots reserved for callers that no longer
/// come would stay empty.
#[test]
fn arrivals_are_forgotten_after_the_window() {
    let mut demand = SlotDemand::new(2_000.0);
    for ms in (0..1_000).step_by(50) {
        demand.on_arrival(0, MonoMs(ms));
        demand.on_arrival(2, MonoMs(ms));
    }

    let during = demand.more_urgent_per_s(2, MonoMs(999));
    let after = demand.more_urgent_per_s(2, MonoMs(2_200));

    assert!((18.0..=22.0).contains(&during), "{during} per second");
    assert!(after.abs() < f64::EPSILON, "{after} per second");
}

/// Guards against a less urgent request that counts itself or others of its urgency as competition.
#[test]
fn only_more_urgent_arrivals_count() {
    let mut demand = SlotDemand::new(2_000.0);
    demand.on_arrival(1, MonoMs(0));
    demand.on_arrival(2, MonoMs(0));

    let rates: Vec<u32> = demand.arrivals_per_s(MonoMs(10)).into_keys().collect();

    assert_eq!(rates, [1, 2]);
    assert!(demand.more_urgent_per_s(1, MonoMs(10)).abs() < f64::EPSILON);
    assert!((demand.more_urgent_per_s(2, MonoMs(10)) - 1.0).abs() < f64::EPSILON);
}

/// Guards against a mean that one response of unusual length spoils: the expected waits of the next
/// seconds would be too long, and requests be refused beside slots that become free.
#[test]
fn a_long_response_hardly_changes_the_mean_slot_time() {
    let mut demand = SlotDemand::new(1_800.0);

    demand.on_completed(60_000.0);

    let mean_ms = demand.mean_slot_ms();
    assert!((1_800.0..=1_900.0).contains(&mean_ms), "{mean_ms} ms");
}

/// Guards against a cap on single samples that keeps the mean from following a lasting change.
#[test]
fn the_mean_slot_time_follows_a_lasting_change() {
    let mut demand = SlotDemand::new(500.0);

    (0..100).for_each(|_| demand.on_completed(5_000.0));

    let mean_ms = demand.mean_slot_ms();
    assert!((4_500.0..=5_000.0).contains(&mean_ms), "{mean_ms} ms");
}

/// Guards against a window that covers less than the time by which its arrivals are divided: the
/// reserve and the expected waits would be too small.
#[test]
fn a_steady_rate_is_measured_without_bias() {
    let mut demand = SlotDemand::new(2_000.0);
    let mut sum = 0.0;
    for ms in 0..10_000 {
        if ms % 7 == 0 {
            demand.on_arrival(0, MonoMs(ms));
        }
        if ms >= 2_000 {
            sum += demand.more_urgent_per_s(1, MonoMs(ms));
        }
    }

    let mean_per_s = sum / 8_000.0;
    let actual_per_s = 1_000.0 / 7.0;
    assert!(
        (mean_per_s / actual_per_s - 1.0).abs() < 0.01,
        "{mean_per_s} per second"
    );
}
