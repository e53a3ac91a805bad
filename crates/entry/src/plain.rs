//! Requests whose response is not a stream.
//!
//! The response is read completely before any of it is forwarded. A target that fails in the
//! middle of a response therefore costs the caller nothing if the request may be repeated, and
//! causes an error response otherwise. A truncated response is never forwarded as complete.
//!
//! A run that takes long is kept while the request runs at another target as well, and the first
//! response wins. All runs that are still in progress then are cancelled.

use std::future::pending;
use std::sync::Arc;
use std::time::{Duration, Instant};

use berylhook_backpressure::gate::WithheldReason;
use berylhook_ingress::{BufferKind, MemoryAccount};
use berylhook_quarantine::{QuarantineRejection, RunClearance};
use berylhook_traffic::failover::{FailoverBlock, PlainRuns};
use berylhook_traffic::health::HealthSample;
use berylhook_traffic::retry_budget::SendHistory;
use berylhook_traffic::target::{Incarnation, Target};
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use hyper::{HeaderMap, Response, StatusCode};
use tokio::time::{sleep, sleep_until, timeout};

use crate::call::{CallError, SendResult, TargetResponse, read_whole_body};
use crate::connection_headers::strip_connection_headers;
use crate::job::{Job, RunRecord};
use crate::queue::SlotGuard;
use crate::responses::{Body, LocalError, complete_response, implies_not_run};

/// Largest response held in memory.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Time between two checks whether another run is possible beside one that takes long.
const FAILOVER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The result of one attempt at one target.
enum AttemptResult {
    /// A genuine and complete response.
    Responded(Box<BufferedResponse>),
    /// The target did not run the request.
    NotRun,
    /// The quarantine rejected the request for all targets.
    Quarantined(QuarantineRejection),
    /// The target's admission gate withheld the request; nothing was sent.
    Withheld(WithheldReason),
    /// The target may have run the request.
    Unknown,
}

struct BufferedResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl BufferedResponse {
    fn is_server_error(&self) -> bool {
        self.status.is_server_error()
    }

    fn into_response(self) -> Response<Body> {
        complete_response(self.status, self.headers, self.body)
    }
}

/// What the attempts so far have shown.
#[derive(Default)]
struct AttemptHistory {
    tried_targets: Vec<Incarnation>,
    sends: SendHistory,
    /// Sends that are not those of the newest run.
    send_count: u32,
    may_have_run: bool,
    has_timed_out: bool,
    error_response: Option<Box<BufferedResponse>>,
}

/// Number of a run of its request.
type RunNumber = usize;

/// A run that has ended.
struct EndedRun {
    number: RunNumber,
    slot: SlotGuard,
    exchange: Result<ReadResult, CallError>,
}

/// The newest run, while it is in progress.
struct NewestRun {
    number: RunNumber,
    target: Target,
    /// Whether another run was asked for, as this one takes long.
    is_late: bool,
}

/// An earlier run that is still in progress. In the logs and for the quarantine it has ended.
struct KeptRun {
    number: RunNumber,
    record: RunRecord,
}

/// What ends a wait for the runs in progress.
enum Progress {
    /// A run has ended.
    Ended(AttemptResult),
    /// Another run may start in this slot, and its retry is taken from the budget.
    Granted(SlotGuard),
    /// The deadline has passed.
    DeadlineExceeded,
}

/// The state of one request, over all its targets.
struct PlainSession<'a> {
    job: &'a Job,
    history: AttemptHistory,
    /// The quarantine's clearance of the request, kept over all its sends.
    clearance: RunClearance,
    /// The runs in progress. Dropping one cancels it at its target and releases its slot.
    runs: FuturesUnordered<BoxFuture<'a, EndedRun>>,
    newest: Option<NewestRun>,
    kept: Vec<KeptRun>,
    /// When another run is asked for next; `None` if none is allowed.
    next_ask: Option<Instant>,
}

/// Serves the request.
pub(crate) async fn serve(job: Job) -> Response<Body> {
    if let Some(refusal) = job.refuse_if_quarantined() {
        return refusal;
    }
    let Ok(slot) = job.acquire_slot().await else {
        return job.end_with_error(LocalError::NoSlot);
    };
    let session = PlainSession {
        job: &job,
        history: AttemptHistory::default(),
        clearance: RunClearance::default(),
        runs: FuturesUnordered::new(),
        newest: None,
        kept: Vec::new(),
        next_ask: None,
    };
    session.serve(slot).await
}

