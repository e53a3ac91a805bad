//! Which events of a stream were delivered, and where to resume it.
//!
//! A stream that is interrupted may be continued by another target after the last delivered event.
//! The caller sees a single response: no event twice, none missing, and no partial event.

use bytes::{Bytes, BytesMut};

/// Number of an event; the numbers of a stream's events increase.
pub type EventId = u64;

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Send it to the caller.
    Forward,
    /// Drop it, as it was delivered before.
    Duplicate,
    /// End the response visibly, as an earlier event is missing.
    Gap,
}

/// What of one read from a target is sent to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedEvents {
    /// The events that were not delivered before.
    pub events: Bytes,
    /// Whether an event is missing behind them, so that nothing more of this target can be used.
    pub has_gap: bool,
}

/// The events of one response that were delivered so far.
#[derive(Clone, Copy, Debug)]
pub struct StreamProgress {
    last: Option<EventId>,
    has_delivered: bool,
}

impl StreamProgress {
    /// Begins a response after the last event that the caller already has, if any.
    #[must_use]
    pub fn new(last_received: Option<EventId>) -> Self {
        Self {
            last: last_received,
            has_delivered: false,
        }
    }

    /// Decides what to do with the next event from the current target.
    ///
    /// The position of an event without a number is unknown, so it is delivered in order of
    /// arrival.
    pub fn classify(&mut self, id: Option<EventId>) -> Delivery {
        match (id, self.last) {
            (Some(id), Some(last)) if id <= last => return Delivery::Duplicate,
            (Some(id), Some(last)) if id > last + 1 => return Delivery::Gap,
            (Some(id), _) => self.last = Some(id),
            (None, _) => {}
        }
        self.has_delivered = true;
        Delivery::Forward
    }

    /// Takes the complete events of one read up to the first gap.
    pub fn accept(&mut self, events: &Bytes) -> AcceptedEvents {
        let mut undelivered = Vec::new();
        let mut has_gap = false;
        for event in split_events(events) {
            match self.classify(event_id(&event)) {
                Delivery::Forward => undelivered.push(event),
                Delivery::Duplicate => {}
                Delivery::Gap => {
                    has_gap = true;
                    break;
                }
            }
        }
        AcceptedEvents {
            events: concatenate(undelivered),
            has_gap,
        }
    }

    /// The last event that was delivered; another target has to continue after it.
    #[must_use]
    pub fn resume_after(&self) -> Option<EventId> {
        self.last
    }

    /// Whether this response has delivered any event.
    #[must_use]
    pub fn has_delivered(&self) -> bool {
        self.has_delivered
    }
}

/// Parses the number of an event from its text.
#[must_use]
pub fn event_id(event: &[u8]) -> Option<EventId> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .next_back()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Splits complete events, each with the blank line that ends it.
fn split_events(events: &Bytes) -> Vec<Bytes> {
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

fn concatenate(mut events: Vec<Bytes>) -> Bytes {
    match events.len() {
        0 => Bytes::new(),
        1 => events.remove(0),
        _ => {
            let joined: BytesMut = events.into_iter().flatten().collect();
            joined.freeze()
        }
    }
}
