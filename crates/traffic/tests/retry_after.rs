//! When refused callers are told to come back.

use berylhook_traffic::retry_after::{RetryReason, retry_after_ms};

/// Times that many callers with `left_ms` are told, shortest first.
fn times(left_ms: u64, back: RetryReason) -> Vec<u64> {
    let told = (0..10_000_u64).map(|random| retry_after_ms(left_ms, back, random * 7_919));
    let mut times: Vec<u64> = told.collect();
    times.sort_unstable();
    times
}

// Symptom: callers that were refused in one moment come back in one moment and are
// refused for good. Sequence: a burst. Cause: all were told the same time.
#[test]
fn refused_callers_come_back_spread_over_the_life_of_a_generation() {
    let times = times(8_000, RetryReason::Busy);

    let (first, middle, last) = (times[0], times[5_000], times[9_999]);
    assert!(first >= 20 && last <= 1_500, "{first} to {last}");
    assert!((700..820).contains(&middle), "{middle}");
}

#[test]
fn callers_of_a_service_that_is_down_come_back_later() {
    let times = times(8_000, RetryReason::Down);

    assert!(times[0] >= 1_000 && times[9_999] <= 2_000);
}

#[test]
fn a_caller_without_time_is_told_a_time_all_the_same() {
    assert_eq!(times(0, RetryReason::Busy)[9_999], 20);
}
