//! One request from its admission to its end, and what it adds to the entry's
//! objectives.

use std::sync::Arc;
use std::time::Duration;

use berylhook_caller::{Call, CallResponse, ErrorReason, ErrorResponse, ResponseBody};
use berylhook_core::route::{TargetId, prefix_blocks};
use berylhook_operator::{EntryKind, PriorityClass};
use berylhook_peer::proto::{Data, Header, Resume, Start};
use bytes::Bytes;
use tokio::time::Instant;

use super::attempt::Order;
use super::burn::RequestTimes;
use super::fleet::Service;
use super::limits::Permit;
use super::node::{InFlight, Node};
use super::quarantine::Identity;

/// Statuses from here on are the target's failures.
const SERVER_ERROR: u16 = 500;

/// The header that tells a target how urgent a request is.
const PRIORITY_HEADER: &str = "x-priority";

/// A request being served.
pub(super) struct Job {
    pub(super) call: Call,
    pub(super) service: Arc<Service>,
    pub(super) order: Order,
    pub(super) attempts: u32,
    pub(super) failed: Vec<TargetId>,
    tried_all: bool,
    /// An attempt was lost, so "not run" can no longer be told.
    pub(super) may_have_run: bool,
    pub(super) clock: RequestClock,
    node: Arc<Node>,
    _permit: Permit,
    _in_flight: InFlight,
}

/// When the parts of an answer came.
pub(super) struct RequestClock {
    began: Instant,
    times: RequestTimes,
    /// Events of a stream, or tokens that a whole answer says it used.
    tokens: u64,
}

impl RequestClock {
    pub(super) fn on_data(&mut self, data: &Data) {
        self.tokens += u64::from(data.events);
        let elapsed_us = self.began.elapsed().as_micros();
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
        let order = Order {
            start,
            start_within_ms: call.entry.start_within_ms.min(call.deadline_ms),
            deadline: Instant::now() + Duration::from_millis(call.deadline_ms),
            is_stream: call.is_stream,
            blocks,
            identity: Arc::new(Identity::of(&call)),
        };
        Self {
            call,
            service,
            order,
            attempts: 0,
            failed: Vec::new(),
            tried_all: false,
            may_have_run: false,
            clock: RequestClock {
                began: Instant::now(),
                times: RequestTimes::default(),
                tokens: 0,
            },
            node: Arc::clone(node),
            _permit: permit,
            _in_flight: node.begin(),
        }
    }

    /// Gives targets that failed this request a second chance, once: with one
    /// target, a lost connection must not be the end of a request that may be
    /// repeated.
    pub(super) fn may_try_all_again(&mut self) -> bool {
        let is_first_time = !self.tried_all;
        let has_failed = !self.failed.is_empty();
        self.tried_all = true;
        self.failed.clear();
        is_first_time && has_failed
    }

    /// Ends the job with a whole answer.
    pub(super) fn answer(mut self, reply: CallResponse) -> CallResponse {
        // An answer that comes all at once has no first token of its own.
        self.clock.times = RequestTimes::default();
        if let (EntryKind::Model, ResponseBody::Full(body)) = (self.call.entry.kind, &reply.body) {
            self.clock.tokens += completion_tokens(body);
        }
        let failed = reply.head.status >= SERVER_ERROR;
        self.close(failed);
        reply
    }

    /// Ends the job with a refusal.
    pub(super) fn refuse(self, refused: ErrorResponse) -> ErrorResponse {
        let callers_fault = matches!(
            refused.reason,
            ErrorReason::IdempotencyKeyReused | ErrorReason::BadHeader | ErrorReason::OverLimit
        );
        if !callers_fault {
            self.close(true);
        }
        refused
    }

    /// Ends the job and counts it towards the entry's objectives.
    pub(super) fn close(self, failed: bool) {
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

/// Tells the target how urgent a request is; engines honour priorities.
fn priority(class: PriorityClass) -> &'static str {
    match class {
        PriorityClass::Critical => "critical",
        PriorityClass::Interactive => "interactive",
        PriorityClass::Batch => "batch",
    }
}

/// The tokens that a whole answer in the `OpenAI` shape says it generated.
fn completion_tokens(body: &Bytes) -> u64 {
    #[derive(serde::Deserialize)]
    struct Usage {
        completion_tokens: u64,
    }
    #[derive(serde::Deserialize)]
    struct WithUsage {
        usage: Usage,
    }
    serde_json::from_slice(body).map_or(0, |answer: WithUsage| answer.usage.completion_tokens)
}
