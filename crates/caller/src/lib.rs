//! HTTP server for callers: the `OpenAI` paths for models, and path prefixes for plain services.
//!
//! This package authenticates the caller, finds the catalogue entry of the request, validates the
//! request before it is dispatched, and turns the result of the [`Gateway`] into an HTTP response.
//! It makes no routing decisions.
//!
//! Every response to a request for an entry carries `x-request-id` and `berylhook-outcome`. Errors
//! after which a retry may succeed carry `retry-after`. See `docs/CALLERS.md`.

mod auth;
mod error_response;
mod gateway;
mod idempotency;
mod response;
mod routes;
mod server;

pub use error_response::{ErrorReason, ErrorResponse};
pub use gateway::{BodyChunk, Call, CallFuture, CallResponse, Gateway, ResponseBody, ResponseHead};
pub use idempotency::{IdempotencyKey, IdempotencyKeyError};
pub use routes::{MAX_BODY_BYTES, app};
pub use server::{listen, serve};
