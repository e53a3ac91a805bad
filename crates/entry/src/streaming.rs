//! Requests whose answer is a stream of events.
//!
//! Events are passed on whole and in order as they come. If a target breaks
//! off, and the route allows it, another one goes on behind the last event
//! delivered, within the same answer. The answer's head is sent with the first
//! event: until then a target that fails costs the caller nothing.

mod events;
mod head;

use std::collections::VecDeque;
use std::pin::Pin;
use std::time::{Duration, Instant};

use berylhook_quarantine::{QuarantineRejection, RunClearance};
use berylhook_target::EventSplitter;
use berylhook_traffic::concurrency::FirstEvent;
use berylhook_traffic::dispatch::Load;
use berylhook_traffic::health::HealthSample;
use berylhook_traffic::stream::{Delivery, StreamProgress, event_id};
use berylhook_traffic::target::{Incarnation, Target};
use bytes::Bytes;
use futures_util::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{HeaderMap, Response, StatusCode};
use tokio::time::{sleep, timeout};

use self::events::split_events;
use self::head::{Head, Judged, judge};
use crate::call::{CallError, Link, SendResult};
use crate::job::Job;
use crate::queue::Hold;
use crate::responses::{Body, BrokenAnswer, Own};

/// Callers give a stream up after two seconds without an event. Longer tries
/// to go on with it serve nobody.
const LONGEST_GAP: Duration = Duration::from_millis(1_900);

/// A stream without events for this long, from a target that is silent as a
/// whole, goes on elsewhere. It leaves the next target half of the time that
/// callers wait.
const SILENT_AFTER: Duration = Duration::from_millis(900);

/// A run of the request at one target that has answered.
struct Run {
    hold: Hold,
    body: Incoming,
    splitter: EventSplitter,
    sent: Instant,
    /// What the target told of its load with the answer's head.
    load: Option<Load>,
    last_event: Option<Instant>,
    headers: HeaderMap,
    status: StatusCode,
    /// Ends the call at the target when dropped.
    _link: Link,
}

/// What one target made of the request.
enum Started {
    /// It streams.
    Streams(Box<Run>),
    /// It failed with an answer of its own.
    Failed(Box<Response<Body>>),
    /// It did not run it.
    NotRun,
    /// The request may not go to any target.
    HeldBack(QuarantineRejection),
    /// The target takes none now, and was not sent it.
    Withheld,
    /// It may have run it.
    Unknown,
}

/// What comes next of a run.
enum Next {
    /// Whole events, ready to be passed on.
    Events(Bytes),
    /// The stream ended as it should.
    End,
    /// The target broke off.
    Broken,
}

/// A request that is being served.
struct Session {
    job: Job,
    progress: StreamProgress,
    tried: Vec<Incarnation>,
    sends: u32,
    may_have_run: bool,
    /// What it needs to be sent while targets end under it.
    clearance: RunClearance,
    gap_began: Instant,
}

/// Serves the request.
pub(crate) async fn run(job: Job) -> Response<Body> {
    if let Some(refusal) = job.refuse_if_held() {
        return refusal;
    }
    let Ok(hold) = job.enter().await else {
        return job.own(Own::NoPlace);
    };
    let mut session = Session {
        progress: StreamProgress::new(job.head.last_event_id),
        job,
        tried: Vec::new(),
        sends: 0,
        may_have_run: false,
        clearance: RunClearance::default(),
        gap_began: Instant::now(),
    };
    let mut started = session.start(hold).await;
    loop {
        let mut next_is_second_send = true;
        match started {
            Started::Streams(mut run) => match session.next(&mut run).await {
                Next::Events(events) => return streaming_response(session, run, events),
                // The body finds the end once more when it is asked for events.
                Next::End => return streaming_response(session, run, Bytes::new()),
                Next::Broken => session.broke_off(*run),
            },
            Started::Failed(response) => {
                session
                    .job
                    .finish("failed-by-target", Some(response.status().as_u16()));
                return *response;
            }
            Started::NotRun => {}
            Started::Withheld => next_is_second_send = false,
            Started::HeldBack(_) if session.may_have_run => return session.give_up(),
            Started::HeldBack(held) => return session.job.hold_back(held),
            Started::Unknown => session.may_have_run = true,
        }
        started = match session.start_again(next_is_second_send).await {
            Some(started) => started,
            None => return session.give_up(),
        };
    }
}

