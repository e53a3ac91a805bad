//! A request that may be sent to targets: what it is, how long it waits, and how
//! its end is told.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use berylhook_backpressure::rate::RequestRate;
use berylhook_core::digest::{RequestContent, RequestDigest};
use berylhook_platform::headers::{self, Forward, RequestHead};
use berylhook_quarantine::{
    AnyListener, LostRequest, Probe, QuarantineRejection, RequestIdentity, RunClearance,
    WaitLimits as TurnPatience,
};
use berylhook_traffic::configuration::{ClientAccount, RetryPolicy, Route};
use berylhook_traffic::retry_after::RetryReason;
use berylhook_traffic::stream::EventId;
use berylhook_traffic::target::Target;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, Request, Response, Uri};

use crate::backpressure;
use crate::call::{self, Answer, CallError, SendResult};
use crate::health_check::HealthCheck;
use crate::metrics::Metrics;
use crate::quarantine::place;
use crate::queue::{Hold, Patience, Refused, ServiceQueue};
use crate::responses::{Body, Own, held_back, own};
use crate::shared::Shared;

/// Part of its goal that a request waits for a place. A refusal within it
/// still leaves the caller time to come back and be served.
const PATIENCE_SHARE: f64 = 0.125;

/// The same for a stream. Its first event follows its start by two or three
/// passes, which leaves this part of the goal to wait out a stretch of long
/// passes, such as one before a new expert map is in force.
const STREAM_PATIENCE_SHARE: f64 = 0.4;

/// Longest wait for an answer that can only be late. Callers give up after
/// two seconds without a sign.
const LATE_PATIENCE: Duration = Duration::from_millis(1_500);

/// Part of the time left that such a wait may take.
const LATE_SHARE: f64 = 0.3;

/// Part of its goal that a request needs at least for a run.
const LEAST_SHARE: f64 = 0.1;

/// A request that may be sent to targets.
pub(crate) struct Job {
    pub(crate) shared: Arc<Shared>,
    pub(crate) queue: Arc<ServiceQueue>,
    pub(crate) route: Arc<Route>,
    pub(crate) head: RequestHead,
    pub(crate) deadline: Instant,
    pub(crate) arrived: Instant,
    pub(crate) account: Option<Arc<ClientAccount>>,
    pub(crate) hides_key: bool,
    pub(crate) version: u64,
    pub(crate) method: Method,
    pub(crate) path: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Made when it is first asked for: most requests need none.
    pub(crate) digest: OnceLock<RequestDigest>,
    /// What the logs tell of it at its end.
    pub(crate) record: Record,
}

/// What the logs tell of a request at its end.
#[derive(Debug, Default)]
pub(crate) struct Record {
    /// The target that it was last made out to.
    last_target: Mutex<Option<Arc<str>>>,
    /// Whether its last run was under a lock, as a suspect.
    ran_alone: AtomicBool,
    /// Rest that its last target had asked for and that was left when it was sent.
    rest_left_ms: AtomicU64,
    /// Where it runs; `None` before, between and after its runs.
    runs_at: Mutex<Option<Target>>,
    /// Whether its end has been logged.
    has_ended: AtomicBool,
    times: Times,
}

/// Where a request's time went, for the logs: what was late, and whether it
/// waited here, at its target or between two events.
#[derive(Debug, Default)]
struct Times {
    /// Spent waiting for places, all together.
    waited_ms: AtomicU64,
    /// From its arrival to its first event, or to its whole answer; 0 if there
    /// was none.
    first_ms: AtomicU64,
    /// The longest time between two of its events.
    longest_pause_ms: AtomicU64,
}

impl Drop for Job {
    // A caller that leaves drops its request wherever it waits. Without a line
    // here nothing told such a request from one that never came.
    fn drop(&mut self) {
        if !self.record.has_ended.load(Ordering::Relaxed) {
            self.note_left();
            self.finish(CALLER_LEFT, None);
        }
    }
}

/// How a request ended whose caller did not wait for its answer.
const CALLER_LEFT: &str = "caller-left";

/// An attempt's id for the logs.
pub(crate) fn text(attempt_id: Option<&HeaderValue>) -> &str {
    attempt_id.and_then(|id| id.to_str().ok()).unwrap_or("-")
}

