//! A request that may be sent to targets: its content, its wait limits, and the logging of its
//! outcome.

mod run_record;
mod suspicion;

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant};

use berylhook_backpressure::rate::RequestRate;
use berylhook_core::digest::RequestDigest;
use berylhook_platform::headers::{self, ForwardHeaders, RequestHead};
use berylhook_quarantine::{RequestIdentity, RunClearance};
use berylhook_traffic::configuration::{ClientAccount, RetryPolicy, Route};
use berylhook_traffic::dispatch::Refusal;
use berylhook_traffic::failover::FailoverBlock;
use berylhook_traffic::regions::RegionSet;
use berylhook_traffic::retry_after::RetryReason;
use berylhook_traffic::shutdown::{RequestProgress, ShutdownStage, StopDecision};
use berylhook_traffic::stream::EventId;
use berylhook_traffic::target::{Incarnation, Target};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, Response, Uri};

pub(crate) use self::run_record::RunRecord;
use self::run_record::RunningAt;
use crate::backpressure;
use crate::call::{self, CallError, SendResult, TargetResponse};
use crate::metrics::Metrics;
use crate::quarantine::target_incarnation;
use crate::queue::{
    FirstEventLimits, ServiceQueue, SlotError, SlotGuard, SlotRequest, SlotWaitLimits,
};
use crate::responses::{Body, LocalError, local_error_response};
use crate::shared::Shared;

/// Fraction of the latency objective that a request waits for a slot. A rejection within this
/// time leaves the caller enough time to retry and be served.
const SLOT_WAIT_FRACTION: f64 = 0.125;

/// The same fraction for a stream. Its first event comes two or three forward passes after its
/// start, so this much of the objective can be spent waiting out a period of long passes, such as
/// the one before a new expert map is activated.
const STREAM_SLOT_WAIT_FRACTION: f64 = 0.4;

/// The urgency of the requests that are served first.
const MOST_URGENT: u32 = 0;

/// Longest wait for a slot when the response cannot meet its latency objective. Callers disconnect
/// after two seconds without a response.
const MAX_LATE_WAIT: Duration = Duration::from_millis(1_500);

/// Fraction of the remaining time that a wait for a late response may take.
const LATE_WAIT_FRACTION: f64 = 0.3;

/// Callers disconnect after this time without an event, after this multiple of the latency
/// objective, or after this multiple of the longest acceptable pause, whichever is longest.
const DISCONNECT_AFTER: Duration = Duration::from_secs(2);
const DISCONNECT_OBJECTIVES: u64 = 4;
const DISCONNECT_PAUSES: u64 = 8;

/// A caller's request that may be sent to targets, from its admission to its final response.
pub(crate) struct Job {
    pub(crate) shared: Arc<Shared>,
    pub(crate) queue: Arc<ServiceQueue>,
    pub(crate) route: Arc<Route>,
    pub(crate) head: RequestHead,
    pub(crate) deadline: Instant,
    pub(crate) arrived: Instant,
    pub(crate) account: Option<Arc<ClientAccount>>,
    /// The urgency of the request among those of its service.
    pub(crate) urgency: u32,
    /// The regions in which the request may run; `None` if it may run in any.
    pub(crate) allowed_regions: Option<RegionSet>,
    pub(crate) strips_key: bool,
    pub(crate) configuration_version: u64,
    pub(crate) method: Method,
    pub(crate) path: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Computed at first use, as most requests never need it.
    pub(crate) digest: OnceLock<RequestDigest>,
    /// What the log line at the end of the request reports.
    pub(crate) record: Arc<RequestRecord>,
}

