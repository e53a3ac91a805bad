//! Requests whose response is a stream of events.
//!
//! Complete events are forwarded in order as they arrive. If a target fails, and the route allows
//! it, another target resumes the stream after the last event delivered, within the same
//! response. The response head is sent with the first event, so a target that fails before it
//! costs the caller nothing.

mod failover;
mod head;
mod target_stream;

use std::pin::Pin;
use std::time::{Duration, Instant};

use berylhook_quarantine::{QuarantineRejection, RunClearance};
use berylhook_traffic::concurrency::FirstEvent;
use berylhook_traffic::health::HealthSample;
use berylhook_traffic::retry_budget::SendHistory;
use berylhook_traffic::stream::StreamProgress;
use berylhook_traffic::target::{Incarnation, Target};
use bytes::Bytes;
use futures_util::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::{Response, StatusCode};
use tokio::time::{sleep, timeout};

use self::failover::SILENCE_TIMEOUT;
use self::head::{Classification, ResponseKind, classify};
use self::target_stream::{BodyRead, TargetStream};
use crate::call::{CallError, SendResult};
use crate::job::Job;
use crate::queue::SlotGuard;
use crate::responses::{Body, IncompleteResponse, LocalError};

/// Events that are ready at the deadline are still forwarded for this long.
const MAX_LATE_READ: Duration = Duration::from_millis(100);

/// The result of starting the request at one target.
enum StartResult {
    /// The target streams.
    Streaming(Box<TargetStream>),
    /// The target returned an error response.
    ErrorResponse(Box<Response<Body>>),
    /// The target did not run the request.
    NotRun,
    /// The quarantine rejected the request for all targets.
    Quarantined(QuarantineRejection),
    /// The target's admission gate withheld the request; nothing was sent.
    Withheld,
    /// The target may have run the request.
    Unknown,
}

/// The result of reading from a stream.
enum ReadResult {
    /// Complete events, ready to be forwarded.
    Events(Bytes),
    /// The stream ended properly.
    End,
    /// The stream failed, or the deadline passed.
    Interrupted,
    /// The target is silent, and the slot of another run is there.
    Silent,
}

/// The state of one request, over all its targets.
struct StreamSession {
    job: Job,
    progress: StreamProgress,
    tried_targets: Vec<Incarnation>,
    sends: SendHistory,
    send_count: u32,
    may_have_run: bool,
    /// The quarantine's clearance of the request, kept over all its sends.
    clearance: RunClearance,
    gap_started: Instant,
    /// The slot of the next run, with its retry taken from the budget.
    next_slot: Option<SlotGuard>,
}

/// Sends the request to a target and streams the response to the caller.
pub(crate) async fn serve(job: Job) -> Response<Body> {
    if let Some(refusal) = job.refuse_if_quarantined() {
        return refusal;
    }
    let Ok(slot) = job.acquire_slot().await else {
        return job.end_with_error(LocalError::NoSlot);
    };
    let mut session = StreamSession {
        progress: StreamProgress::new(job.head.last_event_id),
        job,
        tried_targets: Vec::new(),
        sends: SendHistory::default(),
        send_count: 0,
        may_have_run: false,
        clearance: RunClearance::default(),
        gap_started: Instant::now(),
        next_slot: None,
    };
    let mut started = Box::pin(session.start_run(slot)).await;
    loop {
        match started {
            StartResult::Streaming(mut run) => match session.read_events(&mut run).await {
                ReadResult::Events(events) => return streaming_response(session, run, events),
                // The response body reads the end of the stream again when it is polled.
                ReadResult::End => return streaming_response(session, run, Bytes::new()),
                ReadResult::Interrupted => session.record_interruption(*run),
                ReadResult::Silent => {
                    if let Some(run) = Box::pin(session.fail_over(run)).await {
                        started = StartResult::Streaming(run);
                        continue;
                    }
                }
            },
            StartResult::ErrorResponse(response) => {
                session
                    .job
                    .finish("failed-by-target", Some(response.status().as_u16()));
                return *response;
            }
            StartResult::NotRun | StartResult::Withheld => {}
            StartResult::Quarantined(_) if session.may_have_run => return session.give_up(),
            StartResult::Quarantined(rejection) => {
                return session.job.reject_quarantined(rejection);
            }
            StartResult::Unknown => session.may_have_run = true,
        }
        started = match Box::pin(session.start_another_run()).await {
            Some(started) => started,
            None => return session.give_up(),
        };
    }
}