impl Session {
    async fn start(&mut self, mut hold: Hold) -> Started {
        let target = hold.target().clone();
        let resume_after = self.progress.resume_after();
        let sent = Instant::now();
        let mut clearance = std::mem::take(&mut self.clearance);
        let send = self.job.send(&mut hold, resume_after, &mut clearance);
        let exchange = timeout(self.job.left(), send);
        // A target that may be asked once only is waited for.
        let may_leave = self.job.route.retry_policy.allows_second_run();
        let answered = tokio::select! {
            answered = exchange => answered,
            () = self.silence(&target.incarnation), if may_leave => Ok(Err(CallError::Unknown)),
        };
        self.clearance = clearance;
        let answered = match answered {
            Err(_) if !self.job.is_at_target() => {
                Ok(Err(CallError::HeldBack(QuarantineRejection::OUT_OF_TIME)))
            }
            answered => answered,
        };
        let judged = match answered {
            Ok(Err(CallError::HeldBack(held))) => {
                self.job.log_send(&target, SendResult::HeldBack);
                hold.close(None);
                return Started::HeldBack(held);
            }
            Ok(Err(CallError::Withheld(_))) => {
                self.job.log_send(&target, SendResult::Withheld);
                self.tried.push(target.incarnation);
                hold.close(None);
                return Started::Withheld;
            }
            Err(_) => Judged::failed(SendResult::Silent),
            Ok(Err(error)) => Judged::failed(error.into()),
            Ok(Ok(answer)) => judge(answer).await,
        };
        self.note(&target, judged.result);
        match judged.head {
            Head::Streams(stream) => Started::Streams(Box::new(Run {
                hold,
                body: stream.body,
                splitter: EventSplitter::default(),
                sent,
                load: stream.load,
                last_event: None,
                headers: stream.headers,
                status: stream.status,
                _link: stream.link,
            })),
            Head::Failed(response) => {
                hold.close(None);
                Started::Failed(response)
            }
            Head::Nothing => {
                hold.close(judged.evidence());
                if judged.result.may_have_run() {
                    Started::Unknown
                } else {
                    Started::NotRun
                }
            }
        }
    }

    /// Logs a send, remembers where not to go again, and whether the service
    /// runs at all.
    fn note(&mut self, target: &Target, result: SendResult) {
        // A group that forms anew refuses everything, which is no use of one of
        // the few targets that the request may run on.
        self.sends += u32::from(result.may_have_run());
        self.job.log_send(target, result);
        match result {
            SendResult::NotRun => self.job.queue.on_refused(&target.incarnation),
            // The target alone is in need, and its gate keeps requests from it.
            SendResult::AsksForRest => {}
            SendResult::Streams => self.job.queue.on_accepted(&target.incarnation),
            _ => self.tried.push(target.incarnation.clone()),
        }
    }

    /// Starts another run, if that may and can be done while the caller waits. One that
    /// follows a target which was sent nothing is no second send.
    async fn start_again(&mut self, is_second_send: bool) -> Option<Started> {
        let is_allowed = self.job.route.retry_policy.allows_second_run() || !self.may_have_run;
        let waited = self.gap_began.elapsed();
        let patience = LONGEST_GAP.saturating_sub(waited).min(self.job.left());
        let has_sends = self.sends < self.job.route.max_targets;
        let may_go_on = is_allowed && has_sends && !patience.is_zero();
        if !may_go_on || (is_second_send && !self.job.queue.affords_repeat()) {
            return None;
        }
        let hold = match self.job.queue.enter_again(&self.tried) {
            Some(hold) => hold,
            None => self.job.enter_to_resume(patience).await.ok()?,
        };
        Some(self.start(hold).await)
    }

