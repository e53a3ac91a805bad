//! From a checked call to its answer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use berylhook_caller::{
    AnswerHead, BodyChunk, Call, CallFuture, Gateway, Reason, Refused, Reply, ReplyBody,
};
use berylhook_core::exchange::Verdict;
use berylhook_core::ids::RequestId;
use berylhook_core::outcome::{Outcome, Refusal};
use berylhook_core::retry::{self, Next};
use berylhook_core::route::{TargetId, prefix_blocks};
use berylhook_core::time::MonoMs;
use berylhook_operator::{Catalogue, Class, Kind as EntryKind, Repeat};
use berylhook_peer::proto::{Data, Head, Header, Resume, Start};
use bytes::{Bytes, BytesMut};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::attempt::{Attempt, Order, Step};
use super::burn::RequestTimes;
use super::fleet::{Fleet, Service, Target};
use super::keyed;
use super::limits::Permit;
use super::node::{InFlight, Node, lock};

/// Bodies up to this size are held back until they are whole, so that a
/// failure before their end can still be retried or told cleanly.
const MAX_WHOLE_BYTES: usize = 1 << 20;

/// Parts of a streamed answer that wait for a slow caller.
const STREAM_PARTS: usize = 64;

/// Told to a caller whose answer ends early.
const CUT_MESSAGE: &str = "the answer was lost on its way; what came before is genuine";

/// How long to wait for an agent to come back and resume a stream. With the second that a silent connection takes to be given up, a stream
/// that cannot be resumed is cut within three.
const RESUME_BOUND: Duration = Duration::from_millis(1_900);

/// Statuses from here on are the target's failures.
const SERVER_ERROR: u16 = 500;

/// The header that tells a target how urgent a request is.
const PRIORITY_HEADER: &str = "x-priority";

/// Longest wait told to a caller that would be too late.
const MAX_WAIT_MS: f64 = 60_000.0;

/// When to come back where nothing better is known.
pub(super) const RETRY_AFTER_MS: u64 = 1_000;

/// The entry's [`Gateway`].
pub(crate) struct Dispatcher {
    pub(crate) node: Arc<Node>,
    pub(crate) fleet: Arc<Fleet>,
}

/// A request being served.
pub(super) struct Job {
    pub(super) call: Call,
    pub(super) service: Arc<Service>,
    pub(super) order: Order,
    pub(super) attempts: u32,
    pub(super) failed: Vec<TargetId>,
    tried_all: bool,
    /// An attempt was lost, so "not run" can no longer be told.
    pub(super) may_have_run: bool,
    pub(super) clock: RequestClock,
    node: Arc<Node>,
    _permit: Permit,
    _in_flight: InFlight,
}

/// When the parts of an answer came.
pub(super) struct RequestClock {
    began: Instant,
    times: RequestTimes,
    /// Events of a stream, or tokens that a whole answer says it used.
    tokens: u64,
}

impl RequestClock {
    fn on_data(&mut self, data: &Data) {
        self.tokens += u64::from(data.events);
        let elapsed_us = self.began.elapsed().as_micros();
        self.times
            .on_tokens(u64::try_from(elapsed_us).unwrap_or(u64::MAX));
    }
}

/// How one attempt ended before any of it reached the caller.
pub(super) enum Early {
    /// The whole answer.
    Whole(Reply),
    /// An answer that is passed on as it comes.
    Stream { head: Head, first: Vec<Data> },
    /// No answer.
    Over(Verdict),
}

impl Gateway for Dispatcher {
    fn catalogue(&self) -> Arc<Catalogue> {
        Arc::clone(&self.node.snapshot.load().catalogue)
    }

    fn is_ready(&self) -> bool {
        self.node.has_catalogue.load(Ordering::SeqCst)
    }

    fn wants_traffic(&self) -> bool {
        self.node.is_ready()
    }

    fn issue_id(&self) -> RequestId {
        self.node.issue_id()
    }

    fn call(&self, call: Call) -> CallFuture<'_> {
        Box::pin(self.run(call))
    }
}

