//! Final answers other than the target's own, and when they are due.

use berylhook_caller::{ErrorReason, ErrorResponse};
use berylhook_core::attempt::Verdict;
use berylhook_core::outcome::{Outcome, Refusal};
use berylhook_core::time::MonoMs;
use berylhook_quarantine::{QuarantineRejection, RequestIdentity};
use tokio::time::Instant;

use super::fleet::Target;
use super::job::Job;

/// Longest wait told to a caller that would be too late.
const MAX_WAIT_MS: f64 = 60_000.0;

/// When to come back where nothing better is known.
const RETRY_AFTER_MS: u64 = 1_000;

/// Refuses a request that could not begin before its deadline even at the
/// best target sampled. Sending it would only make others late as well.
pub(super) fn too_late(job: &Job, target: &Target, now_ms: MonoMs) -> Option<ErrorResponse> {
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
    Some(
        ErrorResponse::not_run(ErrorReason::DeadlineExceeded, message).with_retry_after_ms(over_ms),
    )
}

pub(super) fn no_target(job: &Job) -> ErrorResponse {
    if job.may_have_run {
        return answer_lost();
    }
    let message = format!(
        "no target of {} can take the request at present; come back later",
        job.call.entry.name
    );
    ErrorResponse::not_run(ErrorReason::NoTarget, message).with_retry_after_ms(RETRY_AFTER_MS)
}

/// The final answer to a request that is not sent because targets end under it.
pub(super) fn held_back(job: &Job, held: QuarantineRejection) -> ErrorResponse {
    let back_ms = held
        .retry_after
        .map(|back| u64::try_from(back.as_millis()).unwrap_or(u64::MAX));
    log::warn!(
        request:% = job.call.id,
        account = &*job.call.account.name,
        digest:% = job.order.identity.digest(),
        why = held.reason,
        back_ms = back_ms.unwrap_or_default();
        "a request was held back"
    );
    if job.may_have_run {
        return answer_lost();
    }
    let refused = ErrorResponse::not_run(
        ErrorReason::Quarantined,
        "targets ended while they ran this request, so it is not sent on; it did not run. \
         Change the request, or ask the operators",
    );
    match back_ms {
        Some(back_ms) => refused.with_retry_after_ms(back_ms),
        None => refused,
    }
}

/// The final answer after an attempt that is not retried.
pub(super) fn tell(job: &Job, verdict: Verdict, retry_after_ms: Option<u64>) -> ErrorResponse {
    let after_ms = retry_after_ms
        .filter(|ms| *ms > 0)
        .unwrap_or(RETRY_AFTER_MS);
    let deadline_passed = Instant::now() >= job.order.deadline;
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
        // What a later attempt was refused says nothing of an earlier one.
        (Outcome::NotRun, _) if job.may_have_run => answer_lost(),
        (Outcome::NotRun, _) if deadline_passed => ErrorResponse::not_run(
            ErrorReason::DeadlineExceeded,
            "the deadline passed before the request could start; it did not run",
        )
        .with_retry_after_ms(after_ms),
        (Outcome::NotRun, _) => ErrorResponse::not_run(
            ErrorReason::NoTarget,
            "no target took the request; it did not run",
        )
        .with_retry_after_ms(after_ms),
        (Outcome::Unknown, _) if deadline_passed => ErrorResponse::unknown(
            ErrorReason::DeadlineExceeded,
            "the deadline passed after the request was sent; it may have run",
        ),
        (_, _) => answer_lost(),
    }
}

fn answer_lost() -> ErrorResponse {
    ErrorResponse::unknown(
        ErrorReason::ResponseLost,
        "the answer was lost; the request may have run. Repeat it only under the same \
         idempotency key, or if running it twice does no harm",
    )
}
