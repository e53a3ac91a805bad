//! Requests under which a target has ended, while they wait for their turn.

mod common;

use std::time::Duration;

use berylhook_test_support::POISON;

use crate::common::poison::{Fleet, NEWS};

/// Time of the request's caller. Its turn comes when a fifth of that is left.
const DEADLINE_MS: u64 = 180;
const TURN_AFTER: Duration = Duration::from_millis(144);

// A target ended for nothing: the request had waited for its lock until its time was almost
// over, was sent all the same, and its caller was told that it may have run.
#[tokio::test]
async fn a_request_whose_time_is_over_when_its_turn_comes_is_not_sent() {
    for path in ["/unsafe/draft", "/once/stream"] {
        let fleet = Fleet::start(1, 4).await;
        fleet.send(0, path, "first", POISON).await;
        tokio::time::sleep(NEWS).await;
        fleet.store.hold_reads_of("berylhook/quarantine-lock/");

        let waiting = fleet.send_within(0, path, "second", POISON, DEADLINE_MS);
        let releasing = async {
            tokio::time::sleep(TURN_AFTER).await;
            fleet.store.release_reads();
        };
        let (answered, ()) = tokio::join!(waiting, releasing);
        tokio::time::sleep(NEWS).await;

        assert_eq!((answered.status, fleet.ended()), (503, 1), "{path}");
    }
}
