//! Towards callers: HTTP with the `OpenAI` paths and plain services.
//!
//! This package authenticates a caller, finds the catalogue entry it wants,
//! checks what can be checked before anything runs, and turns what the
//! [`Gateway`] decides into an HTTP answer. It makes no routing decision.
//!
//! Every answer carries `x-request-id` and `berylhook-outcome`; every refusal
//! that may pass later carries `retry-after`. See `docs/CALLERS.md`.

mod answer;
mod auth;
mod gateway;
mod idempotency;
mod refused;
mod routes;
mod server;

pub use gateway::{BodyChunk, Call, CallFuture, CallResponse, Gateway, ResponseBody, ResponseHead};
pub use idempotency::{IdempotencyKey, IdempotencyKeyError};
pub use refused::{ErrorReason, ErrorResponse};
pub use routes::{MAX_BODY_BYTES, app};
pub use server::serve;