impl StreamSession {
    async fn start_run(&mut self, mut slot: SlotGuard) -> StartResult {
        let target = slot.target().clone();
        let resume_after = self.progress.resume_after();
        let sent_at = Instant::now();
        let mut clearance = std::mem::take(&mut self.clearance);
        let memory = &self.job.shared.memory;
        let exchange = async {
            let response = self.job.send(&mut slot, resume_after, &mut clearance);
            Ok(classify(response.await?, memory).await)
        };
        let exchange = timeout(self.job.remaining(), exchange);
        let mut next_slot = None;
        let result = tokio::select! {
            result = exchange => result,
            slot = self.wait_for_failover(&target, self.send_count + 1) => {
                next_slot = Some(slot);
                self.job.mark_given_up();
                Ok(Err(CallError::Unknown))
            }
        };
        self.next_slot = next_slot;
        self.clearance = clearance;
        let result = match result {
            Err(_) if !self.job.may_be_running() => Ok(Err(CallError::Quarantined(
                QuarantineRejection::OUT_OF_TIME,
            ))),
            result => result,
        };
        let classification = match result {
            Ok(Err(CallError::Quarantined(rejection))) => {
                self.job.log_send(&target, SendResult::Quarantined);
                slot.close(None);
                return StartResult::Quarantined(rejection);
            }
            Ok(Err(CallError::Withheld(_))) => {
                self.job.log_send(&target, SendResult::Withheld);
                SendResult::Withheld.record_in(&mut self.sends);
                self.tried_targets.push(target.incarnation);
                slot.close(None);
                return StartResult::Withheld;
            }
            Err(_) => Classification::invalid(SendResult::NoResponse),
            Ok(Err(error)) => Classification::invalid(error.into()),
            Ok(Ok(classification)) => classification,
        };
        self.record_send(&target, classification.result);
        match classification.kind {
            ResponseKind::Stream(stream) => {
                let stream = TargetStream::new(slot, stream, sent_at);
                StartResult::Streaming(Box::new(stream))
            }
            ResponseKind::Error(response) => {
                slot.close(None);
                StartResult::ErrorResponse(response)
            }
            ResponseKind::Invalid => {
                slot.close(self.health_sample(classification.health_sample()));
                if classification.result.may_have_run() {
                    StartResult::Unknown
                } else {
                    StartResult::NotRun
                }
            }
        }
    }

    /// Logs a send, excludes the target from further attempts where it failed, and records
    /// whether its group accepts requests.
    fn record_send(&mut self, target: &Target, result: SendResult) {
        // A group that is forming again refuses all requests. That does not count against the
        // number of targets that may run the request.
        self.send_count += u32::from(result.may_have_run());
        result.record_in(&mut self.sends);
        self.job.log_send(target, result);
        match result {
            SendResult::NotRun => self.job.queue.on_refused(&target.incarnation),
            // Only this target is overloaded, and its admission gate withholds further requests
            // from it.
            SendResult::BackoffRequested => {}
            SendResult::StreamStarted => self.job.queue.on_accepted(&target.incarnation),
            _ => self.tried_targets.push(target.incarnation.clone()),
        }
    }

    /// Starts another run, if that is allowed and possible before the caller gives up.
    async fn start_another_run(&mut self) -> Option<StartResult> {
        let slot = match self.next_slot.take() {
            Some(slot) => slot,
            None => self.acquire_next_slot().await?,
        };
        Some(self.start_run(slot).await)
    }

    /// Reads complete events from the stream.
    async fn read_events(&mut self, run: &mut TargetStream) -> ReadResult {
        let target = run.slot.target().clone();
        loop {
            // A timer would not be polled long enough beside a body that always has data.
            if Instant::now() > self.job.deadline + MAX_LATE_READ {
                return ReadResult::Interrupted;
            }
            let read = tokio::select! {
                read = run.read() => read,
                () = sleep(self.job.remaining()) => return ReadResult::Interrupted,
                slot = self.wait_for_failover(&target, self.send_count) => {
                    self.next_slot = Some(slot);
                    return ReadResult::Silent;
                }
            };
            let events = match read {
                BodyRead::Events(events) => events,
                BodyRead::Partial => continue,
                BodyRead::End => return self.end_of_run(run),
                BodyRead::Failed => return ReadResult::Interrupted,
            };
            self.record_event(run);
            let accepted = self.progress.accept(&mut run.progress, &events);
            if accepted.has_gap {
                run.invalidate();
            }
            if !accepted.events.is_empty() {
                self.gap_started = Instant::now();
                return ReadResult::Events(accepted.events);
            }
        }
    }

    /// The event that is still held, or else the end, which is read again after it.
    fn end_of_run(&mut self, run: &mut TargetStream) -> ReadResult {
        match self.progress.finish(&mut run.progress) {
            Some(event) => ReadResult::Events(event),
            None => ReadResult::End,
        }
    }

    fn record_event(&self, run: &mut TargetStream) {
        let now = Instant::now();
        if run.survival.on_events(now) {
            self.job.report_parts_survived();
        }
        self.job
            .queue
            .on_stream_event(&run.slot.target().incarnation);
        match run.last_event_at.replace(now) {
            Some(last) => self.record_gap(run.slot.target(), now.duration_since(last)),
            None => self.job.queue.on_first_event(FirstEvent {
                load: run.load,
                latency_ms: millis(now.duration_since(run.sent_at)),
            }),
        }
    }