    /// Waits for whole events of the run.
    async fn next(&mut self, run: &mut Run) -> Next {
        loop {
            let frame = tokio::select! {
                frame = run.body.frame() => frame,
                () = sleep(self.job.left()) => return Next::Broken,
                () = self.silence(&run.hold.target().incarnation) => return Next::Broken,
            };
            let data = match frame {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_trailers) => continue,
                },
                Some(Err(_)) => return Next::Broken,
                None => return Self::end(run),
            };
            let Some(events) = run.splitter.push(&data) else {
                continue;
            };
            self.note_event(run);
            match self.pass(&events.bytes) {
                Some(passed) if passed.is_empty() => {}
                Some(passed) => {
                    self.gap_began = Instant::now();
                    return Next::Events(passed);
                }
                None => return Next::Broken,
            }
        }
    }

    /// Ends once this stream and its whole target are silent while others of the
    /// service are not.
    async fn silence(&self, target: &Incarnation) {
        loop {
            let silent_for = self.gap_began.elapsed();
            match SILENT_AFTER.checked_sub(silent_for) {
                Some(left) => sleep(left).await,
                None if self.job.queue.is_silent(target) => return,
                None => sleep(SILENT_AFTER / 4).await,
            }
        }
    }

    /// A clean end in the middle of an event is no end.
    fn end(run: &mut Run) -> Next {
        let splitter = std::mem::take(&mut run.splitter);
        if splitter.rest().is_empty() {
            Next::End
        } else {
            Next::Broken
        }
    }

    fn note_event(&self, run: &mut Run) {
        let now = Instant::now();
        self.job.queue.on_progress(&run.hold.target().incarnation);
        match run.last_event.replace(now) {
            Some(last) => self.note_gap(millis(now.duration_since(last))),
            None => self.job.queue.on_first_event(FirstEvent {
                load: run.load,
                latency_ms: millis(now.duration_since(run.sent)),
            }),
        }
    }

    fn note_gap(&self, gap_ms: f64) {
        self.job.observe_pause(gap_ms);
        let goal_ms = self.job.route.pause_objective_ms;
        #[allow(clippy::cast_precision_loss)] // milliseconds of a pause
        let goal_ms = goal_ms.map_or(f64::INFINITY, |ms| ms as f64);
        self.job.queue.on_gap(gap_ms, goal_ms);
    }

    /// The events not delivered before; `None` if one is missing.
    fn pass(&mut self, events: &Bytes) -> Option<Bytes> {
        let mut passed = VecDeque::new();
        for event in split_events(events) {
            match self.progress.classify(event_id(&event)) {
                Delivery::Forward => passed.push_back(event),
                Delivery::Duplicate => {}
                Delivery::Gap => return None,
            }
        }
        match passed.len() {
            0 => Some(Bytes::new()),
            1 => passed.pop_front(),
            _ => Some(passed.into_iter().flatten().collect()),
        }
    }

    fn broke_off(&mut self, run: Run) {
        self.may_have_run = true;
        self.tried.push(run.hold.target().incarnation.clone());
        self.job.log_send(run.hold.target(), SendResult::BrokeOff);
        run.hold.close(Some(HealthSample::Failure));
    }

    fn give_up(self) -> Response<Body> {
        let why = match self.may_have_run {
            true if self.job.left().is_zero() => Own::TooLate,
            true => Own::AnswerLost,
            false => Own::NotRun,
        };
        self.job.own(why)
    }

    /// Goes on with a stream that broke off; `None` if that cannot be done.
    async fn resume(&mut self) -> Option<Box<Run>> {
        let mut next_is_second_send = true;
        loop {
            let started = self.start_again(next_is_second_send).await?;
            next_is_second_send = !matches!(started, Started::Withheld);
            match started {
                Started::Streams(run) => return Some(run),
                Started::HeldBack(_) => return None,
                Started::Failed(_) | Started::Unknown | Started::NotRun | Started::Withheld => {}
            }
        }
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Where a streaming answer stands.
enum Position {
    /// Events are at hand that were not passed on yet.
    Ready(Box<Session>, Box<Run>, Bytes),
    /// The next events have to be waited for.
    Wait(Box<Session>, Box<Run>),
    /// Nothing follows.
    Over,
}

fn streaming_response(session: Session, mut run: Box<Run>, first: Bytes) -> Response<Body> {
    session.job.observe_answer();
    let headers = std::mem::take(&mut run.headers);
    let status = run.status;
    let first = Position::Ready(Box::new(session), run, first);
    let frames = unfold(first, |position| Box::pin(step(position)) as StepFuture);
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

type StepFuture =
    Pin<Box<dyn Future<Output = Option<(Result<Frame<Bytes>, BrokenAnswer>, Position)>> + Send>>;

async fn step(position: Position) -> Option<(Result<Frame<Bytes>, BrokenAnswer>, Position)> {
    let (mut session, mut run) = match position {
        Position::Ready(session, run, events) if !events.is_empty() => {
            return Some((Ok(Frame::data(events)), Position::Wait(session, run)));
        }
        Position::Ready(session, run, _) | Position::Wait(session, run) => (session, run),
        Position::Over => return None,
    };
    loop {
        match session.next(&mut run).await {
            Next::Events(events) => {
                return Some((Ok(Frame::data(events)), Position::Wait(session, run)));
            }
            Next::End => {
                run.hold.close(Some(HealthSample::Success));
                session.job.note_outlived();
                session
                    .job
                    .finish("streamed", Some(StatusCode::OK.as_u16()));
                return None;
            }
            Next::Broken => {
                session.broke_off(*run);
                run = match session.resume().await {
                    Some(run) => run,
                    None => {
                        session.job.finish("cut", None);
                        return Some((Err(BrokenAnswer), Position::Over));
                    }
                };
            }
        }
    }
}
