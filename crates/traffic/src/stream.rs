//! Which events of a stream have been delivered, and where to go on.
//!
//! A stream that breaks off may be continued by another target behind the last
//! event delivered. The caller sees one answer: no event twice, none missing,
//! and no part of an event.

/// Number of an event; events of a stream have increasing numbers.
pub type EventId = u64;

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Pass it on.
    Forward,
    /// It was delivered before; drop it.
    Duplicate,
    /// An event before it is missing; end the answer visibly.
    Gap,
}

/// The events of one answer delivered so far.
#[derive(Clone, Copy, Debug)]
pub struct StreamProgress {
    last: Option<EventId>,
    delivered: bool,
}

impl StreamProgress {
    /// An answer that begins behind the event the caller has already, if any.
    #[must_use]
    pub fn new(caller_has: Option<EventId>) -> Self {
        Self {
            last: caller_has,
            delivered: false,
        }
    }

    /// Judges the next event of the current run.
    ///
    /// An event without a number cannot be placed; it is passed on in the
    /// order it came.
    pub fn classify(&mut self, id: Option<EventId>) -> Delivery {
        match (id, self.last) {
            (Some(id), Some(last)) if id <= last => return Delivery::Duplicate,
            (Some(id), Some(last)) if id > last + 1 => return Delivery::Gap,
            (Some(id), _) => self.last = Some(id),
            (None, _) => {}
        }
        self.delivered = true;
        Delivery::Forward
    }

    /// The event behind which another run has to begin.
    #[must_use]
    pub fn resume_after(&self) -> Option<EventId> {
        self.last
    }

    /// Whether any event has reached the caller in this answer.
    #[must_use]
    pub fn has_delivered(&self) -> bool {
        self.delivered
    }
}

/// The number of an event, from its text.
#[must_use]
pub fn event_id(event: &[u8]) -> Option<EventId> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .next_back()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
