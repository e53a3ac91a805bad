//! Receiving an answer until it is clear what it is.

use berylhook_caller::{CallResponse, ResponseBody};
use berylhook_core::attempt::Verdict;
use berylhook_core::outcome::Outcome;
use berylhook_peer::proto::{Data, Head};
use bytes::BytesMut;

use super::attempt::{Attempt, Step};
use super::job::RequestClock;
use super::streaming::{answer_head, is_event_stream};

/// Bodies up to this size are held back until they are whole, so that a
/// failure before their end can still be retried or told cleanly.
const MAX_WHOLE_BYTES: usize = 1 << 20;

/// How one attempt ended before any of it reached the caller.
pub(super) enum Early {
    /// The whole answer.
    Whole(CallResponse),
    /// An answer that is passed on as it comes.
    Stream { head: Head, first: Vec<Data> },
    /// No answer.
    Over(Verdict),
}

/// Receives an answer until it is whole, turns out to be a stream, or fails.
pub(super) async fn collect(attempt: &mut Attempt, clock: &mut RequestClock) -> Early {
    let mut head = None;
    let mut body = BytesMut::new();
    loop {
        match (attempt.next().await, head.take()) {
            (Step::Over(verdict), Some(head)) if verdict.outcome == Outcome::Done => {
                return Early::Whole(CallResponse {
                    head: answer_head(&head),
                    body: ResponseBody::Full(body.freeze()),
                });
            }
            (Step::Over(verdict), _) => return Early::Over(verdict),
            (Step::Head(received), _) => head = Some(received),
            (Step::Data(data), Some(head)) if is_event_stream(&head) => {
                clock.on_data(&data);
                return Early::Stream {
                    head,
                    first: vec![data],
                };
            }
            (Step::Data(data), Some(received)) => {
                clock.on_data(&data);
                body.extend_from_slice(&data.bytes);
                if body.len() > MAX_WHOLE_BYTES {
                    let bytes = body.freeze();
                    let first = vec![Data { bytes, ..data }];
                    return Early::Stream {
                        head: received,
                        first,
                    };
                }
                head = Some(received);
            }
            // The exchange delivers no data before the head.
            (Step::Data(_), None) => {}
        }
    }
}