impl Job {
    /// Time until the caller or the route gives up.
    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    pub(crate) fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    fn is_stream(&self) -> bool {
        matches!(self.route.retry_policy, RetryPolicy::Stream { .. })
    }

    /// Waits for a place, as long as that serves the caller.
    pub(crate) async fn enter(&self) -> Result<Hold, Refused> {
        let urgency = self
            .account
            .as_ref()
            .and_then(|account| account.urgency)
            .unwrap_or(self.route.urgency);
        let goal = Duration::from_millis(self.route.objective_ms);
        let share = if self.is_stream() {
            STREAM_PATIENCE_SHARE
        } else {
            PATIENCE_SHARE
        };
        let patience = Patience {
            usual: goal.mul_f64(share).min(self.left()),
            late: LATE_PATIENCE.min(self.left().mul_f64(LATE_SHARE)),
        };
        self.wait(urgency, patience).await
    }

    async fn wait(&self, urgency: u32, patience: Patience) -> Result<Hold, Refused> {
        let began = Instant::now();
        let entered = self.queue.enter(urgency, patience).await;
        let waited_ms = elapsed_ms(began);
        self.record
            .times
            .waited_ms
            .fetch_add(waited_ms, Ordering::Relaxed);
        entered
    }

    /// Waits up to `patience` for a place to go on with an answer that has
    /// begun. It goes before requests that have not begun.
    pub(crate) async fn enter_to_resume(&self, patience: Duration) -> Result<Hold, Refused> {
        let patience = Patience {
            usual: patience,
            late: patience,
        };
        self.wait(0, patience).await
    }

    /// Sends the request to a target, once it may go, and waits for the head of the answer.
    ///
    /// Each way to a target leads through here, also that of a stream that is resumed.
    pub(crate) async fn send(
        &self,
        hold: &mut Hold,
        resume_after: Option<EventId>,
        clearance: &mut RunClearance,
    ) -> Result<Answer, CallError> {
        let suspects = &self.shared.suspects;
        self.wait_for_turn(clearance).await?;
        if let Err(withheld) = hold.admit() {
            return Err(CallError::Withheld(withheld));
        }
        let target = hold.target();
        let rest_left_ms = self.queue.rest_left_ms(&target.incarnation);
        self.record
            .rest_left_ms
            .store(rest_left_ms, Ordering::Relaxed);
        *self.record.runs_at.lock().expect("no holder panics") = Some(target.clone());
        let ran_alone = &self.record.ran_alone;
        ran_alone.store(clearance.runs_alone(), Ordering::Relaxed);
        let sent_ms = suspects.now_ms();
        // Nothing may be awaited between leave to go and this.
        let answer = call::send(target.address, self.request_for(target, resume_after)).await;
        if suspects.awaits_probes() && answer.as_ref().is_ok_and(Answer::is_of_the_target) {
            suspects.on_connection_accepted(&place(target).target, sent_ms);
        }
        if let Ok(answer) = &answer {
            backpressure::hear(&self.shared, &self.queue, target, answer);
        }
        answer
    }

    /// Waits until the request may be sent. One that has waited until it can hardly be served
    /// is not sent any more.
    async fn wait_for_turn(&self, clearance: &mut RunClearance) -> Result<(), CallError> {
        let began = Instant::now();
        let clearing =
            self.shared
                .suspects
                .acquire_clearance(self, clearance, self.turn_patience());
        clearing.await.map_err(CallError::HeldBack)?;
        let least = Duration::from_millis(self.route.objective_ms).mul_f64(LEAST_SHARE);
        let has_waited = began.elapsed() >= least;
        if has_waited && self.left() < least {
            return Err(CallError::HeldBack(QuarantineRejection::OUT_OF_TIME));
        }
        Ok(())
    }

    /// Whether a target has been sent the request and may be at work on it.
    pub(crate) fn is_at_target(&self) -> bool {
        let runs_at = self.record.runs_at.lock().expect("no holder panics");
        runs_at.is_some()
    }

    fn turn_patience(&self) -> TurnPatience {
        let goal = Duration::from_millis(self.route.objective_ms);
        TurnPatience {
            lock_wait: goal.mul_f64(STREAM_PATIENCE_SHARE).min(self.left()),
            response_wait: self.left(),
        }
    }

