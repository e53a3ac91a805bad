//! Targets that announce a rate limit for the requests of all entries together.

mod common;

use std::time::{Duration, Instant};

use berylhook_test_support::PlatformTarget;

use crate::common::load::{max_in_window, send_steadily};
use crate::common::poison::Fleet;

/// The requirement allows one and a half times the announced limit in any span of this length, and
/// five more requests.
const WINDOW: Duration = Duration::from_secs(4);

fn max_allowed(limit_per_s: usize) -> usize {
    limit_per_s * 4 * 3 / 2 + 5
}

/// Time for all entries to receive a limit; the requirement is three seconds.
const PROPAGATION_TIME: Duration = Duration::from_millis(1_500);

/// Duration of the load in tests that check one limit.
const LOAD_DURATION: Duration = Duration::from_millis(6_500);

/// Returns an error if the target received more than [`max_allowed`] requests in any window,
/// counted from the moment at which all entries have received the limit.
fn check_limit(
    target: &PlatformTarget,
    limit_per_s: usize,
    limit_set_at: Instant,
) -> Result<(), String> {
    let max_seen = max_in_window(&target.arrivals(), limit_set_at + PROPAGATION_TIME, WINDOW);
    let allowed = max_allowed(limit_per_s);
    if max_seen <= allowed {
        Ok(())
    } else {
        Err(format!(
            "{max_seen} requests in a window, {allowed} allowed"
        ))
    }
}

// Guards against entries that each keep to the limit of a target but together exceed it.
#[tokio::test]
async fn all_entries_together_keep_to_a_targets_limit() {
    let fleet = Fleet::start(3, 2).await;
    fleet.targets[0].set_limit(Some("2"));
    let limit_set_at = Instant::now();

    let responses = send_steadily(&fleet, &["/unsafe/", "/safe/", "/stream/"], LOAD_DURATION).await;

    assert_eq!(check_limit(&fleet.targets[0], 2, limit_set_at), Ok(()));
    assert!(responses.iter().all(|response| response.status == 200));
}

// Guards against callers that wait, or get no `Retry-After` header, when all targets are at their
// limit.
#[tokio::test]
async fn callers_get_retry_after_when_all_targets_are_at_their_limit() {
    let fleet = Fleet::start(2, 2).await;
    for target in &fleet.targets {
        target.set_limit(Some("2"));
    }
    let limit_set_at = Instant::now();

    let responses = send_steadily(&fleet, &["/unsafe/", "/stream/"], LOAD_DURATION).await;

    for target in &fleet.targets {
        assert_eq!(check_limit(target, 2, limit_set_at), Ok(()));
    }
    let (served, refused): (Vec<_>, Vec<_>) = responses
        .iter()
        .partition(|response| response.status == 200);
    assert!(!served.is_empty());
    assert!(
        refused
            .iter()
            .all(|response| response.status == 503 && response.retry_after.is_some())
    );
}

// Guards against a target that stays limited after it has stopped announcing a limit.
#[tokio::test]
async fn a_target_that_no_longer_announces_a_limit_is_used_in_full_again() {
    let fleet = Fleet::start(3, 2).await;
    fleet.targets[0].set_limit(Some("2"));
    send_steadily(&fleet, &["/unsafe/", "/stream/"], Duration::from_secs(2)).await;
    fleet.targets[0].set_limit(None);
    send_steadily(&fleet, &["/unsafe/", "/stream/"], Duration::from_secs(2)).await;
    let count_before = fleet.targets[0].arrivals().len();

    let responses = send_steadily(&fleet, &["/unsafe/", "/stream/"], Duration::from_secs(2)).await;

    let received_count = fleet.targets[0].arrivals().len() - count_before;
    assert!(
        received_count * 4 > responses.len(),
        "{received_count} of {}",
        responses.len()
    );
}

// Guards against an entry that has just started and sends as if there were no limit, and against
// permits that no entry grants after their home, the entry that allocates the limit, has exited.
#[tokio::test]
async fn entries_that_start_and_stop_keep_to_a_targets_limit() {
    let mut fleet = Fleet::start(2, 2).await;
    fleet.targets[0].set_limit(Some("2"));
    let limit_set_at = Instant::now();
    let paths = ["/unsafe/", "/stream/"];
    for _ in 0..3 {
        send_steadily(&fleet, &paths, Duration::from_millis(1_500)).await;
        fleet.start_entry().await;
        fleet.entries.remove(0).daemon.kill();
    }

    send_steadily(&fleet, &paths, Duration::from_millis(1_500)).await;

    assert_eq!(check_limit(&fleet.targets[0], 2, limit_set_at), Ok(()));
    let received_count = fleet.targets[0].arrivals().len();
    assert!(
        received_count >= 6,
        "{received_count} requests in six seconds"
    );
}
