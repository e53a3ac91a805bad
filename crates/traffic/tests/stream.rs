//! Events of a stream are delivered exactly once.

use berylhook_traffic::stream::Delivery::{self, Duplicate, Forward, Gap};
use berylhook_traffic::stream::{StreamProgress, event_id};

#[test]
fn the_number_of_an_event_is_read_from_its_text() {
    assert_eq!(event_id(b"id: 12\ndata: x\n\n"), Some(12));
    assert_eq!(event_id(b"data: x\nid:7\n\n"), Some(7));
    assert_eq!(event_id(b"data: id: 3\n\n"), None);
    assert_eq!(event_id(b"id: none\n\n"), None);
}

// Guards against a caller that gets an event twice, or misses one, after a resumption: a target
// breaks off, and the next one begins too early or too late, although it was told where to begin.
#[test]
fn events_are_delivered_once_and_gaps_are_detected() {
    let mut progress = StreamProgress::new(None);

    let decisions: Vec<_> = [1, 2, 2, 1, 3, 5]
        .into_iter()
        .map(|id| progress.classify(Some(id)))
        .collect();

    assert_eq!(
        decisions,
        [Forward, Forward, Duplicate, Duplicate, Forward, Gap]
    );
    assert_eq!(progress.resume_after(), Some(3));
}

#[test]
fn a_resuming_caller_gets_only_missing_events() {
    let mut progress = StreamProgress::new(Some(4));

    assert_eq!(progress.classify(Some(4)), Delivery::Duplicate);
    assert_eq!(progress.classify(Some(5)), Delivery::Forward);
    assert!(progress.has_delivered());
}