    /// Refuses the request at once if it cannot be sent at present.
    pub(crate) fn refuse_if_held(&self) -> Option<Response<Body>> {
        let held = self.shared.suspects.rejection(self)?;
        Some(self.hold_back(held))
    }

    /// The final answer to a request that is held back and has not run.
    pub(crate) fn hold_back(&self, held: QuarantineRejection) -> Response<Body> {
        log::warn!(
            request = text(self.head.attempt_id.as_ref()),
            account = self.account_name(),
            digest:% = self.digest(),
            why = held.reason,
            back_ms = held.retry_after.map_or(0, |back| u64::try_from(back.as_millis()).unwrap_or(u64::MAX));
            "a request was held back"
        );
        self.finish(Own::HeldBack.name(), None);
        held_back(held.retry_after, self.head.attempt_id.as_ref())
    }

    /// The target at which it ran has lived on.
    pub(crate) fn note_outlived(&self) {
        let suspects = &self.shared.suspects;
        if suspects.is_active() {
            suspects.on_survived_run(self.digest());
        }
    }

    /// The request as one target gets it.
    fn request_for(&self, target: &Target, resume_after: Option<EventId>) -> Request<Full<Bytes>> {
        *self.record.last_target.lock().expect("no holder panics") = Some(Arc::clone(target.id()));
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.clone();
        *request.headers_mut() = self.headers.clone();
        let left_ms = u64::try_from(self.left().as_millis()).unwrap_or(u64::MAX);
        let forward = Forward {
            deadline_ms: left_ms.max(1),
            target_id: target.id(),
            account: self.account.as_ref().map(|account| &*account.name),
            resume_after,
            hides_key: self.hides_key,
        };
        headers::set_forward(request.headers_mut(), &forward);
        request
    }

    /// The entry's own final answer.
    pub(crate) fn own(&self, why: Own) -> Response<Body> {
        let is_refusal = matches!(why, Own::NoPlace | Own::NotRun);
        let (why, back) = match self.queue.takes_again_ms() {
            _ if self.queue.is_down() => (why, RetryReason::Down),
            Some(until_accepting_ms) if is_refusal => {
                (Own::Withheld, RetryReason::Withheld { until_accepting_ms })
            }
            Some(_) | None => (why, RetryReason::Busy),
        };
        self.finish(why.name(), None);
        own(why, self.head.attempt_id.as_ref(), self.left(), back)
    }

    /// Measures the time to an answer, or to a stream's first event.
    pub(crate) fn observe_answer(&self) {
        let after_ms = self.arrived.elapsed().as_secs_f64() * 1_000.0;
        self.metrics().answer_ms.observe(after_ms);
        let first_ms = elapsed_ms(self.arrived);
        self.record
            .times
            .first_ms
            .store(first_ms, Ordering::Relaxed);
    }

    /// Notes the time between two events of the answer.
    pub(crate) fn observe_pause(&self, pause_ms: f64) {
        self.metrics().pass_ms.observe(pause_ms);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // a few seconds
        let pause_ms = pause_ms as u64;
        let longest = &self.record.times.longest_pause_ms;
        longest.fetch_max(pause_ms, Ordering::Relaxed);
    }

    /// Logs and counts how the request ended.
    pub(crate) fn finish(&self, outcome: &'static str, status: Option<u16>) {
        self.record.has_ended.store(true, Ordering::Relaxed);
        self.metrics().count_request(outcome);
        let (running, waiting, targets) = self.queue.counts();
        let last_target = self
            .record
            .last_target
            .lock()
            .expect("no holder panics")
            .clone();
        log::info!(
            request = text(self.head.attempt_id.as_ref()),
            route = &*self.route.name,
            configuration = self.version,
            outcome,
            status = status.unwrap_or_default(),
            last_target = last_target.as_deref().unwrap_or("-"),
            after_ms = elapsed_ms(self.arrived),
            waited_ms = self.record.times.waited_ms.load(Ordering::Relaxed),
            first_ms = self.record.times.first_ms.load(Ordering::Relaxed),
            longest_pause_ms = self.record.times.longest_pause_ms.load(Ordering::Relaxed),
            goal_ms = self.route.objective_ms,
            pause_goal_ms = self.route.pause_objective_ms.unwrap_or_default(),
            running,
            waiting,
            targets,
            bound = self.queue.bound();
            "request ended"
        );
    }

