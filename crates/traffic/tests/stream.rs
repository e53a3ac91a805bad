//! Events of a stream are delivered exactly once.

use berylhook_traffic::stream::Delivery::{self, Duplicate, Forward, Gap};
use berylhook_traffic::stream::{StreamProgress, event_id};
use bytes::Bytes;

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

const EVENTS: u64 = 6;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn events(ids: impl Iterator<Item = u64>) -> String {
    ids.map(event).collect()
}

/// The text that a caller gets if one target sends `body` at once, and a sound one continues after a gap.
fn deliver(body: &[u8]) -> String {
    let mut progress = StreamProgress::new(None);
    let first = progress.accept(&Bytes::copy_from_slice(body));
    let mut delivered = String::from_utf8_lossy(&first.events).into_owned();
    if first.has_gap {
        let after = progress.resume_after().unwrap_or_default();
        let rest = progress.accept(&events(after + 1..=EVENTS).into());
        assert!(!rest.has_gap, "the sound target has a gap");
        delivered += &String::from_utf8_lossy(&rest.events);
    }
    delivered
}

// Guards against sound events that are lost because a later one of the same read is spoiled.
#[test]
fn a_wrong_byte_at_any_position_behind_the_first_event_loses_no_sound_event() {
    let sound = events(1..=EVENTS).into_bytes();
    let first_len = event(1).len();
    for position in first_len..sound.len() {
        let spoiled_id = u64::try_from(position / first_len).expect("a few events") + 1;
        for wrong in *b"09x\n:" {
            let mut body = sound.clone();
            body[position] = wrong;

            let delivered = deliver(&body);

            for id in (1..=EVENTS).filter(|id| *id != spoiled_id) {
                let has_event = delivered.contains(&format!("data: piece {id}\n"));
                assert!(has_event, "{id} is lost at {position}: {delivered:?}");
            }
        }
    }
}
