//! Which events of a stream were delivered, and where to resume it.
//!
//! A stream that is interrupted may be continued by another target after the last delivered event.
//! The caller sees a single response: no event twice, none missing, and no partial event.
//!
//! The ids of a stream's events increase, by any step, and a faulty target may spoil bytes. So an id
//! that is further on than expected is held until the next event of the same run shows which of the
//! two is right. A resumed run that begins further on than the stream's step allows has left events
//! out, and so has any run that leaves a step that has held for several events, unless two targets agree; one with an event without a readable id has a spoiled one.

use bytes::{Bytes, BytesMut};

/// Rises by the same number after which another one means that events are missing.
const MIN_RISES: u32 = 4;

/// Id of an event; the ids of a stream's events increase.
pub type EventId = u64;

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    /// Send it to the caller, after the event that is held, if any.
    Forward,
    /// Send it to the caller, as it takes no place among the events.
    ForwardAlone,
    /// Keep it until the next event of its run arrives; one that is held already is sent.
    Hold,
    /// Drop it, as it was delivered before.
    Duplicate,
    /// Use nothing more of this run, as an event is missing or spoiled.
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

/// By how much the ids of a stream rise from one event to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Not known yet; most streams count their events.
    Unknown,
    /// Always by the same number so far, so many times.
    Regular { rise: u64, times: u32 },
    /// By different numbers.
    Irregular,
}

impl Step {
    /// The id that is expected after `last`; `None` if any higher one is.
    fn expected_after(self, last: EventId) -> Option<EventId> {
        match self {
            Self::Unknown => Some(last.saturating_add(1)),
            Self::Regular { rise, .. } => Some(last.saturating_add(rise)),
            Self::Irregular => None,
        }
    }

    /// The step once an id has risen by `rise` between two events of one run.
    fn after_rise(self, rise: u64) -> Self {
        match self {
            Self::Unknown => Self::Regular { rise, times: 1 },
            Self::Regular {
                rise: known_rise,
                times,
            } if known_rise == rise => Self::Regular {
                rise,
                times: times.saturating_add(1),
            },
            Self::Regular { .. } | Self::Irregular => Self::Irregular,
        }
    }

    /// Whether another rise means that events are missing, also within a run.
    fn is_established(self) -> bool {
        matches!(self, Self::Regular { times, .. } if times >= MIN_RISES)
    }
}

/// How sure it is that the last delivered event has the id that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Certainty {
    /// It followed the id before it as expected.
    Expected,
    /// There was nothing to compare it with.
    Unconfirmed,
    /// It contradicts the id before it.
    Contradicted,
}

/// The events of one run at one target.
#[derive(Clone, Debug, Default)]
pub struct RunProgress {
    has_accepted: bool,
    held: Option<(EventId, Bytes)>,
}

/// The events of one response that were delivered so far.
#[derive(Clone, Copy, Debug)]
pub struct StreamProgress {
    last: Option<EventId>,
    certainty: Certainty,
    step: Step,
    has_delivered: bool,
    /// The id at which a run last seemed to leave events out.
    disputed: Option<EventId>,
}

impl StreamProgress {
    /// Begins a response after the last event that the caller already has, if any.
    #[must_use]
    pub fn new(last_received: Option<EventId>) -> Self {
        Self {
            last: last_received,
            certainty: Certainty::Expected,
            step: Step::Unknown,
            has_delivered: false,
            disputed: None,
        }
    }

