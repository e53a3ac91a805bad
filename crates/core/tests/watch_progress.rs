//! Which changes of a store count as delivered, and which are overdue.

use berylhook_core::position::Position;
use berylhook_core::time::MonoMs;
use berylhook_core::watch_progress::{Awaited, WatchProgress};
use proptest::prelude::*;

const TOPICS: [char; 3] = ['a', 'b', 'c'];

fn at(revision: u64) -> Position {
    Position::first_era(revision)
}

/// All topics are complete up to `revision`.
fn complete_up_to(revision: u64) -> WatchProgress<char> {
    let mut progress = WatchProgress::new(TOPICS);
    for topic in TOPICS {
        progress.on_delivered(topic, [], at(revision));
    }
    progress
}

fn awaited_revision(progress: &WatchProgress<char>) -> Option<u64> {
    progress.awaited().map(|awaited| awaited.position.revision)
}

#[test]
fn nothing_is_awaited_while_each_change_was_delivered_by_some_watch() {
    let mut progress = complete_up_to(5);

    progress.on_delivered('a', [at(6)], at(6));
    progress.on_delivered('b', [at(7), at(8)], at(8));
    let is_awaited = progress.on_store_position(at(8), MonoMs(10));

    assert!(!is_awaited);
    assert_eq!(progress.awaited(), None);
}

// Guards against a muted watch that is overlooked because another topic has a later change.
#[test]
fn a_missing_change_is_awaited_although_a_later_one_was_delivered() {
    let mut progress = complete_up_to(5);

    progress.on_delivered('a', [at(7)], at(7));
    let is_awaited = progress.on_store_position(at(7), MonoMs(10));

    assert!(is_awaited);
    assert!(progress.is_incomplete('b', at(7)) && !progress.is_incomplete('a', at(7)));
}

#[test]
fn a_change_of_no_topic_is_accounted_for_once_all_topics_are_complete() {
    let mut progress = complete_up_to(5);
    progress.on_store_position(at(6), MonoMs(10));
    let before = awaited_revision(&progress);

    for topic in TOPICS {
        progress.on_delivered(topic, [], at(6));
    }

    assert_eq!((before, progress.awaited()), (Some(6), None));
}

// Guards against changes that are never overdue because newer ones keep coming.
#[test]
fn the_oldest_awaited_position_keeps_its_time() {
    let mut progress = complete_up_to(5);

    progress.on_store_position(at(6), MonoMs(10));
    progress.on_store_position(at(9), MonoMs(400));
    let first = progress.awaited();
    progress.on_delivered('a', [at(6)], at(6));
    let second = progress.awaited();

    let awaited = |revision, since_ms| {
        Some(Awaited {
            position: at(revision),
            since_ms: MonoMs(since_ms),
        })
    };
    assert_eq!((first, second), (awaited(6, 10), awaited(9, 400)));
}

// Guards against revisions of before a restore that stand for other changes after it.
#[test]
fn delivered_revisions_do_not_count_in_the_next_era() {
    let mut progress = complete_up_to(5);
    let restored = |revision| Position { era: 1, revision };

    progress.on_delivered('a', [at(7)], at(7));
    progress.on_store_position(restored(7), MonoMs(10));
    let before = progress.awaited().is_some();
    for topic in TOPICS {
        progress.on_delivered(topic, [], restored(6));
    }
    let after_reads = progress.awaited().is_some();
    progress.on_delivered('b', [restored(7)], restored(7));

    assert!(before && after_reads);
    assert_eq!(progress.awaited(), None);
}

/// A change of the store: the topic it belongs to, if any.
fn change() -> impl Strategy<Value = Option<usize>> {
    proptest::option::weighted(0.9, 0..TOPICS.len())
}

/// A step of the watch of one topic: whether the watch is muted before it.
fn delivery() -> impl Strategy<Value = (usize, bool)> {
    (0..TOPICS.len(), proptest::bool::weighted(0.2))
}

proptest! {
    /// Guards against a change that no watch has delivered and that is not awaited.
    #[test]
    fn an_undelivered_change_of_a_topic_is_always_awaited(
        steps in proptest::collection::vec((change(), delivery()), 1..80)
    ) {
        let mut progress = WatchProgress::new(TOPICS);
        let mut history: Vec<Option<usize>> = Vec::new();
        let mut delivered = [0_usize; TOPICS.len()];
        let mut is_mute = [false; TOPICS.len()];
        for (change, (topic, mutes)) in steps {
            history.push(change);
            is_mute[topic] |= mutes;
            if !is_mute[topic] {
                let pending = delivered[topic]..history.len();
                let changes = pending.filter(|index| history[*index] == Some(topic));
                let changes: Vec<_> = changes.map(|index| at(index as u64 + 1)).collect();
                progress.on_delivered(TOPICS[topic], changes, at(history.len() as u64));
                delivered[topic] = history.len();
            }
            progress.on_store_position(at(history.len() as u64), MonoMs(1));
            let is_missing = history.iter().enumerate().any(|(index, change)| {
                change.is_some_and(|topic| delivered[topic] <= index)
            });
            prop_assert!(!is_missing || progress.awaited().is_some());
        }
    }
}
