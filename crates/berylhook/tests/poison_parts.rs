//! Parts of prompts on which targets exit, with real entries between callers, stand-in targets and
//! the stand-in store.

mod common;

use std::sync::atomic::Ordering;

use crate::common::poison::MAX_EXITS;
use crate::common::poison_parts::{send_poison_beside_sound, start_fleet};

const TARGETS: usize = 14;
const POISON_REQUESTS: usize = 16;

/// Sends requests with a poison part through `entries` entries on each kind of route, and asserts
/// how many targets exit and that sound requests are served.
async fn assert_poison_part_is_held(entries: usize) {
    for path in [
        "/unsafe/draft",
        "/safe/draft",
        "/once/stream",
        "/stream/draft",
    ] {
        let fleet = start_fleet(entries, TARGETS).await;

        let late = send_poison_beside_sound(&fleet, path, POISON_REQUESTS).await;

        let exits = fleet.exited_count();
        assert!(
            exits <= MAX_EXITS,
            "{path}: {exits} targets exited, {late:?}"
        );
        let (sent, served) = (
            late.sent.load(Ordering::Relaxed),
            late.served.load(Ordering::Relaxed),
        );
        assert!(sent > 0 && served == sent, "{path}: {late:?}");
    }
}

// Guards against a part of prompts that stops one target after the other, because each request with
// it has other content and so is known for nothing.
#[tokio::test]
async fn a_poison_part_in_requests_at_two_entries_causes_at_most_three_exits() {
    assert_poison_part_is_held(2).await;
}

#[tokio::test]
async fn a_poison_part_in_requests_at_six_entries_causes_at_most_three_exits() {
    assert_poison_part_is_held(6).await;
}
