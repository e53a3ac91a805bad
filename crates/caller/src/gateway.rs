//! What this package asks of the load balancer behind it.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use berylhook_core::ids::RequestId;
use berylhook_operator::{Account, Catalogue, Entry};
use bytes::Bytes;
use tokio::sync::mpsc;

use crate::idempotency::IdempotencyKey;
use crate::refused::ErrorResponse;

/// A checked request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Issued by the gateway for this request.
    pub id: RequestId,
    /// Who asks.
    pub account: Account,
    /// What is asked for.
    pub entry: Entry,
    /// HTTP method.
    pub method: String,
    /// Path with query, as the target shall see it.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<(String, Bytes)>,
    /// The whole body.
    pub body: Bytes,
    /// The caller's idempotency key, if it sent one.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Whether the caller asked for the answer token by token.
    pub is_stream: bool,
    /// Time the caller allows for the whole request.
    pub deadline_ms: u64,
}

/// The start of an answer.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// The target's headers.
    pub headers: Vec<(String, Bytes)>,
}

/// A part of a streamed body; an error cuts the answer off visibly.
pub type BodyChunk = Result<Bytes, std::io::Error>;

/// The body of an answer.
pub enum ResponseBody {
    /// All of it.
    Full(Bytes),
    /// As it comes.
    Stream(mpsc::Receiver<BodyChunk>),
}

/// An answer.
pub struct CallResponse {
    /// Its start.
    pub head: ResponseHead,
    /// The rest.
    pub body: ResponseBody,
}

/// A boxed future of a call.
pub type CallFuture<'a> =
    Pin<Box<dyn Future<Output = Result<CallResponse, ErrorResponse>> + Send + 'a>>;

/// The load balancer behind the HTTP paths.
pub trait Gateway: Send + Sync {
    /// The catalogue in force.
    fn catalogue(&self) -> Arc<Catalogue>;

    /// Whether requests can be served.
    fn is_ready(&self) -> bool;

    /// Whether the platform's balancer should send requests here. A process
    /// that is stopping still serves what comes, but wants no more.
    fn should_receive_traffic(&self) -> bool;

    /// A fresh id for a request.
    fn issue_id(&self) -> RequestId;

    /// Runs a call.
    fn call(&self, call: Call) -> CallFuture<'_>;
}
