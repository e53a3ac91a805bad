//! Requests that run at most once.
//!
//! The entry decides nothing here but where to ask: the home of the key's
//! shard keeps the record. An attempt may be repeated under the same key,
//! because the home runs a key once and answers repeats from its record.

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
use super::collect::{Early, collect};
use super::dispatch::Dispatcher;
use super::fleet::Target;
use super::job::Job;
use super::node::lock;
use super::refusals::{held_back, no_target, tell};
use super::streaming::stream;

/// Wait before asking again where the home is not known yet.
const HOME_UNKNOWN_WAIT: Duration = Duration::from_millis(50);

/// How long to look for a home before the request is refused as not run.
const HOME_BOUND: Duration = Duration::from_secs(2);

/// How long a home may take to come back before "unknown" is told.
const RECONNECT_BOUND: Duration = Duration::from_secs(1);

/// Serves a request of an entry whose requests must not be repeated.
pub(super) async fn serve(
    dispatcher: &Dispatcher,
    mut job: Job,
) -> Result<CallResponse, ErrorResponse> {
    let key = job
        .call
        .idempotency_key
        .unwrap_or_else(IdempotencyKey::generate);
    let keyed = keyed_part(&job, key);
    let shard = keyed.shard;
    job.order.start.keyed = Some(keyed);
    let looking_until = Instant::now() + HOME_BOUND;
    loop {
        let Some(target) = home_of(&job, shard) else {
            let refused = no_target(&job);
            return Err(job.refuse(refused));
        };
        let mut attempt = match dispatcher.attempt(&mut job, &target).await {
            Ok(Some(attempt)) => attempt,
            Ok(None) => {
                forget_home(&job, shard);
                job.failed.push(target.id);
                continue;
            }
            Err(held) => {
                let refused = held_back(&job, held);
                return Err(job.refuse(refused));
            }
        };
        let verdict = match collect(&mut attempt, &mut job.clock).await {
            Early::Whole(reply) => return Ok(job.answer(reply)),
            Early::Stream { head, first } => return Ok(stream(job, attempt, &head, first)),
            Early::Over(verdict) => verdict,
        };
        let next = Outlook {
            verdict,
            may_have_run: job.may_have_run,
            is_late: Instant::now() >= looking_until.min(job.order.deadline),
        };
        match next.decide() {
            Decision::LookElsewhere => {
                learn_home(&mut job, shard, &target, &attempt);
                tokio::time::sleep(HOME_UNKNOWN_WAIT).await;
            }
            Decision::AskAgain => {
                job.may_have_run = true;
                let _ = Attempt::reconnected(&target, RECONNECT_BOUND).await;
            }
            Decision::Tell => {
                let refused = tell(&job, verdict, attempt.retry_after_ms);
                return Err(job.refuse(refused));
            }
        }
    }
}

/// What is known after an attempt without a whole answer.
struct Outlook {
    verdict: Verdict,
    /// An earlier attempt may have run the request.
    may_have_run: bool,
    is_late: bool,
}

enum Decision {
    /// Nothing ran here; the home may be another agent.
    LookElsewhere,
    /// Ask the same home, under the same key, what became of it.
    AskAgain,
    /// Tell what the verdict says.
    Tell,
}

impl Outlook {
    fn decide(&self) -> Decision {
        let helps = self
            .verdict
            .refusal
            .is_none_or(Refusal::is_retryable_elsewhere);
        match self.verdict.outcome {
            Outcome::Done => Decision::Tell,
            // Asking another agent now would only be answered by its floor.
            Outcome::NotRun if self.may_have_run => Decision::Tell,
            Outcome::NotRun if self.is_late || !helps => Decision::Tell,
            Outcome::NotRun => Decision::LookElsewhere,
            Outcome::Unknown if self.may_have_run || self.is_late => Decision::Tell,
            Outcome::Unknown => Decision::AskAgain,
        }
    }
}

fn keyed_part(job: &Job, key: IdempotencyKey) -> Keyed {
    let mixed = key.scoped_to_account(&job.call.account.name);
    let mut request = job.call.method.clone().into_bytes();
    request.push(0);
    request.extend_from_slice(job.call.path.as_bytes());
    request.push(0);
    request.extend_from_slice(&job.call.body);
    Keyed {
        key_high: u64::try_from(mixed >> 64).expect("the high half"),
        key_low: u64::try_from(mixed & u128::from(u64::MAX)).expect("the low half"),
        issued_ms: key.issued_ms().0,
        digest: xxh3_64(&request),
        shard: shard_of(mixed),
    }
}

/// The believed home, or any target that is up: it knows better, or claims
/// the shard.
fn home_of(job: &Job, shard: u32) -> Option<Arc<Target>> {
    let believed = lock(&job.service.homes).get(&shard).cloned();
    believed
        .and_then(|agent| job.service.by_agent(&agent))
        .filter(|target| !job.failed.contains(&target.id))
        .or_else(|| {
            let now_ms = berylhook_core::time::MonoMs(0);
            job.service.pick(&[], &job.failed, now_ms)
        })
}

fn forget_home(job: &Job, shard: u32) {
    lock(&job.service.homes).swap_remove(&shard);
}

fn learn_home(job: &mut Job, shard: u32, asked: &Target, attempt: &Attempt) {
    match &attempt.home_hint {
        Some(home) if job.service.by_agent(home).is_some() => {
            job.failed.clear();
            lock(&job.service.homes).insert(shard, Arc::clone(home));
        }
        _ => {
            // Nobody known: ask another one, and all again after the last.
            forget_home(job, shard);
            job.failed.push(asked.id);
            if job
                .service
                .pick(&[], &job.failed, berylhook_core::time::MonoMs(0))
                .is_none()
            {
                job.failed.clear();
            }
        }
    }
}
