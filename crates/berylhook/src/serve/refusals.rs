//! Error responses to callers that the entry itself creates.

use berylhook_caller::{ErrorReason, ErrorResponse};
use berylhook_core::attempt::Verdict;
use berylhook_core::outcome::{Outcome, Refusal};
use berylhook_core::time::MonoMs;
use berylhook_quarantine::{QuarantineRejection, RequestIdentity};
use tokio::time::Instant;

use super::fleet::Target;
use super::job::Job;

/// Longest retry delay given to a caller whose request would start too late.
const MAX_RETRY_AFTER_MS: f64 = 60_000.0;

/// Retry delay given to a caller where no better estimate is known.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// Returns an error response if the request could not start before its deadline even at the best
/// target sampled. Sending it would only delay other requests as well.
pub(super) fn too_late_error(job: &Job, target: &Target, now_ms: MonoMs) -> Option<ErrorResponse> {
    let remaining = job
        .command
        .deadline
        .saturating_duration_since(Instant::now());
    let estimate_ms = job
        .service
        .estimate_ms(target.id, &job.command.blocks, now_ms);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // clamped first
    let excess_ms =
        (estimate_ms - remaining.as_secs_f64() * 1_000.0).clamp(0.0, MAX_RETRY_AFTER_MS) as u64;
    if excess_ms == 0 || job.may_have_run {
        return None;
    }
    let message = format!(
        "the targets of {} are too busy to begin before the deadline; come back later, or allow \
         more time",
        job.call.entry.name
    );
    Some(
        ErrorResponse::not_run(ErrorReason::DeadlineExceeded, message)
            .with_retry_after_ms(excess_ms),
    )
}

pub(super) fn no_target_error(job: &Job) -> ErrorResponse {
    if job.may_have_run {
        return response_lost_error();
    }
    let message = format!(
        "no target of {} can take the request at present; come back later",
        job.call.entry.name
    );
    ErrorResponse::not_run(ErrorReason::NoTarget, message)
        .with_retry_after_ms(DEFAULT_RETRY_AFTER_MS)
}

/// The error response to a request that the quarantine rejects because targets exited while running
/// it.
pub(super) fn quarantine_error(job: &Job, rejection: QuarantineRejection) -> ErrorResponse {
    let retry_after_ms = rejection
        .retry_after
        .map(|delay| u64::try_from(delay.as_millis()).unwrap_or(u64::MAX));
    log::warn!(
        request:% = job.call.id,
        account = &*job.call.account.name,
        digest:% = job.command.identity.digest(),
        why = rejection.reason,
        back_ms = retry_after_ms.unwrap_or_default();
        "a request was held back"
    );
    if job.may_have_run {
        return response_lost_error();
    }
    let error_response = ErrorResponse::not_run(
        ErrorReason::Quarantined,
        "targets ended while they ran this request, so it is not sent on; it did not run. \
         Change the request, or ask the operators",
    );
    match retry_after_ms {
        Some(retry_after_ms) => error_response.with_retry_after_ms(retry_after_ms),
        None => error_response,
    }
}

/// The error response that reports the verdict of an attempt that is not retried.
pub(super) fn verdict_error(
    job: &Job,
    verdict: Verdict,
    retry_after_ms: Option<u64>,
) -> ErrorResponse {
    let retry_after_ms = retry_after_ms
        .filter(|ms| *ms > 0)
        .unwrap_or(DEFAULT_RETRY_AFTER_MS);
    let deadline_passed = Instant::now() >= job.command.deadline;
    match (verdict.outcome, verdict.refusal) {
        (_, Some(Refusal::KeyReused)) => ErrorResponse::not_run(
            ErrorReason::IdempotencyKeyReused,
            "this idempotency key came with another request before; make a new key for a new \
             request",
        ),
        (_, Some(Refusal::KeyFromFuture)) => ErrorResponse::not_run(
            ErrorReason::BadHeader,
            "the idempotency key was issued in the future; set your clock, and make a new key",
        ),
        // The refusal of a later attempt does not show whether an earlier one ran.
        (Outcome::NotRun, _) if job.may_have_run => response_lost_error(),
        (Outcome::NotRun, _) if deadline_passed => ErrorResponse::not_run(
            ErrorReason::DeadlineExceeded,
            "the deadline passed before the request could start; it did not run",
        )
        .with_retry_after_ms(retry_after_ms),
        (Outcome::NotRun, _) => ErrorResponse::not_run(
            ErrorReason::NoTarget,
            "no target took the request; it did not run",
        )
        .with_retry_after_ms(retry_after_ms),
        (Outcome::Unknown, _) if deadline_passed => ErrorResponse::unknown(
            ErrorReason::DeadlineExceeded,
            "the deadline passed after the request was sent; it may have run",
        ),
        (_, _) => response_lost_error(),
    }
}

fn response_lost_error() -> ErrorResponse {
    ErrorResponse::unknown(
        ErrorReason::ResponseLost,
        "the answer was lost; the request may have run. Repeat it only under the same \
         idempotency key, or if running it twice does no harm",
    )
}
