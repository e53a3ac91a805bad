//! Receives a response until it is complete, turns out to be a stream, or fails.

use berylhook_caller::{CallResponse, ResponseBody};
use berylhook_core::attempt::Verdict;
use berylhook_core::outcome::Outcome;
use berylhook_peer::proto::{Data, Head};
use bytes::BytesMut;

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
pub(super) async fn collect(attempt: &mut Attempt, clock: &mut RequestClock) -> CollectOutcome {
    let mut head = None;
    let mut body = BytesMut::new();
    loop {
        match (attempt.next().await, head.take()) {
            (AttemptOutput::Finished(verdict), Some(head)) if verdict.outcome == Outcome::Done => {
                return CollectOutcome::Complete(CallResponse {
                    head: response_head(&head),
                    body: ResponseBody::Full(body.freeze()),
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
                body.extend_from_slice(&data.bytes);
                if body.len() > MAX_BUFFERED_BYTES {
                    let bytes = body.freeze();
                    let first_chunks = vec![Data { bytes, ..data }];
                    return CollectOutcome::Stream {
                        head: received,
                        first_chunks,
                    };
                }
                head = Some(received);
            }
            // `AttemptState` delivers no data before the head.
            (AttemptOutput::Data(_), None) => {}
        }
    }
}
