//! Dispatches a validated call to targets and returns the response or an error response.

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
use super::collect::{CollectOutcome, collect};
use super::fleet::{Fleet, Target};
use super::job::Job;
use super::keyed;
use super::node::{Node, lock};
use super::refusals::{no_target_error, quarantine_error, too_late_error, verdict_error};
use super::streaming::spawn_stream;

/// The [`Gateway`] of this entry.
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
        let started_at = Instant::now();
        let result = self.serve(call).await;
        let outcome = match &result {
            Ok(response) => match response.body {
                ResponseBody::Full(_) => "done",
                ResponseBody::Stream(_) => "begun",
            },
            Err(error_response) => error_response.outcome.as_str(),
        };
        log::info!(
            "request {id} account {account} entry {entry}: {outcome} after {} ms",
            started_at.elapsed().as_millis()
        );
        result
    }

    async fn serve(&self, call: Call) -> Result<CallResponse, ErrorResponse> {
        let service = self.fleet.service(&call.entry.name);
        let permit = self.node.limiter.admit(&call, self.node.now_ms())?;
        lock(&service.retry_budget).on_attempt();
        let job = Job::new(&self.node, call, service, permit);
        match job.call.entry.repeat {
            RetryPolicy::Safe => self.serve_repeatable(job).await,
            RetryPolicy::Never => keyed::serve(self, job).await,
        }
    }

    async fn serve_repeatable(&self, mut job: Job) -> Result<CallResponse, ErrorResponse> {
        loop {
            let now_ms = self.node.now_ms();
            let picked = job
                .service
                .pick(&job.command.blocks, &job.failed_targets, now_ms);
            let Some(target) = picked else {
                if job.allow_second_round() {
                    continue;
                }
                let error_response = no_target_error(&job);
                return Err(job.fail(error_response));
            };
            if let Some(error_response) = too_late_error(&job, &target, now_ms) {
                return Err(job.fail(error_response));
            }
            let mut attempt = match self.attempt(&mut job, &target).await {
                Ok(Some(attempt)) => attempt,
                Ok(None) => {
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
            job.failed_targets.push(target.id);
            job.may_have_run |= verdict.outcome == Outcome::Unknown;
            if retry_decision(&job, verdict) == RetryDecision::ReportToCaller {
                let error_response = verdict_error(&job, verdict, attempt.retry_after_ms);
                return Err(job.fail(error_response));
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
        let started =
            Attempt::begin(&self.node, Arc::clone(target), &job.command, clearance).await?;
        let Some(attempt) = started else {
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

fn retry_decision(job: &Job, verdict: Verdict) -> RetryDecision {
    let verdict = Verdict {
        // No part of a collected response has reached the caller.
        begun: false,
        ..verdict
    };
    if Instant::now() >= job.command.deadline {
        return RetryDecision::ReportToCaller;
    }
    let mut retry_budget = lock(&job.service.retry_budget);
    retry::decide(verdict, true, job.attempts, &mut retry_budget)
}
