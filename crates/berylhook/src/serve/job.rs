//! One request from its admission to its end, and its contribution to the objectives of its
//! catalogue entry.

use std::sync::Arc;
use std::time::Duration;

use berylhook_caller::{Call, CallResponse, ErrorReason, ErrorResponse, ResponseBody};
use berylhook_core::route::{TargetId, prefix_blocks};
use berylhook_ingress::MemoryAccount;
use berylhook_operator::{EntryKind, PriorityClass};
use berylhook_peer::proto::{Data, Header, Resume, Start};
use bytes::Bytes;
use tokio::time::Instant;

use super::attempt::RunCommand;
use super::burn::RequestLatencies;
use super::fleet::Service;
use super::limits::Permit;
use super::node::{InFlightGuard, Node};
use super::quarantine::CallIdentity;

/// HTTP status codes from here on count as failures of the target.
const SERVER_ERROR: u16 = 500;

/// Request header that carries the priority class to the target.
const PRIORITY_HEADER: &str = "x-priority";

/// A request being served.
pub(super) struct Job {
    pub(super) call: Call,
    pub(super) service: Arc<Service>,
    pub(super) command: RunCommand,
    pub(super) attempts: u32,
    pub(super) failed_targets: Vec<TargetId>,
    has_retried_all: bool,
    /// An attempt was lost, so the request can no longer be reported as not run.
    pub(super) may_have_run: bool,
    pub(super) clock: RequestClock,
    node: Arc<Node>,
    _permit: Permit,
    _in_flight: InFlightGuard,
}

/// Arrival times of the chunks of a response.
pub(super) struct RequestClock {
    arrived_at: Instant,
    times: RequestLatencies,
    /// Events of a stream, or the tokens used that a complete response reports.
    tokens: u64,
}

impl RequestClock {
    pub(super) fn on_data(&mut self, data: &Data) {
        self.tokens += u64::from(data.events);
        let elapsed_us = self.arrived_at.elapsed().as_micros();
        self.times
            .on_tokens(u64::try_from(elapsed_us).unwrap_or(u64::MAX));
    }
}

impl Job {
    pub(super) fn new(node: &Arc<Node>, call: Call, service: Arc<Service>, permit: Permit) -> Self {
        let blocks = match call.entry.kind {
            EntryKind::Model => prefix_blocks(&call.body),
            EntryKind::Plain => Vec::new(),
        };
        let mut headers: Vec<_> = call
            .headers
            .iter()
            .map(|(name, value)| Header {
                name: name.clone(),
                value: value.clone(),
            })
            .collect();
        headers.push(Header {
            name: PRIORITY_HEADER.to_owned(),
            value: Bytes::from_static(priority(call.entry.class).as_bytes()),
        });
        let resume = call.entry.resume.then(|| Resume {
            stream_id: call.id.to_string(),
            from_event: 0,
        });
        let start = Start {
            entry: call.entry.name.to_string(),
            method: call.method.clone(),
            path: call.path.clone(),
            headers,
            body: call.body.clone(),
            resume,
            ..Start::default()
        };
        let command = RunCommand {
            start,
            start_within_ms: call.entry.start_within_ms.min(call.deadline_ms),
            deadline: Instant::now() + Duration::from_millis(call.deadline_ms),
            is_stream: call.is_stream,
            identity: Arc::new(CallIdentity::of(&call, &blocks)),
            blocks,
        };
        Self {
            call,
            service,
            command,
            attempts: 0,
            failed_targets: Vec::new(),
            has_retried_all: false,
            may_have_run: false,
            clock: RequestClock {
                arrived_at: Instant::now(),
                times: RequestLatencies::default(),
                tokens: 0,
            },
            node: Arc::clone(node),
            _permit: permit,
            _in_flight: node.track_request(),
        }
    }

    /// The account of the process's bodies.
    pub(super) fn memory(&self) -> &Arc<MemoryAccount> {
        &self.node.memory
    }

    /// Makes the targets that failed this request eligible once more. With a single target, one
    /// lost connection must not fail a request that may be repeated.
    pub(super) fn allow_second_round(&mut self) -> bool {
        let is_first_time = !self.has_retried_all;
        let has_failed = !self.failed_targets.is_empty();
        self.has_retried_all = true;
        self.failed_targets.clear();
        is_first_time && has_failed
    }

    /// Ends the job with a complete response.
    pub(super) fn complete(mut self, response: CallResponse) -> CallResponse {
        // A response that arrives in one piece has no separate first token.
        self.clock.times = RequestLatencies::default();
        if let (EntryKind::Model, ResponseBody::Full(body)) = (self.call.entry.kind, &response.body)
        {
            self.clock.tokens += completion_tokens(body);
        }
        let failed = response.head.status >= SERVER_ERROR;
        self.finish(failed);
        response
    }

    /// Ends the job with an error response.
    pub(super) fn fail(self, error_response: ErrorResponse) -> ErrorResponse {
        let is_caller_error = matches!(
            error_response.reason,
            ErrorReason::IdempotencyKeyReused | ErrorReason::BadHeader | ErrorReason::OverLimit
        );
        if !is_caller_error {
            self.finish(true);
        }
        error_response
    }

    /// Ends the job and counts it towards the objectives of its catalogue entry.
    pub(super) fn finish(self, failed: bool) {
        let entry = &self.call.entry;
        let now_ms = self.node.now_ms();
        self.node
            .limiter
            .charge(&self.call, self.clock.tokens, now_ms);
        self.node.burn.record(
            &entry.name,
            &entry.objectives,
            failed,
            &self.clock.times,
            now_ms,
        );
    }
}

/// The value of the priority header, by which engines prioritise requests.
fn priority(class: PriorityClass) -> &'static str {
    match class {
        PriorityClass::Critical => "critical",
        PriorityClass::Interactive => "interactive",
        PriorityClass::Batch => "batch",
    }
}

/// The number of generated tokens that a complete response in the `OpenAI` format reports.
fn completion_tokens(body: &Bytes) -> u64 {
    #[derive(serde::Deserialize)]
    struct Usage {
        completion_tokens: u64,
    }
    #[derive(serde::Deserialize)]
    struct WithUsage {
        usage: Usage,
    }
    serde_json::from_slice(body).map_or(0, |body: WithUsage| body.usage.completion_tokens)
}
