//! A stream from one target that has sent its response head.

use std::time::Instant;

use berylhook_quarantine::SurvivalCheck;
use berylhook_response_head::BodyEnd;
use berylhook_target::EventSplitter;
use berylhook_traffic::dispatch::Load;
use berylhook_traffic::stream::RunProgress;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{HeaderMap, StatusCode};

use super::head::StreamHead;
use crate::call::ConnectionGuard;
use crate::queue::SlotGuard;

/// A stream from one target that has sent its response head.
pub(super) struct TargetStream {
    pub(super) slot: SlotGuard,
    body: Incoming,
    body_end: BodyEnd,
    has_events: bool,
    splitter: EventSplitter,
    /// Complete events that were read and are read again.
    unread: Option<Bytes>,
    pub(super) progress: RunProgress,
    /// Whether the target has left out an event, or spoiled one.
    is_invalid: bool,
    pub(super) sent_at: Instant,
    /// The load that the target reported in the response head.
    pub(super) load: Option<Load>,
    pub(super) last_event_at: Option<Instant>,
    pub(super) survival: SurvivalCheck,
    pub(super) headers: HeaderMap,
    pub(super) status: StatusCode,
    /// Cancels the request at the target when dropped.
    _connection: ConnectionGuard,
}

/// What one read from the body of a stream brought.
pub(super) enum BodyRead {
    /// Complete events.
    Events(Bytes),
    /// No complete event yet.
    Partial,
    /// The proper end.
    End,
    /// The connection failed, an event is missing or too long, or the body ended in the middle of one
    /// or with its connection before the first.
    Failed,
}

impl TargetStream {
    pub(super) fn new(slot: SlotGuard, head: StreamHead, sent_at: Instant) -> Self {
        Self {
            slot,
            body: head.body,
            body_end: head.body_end,
            has_events: false,
            splitter: EventSplitter::default(),
            unread: None,
            progress: RunProgress::default(),
            is_invalid: false,
            sent_at,
            load: head.load,
            last_event_at: None,
            survival: SurvivalCheck::default(),
            headers: head.headers,
            status: head.status,
            _connection: head.connection,
        }
    }

    /// Makes all further reads fail, as nothing more of this stream can be used.
    pub(super) fn invalidate(&mut self) {
        self.is_invalid = true;
    }

    /// Reads from the body; nothing is lost if the future is dropped.
    pub(super) async fn read(&mut self) -> BodyRead {
        if self.is_invalid {
            return BodyRead::Failed;
        }
        if let Some(events) = self.unread.take() {
            return BodyRead::Events(events);
        }
        let frame = match self.body.frame().await {
            Some(Ok(frame)) => frame,
            Some(Err(_)) => return BodyRead::Failed,
            None => return self.end_of_body(),
        };
        let Ok(data) = frame.into_data() else {
            // Trailers.
            return BodyRead::Partial;
        };
        match self.splitter.push(&data) {
            Ok(Some(events)) => {
                self.has_events = true;
                BodyRead::Events(events.bytes)
            }
            Ok(None) => BodyRead::Partial,
            Err(error) => {
                let target = self.slot.target().id();
                log::warn!(target = &**target, reason:% = error; "a stream is closed");
                BodyRead::Failed
            }
        }
    }

    /// Waits for events or the proper end, which are read again afterwards; returns false if the
    /// stream fails instead.
    pub(super) async fn wait_for_events(&mut self) -> bool {
        loop {
            match self.read().await {
                BodyRead::Events(events) => {
                    self.unread = Some(events);
                    return true;
                }
                BodyRead::Partial => {}
                BodyRead::End => return true,
                BodyRead::Failed => return false,
            }
        }
    }

    fn end_of_body(&mut self) -> BodyRead {
        let splitter = std::mem::take(&mut self.splitter);
        let is_empty = self.body_end == BodyEnd::Connection && !self.has_events;
        if splitter.into_remainder().is_empty() && !is_empty {
            BodyRead::End
        } else {
            BodyRead::Failed
        }
    }
}
