//! Requests that run at most once.
//!
//! The agent that is the home (owner) of an idempotency key's shard keeps the record of the run;
//! the entry only decides which agent to send the request to. An attempt may be repeated under the
//! same key, because the home runs a key once and responds to repeats from its record.

use std::sync::Arc;
use std::time::Duration;

use berylhook_caller::{CallResponse, ErrorResponse, IdempotencyKey};
use berylhook_core::attempt::Verdict;
use berylhook_core::ledger::shard_of;
use berylhook_core::outcome::{Outcome, Refusal};
use berylhook_peer::proto::Keyed;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::attempt::Attempt;
use super::collect::{CollectOutcome, collect};
use super::dispatch::Dispatcher;
use super::fleet::Target;
use super::job::Job;
use super::node::lock;
use super::refusals::{no_target_error, quarantine_error, verdict_error};
use super::streaming::spawn_stream;

/// Delay before the next attempt while the home is not known.
const HOME_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time allowed to find the home before the request is refused as not run.
const HOME_LOOKUP_TIMEOUT: Duration = Duration::from_secs(2);

/// Time allowed for the home to reconnect before the outcome is reported as unknown.
const RECONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves a request of a catalogue entry whose requests must not be repeated.
pub(super) async fn serve(
    dispatcher: &Dispatcher,
    mut job: Job,
) -> Result<CallResponse, ErrorResponse> {
    let key = job
        .call
        .idempotency_key
        .unwrap_or_else(IdempotencyKey::generate);
    let keyed = keyed_message(&job, key);
    let shard = keyed.shard;
    job.command.start.keyed = Some(keyed);
    let lookup_deadline = Instant::now() + HOME_LOOKUP_TIMEOUT;
    loop {
        let Some(target) = select_home(&job, shard) else {
            let error_response = no_target_error(&job);
            return Err(job.fail(error_response));
        };
        let mut attempt = match dispatcher.attempt(&mut job, &target).await {
            Ok(Some(attempt)) => attempt,
            Ok(None) => {
                forget_home(&job, shard);
                job.failed_targets.push(target.id);
                continue;
            }
            Err(rejection) => {
                let error_response = quarantine_error(&job, rejection);
                return Err(job.fail(error_response));
            }
        };
        let memory = Arc::clone(job.memory());
        let verdict = match collect(&mut attempt, &mut job.clock, &memory).await {
            CollectOutcome::Complete(response) => return Ok(job.complete(response)),
            CollectOutcome::Stream { head, first_chunks } => {
                return Ok(spawn_stream(job, attempt, &head, first_chunks));
            }
            CollectOutcome::NoResponse(verdict) => verdict,
        };
        let failed_attempt = FailedAttempt {
            verdict,
            may_have_run: job.may_have_run,
            is_timed_out: Instant::now() >= lookup_deadline.min(job.command.deadline),
        };
        match failed_attempt.decide() {
            Decision::TryAnotherAgent => {
                update_home(&mut job, shard, &target, &attempt);
                tokio::time::sleep(HOME_RETRY_DELAY).await;
            }
            Decision::RetryHome => {
                job.may_have_run = true;
                let _ = Attempt::wait_reconnected(&target, RECONNECT_TIMEOUT).await;
            }
            Decision::ReportToCaller => {
                let error_response = verdict_error(&job, verdict, attempt.retry_after_ms);
                return Err(job.fail(error_response));
            }
        }
    }
}

/// The state after an attempt without a complete response.
struct FailedAttempt {
    verdict: Verdict,
    /// An earlier attempt may have run the request.
    may_have_run: bool,
    /// Whether the time to find the home, or the deadline of the request, has passed.
    is_timed_out: bool,
}

enum Decision {
    /// The request did not run at this agent; the home may be another one.
    TryAnotherAgent,
    /// Send the request to the same home again, under the same key, to learn its outcome.
    RetryHome,
    /// Report the verdict to the caller.
    ReportToCaller,
}

impl FailedAttempt {
    fn decide(&self) -> Decision {
        let is_retryable = self
            .verdict
            .refusal
            .is_none_or(Refusal::is_retryable_elsewhere);
        match self.verdict.outcome {
            Outcome::Done => Decision::ReportToCaller,
            // Another agent would only refuse the key as older than its ledger's low-water mark,
            // which does not show whether the request ran.
            Outcome::NotRun if self.may_have_run => Decision::ReportToCaller,
            Outcome::NotRun if self.is_timed_out || !is_retryable => Decision::ReportToCaller,
            Outcome::NotRun => Decision::TryAnotherAgent,
            Outcome::Unknown if self.may_have_run || self.is_timed_out => Decision::ReportToCaller,
            Outcome::Unknown => Decision::RetryHome,
        }
    }
}

fn keyed_message(job: &Job, key: IdempotencyKey) -> Keyed {
    let account_key = key.scoped_to_account(&job.call.account.name);
    let mut request = job.call.method.clone().into_bytes();
    request.push(0);
    request.extend_from_slice(job.call.path.as_bytes());
    request.push(0);
    request.extend_from_slice(&job.call.body);
    Keyed {
        key_high: u64::try_from(account_key >> 64).expect("the high half fits in 64 bits"),
        key_low: u64::try_from(account_key & u128::from(u64::MAX))
            .expect("the low half fits in 64 bits"),
        issued_ms: key.issued_ms().0,
        digest: xxh3_64(&request),
        shard: shard_of(account_key),
    }
}

/// The believed home, or else any target that is up: its agent knows the home or claims the shard.
fn select_home(job: &Job, shard: u32) -> Option<Arc<Target>> {
    let believed_home = lock(&job.service.shard_homes).get(&shard).cloned();
    believed_home
        .and_then(|agent| job.service.target_of_home(&agent))
        .filter(|target| !job.failed_targets.contains(&target.id))
        .or_else(|| {
            let now_ms = berylhook_core::time::MonoMs(0);
            job.service.pick(&[], &job.failed_targets, now_ms)
        })
}

fn forget_home(job: &Job, shard: u32) {
    lock(&job.service.shard_homes).swap_remove(&shard);
}

fn update_home(job: &mut Job, shard: u32, target: &Target, attempt: &Attempt) {
    match &attempt.home_hint {
        Some(home) if job.service.target_of_home(home).is_some() => {
            job.failed_targets.clear();
            lock(&job.service.shard_homes).insert(shard, Arc::clone(home));
        }
        _ => {
            // No home is known: try another agent next, and all of them again after the last one.
            forget_home(job, shard);
            job.failed_targets.push(target.id);
            if job
                .service
                .pick(&[], &job.failed_targets, berylhook_core::time::MonoMs(0))
                .is_none()
            {
                job.failed_targets.clear();
            }
        }
    }
}
