//! Interface between the HTTP server and the load balancer behind it.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use berylhook_core::ids::RequestId;
use berylhook_operator::{Account, Catalogue, Entry};
use bytes::Bytes;
use tokio::sync::mpsc;

use crate::error_response::ErrorResponse;
use crate::idempotency::IdempotencyKey;

/// A validated request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifier issued by the gateway.
    pub id: RequestId,
    /// Authenticated account of the caller.
    pub account: Account,
    /// Catalogue entry that the request is for.
    pub entry: Entry,
    /// HTTP method.
    pub method: String,
    /// Path and query to send to the target.
    pub path: String,
    /// Headers to forward to the target.
    pub headers: Vec<(String, Bytes)>,
    /// Complete request body.
    pub body: Bytes,
    /// Idempotency key, if the caller sent one.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Whether the caller requested a streamed response.
    pub is_stream: bool,
    /// Maximum duration of the whole request.
    pub deadline_ms: u64,
}

/// Status and headers of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Headers from the target.
    pub headers: Vec<(String, Bytes)>,
}

/// Part of a streamed body. An error truncates the body in a way that the caller can detect.
pub type BodyChunk = Result<Bytes, std::io::Error>;

/// Body of a response.
pub enum ResponseBody {
    /// Complete body.
    Full(Bytes),
    /// Body that is forwarded as it arrives from the target.
    Stream(mpsc::Receiver<BodyChunk>),
}

/// Response of a target to a [`Call`].
pub struct CallResponse {
    /// Status and headers.
    pub head: ResponseHead,
    /// Body.
    pub body: ResponseBody,
}

/// Future returned by [`Gateway::call`].
pub type CallFuture<'a> =
    Pin<Box<dyn Future<Output = Result<CallResponse, ErrorResponse>> + Send + 'a>>;

/// The load balancer behind the HTTP server.
pub trait Gateway: Send + Sync {
    /// Returns the current catalogue.
    fn catalogue(&self) -> Arc<Catalogue>;

    /// Whether the catalogue is known, so that requests can be served.
    fn is_ready(&self) -> bool;

    /// Whether the platform's load balancer should send requests to this process. A process that
    /// is stopping still serves requests that arrive, but reports that it is not ready.
    fn should_receive_traffic(&self) -> bool;

    /// Issues a unique request id.
    fn issue_id(&self) -> RequestId;

    /// Runs a call on a target and returns its response, or the error to send to the caller.
    fn call(&self, call: Call) -> CallFuture<'_>;
}