    fn record_gap(&self, target: &Target, gap: Duration) {
        if gap >= SILENCE_TIMEOUT {
            let queue = &self.job.queue;
            queue.record_health(&target.incarnation, HealthSample::Success);
        }
        let gap_ms = millis(gap);
        self.job.observe_gap(gap_ms);
        let objective_ms = self.job.route.pause_objective_ms;
        #[allow(clippy::cast_precision_loss)] // a few seconds at most
        let objective_ms = objective_ms.map_or(f64::INFINITY, |ms| ms as f64);
        self.job.queue.on_event_gap(gap_ms, objective_ms);
    }

    fn record_interruption(&mut self, run: TargetStream) {
        self.record_end_of_run(run.slot.target(), SendResult::StreamInterrupted);
        let sample = self.health_sample(Some(HealthSample::Failure));
        run.slot.close(sample);
    }

    /// Records that a run that has streamed ends, or is not the one that goes on.
    fn record_end_of_run(&mut self, target: &Target, result: SendResult) {
        self.may_have_run = true;
        self.tried_targets.push(target.incarnation.clone());
        self.job.log_send(target, result);
    }

    /// What the end of a run shows of its target's health, if that is `sample` for a run that the
    /// target has ended. The silence of a target was recorded when it began.
    fn health_sample(&self, sample: Option<HealthSample>) -> Option<HealthSample> {
        sample.filter(|_| !self.job.is_given_up())
    }

    fn give_up(self) -> Response<Body> {
        let reason = match self.may_have_run {
            true if self.job.remaining().is_zero() => LocalError::DeadlineExceeded,
            true => LocalError::ResponseLost,
            false => LocalError::NotRun,
        };
        self.job.end_with_error(reason)
    }

    /// Resumes an interrupted stream at another target; `None` if that is not possible.
    async fn resume(&mut self) -> Option<Box<TargetStream>> {
        loop {
            match self.start_another_run().await? {
                StartResult::Streaming(run) => return Some(run),
                StartResult::Quarantined(_) => return None,
                StartResult::ErrorResponse(_)
                | StartResult::Unknown
                | StartResult::NotRun
                | StartResult::Withheld => {}
            }
        }
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// The state of a streaming response body.
enum BodyState {
    /// These events were read and not forwarded yet.
    Ready(Box<StreamSession>, Box<TargetStream>, Bytes),
    /// The next events have to be read.
    Reading(Box<StreamSession>, Box<TargetStream>),
    /// The response is complete or has failed.
    Finished,
}

fn streaming_response(
    session: StreamSession,
    mut run: Box<TargetStream>,
    first: Bytes,
) -> Response<Body> {
    session.job.observe_first_response();
    let headers = std::mem::take(&mut run.headers);
    let status = run.status;
    let first = BodyState::Ready(Box::new(session), run, first);
    let frames = unfold(first, |state| Box::pin(next_frame(state)) as NextFrame);
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

type NextFrame = Pin<
    Box<dyn Future<Output = Option<(Result<Frame<Bytes>, IncompleteResponse>, BodyState)>> + Send>,
>;

/// Reads the next events. The future is made anew for each read, so the steps that few reads take
/// have futures of their own.
async fn next_frame(
    state: BodyState,
) -> Option<(Result<Frame<Bytes>, IncompleteResponse>, BodyState)> {
    let (mut session, mut run) = match state {
        BodyState::Ready(session, run, events) if !events.is_empty() => {
            return Some((Ok(Frame::data(events)), BodyState::Reading(session, run)));
        }
        BodyState::Ready(session, run, _) | BodyState::Reading(session, run) => (session, run),
        BodyState::Finished => return None,
    };
    loop {
        let next = match session.read_events(&mut run).await {
            ReadResult::Events(events) => {
                return Some((Ok(Frame::data(events)), BodyState::Reading(session, run)));
            }
            ReadResult::End => {
                run.slot.close(Some(HealthSample::Success));
                session.job.report_target_survived();
                session.job.report_parts_survived();
                session
                    .job
                    .finish("streamed", Some(StatusCode::OK.as_u16()));
                return None;
            }
            ReadResult::Interrupted => {
                session.record_interruption(*run);
                Box::pin(session.resume()).await
            }
            ReadResult::Silent => match Box::pin(session.fail_over(run)).await {
                Some(run) => Some(run),
                None => Box::pin(session.resume()).await,
            },
        };
        let Some(next) = next else {
            session.job.finish("cut", None);
            return Some((Err(IncompleteResponse), BodyState::Finished));
        };
        run = next;
    }
}
