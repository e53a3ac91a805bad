//! Classifies the head of a target's response to a streaming request.

use std::sync::Arc;
use std::time::Instant;

use berylhook_ingress::{BufferKind, MemoryAccount};
use berylhook_response_head::BodyEnd;
use berylhook_traffic::dispatch::Load;
use berylhook_traffic::health::HealthSample;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::{HeaderMap, Response, StatusCode};

use crate::call::{ConnectionGuard, SendResult, TargetResponse, read_whole_body};
use crate::connection_headers::strip_connection_headers;
use crate::responses::{Body, complete_response, implies_not_run};

/// Largest error response to a streaming request.
const MAX_ERROR_BYTES: usize = 1 << 20;

/// A stream with its response head.
pub(super) struct StreamHead {
    pub(super) body: Incoming,
    pub(super) body_end: BodyEnd,
    pub(super) load: Option<Load>,
    pub(super) connection: ConnectionGuard,
    pub(super) headers: HeaderMap,
    pub(super) status: StatusCode,
}

/// The kind of a target's response.
pub(super) enum ResponseKind {
    /// A stream.
    Stream(StreamHead),
    /// A complete error response of the target.
    Error(Box<Response<Body>>),
    /// Nothing that can be forwarded.
    Invalid,
}

/// The result of one send.
pub(super) struct Classification {
    pub(super) kind: ResponseKind,
    pub(super) result: SendResult,
}

impl Classification {
    pub(super) fn invalid(result: SendResult) -> Self {
        Self {
            kind: ResponseKind::Invalid,
            result,
        }
    }

    /// What the result says about the target's health. Refusals are common when a whole group
    /// refuses requests, and indicate nothing about the health of one rank.
    pub(super) fn health_sample(&self) -> Option<HealthSample> {
        let is_refusal = matches!(
            self.result,
            SendResult::NotRun | SendResult::BackoffRequested
        );
        (!is_refusal).then_some(HealthSample::Failure)
    }
}

/// Classifies a target's response.
pub(super) async fn classify(
    response: TargetResponse,
    memory: &Arc<MemoryAccount>,
) -> Classification {
    let status = response.http.status();
    if response.head.is_not_run {
        return Classification::invalid(SendResult::from_not_run(status, &response.head));
    }
    let is_genuine = response.head.is_sealed && !response.head.is_encoded;
    if !is_genuine || implies_not_run(status) {
        return Classification::invalid(SendResult::InvalidResponse);
    }
    let (parts, body) = response.http.into_parts();
    let mut headers = parts.headers;
    strip_connection_headers(&mut headers);
    if !status.is_success() {
        let buffer = memory.open(BufferKind::Response, None, MAX_ERROR_BYTES, Instant::now());
        return match read_whole_body(body, response.body_end, buffer).await {
            Some(body) => Classification {
                kind: ResponseKind::Error(Box::new(complete_response(status, headers, body))),
                result: SendResult::ErrorResponse,
            },
            None => Classification::invalid(SendResult::InvalidResponse),
        };
    }
    // After a resume at another target, the response may be longer or shorter.
    headers.remove(CONTENT_LENGTH);
    Classification {
        kind: ResponseKind::Stream(StreamHead {
            body,
            body_end: response.body_end,
            load: response.head.load,
            connection: response.connection,
            headers,
            status,
        }),
        result: SendResult::StreamStarted,
    }
}