impl Dispatcher {
    pub(crate) fn new(node: Arc<Node>, fleet: Arc<Fleet>) -> Self {
        Self { node, fleet }
    }

    async fn run(&self, call: Call) -> Result<Reply, Refused> {
        let id = call.id;
        let account = Arc::clone(&call.account.name);
        let entry = Arc::clone(&call.entry.name);
        let began = Instant::now();
        let result = self.serve(call).await;
        let outcome = match &result {
            Ok(reply) => match reply.body {
                ReplyBody::Whole(_) => "done",
                ReplyBody::Stream(_) => "begun",
            },
            Err(refused) => refused.outcome.as_str(),
        };
        log::info!(
            "request {id} account {account} entry {entry}: {outcome} after {} ms",
            began.elapsed().as_millis()
        );
        result
    }

    async fn serve(&self, call: Call) -> Result<Reply, Refused> {
        let service = self.fleet.service(&call.entry.name);
        let permit = self.node.limiter.admit(&call, self.node.now_ms())?;
        lock(&service.budget).on_attempt();
        let job = Job::new(&self.node, call, service, permit);
        match job.call.entry.repeat {
            Repeat::Safe => self.serve_repeatable(job).await,
            Repeat::Never => keyed::serve(self, job).await,
        }
    }

    async fn serve_repeatable(&self, mut job: Job) -> Result<Reply, Refused> {
        loop {
            let now_ms = self.node.now_ms();
            let picked = job.service.pick(&job.order.blocks, &job.failed, now_ms);
            let Some(target) = picked else {
                if job.may_try_all_again() {
                    continue;
                }
                let refused = no_target(&job);
                return Err(job.refuse(refused));
            };
            if let Some(refused) = too_late(&job, &target, now_ms) {
                return Err(job.refuse(refused));
            }
            let Some(mut attempt) = self.attempt(&mut job, &target) else {
                job.failed.push(target.id);
                continue;
            };
            let verdict = match collect(&mut attempt, &mut job.clock).await {
                Early::Whole(reply) => return Ok(job.answer(reply)),
                Early::Stream { head, first } => return Ok(stream(job, attempt, &head, first)),
                Early::Over(verdict) => verdict,
            };
            job.failed.push(target.id);
            job.may_have_run |= verdict.outcome == Outcome::Unknown;
            if next_step(&job, verdict) == Next::Tell {
                let refused = tell(&job, verdict, attempt.retry_after_ms);
                return Err(job.refuse(refused));
            }
        }
    }

    /// Begins an attempt; `None` if nothing was sent.
    pub(super) fn attempt(&self, job: &mut Job, target: &Arc<Target>) -> Option<Attempt> {
        let attempt = Attempt::begin(&self.node, Arc::clone(target), &job.order)?;
        job.attempts += 1;
        if job.attempts > 1 {
            self.node.counters.retries.fetch_add(1, Ordering::Relaxed);
        }
        log::debug!(
            "request {} attempt {} at agent {}",
            job.call.id,
            attempt.id(),
            target.link.agent
        );
        Some(attempt)
    }
}

impl Job {
    fn new(node: &Arc<Node>, call: Call, service: Arc<Service>, permit: Permit) -> Self {
        let blocks = match call.entry.kind {
            EntryKind::Model => prefix_blocks(&call.body),
            EntryKind::Plain => Vec::new(),
        };
        let mut headers: Vec<_> = call
            .headers
            .iter()
            .map(|(name, value)| Header {
                name: name.clone(),
                value: value.clone(),
            })
            .collect();
        headers.push(Header {
            name: PRIORITY_HEADER.to_owned(),
            value: Bytes::from_static(priority(call.entry.class).as_bytes()),
        });
        let resume = call.entry.resume.then(|| Resume {
            stream_id: call.id.to_string(),
            from_event: 0,
        });
        let start = Start {
            entry: call.entry.name.to_string(),
            method: call.method.clone(),
            path: call.path.clone(),
            headers,
            body: call.body.clone(),
            resume,
            ..Start::default()
        };
        let order = Order {
            start,
            start_within_ms: call.entry.start_within_ms.min(call.deadline_ms),
            deadline: Instant::now() + Duration::from_millis(call.deadline_ms),
            is_stream: call.is_stream,
            blocks,
        };
        Self {
            call,
            service,
            order,
            attempts: 0,
            failed: Vec::new(),
            tried_all: false,
            may_have_run: false,
            clock: RequestClock {
                began: Instant::now(),
                times: RequestTimes::default(),
                tokens: 0,
            },
            node: Arc::clone(node),
            _permit: permit,
            _in_flight: node.begin(),
        }
    }

