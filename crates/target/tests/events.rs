//! Event streams are split only at event boundaries, whatever the sizes of the chunks.

use berylhook_target::{EventSplitter, EventTooLong, MAX_EVENT_BYTES};

const STREAM: &[u8] = b"data: a\n\ndata: b\r\n\r\ndata: long one\n\ndata: unfinished";

#[test]
fn events_do_not_depend_on_chunk_size() {
    for chunk_size in 1..=STREAM.len() {
        let mut splitter = EventSplitter::default();
        let mut bytes = Vec::new();
        let mut count = 0;

        for chunk in STREAM.chunks(chunk_size) {
            if let Some(events) = splitter.push(chunk).expect("the events are short") {
                count += events.count;
                bytes.extend_from_slice(&events.bytes);
            }
        }

        assert_eq!(count, 3, "chunks of {chunk_size} bytes");
        assert!(
            bytes.ends_with(b"long one\n\n"),
            "chunks of {chunk_size} bytes"
        );
        assert_eq!(&splitter.into_remainder()[..], b"data: unfinished");
    }
}

// Guards against a target that fills the memory with an event that it never ends.
#[test]
fn an_event_without_an_end_is_too_long_after_the_events_before_it() {
    let mut splitter = EventSplitter::default();
    let long = vec![b'x'; MAX_EVENT_BYTES + 1];

    let first = splitter.push(b"data: a\n\ndata: ");
    let second = splitter.push(&long);

    assert_eq!(
        first.map(|events| events.map(|events| events.count)),
        Ok(Some(1))
    );
    assert_eq!(second, Err(EventTooLong));
}
