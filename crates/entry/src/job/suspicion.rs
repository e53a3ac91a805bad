//! What the quarantine has to know of a request: its features, its clearance before each send, and
//! what each send shows about the exit of its target.

use std::sync::Arc;
use std::time::{Duration, Instant};

use berylhook_core::digest::{RequestContent, RequestDigest};
use berylhook_core::prompt::PromptPart;
use berylhook_platform::headers;
use berylhook_quarantine::{
    AnyListener, LostRequest, LostRun, Probe, QuarantineRejection, RequestIdentity, RunClearance,
    WaitLimits,
};
use berylhook_traffic::target::Target;
use hyper::Response;
use hyper::http::uri::PathAndQuery;

use super::{Job, STREAM_SLOT_WAIT_FRACTION, attempt_id_text};
use crate::call::{CallError, SendResult};
use crate::health_check::HealthCheck;
use crate::quarantine::target_incarnation;
use crate::responses::{Body, LocalError, quarantine_response};

/// Fraction of the latency objective that a run needs at least. With less time left, a request
/// that has waited is not sent.
const MIN_RUN_FRACTION: f64 = 0.1;

impl Job {
    /// Waits until the quarantine clears the request. After a long wait, a request that can
    /// hardly complete in the remaining time is rejected instead of sent.
    pub(crate) async fn wait_for_clearance(
        &self,
        clearance: &mut RunClearance,
    ) -> Result<(), CallError> {
        let started = Instant::now();
        let clearing = self.shared.suspect_tracker.acquire_clearance(
            self,
            clearance,
            self.clearance_wait_limits(),
        );
        clearing.await.map_err(CallError::Quarantined)?;
        let min_run = Duration::from_millis(self.route.objective_ms).mul_f64(MIN_RUN_FRACTION);
        let has_waited = started.elapsed() >= min_run;
        if has_waited && self.remaining() < min_run {
            return Err(CallError::Quarantined(QuarantineRejection::OUT_OF_TIME));
        }
        Ok(())
    }

    fn clearance_wait_limits(&self) -> WaitLimits {
        let objective = Duration::from_millis(self.route.objective_ms);
        WaitLimits {
            lock_wait: objective
                .mul_f64(STREAM_SLOT_WAIT_FRACTION)
                .min(self.remaining()),
            response_wait: self.remaining(),
        }
    }

    /// Rejects the request at once if the quarantine does not allow it at present.
    pub(crate) fn refuse_if_quarantined(&self) -> Option<Response<Body>> {
        let rejection = self.shared.suspect_tracker.rejection(self)?;
        Some(self.reject_quarantined(rejection))
    }

    /// The final response to a request that the quarantine rejected and that has not run.
    pub(crate) fn reject_quarantined(&self, rejection: QuarantineRejection) -> Response<Body> {
        log::warn!(
            request = attempt_id_text(self.head.attempt_id.as_ref()),
            account = self.account_name(),
            digest:% = self.digest(),
            parts:% = self.head.shared_parts,
            feature = &*self.shared.suspect_tracker.restricted_feature(self),
            why = rejection.reason,
            back_ms = rejection.retry_after.map_or(0, |retry_after| u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX));
            "a request was held back"
        );
        self.finish(LocalError::Quarantined.name(), None);
        quarantine_response(rejection.retry_after, self.head.attempt_id.as_ref())
    }

    /// Reports to the quarantine that the target survived this request's run.
    pub(crate) fn report_target_survived(&self) {
        let suspect_tracker = &self.shared.suspect_tracker;
        if suspect_tracker.is_active() {
            suspect_tracker.on_survived_run(self.digest());
        }
    }

    /// Reports to the quarantine that the target has begun to respond to this request and survived
    /// it, which speaks for all parts of the prompt.
    pub(crate) fn report_parts_survived(&self) {
        let parts = self.head.shared_parts.as_slice();
        self.shared.suspect_tracker.on_parts_survived(parts);
    }

    fn lost_run(&self) -> LostRun {
        let run = self.run_record();
        let request = LostRequest {
            digest: self.digest(),
            ran_alone: run.ran_alone,
            attempt_id: attempt_id_text(self.head.attempt_id.as_ref()).into(),
            account: self.account_name().into(),
        };
        LostRun {
            request,
            shared_parts: self.head.shared_parts.clone(),
            alone_parts: run.alone_parts,
            may_have_begun: run.has_stream_begun || !self.is_stream(),
        }
    }

    /// Reports to the quarantine that the request was dropped for `cause` while it ran. If the
    /// target then exits because of the request, no lost response would reveal it.
    pub(super) fn report_run_abandoned_by_drop(&self, cause: &'static str) {
        let running_at = self.run().running_at.take();
        if let Some(running_at) = running_at {
            self.log_abandoned_run(&running_at, cause);
            self.report_abandoned_run(&running_at.target);
        }
    }

    fn report_abandoned_run(&self, target: &Target) {
        if !self.queue.has_target(&target.incarnation) {
            return;
        }
        let suspect_tracker = &self.shared.suspect_tracker;
        suspect_tracker.on_abandoned_run_with_probe(
            &target_incarnation(target),
            self.lost_run(),
            self.listener_probe(target),
        );
    }

    /// The probe that shows which process listens at the target's address.
    fn listener_probe(&self, target: &Target) -> Arc<dyn Probe> {
        match self.health_check(target) {
            Some(check) => Arc::new(check),
            None => Arc::new(AnyListener(target.address)),
        }
    }

    /// A health check of the target; `None` if the operator configured no valid path.
    fn health_check(&self, target: &Target) -> Option<HealthCheck> {
        let configuration = self.shared.configuration()?;
        let service = configuration.service(self.queue.service())?;
        HealthCheck::new(
            Arc::clone(&self.shared),
            Arc::clone(&self.queue),
            target,
            service.health_path.as_deref()?,
        )
    }

    /// Reports to the quarantine what the result shows about target exits under this request.
    ///
    /// A target that is leaving exits for its own reasons, so its exit is attributed to no request.
    pub(super) fn report_result(&self, target: &Target, result: SendResult) {
        match result {
            SendResult::Completed => {
                self.report_target_survived();
                self.report_parts_survived();
            }
            // The error may precede the part of the run that the prompt affects.
            SendResult::ErrorResponse => self.report_target_survived(),
            SendResult::NoResponse => self.report_abandoned_run(target),
            // The connection was open until this entry closed it, so the process had not exited. If
            // it does so later, that is found like the exit under any other abandoned run.
            _ if result.is_outcome_unknown() && self.is_given_up() => {
                self.report_abandoned_run(target);
            }
            SendResult::ConnectionRefused => self
                .shared
                .suspect_tracker
                .on_connection_refused(&target_incarnation(target).target),
            // Another incarnation listens at the target's address, so the target has exited.
            SendResult::OtherIncarnation if !headers::expects_version(&self.headers) => {
                self.shared
                    .suspect_tracker
                    .on_connection_refused(&target_incarnation(target).target);
            }
            _ if result.is_outcome_unknown() && self.queue.has_target(&target.incarnation) => {
                let suspect_tracker = &self.shared.suspect_tracker;
                suspect_tracker.on_lost_response_with_probe(
                    &target_incarnation(target),
                    self.lost_run(),
                    self.listener_probe(target),
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

    fn shared_parts(&self) -> &[PromptPart] {
        self.head.shared_parts.as_slice()
    }

    fn exit_stops_group(&self) -> bool {
        self.queue.exit_stops_group()
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