    /// Gives targets that failed this request a second chance, once: with one
    /// target, a lost connection must not be the end of a request that may be
    /// repeated.
    fn may_try_all_again(&mut self) -> bool {
        let is_first_time = !self.tried_all;
        let has_failed = !self.failed.is_empty();
        self.tried_all = true;
        self.failed.clear();
        is_first_time && has_failed
    }

    /// Ends the job with a whole answer.
    pub(super) fn answer(mut self, reply: Reply) -> Reply {
        // An answer that comes all at once has no first token of its own.
        self.clock.times = RequestTimes::default();
        if let (EntryKind::Model, ReplyBody::Whole(body)) = (self.call.entry.kind, &reply.body) {
            self.clock.tokens += completion_tokens(body);
        }
        let failed = reply.head.status >= SERVER_ERROR;
        self.close(failed);
        reply
    }

    /// Ends the job with a refusal.
    pub(super) fn refuse(self, refused: Refused) -> Refused {
        let callers_fault = matches!(
            refused.reason,
            Reason::KeyReused | Reason::BadHeader | Reason::OverLimit
        );
        if !callers_fault {
            self.close(true);
        }
        refused
    }

    /// Ends the job and counts it towards the entry's objectives.
    fn close(self, failed: bool) {
        let entry = &self.call.entry;
        let now_ms = self.node.now_ms();
        self.node
            .limiter
            .charge(&self.call, self.clock.tokens, now_ms);
        self.node.burn.record(
            &entry.name,
            &entry.objectives,
            failed,
            &self.clock.times,
            now_ms,
        );
    }
}

/// The tokens that a whole answer in the `OpenAI` shape says it generated.
fn completion_tokens(body: &Bytes) -> u64 {
    #[derive(serde::Deserialize)]
    struct Usage {
        completion_tokens: u64,
    }
    #[derive(serde::Deserialize)]
    struct WithUsage {
        usage: Usage,
    }
    serde_json::from_slice(body).map_or(0, |answer: WithUsage| answer.usage.completion_tokens)
}

