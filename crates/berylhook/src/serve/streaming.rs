//! Forwards a streamed response to its caller, and resumes it after a lost connection.

use std::sync::atomic::Ordering;
use std::time::Duration;

use berylhook_caller::{BodyChunk, CallResponse, ResponseBody, ResponseHead};
use berylhook_core::outcome::Outcome;
use berylhook_peer::proto::{Data, Head};
use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::attempt::{Attempt, AttemptOutput};
use super::job::Job;

/// Maximum number of response chunks buffered for a slow caller.
const STREAM_BUFFER_CHUNKS: usize = 64;

/// Error message for a caller whose streamed response ends early.
const ABORT_MESSAGE: &str = "the answer was lost on its way; what came before is genuine";

/// Time allowed for an agent to reconnect and resume a stream. Since a silent connection is dropped
/// after one second, a stream that cannot be resumed is aborted within three seconds.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_900);

/// Spawns a task that forwards the stream, and returns the response that carries it.
pub(super) fn spawn_stream(
    job: Job,
    attempt: Attempt,
    head: &Head,
    first_chunks: Vec<Data>,
) -> CallResponse {
    let (chunks, receiver) = mpsc::channel(STREAM_BUFFER_CHUNKS);
    let head_to_caller = response_head(head);
    let sender = StreamSender {
        chunks,
        events_sent: 0,
        at_event_boundary: true,
        is_event_stream: is_event_stream(head),
    };
    tokio::spawn(forward(job, attempt, sender, first_chunks));
    CallResponse {
        head: head_to_caller,
        body: ResponseBody::Stream(receiver),
    }
}

/// Sends a stream to the caller.
struct StreamSender {
    chunks: mpsc::Sender<BodyChunk>,
    /// Number of complete events sent to the caller.
    events_sent: u64,
    /// Whether the last byte sent ends an event.
    at_event_boundary: bool,
    is_event_stream: bool,
}

/// The caller has disconnected.
struct CallerDisconnected;

impl StreamSender {
    async fn send(&mut self, data: Data) -> Result<(), CallerDisconnected> {
        self.events_sent += u64::from(data.events);
        self.at_event_boundary = data.events > 0;
        self.chunks
            .send(Ok(data.bytes))
            .await
            .map_err(|_| CallerDisconnected)
    }

    /// Waits for `work`, which is dropped as soon as the caller disconnects.
    async fn while_connected<T>(
        &self,
        work: impl Future<Output = T>,
    ) -> Result<T, CallerDisconnected> {
        tokio::select! {
            result = work => Ok(result),
            () = self.chunks.closed() => Err(CallerDisconnected),
        }
    }

    /// Aborts the stream in a way that any HTTP client detects: the chunked body lacks its last
    /// chunk. A client of server-sent events also receives an error event.
    async fn abort(self, message: &str) {
        if self.is_event_stream && self.at_event_boundary {
            let event = serde_json::json!({
                "error": {"message": message, "type": "server_error", "code": "answer_lost"}
            });
            let bytes = Bytes::from(format!("data: {event}\n\n"));
            let _ = self.chunks.send(Ok(bytes)).await;
        }
        let error = std::io::Error::other(message.to_owned());
        let _ = self.chunks.send(Err(error)).await;
    }
}

/// How a stream ended whose caller stayed.
enum StreamEnd {
    Complete,
    Interrupted,
}

async fn forward(
    mut job: Job,
    attempt: Attempt,
    mut sender: StreamSender,
    first_chunks: Vec<Data>,
) {
    match forward_until_end(&mut job, attempt, &mut sender, first_chunks).await {
        Ok(StreamEnd::Complete) => job.finish(false),
        Ok(StreamEnd::Interrupted) => {
            log::warn!("request {}: response stream aborted", job.call.id);
            sender.abort(ABORT_MESSAGE).await;
            job.finish(true);
        }
        Err(CallerDisconnected) => {
            log::info!("request {}: the caller disconnected", job.call.id);
            job.finish(false);
        }
    }
}

async fn forward_until_end(
    job: &mut Job,
    mut attempt: Attempt,
    sender: &mut StreamSender,
    first_chunks: Vec<Data>,
) -> Result<StreamEnd, CallerDisconnected> {
    for data in first_chunks {
        sender.send(data).await?;
    }
    loop {
        match sender.while_connected(attempt.next()).await? {
            AttemptOutput::Head(_) => {}
            AttemptOutput::Data(data) => {
                job.clock.on_data(&data);
                sender.send(data).await?;
            }
            AttemptOutput::Finished(verdict) if verdict.outcome == Outcome::Done => {
                log::info!(
                    "request {}: done, {} events",
                    job.call.id,
                    sender.events_sent
                );
                return Ok(StreamEnd::Complete);
            }
            AttemptOutput::Finished(_) => {
                let resumed = resume(job, &mut attempt, sender);
                let Some(resumed) = sender.while_connected(resumed).await? else {
                    return Ok(StreamEnd::Interrupted);
                };
                attempt = resumed;
            }
        }
    }
}

/// Resumes a stream after the last event that the caller received, if the entry's targets support
/// it. The agent may be of a new incarnation; the target is the same.
async fn resume(job: &mut Job, attempt: &mut Attempt, sender: &StreamSender) -> Option<Attempt> {
    let can_resume = job.call.entry.resume && sender.is_event_stream && sender.at_event_boundary;
    if !can_resume || Instant::now() >= job.command.deadline {
        return None;
    }
    let target = attempt.target();
    let from_event = sender.events_sent;
    if let Some(resume) = &mut job.command.start.resume {
        resume.from_event = from_event;
    }
    if !Attempt::wait_reconnected(&target, RESUME_TIMEOUT).await {
        log::info!(
            "request {}: not resumed, no connection to resume on",
            job.call.id
        );
        return None;
    }
    let clearance = attempt.take_clearance();
    let started = Attempt::begin(attempt.node(), target, &job.command, clearance).await;
    let mut resumed = match started {
        Ok(Some(resumed)) => resumed,
        Ok(None) => {
            log::info!(
                "request {}: not resumed, the connection was lost again",
                job.call.id
            );
            return None;
        }
        Err(rejection) => {
            log::info!("request {}: not resumed, {}", job.call.id, rejection.reason);
            return None;
        }
    };
    match resumed.next().await {
        AttemptOutput::Head(head) if head.status == 200 => {
            attempt
                .node()
                .counters
                .resumed
                .fetch_add(1, Ordering::Relaxed);
            log::info!("request {}: resumed at event {from_event}", job.call.id);
            Some(resumed)
        }
        AttemptOutput::Head(head) => {
            let status = head.status;
            log::info!("request {}: not resumed, status {status}", job.call.id);
            None
        }
        AttemptOutput::Data(_) => None,
        AttemptOutput::Finished(verdict) => {
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

pub(super) fn response_head(head: &Head) -> ResponseHead {
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