/// What the log line at the end of a request reports.
#[derive(Debug, Default)]
pub(crate) struct RequestRecord {
    /// The target for which the request was last prepared.
    last_target: Mutex<Option<Arc<str>>>,
    run: Mutex<RunRecord>,
    /// Whether a run that has ended may have run the request.
    has_uncertain_run: AtomicBool,
    /// How the stop of the entry has ended the request.
    end_by_stop: OnceLock<LocalError>,
    /// How often the request was sent once more.
    retries: AtomicU32,
    /// Whether the retry budget refused a retry.
    is_retry_refused: AtomicBool,
    /// Time left of the last target's backoff when the request was sent to it.
    backoff_left_ms: AtomicU64,
    /// Why the request was last refused by urgency.
    refusal: Mutex<Option<Refusal>>,
    /// Whether the end of the request has been logged.
    is_end_logged: AtomicBool,
    timings: Timings,
}

/// Where the request's time was spent: waiting for slots, at its target, or between two events.
#[derive(Debug, Default)]
struct Timings {
    /// Total time spent waiting for slots.
    waited_ms: AtomicU64,
    /// Time from arrival to the first event or the complete response; 0 if there was none.
    first_response_ms: AtomicU64,
    /// The longest time between two events.
    longest_gap_ms: AtomicU64,
}

impl RequestRecord {
    /// Whether a target may have run the request, or may be running it.
    pub(crate) fn progress(&self) -> RequestProgress {
        let is_running = self.run.lock().expect("no holder panics").is_running();
        if is_running || self.has_uncertain_run.load(Ordering::Relaxed) {
            RequestProgress::MayHaveRun
        } else {
            RequestProgress::NotRun
        }
    }

    /// Records that the stop of the entry ends the request with this response.
    pub(crate) fn end_by_stop(&self, reason: LocalError) {
        // Only one response ends a request.
        let _ = self.end_by_stop.set(reason);
    }
}

impl Drop for Job {
    // A disconnected caller drops its request at any await point. Without this log line, the logs
    // would not show that the request had arrived.
    fn drop(&mut self) {
        if self.record.is_end_logged.load(Ordering::Relaxed) {
            return;
        }
        let is_exiting = *self.shared.stage.borrow() == ShutdownStage::Exiting;
        let cause = match self.record.end_by_stop.get() {
            Some(reason) => reason.name(),
            None if is_exiting => CUT_AT_EXIT,
            None => CALLER_DISCONNECTED,
        };
        self.report_run_abandoned_by_drop(cause);
        self.finish(cause, None);
    }
}

/// Outcome of a request whose caller disconnected before the response.
const CALLER_DISCONNECTED: &str = "caller-left";

/// Outcome of a request that the process ended by exiting at the end of its grace period.
const CUT_AT_EXIT: &str = "cut-at-exit";

/// An attempt id as text for the logs.
pub(crate) fn attempt_id_text(attempt_id: Option<&HeaderValue>) -> &str {
    attempt_id.and_then(|id| id.to_str().ok()).unwrap_or("-")
}