/// Receives an answer until it is whole, turns out to be a stream, or fails.
pub(super) async fn collect(attempt: &mut Attempt, clock: &mut RequestClock) -> Early {
    let mut head = None;
    let mut body = BytesMut::new();
    loop {
        match (attempt.next().await, head.take()) {
            (Step::Over(verdict), Some(head)) if verdict.outcome == Outcome::Done => {
                return Early::Whole(Reply {
                    head: answer_head(&head),
                    body: ReplyBody::Whole(body.freeze()),
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

/// Passes a stream on in the background.
pub(super) fn stream(job: Job, attempt: Attempt, head: &Head, first: Vec<Data>) -> Reply {
    let (parts, receiver) = mpsc::channel(STREAM_PARTS);
    let reply_head = answer_head(head);
    let passing = Passing {
        parts,
        events: 0,
        on_border: true,
        is_event_stream: is_event_stream(head),
    };
    tokio::spawn(pass_on(job, attempt, passing, first));
    Reply {
        head: reply_head,
        body: ReplyBody::Stream(receiver),
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
                let Some(resumed) = resume(&mut job, &attempt, &passing).await else {
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
async fn resume(job: &mut Job, attempt: &Attempt, passing: &Passing) -> Option<Attempt> {
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
        return None;
    }
    let mut resumed = Attempt::begin(attempt.node(), target, &job.order)?;
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
        _ => None,
    }
}

fn is_event_stream(head: &Head) -> bool {
    head.headers.iter().any(|header| {
        header.name == "content-type" && header.value.starts_with(b"text/event-stream")
    })
}

fn answer_head(head: &Head) -> AnswerHead {
    let headers = head
        .headers
        .iter()
        .map(|header| (header.name.clone(), header.value.clone()))
        .collect();
    AnswerHead {
        status: u16::try_from(head.status).unwrap_or(502),
        headers,
    }
}

/// Tells the target how urgent a request is; engines honour priorities.
fn priority(class: Class) -> &'static str {
    match class {
        Class::Critical => "critical",
        Class::Interactive => "interactive",
        Class::Batch => "batch",
    }
}

/// Refuses a request that could not begin before its deadline even at the
/// best target sampled. Sending it would only make others late as well.
fn too_late(job: &Job, target: &Target, now_ms: MonoMs) -> Option<Refused> {
    let left = job.order.deadline.saturating_duration_since(Instant::now());
    let estimate_ms = job
        .service
        .estimate_ms(target.id, &job.order.blocks, now_ms);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // clamped first
    let over_ms = (estimate_ms - left.as_secs_f64() * 1_000.0).clamp(0.0, MAX_WAIT_MS) as u64;
    if over_ms == 0 || job.may_have_run {
        return None;
    }
    let message = format!(
        "the targets of {} are too busy to begin before the deadline; come back later, or allow \
         more time",
        job.call.entry.name
    );
    Some(Refused::not_run(Reason::Deadline, message).retry_after_ms(over_ms))
}

pub(super) fn no_target(job: &Job) -> Refused {
    if job.may_have_run {
        return answer_lost();
    }
    let message = format!(
        "no target of {} can take the request at present; come back later",
        job.call.entry.name
    );
    Refused::not_run(Reason::NoTarget, message).retry_after_ms(RETRY_AFTER_MS)
}

fn next_step(job: &Job, verdict: Verdict) -> Next {
    let verdict = Verdict {
        // Nothing of a collected answer has reached the caller.
        begun: false,
        ..verdict
    };
    if Instant::now() >= job.order.deadline {
        return Next::Tell;
    }
    let mut budget = lock(&job.service.budget);
    retry::after(verdict, true, job.attempts, &mut budget)
}

/// The final answer after an attempt that is not retried.
pub(super) fn tell(job: &Job, verdict: Verdict, retry_after_ms: Option<u64>) -> Refused {
    let after_ms = retry_after_ms
        .filter(|ms| *ms > 0)
        .unwrap_or(RETRY_AFTER_MS);
    let deadline_passed = Instant::now() >= job.order.deadline;
    match (verdict.outcome, verdict.refusal) {
        (_, Some(Refusal::KeyReused)) => Refused::not_run(
            Reason::KeyReused,
            "this idempotency key came with another request before; make a new key for a new \
             request",
        ),
        (_, Some(Refusal::KeyFromFuture)) => Refused::not_run(
            Reason::BadHeader,
            "the idempotency key was issued in the future; set your clock, and make a new key",
        ),
        // What a later attempt was refused says nothing of an earlier one.
        (Outcome::NotRun, _) if job.may_have_run => answer_lost(),
        (Outcome::NotRun, _) if deadline_passed => Refused::not_run(
            Reason::Deadline,
            "the deadline passed before the request could start; it did not run",
        )
        .retry_after_ms(after_ms),
        (Outcome::NotRun, _) => Refused::not_run(
            Reason::NoTarget,
            "no target took the request; it did not run",
        )
        .retry_after_ms(after_ms),
        (Outcome::Unknown, _) if deadline_passed => Refused::unknown(
            Reason::Deadline,
            "the deadline passed after the request was sent; it may have run",
        ),
        (_, _) => answer_lost(),
    }
}

fn answer_lost() -> Refused {
    Refused::unknown(
        Reason::AnswerLost,
        "the answer was lost; the request may have run. Repeat it only under the same \
         idempotency key, or if running it twice does no harm",
    )
}