impl PlainSession<'_> {
    async fn serve(mut self, slot: SlotGuard) -> Response<Body> {
        let mut ended = self.start_run(slot).await;
        loop {
            // The target is left out of all further placement, so the request may be queued again.
            let was_evacuated = matches!(
                ended,
                Some(AttemptResult::Withheld(WithheldReason::Evacuated))
            );
            match ended {
                Some(AttemptResult::Responded(response)) if self.may_replace(&response) => {
                    self.history.error_response = Some(response);
                }
                Some(AttemptResult::Responded(response)) => {
                    self.job.observe_first_response();
                    self.job.finish("answered", Some(response.status.as_u16()));
                    return response.into_response();
                }
                Some(AttemptResult::Quarantined(rejection)) if self.runs.is_empty() => {
                    return self.give_up_quarantined(rejection);
                }
                Some(AttemptResult::Quarantined(_)) => self.next_ask = None,
                Some(AttemptResult::Unknown) => self.history.may_have_run = true,
                Some(AttemptResult::NotRun | AttemptResult::Withheld(_)) | None => {}
            }
            let progress = if self.runs.is_empty() {
                match self.acquire_next_slot(was_evacuated).await {
                    Some(slot) => Progress::Granted(slot),
                    None => return self.give_up(),
                }
            } else {
                self.wait().await
            };
            ended = match progress {
                Progress::Ended(result) => Some(result),
                Progress::Granted(slot) => {
                    self.keep_newest();
                    self.start_run(slot).await
                }
                Progress::DeadlineExceeded => {
                    self.end_runs_at_deadline();
                    return self.give_up();
                }
            };
        }
    }

    /// Whether the request may run again after this response of a target.
    fn may_replace(&self, response: &BufferedResponse) -> bool {
        self.job.route.retry_policy.allows_second_run() && response.is_server_error()
    }

    /// Starts a run at the target of the slot once the quarantine and the admission gate allow it;
    /// returns the result of an attempt that has ended meanwhile.
    async fn start_run(&mut self, mut slot: SlotGuard) -> Option<AttemptResult> {
        let target = slot.target().clone();
        let targets = &mut self.history.tried_targets;
        targets.push(target.incarnation.clone());
        let number = targets.len();
        let max_wait = self.runs_with(1).time_alone();
        let max_wait = max_wait.unwrap_or_else(|| self.job.remaining());
        let clearing = self.job.wait_for_clearance(&mut self.clearance);
        let cleared = tokio::select! {
            biased;
            cleared = timeout(max_wait, clearing) => cleared,
            Some(ended) = self.runs.next() => return Some(self.record_end(ended)),
        };
        let cleared = cleared.unwrap_or(Err(CallError::Quarantined(
            QuarantineRejection::OUT_OF_TIME,
        )));
        let request = match cleared {
            Ok(()) => self.job.begin_run(&mut slot, None, &self.clearance),
            Err(error) => Err(error),
        };
        // A suspect has one run at a time.
        if request.is_ok() && self.clearance.is_exclusive() {
            self.runs.clear();
            self.kept.clear();
        }
        let request = match request {
            Ok(request) => request,
            Err(error) => {
                let (attempt, result) = classify(Err(error));
                self.record_send(&target, result);
                slot.close(None);
                return Some(attempt);
            }
        };
        let job = self.job;
        let run_target = target.clone();
        self.runs.push(Box::pin(async move {
            let exchange = async {
                let response = job.exchange(&run_target, request).await?;
                if let Some(load) = response.head.load {
                    job.queue.on_load(&run_target.incarnation, load);
                }
                read_response(response, &job.shared.memory).await
            };
            let exchange = exchange.await;
            EndedRun {
                number,
                slot,
                exchange,
            }
        }));
        self.newest = Some(NewestRun {
            number,
            target,
            is_late: false,
        });
        let time_alone = self.runs_so_far().time_alone();
        self.next_ask = time_alone.map(|time_alone| Instant::now() + time_alone);
        None
    }

    /// Waits until a run has ended or another one may start beside those in progress.
    async fn wait(&mut self) -> Progress {
        let mut is_logged = false;
        loop {
            let next_ask = self.next_ask;
            tokio::select! {
                biased;
                Some(ended) = self.runs.next() => return Progress::Ended(self.record_end(ended)),
                () = sleep(self.job.remaining()) => return Progress::DeadlineExceeded,
                () = sleep_until_some(next_ask) => {}
            }
            self.record_lateness();
            let block = match self.try_acquire_beside() {
                Ok(slot) => return Progress::Granted(slot),
                Err(block) => block,
            };
            match &self.newest {
                Some(newest) if !is_logged => self.job.log_no_failover(&newest.target, block),
                _ => {}
            }
            is_logged = true;
            let may_ask = !block.is_lasting();
            self.next_ask = may_ask.then(|| Instant::now() + FAILOVER_CHECK_INTERVAL);
        }
    }

    /// Records that the newest run has not ended in the time that it had alone.
    fn record_lateness(&mut self) {
        match &mut self.newest {
            Some(newest) if !newest.is_late => {
                newest.is_late = true;
                let queue = &self.job.queue;
                queue.record_health(&newest.target.incarnation, HealthSample::Failure);
            }
            _ => {}
        }
    }

    /// The slot of a run beside those in progress, with its retry taken from the budget.
    fn try_acquire_beside(&self) -> Result<SlotGuard, FailoverBlock> {
        self.runs_so_far().check_another()?;
        let is_retry = self.newest.is_some() || self.history.sends.is_next_a_retry();
        if is_retry && !self.job.has_retry() {
            return Err(FailoverBlock::NoRetry);
        }
        let slot = self.try_acquire_other_slot()?;
        if is_retry && !self.job.try_take_retry() {
            return Err(FailoverBlock::NoRetry);
        }
        Ok(slot)
    }

    fn try_acquire_other_slot(&self) -> Result<SlotGuard, FailoverBlock> {
        let tried_targets = &self.history.tried_targets;
        let slot = self.job.try_acquire_other_slot(tried_targets);
        slot.ok_or(FailoverBlock::NoSlot)
    }

    /// The slot of another run after all have ended; `None` if no other run is possible.
    async fn acquire_next_slot(&mut self, was_evacuated: bool) -> Option<SlotGuard> {
        self.runs_so_far().check_another().ok()?;
        if self.history.sends.is_next_a_retry() && !self.job.try_take_retry() {
            return None;
        }
        match self.try_acquire_other_slot() {
            Ok(slot) => Some(slot),
            Err(_) if was_evacuated => self.job.acquire_slot().await.ok(),
            Err(_) => None,
        }
    }

    fn runs_so_far(&self) -> PlainRuns {
        self.runs_with(u32::from(self.newest.is_some()))
    }

    /// The runs so far, where `in_progress` of them are not counted in the history.
    fn runs_with(&self, in_progress: u32) -> PlainRuns {
        let history = &self.history;
        let may_have_run = history.may_have_run || history.error_response.is_some();
        PlainRuns {
            retry_policy: self.job.route.retry_policy,
            max_targets: self.job.route.max_targets,
            sent: history.send_count + in_progress,
            may_have_run: may_have_run || in_progress > 0,
            remaining: self.job.remaining(),
        }
    }

    /// Keeps the newest run while another one starts.
    fn keep_newest(&mut self) {
        if let Some(newest) = self.newest.take() {
            let record = self.job.run_record();
            self.job.mark_given_up();
            self.record_send(&newest.target, SendResult::NoResponse);
            self.history.may_have_run = true;
            self.kept.push(KeptRun {
                number: newest.number,
                record,
            });
        }
    }

    /// Records the result of a send.
    fn record_send(&mut self, target: &Target, result: SendResult) {
        self.history.send_count += u32::from(result.was_sent());
        result.record_in(&mut self.history.sends);
        self.job.log_send(target, result);
    }

    /// Records the end of a run.
    fn record_end(&mut self, ended: EndedRun) -> AttemptResult {
        let (attempt, result) = classify(ended.exchange);
        let target = ended.slot.target().clone();
        let kept = self.kept.iter().position(|run| run.number == ended.number);
        if let Some(index) = kept {
            let record = self.kept.remove(index).record;
            ended
                .slot
                .close(self.record_end_of_kept(&target, record, result));
            return attempt;
        }
        let was_late = self.newest.take().is_some_and(|newest| newest.is_late);
        self.record_send(&target, result);
        let sample = health_sample(result);
        let is_recorded = was_late && sample == Some(HealthSample::Failure);
        ended.slot.close(sample.filter(|_| !is_recorded));
        // Only of use beside a kept run.
        self.next_ask = Some(Instant::now());
        attempt
    }

    /// Records the response of a kept run, and returns the sample of its target's health. A failure
    /// was recorded when the run was kept.
    fn record_end_of_kept(
        &mut self,
        target: &Target,
        record: RunRecord,
        result: SendResult,
    ) -> Option<HealthSample> {
        let sample = health_sample(result).filter(|sample| *sample == HealthSample::Success)?;
        if result == SendResult::Completed {
            self.record_superseded();
        }
        let newest = self.job.run_record();
        self.job.return_to_run(record);
        self.job.log_send(target, result);
        if self.newest.is_some() {
            self.job.return_to_run(newest);
        }
        Some(sample)
    }

    /// Records that the response of an earlier run ends the newest one.
    fn record_superseded(&mut self) {
        if let Some(newest) = self.newest.take() {
            self.job.mark_given_up();
            self.record_send(&newest.target, SendResult::Superseded);
        }
    }

    /// Records that the runs in progress have not ended in time.
    fn end_runs_at_deadline(&mut self) {
        self.record_lateness();
        if let Some(newest) = self.newest.take() {
            self.record_send(&newest.target, SendResult::NoResponse);
        }
        self.history.may_have_run = true;
        self.history.has_timed_out = true;
    }

    fn give_up(self) -> Response<Body> {
        if let Some(response) = self.history.error_response {
            self.job
                .finish("failed-by-target", Some(response.status.as_u16()));
            return response.into_response();
        }
        let has_timed_out = self.history.has_timed_out;
        self.job.end_with_error(match self.history.may_have_run {
            true if has_timed_out => LocalError::DeadlineExceeded,
            true => LocalError::ResponseLost,
            false => LocalError::NotRun,
        })
    }

    /// Ends a request that the quarantine rejected. If it may have run before, the response does not
    /// suggest a retry.
    fn give_up_quarantined(self, rejection: QuarantineRejection) -> Response<Body> {
        if self.history.may_have_run || self.history.error_response.is_some() {
            self.give_up()
        } else {
            self.job.reject_quarantined(rejection)
        }
    }
}

