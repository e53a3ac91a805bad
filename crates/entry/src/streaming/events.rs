//! Splits a byte buffer into events.

use bytes::Bytes;

/// Splits complete events, each with the blank line that ends it.
pub(super) fn split_events(events: &Bytes) -> Vec<Bytes> {
    let mut rest = events.clone();
    let mut parts = Vec::new();
    while let Some(length) = event_length(&rest) {
        parts.push(rest.split_to(length));
    }
    parts
}

fn event_length(bytes: &[u8]) -> Option<usize> {
    let lf = find(bytes, b"\n\n").map(|position| position + 2);
    let crlf = find(bytes, b"\r\n\r\n").map(|position| position + 4);
    match (lf, crlf) {
        (Some(lf), Some(crlf)) => Some(lf.min(crlf)),
        (lf, crlf) => lf.or(crlf),
    }
}

fn find(bytes: &[u8], separator: &[u8]) -> Option<usize> {
    bytes
        .windows(separator.len())
        .position(|window| window == separator)
}
