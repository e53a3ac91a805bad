//! Passing a stream on to its caller, and resuming it.

use std::sync::atomic::Ordering;
use std::time::Duration;

use berylhook_caller::{BodyChunk, CallResponse, ResponseBody, ResponseHead};
use berylhook_core::outcome::Outcome;
use berylhook_peer::proto::{Data, Head};
use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::attempt::{Attempt, Step};
use super::job::Job;

/// Parts of a streamed answer that wait for a slow caller.
const STREAM_PARTS: usize = 64;

/// Told to a caller whose answer ends early.
const CUT_MESSAGE: &str = "the answer was lost on its way; what came before is genuine";

/// How long to wait for an agent to come back and resume a stream. With the
/// second that a silent connection takes to be given up, a stream that cannot
/// be resumed is cut within three.
const RESUME_BOUND: Duration = Duration::from_millis(1_900);

/// Passes a stream on in the background.
pub(super) fn stream(job: Job, attempt: Attempt, head: &Head, first: Vec<Data>) -> CallResponse {
    let (parts, receiver) = mpsc::channel(STREAM_PARTS);
    let reply_head = answer_head(head);
    let passing = Passing {
        parts,
        events: 0,
        on_border: true,
        is_event_stream: is_event_stream(head),
    };
    tokio::spawn(pass_on(job, attempt, passing, first));
    CallResponse {
        head: reply_head,
        body: ResponseBody::Stream(receiver),
    }
}

/// A stream on its way to the caller.
struct Passing {
    parts: mpsc::Sender<BodyChunk>,
    /// Whole events the caller has.
    events: u64,
    /// Whether the caller's last byte ends an event.
    on_border: bool,
    is_event_stream: bool,
}

/// The caller has gone away.
struct CallerGone;

impl Passing {
    async fn send(&mut self, data: Data) -> Result<(), CallerGone> {
        self.events += u64::from(data.events);
        self.on_border = data.events > 0;
        self.parts
            .send(Ok(data.bytes))
            .await
            .map_err(|_| CallerGone)
    }

    /// Cuts the stream so that any HTTP client can tell: the chunked body
    /// lacks its end. A client of server-sent events also gets an event.
    async fn cut(self, why: &str) {
        if self.is_event_stream && self.on_border {
            let event = serde_json::json!({
                "error": {"message": why, "type": "server_error", "code": "answer_lost"}
            });
            let bytes = Bytes::from(format!("data: {event}\n\n"));
            let _ = self.parts.send(Ok(bytes)).await;
        }
        let error = std::io::Error::other(why.to_owned());
        let _ = self.parts.send(Err(error)).await;
    }
}

async fn pass_on(mut job: Job, mut attempt: Attempt, mut passing: Passing, first: Vec<Data>) {
    for data in first {
        if passing.send(data).await.is_err() {
            job.close(false);
            return;
        }
    }
    loop {
        match attempt.next().await {
            Step::Head(_) => {}
            Step::Data(data) => {
                job.clock.on_data(&data);
                if passing.send(data).await.is_err() {
                    log::info!("request {}: the caller has gone", job.call.id);
                    job.close(false);
                    return;
                }
            }
            Step::Over(verdict) if verdict.outcome == Outcome::Done => {
                log::info!("request {}: done, {} events", job.call.id, passing.events);
                job.close(false);
                return;
            }
            Step::Over(_) => {
                let Some(resumed) = resume(&mut job, &mut attempt, &passing).await else {
                    log::warn!("request {}: the answer was cut off", job.call.id);
                    passing.cut(CUT_MESSAGE).await;
                    job.close(true);
                    return;
                };
                attempt = resumed;
            }
        }
    }
}

/// Continues a stream behind the last event that the caller has, where the
/// target can. The agent may be of a new incarnation; the target is the same.
async fn resume(job: &mut Job, attempt: &mut Attempt, passing: &Passing) -> Option<Attempt> {
    let can_resume = job.call.entry.resume && passing.is_event_stream && passing.on_border;
    if !can_resume || Instant::now() >= job.order.deadline {
        return None;
    }
    let target = attempt.target();
    let from_event = passing.events;
    if let Some(resume) = &mut job.order.start.resume {
        resume.from_event = from_event;
    }
    if !Attempt::reconnected(&target, RESUME_BOUND).await {
        log::info!("request {}: no connection to resume on", job.call.id);
        return None;
    }
    let clearance = attempt.take_clearance();
    let begun = Attempt::begin(attempt.node(), target, &job.order, clearance).await;
    let mut resumed = match begun {
        Ok(Some(resumed)) => resumed,
        Ok(None) => {
            log::info!("request {}: the connection is gone again", job.call.id);
            return None;
        }
        Err(held) => {
            log::info!("request {}: not resumed, {}", job.call.id, held.reason);
            return None;
        }
    };
    match resumed.next().await {
        Step::Head(head) if head.status == 200 => {
            attempt
                .node()
                .counters
                .resumed
                .fetch_add(1, Ordering::Relaxed);
            log::info!("request {}: resumed at event {from_event}", job.call.id);
            Some(resumed)
        }
        Step::Head(head) => {
            let status = head.status;
            log::info!("request {}: not resumed, status {status}", job.call.id);
            None
        }
        Step::Data(_) => None,
        Step::Over(verdict) => {
            log::info!("request {}: not resumed, {:?}", job.call.id, verdict);
            None
        }
    }
}

pub(super) fn is_event_stream(head: &Head) -> bool {
    head.headers.iter().any(|header| {
        header.name == "content-type" && header.value.starts_with(b"text/event-stream")
    })
}

pub(super) fn answer_head(head: &Head) -> ResponseHead {
    let headers = head
        .headers
        .iter()
        .map(|header| (header.name.clone(), header.value.clone()))
        .collect();
    ResponseHead {
        status: u16::try_from(head.status).unwrap_or(502),
        headers,
    }
}
