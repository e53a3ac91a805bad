//! Cutting bytes into whole events.

use bytes::Bytes;

/// Cuts whole events apart, each with its blank line.
pub(super) fn split_events(events: &Bytes) -> Vec<Bytes> {
    let mut rest = events.clone();
    let mut parts = Vec::new();
    while let Some(length) = event_length(&rest) {
        parts.push(rest.split_to(length));
    }
    parts
}

fn event_length(bytes: &[u8]) -> Option<usize> {
    let lf = find(bytes, b"\n\n").map(|at| at + 2);
    let crlf = find(bytes, b"\r\n\r\n").map(|at| at + 4);
    match (lf, crlf) {
        (Some(lf), Some(crlf)) => Some(lf.min(crlf)),
        (lf, crlf) => lf.or(crlf),
    }
}

fn find(bytes: &[u8], border: &[u8]) -> Option<usize> {
    bytes
        .windows(border.len())
        .position(|window| window == border)
}
