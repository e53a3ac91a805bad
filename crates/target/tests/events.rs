//! Event streams are only cut at event borders, however the bytes arrive.

use berylhook_target::EventSplitter;

const STREAM: &[u8] = b"data: a\n\ndata: b\r\n\r\ndata: long one\n\ndata: unfinished";

#[test]
fn every_way_to_cut_the_bytes_gives_the_same_whole_events() {
    for size in 1..=STREAM.len() {
        let mut splitter = EventSplitter::default();
        let mut bytes = Vec::new();
        let mut count = 0;

        for chunk in STREAM.chunks(size) {
            if let Some(events) = splitter.push(chunk) {
                count += events.count;
                bytes.extend_from_slice(&events.bytes);
            }
        }

        assert_eq!(count, 3, "chunks of {size}");
        assert!(bytes.ends_with(b"long one\n\n"), "chunks of {size}");
        assert_eq!(&splitter.into_remainder()[..], b"data: unfinished");
    }
}
