//! Receives a response until it is complete, turns out to be a stream, or fails.

use std::sync::Arc;
use std::time::Instant;

use berylhook_caller::{CallResponse, ResponseBody};
use berylhook_core::attempt::Verdict;
use berylhook_core::outcome::Outcome;
use berylhook_ingress::{Buffer, BufferKind, MemoryAccount};
use berylhook_peer::proto::{Data, Head};
use bytes::Bytes;

use super::attempt::{Attempt, AttemptOutput};
use super::job::RequestClock;
use super::streaming::{is_event_stream, response_head};

/// Bodies up to this size are buffered until they are complete, so that a failure before their end
/// can still be retried or reported with an error status.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// The result of an attempt before any of its response has reached the caller.
pub(super) enum CollectOutcome {
    /// The complete response.
    Complete(CallResponse),
    /// A response that is forwarded as it arrives.
    Stream { head: Head, first_chunks: Vec<Data> },
    /// No complete response.
    NoResponse(Verdict),
}

/// Receives a response until it is complete, turns out to be a stream, or fails.
///
/// A response for which `memory` has no room is forwarded as it arrives.
pub(super) async fn collect(
    attempt: &mut Attempt,
    clock: &mut RequestClock,
    memory: &Arc<MemoryAccount>,
) -> CollectOutcome {
    let mut head = None;
    let now = Instant::now();
    let mut body = memory.open(BufferKind::Response, None, MAX_BUFFERED_BYTES, now);
    loop {
        match (attempt.next().await, head.take()) {
            (AttemptOutput::Finished(verdict), Some(head)) if verdict.outcome == Outcome::Done => {
                return CollectOutcome::Complete(CallResponse {
                    head: response_head(&head),
                    body: ResponseBody::Full(complete(body)),
                });
            }
            (AttemptOutput::Finished(verdict), _) => return CollectOutcome::NoResponse(verdict),
            (AttemptOutput::Head(received), _) => head = Some(received),
            (AttemptOutput::Data(data), Some(head)) if is_event_stream(&head) => {
                clock.on_data(&data);
                return CollectOutcome::Stream {
                    head,
                    first_chunks: vec![data],
                };
            }
            (AttemptOutput::Data(data), Some(received)) => {
                clock.on_data(&data);
                if body.try_append(&data.bytes, Instant::now()).is_err() {
                    let bytes = complete(body);
                    let collected = Data {
                        bytes,
                        events: 0,
                        ..data
                    };
                    return CollectOutcome::Stream {
                        head: received,
                        first_chunks: vec![collected, data],
                    };
                }
                head = Some(received);
            }
            // `AttemptState` delivers no data before the head.
            (AttemptOutput::Data(_), None) => {}
        }
    }
}

/// What was collected. The body of a response is never given up.
fn complete(body: Buffer) -> Bytes {
    body.finish().unwrap_or_default()
}