    /// Takes the complete events of one read from a run, up to the first gap.
    pub fn accept(&mut self, run: &mut RunProgress, events: &Bytes) -> AcceptedEvents {
        let mut undelivered = Vec::new();
        let mut has_gap = false;
        for event in split_events(events) {
            match self.classify(run, EventLabel::read(&event)) {
                Delivery::Forward => {
                    undelivered.extend(run.held.take().map(|(_id, held)| held));
                    undelivered.push(event);
                    self.has_delivered = true;
                }
                Delivery::ForwardAlone => undelivered.push(event),
                Delivery::Hold => {
                    let held = event_id(&event).map(|id| (id, event));
                    let confirmed = std::mem::replace(&mut run.held, held);
                    self.has_delivered |= confirmed.is_some();
                    undelivered.extend(confirmed.map(|(_id, event)| event));
                }
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

    /// Takes the event that is still held at the proper end of a run. No later one speaks against it.
    pub fn finish(&mut self, run: &mut RunProgress) -> Option<Bytes> {
        let (id, event) = run.held.take()?;
        self.last = Some(id);
        self.certainty = Certainty::Unconfirmed;
        self.has_delivered = true;
        Some(event)
    }

    fn classify(&mut self, run: &mut RunProgress, label: EventLabel) -> Delivery {
        let id = match (label, self.last) {
            (EventLabel::Id(id), _) => id,
            (EventLabel::IdOnly(id), last) => match last.map(|last| self.step.expected_after(last))
            {
                Some(expected) if expected != Some(id) => return Delivery::Gap,
                Some(_) | None => id,
            },
            (EventLabel::NotAnEvent, _) => return Delivery::ForwardAlone,
            // Perhaps a stream without ids, which cannot be resumed.
            (EventLabel::Missing | EventLabel::Unreadable, None) => return Delivery::Forward,
            (EventLabel::Missing | EventLabel::Unreadable, Some(_)) => return Delivery::Gap,
        };
        let Some(last) = self.last else {
            self.advance(run, id, Certainty::Unconfirmed);
            return Delivery::Forward;
        };
        match run.held.as_ref().map(|(held, _event)| *held) {
            Some(held) => self.classify_after_held(run, last, held, id),
            None if id > last => self.classify_next(run, last, id),
            None if !run.has_accepted => Delivery::Duplicate,
            None if self.certainty == Certainty::Expected => Delivery::Gap,
            // One of the two ids is wrong. The events of a run arrive in order, so none is missing.
            None => {
                self.advance(run, id, Certainty::Contradicted);
                Delivery::Forward
            }
        }
    }

    /// Classifies an event behind the last delivered one.
    fn classify_next(&mut self, run: &mut RunProgress, last: EventId, id: EventId) -> Delivery {
        let is_resumed = !run.has_accepted;
        match self.step.expected_after(last) {
            Some(expected) if id == expected => {
                self.step = self.step.after_rise(id - last);
                self.advance(run, id, Certainty::Expected);
                Delivery::Forward
            }
            Some(_) if is_resumed && self.step != Step::Unknown => self.reject_unless_agreed(id),
            Some(_) if self.step.is_established() => self.reject_unless_agreed(id),
            Some(_) => Delivery::Hold,
            None => {
                self.advance(run, id, Certainty::Unconfirmed);
                Delivery::Forward
            }
        }
    }

    /// Classifies an event while the one before it is held.
    fn classify_after_held(
        &mut self,
        run: &mut RunProgress,
        last: EventId,
        held: EventId,
        id: EventId,
    ) -> Delivery {
        let held_rise = held - last;
        match id.checked_sub(held) {
            None | Some(0) => Delivery::Gap,
            // The first events of a resumed run rise by less than the distance to the run before.
            Some(rise) if !run.has_accepted && held_rise > rise && !self.is_disputed(held) => {
                self.reject_unless_agreed(held)
            }
            Some(_) => {
                self.step = self.step.after_rise(held_rise);
                self.advance(run, held, Certainty::Expected);
                self.classify_next(run, held, id)
            }
        }
    }

    /// Rejects a run that goes on with this id, unless another one has gone on with it as well.
    fn reject_unless_agreed(&mut self, id: EventId) -> Delivery {
        if self.is_disputed(id) {
            return Delivery::Hold;
        }
        self.disputed = Some(id);
        Delivery::Gap
    }

    fn is_disputed(&self, id: EventId) -> bool {
        self.disputed == Some(id)
    }

    fn advance(&mut self, run: &mut RunProgress, id: EventId, certainty: Certainty) {
        run.has_accepted = true;
        self.last = Some(id);
        self.certainty = certainty;
    }

    /// The last event that was delivered; another target has to continue after it.
    #[must_use]
    pub fn resume_after(&self) -> Option<EventId> {
        self.last
    }

    /// Whether it is known after which event another target has to continue.
    #[must_use]
    pub fn is_position_known(&self) -> bool {
        match self.last {
            Some(_) => self.certainty != Certainty::Contradicted,
            None => !self.has_delivered,
        }
    }
}

/// How an event is labelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EventLabel {
    Id(EventId),
    /// It has an id and no data, which may be the first half of an event that is split in two.
    IdOnly(EventId),
    /// It has data and no id.
    Missing,
    /// Its id cannot be read, or there are several.
    Unreadable,
    /// A comment or something else without data, which takes no id.
    NotAnEvent,
}

impl EventLabel {
    fn read(event: &[u8]) -> Self {
        let lines = || event.split(|byte| *byte == b'\n');
        let has_data = lines().any(|line| line.starts_with(b"data"));
        let mut ids = lines().filter_map(|line| line.strip_prefix(b"id:"));
        match (ids.next(), ids.next()) {
            (Some(id), None) => match parse_id(id) {
                Some(id) if has_data => Self::Id(id),
                Some(id) => Self::IdOnly(id),
                None => Self::Unreadable,
            },
            (Some(_), Some(_)) => Self::Unreadable,
            (None, _) if has_data => Self::Missing,
            (None, _) => Self::NotAnEvent,
        }
    }
}

fn parse_id(text: &[u8]) -> Option<EventId> {
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}

/// The id of an event; `None` if it has none, several, or one that is not a number.
#[must_use]
pub fn event_id(event: &[u8]) -> Option<EventId> {
    match EventLabel::read(event) {
        EventLabel::Id(id) | EventLabel::IdOnly(id) => Some(id),
        EventLabel::Missing | EventLabel::Unreadable | EventLabel::NotAnEvent => None,
    }
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