impl Job {
    /// Time until the deadline of the caller or the route.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    pub(crate) fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    fn is_stream(&self) -> bool {
        matches!(self.route.retry_policy, RetryPolicy::Stream { .. })
    }

    /// Waits for a slot as long as the caller can benefit from it.
    pub(crate) async fn acquire_slot(&self) -> Result<SlotGuard, SlotError> {
        let objective = Duration::from_millis(self.route.objective_ms);
        let fraction = if self.is_stream() {
            STREAM_SLOT_WAIT_FRACTION
        } else {
            SLOT_WAIT_FRACTION
        };
        let limits = SlotWaitLimits {
            on_time: objective.mul_f64(fraction).min(self.remaining()),
            late: MAX_LATE_WAIT.min(self.remaining().mul_f64(LATE_WAIT_FRACTION)),
        };
        let request = SlotRequest {
            urgency: self.urgency,
            is_resumed: false,
            limits,
            first_event: self.is_stream().then(|| self.first_event_limits()),
            allowed_regions: self.allowed_regions,
        };
        self.wait_for_slot(request).await
    }

    fn first_event_limits(&self) -> FirstEventLimits {
        let elapsed = self.arrived.elapsed();
        let remaining = self.remaining();
        let objective = Duration::from_millis(self.route.objective_ms);
        FirstEventLimits {
            objective: objective.saturating_sub(elapsed).min(remaining),
            min_wait: objective.mul_f64(SLOT_WAIT_FRACTION).min(remaining),
            disconnect: self.disconnect_gap().saturating_sub(elapsed),
        }
    }

    /// The gap between events, or before the first one, after which the caller disconnects.
    pub(crate) fn disconnect_gap(&self) -> Duration {
        let objective_ms = self.route.objective_ms;
        let pause_ms = self.route.pause_objective_ms.unwrap_or_default();
        DISCONNECT_AFTER
            .max(Duration::from_millis(
                objective_ms.saturating_mul(DISCONNECT_OBJECTIVES),
            ))
            .max(Duration::from_millis(
                pause_ms.saturating_mul(DISCONNECT_PAUSES),
            ))
    }

    /// Whether the stop of the entry still allows another run.
    fn may_start_run(&self) -> bool {
        let stage = *self.shared.stage.borrow();
        stage.decide(self.record.progress()) == StopDecision::Continue
    }

    async fn wait_for_slot(&self, request: SlotRequest) -> Result<SlotGuard, SlotError> {
        if !self.may_start_run() {
            return Err(SlotError::TimedOut);
        }
        let started = Instant::now();
        let slot = self.queue.acquire_slot(request).await;
        let waited_ms = elapsed_ms(started);
        self.record
            .timings
            .waited_ms
            .fetch_add(waited_ms, Ordering::Relaxed);
        *self.record.refusal.lock().expect("no holder panics") = match &slot {
            Err(SlotError::Refused(refusal)) => Some(*refusal),
            _ => None,
        };
        slot
    }

    /// Reserves a slot at another target than `exclude`, if one is free now.
    pub(crate) fn try_acquire_other_slot(&self, exclude: &[Incarnation]) -> Option<SlotGuard> {
        if !self.may_start_run() {
            return None;
        }
        self.queue
            .try_acquire_other_slot(self.allowed_regions, exclude)
    }

    /// Waits up to `max_wait` for a slot at another target. A response that the caller has received
    /// a part of takes precedence over requests that have not started. Where requests differ in
    /// urgency, one without any event keeps its own.
    pub(crate) async fn acquire_slot_to_resume(
        &self,
        max_wait: Duration,
        has_events: bool,
    ) -> Result<SlotGuard, SlotError> {
        let is_resumed = has_events || !self.queue.admits_by_urgency();
        let limits = SlotWaitLimits {
            on_time: max_wait,
            late: max_wait,
        };
        let request = SlotRequest {
            urgency: if is_resumed {
                MOST_URGENT
            } else {
                self.urgency
            },
            is_resumed,
            limits,
            first_event: None,
            allowed_regions: self.allowed_regions,
        };
        self.wait_for_slot(request).await
    }

    /// Sends the request to a target once the quarantine and the admission gate allow it, and
    /// waits for the response head.
    ///
    /// All sends to targets consist of these steps, including those that resume a stream.
    pub(crate) async fn send(
        &self,
        slot: &mut SlotGuard,
        resume_after: Option<EventId>,
        clearance: &mut RunClearance,
    ) -> Result<TargetResponse, CallError> {
        self.wait_for_clearance(clearance).await?;
        let request = self.begin_run(slot, resume_after, clearance)?;
        self.exchange(slot.target(), request).await
    }

    /// Checks the admission gate and records the run that begins with the returned request. The
    /// quarantine must have cleared the request.
    ///
    /// No await is allowed between this call and [`Self::exchange`].
    pub(crate) fn begin_run(
        &self,
        slot: &mut SlotGuard,
        resume_after: Option<EventId>,
        clearance: &RunClearance,
    ) -> Result<Request<Full<Bytes>>, CallError> {
        slot.admit().map_err(CallError::Withheld)?;
        let target = slot.target();
        let backoff_left_ms = self.queue.backoff_left_ms(&target.incarnation);
        self.record
            .backoff_left_ms
            .store(backoff_left_ms, Ordering::Relaxed);
        *self.run() = RunRecord {
            running_at: Some(RunningAt {
                target: target.clone(),
                sent_at: Instant::now(),
            }),
            ran_alone: clearance.runs_alone(),
            alone_parts: clearance.parts_alone(self.head.shared_parts.as_slice()),
            ..RunRecord::default()
        };
        Ok(self.request_for(target, resume_after))
    }

    /// Sends a request that [`Self::begin_run`] returned, and waits for the response head.
    pub(crate) async fn exchange(
        &self,
        target: &Target,
        request: Request<Full<Bytes>>,
    ) -> Result<TargetResponse, CallError> {
        let suspect_tracker = &self.shared.suspect_tracker;
        let sent_ms = suspect_tracker.now_ms();
        let response = call::send(target.address, request, self.remaining()).await;
        if suspect_tracker.awaits_probes()
            && response
                .as_ref()
                .is_ok_and(TargetResponse::is_from_expected_incarnation)
        {
            suspect_tracker.on_connection_accepted(&target_incarnation(target).target, sent_ms);
        }
        if let Ok(response) = &response {
            backpressure::apply_signals(&self.shared, &self.queue, target, response);
        }
        response
    }

    /// Whether the request was sent to a target that may still be running it.
    pub(crate) fn may_be_running(&self) -> bool {
        self.time_since_send().is_some()
    }

    /// Time since the request was sent to the target that may still be running it.
    pub(crate) fn time_since_send(&self) -> Option<Duration> {
        self.run()
            .running_at
            .as_ref()
            .map(RunningAt::time_since_send)
    }

    fn run(&self) -> MutexGuard<'_, RunRecord> {
        self.record.run.lock().expect("no holder panics")
    }

    /// The record of the last run.
    pub(crate) fn run_record(&self) -> RunRecord {
        self.run().clone()
    }

    /// Makes a run that continues the last one again.
    pub(crate) fn return_to_run(&self, record: RunRecord) {
        *self.run() = record;
    }

    /// Records that this entry ends the last run because its target is silent.
    pub(crate) fn mark_given_up(&self) {
        self.run().is_given_up = true;
    }

    /// Whether this entry ended the last run because its target was silent.
    pub(crate) fn is_given_up(&self) -> bool {
        self.run().is_given_up
    }

    /// Whether the retry budget of the service has a retry now.
    pub(crate) fn has_retry(&self) -> bool {
        self.queue.available_retries() >= 1.0
    }

    /// Takes a retry from the budget of the service; returns whether it had one.
    pub(crate) fn try_take_retry(&self) -> bool {
        let is_granted = self.queue.try_take_retry();
        if is_granted {
            self.record.retries.fetch_add(1, Ordering::Relaxed);
        } else {
            self.record.is_retry_refused.store(true, Ordering::Relaxed);
        }
        self.metrics().count_retry(is_granted);
        is_granted
    }

    /// Builds the request for one target.
    fn request_for(&self, target: &Target, resume_after: Option<EventId>) -> Request<Full<Bytes>> {
        *self.record.last_target.lock().expect("no holder panics") = Some(Arc::clone(target.id()));
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.clone();
        *request.headers_mut() = self.headers.clone();
        let remaining_ms = u64::try_from(self.remaining().as_millis()).unwrap_or(u64::MAX);
        let forward = ForwardHeaders {
            deadline_ms: remaining_ms.max(1),
            target_id: target.id(),
            account: self.account.as_ref().map(|account| &*account.name),
            resume_after,
            strips_api_key: self.strips_key,
        };
        headers::set_forward_headers(request.headers_mut(), &forward);
        // A part of a response that a caller names itself gives no precedence.
        let has_delivered = resume_after > self.head.last_event_id;
        if has_delivered {
            headers::set_request_priority(request.headers_mut(), MOST_URGENT);
        } else if self.queue.admits_by_urgency() {
            headers::set_request_priority(request.headers_mut(), self.urgency);
        }
        request
    }

    /// Ends the request with a response that the entry generates itself.
    pub(crate) fn end_with_error(&self, reason: LocalError) -> Response<Body> {
        let is_refusal = matches!(reason, LocalError::NoSlot | LocalError::NotRun);
        let (reason, retry_reason) = match self.queue.until_accepting_ms() {
            _ if is_refusal && self.queue.is_evacuated() => {
                (LocalError::Evacuated, RetryReason::Down)
            }
            _ if is_refusal && self.queue.is_barred(self.allowed_regions) => {
                (LocalError::NoRegion, RetryReason::Down)
            }
            _ if self.queue.is_down() => (reason, RetryReason::Down),
            Some(until_accepting_ms) if is_refusal => (
                LocalError::Withheld,
                RetryReason::Withheld { until_accepting_ms },
            ),
            Some(_) | None => {
                let refusal = self.refusal().filter(|_| is_refusal);
                let retry_reason = refusal.map(|refusal| refusal.retry_reason());
                (reason, retry_reason.unwrap_or(RetryReason::Busy))
            }
        };
        self.finish(reason.name(), None);
        local_error_response(
            reason,
            self.head.attempt_id.as_ref(),
            self.remaining(),
            retry_reason,
        )
    }

    /// Why the request was last refused by urgency.
    fn refusal(&self) -> Option<Refusal> {
        *self.record.refusal.lock().expect("no holder panics")
    }

    /// Records the latency of the complete response, or of a stream's first event.
    pub(crate) fn observe_first_response(&self) {
        let after_ms = self.arrived.elapsed().as_secs_f64() * 1_000.0;
        self.metrics().response_ms.observe(after_ms);
        let first_response_ms = elapsed_ms(self.arrived);
        self.record
            .timings
            .first_response_ms
            .store(first_response_ms, Ordering::Relaxed);
    }

    /// Records the time between two events of the stream.
    pub(crate) fn observe_gap(&self, gap_ms: f64) {
        self.metrics().event_gap_ms.observe(gap_ms);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // a few seconds at most
        let gap_ms = gap_ms as u64;
        let longest = &self.record.timings.longest_gap_ms;
        longest.fetch_max(gap_ms, Ordering::Relaxed);
    }

    /// Logs and counts the outcome of the request.
    pub(crate) fn finish(&self, outcome: &'static str, status: Option<u16>) {
        self.record.is_end_logged.store(true, Ordering::Relaxed);
        self.metrics().count_request(outcome);
        let (running, waiting, targets) = self.queue.counts();
        let last_target = self
            .record
            .last_target
            .lock()
            .expect("no holder panics")
            .clone();
        let refusal = self.refusal();
        log::info!(
            request = attempt_id_text(self.head.attempt_id.as_ref()),
            route = &*self.route.name,
            account = self.account_name(),
            urgency = self.urgency,
            configuration = self.configuration_version,
            outcome,
            status = status.unwrap_or_default(),
            last_target = last_target.as_deref().unwrap_or("-"),
            after_ms = elapsed_ms(self.arrived),
            waited_ms = self.record.timings.waited_ms.load(Ordering::Relaxed),
            first_ms = self.record.timings.first_response_ms.load(Ordering::Relaxed),
            longest_pause_ms = self.record.timings.longest_gap_ms.load(Ordering::Relaxed),
            goal_ms = self.route.objective_ms,
            pause_goal_ms = self.route.pause_objective_ms.unwrap_or_default(),
            running,
            waiting,
            targets,
            bound = self.queue.concurrency_limit(),
            retries = self.record.retries.load(Ordering::Relaxed),
            is_retry_refused = self.record.is_retry_refused.load(Ordering::Relaxed),
            refusal = refusal.map(|refusal| refusal.reason.name()),
            queued_ahead = refusal.map(|refusal| refusal.queued_ahead),
            expected_wait_ms = refusal.and_then(|refusal| refusal.expected_wait_ms),
            wait_limit_ms = refusal.map(|refusal| refusal.wait_limit_ms),
            reserve = refusal.map(|refusal| refusal.reserve),
            slots = refusal.map(|refusal| refusal.slots);
            "request ended"
        );
    }

    /// Logs and counts the result of sending the request to one target.
    pub(crate) fn log_send(&self, target: &Target, result: SendResult) {
        self.metrics().count_send(result.name());
        let digest = result
            .is_outcome_unknown()
            .then(|| self.digest().to_string());
        let since_send_ms = self.time_since_send().map(duration_ms);
        if result == SendResult::StreamStarted {
            self.run().has_stream_begun = true;
        } else {
            if result.may_have_run() {
                self.record.has_uncertain_run.store(true, Ordering::Relaxed);
            }
            self.run().running_at = None;
        }
        self.report_result(target, result);
        log::info!(
            request = attempt_id_text(self.head.attempt_id.as_ref()),
            target = &**target.id(),
            address:% = target.address,
            result = result.name(),
            digest = digest.as_deref().unwrap_or("-"),
            parts:% = self.head.shared_parts,
            rest_left_ms = self.record.backoff_left_ms.load(Ordering::Relaxed),
            limit_per_s = self.queue.rate_limit(&target.incarnation).map_or(0.0, RequestRate::per_s),
            after_ms = elapsed_ms(self.arrived),
            since_send_ms = since_send_ms,
            is_given_up = self.is_given_up();
            "sent to a target"
        );
    }

    /// Logs that an interrupted stream waits for a retry of the budget.
    pub(crate) fn log_retry_wait(&self, max_wait: Duration) {
        log::info!(
            request = attempt_id_text(self.head.attempt_id.as_ref()),
            max_wait_ms = duration_ms(max_wait),
            after_ms = elapsed_ms(self.arrived);
            "an interrupted stream waits for a retry"
        );
    }

    /// Logs why the request stays at its target although that is silent.
    pub(crate) fn log_no_failover(&self, target: &Target, block: FailoverBlock) {
        if block == FailoverBlock::NoRetry {
            self.record.is_retry_refused.store(true, Ordering::Relaxed);
            self.metrics().count_retry(false);
        }
        log::info!(
            request = attempt_id_text(self.head.attempt_id.as_ref()),
            target = &**target.id(),
            target_silent_ms = self.queue.silence_ms(&target.incarnation),
            reason = block.name(),
            after_ms = elapsed_ms(self.arrived);
            "a request stays at its silent target"
        );
    }

    /// Logs that the stream goes on at a target that was silent before.
    pub(crate) fn log_stream_continued(&self, target: &Target) {
        log::info!(
            request = attempt_id_text(self.head.attempt_id.as_ref()),
            target = &**target.id(),
            after_ms = elapsed_ms(self.arrived);
            "a stream goes on at its former target"
        );
    }

    /// Logs that a run ends at its target because its request has ended.
    fn log_abandoned_run(&self, running_at: &RunningAt, cause: &'static str) {
        let target = &running_at.target;
        let has_stream_begun = self.run().has_stream_begun;
        log::info!(
            request = attempt_id_text(self.head.attempt_id.as_ref()),
            target = &**target.id(),
            address:% = target.address,
            since_send_ms = elapsed_ms(running_at.sent_at),
            has_stream_begun,
            cause,
            target_silent_ms = self.queue.silence_ms(&target.incarnation);
            "the request has ended; cancelling its run at the target"
        );
    }

    /// The client account's name for the logs.
    fn account_name(&self) -> &str {
        self.account.as_ref().map_or("-", |account| &*account.name)
    }
}

fn elapsed_ms(since: Instant) -> u64 {
    duration_ms(since.elapsed())
}

fn duration_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
