//! Event streams are split only at event boundaries, whatever the sizes of the chunks.

use berylhook_target::EventSplitter;

const STREAM: &[u8] = b"data: a\n\ndata: b\r\n\r\ndata: long one\n\ndata: unfinished";

#[test]
fn events_do_not_depend_on_chunk_size() {
    for chunk_size in 1..=STREAM.len() {
        let mut splitter = EventSplitter::default();
        let mut bytes = Vec::new();
        let mut count = 0;

        for chunk in STREAM.chunks(chunk_size) {
            if let Some(events) = splitter.push(chunk) {
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