async fn sleep_until_some(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time.into()).await,
        None => pending().await,
    }
}

/// Classifies what an attempt has brought. Also returns what became of the send.
fn classify(exchange: Result<ReadResult, CallError>) -> (AttemptResult, SendResult) {
    match exchange {
        Err(error @ (CallError::Unknown | CallError::InvalidHead)) => {
            (AttemptResult::Unknown, error.into())
        }
        Err(CallError::Quarantined(rejection)) => (
            AttemptResult::Quarantined(rejection),
            SendResult::Quarantined,
        ),
        Err(CallError::Withheld(reason)) => (AttemptResult::Withheld(reason), SendResult::Withheld),
        Err(error) => (AttemptResult::NotRun, error.into()),
        Ok(ReadResult::NotRun(result)) => (AttemptResult::NotRun, result),
        Ok(ReadResult::Invalid) => (AttemptResult::Unknown, SendResult::InvalidResponse),
        Ok(ReadResult::Complete(response)) if response.is_server_error() => (
            AttemptResult::Responded(response),
            SendResult::ErrorResponse,
        ),
        Ok(ReadResult::Complete(response)) => {
            (AttemptResult::Responded(response), SendResult::Completed)
        }
    }
}

/// What the result says about the target's health. An error response counts as healthy, as most
/// of them are caused by the request.
fn health_sample(result: SendResult) -> Option<HealthSample> {
    match result {
        SendResult::Quarantined | SendResult::Withheld | SendResult::BackoffRequested => None,
        SendResult::Completed | SendResult::ErrorResponse => Some(HealthSample::Success),
        _ => Some(HealthSample::Failure),
    }
}

enum ReadResult {
    Complete(Box<BufferedResponse>),
    NotRun(SendResult),
    Invalid,
}

async fn read_response(
    response: TargetResponse,
    memory: &Arc<MemoryAccount>,
) -> Result<ReadResult, CallError> {
    let status = response.http.status();
    if response.head.is_not_run {
        return Ok(ReadResult::NotRun(SendResult::from_not_run(
            status,
            &response.head,
        )));
    }
    if !response.head.is_sealed || response.head.is_encoded || implies_not_run(status) {
        return Ok(ReadResult::Invalid);
    }
    let (parts, body) = response.http.into_parts();
    let buffer = memory.open(
        BufferKind::Response,
        None,
        MAX_RESPONSE_BYTES,
        Instant::now(),
    );
    let Some(body) = read_whole_body(body, response.body_end, buffer).await else {
        return Ok(ReadResult::Invalid);
    };
    let mut headers = parts.headers;
    strip_connection_headers(&mut headers);
    drop(response.connection);
    Ok(ReadResult::Complete(Box::new(BufferedResponse {
        status,
        headers,
        body,
    })))
}
