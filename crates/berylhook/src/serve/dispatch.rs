//! From a checked call to its answer.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use berylhook_caller::{Call, CallFuture, CallResponse, ErrorResponse, Gateway, ResponseBody};
use berylhook_core::attempt::Verdict;
use berylhook_core::ids::RequestId;
use berylhook_core::outcome::Outcome;
use berylhook_core::retry::{self, RetryDecision};
use berylhook_operator::{Catalogue, RetryPolicy};
use berylhook_quarantine::{QuarantineRejection, RunClearance};
use tokio::time::Instant;

use super::attempt::Attempt;
use super::collect::{Early, collect};
use super::fleet::{Fleet, Target};
use super::job::Job;
use super::keyed;
use super::node::{Node, lock};
use super::refusals::{held_back, no_target, tell, too_late};
use super::streaming::stream;

/// The entry's [`Gateway`].
pub(crate) struct Dispatcher {
    pub(crate) node: Arc<Node>,
    pub(crate) fleet: Arc<Fleet>,
}

impl Gateway for Dispatcher {
    fn catalogue(&self) -> Arc<Catalogue> {
        Arc::clone(&self.node.snapshot.load().catalogue)
    }

    fn is_ready(&self) -> bool {
        self.node.has_catalogue.load(Ordering::SeqCst)
    }

    fn should_receive_traffic(&self) -> bool {
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

    async fn run(&self, call: Call) -> Result<CallResponse, ErrorResponse> {
        let id = call.id;
        let account = Arc::clone(&call.account.name);
        let entry = Arc::clone(&call.entry.name);
        let began = Instant::now();
        let result = self.serve(call).await;
        let outcome = match &result {
            Ok(reply) => match reply.body {
                ResponseBody::Full(_) => "done",
                ResponseBody::Stream(_) => "begun",
            },
            Err(refused) => refused.outcome.as_str(),
        };
        log::info!(
            "request {id} account {account} entry {entry}: {outcome} after {} ms",
            began.elapsed().as_millis()
        );
        result
    }

    async fn serve(&self, call: Call) -> Result<CallResponse, ErrorResponse> {
        let service = self.fleet.service(&call.entry.name);
        let permit = self.node.limiter.admit(&call, self.node.now_ms())?;
        lock(&service.budget).on_attempt();
        let job = Job::new(&self.node, call, service, permit);
        match job.call.entry.repeat {
            RetryPolicy::Safe => self.serve_repeatable(job).await,
            RetryPolicy::Never => keyed::serve(self, job).await,
        }
    }

    async fn serve_repeatable(&self, mut job: Job) -> Result<CallResponse, ErrorResponse> {
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
            let mut attempt = match self.attempt(&mut job, &target).await {
                Ok(Some(attempt)) => attempt,
                Ok(None) => {
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
            job.failed.push(target.id);
            job.may_have_run |= verdict.outcome == Outcome::Unknown;
            if next_step(&job, verdict) == RetryDecision::ReportToCaller {
                let refused = tell(&job, verdict, attempt.retry_after_ms);
                return Err(job.refuse(refused));
            }
        }
    }

    /// Begins an attempt; `None` if nothing was sent.
    pub(super) async fn attempt(
        &self,
        job: &mut Job,
        target: &Arc<Target>,
    ) -> Result<Option<Attempt>, QuarantineRejection> {
        let clearance = RunClearance::default();
        let begun = Attempt::begin(&self.node, Arc::clone(target), &job.order, clearance).await?;
        let Some(attempt) = begun else {
            return Ok(None);
        };
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
        Ok(Some(attempt))
    }
}

fn next_step(job: &Job, verdict: Verdict) -> RetryDecision {
    let verdict = Verdict {
        // Nothing of a collected answer has reached the caller.
        begun: false,
        ..verdict
    };
    if Instant::now() >= job.order.deadline {
        return RetryDecision::ReportToCaller;
    }
    let mut budget = lock(&job.service.budget);
    retry::decide(verdict, true, job.attempts, &mut budget)
}