    /// Logs and counts what became of the request at one target.
    pub(crate) fn log_send(&self, target: &Target, result: SendResult) {
        self.metrics().count_send(result.name());
        let digest = result.is_unexplained().then(|| self.digest().to_string());
        if result != SendResult::Streams {
            *self.record.runs_at.lock().expect("no holder panics") = None;
        }
        self.note_result(target, result);
        log::info!(
            request = text(self.head.attempt_id.as_ref()),
            target = &**target.id(),
            address:% = target.address,
            result = result.name(),
            digest = digest.as_deref().unwrap_or("-"),
            rest_left_ms = self.record.rest_left_ms.load(Ordering::Relaxed),
            limit_per_s = self.queue.limit(&target.incarnation).map_or(0.0, RequestRate::per_s),
            after_ms = elapsed_ms(self.arrived);
            "sent to a target"
        );
    }

    fn loss(&self) -> LostRequest {
        LostRequest {
            digest: self.digest(),
            ran_alone: self.record.ran_alone.load(Ordering::Relaxed),
            attempt_id: text(self.head.attempt_id.as_ref()).into(),
            account: self.account_name().into(),
        }
    }

    /// The client account for the logs.
    fn account_name(&self) -> &str {
        self.account.as_ref().map_or("-", |account| &*account.name)
    }

    /// Its caller has left it while it ran. Its target may end all the same, and nobody
    /// would lose an answer that tells of it.
    fn note_left(&self) {
        let runs_at = self.record.runs_at.lock().expect("no holder panics").take();
        if let Some(target) = runs_at {
            self.note_left_at(&target);
        }
    }

    fn note_left_at(&self, target: &Target) {
        if !self.queue.has_target(&target.incarnation) {
            return;
        }
        let suspects = &self.shared.suspects;
        suspects.on_abandoned_run_with_probe(&place(target), self.loss(), self.look(target));
    }

    /// How to find out who listens at the target's address.
    fn look(&self, target: &Target) -> Arc<dyn Probe> {
        match self.health_check(target) {
            Some(asked) => Arc::new(asked),
            None => Arc::new(AnyListener(target.address)),
        }
    }

    /// A question for the target's health; `None` where the operator names no usable path.
    fn health_check(&self, target: &Target) -> Option<HealthCheck> {
        let configuration = self.shared.configuration()?;
        let service = configuration.service(self.queue.service())?;
        HealthCheck::new(target, service.health_path.as_deref()?)
    }

    /// What a send showed of whether targets end under the request.
    ///
    /// A target that is leaving ends by itself, and no request is to blame for it.
    fn note_result(&self, target: &Target, result: SendResult) {
        match result {
            SendResult::Answered | SendResult::Failed => self.note_outlived(),
            SendResult::Silent => self.note_left_at(target),
            SendResult::Refused => self
                .shared
                .suspects
                .on_connection_refused(&place(target).target),
            // Another one listens at its address, so it has ended.
            SendResult::OtherIncarnation if !headers::expects_version(&self.headers) => {
                self.shared
                    .suspects
                    .on_connection_refused(&place(target).target);
            }
            _ if result.is_unexplained() && self.queue.has_target(&target.incarnation) => {
                let suspects = &self.shared.suspects;
                suspects.on_lost_response_with_probe(
                    &place(target),
                    self.loss(),
                    self.look(target),
                );
            }
            _ => {}
        }
    }
}

impl RequestIdentity for Job {
    fn service(&self) -> &Arc<str> {
        self.queue.service()
    }

    fn exit_stops_group(&self) -> bool {
        self.queue.stops_group()
    }

    fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| {
            let path = self.path.path_and_query().map_or("/", PathAndQuery::as_str);
            RequestDigest::of(&RequestContent {
                method: self.method.as_str(),
                path,
                account: self.account.as_ref().map(|account| &*account.name),
                body: &self.body,
            })
        })
    }
}

fn elapsed_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}
